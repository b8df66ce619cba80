"""Tests of how calls with an organisation wait for the local upstream."""

import unittest
from unittest import mock

from savoryroute.coordination.call_queue import CallQueue
from savoryroute.coordination.local_upstream import LocalUpstream
from savoryroute.protocol.mesh_frames import AttemptKind, MeshCall
from savoryroute.state.quarantine import Quarantine
from savoryroute.verdict import Reason


class LocalUpstreamTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.answers = []
        self.sent = []
        pool = mock.Mock()

        def send(head, on_outcome, request_id, *rest):
            self.sent.append(request_id)
            return mock.Mock(is_sent=True)

        pool.send = send
        health = mock.Mock(is_down=False)
        self.now_s = 100.0
        self.quarantine = Quarantine(lambda: self.now_s, 3, 30.0)
        repeats = mock.Mock()
        repeats.try_start.return_value = True
        repeats.share_left.return_value = 1.0
        names = mock.Mock(
            id_separator=b".", time_left_ms=b"Left", expected_instance=b"Instance"
        )
        self.queue = CallQueue(1, lambda: 0.0)
        self.upstream = LocalUpstream(
            "s", pool, self.queue, names, health, self.quarantine, repeats, mock.Mock()
        )

    def run_call(
        self, request_id, organisation, queue_timeout_ms=5000, fingerprint=b""
    ):
        call = MeshCall(
            id=1,
            service="s",
            instance="i",
            route="r",
            rank=1,
            queue_timeout_ms=queue_timeout_ms,
            time_left_ms=9000,
            is_idempotent=True,
            is_head=False,
            kind=AttemptKind.OF_CALLER,
            n_done=0,
            request_id=request_id,
            fingerprint=fingerprint,
            head=b"",
            body_bytes=0,
            organisation=organisation,
        )
        return self.upstream.run(call, b"", self.answers.append)


class OrganisationTest(LocalUpstreamTest):
    async def test_calls_start_by_the_organisation_of_the_call(self):
        """Guards against an organisation that is lost before the queue."""
        for request_id, organisation in ((b"0", "x"), (b"1", "hot"), (b"2", "hot")):
            self.run_call(request_id, organisation)
        self.run_call(b"3", "a")
        for _ in range(3):
            self.queue.finish("r", 0.05)
        self.assertEqual(self.sent, [b"0", b"1", b"3", b"2"])

    async def test_refusal_names_the_organisation_and_its_waiting_calls(self):
        """Guards the line by which an operator sees whose calls filled the queue."""
        for request_id in (b"0", b"1", b"2"):
            self.run_call(request_id, "hot")
        self.run_call(b"3", "hot", queue_timeout_ms=50)
        (answer,) = self.answers
        self.assertIn("2 of 2 waiting calls are of hot in this rank", answer.detail)


class QuarantineTest(LocalUpstreamTest):
    async def test_one_suspect_runs_at_a_time_after_a_quarantine(self):
        for _ in range(3):
            self.quarantine.note_crash([b"poison", b"other"])
        self.now_s += 40.0
        first = self.run_call(b"0", "", fingerprint=b"poison")
        self.run_call(b"1", "", fingerprint=b"poison")
        self.run_call(b"2", "", fingerprint=b"other")
        reasons = [answer.reason for answer in self.answers]
        self.assertEqual(reasons, [Reason.QUARANTINED] * 2)
        first.cancel()
        self.run_call(b"3", "", fingerprint=b"poison")
        self.assertEqual(self.sent, [b"0", b"3"])

    async def test_call_that_waits_when_its_quarantine_begins_does_not_run(self):
        self.run_call(b"0", "")
        self.run_call(b"1", "", fingerprint=b"poison")
        for _ in range(3):
            self.quarantine.note_crash([b"poison"])
        self.queue.finish("r", 0.05)
        self.assertEqual(self.sent, [b"0"])
        self.assertEqual(self.answers[0].reason, Reason.QUARANTINED)
