"""Heads that begin right behind a request."""

from tests.test_daemon import test_http_server_limits
from wisterialug_daemon.http import limits


class EarlyHeadTest(test_http_server_limits.ServerTest):
    def test_unfinished_head_behind_a_request_counts_as_idle(self):
        conn = self.send(test_http_server_limits.GET + b"GET / HTTP/1.1\r\n")
        self.assertTrue(conn.recv(4096).startswith(b"HTTP/1.1 200"))
        (opened,) = self.connections._open
        self.assertIs(limits.State.READING, opened.state)
