"""Tests of requests that are forwarded to other entry VMs."""

import random
import time
from unittest import mock

import result
import testtools

from wisterialug_core.decisions import membership
from wisterialug_core.schema import config_pb2, peer_pb2, work_pb2
from wisterialug_daemon import (
    forwarding,
    instances,
    messages,
    request_queues,
    router,
)

SERVICE = ("siam", "dispatch")
SLOTS = 2
TIMEOUT_S = 3.0
USUAL_S = 0.05
# Service time of the requests that ran while their instance was stalled.
STALLED_S = 2.8
TIMEOUTS = membership.Timeouts(60.0, 90.0)


class ForwardingTest(testtools.TestCase):
    """One VM whose slots are all taken, and a peer."""

    def setUp(self):
        super().setUp()
        self.instances = self._make_instances()
        config = mock.Mock()
        config.state.limit.return_value = None
        config.state.service.return_value = config_pb2.Service(
            state=config_pb2.SERVICE_STATE_RUNNING
        )
        self.queues = request_queues.RequestQueues(self.instances, config, 100)
        self.members = mock.Mock()
        self.members.member_count.return_value = 2
        self.members.table = membership.MemberTable(
            peer_pb2.Member(vm="vm-1", data_centre="dc"),
            TIMEOUTS,
            time.monotonic(),
        )
        self.members.call.return_value = result.Ok(
            peer_pb2.ForwardResponse(outcome=peer_pb2.OUTCOME_DONE, status=200)
        )
        idempotency = mock.Mock()
        idempotency.run.side_effect = lambda req, run: run(req)
        self.router = router.Router(
            config,
            self.instances,
            self.queues,
            idempotency,
            mock.Mock(),
            self.members,
            forwarding.Forwarder(self.members, self.instances, self.queues),
            0.05,
            1.0,
        )
        for _ in range(200):
            self.queues.queue(SERVICE).record_service_time(USUAL_S)
        for _ in range(SLOTS):
            slot = self.instances.acquire(SERVICE, may_probe=False)
            self.assertIsNotNone(slot)

    def _make_instances(self):
        inventory, config = mock.Mock(), mock.Mock()
        inventory.of_role.return_value = [
            work_pb2.Vm(
                id="i1",
                ip="127.0.0.1",
                port=1,
                customer="siam",
                service="dispatch",
            )
        ]
        config.state.drained_vms.return_value = set()
        shares, presence = mock.Mock(), mock.Mock()
        shares.limit.return_value = SLOTS
        presence.slots_usable.return_value = True
        own = instances.Instances(
            "dc",
            "least-in-flight",
            SLOTS,
            inventory,
            config,
            shares,
            presence,
            random.Random(1),
        )
        own.refresh()
        return own

    def report_peer(self, free_slots):
        record = peer_pb2.Member(vm="vm-2", data_centre="dc", sequence=1)
        record.loads.add(
            customer="siam", service="dispatch", free_slots=free_slots
        )
        self.members.table.merge([record], time.monotonic())

    def record_stall(self):
        for _ in range(8):
            self.queues.queue(SERVICE).record_service_time(STALLED_S)

    def handle(self, timeout_s=TIMEOUT_S):
        return self.router.handle(
            messages.CallerRequest(
                *SERVICE,
                "POST",
                "/",
                (),
                b"",
                time.monotonic() + timeout_s,
                key="k",
            )
        )

    def test_request_that_would_be_refused_here_goes_to_a_peer(self):
        # No request waits, so the wait for a slot is taken to be short, but
        # after a stall the time needed is taken to be longer than is left.
        self.record_stall()
        self.report_peer(3)
        response = self.handle()
        self.assertEqual(messages.Outcome.DONE, response.outcome, response)
        self.members.call.assert_called_once()

    def test_request_is_refused_if_no_peer_has_a_free_slot(self):
        self.record_stall()
        self.report_peer(0)
        response = self.handle()
        self.assertEqual(messages.Outcome.NOT_RUN, response.outcome)
        self.assertEqual("deadline-too-near", response.reason)
        self.members.call.assert_not_called()

    def test_request_without_time_is_unknown_though_it_has_not_run(self):
        self.report_peer(3)
        for timeout_s in (USUAL_S / 2, -0.1):
            response = self.handle(timeout_s)
            self.assertEqual(messages.Outcome.NOT_RUN, response.outcome)
        self.members.call.assert_not_called()

    def test_request_that_waits_shortly_is_not_forwarded(self):
        self.report_peer(3)
        with mock.patch.object(
            self.queues,
            "take_slot",
            return_value=result.Err(request_queues.admission.Refusal.EXPIRED),
        ) as take_slot:
            self.handle()
        take_slot.assert_called_once()
        self.members.call.assert_not_called()
