"""Tests of the lookup of routes."""

import hypothesis
import testtools
from hypothesis import strategies

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import routes

HOSTS = ("a.example", "b.example")
PREFIXES = strategies.text("/ab", min_size=1, max_size=4)


def route(name, host, prefix):
    return routes.Route(name, host, prefix, workflow_pb2.Policy())


class FindTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from(HOSTS), PREFIXES),
            max_size=12,
        ),
        strategies.sampled_from((*HOSTS, "c.example")),
        strategies.text("/ab", max_size=6),
    )
    def test_longest_prefix_is_found(self, pairs, host, path):
        listed = tuple(
            route(f"r{number}", *pair) for number, pair in enumerate(pairs)
        )
        matching = [
            entry
            for entry in listed
            if entry.host == host and path.startswith(entry.prefix)
        ]
        longest = max(matching, key=lambda e: len(e.prefix), default=None)
        self.assertIs(longest, routes.RouteTable(1, listed).find(host, path))

    def test_lookups_do_not_grow_with_the_routes(self):
        table = routes.RouteTable(
            1,
            tuple(
                route(f"r{n}", "a.example", f"/{n:08}/") for n in range(20_000)
            ),
        )
        self.assertEqual("r19999", table.find("a.example", "/00019999/x").name)
        lengths = table._by_host["a.example"]
        self.assertEqual([10], list(lengths))
