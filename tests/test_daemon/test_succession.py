"""A worker restarts under its name, and calls meant for the earlier one arrive."""

import dataclasses

import eventlet
import result

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import awaited_workers, model
from wisterialug_daemon.workflow import clock, records, row_store
from wisterialug_standins import order_faults

step = workflow_base.step
Fault = order_faults.OrderFault


class RestartedWorkerTest(workflow_base.WorkflowTest):
    """One of two workers restarts under its name."""

    duration_s = 1.0
    # By then a worker has answered a poll, also after one without an answer.
    POLLED_S = 3.0

    def start_fleet(self, workers=1):
        self.fleet.restarts_keep_ids = True
        self.start_nodes(1, workers=workers)
        self.owner()

    def restart(self, name="w0"):
        before = self.fleet.workers[name]
        self.fleet.crash_and_restart(name)
        self.wait_for(lambda: name in self.fleet.workers, 5)
        self.assertIsNot(before, self.fleet.workers[name])

    def epoch(self):
        value = self.store.value(records.owner("s0"))
        return workflow_pb2.Ownership.FromString(value).epoch

    def finish(self, *jobs):
        for job in jobs:
            self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 20)
        eventlet.sleep(1)
        self.check_invariants()

    def test_ends_of_the_next_incarnation_are_taken_for_known(self):
        self.start_fleet()
        self.finish(self.submit(step(6)))
        self.restart()
        self.finish(self.submit(step(3)))
        self.assertEqual(9, len(self.fleet.history))

    def test_late_start_runs_on_the_next_incarnation(self):
        # It arrives 0.5 s after the restart; the task runs there, or elsewhere.
        self.start_fleet()
        self.fleet.order_delay_s = (1.5, 1.5)
        self.fleet.next_start_faults.extend([Fault.LATE, Fault.LOST])
        job = self.submit(step(1))
        self.wait_for(lambda: len(self.fleet.next_start_faults) < 2, 5)
        self.restart()
        self.fleet.add("w1")
        self.finish(job)
        self.assertEqual(1, len(self.fleet.history))

    def test_start_sent_before_the_restart_was_seen_is_adopted(self):
        self.start_fleet()
        self.finish(self.submit(step(1)))
        # Idle workers are not asked, and the list is read late.
        listed = self.fleet.read()
        read, self.fleet.read = self.fleet.read, lambda: listed
        self.restart()
        job = self.submit(step(2))
        self.wait_for(lambda: len(self.fleet.history) == 3, 5)
        # Another worker has room for what is taken for lost.
        other = self.fleet.add("w1").report
        changes = listed.ok_value
        changes = dataclasses.replace(
            changes, reports=(*changes.reports, other)
        )
        listed = result.Ok(changes)
        eventlet.sleep(self.POLLED_S)
        self.fleet.read = read
        self.finish(job)
        self.assertEqual(3, len(self.fleet.history))

    def test_next_incarnation_forgets_ends_that_were_not_seen(self):
        self.start_fleet()
        self.finish(self.submit(step(6)))
        # Its restart is not seen until a run there has ended.
        listed = self.fleet.read()
        read, self.fleet.read = self.fleet.read, lambda: listed
        self.restart()
        worker = self.fleet.workers["w0"]
        worker.poll_fault_rates = {Fault.LOST: 1.0}
        job = self.submit(step(1))
        self.wait_for(lambda: worker.ended, 5)
        worker.poll_fault_rates = None
        eventlet.sleep(self.POLLED_S)
        self.fleet.read = read
        self.finish(job)
        self.assertEqual(7, len(self.fleet.history))

    def test_run_on_a_silent_next_incarnation_is_taken_for_expired(self):
        self.start_fleet()
        shard_owner = self.nodes["n0"].election._owned["s0"]
        # Leases of earlier owners have long expired.
        shard_owner.rows.earlier = awaited_workers.EarlierLeases(
            clock.now_s() - 60, workflow_pb2.Ownership()
        )
        self.fleet.order_delay_s = (1.0, 1.0)
        self.fleet.next_start_faults.extend([Fault.LATE, Fault.LOST])
        job = self.submit(step(1))
        self.wait_for(lambda: len(self.fleet.next_start_faults) < 2, 5)
        self.restart()
        worker = self.fleet.workers["w0"]
        worker.poll_fault_rates = {Fault.LOST: 1.0}
        self.fleet.add("w1")
        eventlet.sleep(self.POLLED_S)
        worker.poll_fault_rates = None
        self.finish(job)
        self.assertEqual(1, len(self.fleet.history))

    def test_epoch_is_recorded_before_the_next_incarnation_is_asked(self):
        self.start_fleet()
        self.finish(self.submit(step(2)))
        before = self.epoch()
        self.store.down = True
        self.restart()
        eventlet.sleep(1)
        self.assertEqual(0, self.fleet.workers["w0"].fence)
        self.store.down = False
        self.wait_for(lambda: self.fleet.workers["w0"].fence > before, 5)
        self.assertGreaterEqual(self.epoch(), self.fleet.workers["w0"].fence)
        self.kill_node("n0")
        self.start_node("n1")
        self.finish(self.submit(step(2)))
        self.assertGreater(self.epoch(), before + 1)

    def test_next_owner_takes_runs_of_an_ended_incarnation_for_active(self):
        self.start_fleet()
        job = self.submit(step(2))
        self.wait_for(lambda: len(self.fleet.history) == 2, 5)
        self.kill_node("n0")
        self.restart()
        self.start_node("n1")
        self.finish(job)
        self.assertEqual([1, 1, 2, 2], [r.run for r in self.fleet.history])

    def test_records_without_a_birth_are_of_an_earlier_incarnation(self):
        # An earlier version of the scheduler recorded names only.
        self.start_fleet()
        self.restart()
        worker = self.fleet.workers["w0"]
        job = self.submit(step(1))
        self.wait_for(lambda: self.fleet.history, 5)
        self.kill_node("n0")
        ref = records.progress("s0", job)
        progress = workflow_pb2.Progress.FromString(self.store.value(ref))
        progress.tasks[0].worker = "w0"
        self.store.commit(
            row_store.Transaction(
                conditions=(),
                writes=((ref, progress.SerializeToString()),),
            ),
            1.0,
        )
        self.start_node("n1")
        self.finish(job)
        self.assertEqual(
            [worker.report.id], [r.worker for r in self.fleet.history]
        )


class StaleListTest(workflow_base.WorkflowTest):
    """The list shows the earlier incarnation again."""

    duration_s = 1.0

    def test_worker_is_replaced_by_its_earlier_incarnation(self):
        self.fleet.restarts_keep_ids = True
        self.start_nodes(1, workers=1)
        self.owner()
        first = self.fleet.workers["w0"].report
        self.fleet.crash_and_restart("w0")
        self.wait_for(lambda: "w0" in self.fleet.workers, 5)
        job = self.submit(step(2))
        self.wait_for(lambda: len(self.fleet.history) == 2, 5)
        worker = self.fleet.workers["w0"]
        present, worker.report = worker.report, first
        self.fleet.set_listed("w0", listed=True)
        eventlet.sleep(0.5)
        worker.report = present
        self.fleet.set_listed("w0", listed=True)
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED)
        self.assertEqual(2, len(self.fleet.history))
        self.check_invariants()


class IncarnationTest(workflow_base.WorkflowTest):
    def test_incarnations_share_a_name(self):
        worker = model.incarnation("w0", 5)
        self.assertEqual("w0", model.registered_name(worker))
        self.assertEqual(5, model.born_ms(worker))
        self.assertNotEqual(model.incarnation("w0", 6), worker)

    def test_worker_without_a_birth_is_its_name(self):
        self.assertEqual("w0", model.incarnation("w0", 0))
        self.assertEqual(0, model.born_ms("w0"))
        report = self.fleet.add("w0").report
        self.assertEqual("w0", dataclasses.replace(report).name)
