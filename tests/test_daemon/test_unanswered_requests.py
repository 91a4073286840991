"""Tests of requests whose first attempt got no response."""

import time
from unittest import mock

import result
import testtools

from wisterialug_core.decisions import admission, routing
from wisterialug_core.schema import config_pb2, peer_pb2
from wisterialug_daemon import errors, forwarding, messages, router
from wisterialug_daemon.adapters import upstream

UNANSWERED = result.Err(errors.UpstreamUnansweredError("timeout"))
NOT_SENT = result.Err(errors.UpstreamNotSentError("no connection"))
REFUSED = result.Err(errors.UpstreamRefusedError("1"))
ANSWER = result.Ok(upstream.Response(200, (), b"whole"))
NO_SLOT = result.Err(admission.Refusal.TOO_LATE)
PEER_UNANSWERED = messages.problem(
    messages.Outcome.UNKNOWN, 504, "peer-unanswered", "no response"
)


class ScriptedUpstream(upstream.UpstreamClient):
    """Answers as told, and counts the requests."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.sent = 0

    def send(self, address, method, path, headers, body, timeout_s):
        self.sent += 1
        return self.answers.pop(0)


class Queues:
    """Gives a slot of a new instance each time, or refusals as told."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.taken = 0

    def take_slot(self, service, deadline, *, may_probe, exclude=()):
        self.taken += 1
        refusal = self.refusals.get(self.taken)
        if refusal is not None:
            return refusal
        instance = routing.Instance(f"i{self.taken}", "127.0.0.1", 1)
        return result.Ok(routing.Slot(instance, time.monotonic(), False))

    def expected_wait_s(self, service):
        return 0.0

    def queue(self, service):
        return mock.Mock()

    def dispatch(self, service):
        pass


class UnansweredRequestTest(testtools.TestCase):
    def make_router(self, answers, refusals=None, forwarded=()):
        """Returns a router whose attempts have the results given."""
        config = mock.Mock()
        config.state.service.return_value = config_pb2.Service(
            state=config_pb2.SERVICE_STATE_RUNNING
        )
        config.state.limit.return_value = None
        members = mock.Mock()
        members.member_count.return_value = 1
        forwarder = mock.Mock()
        forwarder.try_forward.side_effect = [*forwarded, None, None, None]
        idempotency = mock.Mock()
        idempotency.run.side_effect = lambda req, run: run(req)
        self.upstream = ScriptedUpstream(answers)
        return router.Router(
            config,
            mock.Mock(),
            Queues(refusals or {}),
            idempotency,
            self.upstream,
            members,
            forwarder,
            1.0,
            0.0,
        )

    def handle(self, answers, refusals=None, forwarded=(), method="GET"):
        """Handles a request; each attempt has the next result given."""
        req = messages.CallerRequest(
            "c",
            "s",
            method,
            "/",
            (),
            b"",
            time.monotonic() + 5,
            key="k",
            repeatable=method in router.SAFE_METHODS,
        )
        return self.make_router(answers, refusals, forwarded).handle(req)

    def test_request_that_may_have_run_is_not_told_not_run_without_a_slot(self):
        response = self.handle([UNANSWERED], {2: NO_SLOT})
        self.assertEqual(messages.Outcome.UNKNOWN, response.outcome)
        self.assertEqual("upstream-unanswered", response.reason)

    def test_request_that_may_have_run_is_not_told_not_run_if_refused(self):
        for second in (NOT_SENT, REFUSED):
            response = self.handle([UNANSWERED, second, NOT_SENT])
            self.assertEqual(messages.Outcome.UNKNOWN, response.outcome)

    def test_request_that_a_peer_may_have_run_is_not_told_not_run(self):
        response = self.handle([], {1: NO_SLOT}, [PEER_UNANSWERED])
        self.assertEqual(messages.Outcome.UNKNOWN, response.outcome)
        self.assertEqual("peer-unanswered", response.reason)

    def test_peer_is_not_told_not_run_for_what_may_have_run(self):
        resp = self.make_router([UNANSWERED, NOT_SENT, NOT_SENT]).on_forward(
            peer_pb2.ForwardRequest(
                customer="c",
                service="s",
                method="GET",
                path="/",
                remaining_ms=5000,
                hops=forwarding.MAX_HOPS,
                repeatable=True,
            )
        )
        self.assertEqual(peer_pb2.OUTCOME_UNKNOWN, resp.outcome)

    def test_forwarded_request_crashes_instance_after_instance(self):
        self.make_router([UNANSWERED, UNANSWERED, UNANSWERED]).on_forward(
            peer_pb2.ForwardRequest(
                customer="c",
                service="s",
                method="GET",
                path="/",
                remaining_ms=5000,
                hops=forwarding.MAX_HOPS,
                repeatable=True,
            )
        )
        self.assertEqual(1, self.upstream.sent)

    def test_request_crashes_no_more_instances_than_it_has_attempts(self):
        self.handle([UNANSWERED] * 9)
        self.assertEqual(router.MAX_ATTEMPTS, self.upstream.sent)

    def test_later_answer_counts(self):
        response = self.handle([UNANSWERED, ANSWER])
        self.assertEqual(messages.Outcome.DONE, response.outcome)

    def test_request_that_was_not_sent_is_told_not_run(self):
        response = self.handle([NOT_SENT, REFUSED], {3: NO_SLOT})
        self.assertEqual(messages.Outcome.NOT_RUN, response.outcome)

    def test_unrepeatable_request_is_not_sent_again(self):
        response = self.handle([UNANSWERED, ANSWER], method="POST")
        self.assertEqual(messages.Outcome.UNKNOWN, response.outcome)
        self.assertEqual(1, self.upstream.sent)

    def test_unrepeatable_request_is_not_sent_after_a_forward(self):
        response = self.handle([ANSWER], {}, [PEER_UNANSWERED], method="POST")
        self.assertEqual(messages.Outcome.UNKNOWN, response.outcome)
        self.assertEqual(0, self.upstream.sent)

    def test_unrepeatable_request_that_was_not_run_is_sent_again(self):
        response = self.handle([NOT_SENT, REFUSED, ANSWER], method="POST")
        self.assertEqual(messages.Outcome.DONE, response.outcome)
        self.assertEqual(3, self.upstream.sent)
