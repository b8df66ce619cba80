"""Tests of whose request it is, or why it is refused."""

import time
import tracemalloc
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from savoryroute.coordination.caller_identity import (
    RequestOrigin,
    identify_caller,
    is_proof_recent,
)
from savoryroute.state.organisations import Organisation, Organisations, key_digest
from savoryroute.state.route_table import TableRoute
from savoryroute.verdict import Reason

ROUTE = TableRoute("r", "/r/", True, 1, 1.0, 1.0, 2, ())
PUBLIC = attrs.evolve(ROUTE, is_public=True)
FIRST = Organisation("first", 0)
SECOND = Organisation("second", 1)
KEYS = [
    (key_digest(b"one"), FIRST),
    (key_digest(b"shared"), FIRST),
    (key_digest(b"shared"), SECOND),
]
COMPLETE = Organisations(KEYS)
INCOMPLETE = Organisations(KEYS, is_complete=False)
UNREADABLE = Organisations((), is_complete=False)

# Values of the credentials headers of one request.
VALID = (b"Token one",)
UNKNOWN = (b"Token three",)
MALFORMED = [
    (b"",),
    (b"one",),
    (b"Token",),
    (b"Token ",),
    (b"Token one two",),
    (b"Token one, Token one",),
    (b"Token\x00one",),
    (b"Bearer one",),
    (b"Token on\xe9",),
    (b"Token one", b"Token one"),
    (b"Token one", b""),
]


def decide(
    credentials=(), route=ROUTE, organisations=COMPLETE, is_recent=True, **origin
):
    """Return the name of the organisation, or status and reason of the refusal."""
    decided = identify_caller(
        route, organisations, RequestOrigin(credentials, **origin), b"token", is_recent
    )
    if isinstance(decided, Ok):
        return decided.ok_value.name
    refusal = decided.err_value
    return refusal.status, refusal.reason


class KeyTest(unittest.TestCase):
    """Guards against requests that are served without exactly one valid key."""

    def test_valid_key_in_any_spelling_of_the_scheme(self):
        for value in (b"Token one", b"token one", b"TOKEN \t one", b" Token one "):
            self.assertEqual(decide((value,)), "first")

    def test_missing_key(self):
        self.assertEqual(decide(), (401, Reason.KEY_REQUIRED))

    def test_unknown_key_and_key_of_two_organisations(self):
        for value in (b"Token three", b"Token shared", b"Token ONE"):
            self.assertEqual(decide((value,)), (401, Reason.KEY_INVALID))

    def test_malformed_and_repeated_credentials(self):
        for credentials in MALFORMED:
            for organisations in (COMPLETE, INCOMPLETE):
                with self.subTest(credentials):
                    decided = decide(credentials, organisations=organisations)
                    self.assertEqual(decided, (401, Reason.KEY_INVALID))

    @given(st.lists(st.binary(max_size=12), max_size=3), st.booleans(), st.booleans())
    def test_no_other_credentials_identify(self, values, is_recent, has_parent):
        is_valid = len(values) == 1 and values[0].split()[1:] == [b"one"]
        decided = decide(tuple(values), is_recent=is_recent, has_parent=has_parent)
        if not is_valid:
            self.assertNotEqual(decided, "first")

    def test_public_route_needs_no_key(self):
        for credentials in ((), UNKNOWN, *MALFORMED):
            for organisations in (COMPLETE, INCOMPLETE, UNREADABLE):
                self.assertEqual(decide(credentials, PUBLIC, organisations), "")
        self.assertEqual(decide(VALID, PUBLIC), "first")


class UnreadableTest(unittest.TestCase):
    """Guards against a 4xx for a key that may be one of an unreadable entry."""

    def test_unknown_key_with_an_unreadable_entry(self):
        expected = (503, Reason.UNREADABLE_ORGANISATION)
        self.assertEqual(decide(UNKNOWN, organisations=INCOMPLETE), expected)
        self.assertEqual(decide(VALID, organisations=INCOMPLETE), "first")
        no_key = decide(organisations=INCOMPLETE)
        self.assertEqual(no_key, (401, Reason.KEY_REQUIRED))

    def test_all_entries_unreadable(self):
        for credentials in ((), VALID, UNKNOWN, *MALFORMED):
            decided = decide(credentials, organisations=UNREADABLE)
            self.assertEqual(decided, (503, Reason.UNREADABLE_ORGANISATION))


class ProofTest(unittest.TestCase):
    """Guards against keys that count although they may have been revoked."""

    def test_limit_has_a_margin(self):
        self.assertTrue(is_proof_recent(4.74, 5.0))
        self.assertFalse(is_proof_recent(4.75, 5.0))
        self.assertFalse(is_proof_recent(float("inf"), 5.0))
        self.assertTrue(is_proof_recent(float("inf"), None))

    def test_key_with_an_old_proof(self):
        # An unknown key may be one of a newer configuration.
        for credentials in (VALID, UNKNOWN):
            decided = decide(credentials, is_recent=False)
            self.assertEqual(decided, (503, Reason.STALE_CONFIGURATION))
        self.assertEqual(decide(is_recent=False), (401, Reason.KEY_REQUIRED))

    def test_public_route_with_an_old_proof(self):
        self.assertEqual(decide(VALID, PUBLIC, is_recent=False), "")


class UpstreamCallTest(unittest.TestCase):
    """Guards against refusing work that runs, and against calls without an action."""

    def test_call_of_a_running_action_needs_no_key(self):
        for is_recent in (True, False):
            decided = decide(
                is_recent=is_recent,
                has_parent=True,
                parent_organisation="first",
                is_upstream_call=True,
            )
            self.assertEqual(decided, "first")

    def test_call_without_a_running_action(self):
        decided = decide(is_upstream_call=True)
        self.assertEqual(decided, (503, Reason.KEY_REQUIRED))

    def test_key_of_a_call_is_checked(self):
        decided = decide(UNKNOWN, has_parent=True, is_upstream_call=True)
        self.assertEqual(decided, (401, Reason.KEY_INVALID))

    def test_call_to_a_public_route_does_not_name_the_organisation(self):
        decided = decide(route=PUBLIC, has_parent=True, parent_organisation="first")
        self.assertEqual(decided, "")


class CostTest(unittest.TestCase):
    """Guards against a look-up that grows with the number of organisations."""

    N_ORGANISATIONS = 10_000
    BYTES_MAX = 10_000_000
    SECONDS_MAX = 20e-6

    def test_memory_and_time_of_a_look_up(self):
        tracemalloc.start()
        held = [
            Organisation(f"organisation-{n}", n % 3, 10.0 + n, 5.0)
            for n in range(self.N_ORGANISATIONS)
        ]
        keys = ((b"%d-%d" % (n, i), n) for n in range(len(held)) for i in (0, 1))
        found = Organisations((key_digest(key), held[n]) for key, n in keys)
        n_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(n_bytes, self.BYTES_MAX)
        rounds_s = []
        for _ in range(5):
            started_s = time.process_time()
            for n in range(2_000):
                origin = RequestOrigin((b"Token %d-1" % n,))
                identify_caller(ROUTE, found, origin, b"token", True).unwrap()
            rounds_s.append((time.process_time() - started_s) / 2_000)
        # The fastest round, since other processes disturb the others.
        self.assertLess(min(rounds_s), self.SECONDS_MAX)


if __name__ == "__main__":
    unittest.main()
