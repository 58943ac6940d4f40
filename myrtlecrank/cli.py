"""The command line."""

from __future__ import annotations

import sys

import click

from myrtlecrank import __version__, orders


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An overload controller that lives inside each backend of a fleet."""


def _read(path: str | None) -> orders.Orders:
    try:
        return orders.read(path)
    except orders.OrdersError as error:
        click.echo(f"myrtlecrank: {error}", err=True)
        sys.exit(2)


@main.command()
@click.argument("file", required=False)
def serve(file: str | None) -> None:
    """Run one backend by the configuration in FILE, or in the file that PROXY_CONFIG names.

    SIGTERM is the notice to leave: it answers all that was read and ends within the configured time.
    SIGHUP reads the configuration again and moves to the agent and the list that it names.
    """
    from myrtlecrank.serve import hold_signals
    from myrtlecrank.serve import serve as run

    hold_signals()
    told = _read(file)
    try:
        code = run(told, lambda: orders.read(file))
    except OSError as error:
        address = f"{told.listen[0]}:{told.listen[1]}"
        click.echo(f"myrtlecrank: cannot listen on {address}: {error.strerror}", err=True)
        sys.exit(1)
    sys.exit(code)


@main.command()
@click.argument("file", required=False)
def check(file: str | None) -> None:
    """Read a configuration and say in a few lines what it asks for; nothing is started."""
    told = _read(file)
    facts = told.facts
    click.echo(f"{told.name} listens on {told.listen[0]}:{told.listen[1]}")
    click.echo(f"agent {told.agent[0]}:{told.agent[1]}, list {told.members[0]}:{told.members[1]}")
    click.echo(f"{facts.cores} cores, {facts.memory_kb:.0f} KB, {told.sockets} sockets")
    for group in facts.groups:
        click.echo(f"{group.name}: {group.kind.value}, SLO time {group.slo:.0f} ms, "
                   f"async timeout {group.timeout:.0f} ms, benefit {group.benefit:g}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)
