"""Voters replaced while the register runs, through any failure of whoever does it.

The record VOTERS holds the roster that stands. A change writes a joint roster over it, then, under
that, has each key that a majority holds written once more, then writes the roster that the joint one
leads to. Between two rosters in succession every two majorities meet in a voter, and a voter never goes
back to an older roster. Before the second change a majority of the old voters has gone over (it had to
answer which keys there are), so nothing is chosen any more by the old ones alone; and all that was
chosen is held by a majority of the new ones, as it was written again. Whoever finds a joint roster may
go on from there: each step is a change over a record, or a read."""

from __future__ import annotations

from collections.abc import Generator, Iterable
from dataclasses import dataclass

import msgspec

from myrtlecrank.fleet.register.caspaxos import Pause, Proposer, Round
from myrtlecrank.fleet.register.messages import VOTERS, Enlist, Keys, Record, Result, Vote
from myrtlecrank.fleet.register.voter_set import Roster

TRIES = 8
AWAY = "the register does not answer: no majority of its voters is there"


@dataclass(frozen=True, slots=True)
class Reseated:
    """How it ended: the roster that stands as far as is known, and one line on what is wrong, empty for
    nothing."""

    roster: Roster
    wrong: str = ""


Steps = Generator[Round | Pause, list[Vote], Reseated]


def standing(record: Record, founders: Roster) -> Roster:
    """The roster in the record VOTERS, which nobody has written before the first change. Raises
    msgspec.MsgspecError where it holds something else."""
    return msgspec.msgpack.decode(record.value, type=Roster) if record.version else founders


def reseat(proposer: Proposer, drop: Iterable[str], add: Iterable[str], token: str) -> Steps:
    """Drops and adds these voters; with none of both, ends a change that stands half-way. One that is
    dropped and added begins anew, with an empty memory. `token`: unlike that of any other attempt."""
    drop, add = sorted(set(drop)), sorted(set(add))
    seats: dict[str, str] = {}
    for attempt in range(TRIES):
        if attempt:
            yield Pause(proposer.pause_ms * (0.5 + proposer.chance()) * attempt)
        outcome = yield from proposer.read(VOTERS)
        if outcome.result is not Result.DONE:
            return Reseated(proposer.roster, AWAY)
        try:
            roster = standing(outcome.record, proposer.roster)
        except msgspec.MsgspecError as error:
            return Reseated(proposer.roster, f"the record of the voters can't be read: {error}")
        proposer.seated(roster)
        if roster.joint:
            yield from settle(proposer, outcome.record, roster)
            continue
        (now,) = roster.sets
        ours = bool(seats) or not add
        if (
            ours
            and all(now.get(name) == seat for name, seat in seats.items())
            and not (now.keys() & set(drop) - seats.keys())
        ):
            # Adopted by a majority before it is called done: whoever asks them next goes by it.
            yield from proposer.read(VOTERS)
            return Reseated(roster)
        try:
            roster.changed(drop, dict.fromkeys(add, "?"))
        except ValueError as error:
            return Reseated(roster, str(error))
        wrong = yield from _enlist(proposer, roster, add, token, seats)
        if wrong:
            return Reseated(roster, wrong)
        joint = roster.changed(drop, {name: seats[name] for name in add})
        changed = yield from proposer.change(VOTERS, outcome.record, msgspec.msgpack.encode(joint))
        if changed.result is Result.DONE:
            proposer.seated(joint)
            yield from settle(proposer, changed.record, joint)
    why = "others change the voters too, or the register answers too rarely: look and try again"
    return Reseated(proposer.roster, why)


def _enlist(
    proposer: Proposer, roster: Roster, add: Iterable[str], token: str, seats: dict[str, str]
) -> Generator[Round | Pause, list[Vote], str]:
    """Has each that is added begin anew; what is wrong, in one line."""
    for name in add:
        votes: list[Vote] = []
        for _ in range(3):
            asked = Round(Enlist(f"{token}/{name}"), roster, name)
            votes = yield asked
            if asked.stands(votes):
                break
        else:
            return (
                f"{name!r} takes no seat: it is away, has no folder that it can write, or votes with a "
                "whole memory"
            )
        seats[name] = votes[0].seat
    return ""


def settle(proposer: Proposer, record: Record, joint: Roster) -> Generator[Round | Pause, list[Vote], bool]:
    """From a joint roster that stands in this record to the one it leads to; True once that stands."""
    votes = yield from proposer.simple(Keys())
    if votes is None or proposer.roster != joint:
        return False
    for key in sorted({VOTERS}.union(*(vote.keys for vote in votes))):
        read = yield from proposer.read(key)
        if read.result is not Result.DONE:
            return False
    new = joint.settled()
    changed = yield from proposer.change(VOTERS, record, msgspec.msgpack.encode(new))
    if changed.result is not Result.DONE:
        return False
    return proposer.seated(new)
