"""The callers' frames as the stand-ins write and read them: made from the protocol, apart from the program's
codec, so that one cannot hide the other's mistakes."""

from __future__ import annotations

import struct

HEAD = struct.Struct("<IBI")
ASK, ANSWER, CHECK, CHECKED, AWAY = 10, 11, 20, 21, 30


def frame(kind: int, stream: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    payload = bytes([len(fields)])
    for name, value in fields.items():
        payload += bytes([len(name)]) + name.encode() + struct.pack("<H", len(value)) + value.encode()
    return HEAD.pack(5 + len(payload) + len(body), kind, stream) + payload + body


class Reader:
    """Takes bytes in and gives whole frames out: kind, stream, code, fields, body."""

    def __init__(self) -> None:
        self.raw = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, int, int, dict[str, str], bytes]]:
        self.raw += data
        found = []
        while len(self.raw) >= 4:
            size = 4 + int.from_bytes(self.raw[:4], "little")
            if len(self.raw) < size:
                break
            found.append(_read(bytes(self.raw[:size])))
            del self.raw[:size]
        return found


def _read(raw: bytes) -> tuple[int, int, int, dict[str, str], bytes]:
    _, kind, stream = HEAD.unpack_from(raw)
    if kind == AWAY:
        return kind, stream, 0, {}, b""
    code, count, at, fields = raw[9], raw[10], 11, dict[str, str]()
    for _ in range(count):
        name = raw[at + 1 : at + 1 + raw[at]].decode()
        at += 1 + raw[at]
        size = int.from_bytes(raw[at : at + 2], "little")
        fields[name] = raw[at + 2 : at + 2 + size].decode()
        at += 2 + size
    return kind, stream, code, fields, raw[at:]
