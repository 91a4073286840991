"""What the integration tests share: a fleet and a caller."""

import concurrent.futures
import json
import time
import uuid

import testtools
import urllib3

from wisterialug_standins import fleet, uuid7

LIMITS = [
    ("siam", "customer", "siam", {"weight": "300"}),
    ("siam", "team", "settlement", {"weight": "100"}),
    ("himalaya", "customer", "himalaya", {"weight": "200"}),
]


# The balancer's lag, well under the daemon's setting of one second.
BALANCER_CHECK_S = 0.2


class Answer:
    """What a caller was told of one request."""

    def __init__(self, tag, outcome, status, body, headers):
        self.tag = tag
        self.outcome = outcome
        self.status = status
        self.body = body
        self.headers = headers

    def json(self):
        return json.loads(self.body)


class IntegrationTest(testtools.TestCase):
    """Runs real processes; a subclass says which."""

    shape = fleet.FleetSpec(data_centres=1)

    def setUp(self):
        super().setUp()
        self.fleet = fleet.Fleet(self.shape)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)
        self.addOnException(self._show_logs)
        self.vms = list(self.fleet.daemons)
        self.make_config()

    def _show_logs(self, exc_info):
        del exc_info
        for vm in self.vms:
            text = self.fleet.log_text(vm)
            self.addDetail(
                f"log-{vm}", testtools.content.text_content(text[-3000:])
            )

    def make_config(self):
        cells = [
            {
                "key": f"limit/{customer}/{kind}/{name}",
                "column": column,
                "base": "",
                "value": value,
            }
            for customer, kind, name, columns in LIMITS
            for column, value in [("row", "present"), *columns.items()]
        ]
        self.operate("POST", "/v1/table/apply", {"changes": cells})
        for customer, idempotent in (("siam", False), ("himalaya", False)):
            self.operate(
                "POST",
                "/v1/services",
                {
                    "customer": customer,
                    "name": self.shape.service,
                    "idempotent": idempotent,
                    "timeout_ms": 3000,
                },
            )
        told = self.operate("POST", "/v1/services", self.lookups())
        self.wait_in_force(told["revision"])

    def lookups(self):
        """A service whose requests may be repeated."""
        return {"customer": "siam", "name": "lookups", "idempotent": True}

    def operate(self, method, path, body=None, vm=None, expect=200):
        status, answer = self.fleet.operator_request(
            vm or self.vms[0], method, path, body
        )
        self.assertEqual(expect, status, answer)
        return answer

    def wait_in_force(self, revision, vm=None):
        told = self.operate(
            "POST", "/v1/in-force", {"revision": revision, "timeout_s": 10}, vm
        )
        self.assertEqual([], told["lagging"] + told["unreachable"])
        return told

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
        tag = tag or uuid.uuid4().hex
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
                f"{url}/services/{self.shape.service}/x",
                body=tag.encode() if body is None else body,
                headers=headers,
                timeout=timeout_ms / 1000 + 2,
            )
        except urllib3.exceptions.NewConnectionError:
            return Answer(tag, "not-run", 0, b"", {})
        except urllib3.exceptions.HTTPError:
            return Answer(tag, "unknown", 0, b"", {})
        return Answer(
            tag,
            resp.headers.get("Wisterialug-Outcome", "unknown"),
            resp.status,
            resp.data,
            resp.headers,
        )

    def send_as_balancer(self, vms, count, at_once=8):
        """Sends through a balancer that asks for readiness now and then."""
        checked = dict.fromkeys(vms, (0.0, True))

        def ready(vm):
            at, told = checked[vm]
            if time.monotonic() - at > BALANCER_CHECK_S:
                url = self.fleet.daemons[vm].metrics_url + "/readyz"
                try:
                    told = self.fleet.http.request("GET", url).status == 200
                except urllib3.exceptions.HTTPError:
                    told = False
                checked[vm] = (time.monotonic(), told)
            return told

        def one(number):
            for shift in range(len(vms)):
                vm = vms[(number + shift) % len(vms)]
                if ready(vm):
                    return self.send(vm)
            return Answer("", "not-run", 0, b"", {})

        with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
            return list(pool.map(one, range(count)))

    def send_many(self, vms, count, at_once=12, **kwargs):
        """Sends requests to VMs in turn; returns their answers."""
        with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
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

    def check_answers(self, answers, *, at_most_once=True):
        """Holds what callers were told against what instances ran."""
        runs = self.runs_by_tag()
        for answer in answers:
            ran = runs.get(answer.tag, 0)
            if answer.outcome == "done" and answer.status == 200:
                self.assertEqual(answer.tag, answer.json()["tag"])
                self.assertTrue(ran)
            if answer.outcome == "not-run":
                self.assertEqual(0, ran, answer.body)
            if at_most_once:
                self.assertTrue(ran <= 1, f"{answer.tag} ran {ran} times")
        for name, log in self.instance_logs().items():
            self.assertTrue(
                log["max_in_flight"] <= self.shape.slots, (name, log)
            )

    def outcomes(self, answers):
        counts = {}
        for answer in answers:
            counts[answer.outcome] = counts.get(answer.outcome, 0) + 1
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
        return self.operate("POST", "/v1/jobs", job)["id"]

    def job_states(self, job, vm=None):
        return self.operate("GET", f"/v1/jobs/{job}", vm=vm)["states"]
