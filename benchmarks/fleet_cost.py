"""Cost of a member in a fleet without faults, by number of members.

Prints the bytes and messages it sends per second and the CPU time of its decisions and encoding. Runs on the
virtual clock, so the cost of sockets is not included.

    python -m benchmarks.fleet_cost [MEMBERS ...]"""

from __future__ import annotations

import sys
import time

from rig.multi_node.ownership_experiment import Scenario, Simulation

LEASE_MS = 2000.0  # the default of [fleet]
STEP_EVERY_MS = 1000.0  # the default of [fleet.duties.NAME]
LENGTH_MS = 30_000.0


def cost(members: int, watch_ms: float) -> str:
    """Runs one fleet and returns its cost as a line of text."""
    scene = Scenario(
        members=members,
        length_ms=LENGTH_MS,
        faults=False,
        lease_ms=LEASE_MS,
        step_interval_ms=STEP_EVERY_MS,
        poll_interval_ms=watch_ms,
    )
    play = Simulation(1, scene)
    before = time.process_time()
    play.run()
    cpu = time.process_time() - before
    seconds = LENGTH_MS / 1000.0
    sent = [play.environment.sent_bytes.get(member.name, 0) / seconds for member in play.members]
    voters = [
        rate for member, rate in zip(play.members, sent, strict=True) if member.name in play.config.voters
    ]
    others = [
        rate for member, rate in zip(play.members, sent, strict=True) if member.name not in play.config.voters
    ]
    return (
        f"{members:4}  watch {watch_ms:6.0f}  bytes/s voter {sum(voters) / len(voters):8.0f}  "
        f"other {sum(others) / max(1, len(others)):7.0f}  "
        f"messages/s {play.environment.message_count / members / seconds:6.1f}  "
        f"CPU ms/s {1000.0 * cpu / members / seconds:5.2f}"
    )


if __name__ == "__main__":
    for member_count in [int(argument) for argument in sys.argv[1:]] or [5, 20, 50]:
        for watch_ms in (0.0, 1000.0):
            print(cost(member_count, watch_ms), flush=True)
