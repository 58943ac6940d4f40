"""Command line of the rig."""

from __future__ import annotations

import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
import gevent
from loguru import logger
from rich.console import Console
from rich.progress import Progress

from rig.experiments import EXPERIMENTS, ExperimentResult, run_experiment, scene_of

FLEET_EXPERIMENTS = {
    "fleet-owner": "each duty has one owner at a time, under faults between 5 processes, 3 of them voters"
}
NAME = click.argument("name", type=click.Choice(list(EXPERIMENTS)))
ANY_NAME = click.argument("name", type=click.Choice([*EXPERIMENTS, *FLEET_EXPERIMENTS]))
SUBSYSTEMS = click.Choice(["repeats", "accepting"])
CHANGES = [
    click.option(
        "--load", type=click.FloatRange(0.05, 2.0), help="Requested work over the capacity of the cores."
    ),
    click.option(
        "--deaf", type=click.FloatRange(0.0, 1.0), help="Share of the callers that ignore backpressure."
    ),
    click.option("--backends", type=click.IntRange(2, 64)),
    click.option("--callers", type=click.IntRange(1, 512)),
    click.option("--quick", is_flag=True, help="Fewer backends and a shorter time after the fault."),
]
OUT = click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for result.json, table.md and chart.png.",
)


def with_changes(command: Any) -> Any:
    """Adds the options that change a scene."""
    for option in CHANGES:
        command = option(command)
    return command


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Experiments on the program's own core with simulated callers and machines, on a virtual clock."""
    logger.remove()


@main.command("list")
def list_() -> None:
    """Lists the experiments, one a line."""
    for name, experiment in EXPERIMENTS.items():
        click.echo(f"{name:14} {experiment.description}")
    for name, description in FLEET_EXPERIMENTS.items():
        click.echo(f"{name:14} {description}")


def _exit(lines: list[dict[str, Any]], violations: list[ExperimentResult]) -> None:
    click.echo(json.dumps(lines[0] if len(lines) == 1 else {"plays": lines}))
    for one in violations:
        click.echo(f"seed {one.seed}: {one.first_break}", err=True)
    sys.exit(1 if violations else 0)


@main.command("play")
@ANY_NAME
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--off", type=SUBSYSTEMS, help="Run without this subsystem.")
@click.option("--real", is_flag=True, help="Run real processes on loopback, in real time.")
@click.option("--virtual", is_flag=True, help="For fleet experiments: run on the virtual clock.")
@click.option(
    "--bug",
    help="For fleet experiments: the fault to inject; 'fence' is a resource that does not check epochs.",
)
@click.option("--reseats", is_flag=True, help="For fleet experiments with --virtual: replace voters too.")
@click.option("--moves", is_flag=True, help="For fleet experiments with --virtual: move duties and back too.")
@click.option(
    "--rolls", is_flag=True, help="For fleet experiments with --virtual: roll out other leases too."
)
@with_changes
@OUT
def play_(
    name: str,
    seed: int,
    off: str | None,
    real: bool,
    virtual: bool,
    bug: str | None,
    reseats: bool,
    moves: bool,
    rolls: bool,
    quick: bool,
    out: Path | None,
    **changes: Any,
) -> None:
    """Runs one experiment once. The last line on standard output is a JSON object."""
    if name in FLEET_EXPERIMENTS:
        events: dict[str, Any] = {
            "replaces_voters": reseats,
            "moves_duties": moves,
            "changes_lease": rolls,
        }
        _play_fleet(name, seed, virtual, bug, events, quick, out)
        return
    scene = scene_of(name, off, quick, **changes)
    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task(name, total=1.0)
        one = run_experiment(name, seed, scene, lambda done: bar.update(task, completed=done), real)
    if out is not None:
        from rig.results import save

        save([("off" if off else "on", one)], out, f"{name}, seed {seed}")
    if one.incomplete:
        click.echo(f"result is incomplete: {one.incomplete}", err=True)
    _exit([one.line()], [one] if any(one.rules.values()) else [])


def _play_fleet(
    name: str,
    seed: int,
    virtual: bool,
    bug: str | None,
    events: dict[str, Any],
    quick: bool,
    out: Path | None,
) -> None:
    from rig.multi_node import ownership_experiment
    from rig.multi_node.planted_faults import INJECTED_FAULTS

    known = ["fence", *INJECTED_FAULTS] if virtual else ["fence", "wall-time"]
    if bug is not None and bug not in known:
        click.echo(f"unknown --bug {bug!r}; expected one of {', '.join(known)}", err=True)
        sys.exit(2)
    if events["changes_lease"]:
        events["step_interval_ms"] = ownership_experiment.ROLL_STEP_INTERVAL_MS
    try:
        if virtual:
            scene = ownership_experiment.Scenario(
                length_ms=30_000.0 if quick else 60_000.0, fence=bug != "fence", **events
            )
            one = ownership_experiment.play(seed, scene, INJECTED_FAULTS.get(bug or ""))
        else:
            from rig.processes.ownership_experiment import run_experiment as run_real

            one = run_real(
                seed,
                seconds=25.0 if quick else 60.0,
                fence=bug != "fence",
                uses_wall_clock_leases=bug == "wall-time",
                keep=None if out is None else out / "logs",
            )
    except (OSError, gevent.Timeout) as error:
        click.echo(f"run failed: {error}", err=True)
        sys.exit(2)
    rules = {
        key: int(one.figures.get(key, 0) > most) for key, most in ownership_experiment.FIGURE_LIMITS.items()
    }
    line: dict[str, Any] = {
        "experiment": name,
        "seed": seed,
        "where": "virtual clock" if virtual else "real processes",
        "figures": one.figures,
        "rules": rules,
        "incomplete": None,
    }
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "result.json").write_text(json.dumps(line | {"script": one.script}, indent=1) + "\n")
        rows = "\n".join(f"| {key} | {value:g} |" for key, value in one.figures.items())
        title = f"# {name}, seed {seed}, {line['where']}"
        from rig.multi_node.chart import draw

        draw(one, out, title[2:])
        (out / "table.md").write_text(f"{title}\n\n| figure | value |\n| --- | --- |\n{rows}\n")
    click.echo(json.dumps(line))
    if one.violations:
        click.echo(f"seed {seed}: {one.violations}", err=True)
    sys.exit(1 if one.violations else 0)


def _job(job: tuple[str, str, str, int, dict[str, Any], bool, bool]) -> tuple[str, ExperimentResult]:
    logger.remove()
    side, off, name, seed, changes, quick, real = job
    scene = scene_of(name, off if side == "off" else None, quick, **changes)
    return side, run_experiment(name, seed, scene, real=real)


@main.command()
@NAME
@click.option(
    "--off",
    type=SUBSYSTEMS,
    default="repeats",
    show_default=True,
    help="Subsystem that one side runs without.",
)
@click.option("--seeds", type=click.IntRange(1, 10_000), default=5, show_default=True)
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=max(1, (os.cpu_count() or 2) - 1), show_default=True
)
@click.option(
    "--real", is_flag=True, help="Run real processes, in real time; use few jobs, as they disturb each other."
)
@with_changes
@OUT
def compare(
    name: str, off: str, seeds: int, jobs: int, real: bool, quick: bool, out: Path | None, **changes: Any
) -> None:
    """Runs an experiment with and without a subsystem, alternating, on the same seeds."""
    from rig.results import save, summary, table

    work = [
        (side, off, name, seed, changes, quick, real)
        for seed in range(1, seeds + 1)
        for side in ("on", "off")
    ]
    plays: list[tuple[str, ExperimentResult]] = []
    with ProcessPoolExecutor(jobs) as pool, Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task(name, total=len(work))
        for done in pool.map(_job, work):
            plays.append(done)
            bar.advance(task)
    plays.sort(key=lambda one: (one[0], one[1].seed))
    click.echo(table(plays), err=True)
    changes_text = ", ".join(f"{key} {value:g}" for key, value in changes.items() if value is not None)
    if out is not None:
        where = "real processes" if real else "virtual clock"
        save(
            plays,
            out,
            f"{name}{', ' + changes_text if changes_text else ''}: {off} on and off, {seeds} seeds, {where}",
        )
    violations = [play for side, play in plays if any(play.rules.values()) and side == "on"]
    summaries = summary(plays)
    line: dict[str, Any] = {"experiment": name, "seeds": seeds, "summary": summaries}
    if real and not EXPERIMENTS[name].storm:  # in a storm the two sides receive different traffic
        cpu = [summaries[side]["cpu_ms_per_exchange"]["mean"] for side in ("on", "off")]
        line["cpu_ratio"] = round(cpu[0] / cpu[1], 3)
    _exit([line], violations)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def chart(folder: Path) -> None:
    """Draws the chart again from the results in FOLDER."""
    from rig.results import redraw_chart

    click.echo(str(redraw_chart(folder)))


if __name__ == "__main__":
    main()
