"""Tests of responses to callers while the store is down or loses answers."""

import random

import eventlet
import result
import testtools

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import (
    clock,
    election,
    errors,
    intake,
    records,
    row_store,
    settings,
    store_writer,
)
from wisterialug_standins import memory_store

step = workflow_base.step
Outcome = intake.Outcome


class UnavailableStore(memory_store.MemoryStore):
    """A store with a fixed outage time and commit reply."""

    fixed_outage_s = 0.0
    reply = None

    def outage_s(self):
        return self.fixed_outage_s

    def commit(self, transaction, timeout_s):
        if self.reply is not None:
            eventlet.sleep(0.02)
            self.commits += 1
            return self.reply
        return super().commit(transaction, timeout_s)


class IntakeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = UnavailableStore(random.Random(1))
        self.store.commits = 0
        cfg = settings.WorkflowSettings(
            node="n",
            boot="1",
            data_centre="d",
            longest_lease_ms=10_000,
            lease_ms=4000,
            state_kept_s=60,
            stop_within_s=5,
        )
        vms = workflow_base.members_of("n", self.store)
        self.owners = election.Election(cfg, self.store, None, None, vms)
        self.intake = intake.Intake(
            self.store,
            self.owners,
            vms,
            memory_store.MAX_ROW_BYTES,
            cfg.accepted_within_ms,
        )

    def submit(self, timeout_s=3.0):
        job = workflow_pb2.Job(id="0" * 16, steps=[step(1)])
        started_s = clock.now_s()
        response = self.intake.submit(workflow_base.ROUTE, job, timeout_s)
        return response, clock.now_s() - started_s

    def test_refused_at_once_and_unsent_during_an_outage(self):
        # Reproduces an outage of seconds under steady submissions.
        self.store.fixed_outage_s = 5.0
        self.store.reply = result.Ok(1)
        response, took_s = self.submit()
        self.assertIs(Outcome.REFUSED, response.outcome)
        self.assertGreater(response.retry_after_s, 0)
        self.assertLess(took_s, 0.05)
        self.assertEqual(0, self.store.commits)

    def test_refused_soon_when_the_store_refuses(self):
        self.store.reply = result.Err(errors.StoreRefusedError("503"))
        response, took_s = self.submit()
        self.assertIs(Outcome.REFUSED, response.outcome)
        self.assertLess(took_s, 2 * store_writer.REFUSE_AFTER_S)

    def test_unknown_outcome_is_never_reported_as_refused(self):
        replies = [
            result.Err(errors.StoreUnknownError("lost")),
            result.Err(errors.StoreRefusedError("503")),
        ]
        self.store.reply = replies[0]
        eventlet.spawn_after(0.05, setattr, self.store, "reply", replies[1])
        response, took_s = self.submit()
        self.assertIs(Outcome.UNKNOWN, response.outcome)
        # The caller has time left to try another VM.
        self.assertLess(took_s, 3.0 * intake.SUBMIT_SHARE)

    def test_claims_without_answer_are_no_answer_of_the_store(self):
        dead = workflow_pb2.Ownership(owner="dead/1", epoch=1, renewal=1)
        row = records.owner(records.FIRST_SHARD), dead.SerializeToString()
        self.store.commit(row_store.Transaction(writes=(row,)), 1.0)
        self.store.reply = result.Err(errors.StoreUnknownError("lost"))
        self.addCleanup(self.owners.close)
        self.owners.start()
        with eventlet.Timeout(5):
            while not self.store.commits:
                eventlet.sleep(0.02)
        # The next claim fails while the caller waits.
        eventlet.sleep(1.0)
        response, took_s = self.submit()
        self.assertIs(Outcome.UNKNOWN, response.outcome)
        self.assertLess(took_s, 3.0 * intake.SUBMIT_SHARE)

    def test_job_is_found_accepted_after_a_lost_answer(self):
        self.store.lost_reply_rate = 1.0
        eventlet.spawn_after(0.1, setattr, self.store, "lost_reply_rate", 0.0)
        response, _ = self.submit()
        self.assertIs(Outcome.OK, response.outcome)

    def test_state_of_a_job_that_no_owner_has_seen(self):
        self.submit()
        response = self.intake.state("0" * 16, 1.0)
        self.assertEqual(workflow_pb2.JOB_QUEUED, response.state)

    def test_state_is_refused_while_the_store_is_down(self):
        self.store.down = True
        response = self.intake.state("0" * 16, 0.5)
        self.assertIs(Outcome.REFUSED, response.outcome)
        response = self.intake.cancel("0" * 16, 0.5)
        self.assertIs(Outcome.REFUSED, response.outcome)
