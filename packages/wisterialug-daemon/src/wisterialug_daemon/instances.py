"""The instances of each service in this data centre, and their slots."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wisterialug_core.decisions import routing
from wisterialug_core.schema import work_pb2
from wisterialug_daemon import metrics

if TYPE_CHECKING:
    import random

    from wisterialug_core.decisions import roster
    from wisterialug_daemon import config_sync, presence, vm_inventory

ServiceId = tuple[str, str]


class Instances:
    """Pools of instances by customer and service."""

    def __init__(
        self,
        data_centre: str,
        policy: str,
        slots_per_instance: int,
        inventory: vm_inventory.VmInventory,
        config: config_sync.ConfigSync,
        shares: roster.SlotShares,
        presence_: presence.Presence,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._policy = policy
        self._slots = slots_per_instance
        self._inventory = inventory
        self._config = config
        self._shares = shares
        self._presence = presence_
        self._rng = rng
        self._pools: dict[ServiceId, routing.InstancePool] = {}

    def refresh(self) -> None:
        """Updates the pools from the VM list and the configured drains."""
        listed: dict[ServiceId, dict[str, tuple[str, int]]] = {}
        leaving: dict[ServiceId, set[str]] = {}
        vms = self._inventory.of_role(
            work_pb2.VM_ROLE_INSTANCE, self._data_centre
        )
        drained = self._config.state.drained_vms("instance", vms)
        for vm in vms:
            service = (vm.customer, vm.service)
            listed.setdefault(service, {})[vm.id] = (vm.ip, vm.port)
            if vm.state == work_pb2.VM_STATE_LEAVING or vm.id in drained:
                leaving.setdefault(service, set()).add(vm.id)
        for service in self._pools.keys() | listed.keys():
            self.pool(service).update(
                listed.get(service, {}), leaving.get(service, set())
            )
        metrics.SET_ASIDE.set(
            sum(
                instance.set_aside
                for pool in self._pools.values()
                for instance in pool.instances()
            )
        )

    def pool(self, service: ServiceId) -> routing.InstancePool:
        """Returns the pool of a service, empty if it has no instances."""
        pool = self._pools.get(service)
        if pool is None:
            policy = routing.POLICIES[self._policy](self._rng)
            pool = self._pools[service] = routing.InstancePool(policy)
        return pool

    def limits(self, service: ServiceId) -> dict[str, int]:
        """Returns the slots that this VM may use now, by instance."""
        if not self._presence.slots_usable():
            return {}
        return {
            instance.id: self._shares.limit(instance.id, self._slots)
            for instance in self.pool(service).instances()
            if not instance.leaving
        }

    def capacity(self, service: ServiceId) -> int:
        """Returns the usable slots of instances that are not set aside."""
        limits = self.limits(service)
        return sum(
            limits.get(instance.id, 0)
            for instance in self.pool(service).instances()
            if not instance.set_aside
        )

    def in_flight(self) -> dict[str, int]:
        """Returns this VM's requests in flight, by instance."""
        counts: dict[str, int] = {}
        for pool in self._pools.values():
            counts.update(pool.in_flight())
        return counts

    def free_slots(self) -> dict[ServiceId, int]:
        """Returns the free slots that this VM may use, by service."""
        return {
            service: pool.free_slots(self.limits(service))
            for service, pool in self._pools.items()
        }

    def acquire(
        self,
        service: ServiceId,
        *,
        may_probe: bool,
        exclude: tuple[str, ...] = (),
    ) -> routing.Slot | None:
        """Takes a slot of the best instance of a service."""
        return self.pool(service).acquire(
            self.limits(service),
            time.monotonic(),
            may_probe=may_probe,
            exclude=exclude,
        )
