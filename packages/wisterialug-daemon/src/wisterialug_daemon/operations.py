"""Operators' requests, apart from those about jobs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from google.protobuf import json_format

from wisterialug_core import settings as settings_lib
from wisterialug_core.decisions import config_state, limits_sheet
from wisterialug_core.schema import config_pb2
from wisterialug_daemon import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from wisterialug_daemon import (
        config_sync,
        instances,
        members,
        presence,
        shards,
        vm_inventory,
    )

MAX_WAIT_S = 30.0
MAX_TIMEOUT_MS = 600_000
DRAIN_KINDS = ("vm", "worker", "instance", config_state.DATA_CENTRE_KIND)
_STATES = {
    "running": config_pb2.SERVICE_STATE_RUNNING,
    "draining": config_pb2.SERVICE_STATE_DRAINING,
    "stopped": config_pb2.SERVICE_STATE_STOPPED,
}
_STATE_NAMES = {value: name for name, value in _STATES.items()}


class Operations:
    """Carries out operators' requests on this VM."""

    def __init__(
        self,
        config: config_sync.ConfigSync,
        members_: members.Members,
        inventory: vm_inventory.VmInventory,
        instances_: instances.Instances,
        presence_: presence.Presence,
        shards_: shards.Shards,
        ready: Callable[[], bool],
    ) -> None:
        self._config = config
        self._members = members_
        self._inventory = inventory
        self._instances = instances_
        self._presence = presence_
        self._shards = shards_
        self._ready = ready

    def status(self) -> dict[str, object]:
        """Returns the state of this VM and of its instances."""
        return {
            "vm": self._members.table.own.vm,
            "data_centre": self._members.table.own.data_centre,
            "ready": self._ready(),
            "config_revision": self._config.state.revision,
            "slots_usable": self._presence.slots_usable(),
            "shards": sorted(self._shards.runners),
            "instances": [
                {
                    "id": instance.id,
                    "service": f"{service[0]}/{service[1]}",
                    "in_flight": instance.in_flight,
                    "limit": self._instances.limits(service).get(
                        instance.id, 0
                    ),
                    "latency_ms": round(instance.latency_s * 1000, 1),
                    "set_aside": instance.set_aside,
                    "leaving": instance.leaving,
                }
                for service in self._instances.free_slots()
                for instance in self._instances.pool(service).instances()
            ],
        }

    def list_vms(self) -> list[dict[str, object]]:
        """Returns all entry VMs as seen by this one."""
        now = time.monotonic()
        table = self._members.table
        return [
            {
                "id": record.vm,
                "data_centre": record.data_centre,
                "state": table.state(record.vm, now).value,
                "config_revision": record.applied_revision,
                "shards": sorted(load.shard for load in record.shards),
            }
            for record in sorted(table.records(), key=lambda r: r.vm)
        ]

    def export_table(self) -> dict[str, object]:
        """Returns the table of weights and limits as CSV."""
        rows = self._config.state.live_rows("limit/")
        return {
            "revision": self._config.state.revision,
            "csv": limits_sheet.export(row.limit for row in rows),
        }

    def apply_table(self, body: dict) -> dict[str, object]:
        """Changes cells unless another operator changed them first."""
        changes = [_cell(change) for change in _list(body, "changes")]

        def build(
            state: config_state.ConfigState,
        ) -> list[config_pb2.ConfigRow]:
            found = config_state.conflicts(state, changes)
            if found:
                raise errors.OperatorError(
                    409,
                    "another operator changed the cells first",
                    [str(conflict) for conflict in found],
                )
            rows = limits_sheet.changed_rows(state, changes)
            if rows.is_err():
                raise errors.OperatorError(
                    400,
                    "cells are not valid",
                    [str(fault) for fault in rows.err_value],
                )
            return rows.ok_value

        return {"revision": self._change(build, body)}

    def in_force(self, body: dict) -> dict[str, object]:
        """Waits until a revision is in force on all reachable VMs."""
        revision = _number(body, "revision", 0, 2**53)
        wait_s = min(MAX_WAIT_S, float(body.get("timeout_s", MAX_WAIT_S)))
        reached, lagging, dead = self._config.wait_in_force(revision, wait_s)
        return {
            "revision": revision,
            "in_force": reached,
            "lagging": lagging,
            "unreachable": dead,
        }

    def list_services(self) -> list[dict[str, object]]:
        """Returns all services."""
        return [
            {
                "customer": row.service.customer,
                "name": row.service.name,
                "state": _STATE_NAMES[row.service.state],
                "idempotent": row.service.idempotent,
                "timeout_ms": row.service.timeout_ms,
            }
            for row in self._config.state.live_rows("service/")
        ]

    def create_service(self, body: dict) -> dict[str, object]:
        """Creates a service, or changes its timeout and idempotence."""
        customer, name = _name(body, "customer"), _name(body, "name")
        service = config_pb2.Service(
            customer=customer,
            name=name,
            idempotent=bool(body.get("idempotent", False)),
            timeout_ms=_number(body, "timeout_ms", 0, MAX_TIMEOUT_MS),
        )

        def build(
            state: config_state.ConfigState,
        ) -> list[config_pb2.ConfigRow]:
            if not state.has_customer(customer):
                raise errors.OperatorError(
                    400,
                    "the service is not valid",
                    [f"field customer: {customer!r} is not in the table"],
                )
            key = config_state.service_key(customer, name)
            return [config_pb2.ConfigRow(key=key, service=service)]

        return {"revision": self._change(build, body)}

    def set_service_state(
        self, customer: str, name: str, body: dict
    ) -> dict[str, object]:
        """Starts, drains or stops a service."""
        state_name = body.get("state")
        if state_name not in _STATES:
            raise errors.OperatorError(
                400,
                "the state is not valid",
                [f"field state: {state_name!r}; allowed: {', '.join(_STATES)}"],
            )

        def build(
            state: config_state.ConfigState,
        ) -> list[config_pb2.ConfigRow]:
            current = state.service(customer, name)
            if current is None:
                raise errors.OperatorError(
                    404, f"there is no service {customer}/{name}", []
                )
            service = config_pb2.Service()
            service.CopyFrom(current)
            service.state = _STATES[state_name]
            key = config_state.service_key(customer, name)
            return [config_pb2.ConfigRow(key=key, service=service)]

        return {"revision": self._change(build, body)}

    def drain(self, body: dict) -> dict[str, object]:
        """Drains a VM, worker, instance or data centre, or ends its drain."""
        kind, target = body.get("kind"), _name(body, "id")
        on = body.get("on", True)
        if kind not in DRAIN_KINDS:
            raise errors.OperatorError(
                400,
                "the drain is not valid",
                [f"field kind: {kind!r}; allowed: {', '.join(DRAIN_KINDS)}"],
            )
        # The VMs of an evacuated data centre may all be gone when it ends.
        ends_evacuation = kind == config_state.DATA_CENTRE_KIND and not on
        if not ends_evacuation and target not in self._drainable(kind):
            raise errors.OperatorError(
                404, f"the VM list has no {kind} {target!r}", []
            )
        row = config_pb2.ConfigRow(
            key=config_state.drain_key(kind, target),
            deleted=not on,
            drain=config_pb2.Drain(kind=kind, id=target),
        )
        return {"revision": self._change(lambda state: [row], body)}

    def _drainable(self, kind: str) -> Collection[str]:
        vms = self._inventory.vms
        if kind == config_state.DATA_CENTRE_KIND:
            return {vm.data_centre for vm in vms.values()}
        return vms.keys()

    def _change(
        self,
        build: Callable[[config_state.ConfigState], list[config_pb2.ConfigRow]],
        body: dict,
    ) -> int:
        outcome = self._config.change(build, str(body.get("operator", "")))
        if outcome.is_err():
            raise outcome.err_value
        return outcome.ok_value


def _cell(change: object) -> config_pb2.CellChange:
    try:
        return json_format.ParseDict(change, config_pb2.CellChange())
    except (json_format.ParseError, AttributeError, TypeError) as exc:
        raise errors.OperatorError(
            400, "a cell change is not valid", [str(exc)]
        ) from exc


def _list(body: dict, field: str) -> list[object]:
    value = body.get(field)
    if not isinstance(value, list):
        raise errors.OperatorError(
            400, "the request is not valid", [f"field {field}: not a list"]
        )
    return value


def _name(body: dict, field: str) -> str:
    value = body.get(field)
    if isinstance(value, str) and settings_lib.NAME_PATTERN.fullmatch(value):
        return value
    raise errors.OperatorError(
        400,
        "the request is not valid",
        [
            f"field {field}: {value!r};"
            " allowed: 1 to 63 letters, digits, '.', '_' or '-'"
        ],
    )


def _number(body: dict, field: str, low: int, high: int) -> int:
    value = body.get(field, 0)
    if isinstance(value, int) and low <= value <= high:
        return value
    raise errors.OperatorError(
        400,
        "the request is not valid",
        [f"field {field}: {value!r}; allowed: {low} to {high}"],
    )
