"""Clients that send fast leave the other greenlets their turns."""

import dataclasses
import itertools

import eventlet

from tests.test_daemon import test_http_server_limits

REQUESTS = 1500
# Answers in a row, while nothing else of the process runs.
IN_A_ROW = 64


class PipelinedRequestsTest(test_http_server_limits.ServerTest):
    LIMITS = dataclasses.replace(
        test_http_server_limits.PORT_LIMITS, max_held_bytes=200_000
    )

    def test_pipelined_requests_keep_other_greenlets_waiting(self):
        answered = []

        def tick():
            while True:
                answered.append(len(self.bodies))
                eventlet.sleep(0)

        thread = eventlet.spawn(tick)
        self.addCleanup(thread.kill)
        conn = self.send(
            test_http_server_limits.GET * REQUESTS
            + test_http_server_limits.LAST_GET
        )
        data = self.read(conn)
        self.assertEqual(REQUESTS + 1, data.count(b"HTTP/1.1 200"))
        longest = max(
            later - before for before, later in itertools.pairwise(answered)
        )
        self.assertLessEqual(longest, IN_A_ROW)
