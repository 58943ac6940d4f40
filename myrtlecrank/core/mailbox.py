"""Mailboxes: how the actors of the program speak with each other."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import gevent
from gevent import get_hub
from gevent.event import Event
from gevent.hub import Waiter

Message = TypeVar("Message")


class Mailbox(Generic[Message]):
    """One actor reads it. Bounded for those who bring something new: put() waits for room. What answers
    something that was counted on its way in goes by post(), which never waits, so that two actors cannot wait
    for each other."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._letters: deque[Message] = deque()
        self._reader: Waiter[None] | None = None  # the actor, while it waits
        self._room = Event()

    def __len__(self) -> int:
        return len(self._letters)

    def post(self, letter: Message) -> None:
        self._letters.append(letter)
        if self._reader is not None:
            self.wake()

    def put(self, letter: Message) -> None:
        while len(self._letters) >= self.bound:
            self._room.clear()
            self._room.wait()
        self.post(letter)

    def wake(self) -> None:
        """Lets the actor go on, with no letter if none has come."""
        reader, self._reader = self._reader, None
        if reader is not None:
            get_hub().loop.run_callback(reader.switch, None)

    def take(self, timeout_ms: float | None = None, most: int | None = None) -> list[Message]:
        """All that is there, or the first `most`, after waiting for something; nothing when the time is over
        or wake() was called."""
        if not self._letters:
            reader: Waiter[None] = Waiter()
            self._reader = reader
            limit = None if timeout_ms is None else gevent.Timeout.start_new(max(0.0, timeout_ms / 1000.0))
            try:
                reader.get()
            except gevent.Timeout as over:
                if over is not limit:
                    raise
            finally:
                if limit is not None:
                    limit.close()
            self._reader = None
        if most is None or len(self._letters) <= most:
            letters = list(self._letters)
            self._letters.clear()
        else:
            letters = [self._letters.popleft() for _ in range(most)]
        self._room.set()
        return letters
