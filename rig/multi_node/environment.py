"""Deterministic environment of a simulated fleet: virtual time, hosts with drifting clocks
and a faulty network.

All random choices come from one seed, so the same seed gives the same run."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

Action = Callable[[], None]

LOCAL_DELAY_MS = 0.05  # delay of a message that a host sends to itself
DUPLICATE_DELAY_MS = 50.0  # upper bound of the time between a message and its duplicate
MAX_CLOCK_OFFSET_MS = 1e6


class SimulatedEnvironment:
    """Event queue and network. Times are in ms. Events due at the same time run in an order drawn from the
    seed."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, float, int, Action]] = []
        self.next_event_number = count(1).__next__
        self.blocked_links: dict[tuple[str, str], float] = {}  # (source, target): blocked until
        self.slow_links: dict[tuple[str, str], tuple[float, float]] = {}  # slow until, additional delay
        self.base_delay_ms = 1.0
        self.jitter_ms = 4.0
        self.duplicate_probability = 0.01
        self.loss_probability = 0.002
        self.sent_bytes: dict[str, int] = {}  # by host
        self.message_count = 0

    def schedule(self, when: float, action: Action) -> None:
        """Runs the action at the given time, or at the current time if that is later."""
        heappush(self.queue, (max(when, self.now), self.random.random(), self.next_event_number(), action))

    def run(self, until: float) -> None:
        """Runs all events that are due up to the given time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, _, action = heappop(self.queue)
            action()
        self.now = until

    def transmit(self, source: str, target: str, size: int, deliver: Action) -> None:
        """Sends one message of `size` bytes, which may be lost, delayed or duplicated."""
        self.message_count += 1
        self.sent_bytes[source] = self.sent_bytes.get(source, 0) + size
        link = (source, target)
        if source != target:
            if self.blocked_links.get(link, 0.0) > self.now or self.random.random() < self.loss_probability:
                return
            slow_until, slow_delay = self.slow_links.get(link, (0.0, 0.0))
            delay = self.base_delay_ms + self.jitter_ms * self.random.random()
            delay += slow_delay if slow_until > self.now else 0.0
        else:
            delay = LOCAL_DELAY_MS
        self.schedule(self.now + delay, deliver)
        if source != target and self.random.random() < self.duplicate_probability:
            self.schedule(self.now + delay + DUPLICATE_DELAY_MS * self.random.random(), deliver)

    def block_link(self, source: str, target: str, until: float) -> None:
        """Drops messages in this direction until the given time, and never shortens an earlier block."""
        self.blocked_links[source, target] = max(until, self.blocked_links.get((source, target), 0.0))


class Host:
    """One process on a machine: its local clock, and whether it is up, down or paused."""

    def __init__(self, environment: SimulatedEnvironment, name: str, drift: float) -> None:
        self.environment = environment
        self.name = name
        self.clock_rate = 1.0 + environment.random.uniform(-drift, drift)
        self.clock_offset_ms = environment.random.uniform(0.0, MAX_CLOCK_OFFSET_MS)
        self.is_up = True
        self.paused_until = 0.0
        self.wall_clock_step_ms = 0.0  # the program never reads the wall clock; an injected fault does
        self.incarnation = 0  # incremented at each start; actions of earlier incarnations are dropped

    def clock(self) -> float:
        """Returns the local monotonic clock in ms."""
        return self.clock_offset_ms + self.environment.now * self.clock_rate

    def true_time(self, local: float) -> float:
        """Converts a time of the local clock to virtual time."""
        return (local - self.clock_offset_ms) / self.clock_rate

    def run_at(self, when: float, action: Action) -> None:
        """Runs the action at a virtual time unless the process has ended or restarted by then. A paused
        process runs it when it resumes."""
        incarnation = self.incarnation

        def run_if_current() -> None:
            if self.incarnation != incarnation or not self.is_up:
                return
            if self.paused_until > self.environment.now:
                self.environment.schedule(self.paused_until, run_if_current)
            else:
                action()

        self.environment.schedule(when, run_if_current)
