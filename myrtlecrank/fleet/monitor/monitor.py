"""The decisions of the monitor and of the members that receive its views. The module does no I/O and reads no
clock; times are ms of the local monotonic clock.

No time of another process's clock is used. The age of a reading at its receiver is the age that it was sent
with, which the monitor counts from when it asked, plus the time since it was received. The network delay of
the view is not included; it is bounded, as a receiver discards any view that is older than the last one."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from myrtlecrank.fleet.monitor.messages import FleetView, Gauges, GaugesReply, MemberGauges
from myrtlecrank.fleet.ownership.lease import Fence

MONITOR_DUTY = "fleet/watch"  # the name of an operators' duty contains no slash
MAX_MEMBERS_IN_VIEW = 1000
MAX_OPEN_VIEWS = 8  # views whose replies are still accepted


@dataclass(frozen=True, slots=True)
class AgedGauges:
    """The gauges of one member as known here, and their age now."""

    member: str
    gauges: Gauges
    age_ms: float


@dataclass(slots=True)
class _Reading:
    gauges: Gauges
    taken_at: float  # on the local clock: when the age of this reading was 0


@dataclass(slots=True)
class Monitor:
    """One process's part in the monitoring: as the monitor while it owns the duty, and always as a receiver
    of views. From an age of `max_age_ms` a reading or a view is no longer used."""

    interval_ms: float  # between two views
    max_age_ms: float
    due: float = 0.0
    epoch: int | None = None  # None while this process is not the monitor
    number: int = 0  # of the last view that was sent in this epoch
    sent_at: dict[int, float] = field(default_factory=dict)  # of the last views, by their numbers
    gathered: dict[str, _Reading] = field(default_factory=dict)
    fence: Fence = field(default_factory=Fence)
    newest_view: tuple[int, int] = (0, 0)  # epoch and number of the newest view that was received
    view: dict[str, _Reading] = field(default_factory=dict)
    received_at: float | None = None

    def tick(
        self, now: float, epoch: int | None, active: Iterable[str], local_name: str, local_gauges: Gauges
    ) -> list[tuple[str, FleetView]]:
        """The views that the monitor sends now, one to each other active member. `epoch` is None on a process
        that does not own the monitor's duty."""
        if epoch != self.epoch:
            # A new monitor starts empty: what it gathered in an earlier epoch may be of any age.
            self.epoch = epoch
            self.number = 0
            self.due = now
            self.sent_at.clear()
            self.gathered.clear()
        if epoch is None or now < self.due:
            return []
        self.due = now + self.interval_ms
        self.number += 1
        self.sent_at[self.number] = now
        self.sent_at.pop(self.number - MAX_OPEN_VIEWS, None)
        self.gathered[local_name] = _Reading(local_gauges, now)
        members = sorted(active)[:MAX_MEMBERS_IN_VIEW]
        for departed in set(self.gathered) - set(members) - {local_name}:
            del self.gathered[departed]
        readings = [
            MemberGauges(name, reading.gauges, now - reading.taken_at)
            for name, reading in sorted(self.gathered.items())
            if now - reading.taken_at < self.max_age_ms
        ]
        view = FleetView(epoch, self.number, readings)
        self.handle_view(view, local_gauges, now)
        return [(name, view) for name in members if name != local_name]

    def handle_reply(self, sender: str, reply: GaugesReply, now: float) -> None:
        """Takes the gauges of a member. Their age counts from the request, which is before they were read."""
        sent_at = self.sent_at.get(reply.view_number)
        if reply.epoch != self.epoch or sent_at is None or sent_at > now:
            return
        known = self.gathered.get(sender)
        if known is None or known.taken_at < sent_at:
            self.gathered[sender] = _Reading(reply.gauges, sent_at)

    def handle_view(self, view: FleetView, local_gauges: Gauges, now: float) -> GaugesReply | None:
        """Takes over a view; returns the answer to it. None for a view of a superseded monitor, or for one
        that a newer view has overtaken."""
        if not self.fence.admits(MONITOR_DUTY, view.epoch) or (view.epoch, view.number) <= self.newest_view:
            return None
        self.newest_view = (view.epoch, view.number)
        self.received_at = now
        self.view = {
            one.member: _Reading(one.gauges, now - max(0.0, one.age_ms))
            for one in view.members[:MAX_MEMBERS_IN_VIEW]
            if not math.isnan(one.age_ms)
        }
        return GaugesReply(view.epoch, view.number, local_gauges)

    def current_view(self, now: float) -> list[AgedGauges] | None:
        """The gauges of all members as known here, without readings that are too old; None, which is
        unknown, if the last view itself is too old."""
        if self.received_at is None or now - self.received_at >= self.max_age_ms:
            return None
        return [
            AgedGauges(name, reading.gauges, now - reading.taken_at)
            for name, reading in sorted(self.view.items())
            if now - reading.taken_at < self.max_age_ms
        ]
