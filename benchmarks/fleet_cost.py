"""What a member of a calm fleet costs: bytes and messages it sends a second, and CPU of its decisions
and packing, by the number of members. On the virtual clock, so sockets are not in it.

    python -m benchmarks.fleet_cost [MEMBERS ...]"""

from __future__ import annotations

import sys
import time

from rig.multi_node.ownership_experiment import Play, Scene

LEASE, EVERY, LENGTH = 2000.0, 1000.0, 30_000.0  # ms: the usual figures of [fleet]


def cost(members: int, watch: float) -> str:
    scene = Scene(members=members, length=LENGTH, faults=False, lease=LEASE, step_every=EVERY, watch=watch)
    play = Play(1, scene)
    before = time.process_time()
    play.run()
    cpu = time.process_time() - before
    seconds = LENGTH / 1000.0
    sent = [play.world.sent.get(one.name, 0) / seconds for one in play.members]
    votes = [b for one, b in zip(play.members, sent, strict=True) if one.name in play.plan.voters]
    others = [b for one, b in zip(play.members, sent, strict=True) if one.name not in play.plan.voters]
    return (
        f"{members:4}  watch {watch:6.0f}  bytes/s voter {sum(votes) / len(votes):8.0f}  "
        f"other {sum(others) / max(1, len(others)):7.0f}  "
        f"messages/s {play.world.messages / members / seconds:6.1f}  "
        f"CPU ms/s {1000.0 * cpu / members / seconds:5.2f}"
    )


if __name__ == "__main__":
    for number in [int(word) for word in sys.argv[1:]] or [5, 20, 50]:
        for watch in (0.0, 1000.0):
            print(cost(number, watch), flush=True)
