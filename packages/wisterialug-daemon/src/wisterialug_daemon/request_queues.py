"""Queues of requests that wait for a slot of their service."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet
import eventlet.event
import result

from wisterialug_core.decisions import admission
from wisterialug_daemon import metrics

if TYPE_CHECKING:
    from wisterialug_core.decisions import routing
    from wisterialug_daemon import config_sync
    from wisterialug_daemon import instances as instances_lib

DEFAULT_WEIGHT = admission.DEFAULT_WEIGHT


class _WaitingRequest:
    """A waiting request, to which a slot or a refusal is sent."""

    def __init__(self, may_probe: bool) -> None:
        self.may_probe = may_probe
        self.outcome: eventlet.event.Event = eventlet.event.Event()


class RequestQueues:
    """Assigns slots to waiting requests, earliest deadline first."""

    def __init__(
        self,
        instances: instances_lib.Instances,
        config: config_sync.ConfigSync,
        max_waiting: int,
    ) -> None:
        self._instances = instances
        self._config = config
        self._max_waiting = max_waiting
        self._queues: dict[
            instances_lib.ServiceId, admission.ServiceQueue[_WaitingRequest]
        ] = {}
        self._shares = admission.CustomerShares(self._weight)

    def queue(
        self, service: instances_lib.ServiceId
    ) -> admission.ServiceQueue[_WaitingRequest]:
        """Returns the queue of a service."""
        return self._queues.setdefault(service, admission.ServiceQueue())

    def waiting(self) -> int:
        """Returns the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def expected_wait_s(self, service: instances_lib.ServiceId) -> float:
        """Returns how long a new request of a service would wait."""
        slots = self._instances.capacity(service)
        return self.queue(service).expected_wait_s(slots)

    def meets(self, service: instances_lib.ServiceId, deadline: float) -> bool:
        """Returns whether a new request may wait here for a slot."""
        slots = self._instances.capacity(service)
        return self.queue(service).meets(deadline, slots, time.monotonic())

    def take_slot(
        self,
        service: instances_lib.ServiceId,
        deadline: float,
        *,
        may_probe: bool,
        exclude: tuple[str, ...] = (),
    ) -> result.Result[routing.Slot, admission.Refusal]:
        """Takes a slot at once or waits for one.

        Args:
          service: Customer and service.
          deadline: Monotonic time by which the response is due.
          may_probe: Whether the request may go to a set-aside instance.
          exclude: Instances that the request was sent to before.

        Returns:
          A slot, or why there is none.
        """
        queue = self.queue(service)
        if len(queue) == 0:
            slot = self._instances.acquire(
                service, may_probe=may_probe, exclude=exclude
            )
            if slot is not None:
                return result.Ok(slot)
        if not self.meets(service, deadline):
            return result.Err(admission.Refusal.TOO_LATE)
        refusal = self._enforce_limits(service)
        if refusal is not None:
            return result.Err(refusal)
        return self._wait(service, deadline, may_probe)

    def _wait(
        self,
        service: instances_lib.ServiceId,
        deadline: float,
        may_probe: bool,
    ) -> result.Result[routing.Slot, admission.Refusal]:
        queue = self.queue(service)
        request = _WaitingRequest(may_probe)
        entry = queue.push(service[0], deadline, request)
        self._change_waiting(service[0], 1)
        timeout = eventlet.Timeout(
            max(0.0, deadline - queue.time_needed_s - time.monotonic())
        )
        try:
            return request.outcome.wait()
        except eventlet.Timeout as exc:
            if exc is not timeout:
                raise
            if queue.remove(entry):
                self._change_waiting(service[0], -1)
                return result.Err(admission.Refusal.EXPIRED)
            # Already dispatched or refused; the outcome is or will be set.
            return request.outcome.wait()
        finally:
            timeout.cancel()

    def dispatch(self, service: instances_lib.ServiceId) -> None:
        """Assigns free slots of a service to its waiting requests."""
        queue = self.queue(service)
        while len(queue):
            limits = self._instances.limits(service)
            if self._instances.pool(service).free_slots(limits) <= 0:
                return
            entry, expired = queue.pop(time.monotonic())
            for late in expired:
                self._change_waiting(late.customer, -1)
                late.item.outcome.send(result.Err(admission.Refusal.EXPIRED))
            if entry is None:
                return
            self._change_waiting(entry.customer, -1)
            slot = self._instances.acquire(
                service, may_probe=entry.item.may_probe
            )
            if slot is None:
                entry.item.outcome.send(
                    result.Err(admission.Refusal.QUEUE_FULL)
                )
                return
            entry.item.outcome.send(result.Ok(slot))

    def dispatch_all(self) -> None:
        """Assigns free slots of all services to their waiting requests."""
        for service in list(self._queues):
            self.dispatch(service)

    def _enforce_limits(
        self, service: instances_lib.ServiceId
    ) -> admission.Refusal | None:
        """Refuses a request, or displaces another, if a queue is full."""
        customer = service[0]
        for kind, name in (("customer", customer), ("service", service[1])):
            row = self._config.state.limit(customer, kind, name)
            if row is None or not row.HasField("max_queue"):
                continue
            waiting_count = (
                self._shares.waiting.get(customer, 0)
                if kind == "customer"
                else len(self.queue(service))
            )
            if waiting_count >= row.max_queue:
                return admission.Refusal.QUEUE_FULL
        if self.waiting() < self._max_waiting:
            return None
        displaced = self._shares.customer_to_displace(customer)
        if displaced == customer:
            return admission.Refusal.QUEUE_FULL
        self._displace(displaced)
        return None

    def _displace(self, customer: str) -> None:
        """Refuses the least urgent request in one of a customer's queues."""
        for (owner, _), queue in self._queues.items():
            if owner != customer:
                continue
            last = queue.least_urgent_of(customer)
            if last is not None and queue.remove(last):
                self._change_waiting(customer, -1)
                last.item.outcome.send(result.Err(admission.Refusal.DISPLACED))
                return

    def _weight(self, customer: str) -> int:
        row = self._config.state.limit(customer, "customer", customer)
        if row is None or not row.HasField("weight"):
            return DEFAULT_WEIGHT
        return row.weight

    def _change_waiting(self, customer: str, change: int) -> None:
        self._shares.add(customer, change)
        metrics.QUEUED.inc(change)
