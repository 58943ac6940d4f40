"""A voter's memory on disk: one file, versioned and checksummed, replaced whole by write, flush and rename.

A file that is torn, of another fleet or of another voter is told apart from one that is missing only in the
log line: in each case the voter has no memory and abstains until it has rejoined."""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Iterable

import msgspec
import xxhash
from msgspec import Struct

from myrtlecrank.fleet.register.messages import Memory, Slot
from myrtlecrank.fleet.register.voter_set import founding

MAGIC, VERSION, BEFORE = b"MCVT", 2, 1
HEADER = struct.Struct("<4sHQ16s")  # magic, version, length of what follows, its xxh3-128
LONGEST = 64 * 1024 * 1024  # bytes; guards against a header that announces more than a voter can have written


class MemoryBefore(Struct):
    """What version 1 held: the founders, and no seats."""

    fleet: str
    voter: str
    boot: int
    slots: dict[str, Slot]
    boots: dict[str, int]
    voters: list[str] = []

    def now(self) -> Memory:
        return Memory(self.fleet, self.voter, self.boot, self.slots, self.boots, founding(self.voters))


class TornError(Exception):
    """The file is there and can't be used; the text says why in one line."""


def encode(memory: Memory) -> bytes:
    body = msgspec.msgpack.encode(memory)
    return HEADER.pack(MAGIC, VERSION, len(body), xxhash.xxh3_128_digest(body)) + body


def decode(raw: bytes) -> Memory:
    """Raises TornError."""
    if len(raw) < HEADER.size:
        raise TornError(f"is {len(raw)} bytes long, shorter than its header")
    magic, version, length, digest = HEADER.unpack_from(raw)
    body = raw[HEADER.size :]
    if magic != MAGIC:
        raise TornError("is no voter's memory")
    if version not in (VERSION, BEFORE):
        raise TornError(f"has version {version}; this program reads {VERSION} and {BEFORE}")
    if length != len(body) or xxhash.xxh3_128_digest(body) != digest:
        raise TornError("is torn: its checksum does not fit")
    try:
        if version == BEFORE:
            return msgspec.msgpack.decode(body, type=MemoryBefore).now()
        return msgspec.msgpack.decode(body, type=Memory)
    except (msgspec.MsgspecError, ValueError) as error:
        raise TornError(f"does not hold what it should: {error}") from None


class Disk:
    """`folder` must last over restarts and be on one file system, since a rename ends each write."""

    def __init__(self, folder: str, fleet: str, voter: str) -> None:
        self.path = os.path.join(folder, f"voter-{voter}.state")
        self.folder, self.fleet, self.voter = folder, fleet, voter

    def load(self) -> Memory | None:
        """None where there is no file. Raises TornError."""
        try:
            with open(self.path, "rb") as file:
                raw = file.read(LONGEST + 1)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise TornError(f"cannot be read: {error.strerror}") from None
        if len(raw) > LONGEST:
            raise TornError(f"is longer than {LONGEST} bytes")
        memory = decode(raw)
        if (memory.fleet, memory.voter) != (self.fleet, self.voter):
            raise TornError(f"belongs to voter {memory.voter!r} of fleet {memory.fleet!r}")
        return memory

    def keep(self, memory: Memory) -> bool:
        """True once it is durable: the bytes, and the name that stands for them. False, and the old file
        stands, where the disk refuses."""
        return self.write(encode(memory))

    def write(self, raw: bytes) -> bool:
        """The same of bytes that encode() made: touches no object of the caller's, so a thread may run it."""
        new = self.path + ".new"
        try:
            with open(new, "wb") as file:
                file.write(raw)
                file.flush()
                os.fsync(file.fileno())
            os.replace(new, self.path)
            folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(new)
            return False
        return True

    def found(self, voters: Iterable[str]) -> None:
        """The first memory of a voter of a new fleet, empty. Never by itself: a voter that made its own after
        a loss would have forgotten. Raises FileExistsError, OSError, ValueError."""
        if os.path.exists(self.path):
            raise FileExistsError(f"{self.path} is there already")
        if not self.keep(Memory(self.fleet, self.voter, 0, {}, {}, founding(voters))):
            raise OSError(f"{self.path} cannot be written")
