"""Leases of workers that answer again, while their runs go on."""

import eventlet
import result

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import errors, records

step = workflow_base.step


class AnswersAgainCase(workflow_base.WorkflowTest):
    """Provides lasting runs, each on a worker of its own."""

    WORKERS = 6
    LEASE_S = 4.0

    def run_s(self, task):
        return 1000.0 if self.lasts(task) else self.duration_s

    def start_job(self):
        self.start_nodes(2, workers=self.WORKERS)
        self.owner()
        job = self.submit(
            step(self.WORKERS, long_running=True, max_per_worker=1)
        )
        self.wait_for(lambda: len(self.fleet.history) == self.WORKERS, 10)
        # The owner has settled, and knows its workers.
        eventlet.sleep(2)
        return job

    def awaited(self):
        value = self.store.value(records.owner("s0"))
        renewal = workflow_pb2.Ownership.FromString(value)
        return {row.worker for row in renewal.awaited}

    def check_runs(self):
        """Checks that no run has ended, nor ends by what was sent so far."""
        eventlet.sleep(self.LEASE_S)
        ends = [run.end for run in self.fleet.history]
        self.assertEqual([None] * self.WORKERS, ends)
        self.check_invariants()


class NewOwnerTest(AnswersAgainCase):
    """A takeover in calm, with runs on all workers."""

    def test_next_owner_holds_back_the_leases_of_all_workers(self):
        self.start_job()
        version = self.store.version()
        self.kill_node(self.owner())
        self.owner()
        eventlet.sleep(1)
        changes = self.store.history(records.OWNERS_TABLE, version)
        renewals = [
            workflow_pb2.Ownership.FromString(value)
            for _, ref, value in changes
            if ref == records.owner("s0")
        ]
        held = [len(renewal.awaited) for renewal in renewals]
        self.assertEqual([0] * len(held), held)
        self.assertLess(1, max(renewal.renewal for renewal in renewals))


class AnswersAgainTest(AnswersAgainCase):
    """A short silence ends no run: the lease outlasts it."""

    def test_runs_end_after_one_poll_is_lost(self):
        self.start_job()
        due = set(self.fleet.workers)
        poll = self.fleet.poll

        def lose_one(worker, epoch, acked, deadline_ms, wait_ms, timeout_s):
            # One that would have extended the lease.
            if worker.name in due and wait_ms and deadline_ms:
                due.discard(worker.name)
                eventlet.sleep(timeout_s)
                return result.Err(errors.NoAnswerError("lost"))
            return poll(worker, epoch, acked, deadline_ms, wait_ms, timeout_s)

        # Apart in time: a renewal may fall into each silence, or not.
        names, due = sorted(due), set()
        self.fleet.poll = lose_one
        for name in names:
            due.add(name)
            eventlet.sleep(0.6)
        self.wait_for(lambda: not due, 3)
        self.check_runs()

    def test_runs_end_as_the_store_is_away_after_a_silence(self):
        self.start_job()
        for worker in self.fleet.workers.values():
            worker.unreachable = worker.report.name == "w0"
        self.wait_for(lambda: "w0" in self.awaited(), 5)
        self.store.down = True
        self.fleet.workers["w0"].unreachable = False
        eventlet.sleep(4.5)
        self.store.down = False
        self.check_runs()


class SilentStoreTest(AnswersAgainCase):
    """The store answers nothing for a while."""

    OUTAGE_S = 4.5

    def setUp(self):
        super().setUp()
        commit = self.store.commit
        self.silent = False

        def wait_for_answer(transaction, timeout_s):
            if self.silent:
                eventlet.sleep(timeout_s)
                return result.Err(errors.StoreUnknownError("no answer"))
            return commit(transaction, timeout_s)

        self.store.commit = wait_for_answer

    def test_runs_end_while_the_store_gives_no_answer(self):
        self.start_job()
        self.silent = True
        eventlet.sleep(self.OUTAGE_S)
        self.silent = False
        self.check_runs()

    def test_runs_end_while_the_store_is_very_slow(self):
        self.start_job()
        commit = self.store.commit

        def slow(transaction, timeout_s):
            eventlet.sleep(2.0)
            return commit(transaction, timeout_s)

        self.store.commit = slow
        eventlet.sleep(8)
        self.store.commit = commit
        self.check_runs()


class OutageAtRenewalTest(AnswersAgainCase):
    """The store is away from just before a renewal on: the longest silence."""

    OUTAGE_S = 4.5
    OUTAGES = 3

    def test_runs_end_while_the_store_is_away(self):
        self.start_job()
        commit = self.store.commit
        due = False

        def go_away(transaction, timeout_s):
            nonlocal due
            renews = any(ref == self.owner_ref for ref, _ in transaction.writes)
            if due and renews:
                due = False
                self.store.down = True
                eventlet.spawn_after(
                    self.OUTAGE_S, setattr, self.store, "down", False
                )
            return commit(transaction, timeout_s)

        self.owner_ref = records.owner("s0")
        self.store.commit = go_away
        for _ in range(self.OUTAGES):
            due = True
            eventlet.sleep(self.OUTAGE_S + 3)
        self.check_runs()
