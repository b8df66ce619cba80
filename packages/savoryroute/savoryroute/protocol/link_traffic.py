"""Counts of frames and bytes on the links of one daemon."""

from __future__ import annotations

import attrs

from .frames import Answer, Call, Cancel, Fence, FenceAnswer, Frame

__all__ = ["FrameCount", "LinkTraffic"]

CALL_FRAMES = (Call, Answer, Cancel, Fence, FenceAnswer)


@attrs.define
class FrameCount:
    """Number of frames and bytes, without WebSocket and TCP headers."""

    n_frames: int = 0
    n_bytes: int = 0

    def add(self, n_bytes: int) -> None:
        """Count one frame."""
        self.n_frames += 1
        self.n_bytes += n_bytes


@attrs.define
class LinkTraffic:
    """Frames of calls and control frames, counted by direction."""

    calls_sent: FrameCount = attrs.Factory(FrameCount)
    calls_received: FrameCount = attrs.Factory(FrameCount)
    control_sent: FrameCount = attrs.Factory(FrameCount)
    control_received: FrameCount = attrs.Factory(FrameCount)

    def note_sent(self, frame: Frame, n_bytes: int) -> None:
        """Count a sent frame."""
        is_call = isinstance(frame, CALL_FRAMES)
        (self.calls_sent if is_call else self.control_sent).add(n_bytes)

    def note_received(self, frame: Frame, n_bytes: int) -> None:
        """Count a received frame."""
        is_call = isinstance(frame, CALL_FRAMES)
        (self.calls_received if is_call else self.control_received).add(n_bytes)

    def gauges(self) -> dict[str, float]:
        """Return all counts by gauge name."""
        return {
            f"{name}_{unit}": getattr(count, f"n_{unit}")
            for name, count in attrs.asdict(self, recurse=False).items()
            for unit in ("frames", "bytes")
        }
