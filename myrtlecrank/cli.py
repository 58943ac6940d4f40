"""The command line."""

from __future__ import annotations

import json
import sys
from dataclasses import fields
from typing import TYPE_CHECKING

import click

from myrtlecrank import __version__, configuration, subsystems
from myrtlecrank.operators.file import OperatorsError, known
from myrtlecrank.operators.sections import explain
from myrtlecrank.signals import hold_signals
from myrtlecrank.subsystems import Operators

if TYPE_CHECKING:
    from myrtlecrank.fleet.options import Bounds


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An overload controller that lives inside each backend of a fleet."""


def _read(path: str | None) -> configuration.Orders:
    try:
        return configuration.read(path)
    except configuration.OrdersError as error:
        click.echo(f"myrtlecrank: {error}", err=True)
        sys.exit(2)


def _operators(path: str | None) -> Operators:
    try:
        return subsystems.load(path)
    except OperatorsError as error:
        for line in str(error).splitlines():
            click.echo(f"myrtlecrank: {line}", err=True)
        sys.exit(2)


def _placed(told: configuration.Orders, operators: Operators) -> None:
    """What the two files say of each other."""
    if operators.fleet is not None:
        from myrtlecrank.fleet.options import placed

        wrong = placed(operators.fleet, told.name)
        if wrong is not None:
            click.echo(f"myrtlecrank: {operators.path}: {wrong}", err=True)
            sys.exit(2)


OPERATORS = click.option(
    "--operators",
    "operators_file",
    metavar="FILE",
    help="The operators' file; else MYRTLECRANK_OPERATORS, else deploy/operators.toml where it is there.",
)


@main.command()
@click.argument("file", required=False)
@OPERATORS
def serve(file: str | None, operators_file: str | None) -> None:
    """Run one backend by the configuration in FILE, or in the file that PROXY_CONFIG names.

    SIGTERM is the notice to leave: it answers all that was read and ends within the configured time.
    SIGHUP reads the configuration again and moves to the agent and the list that it names; it reads the
    operators' file too, which is taken over whole or not at all.
    """
    hold_signals()
    from myrtlecrank.serve import serve as run

    told, operators = _read(file), _operators(operators_file)
    _placed(told, operators)
    try:
        code = run(told, operators, lambda: configuration.read(file), lambda: subsystems.load(operators_file))
    except OSError as error:
        address = f"{told.listen[0]}:{told.listen[1]}"
        click.echo(f"myrtlecrank: cannot listen on {address}: {error.strerror}", err=True)
        sys.exit(1)
    sys.exit(code)


@main.command()
@click.argument("file", required=False)
@OPERATORS
def check(file: str | None, operators_file: str | None) -> None:
    """Read a configuration and the operators' file, and say in a few lines what they ask for; nothing is
    started. Each mistake has a line of its own."""
    told, operators = _read(file), _operators(operators_file)
    _placed(told, operators)
    facts = told.facts
    click.echo(f"{told.name} listens on {told.listen[0]}:{told.listen[1]}")
    click.echo(f"agent {told.agent[0]}:{told.agent[1]}, list {told.members[0]}:{told.members[1]}")
    if told.records is not None:
        click.echo(f"layer below {told.records[0]}:{told.records[1]}")
    click.echo(f"{facts.cores} cores, {facts.memory_kb:.0f} KB, {told.sockets} sockets")
    for group in facts.groups:
        click.echo(
            f"{group.name}: {group.kind.value}, SLO time {group.slo:.0f} ms, "
            f"async timeout {group.timeout:.0f} ms, benefit {group.benefit:g}"
        )
    click.echo(f"operators' file: {operators.path or 'none'}")
    for name in subsystems.SECTIONS:
        section = getattr(operators, name)
        click.echo(f"[{name}] {'off' if section is None else _shown(section)}")


def _shown(section: object) -> str:
    values = {one.name: getattr(section, one.name) for one in fields(section)}  # type: ignore[arg-type]
    return "on, " + ", ".join(f"{name} {_value(value)}" for name, value in values.items() if name != "on")


def _value(value: object) -> str:
    """As TOML would have it; of a table, its names."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return f"{value:g}"
    return json.dumps(value if isinstance(value, str) else list(value or ()))  # type: ignore[call-overload]


@main.command()
def figures() -> None:
    """List what the operators' file may set: section, name, default, what is allowed and what it means."""
    for section in subsystems.SECTIONS:
        click.echo(f"[{section}]")
        kind, _ = known(subsystems.SECTIONS, section)
        for name, default, allowed, what in explain(kind):
            click.echo(f"{name} = {_value(default)}  # {what} ({allowed})")
            for one in fields(kind):
                if one.name == name and "kind" in one.metadata:
                    click.echo(f"[{section}.{name}.NAME]")
                    for inner, usual, may, means in explain(one.metadata["kind"]):
                        click.echo(f"{inner} = {_value(usual)}  # {means} ({may})")


class Late(click.Group):
    """Its sub-commands are imported when one is asked for: most starts need none of it."""

    def _group(self) -> click.Group:
        from myrtlecrank.fleet.command import group

        return group(_fleet, OPERATORS)

    def list_commands(self, ctx: click.Context) -> list[str]:
        return self._group().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        return self._group().get_command(ctx, cmd_name)


def _fleet(operators_file: str | None) -> Bounds:
    bounds = _operators(operators_file).fleet
    if bounds is None:
        click.echo("myrtlecrank: the operators' file has no section [fleet] that is on", err=True)
        sys.exit(2)
    return bounds


@main.command(cls=Late)
def fleet() -> None:
    """What the members of the fleet know, and who owns which duty."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)
