"""Sessions with the workers of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_daemon.workflow import worker_session

if TYPE_CHECKING:
    from collections.abc import Collection

    from wisterialug_core.workflow import worker_table
    from wisterialug_daemon.workflow import job_rows, owner


class WorkerSessions:
    """Keeps one session for each worker.

    A worker that drops out of the list keeps its session until all ends that
    it has reported are durable: a new session would acknowledge them at once.
    """

    def __init__(self, shard_owner: owner.ShardOwner) -> None:
        self._owner = shard_owner
        self._by_worker: dict[str, worker_session.WorkerSession] = {}

    def get(self, worker: worker_table.Worker) -> worker_session.WorkerSession:
        """Returns the worker's session, started if the worker needs one."""
        worker_id = worker.report.id
        session = self._by_worker.get(worker_id)
        if session is None or session.worker is not worker:
            session = worker_session.WorkerSession(self._owner, worker)
            # An answer may arrive after its worker was removed, when the
            # worker may already have been listed again.
            if self._owner.shard_workers.workers.get(worker_id) is worker:
                self._by_worker[worker_id] = session
        session.ensure_running()
        return session

    def begin_commit(self, batch: job_rows.Batch) -> None:
        """Notes that these changes are being committed."""
        for session in self._by_worker.values():
            session.begin_commit(batch)

    def finish_commit(self, rejected: Collection[str]) -> None:
        """Notes that the commit begun before is durable, but for some jobs."""
        for session in self._by_worker.values():
            session.finish_commit(rejected)

    def remove_unused(self) -> None:
        """Removes workers that are not listed, once their ends are durable."""
        workers = self._owner.shard_workers
        for worker in workers.unused():
            session = self._by_worker.get(worker.report.id)
            if session is None or session.idle:
                self._by_worker.pop(worker.report.id, None)
                workers.remove(worker.report.id)
