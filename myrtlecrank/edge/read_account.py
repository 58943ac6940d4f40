"""What the frames of one connection have cost, and what that means for its next turn: decisions only, no I/O
and no clock. Times in ms.

One connection must not keep the others waiting, whatever it sends and however fast. A sound caller shows
itself by exchanges that are completed, and each of these pays for several frames. What nothing pays for comes
out of an allowance that a flood uses up at once, and a caller of denied exchanges only when it sends many."""

from __future__ import annotations

from enum import IntEnum

INITIAL_ALLOWANCE = 32.0  # frames: as many as a new connection may have open
ALLOWANCE_PER_MS = 8.0 / 1000.0  # frames
EARNED_PER_COMPLETION = 8.0  # frames
MAX_EARNED = 256.0  # frames
BYTES_PER_FRAME = 2048  # that are charged like a further frame


class ReadPriority(IntEnum):
    """Which connection is read first."""

    PROVEN = 0  # its exchanges are completed
    NEW = 1  # within its allowance
    BACKGROUND = 2  # read once nothing else is to be done


class ReadAccount:
    """The account of one connection, in frames."""

    __slots__ = ("allowance", "earned", "refilled_at_ms")

    def __init__(self, now: float) -> None:
        self.allowance = INITIAL_ALLOWANCE
        self.earned = 0.0
        self.refilled_at_ms = now

    def priority(self, now: float) -> ReadPriority:
        """The priority of the connection's next turn."""
        elapsed_ms = max(0.0, now - self.refilled_at_ms)
        self.refilled_at_ms = now
        self.allowance = min(INITIAL_ALLOWANCE, self.allowance + elapsed_ms * ALLOWANCE_PER_MS)
        if self.earned >= 1.0:
            return ReadPriority.PROVEN
        return ReadPriority.NEW if self.allowance >= 1.0 else ReadPriority.BACKGROUND

    def charge(self, frame_count: int, byte_count: int) -> None:
        """Pays for a turn, first from what completed exchanges earned."""
        cost = max(1, frame_count) + byte_count / BYTES_PER_FRAME
        from_earned = min(cost, self.earned)
        self.earned -= from_earned
        self.allowance = max(0.0, self.allowance - (cost - from_earned))

    def exchange_completed(self) -> None:
        """Earns for an exchange whose run was completed."""
        self.earned = min(MAX_EARNED, self.earned + EARNED_PER_COMPLETION)
