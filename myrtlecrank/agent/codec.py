"""Codec of the agent's link: lines of words that end in CR LF, some followed by counted bytes and CR LF."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite

from myrtlecrank.core.messages import Command, Deliver, Forgo, Freeze, Launch, Sample
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Outcome

LONGEST_LINE, LONGEST_RESULT = 65_536, 1_048_576
ENDS = {
    "PASS": Outcome.OK,
    "FAIL": Outcome.ERROR,
    "KILLED": Outcome.CANCELLED,
    "NOOP": Outcome.MOOT,
}
COUNTED = {"outcome": 6, "request": 4}  # notices whose last word is a length, and the words they have
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
class Needs:
    """A run stands at a call to the layer below."""

    number: int
    ident: str
    body: bytes


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


Notice = Greeting | Ended | Needs | Gauged | Refused | Aside | Unknown


class Broken(Exception):
    """The link no longer carries lines."""


def notices(ring: RingBuffer) -> Iterator[Notice]:
    """Takes the whole notices off the ring; all that is there is copied once, however many they are."""
    raw, at = ring.peek(len(ring)), 0
    try:
        while True:
            end = raw.find(b"\r\n", at)
            if end < 0:
                if len(raw) - at > LONGEST_LINE:
                    raise Broken("a line without an end")
                return
            line, after = raw[at:end], end + 2
            words = line.decode("utf-8", "replace").split(" ")
            result = b""
            # Guards against a body that reads like notices: whatever it holds is passed over by its length.
            if len(words) == COUNTED.get(words[0]):
                size = _count(words[-1], LONGEST_RESULT)
                after += size + 2
                if len(raw) < after:
                    return
                if raw[after - 2 : after] != b"\r\n":
                    raise Broken("a result that does not end where it should")
                result = raw[end + 2 : after - 2]
            at = after
            yield _notice(words, result, line)
    finally:
        ring.discard(at)


def _count(word: str, top: int) -> int:
    if not word.isascii() or not word.isdigit() or len(word) > 9 or int(word) > top:
        raise Broken(f"a length that reads {word[:40]!r}")
    return int(word)


def _notice(words: list[str], result: bytes, line: bytes) -> Notice:
    try:
        match words:
            case ["outcome", number, ident, end, took, *_]:
                return Ended(int(number), ident, ENDS[end], _figure(took), result)
            case ["request", number, ident, _]:
                return Needs(int(number), ident, result)
            case ["sampled", tag, *values]:
                return Gauged(tag, [_figure(value) for value in values])
            case ["greeting", state, up]:
                return Greeting(STATES[state], _figure(up))
            case ["refusal", command, ident, *_]:
                return Refused(command, ident)
            case ["aside", number, *_]:
                return Aside(int(number))
    except (KeyError, ValueError):
        pass
    return Unknown(line.decode("utf-8", "replace"))


def _figure(word: str) -> float:
    """Guards means and gauges, which a `nan` would spoil for good."""
    value = float(word)
    if not isfinite(value) or value < 0.0:
        raise ValueError(word)
    return value


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
        case Deliver(ident, result):
            return b"deliver %b %d\r\n%b\r\n" % (ident.encode(), len(result), result)
        case Forgo(ident):
            return b"forgo %b\r\n" % ident.encode()
