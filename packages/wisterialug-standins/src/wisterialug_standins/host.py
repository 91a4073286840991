"""Runs the stand-ins of a JSON specification in one process."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

import eventlet
import eventlet.hubs
import eventlet.wsgi

from wisterialug_core.decisions import resources
from wisterialug_standins import (
    instance,
    object_store,
    proxy,
    table,
    vm_list,
    worker,
)

if TYPE_CHECKING:
    from collections.abc import Callable


def run(spec_text: str) -> None:
    """Serves all stand-ins of a specification until the parent exits.

    Args:
      spec_text: A JSON list of objects: kind, ip, port and the kind's fields.
    """
    control = proxy.ProxyControl()
    for entry in json.loads(spec_text):
        address = (entry["ip"], entry["port"])
        if entry["kind"] == "proxy":
            target = tuple(entry["target"])
            control.proxies[entry["name"]] = proxy.FaultProxy(address, target)
        else:
            application = _application(entry, control)
            eventlet.spawn(_serve, address, application)
    eventlet.sleep(0)
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    # Standard input is a pipe, which closes when the parent exits.
    eventlet.hubs.trampoline(sys.stdin.fileno(), read=True)


def _application(
    entry: dict, control: proxy.ProxyControl
) -> Callable[..., object]:
    kind = entry["kind"]
    if kind == "table":
        return table.TableStandIn()
    if kind == "vm-list":
        return vm_list.VmListStandIn()
    if kind == "proxy-control":
        return control
    if kind == "worker":
        return worker.WorkerStandIn(
            resources.Amount(*entry["capacity"]), entry["objects"]
        )
    if kind == "object-store":
        return object_store.ObjectStoreStandIn()
    if kind == "instance":
        return instance.InstanceStandIn(
            entry["name"], entry["mean_s"], entry["slots"]
        )
    raise ValueError(f"unknown kind of stand-in: {kind!r}")


def _serve(address: tuple[str, int], application: Callable) -> None:
    eventlet.wsgi.server(
        eventlet.listen(address, backlog=512),
        application,
        log_output=False,
        debug=False,
        max_size=4096,
    )
