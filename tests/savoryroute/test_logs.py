"""Tests of structured logs."""

import io
import json
import logging
import unittest

from savoryroute import logs


class LogsTest(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger("savoryroute")
        state = (logger.handlers[:], logger.level, logger.propagate)
        self.addCleanup(self.restore, logger, *state)
        self.stream = io.StringIO()
        logs.configure("info", "nairobi-planner-1", self.stream)

    def restore(self, logger, handlers, level, propagate):
        logger.handlers[:] = handlers
        logger.setLevel(level)
        logger.propagate = propagate

    def records(self):
        return list(map(json.loads, self.stream.getvalue().splitlines()))

    def test_fields(self):
        logger = logs.get_logger("forward", request="r1", action="a1")
        logger.warning("refused\n%s", "x", extra={"reason": "overload"})
        (record,) = self.records()
        self.assertEqual(record["host"], "nairobi-planner-1")
        self.assertEqual(record["level"], "WARNING")
        self.assertEqual(record["logger"], "savoryroute.forward")
        self.assertEqual((record["request"], record["action"]), ("r1", "a1"))
        self.assertEqual(record["reason"], "overload")
        self.assertEqual(record["message"], "refused\nx")
        self.assertIn("timestamp", record)

    def test_level_and_binding(self):
        logger = logs.get_logger("savoryroute.state").bind(action="a2")
        logger.debug("hidden")
        logger.info("shown")
        (record,) = self.records()
        self.assertEqual(record["action"], "a2")
        self.assertNotIn("request", record)

    def test_configured_twice_writes_once(self):
        logs.configure("info", "h", self.stream)
        logs.get_logger("x").info("once")
        self.assertEqual(len(self.records()), 1)
