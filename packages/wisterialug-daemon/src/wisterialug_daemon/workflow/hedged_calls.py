"""Calls that begin side by side when the ones before them are not answered."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Generic, TypeVar

import eventlet
import eventlet.greenthread
import eventlet.queue
import result

from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, errors

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_Answer = TypeVar("_Answer")


class Progress:
    """What has arrived of the answer to an attempt.

    Attributes:
      begun: The answer has begun.
      heard_s: When bytes of the answer arrived last; before, when the attempt
        began.
    """

    def __init__(self, on_begin: Callable[[], None]) -> None:
        self.begun = False
        self.heard_s = clock.now_s()
        self._on_begin = on_begin

    def note(self) -> None:
        """Notes that bytes have arrived."""
        self.heard_s = clock.now_s()
        if not self.begun:
            self.begun = True
            self._on_begin()


@dataclasses.dataclass(frozen=True)
class Attempt(Generic[_Answer]):
    """One way to get an answer.

    Attributes:
      name: What is called.
      call: Makes the call; notes its progress.
      quiet_s: Time until the answer should begin.
      awaited: Others wait for it, and begin once it is quiet or has failed.
    """

    name: str
    call: Callable[[Progress], result.Result[_Answer, errors.StoreError]]
    quiet_s: float
    awaited: bool = True


class _Running(Generic[_Answer]):
    """An attempt under way."""

    def __init__(
        self,
        attempt: Attempt[_Answer],
        events: eventlet.queue.LightQueue,
    ) -> None:
        self.attempt = attempt
        self.progress = Progress(lambda: events.put((self, None)))
        self.silent = False
        self._events = events
        self._thread = eventlet.spawn(self._run)

    def _run(self) -> None:
        try:
            outcome = self.attempt.call(self.progress)
        except Exception as exc:  # noqa: BLE001 - logged; others go on
            logs.warning(
                "attempt-broken",
                attempt=self.attempt.name,
                error=f"{type(exc).__name__}: {exc}",
            )
            outcome = result.Err(errors.StoreUnknownError(str(exc)))
        self._events.put((self, outcome))

    def stop(self) -> None:
        """Ends the attempt."""
        self._thread.kill()

    def deadline_s(self, stall_s: float) -> float:
        """Returns when it counts as quiet unless more arrives."""
        allowed_s = stall_s if self.progress.begun else self.attempt.quiet_s
        return self.progress.heard_s + allowed_s


class HedgedCall(Generic[_Answer]):
    """Begins attempts in waves until one of them is answered.

    An answer that has begun ends the attempts whose answers have not: each
    answer may be large, and they would share the VM's link. Attempts that are
    quiet go on beside the next wave, so that no progress is lost.
    """

    def __init__(
        self, stall_s: float, on_silent: Callable[[str], None]
    ) -> None:
        """Creates a call.

        Args:
          stall_s: Pause within an answer after which the next wave begins.
          on_silent: Called with the name of an attempt without an answer.
        """
        self._stall_s = stall_s
        self._on_silent = on_silent
        self._events = eventlet.queue.LightQueue()
        self._running: list[_Running[_Answer]] = []
        self._errors: list[errors.StoreError] = []

    def run(
        self, waves: Iterable[list[Attempt[_Answer]]]
    ) -> result.Result[_Answer, errors.StoreError]:
        """Returns the first answer, or what the attempts failed with."""
        try:
            for wave in waves:
                self._running += [
                    _Running(attempt, self._events) for attempt in wave
                ]
                answer = self._wait_until_quiet()
                if answer is not None:
                    return answer
            return self._wait_for_begun() or self._failure()
        finally:
            for running in self._running:
                running.stop()

    def _wait_until_quiet(
        self,
    ) -> result.Result[_Answer, errors.StoreError] | None:
        """Waits for an answer until nothing more is expected for now."""
        while True:
            deadlines = [
                running.deadline_s(self._stall_s)
                for running in self._running
                if running.progress.begun
                or (running.attempt.awaited and not running.silent)
            ]
            now_s = clock.now_s()
            if not deadlines or max(deadlines) <= now_s:
                self._note_silent(now_s)
                return None
            answer = self._next_event(max(deadlines) - now_s)
            if answer is not None:
                return answer

    def _wait_for_begun(
        self,
    ) -> result.Result[_Answer, errors.StoreError] | None:
        """Waits for answers that have begun; each has a time of its own."""
        while any(running.progress.begun for running in self._running):
            answer = self._next_event(None)
            if answer is not None:
                return answer
        return None

    def _next_event(
        self, wait_s: float | None
    ) -> result.Result[_Answer, errors.StoreError] | None:
        """Waits for one event; returns an answer if it is one."""
        try:
            running, outcome = self._events.get(timeout=wait_s)
        except eventlet.queue.Empty:
            return None
        if running not in self._running:
            return None
        if outcome is None:
            self._stop_unbegun()
            return None
        self._running.remove(running)
        if outcome.is_ok():
            return outcome
        self._errors.append(outcome.err_value)
        return None

    def _stop_unbegun(self) -> None:
        for running in list(self._running):
            if not running.progress.begun:
                self._running.remove(running)
                running.stop()

    def _note_silent(self, now_s: float) -> None:
        for running in self._running:
            due_s = running.deadline_s(self._stall_s)
            if not running.silent and due_s <= now_s:
                running.silent = True
                self._on_silent(running.attempt.name)

    def _failure(self) -> result.Result[_Answer, errors.StoreError]:
        silent = [r.attempt.name for r in self._running if r.silent]
        reasons = [str(error) for error in self._errors]
        reasons += [f"{name} did not answer" for name in silent]
        reason = "; ".join(reasons) or "nothing to call"
        unknown = silent or any(
            isinstance(error, errors.StoreUnknownError)
            for error in self._errors
        )
        if unknown:
            return result.Err(errors.StoreUnknownError(reason))
        return result.Err(errors.StoreRefusedError(reason))
