"""One backend of the virtual fleet: the program's own core/ on the rig's clock, with a simulated machine.

The code of core/ and the packages it uses is the code that serves. The edge server and the clients of agent
and membership list are left out: a try is submitted as the message that the edge server would make of it, and
the agent's commands are carried out at once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from myrtlecrank.core.actor import Core
from myrtlecrank.core.messages import (
    AgentCommand,
    AgentConnected,
    Answer,
    CancelRun,
    CoreEvent,
    DrainRequested,
    ExchangeArrived,
    ExchangeRequest,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    StartRun,
)
from myrtlecrank.policy import interface
from myrtlecrank.retries.options import RetryOptions
from rig.backend_stand_in import BackendStandIn
from rig.callers import Try, outcome_of_verdict
from rig.machine import MachineSpec, Scheduler
from rig.rules import Rules

OUTCOME_OF_END = {"PASS": interface.Outcome.OK, "KILLED": interface.Outcome.CANCELLED}


class Backend(BackendStandIn):
    """Runs a Core on the virtual clock."""

    DRAIN_POLL_MS = 20.0  # interval at which a draining backend checks for its end

    def __init__(
        self,
        number: int,
        clock: Scheduler,
        settings: interface.ControllerSettings,
        build: MachineSpec,
        rules: Rules,
        cold: bool,
        stop_ms: float,
        report_membership: Callable[[int, bool], None],
        options: RetryOptions | None,
        with_core: Callable[[Core], None] = lambda _: None,
        on_read: Callable[[Try], None] = lambda _: None,
    ) -> None:
        super().__init__(number, clock, build, rules, cold, stop_ms, report_membership, on_read)
        self.messages: list[CoreEvent] = []
        self.batch_is_scheduled = False
        self.timer_at = float("inf")
        start_settings = replace(settings, cold=cold)
        self.core = Core(
            start_settings,
            stop_ms,
            self._command,
            lambda on: report_membership(number, on),
            now=clock.now,
            retry_options=options,
        )
        with_core(self.core)
        self._post(AgentConnected(cold, clock.now - self.machine.started_at))

    # The core's actor on the clock

    def _post(self, message: CoreEvent) -> None:
        self.messages.append(message)
        if not self.batch_is_scheduled:
            self.batch_is_scheduled = True
            self.clock.call_at(self.clock.now, self._process_batch)

    def _process_batch(self) -> None:
        self.batch_is_scheduled = False
        if not self.alive:
            return
        messages, self.messages = self.messages, []
        self.core.process_batch(messages, self.clock.now)
        due = self.core.timers.next_due()
        if due is not None and due != self.timer_at:
            at = self.timer_at = max(due, self.clock.now)
            self.clock.call_at(at, lambda: self._timer_fired(at))
        if (
            self.drain_requested_at is not None
            and not self.core.unanswered
            and self.core.published.stopped_accepting
            and not self.unread
        ):
            self.clock.call_later(self.DRAIN_POLL_MS, self.stop)  # answers in transit are delivered first

    def _timer_fired(self, at: float) -> None:
        if at == self.timer_at and self.alive:
            self.timer_at = float("inf")
            if not self.batch_is_scheduled:
                self._process_batch()

    # Callers and the agent

    def accepts_connections(self) -> bool:
        return self.drain_requested_at is None or not self.core.published.stopped_accepting

    def submit(self, one: Try) -> None:
        self.mark_read(one)
        request = one.request
        exchange_request = ExchangeRequest(
            exchange_id=one.exchange_id,
            group=request.group,
            tenant=request.tenant,
            arrived_at=one.arrived_at,
            caller_timeout=request.deadline - request.created_at
            if one.caller.behaviour.told_whole
            else one.timeout,
            kb=request.memory_kb,
            rank=request.rank,
            caller=one.caller.number,
            result_key="",
            body=request.body,
            send_answer=self._answer,
            reply_context=one,
        )
        self._post(ExchangeArrived(exchange_request))

    def _answer(self, answer: Answer) -> None:
        one: Try = answer.request.reply_context
        outcome, value = outcome_of_verdict(answer.verdict), self.core.published.published_value
        self.clock.call_later(
            self.NETWORK_DELAY_MS,
            lambda: self.deliver_answer(one, outcome, value, answer.retry_after, answer.no_other_backend),
        )

    def _command(self, command: AgentCommand) -> None:
        match command:
            case StartRun(exchange_id, _, _):
                self.clock.call_later(self.NETWORK_DELAY_MS, lambda: self.start_run(exchange_id))
            case CancelRun(exchange_id):
                self.clock.call_later(self.NETWORK_DELAY_MS, lambda: self.cancel_run(exchange_id))
            case SampleGauges(tag):
                self.clock.call_later(
                    self.NETWORK_DELAY_MS,
                    lambda: self._post(GaugesSampled(tag, interface.Gauges(**self.machine.gauges()))),
                )

    def report_run_end(self, exchange_id: str, end: str, duration_ms: float) -> None:
        self._post(RunEnded(exchange_id, OUTCOME_OF_END[end], duration_ms, b""))

    def request_drain(self) -> None:
        if self.alive and self.drain_requested_at is None:
            self.drain_requested_at = self.clock.now
            self._post(DrainRequested(self.drain_requested_at))
            self.clock.call_later(self.stop_ms, self.stop)
