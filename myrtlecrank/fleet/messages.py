"""All messages on the peer links of a fleet, as one tagged union. Class tags and field names given as
strings are those on the wire."""

from __future__ import annotations

from msgspec import Struct, field

from myrtlecrank.fleet.membership.messages import Ack, Ping, PingRequest, StateExchange
from myrtlecrank.fleet.monitor.messages import FleetView, GaugesReply
from myrtlecrank.fleet.register.messages import Rejoin, RejoinAnswer, Vote, VoterOperation, VoterSetNotice

VERSION = 2  # of the protocol as a whole; a peer with another version is refused


class Hello(Struct, frozen=True, tag=True):
    """The first message on each link, in both directions."""

    version: int
    fleet: str
    name: str


class VoterRequest(Struct, frozen=True, tag="Asked"):
    """A request to a voter.

    The vote carries `call` and `round` back, which identifies late votes. `roster_mark` identifies the voter
    set under which the request is made."""

    call: int
    round: int
    roster_mark: str = field(name="mark")
    ask: VoterOperation


class VoterReply(Struct, frozen=True, tag="Voted"):
    """A voter's answer to a VoterRequest with the same `call` and `round`."""

    call: int
    round: int
    vote: Vote


class DutyOffered(Struct, frozen=True, tag="Offered"):
    """The owner gave a duty up in favour of the receiver. Only a hint to read the duty's record now."""

    duty: str


class Query(Struct, frozen=True, tag="Tell"):
    """An operator asks for the rows of one subject: members, owners, view, voters or register."""

    subject: str = field(name="what")


class StepDown(Struct, frozen=True, tag=True):
    """An operator makes the receiver, which owns the duty, give it up."""

    duty: str


Row = dict[str, str | int | float | bool | None]


class ReplaceVoters(Struct, frozen=True, tag="Reseat"):
    """An operator replaces voters. With both lists empty, a change that is incomplete is completed."""

    drop: list[str]
    add: list[str]


class Report(Struct, frozen=True, tag=True):
    """The answer to an operator: the rows of a table, or one line that says what is wrong."""

    rows: list[Row]
    error: str = field(default="", name="wrong")


Message = (
    FleetView
    | GaugesReply
    | Hello
    | VoterRequest
    | VoterReply
    | Rejoin
    | RejoinAnswer
    | VoterSetNotice
    | DutyOffered
    | Ping
    | PingRequest
    | Ack
    | StateExchange
    | Query
    | StepDown
    | ReplaceVoters
    | Report
)
