"""Codec of the agent's link: lines of words that end in CR LF, some followed by counted bytes and CR LF."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from myrtlecrank.core.letters import Command, Freeze, Launch, Sample
from myrtlecrank.frames.ring import Ring
from myrtlecrank.port import Outcome

LONGEST_LINE, LONGEST_RESULT = 65_536, 1_048_576
ENDS = {
    "PASS": Outcome.OK,
    "FAIL": Outcome.ERROR,
    "KILLED": Outcome.CANCELLED,
    "NOOP": Outcome.MOOT,
}
STATES = {"EMPTY": True, "LOADED": False}  # whether the machine is cold


@dataclass(slots=True)
class Greeting:
    cold: bool
    up: float


@dataclass(slots=True)
class Ended:
    number: int
    ident: str
    outcome: Outcome
    took: float
    result: bytes


@dataclass(slots=True)
class Gauged:
    tag: str
    values: list[float]


@dataclass(slots=True)
class Refused:
    command: str
    ident: str


@dataclass(slots=True)
class Aside:
    number: int


@dataclass(slots=True)
class Unknown:
    line: str


Notice = Greeting | Ended | Gauged | Refused | Aside | Unknown


class Broken(Exception):
    """The link no longer carries lines."""


def notices(ring: Ring) -> Iterator[Notice]:
    """Takes the whole notices off the ring."""
    while True:
        end = ring.find(b"\r\n")
        if end < 0:
            if len(ring) > LONGEST_LINE:
                raise Broken("a line without an end")
            return
        line = ring.peek(end).decode("utf-8", "replace")
        words = line.split(" ")
        size = 0
        if words[0] == "outcome" and len(words) == 6:
            size = _count(words[5], LONGEST_RESULT)
            if len(ring) < end + 2 + size + 2:
                return
        ring.skip(end + 2)
        result = b""
        if words[0] == "outcome" and len(words) == 6:
            result = ring.take(size)
            if ring.take(2) != b"\r\n":
                raise Broken("a result that does not end where it should")
        yield _notice(words, result, line)


def _count(word: str, top: int) -> int:
    if not word.isascii() or not word.isdigit() or int(word) > top:
        raise Broken(f"a length that reads {word[:40]!r}")
    return int(word)


def _notice(words: list[str], result: bytes, line: str) -> Notice:
    try:
        match words:
            case ["greeting", state, up]:
                return Greeting(STATES[state], float(up))
            case ["outcome", number, ident, end, took, *_]:
                return Ended(int(number), ident, ENDS[end], float(took), result)
            case ["sampled", tag, *values]:
                return Gauged(tag, [float(value) for value in values])
            case ["refusal", command, ident, *_]:
                return Refused(command, ident)
            case ["aside", number, *_]:
                return Aside(int(number))
    except (KeyError, ValueError):
        pass
    return Unknown(line)


def subscribe(read: int) -> bytes:
    return b"subscribe %d\r\n" % read


def command(wanted: Command) -> bytes:
    match wanted:
        case Launch(ident, group, body):
            return b"launch %b %b %d\r\n%b\r\n" % (ident.encode(), group.encode(), len(body), body)
        case Freeze(ident):
            return b"freeze %b\r\n" % ident.encode()
        case Sample(tag):
            return b"sample %b\r\n" % tag.encode()
