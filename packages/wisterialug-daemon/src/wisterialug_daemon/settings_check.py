"""Checks of settings that depend on each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core import errors, settings
from wisterialug_core.decisions import takeover

if TYPE_CHECKING:
    from wisterialug_core.schema import settings_pb2

# A new shard owner waits until the old one's session lease expires and needs
# up to as long again to reach all workers; tasks must outlive that.
TASK_LEASES_PER_SESSION_LEASE = 2
_PORTS = ("caller_port", "operator_port", "peer_port", "metrics_port")


def check(cfg: settings_pb2.DaemonSettings) -> list[errors.SettingError]:
    """Returns one error for each setting that conflicts with others."""
    found = []
    minimum = max(
        TASK_LEASES_PER_SESSION_LEASE * cfg.session_lease_s,
        takeover.shortest_task_lease_s(cfg.session_lease_s),
    )
    if cfg.task_lease_s < minimum:
        found.append(
            _error(
                cfg,
                "task_lease_s",
                f"{minimum:g} s or more,"
                " so that tasks outlive a change of shard owner",
            )
        )
    if cfg.suspect_after_s < 2 * cfg.heartbeat_interval_s:
        found.append(
            _error(
                cfg, "suspect_after_s", "twice --heartbeat-interval-s or more"
            )
        )
    if cfg.dead_after_s <= cfg.suspect_after_s:
        found.append(_error(cfg, "dead_after_s", "more than --suspect-after-s"))
    if cfg.drain_timeout_s <= cfg.balancer_lag_s:
        found.append(
            _error(cfg, "drain_timeout_s", "more than --balancer-lag-s")
        )
    used: set[int] = set()
    for name in _PORTS:
        if getattr(cfg, name) in used:
            found.append(_error(cfg, name, "a port that no other setting uses"))
        used.add(getattr(cfg, name))
    return found


def _error(
    cfg: settings_pb2.DaemonSettings, name: str, allowed: str
) -> errors.SettingError:
    value = getattr(cfg, name)
    return errors.SettingError(settings.flag_name(name), f"{value:g}", allowed)
