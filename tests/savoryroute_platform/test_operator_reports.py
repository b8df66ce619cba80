"""Tests of failures that operators of similar systems have reported."""

import asyncio
import random
import unittest
from unittest import mock

import cbor2
from savoryroute_platform.program import keep_following

from savoryroute.protocol.mesh_frames import FrameKind, MeshAnswer, ViewRequest
from savoryroute.state.event_log import EventLog

from .stand_ins import complete_answer, tenant
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


# More than the buffers of the system take (33 MB to read, 4 MB to write).
LONG_BYTES = 40 << 20


async def start_long_answer(test, index):
    """Wait until a daemon writes a long answer that its caller does not read."""

    async def answer_long(fields, writer, _):
        body = b"b" * LONG_BYTES
        writer.write(complete_answer(fields["request-id"].encode(), body))
        return True

    for planner in test.planners:
        planner.script.append(answer_long)
    test.fleet.publish(2, timeout="9000ms")
    node = test.fleet.nodes[index]
    await test.fleet.wait_until(lambda: node.synchronizer.table.version == 2)
    test.caller.write("/planner/x", headers={"Deadline-Ms": "9000"})
    callers = node._callers
    await test.fleet.wait_until(lambda: callers.n_busy and not callers.n_open)
    return callers


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
            MeshAnswer, "to_frame", lambda s, body: [*send(s, body)[:-2], "", 1]
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


class SilentHostTest(PathTest):
    """Work that ran at a silent or slowly reporting machine was started again."""

    services = ("front", "planner", "planner")

    async def test_host_that_is_silent_for_a_second(self):
        """Neither silence nor a vanished entry ends a run or starts it elsewhere."""
        for kind in ("safe", "unsafe"):
            with self.subTest(kind):
                await self.play(kind)

    async def play(self, kind):
        fleet = self.fleet
        version = fleet.nodes[0].synchronizer.table.version + 1
        fleet.publish(version, kind=kind)
        await fleet.wait_until(
            lambda: fleet.nodes[0].synchronizer.table.version == version
        )
        for planner in self.planners:
            planner.delay_s = 0.2
            planner.runs.clear()
        self.caller.write("/planner/x", method="POST", body=b"b")
        await fleet.wait_until(lambda: self.n_runs == 1)
        index = 1 if self.planners[0].runs else 2
        link = fleet.nodes[0]._links._links[fleet.ip(index)]
        link.connection._transport.pause_reading()
        fleet.store.remove(f"servers/i-{index}")
        await asyncio.sleep(1.0)
        self.assertEqual(self.n_runs, 1)
        link.connection._transport.resume_reading()
        answer = await self.caller.read()
        self.assertEqual((answer.status, self.n_runs), (200, 1))
        fleet.list_instance(index)
        await fleet.wait_until(lambda: all(map(fleet.is_synchronized, fleet.nodes)))


class RestartTest(PathTest):
    """After a restart a server that had left, or a withdrawn key, was in use again."""

    async def test_server_that_left_and_withdrawn_key(self):
        fleet = self.fleet
        headers = {"Authorization": "Token old"}
        fleet.members = {"tenants": [tenant("first", "old", "new")]}
        fleet.publish(2)
        await fleet.wait_until(
            lambda: all(n.synchronizer.table.version == 2 for n in fleet.nodes)
        )
        self.assertEqual((await self.request(headers=headers)).status, 200)
        fleet.members = {"tenants": [tenant("first", "new")]}
        fleet.publish(3)
        fleet.store.remove("servers/i-1")
        await fleet.wait_until(lambda: all(map(fleet.is_synchronized, fleet.nodes)))
        n_before = len(self.planners[0].runs)
        for is_store_silent in (False, True):
            with self.subTest(is_store_silent):
                # With a silent store routes and list come from peers.
                fleet.store.is_silent = is_store_silent
                await fleet.restart_node(0)
                caller = await fleet.caller(0)
                answer = await caller.request("/planner/x", headers=headers)
                self.assertEqual(answer.status, 401)
                for _ in range(8):
                    answer = await caller.request(
                        "/planner/x", headers={"Authorization": "Token new"}
                    )
                    self.assertEqual(answer.status, 200)
                self.assertEqual(len(self.planners[0].runs), n_before)

    async def test_peer_with_older_routes_and_list(self):
        """A peer that lags does not bring back what this daemon saw removed."""
        node, peer = (n.synchronizer for n in self.fleet.nodes[:2])
        lagging = peer.update_for(ViewRequest(-1, 0))
        self.fleet.publish(5)
        self.fleet.store.remove("servers/i-2")
        await self.fleet.wait_until(
            lambda: node.table.version == 5 and len(node.view.instances) == 2
        )
        node.merge_update(self.fleet.ip(1), lagging)
        self.assertEqual((node.table.version, len(node.view.instances)), (5, 2))


class BrokenOffAnswerTest(PathTest):
    """An answer that broke off halfway reached the caller as a complete success."""

    services = ("front", "planner")
    kinds = {"planner": "unsafe"}

    async def assert_fails(self, whole, end):
        """Check that an answer that breaks off at a byte is not delivered."""

        async def break_off(fields, writer, _):
            request_id = fields["request-id"].encode()
            writer.write(whole.replace(b"ID", request_id)[: -len(whole) + end])
            return False

        self.planners[0].script.append(break_off)
        answer = await self.request(method="POST", body=b"b")
        self.assertEqual(answer.status, 502, whole[:end])

    async def test_answers_that_end_early_at_each_byte(self):
        full = complete_answer(b"ID", b"x" * 20)
        chunked = full.replace(b"Content-Length: 20", b"Transfer-Encoding: chunked")
        chunked = chunked.replace(b"x" * 20, b"a\r\n" + b"x" * 10 + b"\r\n")
        for whole in (full, chunked + b"a\r\n" + b"y" * 10 + b"\r\n0\r\n\r\n"):
            # In the head a step of five bytes, to keep the number of cases low.
            ends = {*range(0, len(whole) - 45, 5), *range(len(whole) - 45, len(whole))}
            for end in sorted(ends):
                await self.assert_fails(whole, end)

    async def test_heads_that_end_early_at_each_byte(self):
        """Also where nothing but the end of the connection would end the answer."""
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        for whole in (head, interim + head, head.replace(b"1.1", b"1.0", 1)):
            for end in range(len(whole)):
                await self.assert_fails(whole, end)

    async def test_daemon_that_ends_while_it_answers(self):
        """The caller can tell that the answer is not complete."""

        callers = await start_long_answer(self, 0)
        callers.abort()
        try:
            answer = await self.caller.read()
        except ConnectionError:
            return
        self.assertFalse(answer.is_complete)


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

    async def test_copy_of_a_rejection_with_the_id_of_its_request(self):
        """The second attempt has the same id, and runs while the copy arrives."""
        shed = (
            b"HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        answer = await self.exchange_with_copy(shed)
        self.assertEqual(answer.status, 200)
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

    async def test_request_that_is_read_late_is_not_passed_on(self):
        """It could not be answered before the process ends."""
        self.fleet.publish(2, kind="unsafe", timeout="4000ms")
        node = self.fleet.nodes[0]
        await self.fleet.wait_until(lambda: node.synchronizer.table.version == 2)
        for planner in self.planners:
            planner.delay_s = 3.0
        stop = asyncio.create_task(node.stop())
        await asyncio.sleep(2.4)
        caller = await self.fleet.caller(0)
        head = (
            "POST /planner/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: q-late\r\n"
            "Deadline-Ms: 5000\r\nContent-Length: 3\r\n\r\n"
        )
        caller.writer.write(head.encode() + b"b")
        await asyncio.sleep(1.0)
        caller.writer.write(b"b")
        await asyncio.sleep(1.0)
        caller.writer.write(b"b")
        answer = await caller.read()
        self.assertEqual((answer.status, self.n_runs), (503, 0))
        self.assertIn("retry-after", answer.headers)
        await asyncio.wait_for(stop, 2.0)

    async def test_answer_that_is_being_written_is_not_cut_off(self):
        await start_long_answer(self, 0)
        stop = asyncio.create_task(self.fleet.nodes[0].stop())
        await asyncio.sleep(3.2)
        self.assertFalse(stop.done())
        answer = await self.caller.read()
        self.assertEqual((answer.is_complete, len(answer.body)), (True, LONG_BYTES))
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
