"""The optional subsystems, and the options that the operators' file sets for each."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from myrtlecrank.edge import accept_rate
from myrtlecrank.operators.file import SectionDefinitions, find_file, load_sections
from myrtlecrank.retries import options as retry_options

if TYPE_CHECKING:
    from myrtlecrank.fleet import options as fleet_options

SECTIONS: SectionDefinitions = {
    "repeats": (retry_options.RetryOptions, retry_options.contradictions),
    "accepting": (accept_rate.AcceptRateOptions, accept_rate.contradictions),
    "fleet": "myrtlecrank.fleet.options",
}


@dataclass(frozen=True, slots=True)
class OperatorOptions:
    """The options of each section of the operators' file; None for a subsystem that is off or not in it.

    The fields other than `path` are named as the sections are: they are looked up by section name.
    """

    path: str | None = None
    repeats: retry_options.RetryOptions | None = None
    accepting: accept_rate.AcceptRateOptions | None = None
    fleet: fleet_options.FleetOptions | None = None

    def changed_sections(self, other: OperatorOptions) -> list[str]:
        """The names of the sections whose options differ in `other`."""
        names = [field.name for field in fields(self) if field.name != "path"]
        return [name for name in names if getattr(self, name) != getattr(other, name)]


def load(path: str | None = None) -> OperatorOptions:
    """Reads the file at `path`, else the one that MYRTLECRANK_OPERATORS names, else the default one; where
    there is none, every subsystem is off. Raises OperatorsFileError."""
    file = find_file(path)
    if file is None:
        return OperatorOptions()
    sections = load_sections(file, SECTIONS)
    return OperatorOptions(file, **{name: options for name, options in sections.items() if options.on})
