"""The membership protocol: probes, suspicion, refutation, loss, leave and return.

Published as SWIM (Das, Gupta and Motivala, 2002), with three extensions of Lifeguard (Dadgar, Phillips and
Currey, 2018): the local health multiplier, a suspicion timeout that shortens with each confirmation, and
telling a suspect that it is suspected. The module does no I/O, reads no clock and has no source of
randomness of its own: each method is called with the current time and returns the messages to send. Times
are ms of the local monotonic clock."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from myrtlecrank.fleet.membership.messages import (
    Ack,
    MembershipMessage,
    MemberUpdate,
    Ping,
    PingRequest,
    State,
    StateExchange,
)

MAX_MEMBERS = 1000
MAX_UPDATES_PER_MESSAGE = 12  # bounds the size of a message
MAX_HEALTH_SCORE = 8  # timeouts are multiplied by one more than the score
CONFIRMATIONS_FOR_MIN_SUSPICION = 3  # further suspecting members at which the suspicion timeout is shortest
MAX_SUSPICION_FACTOR = 6.0  # longest suspicion timeout, as a multiple of the shortest
INDIRECT_REPLY_FACTOR = 2.0  # an indirect probe takes two round trips
RETRANSMIT_FACTOR = 3  # an update is sent this many times log2 of the number of members
PAUSE_PROBE_INTERVALS = 2.0  # a tick later than this means that the process itself was paused
PAUSE_HEALTH_PENALTY = 2
PROBE_JITTER_MIN = 0.9
PROBE_JITTER_RANGE = 0.2
EXCHANGE_JITTER_MIN = 0.8
EXCHANGE_JITTER_RANGE = 0.4


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Timeouts and intervals of the protocol, derived once from the operators' file."""

    probe_interval_ms: float
    probe_reply_ms: float  # a direct probe without an answer for this long is followed by indirect ones
    helpers: int  # members asked for an indirect probe
    min_suspicion_ms: float  # six times as long for a suspicion that nobody confirms
    forget_ms: float  # how long a lost or departed member is remembered, and still contacted
    exchange_interval_ms: float  # between full state exchanges, which reunite the sides of a partition


@dataclass(slots=True)
class PeerState:
    """What this process knows of one other member."""

    update: MemberUpdate
    state_since: float
    suspected_by: set[str]
    transmissions: int  # how often the newest update was sent on


@dataclass(slots=True)
class Probe:
    """A ping that has not been answered yet."""

    target: str
    seq: int
    due: float  # time of the next action: indirect probes, then suspicion
    helpers_asked: int = 0
    requested_by: tuple[str, int] | None = None  # member that asked for this probe, and its sequence number


Outgoing = tuple[str, MembershipMessage]


class Membership:
    """The membership as this process sees it. `random` returns a number from 0 to 1."""

    def __init__(
        self,
        local: MemberUpdate,
        seeds: dict[str, tuple[str, int]],
        timing: MembershipTiming,
        random: Callable[[], float],
        now: float,
        max_members: int = MAX_MEMBERS,
    ) -> None:
        self.local = local
        self.timing = timing
        self.random = random
        self.max_members = max_members
        self.seeds = {name: address for name, address in seeds.items() if name != local.name}
        self.peers: dict[str, PeerState] = {}
        self.local_transmissions = 0
        self.health_score = 0  # 0 is healthy; rises with each sign that this process is at fault itself
        self.seq = 0
        self.probes: dict[int, Probe] = {}
        self.probe_order: list[str] = []  # members left to probe in this round, from the end
        self.probe_due = now
        self.exchange_due = now
        self.state_changes: list[tuple[str, State]] = []  # for the log; the reader clears it

    # -- the view

    def state(self, name: str) -> State | None:
        """The state of a member; None if it is unknown."""
        if name == self.local.name:
            return self.local.state
        peer = self.peers.get(name)
        return None if peer is None else peer.update.state

    def active(self) -> list[str]:
        """Members that are alive or suspected, in the order of their names; this one too unless it has
        left."""
        names = [name for name, peer in self.peers.items() if peer.update.state <= State.SUSPECT]
        return sorted(names if self.local.state is State.LEFT else [*names, self.local.name])

    def eligible(self) -> list[str]:
        """Members that may own a duty: alive, not suspected, and eligible by their own report."""
        names = [
            name
            for name, peer in self.peers.items()
            if peer.update.state is State.ALIVE and peer.update.eligible
        ]
        is_local_eligible = self.local.eligible and self.local.state is State.ALIVE
        return sorted([*names, self.local.name] if is_local_eligible else names)

    def zones(self) -> dict[str, str]:
        """The zone of each known member."""
        return {self.local.name: self.local.zone} | {
            name: peer.update.zone for name, peer in self.peers.items()
        }

    # -- what this process reports of itself

    def set_eligible(self, eligible: bool) -> None:
        """Sets whether this process may own duties; a change is gossiped."""
        if eligible != self.local.eligible and self.local.state is State.ALIVE:
            self._update_local(eligible=eligible)

    def leave(self) -> list[Outgoing]:
        """Announces at once that this process leaves, to one member more than an indirect probe asks; these
        pass it on."""
        self._update_local(state=State.LEFT, eligible=False)
        others = [name for name in self.active() if name != self.local.name]
        receivers = self._sample(others, self.timing.helpers + 1)
        return [(name, Ping(self._next_seq(), self._updates_for(name))) for name in receivers]

    def _update_local(self, **changes: object) -> None:
        values = {name: getattr(self.local, name) for name in self.local.__struct_fields__}
        values |= {"incarnation": self.local.incarnation + 1} | changes
        self.local = MemberUpdate(**values)
        self.local_transmissions = 0

    # -- time

    def due(self) -> float:
        """The time at which tick() has something to do again."""
        suspicions = [
            self._suspicion_end(peer) for peer in self.peers.values() if peer.update.state is State.SUSPECT
        ]
        probes = (probe.due for probe in self.probes.values())
        return min([self.probe_due, self.exchange_due, *probes, *suspicions])

    def tick(self, now: float) -> list[Outgoing]:
        """Handles all timeouts up to `now`; returns the messages to send."""
        sends: list[Outgoing] = []
        delay = now - self.probe_due
        if delay > PAUSE_PROBE_INTERVALS * self.timing.probe_interval_ms:
            # This process was stopped or kept from its event loop: that no message arrived in that time says
            # nothing about the other members.
            self._adjust_health_score(PAUSE_HEALTH_PENALTY)
            for probe in self.probes.values():
                probe.due = max(probe.due, now + self.timing.probe_reply_ms)
            for peer in self.peers.values():
                if peer.update.state is State.SUSPECT:
                    peer.state_since += delay
        for probe in [one for one in self.probes.values() if one.due <= now]:
            sends += self._handle_probe_timeout(probe, now)
        for name, peer in list(self.peers.items()):
            if peer.update.state is State.SUSPECT and self._suspicion_end(peer) <= now:
                self._apply(self._with_state(peer.update, State.LOST, self.local.name), now)
            elif peer.update.state >= State.LOST and now - peer.state_since > self.timing.forget_ms:
                del self.peers[name]
        if now >= self.probe_due:
            jitter = PROBE_JITTER_MIN + PROBE_JITTER_RANGE * self.random()
            self.probe_due = now + self.timing.probe_interval_ms * (1 + self.health_score) * jitter
            sends += self._probe_next(now)
        if now >= self.exchange_due:
            jitter = EXCHANGE_JITTER_MIN + EXCHANGE_JITTER_RANGE * self.random()
            self.exchange_due = now + self.timing.exchange_interval_ms * jitter
            # Lost members and seeds are candidates too: after a partition nothing else would start contact.
            candidates = {*self.peers, *self.seeds}
            for name in self._sample(sorted(candidates), 1):
                sends.append((name, self._state_exchange(True)))
        return sends

    def _probe_next(self, now: float) -> list[Outgoing]:
        """Goes through a shuffled list of all active members, so that each is probed within two rounds."""
        while self.probe_order:
            name = self.probe_order.pop()
            peer = self.peers.get(name)
            if peer is not None and peer.update.state <= State.SUSPECT:
                return [self._ping(name, now, None)]
        self.probe_order = [name for name in self.active() if name != self.local.name]
        for i in range(len(self.probe_order) - 1, 0, -1):
            j = int(self.random() * (i + 1))
            self.probe_order[i], self.probe_order[j] = self.probe_order[j], self.probe_order[i]
        if not self.probe_order:
            return [(name, self._state_exchange(True)) for name in self._sample(sorted(self.seeds), 1)]
        return self._probe_next(now)

    def _ping(self, name: str, now: float, requested_by: tuple[str, int] | None) -> Outgoing:
        seq = self._next_seq()
        due = now + self.timing.probe_reply_ms * (1 + self.health_score)
        self.probes[seq] = Probe(name, seq, due, 0, requested_by)
        return name, Ping(seq, self._updates_for(name))

    def _handle_probe_timeout(self, probe: Probe, now: float) -> list[Outgoing]:
        if probe.requested_by is not None:
            del self.probes[probe.seq]
            return []
        if not probe.helpers_asked:
            others = [name for name in self.active() if name not in (self.local.name, probe.target)]
            helpers = self._sample(others, self.timing.helpers)
            if helpers:
                probe.helpers_asked = len(helpers)
                probe.due = now + INDIRECT_REPLY_FACTOR * self.timing.probe_reply_ms * (1 + self.health_score)
                return [
                    (name, PingRequest(probe.seq, probe.target, self._updates_for(name))) for name in helpers
                ]
        del self.probes[probe.seq]
        # The fault may be this process's own: one that receives no replies suspects others ever more slowly.
        self._adjust_health_score(1)
        peer = self.peers.get(probe.target)
        if peer is not None and peer.update.state is State.ALIVE:
            self._apply(self._with_state(peer.update, State.SUSPECT, self.local.name), now)
        return []

    def _suspicion_end(self, peer: PeerState) -> float:
        """When a suspicion becomes a loss: sooner with more confirmations, later with a higher score."""
        shortest = self.timing.min_suspicion_ms
        longest = MAX_SUSPICION_FACTOR * self.timing.min_suspicion_ms
        confirmed = (
            math.log(len(peer.suspected_by)) / math.log(CONFIRMATIONS_FOR_MIN_SUSPICION + 1)
            if peer.suspected_by
            else 0.0
        )
        timeout = max(shortest, longest - (longest - shortest) * confirmed)
        return peer.state_since + timeout * (1 + self.health_score)

    def _adjust_health_score(self, by: int) -> None:
        self.health_score = min(MAX_HEALTH_SCORE, max(0, self.health_score + by))

    # -- incoming messages

    def handle(self, sender: str, message: MembershipMessage, now: float) -> list[Outgoing]:
        """Applies the updates of a message; returns the messages that answer it."""
        for update in message.updates[: self.max_members]:
            self._apply(update, now)
        if isinstance(message, StateExchange):
            return [(sender, self._state_exchange(False))] if message.wants_reply else []
        if isinstance(message, Ping):
            return [(sender, Ack(message.seq, self._updates_for(sender)))]
        if isinstance(message, PingRequest):
            if message.target not in self.peers:
                return []
            return [self._ping(message.target, now, (sender, message.seq))]
        probe = self.probes.pop(message.seq, None)
        if probe is None:
            return []
        if probe.requested_by is not None:
            requester, seq = probe.requested_by
            return [(requester, Ack(seq, self._updates_for(requester)))]
        if not probe.helpers_asked:
            self._adjust_health_score(-1)
        return []

    def _apply(self, update: MemberUpdate, now: float) -> None:
        if update.name == self.local.name:
            self._refute(update)
            return
        peer = self.peers.get(update.name)
        if peer is None:
            if update.state >= State.LOST or len(self.peers) >= self.max_members:
                return  # an unknown member is not added by the report of its loss
            suspected_by = {update.suspected_by} if update.state is State.SUSPECT else set()
            self.peers[update.name] = PeerState(update, now, suspected_by, 0)
            self.state_changes.append((update.name, update.state))
            return
        known = peer.update
        if (update.incarnation, update.state) <= (known.incarnation, known.state):
            is_same_state = update.incarnation == known.incarnation and update.state is known.state
            if (
                is_same_state
                and update.state is State.SUSPECT
                and update.suspected_by not in peer.suspected_by
            ):
                peer.suspected_by.add(update.suspected_by)
                if len(peer.suspected_by) <= CONFIRMATIONS_FOR_MIN_SUSPICION:
                    peer.transmissions = 0
            return
        if update.state is not known.state:
            self.state_changes.append((update.name, update.state))
            peer.state_since = now
        peer.update = update
        peer.transmissions = 0
        peer.suspected_by = {update.suspected_by} if update.state is State.SUSPECT else set()

    def _refute(self, update: MemberUpdate) -> None:
        """Overrides an update on this process that suspects it, counts it as lost, or is of an earlier start
        with a higher incarnation."""
        if self.local.state is State.ALIVE and (
            update.incarnation > self.local.incarnation
            or (update.state is not State.ALIVE and update.incarnation == self.local.incarnation)
        ):
            self._update_local(incarnation=max(update.incarnation, self.local.incarnation) + 1)
            self._adjust_health_score(1)

    @staticmethod
    def _with_state(update: MemberUpdate, state: State, suspected_by: str) -> MemberUpdate:
        return MemberUpdate(
            update.name,
            update.address,
            update.zone,
            update.incarnation,
            state,
            update.eligible,
            suspected_by,
        )

    # -- outgoing messages

    def _updates_for(self, receiver: str) -> list[MemberUpdate]:
        """The updates to piggyback on a message, the least often sent first.

        Each is sent a few times the logarithm of the number of members. A receiver that is suspected or
        counts as lost always gets that update, which allows it to refute."""
        max_transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.peers) + 2))
        chosen: list[MemberUpdate] = []
        if self.local_transmissions < max_transmissions:
            self.local_transmissions += 1
            chosen.append(self.local)
        receiver_state = self.peers.get(receiver)
        if receiver_state is not None and receiver_state.update.state is not State.ALIVE:
            chosen.append(receiver_state.update)
        candidates = sorted(
            (peer.transmissions, name)
            for name, peer in self.peers.items()
            if peer.transmissions < max_transmissions and name != receiver
        )
        for _, name in candidates[: MAX_UPDATES_PER_MESSAGE - len(chosen)]:
            self.peers[name].transmissions += 1
            chosen.append(self.peers[name].update)
        return chosen

    def _state_exchange(self, wants_reply: bool) -> StateExchange:
        return StateExchange(wants_reply, [self.local, *(peer.update for peer in self.peers.values())])

    def _sample(self, names: list[str], count: int) -> list[str]:
        """At most `count` of the names, at random and without repetition."""
        remaining = list(names)
        chosen: list[str] = []
        while remaining and len(chosen) < count:
            chosen.append(remaining.pop(int(self.random() * len(remaining))))
        return chosen

    def _next_seq(self) -> int:
        self.seq += 1
        return self.seq
