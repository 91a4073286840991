"""Single requests inside the limits, beside the limits for crowds."""

import base64
import json

from tests.test_daemon import workflow_base
from tests.test_platform import client_crowd, process_bench

CHUNKED = "Transfer-Encoding: chunked"
LARGEST_TASKS = 4000
SPEC_BYTES = 4000
BODY_BYTES = 262_144


class CalmRequestsTest(client_crowd.CrowdTest):
    """A single request inside the limits is refused."""

    def job(self):
        step = {"count": 1, "cpu": 10, "mem_mb": 10, "estimate_ms": 10}
        fields = {"spec": "x" * SPEC_BYTES, "steps": [step]}
        job = self.new_job(workflow_base.step(1))
        return job, json.dumps(fields).encode()

    def largest_job(self):
        """Returns a job of the most tasks, in many steps."""
        steps = [
            {
                "count": LARGEST_TASKS // 200,
                "cpu": 10,
                "mem_mb": 10,
                "estimate_ms": 1,
                "saves_progress": True,
                "image": f"registry.example/team/image-{number:04}",
                **({"after": [number - 1]} if number else {}),
            }
            for number in range(200)
        ]
        # Six bytes of the body for two of the spec.
        fields = {"spec": "\u00e9" * (SPEC_BYTES // 2), "steps": steps}
        job = self.new_job(
            *[workflow_base.step(step["count"]) for step in steps]
        )
        return job, json.dumps(fields).encode()

    def check_accepted(self, conn, job):
        status, body = conn.answer()
        self.assertEqual(200, status, body)
        self.check_state(conn, job)
        self.check_bounds()

    def check_state(self, conn, job):
        path = process_bench.PREFIX + job
        conn.send(client_crowd.request("GET", path))
        status, body = conn.answer()
        self.assertEqual(200, status, body)

    def check_body(self, job, *lines, pieces, pause_s=0.0):
        conn = self.connect()
        conn.send(client_crowd.job_head(job, *lines), *pieces, pause_s=pause_s)
        self.check_accepted(conn, job)

    def test_slow_request_is_cut_off(self):
        job, body = self.job()
        data = client_crowd.job_head(job, f"Content-Length: {len(body)}") + body
        size = len(data) // 12 + 1
        pieces = [data[n : n + size] for n in range(0, len(data), size)]
        conn = self.connect()
        conn.send(*pieces, pause_s=0.4)
        self.check_accepted(conn, job)

    def test_largest_body_in_chunks_of_one_byte_is_refused(self):
        job, body = self.largest_job()
        body += b" " * (BODY_BYTES - len(body))
        data = client_crowd.chunked(body, 1) + b"0\r\n\r\n"
        self.check_body(job, CHUNKED, pieces=[data])

    def test_slow_chunks_are_cut_off(self):
        job, body = self.job()
        data = client_crowd.chunked(body, 10) + b"0\r\n\r\n"
        size = len(data) // 12 + 1
        pieces = [data[n : n + size] for n in range(0, len(data), size)]
        self.check_body(job, CHUNKED, pieces=pieces, pause_s=0.4)

    def test_chunk_extensions_and_trailers_are_refused(self):
        job, body = self.job()
        half = len(body) // 2
        parts = (
            b'%x;name="value"\r\n%b\r\n' % (len(part), part)
            for part in (body[:half], body[half:])
        )
        end = b"0;last=1\r\nX-Checksum: 1234\r\nX-Note: abc\r\n\r\n"
        self.check_body(job, CHUNKED, pieces=[*parts, end])

    def test_body_after_continue_is_refused(self):
        for line in ("Content-Length: {}", CHUNKED):
            job, body = self.job()
            if line == CHUNKED:
                data = client_crowd.chunked(body, 1000) + b"0\r\n\r\n"
            else:
                data = body
            conn = self.connect()
            lines = ("Expect: 100-continue", line.format(len(body)))
            conn.send(client_crowd.job_head(job, *lines))
            self.assertEqual(100, conn.answer()[0])
            conn.send(data)
            self.check_accepted(conn, job)

    def test_largest_job_is_refused(self):
        job, body = self.largest_job()
        line = f"Content-Length: {len(body)}"
        self.check_body(job, line, pieces=[body])

    def test_largest_body_is_refused(self):
        job, body = self.job()
        body += b" " * (BODY_BYTES - len(body))
        line = f"Content-Length: {len(body)}"
        self.check_body(job, line, pieces=[body])

    def test_connection_is_lost_after_a_chunked_body(self):
        conn = self.connect()
        for _ in range(5):
            job, body = self.job()
            data = client_crowd.chunked(body, 500) + b"0\r\nA: b\r\n\r\n"
            conn.send(client_crowd.job_head(job, CHUNKED) + data)
            self.check_accepted(conn, job)

    def test_pipelined_requests_are_lost(self):
        conn = self.connect()
        jobs = [self.job() for _ in range(10)]
        sent = []
        for number, (job, body) in enumerate(jobs):
            if number % 2:
                data = client_crowd.chunked(body, 700) + b"0\r\n\r\n"
                sent.append(client_crowd.job_head(job, CHUNKED) + data)
            else:
                line = f"Content-Length: {len(body)}"
                sent.append(client_crowd.job_head(job, line) + body)
        conn.send(b"".join(sent))
        statuses = [conn.answer()[0] for _ in jobs]
        self.assertEqual([200] * len(jobs), statuses)
        for job, _ in jobs:
            self.check_state(conn, job)
        self.check_bounds()

    def test_largest_call_of_another_vm_is_refused(self):
        value = base64.b64encode(b"x" * 36_000).decode()
        writes = [
            {"table": "other", "part": "", "key": f"{n}", "value": value}
            for n in range(20)
        ]
        fields = {"expected_rev": [], "writes": writes, "remove": []}
        body = json.dumps(fields).encode()
        conn = self.connect(process_bench.PEERS_PORT)
        line = f"Content-Length: {len(body)}"
        conn.send(
            client_crowd.request("POST", "/relay/rows-tx", line, body=body)
        )
        status, body = conn.answer()
        self.assertEqual(200, status, body)
        self.check_bounds()
