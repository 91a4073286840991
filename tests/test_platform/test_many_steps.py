"""Jobs of many steps, accepted or waiting for the store."""

import unittest.mock

import eventlet

from tests.test_platform import client_crowd, process_bench

# As many tasks as a job may have.
STEPS = 4000
JOB = b'{"steps":[' + b",".join([b'{"count":1}'] * STEPS) + b"]}"
STORE_WAITS_S = 40.0


class ManyStepsTest(client_crowd.CrowdTest):
    MEMORY_MB = 200

    def send(self, count):
        lines = (f"Content-Length: {len(JOB)}", "X-Timeout-Ms: 60000")
        for number in range(count):
            head = client_crowd.job_head(f"{number:016x}", *lines)
            self.crowd.join(1, process_bench.CALLERS_PORT, head + JOB)

    def test_accepted_jobs_of_many_steps_fill_memory(self):
        self.send(100)
        self.check_survives()

    def test_waiting_jobs_of_many_steps_fill_memory(self):
        def wait(application, fields):
            eventlet.sleep(STORE_WAITS_S)
            return 503, {}

        with unittest.mock.patch.object(
            process_bench.StoreApplication, "_transact", wait
        ):
            self.send(300)
            self.crowd.settle()
            self.check_bounds()
            eventlet.sleep(5)
            self.check_bounds()
        self.crowd.close()
        self.hand_in_and_get()
        self.check_bounds()
