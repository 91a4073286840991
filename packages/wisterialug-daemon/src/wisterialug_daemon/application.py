"""Wires the daemon's components and runs their periodic work."""

from __future__ import annotations

import contextlib
import hashlib
import pathlib
import random
import secrets
import time
from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.decisions import membership, roster, takeover
from wisterialug_core.schema import peer_pb2
from wisterialug_daemon import (
    background,
    config_sync,
    events,
    forwarding,
    idempotency_store,
    instances,
    jobs,
    logs,
    members,
    metrics,
    operations,
    presence,
    request_queues,
    router,
    shards,
    vm_inventory,
)
from wisterialug_daemon.adapters import peer, table, upstream, vm_list
from wisterialug_daemon.http import (
    callers,
    limits,
    monitoring,
    operators,
    server,
)

if TYPE_CHECKING:
    from wisterialug_core.schema import settings_pb2

MS_PER_HOUR = 3_600_000
SLOT_GRANT_S = 3.0
SWEEP_INTERVAL_S = 60.0
SLOT_SHARES_INTERVAL_S = 0.4
DISPATCH_INTERVAL_S = 0.1
DRAIN_POLL_INTERVAL_S = 0.05


class Application:
    """The daemon of one entry VM: routing, scheduling and membership."""

    def __init__(self, cfg: settings_pb2.DaemonSettings) -> None:
        self._cfg = cfg
        self._stack = contextlib.ExitStack()
        self._draining = False
        self._stopped = eventlet.event.Event()
        self._events = events.EventRegistry()
        self._rng = random.Random(_seed(cfg.vm_id))
        self._session = secrets.token_hex(8)
        self._make_adapters()
        self._make_components()
        self._connect_events()

    def _make_adapters(self) -> None:
        cfg = self._cfg
        table_service = table.HttpTableService(
            cfg.table_url, cfg.table_timeout_s
        )
        self._stack.callback(table_service.close)
        self._table = table.TableClient(table_service, cfg.table_ops_per_s)
        vm_service = vm_list.HttpVmListService(
            cfg.vm_list_url, cfg.table_timeout_s
        )
        self._stack.callback(vm_service.close)
        self._inventory = vm_inventory.VmInventory(vm_service, self._events)
        self._upstream = upstream.HttpUpstreamClient(
            cfg.slots_per_instance, cfg.max_body_bytes
        )
        self._stack.callback(self._upstream.close)
        self._workers = upstream.HttpWorkerClient()
        self._stack.callback(self._workers.close)
        self._peers = peer.PeerClient()
        self._stack.callback(self._peers.close)

    def _make_components(self) -> None:
        cfg = self._cfg
        own = peer_pb2.Member(
            vm=cfg.vm_id,
            incarnation=self._session,
            started_unix_ms=int(time.time() * 1000),
            data_centre=cfg.data_centre,
            ip=cfg.ip,
            peer_port=cfg.peer_port,
        )
        self._shares = roster.SlotShares(
            self._session, SLOT_GRANT_S, cfg.default_timeout_ms / 1000
        )
        self._members = members.Members(
            own,
            membership.Timeouts(cfg.suspect_after_s, cfg.dead_after_s),
            self._peers,
            self._inventory,
            self._shares,
            self._rng,
        )
        self._presence = presence.Presence(
            cfg.vm_id,
            self._session,
            cfg.data_centre,
            cfg.session_lease_s,
            self._table,
            self._members,
            self._inventory,
            self._shares,
            self._events,
        )
        self._config = config_sync.ConfigSync(
            self._table, self._members, self._events
        )
        self._make_request_path()
        self._make_scheduling()

    def _make_request_path(self) -> None:
        cfg = self._cfg
        self._instances = instances.Instances(
            cfg.data_centre,
            cfg.routing_policy,
            cfg.slots_per_instance,
            self._inventory,
            self._config,
            self._shares,
            self._presence,
            self._rng,
        )
        self._presence.in_flight = self._instances.in_flight
        self._presence.slots_per_instance = cfg.slots_per_instance
        self._queues = request_queues.RequestQueues(
            self._instances, self._config, cfg.max_queue
        )
        self._idempotency = idempotency_store.IdempotencyStore(
            self._table, cfg.vm_id, int(cfg.once_retention_h * MS_PER_HOUR)
        )
        self._router = router.Router(
            self._config,
            self._instances,
            self._queues,
            self._idempotency,
            self._upstream,
            self._members,
            forwarding.Forwarder(self._members, self._instances, self._queues),
            cfg.retry_budget_fraction,
            cfg.late_answer_limit_s,
        )

    def _make_scheduling(self) -> None:
        cfg = self._cfg
        self._shards = shards.Shards(
            cfg.vm_id,
            cfg.data_centre,
            cfg.placement_policy,
            cfg.task_lease_s,
            takeover.renewal_interval_s(
                cfg.task_lease_s,
                cfg.session_lease_s,
                cfg.worker_sync_interval_s,
            ),
            cfg.service_target_ratio,
            self._table,
            self._workers,
            self._inventory,
            self._config,
            self._presence,
        )
        self._presence.holds_shards = lambda: bool(self._shards.runners)
        self._jobs = jobs.Jobs(
            self._table, self._config, self._members, self._shards
        )
        self._operations = operations.Operations(
            self._config,
            self._members,
            self._inventory,
            self._instances,
            self._presence,
            self._shards,
            self.ready,
        )

    def _connect_events(self) -> None:
        connect = self._events.connect
        connect(events.Event.VM_LIST_READ, self._members.on_vm_list_read)
        connect(events.Event.VM_LIST_READ, self._instances.refresh)
        connect(events.Event.CONFIG_APPLIED, self._instances.refresh)
        connect(events.Event.CONFIG_APPLIED, self._drain_if_configured)
        connect(events.Event.ROSTER_CHANGED, self._presence.update_shares)

    # Running.

    def ready(self) -> bool:
        """Returns whether the load balancer should send requests here.

        A new VM is not ready until it has its share of the slots, unless the
        table service is unavailable; it can then only forward requests.
        """
        return (
            self._serving()
            and not self._draining
            and (self._presence.has_share or not self._table.healthy)
        )

    def _serving(self) -> bool:
        """Returns whether the config and the VM list are known."""
        return self._config.ready and self._inventory.loaded

    def run(self) -> None:
        """Runs until the daemon has shut down."""
        with self._stack:
            self._listen()
            self._start_loops()
            logs.event("started", vm=self._cfg.vm_id, session=self._session)
            self._stopped.wait()
        logs.event("stopped", vm=self._cfg.vm_id)

    def _listen(self) -> None:
        cfg = self._cfg
        token = pathlib.Path(cfg.operator_token_file).read_text().strip()
        peer_server = peer.PeerServer(self._peer_handlers())
        peer_server.start(cfg.ip, cfg.peer_port)
        self._stack.callback(peer_server.close)
        monitoring_server = server.WsgiServer(
            cfg.ip,
            cfg.metrics_port,
            monitoring.MonitoringApplication(self.ready),
            name=limits.Port.METRICS,
        )
        self._stack.callback(monitoring_server.close)
        operator_server = server.WsgiServer(
            cfg.ip,
            cfg.operator_port,
            operators.OperatorsApplication(token, self._operations, self._jobs),
            limits.port_limits(limits.Port.OPERATORS, operators.MAX_BODY_BYTES),
            limits.Port.OPERATORS,
        )
        self._stack.callback(operator_server.close, 1.0)
        self._caller_server = server.WsgiServer(
            cfg.ip,
            cfg.caller_port,
            callers.CallersApplication(
                self._router,
                self._serving,
                self._timeout_ms_of,
                cfg.max_body_bytes,
                router.SAFE_METHODS,
            ),
            limits.port_limits(limits.Port.CALLERS, cfg.max_body_bytes),
            limits.Port.CALLERS,
        )
        self._stack.callback(self._caller_server.close)

    def _peer_handlers(self) -> dict[str, peer.Handler]:
        return {
            "Exchange": self._members.on_exchange,
            "Members": self._members.on_members,
            "PushConfig": self._config.on_push,
            "FetchConfig": self._config.on_fetch,
            "Forward": self._router.on_forward,
            "WakeShard": self._on_wake_shard,
            "Describe": self._shards.describe,
        }

    def _on_wake_shard(
        self, req: peer_pb2.WakeShardRequest
    ) -> peer_pb2.WakeShardResponse:
        self._shards.wake(req.shard)
        return peer_pb2.WakeShardResponse()

    def _start_loops(self) -> None:
        cfg = self._cfg
        renew_s = cfg.session_lease_s / presence.RENEWALS_PER_LEASE
        for interval_s, work in (
            (cfg.vm_list_interval_s, self._inventory.refresh),
            (cfg.heartbeat_interval_s, self._exchange),
            (cfg.config_poll_interval_s, self._config.poll),
            (renew_s, self._presence.renew),
            (takeover.WATCH_INTERVAL_S, self._presence.watch),
            (takeover.WATCH_INTERVAL_S, self._shards.update),
            (SLOT_SHARES_INTERVAL_S, self._presence.update_shares),
            (DISPATCH_INTERVAL_S, self._queues.dispatch_all),
            (SWEEP_INTERVAL_S, self._idempotency.sweep),
        ):
            background.run_every(self._stack, interval_s, work, self._rng)
        background.measure_loop_lag(self._stack)

    def _exchange(self) -> None:
        """Updates this VM's member record and exchanges it with peers."""
        own = self._members.table.own
        own.queued = self._queues.waiting()
        own.leaving = self._draining
        del own.loads[:]
        for service, free in self._instances.free_slots().items():
            own.loads.add(
                customer=service[0], service=service[1], free_slots=free
            )
        del own.shards[:]
        own.shards.extend(self._shards.loads())
        self._members.exchange_round()

    def _timeout_ms_of(self, customer: str, service: str) -> int:
        row = self._config.state.service(customer, service)
        if row is None or not row.timeout_ms:
            return self._cfg.default_timeout_ms
        return row.timeout_ms

    # Stopping.

    def _drain_if_configured(self) -> None:
        if self._cfg.vm_id in self._config.state.drained("vm"):
            eventlet.spawn(self.stop)

    def stop(self) -> None:
        """Shuts down gracefully, within the drain timeout.

        Reports not ready and releases all shards, serves requests until the
        load balancer has noticed, waits for requests in flight, and then
        gives up the slots and the session.
        """
        if self._draining:
            return
        self._draining = True
        deadline = time.monotonic() + self._cfg.drain_timeout_s
        metrics.READY.set(0)
        logs.event("draining", vm=self._cfg.vm_id)
        self._events.emit(events.Event.DRAINING)
        self._presence.stop_claiming()
        self._caller_server.end_keepalive()
        self._shards.release_all()
        eventlet.sleep(self._cfg.balancer_lag_s)
        left_s = max(0.1, deadline - time.monotonic())
        self._caller_server.close(left_s)
        while (
            any(self._instances.in_flight().values())
            and time.monotonic() < deadline
        ):
            eventlet.sleep(DRAIN_POLL_INTERVAL_S)
        self._presence.leave()
        if not self._stopped.ready():
            self._stopped.send()


def _seed(vm_id: str) -> int:
    """Returns a seed that differs between VMs and restarts."""
    digest = hashlib.blake2b(vm_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") ^ secrets.randbits(64)
