"""What the watcher and those that it watches say to each other."""

from __future__ import annotations

from msgspec import Struct


class Gauges(Struct, frozen=True):
    """What one backend says of itself. Shares from 0 to 1, times in ms; None where it is not known."""

    well: bool = True
    warmth: float = 1.0
    late: float = 0.0  # how far its last beat came after it was due
    value: float | None = None  # what it publishes to callers
    storm: bool = False  # of repeats, by its own estimate


class Seen(Struct, frozen=True):
    """One member's gauges, and how old they were when they were sent on."""

    member: str
    gauges: Gauges
    age: float


class Watched(Struct, frozen=True, tag=True):
    """From the watcher, who asks for the gauges of whoever hears it and tells all that it has gathered.
    `view` counts the views under this epoch."""

    epoch: int
    view: int
    seen: list[Seen]


class Told(Struct, frozen=True, tag=True):
    """The answer: one's own gauges now."""

    epoch: int
    view: int
    gauges: Gauges
