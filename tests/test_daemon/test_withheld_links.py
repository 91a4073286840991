"""A worker that is waited for answers an owner that the store has lost."""

import eventlet

from tests.test_daemon import links_base, workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import records
from wisterialug_standins import vm_links

step = workflow_base.step
Cut = vm_links.Cut


class WithheldLinksTest(links_base.LinkedVmsTest):
    """The next owner counts on the time left that the last renewal lists."""

    # Beyond the leases that an owner may grant by its last renewal.
    WATCHED_S = 9.0

    def run_s(self, task):
        return 1000.0 if self.lasts(task) else self.duration_s

    def awaited(self):
        value = self.store.value(records.owner("s0"))
        renewal = workflow_pb2.Ownership.FromString(value)
        return {row.worker for row in renewal.awaited}

    def test_cut_owner_extends_a_lease_that_its_successor_takes_for_over(self):
        self.start_nodes(2, workers=1)
        owner = self.owner()
        self.submit(step(1, long_running=True))
        self.wait_for(lambda: self.fleet.history, 5)
        self.fleet.add("w1")
        eventlet.sleep(1.5)
        for link in self.links.values():
            link.worker_cuts["w0"] = Cut.BOTH
        self.wait_for(lambda: "w0" in self.awaited(), 5)
        self.links[owner].store_cut = Cut.BOTH
        self.links[owner].worker_cuts.clear()
        eventlet.sleep(self.WATCHED_S)
        self.assertNotEqual(owner, self.recorded_owner())
        self.assertEqual([1, 2], [run.run for run in self.fleet.history])
        self.check_invariants()
