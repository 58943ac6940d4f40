"""Voters (acceptors) and proposers of the register: one instance of single-decree Paxos per key.

Published as CASPaxos (Rystsov, 2018), on Paxos (Lamport, 1998): there is no log and no leader, each change
is a prepare and an accept round to a majority. The return of a voter that lost its memory is an addition
(see Voter.rejoin and `valid_grants`). Free of I/O, clocks and random sources: a call is a generator that
yields its rounds and pauses, and random numbers come from a function that the caller passes."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass

from myrtlecrank.fleet.register.messages import (
    EMPTY_RECORD,
    Accept,
    AddVoter,
    Ballot,
    ListKeys,
    Memory,
    Outcome,
    Prepare,
    Record,
    Rejoin,
    RejoinAnswer,
    Result,
    Slot,
    UnverifiedRead,
    Vote,
    VoterOperation,
    VoterSetNotice,
    check_size,
)
from myrtlecrank.fleet.register.voter_set import FOUNDING_NUMBER, VoterSet, configured_voter_set

MAX_KEYS = 1024  # a voter writes its whole memory at each change
# Above the number of times that a voter can lose its memory under one voter set.
BOOTS_PER_VOTER_SET = 1 << 20
MAX_BACKOFF_FACTOR = 4
MIN_JITTER_FACTOR = 0.5  # the jitter factor is drawn from here to 1 above


class Voter:
    """One voter (a Paxos acceptor): its memory, and whether it may vote.

    A voter whose memory is lost, torn or possibly outdated abstains. It asks *all* other voters for their
    state and continues from the highest of it, under a new boot number. It needs all of them, because any
    one of them may be the only other member of a majority that it voted in. Votes of its old boot may still
    be on their way to a proposer. As all others have stored the new boot number before they answer, any
    majority of votes made after that shows the old votes to be void (`valid_grants`).

    The voter answers only under the newest voter set that it has received, and never returns to an older one.
    A request that was made under another voter set is refused with the voter's own.

    `configured_voters` are the voters of the operators' file, asked if the memory holds no voter set.
    `persist` writes the memory and returns True once it is durable; if it fails, the voter does not answer.
    `memory_is_trusted` states that the memory cannot be an older copy. `instance_id` is new with each start,
    so that each identity of the voter is new too."""

    def __init__(
        self,
        name: str,
        configured_voters: Iterable[str],
        memory: Memory | None,
        persist: Callable[[Memory], bool],
        fleet: str = "",
        memory_is_trusted: bool = True,
        instance_id: str = "",
    ) -> None:
        self.name = name
        self.persist = persist
        self.instance_id = instance_id
        self.memory = memory or Memory(fleet, name, 0, {}, {}, configured_voter_set(configured_voters))
        self.memory_is_lost = memory is None  # no other voter may rejoin from this state
        # A single voter has nobody to ask.
        self.memory_is_trusted = memory_is_trusted or not self.others
        self.is_voting = memory is not None and self.is_current_voter and self.memory_is_trusted
        if not self.is_voting:
            self.memory.boot += 1
        self.rejoin_answers: dict[str, RejoinAnswer] = {}  # answers to the present rejoin request
        self.last_write_failed = False  # whether the last write failed
        self.times_added = 0

    @property
    def others(self) -> frozenset[str]:
        """The names of all other voters."""
        return frozenset(self.memory.voter_set.names) - {self.name}

    @property
    def is_current_voter(self) -> bool:
        """Whether the newest known voter set includes this voter, with the memory that it has."""
        memory = self.memory
        voter_set = memory.voter_set
        return voter_set.includes(self.name, memory.identity) or (
            self.memory_is_lost and self.name in voter_set.names
        )

    def answer_batch(self, requests: Iterable[tuple[str, VoterOperation]]) -> list[Vote | None]:
        """The votes on several requests, durable by one write.

        Each request comes with the fingerprint of the voter set under which it was made. The answer is None
        for each request that the voter abstains from, and for all if the write fails."""
        requests = list(requests)
        votes = [self._answer(fingerprint, request) for fingerprint, request in requests]
        changed = any(
            vote is not None and vote.granted and not isinstance(request, UnverifiedRead | ListKeys)
            for (_, request), vote in zip(requests, votes, strict=True)
        )
        if not changed or self._write_memory():
            return votes
        # Nothing is sent. The disk may hold the old or the new state; a later vote starts from the higher.
        return [None] * len(requests)

    def _answer(self, fingerprint: str, request: VoterOperation) -> Vote | None:
        memory = self.memory
        slots = memory.slots
        if fingerprint != memory.voter_set.fingerprint():
            return self._vote(False, Ballot(), Slot(), memory.voter_set)
        if isinstance(request, AddVoter):
            return self._start_as_new_voter(request)
        if not self.is_voting:
            return None
        if isinstance(request, ListKeys):
            return self._vote(True, Ballot(), Slot(), None, sorted(slots))
        if request.key not in slots and len(slots) >= MAX_KEYS:
            return None
        slot = slots.get(request.key, Slot())
        if isinstance(request, UnverifiedRead):
            return self._vote(True, slot.promised, slot)
        # An equal ballot is the accept round of the same attempt, or a message that was delivered twice.
        if request.ballot < slot.promised:
            return self._vote(False, slot.promised, slot)
        if isinstance(request, Prepare):
            new = Slot(request.ballot, slot.accepted, slot.record)
        else:
            new = Slot(request.ballot, request.ballot, request.record)
        slots[request.key] = new
        return self._vote(True, request.ballot, new)

    def _start_as_new_voter(self, request: AddVoter) -> Vote | None:
        """Starts with an empty memory, unless the present one is needed: if this voter votes, or would vote
        once it has rejoined."""
        memory = self.memory
        if request.token != memory.token:
            voter_set = memory.voter_set
            is_needed = voter_set.includes(self.name, memory.identity) and not self.memory_is_lost
            if voter_set.number < FOUNDING_NUMBER or is_needed:
                return None
            self.times_added += 1
            # Above all boot numbers that the others may know of an earlier identity of this voter.
            boot = max(memory.boot, (voter_set.number + 1) * BOOTS_PER_VOTER_SET)
            identity = f"{self.instance_id}:{self.times_added}"
            self.memory = Memory(memory.fleet, self.name, boot, {}, {}, voter_set, identity, request.token)
            self.memory_is_lost = False
            self.is_voting = False
            self.rejoin_answers = {}
        return self._vote(True, Ballot(), Slot())

    def adopt_voter_set(self, voter_set: VoterSet) -> bool:
        """Uses a newer voter set that was chosen, once that is durable; True if it is newer and in use."""
        memory = self.memory
        old = memory.voter_set
        if voter_set.number <= old.number:
            return False
        memory.voter_set = voter_set
        self.rejoin_answers = {}
        if self.memory_is_lost:
            # Nothing is written: a file without the lost promises must never pass for a memory.
            return True
        if not self._write_memory():
            memory.voter_set = old
            return False
        # A voter that was added for this voter set has no state to recover from the others. That does not
        # hold if its memory may be an older copy.
        is_new_voter = (self.memory_is_trusted or self.times_added > 0) and not old.includes(
            self.name, memory.identity
        )
        self.is_voting = self.is_current_voter and (self.is_voting or is_new_voter)
        return True

    def rejoin_request(self) -> Rejoin | None:
        """The request to send to all other voters, repeatedly until voting; None if none is needed."""
        return None if self.is_voting or not self.is_current_voter else Rejoin(self.name, self.memory.boot)

    def answer_rejoin(self, request: Rejoin) -> RejoinAnswer | VoterSetNotice | None:
        """The answer to a voter that rejoins, after its boot number is durable here.

        None if this voter has lost its own memory, or the write fails. A requester that does not vote is sent
        the voter set."""
        if self.memory_is_lost or not self.is_current_voter:
            return (
                VoterSetNotice(self.memory.voter_set)
                if self.memory.voter_set.number >= FOUNDING_NUMBER
                else None
            )
        if request.voter not in self.others:
            return VoterSetNotice(self.memory.voter_set)
        previous_boot = self.memory.known_boots.get(request.voter, 0)
        if request.boot > previous_boot:
            self.memory.known_boots[request.voter] = request.boot
            if not self._write_memory():
                return None
        memory = self.memory
        return RejoinAnswer(
            self.name,
            memory.boot,
            request.boot,
            previous_boot,
            memory.slots,
            memory.known_boots,
            memory.voter_set,
        )

    def accept_rejoin_answer(self, answer: RejoinAnswer) -> bool:
        """Takes in an answer to the rejoin request; True once this voter votes again."""
        own = self.memory
        if answer.voter_set.number > own.voter_set.number:
            # The request goes to all voters of the newer voter set.
            self.adopt_voter_set(answer.voter_set)
        if (
            self.is_voting
            or not self.is_current_voter
            or answer.voter not in self.others
            or answer.requested_boot != own.boot
        ):
            return self.is_voting
        if answer.previous_boot >= own.boot and answer.voter not in self.rejoin_answers:
            # An earlier start may have voted under this boot number: restart the request above it.
            own.boot = answer.previous_boot + 1
            self.rejoin_answers = {}
            return False
        self.rejoin_answers[answer.voter] = answer
        if frozenset(self.rejoin_answers) != self.others:
            return False
        self._merge_answers()
        if self.memory_is_lost:
            own.identity = own.voter_set.identity_of(self.name) or ""
        self.memory_is_lost = False
        self.is_voting = self._write_memory()
        return self.is_voting

    def _merge_answers(self) -> None:
        """Raises this memory to the highest state in the answers of all other voters."""
        own = self.memory
        for answer in self.rejoin_answers.values():
            for key, slot in answer.slots.items():
                own_slot = own.slots.get(key, Slot())
                highest = slot if slot.accepted > own_slot.accepted else own_slot
                promised = max(slot.promised, own_slot.promised)
                own.slots[key] = Slot(promised, highest.accepted, highest.record)
            for name, boot in (answer.known_boots | {answer.voter: answer.boot}).items():
                if name != self.name:
                    own.known_boots[name] = max(boot, own.known_boots.get(name, 0))

    def _write_memory(self) -> bool:
        self.last_write_failed = not self.persist(self.memory)
        return not self.last_write_failed

    def _vote(
        self,
        granted: bool,
        ballot: Ballot,
        slot: Slot,
        voter_set: VoterSet | None = None,
        keys: Iterable[str] = (),
    ) -> Vote:
        memory = self.memory
        return Vote(
            self.name,
            memory.boot,
            granted,
            ballot,
            slot.accepted,
            slot.record,
            dict(memory.known_boots),
            memory.identity,
            voter_set,
            list(keys),
        )


def valid_grants(votes: Iterable[Vote]) -> list[Vote]:
    """The granted votes of one round that are valid.

    A vote is void if another vote of the same round knows that its voter has started without its memory
    since."""
    votes = list(votes)
    latest_boots: dict[str, int] = {}
    for vote in votes:
        for name, boot in (vote.known_boots | {vote.voter: vote.boot}).items():
            latest_boots[name] = max(boot, latest_boots.get(name, 0))
    return [vote for vote in votes if vote.granted and vote.boot >= latest_boots[vote.voter]]


@dataclass(slots=True)
class Round:
    """One request to all voters of a voter set, or only to `single_voter`.

    The sender resumes the call with the votes that arrived, at the latest after its own timeout."""

    request: VoterOperation
    voter_set: VoterSet
    single_voter: str = ""

    @property
    def voter_names(self) -> tuple[str, ...]:
        """The voters to which the request goes."""
        return (self.single_voter,) if self.single_voter else self.voter_set.names

    def has_quorum(self, votes: Iterable[Vote]) -> bool:
        """Whether a majority, or the single voter, has granted the request."""
        grants = valid_grants(votes)
        if self.single_voter:
            return bool(grants)
        return self.voter_set.has_majority((vote.voter, vote.identity) for vote in grants)

    def is_decided(self, votes: Iterable[Vote]) -> bool:
        """Whether no further vote is needed: there is a quorum, or a voter knows a higher ballot or a newer
        voter set."""
        votes = list(votes)
        return self.has_quorum(votes) or any(not vote.granted for vote in votes)


@dataclass(slots=True)
class Pause:
    """A wait before the next attempt: two proposers at the same instant would otherwise outbid each other
    forever."""

    duration_ms: float


Call = Generator[Round | Pause, list[Vote], Outcome]


class Proposer:
    """Reads and changes records through the voters.

    `proposer_id` is new with each start; `random_fraction` returns a number from 0 to 1. `voter_set` is the
    newest voter set that the proposer knows to be chosen. Both rounds of an attempt use the same voter set;
    voters that know a newer one say so, and the attempt restarts under that."""

    def __init__(
        self,
        proposer_id: str,
        voter_set: VoterSet,
        random_fraction: Callable[[], float],
        max_attempts: int = 8,
        backoff_ms: float = 20.0,
    ) -> None:
        self.proposer_id = proposer_id
        self.voter_set = voter_set
        self.random_fraction = random_fraction
        self.max_attempts = max_attempts
        self.backoff_ms = backoff_ms
        self.ballot_number = 0
        self.call_count = 0
        # A different voter set of the same number: the voters were founded with different lists.
        self.conflicting_voter_set: VoterSet | None = None

    def adopt_voter_set(self, voter_set: VoterSet) -> bool:
        """Uses a voter set that was chosen, if it is newer; True if it is."""
        is_newer = voter_set.number > self.voter_set.number
        if is_newer:
            self.voter_set = voter_set
        return is_newer

    def read(self, key: str) -> Call:
        """A linearizable read, which writes the record that it finds once more.

        A record that a minority holds is either chosen by this write or never seen, so that no later read
        returns an older one. Equal ballots from a majority do not make the write needless: a voter that has
        rejoined reports copied state, which need never have been chosen."""
        check_size(key)
        return self._propose(key, None, b"")

    def read_unverified(self, key: str) -> Call:
        """An unverified read: one round without a flush; the record of the highest ballot in a majority."""
        check_size(key)
        votes = yield from self.query_majority(UnverifiedRead(key))
        if votes is None:
            return Outcome(Result.UNAVAILABLE)
        return Outcome(Result.DONE, max(votes, key=lambda vote: vote.accepted).record)

    def query_majority(
        self, request: UnverifiedRead | ListKeys
    ) -> Generator[Round | Pause, list[Vote], list[Vote] | None]:
        """The valid votes of a majority on a request that changes nothing; None if no majority answered.

        The round is repeated if a voter knows a newer voter set."""
        while True:
            round_ = Round(request, self.voter_set)
            votes = yield round_
            if round_.has_quorum(votes):
                return valid_grants(votes)
            if not self._learn_from_refusals(votes):
                return None

    def compare_and_set(self, key: str, expected: Record, value: bytes) -> Call:
        """A compare-and-set: sets the value if `expected` is the current record."""
        check_size(key, value)
        return self._propose(key, expected, value)

    def _propose(self, key: str, expected: Record | None, value: bytes) -> Call:
        self.call_count += 1
        writer = f"{self.proposer_id}:{self.call_count}"
        has_proposed = False  # a change of this call may have been accepted by some voter
        attempt = -1
        knows_newer_voter_set = False
        while attempt + 1 < self.max_attempts:
            if knows_newer_voter_set:
                # Restarts at once. This counts as no attempt, since the numbers of voter sets only grow.
                knows_newer_voter_set = False
            else:
                attempt += 1
                if attempt:
                    yield self.backoff(min(attempt, MAX_BACKOFF_FACTOR))
            self.ballot_number += 1
            ballot = Ballot(self.ballot_number, self.proposer_id)
            voter_set = self.voter_set
            round_ = Round(Prepare(key, ballot), voter_set)
            votes = yield round_
            knows_newer_voter_set = self._learn_from_refusals(votes)
            if not round_.has_quorum(votes):
                continue
            found = max(valid_grants(votes), key=lambda vote: vote.accepted).record
            is_own = found.writer == writer  # an earlier attempt of this call was accepted after all
            is_conflict = expected is not None and not is_own and found.writer != expected.writer
            if is_conflict and has_proposed:
                # Our change may have been chosen and then overwritten: the caller must read again.
                return Outcome(Result.UNKNOWN, found)
            if expected is None or is_own or is_conflict:
                record = found
            else:
                record = Record(found.version + 1, value, writer)
                has_proposed = True
            round_ = Round(Accept(key, ballot, record), voter_set)
            votes = yield round_
            knows_newer_voter_set = self._learn_from_refusals(votes)
            if round_.has_quorum(votes):
                return Outcome(Result.CONFLICT if is_conflict else Result.DONE, record)
        return Outcome(Result.UNKNOWN if has_proposed else Result.UNAVAILABLE, EMPTY_RECORD)

    def backoff(self, factor: int) -> Pause:
        """A pause of `factor` times the back-off, with random jitter."""
        return Pause(self.backoff_ms * (MIN_JITTER_FACTOR + self.random_fraction()) * factor)

    def _learn_from_refusals(self, votes: Iterable[Vote]) -> bool:
        """Takes over higher ballot numbers and newer voter sets; True if there is a newer voter set."""
        refusals = [vote for vote in votes if not vote.granted]
        self.ballot_number = max([self.ballot_number, *(vote.ballot.number for vote in refusals)])
        voter_sets = [vote.voter_set for vote in refusals if vote.voter_set is not None]
        for voter_set in voter_sets:
            is_same_number = voter_set.number == self.voter_set.number >= FOUNDING_NUMBER
            if is_same_number and voter_set.fingerprint() != self.voter_set.fingerprint():
                self.conflicting_voter_set = voter_set
        return any([self.adopt_voter_set(voter_set) for voter_set in voter_sets])
