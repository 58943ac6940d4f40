"""Finds, reads and checks the operators' file. One error lists all mistakes in it, a plain line each."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

from myrtlecrank.operators.sections import read_section, suggestion

PATH_VARIABLE = "MYRTLECRANK_OPERATORS"
DEFAULT_PATH = os.path.join("deploy", "operators.toml")
MAX_FILE_BYTES = 1_000_000  # a longer file is no operators' file, and reading it would fill the memory
# The dataclass that a section is read into, and a function that lists its contradictions.
SectionDefinition = tuple[type[Any], Callable[[Any], list[str]]]
# By section name. A string is the path of a module that has the definition as `FleetOptions` and
# `contradictions`; it is imported only when the section is needed.
SectionDefinitions = Mapping[str, SectionDefinition | str]


class OperatorsFileError(Exception):
    """The operators' file is missing or invalid; the text has a line for each mistake."""

    def __init__(self, path: str, mistakes: list[str]) -> None:
        super().__init__("\n".join(f"{path}: {mistake}" for mistake in mistakes))
        self.mistakes = mistakes


def section_definition(definitions: SectionDefinitions, name: str) -> SectionDefinition:
    """The definition of one section; imports its module where it is given by path."""
    definition = definitions[name]
    if isinstance(definition, str):
        module = import_module(definition)
        return module.FleetOptions, module.contradictions
    return definition


def find_file(path: str | None) -> str | None:
    """The file to read: `path`, else the one that MYRTLECRANK_OPERATORS names, else the default one if it
    exists, else None."""
    named = path or os.environ.get(PATH_VARIABLE)
    return named or (DEFAULT_PATH if os.path.exists(DEFAULT_PATH) else None)


def load_sections(path: str, definitions: SectionDefinitions) -> dict[str, Any]:
    """The sections of the file by name, each as an instance of its dataclass. Raises OperatorsFileError."""
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorsFileError(path, [f"cannot be read: {error.strerror}"]) from None
    if len(content) > MAX_FILE_BYTES:
        raise OperatorsFileError(path, [f"is longer than {MAX_FILE_BYTES} bytes"])
    try:
        tables = tomllib.loads(content.decode("utf-8-sig"))
    except (ValueError, RecursionError) as error:
        raise OperatorsFileError(path, [f"is not TOML: {error}"]) from None
    mistakes: list[str] = []
    sections: dict[str, Any] = {}
    for name, table in tables.items():
        if name not in definitions:
            mistakes.append(f"[{name}]: unknown section{suggestion(name, list(definitions))}")
            continue
        section_type, contradictions = section_definition(definitions, name)
        section = read_section(section_type, name, table, mistakes)
        if section is not None:
            mistakes += [f"[{name}] {mistake}" for mistake in contradictions(section)]
            sections[name] = section
    if mistakes:
        raise OperatorsFileError(path, mistakes)
    return sections
