"""Tests of the HTTP server beside clients that misbehave."""

import dataclasses
import errno

import eventlet
import testtools

from wisterialug_daemon.http import limits, responses, server

MAX_BODY = 1000
PORT_LIMITS = limits.PortLimits(
    max_connections=8, max_held_bytes=6000, max_body_bytes=MAX_BODY
)
# Only ends a test that would hang.
READ_S = 30.0
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LAST_GET = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class ServerTest(testtools.TestCase):
    LIMITS = PORT_LIMITS

    def setUp(self):
        super().setUp()
        self.bodies = []
        self.accepted = 0
        self.reads = True
        self.response = {}
        self.server = server.WsgiServer(
            "127.0.0.1", 0, self.handle, self.LIMITS
        )
        self.addCleanup(self.server.close)
        self.connections = self.server._connections

    def handle(self, environ, start_response):
        self.accepted += 1
        if self.reads:
            self.bodies.append(environ["wsgi.input"].read())
        return responses.json_response(start_response, 200, self.response)

    def send(self, data):
        conn = eventlet.connect(("127.0.0.1", self.server.port))
        self.addCleanup(conn.close)
        conn.settimeout(READ_S)
        conn.sendall(data)
        eventlet.sleep(0.01)
        return conn

    def read(self, conn):
        """Returns all that comes until the connection is closed."""
        data = b""
        try:
            while piece := conn.recv(65536):
                data += piece
        except ConnectionError:
            pass
        return data

    def statuses(self, data):
        """Returns the statuses of all responses to these bytes."""
        answer = self.read(self.send(data))
        return [
            int(part.split(b" ", 1)[0])
            for part in answer.split(b"HTTP/1.1 ")[1:]
        ]


class ProtocolTest(ServerTest):
    LIMITS = dataclasses.replace(PORT_LIMITS, max_held_bytes=200_000)

    def test_requests_in_a_row(self):
        data = CHUNKED + b"3\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n"
        data += HEAD + b"Content-Length: 2\r\n\r\nfg" + GET + LAST_GET
        self.assertEqual([200] * 4, self.statuses(data))
        self.assertEqual([b"abcde", b"fg", b"", b""], self.bodies)
        self.assertEqual(0, self.connections.held_bytes)

    def test_continue_is_sent_before_the_body_is_read(self):
        conn = self.send(
            HEAD + b"Expect: 100-continue\r\nConnection: close\r\n"
            b"Content-Length: 2\r\n\r\n"
        )
        self.assertIn(b" 100 ", conn.recv(4096))
        conn.sendall(b"ab")
        self.assertTrue(self.read(conn).startswith(b"HTTP/1.1 200"))
        self.assertEqual([b"ab"], self.bodies)

    def test_version_1_0_closes(self):
        self.assertEqual([200], self.statuses(b"GET / HTTP/1.0\r\n\r\n"))

    def test_unread_body_closes_unless_it_has_arrived(self):
        self.reads = False
        small = HEAD + b"Content-Length: 2\r\n\r\nab"
        self.assertEqual([200, 200], self.statuses(small + LAST_GET))
        large = HEAD + b"Content-Length: 900\r\n\r\nab"
        self.assertEqual([200], self.statuses(large + LAST_GET))
        self.assertEqual([200], self.statuses(CHUNKED + b"1\r\na\r\n"))

    def test_rejected_requests(self):
        size = b"Content-Length: %d\r\n\r\n"
        for data, status in (
            (HEAD + b"Transfer-Encoding: chunked\r\n" + size % 2 + b"ab", 400),
            (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 400),
            (HEAD + size % (MAX_BODY + 1), 413),
            (CHUNKED + b"3e9\r\n", 413),
            (CHUNKED + b"x\r\n", 400),
            (CHUNKED + b"0\r\n" + b"t: 1\r\n" * 10000, 431),
            (HEAD + b"X: " + b"a" * limits.MAX_HEAD_BYTES + b"\r\n\r\n", 431),
            (b"GET /" + b"a" * 10000 + b" HTTP/1.1\r\n\r\n", 414),
            (b"GET\x00\r\n\r\n", 400),
        ):
            self.assertEqual([status], self.statuses(data + GET), data[:60])
        self.assertEqual([], self.bodies)
        self.assertEqual(0, self.connections.held_bytes)

    def test_truncated_body_is_not_handed_out(self):
        for data in (
            HEAD + b"Content-Length: 4\r\n\r\nabc",
            CHUNKED + b"4\r\nabc",
            CHUNKED + b"3\r\nabc\r\n0\r\n",
        ):
            conn = self.send(data)
            conn.shutdown(1)
            self.assertTrue(self.read(conn).startswith(b"HTTP/1.1 400"))
        self.assertEqual([], self.bodies)


class CrowdTest(ServerTest):
    def test_requests_that_stop_short_leave_room_for_others(self):
        crowd = [
            self.send(CHUNKED + b"3e8\r\n" + b"x" * 999)
            for _ in range(PORT_LIMITS.max_connections)
        ]
        self.assertTrue(
            self.connections.held_bytes <= PORT_LIMITS.max_held_bytes
        )
        self.assertEqual([200], self.statuses(LAST_GET))
        del crowd

    def test_connections_that_wait_make_room_for_others(self):
        for data in (b"", b"GET / HT", CHUNKED, GET):
            crowd = [
                self.send(data) for _ in range(2 * PORT_LIMITS.max_connections)
            ]
            self.assertTrue(
                len(self.connections) <= PORT_LIMITS.max_connections
            )
            self.assertEqual([200], self.statuses(LAST_GET))
            del crowd

    def test_accepting_goes_on_without_a_free_descriptor(self):
        listening = self.server._socket
        accept, idle = listening.accept, self.send(GET)
        idle.recv(4096)
        errors = [errno.EMFILE, errno.ECONNABORTED]

        def fail_first():
            if errors:
                raise OSError(errors.pop(0), "")
            return accept()

        listening.accept = fail_first
        # Accepted by the call that waited already.
        self.assertEqual([200], self.statuses(LAST_GET))
        self.assertEqual([200], self.statuses(LAST_GET))
        self.assertEqual([], errors)
        self.assertEqual(b"", idle.recv(4096))


class SlowClientTest(ServerTest):
    LIMITS = dataclasses.replace(
        PORT_LIMITS, idle_s=0.5, head_s=0.3, body_s=0.3, send_s=0.3
    )

    def wait_until_none_is_open(self):
        with eventlet.Timeout(READ_S):
            while len(self.connections) or not self.accepted:
                eventlet.sleep(0.01)

    def test_slow_requests_end(self):
        for data, status in (
            (b"GET / HTTP/1.1\r\n", b"408"),
            (CHUNKED + b"4\r\nabc", b"408"),
            (b"", b""),
            (GET, b"200"),
        ):
            answer = self.read(self.send(data))
            self.assertEqual(status, answer[9:12])
        self.wait_until_none_is_open()

    def test_client_that_does_not_read_is_closed(self):
        self.response = "x" * 20_000_000
        conn = self.send(GET)
        self.wait_until_none_is_open()
        del conn


class SlowCrowdTest(ServerTest):
    LIMITS = limits.PortLimits(max_connections=8, max_held_bytes=100_000)

    def test_bytes_now_and_then_keep_no_connection_open(self):
        begun = HEAD + b"Content-Length: 9\r\n\r\nab"
        crowd = [self.send(begun) for _ in range(7)]
        ordinary = self.send(begun)
        for conn in crowd:
            conn.sendall(b"c")
        eventlet.sleep(0.01)
        others = [self.send(b"") for _ in range(7)]
        ordinary.sendall(b"cdefghi" + LAST_GET)
        self.assertEqual(2, self.read(ordinary).count(b"HTTP/1.1 200"))
        del others


class NoRoomTest(ServerTest):
    LIMITS = limits.PortLimits(max_connections=8, max_held_bytes=800)

    def test_largest_request_is_refused(self):
        data = HEAD + b"Content-Length: 1000\r\n\r\n" + b"x" * 1000
        answer = self.read(self.send(data))
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"\r\nRetry-After: 1\r\n", answer)
        self.assertEqual([], self.bodies)
        self.assertEqual([200], self.statuses(LAST_GET))
