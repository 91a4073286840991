"""Single orders and leases of owners that are frozen or cut off."""

import eventlet

from tests.test_daemon import links_base, workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_standins import vm_links

step = workflow_base.step
Cut = vm_links.Cut


class FrozenOwnerTest(links_base.LinkedVmsTest):
    """An owner is frozen before its order leaves, and sends it afterwards."""

    duration_s = 4.0
    # Longer than a takeover, shorter than the deadline of the order.
    FREEZE_S = 3.4

    def play(self, *, hidden):
        """Freezes the owner before its first start, until that has left.

        Args:
          hidden: Whether the other VM does not reach the worker meanwhile.

        Returns:
          The job that was submitted.
        """
        self.start_nodes(2, workers=1)
        owner = self.owner()
        other = next(name for name in self.nodes if name != owner)
        # The worker has seen the owner's epoch.
        eventlet.sleep(1)
        if hidden:
            self.links[other].worker_cuts["w0"] = Cut.BOTH
        self.links[owner].freeze_at(
            vm_links.Boundary.BEFORE_START, self.FREEZE_S
        )
        job = self.submit(step(1))
        self.wait_for(lambda: self.links[owner].frozen, 3)
        self.assertEqual([], self.fleet.history)
        # Has room for another run at once.
        self.fleet.add("w1")
        if not hidden:
            self.fleet.drain("w0")
        self.wait_for(lambda: self.recorded_owner() == other, 3)
        self.wait_for(lambda: not self.links[owner].frozen, 5)
        eventlet.sleep(0.3)
        return job

    def runs(self):
        return [(run.run, run.worker) for run in self.fleet.history]

    def finish(self, job):
        for link in self.links.values():
            link.worker_cuts.clear()
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED)
        self.check_invariants()

    def test_order_after_the_thaw_is_rejected_once_a_new_owner_has_asked(self):
        job = self.play(hidden=False)
        self.assertEqual([(2, "w1")], self.runs())
        self.finish(job)
        self.assertEqual([(2, "w1")], self.runs())

    def test_run_begun_after_the_thaw_is_adopted_by_a_new_owner(self):
        job = self.play(hidden=True)
        self.assertEqual([(1, "w0")], self.runs())
        self.finish(job)
        self.assertEqual([(1, "w0")], self.runs())


class SplitTest(links_base.LinkedVmsTest):
    """An owner cut from the store reaches workers that the others do not."""

    duration_s = 60.0
    # Beyond the last lease of the cut owner, as its successor reckons it.
    SPLIT_S = 16

    def test_no_lease_of_the_cut_owner_outlives_what_its_successor_waits(self):
        self.start_nodes(2, workers=8)
        owner = self.owner()
        job = self.submit(step(6, long_running=True, max_per_worker=1))
        self.wait_for(lambda: len(self.fleet.history) == 6, 5)
        kept = {run.worker for run in self.fleet.history[:2]}
        for name, link in self.links.items():
            link.worker_cuts = {
                worker: Cut.BOTH
                for worker in self.fleet.workers
                if (worker in kept) != (name == owner)
            }
        self.links[owner].store_cut = Cut.REPLIES
        eventlet.sleep(self.SPLIT_S)
        self.assertNotEqual(owner, self.recorded_owner())
        lapsed = {run.worker for run in self.fleet.history if run.ended_s}
        self.assertEqual(kept, lapsed)
        again = [run for run in self.fleet.history if run.run > 1]
        self.assertEqual(2, len(again))
        for link in self.links.values():
            link.store_cut = Cut.NONE
            link.worker_cuts = {}
        self.cancel(job)
        self.wait_for(lambda: all(run.ended_s for run in self.fleet.history), 8)
        self.check_invariants()
