"""A ring buffer of bytes for one direction of a connection."""

from __future__ import annotations


class Ring:
    """Starts small, doubles when full, and gives the memory back once it has run empty."""

    def __init__(self, start: int = 512) -> None:
        self._start = start
        self._store = bytearray(start)
        self._head = 0
        self._used = 0

    def __len__(self) -> int:
        return self._used

    @property
    def capacity(self) -> int:
        return len(self._store)

    def room(self, least: int = 1) -> memoryview:
        """The free bytes that follow what is held, in one piece; at least one, after growing if need be."""
        if len(self._store) - self._used < least:
            self._grow(self._used + least)
        tail = (self._head + self._used) % len(self._store)
        end = self._head if tail < self._head else len(self._store)
        return memoryview(self._store)[tail:end]

    def wrote(self, count: int) -> None:
        """Counts bytes that were put into room()."""
        self._used += count

    def append(self, data: bytes) -> None:
        if len(self._store) - self._used < len(data):
            self._grow(self._used + len(data))
        size = len(self._store)
        tail = (self._head + self._used) % size
        first = min(len(data), size - tail)
        self._store[tail : tail + first] = data[:first]
        self._store[: len(data) - first] = data[first:]
        self._used += len(data)

    def data(self) -> memoryview:
        """What can be sent in one piece."""
        return memoryview(self._store)[self._head : min(self._head + self._used, len(self._store))]

    def peek(self, count: int, at: int = 0) -> bytes:
        """A copy of up to `count` bytes from `at` on, which stay."""
        count = min(count, self._used - at)
        if count <= 0:
            return b""
        size = len(self._store)
        begin = (self._head + at) % size
        with memoryview(self._store) as store:
            if begin + count <= size:
                return bytes(store[begin : begin + count])
            return b"".join((store[begin:], store[: begin + count - size]))

    def skip(self, count: int) -> None:
        self._head = (self._head + count) % len(self._store)
        self._used -= count
        if not self._used:
            self._head = 0
            if len(self._store) > 8 * self._start:
                self._store = bytearray(self._start)

    def take(self, count: int) -> bytes:
        out = self.peek(count)
        self.skip(len(out))
        return out

    def _grow(self, need: int) -> None:
        held = self.peek(self._used)
        size = len(self._store)
        while size < need:
            size *= 2
        self._store = bytearray(size)
        self._store[: len(held)] = held
        self._head = 0
