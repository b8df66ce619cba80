"""Tests of requests through daemons and stand-ins: answers, attempts, stops, views."""

import asyncio
import unittest

from .mesh_fleet import Caller, MeshFleet
from .stand_ins import complete_answer, configuration, path


class PathTest(unittest.IsolatedAsyncioTestCase):
    services = ("front", "planner", "planner")
    kinds = {"planner": "safe"}

    async def asyncSetUp(self):
        self.fleet = await MeshFleet(list(self.services), self.kinds).start()
        self.addAsyncCleanup(self.fleet.stop)
        self.caller = await self.fleet.caller(0)
        self.planners = self.fleet.upstreams[1:]

    @property
    def n_runs(self):
        return sum(len(upstream.runs) for upstream in self.planners)

    async def request(self, target="/planner/x", **kwargs):
        return await self.caller.request(target, **kwargs)


class ForwardingTest(PathTest):
    async def test_request_reaches_an_upstream_unchanged(self):
        answer = await self.request(
            "/planner/a%20b?x=1", method="POST", body=b"b" * 5000, headers={"X-A": "1"}
        )
        self.assertEqual(answer.status, 200)
        run = (self.planners[0].runs + self.planners[1].runs)[0]
        self.assertEqual(run["line"], "POST /planner/a%20b?x=1 HTTP/1.1")
        self.assertEqual(run["body"], b"b" * 5000)
        self.assertEqual(run["x-a"], "1")
        self.assertEqual(run["caller-service"], "front")
        self.assertLessEqual(int(run["deadline-ms"]), 1500)
        self.assertEqual(answer.body.decode(), "answer to " + run["request-id"])
        self.assertNotIn("transfer-encoding", answer.headers)

    async def test_caller_cannot_set_headers_of_the_daemon(self):
        await self.request(
            headers={"Caller-Service": "admin", "Expected-Instance": "z"}
        )
        run = (self.planners[0].runs + self.planners[1].runs)[0]
        self.assertEqual(run["caller-service"], "front")
        self.assertEqual(run["expected-instance"][:2], "i-")

    async def test_unknown_route_or_host_is_404(self):
        self.assertEqual((await self.request("/nothing/x")).status, 404)
        answer = await self.request("/planner/x", host="other.example")
        self.assertEqual(answer.status, 404)

    async def test_pipelined_requests_are_answered_in_order(self):
        ids = [self.caller.write(f"/planner/{n}") for n in range(5)]
        for request_id in ids:
            answer = await self.caller.read()
            self.assertEqual(answer.body.decode(), "answer to " + request_id)

    async def test_too_large_headers_and_bodies_are_refused(self):
        answer = await self.request(headers={"X-Long": "v" * 5000})
        self.assertEqual(answer.status, 431)
        caller = await self.fleet.caller(0)
        answer = await caller.request("/planner/x", method="POST", body=b"b" * 100_001)
        self.assertEqual(answer.status, 413)
        self.assertEqual(self.n_runs, 0)


class FaultyUpstreamTest(PathTest):
    """A single upstream, so that each request gets the scripted answer."""

    services = ("front", "planner")

    async def first_answer(self, script, method="GET"):
        self.planners[0].script.append(script)
        return await self.request(method=method)

    async def test_truncated_answer_is_not_delivered(self):
        cut = complete_answer(b"ID", b"x" * 100)[:-10].replace(b"1.1 200", b"1.0 200")
        answer = await self.first_answer(cut)
        self.assertEqual(answer.status, 502)

    async def test_malformed_answer_is_not_delivered(self):
        for junk in (b"garbage\r\n\r\n", b"HTTP/1.1 2x0 OK\r\n\r\n"):
            self.assertEqual((await self.first_answer(junk)).status, 502)

    async def test_success_without_signature_is_not_delivered(self):
        unsigned = b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 1\r\n\r\nx"
        self.assertEqual((await self.first_answer(unsigned)).status, 502)

    async def test_extra_bytes_after_an_answer_are_discarded(self):
        valid_answer = b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
        valid_answer += b"Content-Length: 2\r\n\r\nok"
        for extra in (
            valid_answer,
            b"junk",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1",
        ):
            answer = await self.first_answer(valid_answer + extra)
            self.assertEqual((answer.status, answer.body), (200, b"ok"))
            answer = await self.request()
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.body.startswith(b"answer to q"))

    async def test_late_answer_of_another_request_is_skipped(self):
        async def answer_other_first(fields, writer, full_answer):
            writer.write(complete_answer(b"other", b"of another") + full_answer)
            return True

        answer = await self.first_answer(answer_other_first)
        self.assertTrue(answer.body.startswith(b"answer to q"))

    async def test_answer_without_length_ends_with_its_connection(self):
        unframed = b"HTTP/1.0 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n\r\nbody"
        answer = await self.first_answer(unframed)
        self.assertEqual((answer.status, answer.body), (200, b"body"))
        self.assertEqual(answer.headers["content-length"], "4")

    async def test_request_after_an_early_answer_to_a_long_body_succeeds(self):
        async def answer_early(fields, writer, full_answer):
            writer.write(full_answer)
            return True

        self.planners[0].script.append(answer_early)
        await self.request(method="POST", body=b"b" * 90_000)
        self.assertEqual((await self.request()).status, 200)

    async def test_error_of_the_upstream_is_returned_unchanged(self):
        failed = b"HTTP/1.1 500 Bad\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
        failed += b"Content-Length: 4\r\n\r\noops"
        answer = await self.first_answer(failed)
        self.assertEqual((answer.status, answer.body), (500, b"oops"))
        self.assertEqual(answer.headers["server-stamp"], "s")


class MetricsTest(PathTest):
    async def test_scrape_contains_counts_gauges_and_labels(self):
        for _ in range(3):
            await self.request()
        body, _ = self.fleet.nodes[0]._metrics.render("text/plain")
        text = body.decode()
        self.assertIn('savoryroute_admitted_share{of="r-planner-"} 1', text)
        self.assertRegex(text, r'repeats_left\{of="front"\} [0-9.]+')
        self.assertRegex(text, r'requests_total\{[^}]*verdict="ran"[^}]*\} 3')
        self.assertIn("savoryroute_calls_running 0", text)
        for line in text.splitlines():
            if not line.startswith("#"):
                self.assertRegex(line, r"^[a-z_]+(\{[^}]*\})? [0-9.e+-]+$")


class LeavingTest(PathTest):
    async def test_stopping_daemon_finishes_requests_it_has_read(self):
        for planner in self.planners:
            planner.delay_s = 0.5
        callers = [await self.fleet.caller(1) for _ in range(4)]
        for caller in callers:
            caller.write("/planner/x")
        await self.fleet.wait_until(lambda: self.n_runs == 4)
        node = self.fleet.nodes[1]
        stop = asyncio.create_task(node.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(node.is_ready)
        late = await Caller.connect(self.fleet.ip(1), self.fleet.port)
        answer = await late.request("/planner/late")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["connection"], "close")
        for caller in callers:
            self.assertEqual((await caller.read()).status, 200)
        await stop

    async def test_no_connections_are_accepted_late_in_the_grace_period(self):
        """Requests accepted then would be cut off when the grace period ends."""
        stop = asyncio.create_task(self.fleet.nodes[1].stop())
        busy = await self.fleet.caller(1)
        self.planners[0].delay_s = self.planners[1].delay_s = 1.4
        await asyncio.sleep(2.0)
        busy.write("/planner/x")
        await asyncio.sleep(0.9)
        with self.assertRaises(OSError):
            await self.fleet.caller(1)
        self.assertEqual((await busy.read()).status, 200)
        await stop

    async def test_leaving_daemon_gets_no_calls_from_peers(self):
        stop = asyncio.create_task(self.fleet.nodes[1].stop())
        await asyncio.sleep(0.05)
        for _ in range(10):
            self.assertEqual((await self.request()).status, 200)
        self.assertEqual(len(self.planners[0].runs), 0)
        await stop

    async def test_draining_upstream_gets_no_new_requests(self):
        self.fleet.list_instance(1, state="draining")
        await self.fleet.wait_until(
            lambda: all(
                len(n.synchronizer.view.of_service("planner")) == 1
                for n in self.fleet.nodes
            )
        )
        for _ in range(10):
            self.assertEqual((await self.request()).status, 200)
        self.assertEqual(len(self.planners[0].runs), 0)


class ViewTest(PathTest):
    def versions(self):
        return [node.synchronizer.table.version for node in self.fleet.nodes]

    async def test_host_refused_by_the_store_is_updated_by_its_peers(self):
        await self.request()
        # All nodes reach the store from the same loopback address, so it cannot refuse
        # just one of them. The watch tasks of that node are cancelled instead.
        for task in self.fleet._tasks[0]:
            task.cancel()
        self.fleet.nodes[0].synchronizer.set_platform_reachable(False, "refused")
        self.fleet.publish(5)
        self.fleet.store.remove("servers/i-1")
        await self.fleet.wait_until(lambda: self.versions() == [5, 5, 5], 3.0)
        await self.fleet.wait_until(
            lambda: len(self.fleet.nodes[0].synchronizer.view.instances) == 2, 3.0
        )

    async def test_older_version_is_ignored(self):
        self.fleet.publish(9)
        await self.fleet.wait_until(lambda: self.versions() == [9, 9, 9])
        self.fleet.publish(4)
        await asyncio.sleep(0.2)
        self.assertEqual(self.versions(), [9, 9, 9])

    async def test_invalid_configuration_keeps_the_active_one(self):
        self.fleet.store.put("op/config", b'{"version": "0000000a"}')
        await self.fleet.wait_until(
            lambda: any(
                line["event"] == "routes_refused" for line in self.fleet.log_lines
            )
        )
        self.assertEqual((await self.request()).status, 200)

    async def test_views_recover_from_expired_history_and_aborted_watches(self):
        self.fleet.store.expire_history()
        self.fleet.publish(3)
        self.fleet.store.abort_watches()
        self.fleet.list_instance(1, state="draining")
        await self.fleet.wait_until(lambda: self.versions() == [3, 3, 3])
        await self.fleet.wait_until(
            lambda: all(
                len(n.synchronizer.view.of_service("planner")) == 1
                for n in self.fleet.nodes
            )
        )

    async def test_invalid_entries_are_ignored(self):
        for number, value in enumerate(
            (b"", b"\xff\xfe", b"[]", b'{"address": 1}', b'{"info": {"slots": "x"}}')
        ):
            self.fleet.store.put(f"servers/odd-{number}", value)
        self.fleet.publish(2)
        await self.fleet.wait_until(lambda: self.versions() == [2, 2, 2])
        for node in self.fleet.nodes:
            self.assertEqual(len(node.synchronizer.view.instances), 3)

    async def test_split_follows_the_weights(self):
        parts = [
            {"service": "planner", "weight": 80},
            {"service": "front", "weight": 20},
        ]
        route = path("/split/", "planner")
        del route["service"]
        route["traffic-split"] = parts
        source = configuration(2, {"shop.example": [route]}, ["front", "planner"])
        self.fleet.store.put("op/config", source)
        await self.fleet.wait_until(lambda: self.versions() == [2, 2, 2])
        for _ in range(50):
            self.assertEqual((await self.request("/split/x")).status, 200)
        self.assertEqual(len(self.fleet.upstreams[0].runs), 10)


if __name__ == "__main__":
    unittest.main()
