"""Common part of the stand-ins around one backend, whatever carries the exchanges: the machine reads and runs
them, and the end of the backend breaks open tries."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from rig.callers import Try, TryOutcome
from rig.machine import Job, Machine, MachineSpec, Scheduler
from rig.rules import Rules

WARM_UPTIME_MS = 60_000.0  # of machines that were up before the experiment


class BackendStandIn:
    """Machine, agent and callers' connections of one backend."""

    NETWORK_DELAY_MS = 0.5  # between callers, backends and agents

    def __init__(
        self,
        number: int,
        clock: Scheduler,
        build: MachineSpec,
        rules: Rules,
        cold: bool,
        stop_ms: float,
        report_membership: Callable[[int, bool], None],
        on_read: Callable[[Try], None],
    ) -> None:
        self.number, self.clock, self.rules = number, clock, rules
        self.machine = Machine(clock, build, cold, None if cold else clock.now - WARM_UPTIME_MS)
        self.stop_ms, self.report_membership, self.on_read = stop_ms, report_membership, on_read
        self.alive = True
        self.drain_requested_at: float | None = None  # in ms
        self.tries: dict[str, Try] = {}  # read and not yet answered, or still running
        self.unread: dict[Try, None] = {}
        self.jobs: dict[str, Job] = {}

    # Implemented by each kind of backend

    def accepts_connections(self) -> bool:
        """Returns whether a new connection would be accepted."""
        raise NotImplementedError

    def submit(self, one: Try) -> None:
        """Passes a try that the machine has read to the backend, and calls mark_read()."""
        raise NotImplementedError

    def report_run_end(self, exchange_id: str, end: str, duration_ms: float) -> None:
        """Reports the end of a run to the backend: PASS or KILLED."""
        raise NotImplementedError

    def request_drain(self) -> None:
        """Starts the drain of the backend, as SIGTERM does."""
        raise NotImplementedError

    # Callers

    def receive_try(self, one: Try) -> None:
        """Handles a try that arrives at the machine."""
        if not self.alive or not self.accepts_connections():
            self.clock.call_later(
                self.NETWORK_DELAY_MS, lambda: one.caller.receive_answer(one, TryOutcome.NOT_CONNECTED)
            )
            return
        one.arrived_at = self.clock.now
        self.unread[one] = None
        self.machine.read(lambda: self._read(one))

    def _read(self, one: Try) -> None:
        if self.alive and one in self.unread:
            del self.unread[one]
            self.submit(one)

    def mark_read(self, one: Try) -> None:
        """Records that the backend has received all of a try and owes an answer from now on."""
        self.tries[one.exchange_id] = one
        self.rules.record_read(one, self.clock.now)
        self.on_read(one)

    def deliver_answer(
        self, one: Try, outcome: TryOutcome, value: float | None, retry_after: float, no_other_backend: bool
    ) -> None:
        """Passes an answer of the backend to the rule checker and then to the caller."""
        if one.exchange_id not in self.jobs:
            self.tries.pop(one.exchange_id, None)
        self.rules.record_answer(one, outcome, self.clock.now)
        one.caller.receive_answer(one, outcome, value, retry_after, no_other_backend)

    # The agent

    def start_run(self, exchange_id: str) -> None:
        """Carries out a start command; unknown and running exchanges are ignored."""
        one = self.tries.get(exchange_id)
        if one is None or not self.alive or exchange_id in self.jobs:
            return
        self.rules.record_run_start(one, self.clock.now, self.drain_requested_at)
        self.jobs[exchange_id] = self.machine.run(
            one.request.work_ms, one.request.memory_kb, lambda: self._ended(exchange_id, "PASS")
        )

    def cancel_run(self, exchange_id: str) -> None:
        """Carries out a cancel command; ended runs are ignored."""
        job = self.jobs.get(exchange_id)
        if job is not None and self.alive and self.machine.cancel(job):
            self._ended(exchange_id, "KILLED")

    def _ended(self, exchange_id: str, end: str) -> None:
        job = self.jobs.pop(exchange_id)
        one = self.tries.get(exchange_id)
        if one is not None and one.outcome is not None:
            del self.tries[exchange_id]
        if self.alive:
            self.report_run_end(exchange_id, end, self.clock.now - job.began_at)

    # End of the backend

    def stop(self) -> None:
        """Ends the process after a drain, or records that it has ended."""
        if self.alive:
            self.rules.record_stop([one for one in self.tries.values() if one.outcome is None])
            self.kill()

    def kill(self) -> None:
        """Kills the backend with its machine: all open tries lose their connection."""
        if not self.alive:
            return
        self.alive = False
        self.machine.shut_down()
        unanswered = [one for one in self.tries.values() if one.outcome is None] + list(self.unread)
        for one in unanswered:
            self.rules.record_lost_try(one)
            answer = partial(one.caller.receive_answer, one, TryOutcome.CONNECTION_LOST)
            self.clock.call_later(self.NETWORK_DELAY_MS, answer)
        self.tries.clear()
        self.unread.clear()
