"""Tests of counts by organisation."""

import unittest

from savoryroute.coordination.organisation_counters import (
    N_LABELS,
    OrganisationCounters,
)
from savoryroute.state.metrics import Metrics


class OrganisationCountersTest(unittest.TestCase):
    """Guards against labels without bound, and against counts that get lost."""

    def setUp(self):
        self.counters = OrganisationCounters()

    def test_largest_have_labels_and_all_others_share_one(self):
        for n in range(40):
            for _ in range(n + 1):
                self.counters.note_request(f"o-{n}")
        requests = self.counters.gauges()["organisation_requests"]
        self.assertEqual(len(requests), N_LABELS + 1)
        self.assertEqual(requests["o-39"], 40)
        self.assertEqual(requests["other"], sum(range(1, 31)))

    def test_refusals_by_status(self):
        for status in (401, 429, 503, 504):
            self.counters.note_refusal("o", status)
        self.counters.note_refusal("", 401)
        gauges = self.counters.gauges()
        self.assertEqual(gauges["organisation_unauthorised"], {"o": 1, "": 1})
        self.assertEqual(gauges["organisation_over_quota"]["o"], 1)
        self.assertEqual(gauges["organisation_refused"]["o"], 2)

    def test_counts_of_organisations_that_are_gone_are_kept_together(self):
        for name in ("a", "b", "c"):
            self.counters.note_request(name)
        self.counters.keep_only({"a"})
        requests = self.counters.gauges()["organisation_requests"]
        self.assertEqual(requests, {"a": 1, "other": 2})

    def test_labels_that_are_gone_leave_the_scrape(self):
        metrics = Metrics(self.counters.gauges)
        for n in range(30):
            for _ in range(n + 1):
                self.counters.note_request(f'o"{n}')
            text = metrics.render("text/plain")[0].decode()
        lines = [x for x in text.splitlines() if "organisation_requests{" in x]
        self.assertEqual(len(lines), N_LABELS + 1)
        self.assertIn('savoryroute_organisation_requests{of="o\\"29"} 30', lines)


if __name__ == "__main__":
    unittest.main()
