"""Finds, reads and checks the operators' file. Raises one error with all mistakes, a plain line each."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

from myrtlecrank.operators.sections import nearest, read

PATH_VARIABLE = "MYRTLECRANK_OPERATORS"
USUAL = os.path.join("deploy", "operators.toml")
LONGEST = 1_000_000  # bytes; a longer file is none of ours, and reading it would fill the memory
# Of each section: what it is read into, and what contradicts itself in it. A section may be named by its
# module, with Bounds and contradictions in it: that is imported only where the section is in the file.
Known = tuple[type[Any], Callable[[Any], list[str]]]
Sections = Mapping[str, Known | str]


def known(sections: Sections, name: str) -> Known:
    found = sections[name]
    if isinstance(found, str):
        module = import_module(found)
        return module.Bounds, module.contradictions
    return found


class OperatorsError(Exception):
    """The file is missing or makes no sense; the text has a line for each mistake."""

    def __init__(self, path: str, wrong: list[str]) -> None:
        super().__init__("\n".join(f"{path}: {line}" for line in wrong))
        self.wrong = wrong


def find(path: str | None) -> str | None:
    """The file to read: the one named, else the environment's, else the usual one where there is one."""
    named = path or os.environ.get(PATH_VARIABLE)
    return named or (USUAL if os.path.exists(USUAL) else None)


def load(path: str, sections: Sections) -> dict[str, Any]:
    """The sections that stand in the file, each as its package's figures."""
    try:
        with open(path, "rb") as file:
            raw = file.read(LONGEST + 1)
    except OSError as error:
        raise OperatorsError(path, [f"cannot be read: {error.strerror}"]) from None
    if len(raw) > LONGEST:
        raise OperatorsError(path, [f"is longer than {LONGEST} bytes"])
    try:
        values = tomllib.loads(raw.decode("utf-8-sig"))
    except (ValueError, RecursionError) as error:
        raise OperatorsError(path, [f"is not TOML: {error}"]) from None
    wrong: list[str] = []
    taken: dict[str, Any] = {}
    for name, table in values.items():
        if name not in sections:
            wrong.append(f"[{name}]: unknown section{nearest(name, list(sections))}")
            continue
        kind, contradictions = known(sections, name)
        section = read(kind, name, table, wrong)
        if section is not None:
            wrong += [f"[{name}] {line}" for line in contradictions(section)]
            taken[name] = section
    if wrong:
        raise OperatorsError(path, wrong)
    return taken
