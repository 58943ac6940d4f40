"""Replaces voters while the register runs, through any failure of the process that does it.

The record VOTER_SET_KEY holds the current voter set. A change first writes a joint configuration over it.
Under that it writes each key that a majority holds once more. Then it writes the voter set that follows the
joint configuration. Between two successive voter sets any two majorities share a voter, and a voter never
returns to an older voter set. Before the last write a majority of the old voters uses the joint
configuration (it had to answer which keys there are), so the old voters alone choose nothing any more; and
as each key was written again, a majority of the new voters holds all that was chosen. Any process that
finds a joint configuration may continue from there: each step is a read, or a change over a known
record."""

from __future__ import annotations

from collections.abc import Generator, Iterable
from dataclasses import dataclass

import msgspec

from myrtlecrank.fleet.register.caspaxos import Pause, Proposer, Round
from myrtlecrank.fleet.register.messages import VOTER_SET_KEY, AddVoter, ListKeys, Record, Result, Vote
from myrtlecrank.fleet.register.voter_set import VoterSet

MAX_ATTEMPTS = 8
ADD_VOTER_ATTEMPTS = 3
NO_MAJORITY = "the register does not answer: no majority of its voters is reachable"


@dataclass(frozen=True, slots=True)
class ReconfigurationResult:
    """How a change ended: the current voter set as far as is known, and one line on what is wrong, empty if
    nothing is."""

    voter_set: VoterSet
    error: str = ""


ReconfigurationCall = Generator[Round | Pause, list[Vote], ReconfigurationResult]


def decode_voter_set(record: Record, founding: VoterSet) -> VoterSet:
    """The voter set in the record VOTER_SET_KEY; `founding` if nobody has changed it yet.

    Raises msgspec.MsgspecError if the record holds something else."""
    return msgspec.msgpack.decode(record.value, type=VoterSet) if record.version else founding


def reconfigure(
    proposer: Proposer, drop: Iterable[str], add: Iterable[str], token: str
) -> ReconfigurationCall:
    """Drops and adds these voters; with neither, completes a change that is under way.

    A voter that is both dropped and added restarts as a new voter, with an empty memory. `token` differs
    from that of any other attempt."""
    drop = sorted(set(drop))
    add = sorted(set(add))
    identities: dict[str, str] = {}
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            yield proposer.backoff(attempt)
        outcome = yield from proposer.read(VOTER_SET_KEY)
        if outcome.result is not Result.DONE:
            return ReconfigurationResult(proposer.voter_set, NO_MAJORITY)
        try:
            voter_set = decode_voter_set(outcome.record, proposer.voter_set)
        except msgspec.MsgspecError as error:
            return ReconfigurationResult(
                proposer.voter_set, f"the record of the voters cannot be decoded: {error}"
            )
        proposer.adopt_voter_set(voter_set)
        if voter_set.is_joint:
            yield from complete_reconfiguration(proposer, outcome.record, voter_set)
            continue
        if _is_applied(voter_set, drop, add, identities):
            # A second read has a majority adopt the voter set before the change is reported as done.
            yield from proposer.read(VOTER_SET_KEY)
            return ReconfigurationResult(voter_set)
        try:
            voter_set.begin_change(drop, dict.fromkeys(add, "?"))
        except ValueError as error:
            return ReconfigurationResult(voter_set, str(error))
        wrong = yield from _add_voters(proposer, voter_set, add, token, identities)
        if wrong:
            return ReconfigurationResult(voter_set, wrong)
        joint = voter_set.begin_change(drop, {name: identities[name] for name in add})
        changed = yield from proposer.compare_and_set(
            VOTER_SET_KEY, outcome.record, msgspec.msgpack.encode(joint)
        )
        if changed.result is Result.DONE:
            proposer.adopt_voter_set(joint)
            yield from complete_reconfiguration(proposer, changed.record, joint)
    wrong = "others change the voters too, or the register answers too rarely: check and try again"
    return ReconfigurationResult(proposer.voter_set, wrong)


def _is_applied(voter_set: VoterSet, drop: list[str], add: list[str], identities: dict[str, str]) -> bool:
    """Whether a voter set that is not joint has this change already: each added voter under the identity that
    it got here, and none of the dropped ones under another."""
    (current,) = voter_set.sets
    return (
        (bool(identities) or not add)
        and all(current.get(name) == identity for name, identity in identities.items())
        and not (current.keys() & set(drop) - identities.keys())
    )


def _add_voters(
    proposer: Proposer, voter_set: VoterSet, add: Iterable[str], token: str, identities: dict[str, str]
) -> Generator[Round | Pause, list[Vote], str]:
    """Has each added voter start with an empty memory and notes its identity; one line on what is wrong, or
    an empty one."""
    for name in add:
        votes: list[Vote] = []
        for _ in range(ADD_VOTER_ATTEMPTS):
            round_ = Round(AddVoter(f"{token}/{name}"), voter_set, name)
            votes = yield round_
            if round_.has_quorum(votes):
                break
        else:
            return (
                f"{name!r} takes no seat: it is unreachable, has no folder that it can write, or votes with "
                "a whole memory"
            )
        identities[name] = votes[0].identity
    return ""


def complete_reconfiguration(
    proposer: Proposer, record: Record, joint: VoterSet
) -> Generator[Round | Pause, list[Vote], bool]:
    """Moves from the joint configuration in this record to the voter set that follows it; True once that is
    chosen."""
    votes = yield from proposer.query_majority(ListKeys())
    if votes is None or proposer.voter_set != joint:
        return False
    for key in sorted({VOTER_SET_KEY}.union(*(vote.keys for vote in votes))):
        # The read writes the record once more, under the joint configuration.
        read = yield from proposer.read(key)
        if read.result is not Result.DONE:
            return False
    new = joint.complete_change()
    changed = yield from proposer.compare_and_set(VOTER_SET_KEY, record, msgspec.msgpack.encode(new))
    if changed.result is not Result.DONE:
        return False
    return proposer.adopt_voter_set(new)
