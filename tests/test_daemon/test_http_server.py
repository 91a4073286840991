"""Tests of the shutdown of the HTTP server."""

import socket

import eventlet
import testtools

from wisterialug_daemon.http import responses, server

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class CloseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.answered = 0
        # Port 0 lets the system choose a free port.
        self.server = server.WsgiServer("127.0.0.1", 0, self.handle)
        self.port = self.server.port
        eventlet.sleep(0.05)

    def handle(self, environ, start_response):
        del environ
        eventlet.sleep(0.05)
        self.answered += 1
        return responses.json_response(start_response, 200, {})

    def connect(self):
        """Sends a request without yielding to the server."""
        conn = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(conn.close)
        conn.sendall(REQUEST)
        return conn

    def read(self, conn):
        conn.settimeout(2.0)
        data = b""
        while chunk := conn.recv(4096):
            data += chunk
        return data

    def test_pending_connections_are_served_on_close(self):
        # A VM that stops on a busy machine may not have accepted them yet.
        pending = [self.connect() for _ in range(5)]
        self.server.close(2.0)
        for conn in pending:
            self.assertTrue(self.read(conn).startswith(b"HTTP/1.1 200"))
        self.assertEqual(5, self.answered)

    def test_no_connection_is_accepted_after_close(self):
        # A VM closes its server when it drains and again when it exits.
        self.server.close(0.5)
        self.server.close()
        self.assertRaises(ConnectionRefusedError, self.connect)
