"""The messages between the monitor and the members that it polls. Class tags and field names given as
strings are those on the wire."""

from __future__ import annotations

from msgspec import Struct, field


class Gauges(Struct, frozen=True):
    """What one backend reports of itself. Shares are from 0 to 1; None is an unknown value."""

    is_healthy: bool = field(default=True, name="well")
    warmth: float = 1.0  # 0: cold, 1: warm
    sampling_delay_ms: float = field(default=0.0, name="late")  # of its last sampling tick
    published_value: float | None = field(default=None, name="value")  # what it publishes to its callers
    has_retry_storm: bool = field(default=False, name="storm")  # by its own estimate


class MemberGauges(Struct, frozen=True):
    """The gauges of one member, and their age when they were sent on."""

    member: str
    gauges: Gauges
    age_ms: float = field(name="age")


class FleetView(Struct, frozen=True, tag="Watched"):
    """Sent by the monitor: all gauges that it has gathered, and a request for the receiver's own.

    `number` counts the views of one epoch."""

    epoch: int
    number: int = field(name="view")
    members: list[MemberGauges] = field(name="seen")


class GaugesReply(Struct, frozen=True, tag="Told"):
    """The answer to a FleetView: the receiver's own gauges now."""

    epoch: int
    view_number: int = field(name="view")
    gauges: Gauges
