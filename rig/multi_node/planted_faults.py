"""Planted bugs, each a mistake that programs of this kind are known for. A judge that finds none of them says
nothing."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from myrtlecrank.fleet.ownership.lease import Lease, WriteRecord
from myrtlecrank.fleet.register.disk import encode
from myrtlecrank.fleet.register.messages import Memory
from myrtlecrank.fleet.register.voter_set import founding_voter_set
from rig.multi_node.environment import Host
from rig.multi_node.member import Member
from rig.multi_node.ownership_experiment import Play


def swap(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Puts another function in the place of a method of one object."""
    setattr(owner, name, make(getattr(owner, name)))


def _each_start(play: Play, change: Callable[[Member], None]) -> None:
    for member in play.members:

        def make(start: Any, member: Member = member) -> Any:
            def started(trusted: bool = False) -> None:
                start(trusted)
                change(member)

            return started

        swap(member, "start", make)


def _each_duty(play: Play, name: str, make: Callable[[Any, Any], Any]) -> None:
    def change(member: Member) -> None:
        for duty in member.fleet.duties.values():
            swap(duty, name, partial(make, duty))

    _each_start(play, change)


def _wall(host: Host, clock: Callable[[], float]) -> float:
    return clock() + host.wall


def _true(host: Host, true: Callable[[float], float], local: float) -> float:
    return true(local - host.wall)


def wall_time(play: Play) -> None:
    """Leases on the wall clock, which can be stepped."""
    for member in play.members:
        host = member.host
        swap(host, "clock", partial(partial, _wall, host))
        swap(host, "true", partial(partial, _true, host))


def epoch_from_memory(play: Play) -> None:
    """Each taking has the epoch of this start's own first one, instead of one above the record's."""

    def make(duty: Any, want: Any) -> Any:
        def wanted(now: float, fit: bool, owned: int) -> Any:
            asked = want(now, fit, owned)
            if isinstance(asked, WriteRecord) and duty.epoch is None and asked.lease.owner:
                lease = asked.lease
                return WriteRecord(
                    asked.expected, Lease(lease.owner, 1, lease.attempt, lease.successor, lease.progress)
                )
            return asked

        return wanted

    _each_duty(play, "next_request", make)


def no_look_on_waking(play: Play) -> None:
    """What it owned before a pause it owns after it."""
    _each_duty(play, "owns", lambda duty, _: lambda now: duty.epoch if duty.successor is None else None)


def voter_forgets(play: Play) -> None:
    """A voter that comes up without its memory begins anew instead of abstaining."""
    for member in play.members:
        if member.name not in play.plan.voters:
            continue

        def make(start: Any, member: Member = member) -> Any:
            def started(trusted: bool = False) -> None:
                if member.disk.image is None:
                    member.disk.image = encode(
                        Memory("", member.name, 0, {}, {}, founding_voter_set(play.plan.voters))
                    )
                start(trusted=True)

            return started

        swap(member, "start", make)


BUGS: dict[str, Callable[[Play], None]] = {
    "wall-time": wall_time,
    "epoch-from-memory": epoch_from_memory,
    "no-look-on-waking": no_look_on_waking,
}
