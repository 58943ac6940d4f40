"""Frames of the edge protocol: `length:4 type:1 stream:4 payload`, little-endian."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from myrtlecrank.frames.ring import Ring

HEAD = struct.Struct("<IBI")
SHORTEST, LONGEST = 5, 262_144
KEPT = 16_384  # longer frames are legal, but no exchange that can be run needs them
BODY, RESULT = 2048, 4096
OPEN_STREAMS = 32  # exchanges that one connection may carry at a time
ASK, ANSWER, CHECK, CHECKED, AWAY = 10, 11, 20, 21, 30
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
    body: bytes


@dataclass(slots=True)
class Check:
    """A health check."""

    stream: int


@dataclass(slots=True)
class Spoiled:
    """An exchange that cannot be read; the frames after it can."""

    stream: int
    why: str


class Broken(Exception):
    """What came is no frame: nothing more can be read on this connection."""


class _Unfit(Exception):
    pass


class Decoder:
    """Takes whole frames off a ring."""

    def __init__(self, ring: Ring) -> None:
        self.ring = ring
        self.skip, self.skipped = 0, Spoiled(0, "")

    def frames(self) -> Iterator[Ask | Check | Spoiled]:
        """The frames that have come; raises Broken where the bytes are none."""
        ring = self.ring
        while True:
            if self.skip:
                count = min(self.skip, len(ring))
                ring.skip(count)
                self.skip -= count
                if self.skip:
                    return
                yield self.skipped
            if len(ring) < HEAD.size:
                if len(ring) >= 4:
                    _length(int.from_bytes(ring.peek(4), "little"))
                return
            length, kind, stream = HEAD.unpack(ring.peek(HEAD.size))
            _length(length)
            _known(kind, stream)
            if length > KEPT:
                # Guards against many connections that each bring the longest frame: the memory would not do.
                if kind == CHECK:
                    raise Broken(f"a health check of {length} bytes")
                self.skip, self.skipped = 4 + length, Spoiled(stream, f"a frame of {length} bytes")
                continue
            if len(ring) < 4 + length:
                return
            raw = ring.take(4 + length)
            yield _check(stream, raw) if kind == CHECK else _ask(stream, raw)


def _length(length: int) -> None:
    if not SHORTEST <= length <= LONGEST:
        raise Broken(f"a frame of length {length}")


def _known(kind: int, stream: int) -> None:
    if kind not in (ASK, CHECK):
        raise Broken(f"a frame of type {kind}")
    if kind == ASK and stream == 0:
        raise Broken("an exchange on stream 0")


def _fields(raw: bytes) -> tuple[dict[str, str], int]:
    """The fields of a frame and where they end."""
    values: dict[str, str] = {}
    at = HEAD.size
    try:
        count = raw[at]
        at += 1
        for _ in range(count):
            size = raw[at]
            name = raw[at + 1 : at + 1 + size].decode()
            at += 1 + size
            size = raw[at] | raw[at + 1] << 8
            value = raw[at + 2 : at + 2 + size].decode()
            at += 2 + size
            if at > len(raw):
                raise _Unfit("fields longer than the frame")
            if name in values:
                raise _Unfit(f"the field {name!r} twice")
            values[name] = value
    except IndexError:
        raise _Unfit("fields longer than the frame") from None
    except UnicodeDecodeError:
        raise _Unfit("a field that is no text") from None
    return values, at


def _check(stream: int, raw: bytes) -> Check:
    try:
        _fields(raw)
    except _Unfit as error:
        raise Broken(f"a health check with {error}") from None
    return Check(stream)


def _number(values: dict[str, str], name: str, top: float, default: float | None = None) -> float:
    text = values.get(name)
    if text is None:
        if default is None:
            raise _Unfit(f"no field {name!r}")
        return default
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0.0 <= number < top:
        raise _Unfit(f"the field {name!r} that reads {text[:40]!r}")
    return number


def _ask(stream: int, raw: bytes) -> Ask | Spoiled:
    try:
        values, at = _fields(raw)
        ident = values.get("i", "")
        if len(ident) != 16 or not set(ident) <= set("0123456789abcdefABCDEF"):
            raise _Unfit(f"the field 'i' that reads {ident[:40]!r}")
        if "c" not in values:
            raise _Unfit("no field 'c'")
        if len(raw) - at > BODY:
            raise _Unfit(f"a body of {len(raw) - at} bytes")
        return Ask(
            stream,
            group=values["c"],
            ident=ident,
            reached=_number(values, "s", 1e15),
            caller=int(_number(values, "f", 2.0**32)),
            tenant=values.get("t"),
            wait=_number(values, "d", 1e12) if "d" in values else None,
            kb=_number(values, "m", 2000.0),
            rank=_number(values, "p", 1.0, 0.0),
            about=values.get("o"),
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


def answer(
    stream: int, code: int, said: float | None, wait: float = 0.0, last: bool = False, body: bytes = b""
) -> bytes:
    fields = _said(said)
    if code == DENIED and wait > 0:
        fields["w"] = str(max(1, round(wait)))
    if code == DENIED and last:
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
