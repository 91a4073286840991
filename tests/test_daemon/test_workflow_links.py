"""Owners that are frozen or cut off, beside faults of orders."""

import os

import eventlet

from tests.test_daemon import links_base, test_workflow_orders
from wisterialug_core.workflow import model
from wisterialug_daemon import logs
from wisterialug_standins import vm_links

Cut = vm_links.Cut


class RandomLinksTest(
    links_base.LinkedVmsTest, test_workflow_orders.RandomOrdersTest
):
    """Random orders of owners that are frozen or cut off for a while."""

    seed = int(os.environ.get("WISTERIALUG_ORDER_SEED", "72"))
    VMS = 4
    JOBS = 20
    # Below the owner timeout of 1.7 s, and above the limit of 8 s for leases.
    FAULT_S = (0.5, 9.0)
    # Ends later than all leases that the cut owner extends.
    SPLIT_S = (6.0, 17.0)
    # Few enough for the others not to take themselves for cut off.
    SPLIT_WORKERS = 3
    OWNER_SHARE = 0.7

    def setUp(self):
        super().setUp()
        # Links with a cut of their own.
        self.cut = set()
        # What all VMs but one lose in a split.
        self.hidden = {}

    def run_s(self, task):
        key = model.parse_task_name(task)
        if self.jobs[key.job].steps[key.step].long_running:
            # Longer than a split.
            return 60.0
        return 0.2 + sum(task.encode()) % 50 / 10

    def start_node(self, name, boot="1"):
        super().start_node(name, boot)
        self.links[name].worker_cuts = dict(self.hidden)

    def clear_faults(self):
        """Ends the faults of workers and waits until the links are whole."""
        super().clear_faults()
        for link in self.links.values():
            link.drop_next_freeze()
        self.wait_for(
            lambda: all(link.healthy for link in self.links.values()),
            self.SPLIT_S[1] + 1,
        )

    def inject_other_fault(self, number):
        self.inject_link_fault()
        super().inject_other_fault(number)

    def inject_link_fault(self):
        """Freezes a VM or cuts its links for a while."""
        name = self.draw_target()
        if name is None:
            return
        link = self.links[name]
        faults = ["freeze", "boundary", "boundary", "store", "workers", "split"]
        fault = self.rng.choice(faults)
        cut = self.rng.choice([Cut.REQUESTS, Cut.REPLIES, Cut.BOTH])
        seconds = self.rng.uniform(*self.FAULT_S)
        if fault == "split":
            if self.hidden:
                return
            seconds = self.rng.uniform(*self.SPLIT_S)
            self.split(link, cut, seconds)
        elif fault == "freeze":
            link.freeze(seconds)
        elif fault == "boundary":
            fault = self.rng.choice(list(vm_links.Boundary))
            link.freeze_at(fault, seconds)
        elif fault == "store":
            link.store_cut = cut
        else:
            count = self.rng.randint(1, self.WORKERS)
            for worker in self.rng.sample(list(self.fleet.workers), count):
                link.worker_cuts[worker] = cut | link.worker_cuts.get(
                    worker, Cut.NONE
                )
        if link.store_cut or link.worker_cuts:
            self.cut.add(link)
            eventlet.spawn_after(seconds, self.heal, link)
        logs.event(
            "link-fault",
            vm=name,
            fault=fault,
            cut=cut,
            seconds=round(seconds, 3),
            workers=sorted(link.worker_cuts),
        )

    def draw_target(self):
        """Draws a VM, mostly the owner; None if too few others are left."""
        healthy = [
            name
            for name, link in self.links.items()
            if link not in self.cut
            and not link.frozen
            and not link.awaits_freeze
        ]
        if len(healthy) < 2:
            return None
        owner = self.recorded_owner()
        if owner in healthy and self.rng.random() < self.OWNER_SHARE:
            return owner
        return self.rng.choice(healthy)

    def split(self, link, cut, seconds):
        """Cuts a VM from the store, and parts the workers from the others'."""
        kept = self.rng.sample(list(self.fleet.workers), self.SPLIT_WORKERS)
        self.hidden = dict.fromkeys(kept, Cut.BOTH)
        for other in self.links.values():
            other.worker_cuts.update(self.hidden)
        link.store_cut = cut
        link.worker_cuts = {
            worker: Cut.BOTH
            for worker in self.fleet.workers
            if worker not in kept
        }
        eventlet.spawn_after(seconds, self.join)

    def join(self):
        """Ends a split."""
        for link in self.links.values():
            for worker in self.hidden:
                link.worker_cuts.pop(worker, None)
        self.hidden = {}

    def heal(self, link):
        """Ends the cuts of one VM."""
        self.cut.discard(link)
        link.store_cut = Cut.NONE
        link.worker_cuts = dict(self.hidden)
