"""Whether a caller has ended its input or the connection, although more that it sent before lies unread.

What lies in the system's buffer stays readable then, so reading alone shows the end only behind all of it."""

from __future__ import annotations

import select
from enum import Enum, auto

RESET_EVENTS = select.POLLERR | select.POLLHUP


class InputState(Enum):
    """What the caller has done with its side of the connection."""

    OPEN = auto()
    ENDED = auto()  # it sends nothing more, and may still listen
    RESET = auto()  # the connection was reset, or is closed in both directions


class InputEnd:
    """Asks the system about one socket, without waiting and without taking anything."""

    def __init__(self, descriptor: int) -> None:
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLRDHUP)

    def state(self) -> InputState:
        """The state of the caller's side now."""
        events = sum(events for _, events in self.poll.poll(0.0))
        if events & RESET_EVENTS:
            return InputState.RESET
        return InputState.ENDED if events & select.POLLRDHUP else InputState.OPEN
