"""All decisions of a backend. The host builds a Controller from StartFacts, calls it for every event with the
time now (ms), and calls settle() once after the events of one moment. Operations go out through `do`.
The interface, with every type named here, is policy/interface.py; docs/design.md explains the decisions."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Generator
from enum import Enum
from heapq import heappop, heappush
from itertools import count
from math import exp, log
from typing import Any

from myrtlecrank.policy import interface
from myrtlecrank.policy.interface import Below, Exchange, Halting, Kind, Meaning, Outcome

BEAT = 100.0  # between samples
CPU_SPAN = 20  # samples in the rolling CPU gauge (2 s)
DURESS_CPU, REFUSE_CPU, REFUSE_MEMORY = 0.90, 0.95, 0.85
DURESS_SAMPLES = 3
OUTLIER = 2.0  # how many times the mean a running exchange must exceed to be cancelled
MEMORY_USED, CROWD_USED = 0.92, 0.85  # parts of what a backend survives that decisions use
CALLS_PER_CORE = 3  # calls in hand with a tier below
SPARE, SPARE_LEAST, SPARE_MOST, SPARE_STEP, SPARE_BEATS = 0.7, 0.3, 1.5, 0.3, 30  # wanted beyond one a core
RATE_MS, RATE_EVENTS = 3000.0, 6.0  # over which a tenant's rate is measured: longer where few may come
HOLD_LEAST, HOLD_READING, HOLD_CALM = 0.5, 3.0, 1.6  # longest wait in the hold, per SLO time, times cores
HOLD_MOST = 0.8  # per SLO time, on any number of cores
# In a storm: ms from a denial to the next try, least work a run counts as, value of the late, least credit
AGAIN_MS, LEAST_WORK, LATE_VALUE, STORM_CREDIT = 20.0, 0.3, 0.05, 0.5
STRAIN = 0.15  # wait per SLO time at which the published value neither rises nor falls
PUBLISH_BEATS = 3
WAIT_HEEDED = 0.3  # longest advised wait, of the time that callers remember the published value
SLOW, SICK, SICK_MS = 3.5, 5.0, 5000.0  # times the usual run; ends owed; how long it stays away
LINKS_PER_CORE = 8.0  # idle connections kept open
LEAST_WEIGHT, LEAST_CREDIT = 0.45, 1.0  # the published value does not fall below these
NEVER = float("inf")


Place = Enum("Place", "HELD RUNNING AT_CALL CALLING JOINED OVER")
CALLS = (Place.AT_CALL, Place.CALLING)
# What an exchange waits for without asking for an operation
Pause = Enum("Pause", "HOLD CALL_ROOM END")


class Word(Enum):
    """What resumes an exchange, beside the outcomes of runs and calls."""

    TURN = 0
    AT_CALL = 1
    CUT = 2  # the highest score under duress
    LATE = 3  # its time is up, or an answer could no longer be of use
    SHED = 4  # turned away for another, or for want of memory
    STOP = 5  # the process is about to be stopped
    ENDED = 6  # its run was stopped by none of ours, while it stood at a call


AWAITED = (interface.Start, interface.Call, interface.Skip, interface.Join)
PROVEN_UNRUN = (Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT)
Steps = Generator[Any, Any, Any]


class Group:
    """An endpoint group: its line of held exchanges and what was learned of its work."""

    def __init__(self, facts: interface.EndpointGroup) -> None:
        self.kind, self.calls, self.benefit_without = facts.kind, facts.calls, facts.benefit_without
        self.slo, self.timeout, self.stretch = facts.slo, facts.timeout, facts.slo_stretch
        self.benefit, self.late_benefit, self.window = facts.benefit, facts.late_benefit, facts.window
        self.line: list[Course] = []
        self.usual, self.runs = 0.2 * facts.slo, 0  # mean time of a run while the backend is well, learned
        # Logarithms of hints: mean, spread, how far run times follow them (0: not at all, 1: in proportion)
        self.hint, self.hint_spread, self.hint_tells, self.log_usual = 0.0, 1.0, 0.5, 0.0
        self.credit = 0.0  # turns carried over

    def weigh_hint(self, hint: float) -> float:
        """Expected work over the usual. Guards against rough hints: the largest are mostly overstated."""
        if hint <= 0 or self.hint == 0.0:
            return 1.0
        by = self.hint_tells
        return exp(by * (log(hint) - self.hint) - 0.5 * by * by * self.hint_spread)

    def learn_hint(self, hint: float, took: float, rate: float) -> None:
        if hint > 0:
            if self.hint == 0.0:
                self.hint, self.log_usual = log(hint), log(took)
            off, long = log(hint) - self.hint, log(took) - self.log_usual
            self.hint += rate * off
            self.log_usual += rate * long
            self.hint_spread += rate * (off * off - self.hint_spread)
            follows = off * long / max(0.1, self.hint_spread)
            self.hint_tells = min(1.0, max(0.0, self.hint_tells + 0.3 * rate * (follows - self.hint_tells)))


class Course:
    """One exchange on its way through this backend."""

    def __init__(self, ex: Exchange, group: Group, now: float) -> None:
        self.ex, self.group, self.place = ex, group, Place.HELD
        left = group.timeout - ex.waited if ex.left is None else ex.left
        self.due = now + max(0.0, left)
        self.reached = now - ex.waited
        self.first = self.reached - ex.age  # the SLO time counts from here
        self.kb = ex.kb
        self.key_until = 0.0  # while the room of its key is booked
        self.wake = 0.0  # its entry in the due times that counts
        self.began = self.cpu = self.below_ms = 0.0
        self.value = 0.0
        self.answered = False
        self.steps: Steps | None = None

    @property
    def repeatable(self) -> bool:
        return self.group.kind is Kind.REPEATABLE


class Controller:
    def __init__(self, facts: interface.StartFacts, do: interface.Do, now: float) -> None:
        self.do, self.now = do, now
        self.chance = random.Random(facts.seed).random
        self.groups = [Group(g) for g in facts.groups]
        self.shortest_slo = min(g.slo for g in self.groups)
        self.shares = [t.per_second / 1000.0 / max(1, facts.backends) for t in facts.tenants]
        self.rates = [0.0] * len(facts.tenants)
        self.spans = [max(RATE_MS, RATE_EVENTS / max(1e-6, s)) for s in self.shares]
        self.over_benefit, self.by_work = facts.over_share_benefit, facts.benefit_by_work
        self.cores, self.memory_kb, self.run_weight = facts.cores, facts.memory_kb, facts.run_weight
        self.key_kb, self.share_for, self.grace = facts.key_kb, facts.share_for, facts.drain_grace
        self.crowd_warm = 1.0 + (facts.crowd_per_core - 1.0) * CROWD_USED
        self.coldest, self.warm_within = facts.cold_from, facts.warm_within
        self.machine_began(facts.cold, now)
        self.margin = BEAT + 2.0 * facts.tick  # an answer is given this long before it is due
        self.can_halt = facts.halting is not Halting.NONE
        self.meaning, self.wait_limit = facts.meaning, facts.wait_limit
        # Callers kept away longer forget the published value, and the first to come back bring a burst.
        self.wait_spread = min(facts.wait_limit, WAIT_HEEDED * facts.heeded)
        self.calls_at_most = 0.0
        if facts.below is Below.SHARED:
            self.calls_at_most = facts.calls_share
        elif facts.below is Below.TIER:
            self.calls_at_most = float(CALLS_PER_CORE * facts.cores)
        self.calls_over, self.call_lingers = max(1.0, facts.calls_over), facts.call_lingers
        self.calls, self.calls_mean, self.calls_seen = 0, 0.0, now
        self.parked: deque[Course] = deque()  # waiting for room at the dependency
        self.running: dict[Course, None] = {}
        self.joined: dict[Course, None] = {}
        self.held = self.peak = 0  # the most in hand since the value was last published
        self.used_kb = 0.0
        self.dues: list[tuple[float, int, Any]] = []
        self.order = count().__next__
        self.limit, self.spare, self.spare_step = float(self.cores), SPARE, SPARE_STEP
        self.done, self.done_before, self.busy_beats = 0.0, 0.0, 0
        self.cpu_samples: deque[float] = deque(maxlen=CPU_SPAN)
        self.on_cores = self.memory_gauge = self.unread = self.owed = 0.0
        self.storm = False
        self.pressed_samples = self.beats = self.ended = self.ends = 0
        self.clogged, self.useless, self.starts, self.sick_ms = False, False, 0, SICK_MS
        self.slowness, self.sick_until, self.last_end, self.reading, self.waits = 1.0, 0.0, now, NEVER, NEVER
        self.stop_at = self.until = NEVER  # after the notice to leave; from `until` on no arrival runs
        top = {Meaning.CREDIT: 2.0 * self.cores, Meaning.WEIGHT: 1.0, Meaning.LEVEL: 1.0}
        self.open_to, self.said = top.get(self.meaning, 0.0), -1.0
        self.open_at_most = self.open_to
        # Callers that hear too little forget what was said and come all at once: never close quite.
        least = {Meaning.CREDIT: LEAST_CREDIT, Meaning.WEIGHT: LEAST_WEIGHT}
        self.open_at_least = least.get(self.meaning, 0.05)
        self.idle = self.idle_most = facts.idle
        self.do(interface.Health(True, True))
        self.do(interface.Alarm("beat", BEAT))
        self._publish()

    # The path of an exchange

    def _course(self, c: Course) -> Steps:
        """The ordinary path, from being read to the one answer; what it must wait for resumes it."""
        if c.ex.earlier is not None and (c.group.kind is Kind.DEDUPLICATED or self.share_for > 0):
            return (yield from self._joined(c))
        if self._refused(c):
            return (yield self._denial(c))
        if c.group.kind is Kind.DEDUPLICATED:
            yield self._kept(c, c.group.window)
        word = yield Pause.HOLD
        if word is not Word.TURN:
            if c.group.kind is Kind.DEDUPLICATED:
                yield interface.Erase(c.ex)
            return (yield self._denial(c))
        if c.repeatable and self.share_for > 0 and c.ex.keyed:
            yield self._kept(c, self.share_for + 2.0 * c.group.usual)
        word = yield interface.Start(c.ex)
        while word is Word.AT_CALL:
            word = yield from self._call_below(c)
        if isinstance(word, Outcome) and word is not Outcome.CANCELLED:
            return  # its end was its answer
        # Given up under pressure, a second try elsewhere is mostly lost as well; on calm backends it may do.
        pressed = word is Word.CUT or self._cpu() > DURESS_CPU
        yield self._denial(c) if c.repeatable and pressed else interface.Fail(c.ex)
        if self.can_halt and c.place in (Place.RUNNING, Place.CALLING):
            yield interface.Halt(c.ex)

    def _call_below(self, c: Course) -> Generator[Any, Any, Any]:
        """A call with the time left as its time-out; repeated only where the last one can do no harm."""
        for _ in range(3):
            word = yield Pause.CALL_ROOM
            if word is not Word.TURN:
                return word
            word = yield interface.Call(c.ex, max(1.0, c.due - self.margin - self.now))
            if word is Outcome.OK:
                return (yield Pause.END)
            if not isinstance(word, Outcome):
                return word
            if not (c.repeatable or word in PROVEN_UNRUN):
                break
        if c.group.benefit_without > 0:
            return (yield interface.Skip(c.ex))
        return Word.LATE

    def _joined(self, c: Course) -> Steps:
        """A repeat takes the outcome of what it repeats: no second effect, and a read costs a twentieth."""
        word = yield interface.Join(c.ex)
        if not isinstance(word, Outcome):
            yield interface.Fail(c.ex)  # never a denial: what it repeats may have run

    def _step(self, c: Course, word: object) -> None:
        """Resumes an exchange and carries out what it asks for, up to what it must wait for."""
        while c.steps is not None:
            try:
                want = c.steps.send(word)
            except StopIteration:
                c.steps = None
                return
            word = None
            if isinstance(want, Pause):
                if want is Pause.HOLD:
                    self._hold(c)
                elif want is Pause.CALL_ROOM:
                    c.place = Place.AT_CALL
                    self.parked.append(c)
                return
            self._account(c, want)
            self.do(want)
            if isinstance(want, AWAITED):
                return

    def _account(self, c: Course, want: interface.Operation) -> None:
        if isinstance(want, interface.Deny | interface.Fail):
            c.answered = True
            if c.place in (Place.HELD, Place.JOINED):
                self._over(c)
        elif isinstance(want, interface.Erase):
            self._unkept(c)
        elif isinstance(want, interface.Start):
            c.place, c.began = Place.RUNNING, self.now
            self.running[c] = None
            self.starts += 1
            self._weigh(c, c.ex.kb * self.run_weight)
            self._wake(c, c.due - self.margin)
        elif isinstance(want, interface.Join):
            c.place = Place.JOINED
            self.joined[c] = None
            self._wake(c, c.due - self.margin)
        elif isinstance(want, interface.Call):
            c.place = Place.CALLING
            self._count_calls(1)
        elif isinstance(want, interface.Skip):
            c.place = Place.RUNNING

    def _leave_call(self, c: Course) -> None:
        if c.place is Place.CALLING:
            self._push(self.now + self.call_lingers, -1)
        elif c in self.parked:
            self.parked.remove(c)

    def _over(self, c: Course) -> None:
        if c.place in CALLS:
            self._leave_call(c)
        self.running.pop(c, None)
        self.joined.pop(c, None)
        self._weigh(c, 0.0)
        c.place, c.wake = Place.OVER, 0.0

    def _weigh(self, c: Course, kb: float) -> None:
        self.used_kb += kb - c.kb
        c.kb = kb

    def _kept(self, c: Course, span: float) -> interface.Retain:
        self.used_kb += self.key_kb
        c.key_until = self.now + span
        self._push(c.key_until, self.key_kb)
        return interface.Retain(c.ex, span)

    def _unkept(self, c: Course) -> None:
        """What never ran has no key: its room is free at once, and is not given back again in its time."""
        if c.key_until > self.now:
            self.used_kb -= self.key_kb
            self._push(c.key_until, -self.key_kb)
            c.key_until = 0.0

    def _denial(self, c: Course) -> interface.Deny:
        """What callers should do instead of asking at once again. The hold bridges passing noise: where it
        is full, others likely are too, and a walk from one to the next costs each a reading. So nothing
        elsewhere, unless this one is sick. The wait is spread, lest all who heard come back at once."""
        if self.until < NEVER:
            return interface.Deny(c.ex, False, self.wait_limit)
        alone = self.sick_until > 0.0  # others are likely to be better off
        wait = self.wait_limit if alone else self.chance() * min(self.wait_spread, self._wait() + self.unread)
        return interface.Deny(c.ex, not alone, wait)

    # Arrivals: admission on the rolling gauges

    def arrived(self, ex: Exchange, now: float) -> None:
        self.now = now
        group = self.groups[ex.group]
        c = ex.course = Course(ex, group, now)
        self.used_kb += ex.kb
        if self.shares:
            self.rates[ex.tenant] += 1.0 / self.spans[ex.tenant]
        # Being read takes a while on an idle backend too; only what goes beyond the least seen is waiting.
        self.reading, self.waits = min(self.reading, ex.waited), min(self.waits, ex.waited)
        self.unread += 0.1 * (ex.waited - self.reading - self.unread)
        c.value = self._value(c)
        c.steps = self._course(c)
        self._step(c, None)

    def _value(self, c: Course) -> float:
        """Benefit for each ms of work, less what its tenant sends beyond our part of its allowance."""
        value = c.group.benefit if self.by_work else c.group.benefit / c.group.usual
        if self.shares:
            within = min(1.0, self.shares[c.ex.tenant] / max(1e-9, self.rates[c.ex.tenant]))
            value *= within + (1.0 - within) * self.over_benefit
        return value

    def _expected(self, c: Course) -> float:
        return c.group.usual * self.slowness * c.group.weigh_hint(c.ex.work_hint)

    def _wait(self) -> float:
        """How long one that comes now would stand in the hold."""
        ahead = sum(g.usual * len(g.line) for g in self.groups)
        return ahead * self.slowness / self._room()

    def _last_use(self, c: Course) -> float:
        """The latest start that can still earn something."""
        slo = (c.first if self.storm else c.reached) + c.group.slo + c.group.stretch * self._expected(c)
        late = c.group.late_benefit > 0 or (self.storm and c.ex.deaf)
        use = c.due - self.margin if late else min(slo, c.due - self.margin)
        return use - 0.7 * self._expected(c)

    def _worth(self, c: Course) -> float:
        """Its value if it were started now. In a storm what is too late for its SLO time goes last, and the
        work of one whose caller heeds nothing counts less the readings that its denial would bring: it sheds
        nothing."""
        value = c.value
        if self.storm and c.ex.deaf:
            reading = min(self.reading, c.group.usual)
            tries = (c.due - self.now) / (AGAIN_MS + reading + self.unread)
            value /= max(LEAST_WORK, 1.0 - tries * reading / c.group.usual)
        if self.storm and self.now > c.first + c.group.slo - self._expected(c):
            value *= max(LATE_VALUE, c.group.late_benefit)
        return value

    def _refused(self, c: Course) -> bool:
        late = self.now > min(self._last_use(c), self.stop_at - 2.0 * self.margin)
        if late or c.reached > self.until:
            return True
        if max(self.memory_gauge, self.used_kb / self.memory_kb) > REFUSE_MEMORY:
            return True
        # The dearer reading is beside a run, the more a denial wastes, here and where it is tried next.
        usual = sum(g.usual for g in self.groups) / len(self.groups)
        share = (HOLD_LEAST + HOLD_READING * min(0.5, self.reading / usual)) / self.cores
        if not (self.held and self._cpu() > REFUSE_CPU):
            share *= HOLD_CALM
        # One size for all groups, or the hasty starve
        wait = self._wait()
        if wait <= min(HOLD_MOST, share) * self.shortest_slo:
            return False
        if self.storm:
            # A full hold costs more than it sheds: who has a turn in time stays.
            turn = self._last_use(c) if c.ex.deaf else c.reached + HOLD_MOST * c.group.slo
            if self.now + wait <= turn:
                return False
        # The hold is full: of the arrival and all held, the one of least value is turned away.
        lines = [g.line for g in self.groups if g.line]
        least = min((min(line, key=self._worth) for line in lines), key=self._worth)
        if self._worth(least) >= 0.8 * self._worth(c):
            return True
        self._resume(least, Word.SHED)
        return False

    def _cpu(self) -> float:
        return sum(self.cpu_samples) / len(self.cpu_samples) if len(self.cpu_samples) == CPU_SPAN else 0.0

    # The hold

    def _hold(self, c: Course) -> None:
        c.group.line.append(c)
        self.held += 1
        self._wake(c, min(c.due - self.margin, self._last_use(c)))

    def _resume(self, c: Course, word: Word) -> None:
        if c in c.group.line:
            c.group.line.remove(c)
            self.held -= 1
        self._step(c, word)

    def machine_began(self, cold: bool, born: float) -> None:
        """Also under a backend that goes on: its cores are cold again, and survive what cold ones do."""
        self.cold_from, self.born = self.coldest if cold else 1.0, born

    def warmth(self) -> float:
        if self.cold_from >= 1.0:
            return 1.0
        warmed = (self.now - self.born) / max(1.0, self.warm_within)
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * warmed)

    def _ceiling(self) -> float:
        """The crowd this backend survives, ramped evenly from the cold one."""
        return max(1.0, (1.0 + (self.crowd_warm - 1.0) * self.warmth()) * self.cores)

    def _room(self) -> float:
        return max(1.0, min(self.limit, self._ceiling()))

    def _start_held(self) -> None:
        """Lines take turns by the value of their eldest and carry over what they do not get. In a line those
        of highest value go first, the eldest among equals: tenants within their share before those beyond."""
        while self.held and len(self.running) < self._room():
            lines = [g for g in self.groups if g.line]
            total = sum(g.line[0].value for g in lines) or 1.0
            for g in lines:
                g.credit += g.line[0].value / total
            turn = max(lines, key=lambda g: g.credit)
            c = max(turn.line, key=self._worth)
            more = c.ex.kb * (self.run_weight - 1.0)
            short = self.used_kb + more > MEMORY_USED * self.memory_kb
            if short and self.running:
                return
            turn.credit -= 1.0
            for g in self.groups:
                g.credit = g.credit if g.line else 0.0
            # Nothing runs whose end would make room: what does not fit now never will.
            self._resume(c, Word.SHED if short else Word.TURN)

    # Runs and calls

    def finished(self, ex: Exchange, outcome: Outcome, took: float, now: float) -> None:
        self.now = now
        c: Course | None = ex.course
        if c is None or c.place is Place.OVER:
            return
        self.ended += c.place is not Place.JOINED
        if c.place is not Place.JOINED and outcome is Outcome.OK:
            self._learn_run(c, took)
        if outcome is Outcome.MOOT:
            self._unkept(c)
        word: Outcome | Word = outcome
        if c.place in CALLS:
            # Guards against taking the end of a run for that of its call, which may be made once more.
            self._leave_call(c)
            c.place, word = Place.RUNNING, Word.ENDED
            if c.answered or outcome is not Outcome.CANCELLED:
                c.steps = None
        if outcome is Outcome.CANCELLED and not c.answered:
            c.place = Place.HELD  # stopped by none of ours: the answer is still owed
        else:
            self._over(c)
        self.running.pop(c, None)
        self._step(c, word)

    def _learn_run(self, c: Course, took: float) -> None:
        g = c.group
        alone = max(1.0, took - c.below_ms)  # calls are the dependency's time
        expected = g.usual * g.weigh_hint(c.ex.work_hint)
        self.done += expected
        new = self.warmth() < 1.0 or g.runs < 10  # the first to finish are the short ones
        if not new:
            self.slowness += 0.07 * (min(10.0, alone / expected) - self.slowness)
        if new or self.slowness < SLOW:
            g.runs += 1
            rate = max(0.03, 1.0 / (g.runs + 3))
            g.usual += rate * (alone - g.usual)
            g.learn_hint(c.ex.work_hint, alone, rate)

    def at_call(self, ex: Exchange, now: float) -> None:
        self.now = now
        if ex.course is not None and ex.course.place is Place.RUNNING:
            self._step(ex.course, Word.AT_CALL)

    def call_ended(self, ex: Exchange, outcome: Outcome, took: float, now: float) -> None:
        self.now = now
        c: Course | None = ex.course
        if c is None or c.place is not Place.CALLING:
            return
        if outcome is Outcome.TIMEOUT:
            self._push(now + self.call_lingers, -1)
        else:
            self._count_calls(-1)
        c.below_ms += took
        c.place = Place.RUNNING if outcome is Outcome.OK else Place.AT_CALL
        self._step(c, outcome)

    def _count_calls(self, change: int) -> None:
        passed = 1.0 - exp((self.calls_seen - self.now) / self.calls_over)
        self.calls_mean += (self.calls - self.calls_mean) * passed
        self.calls_seen = self.now
        self.calls += change

    def _start_calls(self) -> None:
        while self.parked:
            self._count_calls(0)
            # A share below one is kept as a mean: one call at a time, then a pause.
            full = self.calls + 1 > self.calls_at_most
            if full and (self.calls or self.calls_mean > 0.5 * self.calls_at_most):
                return
            self._step(self.parked.popleft(), Word.TURN)

    def caller_left(self, ex: Exchange, now: float) -> None:
        self.now = now
        c: Course | None = ex.course
        if c is None or c.place is Place.OVER:
            return
        c.answered = True
        if c.place in (Place.HELD, Place.JOINED):
            c.steps = None
            self._resume(c, Word.LATE)
            self._over(c)
        elif c.repeatable and self.can_halt and c.place is Place.RUNNING:
            self.do(interface.Halt(ex))

    # Due times, samples, publishing

    def _push(self, at: float, what: Any) -> None:
        heappush(self.dues, (at, self.order(), what))

    def _wake(self, c: Course, at: float) -> None:
        c.wake = at
        self._push(at, c)

    def settle(self, now: float) -> None:
        """After the events of one moment: what is due, then what may start."""
        self.now = now
        while self.dues and self.dues[0][0] <= now:
            at, _, what = heappop(self.dues)
            if isinstance(what, Course):
                if what.wake == at and not what.answered:
                    self._resume(what, Word.LATE)
            elif isinstance(what, int):
                self._count_calls(what)
            else:
                self.used_kb -= what
        if now >= self.stop_at - 2.0 * self.margin:
            for c in [c for g in self.groups for c in g.line] + list(self.running) + list(self.joined):
                if not c.answered:
                    self._resume(c, Word.STOP)
        self._start_calls()
        self._start_held()
        self.peak = max(self.peak, self.held + len(self.running))

    def leave(self, left: float, now: float) -> float:
        """Until when arrivals may still run. What callers hear falls to nothing then, not now: they learn of
        the notice late, and those that could be served here would find the others full."""
        self.now, self.stop_at = now, now + left
        self.until = min(now + self.grace - self.margin, self.stop_at - 2.0 * self.margin)
        self.do(interface.Health(False, True))
        return self.until

    def alarm(self, name: str, gauges: interface.Gauges, now: float) -> None:
        self.now = now
        self.do(interface.Alarm("beat", BEAT))
        self.beats += 1
        busy = len(self.running) / self.cores if gauges.cpu is None else gauges.cpu
        self.cpu_samples.append(min(1.0, busy))
        crowd = len(self.running) if gauges.on_cores is None else gauges.on_cores
        self.on_cores += 0.1 * (crowd - self.on_cores)
        self.memory_gauge, self.storm = gauges.memory or 0.0, gauges.storm
        self.unread *= 0.98
        self.rates = [r * (1.0 - BEAT / span) for r, span in zip(self.rates, self.spans, strict=True)]
        for c in self.running:
            c.cpu += BEAT * min(1.0, busy * self.cores / len(self.running))
        self._learn_limit()
        self._duress(busy)
        self._look_after()
        if self.beats % PUBLISH_BEATS == 0:
            self._publish()
            # Many callers that seldom come back fill the table: it costs cores, then others find no room.
            idling = (gauges.connections or 0.0) - self.held - len(self.running)
            crowded = idling > LINKS_PER_CORE * self.cores
            idle = min(self.idle_most, max(BEAT, self.idle * (0.7 if crowded else 1.1)))
            if idle != self.idle:
                self.idle = idle
                self.do(interface.IdleLimit(idle))

    def _learn_limit(self) -> None:
        """As many as fill the cores; waits for disk and calls make room for more. How full they should be is
        learned from the work that ends: a step on while it grows, a step back when it shrinks. Never under
        one run a core: in a flood, readings and handshakes would push the runs off the cores."""
        full = self.cores + self.spare
        if self.held and self.on_cores < full:
            self.limit = min(self._ceiling(), self.limit + 0.1)
        elif self.on_cores > full + 0.5:
            self.limit = max(self.cores, self.limit - 0.1)
        self.busy_beats += self.held > 0
        if self.beats % SPARE_BEATS == 0:
            if self.busy_beats > 0.7 * SPARE_BEATS:
                if self.done < self.done_before:
                    self.spare_step = -self.spare_step
                self.spare = min(SPARE_MOST, max(SPARE_LEAST, self.spare + self.spare_step))
                self.done_before = self.done
            self.done, self.busy_beats = 0.0, 0

    def _look_after(self) -> None:
        """Guards against being a sink: a backend whose cores got far slower, or where nothing ends any more,
        denies fast and draws ever more. Runs owe an end each expected time, stretched by SLOW; once too many
        are owed it shows bad health a while, then tries again, later each time that fails. So does one that
        reads only what is stale and starts nothing, and one that was sick and still reads far too late."""
        runs = [c for c in self.running if c.place is Place.RUNNING]
        due = sum(1.0 / (c.group.usual * c.group.weigh_hint(c.ex.work_hint)) for c in runs)
        self.owed = min(1.5 * SICK, max(0.0, self.owed + due * BEAT / SLOW - self.ended))
        self.last_end = self.now if self.ended or not runs else self.last_end
        self.ends += self.ended
        self.ended = 0
        if self.beats % CPU_SPAN == 0:
            # A crowd beyond runs and a reading a core is handshakes: a storm of callers, and no sickness.
            crowded = self.on_cores > 2.5 * self.cores
            self.clogged, self.waits = self.reading < self.waits / 3.0 < 1e9 and not crowded, NEVER
            self.useless, self.starts = self.clogged and self.starts == 0, 0
        hung = bool(runs) and self.now - self.last_end > 10.0 * BEAT
        slow = (self.reading < self.waits / 1.5 < 1e9 or hung) and self.owed > SICK and self.warmth() >= 1.0
        if self.sick_until <= 0.0 and (slow or self.useless or (self.clogged and self.sick_ms > SICK_MS)):
            self.sick_until, self.sick_ms = self.now + self.sick_ms, min(4.0 * SICK_MS, 2.0 * self.sick_ms)
            self.slowness, self.ends = max(self.slowness, SLOW), 0
            self.do(interface.Health(False, True))
            self.do(interface.Log("runs hardly end or none starts: bad health for a while"))
        elif self.sick_until > 0.0 and not self.clogged and not hung:
            well = self.owed < 1.0 and self.ends > SICK
            if well or self.now > self.sick_until:
                self.sick_ms = SICK_MS if well else self.sick_ms
                self.sick_until, self.owed = 0.0, min(self.owed, 0.5 * SICK)
                self.reading = NEVER  # while the work hung, reading took no time at all
                self.do(interface.Health(self.until == NEVER, True))

    def _duress(self, busy: float) -> None:
        """The source's search backpressure: after three pressed samples the highest score goes."""
        memory = max(self.memory_gauge, self.used_kb / self.memory_kb)
        pressed = (busy > DURESS_CPU and self.held > 0) or memory > REFUSE_MEMORY
        self.pressed_samples = self.pressed_samples + 1 if pressed else 0
        if self.pressed_samples < DURESS_SAMPLES or not self.can_halt or not self.running:
            return
        n = len(self.running)
        cpu = sum(c.cpu for c in self.running) / n or 1.0
        kb = sum(c.kb for c in self.running) / n or 1.0
        elapsed = sum(self.now - c.began for c in self.running) / n or 1.0
        outlying = [
            c
            for c in self.running
            if not c.answered
            and (self.now - c.began > OUTLIER * elapsed or c.kb > OUTLIER * kb)
            and self.now - c.reached > 0.5 * c.group.timeout
        ]
        if outlying:
            worst = max(outlying, key=lambda c: c.cpu / cpu + c.kb / kb + (self.now - c.began) / elapsed)
            self._step(worst, Word.CUT)

    def _publish(self) -> None:
        """The value callers hear falls while exchanges wait, unread or held, and recovers by itself."""
        strain = (self._wait() + self.unread) / (STRAIN * self.shortest_slo)
        if self.meaning is Meaning.NONE:
            return
        self.open_to *= 1.0 - 0.15 * min(3.0, strain - 1.0) if strain > 1.0 else 1.0 + 0.12 * (1.0 - strain)
        if self.meaning is Meaning.CREDIT and self.peak:
            # Beyond what was in hand a credit binds nobody, and would take seconds to come down to that.
            # While nothing comes it stays: the first to come would find the door shut.
            in_hand = self.held + len(self.running) if self.held else self.peak
            self.open_to, self.peak = min(self.open_to, 2.0 + in_hand), 0
        # Reading costs a cold backend several times as much: it asks for its part of the traffic only.
        least = self.open_at_least * (STORM_CREDIT if self.storm and self.meaning is Meaning.CREDIT else 1.0)
        self.open_to = max(least, min(self.open_at_most * self.warmth(), self.open_to))
        value = 0.0 if self.now > self.until else self.open_to
        if self.meaning is Meaning.LEVEL:
            value = 1.0 - value
        if abs(value - self.said) > 0.04 * self.said:
            self.said = value
            self.do(interface.Publish(round(value, 4)))
