"""Base class of the integration tests: a fleet and a client."""

import concurrent.futures
import json
import signal
import time
import uuid

import testtools
import urllib3

from wisterialug_standins import fleet, fleet_hosts, uuid7

LIMITS = [
    ("siam", "customer", "siam", {"weight": "300"}),
    ("siam", "team", "settlement", {"weight": "100"}),
    ("himalaya", "customer", "himalaya", {"weight": "200"}),
]

# Interval of readiness checks, well below balancer_lag_s of one second.
READINESS_CHECK_INTERVAL_S = 0.2

# A daemon that gives no response for so long after a failure hangs.
HANG_TIMEOUT_S = 5.0


class Response:
    """Outcome of one request, with the response if there was one."""

    def __init__(self, tag, outcome, status, body, headers):
        self.tag = tag
        self.outcome = outcome
        self.status = status
        self.body = body
        self.headers = headers

    def json(self):
        return json.loads(self.body)


class IntegrationTest(testtools.TestCase):
    """Starts the processes of `spec`, which subclasses override."""

    spec = fleet_hosts.FleetSpec(data_centres=1)

    def setUp(self):
        super().setUp()
        self.fleet = fleet.Fleet(self.spec)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)
        self.addOnException(self._attach_logs)
        self.vms = list(self.fleet.daemons)
        self._not_done = []
        self.apply_config()

    def _attach_logs(self, exc_info):
        del exc_info
        self.addDetail(
            "not-done",
            testtools.content.text_content("\n".join(self._not_done[-40:])),
        )
        for vm in self.vms:
            state = self._daemon_state(vm)
            self.addDetail(f"state-{vm}", testtools.content.text_content(state))
            text = self.fleet.log_text(vm)
            self.addDetail(
                f"log-{vm}", testtools.content.text_content(text[-3000:])
            )

    def _daemon_state(self, vm):
        """Returns what a daemon's process does; one that hangs is aborted.

        Its stack is then at the end of its log.
        """
        daemon = self.fleet.daemons[vm]
        state = fleet_hosts.process_state(daemon.process)
        try:
            url = daemon.metrics_url + "/livez"
            self.fleet.http.request("GET", url, timeout=HANG_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as exc:
            state = f"no response: {exc}\n{state}"
            if daemon.process.poll() is None:
                self.fleet.signal_daemon(vm, signal.SIGABRT)
                time.sleep(READINESS_CHECK_INTERVAL_S)
        return state

    def apply_config(self):
        changes = [
            {
                "key": f"limit/{customer}/{kind}/{name}",
                "column": column,
                "base": "",
                "value": value,
            }
            for customer, kind, name, columns in LIMITS
            for column, value in [("row", "present"), *columns.items()]
        ]
        self.call_api("POST", "/v1/table/apply", {"changes": changes})
        for customer, idempotent in (("siam", False), ("himalaya", False)):
            self.call_api(
                "POST",
                "/v1/services",
                {
                    "customer": customer,
                    "name": self.spec.service,
                    "idempotent": idempotent,
                    "timeout_ms": 3000,
                },
            )
        response = self.call_api("POST", "/v1/services", self.lookup_service())
        self.wait_in_force(response["revision"])

    def lookup_service(self):
        """Returns a service whose requests may be repeated."""
        return {"customer": "siam", "name": "lookups", "idempotent": True}

    def call_api(self, method, path, body=None, vm=None, expect=200):
        status, response = self.fleet.operator_request(
            vm or self.vms[0], method, path, body
        )
        self.assertEqual(expect, status, response)
        return response

    def wait_in_force(self, revision, vm=None):
        response = self.call_api(
            "POST", "/v1/in-force", {"revision": revision, "timeout_s": 10}, vm
        )
        self.assertEqual([], response["lagging"] + response["unreachable"])
        return response

    def send(
        self,
        vm,
        *,
        method="POST",
        tag=None,
        key=None,
        customer="siam",
        timeout_ms=3000,
        body=None,
    ):
        """Sends one request; a lost connection counts as unknown."""
        sent_s = time.monotonic()
        response = self._send(
            vm, method, tag or uuid.uuid4().hex, key, customer, timeout_ms, body
        )
        if response.outcome != "done":
            seconds = time.monotonic() - sent_s
            self._not_done.append(
                f"{vm} {response.tag} {response.outcome} {response.status}"
                f" after {seconds:.2f} s at {sent_s:.2f}: {response.body}"
            )
        return response

    def _send(self, vm, method, tag, key, customer, timeout_ms, body):
        headers = {
            "Wisterialug-Customer": customer,
            "Wisterialug-Timeout-Ms": str(timeout_ms),
            "X-Request-Id": tag,
        }
        if method == "POST":
            headers["Idempotency-Key"] = key or uuid7.make()
        url = self.fleet.daemons[vm].caller_url
        try:
            resp = self.fleet.http.request(
                method,
                f"{url}/services/{self.spec.service}/x",
                body=tag.encode() if body is None else body,
                headers=headers,
                timeout=timeout_ms / 1000 + 2,
            )
        except urllib3.exceptions.NewConnectionError as exc:
            return Response(tag, "not-run", 0, repr(exc).encode(), {})
        except urllib3.exceptions.HTTPError as exc:
            return Response(tag, "unknown", 0, repr(exc).encode(), {})
        return Response(
            tag,
            resp.headers.get("Wisterialug-Outcome", "unknown"),
            resp.status,
            resp.data,
            resp.headers,
        )

    def send_balanced(self, vms, count, threads=8):
        """Sends requests like a load balancer that polls readiness."""
        checked = dict.fromkeys(vms, (0.0, True))

        def ready(vm):
            checked_s, is_ready = checked[vm]
            if time.monotonic() - checked_s > READINESS_CHECK_INTERVAL_S:
                url = self.fleet.daemons[vm].metrics_url + "/readyz"
                try:
                    is_ready = self.fleet.http.request("GET", url).status == 200
                except urllib3.exceptions.HTTPError:
                    is_ready = False
                checked[vm] = (time.monotonic(), is_ready)
            return is_ready

        def send_one(number):
            for offset in range(len(vms)):
                vm = vms[(number + offset) % len(vms)]
                if ready(vm):
                    return self.send(vm)
            self._not_done.append(f"no VM was ready: {checked}")
            return Response("", "not-run", 0, b"", {})

        with concurrent.futures.ThreadPoolExecutor(threads) as pool:
            return list(pool.map(send_one, range(count)))

    def send_many(self, vms, count, threads=12, **kwargs):
        """Sends requests to VMs in turn; returns their responses."""
        with concurrent.futures.ThreadPoolExecutor(threads) as pool:
            return list(
                pool.map(
                    lambda n: self.send(vms[n % len(vms)], **kwargs),
                    range(count),
                )
            )

    def instance_logs(self):
        names = self.fleet.of_role("VM_ROLE_INSTANCE")
        return {name: self.fleet.instance_log(name) for name in names}

    def runs_by_tag(self):
        counts = {}
        for log in self.instance_logs().values():
            for tag in log["runs"]:
                counts[tag] = counts.get(tag, 0) + 1
        return counts

    def check_responses(self, responses, *, at_most_once=True):
        """Checks outcomes against the runs that instances logged."""
        runs = self.runs_by_tag()
        for response in responses:
            ran = runs.get(response.tag, 0)
            if response.outcome == "done" and response.status == 200:
                self.assertEqual(response.tag, response.json()["tag"])
                self.assertTrue(ran)
            if response.outcome == "not-run":
                self.assertEqual(0, ran, response.body)
            if at_most_once:
                self.assertTrue(ran <= 1, f"{response.tag} ran {ran} times")
        for name, log in self.instance_logs().items():
            self.assertTrue(
                log["max_in_flight"] <= self.spec.slots, (name, log)
            )

    def outcomes(self, responses):
        counts = {}
        for response in responses:
            counts[response.outcome] = counts.get(response.outcome, 0) + 1
        return counts

    def worker_runs(self):
        """Returns all runs of all workers by task."""
        runs = {}
        for worker in self.fleet.of_role("VM_ROLE_WORKER"):
            log = self.fleet.worker_log(worker)
            self.assertEqual(0, log["overcommitted"])
            self.assertEqual(0, log["lost_checkpoints"])
            for run in log["runs"]:
                runs.setdefault(run["task"], []).append({**run, "on": worker})
        return runs

    def submit(self, **fields):
        job = {
            "customer": "siam",
            "team": "settlement",
            "name": "night",
            "tasks": 6,
            "each": {"cpu_millicores": 4000, "memory_mib": 1000},
            "run_ms": 1000,
            "repeatable": True,
            **fields,
        }
        return self.call_api("POST", "/v1/jobs", job)["id"]

    def job_states(self, job, vm=None):
        return self.call_api("GET", f"/v1/jobs/{job}", vm=vm)["states"]
