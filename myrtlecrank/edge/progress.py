"""Which connections are stuck: decisions only, no I/O and no clock. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecrank.core.connection_errors import CloseReason

STALLED_LIMIT_MS = 5000.0  # a reader that takes nothing for this long is considered gone
INCOMPLETE_LIMIT_MS = 2000.0  # a frame, including the first of a connection, must be complete by then


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What a connection has done so far, and what it waits for."""

    bytes_sent: int
    is_flushing: bool  # unsent bytes wait for the caller to read
    frames_received: int
    is_mid_frame: bool
    is_reading: bool  # it waits for input
    has_pending_answers: bool


class ProgressMonitor:
    """Counts for how long one connection has made no progress, over time in which this process ran."""

    __slots__ = ("bytes_sent", "frames_received", "incomplete_ms", "stalled_ms")

    def __init__(self) -> None:
        self.bytes_sent = 0
        self.frames_received = 0
        self.stalled_ms = 0.0
        self.incomplete_ms = 0.0

    def check(self, state: ConnectionState, elapsed_ms: float) -> CloseReason | None:
        """Returns why the connection is to be closed; None: it is not. `elapsed_ms`: since the last check."""
        if self._is_stalled(state, elapsed_ms):
            return CloseReason.NOT_READING
        if self._is_incomplete(state, elapsed_ms):
            return CloseReason.INCOMPLETE_FRAME
        return None

    def _is_stalled(self, state: ConnectionState, elapsed_ms: float) -> bool:
        if not state.is_flushing or state.bytes_sent != self.bytes_sent:
            self.bytes_sent = state.bytes_sent
            self.stalled_ms = 0.0
            return False
        self.stalled_ms += elapsed_ms
        return self.stalled_ms > STALLED_LIMIT_MS

    def _is_incomplete(self, state: ConnectionState, elapsed_ms: float) -> bool:
        has_new_frame = state.frames_received != self.frames_received
        if has_new_frame or (state.frames_received and not state.is_mid_frame):
            self.frames_received = state.frames_received
            self.incomplete_ms = 0.0
            return False
        if not state.is_reading:
            return False
        self.incomplete_ms += elapsed_ms
        return self.incomplete_ms > INCOMPLETE_LIMIT_MS and not state.has_pending_answers
