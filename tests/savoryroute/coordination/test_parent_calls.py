import random
import unittest

from savoryroute.coordination.parent_calls import ParentCalls


class ParentCallsTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(2)
        self.parents = ParentCalls()

    def play(self, n_calls=200, cap_ms=700):
        """Play runs that each make one inner call, beside calls of callers."""
        found = []
        for number in range(n_calls):
            now_s = 10.0 + number * 0.02
            rank = number % 3
            deadline_s = now_s + self.rng.uniform(0.3, 1.0)
            self.parents.begin(deadline_s, rank, f"r{rank}")
            read_s = now_s + 0.05 + self.rng.random() * 0.001
            left_ms = min(cap_ms, int((deadline_s - now_s - 0.05) * 1000))
            found.append((rank, self.parents.rank_of_parent("inner", read_s, left_ms)))
            self.parents.rank_of_parent("outer", read_s, 5000)
            self.parents.rank_of_parent("outer", read_s, self.rng.randrange(2000, 4900))
            self.parents.end(deadline_s, rank, f"r{rank}")
        return found

    def test_calls_of_the_upstream_are_told_from_those_of_callers(self):
        self.play()
        self.assertTrue(self.parents.is_inner("inner"))
        self.assertFalse(self.parents.is_inner("outer"))

    def test_call_takes_the_rank_of_its_parent(self):
        found = self.play()[50:]
        told = [(rank, seen) for rank, seen in found if seen is not None]
        self.assertGreater(len(told), 0.7 * len(found))
        self.assertTrue(all(rank == seen for rank, seen in told))

    def test_runs_that_make_calls_are_told_from_those_that_make_none(self):
        self.play()
        for number in range(100):
            self.parents.begin(50.0 + number, 2, "plain")
            self.parents.end(50.0 + number, 2, "plain")
        self.assertTrue(self.parents.makes_calls("r0"))
        self.assertFalse(self.parents.makes_calls("plain"))

    def test_nothing_is_left_of_ended_runs(self):
        self.play()
        self.assertEqual(self.parents._runs, {})
