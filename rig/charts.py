"""Charts of saved results."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

COLOURS = {"on": "#1b6ca8", "off": "#c8553d"}


def _service(series: dict[str, list[float]], window_s: int = 2) -> list[float]:
    asked = series["asked"]
    earned = series["earned"]
    rows = []
    for at in range(len(asked)):
        start = max(0, at - window_s + 1)
        total = sum(asked[start : at + 1])
        rows.append(sum(earned[start : at + 1]) / total if total else float("nan"))
    return rows


def draw_storm(
    plays: Sequence[tuple[str, dict[str, Any]]], scene: dict[str, Any], title: str, file: Path
) -> None:
    """Draws service and tries per request by the second. `plays`: side ("on" or "off") and saved result."""
    figure, (above, below) = plt.subplots(2, 1, figsize=(9, 6), sharex=True, constrained_layout=True)
    for side in ("off", "on"):
        rows = [result for which, result in plays if which == side]
        for result in rows:
            seconds = range(1, len(result["series"]["asked"]) - 3)
            label = f"estimate {side}" if result is rows[0] else None
            faint = 1.0 if len(rows) == 1 else 0.25
            above.plot(
                seconds,
                [_service(result["series"])[s] for s in seconds],
                color=COLOURS[side],
                alpha=faint,
                lw=1,
                label=label,
            )
            tries, requests = result["series"]["tries"], result["series"]["wishes"]
            below.plot(
                seconds,
                [tries[s] / max(1.0, requests[s]) for s in seconds],
                color=COLOURS[side],
                alpha=faint,
                lw=1,
            )
    if scene["killed"]:
        for axis in (above, below):
            axis.axvspan(
                scene["calm_ms"] / 1000.0,
                (scene["calm_ms"] + scene["away_ms"]) / 1000.0,
                color="#bbbbbb",
                alpha=0.4,
                lw=0,
            )
    above.set_ylim(0, 1.02)
    above.set_ylabel("service (2 s)")
    below.set_ylabel("tries per request")
    below.set_xlabel("seconds; grey: backends down")
    above.set_title(title)
    legend = above.legend(loc="lower right")
    for handle in legend.legend_handles:
        if handle is not None:
            handle.set_alpha(1.0)
    figure.savefig(file, dpi=90)
    plt.close(figure)
