"""How results are kept: result.json, table.md and chart.png in one folder."""

from __future__ import annotations

import json
import platform
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from myrtlecrank import __version__
from rig.experiments import Play

SHOWN = (
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
    return {"myrtlecrank": __version__, "python": platform.python_version(), "machine": platform.machine()}


def _figure(value: float | None) -> str:
    return "never" if value is None else f"{value:g}"


def table(plays: Sequence[tuple[str, Play]]) -> str:
    """A row a play, and the mean and the worst of each side."""
    keys = [key for key in SHOWN if any(key in p.figures for _, p in plays)]
    rows = [f"| side | seed | {' | '.join(keys)} | breaks |", f"| --- | --- |{' --- |' * (len(keys) + 1)}"]
    for side, p in plays:
        cells = [_figure(p.figures[key]) if key in p.figures else "" for key in keys]
        rows.append(f"| {side} | {p.seed} | {' | '.join(cells)} | {sum(p.rules.values())} |")
    for side in dict.fromkeys(side for side, _ in plays):
        mine = [p for which, p in plays if which == side]
        cells = []
        for key in keys:
            values = [p.figures[key] for p in mine if key in p.figures]
            known = [value for value in values if value is not None]
            mean = f"{sum(known) / len(known):.3g}" if known else ""
            never = len(values) - len(known)
            cells.append(f"{mean} ({never} never)" if never else mean)
        rows.append(f"| {side} | mean | {' | '.join(cells)} | {sum(sum(p.rules.values()) for p in mine)} |")
    return "\n".join(rows) + "\n"


def summary(plays: Sequence[tuple[str, Play]]) -> dict[str, dict[str, Any]]:
    """Of each side and figure: the mean, the least, the most, and how many plays never came to one."""
    found: dict[str, dict[str, Any]] = {}
    for side in dict.fromkeys(side for side, _ in plays):
        mine = [p for which, p in plays if which == side]
        rows: dict[str, Any] = {"plays": len(mine), "breaks": sum(sum(p.rules.values()) for p in mine)}
        for key in SHOWN:
            values = [p.figures[key] for p in mine if key in p.figures]
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


def keep(plays: Sequence[tuple[str, Play]], folder: Path, title: str) -> None:
    from rig import charts  # heavy: only where something is kept

    folder.mkdir(parents=True, exist_ok=True)
    rows = [{"side": side, **asdict(p)} for side, p in plays]
    parameters = rows[0]["parameters"]
    for row in rows:
        del row["parameters"]  # the same for all, but for what the one side is without
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
    charts.storm([(row["side"], row) for row in rows], parameters, title, folder / "chart.png")


def again(folder: Path) -> Path:
    """The chart once more from what was kept."""
    from rig import charts

    kept = json.loads((folder / "result.json").read_text())
    plays = [(row["side"], row) for row in kept["plays"]]
    charts.storm(plays, kept["parameters"], kept["title"], folder / "chart.png")
    return folder / "chart.png"
