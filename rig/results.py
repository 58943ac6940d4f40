"""Saves results as result.json, table.md and chart.png in one folder."""

from __future__ import annotations

import json
import platform
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from myrtlecrank import __version__
from rig.experiments import ExperimentResult

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


def table(results: Sequence[tuple[str, ExperimentResult]]) -> str:
    """Returns a Markdown table with a row per run and the means of each side."""
    keys = [key for key in FIGURE_NAMES if any(key in result.figures for _, result in results)]
    rows = [f"| side | seed | {' | '.join(keys)} | breaks |", f"| --- | --- |{' --- |' * (len(keys) + 1)}"]
    for side, result in results:
        cells = [_format_figure(result.figures[key]) if key in result.figures else "" for key in keys]
        rows.append(f"| {side} | {result.seed} | {' | '.join(cells)} | {sum(result.rules.values())} |")
    for side in dict.fromkeys(side for side, _ in results):
        side_results = [result for which, result in results if which == side]
        cells = []
        for key in keys:
            values = [result.figures[key] for result in side_results if key in result.figures]
            known = [value for value in values if value is not None]
            mean = f"{sum(known) / len(known):.3g}" if known else ""
            never = len(values) - len(known)
            cells.append(f"{mean} ({never} never)" if never else mean)
        violations = sum(sum(result.rules.values()) for result in side_results)
        rows.append(f"| {side} | mean | {' | '.join(cells)} | {violations} |")
    return "\n".join(rows) + "\n"


def summary(results: Sequence[tuple[str, ExperimentResult]]) -> dict[str, dict[str, Any]]:
    """Returns by side and figure the mean, least and most value, and the number of runs without one."""
    found: dict[str, dict[str, Any]] = {}
    for side in dict.fromkeys(side for side, _ in results):
        side_results = [result for which, result in results if which == side]
        rows: dict[str, Any] = {
            "plays": len(side_results),
            "breaks": sum(sum(result.rules.values()) for result in side_results),
        }
        for key in FIGURE_NAMES:
            values = [result.figures[key] for result in side_results if key in result.figures]
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


def save(results: Sequence[tuple[str, ExperimentResult]], folder: Path, title: str) -> None:
    """Writes the results, their table and their chart into a folder."""
    from rig import charts  # imports matplotlib, which takes long

    folder.mkdir(parents=True, exist_ok=True)
    rows = [{"side": side, **asdict(result)} for side, result in results]
    parameters = rows[0]["parameters"]
    for row in rows:
        del row["parameters"]  # the same for all runs, except for the subsystem that one side runs without
        for name, series in row["series"].items():
            row["series"][name] = [round(value, 2) for value in series]
    kept = {
        "title": title,
        "versions": versions(),
        "summary": summary(results),
        "parameters": parameters,
        "plays": rows,
    }
    (folder / "result.json").write_text(json.dumps(kept, separators=(",", ":")) + "\n")
    (folder / "table.md").write_text(f"# {title}\n\n{table(results)}")
    charts.draw_storm([(row["side"], row) for row in rows], parameters, title, folder / "chart.png")


def redraw_chart(folder: Path) -> Path:
    """Draws the chart again from result.json and returns its path."""
    from rig import charts

    kept = json.loads((folder / "result.json").read_text())
    results = [(row["side"], row) for row in kept["plays"]]
    charts.draw_storm(results, kept["parameters"], kept["title"], folder / "chart.png")
    return folder / "chart.png"
