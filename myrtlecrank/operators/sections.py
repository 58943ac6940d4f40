"""Typed reading of one section of the operators' file into the figures that its package asks for.

A package states its section as a frozen dataclass; the metadata of a field says what is allowed (see
`figure`)."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import Field, field, fields
from typing import Any, TypeVar

Section = TypeVar("Section")
LONGEST_TEXT, MOST_ENTRIES = 500, 2000  # of one text; of one list or table


def figure(default: Any, least: float = -math.inf, most: float = math.inf, what: str = "") -> Any:
    """A field of a section: its default, the least and the most that is allowed, and what it means in a
    line."""
    return field(default=default, metadata={"least": least, "most": most, "what": what})


def words(what: str, least: int = 0, default: Any = "") -> Any:
    """A field that holds text, or with `default` () a list of texts; `least`: its fewest characters."""
    return field(default=default, metadata={"least": least, "most": LONGEST_TEXT, "what": what})


def table(kind: type[Any], what: str) -> Any:
    """A field that holds tables of one kind by name."""
    return field(default_factory=dict, metadata={"kind": kind, "what": what})


def nearest(name: str, known: list[str]) -> str:
    """The end of a message on an unknown name."""
    from difflib import get_close_matches  # only for mistakes: it costs a start some ms

    close = get_close_matches(name, known, n=1, cutoff=0.5)
    return f"; is {close[0]!r} meant?" if close else f"; known: {', '.join(sorted(known))}"


TEXTS = ("str", "tuple[str, ...]")


def _allowed(one: Field[Any]) -> str:
    if one.type == "bool":
        return "true or false"
    if "kind" in one.metadata:
        return "a table for each name"
    if one.type in TEXTS:
        least = one.metadata["least"]
        kind = "a text" if one.type == "str" else "a list of texts"
        return kind + (" that is not empty" if least else "")
    kind = "a whole number" if one.type == "int" else "a number"
    least, most = one.metadata["least"], one.metadata["most"]
    if math.isinf(most):
        return kind if math.isinf(least) else f"{kind} of {least:g} or more"
    return f"{kind} from {least:g} to {most:g}"


def _fits(one: Field[Any], value: Any) -> bool:
    if one.type == "bool":
        return isinstance(value, bool)
    if one.type == "str":
        return isinstance(value, str) and one.metadata["least"] <= len(value) <= LONGEST_TEXT
    if one.type in TEXTS:
        return (
            isinstance(value, list)
            and len(value) <= MOST_ENTRIES
            and all(isinstance(text, str) and 0 < len(text) <= LONGEST_TEXT for text in value)
        )
    if "kind" in one.metadata:
        return isinstance(value, Mapping) and len(value) <= MOST_ENTRIES
    if isinstance(value, bool) or not isinstance(value, int if one.type == "int" else int | float):
        return False
    return bool(one.metadata["least"] <= value <= one.metadata["most"])  # not so for nan


def read(kind: type[Section], name: str, values: object, wrong: list[str]) -> Section | None:
    """One section from its table; None, and a line in `wrong` for each mistake, where it makes no sense."""
    if not isinstance(values, Mapping):
        wrong.append(f"[{name}]: is {values!r:.60}; a table is wanted")
        return None
    known = {one.name: one for one in fields(kind)}  # type: ignore[arg-type]
    before = len(wrong)
    taken: dict[str, Any] = {}
    for key, value in values.items():
        one = known.get(key)
        if one is None:
            wrong.append(f"[{name}] {key}: unknown{nearest(key, list(known))}")
        elif not _fits(one, value):
            wrong.append(f"[{name}] {key}: is {value!r:.60}; allowed: {_allowed(one)}")
        elif "kind" in one.metadata:
            inner = {
                each: read(one.metadata["kind"], f"{name}.{key}.{each}", told, wrong)
                for each, told in value.items()
            }
            taken[key] = {each: section for each, section in inner.items() if section is not None}
        else:
            turned = {"float": float, TEXTS[1]: tuple}.get(str(one.type))
            taken[key] = value if turned is None else turned(value)
    return kind(**taken) if len(wrong) == before else None


def explain(kind: type[Any]) -> list[tuple[str, Any, str, str]]:
    """Of each figure: name, default, what is allowed, what it means."""
    return [
        (one.name, None if "kind" in one.metadata else one.default, _allowed(one), one.metadata["what"])
        for one in fields(kind)
    ]
