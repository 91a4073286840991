"""Work in left-over time beside tasks that serve users.

Load pattern: most processors are reserved by tasks that serve users and use
half of them. Some kinds of fill work disturb some kinds of serving tasks many
times over and others not at all; the load of the serving tasks changes within
seconds and figures are half a second old. Kinds that don't get on are kept
apart, and what disturbs is slowed down first, moved next.

A serving task is taken for a queue: its tail is the tail without load, divided
by one minus its utilisation. Fill work raises the utilisation by a factor that
belongs to the pair of images and grows with the processor share it uses.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.schema import workflow_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Factor of a pair of which nothing is known, and how far off it may be.
PRIOR_FACTOR = 1.5
PRIOR_VARIANCE = 4.0
MAX_FACTOR = 20.0
# Standard deviation of a change of utilisation within some two seconds, and of
# a utilisation against its mean over all loads.
CHANGE_NOISE = 0.08
LEVEL_NOISE = 0.4
# Factors are not forgotten entirely: kinds may change.
DRIFT_VARIANCE = 0.002
# Samples of one worker that are compared lie this far apart.
MIN_CHANGE_S = 0.5
MAX_CHANGE_S = 2.5
# Utilisation from which the tail says little but that there is too much.
SATURATED = 0.95
# Expected utilisation of a serving task of which there is no figure yet.
USUAL_LOAD = 0.5
# Shortest tail of an image before any was seen, as a part of its target.
USUAL_FLOOR_RATIO = 0.2

# Part of the utilisation at the target that may be planned for. Loads rise by
# a tenth within the run of a task.
PLACE_LIMIT = 0.9
# Pace from which on fill work is better begun than kept waiting.
MIN_START_PACE = 0.5
EPSILON = 1e-9
# Weight of a new figure; single figures are rough.
LOAD_WEIGHT = 0.5
PACE_LIMIT = 0.93
# Tail over target at which all neighbours that may matter are paused.
ALARM_RATIO = 1.6
# Factors below this are taken for noise: such pairs get on.
NEGLIGIBLE_FACTOR = 0.5
# Time over a target after which all fill work is paused, whatever is thought of
# it; the users allow four seconds.
MAX_OVER_S = 1.3
# Time after an alarm in which no fill work is sped up again: what looked
# harmless one by one was too much together.
CALM_S = 2.0
# The figures show the last half second, after the delay of the order.
SETTLE_S = 0.4
# Smaller changes of pace are not worth an order.
MIN_CHANGE_PERCENT = 10
# A neighbour that is held down for this long is better off elsewhere.
MOVE_AFTER_S = 1.0
HELD_DOWN_PERCENT = 40
FULL_PERCENT = 100


class ServingTail(NamedTuple):
    """Tail of a task that serves users."""

    image: str
    tail_ms: float
    target_ms: float


@dataclasses.dataclass(slots=True)
class FillRun:
    """One run of fill work on a worker.

    Attributes:
      share: Part of the worker's processors that it would like.
      used: Part of the worker's processors that it used lately.
      percent: Pace that was ordered last.
      held_since_s: Since when it is held down; 0 if it is not.
    """

    image: str
    share: float
    used: float = 0.0
    percent: int = FULL_PERCENT
    held_since_s: float = 0.0

    def set_pace(self, percent: int, now_s: float) -> None:
        """Notes the pace that is ordered."""
        self.percent = percent
        if percent > HELD_DOWN_PERCENT:
            self.held_since_s = 0.0
        elif not self.held_since_s:
            self.held_since_s = now_s


@dataclasses.dataclass(slots=True)
class WorkerSamples:
    """What one worker's figures said last.

    Attributes:
      loads: Utilisation by image of serving tasks, without fill work.
      mean_loads: The same, evened out over some figures.
      targets: Utilisation by image at which the tail meets its target.
      alarm_s: When fill work was last paused at once.
      over_since_s: Since when a tail is over its target; 0 if none is.
    """

    loads: dict[str, float] = dataclasses.field(default_factory=dict)
    mean_loads: dict[str, float] = dataclasses.field(default_factory=dict)
    targets: dict[str, float] = dataclasses.field(default_factory=dict)
    sampled_s: float = 0.0
    utilisation: dict[str, float] = dataclasses.field(default_factory=dict)
    used: dict[str, float] = dataclasses.field(default_factory=dict)
    paced_s: float = 0.0
    over_since_s: float = 0.0
    alarm_s: float = 0.0


class Reaction(enum.Enum):
    """What to do about a fill run."""

    PACE = "pace"
    MOVE = "move"


class _Factor:
    """An estimate with its variance."""

    __slots__ = ("mean", "variance")

    def __init__(self) -> None:
        self.mean = PRIOR_FACTOR
        self.variance = PRIOR_VARIANCE


class InterferenceModel:
    """What kinds of work do to each other, on all workers of a shard."""

    def __init__(self) -> None:
        self._factors: dict[tuple[str, str], _Factor] = {}
        # Shortest tail seen, by image.
        self._floor_ms: dict[str, float] = {}

    def to_message(self) -> workflow_pb2.Effects:
        """Returns what was learned, for the next owner."""
        message = workflow_pb2.Effects(floors_ms=self._floor_ms)
        for (serving, fill), factor in self._factors.items():
            message.pairs.add(
                serving_image=serving,
                fill_image=fill,
                factor=factor.mean,
                variance=factor.variance,
            )
        return message

    def restore(self, message: workflow_pb2.Effects) -> None:
        """Takes over what an earlier owner learned."""
        self._floor_ms.update(message.floors_ms)
        for pair in message.pairs:
            factor = _Factor()
            factor.mean = pair.factor
            factor.variance = pair.variance
            self._factors[pair.serving_image, pair.fill_image] = factor

    def factor(self, serving_image: str, fill_image: str) -> float:
        """Returns by how much a share of one disturbs the other."""
        factor = self._factors.get((serving_image, fill_image))
        return factor.mean if factor else PRIOR_FACTOR

    def utilisation(
        self, image: str, tail_ms: float, target_ms: float
    ) -> float:
        """Returns the utilisation that a tail speaks of."""
        floor_ms = self._floor_ms.get(image, USUAL_FLOOR_RATIO * target_ms)
        return max(0.0, 1 - floor_ms / max(floor_ms, tail_ms))

    def learn(
        self,
        samples: WorkerSamples,
        serving: list[ServingTail],
        fills: list[FillRun],
        now_s: float,
    ) -> None:
        """Takes the figures of one worker."""
        used: dict[str, float] = {}
        for fill in fills:
            used[fill.image] = used.get(fill.image, 0.0) + fill.used
        tails: dict[str, list[ServingTail]] = {}
        for figure in serving:
            tails.setdefault(figure.image, []).append(figure)
        now: dict[str, float] = {}
        for image, of_image in tails.items():
            worst = max(of_image, key=lambda figure: figure.tail_ms)
            floor_ms = self._floor_ms.get(
                image, USUAL_FLOOR_RATIO * worst.target_ms
            )
            # A task without any load tells no tail.
            tails_ms = [f.tail_ms for f in of_image if f.tail_ms]
            self._floor_ms[image] = min(floor_ms, *tails_ms, floor_ms)
            now[image] = self.utilisation(image, worst.tail_ms, worst.target_ms)
            samples.targets[image] = self.utilisation(
                image, worst.target_ms, worst.target_ms
            )
            self._learn_level(image, now[image], used)
        elapsed_s = now_s - samples.sampled_s
        if elapsed_s >= MIN_CHANGE_S:
            if elapsed_s <= MAX_CHANGE_S:
                self._learn_changes(samples, now, used)
            samples.sampled_s = now_s
            samples.utilisation = now
            samples.used = used
        for image in list(samples.targets):
            if image not in now:
                del samples.targets[image]
                samples.loads.pop(image, None)
                samples.mean_loads.pop(image, None)
        for image, utilisation in now.items():
            load = utilisation / self._raise(image, used)
            before = samples.mean_loads.get(image, load)
            samples.loads[image] = load
            samples.mean_loads[image] = before + LOAD_WEIGHT * (load - before)

    def feasible_pace(
        self,
        samples: WorkerSamples,
        shares: Mapping[str, float],
        image: str,
        share: float,
    ) -> float:
        """Returns the pace at which a worker has room for more fill work.

        Args:
          samples: The worker's latest figures.
          shares: Part of its processors by image of the fill work there.
          image: Image of the fill work to add.
          share: Part of the processors that it would like.

        Returns:
          Part of its full pace, 1 at most.
        """
        part = 1.0
        for serving, target in samples.targets.items():
            factor = self._planned_factor(serving, image)
            if not factor:
                continue
            load = samples.mean_loads.get(serving, USUAL_LOAD)
            raised = load * self._planned_raise(serving, shares)
            room = PLACE_LIMIT * target - raised
            part = min(part, room / (load * factor * share + EPSILON))
            if part <= 0:
                return 0.0
        return max(0.0, part)

    def react(
        self,
        samples: WorkerSamples,
        serving: list[ServingTail],
        fills: dict[str, FillRun],
        now_s: float,
    ) -> dict[str, Reaction]:
        """Decides on the fill runs of a worker, by their names.

        The new pace stands in the runs themselves.
        """
        if not fills:
            return {}
        ratio = max((f.tail_ms / f.target_ms for f in serving), default=0.0)
        paces = self._paces(samples, fills)
        over_s = _note_over(samples, ratio, now_s)
        blind = over_s >= MAX_OVER_S
        alarm = blind or ratio >= ALARM_RATIO
        if alarm:
            for name, fill in fills.items():
                if blind or self._worst_factor(samples, fill) > 0:
                    paces[name] = 0
        if alarm:
            samples.alarm_s = now_s
        elif samples.alarm_s and now_s - samples.alarm_s < CALM_S:
            paces = {
                name: min(percent, fills[name].percent)
                for name, percent in paces.items()
            }
        reactions: dict[str, Reaction] = {}
        if alarm or now_s - samples.paced_s >= SETTLE_S:
            for name, percent in paces.items():
                if _update_pace(fills[name], percent, now_s):
                    reactions[name] = Reaction.PACE
            if reactions:
                samples.paced_s = now_s
        for name, fill in fills.items():
            held_s = now_s - fill.held_since_s if fill.held_since_s else 0.0
            if held_s > MOVE_AFTER_S and name not in reactions:
                reactions[name] = Reaction.MOVE
        return reactions

    def any_interfering(
        self, samples: WorkerSamples, fills: Iterable[FillRun]
    ) -> bool:
        """Tells whether one of a worker's fill runs at work may disturb."""
        return any(
            fill.percent and self._worst_factor(samples, fill) > 0
            for fill in fills
        )

    def initial_pace(
        self,
        samples: WorkerSamples,
        fills: dict[str, FillRun],
        new: FillRun,
    ) -> int:
        """Returns the pace at which one of a worker's fill runs may begin."""
        paces = self._paces(samples, fills)
        return next(paces[name] for name in fills if fills[name] is new)

    def _paces(
        self, samples: WorkerSamples, fills: dict[str, FillRun]
    ) -> dict[str, int]:
        """Returns the paces that keep each serving task under its limit."""
        room = {
            image: PACE_LIMIT * target - samples.loads.get(image, USUAL_LOAD)
            for image, target in samples.targets.items()
        }
        paces: dict[str, int] = {}
        order = sorted(
            fills,
            key=lambda name: self._worst_factor(samples, fills[name]),
        )
        for name in order:
            fill = fills[name]
            part = 1.0
            costs = {
                image: samples.loads.get(image, USUAL_LOAD)
                * self._planned_factor(image, fill.image)
                * fill.share
                for image in room
            }
            for image, cost in costs.items():
                if cost > 0:
                    part = min(part, max(0.0, room[image]) / cost)
            for image, cost in costs.items():
                room[image] -= part * cost
            paces[name] = int(part * FULL_PERCENT)
        return paces

    def _worst_factor(self, samples: WorkerSamples, fill: FillRun) -> float:
        return max(
            (
                self._planned_factor(image, fill.image)
                for image in samples.targets
            ),
            default=0.0,
        )

    def _planned_factor(self, image: str, fill_image: str) -> float:
        factor = self.factor(image, fill_image)
        return factor if factor >= NEGLIGIBLE_FACTOR else 0.0

    def _planned_raise(self, image: str, shares: Mapping[str, float]) -> float:
        """Returns the same as _raise, without kinds that hardly disturb."""
        return 1 + sum(
            self._planned_factor(image, fill) * share
            for fill, share in shares.items()
            if share
        )

    def _raise(self, image: str, shares: Mapping[str, float]) -> float:
        """Returns by what factor fill work raises a utilisation."""
        return 1 + sum(
            self.factor(image, fill) * share for fill, share in shares.items()
        )

    def _learn_level(
        self, image: str, utilisation: float, used: dict[str, float]
    ) -> None:
        if not any(used.values()):
            return
        error = utilisation - USUAL_LOAD * self._raise(image, used)
        inputs = {fill: USUAL_LOAD * share for fill, share in used.items()}
        self._update(image, inputs, error, LEVEL_NOISE, utilisation)

    def _learn_changes(
        self,
        samples: WorkerSamples,
        now: dict[str, float],
        used: dict[str, float],
    ) -> None:
        for image, utilisation in now.items():
            before = samples.utilisation.get(image)
            if before is None:
                continue
            load = samples.loads.get(image, USUAL_LOAD)
            inputs = {}
            for fill in used.keys() | samples.used.keys():
                change = used.get(fill, 0.0) - samples.used.get(fill, 0.0)
                if change:
                    inputs[fill] = load * change
            expected = sum(
                value * self.factor(image, fill)
                for fill, value in inputs.items()
            )
            error = utilisation - before - expected
            self._update(image, inputs, error, CHANGE_NOISE, utilisation)

    def _update(
        self,
        image: str,
        inputs: dict[str, float],
        error: float,
        noise: float,
        utilisation: float,
    ) -> None:
        """Corrects the factors behind an error, the least known ones most."""
        if utilisation >= SATURATED and error < 0:
            return
        factors = {
            fill: self._factors.setdefault((image, fill), _Factor())
            for fill in inputs
        }
        total = noise * noise + sum(
            factors[fill].variance * value * value
            for fill, value in inputs.items()
        )
        for fill, value in inputs.items():
            factor = factors[fill]
            gain = factor.variance * value / total
            moved = factor.mean + gain * error
            factor.mean = min(MAX_FACTOR, max(0.0, moved))
            factor.variance *= 1 - gain * value
            factor.variance += DRIFT_VARIANCE


def _note_over(samples: WorkerSamples, ratio: float, now_s: float) -> float:
    """Returns for how long a tail has been over its target on end."""
    if ratio < 1:
        samples.over_since_s = 0.0
        return 0.0
    if not samples.over_since_s:
        samples.over_since_s = now_s
    return now_s - samples.over_since_s


def _update_pace(fill: FillRun, percent: int, now_s: float) -> bool:
    """Sets a run's pace; tells whether that is worth an order."""
    near = abs(percent - fill.percent) < MIN_CHANGE_PERCENT
    if percent == fill.percent or (near and 0 < percent < FULL_PERCENT):
        return False
    fill.set_pace(percent, now_s)
    return True
