"""Tests of complete daemons: promises checked from the outside, under failures."""

import asyncio

import aiohttp

from savoryroute.coordination.distribution import START_TIMEOUT_S
from savoryroute.coordination.node import DRAIN_LISTEN_S
from savoryroute_lab.platform import Outage
from tests.fleet import Fleet, FleetTestCase, document


class AtMostOnceTest(FleetTestCase):
    async def test_copies_through_all_daemons_run_once(self):
        async with Fleet({"booking": 3}, document(["booking"])) as fleet:
            fleet["a-booking-0"].upstream.set({"work_s": 0.1})
            key = await fleet.key("a-booking-0", "booking")
            calls = [
                fleet.call(
                    name,
                    "POST",
                    "/booking/pours",
                    data=b"x",
                    headers={"Idempotency-Key": key},
                )
                for name in list(fleet.hosts) * 4
            ]
            replies = await asyncio.gather(*calls)
            self.assertEqual({r.verdict for r in replies}, {"ran"})
            self.assertEqual(len({r.body for r in replies}), 1)
            self.assertEqual(len(fleet.executions()), 1)

    async def test_a_missing_key_is_requested_and_the_new_one_accepted(self):
        async with Fleet({"booking": 2}, document(["booking"])) as fleet:
            asked = await fleet.call("a-booking-0", "POST", "/booking/pours", data=b"x")
            self.assertEqual((asked.status, asked.verdict), (428, "not_run"))
            key = asked.problem["idempotency_key"]
            reply = await fleet.call(
                "a-booking-1",
                "POST",
                "/booking/pours",
                data=b"x",
                headers={"Idempotency-Key": key},
            )
            self.assertEqual((reply.status, reply.verdict), (200, "ran"))
            self.assertEqual(len(fleet.executions()), 1)

    async def test_restarted_owner_never_runs_the_key_again(self):
        async with Fleet({"booking": 2}, document(["booking"])) as fleet:
            key = await fleet.key("a-booking-0", "booking")
            owner = key.split(".")[1]
            other = next(name for name in fleet.hosts if name != owner)
            headers = {"Idempotency-Key": key}
            await fleet.call(other, "POST", "/booking/p", data=b"x", headers=headers)
            await fleet.restart_node(owner)
            for name in fleet.hosts:
                reply = await fleet.call(
                    name, "POST", "/booking/p", data=b"x", headers=headers
                )
                self.assertEqual(reply.verdict, "may_have_run")
            self.assertEqual(len(fleet.executions()), 1)

    async def test_an_action_with_a_lost_answer_runs_once(self):
        for method in ("POST", "DELETE"):
            with self.subTest(method):
                async with Fleet({"booking": 1}, document(["booking"])) as fleet:
                    key = await fleet.key("a-booking-0", "booking")
                    warm = await fleet.call("a-booking-0", "GET", "/booking/x")
                    self.assertEqual(warm.status, 200)
                    reply = await fleet.call(
                        "a-booking-0",
                        method,
                        "/booking/p?mark=drop",
                        headers={"Idempotency-Key": key},
                    )
                    self.assertEqual(reply.verdict, "may_have_run")
                    n_bookings = sum(e.key == key for e in fleet.executions())
                    self.assertEqual(n_bookings, 1)


class CancelledLoadTest(FleetTestCase):
    async def test_a_booking_sent_again_after_its_cancellation_never_runs(self):
        async with Fleet({"booking": 3}, document(["booking"])) as fleet:
            for is_same_owner in (True, False):
                booking = await fleet.key("a-booking-0", "booking")
                owner = booking.split(".")[1]
                cancel = booking
                # A daemon mints keys owned by its own host unless another is better.
                others = [name for name in fleet.hosts if name != owner]
                minter = owner if is_same_owner else others[0]
                while (
                    cancel == booking
                    or (cancel.split(".")[1] == owner) != is_same_owner
                ):
                    cancel = await fleet.key(minter, "booking")
                cancelled = await fleet.call(
                    "a-booking-1",
                    "DELETE",
                    "/booking/loads/1",
                    headers={"Idempotency-Key": cancel, "Savoryroute-Cancels": booking},
                )
                self.assertEqual(cancelled.verdict, "ran")
                late = await fleet.call(
                    "a-booking-2",
                    "POST",
                    "/booking/loads/1",
                    headers={"Idempotency-Key": booking},
                )
                self.assertEqual(late.verdict, "not_run")
                self.assertEqual(late.problem["reason"], "cancelled")
                self.assertNotIn("idempotency_key", late.problem)
            self.assertEqual({e.method for e in fleet.executions()}, {"DELETE"})


class CompleteAnswersTest(FleetTestCase):
    async def test_a_truncated_answer_is_not_delivered(self):
        async with Fleet({"planner": 2}, document(["planner"])) as fleet:
            reply = await fleet.call("a-planner-0", "GET", "/planner/x?mark=truncate")
            self.assertEqual(reply.verdict, "may_have_run")
            self.assertEqual(reply.problem["reason"], "bad_answer")

    async def test_an_answer_above_the_limit_is_refused(self):
        plain = document(["planner"], service={"answer_bytes": 1024})
        async with Fleet({"planner": 1}, plain) as fleet:
            fleet["a-planner-0"].upstream.set({"payload_bytes": 4096})
            reply = await fleet.call("a-planner-0", "GET", "/planner/x")
            self.assertEqual(reply.verdict, "may_have_run")
            self.assertEqual(reply.problem["reason"], "bad_answer")

    async def test_concurrent_answers_reach_their_own_callers(self):
        async with Fleet(
            {"planner": 2, "crews": 2}, document(["planner", "crews"])
        ) as f:

            async def one(number: int) -> bool:
                mark = f"r{number}"
                reply = await f.call(
                    f"a-planner-{number % 2}",
                    "GET",
                    "/planner/x?chain=crews:/y",
                    headers={"x-lab-request": mark},
                )
                if reply.status != 200:
                    self.assertNotEqual(reply.verdict, "ran")
                    return False
                self.assertIn(f'"request": "{mark}"'.encode(), reply.body)
                return True

            found = await asyncio.gather(*(one(n) for n in range(60)))
            self.assertGreater(sum(found), 0)


class CancellationTest(FleetTestCase):
    async def test_a_caller_that_hangs_up_cancels_the_whole_call_chain(self):
        async with Fleet(
            {"planner": 1, "crews": 1}, document(["planner", "crews"])
        ) as f:
            f["a-crews-0"].upstream.set({"work_s": 2.0})
            with self.assertRaises(asyncio.TimeoutError):
                await f.call(
                    "a-planner-0",
                    "GET",
                    "/planner/x?chain=crews:/y",
                    timeout=aiohttp.ClientTimeout(total=0.3),
                )
            await asyncio.sleep(0.3)
            states = {e.service: e.state for e in f.executions()}
            self.assertEqual(states["crews"], "cancelled")


class AttemptsTest(FleetTestCase):
    async def test_a_failing_leaf_costs_a_bounded_number_of_attempts(self):
        services = ["s1", "s2", "s3", "s4"]
        plain = document(services)
        plain["classes"]["read"]["allowance"] = 12
        chain = "chain=s2:/x,s3:/x,s4:/x&mark=drop&mark_at=s4"
        async with Fleet(dict.fromkeys(services, 3), plain) as fleet:
            for number in range(3):
                headers = {"traceparent": f"00-{'0' * 31}1-{number + 1:016x}-01"}
                await fleet.call(
                    f"a-s1-{number}", "GET", f"/s1/x?{chain}", headers=headers
                )
            self.assertLessEqual(len(fleet.executions()), 3 * 12)
            per_upstream = max(
                len(host.upstream.executions) for host in fleet.hosts.values()
            )
            self.assertLessEqual(per_upstream, 3)


class PoisonTest(FleetTestCase):
    async def test_a_request_that_crashes_upstreams_is_quarantined(self):
        async with Fleet({"planner": 5}, document(["planner"])) as fleet:
            for _ in range(3):
                for name in fleet.hosts:
                    await fleet.call(name, "GET", "/planner/x?mark=crash")
                await asyncio.sleep(0.3)
            n_crashes = sum(h.upstream.n_crashes for h in fleet.hosts.values())
            self.assertGreaterEqual(n_crashes, 1)
            self.assertLessEqual(n_crashes, 5)
            reply = await fleet.call("a-planner-0", "GET", "/planner/x?mark=crash")
            self.assertEqual(reply.problem["reason"], "quarantined")


class LeavingTest(FleetTestCase):
    async def test_a_leaving_upstream_gets_no_new_work(self):
        async with Fleet({"planner": 3}, document(["planner"])) as fleet:
            leaving = fleet["a-planner-0"]
            leaving.upstream.set({"leaving": True})
            await asyncio.sleep(1.5)
            n_before = len(leaving.upstream.executions)
            for number in range(60):
                reply = await fleet.call(f"a-planner-{number % 3}", "GET", "/planner/x")
                self.assertEqual(reply.status, 200)
            self.assertEqual(len(leaving.upstream.executions), n_before)

    async def test_an_upstream_that_stops_leaving_is_used_again(self):
        async with Fleet({"planner": 2}, document(["planner"])) as fleet:
            host = fleet["a-planner-0"]
            host.upstream.set({"leaving": True})
            await asyncio.sleep(1.0)
            host.upstream.set({"leaving": False})
            await asyncio.sleep(1.5)
            for _ in range(10):
                await fleet.call("a-planner-0", "GET", "/planner/x")
            self.assertGreater(len(host.upstream.executions), 0)

    async def test_a_planned_stop_aborts_no_request(self):
        async with Fleet({"planner": 3}, document(["planner"])) as fleet:
            for host in fleet.hosts.values():
                host.upstream.set({"work_s": 0.2})
            stopped = fleet["a-planner-0"]
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", stopped.ports["callers"]
            )
            writer.write(b"GET /planner/slow HTTP/1.1\r\nHost: x\r\n")
            calls = [
                asyncio.create_task(
                    fleet.call(f"a-planner-{n % 3}", "GET", "/planner/x")
                )
                for n in range(30)
            ]
            await asyncio.sleep(0.1)
            stop = asyncio.create_task(stopped.node.stop())
            await asyncio.sleep(1.0)
            later = [
                asyncio.create_task(
                    fleet.call(f"a-planner-{n % 3}", "GET", "/planner/x")
                )
                for n in range(30)
            ]
            await asyncio.sleep(DRAIN_LISTEN_S)
            writer.write(b"\r\n")
            status = await reader.readline()
            self.assertEqual(status, b"HTTP/1.1 200 OK\r\n")
            replies = await asyncio.gather(*calls, *later)
            self.assertEqual({r.status for r in replies}, {200})
            await stop
            writer.close()
            stopped.node = None


class OverloadTest(FleetTestCase):
    async def test_reads_are_refused_before_bookings(self):
        plain = document(["booking"], service={"slots": 4, "queue_length": 8})
        async with Fleet({"booking": 1}, plain) as fleet:
            fleet["a-booking-0"].upstream.set({"work_s": 0.1, "slots": 4})
            keys = [await fleet.key("a-booking-0", "booking") for _ in range(8)]
            reads = [
                asyncio.create_task(fleet.call("a-booking-0", "GET", "/booking/x"))
                for _ in range(40)
            ]
            await asyncio.sleep(0.02)
            bookings = [
                fleet.call(
                    "a-booking-0",
                    "POST",
                    "/booking/p",
                    data=b"x",
                    headers={"Idempotency-Key": key},
                )
                for key in keys
            ]
            booked = await asyncio.gather(*bookings)
            read = await asyncio.gather(*reads)
            self.assertEqual({r.status for r in booked}, {200})
            refused = [r for r in read if r.status == 503]
            self.assertGreater(len(refused), 0)
            for reply in refused:
                self.assertEqual(reply.verdict, "not_run")
                self.assertIn("Retry-After", reply.headers)
            n_reads = sum(e.method == "GET" for e in fleet.executions())
            self.assertEqual(n_reads, 40 - len(refused))


class DocumentTest(FleetTestCase):
    async def test_a_new_document_is_active_everywhere_within_seconds(self):
        async with Fleet({"planner": 4}, document(["planner"])) as fleet:
            revision = fleet.publish(document(["planner"], version=2))
            await asyncio.sleep(3.0)
            for name in fleet.hosts:
                status = await fleet.query_operators(name, "/status")
                self.assertEqual(status["revision"], revision)

    async def test_an_invalid_document_changes_nothing(self):
        async with Fleet({"planner": 2}, document(["planner"])) as fleet:
            before = await fleet.query_operators("a-planner-0", "/status")
            fleet.publish(document(["planner"], version=2, classes={}))
            await asyncio.sleep(1.0)
            after = await fleet.query_operators("a-planner-0", "/status")
            self.assertEqual(after["revision"], before["revision"])
            audit = await fleet.query_operators("a-planner-0", "/audit")
            skipped = [e for e in audit["entries"] if "skipped" in e["change"]]
            self.assertTrue(skipped)

    async def test_a_restarted_daemon_takes_the_newest_document_of_its_peers(self):
        async with Fleet({"planner": 3}, document(["planner"])) as fleet:
            status = await fleet.query_operators("a-planner-0", "/status")
            stale = status["revision"]
            revision = fleet.publish(document(["planner"], version=2))
            await asyncio.sleep(1.0)
            fleet.platform.set_stale(stale)
            await fleet.restart_node("a-planner-0")
            status = await fleet.query_operators("a-planner-0", "/status")
            self.assertEqual(status["revision"], revision)


class TrialTest(FleetTestCase):
    async def test_a_trial_document_alone_refuses_nothing_for_load(self):
        service = {"slots": 1, "queue_length": 1}
        plain = document(["planner"], service=service, environment="trial")
        async with Fleet({"planner": 1}, plain) as fleet:
            fleet["a-planner-0"].upstream.set({"work_s": 0.05})
            calls = [fleet.call("a-planner-0", "GET", "/planner/x") for _ in range(20)]
            replies = await asyncio.gather(*calls)
            self.assertEqual({reply.status for reply in replies}, {200})
            status = await fleet.query_operators("a-planner-0", "/status")
            self.assertFalse(status["enforced"])
            self.assertGreater(status["trial"]["would"]["read"]["refused"], 0)

    async def test_a_trial_document_beside_production_is_only_reported(self):
        async with Fleet({"planner": 1}, document(["planner"])) as fleet:
            fleet["a-planner-0"].upstream.set({"work_s": 0.05})
            service = {"slots": 1, "queue_length": 1}
            trial = document(["planner"], service=service, environment="trial")
            fleet.publish(trial)
            await asyncio.sleep(1.0)
            calls = [fleet.call("a-planner-0", "GET", "/planner/x") for _ in range(8)]
            replies = await asyncio.gather(*calls)
            self.assertEqual({reply.status for reply in replies}, {200})
            status = await fleet.query_operators("a-planner-0", "/status")
            self.assertTrue(status["enforced"])
            self.assertGreater(status["trial"]["would"]["read"]["refused"], 0)


class OperatorsTest(FleetTestCase):
    async def test_operators_need_their_key_and_see_decisions(self):
        async with Fleet({"planner": 1}, document(["planner"])) as fleet:
            trace = "1" * 32
            headers = {"traceparent": f"00-{trace}-{'2' * 16}-01"}
            await fleet.call("a-planner-0", "GET", "/planner/x", headers=headers)
            found = await fleet.query_operators("a-planner-0", f"/explain/{trace}")
            self.assertEqual(found["decisions"][0]["what"], "placed")
            url = fleet["a-planner-0"].operators_url
            for path, status in (("/status", 401), ("/audit", 401), ("/metrics", 200)):
                async with fleet.session.get(url + path) as answer:
                    self.assertEqual(answer.status, status, path)
                    body = await answer.text()
            self.assertIn('savoryroute_requests_total{class="read"', body)
            self.assertRegex(body, r"(?m)^savoryroute_ready 1")
            callers = await fleet.call("a-planner-0", "GET", "/status")
            self.assertEqual(callers.status, 404)


class StartTest(FleetTestCase):
    async def test_without_platform_and_peers_a_daemon_reports_not_ready(self):
        async with Fleet({"planner": 1}, document(["planner"])) as fleet:
            await fleet.platform.set_outage(Outage.REFUSE)
            await fleet["a-planner-0"].node.close()
            await fleet.start_node("a-planner-0")
            reply = await fleet.call("a-planner-0", "GET", "/planner/x")
            self.assertEqual(
                (reply.status, reply.problem["reason"]), (503, "not_ready")
            )
            await fleet.platform.set_outage(Outage.NONE)
            await fleet.wait_ready("a-planner-0")
            reply = await fleet.call("a-planner-0", "GET", "/planner/x")
            self.assertEqual(reply.status, 200)

    async def test_a_lone_host_does_not_wait_for_unreachable_seeds(self):
        async with Fleet({"planner": 2}, document(["planner"])) as fleet:
            alone, unreachable = fleet["a-planner-0"], fleet["a-planner-1"]
            for host in (unreachable, alone):
                await host.node.close()
            unreachable.node = None
            del fleet.hosts["a-planner-1"]
            fleet.publish_hosts()
            fleet.hosts["a-planner-1"] = unreachable
            await fleet.start_node("a-planner-0")
            distribution = alone.node._control.distribution
            async with asyncio.timeout(START_TIMEOUT_S):
                await distribution.wait_ready()

    async def test_a_new_document_keeps_the_current_limit(self):
        async with Fleet({"planner": 1}, document(["planner"])) as fleet:
            for _ in range(3):
                calls = [
                    fleet.call("a-planner-0", "GET", "/planner/x") for _ in range(20)
                ]
                await asyncio.gather(*calls)
            before = (await fleet.query_operators("a-planner-0", "/status"))["limit"]
            changed = document(["planner"], version=2)
            changed["classes"]["read"]["patience_ms"] = 400
            changed["services"]["planner"]["request_bytes"] = 2000
            fleet.publish(changed)
            await asyncio.sleep(1.0)
            after = await fleet.query_operators("a-planner-0", "/status")
            self.assertEqual((after["version"], after["limit"]), (2, before))
