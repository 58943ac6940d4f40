"""One backend of the virtual fleet: the program's own core/ on the rig's clock, beside a stand-in machine.

Everything from core/ down is the code that serves; fronts and links are left out, so a try is handed in as
the ticket a front would make of it, and the agent's commands are carried out at once."""

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
from rig.backend_stand_in import Stand
from rig.callers import Try, said_of
from rig.machine import Build, Time
from rig.rules import Rules

ENDS = {"PASS": interface.Outcome.OK, "KILLED": interface.Outcome.CANCELLED}


class Backend(Stand):
    LOOK = 20.0  # how often a leaving process looks whether all is done

    def __init__(
        self,
        number: int,
        clock: Time,
        settings: interface.ControllerSettings,
        build: Build,
        rules: Rules,
        cold: bool,
        stop_ms: float,
        tell_list: Callable[[int, bool], None],
        options: RetryOptions | None,
        with_core: Callable[[Core], None] = lambda _: None,
        on_read: Callable[[Try], None] = lambda _: None,
    ) -> None:
        super().__init__(number, clock, build, rules, cold, stop_ms, tell_list, on_read)
        self.letters: list[CoreEvent] = []
        self.woken = False
        self.wind_at = float("inf")
        told = replace(settings, cold=cold)
        self.core = Core(
            told,
            stop_ms,
            self._command,
            lambda on: tell_list(number, on),
            now=clock.now,
            retry_options=options,
        )
        with_core(self.core)
        self._post(AgentConnected(cold, clock.now - self.machine.born))

    # The module's actor on the clock

    def _post(self, letter: CoreEvent) -> None:
        self.letters.append(letter)
        if not self.woken:
            self.woken = True
            self.clock.at(self.clock.now, self._turn)

    def _turn(self) -> None:
        self.woken = False
        if not self.alive:
            return
        messages, self.letters = self.letters, []
        self.core.process_batch(messages, self.clock.now)
        timers = self.core.timers
        if timers and timers[0][0] != self.wind_at:
            at = self.wind_at = max(timers[0][0], self.clock.now)
            self.clock.at(at, lambda: self._ring(at))
        if (
            self.notice is not None
            and not self.core.unanswered
            and self.core.published.stopped_accepting
            and not self.unread
        ):
            self.clock.after(self.LOOK, self.stop)  # answers on their way are written first

    def _ring(self, at: float) -> None:
        if at == self.wind_at and self.alive:
            self.wind_at = float("inf")
            if not self.woken:
                self._turn()

    # Callers and the agent

    def accepts(self) -> bool:
        return self.notice is None or not self.core.published.stopped_accepting

    def hand_in(self, one: Try) -> None:
        self.taken(one)
        wish = one.wish
        request = ExchangeRequest(
            exchange_id=one.ident,
            group=wish.group,
            tenant=wish.tenant,
            arrived_at=one.reached,
            caller_timeout=wish.due - wish.first if one.caller.habits.told_whole else one.wait,
            kb=wish.kb,
            rank=wish.rank,
            caller=one.caller.number,
            result_key="",
            body=wish.body,
            send_answer=self._answer,
            reply_context=one,
        )
        self._post(ExchangeArrived(request))

    def _answer(self, answer: Answer) -> None:
        one: Try = answer.request.reply_context
        said, value = said_of(answer.verdict), self.core.published.published_value
        self.clock.after(
            self.HOP, lambda: self.answered(one, said, value, answer.retry_after, answer.no_other_backend)
        )

    def _command(self, command: AgentCommand) -> None:
        match command:
            case StartRun(exchange_id, _, _):
                self.clock.after(self.HOP, lambda: self.launch(exchange_id))
            case CancelRun(exchange_id):
                self.clock.after(self.HOP, lambda: self.freeze(exchange_id))
            case SampleGauges(tag):
                self.clock.after(
                    self.HOP,
                    lambda: self._post(GaugesSampled(tag, interface.Gauges(**self.machine.gauges()))),
                )

    def notify(self, exchange_id: str, end: str, took: float) -> None:
        self._post(RunEnded(exchange_id, ENDS[end], took, b""))

    def leave(self) -> None:
        if self.alive and self.notice is None:
            self.notice = self.clock.now
            self._post(DrainRequested(self.notice))
            self.clock.after(self.stop_ms, self.stop)
