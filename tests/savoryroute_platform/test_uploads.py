"""Tests of requests with long bodies through daemons and stand-ins."""

import asyncio
import json
import unittest

from savoryroute.coordination.mesh_node import BODIES_MEMORY_SHARE
from savoryroute.state.body_budget import SMALL_BODY_BYTES

from .mesh_fleet import MeshFleet
from .stand_ins import configuration, path

UPLOAD = bytes(range(256)) * 1400
HOST = "shop.example"


class UploadTest(unittest.IsolatedAsyncioTestCase):
    services = ("front", "vault", "vault")

    async def asyncSetUp(self):
        self.fleet = await MeshFleet(list(self.services)).start()
        self.addAsyncCleanup(self.fleet.stop)
        self.vaults = self.fleet.upstreams[1:]
        paths = [path("/vault/", "vault", "upload"), path("/safe/", "vault")]
        plain = json.loads(configuration(2, {HOST: paths}, ["vault"]))
        plain["limits"]["max-body-bytes"] = 50_000_000
        plain["limits"]["idle-timeout"] = "300ms"
        self.fleet.store.put("op/config", json.dumps(plain).encode())
        await self.fleet.wait_until(
            lambda: all(n.synchronizer.table.version == 2 for n in self.fleet.nodes)
        )
        self.caller = await self.fleet.caller(0)

    @property
    def runs(self):
        return [run for vault in self.vaults for run in vault.runs]

    async def upload(self, body=UPLOAD, target="/vault/x"):
        return await self.caller.request(target, method="POST", body=body)

    def begin_upload(self, caller, n_sent, deadline_ms=3000):
        """Send the head of an upload and a part of its body."""
        head = (
            f"POST /vault/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(UPLOAD)}\r\n\r\n"
        )
        caller.writer.write(head.encode() + UPLOAD[:n_sent])

    async def assert_nothing_held(self):
        await self.fleet.wait_until(
            lambda: not any(node._bodies.held_bytes for node in self.fleet.nodes)
        )


class ForwardingTest(UploadTest):
    async def test_long_body_arrives_whole_and_its_memory_is_released(self):
        for _ in range(4):
            self.assertEqual((await self.upload()).status, 200)
        self.assertEqual([run["body"] == UPLOAD for run in self.runs], [True] * 4)
        await self.assert_nothing_held()

    async def test_concurrent_uploads_and_small_calls_are_not_mixed_up(self):
        callers = [await self.fleet.caller(0) for _ in range(12)]
        bodies = [bytes([n]) * (n * 40_000) for n in range(1, 13)]
        answers = await asyncio.gather(
            *(
                caller.request("/vault/x", method="POST", body=body)
                for caller, body in zip(callers, bodies, strict=True)
            )
        )
        n_served = sum(answer.status == 200 for answer in answers)
        self.assertGreaterEqual(n_served, 4)
        self.assertEqual(len(self.runs), n_served)
        for run in self.runs:
            self.assertIn(run["body"], bodies)
        await self.assert_nothing_held()

    async def test_upload_shed_by_an_upstream_runs_once_elsewhere(self):
        for vault in self.vaults:
            vault.script.append("shed")
        statuses = [(await self.upload()).status for _ in range(3)]
        self.assertIn(200, statuses)
        self.assertEqual(len(self.runs), statuses.count(200))
        await self.assert_nothing_held()

    async def test_upload_whose_answer_is_lost_is_never_run_again(self):
        for vault in self.vaults:
            vault.script.append("drop")
        self.assertEqual((await self.upload()).status, 502)
        self.assertEqual(len(self.runs), 1)

    async def test_reset_in_the_middle_of_the_body_is_not_reported_as_not_run(self):
        for vault in self.vaults:
            vault.reset_after_bytes = 20_000
        answer = await self.upload(UPLOAD * 20)
        self.assertEqual(answer.status, 502)
        self.assertEqual(sum(vault.n_resets for vault in self.vaults), 1)


class LostLinkTest(UploadTest):
    """A body so long that a part of it stays unsent while the peer does not read."""

    body = b"x" * 30_000_000

    def pause_peers(self):
        links = [link for node in self.fleet.nodes[1:] for link in node._accepted_links]
        for link in links:
            link._transport.pause_reading()
        return links

    async def open_links(self):
        for _ in range(6):
            await self.upload(b"", "/safe/x")

    async def test_upload_cut_off_in_the_middle_of_its_body_runs_elsewhere(self):
        await self.open_links()
        links = self.pause_peers()
        task = asyncio.create_task(self.upload(self.body))
        await asyncio.sleep(0.4)
        for link in links:
            link.abort()
        self.assertEqual((await task).status, 200)
        uploads = [run for run in self.runs if run["body"]]
        self.assertEqual([len(run["body"]) for run in uploads], [len(self.body)])
        await self.assert_nothing_held()

    async def test_deadline_in_the_middle_of_the_body_is_a_true_refusal(self):
        await self.open_links()
        links = self.pause_peers()
        answer = await self.caller.request(
            "/vault/x", method="POST", body=self.body, headers={"Deadline-Ms": "600"}
        )
        self.assertEqual(answer.status, 503)
        for link in links:
            link._transport.resume_reading()
        await self.assert_nothing_held()
        self.assertEqual([run for run in self.runs if run["body"]], [])


class SlowCallerTest(UploadTest):
    async def test_body_that_stops_arriving_is_refused_and_not_run(self):
        self.begin_upload(self.caller, 20_000)
        async with asyncio.timeout(3):
            answer = await self.caller.read()
        self.assertEqual(answer.status, 408)
        self.assertEqual(self.runs, [])
        await self.assert_nothing_held()

    async def test_caller_that_leaves_in_the_middle_of_its_body(self):
        self.begin_upload(self.caller, 20_000)
        await self.fleet.wait_until(lambda: self.fleet.nodes[0]._bodies.held_bytes)
        self.caller.close()
        await self.assert_nothing_held()
        self.assertEqual(self.runs, [])

    async def test_deadline_counts_from_the_first_byte(self):
        """Otherwise the upstream gets more time than the caller waits."""
        self.begin_upload(self.caller, 200_000, deadline_ms=1000)
        await asyncio.sleep(0.25)
        self.caller.writer.write(UPLOAD[200_000:])
        self.assertEqual((await self.caller.read()).status, 200)
        self.assertLess(int(self.runs[0]["deadline-ms"]), 800)


class MemoryTest(UploadTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.budget = self.fleet.nodes[0]._bodies
        self.budget._limit_bytes = 2 * len(UPLOAD)

    async def test_upload_without_memory_is_refused_early_on_a_connection_kept(self):
        others = [await self.fleet.caller(0) for _ in range(2)]
        for other in others:
            self.begin_upload(other, 10)
        await self.fleet.wait_until(lambda: self.budget.held_bytes == 2 * len(UPLOAD))
        self.begin_upload(self.caller, 10)
        answer = await self.caller.read()
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0.0)
        self.caller.writer.write(UPLOAD[10:])
        small = await self.upload(b"s" * SMALL_BODY_BYTES)
        self.assertEqual(small.status, 200)
        for other in others:
            other.close()
        await self.assert_nothing_held()
        self.assertEqual((await self.upload()).status, 200)
        self.assertEqual(len(self.runs), 2)

    async def test_chunked_body_without_memory_is_refused(self):
        self.budget.try_reserve(2 * len(UPLOAD) - 1000)
        head = f"POST /vault/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: c\r\n"
        self.caller.writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for _ in range(50):
            self.caller.writer.write(b"1000\r\n" + b"x" * 0x1000 + b"\r\n")
        self.assertEqual((await self.caller.read()).status, 503)
        self.caller.writer.write(b"0\r\n\r\n")
        self.assertEqual((await self.upload(b"s")).status, 200)

    async def test_refused_body_that_stops_arriving_gets_no_second_answer(self):
        self.budget.try_reserve(2 * len(UPLOAD))
        self.begin_upload(self.caller, 20_000)
        self.assertEqual((await self.caller.read()).status, 503)
        async with asyncio.timeout(3):
            self.assertEqual((await self.caller.read()).status, 0)

    async def test_refusal_without_a_continue_closes_the_connection(self):
        """The caller may not send the body, so the next bytes would be ambiguous."""
        self.budget.try_reserve(2 * len(UPLOAD))
        self.caller.writer.write(
            f"POST /vault/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: e\r\n"
            f"Expect: 100-continue\r\nContent-Length: {len(UPLOAD)}\r\n\r\n".encode()
        )
        answer = await self.caller.read()
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["connection"], "close")

    async def test_peer_without_memory_is_passed_over(self):
        first, second = (node._bodies for node in self.fleet.nodes[1:])
        first._limit_bytes = 1
        first.try_reserve(1)
        for _ in range(6):
            self.assertEqual((await self.upload()).status, 200)
        self.assertEqual(self.vaults[0].runs, [])
        second._limit_bytes = 1
        second.try_reserve(1)
        self.assertEqual((await self.upload()).status, 503)

    async def test_peak_of_a_burst_of_uploads_is_bounded(self):
        self.assertLess(BODIES_MEMORY_SHARE * 3, 0.5)
        callers = [await self.fleet.caller(0) for _ in range(30)]
        for caller in callers:
            self.begin_upload(caller, 1000)
        await self.fleet.wait_until(lambda: self.budget.n_refused == 28)
        self.assertLessEqual(self.budget.held_bytes, 2 * len(UPLOAD))
