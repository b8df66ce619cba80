"""Tests of finding organisations by their keys."""

import unittest

from savoryroute.state.organisations import Organisation, Organisations, key_digest


class OrganisationsTest(unittest.TestCase):
    """Guards against keys that are kept, and keys that two organisations use."""

    def setUp(self):
        self.first = Organisation("first", 0, 10.0, 5.0)
        self.second = Organisation("second", 1)
        self.organisations = Organisations(
            [
                (key_digest(b"one"), self.first),
                (key_digest(b"shared"), self.first),
                (key_digest(b"shared"), self.second),
                (key_digest(b"two"), self.second),
            ]
        )

    def test_key_of_one_organisation(self):
        self.assertIs(self.organisations.of_key(b"one"), self.first)
        self.assertIs(self.organisations.by_name("second"), self.second)
        self.assertIsNone(self.organisations.of_key(b"three"))

    def test_key_of_two_organisations_is_valid_for_neither(self):
        self.assertIsNone(self.organisations.of_key(b"shared"))

    def test_keys_are_not_kept(self):
        kept = repr(vars(self.organisations))
        for key in ("one", "two", "shared"):
            self.assertNotIn(f"b'{key}'", kept)
