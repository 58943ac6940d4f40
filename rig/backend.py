"""One backend of the virtual fleet: the program's own core/ on the rig's clock, beside a stand-in machine.

Everything from core/ down is the code that serves; fronts and links are left out, so a try is handed in as
the ticket a front would make of it, and the agent's commands are carried out at once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from myrtlecrank import port
from myrtlecrank.core.actor import Core
from myrtlecrank.core.letters import (
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
from myrtlecrank.repeats.bounds import Bounds
from rig.callers import Said, Try, said_of
from rig.clock import Clock
from rig.machine import Build, Job, Machine
from rig.rules import Rules


class Backend:
    HOP = 0.5  # ms between callers, backends and agents
    LOOK = 20.0  # how often a leaving process looks whether all is done

    def __init__(
        self,
        number: int,
        clock: Clock,
        facts: port.StartFacts,
        build: Build,
        rules: Rules,
        cold: bool,
        stop_ms: float,
        tell_list: Callable[[int, bool], None],
        bounds: Bounds | None,
        with_core: Callable[[Core], None] = lambda _: None,
        on_read: Callable[[Try], None] = lambda _: None,
    ) -> None:
        self.number, self.clock, self.rules = number, clock, rules
        self.machine = Machine(clock, build, cold, None if cold else clock.now - 60_000.0)
        self.stop_ms = stop_ms
        self.alive = True
        self.notice: float | None = None  # when the notice to leave came
        self.tries: dict[str, Try] = {}  # read and not answered, or still running
        self.unread: dict[Try, None] = {}
        self.jobs: dict[str, Job] = {}
        self.letters: list[Event] = []
        self.woken = False
        self.wind_at = float("inf")
        self.on_read = on_read
        self.core = Core(
            replace(facts, cold=cold),
            stop_ms,
            self._command,
            lambda on: tell_list(number, on),
            now=clock.now,
            repeats=bounds,
        )
        with_core(self.core)
        up = clock.now - self.machine.born
        self._post(Greeted(cold, up))

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
        self.core.turn(letters, self.clock.now)
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

    # Callers

    def asked(self, one: Try) -> None:
        """A try comes to the machine."""
        if not self.alive or (self.notice is not None and self.core.board.shut):
            self.clock.after(self.HOP, lambda: one.caller.heard(one, Said.CLOSED))
            return
        one.reached = self.clock.now
        self.unread[one] = None
        self.machine.read(lambda: self._read(one))

    def _read(self, one: Try) -> None:
        if not self.alive or one not in self.unread:
            return
        del self.unread[one]
        wish = one.wish
        self.tries[one.ident] = one
        self.rules.read(one, self.clock.now)
        self.on_read(one)
        wait = wish.due - wish.first if one.caller.habits.told_whole else one.wait
        self._post(
            Arrived(
                Ticket(
                    ident=one.ident,
                    group=wish.group,
                    tenant=wish.tenant,
                    reached=one.reached,
                    wait=wait,
                    kb=wish.kb,
                    rank=wish.rank,
                    caller=one.caller.number,
                    about="",
                    body=wish.body,
                    answer=self._answer,
                    place=one,
                )
            )
        )

    def _answer(self, answer: Answer) -> None:
        one: Try = answer.ticket.place
        said = said_of(answer.verdict)
        value = self.core.board.value
        if one.ident not in self.jobs:
            self.tries.pop(one.ident, None)

        def deliver() -> None:
            self.rules.answered(one, said, self.clock.now)
            one.caller.heard(one, said, value, answer.wait, answer.last)

        self.clock.after(self.HOP, deliver)

    # The agent

    def _command(self, command: Command) -> None:
        match command:
            case Launch(ident, _, _):
                self.clock.after(self.HOP, lambda: self._launch(ident))
            case Freeze(ident):
                self.clock.after(self.HOP, lambda: self._freeze(ident))
            case Sample(tag):
                self.clock.after(
                    self.HOP, lambda: self._post(Sampled(tag, port.Gauges(**self.machine.gauges())))
                )

    def _launch(self, ident: str) -> None:
        one = self.tries.get(ident)
        if one is None or not self.alive:
            return
        self.rules.launched(one, self.clock.now, self.notice)
        self.jobs[ident] = self.machine.run(
            one.wish.work, one.wish.kb, lambda: self._ended(ident, port.Outcome.OK)
        )

    def _freeze(self, ident: str) -> None:
        job = self.jobs.get(ident)
        if job is not None and self.alive and self.machine.halt(job):
            self._ended(ident, port.Outcome.CANCELLED)

    def _ended(self, ident: str, outcome: port.Outcome) -> None:
        job = self.jobs.pop(ident)
        if self.alive:
            self._post(RunEnded(ident, outcome, self.clock.now - job.began, b""))

    # Its end

    def leave(self) -> None:
        if self.alive and self.notice is None:
            self.notice = self.clock.now
            self._post(Leave())
            self.clock.after(self.stop_ms, self.stop)

    def stop(self) -> None:
        if self.alive:
            self.rules.stopped([one for one in self.tries.values() if one.answered is None])
            self.kill()

    def kill(self) -> None:
        """Outright, with its machine: all that is open there breaks."""
        if not self.alive:
            return
        self.alive = False
        self.machine.die()
        gone = [one for one in self.tries.values() if one.answered is None] + list(self.unread)
        for one in gone:
            self.rules.cut(one)
            self.clock.after(self.HOP, lambda one=one: one.caller.heard(one, Said.BROKEN))  # type: ignore[misc]
        self.tries.clear()
        self.unread.clear()

    def probe(self) -> dict[str, Any]:
        controller = self.core.controller
        if controller is None:
            return {}
        return {
            "open_to": controller.open_to,
            "held": controller.held,
            "running": len(controller.running),
            "unread": len(self.machine.unread),
            "wait": controller.unread,
            "sick": controller.sick_until > 0,
            "limit": controller.limit,
            "slowness": controller.slowness,
            "reading": controller.reading,
        }
