"""Mailboxes: how the actors of the program speak with each other."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

from gevent.event import Event

Message = TypeVar("Message")


class Mailbox(Generic[Message]):
    """Bounded for those who bring something new: put() waits for room. What answers something that was
    counted on its way in goes by post(), which never waits, so that two actors cannot wait for each other."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._letters: deque[Message] = deque()
        self._filled, self._room = Event(), Event()

    def __len__(self) -> int:
        return len(self._letters)

    def post(self, letter: Message) -> None:
        self._letters.append(letter)
        self._filled.set()

    def put(self, letter: Message) -> None:
        while len(self._letters) >= self.bound:
            self._room.clear()
            self._room.wait()
        self.post(letter)

    def take(self, timeout_ms: float | None = None) -> list[Message]:
        """All that is there, after waiting for something; nothing when the time is over."""
        if not self._letters:
            self._filled.clear()
            self._filled.wait(None if timeout_ms is None else max(0.0, timeout_ms / 1000.0))
        letters = list(self._letters)
        self._letters.clear()
        self._filled.clear()
        self._room.set()
        return letters
