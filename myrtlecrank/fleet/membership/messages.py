"""The messages of the membership protocol. Class tags and field names given as strings are those on the
wire."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct, field


class State(IntEnum):
    """State of a member. Of two updates with the same incarnation, the one with the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class MemberUpdate(Struct, frozen=True):
    """The state of one member as some member reported it.

    `suspected_by` names the member that raised the suspicion, so that independent suspicions can be
    counted."""

    name: str
    address: tuple[str, int]
    zone: str
    incarnation: int
    state: State
    eligible: bool = field(default=True, name="fit")  # may own duties: not leaving, cold or under duress
    suspected_by: str = field(default="", name="by")


class Ping(Struct, frozen=True, tag=True):
    """A direct probe; answered by an Ack with the same `seq`."""

    seq: int
    updates: list[MemberUpdate] = field(name="rumours")


class PingRequest(Struct, frozen=True, tag="PingFor"):
    """Asks a third member to probe `target`, which has not answered the sender's own ping."""

    seq: int
    target: str
    updates: list[MemberUpdate] = field(name="rumours")


class Ack(Struct, frozen=True, tag=True):
    """The answer to a Ping or, from the helper that was asked, to a PingRequest."""

    seq: int
    updates: list[MemberUpdate] = field(name="rumours")


class StateExchange(Struct, frozen=True, tag="Swap"):
    """The sender's full membership state (anti-entropy); the receiver returns its own if `wants_reply` is
    set."""

    wants_reply: bool = field(name="back")
    updates: list[MemberUpdate] = field(name="rumours")


MembershipMessage = Ping | PingRequest | Ack | StateExchange
