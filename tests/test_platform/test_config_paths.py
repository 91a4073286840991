"""Configs that must be in force in time though paths to the store fail."""

import io
import json
import random

from wisterialug_daemon import hub

hub.install("eventlet.hubs.epolls")

# The standard library must be patched before these are imported.
import eventlet  # noqa: E402
import testtools  # noqa: E402
from wisterialug_platform import (  # noqa: E402
    config_source,
    front,
    http_client,
    prompt_reads,
    relay,
    store,
)

from tests.test_platform import store_path, thin_store  # noqa: E402
from wisterialug_core.workflow import read_timing, relay_choice  # noqa: E402
from wisterialug_daemon.http import responses, server  # noqa: E402
from wisterialug_daemon.workflow import (  # noqa: E402
    clock,
    config_watch,
    row_store,
    shard_feeds,
)
from wisterialug_standins import memory_store  # noqa: E402

CONFIG_REF = row_store.RowRef(
    store.OPERATOR_TABLE, "", config_source.CONFIG_KEY
)
LINK_BYTES_PER_S = 100_000_000
# The shortest bound of the settings.
WITHIN_S = 2.0
Fault = store_path.Fault
# In each of them the direct path gives no answer.
FAULTS = (Fault.SILENT, Fault.RESET, Fault.CONNECT_HANGS)


def config(version, routes=100):
    fields = {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "host": "h.example",
                "path_prefix": f"/{number:06}/",
                "service": "s",
            }
            for number in range(routes)
        ],
    }
    return json.dumps(fields).encode()


def follow(client, address, peers, seed):
    """Follows the config as a VM does."""
    rows = store.PlatformStore(client, address, peers, random.Random(seed))
    timing = read_timing.ReadTiming(WITHIN_S)
    source = config_source.StoreConfigSource(
        prompt_reads.PromptReads(rows, timing), with_evacuations=False
    )
    return config_watch.ConfigWatch(source, None, timing)


class StorePathsTest(testtools.TestCase):
    """Provides paths to a store, directly and through other VMs."""

    def setUp(self):
        super().setUp()
        self.rows = memory_store.MemoryStore(random.Random(1))
        self.rows.limits_sizes = False
        self.store = thin_store.ThinStore(self.rows, LINK_BYTES_PER_S)
        self.addCleanup(self.store.close)
        self.direct = self.path(int(self.store.address.rpartition(":")[2]))
        self.peers = []
        self.version = 0

    def path(self, port):
        path = store_path.StorePath(port)
        self.addCleanup(path.close)
        return path

    def add_relay(self, *, nearby=False):
        """Adds a VM that reaches the store; returns the path to it."""
        client = http_client.HttpClient()
        self.addCleanup(client.close)
        rows = store.PlatformStore(client, self.store.address)
        peer = server.WsgiServer("127.0.0.1", 0, relay.RelayApplication(rows))
        self.addCleanup(peer.close)
        path = self.path(peer.port)
        self.peers.append(relay_choice.Peer(path.address, 0, nearby=nearby))
        return path


class ConfigPathsTest(StorePathsTest):
    """A VM whose direct path fails; another VM, or several, may relay."""

    def follow(self, seed=1):
        self.client = http_client.HttpClient()
        self.addCleanup(self.client.close)
        watch = follow(
            self.client, self.direct.address, lambda: self.peers, seed
        )
        watch.start()
        self.addCleanup(watch.close)
        return watch

    def write(self):
        self.version += 1
        change = row_store.Transaction(
            writes=((CONFIG_REF, config(self.version)),)
        )
        self.assertTrue(self.rows.commit(change, 1.0).is_ok())
        return clock.now_s()

    def check_in_force(self, watch, acked_s, message=""):
        while clock.now_s() < acked_s + WITHIN_S:
            eventlet.sleep(0.02)
            if watch.table and watch.table.version >= self.version:
                return
        found = watch.table.version if watch.table else None
        self.fail(f"{message}: {found} in force, {self.version} acknowledged")

    def check_after(self, break_path, seed=1, message=""):
        """Breaks a path under a watch; checks each of three changes."""
        acked_s = self.write()
        watch = self.follow(seed)
        self.check_in_force(watch, acked_s, message)
        eventlet.sleep(0.5)
        break_path()
        for number in range(3):
            acked_s = self.write()
            self.check_in_force(watch, acked_s, f"{message} {number}")
            eventlet.sleep(0.7)
        return watch

    def test_config_is_late_as_the_direct_path_fails(self):
        for fault in FAULTS:
            self.direct = self.path(int(self.store.address.rpartition(":")[2]))
            self.peers = []
            self.add_relay()
            self.check_after(
                lambda fault=fault: self.direct.begin(fault), message=fault
            )

    def test_config_is_late_as_the_store_refuses_the_vm(self):
        other = thin_store.ThinStore(self.rows, LINK_BYTES_PER_S)
        self.addCleanup(other.close)
        refusing, self.store = self.store, other
        self.add_relay()

        def refuse():
            refusing.refusing = True

        self.check_after(refuse)

    def test_idle_connections_that_went_silent_are_used_in_turn(self):
        def break_path():
            # As many calls at once leave as many idle connections.
            rows = store.PlatformStore(self.client, self.direct.address)
            calls = [
                eventlet.spawn(rows.watch, "other", 0, 0.1) for _ in range(6)
            ]
            for call in calls:
                self.assertTrue(call.wait().is_ok())
            self.direct.begin(Fault.OPEN_ONES_SILENT)

        self.check_after(break_path)

    def test_unreachable_relays_are_tried_one_after_the_other(self):
        # As many orders of the relays as seeds; the nearby one is reached.
        for seed in range(4):
            self.direct = self.path(int(self.store.address.rpartition(":")[2]))
            self.peers = []
            for fault in (Fault.CONNECT_HANGS, Fault.SILENT) * 2:
                self.add_relay().begin(fault)
            self.add_relay(nearby=True)
            self.check_after(
                lambda: self.direct.begin(Fault.CONNECT_HANGS), seed, seed
            )

    def test_relay_goes_silent_after_the_direct_path(self):
        first, second = self.add_relay(), self.add_relay()

        def break_paths():
            self.direct.begin(Fault.SILENT)

        watch = self.check_after(break_paths)
        # Whichever serves the watch now.
        for silent, other in ((first, second), (second, first)):
            silent.begin(Fault.SILENT)
            self.check_in_force(watch, self.write(), "relay silent")
            silent.begin(Fault.NONE)
            other.begin(Fault.NONE)
            eventlet.sleep(1.0)

    def test_vm_that_does_not_relay_serves_the_watch(self):
        other = server.WsgiServer(
            "127.0.0.1",
            0,
            lambda _, start: responses.json_response(start, 404, {}),
        )
        self.addCleanup(other.close)
        self.peers = [relay_choice.Peer(f"127.0.0.1:{other.port}", 100_000)]
        self.add_relay()
        self.check_after(lambda: self.direct.begin(Fault.SILENT))

    def test_answer_that_stalls_is_waited_for(self):
        self.add_relay()
        acked_s = self.write()
        watch = self.follow()
        self.check_in_force(watch, acked_s)
        self.store.stalled_after = 1000
        self.check_in_force(watch, self.write())

    def test_history_is_lost_beside_a_silent_path(self):
        self.add_relay()

        def break_path():
            self.direct.begin(Fault.SILENT)
            self.rows.compact_history()

        self.check_after(break_path)

    def test_vm_joins_beside_silent_paths(self):
        self.add_relay().begin(Fault.CONNECT_HANGS)
        self.add_relay(nearby=True)
        self.direct.begin(Fault.SILENT)
        self.write()
        self.check_in_force(self.follow(), clock.now_s())

    def test_vm_returns_to_the_direct_path(self):
        relayed = self.add_relay()
        watch = self.check_after(lambda: self.direct.begin(Fault.SILENT))
        self.direct.begin(Fault.NONE)
        eventlet.sleep(2.0)
        relayed.begin(Fault.SILENT)
        self.check_in_force(watch, self.write())

    def test_store_that_refuses_all_is_called_by_all_relays_at_once(self):
        for number in range(7):
            self.add_relay(nearby=number < 2)
        acked_s = self.write()
        watch = self.follow()
        self.check_in_force(watch, acked_s)
        self.store.refusing = True
        eventlet.sleep(1.0)
        before = len(self.store.requests)
        eventlet.sleep(3.0)
        # Five direct calls a second, and five relays in less than a second.
        self.assertLess(len(self.store.requests) - before, 40)
        self.store.refusing = False
        self.check_in_force(watch, self.write())

    def test_reads_through_relays_follow_each_other_without_a_pause(self):
        for number in range(7):
            self.add_relay(nearby=number < 2)
        # The first one that responds is not the one that comes first.
        self.peers[0] = self.peers[0]._replace(link_kbps=100_000)
        watch = self.check_after(lambda: self.direct.begin(Fault.RESET))
        before = len(self.store.requests)
        eventlet.sleep(3.0)
        self.assertLess(len(self.store.requests) - before, 25)
        self.check_in_force(watch, self.write())

    def status_of_unknown_route(self, watch):
        started = []
        environ = {
            "wsgi.input": io.BytesIO(),
            "REQUEST_METHOD": "GET",
            "RAW_PATH_INFO": "/unknown/",
            "HTTP_HOST": "h.example",
        }
        application = front.JobsApplication(None, watch)
        application(environ, lambda *args: started.append(args))
        return started[0][0][:3], dict(started[0][1]).get("Retry-After")

    def test_route_is_denied_by_a_vm_that_may_not_know_it(self):
        acked_s = self.write()
        watch = self.follow()
        self.check_in_force(watch, acked_s)
        self.assertEqual(("404", None), self.status_of_unknown_route(watch))
        self.direct.begin(Fault.SILENT)
        eventlet.sleep(WITHIN_S + 0.1)
        self.assertEqual(("503", "1"), self.status_of_unknown_route(watch))
        self.direct.begin(Fault.NONE)
        eventlet.sleep(2.5)
        self.assertEqual(("404", None), self.status_of_unknown_route(watch))


class OtherCallsTest(StorePathsTest):
    """Calls other than those for the config."""

    def reader(self, within_s):
        client = http_client.HttpClient()
        self.addCleanup(client.close)
        rows = store.PlatformStore(
            client, self.direct.address, lambda: self.peers, random.Random(1)
        )
        timing = read_timing.ReadTiming(within_s)
        return prompt_reads.PromptStore(rows, timing)

    def check_seen(self, within_s, wait_s, spacing_s):
        """Follows a table as an owner does while the direct path is silent."""
        for _ in range(2):
            self.add_relay().begin(Fault.CONNECT_HANGS)
        self.add_relay(nearby=True)
        rows = self.reader(within_s)
        seen = []

        def watch(cursor):
            while True:
                outcome = rows.watch("t", cursor, wait_s)
                if outcome.is_err():
                    eventlet.sleep(shard_feeds.RETRY_S)
                    continue
                cursor = outcome.ok_value.version
                seen.extend(row.value for row in outcome.ok_value.rows)
                eventlet.sleep(spacing_s)

        thread = eventlet.spawn(watch, self.rows.version())
        self.addCleanup(thread.kill)
        eventlet.sleep(0.5)
        self.direct.begin(Fault.SILENT)
        for number in range(3):
            value = str(number).encode()
            ref = row_store.RowRef("t", "", "k")
            self.rows.commit(row_store.Transaction(writes=((ref, value),)), 1.0)
            until_s = clock.now_s() + within_s
            while value not in seen and clock.now_s() < until_s:
                eventlet.sleep(0.02)
            self.assertIn(value, seen)

    def test_draining_worker_is_seen_too_late(self):
        self.check_seen(
            2.0, shard_feeds.WATCH_WAIT_S, shard_feeds.REGISTRY_SPACING_S
        )

    def test_cancel_is_seen_too_late(self):
        self.check_seen(3.0, shard_feeds.WATCH_WAIT_S, 0.0)

    def test_unreachable_relay_takes_the_time_of_all(self):
        for _ in range(2):
            self.add_relay().begin(Fault.CONNECT_HANGS)
        self.add_relay()
        self.direct.begin(Fault.RESET)
        client = http_client.HttpClient()
        self.addCleanup(client.close)
        rows = store.PlatformStore(
            client, self.direct.address, lambda: self.peers, random.Random(1)
        )
        outcome = rows.scan(store.OPERATOR_TABLE, "", timeout_s=1.0)
        self.assertTrue(outcome.is_ok())
