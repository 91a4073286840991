"""Runs Hypothesis state machines with fixed seeds."""

from hypothesis import Phase, seed, settings


def run(machine_type, seed_number, examples, steps):
    """Runs a machine; the same seed gives the same steps.

    Failures are not shrunk, since that takes longer than CI allows.
    """
    case = seed(seed_number)(machine_type).TestCase
    case.settings = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        phases=(Phase.explicit, Phase.generate),
        database=None,
    )
    case("runTest").runTest()
