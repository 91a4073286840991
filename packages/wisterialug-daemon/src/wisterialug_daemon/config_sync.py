"""Config replication: commits to the table, updates from any member."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet
import result

from wisterialug_core.decisions import config_state, membership
from wisterialug_core.schema import config_pb2, peer_pb2
from wisterialug_daemon import errors, events, logs, metrics
from wisterialug_daemon import members as members_lib
from wisterialug_daemon.adapters import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    Build = Callable[[config_state.ConfigState], list[config_pb2.ConfigRow]]

HEAD_KEY = "config/head"
ROW_PREFIX = "config/row/"
REVISION_PREFIX = "config/revision/"
PUSH_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 1.0
COMMIT_RETRY_S = 4.0
MAX_COMMIT_ATTEMPTS = 8
# Revision rows kept, so that a late retry sees that its commit succeeded.
REVISION_ROWS_KEPT = 10_000
# Interval at which an operator's wait checks the members' revisions.
IN_FORCE_POLL_S = 0.05
MEMBERS_REQUEST_INTERVAL_S = 0.5


class ConfigSync:
    """Holds the config in force on this VM and keeps it up to date."""

    def __init__(
        self,
        table: table_lib.TableClient,
        members: members_lib.Members,
        registry: events.EventRegistry,
    ) -> None:
        self.state = config_state.ConfigState()
        self.ready = False
        self._table = table
        self._members = members
        self._events = registry

    # Receiving.

    def poll(self) -> None:
        """Reads the head from the table, and the rows if it is newer."""
        head = self._table.read_one(HEAD_KEY, urgent=True)
        if head.is_err():
            self._fetch_from_peers()
            return
        revision = _head_revision(head.ok_value)
        if revision > self.state.revision:
            self._read_table(urgent=True)
        else:
            self._mark_ready()
        self._fetch_from_peers()

    def on_push(
        self, delta: config_pb2.ConfigDelta
    ) -> peer_pb2.PushConfigResponse:
        """Applies a pushed delta and relays it if it is newer."""
        newer = delta.revision > self.state.revision
        self.apply(delta, "push")
        if newer:
            self._relay(delta)
        return peer_pb2.PushConfigResponse(applied_revision=self.state.revision)

    def on_fetch(
        self, req: peer_pb2.FetchConfigRequest
    ) -> config_pb2.ConfigDelta:
        """Answers a peer that is behind."""
        return self.state.delta_since(req.base_revision)

    def apply(self, delta: config_pb2.ConfigDelta, way: str) -> None:
        """Applies a delta if it is newer and leaves no gap."""
        changed = self.state.apply(delta)
        if changed.is_err():
            eventlet.spawn(self._fetch_from_peers)
            return
        if not changed.ok_value:
            return
        self._members.table.own.applied_revision = self.state.revision
        metrics.CONFIG_REVISION.set(self.state.revision)
        metrics.CONFIG_UPDATES.labels(way).inc()
        logs.event("config-applied", revision=self.state.revision, way=way)
        self._events.emit(events.Event.CONFIG_APPLIED)

    def _fetch_from_peers(self) -> None:
        """Fetches newer rows from the members with the highest revisions."""
        now = time.monotonic()
        peers = self._members.table.peers(now, members_lib.PRESENT)
        ahead = [
            record
            for record in peers
            if record.applied_revision > self.state.revision
        ]
        for record in sorted(ahead, key=lambda r: -r.applied_revision)[:2]:
            req = peer_pb2.FetchConfigRequest(base_revision=self.state.revision)
            answer = self._members.call(
                record, "FetchConfig", req, FETCH_TIMEOUT_S
            )
            if answer.is_ok():
                self.apply(answer.ok_value, "peer")
                self._mark_ready()
                return
        if any(record.applied_revision for record in peers):
            # Peers with a config supplied no newer one, so this VM's is used.
            self._mark_ready()

    def _mark_ready(self) -> None:
        if not self.ready:
            self.ready = True
            logs.event("config-ready", revision=self.state.revision)

    def _read_table(self, *, urgent: bool) -> bool:
        """Reads all rows between two reads of an unchanged head."""
        before = self._table.read_one(HEAD_KEY, urgent=urgent)
        rows = self._table.scan(ROW_PREFIX, urgent=urgent)
        head = self._table.read_one(HEAD_KEY, urgent=urgent)
        if before.is_err() or rows.is_err() or head.is_err():
            return False
        if before.ok_value.version != head.ok_value.version:
            return False
        revision = _head_revision(head.ok_value)
        parsed = [
            config_pb2.ConfigRow.FromString(row.value)
            for row in rows.ok_value
            if row.value is not None
        ]
        delta = config_pb2.ConfigDelta(
            base_revision=0, revision=revision, rows=parsed
        )
        self.apply(delta, "table")
        self._mark_ready()
        return True

    # Committing.

    def change(
        self, build: Build, operator: str
    ) -> result.Result[int, errors.OperatorError]:
        """Commits a change as the next revision.

        Args:
          build: Returns the changed rows for the newest state, or raises an
            OperatorError; called again after a conflict.
          operator: Name of the operator, for the log.

        Returns:
          The committed revision, or an error.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            head = self._table.read_one(HEAD_KEY, urgent=True)
            if head.is_err():
                return result.Err(_table_unavailable("not accepted"))
            if _head_revision(head.ok_value) > self.state.revision:
                self._read_table(urgent=True)
                continue
            try:
                rows = build(self.state)
            except errors.OperatorError as exc:
                return result.Err(exc)
            if not rows:
                return result.Ok(self.state.revision)
            delta = config_state.next_delta(self.state, rows)
            outcome = self._table.commit(
                _transaction(delta, head.ok_value.version),
                COMMIT_RETRY_S,
                urgent=True,
            )
            if outcome.is_ok():
                self._publish(delta, operator)
                return result.Ok(delta.revision)
            if isinstance(outcome.err_value, errors.TableConflictError):
                continue
            unsent = isinstance(outcome.err_value, errors.TableUnreachableError)
            return result.Err(
                _table_unavailable("not accepted" if unsent else "unknown")
            )
        return result.Err(
            errors.OperatorError(409, "too many concurrent config changes", [])
        )

    def _publish(self, delta: config_pb2.ConfigDelta, operator: str) -> None:
        logs.event(
            "config-accepted", revision=delta.revision, operator=operator
        )
        self.apply(delta, "own")
        own_centre = self._members.table.own.data_centre
        now = time.monotonic()
        remote_seen: set[str] = set()
        for record in self._members.table.peers(now, members_lib.PRESENT):
            if record.data_centre != own_centre:
                # One VM of each other data centre relays it.
                if record.data_centre in remote_seen:
                    continue
                remote_seen.add(record.data_centre)
            eventlet.spawn(
                self._members.call, record, "PushConfig", delta, PUSH_TIMEOUT_S
            )

    def _relay(self, delta: config_pb2.ConfigDelta) -> None:
        """Relays a pushed delta to the local peers that lack it."""
        now = time.monotonic()
        own_centre = self._members.table.own.data_centre
        for record in self._members.table.peers(now, members_lib.PRESENT):
            if (
                record.data_centre == own_centre
                and record.applied_revision < delta.revision
            ):
                eventlet.spawn(
                    self._members.call,
                    record,
                    "PushConfig",
                    delta,
                    PUSH_TIMEOUT_S,
                )

    # Waiting until in force.

    def wait_in_force(
        self, revision: int, timeout_s: float
    ) -> tuple[list[str], list[str], list[str]]:
        """Waits until all reachable VMs have applied a revision.

        Revisions only grow, so a VM once seen at the revision stays counted.

        Returns:
          The VMs that have applied it, that lag, and that are dead.
        """
        deadline = time.monotonic() + timeout_s
        reached: set[str] = set()
        requested_at = 0.0
        while True:
            now = time.monotonic()
            if now - requested_at >= MEMBERS_REQUEST_INTERVAL_S:
                requested_at = now
                self._request_members()
            lagging, dead = [], []
            for record in self._members.table.records():
                if record.applied_revision >= revision:
                    reached.add(record.vm)
                if record.vm in reached:
                    continue
                state = self._members.table.state(record.vm, now)
                if state is membership.MemberState.DEAD:
                    dead.append(record.vm)
                else:
                    lagging.append(record.vm)
            if not lagging or now >= deadline:
                return sorted(reached), sorted(lagging), sorted(dead)
            eventlet.sleep(IN_FORCE_POLL_S)

    def _request_members(self) -> None:
        """Requests the member records of each data centre from one VM."""
        centres: set[str] = set()
        now = time.monotonic()
        for record in self._members.table.peers(now, members_lib.PRESENT):
            if record.data_centre not in centres:
                centres.add(record.data_centre)
                eventlet.spawn(self._request_from, record)

    def _request_from(self, record: peer_pb2.Member) -> None:
        answer = self._members.call(
            record, "Members", peer_pb2.MembersRequest(), FETCH_TIMEOUT_S
        )
        if answer.is_ok():
            self._members.table.merge(answer.ok_value.members, time.monotonic())


def _transaction(
    delta: config_pb2.ConfigDelta, head_version: int
) -> table_lib.Transaction:
    revision_key = _revision_key(delta.revision)
    puts = [
        (revision_key, b""),
        (
            HEAD_KEY,
            config_pb2.ConfigHead(revision=delta.revision).SerializeToString(),
        ),
    ]
    puts += [
        (ROW_PREFIX + row.key, row.SerializeToString()) for row in delta.rows
    ]
    return table_lib.Transaction(
        conditions=(
            table_lib.Condition(HEAD_KEY, head_version),
            table_lib.Condition(revision_key, 0),
        ),
        puts=tuple(puts),
        deletes=(_revision_key(max(0, delta.revision - REVISION_ROWS_KEPT)),),
    )


def _revision_key(revision: int) -> str:
    return f"{REVISION_PREFIX}{revision:012d}"


def _head_revision(row: table_lib.Row) -> int:
    if row.value is None:
        return 0
    return config_pb2.ConfigHead.FromString(row.value).revision


def _table_unavailable(effect: str) -> errors.OperatorError:
    return errors.OperatorError(
        503,
        f"the table service does not answer; the change is {effect}",
        [],
    )
