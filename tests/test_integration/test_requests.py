"""Tests of requests through real daemons, with injected faults."""

import signal
import threading

from tests.test_integration import base
from wisterialug_standins import fleet, fleet_hosts, uuid7

FAULTS = ("cut-answer", "reset", "lose-answer", "black-hole")


class UpstreamFaultTest(base.IntegrationTest):
    spec = fleet_hosts.FleetSpec(data_centres=1, instance_proxies=True)

    def test_outcomes_match_the_runs_under_each_fault(self):
        responses = []
        for fault in FAULTS:
            self.fleet.set_faults([">instance-1-1"], fault)
            responses += self.send_many(self.vms, 60, timeout_ms=1000)
            responses += self.send_many(
                self.vms, 30, timeout_ms=1000, method="GET"
            )
            self.fleet.set_faults([">instance-1-1"], "pass")
        posts = [r for n, r in enumerate(responses) if n % 90 < 60]
        self.check_responses(posts)
        self.check_responses(responses, at_most_once=False)
        self.assertTrue(self.outcomes(responses)["done"] > 200)

    def test_failing_instance_is_set_aside_and_reused(self):
        self.fleet.set_faults([">instance-1-1"], "reset")

        def set_aside():
            self.send_many(self.vms[:1], 10, method="GET")
            return self._instance_status(self.vms[0])["set_aside"]

        fleet.wait_for(set_aside, 20, "set aside")
        self.fleet.set_faults([">instance-1-1"], "pass")

        def in_use():
            self.send_many(self.vms[:1], 5, method="GET")
            return not self._instance_status(self.vms[0])["set_aside"]

        fleet.wait_for(in_use, 40, "back in use")

    def _instance_status(self, vm):
        status = self.call_api("GET", "/v1/status", vm=vm)
        return next(
            row for row in status["instances"] if row["id"] == "instance-1-1"
        )


class EntryVmFaultTest(base.IntegrationTest):
    spec = fleet_hosts.FleetSpec(data_centres=1, service_mean_s=0.05)

    def test_killed_and_paused_entry_vms(self):
        responses = []

        def send():
            responses.extend(self.send_many(self.vms, 240))

        sender = threading.Thread(target=send)
        sender.start()
        fleet.wait_for(lambda: self._run_count() > 20, 20, "some requests")
        self.fleet.kill_daemon(self.vms[2])
        self.fleet.signal_daemon(self.vms[1], signal.SIGSTOP)
        fleet.wait_for(lambda: self._run_count() > 60, 20, "more requests")
        self.fleet.signal_daemon(self.vms[1], signal.SIGCONT)
        sender.join()
        self.check_responses(responses)
        self.assertTrue(self.outcomes(responses)["done"])
        # The resumed VM regains slots and serves requests.
        self.fleet.wait_ready([self.vms[1]])
        responses = self.send_many(self.vms[:2], 40)
        self.check_responses(responses)
        self.assertEqual({"done": 40}, self.outcomes(responses))

    def _run_count(self):
        return sum(log["count"] for log in self.instance_logs().values())

    def test_stop_interrupts_no_request(self):
        responses = []

        def send():
            responses.extend(self.send_balanced(self.vms, 400))

        sender = threading.Thread(target=send)
        sender.start()
        fleet.wait_for(lambda: self._run_count() > 20, 20, "some requests")
        self.assertEqual(0, self.fleet.stop_daemon(self.vms[0]))
        sender.join()
        self.check_responses(responses)
        self.assertEqual({"done": 400}, self.outcomes(responses))

    def test_rolling_replacement_loses_no_request(self):
        responses = []
        stop = threading.Event()

        def send():
            while not stop.is_set():
                responses.extend(self.send_balanced(self.vms, 40, threads=4))

        sender = threading.Thread(target=send)
        sender.start()
        try:
            for vm in self.vms:
                self.assertEqual(0, self.fleet.stop_daemon(vm))
                self.fleet.start_daemon(vm)
                self.fleet.wait_ready([vm])
        finally:
            stop.set()
            sender.join()
        self.check_responses(responses)
        self.assertEqual({"done": len(responses)}, self.outcomes(responses))

    def test_slots_of_a_dead_vm_are_used_again(self):
        self.fleet.kill_daemon(self.vms[2])

        def total_limit():
            total = 0
            for vm in self.vms[:2]:
                status = self.call_api("GET", "/v1/status", vm=vm)
                total += status["instances"][0]["limit"]
            return total

        fleet.wait_for(lambda: total_limit() == 8, 30, "all slots in use")


class IdempotencyTest(base.IntegrationTest):
    def test_first_response_is_replayed_on_every_vm(self):
        key = uuid7.make()
        first = self.send(self.vms[0], key=key, body=b"pay")
        self.assertEqual("done", first.outcome)
        fleet.wait_for(
            lambda: (
                self.send(self.vms[1], key=key, body=b"pay").outcome == "done"
            ),
            10,
            "replayed response",
        )
        again = self.send(self.vms[2], key=key, body=b"pay")
        self.assertEqual(first.body, again.body)
        self.assertEqual("true", again.headers["Wisterialug-Replayed"])
        self.assertEqual({first.tag: 1}, self.runs_by_tag())

    def test_key_with_another_body_is_refused(self):
        key = uuid7.make()
        self.send(self.vms[0], key=key, body=b"pay 1")
        other = self.send(self.vms[1], key=key, body=b"pay 2")
        self.assertEqual((422, "not-run"), (other.status, other.outcome))

    def test_keys_of_customers_are_separate(self):
        self.fleet.vms["instance-1-2"]["customer"] = "himalaya"
        self.fleet.publish()
        key = uuid7.make()
        self.send(self.vms[0], key=key)

        def other():
            return self.send(self.vms[0], key=key, customer="himalaya")

        fleet.wait_for(lambda: other().outcome == "done", 10, "other customer")
        self.assertEqual(2, sum(self.runs_by_tag().values()))

    def test_lost_responses_of_the_table(self):
        responses = []
        for _ in range(10):
            self.fleet.set_table_faults(lose_answers=3)
            responses += self.send_many(self.vms, 12)
        self.fleet.set_table_faults(lose_answers=0)
        self.check_responses(responses)
        self.assertTrue(self.outcomes(responses)["done"] > 60)

    def test_outage_of_the_table(self):
        self.fleet.set_table_faults(down=True)
        refused = self.send(self.vms[0], timeout_ms=1500)
        self.assertEqual(("not-run", 503), (refused.outcome, refused.status))
        lookup = self.send(self.vms[0], method="GET")
        self.assertEqual("done", lookup.outcome)
        self.fleet.set_table_faults(down=False)
        fleet.wait_for(
            lambda: self.send(self.vms[0]).outcome == "done", 20, "recovery"
        )
        self.assertNotIn(refused.tag, self.runs_by_tag())

    def test_concurrent_requests_with_one_key_run_once(self):
        for _ in range(8):
            key = uuid7.make()
            responses = self.send_many(self.vms, 9, key=key, body=b"pay")
            ran = self.runs_by_tag()
            tags = [r.tag for r in responses if r.tag in ran]
            self.assertEqual(1, len(tags))


class OtherDataCentreTest(base.IntegrationTest):
    spec = fleet_hosts.FleetSpec(data_centres=2, entry_vms=2)

    def test_requests_are_forwarded_to_remaining_instances(self):
        for name in list(self.fleet.vms):
            if name.startswith("instance-1"):
                self.fleet.vms[name]["state"] = "VM_STATE_LEAVING"
        self.fleet.publish()

        def forwarded():
            response = self.send("vm-1-1", method="GET")
            return response.outcome == "done" and response.json()[
                "instance"
            ].startswith("instance-2")

        fleet.wait_for(forwarded, 10, "forwarded request")
        self.check_responses(self.send_many(["vm-1-1", "vm-1-2"], 40))


class DrainedInstanceTest(base.IntegrationTest):
    def test_drained_instance_gets_no_new_requests(self):
        self.send_many(self.vms, 30, method="GET")
        response = self.call_api(
            "POST", "/v1/drains", {"kind": "instance", "id": "instance-1-1"}
        )
        self.wait_in_force(response["revision"])
        before = self.instance_logs()["instance-1-1"]["count"]
        responses = self.send_many(self.vms, 60, method="GET")
        self.assertEqual({"done": 60}, self.outcomes(responses))
        after = self.instance_logs()["instance-1-1"]["count"]
        self.assertEqual(before, after)
