"""Cost of the retry estimator: CPU per exchange in the core's actor, and memory, with and without it.

.venv/bin/python -m benchmarks.repeats

Both sides run in this process, alternating, on the same exchanges, without agent and callers. The ratio is of
the actor alone, so it overstates the cost in a serving process, where sockets and frames cost several times
as much. Prints one JSON object."""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from statistics import median
from typing import Any

from loguru import logger

from myrtlecrank.core.actor import Core
from myrtlecrank.core.messages import (
    AgentConnected,
    Answer,
    ExchangeArrived,
    ExchangeRequest,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    StartRun,
)
from myrtlecrank.policy.interface import Gauges, Outcome
from myrtlecrank.retries.options import RetryOptions
from rig.fleet import Scene

ROUNDS = 9
EXCHANGES = 4000  # a round
ARRIVAL_INTERVAL_MS = 85.0
RETRY_SHARE = 0.3


class Bench:
    """A core that gets synthetic exchanges."""

    def __init__(self, options: RetryOptions | None) -> None:
        self.commands: list[Any] = []
        self.answers = 0
        settings = Scene().controller_settings(1)
        self.core = Core(
            settings, 3200.0, self.commands.append, lambda _: None, now=0.0, retry_options=options
        )
        self.random = random.Random(1)
        self.now, self.count = 0.0, 0
        self.core.process_batch([AgentConnected(False, 60_000.0)], 0.0)

    def _answer(self, _: Answer) -> None:
        self.answers += 1

    def _run_exchange(self) -> None:
        self.now += ARRIVAL_INTERVAL_MS
        self.count += 1
        is_retry = self.random.random() < RETRY_SHARE
        wait = self.random.uniform(200.0, 2400.0) if is_retry else 1000.0
        exchange_id = f"{self.count:016x}"
        body = (b"subject %d " % self.count) * 60
        request = ExchangeRequest(
            exchange_id,
            self.count % 2,
            self.count % 6,
            self.now - 20.0,
            wait,
            20.0,
            0.5,
            self.count % 24,
            "",
            body,
            self._answer,
        )
        self.core.process_batch([ExchangeArrived(request)], self.now)
        for command in self.commands:
            if isinstance(command, StartRun):
                ended = RunEnded(command.exchange_id, Outcome.OK, 15.0, b"")
                self.core.process_batch([ended], self.now + 1.0)
            elif isinstance(command, SampleGauges):
                self.core.process_batch(
                    [GaugesSampled(command.tag, Gauges(0.5, 3.0, 0.1, 24.0))], self.now + 1.0
                )
        self.commands.clear()

    def round(self) -> float:
        """Runs EXCHANGES exchanges and returns the CPU ms per exchange."""
        began = time.process_time()
        for _ in range(EXCHANGES):
            self._run_exchange()
        return (time.process_time() - began) * 1000.0 / EXCHANGES


def memory(options: RetryOptions | None) -> float:
    """Returns the MB in use after a round: Python's own memory and the digests of uncompleted exchanges.

    Other native memory is not counted.
    """
    tracemalloc.start()
    bench = Bench(options)
    bench.round()
    held = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    estimator = bench.core.retry_estimator
    return held + (estimator.uncompleted.size_bytes / 1e6 if estimator is not None else 0.0)


def main() -> dict[str, float]:
    """Returns the costs by name."""
    logger.remove()
    sides = {"on": Bench(RetryOptions()), "off": Bench(None)}
    costs: dict[str, list[float]] = {"on": [], "off": []}
    for bench in sides.values():
        bench.round()  # warm-up
    for _ in range(ROUNDS):
        for side, bench in sides.items():
            costs[side].append(bench.round())
    on, off = median(costs["on"]), median(costs["off"])
    return {
        "actor_us_on": round(on * 1000.0, 1),
        "actor_us_off": round(off * 1000.0, 1),
        "actor_ratio": round(on / off, 3),
        "memory_mb": round(memory(RetryOptions()) - memory(None), 2),
    }


if __name__ == "__main__":
    print(json.dumps(main()))
