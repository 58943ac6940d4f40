"""The actors of the fleet in one process: the member, its voter where it is one, and the links."""

from __future__ import annotations

import contextlib
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import gevent
from gevent import get_hub
from gevent.event import AsyncResult
from loguru import logger

from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.published_state import Board
from myrtlecrank.fleet.member import FleetConfig, FleetMember
from myrtlecrank.fleet.membership.messages import MemberUpdate, State
from myrtlecrank.fleet.membership.swim import MembershipTiming
from myrtlecrank.fleet.messages import Message, Query, ReplaceVoters, Report, Row, StepDown
from myrtlecrank.fleet.monitor.messages import Gauges
from myrtlecrank.fleet.options import Bounds, address, taken_over, waiting
from myrtlecrank.fleet.ownership.lease import Terms, member_of
from myrtlecrank.fleet.peer_links import Links
from myrtlecrank.fleet.register.calls import Letter as VoterLetter
from myrtlecrank.fleet.register.calls import replies
from myrtlecrank.fleet.register.caspaxos import Voter
from myrtlecrank.fleet.register.disk import Disk, TornError, encode
from myrtlecrank.fleet.register.messages import Memory, Seated
from myrtlecrank.fleet.register.reconfiguration import Reseated
from myrtlecrank.fleet.step_client import Receiver
from myrtlecrank.fleet.step_scheduler import DutySchedule, Effect

MAILBOX = 4096
REJOIN_MS = 500.0
RESEAT_S = 20.0  # how long an operator waits for voters to be replaced
FORGET_MS = 3_600_000.0
WARM = 0.5  # of the machine: below it no duty is taken


def mono_ms() -> float:
    """Runs on while the process is stopped and while the machine sleeps, and is never stepped."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


def plan_of(bounds: Bounds) -> FleetConfig:
    pace = MembershipTiming(
        bounds.probe_ms,
        bounds.probe_reply_ms,
        bounds.helpers,
        bounds.suspect_ms,
        FORGET_MS,
        10.0 * bounds.probe_ms,
    )
    duties = bounds.duties.items()
    works = tuple(
        DutySchedule(name, one.every_ms, one.deadline_ms, one.back_off_ms, one.share) for name, one in duties
    )
    terms = Terms.of(bounds.lease_ms, bounds.drift, bounds.lease_ms / 4.0)
    return FleetConfig(
        bounds.voters, works, terms, pace, bounds.reply_ms, bounds.even_ms, bounds.watch_ms, bounds.together
    )


@dataclass(frozen=True, slots=True)
class Heard:
    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Did:
    effect: Effect
    taken: bool


@dataclass(frozen=True, slots=True)
class Feel:
    fit: bool


@dataclass(frozen=True, slots=True)
class Depart:
    pass


Letter = Heard | Did | Feel | Depart


class VoterActor:
    """Owns the voter and its file. Disk work goes to a thread and holds this actor alone, never the loop;
    what comes meanwhile goes together under the next flush."""

    def __init__(self, bounds: Bounds, name: str, start: str, send: Callable[[str, Message], None]) -> None:
        self.send = send
        self.mailbox: Mailbox[tuple[str, VoterLetter]] = Mailbox(MAILBOX)
        self.disk = Disk(bounds.folder, bounds.name, name)
        memory = None
        try:
            memory = self.disk.load()
            if memory is None and name in bounds.voters:
                logger.warning(
                    "this voter has no memory: it abstains until all others have told it theirs "
                    "(a new fleet is begun by `myrtlecrank fleet found`)"
                )
        except TornError as error:
            logger.error("this voter's memory {}: it abstains until all others have told it theirs", error)
        self.voter = Voter(name, bounds.voters, memory, self._keep, bounds.name, bounds.trust_disk, start)
        self.full = False

    def _keep(self, memory: Memory) -> bool:
        raw = encode(memory)
        kept: bool = get_hub().threadpool.apply(self.disk.write, (raw,))
        if kept is self.full:
            self.full = not kept
            logger.log(
                "INFO" if kept else "ERROR",
                "this voter's disk {}",
                "takes writes again" if kept else "refuses a write: it says nothing until it does",
            )
        return kept

    def put(self, sender: str, message: VoterLetter) -> None:
        if len(self.mailbox) < MAILBOX:  # else dropped, as the link would
            self.mailbox.post((sender, message))

    def run(self) -> None:
        due = 0.0
        while True:
            asked = self.voter.rejoin()
            if asked is not None and mono_ms() >= due:
                due = mono_ms() + REJOIN_MS
                for other in self.voter.others:
                    self.send(other, asked)
            self._turn(self.mailbox.take(None if asked is None else max(1.0, due - mono_ms())))

    def _turn(self, letters: list[tuple[str, VoterLetter]]) -> None:
        voter = self.voter
        voted, seated, seat = voter.voting, voter.seated, voter.memory.seat
        for to, message in replies(voter, letters):
            self.send(to, message)
        if voter.voting and not voted:
            logger.info("this voter votes again, boot {}", voter.memory.boot)
        elif seated and not voter.seated:
            logger.info("this member votes no longer")
        elif seat != voter.memory.seat and not voter.seated:
            logger.info("this member is enlisted as a voter, with an empty memory")


class FleetActor:
    """Owns this process's member. The module's actor hears nothing of it and waits for nothing in it."""

    def __init__(self, bounds: Bounds, name: str, seed: int) -> None:
        self.bounds, self.name = bounds, name
        self.mailbox: Mailbox[Letter] = Mailbox(MAILBOX)
        addresses = {one: address(at.at) or ("", 0) for one, at in bounds.members.items()}
        me = MemberUpdate(
            name, addresses[name], bounds.members[name].zone, int(time.time()), State.ALIVE, False
        )
        # Unlike any other start of any process, ever: two starts that shared it could look like one owner.
        start = uuid.uuid4().hex[:16]
        self.fleet = FleetMember(me, start, addresses, plan_of(bounds), Random(seed).random, mono_ms())
        self.links = Links(bounds.name, name, addresses, bounds.queue, self.heard, self.asked)
        # Whoever has a folder may be made a voter while it runs.
        self.voter = VoterActor(bounds, name, start, self.send) if bounds.folder else None
        self.receivers = {
            one: Receiver(address(duty.to) or ("", 0), self.fleet.owner_id)
            for one, duty in bounds.duties.items()
        }
        self.away_since: float | None = None  # since when the register has not answered
        self.away_told = False

    def actors(self) -> list[Callable[[], None]]:
        return [self.run, self.links.run, *([self.voter.run] if self.voter is not None else [])]

    # -- for the other actors

    def feel(self, board: Board, storm: bool) -> None:
        """On the module's beat. What is to be told to others is left here; the mailbox hears of a change
        only."""
        self.fleet.gauges = Gauges(board.well, board.warmth, board.late, board.value, storm)
        fit = board.well and board.warmth >= WARM
        if fit is not self.fleet.membership.local.eligible:
            self.mailbox.post(Feel(fit))

    def retune(self, bounds: Bounds) -> None:
        """Of a file that was read anew, what can hold at once does."""
        self.bounds = taken_over(self.bounds, bounds)
        self.fleet.apply_config(plan_of(self.bounds))
        self.mailbox.wake()
        left = waiting(self.bounds, bounds)
        if "voters" in left:
            logger.warning(
                "[fleet] voters are replaced by `myrtlecrank fleet replace-voters` alone; the "
                "list is whom a new start asks first"
            )
            left.remove("voters")
        if left:
            logger.warning("[fleet] these take a new start and stay as they were: {}", ", ".join(left))

    def depart(self) -> None:
        self.mailbox.post(Depart())

    def heard(self, sender: str, message: Message) -> None:
        """Waits for room, which holds the one link that it came by."""
        if isinstance(message, VoterLetter) and self.voter is not None:
            self.voter.put(sender, message)
        if isinstance(message, Seated) or not isinstance(message, VoterLetter):
            self.mailbox.put(Heard(sender, message))

    def send(self, to: str, message: Message) -> None:
        if to != self.name:
            self.links.send(to, message)
        elif isinstance(message, VoterLetter):
            if self.voter is not None:
                self.voter.put(to, message)
        else:
            self.mailbox.post(Heard(to, message))

    # -- this actor

    def run(self) -> None:
        fleet = self.fleet
        while True:
            wait = max(0.0, fleet.due() - mono_ms())
            letters = self.mailbox.take(max(wait, 0.5))
            now = mono_ms()
            for letter in letters:
                match letter:
                    case Heard(sender, message):
                        fleet.handle(sender, message, now)
                    case Did(effect, taken):
                        fleet.finish_effect(effect, taken, now)
                    case Feel(fit):
                        fleet.set_eligible(fit)
                    case Depart():
                        fleet.leave(now)
            fleet.tick(mono_ms())
            self._carry_out()

    def _carry_out(self) -> None:
        out, self.fleet.outgoing = self.fleet.outgoing, []
        for to, message in out:
            self.send(to, message)
        effects, self.fleet.effects = self.fleet.effects, []
        for effect in effects:
            gevent.spawn(self._effect, effect)
        for name, state in self.fleet.membership.state_changes:
            logger.info("fleet member {} is {}", name, state.name.lower())
        self.fleet.membership.state_changes.clear()
        for duty in self.fleet.duties.values():
            for line in duty.changes:
                logger.info("fleet duty {}: {}", duty.name, line)
            duty.changes.clear()
        for line in self.fleet.log_lines:
            logger.info("fleet register: {}", line)
        self.fleet.log_lines.clear()
        self._look_at_register()

    def _look_at_register(self) -> None:
        """Told once it has been away for a lease, by when an owner that cannot renew has stopped."""
        reached, now = self.fleet.register_reached, mono_ms()
        if reached is not False:
            if self.away_told:
                logger.info("the fleet's register answers again")
            self.away_since, self.away_told = None, False
        elif self.away_since is None:
            self.away_since = now
        elif not self.away_told and now - self.away_since >= self.bounds.lease_ms:
            self.away_told = True
            logger.warning(
                "the fleet's register does not answer: no majority of its voters is there, "
                "nothing new is owned"
            )

    def _effect(self, effect: Effect) -> None:
        duty = self.fleet.duties[effect.duty]
        taken = self.receivers[effect.duty].offer(
            effect, lambda: duty.owns(mono_ms()) == effect.epoch, lambda: effect.expires_at - mono_ms()
        )
        self.mailbox.post(Did(effect, taken))

    # -- operators

    def asked(self, message: Message) -> Message | None:
        fleet, now = self.fleet, mono_ms()
        if isinstance(message, StepDown):
            duty = fleet.duties.get(message.duty)
            if duty is None:
                return Report([], f"no duty is named {message.duty[:60]!r}")
            if duty.owns(now) is None:
                owner = member_of(duty.lease.owner) or "nobody"
                return Report([], f"{self.name} does not own {message.duty}; its owner is {owner}")
            if not fleet.step_down(message.duty):
                return Report([], "no other member is fit to take it")
            self.mailbox.wake()
            return Report([{"duty": message.duty, "given_up_by": self.name}])
        if isinstance(message, ReplaceVoters):
            return self._reseat(message)
        if not isinstance(message, Query):
            return Report([], "not understood")
        if message.subject == "members":
            return Report(list(fleet.member_rows(now)))
        if message.subject == "owners":
            return Report(list(fleet.owner_rows(now)))
        if message.subject == "view":
            rows = list(fleet.view_rows(now))
            return Report(rows, "" if rows else "the fleet's view is unknown here: none has come of late")
        if message.subject == "register":
            return Report(self._register())
        if message.subject == "voters":
            return Report(list(fleet.voter_rows()))
        known = "members, owners, view, voters and register"
        return Report([], f"{message.subject[:60]!r} is not known; there are {known}")

    def _reseat(self, message: ReplaceVoters) -> Report:
        """Waits for its end, which holds this one operator's connection; it goes on where the operator
        hangs up."""
        ended: AsyncResult[Reseated] = AsyncResult()
        strange = [one for one in message.add if one not in self.bounds.members]
        if strange:
            names = ", ".join(sorted(self.bounds.members))
            return Report([], f"{strange[0][:60]!r} is no member; there are {names}")
        if not self.fleet.replace_voters(message.drop, message.add, ended.set, mono_ms()):
            return Report([], "a change of voters is under way from this member already")
        self.mailbox.wake()
        how = None
        with contextlib.suppress(gevent.Timeout):
            how = ended.get(timeout=RESEAT_S)
        if how is None:
            return Report([], "it takes long and goes on; `fleet voters` shows how far it is")
        return Report(list(self.fleet.voter_rows()), how.wrong)

    def _register(self) -> list[Row]:
        voter = self.voter.voter if self.voter is not None else None
        if voter is None or not voter.seated:
            names = ", ".join(self.fleet.proposer.roster.names)
            return [{"voter": None, "voters": names, "answers": self.fleet.register_reached}]
        state = "votes" if voter.voting else f"abstains, heard {len(voter.heard)} of {len(voter.others)}"
        memory = voter.memory
        return [
            {
                "voter": self.name,
                "state": state,
                "boot": memory.boot,
                "keys": len(memory.slots),
                "disk": not voter.failed,
                "answers": self.fleet.register_reached,
            }
        ]
