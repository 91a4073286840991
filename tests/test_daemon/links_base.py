"""VMs that reach the shared store and workers over links of their own."""

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import records
from wisterialug_standins import frozen_greenlets, vm_links


class LinkedVmsTest(workflow_base.WorkflowTest):
    """Provides VMs that can be frozen and cut off one by one."""

    def setUp(self):
        super().setUp()
        self.links = {}
        self.frozen = frozen_greenlets.FrozenGreenlets()
        self.addCleanup(self.frozen.close)

    def reach(self, name):
        link = self.links[name]
        return (
            vm_links.LinkedStore(self.store, link),
            vm_links.LinkedWorkers(self.fleet, link),
            vm_links.LinkedRegistry(self.fleet, link),
        )

    def start_node(self, name, boot="1"):
        link = vm_links.VmLink(self.rng)
        link.spawn = self.frozen.spawn_apart
        self.links[name] = link
        with self.frozen.begin(link):
            super().start_node(name, boot)

    def kill_node(self, name):
        super().kill_node(name)
        del self.links[name]

    def any_node(self):
        """Returns a VM that answers its callers, if there is one."""
        awake = [
            name
            for name, link in self.links.items()
            if not link.frozen and not link.awaits_freeze
        ]
        return self.nodes[self.rng.choice(awake or list(self.links))]

    def recorded_owner(self):
        """Returns the VM that the store names as owner; empty if none."""
        row = self.store.value(records.owner(records.FIRST_SHARD)) or b""
        ownership = workflow_pb2.Ownership.FromString(row)
        return ownership.owner.rpartition("/")[0]
