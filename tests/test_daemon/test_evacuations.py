"""Data centres that are evacuated while owners and the store fail."""

import eventlet
import result

from tests.test_daemon import links_base, workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import clock, errors, records
from wisterialug_standins import emulated_operator, order_faults, vm_links

step = workflow_base.step
# Until all VMs know what has changed, where nothing fails.
SPREAD_S = 0.3
REFUSED = result.Err(errors.StoreRefusedError("503"))


class EvacuationTest(workflow_base.WorkflowTest):
    """Provides two workers in each of two data centres."""

    duration_s = 0.4
    evacuated_within_ms = 2000

    def start(self, vms=2):
        for number in range(4):
            self.fleet.add(f"w{number}", data_centre=f"dc{number % 2}")
        self.start_nodes(vms, workers=0)
        self.owner()
        eventlet.sleep(0.5)

    def evacuate(self, *names):
        emulated_operator.evacuate(self.store, *names)
        self.evacuated_s = clock.now_s()

    def take_back(self, *names):
        emulated_operator.take_back(self.store, *names)

    def starts(self, data_centre, after_s=0.0):
        return [
            run
            for run in self.fleet.history
            if self.fleet.reports[run.worker].data_centre == data_centre
            and run.began_s > after_s
        ]

    def submit_many(self, count=4, **fields):
        return [self.submit(step(24, **fields)) for _ in range(count)]

    def check_completed(self, jobs):
        for job in jobs:
            self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 20)
        self.check_invariants()


class SteadyEvacuationTest(EvacuationTest):
    """Nothing fails beside the evacuation."""

    def test_work_goes_elsewhere_and_comes_back(self):
        self.start()
        self.check_completed(self.submit_many())
        self.assertNotEqual([], self.starts("dc0"))
        self.evacuate("dc0")
        eventlet.sleep(SPREAD_S)
        since_s = clock.now_s()
        self.check_completed(self.submit_many())
        self.assertEqual([], self.starts("dc0", since_s))
        self.take_back("dc0")
        eventlet.sleep(SPREAD_S)
        since_s = clock.now_s()
        self.check_completed(self.submit_many())
        self.assertNotEqual([], self.starts("dc0", since_s))

    def test_work_waits_while_all_are_evacuated(self):
        self.start()
        self.evacuate("dc0", "dc1")
        eventlet.sleep(SPREAD_S)
        jobs = self.submit_many(1)
        eventlet.sleep(1.5)
        self.assertEqual([], self.fleet.history)
        self.take_back("dc1")
        self.check_completed(jobs)
        self.assertEqual([], self.starts("dc0"))

    def test_a_start_without_an_answer_is_not_repeated_there(self):
        self.start(1)
        self.evacuate("dc1")
        eventlet.sleep(SPREAD_S)
        self.fleet.next_start_faults.append(order_faults.OrderFault.LOST)
        job = self.submit(step(1))
        self.wait_for(lambda: not self.fleet.next_start_faults, 5)
        self.evacuate("dc0")
        self.take_back("dc1")
        self.check_completed([job])
        self.assertEqual([], self.starts("dc0"))

    def test_a_start_that_waits_for_its_record_is_not_sent_there(self):
        self.start(1)
        commit = self.store.commit
        held = []

        def commit_late(transaction, timeout_s):
            refs = [ref for ref, _ in transaction.writes]
            if any(ref.table == records.PROGRESS_TABLE for ref in refs):
                held.append(refs)
                eventlet.sleep(2 * SPREAD_S)
            return commit(transaction, timeout_s)

        self.store.commit = commit_late
        job = self.submit(step(4))
        self.wait_for(lambda: held, 5)
        self.evacuate("dc0")
        self.check_completed([job])
        self.assertEqual([], self.starts("dc0"))


class LastingTest(EvacuationTest):
    """Long-running and gang tasks run when the evacuation begins."""

    duration_s = 1000.0

    def test_what_runs_there_runs_on(self):
        self.start()
        job = self.submit(step(8, long_running=True, max_per_worker=2))
        gang = self.submit(step(4, gang=True, max_per_worker=1))
        self.wait_for(lambda: len(self.fleet.history) == 12, 5)
        self.evacuate("dc0", "dc1")
        eventlet.sleep(2)
        self.assertEqual([None] * 12, [r.end for r in self.fleet.history])
        for name in (job, gang):
            self.assertEqual(workflow_pb2.JOB_RUNNING, self.state(name))


class TakeoverTest(EvacuationTest):
    """Owners come and go while a data centre is out of service."""

    def test_the_next_owner_and_a_new_vm_start_nothing_there(self):
        self.start()
        self.evacuate("dc0")
        eventlet.sleep(SPREAD_S)
        since_s = clock.now_s()
        jobs = self.submit_many(6)
        self.start_node("late")
        self.store.compact_history()
        for name in [name for name in self.nodes if name != "late"]:
            self.kill_node(name)
        jobs += self.submit_many(2)
        self.check_completed(jobs)
        self.assertEqual([], self.starts("dc0", since_s))

    def test_an_owner_that_has_not_read_them_places_nothing(self):
        self.evacuate("dc0")
        scan = self.store.scan
        reads = []

        def refuse(table, part, *keys, timeout_s):
            if table == emulated_operator.TABLE:
                reads.append(keys)
                return REFUSED
            return scan(table, part, *keys, timeout_s=timeout_s)

        self.store.scan = refuse
        self.start(1)
        job = self.submit(step(24))
        eventlet.sleep(1.5)
        self.assertEqual([], self.fleet.history)
        self.assertNotEqual([], reads)
        self.store.scan = scan
        self.check_completed([job])
        self.assertEqual([], self.starts("dc0"))

    def test_an_owner_whose_view_is_too_old_starts_nothing(self):
        self.start(1)
        watch, scan = self.store.watch, self.store.scan

        def without_operators(call):
            def refuse(table, *args, **kwargs):
                if table == emulated_operator.TABLE:
                    return REFUSED
                return call(table, *args, **kwargs)

            return refuse

        self.store.watch = without_operators(watch)
        self.store.scan = without_operators(scan)
        # Until the watch that was under way has ended.
        eventlet.sleep(0.5)
        self.evacuate("dc0", "dc1")
        jobs = []
        while clock.now_s() < self.evacuated_s + 4:
            jobs.append(self.submit(step(8)))
            eventlet.sleep(0.2)
        within_s = self.evacuated_within_ms / 1000
        for name in ("dc0", "dc1"):
            self.assertEqual([], self.starts(name, self.evacuated_s + within_s))
        self.assertNotEqual([], self.fleet.history)
        self.store.watch, self.store.scan = watch, scan
        self.take_back("dc1")
        self.check_completed(jobs)


class FrozenOwnerTest(links_base.LinkedVmsTest, EvacuationTest):
    """The owner freezes while orders are late and a data centre is emptied."""

    def test_a_frozen_owner_starts_nothing_there_after_the_thaw(self):
        self.start()
        self.fleet.order_delay_s = (0.2, 0.5)
        for worker in self.fleet.workers.values():
            worker.fault_rates = {order_faults.OrderFault.LATE: 0.3}
            worker.poll_fault_rates = {}
        jobs = self.submit_many(4)
        owner = self.owner()
        link = self.links[owner]
        link.freeze_at(vm_links.Boundary.AFTER_COMMIT, 3.0)
        jobs += self.submit_many(2)
        self.wait_for(lambda: link.frozen, 5)
        self.evacuate("dc0")
        # Late orders of before may still arrive.
        within_s = self.evacuated_within_ms / 1000
        begun_s = clock.now_s()
        jobs += self.submit_many(4)
        eventlet.sleep(begun_s + within_s + 2 - clock.now_s())
        self.clear_faults()
        self.check_completed(jobs)
        late = self.starts("dc0", self.evacuated_s + within_s)
        self.assertEqual([], late)
