"""Tests of checking the items of frames."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from savoryroute.protocol.mesh_frames import (
    AttemptKind,
    Leaving,
    MeshAnswer,
    MeshCall,
    ViewRequest,
    ViewUpdate,
)
from savoryroute.verdict import Reason, Verdict

ROW = ["i-1", "planner", "127.0.0.1", "zone", 4, True, 0.0, 7, 2]
KIND = AttemptKind.OF_CALLER
CALL = MeshCall(
    1, "s", "i", "r", 0.5, 100, 90, True, False, KIND, 0, b"q", b"", b"h", 0, "o"
)
ANSWER = MeshAnswer(1, Verdict.NOT_RUN, Reason.OVERLOAD, "full", limit=4)
UPDATE = ViewUpdate(3, b"{}", 0, 9, [ROW], ["i-2"], 5, 0)
FRAMES = {
    MeshCall: CALL.to_frame(b""),
    MeshAnswer: ANSWER.to_frame(),
    ViewRequest: ViewRequest(3, 9).to_frame(),
    ViewUpdate: UPDATE.to_frame(),
}
ITEMS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=4)
    | st.binary(max_size=4)
    | st.lists(st.integers() | st.text(max_size=3), max_size=9)
    | st.sampled_from([10**30, -(10**30), float("nan"), float("inf")])
)


class FrameFieldsTest(unittest.TestCase):
    """Guards against items that are kept and fail later, in the work of others."""

    def test_frames_come_back_as_they_were(self):
        self.assertEqual(MeshCall.from_frame(FRAMES[MeshCall]), (CALL, b""))
        self.assertEqual(MeshAnswer.from_frame(FRAMES[MeshAnswer]), ANSWER)
        self.assertEqual(ViewUpdate.from_frame(FRAMES[ViewUpdate]), UPDATE)
        proof = attrs.evolve(UPDATE, number=4, proof_version=3, proof_age_ms=9)
        self.assertEqual(ViewUpdate.from_frame(proof.to_frame()), proof)
        poll = ViewRequest(3, 9, 4)
        self.assertEqual(ViewRequest.from_frame(poll.to_frame()), poll)

    def test_wrong_number_of_items(self):
        for cls, frame in FRAMES.items():
            for wrong in ([*frame, 0], frame[:-1], frame[:1], [*frame, b""]):
                with self.subTest(cls), self.assertRaises((TypeError, ValueError)):
                    cls.from_frame(wrong)

    def test_figures_of_an_answer_that_no_upstream_can_have(self):
        for wrong in ({"limit": -1}, {"n_reported": -1}, {"wait_ms": -1}):
            frame = attrs.evolve(ANSWER, **wrong).to_frame()
            with self.subTest(wrong), self.assertRaises(ValueError):
                MeshAnswer.from_frame(frame)
        for work_time in (0.0, -1.0):
            frame = attrs.evolve(ANSWER, work_time=work_time).to_frame()
            with self.subTest(work_time), self.assertRaises(ValueError):
                MeshAnswer.from_frame(frame)

    def test_leaving_hosts_of_this_and_of_an_older_version(self):
        self.assertEqual(Leaving.from_frame(Leaving(2400).to_frame()).serves_ms, 2400)
        older = Leaving().to_frame()[:1]
        self.assertEqual(Leaving.from_frame(older).serves_ms, 0)
        for item in (-1, 10**30, None, "2400", 2.5):
            with self.subTest(item), self.assertRaises((TypeError, ValueError)):
                Leaving.from_frame([*older, item])

    @given(st.sampled_from(list(FRAMES)), st.integers(1, 17), ITEMS)
    def test_item_of_another_type_or_out_of_range(self, cls, position, item):
        frame = list(FRAMES[cls])
        position = 1 + position % (len(frame) - 1)
        before, frame[position] = frame[position], item
        try:
            cls.from_frame(frame)
        except (TypeError, ValueError, IndexError):
            return
        both_numbers = {type(before), type(item)} <= {int, float}
        is_reason = cls is MeshAnswer and position == 3 and item is None
        self.assertTrue(type(item) is type(before) or both_numbers or is_reason)
        if type(item) in (int, float):
            self.assertLessEqual(abs(item), 2**53)

    @given(st.integers(0, 8), ITEMS)
    def test_row_of_an_instance(self, position, item):
        row = list(ROW)
        row[position] = item
        update = attrs.evolve(UPDATE, instances=[row])
        if type(item) is type(ROW[position]) or type(item) in (int, float):
            return
        with self.assertRaises(TypeError):
            ViewUpdate.from_frame(update.to_frame())


if __name__ == "__main__":
    unittest.main()
