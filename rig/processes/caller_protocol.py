"""Frames of the callers' protocol as the stand-ins write and read them.

This is written from the protocol and shares nothing with the program's codec, so that an error in one cannot
hide in the other.
"""

from __future__ import annotations

import struct

HEADER = struct.Struct("<IBI")
EXCHANGE = 10
ANSWER = 11
HEALTH_CHECK = 20
HEALTH = 21
DRAIN = 30


def frame(kind: int, stream: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes one frame."""
    payload = bytes([len(fields)])
    for name, value in fields.items():
        payload += bytes([len(name)]) + name.encode() + struct.pack("<H", len(value)) + value.encode()
    return HEADER.pack(5 + len(payload) + len(body), kind, stream) + payload + body


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, int, int, dict[str, str], bytes]]:
        """Returns the frames completed by `data`: kind, stream, code, fields, body."""
        self.buffer += data
        found = []
        while len(self.buffer) >= 4:
            size = 4 + int.from_bytes(self.buffer[:4], "little")
            if len(self.buffer) < size:
                break
            found.append(_parse(bytes(self.buffer[:size])))
            del self.buffer[:size]
        return found


def _parse(data: bytes) -> tuple[int, int, int, dict[str, str], bytes]:
    _, kind, stream = HEADER.unpack_from(data)
    if kind == DRAIN:
        return kind, stream, 0, {}, b""
    code, count, offset, fields = data[9], data[10], 11, dict[str, str]()
    for _ in range(count):
        name = data[offset + 1 : offset + 1 + data[offset]].decode()
        offset += 1 + data[offset]
        size = int.from_bytes(data[offset : offset + 2], "little")
        fields[name] = data[offset + 2 : offset + 2 + size].decode()
        offset += 2 + size
    return kind, stream, code, fields, data[offset:]
