"""Tests of the gossip queue."""

import unittest

from savoryroute.coordination import gossip_queue
from savoryroute.coordination.gossip_queue import GossipQueue
from savoryroute.state.member import Member, MemberStatus, MemberUpdate


def _update(host, status=MemberStatus.ALIVE):
    return MemberUpdate(Member(host, "s", "d", "r", "10.0.0.1:1", 1, status), 10)


class GossipQueueTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 1000.0
        self.queue = GossipQueue(lambda: self.now_s)

    def test_each_peer_gets_an_update_once_and_its_source_never(self):
        self.queue.put(_update("a"), 100, "b")
        self.assertEqual(self.queue.take("b", 5), [])
        self.assertEqual(len(self.queue.take("c", 5)), 1)
        self.assertEqual(self.queue.take("c", 5), [])

    def test_update_is_sent_to_a_bounded_number_of_peers(self):
        self.queue.put(_update("a"), 1100)
        n_sent = sum(len(self.queue.take(f"p{n}", 5)) for n in range(100))
        self.assertEqual(n_sent, 12)
        self.assertEqual(len(self.queue), 0)

    def test_update_expires_although_peers_are_few(self):
        self.queue.put(_update("a"), 1100)
        self.queue.take("b", 5)
        self.now_s += gossip_queue.AGE_MAX_S + 1
        self.assertEqual(self.queue.take("c", 5), [])
        self.assertEqual(len(self.queue), 0)

    def test_rate_is_bounded_and_leaving_goes_first(self):
        for number in range(500):
            self.queue.put(_update(f"h{number}"), 1100)
        self.queue.put(_update("x", MemberStatus.LEAVING), 1100)
        self.assertEqual(self.queue.take("p", 1)[0][0], "x")
        n_sent = 1
        for second in range(10):
            for peer in range(10):
                n_sent += len(self.queue.take(f"p{second}-{peer}", 6))
            self.now_s += 1
        self.assertLessEqual(
            n_sent, gossip_queue.UPDATES_BURST + 10 * gossip_queue.UPDATES_PER_S
        )
        self.assertGreater(n_sent, 9 * gossip_queue.UPDATES_PER_S)

    def test_suspicions_do_not_delay_refutations(self):
        for number in range(500):
            self.queue.put(_update(f"h{number}", MemberStatus.SUSPECT), 1100)
        for peer in range(100):
            self.queue.take(f"p{peer}", 6)
        self.queue.put(_update("a"), 1100)
        self.assertEqual([item[0] for item in self.queue.take("q", 6)], ["a"])
