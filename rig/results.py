"""Saves results as result.json, table.md and chart.png in one folder."""

from __future__ import annotations

import json
import platform
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from myrtlecrank import __version__
from rig.experiments import Play

FIGURE_NAMES = (
    "before",
    "away",
    "service_in_storm",
    "first_10s",
    "after_20s",
    "recovery_s",
    "tries_per_first",
    "heeding",
    "deaf",
    "estimate_error",
    "storm_seen_s",
    "false_alarm_s",
    "deaf_known",
    "wrongly_deaf",
    "cpu_ms_per_exchange",
    "peak_mb",
    "rig_late_ms",
    "checks",
    "checks_lost",
    "check_p50_ms",
    "check_p99_ms",
)


def versions() -> dict[str, str]:
    """Returns the versions and the machine type for result.json."""
    return {"myrtlecrank": __version__, "python": platform.python_version(), "machine": platform.machine()}


def _format_figure(value: float | None) -> str:
    return "never" if value is None else f"{value:g}"


def table(plays: Sequence[tuple[str, Play]]) -> str:
    """Returns a Markdown table with a row per run and the means of each side."""
    keys = [key for key in FIGURE_NAMES if any(key in play.figures for _, play in plays)]
    rows = [f"| side | seed | {' | '.join(keys)} | breaks |", f"| --- | --- |{' --- |' * (len(keys) + 1)}"]
    for side, play in plays:
        cells = [_format_figure(play.figures[key]) if key in play.figures else "" for key in keys]
        rows.append(f"| {side} | {play.seed} | {' | '.join(cells)} | {sum(play.rules.values())} |")
    for side in dict.fromkeys(side for side, _ in plays):
        side_plays = [play for which, play in plays if which == side]
        cells = []
        for key in keys:
            values = [play.figures[key] for play in side_plays if key in play.figures]
            known = [value for value in values if value is not None]
            mean = f"{sum(known) / len(known):.3g}" if known else ""
            never = len(values) - len(known)
            cells.append(f"{mean} ({never} never)" if never else mean)
        violations = sum(sum(play.rules.values()) for play in side_plays)
        rows.append(f"| {side} | mean | {' | '.join(cells)} | {violations} |")
    return "\n".join(rows) + "\n"


def summary(plays: Sequence[tuple[str, Play]]) -> dict[str, dict[str, Any]]:
    """Returns by side and figure the mean, least and most value, and the number of runs without one."""
    found: dict[str, dict[str, Any]] = {}
    for side in dict.fromkeys(side for side, _ in plays):
        side_plays = [play for which, play in plays if which == side]
        rows: dict[str, Any] = {
            "plays": len(side_plays),
            "breaks": sum(sum(play.rules.values()) for play in side_plays),
        }
        for key in FIGURE_NAMES:
            values = [play.figures[key] for play in side_plays if key in play.figures]
            known = [value for value in values if value is not None]
            if values:
                rows[key] = {
                    "mean": round(sum(known) / len(known), 3) if known else None,
                    "least": min(known, default=None),
                    "most": max(known, default=None),
                    "never": len(values) - len(known),
                }
        found[side] = rows
    return found


def save(plays: Sequence[tuple[str, Play]], folder: Path, title: str) -> None:
    """Writes the results, their table and their chart into a folder."""
    from rig import charts  # imports matplotlib, which takes long

    folder.mkdir(parents=True, exist_ok=True)
    rows = [{"side": side, **asdict(play)} for side, play in plays]
    parameters = rows[0]["parameters"]
    for row in rows:
        del row["parameters"]  # the same for all runs, except for the subsystem that one side runs without
        for name, series in row["series"].items():
            row["series"][name] = [round(value, 2) for value in series]
    kept = {
        "title": title,
        "versions": versions(),
        "summary": summary(plays),
        "parameters": parameters,
        "plays": rows,
    }
    (folder / "result.json").write_text(json.dumps(kept, separators=(",", ":")) + "\n")
    (folder / "table.md").write_text(f"# {title}\n\n{table(plays)}")
    charts.draw_storm([(row["side"], row) for row in rows], parameters, title, folder / "chart.png")


def redraw_chart(folder: Path) -> Path:
    """Draws the chart again from result.json and returns its path."""
    from rig import charts

    kept = json.loads((folder / "result.json").read_text())
    plays = [(row["side"], row) for row in kept["plays"]]
    charts.draw_storm(plays, kept["parameters"], kept["title"], folder / "chart.png")
    return folder / "chart.png"
