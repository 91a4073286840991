"""Tests of how often an owner plans."""

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_core.workflow import step_placement
from wisterialug_daemon.workflow import clock, owner

ROUND_S = 0.02
WATCHED_S = 2.0


class LongRoundsTest(workflow_base.WorkflowTest):
    def test_long_rounds_leave_most_of_the_time_to_calls(self):
        # With a backlog that fitted nowhere, an owner spent three quarters of
        # its time on rounds that placed almost nothing.
        owners = []
        shard_owner = owner.ShardOwner
        self.patch(
            owner,
            "ShardOwner",
            lambda *args: owners.append(shard_owner(*args)) or owners[-1],
        )
        self.start_nodes(count=1)
        self.owner()
        # Each round takes a fixed time on the processes' clock, without work.
        rounds = []
        now_s = clock.now_s
        self.patch(clock, "now_s", lambda: now_s() + ROUND_S * len(rounds))
        self.patch(step_placement, "plan", lambda *_: rounds.append(1) or [])
        self.wait_for(lambda: rounds, 5)
        first, first_s = len(rounds), clock.now_s()
        begun_s = now_s()
        while now_s() - begun_s < WATCHED_S:
            owners[-1].wake()
            eventlet.sleep(0.001)
        planned_s = ROUND_S * (len(rounds) - first)
        elapsed_s = clock.now_s() - first_s
        self.assertLess(planned_s, 0.3 * elapsed_s)
        # The owner goes on planning.
        self.assertGreater(len(rounds), first + 5)
