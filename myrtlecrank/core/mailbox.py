"""Mailboxes: the queues through which the actors of the program send messages to each other."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import gevent
from gevent import get_hub
from gevent.event import Event
from gevent.hub import Waiter

Message = TypeVar("Message")


class Mailbox(Generic[Message]):
    """A queue with many senders and one actor that reads it.

    New work goes in by put(), which waits while the mailbox is full. Replies to work that was counted on its
    way in go by post(), which never waits, so that two actors cannot block each other."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._messages: deque[Message] = deque()
        self._reader: Waiter[None] | None = None  # the actor, while it waits
        self._has_capacity = Event()

    def __len__(self) -> int:
        return len(self._messages)

    def post(self, message: Message) -> None:
        """Adds a message without waiting, beyond the capacity if need be."""
        self._messages.append(message)
        if self._reader is not None:
            self.wake()

    def put(self, message: Message) -> None:
        """Adds a message, after waiting while the mailbox is full."""
        while len(self._messages) >= self.capacity:
            self._has_capacity.clear()
            self._has_capacity.wait()
        self.post(message)

    def wake(self) -> None:
        """Ends the wait of take(), which returns an empty list if there is no message."""
        reader, self._reader = self._reader, None
        if reader is not None:
            get_hub().loop.run_callback(reader.switch, None)

    def take(self, timeout_ms: float | None = None, max_count: int | None = None) -> list[Message]:
        """Returns all messages, or the first `max_count`, after waiting for at least one. Returns an empty
        list after `timeout_ms` or a call of wake()."""
        if not self._messages:
            reader: Waiter[None] = Waiter()
            self._reader = reader
            timeout = None if timeout_ms is None else gevent.Timeout.start_new(max(0.0, timeout_ms / 1000.0))
            try:
                reader.get()
            except gevent.Timeout as expired:
                if expired is not timeout:
                    raise
            finally:
                if timeout is not None:
                    timeout.close()
            self._reader = None
        if max_count is None or len(self._messages) <= max_count:
            messages = list(self._messages)
            self._messages.clear()
        else:
            messages = [self._messages.popleft() for _ in range(max_count)]
        self._has_capacity.set()
        return messages
