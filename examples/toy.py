"""A first look: stand-ins for the agent and the membership list, one backend, and a few exchanges by hand.

    .venv/bin/python examples/toy.py

It plays the agent and the list on loopback, starts the backend by examples/backend.json, sends it a health
check and four exchanges, prints what comes back and gives the notice to leave. It is no measure of anything.
"""

from __future__ import annotations

import json
import signal
import struct
import subprocess
import sys
import time
from pathlib import Path

import gevent
from gevent import socket
from gevent.event import Event

HERE = Path(__file__).parent
CODES = {0: "completed", 1: "denied", 2: "terminated"}


def listener(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen()
    return sock


class Agent:
    """Does the work: a run takes a tenth of a second and gives the body back in capitals."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.up, self.notices = sock, Event(), 0

    def run(self) -> None:
        link, _ = self.sock.accept()
        file = link.makefile("rb")
        while line := file.readline():
            match line.decode().split():
                case ["subscribe", _]:
                    link.sendall(b"greeting LOADED 60000\r\n")
                    self.up.set()
                case ["launch", exchange_id, group, length]:
                    body = file.read(int(length) + 2)[:-2]
                    print(f"agent:  runs {exchange_id} of {group}")
                    gevent.spawn_later(0.1, self.end, link, exchange_id, "PASS", body.upper())
                case ["freeze", exchange_id]:
                    self.end(link, exchange_id, "KILLED", b"")
                case ["sample", tag]:
                    link.sendall(f"sampled {tag} 0.1 1 0.05 1\r\n".encode())

    def end(self, link: socket.socket, exchange_id: str, end: str, result: bytes) -> None:
        self.notices += 1
        head = f"outcome {self.notices} {exchange_id} {end} 100 {len(result)}\r\n"
        link.sendall(head.encode() + result + b"\r\n")


def play_list(sock: socket.socket) -> None:
    """Answers each report with 204 and prints what changed."""
    last = b""
    while True:
        link, _ = sock.accept()
        while report := link.recv(4096):
            phase = report.rsplit(b"\r\n", 1)[1]
            if phase != last:
                print(f"list:   {phase.decode()}")
            last = phase
            link.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


def frame(kind: int, stream: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    payload = bytes([len(fields)])
    for name, value in fields.items():
        payload += bytes([len(name)]) + name.encode() + struct.pack("<H", len(value)) + value.encode()
    return struct.pack("<IBI", 5 + len(payload) + len(body), kind, stream) + payload + body


def exchange(stream: int, group: str, wait: int, body: bytes) -> bytes:
    fields = {"c": group, "i": f"{stream:016x}", "s": str(int(time.time() * 1000)), "f": "1"}
    return frame(10, stream, fields | {"d": str(wait), "m": "12.0", "p": "0.5"}, body)


def show(link: socket.socket, answers: int) -> None:
    file = link.makefile("rb")
    for _ in range(answers):
        raw = file.read(int.from_bytes(file.read(4), "little"))
        kind, stream = struct.unpack_from("<BI", raw)
        code, count, at, fields = raw[5], raw[6], 7, []
        for _ in range(count):
            name = raw[at + 1 : at + 1 + raw[at]].decode()
            at += 1 + raw[at]
            size = int.from_bytes(raw[at : at + 2], "little")
            fields.append(f"{name}={raw[at + 2 : at + 2 + size].decode()}")
            at += 2 + size
        what = "healthy" if kind == 21 and not code else "not healthy" if kind == 21 else CODES[code]
        print(f"caller: stream {stream} {what} {' '.join(fields)} {raw[at:].decode()}")


def main() -> None:
    told = json.loads((HERE / "backend.json").read_text())
    agent = Agent(listener(told["agent"]))
    gevent.spawn(agent.run)
    gevent.spawn(play_list, listener(told["members"]))
    command = [sys.executable, "-m", "myrtlecrank", "serve", str(HERE / "backend.json")]
    backend = subprocess.Popen(command, cwd=HERE.parent)
    try:
        agent.up.wait(20)
        gevent.sleep(0.1)
        host, port = told["listen"].rsplit(":", 1)
        link = socket.create_connection((host, int(port)), timeout=5)
        link.sendall(frame(20, 1, {}))
        link.sendall(exchange(2, "page", 2000, b"first page") + exchange(3, "lookup", 2000, b"a word"))
        link.sendall(exchange(4, "page", 1, b"too late to be of use") + exchange(5, "nonsense", 500, b""))
        show(link, 5)
        backend.send_signal(signal.SIGTERM)
        link.close()
        while backend.poll() is None:
            gevent.sleep(0.05)
        print(f"backend: ended with {backend.returncode}")
    finally:
        backend.kill()


if __name__ == "__main__":
    main()
