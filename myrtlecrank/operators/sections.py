"""Typed reading of one section of the operators' file.

A package declares its section as a frozen dataclass, with a field for each option. The metadata of a field
says which values are allowed and what the option means; `scalar_option`, `text_option` and `table_option`
make such fields."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import Field, field, fields
from typing import Any, TypeVar

Section = TypeVar("Section")
MAX_TEXT_CHARS = 500
MAX_ENTRIES = 2000  # of one list or table
# Types of fields are compared as strings: the modules that declare sections postpone the evaluation of
# annotations.
TEXT_LIST_TYPE = "tuple[str, ...]"
TEXT_TYPES = ("str", TEXT_LIST_TYPE)
MIN_NAME_SIMILARITY = 0.5  # from which a known name is suggested for an unknown one


def scalar_option(default: Any, least: float = -math.inf, most: float = math.inf, what: str = "") -> Any:
    """A field that holds a number or a flag: its default, the least and the most that is allowed, and a short
    description."""
    return field(default=default, metadata={"least": least, "most": most, "what": what})


def text_option(what: str, least: int = 0, default: Any = "") -> Any:
    """A field that holds text, or a list of texts if `default` is (). `least` is the minimum length of the
    text, in characters."""
    return field(default=default, metadata={"least": least, "most": MAX_TEXT_CHARS, "what": what})


def table_option(kind: type[Any], what: str) -> Any:
    """A field that holds tables by name, each read into the dataclass `kind`."""
    return field(default_factory=dict, metadata={"kind": kind, "what": what})


def suggestion(name: str, known_names: list[str]) -> str:
    """The end of an error message on an unknown name: the most similar known one, else all of them."""
    from difflib import get_close_matches  # slow to import, and needed only for mistakes

    close = get_close_matches(name, known_names, n=1, cutoff=MIN_NAME_SIMILARITY)
    return f"; is {close[0]!r} meant?" if close else f"; known: {', '.join(sorted(known_names))}"


def _allowed_values(option: Field[Any]) -> str:
    if option.type == "bool":
        return "true or false"
    if "kind" in option.metadata:
        return "a table for each name"
    if option.type in TEXT_TYPES:
        kind = "a text" if option.type == "str" else "a list of texts"
        return kind + (" that is not empty" if option.metadata["least"] else "")
    kind = "a whole number" if option.type == "int" else "a number"
    least, most = option.metadata["least"], option.metadata["most"]
    if math.isinf(most):
        return kind if math.isinf(least) else f"{kind} of {least:g} or more"
    return f"{kind} from {least:g} to {most:g}"


def _is_allowed(option: Field[Any], value: Any) -> bool:
    if option.type == "bool":
        return isinstance(value, bool)
    if option.type == "str":
        return isinstance(value, str) and option.metadata["least"] <= len(value) <= MAX_TEXT_CHARS
    if option.type == TEXT_LIST_TYPE:
        return (
            isinstance(value, list)
            and len(value) <= MAX_ENTRIES
            and all(isinstance(text, str) and 0 < len(text) <= MAX_TEXT_CHARS for text in value)
        )
    if "kind" in option.metadata:
        return isinstance(value, Mapping) and len(value) <= MAX_ENTRIES
    # bool is a subclass of int
    if isinstance(value, bool) or not isinstance(value, int if option.type == "int" else int | float):
        return False
    return bool(option.metadata["least"] <= value <= option.metadata["most"])  # False for NaN


def read_section(
    section_type: type[Section], name: str, values: object, mistakes: list[str]
) -> Section | None:
    """Reads the table `values` into the dataclass `section_type`. Where it is invalid, returns None and adds
    a line for each mistake to `mistakes`. `name` is the section's name in those lines."""
    if not isinstance(values, Mapping):
        mistakes.append(f"[{name}]: is {values!r:.60}; a table is expected")
        return None
    options = {option.name: option for option in fields(section_type)}  # type: ignore[arg-type]
    mistakes_before = len(mistakes)
    arguments: dict[str, Any] = {}
    for key, value in values.items():
        option = options.get(key)
        if option is None:
            mistakes.append(f"[{name}] {key}: unknown{suggestion(key, list(options))}")
        elif not _is_allowed(option, value):
            mistakes.append(f"[{name}] {key}: is {value!r:.60}; allowed: {_allowed_values(option)}")
        elif "kind" in option.metadata:
            inner = {
                inner_name: read_section(
                    option.metadata["kind"], f"{name}.{key}.{inner_name}", inner_values, mistakes
                )
                for inner_name, inner_values in value.items()
            }
            arguments[key] = {
                inner_name: section for inner_name, section in inner.items() if section is not None
            }
        else:
            convert = {"float": float, TEXT_LIST_TYPE: tuple}.get(str(option.type))
            arguments[key] = value if convert is None else convert(value)
    return section_type(**arguments) if len(mistakes) == mistakes_before else None


def describe_options(section_type: type[Any]) -> list[tuple[str, Any, str, str]]:
    """For each option of a section: its name, its default (None for a table), the allowed values, and its
    description."""
    return [
        (
            option.name,
            None if "kind" in option.metadata else option.default,
            _allowed_values(option),
            option.metadata["what"],
        )
        for option in fields(section_type)
    ]
