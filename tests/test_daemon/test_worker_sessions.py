"""Tests of the sessions with a shard's workers."""

from unittest import mock

import testtools

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import model, worker_table
from wisterialug_daemon.workflow import worker_sessions


def report(state=model.WorkerState.READY):
    return model.WorkerReport(
        id=model.Incarnation("w0"),
        address="w0:1",
        service="app",
        data_centre="dc1",
        state=state,
        capacity=resources.Amount(16_000, 64_000, 0),
        labels=("a", "r1"),
        remaining_ms=0,
    )


class RelistedWorkerTest(testtools.TestCase):
    """A worker is removed and listed again while an order is under way."""

    def setUp(self):
        super().setUp()
        # Without greenlets; a session that polls stays running.
        self.owner = mock.Mock(lost=False)
        self.owner.cfg.lease_ms = 4000
        self.table = self.owner.shard_workers = worker_table.WorkerTable()
        self.sessions = worker_sessions.WorkerSessions(self.owner)

    def test_relisted_worker_is_never_polled(self):
        removed = self.table.update(report(model.WorkerState.ABSENT))
        self.sessions.get(removed)
        self.sessions.remove_unused()
        self.assertEqual({}, self.table.workers)
        # The answer to an order to the removed worker arrives.
        self.sessions.get(removed)
        worker = self.table.update(report())
        session = self.sessions.get(worker)
        self.assertIs(worker, session.worker)
        self.assertFalse(session.idle)

    def test_late_answer_does_not_replace_the_session(self):
        removed = self.table.update(report(model.WorkerState.ABSENT))
        self.sessions.remove_unused()
        worker = self.table.update(report())
        session = self.sessions.get(worker)
        self.assertIs(removed, self.sessions.get(removed).worker)
        self.assertIs(session, self.sessions.get(worker))
