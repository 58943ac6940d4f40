"""One member of the fleet as a whole: members, the calls to the register, duties and their steps. Free of I/O
and clocks: whoever runs it hands in what came and the time, carries out what is in `out`, and calls tick()
when due() says so."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from myrtlecrank.fleet.membership.messages import Ack, Ping, PingFor, Rumour, Swap
from myrtlecrank.fleet.membership.swim import Members, Pace
from myrtlecrank.fleet.messages import Message, Offered, Row, Voted
from myrtlecrank.fleet.monitor.messages import Gauges, Told, Watched
from myrtlecrank.fleet.monitor.monitor import DUTY as WATCH
from myrtlecrank.fleet.monitor.monitor import Watch
from myrtlecrank.fleet.ownership.lease import Duty, Look, Put, Terms, member_of, rebalance
from myrtlecrank.fleet.register.calls import Calls
from myrtlecrank.fleet.register.caspaxos import Proposer
from myrtlecrank.fleet.register.messages import Outcome, Result, Seated
from myrtlecrank.fleet.register.reconfiguration import Reseated, reseat
from myrtlecrank.fleet.register.voter_set import Roster, guessed
from myrtlecrank.fleet.step_scheduler import Effect, Steps, Work


@dataclass(frozen=True, slots=True)
class Plan:
    """What a member is told once."""

    voters: tuple[str, ...]
    works: tuple[Work, ...]
    terms: Terms
    pace: Pace
    reply: float  # ms that a round of the register waits
    even: float  # ms between two moves to even the duties out
    watch: float = 0.0  # ms between two views of the fleet; 0: there are none
    together: int = 64  # steps that one member has under way at a time


def voters_line(roster: Roster) -> str:
    if not roster.joint:
        return f"the voters are {', '.join(roster.names)} (roster {roster.number})"
    old, new = (", ".join(sorted(one)) for one in roster.sets)
    return f"the voters change from {old} to {new} (roster {roster.number})"


class Fleet:
    """`start` names this start of the process and no other one, ever: a ballot or a lease of an earlier start
    must not look like ours. `chance` gives 0 to 1."""

    def __init__(
        self,
        me: Rumour,
        start: str,
        seeds: dict[str, tuple[str, int]],
        plan: Plan,
        chance: Callable[[], float],
        now: float,
    ) -> None:
        self.name, self.plan = me.name, plan
        self.ident = f"{me.name}/{start}"
        self.out: list[tuple[str, Message]] = []
        self.effects: list[Effect] = []
        self.members = Members(me, seeds, plan.pace, chance, now)
        self.proposer = Proposer(self.ident, guessed(plan.voters), chance)
        self.calls = Calls(plan.reply, lambda to, asked: self.out.append((to, asked)))
        self.chance = chance
        self.told = self.proposer.roster  # the newest that the others were told of
        self.unlike = False  # told once that voters were founded with unlike lists
        self.changing = False  # voters are being replaced from here
        self.changes = 0
        self.changed: list[str] = []  # for the log; whoever reads them empties it
        self.settle_due = math.inf  # when a change that stands half-way is ended from here
        self.duties = {work.name: Duty(work.name, self.ident, plan.terms) for work in plan.works}
        self.steps = Steps(plan.works, self.duties, plan.together)
        self.gauges = Gauges()  # this backend's own, as last told
        self.watch = Watch(plan.watch, 4.0 * plan.watch)
        if plan.watch:
            self.duties[WATCH] = Duty(WATCH, self.ident, plan.terms)
        self.leaving = False
        self.reached: bool | None = None  # whether the last call to the register had a majority
        self.even_due = now + plan.even
        # Not all members at one instant: the first look of each is spread over one interval.
        for duty in self.duties.values():
            duty.due = now + plan.terms.look * chance()

    # -- what comes in

    def heard(self, sender: str, message: Message, now: float) -> None:
        """What a voter is asked goes to the voter, not here."""
        if isinstance(message, Voted):
            self.calls.heard(sender, message, now)
        elif isinstance(message, Ping | PingFor | Ack | Swap):
            self.out += self.members.heard(sender, message, now)
        elif isinstance(message, Watched):
            answer = self.watch.hear(message, self.gauges, now) if self.plan.watch else None
            if answer is not None:
                self.out.append((sender, answer))
        elif isinstance(message, Told):
            self.watch.told(sender, message, now)
        elif isinstance(message, Seated):
            self.proposer.seated(message.roster)
        elif isinstance(message, Offered) and message.duty in self.duties:
            self.duties[message.duty].due = now

    def feel(self, fit: bool) -> None:
        """By the module's own gauges: neither cold nor under duress."""
        self.members.feel(fit and not self.leaving)

    def leave(self, now: float) -> None:
        """The notice to leave: duties are handed over, then members hear of it."""
        if self.leaving:
            return
        self.leaving = True
        self.out += self.members.leave()
        self._spread_all()
        self.tick(now)

    def retune(self, plan: Plan) -> None:
        """Takes over how the duties are worked on; the duties themselves, the voters and all terms stay."""
        self.plan = replace(self.plan, works=plan.works, together=plan.together, even=plan.even)
        self.steps.works = {work.name: work for work in plan.works}
        self.steps.together = plan.together

    def owned(self, now: float) -> list[str]:
        return [name for name, duty in self.duties.items() if duty.owns(now) is not None]

    # -- time

    def due(self) -> float:
        duties = [max(one.due, 0.0) for one in self.duties.values() if one.asked is None]
        ends = [one.until for one in self.duties.values() if one.epoch is not None]
        views = [self.watch.due] if self.watch.epoch is not None else []
        own = [self.members.due(), self.calls.due(), self.even_due, self.settle_due]
        return min([self.steps.due(), *own, *duties, *ends, *views])

    def tick(self, now: float) -> None:
        # First what has run out: a process that wakes after a pause must do nothing before it has looked.
        owned = len(self.owned(now))
        self.calls.tick(now)
        self.out += self.members.tick(now)
        self._look_at_roster(now)
        fit = self.members.me.fit and not self.leaving
        for duty in self.duties.values():
            asked = duty.want(now, fit, owned)
            if asked is not None:
                self._ask(duty, asked, now)
            elif duty.asked is None and duty.due <= now:
                duty.due = now + self.plan.terms.look / 4.0
        self.effects += self.steps.tick(now)
        if self.plan.watch:
            epoch = self.duties[WATCH].owns(now)
            self.out += self.watch.tick(now, epoch, self.members.there(), self.name, self.gauges)
        if now >= self.even_due:
            self.even_due = now + self.plan.even
            self._even()

    def _ask(self, duty: Duty, asked: Look | Put, now: float) -> None:
        duty.sending(asked, now)

        def done(outcome: Outcome, then: float) -> None:
            was = duty.epoch
            heir = duty.heir
            self.reached = outcome.result is not Result.AWAY
            duty.heard(outcome, then)
            if was is not None and duty.epoch is None and heir:
                self.out.append((heir, Offered(duty.name)))

        if isinstance(asked, Put):
            call = self.proposer.change(duty.name, asked.over, asked.value())
        elif not asked.sure:
            call = self.proposer.glance(duty.name)
        else:
            call = self.proposer.read(duty.name)
        self.calls.start(call, done, now)

    def step_down(self, name: str) -> bool:
        """By an operator: the duty goes to the fittest other; False where there is none, and it stays."""
        heir = self._heir()
        if heir:
            self.duties[name].give_up(heir)
        return bool(heir)

    # -- the voters

    def _look_at_roster(self, now: float) -> None:
        """Whoever learns of a newer roster tells the others, once: a hint, as the voters tell whoever
        asks. One that stands half-way is ended by any that knows of it, not all in one instant."""
        roster = self.proposer.roster
        if roster.number > self.told.number:
            known, self.told = self.told.number >= 0, roster
            if known or roster.joint:
                names = sorted({*self.members.there(), *roster.names})
                self.out += [(name, Seated(roster)) for name in names]
            self.changed.append(voters_line(roster))
            self.settle_due = self._settle_at(now) if roster.joint else math.inf
        if self.proposer.unlike is not None and not self.unlike:
            self.unlike = True
            others = ", ".join(self.proposer.unlike.names)
            self.changed.append(
                f"some voters were founded as {others}, others as {', '.join(roster.names)}: "
                "they never vote together; begin the fleet anew from one file"
            )
        if now >= self.settle_due:
            self.settle_due = self._settle_at(now)
            self.reseat((), (), lambda _: None, now)

    def _settle_at(self, now: float) -> float:
        return now + self.plan.terms.wait * (2.0 + 4.0 * self.chance())

    def reseat(
        self, drop: Iterable[str], add: Iterable[str], done: Callable[[Reseated], None], now: float
    ) -> bool:
        """Replaces voters; False where a change is under way from here already. `done` hears how it ended."""
        if self.changing:
            return False
        self.changing, self.changes = True, self.changes + 1

        def ended(how: Reseated, _: float) -> None:
            self.changing = False
            done(how)

        token = f"{self.ident}:{self.changes}"
        self.calls.start(reseat(self.proposer, drop, add, token), ended, now)
        return True

    def rows_of_voters(self) -> Iterator[Row]:
        roster = self.proposer.roster
        for name in roster.names:
            yield {
                "voter": name,
                "roster": roster.number,
                "seat": roster.seat(name) or "founder",
                "state": "votes"
                if all(name in one for one in roster.sets)
                else "comes"
                if name in roster.sets[-1]
                else "goes",
            }

    # -- what operators see

    def rows_of_members(self, now: float) -> Iterator[Row]:
        members = self.members
        for name in sorted([self.name, *members.members]):
            told = members.me if name == self.name else members.members[name].told
            since = 0.0 if name == self.name else (now - members.members[name].since) / 1000.0
            yield {
                "member": name,
                "state": told.state.name.lower(),
                "fit": told.fit,
                "zone": told.zone,
                "incarnation": told.incarnation,
                "for_s": round(since, 1),
            }

    def rows_of_view(self, now: float) -> Iterator[Row]:
        for known in self.watch.now_known(now) or []:
            gauges = known.gauges
            yield {
                "member": known.member,
                "age_ms": round(known.age),
                "well": gauges.well,
                "warmth": round(gauges.warmth, 2),
                "late_ms": round(gauges.late, 1),
                "value": gauges.value,
                "storm": gauges.storm,
            }

    def rows_of_owners(self, now: float) -> Iterator[Row]:
        for name, duty in self.duties.items():
            lease = duty.lease
            yield {
                "duty": name,
                "owner": member_of(lease.owner) or None,
                "epoch": lease.epoch,
                "step": lease.progress,
                "seen_ms_ago": round(now - duty.since),
                "here": duty.owns(now) is not None,
                "heir": lease.heir or None,
            }

    # -- the steps of a duty

    def did(self, effect: Effect, taken: bool, now: float) -> None:
        self.steps.did(effect, taken, now)

    # -- spreading the duties

    def _heir(self) -> str:
        """The fit member with the fewest duties, as far as the last looks say; empty for anybody."""
        found = rebalance(self._owners(), self.name, self.members.fit(), self.members.zones())
        others = [name for name in self.members.fit() if name != self.name]
        return found[1] if found else (others[0] if others else "")

    def _spread_all(self) -> None:
        """Each of ours to another, those with the fewest first; for anybody where no other is fit."""
        owners = self._owners()
        for name, duty in self.duties.items():
            if duty.epoch is not None and duty.heir is None:
                count = {one: 0 for one in self.members.fit() if one != self.name}
                for owner in owners.values():
                    if owner in count:
                        count[owner] += 1
                owners[name] = min(count, key=lambda one: (count[one], one), default="")
                duty.give_up(owners[name])

    def _even(self) -> None:
        if self.leaving:
            self._spread_all()
        elif not self.members.me.fit:
            mine = [one for one in self.duties.values() if one.epoch is not None]
            if mine and (heir := self._heir()):
                mine[0].give_up(heir)  # under duress, one at a time
        else:
            found = rebalance(self._owners(), self.name, self.members.fit(), self.members.zones())
            if found is not None:
                self.duties[found[0]].give_up(found[1])

    def _owners(self) -> dict[str, str]:
        return {name: member_of(one.lease.owner) for name, one in self.duties.items()}
