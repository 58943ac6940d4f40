"""A voter's memory on disk: one versioned and checksummed file, replaced as a whole by write, flush and
rename.

A file that is torn, or belongs to another fleet or voter, differs from a missing one in the log line alone:
in each case the voter has no memory and abstains until it has rejoined."""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Iterable

import msgspec
import xxhash
from msgspec import Struct, field

from myrtlecrank.fleet.register.messages import Memory, Slot
from myrtlecrank.fleet.register.voter_set import founding_voter_set

MAGIC = b"MCVT"
FORMAT_VERSION = 2
PREVIOUS_FORMAT_VERSION = 1
HEADER = struct.Struct("<4sHQ16s")  # magic, format version, length of the body, xxh3-128 of the body
MAX_FILE_BYTES = 64 * 1024 * 1024  # bounds what is read of a file that no voter can have written


class MemoryVersion1(Struct):
    """A memory of format version 1: the founding voters, and no identities."""

    fleet: str
    voter: str
    boot: int
    slots: dict[str, Slot]
    known_boots: dict[str, int] = field(name="boots")
    voters: list[str] = []

    def upgraded(self) -> Memory:
        """The same memory in the present format."""
        voter_set = founding_voter_set(self.voters)
        return Memory(self.fleet, self.voter, self.boot, self.slots, self.known_boots, voter_set)


class UnusableFileError(Exception):
    """The file exists and is not usable; the text says why in one line."""


def encode(memory: Memory) -> bytes:
    """The content of the file."""
    body = msgspec.msgpack.encode(memory)
    return HEADER.pack(MAGIC, FORMAT_VERSION, len(body), xxhash.xxh3_128_digest(body)) + body


def decode(raw: bytes) -> Memory:
    """The memory in the content of a file. Raises UnusableFileError if it is not usable."""
    if len(raw) < HEADER.size:
        raise UnusableFileError(f"is {len(raw)} bytes long, shorter than its header of {HEADER.size}")
    magic, version, length, digest = HEADER.unpack_from(raw)
    body = raw[HEADER.size :]
    if magic != MAGIC:
        raise UnusableFileError(f"is no voter's memory: it begins with {magic!r}, not {MAGIC!r}")
    if version not in (FORMAT_VERSION, PREVIOUS_FORMAT_VERSION):
        raise UnusableFileError(
            f"has version {version}; this program reads {FORMAT_VERSION} and {PREVIOUS_FORMAT_VERSION}"
        )
    if length != len(body) or xxhash.xxh3_128_digest(body) != digest:
        raise UnusableFileError("is torn: its length or its checksum does not match its header")
    try:
        if version == PREVIOUS_FORMAT_VERSION:
            return msgspec.msgpack.decode(body, type=MemoryVersion1).upgraded()
        return msgspec.msgpack.decode(body, type=Memory)
    except (msgspec.MsgspecError, ValueError) as error:
        raise UnusableFileError(f"does not hold a voter's state: {error}") from None


class VoterFile:
    """The file of one voter. `folder` must last over restarts and be on one file system, as a rename ends
    each write."""

    def __init__(self, folder: str, fleet: str, voter: str) -> None:
        self.path = os.path.join(folder, f"voter-{voter}.state")
        self.folder = folder
        self.fleet = fleet
        self.voter = voter

    def load(self) -> Memory | None:
        """The stored memory; None if there is no file. Raises UnusableFileError if the file is not usable."""
        try:
            with open(self.path, "rb") as file:
                raw = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise UnusableFileError(f"cannot be read: {error.strerror}") from None
        if len(raw) > MAX_FILE_BYTES:
            raise UnusableFileError(f"is longer than {MAX_FILE_BYTES} bytes")
        memory = decode(raw)
        if (memory.fleet, memory.voter) != (self.fleet, self.voter):
            raise UnusableFileError(f"belongs to voter {memory.voter!r} of fleet {memory.fleet!r}")
        return memory

    def save(self, memory: Memory) -> bool:
        """Replaces the file; True once its content and its name are durable.

        False if the disk refuses; the old file then stays."""
        return self.write(encode(memory))

    def write(self, raw: bytes) -> bool:
        """Like save(), for bytes from encode(). It touches no object of the caller, so a thread may run
        it."""
        new_path = self.path + ".new"
        try:
            with open(new_path, "wb") as file:
                file.write(raw)
                file.flush()
                os.fsync(file.fileno())
            os.replace(new_path, self.path)
            folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(new_path)
            return False
        return True

    def create(self, voters: Iterable[str]) -> None:
        """Writes the first, empty memory of a voter of a new fleet.

        Only an operator calls for this: a voter that made a new memory by itself after a loss would break its
        promises. Raises FileExistsError if there is a file, OSError if the write fails, and ValueError if the
        number of voters is even."""
        if os.path.exists(self.path):
            raise FileExistsError(f"{self.path} exists already")
        if not self.save(Memory(self.fleet, self.voter, 0, {}, {}, founding_voter_set(voters))):
            raise OSError(f"{self.path} cannot be written")
