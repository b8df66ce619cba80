"""Tests of the addresses of a deployment."""

import unittest

from savoryroute_lab.deployment import DEEP_SOUTH
from savoryroute_lab.wiring import Wiring


class SharedUpstreamsTest(unittest.TestCase):
    def test_hosts_of_a_service_share_only_the_upstream(self):
        wiring = Wiring.new(DEEP_SOUTH, shares_upstreams=True)
        ports = wiring.ports.values()
        n_hosts = len(DEEP_SOUTH.upstreams)
        self.assertEqual(len({item.upstream for item in ports}), 4)
        self.assertEqual(len({item.callers for item in ports}), n_hosts)
        self.assertEqual(len({item.peers for item in ports}), n_hosts)
