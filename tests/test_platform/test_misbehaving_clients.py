"""Clients that keep to no limit end a process, or keep others from it."""

import collections
import json

import eventlet

from tests.test_daemon import workflow_base
from tests.test_platform import client_crowd, process_bench

CALLERS, READINESS = process_bench.CALLERS_PORT, process_bench.READINESS_PORT
PEERS, METRICS = process_bench.PEERS_PORT, process_bench.METRICS_PORT
JOB_PATH = process_bench.PREFIX + "0123456789abcdef"
RELAY_PATH = "/relay/rows-tx"
CHUNKED = "Transfer-Encoding: chunked"
# Longer than any line inside the limits.
ENDLESS_BYTES = 3 * 2**20
# Less than the 64 KiB and the 100 lines that the server reads.
HEADERS = ["A: " + "x" * 690] * 90


class LinesWithoutEnd:
    """Lines that have no end, on any port."""

    PORT = 0
    PATH = "/"

    def send(self, body):
        self.join(40, self.PORT, "POST", self.PATH, CHUNKED, body=body)
        self.check_survives()

    def test_chunk_size_without_end_fills_memory(self):
        self.send(b"0" * ENDLESS_BYTES)

    def test_chunk_extension_without_end_fills_memory(self):
        self.send(b"1;" + b"x" * ENDLESS_BYTES)

    def test_line_after_a_chunk_without_end_fills_memory(self):
        self.send(b"1\r\n{" + b"x" * ENDLESS_BYTES)

    def test_trailer_without_end_fills_memory(self):
        self.send(b"1\r\n{\r\n0\r\nA: " + b"x" * ENDLESS_BYTES)

    def test_trailers_without_end_hold_the_process(self):
        trailers = b"A: x\r\n" * (ENDLESS_BYTES // 24)
        self.send(b"1\r\n{\r\n0\r\n" + trailers)

    def test_headers_without_end_fill_memory(self):
        data = client_crowd.request("POST", self.PATH, *HEADERS)
        self.crowd.join(700, self.PORT, data[:-2])
        self.check_survives()


class CallersLinesTest(LinesWithoutEnd, client_crowd.CrowdTest):
    PORT = CALLERS
    PATH = JOB_PATH

    def test_request_lines_without_end_fill_memory(self):
        self.crowd.join(400, CALLERS, b"x" * ENDLESS_BYTES)
        self.check_survives()


class PeersLinesTest(LinesWithoutEnd, client_crowd.CrowdTest):
    PORT = PEERS
    PATH = RELAY_PATH


class ReadinessLinesTest(LinesWithoutEnd, client_crowd.CrowdTest):
    PORT = READINESS
    PATH = "/ready"


class MetricsLinesTest(LinesWithoutEnd, client_crowd.CrowdTest):
    PORT = METRICS
    PATH = "/metrics"


class CallersBodiesTest(client_crowd.CrowdTest):
    """Bodies that stop short of their end, from clients that stay."""

    def send(self, count, *lines, body):
        self.join(count, CALLERS, "POST", JOB_PATH, *lines, body=body)
        self.check_survives()

    def test_large_chunks_that_stop_short_fill_memory(self):
        body = b"3f000\r\n" + b" " * 0x3EFF0
        self.send(400, CHUNKED, body=body)

    def test_very_small_chunks_that_stop_short_fill_memory(self):
        body = client_crowd.chunked(b" " * 120_000, 2)
        self.send(40, CHUNKED, body=body)

    def test_bodies_with_a_length_that_stop_short_fill_memory(self):
        self.send(400, "Content-Length: 262000", body=b" " * 261_990)

    def test_bodies_after_continue_that_stop_short_fill_memory(self):
        lines = ("Expect: 100-continue", "Content-Length: 262000")
        self.send(400, *lines, body=b" " * 261_990)

    def test_refused_jobs_of_a_crowd_run_or_cannot_be_handed_in_again(self):
        self.check_refused(110_000, chunk_bytes=2)

    def test_refused_large_jobs_run_or_cannot_be_handed_in_again(self):
        self.check_refused(250_000, chunk_bytes=250_000)

    def check_refused(self, blanks, chunk_bytes):
        """Has 40 jobs end at once; what is refused must not have run."""
        step = {"count": 1, "cpu": 10, "mem_mb": 10, "estimate_ms": 10}
        fields = {"spec": "x", "steps": [step]}
        # Blanks beside the object are part of the body.
        body = json.dumps(fields).encode() + b" " * blanks
        data = client_crowd.chunked(body, chunk_bytes)
        conns = {
            self.new_job(workflow_base.step(1)): self.connect()
            for _ in range(40)
        }
        for send in (
            lambda conn, job: conn.send(
                client_crowd.job_head(job, CHUNKED), data
            ),
            lambda conn, job: conn.send(b"0\r\n\r\n"),
        ):
            self.for_each(conns, send)
            self.crowd.settle()
        answers = self.for_each(conns, lambda conn, job: conn.answer()[0])
        print(self.id(), collections.Counter(answers.values()))
        self.check_bounds()
        for job, status in answers.items():
            if status in {429, 503}:
                self.assertNotEqual(200, self.ask("GET", job)[0], job)
                self.assertEqual([], self.runs(job))
        for job in answers:
            self.wait_for(
                lambda job=job: self.ask("POST", job, fields)[0] == 200,
                client_crowd.ANSWER_S,
                self.logged,
            )
            self.wait_until_completed(job, client_crowd.ANSWER_S)
            self.assertEqual(1, len(self.runs(job)), job)
        self.check_bounds()

    def runs(self, job):
        return [r for r in self.fleet.history if r.task.startswith(job)]

    def for_each(self, conns, action):
        """Acts for all clients at once; returns results, 0 if closed."""

        def run(conn, job):
            try:
                return action(conn, job)
            except client_crowd.CLIENT_ERRORS:
                return 0

        threads = {
            job: eventlet.spawn(run, conn, job) for job, conn in conns.items()
        }
        return {job: thread.wait() for job, thread in threads.items()}


class PeersBodiesTest(client_crowd.CrowdTest):
    """The same on the port for other VMs, which takes larger bodies."""

    def send(self, count, *lines, body):
        self.join(count, PEERS, "POST", RELAY_PATH, *lines, body=body)
        self.check_survives()

    def test_body_without_end_fills_memory(self):
        self.send(40, "Content-Length: 1000000000", body=b" " * ENDLESS_BYTES)

    def test_bodies_with_a_length_that_stop_short_fill_memory(self):
        self.send(100, "Content-Length: 1000000", body=b" " * 999_990)

    def test_large_chunks_that_stop_short_fill_memory(self):
        body = b"f0000\r\n" + b" " * 0xEFFF0
        self.send(100, CHUNKED, body=body)

    def test_very_small_chunks_that_stop_short_fill_memory(self):
        body = client_crowd.chunked(b" " * 120_000, 2)
        self.send(40, CHUNKED, body=body)


class UnreadAnswersTest(client_crowd.CrowdTest):
    """Clients that send requests and never read an answer."""

    def test_pipelined_requests_hold_the_process(self):
        data = client_crowd.request("GET", JOB_PATH) * 2000
        self.crowd.join(20, CALLERS, data)
        self.check_survives()

    def test_pipelined_probes_hold_the_process(self):
        data = client_crowd.request("GET", "/ready") * 3000
        self.crowd.join(20, READINESS, data)
        self.check_survives()

    def test_large_answers_fill_memory(self):
        data = client_crowd.request("GET", "/metrics") * 300
        self.crowd.join(6, METRICS, data)
        self.check_survives()


class ManyConnectionsTest(client_crowd.CrowdTest):
    """Connections take all descriptors, or keep ordinary callers out."""

    MAX_FDS = 500

    def test_idle_connections_take_all_descriptors(self):
        self.crowd.join(400, CALLERS, b"")
        self.check_survives()

    def test_idle_clients_that_return_keep_others_out(self):
        self.crowd.join(400, CALLERS, b"", returns=50)
        self.check_survives(beside_s=4.0)

    def test_short_bodies_of_clients_that_return_keep_others_out(self):
        data = client_crowd.request(
            "POST", JOB_PATH, "Content-Length: 9", body=b"{}"
        )
        self.crowd.join(400, CALLERS, data, returns=50)
        self.check_survives(beside_s=4.0)

    def test_idle_connections_of_all_ports_take_all_descriptors(self):
        for port in (CALLERS, READINESS, PEERS, METRICS):
            self.crowd.join(120, port, b"")
        self.check_survives()

    def test_kept_connections_take_all_descriptors(self):
        self.join(400, CALLERS, "GET", JOB_PATH)
        self.check_survives()

    def test_slow_headers_take_all_descriptors(self):
        data = client_crowd.request("POST", JOB_PATH, *HEADERS)
        self.crowd.join(400, CALLERS, data, piece_bytes=1, pause_s=0.5)
        self.check_survives(beside_s=4.0)

    def test_slow_bodies_take_all_descriptors(self):
        self.join(
            400,
            CALLERS,
            "POST",
            JOB_PATH,
            "Content-Length: 262000",
            body=b" " * 261_990,
            piece_bytes=100,
            pause_s=0.5,
        )
        self.check_survives(beside_s=4.0)

    def test_bodies_that_stop_short_take_all_descriptors(self):
        self.join(
            400, CALLERS, "POST", JOB_PATH, "Content-Length: 9", body=b"{}"
        )
        self.check_survives()
