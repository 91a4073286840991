"""References to the rows of the scheduler in the store."""

from __future__ import annotations

import zlib

from wisterialug_daemon.workflow import row_store

# Written once, by the VM that accepts a job or its cancellation.
INBOX_TABLE = "inbox"
# Written by the owner of the shard only.
PROGRESS_TABLE = "progress"
OWNERS_TABLE = "owners"
MARKS_TABLE = "marks"
MEMBERS_TABLE = "members"

# With 16 parts, a store that takes 250 ms for each change still accepts 60 jobs
# per second.
INBOX_PARTS = 16

JOB_PREFIX = "job:"
CANCEL_PREFIX = "cancel:"
LOAN_PREFIX = "loan:"


def shard_name(number: int) -> str:
    """Returns the name of a shard."""
    return f"s{number}"


# Its owner assigns new racks; the only shard until there are many workers.
FIRST_SHARD = shard_name(0)


def inbox_parts() -> list[str]:
    """Returns the parts of the inbox, which all shards share.

    The store serializes the changes of a part: with a single part on a slow
    store, callers would wait for each other, and owners for callers.
    """
    return [f"{number:02}" for number in range(INBOX_PARTS)]


def _inbox_part(job_id: str) -> str:
    return f"{zlib.crc32(job_id.encode()) % INBOX_PARTS:02}"


def job(job_id: str) -> row_store.RowRef:
    """Names the row of a submitted job."""
    return row_store.RowRef(
        INBOX_TABLE, _inbox_part(job_id), JOB_PREFIX + job_id
    )


def cancel(job_id: str) -> row_store.RowRef:
    """Names the row that records a job's cancellation."""
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


def member(node: str) -> row_store.RowRef:
    """Names the row in which a VM registers itself."""
    return row_store.RowRef(MEMBERS_TABLE, "", node)


def layout() -> row_store.RowRef:
    """Names the row of the assignment of workers to shards."""
    return row_store.RowRef(OWNERS_TABLE, "", "layout")


def progress(shard: str, job_id: str) -> row_store.RowRef:
    """Names the row of a job's state and task records."""
    return row_store.RowRef(PROGRESS_TABLE, shard, job_id)


def owner(shard: str) -> row_store.RowRef:
    """Names the row of a shard's owner."""
    return row_store.RowRef(OWNERS_TABLE, shard, "owner")


def effects(shard: str) -> row_store.RowRef:
    """Names the row of the interference learned by a shard's owners."""
    return row_store.RowRef(MARKS_TABLE, shard, "effects")


def mark(shard: str) -> row_store.RowRef:
    """Names the row that identifies the latest commit to a shard."""
    return row_store.RowRef(MARKS_TABLE, shard, "mark")
