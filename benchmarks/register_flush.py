"""What a change of a record costs a voter: answers with a flush, alone and several under one, and without.

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

ROUNDS, TOGETHER, KEYS = 300, 16, 20


def measured(folder: str, flush: bool, together: int) -> tuple[float, float, float]:
    """Votes a second, median and 99th percentile of a flush in ms."""
    disk = VoterFile(folder, "bench", f"v{flush}{together}")
    disk.create(["o", "p", "v"])
    voter = Voter("v", ["o", "p"], disk.load(), disk.save if flush else lambda _: True)
    times = HdrHistogram(1, 60_000_000, 3)
    begun = time.perf_counter()
    for i in range(ROUNDS):
        asked = [
            Accept(f"key-{(i + j) % KEYS}", Ballot(i + 1, "p"), Record(i + 1, b"x" * 100, f"p:{i}"))
            for j in range(together)
        ]
        start = time.perf_counter_ns()
        voter.answer_batch(asked)
        times.record_value(max(1, (time.perf_counter_ns() - start) // 1000))
    rate = ROUNDS * together / (time.perf_counter() - begun)
    return rate, times.get_value_at_percentile(50) / 1000.0, times.get_value_at_percentile(99) / 1000.0


def main() -> None:
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if len(sys.argv) > 1 else None) as folder:
        for flush, together in ((False, 1), (True, 1), (True, TOGETHER)):
            rate, half, most = measured(folder, flush, together)
            how = f"{together} under one flush" if flush else "without a flush"
            print(f"{how}: {rate:.0f} votes a second, {half:.2f} ms in the median, {most:.2f} ms at 99%")


if __name__ == "__main__":
    main()
