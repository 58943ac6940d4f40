"""Which subsystems there are beside the module, and what the operators set of each."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from myrtlecrank.edge import accept_rate
from myrtlecrank.operators.file import Sections, find
from myrtlecrank.operators.file import load as load_sections
from myrtlecrank.retries import options as repeats

if TYPE_CHECKING:
    from myrtlecrank.fleet import options as fleet

SECTIONS: Sections = {
    "repeats": (repeats.Bounds, repeats.contradictions),
    "accepting": (accept_rate.Accepting, accept_rate.contradictions),
    "fleet": "myrtlecrank.fleet.options",
}


@dataclass(frozen=True, slots=True)
class Operators:
    """What the operators' file says; a subsystem that is off or not in it is None."""

    path: str | None = None
    repeats: repeats.Bounds | None = None
    accepting: accept_rate.Accepting | None = None
    fleet: fleet.Bounds | None = None

    def unlike(self, other: Operators) -> list[str]:
        """The sections that differ there."""
        names = [one.name for one in fields(self) if one.name != "path"]
        return [name for name in names if getattr(self, name) != getattr(other, name)]


def load(path: str | None = None) -> Operators:
    """Reads the file named, else the environment's, else the usual one; without any, all are off. Raises
    OperatorsError."""
    found = find(path)
    if found is None:
        return Operators()
    taken = load_sections(found, SECTIONS)
    return Operators(found, **{name: section for name, section in taken.items() if section.on})
