"""Frames of the edge protocol: `length:4 type:1 stream:4 payload`, little-endian."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol

from myrtlecrank.frames.ring_buffer import RingBuffer

HEADER = struct.Struct("<IBI")
LENGTH_BYTES = 4  # the length field, which doesn't count itself
MIN_LENGTH_BYTES = 5  # type and stream
MAX_LENGTH_BYTES = 262_144
MAX_BUFFERED_LENGTH_BYTES = 16_384  # longer frames are legal, but no exchange that can be run needs them
SMALL_FRAME_BYTES = 4096  # larger ones need memory of their own while they arrive
MAX_REQUEST_BODY_BYTES = 2048
MAX_RESULT_BYTES = 4096
MAX_KEY_BYTES = 256
MAX_SUBJECT_BYTES = 2048
MAX_QUOTED_BYTES = 40  # of an invalid field, in the message about it
MAX_OPEN_STREAMS = 32  # exchanges that one connection may carry at a time

EXCHANGE_ID_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
INTEGER_PATTERN = re.compile(rb"[0-9]{1,15}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{1,15})?")

# A number in a field must be less than its limit.
UNIX_MS_LIMIT = 1e15
CALLER_ID_LIMIT = 2.0**32
WAIT_LIMIT_MS = 1e9
MEMORY_LIMIT_KB = 2000.0
RANK_LIMIT = 1.0

# Frame types.
REQUEST = 10
ANSWER = 11
ABANDON = 12
HEALTH_CHECK = 20
HEALTH_STATUS = 21
GO_AWAY = 30

# Verdicts, the first byte of an answer.
COMPLETED = 0
DENIED = 1
TERMINATED = 2

# The first byte of a health status.
HEALTHY = 0
UNHEALTHY = 1

CACHED_ANSWER_PREFIXES = 16


@dataclass(slots=True)
class Request:
    """An exchange as a caller sends it."""

    stream: int
    group: str
    exchange_id: str
    arrived_at_ms: float  # Unix time at which it reached the machine
    caller: int
    tenant: str | None
    wait_ms: float | None  # how long its caller waits for the answer from then on
    memory_kb: float
    rank: float
    subject: str | None  # what a read is about
    key: str | None  # the same for every try of a deduplicated exchange
    body: bytes


@dataclass(slots=True)
class HealthCheck:
    """A health check."""

    stream: int


@dataclass(slots=True)
class Abandoned:
    """The caller no longer waits for this exchange."""

    stream: int


@dataclass(slots=True)
class InvalidRequest:
    """An exchange that cannot be read; the frames after it can."""

    stream: int
    reason: str


Frame = Request | Abandoned | HealthCheck | InvalidRequest


class ProtocolError(Exception):
    """The bytes are not a frame; nothing more can be read on this connection."""


class _InvalidPayload(Exception):
    pass


class BufferReservation(Protocol):
    """Memory for frames that have not arrived whole."""

    def reserve(self, byte_count: int) -> bool:
        """Takes so many bytes, if they are free. Returns whether they were."""

    def release(self, byte_count: int) -> None:
        """Gives back what was reserved."""


class Decoder:
    """Takes whole frames off a ring buffer.

    `large_frames` is where memory for a frame over SMALL_FRAME_BYTES is reserved until it has arrived."""

    def __init__(
        self,
        buffer: RingBuffer,
        allows_abandon: bool = False,
        large_frames: BufferReservation | None = None,
    ) -> None:
        self.buffer = buffer
        self.large_frames = large_frames
        self.reserved_bytes = 0
        self.allowed_types = (REQUEST, HEALTH_CHECK, ABANDON) if allows_abandon else (REQUEST, HEALTH_CHECK)
        self.bytes_to_skip = 0  # the part of an overlong frame that has not arrived yet
        self.may_have_frame = False  # the last call of frames() ended at its limit

    def frames(self, max_count: int | None = None) -> Iterator[Frame]:
        """Yields the frames that have arrived whole, at most `max_count` of them.

        Raises ProtocolError where the bytes are not a frame."""
        buffer = self.buffer
        count = 0
        self.may_have_frame = False
        if self.bytes_to_skip:
            skipped = min(self.bytes_to_skip, len(buffer))
            buffer.discard(skipped)
            self.bytes_to_skip -= skipped
        raw, at = buffer.peek(len(buffer)), 0  # one copy, however many frames the buffer holds
        try:
            while len(raw) - at >= HEADER.size:
                if count == max_count:
                    self.may_have_frame = True
                    return
                count += 1
                length, kind, stream = HEADER.unpack_from(raw, at)
                _check_length(length)
                _check_type(kind, stream, self.allowed_types)
                end = at + LENGTH_BYTES + length
                if self.reserved_bytes and end <= len(raw):
                    self.release()
                if length > MAX_BUFFERED_LENGTH_BYTES or not self._may_buffer(length, end > len(raw)):
                    # Overlong frames are skipped as they arrive: many connections that each send the longest
                    # frame would exhaust the memory.
                    if kind != REQUEST:
                        raise ProtocolError(f"a frame of type {kind} of {length} bytes")
                    self.bytes_to_skip = max(0, end - len(raw))
                    at = min(end, len(raw))
                    yield InvalidRequest(stream, f"a frame of {length} bytes")
                    continue
                if end > len(raw):
                    return
                frame = raw[at:end]
                at = end
                if kind == ABANDON:
                    yield Abandoned(stream)
                elif kind == HEALTH_CHECK:
                    yield _decode_health_check(stream, frame)
                else:
                    yield _decode_request(stream, frame)
            if len(raw) - at >= LENGTH_BYTES:
                _check_length(int.from_bytes(raw[at : at + LENGTH_BYTES], "little"))
        finally:
            buffer.discard(at)

    def _may_buffer(self, length: int, is_incomplete: bool) -> bool:
        """Whether there is memory for a frame of this length until it has arrived."""
        if self.large_frames is None or not is_incomplete or length <= SMALL_FRAME_BYTES:
            return True
        if not self.reserved_bytes and self.large_frames.reserve(length):
            self.reserved_bytes = length
        return self.reserved_bytes > 0

    def release(self) -> None:
        """Gives back the memory that was reserved for the frame that is arriving."""
        if self.large_frames is not None:
            self.large_frames.release(self.reserved_bytes)
            self.reserved_bytes = 0

    def is_mid_frame(self) -> bool:
        """Whether a frame has begun to arrive and is not complete."""
        return self.bytes_to_skip > 0 or len(self.buffer) > 0


def _check_length(length: int) -> None:
    if not MIN_LENGTH_BYTES <= length <= MAX_LENGTH_BYTES:
        raise ProtocolError(f"a frame of length {length}, expected {MIN_LENGTH_BYTES} to {MAX_LENGTH_BYTES}")


def _check_type(kind: int, stream: int, allowed_types: tuple[int, ...]) -> None:
    if kind not in allowed_types:
        raise ProtocolError(f"a frame of unexpected type {kind}")
    if kind == REQUEST and stream == 0:
        raise ProtocolError("an exchange on stream 0")


Fields = dict[bytes, bytes]


def _decode_fields(raw: bytes) -> tuple[Fields, int]:
    """Returns the fields of a frame and the offset at which they end."""
    fields: Fields = {}
    at = HEADER.size + 1
    try:
        count = raw[at - 1]
        for _ in range(count):
            name_end = at + 1 + raw[at]
            value_end = name_end + 2 + (raw[name_end] | raw[name_end + 1] << 8)
            fields[raw[at + 1 : name_end]] = raw[name_end + 2 : value_end]
            at = value_end
    except IndexError:
        at = len(raw) + 1
    if at > len(raw):
        raise _InvalidPayload("fields longer than the frame")
    if len(fields) != count:
        raise _InvalidPayload("a field twice")
    if not raw[HEADER.size : at].isascii():
        try:
            for text in (*fields.keys(), *fields.values()):
                text.decode()
        except UnicodeDecodeError:
            raise _InvalidPayload("a field that is not UTF-8 text") from None
    return fields, at


def _decode_health_check(stream: int, raw: bytes) -> HealthCheck:
    try:
        _decode_fields(raw)
    except _InvalidPayload as error:
        raise ProtocolError(f"a health check with {error}") from None
    return HealthCheck(stream)


def _number_field(
    fields: Fields, name: bytes, pattern: re.Pattern[bytes], limit: float, default: float | None = None
) -> float:
    """Returns a number in its plain spelling that is less than `limit`.

    Signs, exponents, blanks and `nan` are refused.
    """
    text = fields.get(name)
    if text is None:
        if default is None:
            raise _InvalidPayload(f"no field {name.decode()!r}")
        return default
    number = float(text) if pattern.fullmatch(text) else limit
    if number >= limit:
        raise _InvalidPayload(f"the field {name.decode()!r} that reads {text[:MAX_QUOTED_BYTES]!r}")
    return number


def _check_size(name: str, text: bytes | None, limit: int) -> None:
    if text is not None and len(text) > limit:
        raise _InvalidPayload(f"a {name} of {len(text)} bytes, expected at most {limit}")


def _decode_request(stream: int, raw: bytes) -> Request | InvalidRequest:
    try:
        fields, at = _decode_fields(raw)
        exchange_id = fields.get(b"i", b"")
        if not EXCHANGE_ID_PATTERN.fullmatch(exchange_id):
            raise _InvalidPayload(
                f"the field 'i' that reads {exchange_id[:MAX_QUOTED_BYTES]!r}, expected 16 hex digits"
            )
        if b"c" not in fields:
            raise _InvalidPayload("no field 'c'")
        if len(raw) - at > MAX_REQUEST_BODY_BYTES:
            raise _InvalidPayload(
                f"a body of {len(raw) - at} bytes, expected at most {MAX_REQUEST_BODY_BYTES}"
            )
        memory_kb = _number_field(fields, b"m", DECIMAL_PATTERN, MEMORY_LIMIT_KB)
        if memory_kb == 0.0:
            raise _InvalidPayload("a memory size of 0 KB in the field 'm'")
        tenant, subject, key = fields.get(b"t"), fields.get(b"o"), fields.get(b"k")
        _check_size("key", key, MAX_KEY_BYTES)
        _check_size("subject", subject, MAX_SUBJECT_BYTES)
        return Request(
            stream,
            group=fields[b"c"].decode(),
            exchange_id=exchange_id.decode(),
            arrived_at_ms=_number_field(fields, b"s", INTEGER_PATTERN, UNIX_MS_LIMIT),
            caller=int(_number_field(fields, b"f", INTEGER_PATTERN, CALLER_ID_LIMIT)),
            tenant=None if tenant is None else tenant.decode(),
            wait_ms=_number_field(fields, b"d", DECIMAL_PATTERN, WAIT_LIMIT_MS) if b"d" in fields else None,
            memory_kb=memory_kb,
            rank=_number_field(fields, b"p", DECIMAL_PATTERN, RANK_LIMIT, 0.0),
            subject=None if subject is None else subject.decode(),
            key=None if key is None else key.decode(),
            body=raw[at:],
        )
    except _InvalidPayload as error:
        return InvalidRequest(stream, str(error))


def encode_frame(kind: int, stream: int, payload: bytes) -> bytes:
    """Returns a frame with its header."""
    return HEADER.pack(MIN_LENGTH_BYTES + len(payload), kind, stream) + payload


def _encode_fields(fields: dict[str, str]) -> bytes:
    encoded = bytearray([len(fields)])
    for name, value in fields.items():
        encoded.append(len(name))
        encoded += name.encode() + len(value).to_bytes(2, "little") + value.encode()
    return bytes(encoded)


def _format_number(value: float) -> str:
    return f"{value:.4f}".rstrip("0").rstrip(".")


def _value_fields(published_value: float | None) -> dict[str, str]:
    return {} if published_value is None else {"v": _format_number(published_value)}


@lru_cache(CACHED_ANSWER_PREFIXES)
def _answer_prefix(code: int, published_value: float | None) -> bytes:
    """Returns how most answers begin; it is cached, as the published value changes only now and then."""
    return bytes([code]) + _encode_fields(_value_fields(published_value))


def encode_answer(
    stream: int,
    code: int,
    published_value: float | None,
    retry_after_ms: float = 0.0,
    no_other_backend: bool = False,
    body: bytes = b"",
) -> bytes:
    """Returns the final answer to an exchange.

    `retry_after_ms`, how long the caller stays away, and `no_other_backend`, which asks it not to retry at
    another backend, are sent only with a denial.
    """
    if code != DENIED:
        return encode_frame(ANSWER, stream, _answer_prefix(code, published_value) + body)
    fields = _value_fields(published_value)
    if retry_after_ms > 0:
        fields["w"] = str(max(1, round(retry_after_ms)))
    if no_other_backend:
        fields["l"] = "1"
    return encode_frame(ANSWER, stream, bytes([code]) + _encode_fields(fields) + body)


def encode_health_status(stream: int, is_healthy: bool, published_value: float | None) -> bytes:
    """Returns the reply to a health check."""
    status = HEALTHY if is_healthy else UNHEALTHY
    return encode_frame(
        HEALTH_STATUS, stream, bytes([status]) + _encode_fields(_value_fields(published_value))
    )


def encode_connection_error(published_value: float | None) -> bytes:
    """Returns the report of an error that belongs to no exchange."""
    return encode_answer(0, TERMINATED, published_value)


def encode_go_away() -> bytes:
    """Returns the request to send no new exchange on this connection."""
    return encode_frame(GO_AWAY, 0, b"")
