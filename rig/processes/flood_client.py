"""A client that floods one backend: it sends as fast as the backend reads, and reads whatever it is sent.

python -m rig.processes.flood_client ADDRESS KIND SECONDS SEED [CONNECTIONS]"""

from __future__ import annotations

import random
import struct
import sys
import time
from collections.abc import Callable
from functools import partial

import gevent
from gevent import socket

from rig.processes.caller_protocol import frame

FRAMES_PER_WRITE = 50
MAX_FIELDS = 255
LARGE_SUBJECT_BYTES = 14_000
LARGE_FRAME_BYTES = 262_144
LONGEST_BUFFERED_BYTES = 16_384
MISSING_BYTES = 100
PART_OF_LARGE_FRAME_BYTES = 200_000
SLOW_WRITE_BYTES = 2048
SLOW_WRITE_PAUSE_S = 0.02
RECONNECT_PAUSE_S = 0.02
CONNECT_TIMEOUT_S = 5.0
WAIT_MS = 2500
REQUEST = 10
HEALTH_CHECK = 20
UNKNOWN_TYPE = 77

Build = Callable[[random.Random, int], bytes]


def fields_of(seeded: random.Random, **changes: str | None) -> dict[str, str]:
    """The fields of a sound request under an identifier that the agent doesn't know."""
    values: dict[str, str | None] = {
        "c": "page",
        "i": f"{seeded.getrandbits(64):016x}",
        "s": str(int(time.time() * 1000)),
        "f": "9000",
        "d": str(WAIT_MS),
        "m": "24.5",
        "p": "0.5",
    }
    return {name: value for name, value in (values | changes).items() if value is not None}


def request(seeded: random.Random, stream: int, **changes: str | None) -> bytes:
    """A request whose fields are those of `fields_of`, with `changes`."""
    return frame(REQUEST, stream, fields_of(seeded, **changes), b"x")


def many_fields(seeded: random.Random, stream: int) -> bytes:
    """A sound request with as many fields as a frame can hold."""
    fields = fields_of(seeded)
    fields |= {f"x{number}": "1" for number in range(MAX_FIELDS - len(fields))}
    return frame(REQUEST, stream, fields, b"x")


def word(seeded: random.Random) -> str:
    """A name that was never sent before."""
    return f"w{seeded.getrandbits(64):x}"


# What each kind sends again and again, by the number of the stream.
KINDS: dict[str, Build] = {
    "unknown-group": lambda seeded, stream: request(seeded, stream, c="no-such-group"),
    "new-group": lambda seeded, stream: request(seeded, stream, c=word(seeded)),
    "new-tenant": lambda seeded, stream: request(seeded, stream, t=word(seeded)),
    "new-caller": lambda seeded, stream: request(seeded, stream, f=str(seeded.getrandbits(31))),
    "new-field": lambda seeded, stream: request(seeded, stream, **{word(seeded): "1"}),
    "one-identifier": lambda seeded, stream: request(seeded, stream, i="00000000deadbeef"),
    "unknown-identifiers": lambda seeded, stream: request(seeded, stream),
    "no-identifier": lambda seeded, stream: request(seeded, stream, i=None),
    "negative-figure": lambda seeded, stream: request(seeded, stream, m="-1"),
    "health-checks": lambda seeded, stream: frame(HEALTH_CHECK, stream, {}),
    "unknown-type": lambda seeded, stream: frame(UNKNOWN_TYPE, stream, {}),
    "many-fields": many_fields,
    "large-subject": lambda seeded, stream: request(seeded, stream, o="s" * LARGE_SUBJECT_BYTES),
    "large-tenant": lambda seeded, stream: request(seeded, stream, t="t" * LARGE_SUBJECT_BYTES),
}
# A new connection for each request: closed once answered, or reset at once.
RECONNECTING_KINDS = ("reconnect", "reset")
SILENT_KINDS = ("silent", "half-frame", "slow-frame", "half-large-request")
DEAF_KINDS = ("deaf-health-checks", "deaf-unknown-group")  # they read nothing of what they are sent


def _read_all(sock: socket.socket) -> None:
    try:
        while sock.recv(65536):
            pass
    except OSError:
        pass


def _send_frames(sock: socket.socket, kind: str, seeded: random.Random, until: float) -> None:
    stream = 0
    while time.monotonic() < until:
        batch = b"".join(KINDS[kind](seeded, stream + number + 1) for number in range(FRAMES_PER_WRITE))
        stream += FRAMES_PER_WRITE
        sock.sendall(batch)


def _send_one_request(sock: socket.socket, kind: str, seeded: random.Random) -> None:
    sock.sendall(request(seeded, 1, c="no-such-group"))
    if kind == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    else:
        sock.recv(65536)


def _send_part_of_a_frame(sock: socket.socket, kind: str, until: float) -> None:
    """Sends part of a frame of the greatest length: at once and then nothing more, or slowly."""
    length = LONGEST_BUFFERED_BYTES if kind == "half-large-request" else LARGE_FRAME_BYTES
    raw = length.to_bytes(4, "little") + bytes([REQUEST]) + (1).to_bytes(4, "little")
    raw += bytes(min(length - MISSING_BYTES, PART_OF_LARGE_FRAME_BYTES))
    if kind not in ("slow-frame", "silent"):
        sock.sendall(raw)
    at = 0
    while time.monotonic() < until:
        if kind == "slow-frame" and at < len(raw):
            sock.sendall(raw[at : at + SLOW_WRITE_BYTES])
            at += SLOW_WRITE_BYTES
        gevent.sleep(SLOW_WRITE_PAUSE_S)


def flood(address: tuple[str, int], kind: str, until: float, seed: int) -> None:
    """Floods over one connection after another until the time is over."""
    seeded = random.Random(seed)
    while time.monotonic() < until:
        try:
            with socket.create_connection(address, timeout=CONNECT_TIMEOUT_S) as sock:
                sock.settimeout(None)
                if kind in RECONNECTING_KINDS:
                    _send_one_request(sock, kind, seeded)
                    continue
                if kind in DEAF_KINDS:
                    _send_frames(sock, kind.removeprefix("deaf-"), seeded, until)
                    continue
                reader = gevent.spawn(_read_all, sock)
                if kind in SILENT_KINDS:
                    _send_part_of_a_frame(sock, kind, until)
                else:
                    _send_frames(sock, kind, seeded, until)
                reader.kill()
        except OSError:
            gevent.sleep(RECONNECT_PAUSE_S)


def main(address: str, kind: str, seconds: str, seed: str, connections: str = "1") -> None:
    """Runs the floods of one process side by side."""
    host, _, port = address.partition(":")
    until = time.monotonic() + float(seconds)
    run = partial(flood, (host, int(port)), kind, until)
    gevent.joinall([gevent.spawn(run, int(seed) * 1000 + number) for number in range(int(connections))])


if __name__ == "__main__":
    main(*sys.argv[1:])
