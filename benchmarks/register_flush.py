"""Cost of a record change for a voter: without a flush, with a flush each, and with several under one flush.

.venv/bin/python -m benchmarks.register_flush [FOLDER]
"""

from __future__ import annotations

import sys
import tempfile
import time

from hdrh.histogram import HdrHistogram

from myrtlecrank.fleet.register.caspaxos import Voter
from myrtlecrank.fleet.register.disk import VoterFile
from myrtlecrank.fleet.register.messages import Accept, Ballot, Record

ROUNDS = 300
GROUP_SIZE = 16
KEYS = 20
VALUE_BYTES = 100


def measured(folder: str, flush: bool, group_size: int) -> tuple[float, float, float]:
    """Returns votes per second, and the median and 99th percentile of a flush in ms."""
    disk = VoterFile(folder, "bench", f"v{flush}{group_size}")
    disk.create(["o", "p", "v"])
    voter = Voter("v", ["o", "p"], disk.load(), disk.save if flush else lambda _: True)
    times = HdrHistogram(1, 60_000_000, 3)
    began = time.perf_counter()
    for number in range(ROUNDS):
        requests = [
            Accept(
                f"key-{(number + j) % KEYS}",
                Ballot(number + 1, "p"),
                Record(number + 1, b"x" * VALUE_BYTES, f"p:{number}"),
            )
            for j in range(group_size)
        ]
        start = time.perf_counter_ns()
        voter.answer_batch(requests)
        times.record_value(max(1, (time.perf_counter_ns() - start) // 1000))
    rate = ROUNDS * group_size / (time.perf_counter() - began)
    return rate, times.get_value_at_percentile(50) / 1000.0, times.get_value_at_percentile(99) / 1000.0


def main() -> None:
    """Prints the cost of each way. The only argument is the folder of the voter's disk."""
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if len(sys.argv) > 1 else None) as folder:
        for flush, group_size in ((False, 1), (True, 1), (True, GROUP_SIZE)):
            rate, median_ms, p99_ms = measured(folder, flush, group_size)
            how = f"{group_size} under one flush" if flush else "without a flush"
            print(
                f"{how}: {rate:.0f} votes a second, {median_ms:.2f} ms in the median, {p99_ms:.2f} ms at 99%"
            )


if __name__ == "__main__":
    main()
