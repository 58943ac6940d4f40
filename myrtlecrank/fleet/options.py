"""The section [fleet] of the operators' file. Imported only if the file has that section.

The names of the fields are the keys of the file."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from myrtlecrank.operators.sections import scalar_option, table_option, text_option

MAX_IPV4_PART = 255
MAX_PORT = 65535
REPLY_TIMEOUTS_PER_LEASE = 4.0  # so that a renewal can be retried once within the lease


@dataclass(frozen=True, slots=True)
class MemberOptions:
    """[fleet.members.NAME]: one member of the fleet, by the name in its configuration."""

    at: str = text_option("IPv4 address and port where its peers connect", least=1)
    zone: str = text_option("failure zone of the member; duties are spread over zones")


@dataclass(frozen=True, slots=True)
class DutyOptions:
    """[fleet.duties.NAME]: one duty, whose steps one member at a time carries out."""

    to: str = text_option("IPv4 address and port of the receiver of its steps", least=1)
    every_ms: float = scalar_option(
        1000.0, 10.0, 3_600_000.0, "time from the end of a step to the start of the next"
    )
    deadline_ms: float = scalar_option(400.0, 10.0, 60_000.0, "maximum duration of a step")
    back_off_ms: float = scalar_option(
        100.0,
        10.0,
        60_000.0,
        "wait after a failed step; doubled with each further failure, up to 16 times this",
    )
    share: float = scalar_option(1.0, 0.001, 1.0, "maximum share of time in which its steps may run")


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """[fleet]: the options of the fleet as a whole."""

    on: bool = scalar_option(False, what="true: the members probe each other and share duties")
    name: str = text_option("name of the fleet; peers of another fleet are refused", least=1)
    folder: str = text_option("directory of a voter's memory; must persist across restarts")
    voters: tuple[str, ...] = text_option("members that store the register; an odd number", default=())
    trust_disk: bool = scalar_option(
        False, what="true: a voter that restarts with its file votes at once, without asking all others"
    )
    lease_ms: float = scalar_option(
        2000.0, 200.0, 120_000.0, "an owner that cannot renew its lease stops after this"
    )
    drift: float = scalar_option(0.01, 0.0, 0.2, "maximum clock drift, as a share of elapsed time")
    reply_ms: float = scalar_option(250.0, 10.0, 10_000.0, "timeout of one round of requests to the voters")
    probe_ms: float = scalar_option(500.0, 20.0, 60_000.0, "interval between probes, each of one member")
    probe_reply_ms: float = scalar_option(
        150.0, 5.0, 10_000.0, "timeout of a probe, after which other members probe too"
    )
    helpers: int = scalar_option(3, 0, 16, "how many other members are asked to probe")
    suspect_ms: float = scalar_option(
        1500.0,
        50.0,
        600_000.0,
        "minimum time from suspect to lost; six times that if no other member confirms",
    )
    even_ms: float = scalar_option(
        3000.0, 100.0, 3_600_000.0, "interval between moves of duties that balance the members"
    )
    watch_ms: float = scalar_option(
        1000.0, 0.0, 60_000.0, "interval between views of the fleet by its monitor; 0: none"
    )
    together: int = scalar_option(8, 1, 1024, "steps of duties that one member runs concurrently")
    queue: int = scalar_option(256, 16, 65_536, "messages queued for one peer; further ones are dropped")
    members: dict[str, MemberOptions] = table_option(MemberOptions, "every member, by name")  # noqa: RUF009
    duties: dict[str, DutyOptions] = table_option(DutyOptions, "every duty, by name")  # noqa: RUF009


def parse_address(text: str) -> tuple[str, int] | None:
    """Host and port; None if the text is not an IPv4 address with a port."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    is_host = len(parts) == 4 and all(_is_number(part) and int(part) <= MAX_IPV4_PART for part in parts)
    if not is_host or not (_is_number(port) and 0 < int(port) <= MAX_PORT):
        return None
    return host, int(port)


def _is_number(text: str) -> bool:
    return text.isdecimal() and text.isascii()


def contradictions(options: FleetOptions) -> list[str]:
    """One line for each mistake in the section that a single option does not show."""
    if not options.on:
        return []
    return [
        *_fleet_mistakes(options),
        *_member_mistakes(options),
        *_duty_mistakes(options),
        *_timing_mistakes(options),
    ]


def _fleet_mistakes(options: FleetOptions) -> list[str]:
    wrong = []
    if not options.name:
        wrong.append("name: is empty; a fleet needs a name")
    if len(options.voters) % 2 == 0:
        wrong.append(f"voters: must be an odd number of members, found {len(options.voters)}")
    if len(set(options.voters)) < len(options.voters):
        wrong.append("voters: must be different members, found one twice")
    wrong += [f"voters: {name!r} is no member" for name in options.voters if name not in options.members]
    if options.voters and not options.folder:
        wrong.append("folder: voters need one that persists across restarts")
    return wrong


def _member_mistakes(options: FleetOptions) -> list[str]:
    wrong = []
    if not options.members:
        wrong.append("members: at least one is needed, found none")
    name_by_address: dict[str, str] = {}
    for name, member in options.members.items():
        if parse_address(member.at) is None:
            wrong.append(f"members.{name} at: {member.at!r} is not an IPv4 address with a port")
        elif member.at in name_by_address:
            other = name_by_address[member.at]
            wrong.append(f"members.{name} at: {member.at} is already the address of {other}")
        name_by_address[member.at] = name
        if "/" in name:
            wrong.append(f"members.{name}: the name must not contain a slash")
    return wrong


def _duty_mistakes(options: FleetOptions) -> list[str]:
    wrong = [f"duties.{name}: the name must not contain a slash" for name in options.duties if "/" in name]
    for name, duty in options.duties.items():
        if parse_address(duty.to) is None:
            wrong.append(f"duties.{name} to: {duty.to!r} is not an IPv4 address with a port")
        if duty.deadline_ms > options.lease_ms:
            wrong.append(
                f"duties.{name} deadline_ms: must be at most lease_ms, {options.lease_ms:g}, found "
                f"{duty.deadline_ms:g}: no owner could finish such a step"
            )
    return wrong


def _timing_mistakes(options: FleetOptions) -> list[str]:
    wrong = []
    if REPLY_TIMEOUTS_PER_LEASE * options.reply_ms > options.lease_ms:
        wrong.append(
            f"reply_ms: four times it must fit into lease_ms, {options.lease_ms:g}, found "
            f"{options.reply_ms:g}: a renewal that is retried once would come too late"
        )
    if options.probe_reply_ms >= options.probe_ms:
        wrong.append(
            f"probe_reply_ms: must be below probe_ms, {options.probe_ms:g}, found {options.probe_reply_ms:g}"
        )
    return wrong


def membership_error(options: FleetOptions, name: str) -> str | None:
    """One line on why the backend of this name cannot be in this fleet; None if it can."""
    if name in options.members:
        return None
    return f"[fleet] members: this backend, {name!r}, is none of them"


def apply_reloadable(old: FleetOptions, new: FleetOptions) -> FleetOptions:
    """The old options with those of the new ones that can change in a running process: the schedules of the
    duties that it has, the limit on concurrent steps and the rebalancing interval."""
    duties = {
        name: replace(
            duty,
            every_ms=new_duty.every_ms,
            deadline_ms=new_duty.deadline_ms,
            back_off_ms=new_duty.back_off_ms,
            share=new_duty.share,
        )
        for name, duty in old.duties.items()
        if (new_duty := new.duties.get(name, duty))
    }
    return replace(old, duties=duties, together=new.together, even_ms=new.even_ms)


def unapplied_options(current: FleetOptions, new: FleetOptions) -> list[str]:
    """The names of the options that change only with a restart."""
    return [one.name for one in fields(current) if getattr(current, one.name) != getattr(new, one.name)]
