"""One backend of the virtual fleet: the program's own core/ on the rig's clock, beside a stand-in machine.

Everything from core/ down is the code that serves; fronts and links are left out, so a try is handed in as
the ticket a front would make of it, and the agent's commands are carried out at once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from myrtlecrank.core.actor import Core
from myrtlecrank.core.messages import (
    Answer,
    Arrived,
    Command,
    Event,
    Freeze,
    Greeted,
    Launch,
    Leave,
    RunEnded,
    Sample,
    Sampled,
    Ticket,
)
from myrtlecrank.policy import interface
from myrtlecrank.retries.options import Bounds
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
        facts: interface.StartFacts,
        build: Build,
        rules: Rules,
        cold: bool,
        stop_ms: float,
        tell_list: Callable[[int, bool], None],
        bounds: Bounds | None,
        with_core: Callable[[Core], None] = lambda _: None,
        on_read: Callable[[Try], None] = lambda _: None,
    ) -> None:
        super().__init__(number, clock, build, rules, cold, stop_ms, tell_list, on_read)
        self.letters: list[Event] = []
        self.woken = False
        self.wind_at = float("inf")
        told = replace(facts, cold=cold)
        self.core = Core(
            told, stop_ms, self._command, lambda on: tell_list(number, on), now=clock.now, repeats=bounds
        )
        with_core(self.core)
        self._post(Greeted(cold, clock.now - self.machine.born))

    # The module's actor on the clock

    def _post(self, letter: Event) -> None:
        self.letters.append(letter)
        if not self.woken:
            self.woken = True
            self.clock.at(self.clock.now, self._turn)

    def _turn(self) -> None:
        self.woken = False
        if not self.alive:
            return
        letters, self.letters = self.letters, []
        self.core.process_batch(letters, self.clock.now)
        timers = self.core.timers
        if timers and timers[0][0] != self.wind_at:
            at = self.wind_at = max(timers[0][0], self.clock.now)
            self.clock.at(at, lambda: self._ring(at))
        if self.notice is not None and not self.core.unanswered and self.core.board.shut and not self.unread:
            self.clock.after(self.LOOK, self.stop)  # answers on their way are written first

    def _ring(self, at: float) -> None:
        if at == self.wind_at and self.alive:
            self.wind_at = float("inf")
            if not self.woken:
                self._turn()

    # Callers and the agent

    def accepts(self) -> bool:
        return self.notice is None or not self.core.board.shut

    def hand_in(self, one: Try) -> None:
        self.taken(one)
        wish = one.wish
        ticket = Ticket(
            ident=one.ident,
            group=wish.group,
            tenant=wish.tenant,
            reached=one.reached,
            wait=wish.due - wish.first if one.caller.habits.told_whole else one.wait,
            kb=wish.kb,
            rank=wish.rank,
            caller=one.caller.number,
            about="",
            body=wish.body,
            answer=self._answer,
            place=one,
        )
        self._post(Arrived(ticket))

    def _answer(self, answer: Answer) -> None:
        one: Try = answer.ticket.place
        said, value = said_of(answer.verdict), self.core.board.value
        self.clock.after(self.HOP, lambda: self.answered(one, said, value, answer.wait, answer.last))

    def _command(self, command: Command) -> None:
        match command:
            case Launch(ident, _, _):
                self.clock.after(self.HOP, lambda: self.launch(ident))
            case Freeze(ident):
                self.clock.after(self.HOP, lambda: self.freeze(ident))
            case Sample(tag):
                self.clock.after(
                    self.HOP, lambda: self._post(Sampled(tag, interface.Gauges(**self.machine.gauges())))
                )

    def notify(self, ident: str, end: str, took: float) -> None:
        self._post(RunEnded(ident, ENDS[end], took, b""))

    def leave(self) -> None:
        if self.alive and self.notice is None:
            self.notice = self.clock.now
            self._post(Leave(self.notice))
            self.clock.after(self.stop_ms, self.stop)
