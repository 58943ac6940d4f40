"""Who votes. A roster is replaced by way of a joint one, in which a majority of the old voters and one
of the new are both wanted, as published for replicated logs (Ongaro and Ousterhout, 2014). Free of I/O
and clocks."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash
from msgspec import Struct


class Roster(Struct, frozen=True):
    """`number` grows by one with each change; `sets` holds one set of voters, or two while they are
    changed: name to seat. A seat stands for one memory: who loses it on the disk and begins with an
    empty one has another.

    A roster below number 0 is a guess, from the operators' file: nothing is ever granted under it."""

    number: int = -1
    sets: tuple[dict[str, str], ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(sorted({name for one in self.sets for name in one}))

    @property
    def joint(self) -> bool:
        return len(self.sets) > 1

    def mark(self) -> str:
        """Equal for equal rosters alone."""
        told = msgspec.msgpack.encode([sorted(one.items()) for one in self.sets])
        return f"{self.number}:{xxhash.xxh3_64_hexdigest(told)}"

    def seat(self, name: str) -> str | None:
        """The newest seat of a voter; None where it has none."""
        return next((one[name] for one in reversed(self.sets) if name in one), None)

    def has(self, name: str, seat: str) -> bool:
        return any(one.get(name) == seat for one in self.sets)

    def stands(self, granted: Iterable[tuple[str, str]]) -> bool:
        """Whether these voters, by name and seat, are a majority of each set."""
        votes = list(granted)
        return (
            bool(self.sets)
            and self.number >= 0
            and all(sum(one.get(name) == seat for name, seat in votes) > len(one) // 2 for one in self.sets)
        )

    def changed(self, drop: Iterable[str], add: dict[str, str]) -> Roster:
        """The joint roster by which voters go and come; `add` has the seat of each that comes. Raises
        ValueError where it cannot be: one line for the operator."""
        drop = set(drop)
        if self.joint:
            raise ValueError("a change of voters is under way already")
        (now,) = self.sets
        if unknown := sorted(drop - now.keys()):
            raise ValueError(f"{unknown[0]!r} is no voter; there are {', '.join(sorted(now))}")
        if there := sorted(add.keys() & (now.keys() - drop)):
            raise ValueError(f"{there[0]!r} votes already")
        new = {name: seat for name, seat in now.items() if name not in drop} | add
        if len(new) % 2 == 0:
            raise ValueError(f"there would be {len(new)} voters; an odd number is wanted")
        return Roster(self.number + 1, (now, new))

    def settled(self) -> Roster:
        """What a joint roster leads to."""
        return Roster(self.number + 1, self.sets[-1:])


GUESS = Roster()


def guessed(names: Iterable[str]) -> Roster:
    """Of the operators' file: whom to ask first who really votes."""
    return Roster(-1, (dict.fromkeys(sorted(names), ""),))


def founding(names: Iterable[str]) -> Roster:
    """The first roster of a fleet. Raises ValueError where the number is even."""
    voters = dict.fromkeys(sorted(names), "")
    if len(voters) % 2 == 0:
        raise ValueError(f"voters are an odd number, not {len(voters)}")
    return Roster(0, (voters,))
