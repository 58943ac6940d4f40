"""The actors of the fleet in one process: the member, its voter if it has one, and the peer links."""

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
from myrtlecrank.core.published_state import PublishedState
from myrtlecrank.fleet.member import FleetConfig, FleetMember
from myrtlecrank.fleet.membership.messages import MemberUpdate, State
from myrtlecrank.fleet.membership.swim import MembershipTiming
from myrtlecrank.fleet.messages import Message, Query, ReplaceVoters, Report, Row, StepDown
from myrtlecrank.fleet.monitor.messages import Gauges
from myrtlecrank.fleet.options import FleetOptions, apply_reloadable, parse_address, unapplied_options
from myrtlecrank.fleet.ownership.lease import LeaseTimings, member_of
from myrtlecrank.fleet.peer_links import PeerLinks
from myrtlecrank.fleet.register.calls import VoterMessage as VoterMessage
from myrtlecrank.fleet.register.calls import answer_messages
from myrtlecrank.fleet.register.caspaxos import Voter
from myrtlecrank.fleet.register.disk import UnusableFileError, VoterFile, encode
from myrtlecrank.fleet.register.messages import Memory, VoterSetNotice
from myrtlecrank.fleet.register.reconfiguration import ReconfigurationResult
from myrtlecrank.fleet.step_client import StepClient
from myrtlecrank.fleet.step_scheduler import DutySchedule, Effect

MAILBOX_MESSAGES = 4096
REJOIN_INTERVAL_MS = 500.0
REPLACE_VOTERS_TIMEOUT_S = 20.0  # how long an operator waits for the result
FORGET_MEMBER_MS = 3_600_000.0
EXCHANGE_PROBE_INTERVALS = 10.0  # probe intervals between two full state exchanges
READS_PER_LEASE = 4.0  # how often in the length of a lease a duty's record is read
MIN_WARMTH = 0.5  # a colder machine takes no duty
MIN_WAIT_MS = 0.5  # of the actor, for timers that are due already
MAX_ECHOED_CHARS = 60  # of an operator's text in an error message


def monotonic_ms() -> float:
    """Time in ms that continues while the process is stopped or the machine sleeps, and is never stepped."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


def fleet_config(options: FleetOptions) -> FleetConfig:
    """The member's configuration from the operators' options."""
    timing = MembershipTiming(
        options.probe_ms,
        options.probe_reply_ms,
        options.helpers,
        options.suspect_ms,
        FORGET_MEMBER_MS,
        EXCHANGE_PROBE_INTERVALS * options.probe_ms,
    )
    schedules = tuple(
        DutySchedule(name, duty.every_ms, duty.deadline_ms, duty.back_off_ms, duty.share)
        for name, duty in options.duties.items()
    )
    timings = LeaseTimings.derive(options.lease_ms, options.drift, options.lease_ms / READS_PER_LEASE)
    return FleetConfig(
        voters=options.voters,
        schedules=schedules,
        lease_timings=timings,
        membership_timing=timing,
        register_reply_ms=options.reply_ms,
        rebalance_ms=options.even_ms,
        view_interval_ms=options.watch_ms,
        max_concurrent_steps=options.together,
    )


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another member, or of the local voter, has arrived."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class EffectFinished:
    """The receiver of an effect has answered, or has not answered in time."""

    effect: Effect
    taken: bool


@dataclass(frozen=True, slots=True)
class EligibilityChanged:
    """This backend has become able, or unable, to own duties."""

    eligible: bool


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The drain of this backend has started."""


ActorMessage = PeerMessage | EffectFinished | EligibilityChanged | DrainStarted


class VoterActor:
    """Owns the voter and its file.

    Disk writes run in a thread and block this actor alone, never the event loop; requests that arrive
    during a write are answered together after the next one."""

    def __init__(
        self, options: FleetOptions, name: str, start_id: str, send: Callable[[str, Message], None]
    ) -> None:
        self.send = send
        self.mailbox: Mailbox[tuple[str, VoterMessage]] = Mailbox(MAILBOX_MESSAGES)
        self.disk = VoterFile(options.folder, options.name, name)
        memory = None
        try:
            memory = self.disk.load()
            if memory is None and name in options.voters:
                logger.warning(
                    "this voter has no memory: it abstains until all others have told it theirs "
                    "(a new fleet is begun by `myrtlecrank fleet found`)"
                )
        except UnusableFileError as error:
            logger.error("this voter's memory {}: it abstains until all others have told it theirs", error)
        self.voter = Voter(
            name, options.voters, memory, self._persist, options.name, options.trust_disk, start_id
        )
        self.is_disk_failing = False

    def _persist(self, memory: Memory) -> bool:
        raw = encode(memory)
        is_written: bool = get_hub().threadpool.apply(self.disk.write, (raw,))
        if is_written is self.is_disk_failing:
            self.is_disk_failing = not is_written
            logger.log(
                "INFO" if is_written else "ERROR",
                "this voter's disk {}",
                "takes writes again" if is_written else "refuses a write: it says nothing until it does",
            )
        return is_written

    def put(self, sender: str, message: VoterMessage) -> None:
        """Queues a message; drops it if the mailbox is full, as a link drops messages too."""
        if len(self.mailbox) < MAILBOX_MESSAGES:
            self.mailbox.post((sender, message))

    def run(self) -> None:
        """Answers messages, and asks the other voters for their memory while this one must relearn its
        own."""
        rejoin_due = 0.0
        while True:
            rejoin = self.voter.rejoin_request()
            if rejoin is not None and monotonic_ms() >= rejoin_due:
                rejoin_due = monotonic_ms() + REJOIN_INTERVAL_MS
                for other in self.voter.others:
                    self.send(other, rejoin)
            wait_ms = None if rejoin is None else max(1.0, rejoin_due - monotonic_ms())
            self._answer(self.mailbox.take(wait_ms))

    def _answer(self, messages: list[tuple[str, VoterMessage]]) -> None:
        voter = self.voter
        was_voting = voter.is_voting
        was_current_voter = voter.is_current_voter
        identity_before = voter.memory.identity
        for to, message in answer_messages(voter, messages):
            self.send(to, message)
        if voter.is_voting and not was_voting:
            logger.info("this voter votes again, boot {}", voter.memory.boot)
        elif was_current_voter and not voter.is_current_voter:
            logger.info("this member votes no longer")
        elif identity_before != voter.memory.identity and not voter.is_current_voter:
            logger.info("this member is enlisted as a voter, with an empty memory")


class FleetActor:
    """Owns this process's fleet member. The actor of the core neither receives from it nor waits for it."""

    def __init__(self, options: FleetOptions, name: str, seed: int) -> None:
        self.options = options
        self.name = name
        self.mailbox: Mailbox[ActorMessage] = Mailbox(MAILBOX_MESSAGES)
        addresses = {one: parse_address(at.at) or ("", 0) for one, at in options.members.items()}
        local = MemberUpdate(
            name, addresses[name], options.members[name].zone, int(time.time()), State.ALIVE, False
        )
        # Unique among all starts of all processes: two starts with the same one could pass for one owner.
        start_id = uuid.uuid4().hex[:16]
        self.member = FleetMember(
            local, start_id, addresses, fleet_config(options), Random(seed).random, monotonic_ms()
        )
        self.links = PeerLinks(
            options.name, name, addresses, options.queue, self.receive, self.answer_operator
        )
        # A member with a folder can be made a voter while it runs.
        self.voter = VoterActor(options, name, start_id, self.send) if options.folder else None
        self.step_clients = {
            duty_name: StepClient(parse_address(duty.to) or ("", 0), self.member.owner_id)
            for duty_name, duty in options.duties.items()
        }
        self.register_lost_at: float | None = None  # since when the register has not answered
        self.has_reported_register_loss = False

    def actors(self) -> list[Callable[[], None]]:
        """The functions to run, each in a greenlet of its own."""
        return [self.run, self.links.run, *([self.voter.run] if self.voter is not None else [])]

    # -- for the other actors

    def update_gauges(self, published: PublishedState, storm: bool) -> None:
        """Called at each sampling tick. Stores the gauges for the monitor; only a change of this backend's
        eligibility is posted to the mailbox."""
        self.member.gauges = Gauges(
            published.healthy, published.warmth, published.tick_delay, published.published_value, storm
        )
        is_eligible = published.healthy and published.warmth >= MIN_WARMTH
        if is_eligible is not self.member.membership.local.eligible:
            self.mailbox.post(EligibilityChanged(is_eligible))

    def apply_options(self, options: FleetOptions) -> None:
        """Applies those options of a reloaded file that can change in a running process."""
        self.options = apply_reloadable(self.options, options)
        self.member.apply_config(fleet_config(self.options))
        self.mailbox.wake()
        unapplied = unapplied_options(self.options, options)
        if "voters" in unapplied:
            logger.warning(
                "[fleet] voters are replaced by `myrtlecrank fleet replace-voters` alone; the "
                "list is whom a new start asks first"
            )
            unapplied.remove("voters")
        if unapplied:
            logger.warning("[fleet] these take a new start and stay as they were: {}", ", ".join(unapplied))

    def start_drain(self) -> None:
        """Starts the drain of this member."""
        self.mailbox.post(DrainStarted())

    def receive(self, sender: str, message: Message) -> None:
        """Queues a message of a peer. Waits while the mailbox is full, which blocks that peer's link only."""
        if isinstance(message, VoterMessage) and self.voter is not None:
            self.voter.put(sender, message)
        if isinstance(message, VoterSetNotice) or not isinstance(message, VoterMessage):
            self.mailbox.put(PeerMessage(sender, message))

    def send(self, to: str, message: Message) -> None:
        """Sends a message to a member, which may be this one."""
        if to != self.name:
            self.links.send(to, message)
        elif isinstance(message, VoterMessage):
            if self.voter is not None:
                self.voter.put(to, message)
        else:
            self.mailbox.post(PeerMessage(to, message))

    # -- this actor

    def run(self) -> None:
        """Handles messages and timers of the member."""
        member = self.member
        while True:
            wait_ms = max(0.0, member.due() - monotonic_ms())
            messages = self.mailbox.take(max(wait_ms, MIN_WAIT_MS))
            now = monotonic_ms()
            for message in messages:
                match message:
                    case PeerMessage(sender, peer_message):
                        member.handle(sender, peer_message, now)
                    case EffectFinished(effect, taken):
                        member.finish_effect(effect, taken, now)
                    case EligibilityChanged(eligible):
                        member.set_eligible(eligible)
                    case DrainStarted():
                        member.leave(now)
            member.tick(monotonic_ms())
            self._carry_out()

    def _carry_out(self) -> None:
        """Sends the member's messages, starts its effects and logs its changes."""
        outgoing, self.member.outgoing = self.member.outgoing, []
        for to, message in outgoing:
            self.send(to, message)
        abandoned_duties, self.member.scheduler.abandoned_duties = self.member.scheduler.abandoned_duties, []
        for name in abandoned_duties:
            self.step_clients[name].abort()
        effects, self.member.effects = self.member.effects, []
        for effect in effects:
            self._start_effect(effect)
        for name, state in self.member.membership.state_changes:
            logger.info("fleet member {} is {}", name, state.name.lower())
        self.member.membership.state_changes.clear()
        for duty in self.member.duties.values():
            for line in duty.log_lines:
                logger.info("fleet duty {}: {}", duty.name, line)
            duty.log_lines.clear()
        for line in self.member.log_lines:
            logger.info("fleet register: {}", line)
        self.member.log_lines.clear()
        self._log_register_state()

    def _log_register_state(self) -> None:
        """Reports a loss of the register once it has lasted for a lease: by then an owner that cannot renew
        has stopped."""
        reached = self.member.register_reached
        now = monotonic_ms()
        if reached is not False:
            if self.has_reported_register_loss:
                logger.info("the fleet's register answers again")
            self.register_lost_at = None
            self.has_reported_register_loss = False
        elif self.register_lost_at is None:
            self.register_lost_at = now
        elif not self.has_reported_register_loss and now - self.register_lost_at >= self.options.lease_ms:
            self.has_reported_register_loss = True
            logger.warning(
                "the fleet's register does not answer: no majority of its voters is there, "
                "nothing new is owned"
            )

    def _start_effect(self, effect: Effect) -> None:
        duty = self.member.duties[effect.duty]
        self.step_clients[effect.duty].start_offer(
            effect,
            is_still_owner=lambda: duty.owns(monotonic_ms()) == effect.epoch,
            remaining_ms=lambda: effect.expires_at - monotonic_ms(),
            on_finished=lambda effect, taken: self.mailbox.post(EffectFinished(effect, taken)),
        )

    # -- operators

    def answer_operator(self, message: Message) -> Message | None:
        """The report that answers an operator's message."""
        if isinstance(message, StepDown):
            return self._step_down(message.duty)
        if isinstance(message, ReplaceVoters):
            return self._replace_voters(message)
        if isinstance(message, Query):
            return self._answer_query(message.subject)
        kind = type(message).__name__
        return Report([], f"expected a query, step-down or replace-voters, found {kind}")

    def _step_down(self, duty_name: str) -> Report:
        duty = self.member.duties.get(duty_name)
        if duty is None:
            return Report([], f"no duty is named {duty_name[:MAX_ECHOED_CHARS]!r}")
        if duty.owns(monotonic_ms()) is None:
            owner = member_of(duty.lease.owner) or "nobody"
            return Report([], f"{self.name} does not own {duty_name}; its owner is {owner}")
        if not self.member.step_down(duty_name):
            return Report([], "no other member is eligible to own it")
        self.mailbox.wake()
        return Report([{"duty": duty_name, "given_up_by": self.name}])

    def _answer_query(self, subject: str) -> Report:
        member = self.member
        now = monotonic_ms()
        if subject == "members":
            return Report(list(member.member_rows(now)))
        if subject == "owners":
            return Report(list(member.owner_rows(now)))
        if subject == "view":
            rows = list(member.view_rows(now))
            return Report(
                rows, "" if rows else "the fleet's view is unknown here: no recent one was received"
            )
        if subject == "register":
            return Report(self._register_rows())
        if subject == "voters":
            return Report(list(member.voter_rows()))
        expected = "members, owners, view, voters or register"
        return Report([], f"expected {expected}, found {subject[:MAX_ECHOED_CHARS]!r}")

    def _replace_voters(self, message: ReplaceVoters) -> Report:
        """Waits for the result, which blocks this operator's connection only. The change continues even if
        the operator hangs up."""
        result_ready: AsyncResult[ReconfigurationResult] = AsyncResult()
        unknown = [name for name in message.add if name not in self.options.members]
        if unknown:
            names = ", ".join(sorted(self.options.members))
            return Report([], f"{unknown[0][:MAX_ECHOED_CHARS]!r} is no member; there are {names}")
        if not self.member.replace_voters(message.drop, message.add, result_ready.set, monotonic_ms()):
            return Report([], "a change of voters is under way from this member already")
        self.mailbox.wake()
        result = None
        with contextlib.suppress(gevent.Timeout):
            result = result_ready.get(timeout=REPLACE_VOTERS_TIMEOUT_S)
        if result is None:
            return Report([], "the change takes long and continues; `fleet voters` shows its progress")
        return Report(list(self.member.voter_rows()), result.error)

    def _register_rows(self) -> list[Row]:
        voter = self.voter.voter if self.voter is not None else None
        if voter is None or not voter.is_current_voter:
            names = ", ".join(self.member.proposer.voter_set.names)
            return [{"voter": None, "voters": names, "answers": self.member.register_reached}]
        state = (
            "votes"
            if voter.is_voting
            else f"abstains, heard {len(voter.rejoin_answers)} of {len(voter.others)}"
        )
        memory = voter.memory
        return [
            {
                "voter": self.name,
                "state": state,
                "boot": memory.boot,
                "keys": len(memory.slots),
                "disk": not voter.last_write_failed,
                "answers": self.member.register_reached,
            }
        ]
