"""Codec of the agent's protocol.

A line is words that end in CR LF. Some lines are followed by as many bytes as their last word counts, and CR
LF.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite

from myrtlecrank.core.messages import (
    AgentCommand,
    CancelRun,
    DeliverCallResult,
    SampleGauges,
    SkipCall,
    StartRun,
)
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Outcome

MAX_LINE_BYTES = 65_536
MAX_RESULT_BYTES = 1_048_576
MAX_COUNT_DIGITS = 9
MAX_QUOTED_CHARS = 40  # of an invalid length, in the message about it
LINE_END = b"\r\n"
LINE_END_BYTES = 2
OUTCOMES = {
    "PASS": Outcome.OK,
    "FAIL": Outcome.ERROR,
    "KILLED": Outcome.CANCELLED,
    "NOOP": Outcome.NOT_STARTED,
}
# The notices that are followed by counted bytes, and the number of words in their lines.
COUNTED_NOTICE_WORDS = {"outcome": 6, "request": 4}
IS_COLD = {"EMPTY": True, "LOADED": False}  # by the machine's state in a greeting


@dataclass(slots=True)
class GreetingNotice:
    """The reply to a subscription: whether the machine's stores are cold, and for how long it has been up."""

    is_cold: bool
    uptime_ms: float


@dataclass(slots=True)
class OutcomeNotice:
    """The end of a run."""

    number: int
    exchange_id: str
    outcome: Outcome
    duration_ms: float
    result: bytes


@dataclass(slots=True)
class RequestNotice:
    """A run waits for a call to the dependency; `body` is what the call asks."""

    number: int
    exchange_id: str
    body: bytes


@dataclass(slots=True)
class SampledNotice:
    """Gauges of the machine, in the order of the configuration."""

    tag: str
    values: list[float]


@dataclass(slots=True)
class RefusalNotice:
    """The agent refused a command."""

    command: str
    exchange_id: str


@dataclass(slots=True)
class AsideNotice:
    """A numbered notice that means nothing to this program."""

    number: int


@dataclass(slots=True)
class UnknownNotice:
    """A line that is not a notice."""

    line: str


Notice = (
    GreetingNotice
    | OutcomeNotice
    | RequestNotice
    | SampledNotice
    | RefusalNotice
    | AsideNotice
    | UnknownNotice
)


class ProtocolError(Exception):
    """The bytes are not lines of the protocol; nothing more can be read on this connection."""


def decode_notices(buffer: RingBuffer) -> Iterator[Notice]:
    """Takes the complete notices off the buffer. Raises ProtocolError where the bytes are not lines.

    The contents are copied once, however many notices they hold.
    """
    raw, at = buffer.peek(len(buffer)), 0
    try:
        while True:
            end = raw.find(LINE_END, at)
            if end < 0:
                if len(raw) - at > MAX_LINE_BYTES:
                    raise ProtocolError(f"a line of more than {MAX_LINE_BYTES} bytes without an end")
                return
            line, after = raw[at:end], end + LINE_END_BYTES
            words = line.decode("utf-8", "replace").split(" ")
            result = b""
            # A body is skipped by its length, as it may hold bytes that read like notices.
            if len(words) == COUNTED_NOTICE_WORDS.get(words[0]):
                size = _decode_count(words[-1], MAX_RESULT_BYTES)
                after += size + LINE_END_BYTES
                if len(raw) < after:
                    return
                if raw[after - LINE_END_BYTES : after] != LINE_END:
                    raise ProtocolError(f"a result of {size} bytes that is not followed by CR LF")
                result = raw[end + LINE_END_BYTES : after - LINE_END_BYTES]
            at = after
            yield _decode_notice(words, result, line)
    finally:
        buffer.discard(at)


def _decode_count(word: str, limit: int) -> int:
    is_number = word.isascii() and word.isdigit() and len(word) <= MAX_COUNT_DIGITS
    if not is_number or int(word) > limit:
        raise ProtocolError(f"a length that reads {word[:MAX_QUOTED_CHARS]!r}, expected 0 to {limit}")
    return int(word)


def _decode_notice(words: list[str], result: bytes, line: bytes) -> Notice:
    try:
        match words:
            case ["outcome", number, exchange_id, outcome, duration_ms, *_]:
                return OutcomeNotice(
                    int(number), exchange_id, OUTCOMES[outcome], _decode_number(duration_ms), result
                )
            case ["request", number, exchange_id, _]:
                return RequestNotice(int(number), exchange_id, result)
            case ["sampled", tag, *values]:
                return SampledNotice(tag, [_decode_number(value) for value in values])
            case ["greeting", state, uptime_ms]:
                return GreetingNotice(IS_COLD[state], _decode_number(uptime_ms))
            case ["refusal", command, exchange_id, *_]:
                return RefusalNotice(command, exchange_id)
            case ["aside", number, *_]:
                return AsideNotice(int(number))
    except (KeyError, ValueError):
        pass
    return UnknownNotice(line.decode("utf-8", "replace"))


def _decode_number(word: str) -> float:
    """Returns a finite number that is not negative: a single `nan` would spoil means and gauges for good."""
    value = float(word)
    if not isfinite(value) or value < 0.0:
        raise ValueError(f"expected a finite number of 0 or more, found {word!r}")
    return value


def encode_subscribe(last_notice: int) -> bytes:
    """Returns the command that subscribes to all notices after the given number."""
    return b"subscribe %d\r\n" % last_notice


def encode_command(command: AgentCommand) -> bytes:
    """Returns a command as its line, with the body where it has one."""
    match command:
        case StartRun(exchange_id, group, body):
            return b"launch %b %b %d\r\n%b\r\n" % (exchange_id.encode(), group.encode(), len(body), body)
        case CancelRun(exchange_id):
            return b"freeze %b\r\n" % exchange_id.encode()
        case SampleGauges(tag):
            return b"sample %b\r\n" % tag.encode()
        case DeliverCallResult(exchange_id, result):
            return b"deliver %b %d\r\n%b\r\n" % (exchange_id.encode(), len(result), result)
        case SkipCall(exchange_id):
            return b"forgo %b\r\n" % exchange_id.encode()
