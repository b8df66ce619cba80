"""Tests of the Markdown tables of measurements."""

import unittest

from savoryroute_lab.slopes_report import to_markdown


class ToMarkdownTest(unittest.TestCase):
    def test_one_table_for_each_measurement_with_all_its_columns(self):
        rows = [
            {"measured": "idle", "n_hosts": 6, "links": 5.0},
            {"measured": "load", "n_hosts": 6},
            {"measured": "idle", "n_hosts": 12, "links": 9.0, "rss_mb": 49},
        ]
        lines = to_markdown(rows).splitlines()
        self.assertEqual(lines.count("### idle"), 1)
        self.assertIn("| n_hosts | links | rss_mb |", lines)
        self.assertIn("| 6 | 5.0 |  |", lines)
        self.assertIn("| 12 | 9.0 | 49 |", lines)
