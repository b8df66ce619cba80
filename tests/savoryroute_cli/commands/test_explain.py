"""Tests of the command explain."""

import pathlib
import tempfile
import unittest

from ..console import CLOSED, StandIn, json_answer, run


class ExplainTest(unittest.TestCase):
    def test_decisions(self):
        entries = [{"uptime_s": 1.5, "what": "admitted", "detail": "rank 0"}, {}, 1]
        with StandIn(json_answer({"decisions": entries})) as daemon:
            done = run("explain", daemon.address, "sr1.a/b?")
        self.assertEqual(done.code, 0)
        self.assertTrue(done.out.startswith("1.500 s admitted rank 0\n"))
        self.assertEqual(daemon.requests[0].raw_path, "/explain/sr1.a%2Fb%3F")

    def explain_logs(self, lines, action):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "logs")
            path.write_text("\n".join(lines))
            return run("explain", "--logs", str(path), action)

    def test_logs_of_several_hosts(self):
        """A refusal deep in a chain, the change before it, and other lines."""
        lines = [
            '12.0 host-b {"time":12.0,"event":"refused","host":"b","request":"q1.7",'
            '"reason":"overload","detail":"9 run"}',
            '{"time":11.5,"event":"instance_gone","host":"b","instance":"i-9"}',
            '{"time":3.0,"event":"instance_gone","host":"b","instance":"i-1"}',
            '{"time":12.4,"event":"answered","host":"a","request":"q1","status":500}',
            '{"time":12.4,"event":"answered","host":"a","request":"q11","status":200}',
            "not a log line {",
        ]
        done = self.explain_logs(lines, "q1")
        self.assertEqual(done.code, 0)
        self.assertEqual(
            done.out.splitlines(),
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
        with StandIn(json_answer({"decisions": []})) as daemon:
            self.assertEqual(run("explain", daemon.address, "a").code, 1)
        self.assertEqual(run("explain", CLOSED, "a").code, 3)
