"""Tests of the command status."""

import os
import pathlib
import tempfile
import unittest
from unittest import mock

from aiohttp import web

from ..console import CLOSED, DaemonStandIn, json_answer, run


def state(version):
    return {
        "host": "nairobi-planner-1",
        "not_ready": "",
        "version": version,
        "revision": 7,
        "digest": "ab" * 32,
        "trial": {"version": 9, "revision": 8},
        "members": {"a": "live", "b": "live", "c": "leaving"},
    }


class StatusTest(unittest.TestCase):
    def test_documents_that_differ(self):
        with (
            DaemonStandIn(json_answer(state(1))) as a,
            DaemonStandIn(json_answer(state(2))) as b,
        ):
            result = run("status", a.address, b.address)
        self.assertEqual(result.code, 0)
        self.assertIn("v1 r7 abababababab", result.out)
        self.assertIn("1 leaving, 2 live", result.out)
        self.assertIn("  ready  ", result.out)
        self.assertIn("  v9 r8  ", result.out)
        self.assertIn("production documents differ", result.out)
        self.assertNotIn("trial documents differ", result.out)

    def test_one_of_two_unreachable(self):
        with DaemonStandIn(json_answer(state(1))) as daemon:
            result = run("status", CLOSED, daemon.address)
        self.assertEqual(result.code, 3)
        self.assertIn("nairobi-planner-1", result.out)
        self.assertIn(CLOSED, result.err)

    def test_malformed_answers(self):
        for answer in (
            {},
            {"trial": 1, "members": 2, "version": None},
            {"host": "\x1b[31m"},
        ):
            with DaemonStandIn(json_answer(answer)) as daemon:
                result = run("status", daemon.address)
            self.assertEqual(result.code, 0)
            self.assertNotIn("\x1b", result.out)
        for answer in (json_answer([]), lambda _: web.Response(text="<html>")):
            with DaemonStandIn(answer) as daemon:
                self.assertEqual(run("status", daemon.address).code, 1)

    def test_operator_key(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "key")
            path.write_text("from-file\n")
            variables = {"SAVORYROUTE_OPERATOR_KEY": "from-variable"}
            with (
                DaemonStandIn(json_answer(state(1))) as daemon,
                mock.patch.dict(os.environ, variables),
            ):
                run("status", daemon.address, "--key-file", path)
                run("status", daemon.address)
        shown = [request.headers["Authorization"] for request in daemon.requests]
        self.assertEqual(shown, ["Bearer from-file", "Bearer from-variable"])

    def test_refused_key(self):
        with DaemonStandIn(json_answer({}, status=401)) as daemon:
            result = run("status", daemon.address)
        self.assertEqual(result.code, 1)
        self.assertIn("401", result.err)
