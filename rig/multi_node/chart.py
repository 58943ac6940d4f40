"""Chart of one play of fleet-owner: which member acted on each duty over time, and the injected faults."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from rig.multi_node.ownership_experiment import PlayResult

MIN_GAP_S = 0.6  # longer intervals without a step are drawn as a gap
MIN_BAR_S = 0.05  # keeps a single step visible
BAR_HEIGHT = 0.7  # of the distance between two duties


def draw(played: PlayResult, out: Path, title: str) -> None:
    """Writes chart.png into the folder `out`."""
    duties = sorted({duty for _, duty, _, _, _ in played.trace})
    members = sorted({owner.split("/")[0] for _, _, _, _, owner in played.trace})
    colour = {name: plt.get_cmap("tab10")(i % 10) for i, name in enumerate(members)}
    figure, axes = plt.subplots(figsize=(12, 1.4 + 0.7 * len(duties)))
    for row, duty in enumerate(duties):
        steps = [(at / 1000.0, owner) for at, name, _, _, owner in played.trace if name == duty]
        begin, owner = steps[0]
        last = begin
        for at, next_owner in [*steps[1:], (float("inf"), "")]:
            if next_owner != owner or at - last > MIN_GAP_S:
                axes.broken_barh(
                    [(begin, max(MIN_BAR_S, last - begin))],
                    (row - BAR_HEIGHT / 2, BAR_HEIGHT),
                    color=colour[owner.split("/")[0]],
                )
                begin, owner = at, next_owner
            last = at
    for at, kind, member, _ in played.script:
        axes.axvline(at / 1000.0, color="grey", linewidth=0.5, zorder=0)
        axes.text(at / 1000.0, len(duties) - 0.4, f"{kind} {member}", rotation=60, fontsize=6, va="bottom")
    axes.set_yticks(range(len(duties)), duties)
    axes.set_xlabel("s")
    for name in members:
        axes.plot([], [], color=colour[name], linewidth=6, label=name)
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=8)
    axes.set_title(title, fontsize=10, pad=48)
    figure.savefig(out / "chart.png", dpi=80, bbox_inches="tight")
    plt.close(figure)
