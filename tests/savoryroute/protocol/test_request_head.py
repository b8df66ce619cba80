"""Tests of the head of a forwarded request."""

import unittest

from savoryroute_platform.names import HEADERS

from savoryroute.protocol.request_head import read_request_head, with_organisation
from savoryroute.transport.caller_exchange import CallerRequest


class RequestHeadTest(unittest.TestCase):
    def read(self, headers, method=b"GET", body=b"", has_organisations=False):
        request = CallerRequest(method, b"/a?b", headers, body, True, 0.0, 0.0)
        return read_request_head(
            request, HEADERS, b"caller-service: s\r\n", has_organisations
        )

    def test_hop_by_hop_and_fleet_headers_are_removed(self):
        read = self.read(
            [
                (b"host", b"h"),
                (b"connection", b"close"),
                (b"transfer-encoding", b"chunked"),
                (b"caller-service", b"forged"),
                (b"expected-instance", b"forged"),
                (b"deadline-ms", b"1500"),
                (b"request-id", b"q1"),
                (b"x-a", b"1"),
            ]
        )
        self.assertEqual(
            read.head,
            b"GET /a?b HTTP/1.1\r\nhost: h\r\nrequest-id: q1\r\nx-a: 1\r\n"
            b"caller-service: s\r\n",
        )
        self.assertEqual((read.host, read.request_id), ("h", b"q1"))
        self.assertEqual(read.time_left_s, 1.5)

    def test_identity_headers_are_removed_where_there_are_organisations(self):
        """Guards against forged organisations and against a key sent twice."""
        identity = [(b"authorization", b"Token k"), (b"tenant", b"forged")]
        headers = [*identity, (b"authorization", b""), (b"x-a", b"1")]
        read = self.read(headers, has_organisations=True)
        self.assertEqual(read.credentials, (b"Token k", b""))
        head = b"GET /a?b HTTP/1.1\r\nx-a: 1\r\ncaller-service: s\r\n"
        self.assertEqual(read.head, head)
        named = with_organisation(read.head, HEADERS, "Süd 1")
        self.assertEqual(named, head + "tenant: Süd 1\r\n".encode())
        self.assertIn(b"tenant: forged\r\n", self.read(headers).head)

    def test_content_length_is_recomputed(self):
        read = self.read([(b"content-length", b"99")], b"POST", b"abc")
        self.assertIn(b"content-length: 3\r\n", read.head)
        self.assertNotIn(b"99", read.head)
        self.assertIn(b"content-length: 0\r\n", self.read([], b"POST").head)

    def test_invalid_time_left_is_ignored(self):
        for value in (b"soon", b"9" * 400, b"9" * 5000):
            self.assertIsNone(self.read([(b"deadline-ms", value)]).time_left_s)
        self.assertIsNone(self.read([]).time_left_s)
