"""The VM list as last read, split by role."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_daemon import events

if TYPE_CHECKING:
    from wisterialug_core.schema import work_pb2
    from wisterialug_daemon.adapters import vm_list


class VmInventory:
    """Keeps the last VM list that could be read."""

    def __init__(
        self, service: vm_list.VmListService, registry: events.EventRegistry
    ) -> None:
        self._service = service
        self._events = registry
        self.vms: dict[str, work_pb2.Vm] = {}
        self.loaded = False

    def refresh(self) -> None:
        """Reads the list; keeps the old one if that fails."""
        answer = self._service.read()
        if answer.is_err():
            return
        self.vms = {vm.id: vm for vm in answer.ok_value.vms}
        self.loaded = True
        self._events.emit(events.Event.VM_LIST_READ)

    def of_role(
        self, role: work_pb2.VmRole, data_centre: str | None = None
    ) -> list[work_pb2.Vm]:
        """Returns the VMs of a role, of all data centres or of one."""
        return [
            vm
            for vm in self.vms.values()
            if vm.role == role and data_centre in (None, vm.data_centre)
        ]

    def has(self, vm_id: str, incarnation: str) -> bool:
        """Returns whether the list has a VM with this incarnation or none."""
        vm = self.vms.get(vm_id)
        return vm is not None and vm.incarnation in ("", incarnation)
