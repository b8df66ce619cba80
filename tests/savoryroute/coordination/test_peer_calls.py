"""Tests of calls between two daemons when frames, cancellations and losses mix."""

import asyncio
import gc
import unittest
import weakref
from unittest import mock

import attrs
from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.peer_calls import PeerCalls
from savoryroute.coordination.peer_links import PeerLinks, _Link
from savoryroute.protocol.body_transfer import BodySender
from savoryroute.protocol.mesh_frames import (
    AttemptKind,
    FrameKind,
    MeshAnswer,
    MeshCall,
)
from savoryroute.state.body_budget import SMALL_BODY_BYTES, BodyBudget
from savoryroute.state.event_log import EventLog
from savoryroute.transport.frame_link import FrameLink
from savoryroute.verdict import Reason, Verdict

IP = "127.0.241.1"
LONG = 3 * SMALL_BODY_BYTES + 5
LENGTHS = st.sampled_from([0, 9, SMALL_BODY_BYTES, SMALL_BODY_BYTES + 1, LONG])


def make_call(number, body_bytes, head=b"h"):
    kind, id_ = AttemptKind.OF_CALLER, b"%d" % number
    rest = (0, 100, 9000, True, False, kind, 0, id_, b"", head, body_bytes)
    return MeshCall(number, "s", "i", "r", *rest)


class Wire:
    """Transport of one end; what was written waits until the test passes it on."""

    def __init__(self, link):
        self.link, self.data, self.is_lost = link, b"", False
        link.connection_made(self)

    def get_extra_info(self, name):
        return (IP, 0) if name == "peername" else None

    def set_write_buffer_limits(self, high):
        self.high = high

    def get_write_buffer_size(self):
        return len(self.data)

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def is_closing(self):
        return self.is_lost

    def write(self, data):
        self.data += data
        if len(self.data) > self.high:
            self.link.pause_writing()

    def take(self, n_bytes):
        taken, self.data = self.data[:n_bytes], self.data[n_bytes:]
        if len(self.data) <= self.high // 4 and not self.is_lost:
            self.link.resume_writing()
        return taken

    def abort(self):
        if not self.is_lost:
            self.is_lost, self.data = True, b""
            self.link.connection_lost(None)


class Upstream:
    """Runs calls until the test answers them; checks that their bodies are whole."""

    def __init__(self):
        self.running = []

    def check(self, call):
        return None

    def run(self, call, body, on_answer):
        assert body == call.request_id[:1] * call.body_bytes
        local = mock.Mock(call=call, is_over=False, on_answer=on_answer)
        local.cancel = lambda: self.running.remove(local)
        self.running.append(local)
        return local

    def answer(self, index, n_bytes):
        if self.running:
            local = self.running.pop(index % len(self.running))
            body = local.call.request_id[:1] * n_bytes
            answer = MeshAnswer(local.call.id, Verdict.RAN, body=body, status=200)
            on_answer, local.on_answer = local.on_answer, None
            on_answer(answer)


class Pair:
    """Links of a daemon to the calls of another, with a budget of bodies for each."""

    def __init__(self, limit_bytes=4 * LONG):
        self.near, self.bodies, self.far = (BodyBudget(limit_bytes) for _ in range(3))
        self.upstream, self.bad, self.answers = Upstream(), [], {}
        log = EventLog(1, {}, write=lambda _, data: len(data))
        self.links = PeerLinks(1, log, lambda *_: None, self.near)
        self.calls = PeerCalls(self.upstream, self.bodies, self.far)
        links = self.links
        dialled = FrameLink(links._on_frame, links._on_lost, self.bad.append)
        accepted = FrameLink(self.calls.on_frame, self.calls.on_lost, self.bad.append)
        self.dialled, self.accepted = Wire(dialled), Wire(accepted)
        links._links[IP] = _Link(dialled, BodySender(dialled))
        self.sent = []

    @property
    def held(self):
        budgets = [item.held_bytes for item in (self.near, self.bodies, self.far)]
        return [*budgets, self.calls._small_bytes]

    def call(self, n_bytes):
        number = len(self.sent) % 9 + 1
        call = make_call(number, n_bytes)
        self.sent.append(call)
        received = self.answers.setdefault(len(self.sent), [])
        body = call.request_id * n_bytes
        self.links.call(IP, call, body, received.append)

    def cancel(self, index):
        if self.sent:
            number = index % len(self.sent)
            self.links.cancel(IP, self.sent[number])
            self.answers[number + 1].append(None)

    def lose(self):
        self.dialled.abort()
        self.accepted.abort()

    async def settle(self):
        for _ in range(30):
            await asyncio.sleep(0)

    async def pass_on(self, n_bytes):
        for source, target in (
            (self.dialled, self.accepted),
            (self.accepted, self.dialled),
        ):
            data = source.take(n_bytes)
            if data and not target.is_lost:
                target.link.data_received(data)
            await self.settle()


class PeerCallsTest(unittest.IsolatedAsyncioTestCase):
    @given(
        st.lists(
            st.tuples(st.just("call"), LENGTHS)
            | st.tuples(st.just("answer"), st.integers(0, 9), LENGTHS)
            | st.tuples(st.just("cancel"), st.integers(0, 9))
            | st.tuples(st.just("pass_on"), st.integers(1, 50_000)),
            max_size=30,
        ),
        st.booleans(),
    )
    def test_any_order_leaves_no_memory_and_delivers_whole_bodies(self, steps, is_cut):
        async def play():
            pair = Pair()
            pair.answer = pair.upstream.answer
            for name, *values in steps:
                made = getattr(pair, name)(*values)
                if made is not None:
                    await made
                self.assertGreaterEqual(min(pair.held), 0)
            while not is_cut and (
                pair.upstream.running or pair.dialled.data or pair.accepted.data
            ):
                pair.answer(0, LONG)
                await pair.pass_on(10**6)
            if is_cut:
                pair.lose()
            await pair.settle()
            self.assertEqual(pair.bad, [])
            self.assertEqual(pair.held, [0, 0, 0, 0])
            self.assertEqual(pair.calls.n_sending, 0)
            for number, answers in pair.answers.items():
                given = [item for item in answers if item is not None]
                is_cancelled = len(given) < len(answers)
                self.assertIn(len(given), (0, 1) if is_cancelled else (1,))
                for answer in given:
                    if answer.verdict is Verdict.RAN:
                        sign = pair.sent[number - 1].request_id
                        self.assertEqual(answer.body, sign * answer.body_bytes)

        asyncio.run(play())

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["call", "answer", "body", "cancel"]),
                st.integers(1, 3),
                st.sampled_from([-5, 0, 1, 9, LONG, 8 * LONG, 2**53]),
                st.sampled_from([0, 1, 9, SMALL_BODY_BYTES, LONG]),
            ),
            max_size=20,
        )
    )
    def test_faulty_frames_leave_no_memory(self, frames):
        async def play():
            pair = Pair()
            delivered = []
            for _ in range(3):
                pair.links.call(IP, make_call(0, 0), b"", delivered.append)
            for kind, number, n_bytes, n_inline in frames:
                inline = b"1" * n_inline
                call = attrs.evolve(make_call(1, n_bytes), id=number)
                answer = MeshAnswer(number, Verdict.RAN, body=inline)
                frame = {
                    "call": call.to_frame(inline),
                    "answer": [*answer.to_frame(inline)[:-1], n_bytes],
                    "body": [FrameKind.BODY.value, number, inline],
                    "cancel": [FrameKind.CANCEL.value, number],
                }[kind]
                wires = (
                    [pair.accepted] if kind in ("call", "cancel") else [pair.dialled]
                )
                for wire in [pair.accepted, pair.dialled] if kind == "body" else wires:
                    if wire.is_lost:
                        continue
                    sender = FrameLink(lambda *_: None, lambda _: None, lambda _: None)
                    source = Wire(sender)
                    sender.send(frame)
                    wire.link.data_received(source.data)
                self.assertGreaterEqual(min(pair.held), 0)
            pair.lose()
            self.assertEqual(pair.held, [0, 0, 0, 0])
            self.assertEqual(len(delivered), 3)
            for answer in delivered:
                if answer.verdict is Verdict.RAN:
                    self.assertEqual(len(answer.body), answer.body_bytes)

        asyncio.run(play())

    async def test_stopping_host_waits_for_the_last_piece(self):
        pair = Pair()
        pair.call(0)
        await pair.pass_on(10**6)
        pair.upstream.answer(0, 8 * LONG)
        while not pair.answers[1]:
            n_left = pair.calls.n_sending + pair.accepted.link.has_unwritten
            self.assertGreater(n_left, 0)
            await pair.pass_on(20_000)
        self.assertEqual(len(pair.answers[1][0].body), 8 * LONG)
        self.assertEqual(pair.calls.n_sending, 0)

    async def test_lost_links_are_freed_without_the_collector(self):
        pair = Pair()
        for n_bytes in (0, LONG):
            pair.call(n_bytes)
        await pair.pass_on(10**6)
        pair.upstream.answer(0, 4 * LONG)
        await pair.pass_on(30_000)
        gc.disable()
        self.addCleanup(gc.enable)
        wires = (pair.dialled, pair.accepted)
        links = [weakref.ref(wire.link) for wire in wires]
        pair.lose()
        await pair.settle()
        pair.upstream.running.clear()
        for wire in wires:
            wire.link = None
        self.assertEqual([link() for link in links], [None, None])

    async def test_small_calls_and_long_heads_are_bounded(self):
        """A peer that sent calls without end took up any memory."""
        pair = Pair(limit_bytes=200_000)
        link = pair.accepted.link
        for number in range(1, 400):
            call = attrs.evolve(make_call(1, 0, b"h" * 300), id=number)
            pair.calls.on_frame(link, call.to_frame(b""))
        n_running = len(pair.upstream.running)
        self.assertLess(n_running * 2348, 200_001)
        self.assertGreater(n_running, 80)
        long = attrs.evolve(make_call(1, 0, b"h" * 400_001), id=999)
        pair.calls.on_frame(link, long.to_frame(b""))
        self.assertEqual(len(pair.upstream.running), n_running)
        pair.lose()
        self.assertEqual(pair.held, [0, 0, 0, 0])

    async def test_connection_that_is_lost_at_once_is_not_used(self):
        """Its loss came first, so a call waited 1.8 s and counted as sent."""
        answers = []
        pair = Pair()
        pair.links._links.clear()
        loop = asyncio.get_running_loop()
        lost = mock.AsyncMock(return_value=(None, FrameLink(*[lambda *_: None] * 3)))
        with mock.patch.object(loop, "create_connection", lost):
            pair.links.call(IP, make_call(1, 0), b"", answers.append)
            await pair.settle()
        self.assertIs(answers[0].reason, Reason.UNREACHABLE)
