"""What this VM knows of the data centres that are out of service."""

from __future__ import annotations

from wisterialug_core.workflow import evacuations
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import clock

# Part of the time within which an evacuation must be in force. The rest is left
# for an order that is sent by the view at its oldest: it waits for its turn and
# then for its answer, 0.8 s each.
MAX_AGE_SHARE = 0.65


class EvacuationView:
    """The newest evacuations read, while they are recent enough to start runs.

    Attributes:
      max_age_s: Age from which they count as unknown; None where data centres
        are not evacuated.
    """

    def __init__(self, within_ms: int | None) -> None:
        self.max_age_s = within_ms and MAX_AGE_SHARE * within_ms / 1000
        self._newest = evacuations.UNKNOWN
        self._confirmed_s = 0.0

    def current(self) -> evacuations.Evacuations:
        """Returns the evacuations to decide by now."""
        if self.max_age_s is None:
            return evacuations.NONE
        if clock.now_s() - self._confirmed_s > self.max_age_s:
            return evacuations.UNKNOWN
        return self._newest

    def apply(self, changes: evacuations.Changes, asked_s: float) -> None:
        """Applies what the store has answered.

        Args:
          changes: What has changed.
          asked_s: When it was asked.
        """
        before = self._newest
        self._newest = before.apply(changes)
        if not self._newest.known or changes.version < before.version:
            # A read may be answered by an older state of the store.
            return
        self._confirmed_s = asked_s
        begun = self._newest.data_centres - before.data_centres
        ended = before.data_centres - self._newest.data_centres
        metrics.EVACUATIONS.set(len(self._newest.data_centres))
        for event, data_centres in (
            ("evacuation-in-force", begun),
            ("evacuation-ended", ended),
        ):
            for data_centre in sorted(data_centres):
                logs.event(
                    event, data_centre=data_centre, version=changes.version
                )
