"""The commands `myrtlecrank fleet ...`: questions and requests of operators to a running member, over its
peer link, and the founding of a fleet."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, NoReturn

import click
import msgspec
from gevent import socket

from myrtlecrank.fleet.messages import VERSION, Hello, Message, Query, ReplaceVoters, Report, Row, StepDown
from myrtlecrank.fleet.options import FleetOptions, parse_address
from myrtlecrank.fleet.ownership.lease import decode_lease
from myrtlecrank.fleet.peer_links import OPERATOR, MessageReader, RefusedError, encode_frame
from myrtlecrank.fleet.register.disk import UnusableFileError, VoterFile
from myrtlecrank.fleet.register.messages import Memory

ANSWER_TIMEOUT_S = 3.0
REPLACE_VOTERS_TIMEOUT_S = 25.0  # above the member's own limit, which ends first and reports the progress


def format_table(rows: list[Row]) -> str:
    """The rows as text, with columns as wide as their contents."""
    if not rows:
        return "(none)"
    names = list(rows[0])
    lines = [names, *([_format_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)


def ask_member(options: FleetOptions, name: str, message: Message) -> Report:
    """The report of one member. Raises OSError or RefusedError if it does not answer."""
    address = parse_address(options.members[name].at) or ("", 0)
    sock = socket.create_connection(address, timeout=ANSWER_TIMEOUT_S)
    if isinstance(message, ReplaceVoters):
        sock.settimeout(REPLACE_VOTERS_TIMEOUT_S)
    try:
        sock.sendall(encode_frame(Hello(VERSION, options.name, OPERATOR)) + encode_frame(message))
        reader = MessageReader(sock)
        while (answer := reader.next()) is not None:
            if isinstance(answer, Report):
                return answer
    finally:
        sock.close()
    raise OSError("the connection was closed without an answer; is it a member of this fleet?")


def print_report(options: FleetOptions, at: str | None, message: Message, as_json: bool) -> None:
    """Prints the report of the named member, or of the first that answers. Exits with 1 if none answers or
    the report is an error."""
    if at is not None and at not in options.members:
        _fail(f"{at!r} is no member; there are {', '.join(sorted(options.members))}")
    reason = "there are no members"
    for name in [at] if at is not None else sorted(options.members):
        try:
            report = ask_member(options, name, message)
        except (OSError, RefusedError) as error:
            reason = f"{name}: {error}"
            continue
        if report.error:
            _fail(report.error)
        _print_rows(report.rows, as_json)
        return
    _fail(reason)


def _print_rows(rows: list[Row], as_json: bool) -> None:
    click.echo(json.dumps(rows) if as_json else format_table(rows))


def _fail(reason: str) -> NoReturn:
    click.echo(f"myrtlecrank: {reason}", err=True)
    sys.exit(1)


def memory_rows(memory: Memory) -> Iterator[Row]:
    """One row for each record that a voter has stored."""
    voter: Row = {"voter": memory.voter, "boot": memory.boot, "roster": memory.voter_set.number}
    for key, slot in sorted(memory.slots.items()):
        row: Row = {
            **voter,
            "key": key,
            "version": slot.record.version,
            "ballot": slot.accepted.number,
            "promised": slot.promised.number,
            "owner": None,
            "epoch": None,
            "step": None,
        }
        try:
            lease = decode_lease(slot.record)
            row |= {"owner": lease.owner or None, "epoch": lease.epoch, "step": lease.progress}
        except msgspec.MsgspecError:
            pass  # the record does not hold a lease
        yield row


Decorator = Callable[[Any], Any]


def group(options_of: Callable[[str | None], FleetOptions], operators: Decorator) -> click.Group:
    """The sub-commands. `options_of` reads the operators' file, or exits with a message on what is wrong;
    `operators` is the option that names the file."""
    at = click.option("--at", metavar="NAME", help="The member to ask; without it, the first that answers.")
    as_json = click.option("--json", "as_json", is_flag=True, help="Prints JSON in place of a table.")

    @click.group()
    def fleet() -> None:
        """What the members of the fleet know, and who owns which duty."""

    def add_query(subject: str, help_text: str) -> None:
        @fleet.command(subject, help=help_text)
        @at
        @as_json
        @operators
        def query(at: str | None, as_json: bool, operators_file: str | None) -> None:
            print_report(options_of(operators_file), at, Query(subject), as_json)

    add_query("members", "The members and their states, as one member sees them.")
    add_query("owners", "The duties: owner, epoch, last recorded step.")
    add_query("view", "The members' gauges as gathered by the fleet's monitor.")
    add_query("voters", "The voters, and whether they are being replaced.")
    add_query("register", "Whether a voter votes, and whether the register answers.")

    @fleet.command("memory")
    @click.argument("name")
    @as_json
    @operators
    def memory(name: str, as_json: bool, operators_file: str | None) -> None:
        """The memory of voter NAME on this machine's disk; its process need not run.

        What one voter has stored is not necessarily the value of the register: ask a running member for
        that."""
        options = options_of(operators_file)
        try:
            stored = VoterFile(options.folder, options.name, name).load()
        except UnusableFileError as error:
            _fail(f"the memory of voter {name} {error}")
        if stored is None:
            _fail(f"voter {name} has no memory in {options.folder}")
        _print_rows(list(memory_rows(stored)), as_json)

    @fleet.command("step-down")
    @click.argument("duty")
    @click.option("--at", metavar="NAME", required=True, help="The owner.")
    @operators
    def step_down(duty: str, at: str, operators_file: str | None) -> None:
        """Makes the owner of DUTY give it to another eligible member."""
        print_report(options_of(operators_file), at, StepDown(duty), False)

    @fleet.command("replace-voters")
    @click.option(
        "--drop", metavar="NAME", multiple=True, help="A voter to remove. Can be given several times."
    )
    @click.option(
        "--add", metavar="NAME", multiple=True, help="A member that becomes a voter, without a memory."
    )
    @at
    @operators
    def replace_voters(
        drop: tuple[str, ...], add: tuple[str, ...], at: str | None, operators_file: str | None
    ) -> None:
        """Replaces voters while the fleet runs; change the list in the operators' file afterwards.

        A voter that is both dropped and added starts again without a memory, for one whose memory is lost.
        With neither option, an incomplete change is completed."""
        print_report(options_of(operators_file), at, ReplaceVoters(list(drop), list(add)), False)

    @fleet.command()
    @click.argument("name")
    @operators
    def found(name: str, operators_file: str | None) -> None:
        """Creates the first, empty memory of voter NAME of a new fleet, in the folder that the file names.

        Run it once for each voter in the life of a fleet, and never after a voter has lost its memory:
        start such a voter without one, and it learns from the others what it must not forget."""
        options = options_of(operators_file)
        if name not in options.voters:
            _fail(f"{name!r} is no voter; there are {', '.join(options.voters)}")
        try:
            VoterFile(options.folder, options.name, name).create(options.voters)
        except OSError as error:
            _fail(str(error))
        click.echo(f"voter {name} of fleet {options.name} begins with nothing")

    return fleet
