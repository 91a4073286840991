"""Tests of the shutdown of the HTTP server."""

import socket

import eventlet
import testtools

from wisterialug_daemon.http import server

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class CloseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.answered = 0
        # Port 0 lets the system choose one.
        self.server = server.WsgiServer("127.0.0.1", 0, self.answer)
        self.port = self.server.port
        eventlet.sleep(0.05)

    def answer(self, environ, start_response):
        del environ
        eventlet.sleep(0.05)
        self.answered += 1
        return server.json_response(start_response, 200, {})

    def connect(self):
        """Sends a request without giving the server a chance to run."""
        conn = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(conn.close)
        conn.sendall(REQUEST)
        return conn

    def read(self, conn):
        conn.settimeout(2.0)
        data = b""
        while part := conn.recv(4096):
            data += part
        return data

    def test_connections_that_wait_to_be_accepted_are_served(self):
        # Seen once in the test of a VM that stops on a busy machine.
        waiting = [self.connect() for _ in range(5)]
        self.server.close(2.0)
        for conn in waiting:
            self.assertTrue(self.read(conn).startswith(b"HTTP/1.1 200"))
        self.assertEqual(5, self.answered)

    def test_nothing_is_accepted_afterwards(self):
        # A VM closes its server when it drains, and again when it ends.
        self.server.close(0.5)
        self.server.close()
        self.assertRaises(ConnectionRefusedError, self.connect)
