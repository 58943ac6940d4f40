"""What the register's parties say to each other and keep. Typed structs, so that one library checks them on
their way in."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct

from myrtlecrank.fleet.register.voter_set import GUESS, Roster


class Ballot(Struct, frozen=True, order=True, omit_defaults=True):
    """Orders all attempts to change a record. `by` is new with each start of a proposer: a number that two
    starts of one process both use would let two values stand under one ballot."""

    number: int = 0
    by: str = ""


class Record(Struct, frozen=True, omit_defaults=True):
    """What a key holds. Version 0 stands for a key that nobody has written.

    `writer` names the one call that wrote it, by which a proposer knows its own change again after a reply
    was lost."""

    version: int = 0
    value: bytes = b""
    writer: str = ""


NOTHING = Record()
LONGEST_KEY, LONGEST_VALUE = 200, 4096  # characters, bytes: a voter keeps all records in memory


class Prepare(Struct, frozen=True, tag=True):
    key: str
    ballot: Ballot


class Glance(Struct, frozen=True, tag=True):
    """What does the voter hold of this key? Promises nothing and is no read."""

    key: str


class Accept(Struct, frozen=True, tag=True):
    key: str
    ballot: Ballot
    record: Record


class Keys(Struct, frozen=True, tag=True):
    """Which keys does the voter hold anything of?"""


class Enlist(Struct, frozen=True, tag=True):
    """Begin as a new voter, with an empty memory and a seat that no voter ever had. `token` is new with each
    attempt: what comes twice must not seat it twice."""

    token: str


Ask = Prepare | Accept | Glance | Keys | Enlist


class Vote(Struct, frozen=True, tag=True, omit_defaults=True):
    """A voter's answer. Where `granted` is false, `ballot` is the one that stood above, or `roster` the one
    that the voter goes by where that is another than it was asked under.

    `boots` is how often each voter is known to have come up without its memory (see Voter)."""

    voter: str
    boot: int
    granted: bool
    ballot: Ballot = Ballot()
    accepted: Ballot = Ballot()
    record: Record = NOTHING
    boots: dict[str, int] = {}
    seat: str = ""
    roster: Roster | None = None
    keys: list[str] = []


class Slot(Struct, omit_defaults=True):
    """What a voter keeps of one key."""

    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    record: Record = NOTHING


class Rejoin(Struct, frozen=True, tag=True):
    """A voter that can't prove its memory whole asks all the others what they know, under its new boot."""

    voter: str
    boot: int


class Known(Struct, frozen=True, tag=True):
    """Answer to Rejoin: all slots of a voter. `asked` is the boot in the question, `before` the highest boot
    of the one that asks which was known before it."""

    voter: str
    boot: int
    asked: int
    before: int
    slots: dict[str, Slot]
    boots: dict[str, int]
    roster: Roster = GUESS


class Seated(Struct, frozen=True, tag=True):
    """A roster that was chosen, for whoever goes by an older one."""

    roster: Roster


class Memory(Struct):
    """All that a voter must not forget. Durable before anything that depends on it is told."""

    fleet: str
    voter: str
    boot: int
    slots: dict[str, Slot]
    boots: dict[str, int]
    roster: Roster = GUESS  # the newest that it has heard of
    seat: str = ""  # its own; those of the founders are empty
    token: str = ""  # by which it was enlisted last


VOTERS = "fleet/voters"  # the record that holds the roster; no duty of the operators has a slash in its name


class Result(Enum):
    DONE = "done"  # the change stands
    CONFLICT = "conflict"  # another version stands, and nothing of ours was proposed
    UNKNOWN = "unknown"  # it may stand now, or later, or never: read again
    AWAY = "away"  # no majority answered, and nothing of ours was proposed


class Outcome(Struct, frozen=True):
    """How a call ended, and the record that stood when it did (NOTHING where that is not known)."""

    result: Result
    record: Record = NOTHING


class Register(Protocol):
    """The interface of every backing. Both calls wait, with a bound, and raise ValueError on a key or a value
    that is too long."""

    def read(self, key: str) -> Outcome:
        """DONE with the record that stands at some instant between call and return, else AWAY."""

    def glance(self, key: str) -> Outcome:
        """Cheap: DONE with a record that somebody wrote or tried to write before the return. It may be old,
        and need never have stood; only a change over it tells."""

    def change(self, key: str, over: Record, value: bytes) -> Outcome:
        """Sets the value where that very record stands, as one step; then the version is one higher. A record
        is known by its writer: two calls may have tried for one version."""


def sized(key: str, value: bytes = b"") -> None:
    if not key or len(key) > LONGEST_KEY:
        raise ValueError(f"a key has 1 to {LONGEST_KEY} characters, not {len(key)}")
    if len(value) > LONGEST_VALUE:
        raise ValueError(f"a value has at most {LONGEST_VALUE} bytes, not {len(value)}")
