"""A play of a fleet as a picture: who acted on which duty when, the faults above it."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from rig.multi_node.ownership_experiment import Played

GAP_S = 0.6  # longer without a step than this is drawn as a gap


def draw(played: Played, out: Path, title: str) -> None:
    """`out`: the folder for chart.png."""
    duties = sorted({duty for _, duty, _, _, _ in played.trace})
    members = sorted({owner.split("/")[0] for _, _, _, _, owner in played.trace})
    colour = {name: plt.get_cmap("tab10")(i % 10) for i, name in enumerate(members)}
    figure, axes = plt.subplots(figsize=(12, 1.4 + 0.7 * len(duties)))
    for row, duty in enumerate(duties):
        taken = [(at / 1000.0, owner) for at, name, _, _, owner in played.trace if name == duty]
        begin, last, owner = taken[0][0], taken[0][0], taken[0][1]
        for at, who in [*taken[1:], (float("inf"), "")]:
            if who != owner or at - last > GAP_S:
                axes.broken_barh(
                    [(begin, max(0.05, last - begin))], (row - 0.35, 0.7), color=colour[owner.split("/")[0]]
                )
                begin, owner = at, who
            last = at
    for at, kind, whom, _ in played.script:
        axes.axvline(at / 1000.0, color="grey", linewidth=0.5, zorder=0)
        axes.text(at / 1000.0, len(duties) - 0.4, f"{kind} {whom}", rotation=60, fontsize=6, va="bottom")
    axes.set_yticks(range(len(duties)), duties)
    axes.set_xlabel("s")
    for name in members:
        axes.plot([], [], color=colour[name], linewidth=6, label=name)
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=8)
    axes.set_title(title, fontsize=10, pad=48)
    figure.savefig(out / "chart.png", dpi=80, bbox_inches="tight")
    plt.close(figure)
