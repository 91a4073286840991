"""Where the rows of a shard lie in the store."""

from __future__ import annotations

import zlib

from wisterialug_daemon.workflow import row_store

# Written once, by the entry that accepts a job or its cancelling.
INBOX_TABLE = "inbox"
# Written by the owner of the shard only.
PROGRESS_TABLE = "progress"
OWNERS_TABLE = "owners"
MARKS_TABLE = "marks"
MEMBERS_TABLE = "members"

# Parts of the inbox: with 16, a store that takes a quarter of a second a change
# still accepts sixty jobs a second.
INBOX_PARTS = 16

JOB_PREFIX = "job:"
CANCEL_PREFIX = "cancel:"
LOAN_PREFIX = "loan:"


def shard_name(number: int) -> str:
    """Returns the name of a shard."""
    return f"s{number}"


# Decides for new racks; the only shard until there are many workers.
FIRST_SHARD = shard_name(0)


def inbox_parts() -> list[str]:
    """Returns the parts in which jobs are handed in, whatever their shard.

    Changes of one part are made one after the other, so that callers of a slow
    store would wait for each other, and the owners for them.
    """
    return [f"{number:02}" for number in range(INBOX_PARTS)]


def _inbox_part(job_id: str) -> str:
    return f"{zlib.crc32(job_id.encode()) % INBOX_PARTS:02}"


def job(job_id: str) -> row_store.RowRef:
    """Names the row of a job as it was handed in."""
    return row_store.RowRef(
        INBOX_TABLE, _inbox_part(job_id), JOB_PREFIX + job_id
    )


def cancel(job_id: str) -> row_store.RowRef:
    """Names the row that tells of a job's cancelling."""
    return row_store.RowRef(
        INBOX_TABLE, _inbox_part(job_id), CANCEL_PREFIX + job_id
    )


def loan(job_id: str, from_shard: str, to_shard: str) -> row_store.RowRef:
    """Names the row of a job's tasks that one shard lends to another."""
    return row_store.RowRef(
        INBOX_TABLE,
        _inbox_part(job_id),
        f"{LOAN_PREFIX}{job_id}:{from_shard}:{to_shard}",
    )


def layout() -> row_store.RowRef:
    """Names the row of how workers are split into shards."""
    return row_store.RowRef(OWNERS_TABLE, "", "layout")


def progress(shard: str, job_id: str) -> row_store.RowRef:
    """Names the row of what became of a job."""
    return row_store.RowRef(PROGRESS_TABLE, shard, job_id)


def owner(shard: str) -> row_store.RowRef:
    """Names the row of a shard's owner."""
    return row_store.RowRef(OWNERS_TABLE, shard, "owner")


def effects(shard: str) -> row_store.RowRef:
    """Names the row of what a shard's owners learned of its tasks."""
    return row_store.RowRef(MARKS_TABLE, shard, "effects")


def mark(shard: str) -> row_store.RowRef:
    """Names the row that tells the owner's last change of a shard."""
    return row_store.RowRef(MARKS_TABLE, shard, "mark")
