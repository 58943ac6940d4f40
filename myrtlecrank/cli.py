"""The command line."""

from __future__ import annotations

import json
import sys
from dataclasses import fields
from typing import TYPE_CHECKING, Any

import click

from myrtlecrank import __version__, configuration, subsystems
from myrtlecrank.configuration import Configuration, ConfigurationError
from myrtlecrank.operators.file import OperatorsFileError, section_definition
from myrtlecrank.operators.sections import describe_options
from myrtlecrank.signals import block_signals
from myrtlecrank.subsystems import OperatorOptions

if TYPE_CHECKING:
    from myrtlecrank.fleet.options import FleetOptions

EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An overload controller that runs inside each backend of a fleet."""


def _read_configuration(path: str | None) -> Configuration:
    try:
        return configuration.read(path)
    except ConfigurationError as error:
        click.echo(f"myrtlecrank: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)


def _load_operator_options(path: str | None) -> OperatorOptions:
    try:
        return subsystems.load(path)
    except OperatorsFileError as error:
        for line in str(error).splitlines():
            click.echo(f"myrtlecrank: {line}", err=True)
        sys.exit(EXIT_INVALID_INPUT)


def _check_fleet_membership(config: Configuration, options: OperatorOptions) -> None:
    """Ends the program if the operators' file has a fleet that the configured backend is no member of."""
    if options.fleet is not None:
        from myrtlecrank.fleet.options import membership_error

        mistake = membership_error(options.fleet, config.name)
        if mistake is not None:
            click.echo(f"myrtlecrank: {options.path}: {mistake}", err=True)
            sys.exit(EXIT_INVALID_INPUT)


operators_option = click.option(
    "--operators",
    "operators_file",
    metavar="FILE",
    help="The operators' file. Default: the file that MYRTLECRANK_OPERATORS names, else "
    "deploy/operators.toml if it exists.",
)


@main.command()
@click.argument("file", required=False)
@operators_option
def serve(file: str | None, operators_file: str | None) -> None:
    """Run one backend with the configuration in FILE, or in the file that PROXY_CONFIG names.

    SIGTERM starts the drain: the backend answers everything that it has read, and exits within the configured
    time. SIGHUP reads the configuration again and applies new addresses of the agent, the membership list and
    the dependency; it also reads the operators' file again, which is applied whole or not at all.
    """
    block_signals()
    from myrtlecrank.serve import serve as run

    config = _read_configuration(file)
    options = _load_operator_options(operators_file)
    _check_fleet_membership(config, options)
    try:
        exit_code = run(
            config, options, lambda: configuration.read(file), lambda: subsystems.load(operators_file)
        )
    except OSError as error:
        host, port = config.listen_address
        click.echo(f"myrtlecrank: cannot listen on {host}:{port}: {error.strerror}", err=True)
        sys.exit(EXIT_FAILED)
    sys.exit(exit_code)


@main.command()
@click.argument("file", required=False)
@operators_option
def check(file: str | None, operators_file: str | None) -> None:
    """Read a configuration and the operators' file and print a summary of what they set, without starting
    anything. Each mistake is printed on a line of its own."""
    config = _read_configuration(file)
    options = _load_operator_options(operators_file)
    _check_fleet_membership(config, options)
    settings = config.settings
    click.echo("{} listens on {}:{}".format(config.name, *config.listen_address))
    click.echo("agent {}:{}, list {}:{}".format(*config.agent_address, *config.membership_list_address))
    if config.dependency_address is not None:
        click.echo("layer below {}:{}".format(*config.dependency_address))
    click.echo(f"{settings.cores} cores, {settings.memory_kb:.0f} KB, {config.sockets} sockets")
    for group in settings.groups:
        click.echo(
            f"{group.name}: {group.kind.value}, SLO time {group.slo:.0f} ms, "
            f"async timeout {group.timeout:.0f} ms, benefit {group.benefit:g}"
        )
    click.echo(f"operators' file: {options.path or 'none'}")
    for name in subsystems.SECTIONS:
        section = getattr(options, name)
        click.echo(f"[{name}] {'off' if section is None else _format_section(section)}")


def _format_section(section: object) -> str:
    values = {option.name: getattr(section, option.name) for option in fields(section)}  # type: ignore[arg-type]
    return "on, " + ", ".join(
        f"{name} {_format_value(value)}" for name, value in values.items() if name != "on"
    )


def _format_value(value: object) -> str:
    """The value as TOML writes it; of a table, the list of its names."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return f"{value:g}"
    return json.dumps(value if isinstance(value, str) else list(value or ()))  # type: ignore[call-overload]


@main.command()
def figures() -> None:
    """List the options of the operators' file: section, name, default, description and allowed values."""
    for section in subsystems.SECTIONS:
        click.echo(f"[{section}]")
        section_type, _ = section_definition(subsystems.SECTIONS, section)
        for name, default, allowed, description in describe_options(section_type):
            click.echo(f"{name} = {_format_value(default)}  # {description} ({allowed})")
            for option in fields(section_type):
                if option.name == name and "kind" in option.metadata:
                    click.echo(f"[{section}.{name}.NAME]")
                    _print_table_options(option.metadata["kind"])


def _print_table_options(table_type: type[Any]) -> None:
    for name, default, allowed, description in describe_options(table_type):
        click.echo(f"{name} = {_format_value(default)}  # {description} ({allowed})")


class LazyFleetGroup(click.Group):
    """Imports the fleet's sub-commands only when one is asked for: most starts need none of them."""

    def _group(self) -> click.Group:
        from myrtlecrank.fleet.command import group

        return group(_fleet_options, operators_option)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of the fleet's sub-commands."""
        return self._group().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The fleet's sub-command of this name; None if there is none."""
        return self._group().get_command(ctx, cmd_name)


def _fleet_options(operators_file: str | None) -> FleetOptions:
    options = _load_operator_options(operators_file).fleet
    if options is None:
        click.echo("myrtlecrank: the operators' file has no section [fleet] that is on", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    return options


@main.command(cls=LazyFleetGroup)
def fleet() -> None:
    """Show what the members of the fleet know, and who owns which duty."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)
