"""Holds back the greenlets of VMs that are frozen."""

from __future__ import annotations

import contextlib
import heapq
import weakref
from typing import TYPE_CHECKING

import eventlet
import eventlet.hubs
import greenlet

from wisterialug_daemon.workflow import clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from eventlet.hubs import timer

    from wisterialug_standins import vm_links

# By this share of their distance, held timers keep their order.
ORDER_S = 1e-6


class FrozenGreenlets:
    """Delays the timers of frozen VMs, as a suspended process would.

    All VMs of a test share one hub, which resumes greenlets by timers only. A
    greenlet belongs to the VM that it was begun for by `begin`, or to that of
    the greenlet that spawned it. Greenlets that a semaphore resumes are not
    held back; they stop at their next call.
    """

    def __init__(self) -> None:
        self._hub = eventlet.hubs.get_hub()
        self._begun_s = self._hub.clock()
        # From the clock of the links to that of the hub.
        self._clock_offset_s = self._begun_s - clock.now_s()
        self._add_timer = self._hub.add_timer
        self._fire_timers = self._hub.fire_timers
        self._links: weakref.WeakKeyDictionary[
            greenlet.greenlet, vm_links.VmLink | None
        ] = weakref.WeakKeyDictionary()
        # Overrides the VM of new greenlets.
        self._begun_for: list[vm_links.VmLink | None] = []
        self._hub.add_timer = self._note_timer
        self._hub.fire_timers = self._fire_unfrozen

    def close(self) -> None:
        """Leaves the hub as it was."""
        del self._hub.add_timer
        del self._hub.fire_timers

    @contextlib.contextmanager
    def begin(self, link: vm_links.VmLink | None) -> Iterator[None]:
        """Lets all greenlets spawned here belong to a VM; to none if None."""
        self._begun_for.append(link)
        try:
            yield
        finally:
            self._begun_for.pop()

    def spawn_apart(self, function: Callable[..., None], *args: object) -> None:
        """Runs a function concurrently in a greenlet of no VM."""
        with self.begin(None):
            eventlet.spawn(function, *args)

    def _note_timer(self, new: timer.Timer) -> float:
        target = _target(new)
        if target is not None and not target and not target.dead:
            # It has not begun: this is the timer of its spawn.
            self._links[target] = (
                self._begun_for[-1]
                if self._begun_for
                else self._links.get(greenlet.getcurrent())
            )
        return self._add_timer(new)

    def _fire_unfrozen(self, now_s: float) -> None:
        timers = self._hub.timers
        due = []
        while timers and timers[0][0] <= now_s:
            due.append(heapq.heappop(timers))
        for due_s, entry in due:
            link = self._frozen_link(entry)
            held_s = due_s if link is None else self._held_s(link, due_s)
            heapq.heappush(timers, (held_s, entry))
        self._fire_timers(now_s)

    def _held_s(self, link: vm_links.VmLink, due_s: float) -> float:
        """Returns when a held timer fires; those of a VM keep their order."""
        order_s = (due_s - self._begun_s) * ORDER_S
        return link.frozen_until_s + self._clock_offset_s + order_s

    def _frozen_link(self, entry: timer.Timer) -> vm_links.VmLink | None:
        target = None if entry.called else _target(entry)
        link = self._links.get(target) if target is not None else None
        return link if link is not None and link.frozen else None


def _target(entry: timer.Timer) -> greenlet.greenlet | None:
    """Returns the greenlet that a timer resumes, if it can be told."""
    function, args, _ = entry.tpl
    bound = getattr(function, "__self__", None)
    if isinstance(bound, greenlet.greenlet):
        return bound
    # An event resumes the greenlet that it names last.
    last = args[-1] if args else None
    return last if isinstance(last, greenlet.greenlet) else None
