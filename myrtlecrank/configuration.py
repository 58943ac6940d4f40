"""What the platform tells a backend at its start."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import Any, NoReturn

from myrtlecrank.policy.interface import Below, StartFacts
from myrtlecrank.settings import FieldError, Fields, gauge_names, start_facts

PATH_VARIABLE = "PROXY_CONFIG"
LONGEST = 4_000_000  # bytes; a longer file is no configuration, and reading it would fill the memory
MOVABLE = ("agent", "members", "records")  # what a running process takes over


class OrdersError(Exception):
    """The configuration is missing or makes no sense; the text is one plain line."""


@dataclass(slots=True)
class Orders:
    name: str
    listen: tuple[str, int]
    agent: tuple[str, int]
    members: tuple[str, int]
    records: tuple[str, int] | None  # the layer below, where the site has one
    stop_ms: float
    sockets: int
    facts: StartFacts
    gauges: list[str]
    values: dict[str, Any]  # as they were written

    def unlike(self, other: Orders) -> list[str]:
        """What differs there and takes a new start."""
        keys = (self.values.keys() | other.values.keys()) - set(MOVABLE)
        return sorted(key for key in keys if self.values.get(key) != other.values.get(key))


def _address(fields: Fields, key: str) -> tuple[str, int]:
    text = fields.text(key)
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(p.isdecimal() and p.isascii() and int(p) < 256 for p in parts):
        raise FieldError(f"{fields.where}: {key!r} is not an IPv4 address with a port: {text!r}")
    if not (port.isdecimal() and port.isascii() and len(port) < 6) or not 0 < int(port) < 65536:
        raise FieldError(f"{fields.where}: {key!r} has no usable port: {text!r}")
    return host, int(port)


def _seed(fields: Fields) -> int:
    text = fields.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise FieldError(f"{fields.where}: 'seed' is not hexadecimal: {text!r}") from None


def _positive(fields: Fields, key: str) -> float:
    value = fields.number(key)
    if not value > 0:
        raise FieldError(f"{fields.where}: {key!r} is not above 0")
    return value


def read(path: str | None = None) -> Orders:
    """Reads the file, or the one that the environment names; raises OrdersError."""
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise OrdersError(f"no configuration: {PATH_VARIABLE} is not set and no file is named")
    try:
        with open(path, "rb") as file:
            text = file.read(LONGEST + 1)
        if len(text) > LONGEST:
            raise OrdersError(f"{path} is longer than {LONGEST} bytes")
        values = json.loads(text, parse_constant=_no_number)
    except OSError as error:
        raise OrdersError(f"{path} cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise OrdersError(f"{path} is not JSON: {error}") from None
    try:
        return parse(Fields(values, path))
    except FieldError as error:
        raise OrdersError(str(error)) from None
    except (ValueError, TypeError, OverflowError) as error:
        raise OrdersError(f"{path} holds a senseless value: {error}") from None


def _no_number(text: str) -> NoReturn:
    raise ValueError(f"{text} is no number")


def parse(fields: Fields) -> Orders:
    conf = fields.inner("settings")
    facts = start_facts(conf, _seed(fields))
    # On sockets an answer is what was made for its own exchange: the protocol has no word by which one would
    # share another's, whatever the settings allow.
    facts.share_for = 0.0
    if not facts.groups or facts.cores < 1 or facts.memory_kb <= 0:
        raise FieldError(f"{conf.where}: needs at least one category, one core and some memory")
    if any(not 0 < group.slo <= group.timeout for group in facts.groups):
        raise FieldError(f"{conf.where}: an aim must be above 0 and within its deadline")
    return Orders(
        name=fields.text("name"),
        listen=_address(fields, "listen"),
        agent=_address(fields, "agent"),
        members=_address(fields, "members"),
        records=None if facts.below is Below.NONE else _address(fields, "records"),
        stop_ms=_positive(fields, "stop_ms"),
        sockets=int(_positive(fields.inner("limits"), "sockets")),
        facts=facts,
        gauges=gauge_names(conf),
        values=fields.values,
    )
