"""A ring buffer of bytes for one direction of a connection."""

from __future__ import annotations

SHRINK_FACTOR = 8  # an empty buffer above this multiple of its initial size gives its memory back


class RingBuffer:
    """A byte queue that starts small, doubles when it is full and shrinks once it has run empty."""

    def __init__(self, initial_bytes: int = 512) -> None:
        self._initial_bytes = initial_bytes
        self._store = bytearray(initial_bytes)
        self._head = 0
        self._used = 0

    def __len__(self) -> int:
        return self._used

    @property
    def capacity(self) -> int:
        """The number of bytes that fit before the buffer grows."""
        return len(self._store)

    def writable_view(self, min_bytes: int = 1) -> memoryview:
        """Returns the free bytes behind the contents that lie in one piece.

        Grows the buffer until at least `min_bytes` are free in total; the piece itself holds at least one.
        """
        if len(self._store) - self._used < min_bytes:
            self._grow(self._used + min_bytes)
        tail = (self._head + self._used) % len(self._store)
        end = self._head if tail < self._head else len(self._store)
        return memoryview(self._store)[tail:end]

    def mark_written(self, count: int) -> None:
        """Adds `count` bytes that were written into writable_view() to the contents."""
        self._used += count

    def append(self, data: bytes) -> None:
        """Appends a copy of `data`, growing the buffer if it doesn't fit."""
        if len(self._store) - self._used < len(data):
            self._grow(self._used + len(data))
        size = len(self._store)
        tail = (self._head + self._used) % size
        first = min(len(data), size - tail)
        self._store[tail : tail + first] = data[:first]
        self._store[: len(data) - first] = data[first:]
        self._used += len(data)

    def readable_view(self) -> memoryview:
        """Returns the first contents that lie in one piece, for sending without a copy."""
        return memoryview(self._store)[self._head : min(self._head + self._used, len(self._store))]

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Returns a copy of up to `count` bytes from `offset` on and leaves them in the buffer."""
        count = min(count, self._used - offset)
        if count <= 0:
            return b""
        size = len(self._store)
        begin = (self._head + offset) % size
        with memoryview(self._store) as store:
            if begin + count <= size:
                return bytes(store[begin : begin + count])
            return b"".join((store[begin:], store[: begin + count - size]))

    def discard(self, count: int) -> None:
        """Drops the first `count` bytes, which must be in the buffer."""
        self._head = (self._head + count) % len(self._store)
        self._used -= count
        if not self._used:
            self._head = 0
            if len(self._store) > SHRINK_FACTOR * self._initial_bytes:
                self._store = bytearray(self._initial_bytes)

    def read(self, count: int) -> bytes:
        """Removes and returns up to `count` bytes."""
        data = self.peek(count)
        self.discard(len(data))
        return data

    def _grow(self, needed_bytes: int) -> None:
        contents = self.peek(self._used)
        size = len(self._store)
        while size < needed_bytes:
            size *= 2
        self._store = bytearray(size)
        self._store[: len(contents)] = contents
        self._head = 0
