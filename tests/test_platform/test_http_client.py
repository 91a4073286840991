"""Tests of calls over the loopback: kept connections and timeouts."""

from wisterialug_daemon import hub

hub.install("eventlet.hubs.epolls")

# The standard library must be patched before these are imported.
import eventlet  # noqa: E402
import testtools  # noqa: E402
from wisterialug_platform import http_client  # noqa: E402

from wisterialug_daemon.http import server  # noqa: E402
from wisterialug_daemon.workflow import clock  # noqa: E402

TIMEOUT_S = 0.5
PIECES = 5
# The server collects smaller pieces.
SIZE = PIECES * 10_000


class HttpClientTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ports = set()
        self.pause_s = 0.0
        self.server = server.WsgiServer("127.0.0.1", 0, self.answer)
        self.addCleanup(self.server.close)
        self.client = http_client.HttpClient()
        self.addCleanup(self.client.close)

    def answer(self, environ, start_response):
        """Sends as many bytes as the path says, in pieces."""
        self.ports.add(environ["REMOTE_PORT"])
        size = int(environ["PATH_INFO"].strip("/"))
        start_response("200 OK", [("Content-Length", str(size))])
        return self.send(size)

    def send(self, size):
        for _ in range(PIECES if size else 0):
            eventlet.sleep(self.pause_s)
            yield b"x" * (size // PIECES)

    def call(self, size, limits=None):
        address = f"127.0.0.1:{self.server.port}"
        return self.client.call(
            address, "GET", f"/{size}", None, TIMEOUT_S, limits=limits
        )

    def test_connection_is_kept_after_answers_of_any_size(self):
        for size in (0, 0, 10, 70_000, 0, 1_000_000, 5):
            for limits in (None, http_client.BodyLimits(5.0)):
                body = self.call(size, limits).ok_value.body
                self.assertEqual(size, len(body))
        self.assertEqual(1, len(self.ports))

    def test_body_without_limits_counts_against_the_timeout(self):
        self.pause_s = 0.3
        begun_s = clock.now_s()
        outcome = self.call(SIZE)
        took_s = clock.now_s() - begun_s
        self.assertIsInstance(outcome.err_value, http_client.NoResponseError)
        # At 0.3 and 0.6 s.
        expected = 2 * SIZE // PIECES
        self.assertEqual(expected, outcome.err_value.received_bytes)
        self.assertLess(took_s, TIMEOUT_S + http_client.ABORT_MARGIN_S + 0.2)

    def test_body_with_limits_may_take_longer(self):
        self.pause_s = 0.3
        outcome = self.call(SIZE, http_client.BodyLimits(5.0))
        self.assertEqual(SIZE, len(outcome.ok_value.body))

    def test_body_with_limits_does_not_take_for_ever(self):
        self.pause_s = 0.3
        outcome = self.call(SIZE, http_client.BodyLimits(0.8))
        self.assertIsInstance(outcome.err_value, http_client.NoResponseError)

    def test_larger_body_is_not_read(self):
        resp = self.call(SIZE, http_client.BodyLimits(5.0, SIZE - 1)).ok_value
        self.assertTrue(resp.too_large)
        self.assertEqual(b"", resp.body)
        resp = self.call(SIZE, http_client.BodyLimits(5.0, SIZE)).ok_value
        self.assertEqual(SIZE, len(resp.body))
