"""What members tell each other of members."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class State(IntEnum):
    """Ordered: of two rumours on one incarnation the higher one stands."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class Rumour(Struct, frozen=True):
    """One member as somebody saw it. `by` is who suspects it, which counts how many do."""

    name: str
    address: tuple[str, int]
    zone: str
    incarnation: int
    state: State
    fit: bool = True  # may take duties: not leaving, cold or under duress
    by: str = ""


class Ping(Struct, frozen=True, tag=True):
    seq: int
    rumours: list[Rumour]


class PingFor(Struct, frozen=True, tag=True):
    """Asks a third to ping `target`, whose own answer did not come."""

    seq: int
    target: str
    rumours: list[Rumour]


class Ack(Struct, frozen=True, tag=True):
    seq: int
    rumours: list[Rumour]


class Swap(Struct, frozen=True, tag=True):
    """All that the sender knows; answered in kind where `back` is asked for."""

    back: bool
    rumours: list[Rumour]


Word = Ping | PingFor | Ack | Swap
