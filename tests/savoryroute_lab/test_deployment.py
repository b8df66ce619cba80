"""Tests of the example deployments, their addresses and the example files."""

import json
import pathlib
import tempfile
import unittest

import json5

from savoryroute_lab.deployment import DEEP_SOUTH, NAIROBI
from savoryroute_lab.examples import write_examples
from savoryroute_lab.wiring import Wiring
from savoryroute_lab.workloads import DEEP_SOUTH_LOAD, NAIROBI_LOAD

LOADS = ((NAIROBI, NAIROBI_LOAD), (DEEP_SOUTH, DEEP_SOUTH_LOAD))


def route_of(deployment, service, method, path):
    """Return the first route that matches, or None."""
    for route in deployment.service(service).routes:
        if route.method == method and path.startswith(route.path):
            return route
    return None


class DeploymentTests(unittest.TestCase):
    def test_sizes(self):
        self.assertEqual(len(NAIROBI.upstreams), 13)
        self.assertEqual(len(DEEP_SOUTH.upstreams), 17)
        (slots,) = {u.slots for u in NAIROBI.upstreams if u.service.name == "crews"}
        self.assertEqual(slots, 40)
        scaled = NAIROBI.scaled(0.1)
        self.assertEqual(scaled.document("trial", 1)["services"]["crews"]["slots"], 4)

    def test_every_call_of_the_workloads_has_its_route(self):
        for deployment, load in LOADS:
            for template in (
                template for entry in load for template in entry.templates
            ):
                route = route_of(
                    deployment, template.service, template.method, template.path
                )
                self.assertEqual(route.class_name, template.class_name)
                self.assertEqual(route.idempotent, template.idempotent)
                for step in template.plan.chain + template.plan.fan:
                    step_route = route_of(
                        deployment, step.service, step.method, step.path
                    )
                    self.assertTrue(step_route.idempotent)


class WiringTests(unittest.TestCase):
    def test_addresses_are_distinct_and_agree(self):
        wiring = Wiring.new(DEEP_SOUTH)
        settings = [wiring.daemon_settings(u) for u in DEEP_SOUTH.upstreams]
        addresses = [a for entry in settings for a in entry["addresses"].values()]
        self.assertEqual(len(set(addresses)), 4 * len(settings))
        peers = {entry["host"]: entry["addresses"]["peers"] for entry in settings}
        hosts = json.loads(wiring.hosts(leaving=["deep-south-tickets-5"]))["hosts"]
        self.assertEqual({entry["host"]: entry["peers"] for entry in hosts}, peers)
        leaving = [e["host"] for e in hosts if e["status"] == "leaving"]
        self.assertEqual(leaving, ["deep-south-tickets-5"])
        for entry in settings:
            self.assertNotIn(entry["addresses"]["peers"], entry["seeds"])


class ExampleTests(unittest.TestCase):
    def test_examples_match_the_repository(self):
        root = pathlib.Path(__file__).resolve().parents[2]
        with tempfile.TemporaryDirectory() as folder:
            for path in write_examples(pathlib.Path(folder)):
                text = path.read_text()
                self.assertEqual(text, (root / "examples" / path.name).read_text())
                self.assertIn("// ", text)
        document = (root / "examples" / "nairobi-production.json5").read_text()
        self.assertEqual(json5.loads(document), NAIROBI.document("production", 1))
