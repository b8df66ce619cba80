"""Tests of failures that operators of similar systems have reported."""

import asyncio
import random
import unittest
from unittest import mock

import cbor2
from savoryroute_platform.program import keep_following

from savoryroute.protocol.mesh_frames import FrameKind, MeshAnswer
from savoryroute.state.event_log import EventLog

from .stand_ins import complete_answer
from .test_path import PathTest

ROW = ["i-9", "planner", "127.0.0.9", "zone-a", 4, True, 0.0, 1]
# Frames that decode, with items of wrong types, in wrong numbers or out of range.
MALFORMED = [
    [],
    7,
    {"a": 1},
    [None],
    ["call"],
    [[]],
    [FrameKind.CALL.value],
    [FrameKind.CALL.value, *[0] * 17],
    [FrameKind.CALL.value, 1, "planner", "i-1", "r", None, 9, 9, *[0] * 10],
    [FrameKind.CANCEL.value],
    [FrameKind.CANCEL.value, []],
    [FrameKind.BODY.value, 1],
    [FrameKind.BODY.value, {}, b""],
    [FrameKind.VIEW_REQUEST.value],
    [FrameKind.VIEW_REQUEST.value, "1", None],
    [FrameKind.VIEW_UPDATE.value, 1],
    [FrameKind.VIEW_UPDATE.value, 9, {}, 0, 0, [], [], 0, 0],
    [FrameKind.VIEW_UPDATE.value, -1, b"", 0, 10**30, [ROW], [], 0, 0],
    [FrameKind.VIEW_UPDATE.value, -1, b"", 0, 900, [ROW[:3]], [], 0, 0],
    [FrameKind.VIEW_UPDATE.value, -1, b"", 0, 900, [[*ROW[:2], 5, *ROW[3:]]], [], 0, 0],
    [FrameKind.VIEW_UPDATE.value, -1, b"", 0, 900, [[[], *ROW[1:]]], [], 0, 0],
    [FrameKind.VIEW_UPDATE.value, -1, b"", 1, 900, [], [[]], 0, 0],
    [FrameKind.SUSPECTS.value],
    [FrameKind.SUSPECTS.value, 5],
    [FrameKind.SUSPECTS.value, [[b"f" * 16, 1, 10**400, True, False]]],
    [FrameKind.SUSPECTS_REQUEST.value],
]


class MalformedMessageTest(PathTest):
    """One malformed message or unexpected error took a whole process down."""

    async def send_frame(self, frame):
        data = cbor2.dumps(frame)
        _, writer = await asyncio.open_connection(
            self.fleet.ip(1), self.fleet.link_port
        )
        writer.write(len(data).to_bytes(4, "big") + data)
        await writer.drain()
        await asyncio.sleep(0.005)
        writer.close()

    async def assert_all_well(self):
        for node in self.fleet.nodes:
            self.assertFalse(node._sweeper.done())
            self.assertEqual(node._upstream.n_open, 0)
            self.assertEqual(len(node.synchronizer.view.instances), 3)
        for _ in range(6):
            self.assertEqual((await self.request()).status, 200)

    async def test_malformed_frames(self):
        for frame in MALFORMED:
            await self.send_frame(frame)
        await asyncio.sleep(0.3)
        await self.assert_all_well()
        names = {line["event"] for line in self.fleet.log_lines}
        self.assertIn("peer_sent_bad_frame", names)
        self.assertNotIn("check_failed", names)

    async def test_frames_with_any_items(self):
        rng = random.Random(9)
        values = [
            None,
            -1,
            0,
            1,
            10**30,
            0.5,
            float("nan"),
            "",
            "i-1",
            b"",
            b"x",
            [],
            {},
        ]
        for _ in range(200):
            kind = rng.randrange(15)
            rest = rng.choices(values, k=rng.randrange(19))
            await self.send_frame([kind, *rest])
        await self.assert_all_well()

    async def test_call_whose_answer_cannot_be_read_ends_with_its_link(self):
        """Guards against a caller that waits although its call was lost."""
        send = MeshAnswer.to_frame
        bad = mock.patch.object(
            MeshAnswer, "to_frame", lambda s: [*send(s)[:-2], "", 1]
        )
        with bad:
            answer = await asyncio.wait_for(self.request(method="GET"), 1.0)
        self.assertIn(answer.status, (502, 503))
        # Hosts whose link was lost get no calls for a short time.
        await asyncio.sleep(0.8)
        await self.assert_all_well()

    async def test_error_in_one_check_does_not_end_the_others(self):
        node = self.fleet.nodes[0]
        for part in (node._upstream, node._links):
            part.sweep = mock.Mock(side_effect=RuntimeError("unexpected"))
        await asyncio.sleep(0.2)
        self.assertGreater(node._upstream.sweep.call_count, 1)
        self.assertFalse(node._sweeper.done())
        node._log.flush()
        names = [line["event"] for line in self.fleet.log_lines]
        self.assertIn("check_failed", names)

    async def test_watch_task_goes_on_after_an_unexpected_error(self):
        n_runs = 0

        async def follow(store, synchronizer):
            nonlocal n_runs
            n_runs += 1
            raise KeyError("unexpected")

        log = EventLog(1, {}, write=lambda _, data: len(data))
        with mock.patch("savoryroute_platform.program.RESTART_DELAY_S", 0.01):
            task = asyncio.create_task(keep_following(follow, None, None, log))
            await self.fleet.wait_until(lambda: n_runs > 2, 1.0)
            task.cancel()


class LateCopyTest(PathTest):
    """A second copy of an answer, late, became the answer of the next request."""

    services = ("front", "planner")
    kinds = {"planner": "unsafe"}

    async def exchange_with_copy(self, first):
        """Answer a request, send a copy of the answer while the next one runs."""
        planner = self.planners[0]

        async def answer_twice(fields, writer, _):
            copy = first.replace(b"ID", fields["request-id"].encode())
            writer.write(copy)
            asyncio.get_running_loop().call_later(0.05, writer.write, copy)
            return True

        async def answer_slowly(fields, writer, full_answer):
            await asyncio.sleep(0.2)
            writer.write(full_answer)
            return True

        planner.script += [answer_twice, answer_slowly]
        return await self.request(method="POST", body=b"b")

    async def test_copy_of_a_rejection_without_an_id(self):
        """The copy says that the next request has not run, although it runs."""
        shed = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        answer = await self.exchange_with_copy(shed)
        self.assertEqual(answer.status, 200)
        # The rejected attempt and one more.
        self.assertEqual(len(self.planners[0].arrivals), 2)

    async def test_copy_of_an_answer(self):
        for first in (
            complete_answer(b"ID", b"first"),
            complete_answer(b"ID", b"first").replace(b"Request-Id: ID\r\n", b""),
        ):
            answer = await self.exchange_with_copy(first)
            self.assertEqual(answer.body, b"first")
            answer = await self.request(method="POST", body=b"b")
            self.assertTrue(answer.body.startswith(b"answer to q"))


class PlannedStopTest(PathTest):
    """During a planned stop requests just accepted were cut off without an answer."""

    async def test_upload_that_is_being_read_is_served(self):
        stop = asyncio.create_task(self.fleet.nodes[0].stop())
        await asyncio.sleep(2.4)
        caller = await self.fleet.caller(0)
        head = "POST /planner/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: q-up\r\n"
        caller.writer.write(head.encode() + b"Content-Length: 2000\r\n\r\n")
        for piece in (b"b" * 1000, b"b" * 999):
            caller.writer.write(piece)
            await asyncio.sleep(0.5)
            # Once it is done the process ends.
            self.assertFalse(stop.done())
        caller.writer.write(b"b")
        self.assertEqual((await caller.read()).status, 200)
        await asyncio.wait_for(stop, 1.0)

    async def test_answer_that_is_being_written_is_not_cut_off(self):
        n_bytes = 16 << 20

        async def answer_long(fields, writer, _):
            body = b"b" * n_bytes
            writer.write(complete_answer(fields["request-id"].encode(), body))
            return True

        for planner in self.planners:
            planner.script.append(answer_long)
        self.caller.write("/planner/x")
        stop = asyncio.create_task(self.fleet.nodes[0].stop())
        await asyncio.sleep(3.2)
        self.assertFalse(stop.done())
        answer = await self.caller.read()
        self.assertEqual((answer.is_complete, len(answer.body)), (True, n_bytes))
        await asyncio.wait_for(stop, 1.0)

    async def test_answer_to_a_peer_that_is_being_written_is_not_cut_off(self):
        node = self.fleet.nodes[1]
        stop = asyncio.create_task(node.stop())
        link = mock.Mock(has_unwritten=True, is_open=False, peer_ip="")
        node._accepted_links.add(link)
        await asyncio.sleep(3.0)
        self.assertFalse(stop.done())
        link.has_unwritten = False
        await asyncio.wait_for(stop, 1.0)


if __name__ == "__main__":
    unittest.main()
