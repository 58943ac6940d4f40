"""The set of voters of the register.

A voter set is replaced by way of a joint configuration, in which a majority of the old voters and a
majority of the new ones are both required, as published for replicated logs (Ongaro and Ousterhout, 2014).
Free of I/O and clocks."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash
from msgspec import Struct

UNKNOWN_NUMBER = -1  # of a voter set that was never chosen
FOUNDING_NUMBER = 0


class VoterSet(Struct, frozen=True):
    """A numbered voter set.

    `number` grows by one with each change. `sets` maps each voter's name to its identity; it holds one map,
    or two (old and new) in a joint configuration. An identity belongs to one memory: a voter that loses its
    file and starts with an empty memory gets another one.

    A number below 0 marks a voter set that was taken from the operators' file and never chosen: it lists the
    voters to ask first, and no request is granted under it."""

    number: int = UNKNOWN_NUMBER
    sets: tuple[dict[str, str], ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all voters, old and new, in order."""
        return tuple(sorted({name for voters in self.sets for name in voters}))

    @property
    def is_joint(self) -> bool:
        """Whether this is a joint configuration."""
        return len(self.sets) > 1

    def fingerprint(self) -> str:
        """A short text that is equal only for equal voter sets."""
        encoded = msgspec.msgpack.encode([sorted(voters.items()) for voters in self.sets])
        return f"{self.number}:{xxhash.xxh3_64_hexdigest(encoded)}"

    def identity_of(self, name: str) -> str | None:
        """The newest identity of a voter; None if it has none."""
        return next((voters[name] for voters in reversed(self.sets) if name in voters), None)

    def includes(self, name: str, identity: str) -> bool:
        """Whether the voter of this name and identity votes."""
        return any(voters.get(name) == identity for voters in self.sets)

    def has_majority(self, granted: Iterable[tuple[str, str]]) -> bool:
        """Whether these voters, given by name and identity, are a majority of each set."""
        votes = list(granted)
        return (
            bool(self.sets)
            and self.number >= FOUNDING_NUMBER
            and all(
                sum(voters.get(name) == identity for name, identity in votes) > len(voters) // 2
                for voters in self.sets
            )
        )

    def begin_change(self, drop: Iterable[str], add: dict[str, str]) -> VoterSet:
        """The joint configuration that drops and adds these voters; `add` maps names to identities.

        Raises ValueError, with one line for the operator, if the change is not possible."""
        drop = set(drop)
        if self.is_joint:
            raise ValueError("a change of voters is under way already")
        (current,) = self.sets
        if unknown := sorted(drop - current.keys()):
            raise ValueError(f"{unknown[0]!r} is no voter; the voters are {', '.join(sorted(current))}")
        if present := sorted(add.keys() & (current.keys() - drop)):
            raise ValueError(f"{present[0]!r} votes already")
        new = {name: identity for name, identity in current.items() if name not in drop} | add
        if len(new) % 2 == 0:
            raise ValueError(f"there would be {len(new)} voters; an odd number is wanted")
        return VoterSet(self.number + 1, (current, new))

    def complete_change(self) -> VoterSet:
        """The voter set that follows this joint configuration: the new voters alone."""
        return VoterSet(self.number + 1, self.sets[-1:])


UNKNOWN_VOTER_SET = VoterSet()


def configured_voter_set(names: Iterable[str]) -> VoterSet:
    """The voters in the operators' file: whom to ask first which voter set was chosen."""
    return VoterSet(UNKNOWN_NUMBER, (dict.fromkeys(sorted(names), ""),))


def founding_voter_set(names: Iterable[str]) -> VoterSet:
    """The first voter set of a fleet. Raises ValueError if the number of voters is even."""
    voters = dict.fromkeys(sorted(names), "")
    if len(voters) % 2 == 0:
        raise ValueError(f"expected an odd number of voters, found {len(voters)}")
    return VoterSet(FOUNDING_NUMBER, (voters,))
