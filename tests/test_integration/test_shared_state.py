"""Tests of config and membership on nine real daemons, with outages."""

import concurrent.futures
import signal

from tests.test_integration import base
from wisterialug_standins import fleet, fleet_hosts

KEY = "limit/siam/customer/siam"


class SharedStateTest(base.IntegrationTest):
    spec = fleet_hosts.FleetSpec(
        workers=0, instances=1, entry_vms=3, data_centres=3, proxies=True
    )

    def set_weight(self, vm, base_value, value, expect=200):
        cell = {
            "key": KEY,
            "column": "weight",
            "base": base_value,
            "value": value,
        }
        return self.call_api(
            "POST", "/v1/table/apply", {"changes": [cell]}, vm, expect
        )

    def revisions(self, vms=None):
        return {
            vm: self.call_api("GET", "/v1/status", vm=vm)["config_revision"]
            for vm in vms or self.vms
        }

    def wait_all_at(self, revision, vms=None, timeout_s=4.0):
        """Waits until all VMs have applied a revision."""
        return fleet.wait_for(
            lambda: set(self.revisions(vms).values()) == {revision},
            timeout_s,
            f"revision {revision} on all",
        )

    def test_change_is_in_force_everywhere_despite_lost_responses(self):
        value = "300"
        for n in range(5):
            self.fleet.set_table_faults(lose_answers=1 + n)
            response = self.set_weight(self.vms[n], value, f"{400 + n}")
            value = f"{400 + n}"
            self.wait_all_at(response["revision"])
        self.fleet.set_table_faults(lose_answers=0)

    def test_one_of_several_conflicting_changes_is_accepted(self):
        def change(number):
            cell = {
                "key": KEY,
                "column": "weight",
                "base": "300",
                "value": f"{500 + number}",
            }
            return self.fleet.operator_request(
                self.vms[number], "POST", "/v1/table/apply", {"changes": [cell]}
            )

        with concurrent.futures.ThreadPoolExecutor(9) as pool:
            responses = list(pool.map(change, range(9)))
        accepted = [response for status, response in responses if status == 200]
        refused = [response for status, response in responses if status == 409]
        self.assertEqual((1, 8), (len(accepted), len(refused)), responses)
        self.assertIn("changed from '300'", refused[0]["details"][0])
        self.wait_all_at(accepted[0]["revision"])

    def test_table_outage_right_after_a_change(self):
        response = self.set_weight("vm-2-2", "300", "700")
        self.fleet.set_table_faults(down=True)
        self.wait_all_at(response["revision"])
        # A VM that restarts in the outage gets the revision from its peers.
        self.fleet.kill_daemon("vm-3-1")
        self.fleet.start_daemon("vm-3-1")
        fleet.wait_for(
            lambda: self.fleet._ok(
                self.fleet.daemons["vm-3-1"].metrics_url + "/readyz"
            ),
            20,
            "ready in an outage",
        )
        self.wait_all_at(response["revision"])
        refused = self.set_weight("vm-1-1", "700", "800", expect=503)
        self.assertIn("the change is", refused["title"])

    def test_no_vm_is_ready_after_a_full_restart_in_an_outage(self):
        self.fleet.set_table_faults(down=True)
        for vm in self.vms:
            self.fleet.kill_daemon(vm)
        for vm in self.vms:
            self.fleet.start_daemon(vm)

        def listening(vm):
            url = self.fleet.daemons[vm].metrics_url + "/livez"
            return self.fleet._ok(url)

        for vm in self.vms:
            fleet.wait_for(lambda vm=vm: listening(vm), 20, f"{vm} up")
        ready = [
            vm
            for vm in self.vms
            if self.fleet._ok(self.fleet.daemons[vm].metrics_url + "/readyz")
        ]
        self.assertEqual([], ready)
        self.fleet.set_table_faults(down=False)
        self.fleet.wait_ready(self.vms)
        # Revision 4 is the last change of apply_config.
        self.wait_all_at(4)

    def test_partitioned_data_centre_serves_and_catches_up(self):
        inside = [vm for vm in self.vms if vm.startswith("vm-3")]
        outside = [vm for vm in self.vms if vm not in inside]
        links = [f"{vm}>table" for vm in inside]
        links += [f"{a}>{b}" for a in inside for b in outside]
        links += [f"{b}>{a}" for a in inside for b in outside]
        self.fleet.set_faults(links, "black-hole")
        response = self.set_weight("vm-1-1", "300", "900")
        self.wait_all_at(response["revision"], outside)

        def reported():
            progress = self.call_api(
                "POST",
                "/v1/in-force",
                {"revision": response["revision"], "timeout_s": 0},
            )
            return set(progress["unreachable"]) == set(inside)

        fleet.wait_for(reported, 10, "cut-off VMs reported")
        responses = self.send_many(inside, 30, method="GET")
        self.assertEqual({"done": 30}, self.outcomes(responses))
        refused = self.send(inside[0], timeout_ms=1000)
        self.assertEqual("not-run", refused.outcome)
        self.fleet.set_faults(links, "pass")
        self.wait_all_at(response["revision"], timeout_s=20.0)

    def test_paused_vm_is_found_dead_refutes_and_catches_up(self):
        self.fleet.signal_daemon("vm-1-3", signal.SIGSTOP)

        def state():
            rows = self.call_api("GET", "/v1/vms", vm="vm-1-1")
            return {row["id"]: row["state"] for row in rows}["vm-1-3"]

        fleet.wait_for(lambda: state() == "dead", 6, "found dead")
        response = self.set_weight("vm-1-1", "300", "310")
        self.fleet.signal_daemon("vm-1-3", signal.SIGCONT)
        fleet.wait_for(lambda: state() == "alive", 6, "found alive")
        self.wait_all_at(response["revision"])

    def test_slow_table_delays_no_lookup(self):
        self.fleet.set_table_faults(delay_s=1.5)
        responses = self.send_many(self.vms, 60, method="GET", timeout_ms=1000)
        self.fleet.set_table_faults(delay_s=0.0)
        self.assertEqual({"done": 60}, self.outcomes(responses))
