"""Simulated callers: they try the listed backends in turn, send retries without a mark, and respect
backpressure or ignore it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from rig.machine import Scheduler

EMPTY_LIST_RETRY_MS = 100.0
LONG_AGO = -1e18


class TryOutcome(Enum):
    """How a try ended, as its caller sees it."""

    COMPLETED = 0
    DENIED = 1
    TERMINATED = 2
    CONNECTION_LOST = 3  # the connection ended before the answer
    NOT_CONNECTED = 4  # no connection was made: nothing was sent


@dataclass(eq=False, slots=True)
class Request:
    """One user request, which covers its first try and all retries. Times in ms."""

    number: int
    created_at: float
    group: int
    tenant: int
    rank: float
    memory_kb: float
    body: bytes
    work_ms: float
    ignores_backpressure: bool
    slo: float
    deadline: float
    benefit: float
    tries: int = 0
    served_at: float | None = None
    is_finished: bool = False
    backends_considered: int = 0  # backends of the list considered so far
    list_position: int = 0


@dataclass(eq=False, slots=True)
class Try:
    """One exchange that a caller sends for a request. Times in ms."""

    exchange_id: str
    request: Request
    caller: Caller
    backend: int
    sent_at: float
    timeout: float
    attempt: int  # 1 for the first try of its request
    arrived_at: float = 0.0
    read_at: float | None = None  # when the backend had received all of it
    outcome: TryOutcome | None = None
    answered_at: float = 0.0
    is_abandoned: bool = False  # the caller has stopped waiting
    run_starts: list[float] = field(default_factory=list)
    is_lost: bool = False


@dataclass(frozen=True)
class CallerBehaviour:
    """Caller behaviour. Times in ms. Field names are written to result.json."""

    deaf: bool = False  # ignores credit and the answer fields `l` and `w`
    tries_at_most: int = 1_000_000
    after_failure: bool = True  # retries what was terminated or lost with its connection
    patience: float | None = None  # timeout of a single try; None: all the time left
    first: float | None = (
        None  # timeout of the first try alone, for callers that soon turn to another backend
    )
    least_left: float = 30.0  # no further try with less time left
    heeded: float = 1000.0  # lifetime of a published value
    longest_away: float = 1000.0
    pause: float = 1.0  # between a denial and the next try
    told_whole: bool = False  # sends the whole timeout with each try instead of the time left


class Network(Protocol):
    """Carries tries to backends; answers return through Caller.heard()."""

    def send(self, one: Try) -> None: ...
    def listed_backends(self, caller: Caller) -> list[int]: ...


class Caller:
    """One edge node. It goes through its list round-robin; each request has one try at a time."""

    def __init__(
        self,
        number: int,
        clock: Scheduler,
        network: Network,
        behaviour: CallerBehaviour,
        seed: int,
        on_try: Callable[[Try], None],
        on_finished: Callable[[Request], None],
    ) -> None:
        self.number, self.clock, self.network, self.behaviour = number, clock, network, behaviour
        self.random = random.Random(f"caller {number} {seed}")
        self.next_position = self.random.randrange(1000)
        self.credit: dict[int, tuple[float, float]] = {}  # by backend: published value and its time
        self.away_until: dict[int, float] = {}
        self.outstanding: dict[int, int] = {}
        self.on_try, self.on_finished = on_try, on_finished
        self.exchange_count = 0

    def submit(self, request: Request) -> None:
        """Sends the first try of a request."""
        request.list_position = self.next_position
        self.next_position += 1
        self._send_try(request)

    def _may_send_to(self, backend: int) -> bool:
        """Returns whether a caller that respects backpressure would send to this backend."""
        now = self.clock.now
        if self.away_until.get(backend, 0.0) > now:
            return False
        value, at = self.credit.get(backend, (0.0, LONG_AGO))
        if now - at > self.behaviour.heeded:
            return True
        capacity = int(value) + (self.random.random() < value - int(value))
        return self.outstanding.get(backend, 0) < capacity

    def _choose_backend(self, request: Request) -> int | None:
        listed = self.network.listed_backends(self)
        while listed and (self.behaviour.deaf or request.backends_considered < len(listed)):
            backend = listed[request.list_position % len(listed)]
            request.list_position += 1
            request.backends_considered += 1
            if self.behaviour.deaf or self._may_send_to(backend):
                return backend
        return None

    def _send_try(self, request: Request) -> None:
        now = self.clock.now
        remaining_ms = request.deadline - now
        if request.is_finished:
            return
        backend = None
        if remaining_ms >= self.behaviour.least_left and request.tries < self.behaviour.tries_at_most:
            backend = self._choose_backend(request)
            if backend is None and self.behaviour.deaf:
                self.clock.call_later(EMPTY_LIST_RETRY_MS, lambda: self._send_try(request))
                return
        if backend is None:
            self._finish(request)
            return
        request.tries += 1
        self.exchange_count += 1
        patience = (
            self.behaviour.first if request.tries == 1 and self.behaviour.first else self.behaviour.patience
        )
        timeout = remaining_ms if patience is None else min(remaining_ms, patience)
        one = Try(
            f"{self.number:06x}{self.exchange_count:010x}",
            request,
            self,
            backend,
            now,
            timeout,
            request.tries,
        )
        self.outstanding[backend] = self.outstanding.get(backend, 0) + 1
        self.on_try(one)
        self.clock.call_later(timeout, lambda: self._abandon(one))
        self.network.send(one)

    def _abandon(self, one: Try) -> None:
        if one.outcome is None:
            one.is_abandoned = True
            self.outstanding[one.backend] -= 1
            self._retry(one.request, failed=True)

    def receive_answer(
        self,
        one: Try,
        outcome: TryOutcome,
        published_value: float | None = None,
        retry_after: float = 0.0,
        no_other_backend: bool = False,
    ) -> None:
        """Handles the end of a try: finishes the request or schedules a retry."""
        now = self.clock.now
        if published_value is not None:
            self.credit[one.backend] = (published_value, now)
        if one.outcome is not None:
            return  # a second answer; the rule checker has counted it
        one.outcome, one.answered_at = outcome, now
        if one.is_abandoned:
            return
        self.outstanding[one.backend] -= 1
        request = one.request
        if retry_after > 0:
            self.away_until[one.backend] = now + min(retry_after, self.behaviour.longest_away)
        if outcome is TryOutcome.COMPLETED:
            if request.served_at is None:
                request.served_at = now
            self._finish(request)
        elif outcome is TryOutcome.DENIED and no_other_backend and not self.behaviour.deaf:
            self._finish(request)
        else:
            self._retry(request, failed=outcome is not TryOutcome.DENIED)

    def _retry(self, request: Request, failed: bool) -> None:
        if failed and not self.behaviour.after_failure:
            self._finish(request)
        elif not request.is_finished:
            self.clock.call_later(self.behaviour.pause, lambda: self._send_try(request))

    def _finish(self, request: Request) -> None:
        if not request.is_finished:
            request.is_finished = True
            self.on_finished(request)


def outcome_of_verdict(verdict: Any) -> TryOutcome:
    """Returns the outcome for a verdict of the program."""
    return TryOutcome[verdict.name]
