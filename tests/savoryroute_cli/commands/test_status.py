"""Tests of the command status."""

import os
import pathlib
import tempfile
import unittest
from unittest import mock

from aiohttp import web

from ..console import CLOSED, StandIn, json_answer, run


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
        with StandIn(json_answer(state(1))) as one, StandIn(json_answer(state(2))) as b:
            done = run("status", one.address, b.address)
        self.assertEqual(done.code, 0)
        self.assertIn("v1 r7 abababababab", done.out)
        self.assertIn("1 leaving, 2 live", done.out)
        self.assertIn("  ready  ", done.out)
        self.assertIn("  v9 r8  ", done.out)
        self.assertIn("production documents differ", done.out)
        self.assertNotIn("trial documents differ", done.out)

    def test_one_of_two_unreachable(self):
        with StandIn(json_answer(state(1))) as daemon:
            done = run("status", CLOSED, daemon.address)
        self.assertEqual(done.code, 3)
        self.assertIn("nairobi-planner-1", done.out)
        self.assertIn(CLOSED, done.err)

    def test_odd_answers(self):
        for answer in (
            {},
            {"trial": 1, "members": 2, "version": None},
            {"host": "\x1b[31m"},
        ):
            with StandIn(json_answer(answer)) as daemon:
                done = run("status", daemon.address)
            self.assertEqual(done.code, 0)
            self.assertNotIn("\x1b", done.out)
        for answer in (json_answer([]), lambda _: web.Response(text="<html>")):
            with StandIn(answer) as daemon:
                self.assertEqual(run("status", daemon.address).code, 1)

    def test_operator_key(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "key")
            path.write_text("from-file\n")
            variables = {"SAVORYROUTE_OPERATOR_KEY": "from-variable"}
            with (
                StandIn(json_answer(state(1))) as daemon,
                mock.patch.dict(os.environ, variables),
            ):
                run("status", daemon.address, "--key-file", path)
                run("status", daemon.address)
        shown = [request.headers["Authorization"] for request in daemon.requests]
        self.assertEqual(shown, ["Bearer from-file", "Bearer from-variable"])

    def test_refused_key(self):
        with StandIn(json_answer({}, status=401)) as daemon:
            done = run("status", daemon.address)
        self.assertEqual(done.code, 1)
        self.assertIn("401", done.err)
