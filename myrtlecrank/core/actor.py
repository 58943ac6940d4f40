"""The module's actor: its table of exchanges, timers, kept results, gauges, start and drain.

Whatever is ready together goes to the module as one batch with one settle(). The actor takes no decision: it
carries out what the module asks for and sees to it that each exchange gets one final answer."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from loguru import logger

from myrtlecrank import port
from myrtlecrank.core.board import Board
from myrtlecrank.core.ends import OUTCOMES, End
from myrtlecrank.core.letters import (
    Answer,
    Arrived,
    CallersLeft,
    Command,
    Event,
    Freeze,
    Greeted,
    Launch,
    Leave,
    Parted,
    RunEnded,
    Sample,
    Sampled,
    Ticket,
    Verdict,
)
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.logic import Controller
from myrtlecrank.port import Gauges, Kind, Outcome

MAILBOX = 2048
RESULT_AT_MOST = 5120  # a result and what stands around it
KEPT_BYTES = 24_000_000  # results kept for repeats, of the program's own memory
Do = Callable[[], None]


def unix_ms() -> float:
    return time.time() * 1000.0


class Entry:
    """One exchange in the table, from its arrival until nothing can ask for it any more."""

    __slots__ = ("answered", "doubt", "earlier", "ended_at", "ex", "joiners", "outcome", "result", "running",
                 "stopping", "ticket")

    def __init__(self, ticket: Ticket, ex: port.Exchange, earlier: Entry | None) -> None:
        self.ticket, self.ex, self.earlier = ticket, ex, earlier
        self.answered = self.running = self.stopping = False
        self.doubt: Outcome | None = None  # what became of a launch whose link was lost
        self.outcome: Outcome | None = None
        self.ended_at = 0.0
        self.result = b""
        self.joiners: list[Entry] = []


class Core:
    def __init__(
        self,
        facts: port.StartFacts,
        stop_ms: float,
        command: Callable[[Command], None],
        tell_health: Callable[[bool], None],
        now: float | None = None,
    ) -> None:
        self.mailbox: Mailbox[Event] = Mailbox(MAILBOX)
        self.board = Board(idle=facts.idle)
        self.facts, self.stop_ms = facts, stop_ms
        self.command, self.tell_health = command, tell_health
        self.on_beat: list[Callable[[float], None]] = []
        self.on_shut: list[Callable[[], None]] = []
        self.now = unix_ms() if now is None else now
        self.controller: Controller | None = None
        self.linked = False
        self.missed: str | None = None  # the tag of the sample that follows the missed notices
        self.table: dict[str, Entry] = {}
        self.entries: dict[port.Exchange, Entry] = {}
        self.unanswered = 0
        self.kept: dict[tuple[int, str], tuple[Entry, float]] = {}
        self.kept_bytes = 0
        self.timers: list[tuple[float, int, Do]] = []
        self.order = count().__next__
        self.sampled: str | None = None  # the tag of the sample that a beat waits for
        self.alarm = ("", 0.0)
        self.alarm_due = 0.0
        self.stop_at: float | None = None

    def run(self) -> None:
        while True:
            wait = max(0.0, self.timers[0][0] - unix_ms()) if self.timers else None
            self.turn(self.mailbox.take(wait), unix_ms())

    def turn(self, letters: list[Event], now: float) -> None:
        """One batch: the letters, what is due, then what the module makes of it."""
        self.now = max(self.now, now)  # the system's clock may step back, the module's never does
        for letter in letters:
            self._read(letter)
        while self.timers and self.timers[0][0] <= self.now:
            heappop(self.timers)[2]()
        if self.controller is not None:
            self.controller.settle(self.now)

    def _read(self, letter: Event) -> None:
        match letter:
            case Arrived(ticket):
                self._arrived(ticket)
            case RunEnded(ident, outcome, took, result):
                self._run_ended(ident, outcome, took, result)
            case Sampled(tag, gauges):
                self._sampled(tag, gauges)
            case CallersLeft(tickets):
                for ticket in tickets:
                    self._caller_left(ticket)
            case Greeted(cold, up):
                self._greeted(cold, up)
            case Parted(end):
                self.linked, self.missed = False, None
                # Even where no way to the agent is left, what was written to a link that stood may have run.
                lost = Outcome.RESET if end is End.UNREACHED else OUTCOMES[end]
                for entry in self.table.values():
                    if entry.running and entry.doubt is None:
                        entry.doubt = lost
            case Leave():
                self._leave()

    # Start, drain, the agent's link

    def _greeted(self, cold: bool, up: float) -> None:
        self.linked = True
        if self.controller is not None:
            # The notices that were missed come first; what they leave in doubt is settled after them.
            self.missed = f"m{self.order()}"
            self.command(Sample(self.missed))
            return
        self.facts.cold = cold
        logger.info("the machine is up for {:.0f} ms, {}", up, "cold" if cold else "warm")
        self.controller = Controller(self.facts, self._do, self.now - up)
        if self.stop_at is not None:
            self.controller.leave(self.stop_at - self.now, self.now)

    def _settle_doubts(self) -> None:
        for entry in self.table.values():
            if not entry.running or entry.doubt is None:
                continue
            unrun = entry.doubt is Outcome.UNREACHED
            if entry.stopping:
                self.command(Freeze(entry.ticket.ident))
            elif unrun or self.facts.groups[entry.ticket.group].kind is Kind.REPEATABLE:
                self._launch(entry)
            entry.doubt = None

    def _leave(self) -> None:
        if self.stop_at is not None:
            return
        logger.info("notice to leave, {} exchanges in hand", self.unanswered)
        self.stop_at = self.now + self.stop_ms
        if self.controller is not None:
            self._at(self.controller.leave(self.stop_ms, self.now), self._shut)
        else:
            self.board.well = False
            self.tell_health(False)
            self._shut()

    def _shut(self) -> None:
        """Nothing that comes from now on would run."""
        self.board.shut = True
        for hook in self.on_shut:
            hook()

    # Exchanges

    def _arrived(self, ticket: Ticket) -> None:
        if self.controller is None or ticket.ident in self.table:
            # Before the start nothing runs, and one name cannot stand for two runs.
            why = "before the start" if self.controller is None else "under a name in use"
            logger.warning("an exchange {} is terminated", why)
            ticket.answer(Answer(ticket, Verdict.TERMINATED))
            return
        waited = max(0.0, self.now - ticket.reached)
        earlier = self._earlier(ticket)
        ex = port.Exchange(
            group=ticket.group,
            left=None if ticket.wait is None else ticket.wait - waited,
            waited=waited,
            kb=ticket.kb,
            caller=ticket.caller,
            tenant=ticket.tenant,
            rank=ticket.rank,
            keyed=bool(ticket.about),
            earlier=earlier.ex if earlier else None,
        )
        entry = self.table[ticket.ident] = self.entries[ex] = Entry(ticket, ex, earlier)
        self.unanswered += 1
        self.controller.arrived(ex, self.now)
        self._tidy(entry)

    def _caller_left(self, ticket: Ticket) -> None:
        entry = self.table.get(ticket.ident)
        if entry is None or entry.ticket is not ticket or entry.answered or self.controller is None:
            return
        self._answered(entry)
        self.controller.caller_left(entry.ex, self.now)
        self._tidy(entry)

    def _run_ended(self, ident: str, outcome: Outcome, took: float, result: bytes) -> None:
        entry = self.table.get(ident)
        if entry is None or not entry.running:
            return
        entry.running = False
        self._ended(entry, outcome, took, result)

    def _ended(self, entry: Entry, outcome: Outcome, took: float, result: bytes) -> None:
        assert self.controller is not None
        entry.outcome, entry.ended_at, entry.result = outcome, self.now, result
        if outcome is Outcome.OK:
            self._answer(entry, Verdict.COMPLETED, result=result)
        elif outcome is Outcome.ERROR:
            self._answer(entry, Verdict.TERMINATED)
        self.controller.finished(entry.ex, outcome, took, self.now)
        if outcome is Outcome.MOOT:
            self._answer(entry, Verdict.TERMINATED)
        for joiner in entry.joiners:
            self._join(joiner, entry)
        entry.joiners.clear()
        if outcome is not Outcome.OK:
            self._forget(entry)
        self._tidy(entry)

    def _answer(self, entry: Entry, verdict: Verdict, result: bytes = b"", wait: float = 0.0,
                last: bool = False) -> None:
        if not entry.answered:
            self._answered(entry)
            entry.ticket.answer(Answer(entry.ticket, verdict, result, wait, last))

    def _answered(self, entry: Entry) -> None:
        entry.answered = True
        self.unanswered -= 1

    def _tidy(self, entry: Entry) -> None:
        """Out of the table once the answer is given and no run goes on."""
        if entry.answered and not entry.running and self.table.get(entry.ticket.ident) is entry:
            del self.table[entry.ticket.ident]
            del self.entries[entry.ex]

    # What the module asks for

    def _do(self, op: port.Operation) -> None:
        match op:
            case port.Start(ex):
                entry = self.entries[ex]
                entry.running = True
                self._launch(entry)
            case port.Halt(ex):
                entry = self.entries[ex]
                entry.stopping = True
                if self.linked:
                    self.command(Freeze(entry.ticket.ident))
            case port.Deny(ex, last, wait):
                self._answer(self.entries[ex], Verdict.DENIED, wait=wait, last=last)
                self._tidy(self.entries[ex])
            case port.Fail(ex):
                self._answer(self.entries[ex], Verdict.TERMINATED)
                self._tidy(self.entries[ex])
            case port.Publish(value):
                self.board.value = value
            case port.Health(on, _):
                if on != self.board.well:
                    logger.info("health is {}", "good" if on else "bad")
                self.board.well = on
                self.tell_health(on)
            case port.IdleLimit(span):
                self.board.idle = span
            case port.Alarm(name, delay):
                # Counted from when the last one was due, or every wait for gauges would lengthen the beat.
                since = self.alarm_due if self.now - self.alarm_due < delay else self.now
                self.alarm, self.alarm_due = (name, delay), since + delay
                self._at(self.alarm_due, self._alarm_is_due)
            case port.Log(text):
                logger.info("{}", text)
            case port.Retain(ex, span):
                self._retain(self.entries[ex], span)
            case port.Erase(ex):
                self._forget(self.entries[ex])
            case port.Join(ex):
                self._ask_for(self.entries[ex])
            case port.Call() | port.Skip():
                raise NotImplementedError("this protocol has no calls to a layer below")

    def _launch(self, entry: Entry) -> None:
        if self.linked:
            group = self.facts.groups[entry.ticket.group].name
            self.command(Launch(entry.ticket.ident, group, entry.ticket.body))
        else:
            entry.doubt = Outcome.UNREACHED

    # Timers, gauges

    def _at(self, at: float, do: Do) -> None:
        heappush(self.timers, (at, self.order(), do))

    def _alarm_is_due(self) -> None:
        """Asks for the gauges, whose arrival is the alarm; without them it comes one delay later."""
        tag = self.sampled = f"b{self.order()}"
        if self.linked:
            self.command(Sample(tag))
        self._at(self.now + self.alarm[1], lambda: self._sampled(tag, Gauges()))
        for hook in self.on_beat:
            hook(self.now)
        for key in [key for key, (_, until) in self.kept.items() if self.now > until]:
            self._drop(key)

    def _sampled(self, tag: str, gauges: Gauges) -> None:
        if tag == self.missed:
            self.missed = None
            self._settle_doubts()
        elif tag == self.sampled and self.controller is not None:
            self.sampled = None
            self.controller.alarm(self.alarm[0], gauges, self.now)

    # Kept results: repeats of what a read is about

    def _earlier(self, ticket: Ticket) -> Entry | None:
        entry, until = self.kept.get((ticket.group, ticket.about), (None, 0.0))
        if entry is None or not ticket.about or self.now > until:
            return None
        if entry.outcome is not None and self.now > entry.ended_at + self.facts.share_for:
            return None
        return entry

    def _retain(self, entry: Entry, span: float) -> None:
        ticket = entry.ticket
        if not ticket.about:
            return
        key = (ticket.group, ticket.about)
        self._drop(key)
        self.kept[key] = (entry, self.now + span)
        self.kept_bytes += RESULT_AT_MOST
        while self.kept_bytes > KEPT_BYTES:
            self._drop(next(iter(self.kept)))

    def _forget(self, entry: Entry) -> None:
        key = (entry.ticket.group, entry.ticket.about)
        if self.kept.get(key, (None,))[0] is entry:
            self._drop(key)

    def _drop(self, key: tuple[int, str]) -> None:
        if self.kept.pop(key, None) is not None:
            self.kept_bytes -= RESULT_AT_MOST

    def _ask_for(self, entry: Entry) -> None:
        """Answers from what another run brings, or brought."""
        other = entry.earlier
        if other is not None and other.outcome is None:
            other.joiners.append(entry)
        else:
            self._at(self.now, lambda: self._join(entry, other))

    def _join(self, entry: Entry, other: Entry | None) -> None:
        if not entry.answered:
            well = other is not None and other.outcome is Outcome.OK
            self._ended(entry, Outcome.OK if well else Outcome.ERROR, 0.0, other.result if other else b"")
