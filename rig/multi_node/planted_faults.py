"""Injected faults for the ownership simulation, each a known mistake of lease implementations. They
show that the checks detect real violations."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from msgspec.structs import replace

from myrtlecrank.fleet.ownership.lease import WriteRecord
from myrtlecrank.fleet.register.disk import encode
from myrtlecrank.fleet.register.messages import Memory
from myrtlecrank.fleet.register.voter_set import founding_voter_set
from rig.multi_node.environment import Host
from rig.multi_node.member import Member
from rig.multi_node.ownership_experiment import Simulation


def replace_method(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Replaces a method of one object by what `make` returns for the original method."""
    setattr(owner, name, make(getattr(owner, name)))


def _after_each_start(simulation: Simulation, change: Callable[[Member], None]) -> None:
    """Applies a change to each member whenever it has started."""
    for member in simulation.members:

        def make(start: Any, member: Member = member) -> Any:
            def started(disk_is_trusted: bool = False) -> None:
                start(disk_is_trusted)
                change(member)

            return started

        replace_method(member, "start", make)


def _replace_duty_method(simulation: Simulation, name: str, make: Callable[[Any, Any], Any]) -> None:
    """Replaces a method of each duty by what `make` returns for the duty and its original method."""

    def change(member: Member) -> None:
        for duty in member.fleet.duties.values():
            replace_method(duty, name, partial(make, duty))

    _after_each_start(simulation, change)


def _wall_clock(host: Host, clock: Callable[[], float]) -> float:
    return clock() + host.wall_clock_step_ms


def _wall_to_true_time(host: Host, true_time: Callable[[float], float], wall: float) -> float:
    return true_time(wall - host.wall_clock_step_ms)


def wall_time(simulation: Simulation) -> None:
    """Measures leases on the wall clock, which can be stepped."""
    for member in simulation.members:
        host = member.host
        replace_method(host, "clock", partial(partial, _wall_clock, host))
        replace_method(host, "true_time", partial(partial, _wall_to_true_time, host))


def epoch_from_memory(simulation: Simulation) -> None:
    """Takes each duty with epoch 1 instead of the epoch after the record's."""

    def make(duty: Any, original: Any) -> Any:
        def next_request(now: float, is_eligible: bool, owned: int) -> Any:
            request = original(now, is_eligible, owned)
            if isinstance(request, WriteRecord) and duty.epoch is None and request.lease.owner:
                lease = request.lease
                return WriteRecord(request.expected, replace(lease, epoch=1))
            return request

        return next_request

    _replace_duty_method(simulation, "next_request", make)


def no_look_on_waking(simulation: Simulation) -> None:
    """Does not check the lease after a pause: an owner goes on as owner."""
    _replace_duty_method(
        simulation, "owns", lambda duty, _: lambda now: duty.epoch if duty.successor is None else None
    )


def voter_forgets(simulation: Simulation) -> None:
    """Starts a voter that has lost its state with an empty one, instead of abstaining."""
    for member in simulation.members:
        if member.name not in simulation.config.voters:
            continue

        def make(start: Any, member: Member = member) -> Any:
            def started(disk_is_trusted: bool = False) -> None:
                if member.disk.image is None:
                    member.disk.image = encode(
                        Memory("", member.name, 0, {}, {}, founding_voter_set(simulation.config.voters))
                    )
                start(disk_is_trusted=True)

            return started

        replace_method(member, "start", make)


def wait_by_own_file(simulation: Simulation) -> None:
    """Waits after a lease for as long as the waiting member's own file says."""
    _replace_duty_method(simulation, "takeover_wait", lambda duty, _: lambda: duty.timings.takeover_wait_ms)


def shared_connection(simulation: Simulation) -> None:
    """Lets two offers of a duty use one connection at once."""
    simulation.aborts_offers = False


INJECTED_FAULTS: dict[str, Callable[[Simulation], None]] = {
    "wall-time": wall_time,
    "epoch-from-memory": epoch_from_memory,
    "no-look-on-waking": no_look_on_waking,
    "wait-by-own-file": wait_by_own_file,
    "shared-connection": shared_connection,
}
