"""Tests of the command explain."""

import pathlib
import tempfile
import unittest

from ..console import CLOSED, DaemonStandIn, json_answer, run

# Log lines of a day with faults: of a request, of other requests, and of changes of
# state.
RECORDED = pathlib.Path(__file__).parent / "recorded"


class ExplainTest(unittest.TestCase):
    def test_decisions(self):
        entries = [{"uptime_s": 1.5, "what": "admitted", "detail": "rank 0"}, {}, 1]
        with DaemonStandIn(json_answer({"decisions": entries})) as daemon:
            result = run("explain", daemon.address, "sr1.a/b?")
        self.assertEqual(result.code, 0)
        self.assertTrue(result.out.startswith("1.500 s admitted rank 0\n"))
        self.assertEqual(daemon.requests[0].raw_path, "/explain/sr1.a%2Fb%3F")

    def explain_logs(self, lines, action):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "logs")
            path.write_text("\n".join(lines))
            return run("explain", "--logs", str(path), action)

    def test_logs_of_several_hosts(self):
        """A downstream refusal and the change before it, among unrelated lines."""
        lines = [
            '12.0 host-b {"time":12.0,"event":"refused","host":"b","request":"q1.7",'
            '"reason":"overload","detail":"9 run"}',
            '{"time":11.5,"event":"instance_gone","host":"b","instance":"i-9"}',
            '{"time":3.0,"event":"instance_gone","host":"b","instance":"i-1"}',
            '{"time":12.4,"event":"answered","host":"a","request":"q1","status":500}',
            '{"time":12.4,"event":"answered","host":"a","request":"q11","status":200}',
            "not a log line {",
        ]
        result = self.explain_logs(lines, "q1")
        self.assertEqual(result.code, 0)
        self.assertEqual(
            result.out.splitlines(),
            [
                "11.500 b instance_gone instance=i-9",
                "12.000 b refused request=q1.7 reason=overload detail=9 run",
                "12.400 a answered request=q1 status=500",
            ],
        )

    def test_logs_without_the_request(self):
        self.assertEqual(self.explain_logs(["{}"], "q1").code, 1)
        self.assertEqual(run("explain", "--logs", "/nowhere", "q1").code, 3)

    def test_unknown_action(self):
        with DaemonStandIn(json_answer({"decisions": []})) as daemon:
            self.assertEqual(run("explain", daemon.address, "a").code, 1)
        self.assertEqual(run("explain", CLOSED, "a").code, 3)


class RecordedLogsTest(unittest.TestCase):
    """The id of a failed request leads to the cause of the failure."""

    def explain(self, name, request):
        result = run("explain", "--logs", str(RECORDED / f"{name}.log"), request)
        self.assertEqual(result.code, 0)
        return result.out.splitlines()

    def about(self, lines, request):
        return [line for line in lines if f"request={request}" in line]

    def test_refused_under_load_by_a_downstream_hop(self):
        lines = self.explain("refused_deep", "4405b44732630105")
        request_lines = self.about(lines, "4405b44732630105")
        events = [line.split()[2] for line in request_lines]
        self.assertEqual(events, ["placed_again", "refused", *["answered"] * 3])
        # The refusal furthest downstream names the overloaded service and the
        # instance that was tried.
        self.assertIn("service=bofi69d reason=overload", request_lines[1])
        self.assertIn(
            "waited too long for a slot tried=['i-01de9fb8c2']", request_lines[1]
        )
        self.assertTrue(
            all("status=500 is_load=True" in line for line in request_lines[2:])
        )
        # Before it, two of the three instances of that service were removed or began
        # to drain.
        before = lines[: lines.index(request_lines[0])]
        changes = [line for line in before if "service=bofi69d" in line]
        states = {(line.split()[2], "draining" in line) for line in changes}
        self.assertEqual(states, {("instance_gone", False), ("instance_listed", True)})

    def test_answer_of_an_unsafe_request_was_lost(self):
        lines = self.explain("lost_answer", "713fda910929e7f7")
        lost, gave_up = self.about(lines, "713fda910929e7f7")[-2:]
        self.assertIn("upstream_lost", lost)
        self.assertIn("instance=i-f441338bb7 reason=connection_lost", lost)
        self.assertIn("verdict=may_have_run status=502", gave_up)
        self.assertIn("arrivals=1", gave_up)

    def test_link_lost_in_a_partition(self):
        lost, gave_up = self.explain("zone_cut", "72dfd9db47b1fc80")
        self.assertIn("sidecar-nbo-c-1 peer_lost", lost)
        self.assertIn("peer=10.2.0.13 n_calls=33", lost)
        self.assertIn("the link to 10.2.0.13 was lost during the call", gave_up)

    def test_lines_of_other_requests_are_omitted(self):
        for name, request in (
            ("refused_deep", "4405b44732630105"),
            ("lost_answer", "713fda910929e7f7"),
            ("zone_cut", "72dfd9db47b1fc80"),
        ):
            text = (RECORDED / f"{name}.log").read_text()
            others = text.count('"request":') - text.count(f'"request":"{request}')
            self.assertGreater(others, 0)
            lines = self.explain(name, request)
            self.assertEqual(
                len(self.about(lines, "")), len(self.about(lines, request))
            )
