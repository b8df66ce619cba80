"""Tests of values by rank."""

import unittest

from savoryroute.coordination.rank_table import value_for_rank


class ValueForRankTest(unittest.TestCase):
    """Guards against ranks that fall between or outside the whole ones."""

    def test_values_at_between_and_outside_whole_ranks(self):
        values = (1.5, 1.25, 1.0)
        for rank, expected in (
            (-1, 1.5),
            (0, 1.5),
            (0.5, 1.375),
            (1, 1.25),
            (2, 1.0),
            (7, 1.0),
        ):
            self.assertEqual(value_for_rank(values, rank), expected)
