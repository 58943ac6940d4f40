"""The module's actor: its table of exchanges, timers, kept results, gauges, start and drain.

Whatever is ready together goes to the module as one batch with one settle(). The actor takes no decision: it
carries out what the module asks for and sees to it that each exchange gets one final answer."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count

import gevent
from gevent import get_hub
from loguru import logger

from myrtlecrank.core.connection_errors import OUTCOMES, End
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import (
    Abandon,
    Adopt,
    Answer,
    Arrived,
    AtCall,
    Below,
    Call,
    CallEnded,
    CallersLeft,
    Command,
    Deliver,
    Event,
    Forgo,
    Freeze,
    Greeted,
    Launch,
    Leave,
    Parted,
    RunEnded,
    Sample,
    Sampled,
    Ticket,
    Unsent,
    Verdict,
)
from myrtlecrank.core.published_state import Board
from myrtlecrank.policy import interface
from myrtlecrank.policy.controller import Controller
from myrtlecrank.policy.interface import Gauges, Kind, Outcome
from myrtlecrank.retries import exchange_marks
from myrtlecrank.retries.estimator import Repeats, Tide
from myrtlecrank.retries.options import Bounds
from myrtlecrank.retries.storm_log import Report

MAILBOX = 2048
TURN = 128  # letters taken in one turn: a long batch would keep the loop from the sockets
RIVAL_MS = 1000.0  # the longest that one waits for what stands under its name
LAST_MS = 200.0  # before the stop they are all answered
IDLE_BEAT_MS = 100.0  # between beats while there is no controller to ask for them
RESULT_AT_MOST = 5120  # a result and what stands around it
KEPT_BYTES = 24_000_000  # results kept for repeats, of the program's own memory
PROVEN_UNRUN = (Outcome.MOOT, Outcome.UNREACHED)
Key = tuple[int, str]
Do = Callable[[], object]


BEGAN = time.time() * 1000.0 - time.monotonic() * 1000.0


def unix_ms() -> float:
    """What the system's clock says: only for stamps of callers."""
    return time.time() * 1000.0


def now_ms() -> float:
    """Unix time of this process: it never steps. Guards due times against a system clock that is set."""
    return BEGAN + time.monotonic() * 1000.0


class Entry:
    """One exchange in the table, from its arrival until nothing can ask for it any more."""

    __slots__ = (
        "answered",
        "asked",
        "called_at",
        "doubt",
        "earlier",
        "ended_at",
        "ex",
        "genuine",
        "handed",
        "handed_by",
        "joiners",
        "launch",
        "outcome",
        "print",
        "result",
        "rivals",
        "running",
        "stop",
        "stopping",
        "ticket",
    )

    def __init__(self, ticket: Ticket, ex: interface.Exchange, earlier: Entry | None) -> None:
        self.ticket, self.ex, self.earlier = ticket, ex, earlier
        self.print = hash(ticket.body)
        self.answered = self.running = self.stopping = False
        self.doubt: Outcome | None = None  # what became of a launch whose link was lost
        self.outcome: Outcome | None = None
        self.ended_at = 0.0
        self.result = b""
        self.joiners: list[Entry] = []
        self.launch = self.stop = 0  # which of the commands they were, as far as these may have come through
        self.genuine = False  # the agent ran it, so no other under its name can be the one it knows
        self.rivals: list[Ticket] = []  # others that came under its name
        self.asked = b""  # what the call is about that it stands at
        self.called_at: float | None = None  # while that call is out
        self.handed: Deliver | Forgo | None = None  # how the run got on from its call, until it tells more
        self.handed_by = 0  # which of the commands that was; 0: it may never have come through


class Core:
    def __init__(
        self,
        facts: interface.StartFacts,
        stop_ms: float,
        command: Callable[[Command], None],
        tell_health: Callable[[bool], None],
        now: float | None = None,
        repeats: Bounds | None = None,
        below: Callable[[Below], None] | None = None,
    ) -> None:
        self.mailbox: Mailbox[Event] = Mailbox(MAILBOX)
        self.board = Board(idle=facts.idle)
        self.facts, self.stop_ms = facts, stop_ms
        self.command, self.tell_health, self.below = command, tell_health, below
        self.on_beat: list[Callable[[float], None]] = []
        self.on_shut: list[Callable[[], None]] = []
        self.now = now_ms() if now is None else now
        self.controller: Controller | None = None
        self.repeats: Repeats | None = None
        self.report = Report()
        self.linked = False
        self.missed: str | None = None  # the tag of the sample that follows the missed notices
        self.table: dict[str, Entry] = {}
        self.entries: dict[interface.Exchange, Entry] = {}
        self.unanswered = 0
        self.kept: dict[Key, tuple[Entry, float]] = {}
        self.heavy: dict[Key, None] = {}  # those that count with a result, the eldest first
        self.kept_bytes = 0
        self.timers: list[tuple[float, int, Do]] = []
        self.order = count(1).__next__
        self.sampled: str | None = None  # the tag of the sample that a beat waits for
        self.taken_in = 0  # the last command that is known to have come through to the agent
        self.contested: dict[Entry, None] = {}  # those with rivals
        self.doubted: dict[Entry, None] = {}  # those whose launch never left or may be lost
        self.alarm = ("", 0.0)
        self.alarm_due = 0.0
        self.noticed = 0.0
        self.stop_at: float | None = None
        self.timer, self.timer_due = get_hub().loop.timer(0.0), 0.0
        self._adopt(repeats)
        self._idle_beat()

    def run(self) -> None:
        while True:
            self._wind()
            self.turn(self.mailbox.take(most=TURN), now_ms())
            if self.mailbox:
                gevent.sleep(0)

    def _wind(self) -> None:
        """One timer of the loop wakes this actor for what is due first: cheaper than a time-out on each."""
        due = self.timers[0][0] if self.timers else self.timer_due
        if due != self.timer_due:
            self.timer.close()
            self.timer_due, self.timer = due, get_hub().loop.timer(max(0.0, due - now_ms()) / 1000.0)
            self.timer.start(self._ring)

    def _ring(self) -> None:
        self.timer_due = 0.0
        self.mailbox.wake()

    def turn(self, letters: list[Event], now: float) -> None:
        """One batch: the letters, what is due, then what the module makes of it."""
        self.now = max(self.now, now)  # the module's clock never steps back
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
            case RunEnded(ident, outcome, took, result, refused):
                self._run_ended(ident, outcome, took, result, not refused)
            case AtCall(ident, body):
                self._at_call(ident, body)
            case CallEnded(ident, outcome, result):
                self._call_ended(ident, outcome, result)
            case Sampled(tag, gauges):
                self._sampled(tag, gauges)
            case CallersLeft(tickets):
                for ticket in tickets:
                    self._caller_left(ticket)
            case Greeted(cold, up, anew):
                self._greeted(cold, up, anew)
            case Parted(end):
                # Even where no way to the agent is left, what was written to a link that stood may have run.
                self._parted(Outcome.RESET if end is End.UNREACHED else OUTCOMES[end])
            case Unsent(idents):
                for ident in idents:
                    standing = self.table.get(ident)
                    if standing is not None and standing.running:
                        # The end of that link may be told only after this, and must not turn it into a doubt.
                        standing.doubt, standing.launch = Outcome.UNREACHED, 0
                        self.doubted[standing] = None
            case Leave(at):
                self._leave(at)
            case Adopt(bounds):
                self._adopt(bounds)

    # Start, drain, the agent's link

    def _greeted(self, cold: bool, up: float, anew: bool) -> None:
        self.linked = True
        if self.controller is not None:
            if anew:
                self._began_anew(self.controller, cold, up)
            # The notices that were missed come first; what they leave in doubt is settled after them.
            self.missed = self._sample("m")
            return
        self.facts.cold = cold
        logger.info("the machine is up for {:.0f} ms, {}", up, "cold" if cold else "warm")
        self.controller = Controller(self.facts, self._do, self.now - up)
        if self.stop_at is not None:
            # The grace counts from the notice, however late the machine is.
            self.controller.leave(self.stop_ms, self.noticed)

    def _began_anew(self, controller: Controller, cold: bool, up: float) -> None:
        """The agent alone was started again: no end of what it ran will ever be told, and it may be cold."""
        logger.warning("the machine has begun anew, {}", "cold" if cold else "warm")
        controller.machine_began(cold, self.now - up)
        for entry in list(self.table.values()):
            if entry.running and entry.doubt is not Outcome.UNREACHED:
                self._run_ended(entry.ticket.ident, Outcome.CANCELLED, 0.0, b"", genuine=True)

    def _parted(self, lost: Outcome) -> None:
        """What went out after the last sample that came back may be lost with the link."""
        self.linked, self.missed = False, None
        for entry in self.table.values():
            entry.stop = 0
            if entry.running and entry.launch > self.taken_in:
                entry.doubt, entry.launch = lost, 0
                self.doubted[entry] = None
            if entry.handed_by > self.taken_in:
                entry.handed_by = 0

    def _settle_doubts(self) -> None:
        for entry in list(self.table.values()):
            unrun = entry.doubt is Outcome.UNREACHED
            repeatable = self.facts.groups[entry.ticket.group].kind is Kind.REPEATABLE
            if entry.running and entry.stopping:
                self._lost(entry) if unrun else self._freeze(entry)
            elif entry.running and entry.doubt is not None and (unrun or repeatable):
                self._launch(entry)
            elif entry.running and entry.handed is not None and not entry.handed_by:
                # No further call and no end were among what was missed: it stands where it stood.
                self._hand_on(entry, entry.handed)

    def _lost(self, entry: Entry) -> None:
        """Guards against runs that nothing would end: of one whose launch was lost, no notice comes, not even
        when it is stopped; it would count as running, and hold its room, for good."""
        assert entry.doubt is not None
        self._answer(entry, Verdict.TERMINATED)
        self._run_ended(entry.ticket.ident, entry.doubt, 0.0, b"", genuine=False)

    def _leave(self, at: float) -> None:
        if self.stop_at is not None:
            return
        logger.info("notice to leave, {} exchanges in hand", self.unanswered)
        # Guards against a notice that lay behind many letters: grace and stop count from when it came.
        self.noticed = min(at, self.now)
        self.stop_at = self.noticed + self.stop_ms
        self._at(self.stop_at - LAST_MS, self._beat_rivals)
        if self.controller is not None:
            self._at(self.controller.leave(self.stop_ms, self.noticed), self._shut)
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
        if self.controller is None:
            logger.warning("an exchange is terminated: it came before the start")
            ticket.answer(Answer(ticket, Verdict.TERMINATED))
            return
        earlier = self._earlier(ticket)
        standing = self.table.get(ticket.ident)
        if standing is None and earlier is not None and self._deduplicated(earlier):
            # Tries of one exchange have one body: who brings another one used somebody's key.
            standing = earlier if earlier.print != hash(ticket.body) else None
        if standing is not None:
            self._contest(standing, ticket)
            return
        waited = max(0.0, self.now - ticket.reached)
        ex = interface.Exchange(
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
        exchange_marks.arrived(self.repeats, ex, ticket.body, ticket.wait, self.now)
        entry = self.table[ticket.ident] = self.entries[ex] = Entry(ticket, ex, earlier)
        self.unanswered += 1
        self.controller.arrived(ex, self.now)
        self._tidy(entry)

    def _caller_left(self, ticket: Ticket) -> None:
        entry = self.table.get(ticket.ident)
        if entry is not None and entry.ticket is not ticket:
            self._beaten(entry, ticket)
        if entry is None or entry.ticket is not ticket or entry.answered or self.controller is None:
            return
        self._answered(entry)
        if self.repeats is not None:
            self.repeats.left(ticket.caller, self.now)
        self.controller.caller_left(entry.ex, self.now)
        self._tidy(entry)

    def _contest(self, standing: Entry, ticket: Ticket) -> None:
        """One name cannot stand for two runs, nor one key for two bodies, and only the agent knows which is
        the real one: the second waits, not for long, until the agent has taken in or refused the first.
        Guards against clients that use the names or keys of others, before or after them."""
        self.unanswered += 1
        standing.rivals.append(ticket)
        self.contested[standing] = None
        self._at(self.now + RIVAL_MS, lambda: self._beaten(standing, ticket))
        self._decide(standing)

    def _decide(self, standing: Entry) -> None:
        """Once the agent has run what stands under a name, the others under it are done."""
        if standing.running and 0 < standing.launch <= self.taken_in:
            standing.genuine = True
        if standing.genuine:
            self._beat_all(standing)

    def _beat_all(self, standing: Entry) -> None:
        for ticket in list(standing.rivals):
            self._beaten(standing, ticket)

    def _beat_rivals(self) -> None:
        for standing in list(self.contested):
            self._beat_all(standing)

    def _beaten(self, standing: Entry, ticket: Ticket) -> None:
        if ticket in standing.rivals:
            standing.rivals.remove(ticket)
            if not standing.rivals:
                self.contested.pop(standing, None)
            self.unanswered -= 1
            logger.warning("an exchange is terminated: it came under a name in use")
            ticket.answer(Answer(ticket, Verdict.TERMINATED))

    def _run_ended(self, ident: str, outcome: Outcome, took: float, result: bytes, genuine: bool) -> None:
        entry = self.table.get(ident)
        if entry is None or not entry.running:
            return
        entry.running = False
        entry.genuine = genuine
        entry.handed = None
        self._abandon(entry)
        self.doubted.pop(entry, None)
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
        if outcome is not Outcome.OK and not (self._deduplicated(entry) and outcome not in PROVEN_UNRUN):
            self._forget(entry)
        self._tidy(entry)

    def _answer(
        self, entry: Entry, verdict: Verdict, result: bytes = b"", wait: float = 0.0, last: bool = False
    ) -> None:
        if not entry.answered:
            self._answered(entry)
            given_up = verdict is not Verdict.COMPLETED
            said = self.board.value
            exchange_marks.answered(self.repeats, entry.ex, entry.ticket.body, given_up, wait, said, self.now)
            self._abandon(entry)
            entry.ticket.answer(Answer(entry.ticket, verdict, result, wait, last))

    def _answered(self, entry: Entry) -> None:
        entry.answered = True
        self.unanswered -= 1

    def _tidy(self, entry: Entry) -> None:
        """Out of the table once the answer is given and no run goes on."""
        if entry.answered and not entry.running and self.table.get(entry.ticket.ident) is entry:
            del self.table[entry.ticket.ident]
            del self.entries[entry.ex]
            entry.ex.course = None  # or the two would hold each other until the collector comes
            if self._deduplicated(entry):
                entry.ticket.body = b""  # its key may stay for long
            if entry.outcome is None:
                # It never ran, so it stands in no repeat's way; those that wait for it wait for nothing.
                self._forget(entry)
                for joiner in entry.joiners:
                    self._at(self.now, partial(self._join, joiner, None))
                entry.joiners.clear()
            self._decide(entry)
            rivals, entry.rivals = entry.rivals, []
            self.contested.pop(entry, None)
            for ticket in rivals:
                self._at(self.now, partial(self._again, ticket))

    def _again(self, ticket: Ticket) -> None:
        """What stood under its name is gone and was not the real one, or never ran."""
        self.unanswered -= 1
        self._arrived(ticket)

    # What the module asks for

    def _do(self, op: interface.Operation) -> None:
        match op:
            case interface.Start(ex):
                entry = self.entries[ex]
                entry.running = True
                self._launch(entry)
            case interface.Halt(ex):
                entry = self.entries[ex]
                entry.stopping = True
                if self.linked:
                    self._freeze(entry)
            case interface.Deny(ex, last, wait):
                self._answer(self.entries[ex], Verdict.DENIED, wait=wait, last=last)
                self._tidy(self.entries[ex])
            case interface.Fail(ex):
                self._answer(self.entries[ex], Verdict.TERMINATED)
                self._tidy(self.entries[ex])
            case interface.Publish(value):
                self.board.value = value
            case interface.Health(on, _):
                on = on and self.stop_at is None  # a machine that comes up after the notice is well in vain
                if on != self.board.well:
                    logger.info("health is {}", "good" if on else "bad")
                self.board.well = on
                self.tell_health(on)
            case interface.IdleLimit(span):
                self.board.idle = span
            case interface.Alarm(name, delay):
                # Counted from when the last one was due, or every wait for gauges would lengthen the beat.
                since = self.alarm_due if self.now - self.alarm_due < delay else self.now
                self.alarm, self.alarm_due = (name, delay), since + delay
                self._at(self.alarm_due, self._alarm_is_due)
            case interface.Log(text):
                logger.info("{}", text)
            case interface.Retain(ex, span):
                self._retain(self.entries[ex], span)
            case interface.Erase(ex):
                self._forget(self.entries[ex])
            case interface.Join(ex):
                self._ask_for(self.entries[ex])
            case interface.Call(ex, timeout):
                entry = self.entries[ex]
                entry.called_at = self.now
                self._ask_below(Call(entry.ticket.ident, timeout, entry.asked))
            case interface.Skip(ex):
                self._hand_on(self.entries[ex], Forgo(self.entries[ex].ticket.ident))

    def _launch(self, entry: Entry) -> None:
        if self.linked:
            group = self.facts.groups[entry.ticket.group].name
            entry.launch, entry.doubt = self.order(), None
            self.doubted.pop(entry, None)
            self.command(Launch(entry.ticket.ident, group, entry.ticket.body))
        else:
            entry.doubt = Outcome.UNREACHED
            self.doubted[entry] = None

    # Calls to the layer below: the run stands still until its call has come back and is handed on

    def _at_call(self, ident: str, body: bytes) -> None:
        entry = self.table.get(ident)
        if entry is None or not entry.running or entry.called_at is not None or self.controller is None:
            return
        if self.below is None:
            logger.warning("a run came to a call, and the settings name no layer below")
            return
        entry.asked, entry.handed, entry.doubt, entry.launch = body, None, None, 0
        entry.genuine = True
        self.doubted.pop(entry, None)
        self._decide(entry)
        self.controller.at_call(entry.ex, self.now)

    def _call_ended(self, ident: str, outcome: Outcome, result: bytes) -> None:
        entry = self.table.get(ident)
        if entry is None or entry.called_at is None or self.controller is None:
            return
        took, entry.called_at = self.now - entry.called_at, None
        if outcome is Outcome.OK:
            self._hand_on(entry, Deliver(ident, result))
        self.controller.call_ended(entry.ex, outcome, took, self.now)

    def _hand_on(self, entry: Entry, how: Deliver | Forgo) -> None:
        """Guards against a run that stands at its call for good: what was sent on a link that was lost, or
        found none, is sent once more after the missed notices."""
        entry.handed, entry.handed_by = how, self.order() if self.linked else 0
        if self.linked:
            self.command(how)

    def _abandon(self, entry: Entry) -> None:
        if entry.called_at is not None:
            entry.called_at = None
            self._ask_below(Abandon(entry.ticket.ident))

    def _ask_below(self, wanted: Below) -> None:
        assert self.below is not None  # or no run would have come to a call
        self.below(wanted)

    def _freeze(self, entry: Entry) -> None:
        entry.stop = self.order()
        self.command(Freeze(entry.ticket.ident))

    # Timers, gauges

    def _at(self, at: float, do: Do) -> None:
        heappush(self.timers, (at, self.order(), do))

    def _alarm_is_due(self) -> None:
        """Asks for the gauges, whose arrival is the alarm; without them it comes one delay later."""
        tag = self.sampled = self._sample("b")
        self._at(self.now + self.alarm[1], lambda: self._sampled(tag, Gauges(), late=True))
        self._beat()
        for key in [key for key, (entry, until) in self.kept.items() if self.now > until + self._tail(entry)]:
            self._drop(key)

    def _sample(self, kind: str) -> str:
        number = self.order()
        if self.linked:
            self.command(Sample(f"{kind}{number}"))
        return f"{kind}{number}"

    def _beat(self) -> None:
        if self.controller is not None:
            self.board.late, self.board.warmth = max(0.0, self.now - self.alarm_due), self.controller.warmth()
        for hook in self.on_beat:
            hook(self.now)

    def _idle_beat(self) -> None:
        """Connections, link and reports are looked after before the start as well."""
        if self.controller is None:
            self._beat()
            self._at(self.now + IDLE_BEAT_MS, self._idle_beat)

    def _sampled(self, tag: str, gauges: Gauges, late: bool = False) -> None:
        if not late and tag in (self.missed, self.sampled):
            # The agent reads its commands in their order: it has seen all that went before this one.
            self.taken_in = int(tag[1:])
            for entry in list(self.contested):
                self._decide(entry)
            for entry in list(self.doubted):
                if 0 < entry.stop <= self.taken_in:
                    self._lost(entry)
        if tag == self.missed:
            self.missed = None
            self._settle_doubts()
        elif tag == self.sampled and self.controller is not None:
            self.sampled = None
            if self.repeats is not None:
                gauges.storm = self._tide()
            self.controller.alarm(self.alarm[0], gauges, self.now)

    # The estimate of repeats

    def _adopt(self, bounds: Bounds | None) -> None:
        """What was learned is kept where it still fits; a storm that is on ends with the estimate."""
        if bounds is None:
            self.repeats = None
            self._tell_tide(None)
        elif self.repeats is None:
            timeouts = [group.timeout for group in self.facts.groups]
            self.repeats = Repeats(timeouts, self.facts.seed, bounds, self.now)
        else:
            self.repeats.adopt(bounds)

    def _tide(self) -> bool:
        assert self.repeats is not None
        tide = self.repeats.tide(self.now)
        self._tell_tide(tide)
        return tide.storm

    def _tell_tide(self, tide: Tide | None) -> None:
        for line in self.report.lines(tide, self.board.value, self.now):
            logger.info("{}", line)

    # Kept results: repeats of what a read is about, and of deduplicated exchanges

    def _earlier(self, ticket: Ticket) -> Entry | None:
        entry, until = self.kept.get((ticket.group, ticket.about), (None, 0.0))
        if entry is None or not ticket.about:
            return None
        if self._deduplicated(entry):
            # The window is one of arrivals: a repeat may be read long after it came.
            return entry if min(ticket.reached, self.now) <= until else None
        if self.now > until:
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
        self.heavy[key] = None
        self.kept_bytes += RESULT_AT_MOST
        while self.kept_bytes > KEPT_BYTES:
            self._lighten(next(iter(self.heavy)))

    def _deduplicated(self, entry: Entry) -> bool:
        return self.facts.groups[entry.ticket.group].kind is Kind.DEDUPLICATED

    def _tail(self, entry: Entry) -> float:
        """How long after its window a repeat that came within it may still be read."""
        return self.facts.groups[entry.ticket.group].timeout if self._deduplicated(entry) else 0.0

    def _lighten(self, key: Key) -> None:
        """Guards our own memory. A read is forgotten; of a deduplicated exchange only the result goes: its
        repeats are terminated then, but never run."""
        entry, _ = self.kept[key]
        if not self._deduplicated(entry):
            self._drop(key)
            return
        del self.heavy[key]
        self.kept_bytes -= RESULT_AT_MOST
        if entry.outcome is Outcome.OK:
            entry.outcome, entry.result = Outcome.ERROR, b""

    def _forget(self, entry: Entry) -> None:
        key = (entry.ticket.group, entry.ticket.about)
        if self.kept.get(key, (None,))[0] is entry:
            self._drop(key)

    def _drop(self, key: Key) -> None:
        self.kept.pop(key, None)
        if key in self.heavy:
            del self.heavy[key]
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
