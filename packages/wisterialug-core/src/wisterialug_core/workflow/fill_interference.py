"""Interference of fill tasks with the serving tasks on the same worker.

Most processors are reserved by serving tasks, which use half of them; fill
tasks run in the rest. Some fill images slow some serving images down many
times over and others not at all; the serving load changes within seconds and
samples are half a second old. Pairs that interfere are placed apart; a fill run
that interferes is first throttled, then moved.

A serving task is modelled as a queue: its tail latency is that without load
divided by one minus its utilisation. Fill tasks multiply the utilisation by
1 + sum(factor * processor share), with a factor for each pair of images.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.workflow import (
    fill_moves,
    fill_paces,
    fill_samples,
    interference_factors,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Standard deviation of a change of utilisation within some two seconds, and of
# a utilisation from its mean over all loads.
CHANGE_STDDEV = 0.08
LEVEL_STDDEV = 0.4
# Time between two samples of a worker that are compared.
MIN_SAMPLE_GAP_S = 0.5
MAX_SAMPLE_GAP_S = 2.5
# From this utilisation on, the tail only shows overload.
SATURATED_UTILISATION = 0.95
# Expected utilisation of a serving task without samples.
PRIOR_LOAD = 0.5
# Shortest tail of an image without samples, as a fraction of its target.
PRIOR_FLOOR_RATIO = 0.2

# Fraction of the utilisation at the target that placement may use; loads rise
# by a tenth during a run.
PLACEMENT_LIMIT = 0.9
# Lowest pace at which a fill run is better started than kept waiting.
MIN_START_PACE = 0.5
EPSILON = 1e-9
# Smoothing weight of a new sample; single samples are noisy.
LOAD_WEIGHT = 0.5
# Fraction of the utilisation at the target that paces may use.
PACE_LIMIT = 0.93
# Tail over target at which all fill runs that may interfere are paused.
ALARM_RATIO = 1.6
# Factors below this are treated as noise: such pairs do not interfere.
NEGLIGIBLE_FACTOR = 0.5
# Time over a target after which all fill runs are paused, whatever their
# factors; a tail may stay over its target for four seconds at most.
MAX_OVER_TARGET_S = 1.3
# Samples show a pace after the order's delay and cover the last half second.
MIN_PACE_INTERVAL_S = 0.4
# Smaller changes of pace are not worth an order.
MIN_CHANGE_PERCENT = 10


class ServingRoom(NamedTuple):
    """What a serving image on a worker leaves to one more fill run.

    Attributes:
      load: Its expected utilisation, without fill runs.
      left: Utilisation left for the run.
    """

    image: str
    load: float
    left: float


class Reaction(enum.Enum):
    """A reaction to the interference of a fill run."""

    PACE = "pace"
    MOVE = "move"


class InterferenceModel:
    """Predicts tails from factors learned on all workers of a shard.

    Attributes:
      factors: Factors by pair of images.
    """

    def __init__(self) -> None:
        self.factors = interference_factors.FactorTable()

    def utilisation(
        self, image: str, tail_ms: float, target_ms: float
    ) -> float:
        """Returns the utilisation that a tail implies."""
        floor_ms = self.factors.floor_ms(image, PRIOR_FLOOR_RATIO * target_ms)
        return max(0.0, 1 - floor_ms / max(floor_ms, tail_ms))

    def learn(
        self,
        samples: fill_samples.WorkerSamples,
        serving: list[fill_samples.ServingTail],
        fills: list[fill_samples.FillRun],
        now_s: float,
    ) -> None:
        """Learns from the samples of one worker."""
        used: dict[str, float] = {}
        for fill in fills:
            used[fill.image] = used.get(fill.image, 0.0) + fill.used
        tails: dict[str, list[fill_samples.ServingTail]] = {}
        for tail in serving:
            tails.setdefault(tail.image, []).append(tail)
        current: dict[str, float] = {}
        for image, image_tails in tails.items():
            worst = max(image_tails, key=lambda tail: tail.tail_ms)
            self.factors.lower_floor(image, PRIOR_FLOOR_RATIO * worst.target_ms)
            for tail in image_tails:
                # A task without load has no tail.
                if tail.tail_ms:
                    self.factors.lower_floor(image, tail.tail_ms)
            current[image] = self.utilisation(
                image, worst.tail_ms, worst.target_ms
            )
            samples.targets[image] = self.utilisation(
                image, worst.target_ms, worst.target_ms
            )
            self._learn_level(image, current[image], used)
        elapsed_s = now_s - samples.sampled_s
        if elapsed_s >= MIN_SAMPLE_GAP_S:
            if elapsed_s <= MAX_SAMPLE_GAP_S:
                self._learn_changes(samples, current, used)
            samples.sampled_s = now_s
            samples.utilisation = current
            samples.used = used
        for image in list(samples.targets):
            if image not in current:
                del samples.targets[image]
                samples.loads.pop(image, None)
                samples.mean_loads.pop(image, None)
        for image, utilisation in current.items():
            load = utilisation / self._inflation(image, used)
            before = samples.mean_loads.get(image, load)
            samples.loads[image] = load
            samples.mean_loads[image] = before + LOAD_WEIGHT * (load - before)

    def serving_rooms(
        self, samples: fill_samples.WorkerSamples, shares: Mapping[str, float]
    ) -> tuple[ServingRoom, ...]:
        """Returns what a worker's serving images leave to one more fill run.

        Args:
          samples: The worker's latest samples.
          shares: Part of its processors that fill runs request, by image.
        """
        rooms = []
        for image, target in samples.targets.items():
            load = max(
                samples.mean_loads.get(image, PRIOR_LOAD),
                samples.loads.get(image, PRIOR_LOAD),
            )
            raised = load * self._planned_inflation(image, shares)
            left = PLACEMENT_LIMIT * target - raised
            if samples.alarmed:
                # No run is sped up there for now.
                left = min(0.0, left)
            rooms.append(ServingRoom(image, load, left))
        return tuple(rooms)

    def room_ratio(
        self, rooms: Iterable[ServingRoom], image: str, share: float
    ) -> float:
        """Returns how many times the room holds one more fill run.

        Args:
          rooms: What the worker's serving images leave.
          image: Image of the fill run to add.
          share: Part of the processors that it requests.

        Returns:
          The ratio, below 1 if the run does not fit at full pace; infinite if
          it disturbs nothing.
        """
        ratio = math.inf
        for serving, load, left in rooms:
            factor = self._planned_factor(serving, image)
            if not factor:
                continue
            ratio = min(ratio, left / (load * factor * share + EPSILON))
            if ratio <= 0:
                return 0.0
        return ratio

    def react(
        self,
        samples: fill_samples.WorkerSamples,
        serving: list[fill_samples.ServingTail],
        fills: dict[str, fill_samples.FillRun],
        now_s: float,
    ) -> dict[str, Reaction]:
        """Returns the reactions to the fill runs of a worker, by name.

        New paces are set in the runs themselves.
        """
        if not fills:
            return {}
        ratio = max((t.tail_ms / t.target_ms for t in serving), default=0.0)
        paces = self._paces(samples, fills)
        over_target_s = _over_target_s(samples, ratio, now_s)
        prolonged = over_target_s >= MAX_OVER_TARGET_S
        alarm = prolonged or ratio >= ALARM_RATIO
        if alarm:
            for name, fill in fills.items():
                if prolonged or self._worst_factor(samples, fill) > 0:
                    paces[name] = 0
        if alarm:
            samples.alarm_s = now_s
        elif (
            samples.alarm_s
            and now_s - samples.alarm_s < fill_samples.ALARM_COOLDOWN_S
        ):
            paces = {
                name: min(percent, fills[name].percent)
                for name, percent in paces.items()
            }
        reactions: dict[str, Reaction] = {}
        if alarm or now_s - samples.paced_s >= MIN_PACE_INTERVAL_S:
            for name, percent in paces.items():
                if _update_pace(fills[name], percent, now_s):
                    reactions[name] = Reaction.PACE
            if reactions:
                samples.paced_s = now_s
        for name, fill in fills.items():
            if name not in reactions and fill_moves.is_due(fill, now_s):
                reactions[name] = Reaction.MOVE
        return reactions

    def any_interfering(
        self,
        samples: fill_samples.WorkerSamples,
        fills: Iterable[fill_samples.FillRun],
    ) -> bool:
        """Returns whether an unpaused fill run of a worker may interfere."""
        return any(
            fill.percent and self._worst_factor(samples, fill) > 0
            for fill in fills
        )

    def initial_pace(
        self,
        samples: fill_samples.WorkerSamples,
        fills: dict[str, fill_samples.FillRun],
        new: fill_samples.FillRun,
    ) -> int:
        """Returns the pace at which a new fill run may start."""
        paces = self._paces(samples, fills)
        return next(paces[name] for name in fills if fills[name] is new)

    def _paces(
        self,
        samples: fill_samples.WorkerSamples,
        fills: dict[str, fill_samples.FillRun],
    ) -> dict[str, int]:
        """Returns the paces that keep each serving task under its limit."""
        room = {
            image: PACE_LIMIT * target - samples.loads.get(image, PRIOR_LOAD)
            for image, target in samples.targets.items()
        }
        demands = {
            name: fill_paces.Demand(self._costs(samples, fill), fill.value)
            for name, fill in fills.items()
        }
        return fill_paces.divide(room, demands)

    def _costs(
        self, samples: fill_samples.WorkerSamples, fill: fill_samples.FillRun
    ) -> dict[str, float]:
        """Returns the utilisation that a run adds at full pace, by image."""
        costs = {
            image: samples.loads.get(image, PRIOR_LOAD)
            * self._planned_factor(image, fill.image)
            * fill.share
            for image in samples.targets
        }
        return {image: cost for image, cost in costs.items() if cost > 0}

    def _worst_factor(
        self, samples: fill_samples.WorkerSamples, fill: fill_samples.FillRun
    ) -> float:
        return max(
            (
                self._planned_factor(image, fill.image)
                for image in samples.targets
            ),
            default=0.0,
        )

    def _planned_factor(self, image: str, fill_image: str) -> float:
        factor = self.factors.mean(image, fill_image)
        return factor if factor >= NEGLIGIBLE_FACTOR else 0.0

    def _planned_inflation(
        self, image: str, shares: Mapping[str, float]
    ) -> float:
        """Returns the same as _inflation, without negligible factors."""
        return 1 + sum(
            self._planned_factor(image, fill) * share
            for fill, share in shares.items()
            if share
        )

    def _inflation(self, image: str, shares: Mapping[str, float]) -> float:
        """Returns the factor by which fill runs multiply a utilisation."""
        return 1 + sum(
            self.factors.mean(image, fill) * share
            for fill, share in shares.items()
        )

    def _learn_level(
        self, image: str, utilisation: float, used: dict[str, float]
    ) -> None:
        if not any(used.values()):
            return
        inputs = {fill: PRIOR_LOAD * share for fill, share in used.items()}
        error = utilisation - PRIOR_LOAD - self._expected(image, inputs)
        self._update(image, inputs, error, LEVEL_STDDEV, utilisation)

    def _learn_changes(
        self,
        samples: fill_samples.WorkerSamples,
        current: dict[str, float],
        used: dict[str, float],
    ) -> None:
        for image, utilisation in current.items():
            before = samples.utilisation.get(image)
            if before is None:
                continue
            load = samples.loads.get(image, PRIOR_LOAD)
            inputs = {}
            for fill in used.keys() | samples.used.keys():
                change = used.get(fill, 0.0) - samples.used.get(fill, 0.0)
                if change:
                    inputs[fill] = load * change
            error = utilisation - before - self._expected(image, inputs)
            self._update(image, inputs, error, CHANGE_STDDEV, utilisation)

    def _expected(self, image: str, inputs: Mapping[str, float]) -> float:
        """Returns the change of utilisation that this shard would predict."""
        return sum(
            value * self.factors.own_mean(image, fill)
            for fill, value in inputs.items()
        )

    def _update(
        self,
        image: str,
        inputs: dict[str, float],
        error: float,
        stddev: float,
        utilisation: float,
    ) -> None:
        if utilisation >= SATURATED_UTILISATION and error < 0:
            return
        self.factors.correct(image, inputs, error, stddev)


def _over_target_s(
    samples: fill_samples.WorkerSamples, ratio: float, now_s: float
) -> float:
    """Returns for how long a tail has been over its target."""
    if ratio < 1:
        samples.over_target_since_s = 0.0
        return 0.0
    if not samples.over_target_since_s:
        samples.over_target_since_s = now_s
    return now_s - samples.over_target_since_s


def _update_pace(
    fill: fill_samples.FillRun, percent: int, now_s: float
) -> bool:
    """Sets a run's pace if that is worth an order; returns whether it is."""
    near = abs(percent - fill.percent) < MIN_CHANGE_PERCENT
    if percent == fill.percent or (
        near and 0 < percent < fill_samples.FULL_PERCENT
    ):
        return False
    fill.set_pace(percent, now_s)
    return True
