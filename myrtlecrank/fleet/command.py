"""`myrtlecrank fleet ...`: what operators ask a running member over its peer link, and how a fleet is
begun."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, NoReturn

import click
import msgspec
from gevent import socket

from myrtlecrank.fleet.messages import VERSION, Hello, Message, Query, ReplaceVoters, Report, Row, StepDown
from myrtlecrank.fleet.options import Bounds, address
from myrtlecrank.fleet.ownership.lease import opened
from myrtlecrank.fleet.peer_links import OPERATOR, Reader, RefusedError, packed
from myrtlecrank.fleet.register.disk import Disk, TornError
from myrtlecrank.fleet.register.messages import Memory

WAIT_S = 3.0
RESEAT_S = 25.0  # the member gives up its own wait before


def table(rows: list[Row]) -> str:
    """For people: a line a row, columns as wide as what stands in them."""
    if not rows:
        return "(none)"
    names = list(rows[0])
    cells = [names, *([_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    )


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)


def ask(bounds: Bounds, at: str, question: Message) -> Report:
    """Raises OSError or RefusedError where the member does not answer."""
    sock = socket.create_connection(address(bounds.members[at].at) or ("", 0), timeout=WAIT_S)
    if isinstance(question, ReplaceVoters):
        sock.settimeout(RESEAT_S)
    try:
        sock.sendall(packed(Hello(VERSION, bounds.name, OPERATOR)) + packed(question))
        reader = Reader(sock)
        while (message := reader.next()) is not None:
            if isinstance(message, Report):
                return message
    finally:
        sock.close()
    raise OSError("closed without an answer: is it of this fleet?")


def shown(bounds: Bounds, at: str | None, question: Message, as_json: bool) -> None:
    """Prints the answer of the member named, else of the first that answers; ends with 1 where none does."""
    if at is not None and at not in bounds.members:
        _fail(f"{at!r} is no member; there are {', '.join(sorted(bounds.members))}")
    why = "there are no members"
    for name in [at] if at is not None else sorted(bounds.members):
        try:
            report = ask(bounds, name, question)
        except (OSError, RefusedError) as error:
            why = f"{name}: {error}"
            continue
        if report.error:
            _fail(report.error)
        click.echo(json.dumps(report.rows) if as_json else table(report.rows))
        return
    _fail(why)


def _fail(why: str) -> NoReturn:
    click.echo(f"myrtlecrank: {why}", err=True)
    sys.exit(1)


def rows_of(memory: Memory) -> Iterator[Row]:
    """A line a record: what this voter holds of it."""
    told: Row = {"voter": memory.voter, "boot": memory.boot, "roster": memory.roster.number}
    for key, slot in sorted(memory.slots.items()):
        row: Row = {
            **told,
            "key": key,
            "version": slot.record.version,
            "ballot": slot.accepted.number,
            "promised": slot.promised.number,
            "owner": None,
            "epoch": None,
            "step": None,
        }
        try:
            lease = opened(slot.record)
            row |= {"owner": lease.owner or None, "epoch": lease.epoch, "step": lease.progress}
        except msgspec.MsgspecError:
            pass  # no duty's record
        yield row


Decorator = Callable[[Any], Any]


def group(bounds_of: Callable[[str | None], Bounds], operators: Decorator) -> click.Group:
    """The sub-commands. `bounds_of` reads the operators' file or ends with a line on what is wrong."""
    at = click.option("--at", metavar="NAME", help="Asks this member; else the first that answers.")
    as_json = click.option("--json", "as_json", is_flag=True, help="For programs.")

    @click.group()
    def fleet() -> None:
        """What the members of the fleet know, and who owns which duty."""

    def teller(what: str, doc: str) -> None:
        @fleet.command(what, help=doc)
        @at
        @as_json
        @operators
        def told(at: str | None, as_json: bool, operators_file: str | None) -> None:
            shown(bounds_of(operators_file), at, Query(what), as_json)

    teller("members", "Who is there, as one member sees it.")
    teller("owners", "The duties: owner, epoch, last recorded step.")
    teller("view", "The members' gauges as the fleet's watcher gathered them.")
    teller("voters", "Who votes, and whether that is changing.")
    teller("register", "Whether a voter votes, and whether the register answers.")

    @fleet.command("memory")
    @click.argument("name")
    @as_json
    @operators
    def memory(name: str, as_json: bool, operators_file: str | None) -> None:
        """What voter NAME has on its disk, where its folder is; the process need not run.

        One voter's slots need not be what stands: ask a running member for that."""
        bounds = bounds_of(operators_file)
        try:
            kept = Disk(bounds.folder, bounds.name, name).load()
        except TornError as error:
            _fail(f"the memory of voter {name} {error}")
        if kept is None:
            _fail(f"voter {name} has no memory in {bounds.folder}")
        rows = list(rows_of(kept))
        click.echo(json.dumps(rows) if as_json else table(rows))

    @fleet.command("step-down")
    @click.argument("duty")
    @click.option("--at", metavar="NAME", required=True, help="The owner.")
    @operators
    def step_down(duty: str, at: str, operators_file: str | None) -> None:
        """Has the owner give DUTY to another that is fit."""
        shown(bounds_of(operators_file), at, StepDown(duty), False)

    @fleet.command("replace-voters")
    @click.option("--drop", metavar="NAME", multiple=True, help="Votes no longer. May be given again.")
    @click.option("--add", metavar="NAME", multiple=True, help="Votes from now on, from an empty memory.")
    @at
    @operators
    def replace_voters(
        drop: tuple[str, ...], add: tuple[str, ...], at: str | None, operators_file: str | None
    ) -> None:
        """Replaces voters while the fleet runs; afterwards the list in the operators' file is to be changed.

        One that is dropped and added at once begins anew, for a voter whose memory is lost. With neither, a
        change that stands half-way is ended."""
        shown(bounds_of(operators_file), at, ReplaceVoters(list(drop), list(add)), False)

    @fleet.command()
    @click.argument("name")
    @operators
    def found(name: str, operators_file: str | None) -> None:
        """Makes the first, empty memory of voter NAME of a new fleet, in the folder that the file names.

        Once in the life of a fleet and for each voter. Never after a voter lost its memory: start it without,
        and it learns what it must not forget from the others."""
        bounds = bounds_of(operators_file)
        if name not in bounds.voters:
            _fail(f"{name!r} is no voter; there are {', '.join(bounds.voters)}")
        try:
            Disk(bounds.folder, bounds.name, name).found(bounds.voters)
        except OSError as error:
            _fail(str(error))
        click.echo(f"voter {name} of fleet {bounds.name} begins with nothing")

    return fleet
