"""How many connections and open exchanges the edge may hold, from the limits of the process.

Each connection and each exchange has a greatest size, by the limits of the codec and of the connection; the
numbers are such that all of them together fit into the process's memory."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecrank.core.result_cache import CACHE_MAX_BYTES
from myrtlecrank.frames import codec

RESERVED_SOCKETS = 24  # for the agent, the membership list and the interpreter's files: some ten are used
DEFAULT_MEMORY_MB = 192.0  # where the configuration states none
BYTES_PER_MB = 1_000_000
PROGRAM_BYTES = 40 * BYTES_PER_MB  # the interpreter, the modules and all that doesn't grow
CACHE_SHARE = 0.25  # of the memory, for cached results where that is less than their own limit
LARGE_FRAME_SHARE = 1.0 / 16.0  # of the memory, for all large frames that have not arrived whole
CONNECTION_SHARE = 0.5  # of what is left, for connections without their exchanges
OBJECT_BYTES = 4096  # of a connection's or an exchange's own objects, timers and table entries
RING_FACTOR = 2  # a ring doubles, so it may hold up to twice its contents
MAX_UNSENT_BYTES = codec.MAX_RESULT_BYTES  # what a slow reader may leave unsent before we stop reading it
CONNECTION_BYTES = RING_FACTOR * (codec.SMALL_FRAME_BYTES + MAX_UNSENT_BYTES) + OBJECT_BYTES
EXCHANGE_BYTES = (
    codec.MAX_REQUEST_BODY_BYTES
    + codec.MAX_SUBJECT_BYTES
    + RING_FACTOR * codec.MAX_RESULT_BYTES
    + OBJECT_BYTES
)
MIN_CONNECTIONS = 16
MIN_OPEN_EXCHANGES = 64


@dataclass(frozen=True, slots=True)
class EdgeLimits:
    """Figures that the edge never exceeds."""

    max_connections: int
    max_open_exchanges: int  # read and not yet answered, over all connections
    large_frame_bytes: int  # reserved for all large frames that have not arrived whole

    @property
    def most_bytes(self) -> int:
        """The most memory that the edge takes within these limits."""
        return (
            self.max_connections * CONNECTION_BYTES
            + self.max_open_exchanges * EXCHANGE_BYTES
            + RING_FACTOR * self.large_frame_bytes
        )


def edge_limits(sockets: int, memory_mb: float = DEFAULT_MEMORY_MB) -> EdgeLimits:
    """The limits of a process that may hold so many descriptors and so much memory."""
    memory_bytes = memory_mb * BYTES_PER_MB
    large_frame_bytes = int(LARGE_FRAME_SHARE * memory_bytes / RING_FACTOR)
    cache_bytes = min(CACHE_MAX_BYTES, CACHE_SHARE * memory_bytes)
    available = memory_bytes - PROGRAM_BYTES - cache_bytes - RING_FACTOR * large_frame_bytes
    by_memory = int(CONNECTION_SHARE * available / CONNECTION_BYTES)
    connections = max(1, min(sockets - RESERVED_SOCKETS, max(MIN_CONNECTIONS, by_memory)))
    exchanges = int((available - connections * CONNECTION_BYTES) / EXCHANGE_BYTES)
    most_exchanges = connections * codec.MAX_OPEN_STREAMS
    return EdgeLimits(connections, min(most_exchanges, max(MIN_OPEN_EXCHANGES, exchanges)), large_frame_bytes)


class BufferPool:
    """Memory that several connections share for what they may hold only in part."""

    def __init__(self, size_bytes: int) -> None:
        self.free_bytes = size_bytes

    def reserve(self, byte_count: int) -> bool:
        """Takes so many bytes, if they are free. Returns whether they were."""
        if byte_count > self.free_bytes:
            return False
        self.free_bytes -= byte_count
        return True

    def release(self, byte_count: int) -> None:
        """Gives back what was reserved."""
        self.free_bytes += byte_count
