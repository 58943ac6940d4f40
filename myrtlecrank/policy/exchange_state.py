"""The state of one exchange in the controller, and what its flow waits for and is resumed by."""

from __future__ import annotations

from collections.abc import Generator
from enum import Enum
from typing import Any

from myrtlecrank.policy.endpoint_group import EndpointGroupState
from myrtlecrank.policy.interface import EffectKind, Exchange
from myrtlecrank.policy.timers import Timer

# Yields an operation to carry out or a WaitPoint; is sent a ResumeReason or the Outcome of a run or a call.
Flow = Generator[Any, Any, Any]


class Phase(Enum):
    """The phases of an exchange, from queued to closed."""

    QUEUED = 1
    RUNNING = 2
    WAITING_FOR_CALL = 3  # its run waits at a call that is not yet sent, or that failed
    CALLING = 4  # its call to the dependency is in flight
    WAITING_FOR_ORIGINAL = 5  # it takes the outcome of the exchange that it retries
    CLOSED = 6


CALL_PHASES = (Phase.WAITING_FOR_CALL, Phase.CALLING)


class WaitPoint(Enum):
    """What the flow of an exchange waits for without asking for an operation."""

    QUEUE_TURN = 1
    CALL_CAPACITY = 2
    RUN_END = 3


class ResumeReason(Enum):
    """Why the flow of an exchange goes on, beside the outcomes of runs and calls."""

    CAPACITY_FREE = 0  # it may start its run or its call
    REACHED_CALL = 1  # its run waits at a call to the dependency
    DURESS = 2  # it has the highest cancellation score under duress
    TOO_LATE = 3  # its time is up, or an answer could no longer be of use
    DISPLACED = 4  # rejected in favour of another, or for want of memory
    SHUTDOWN = 5  # the process is about to be stopped
    RUN_ENDED = 6  # its run ended, not cancelled by the controller, while it waited at a call


class ExchangeState:
    """One exchange, from its arrival until it is answered and nothing of it runs."""

    def __init__(self, exchange: Exchange, group: EndpointGroupState, now: float) -> None:
        self.exchange = exchange
        self.group = group
        self.phase = Phase.QUEUED
        remaining = (
            group.timeout - exchange.read_delay
            if exchange.remaining_time is None
            else exchange.remaining_time
        )
        self.deadline = now + max(0.0, remaining)
        self.reached_at = now - exchange.read_delay
        # The SLO time counts from here in a retry storm.
        self.first_try_at = self.reached_at - exchange.time_since_first_try
        self.memory_kb = exchange.memory_kb  # what is accounted for it now
        self.key_timer: Timer | None = None  # frees the memory of its key
        self.wake_timer: Timer | None = None  # of its due time, or of its latest useful start
        self.started_at = 0.0
        self.cpu_ms = 0.0
        self.dependency_ms = 0.0  # spent in calls
        self.resumed_at: float | None = None  # when its last call ended, until its run shows that it went on
        self.value = 0.0
        self.is_answered = False
        self.flow: Flow | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether the exchange may run more than once."""
        return self.group.kind is EffectKind.REPEATABLE
