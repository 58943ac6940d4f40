"""Messages between proposers and voters, the voter's stored state, and the interface of a register.

All are typed structs, so that msgspec checks them when they are decoded. Tags and field names are part of the
protocol between members and of the file format: a class or a field with another name in the code keeps its
outer name by `tag=` or `field(name=...)`."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct, field

from myrtlecrank.fleet.register.voter_set import UNKNOWN_VOTER_SET, VoterSet

MAX_KEY_CHARACTERS = 200
MAX_VALUE_BYTES = 4096  # a voter keeps all records in memory

VOTER_SET_KEY = "fleet/voters"  # the slash keeps it apart from the duties of the operators' file


class Ballot(Struct, frozen=True, order=True, omit_defaults=True):
    """A ballot number; orders all attempts to change a record.

    `proposer` is new with each start of a proposer: if two starts of one process used one ballot, two values
    could be chosen under it."""

    number: int = 0
    proposer: str = field(default="", name="by")


class Record(Struct, frozen=True, omit_defaults=True):
    """The value of a key. Version 0 means that nobody has written the key.

    `writer` names the one call that wrote the record. By it a proposer recognizes its own change after a
    reply was lost."""

    version: int = 0
    value: bytes = b""
    writer: str = ""


EMPTY_RECORD = Record()


class Prepare(Struct, frozen=True, tag=True):
    """The first phase of a ballot: asks for a promise and for the record that was accepted last."""

    key: str
    ballot: Ballot


class UnverifiedRead(Struct, frozen=True, tag="Glance"):
    """Asks for the state that the voter holds of a key. It makes no promise and is not a linearizable
    read."""

    key: str


class Accept(Struct, frozen=True, tag=True):
    """The second phase of a ballot: asks the voter to accept the record."""

    key: str
    ballot: Ballot
    record: Record


class ListKeys(Struct, frozen=True, tag="Keys"):
    """Asks for all keys of which the voter holds any state."""


class AddVoter(Struct, frozen=True, tag="Enlist"):
    """Asks the receiver to start as a new voter, with an empty memory and an identity that no voter ever had.

    `token` is new with each attempt: a message that is delivered twice must not give two identities."""

    token: str


VoterOperation = Prepare | Accept | UnverifiedRead | ListKeys | AddVoter


class Vote(Struct, frozen=True, tag=True, omit_defaults=True):
    """A voter's answer.

    If `granted` is false, `ballot` is the higher ballot that the voter has promised, or `voter_set` is the
    voter set that it uses if the request was made under another one. `known_boots` is the highest boot number
    that the voter knows of each other voter (see Voter)."""

    voter: str
    boot: int
    granted: bool
    ballot: Ballot = Ballot()
    accepted: Ballot = Ballot()
    record: Record = EMPTY_RECORD
    known_boots: dict[str, int] = field(default_factory=dict, name="boots")
    identity: str = field(default="", name="seat")
    voter_set: VoterSet | None = field(default=None, name="roster")
    keys: list[str] = []


class Slot(Struct, omit_defaults=True):
    """A voter's Paxos state of one key."""

    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    record: Record = EMPTY_RECORD


class Rejoin(Struct, frozen=True, tag=True):
    """Asks all other voters for their state, on behalf of a voter that cannot prove that its memory is
    current.

    `boot` is its new boot number."""

    voter: str
    boot: int


class RejoinAnswer(Struct, frozen=True, tag="Known"):
    """Answer to Rejoin: the whole state of a voter.

    `requested_boot` is the boot number in the request, `previous_boot` the highest boot number of the
    requester that was known before the request."""

    voter: str
    boot: int
    requested_boot: int = field(name="asked")
    previous_boot: int = field(name="before")
    slots: dict[str, Slot]
    known_boots: dict[str, int] = field(name="boots")
    voter_set: VoterSet = field(default=UNKNOWN_VOTER_SET, name="roster")


class VoterSetNotice(Struct, frozen=True, tag="Seated"):
    """A voter set that was chosen, sent to a member that uses an older one."""

    voter_set: VoterSet = field(name="roster")


class Memory(Struct):
    """The state that a voter must not forget. It is durable before any message that depends on it is sent.

    `voter_set` is the newest voter set that the voter has received. `identity` is the voter's own identity,
    empty for the founding voters. `token` is that of the last request by which it was added."""

    fleet: str
    voter: str
    boot: int
    slots: dict[str, Slot]
    known_boots: dict[str, int] = field(name="boots")
    voter_set: VoterSet = field(default=UNKNOWN_VOTER_SET, name="roster")
    identity: str = field(default="", name="seat")
    token: str = ""


class Result(Enum):
    """How a call to the register ended."""

    DONE = "done"  # the change was chosen
    CONFLICT = "conflict"  # another version was chosen; nothing of this call was proposed
    UNKNOWN = "unknown"  # the change may be chosen now, later or never: read again
    UNAVAILABLE = "away"  # no majority answered, and nothing of this call was proposed


class Outcome(Struct, frozen=True):
    """The result of a call, and the record that was current when it ended (EMPTY_RECORD if that is
    unknown)."""

    result: Result
    record: Record = EMPTY_RECORD


class Register(Protocol):
    """The interface of every implementation of the register.

    Each call blocks for a bounded time, and raises ValueError if the key or the value is too long."""

    def read(self, key: str) -> Outcome:
        """DONE with the record that was current at some instant between call and return, else UNAVAILABLE."""

    def read_unverified(self, key: str) -> Outcome:
        """A cheap read: DONE with a record that somebody wrote or tried to write before the return.

        The record may be old, and may never have been chosen; only a change over it tells."""

    def compare_and_set(self, key: str, expected: Record, value: bytes) -> Outcome:
        """Sets the value atomically if `expected` is the current record; the version then grows by one.

        Records are compared by their writer, as two calls may have proposed records of one version."""


def check_size(key: str, value: bytes = b"") -> None:
    """Raises ValueError if the key or the value is too long, or the key is empty."""
    if not key or len(key) > MAX_KEY_CHARACTERS:
        raise ValueError(f"a key has 1 to {MAX_KEY_CHARACTERS} characters, not {len(key)}")
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"a value has at most {MAX_VALUE_BYTES} bytes, not {len(value)}")
