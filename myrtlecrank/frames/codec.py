"""Frames of the edge protocol: `length:4 type:1 stream:4 payload`, little-endian."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache

from myrtlecrank.frames.ring_buffer import Ring

HEAD = struct.Struct("<IBI")
SHORTEST, LONGEST = 5, 262_144
KEPT = 16_384  # longer frames are legal, but no exchange that can be run needs them
BODY, RESULT = 2048, 4096
IDENT = re.compile(rb"[0-9a-fA-F]{16}")
WHOLE, PLAIN = re.compile(rb"[0-9]{1,15}"), re.compile(rb"[0-9]{1,15}(?:\.[0-9]{1,15})?")
LONGEST_KEY = 256
OPEN_STREAMS = 32  # exchanges that one connection may carry at a time
ASK, ANSWER, GIVE_UP, CHECK, CHECKED, AWAY = 10, 11, 12, 20, 21, 30
COMPLETED, DENIED, TERMINATED = 0, 1, 2
GOOD, BAD = 0, 1


@dataclass(slots=True)
class Ask:
    """An exchange as a caller sends it."""

    stream: int
    group: str
    ident: str
    reached: float  # Unix ms at which it came to the machine
    caller: int
    tenant: str | None
    wait: float | None  # how long its caller waits, from then on
    kb: float
    rank: float
    about: str | None
    key: str | None  # the same for every try of a deduplicated exchange
    body: bytes


@dataclass(slots=True)
class Check:
    """A health check."""

    stream: int


@dataclass(slots=True)
class GivenUp:
    """Its caller waits for this exchange no longer."""

    stream: int


@dataclass(slots=True)
class Spoiled:
    """An exchange that cannot be read; the frames after it can."""

    stream: int
    why: str


Frame = Ask | GivenUp | Check | Spoiled


class Broken(Exception):
    """What came is no frame: nothing more can be read on this connection."""


class _Unfit(Exception):
    pass


class Decoder:
    """Takes whole frames off a ring."""

    def __init__(self, ring: Ring, give_up: bool = False) -> None:
        self.ring = ring
        self.kinds = (ASK, CHECK, GIVE_UP) if give_up else (ASK, CHECK)
        self.skip = 0  # bytes of a frame too long to be kept that are still to come

    def frames(self) -> Iterator[Frame]:
        """The frames that have come; raises Broken where the bytes are none."""
        ring = self.ring
        if self.skip:
            passed = min(self.skip, len(ring))
            ring.skip(passed)
            self.skip -= passed
        raw, at = ring.peek(len(ring)), 0  # all that is there is copied once, however many frames it holds
        try:
            while len(raw) - at >= HEAD.size:
                length, kind, stream = HEAD.unpack_from(raw, at)
                _length(length)
                _known(kind, stream, self.kinds)
                end = at + 4 + length
                if length > KEPT:
                    # Guards against many connections that each bring the longest frame, for want of memory.
                    if kind != ASK:
                        raise Broken(f"a frame of type {kind} of {length} bytes")
                    self.skip = max(0, end - len(raw))
                    at = min(end, len(raw))
                    yield Spoiled(stream, f"a frame of {length} bytes")
                    continue
                if end > len(raw):
                    return
                frame = raw[at:end]
                at = end
                if kind == GIVE_UP:
                    yield GivenUp(stream)
                else:
                    yield _check(stream, frame) if kind == CHECK else _ask(stream, frame)
            if len(raw) - at >= 4:
                _length(int.from_bytes(raw[at : at + 4], "little"))
        finally:
            ring.skip(at)

    def halfway(self) -> bool:
        """Whether a frame has begun and not ended."""
        return self.skip > 0 or len(self.ring) > 0


def _length(length: int) -> None:
    if not SHORTEST <= length <= LONGEST:
        raise Broken(f"a frame of length {length}")


def _known(kind: int, stream: int, kinds: tuple[int, ...]) -> None:
    if kind not in kinds:
        raise Broken(f"a frame of type {kind}")
    if kind == ASK and stream == 0:
        raise Broken("an exchange on stream 0")


def _fields(raw: bytes) -> tuple[dict[bytes, bytes], int]:
    """The fields of a frame and where they end."""
    values: dict[bytes, bytes] = {}
    at = HEAD.size + 1
    try:
        count = raw[at - 1]
        for _ in range(count):
            split = at + 1 + raw[at]
            end = split + 2 + (raw[split] | raw[split + 1] << 8)
            values[raw[at + 1 : split]] = raw[split + 2 : end]
            at = end
    except IndexError:
        at = len(raw) + 1
    if at > len(raw):
        raise _Unfit("fields longer than the frame")
    if len(values) != count:
        raise _Unfit("a field twice")
    if not raw[HEAD.size : at].isascii():
        try:
            for text in (*values.keys(), *values.values()):
                text.decode()
        except UnicodeDecodeError:
            raise _Unfit("a field that is no text") from None
    return values, at


def _check(stream: int, raw: bytes) -> Check:
    try:
        _fields(raw)
    except _Unfit as error:
        raise Broken(f"a health check with {error}") from None
    return Check(stream)


Values = dict[bytes, bytes]


def _number(
    values: Values, name: bytes, shape: re.Pattern[bytes], top: float, default: float | None = None
) -> float:
    """A field in its plain spelling, under `top`: no sign, no exponent, no blank, no `nan`."""
    text = values.get(name)
    if text is None:
        if default is None:
            raise _Unfit(f"no field {name.decode()!r}")
        return default
    number = float(text) if shape.fullmatch(text) else top
    if number >= top:
        raise _Unfit(f"the field {name.decode()!r} that reads {text[:40]!r}")
    return number


def _ask(stream: int, raw: bytes) -> Ask | Spoiled:
    try:
        values, at = _fields(raw)
        ident = values.get(b"i", b"")
        if not IDENT.fullmatch(ident):
            raise _Unfit(f"the field 'i' that reads {ident[:40]!r}")
        if b"c" not in values:
            raise _Unfit("no field 'c'")
        if len(raw) - at > BODY:
            raise _Unfit(f"a body of {len(raw) - at} bytes")
        kb = _number(values, b"m", PLAIN, 2000.0)
        if kb == 0.0:
            raise _Unfit("no memory that is booked for it")
        tenant, about, key = values.get(b"t"), values.get(b"o"), values.get(b"k")
        if len(key or b"") > LONGEST_KEY:
            raise _Unfit("a key that is too long")
        return Ask(
            stream,
            group=values[b"c"].decode(),
            ident=ident.decode(),
            reached=_number(values, b"s", WHOLE, 1e15),
            caller=int(_number(values, b"f", WHOLE, 2.0**32)),
            tenant=None if tenant is None else tenant.decode(),
            wait=_number(values, b"d", PLAIN, 1e9) if b"d" in values else None,
            kb=kb,
            rank=_number(values, b"p", PLAIN, 1.0, 0.0),
            about=None if about is None else about.decode(),
            key=None if key is None else key.decode(),
            body=raw[at:],
        )
    except _Unfit as error:
        return Spoiled(stream, str(error))


def framed(kind: int, stream: int, payload: bytes) -> bytes:
    return HEAD.pack(5 + len(payload), kind, stream) + payload


def _packed(fields: dict[str, str]) -> bytes:
    out = bytearray([len(fields)])
    for name, value in fields.items():
        out.append(len(name))
        out += name.encode() + len(value).to_bytes(2, "little") + value.encode()
    return bytes(out)


def _figure(value: float) -> str:
    return f"{value:.4f}".rstrip("0").rstrip(".")


def _said(value: float | None) -> dict[str, str]:
    return {} if value is None else {"v": _figure(value)}


@lru_cache(16)
def _head(code: int, said: float | None) -> bytes:
    """How most answers begin: the value changes only now and then."""
    return bytes([code]) + _packed(_said(said))


def answer(
    stream: int, code: int, said: float | None, wait: float = 0.0, last: bool = False, body: bytes = b""
) -> bytes:
    if code != DENIED:
        return framed(ANSWER, stream, _head(code, said) + body)
    fields = _said(said)
    if wait > 0:
        fields["w"] = str(max(1, round(wait)))
    if last:
        fields["l"] = "1"
    return framed(ANSWER, stream, bytes([code]) + _packed(fields) + body)


def checked(stream: int, well: bool, said: float | None) -> bytes:
    return framed(CHECKED, stream, bytes([GOOD if well else BAD]) + _packed(_said(said)))


def error(said: float | None) -> bytes:
    """Tells of something wrong that belongs to no exchange."""
    return answer(0, TERMINATED, said)


def away() -> bytes:
    """No new exchange on this connection."""
    return framed(AWAY, 0, b"")
