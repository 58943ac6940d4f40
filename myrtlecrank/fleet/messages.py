"""All that members of a fleet say to each other, as one tagged union."""

from __future__ import annotations

from msgspec import Struct

from myrtlecrank.fleet.membership.messages import Ack, Ping, PingFor, Swap
from myrtlecrank.fleet.monitor.messages import Told, Watched
from myrtlecrank.fleet.register.messages import Ask, Known, Rejoin, Seated, Vote

VERSION = 2  # of all of this; a peer of another one is refused


class Hello(Struct, frozen=True, tag=True):
    """First on each link, both ways."""

    version: int
    fleet: str
    name: str


class Asked(Struct, frozen=True, tag=True):
    """A question to a voter. `call` and `round` come back with the vote, by which late ones are known;
    `mark` is that of the roster that it is asked under."""

    call: int
    round: int
    mark: str
    ask: Ask


class Voted(Struct, frozen=True, tag=True):
    call: int
    round: int
    vote: Vote


class Offered(Struct, frozen=True, tag=True):
    """A duty was given up for the one that hears this; only a hint to look at the record now."""

    duty: str


class Tell(Struct, frozen=True, tag=True):
    """An operator asks: members, owners or register."""

    what: str


class StepDown(Struct, frozen=True, tag=True):
    """An operator has the owner that hears this give a duty up."""

    duty: str


Row = dict[str, str | int | float | bool | None]


class Reseat(Struct, frozen=True, tag=True):
    """An operator has voters replaced; both lists empty: has a change that stands half-way ended."""

    drop: list[str]
    add: list[str]


class Report(Struct, frozen=True, tag=True):
    """The answer to an operator: rows for a table, or one line on what is wrong."""

    rows: list[Row]
    wrong: str = ""


Message = (
    Watched
    | Told
    | Hello
    | Asked
    | Voted
    | Rejoin
    | Known
    | Seated
    | Offered
    | Ping
    | PingFor
    | Ack
    | Swap
    | Tell
    | StepDown
    | Reseat
    | Report
)
