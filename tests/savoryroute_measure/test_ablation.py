"""Tests of the table of the ablation study."""

import unittest

from savoryroute_measure.ablation import Play, Played, table


class TableTest(unittest.TestCase):
    def test_gain_is_the_mean_of_differences_of_equal_seeds(self):
        """Guards against differences between days instead of mechanisms."""
        first, second = (Play("a/site.toml", "day", seed) for seed in "12")
        text = table(
            [
                Played("", first, 0.5),
                Played("", second, 0.9),
                Played("throttle", first, 0.3),
                Played("throttle", second, 0.8),
                Played("overdue", second, None),
            ]
        )
        self.assertIn("| throttle | +0.150 ± 0.071 (2) |", text)
        self.assertIn("| worth with all | 0.700 ± 0.283 (2) |", text)
        self.assertNotIn("overdue", text)
