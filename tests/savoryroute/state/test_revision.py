"""Tests of revisions that are ordered over returns of the store."""

import unittest

from savoryroute.state.revision import era_of, ordered_revision, revision_in_era


class RevisionTest(unittest.TestCase):
    """Guards against a revision of an earlier era that outranks a later one."""

    def test_era_goes_before_the_revision(self):
        self.assertLess(ordered_revision(1, 900), ordered_revision(2, 1))
        self.assertLess(ordered_revision(2, 1), ordered_revision(2, 2))

    def test_era_and_revision_are_found_again(self):
        ordered = ordered_revision(3, 412)
        self.assertEqual((era_of(ordered), revision_in_era(ordered)), (3, 412))

    def test_revisions_of_a_store_without_eras_stay(self):
        self.assertEqual(ordered_revision(0, 412), 412)
