"""Codec of the link below: `OP` and `UNOP` out, one line for each call back, with counted bytes where it
brings a result."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from myrtlecrank.core.messages import Abandon, Below, Call
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Outcome

LONGEST_LINE, LONGEST_RESULT = 4096, 1_048_576
ENDS = {
    "DONE": Outcome.OK,
    "WAIT": Outcome.FULL,  # turned away before it began
    "ERROR": Outcome.ERROR,
    "PAST": Outcome.TIMEOUT,
    # No call that it knows. It may be one that it knew, so this proves nothing.
    "EMPTY": Outcome.ERROR,
}


class Broken(Exception):
    """The link no longer carries lines."""


@dataclass(slots=True)
class Reply:
    ident: str
    outcome: Outcome
    result: bytes


def command(wanted: Below) -> bytes:
    match wanted:
        case Call(ident, timeout, body):
            return b"OP %b %d %d\r\n%b\r\n" % (ident.encode(), max(1, int(timeout)), len(body), body)
        case Abandon(ident):
            return b"UNOP %b\r\n" % ident.encode()


def replies(ring: RingBuffer) -> Iterator[Reply]:
    """Takes the whole replies off the ring; raises Broken where the bytes are none."""
    raw, at = ring.peek(len(ring)), 0
    try:
        while True:
            end = raw.find(b"\r\n", at)
            if end < 0:
                if len(raw) - at > LONGEST_LINE:
                    raise Broken("a line without an end")
                return
            words = raw[at:end].decode("utf-8", "replace").split(" ")
            if len(words) < 2 or words[1] not in ENDS:
                raise Broken(f"a line that is no reply: {' '.join(words)[:80]!r}")
            after, result = end + 2, b""
            if words[1] == "DONE":
                size = _count(words[-1])
                if len(raw) < after + size + 2:
                    return
                result, after = raw[after : after + size], after + size + 2
                if raw[after - 2 : after] != b"\r\n":
                    raise Broken("a result that does not end where it should")
            at = after
            yield Reply(words[0], ENDS[words[1]], result)
    finally:
        ring.discard(at)


def _count(word: str) -> int:
    if not (word.isascii() and word.isdigit() and len(word) < 8 and int(word) <= LONGEST_RESULT):
        raise Broken(f"a length that reads {word[:40]!r}")
    return int(word)
