"""References to the rows of the scheduler in the store."""

from __future__ import annotations

import zlib

from wisterialug_daemon.workflow import row_store

# The shard of each accepted job; written once, by the VM that accepts it.
JOBS_TABLE = "jobs"
# Written by the owner of the shard only.
PROGRESS_TABLE = "progress"
OWNERS_TABLE = "owners"
MARKS_TABLE = "marks"
MEMBERS_TABLE = "members"

# With 16 parts, a store that takes 250 ms for each change still accepts 60 jobs
# per second.
INBOX_PARTS = 16
# The platform keeps at most 100 tables; shards beyond share them.
INBOX_TABLES = 64

JOB_PREFIX = "job:"
CANCEL_PREFIX = "cancel:"
LOAN_PREFIX = "loan:"
RESULT_PREFIX = "result:"
PAGE_SEPARATOR = "#"


SHARD_PREFIX = "s"


def shard_name(number: int) -> str:
    """Returns the name of a shard."""
    return f"{SHARD_PREFIX}{number}"


# Its owner assigns new racks; the only shard until there are many workers.
FIRST_SHARD = shard_name(0)


def inbox_table(shard: str) -> str:
    """Returns the table of a shard's inbox.

    It holds what others write for the shard's owner: jobs, cancellations, loans
    and results. An owner that followed one inbox of all shards would read more
    the larger the system is.
    """
    number = int(shard.removeprefix(SHARD_PREFIX))
    return f"inbox-{number % INBOX_TABLES}"


def inbox_parts() -> list[str]:
    """Returns the parts of an inbox.

    The store serializes the changes of a part: with a single part on a slow
    store, callers would wait for each other, and owners for callers.
    """
    return [f"{number:02}" for number in range(INBOX_PARTS)]


def _job_part(job_id: str) -> str:
    return f"{zlib.crc32(job_id.encode()) % INBOX_PARTS:02}"


def accepted(job_id: str) -> row_store.RowRef:
    """Names the row that tells the shard of a job."""
    return row_store.RowRef(JOBS_TABLE, _job_part(job_id), job_id)


def job(job_id: str, shard: str) -> row_store.RowRef:
    """Names the row of a submitted job in its shard's inbox."""
    return _inbox_row(shard, job_id, JOB_PREFIX + job_id)


def cancel(job_id: str, shard: str) -> row_store.RowRef:
    """Names the row that tells a shard of a job's cancellation."""
    return _inbox_row(shard, job_id, f"{CANCEL_PREFIX}{job_id}:{shard}")


def loan(
    job_id: str, from_shard: str, to_shard: str, page: int = 0
) -> row_store.RowRef:
    """Names the row of a page of tasks that one shard lends to another."""
    key = f"{LOAN_PREFIX}{job_id}:{from_shard}:{to_shard}"
    return _inbox_row(to_shard, job_id, _paged(key, page))


def result(
    job_id: str, from_shard: str, to_shard: str, page: int = 0
) -> row_store.RowRef:
    """Names the row of the results of a page of borrowed tasks."""
    key = f"{RESULT_PREFIX}{job_id}:{from_shard}:{to_shard}"
    return _inbox_row(to_shard, job_id, _paged(key, page))


def _inbox_row(shard: str, job_id: str, key: str) -> row_store.RowRef:
    return row_store.RowRef(inbox_table(shard), _job_part(job_id), key)


def member(node: str) -> row_store.RowRef:
    """Names the row in which a VM registers itself."""
    return row_store.RowRef(MEMBERS_TABLE, "", node)


def layout() -> row_store.RowRef:
    """Names the row of the assignment of workers to shards."""
    return row_store.RowRef(OWNERS_TABLE, "", "layout")


def progress(shard: str, job_id: str, page: int = 0) -> row_store.RowRef:
    """Names the row of a page of task records; the first holds the state."""
    return row_store.RowRef(PROGRESS_TABLE, shard, _paged(job_id, page))


def progress_page(ref: row_store.RowRef) -> tuple[str, int]:
    """Returns the job and the page of a row of task records."""
    job_id, _, page = ref.key.partition(PAGE_SEPARATOR)
    return job_id, int(page or 0)


def later_pages(ref: row_store.RowRef) -> tuple[str, str]:
    """Returns the range of keys of the pages after the first one's row."""
    return ref.key + PAGE_SEPARATOR, ref.key + chr(ord(PAGE_SEPARATOR) + 1)


def _paged(key: str, page: int) -> str:
    """Returns the key of a page; the first has the key of the whole."""
    return f"{key}{PAGE_SEPARATOR}{page}" if page else key


def owner(shard: str) -> row_store.RowRef:
    """Names the row of a shard's owner."""
    return row_store.RowRef(OWNERS_TABLE, shard, "owner")


def effects(shard: str) -> row_store.RowRef:
    """Names the row of the interference learned by a shard's owners."""
    return row_store.RowRef(MARKS_TABLE, shard, "effects")


def mark(shard: str) -> row_store.RowRef:
    """Names the row that identifies the latest commit to a shard."""
    return row_store.RowRef(MARKS_TABLE, shard, "mark")
