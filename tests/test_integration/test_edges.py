"""Tests that invalid input gets a clear error and changes nothing."""

import json
import pathlib
import socket
import subprocess
import sys
import tempfile

from tests.test_integration import base
from wisterialug_standins import fleet_hosts, uuid7


class EdgeTest(base.IntegrationTest):
    spec = fleet_hosts.FleetSpec(
        data_centres=1,
        entry_vms=1,
        workers=1,
        instances=1,
        settings=(
            "--log-format=json",
            "--trace-exporter=console",
            "--trace-sample-ratio=1",
        ),
    )

    def call(self, method="GET", path="/services/dispatch/x", **headers):
        body = headers.pop("body", None)
        url = self.fleet.daemons["vm-1-1"].caller_url + path
        sent = {"Wisterialug-Customer": "siam"}
        sent.update({k.replace("_", "-"): v for k, v in headers.items()})
        return self.fleet.http.request(method, url, body=body, headers=sent)

    def test_invalid_requests_are_refused_with_a_reason(self):
        old_key = uuid7.make(unix_ms=1_600_000_000_000)
        cases = [
            ({"path": "/"}, 404, "unknown-path"),
            ({"path": "/services/none/x"}, 404, "unknown-service"),
            ({"Wisterialug_Customer": "nobody"}, 403, "unknown-customer"),
            ({"Wisterialug_Customer": ""}, 400, "customer-required"),
            ({"Wisterialug_Timeout_Ms": "soon"}, 400, "bad-timeout"),
            ({"Wisterialug_Timeout_Ms": "0"}, 400, "bad-timeout"),
            ({"method": "POST"}, 400, "idempotency-key-required"),
            (
                {"method": "POST", "Idempotency_Key": "one"},
                400,
                "bad-idempotency-key",
            ),
            (
                {"method": "POST", "Idempotency_Key": old_key},
                400,
                "bad-idempotency-key",
            ),
            (
                {"method": "POST", "body": b"x" * 1_100_000},
                413,
                "body-too-large",
            ),
        ]
        for kwargs, status, reason in cases:
            resp = self.call(**kwargs)
            self.assertEqual(status, resp.status, kwargs)
            problem = json.loads(resp.data)
            self.assertTrue(problem["type"].endswith(":" + reason), problem)
            self.assertEqual("not-run", resp.headers["Wisterialug-Outcome"])
            self.assertEqual("not-run", problem["outcome"])
        self.assertEqual(0, self.instance_logs()["instance-1-1"]["count"])

    def test_malformed_request_closes_only_its_connection(self):
        ip = self.fleet.daemons["vm-1-1"].ip
        cases = [
            b"\x00\x01\x02\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST /services/dispatch/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            b"POST /services/dispatch/x HTTP/1.1\r\nContent-Length: 10\r\n\r\nab",
            b"GET /" + b"a" * 10000 + b" HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\n" + b"X: " + b"a" * 70000 + b"\r\n\r\n",
        ]
        for case in cases:
            with socket.create_connection(
                (ip, fleet_hosts.CALLER_PORT)
            ) as conn:
                conn.settimeout(5)
                conn.sendall(case)
                conn.shutdown(socket.SHUT_WR)
                while conn.recv(65536):
                    pass
        self.assertEqual("done", self.send("vm-1-1").outcome)

    def test_request_to_a_stopped_service_is_refused(self):
        response = self.call_api(
            "POST", "/v1/services/siam/lookups", {"state": "stopped"}
        )
        self.wait_in_force(response["revision"])
        resp = self.call(path="/services/lookups/x")
        self.assertEqual(503, resp.status)
        self.assertIn("service-stopped", resp.data.decode())

    def test_trace_context_reaches_the_instance(self):
        trace = "4bf92f3577b34da6a3ce929d0e0e4736"
        resp = self.call(traceparent=f"00-{trace}-00f067aa0ba902b7-01")
        self.assertIn(trace, json.loads(resp.data)["traceparent"])
        spans = [
            line
            for line in self.fleet.log_text("vm-1-1").splitlines()
            if trace in line
        ]
        for name in ("entry", "upstream"):
            self.assertTrue(any(f'"{name}"' in line for line in spans), name)

    def test_invalid_operator_requests_are_explained(self):
        key = "limit/siam/customer/siam"
        cases = [
            ("GET", "/v1/none", None, 404, ""),
            ("POST", "/v1/table/apply", {}, 400, "field changes"),
            (
                "POST",
                "/v1/table/apply",
                {"changes": [_cell(key, "weight", "300", "x")]},
                400,
                "column weight: 'x'",
            ),
            (
                "POST",
                "/v1/table/apply",
                {"changes": [_cell(key, "weight", "299", "301")]},
                409,
                "changed from '299' to '300'",
            ),
            (
                "POST",
                "/v1/table/apply",
                {"changes": [{"row": 1}]},
                400,
                "row",
            ),
            ("POST", "/v1/services", {"customer": "siam"}, 400, "field name"),
            (
                "POST",
                "/v1/services",
                {"customer": "nobody", "name": "a"},
                400,
                "field customer",
            ),
            (
                "POST",
                "/v1/services/siam/dispatch",
                {"state": "up"},
                400,
                "field state",
            ),
            ("POST", "/v1/drains", {"kind": "x", "id": "a"}, 400, "kind"),
            ("POST", "/v1/drains", {"kind": "vm", "id": "a"}, 404, ""),
            ("POST", "/v1/jobs", {"tasks": "many"}, 400, "tasks"),
            ("POST", "/v1/jobs", {"customer": "nobody"}, 400, "field tasks"),
            ("GET", "/v1/jobs/none", None, 404, ""),
        ]
        for method, path, body, status, text in cases:
            problem = self.call_api(method, path, body, expect=status)
            self.assertIn(text, " ".join(problem["details"]), (path, problem))

    def test_wrong_token(self):
        url = self.fleet.daemons["vm-1-1"].operator_url + "/v1/status"
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            resp = self.fleet.http.request("GET", url, headers=headers)
            self.assertEqual(401, resp.status)

    def test_command_line_exit_codes(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "token").write_text(fleet_hosts.TOKEN)
            (folder / "wrong").write_text("wrong")
            (folder / "bad.csv").write_text("customer,kind,name\nsiam,x,a\n")
            sheet = "customer,kind,name,weight\nsiam,customer,siam,{}\n"
            (folder / "edit.csv").write_text(sheet.format(500))
            (folder / "edit.csv.base").write_text(sheet.format(200))
            server = self.fleet.daemons["vm-1-1"].operator_url
            cases = [
                ((server, "token", "status"), 0, ""),
                ((server, "wrong", "status"), 5, "token"),
                (("http://127.0.0.1:9", "token", "status"), 4, "reached"),
                ((server, "none", "status"), 2, "--token-file"),
                (("host", "token", "status"), 2, "--server"),
                (
                    (server, "token", "table", "apply", folder / "bad.csv"),
                    1,
                    "row 2, column kind: 'x'",
                ),
                (
                    (server, "token", "table", "apply", folder / "edit.csv"),
                    3,
                    "changed from '200' to '300'",
                ),
                ((server, "token", "job", "show", "none"), 1, "no job"),
                ((server, "token", "job"), 2, "usage"),
            ]
            for (url, token, *args), code, text in cases:
                done = self.run_cli(url, folder / token, *args)
                self.assertEqual(code, done.returncode, (args, done.stderr))
                self.assertIn(text, done.stderr)

    def run_cli(self, url, token, *args):
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "wisterialug_cli",
                f"--server={url}",
                f"--token-file={token}",
                *[str(arg) for arg in args],
            ],
            capture_output=True,
            text=True,
            check=False,
        )


def _cell(key, column, base_value, value):
    return {"key": key, "column": column, "base": base_value, "value": value}
