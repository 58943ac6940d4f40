"""Codec of the dependency's protocol.

Commands are `OP` and `UNOP` lines. A reply is one line for each call, followed by counted bytes where it
carries a result. Lines end in CR LF.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from myrtlecrank.core.messages import CancelCall, DependencyCommand, StartCall
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Outcome

MAX_LINE_BYTES = 4096
MAX_RESULT_BYTES = 1_048_576
MAX_COUNT_DIGITS = 7
# Of what is invalid, in the message about it.
MAX_QUOTED_LINE_CHARS = 80
MAX_QUOTED_COUNT_CHARS = 40
LINE_END = b"\r\n"
LINE_END_BYTES = 2
OUTCOMES = {
    "DONE": Outcome.OK,
    "WAIT": Outcome.REJECTED,  # rejected before it began
    "ERROR": Outcome.ERROR,
    "PAST": Outcome.TIMEOUT,
    # The dependency knows no such call. It may have known it before, so this proves nothing.
    "EMPTY": Outcome.ERROR,
}


class ProtocolError(Exception):
    """The bytes are not lines of the protocol; nothing more can be read on this connection."""


@dataclass(slots=True)
class Reply:
    """How a call ended; `result` is empty unless the outcome is OK."""

    exchange_id: str
    outcome: Outcome
    result: bytes


def encode_command(command: DependencyCommand) -> bytes:
    """Returns a call, with its time limit in whole ms, or the command that abandons one."""
    match command:
        case StartCall(exchange_id, timeout_ms, body):
            limit_ms = max(1, int(timeout_ms))
            return b"OP %b %d %d\r\n%b\r\n" % (exchange_id.encode(), limit_ms, len(body), body)
        case CancelCall(exchange_id):
            return b"UNOP %b\r\n" % exchange_id.encode()


def decode_replies(buffer: RingBuffer) -> Iterator[Reply]:
    """Takes the complete replies off the buffer. Raises ProtocolError where the bytes are not replies."""
    raw, at = buffer.peek(len(buffer)), 0
    try:
        while True:
            end = raw.find(LINE_END, at)
            if end < 0:
                if len(raw) - at > MAX_LINE_BYTES:
                    raise ProtocolError(f"a line of more than {MAX_LINE_BYTES} bytes without an end")
                return
            words = raw[at:end].decode("utf-8", "replace").split(" ")
            if len(words) < 2 or words[1] not in OUTCOMES:
                raise ProtocolError(
                    f"a line that is not a reply: {' '.join(words)[:MAX_QUOTED_LINE_CHARS]!r}"
                )
            after, result = end + LINE_END_BYTES, b""
            if words[1] == "DONE":
                size = _decode_count(words[-1])
                if len(raw) < after + size + LINE_END_BYTES:
                    return
                result, after = raw[after : after + size], after + size + LINE_END_BYTES
                if raw[after - LINE_END_BYTES : after] != LINE_END:
                    raise ProtocolError(f"a result of {size} bytes that is not followed by CR LF")
            at = after
            yield Reply(words[0], OUTCOMES[words[1]], result)
    finally:
        buffer.discard(at)


def _decode_count(word: str) -> int:
    is_number = word.isascii() and word.isdigit() and len(word) <= MAX_COUNT_DIGITS
    if not is_number or int(word) > MAX_RESULT_BYTES:
        raise ProtocolError(
            f"a length that reads {word[:MAX_QUOTED_COUNT_CHARS]!r}, expected 0 to {MAX_RESULT_BYTES}"
        )
    return int(word)
