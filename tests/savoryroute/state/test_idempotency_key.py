"""Tests of the form of idempotency keys."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from savoryroute.state.idempotency_key import KEY_LENGTH_MAX, mint_key, parse_key
from savoryroute.verdict import Reason

NONCE = "a" * 26
HOSTS = st.from_regex(r"[A-Za-z0-9]([A-Za-z0-9_.-]{0,40}[A-Za-z0-9])?", fullmatch=True)


class TestIdempotencyKey(unittest.TestCase):
    @given(HOSTS, st.integers(0, 10**18), st.integers(0, 10**14))
    def test_minted_keys_parse_in_both_forms(self, host, incarnation, uptime_ms):
        text = mint_key(host, incarnation, uptime_ms)
        key = parse_key(text).ok_value
        self.assertEqual(
            (key.host, key.incarnation, key.minted_ms), (host, incarnation, uptime_ms)
        )
        self.assertEqual(str(key), text)
        self.assertEqual(parse_key(f'"{text}"'), Ok(key))

    @given(st.text() | st.from_regex(r"sr1\.[\w.]*\.\d+\.\d+\.\w+"))
    def test_one_key_has_one_spelling(self, text):
        parsed = parse_key(text)
        if isinstance(parsed, Err):
            self.assertEqual(parsed.err_value.reason, Reason.KEY_INVALID)
        else:
            self.assertEqual(str(parsed.ok_value), text.strip('"'))

    def test_other_spellings_are_refused(self):
        for text in (
            "",
            '"',
            f"sr1.a.1.2.{NONCE}\n",
            f"sr1.a.01.2.{NONCE}",
            f"sr1.a.1.-2.{NONCE}",
            f"sr1.a.1.2.{NONCE.upper()}",
            f"sr1.a.1.\u0662.{NONCE}",
            f"sr1..1.2.{NONCE}",
            f"sr2.a.1.2.{NONCE}",
            f"sr1.a b.1.2.{NONCE}",
            f"sr1.{'a' * 63}.{10**18}.{10**14}.{NONCE}",
        ):
            with self.subTest(text=text):
                self.assertIsInstance(parse_key(text), Err)

    def test_length_limit(self):
        longest = f"sr1.{'a' * 63}.{10**18}.{10**12}.{NONCE}"
        self.assertEqual(len(longest), KEY_LENGTH_MAX)
        self.assertIsInstance(parse_key(longest), Ok)
        longer = f"sr1.{'a' * 63}.{10**18}.{10**13}.{NONCE}"
        self.assertIsInstance(parse_key(longer), Err)
