"""The section [fleet] of the operators' file. Imported only where that section stands in the file."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from myrtlecrank.operators.sections import figure, table, words


@dataclass(frozen=True, slots=True)
class MemberAt:
    """[fleet.members.NAME]: every member of the fleet, by the name that its configuration gives it."""

    at: str = words("IPv4 address and port where its peers connect", least=1)
    zone: str = words("where it stands; duties are spread over zones")


@dataclass(frozen=True, slots=True)
class DutyOf:
    """[fleet.duties.NAME]: one piece of fleet work."""

    to: str = words("IPv4 address and port that takes its steps", least=1)
    every_ms: float = figure(1000.0, 10.0, 3_600_000.0, "from the end of a step to the next")
    deadline_ms: float = figure(400.0, 10.0, 60_000.0, "how long a step may take")
    back_off_ms: float = figure(100.0, 10.0, 60_000.0, "wait after a failed step; doubled up to 16 times")
    share: float = figure(1.0, 0.001, 1.0, "the most of the time in which its steps may be under way")


@dataclass(frozen=True, slots=True)
class Bounds:
    on: bool = figure(False, what="members know of each other and share duties")
    name: str = words("of the fleet; peers of another are refused", least=1)
    folder: str = words("where a voter keeps its memory; must outlast the process")
    voters: tuple[str, ...] = words("members that keep the register; an odd number", default=())
    trust_disk: bool = figure(
        False, what="a voter that restarts with its file votes at once, without asking all others"
    )
    lease_ms: float = figure(2000.0, 200.0, 120_000.0, "an owner that hears nothing stops after this")
    drift: float = figure(0.01, 0.0, 0.2, "the most by which any clock runs fast or slow, as a share")
    reply_ms: float = figure(250.0, 10.0, 10_000.0, "how long a round of the register waits")
    probe_ms: float = figure(500.0, 20.0, 60_000.0, "from one probe of a member to the next")
    probe_reply_ms: float = figure(150.0, 5.0, 10_000.0, "until others are asked to probe too")
    helpers: int = figure(3, 0, 16, "how many are asked")
    suspect_ms: float = figure(1500.0, 50.0, 600_000.0, "least time in suspicion; six times that unconfirmed")
    even_ms: float = figure(3000.0, 100.0, 3_600_000.0, "between two moves to even the duties out")
    watch_ms: float = figure(1000.0, 0.0, 60_000.0, "between two views of the fleet by its watcher; 0: none")
    together: int = figure(8, 1, 1024, "steps of duties that one member has under way at a time")
    queue: int = figure(256, 16, 65_536, "messages that wait for one peer; more are dropped")
    members: dict[str, MemberAt] = table(MemberAt, "every member, by name")  # noqa: RUF009
    duties: dict[str, DutyOf] = table(DutyOf, "every duty, by name")  # noqa: RUF009


def address(text: str) -> tuple[str, int] | None:
    """None where it is no IPv4 address with a port."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    good = len(parts) == 4 and all(p.isdecimal() and p.isascii() and int(p) < 256 for p in parts)
    if not good or not (port.isdecimal() and port.isascii() and 0 < int(port) < 65536):
        return None
    return host, int(port)


def contradictions(bounds: Bounds) -> list[str]:
    if not bounds.on:
        return []
    wrong = []
    if not bounds.name:
        wrong.append("name: a fleet that is on has one")
    if len(bounds.voters) % 2 == 0:
        wrong.append(f"voters: are {len(bounds.voters)}; an odd number is wanted")
    if len(set(bounds.voters)) < len(bounds.voters):
        wrong.append("voters: one is named twice")
    wrong += [f"voters: {one!r} is no member" for one in bounds.voters if one not in bounds.members]
    if bounds.voters and not bounds.folder:
        wrong.append("folder: voters need one that outlasts them")
    if not bounds.members:
        wrong.append("members: there are none")
    places: dict[str, str] = {}
    for name, one in bounds.members.items():
        if address(one.at) is None:
            wrong.append(f"members.{name} at: {one.at!r} is not an IPv4 address with a port")
        elif one.at in places:
            wrong.append(f"members.{name} at: {one.at} is that of {places[one.at]} too")
        places[one.at] = name
        if "/" in name:
            wrong.append(f"members.{name}: a name has no slash")
    wrong += [f"duties.{name}: a name has no slash" for name in bounds.duties if "/" in name]
    for name, duty in bounds.duties.items():
        if address(duty.to) is None:
            wrong.append(f"duties.{name} to: {duty.to!r} is not an IPv4 address with a port")
        if duty.deadline_ms > bounds.lease_ms:
            wrong.append(
                f"duties.{name} deadline_ms: is {duty.deadline_ms:g}, above lease_ms "
                f"{bounds.lease_ms:g}: no owner could end such a step"
            )
    if 4.0 * bounds.reply_ms > bounds.lease_ms:
        wrong.append(
            f"reply_ms: is {bounds.reply_ms:g}; four of them have to fit into lease_ms "
            f"{bounds.lease_ms:g}, or a renewal that is repeated once comes too late"
        )
    if bounds.probe_reply_ms >= bounds.probe_ms:
        wrong.append(f"probe_reply_ms: is {bounds.probe_reply_ms:g}, not below probe_ms {bounds.probe_ms:g}")
    return wrong


def placed(bounds: Bounds, name: str) -> str | None:
    """What is wrong with these bounds for the backend of this name, in one line; None where nothing is."""
    if name in bounds.members:
        return None
    return f"[fleet] members: this backend, {name!r}, is none of them"


def taken_over(old: Bounds, new: Bounds) -> Bounds:
    """What of a new section holds at once in a running process: how duties that it has are worked on,
    and how many steps go together. All else is as it was until a new start."""
    duties = {
        name: replace(
            one,
            every_ms=told.every_ms,
            deadline_ms=told.deadline_ms,
            back_off_ms=told.back_off_ms,
            share=told.share,
        )
        for name, one in old.duties.items()
        if (told := new.duties.get(name, one))
    }
    return replace(old, duties=duties, together=new.together, even_ms=new.even_ms)


def waiting(held: Bounds, new: Bounds) -> list[str]:
    """The figures that take a new start."""
    return [one.name for one in fields(held) if getattr(held, one.name) != getattr(new, one.name)]
