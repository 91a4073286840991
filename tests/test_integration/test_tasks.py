"""Tests of batch tasks on real daemons, with injected faults."""

import itertools
import signal

from tests.test_integration import base
from wisterialug_standins import fleet, fleet_hosts


class TaskTest(base.IntegrationTest):
    spec = fleet_hosts.FleetSpec(
        data_centres=1,
        instances=0,
        settings=("--session-lease-s=3", "--task-lease-s=6"),
    )

    def owner(self):
        """Returns the VM that owns the one shard, or None."""
        for vm in self.vms:
            process = self.fleet.daemons[vm].process
            if process.poll() is None:
                status = self.fleet.operator_request(vm, "GET", "/v1/status")[1]
                if status["shards"]:
                    return vm
        return None

    def wait_owner(self):
        fleet.wait_for(self.owner, 20, "an owner")
        return self.owner()

    def wait_done(self, job, count, vm=None, timeout_s=40):
        fleet.wait_for(
            lambda: self.job_states(job, vm) == {"done": count},
            timeout_s,
            "all tasks done",
        )

    def test_tasks_survive_the_loss_of_the_owner(self):
        owner = self.wait_owner()
        job = self.submit(run_ms=8000)
        fleet.wait_for(lambda: len(self.worker_runs()) == 6, 20, "all started")
        self.fleet.kill_daemon(owner)
        self.vms.remove(owner)
        taken_s = fleet.wait_for(self.owner, 3 + 2, "takeover in lease + 2 s")
        self.addDetail(
            "takeover", base.testtools.content.text_content(f"{taken_s:.1f} s")
        )
        self.wait_done(job, 6, self.vms[0])
        runs = self.worker_runs()
        self.assertEqual({1}, {len(task_runs) for task_runs in runs.values()})

    def test_paused_owner_starts_nothing_when_resumed(self):
        owner = self.wait_owner()
        self.fleet.signal_daemon(owner, signal.SIGSTOP)
        others = [vm for vm in self.vms if vm != owner]

        def taken():
            return any(
                self.call_api("GET", "/v1/status", vm=vm)["shards"]
                for vm in others
            )

        fleet.wait_for(taken, 20, "takeover")
        job = self.submit_at(others[0])
        self.fleet.signal_daemon(owner, signal.SIGCONT)
        self.wait_done(job, 6, others[0])
        runs = self.worker_runs()
        self.assertEqual({1}, {len(task_runs) for task_runs in runs.values()})

    def submit_at(self, vm):
        self.vms, all_vms = [vm], self.vms
        try:
            return self.submit()
        finally:
            self.vms = all_vms

    def test_running_tasks_survive_an_outage_of_the_table(self):
        self.wait_owner()
        job = self.submit(run_ms=9000)
        fleet.wait_for(lambda: len(self.worker_runs()) == 6, 20, "all started")
        self.fleet.set_table_faults(down=True)

        def all_ended():
            runs = self.worker_runs().values()
            return all(run[0]["end"] for run in runs)

        # The outage outlasts every lease; tasks must run on without one.
        fleet.wait_for(all_ended, 30, "all ended")
        self.fleet.set_table_faults(down=False)
        self.wait_done(job, 6)
        runs = self.worker_runs()
        ends = {run["end"] for task_runs in runs.values() for run in task_runs}
        self.assertEqual({"ATTEMPT_END_DONE"}, ends)

    def test_lost_responses_of_the_table(self):
        self.wait_owner()
        jobs = []
        for number in range(4):
            self.fleet.set_table_faults(lose_answers=4)
            jobs.append(self.submit(name=f"n{number}", run_ms=500))
        self.fleet.set_table_faults(lose_answers=0)
        for job in jobs:
            self.wait_done(job, 6)
        runs = self.worker_runs()
        self.assertEqual(24, len(runs))
        self.assertEqual({1}, {len(task_runs) for task_runs in runs.values()})

    def test_cancelled_job_ends(self):
        self.wait_owner()
        job = self.submit(tasks=40, run_ms=60000)
        fleet.wait_for(self.worker_runs, 20, "some started")
        self.call_api("POST", f"/v1/jobs/{job}/cancel", {})
        fleet.wait_for(
            lambda: self.job_states(job) == {"cancelled": 40}, 20, "cancelled"
        )

    def test_worker_that_fails_everything_is_set_aside(self):
        self.wait_owner()
        self.fleet.set_behaviour("worker-1-1", fail=True)
        job = self.submit(tasks=30, run_ms=300)
        self.wait_done(job, 30)
        starts = len(self.fleet.worker_log("worker-1-1")["runs"])
        self.assertTrue(starts <= 3, f"{starts} starts on the bad worker")
        states = {
            worker["id"]: worker["state"]
            for worker in self.call_api("GET", "/v1/workers")
        }
        self.assertIn("set aside", states["worker-1-1"])

    def test_urgent_work_preempts_and_evicted_work_resumes(self):
        self.wait_owner()
        job = self.submit(
            tasks=12,
            run_ms=8000,
            each={"cpu_millicores": 4000, "memory_mib": 1},
        )
        fleet.wait_for(lambda: self._running() == 12, 30, "workers full")
        urgent = self.submit(name="urgent", tasks=2, run_ms=500, urgent=True)
        started_s = fleet.wait_for(
            lambda: sum(t.startswith(urgent) for t in self.worker_runs()) == 2,
            6.9,
            "urgent tasks started",
        )
        self.addDetail(
            "urgent",
            base.testtools.content.text_content(f"{started_s:.1f} s"),
        )
        self.wait_done(job, 12)
        for runs in self.worker_runs().values():
            runs.sort(key=lambda run: run["attempt"])
            for before, after in itertools.pairwise(runs):
                self.assertEqual("ATTEMPT_END_EVICTED", before["end"])
                self.assertEqual(before["checkpoint_ms"], after["resumed_ms"])

    def _running(self):
        runs = self.worker_runs().values()
        return sum(not run["end"] for task_runs in runs for run in task_runs)

    def test_job_that_can_never_run_is_refused(self):
        self.wait_owner()
        response = self.call_api(
            "POST",
            "/v1/jobs",
            {
                "customer": "siam",
                "team": "settlement",
                "name": "huge",
                "tasks": 1,
                "each": {"cpu_millicores": 64000, "memory_mib": 1},
                "run_ms": 1,
            },
            expect=422,
        )
        self.assertIn("cpu_millicores=64000", response["details"][0])

    def test_explain_names_the_scarce_resource(self):
        self.wait_owner()
        self.submit(
            tasks=3, run_ms=30000, each={"cpu_millicores": 16000}, name="full"
        )
        job = self.submit(name="waits", tasks=1)

        def explained():
            waiting = self.call_api("GET", f"/v1/jobs/{job}/explain")["waiting"]
            return any(
                "cpu_millicores 0 free" in text for text in waiting.values()
            )

        fleet.wait_for(explained, 20, "explanation")
