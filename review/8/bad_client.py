"""A bad client: sends requests of a class that doesn't exist at full speed, and reads whatever it is sent.

bad_client.py HOST:PORT NUMBER SECONDS
"""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stage2"))

import stage

REQUESTS_PER_WRITE = 50


def read_all(sock: socket.socket) -> None:
    try:
        while sock.recv(65536):
            pass
    except OSError:
        pass


def main() -> None:
    host, port = sys.argv[1].split(":")
    number, until = int(sys.argv[2]), time.monotonic() + float(sys.argv[3])
    sent = 0
    while time.monotonic() < until:
        try:
            with socket.create_connection((host, int(port)), timeout=5) as sock:
                stage.in_thread(read_all, sock)
                stream = 0
                while time.monotonic() < until:
                    batch = b""
                    for _ in range(REQUESTS_PER_WRITE):
                        stream, sent = stream + 1, sent + 1
                        identifier = f"{number:08x}{sent:08x}"
                        fields = stage.request_fields("no-such-class", identifier, time.time(), number, 4000)
                        batch += stage.frame(10, stream, fields, b"x")
                    sock.sendall(batch)
        except OSError:
            time.sleep(0.02)


main()
