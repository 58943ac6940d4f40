"""Minimal example: stand-ins for the agent and the membership list, one backend, and a few exchanges.

    .venv/bin/python examples/toy.py

It runs the stand-ins on loopback, starts the backend with examples/backend.json, sends it a health check and
four exchanges, prints the answers and drains the backend with SIGTERM. It is not a benchmark.
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
EXCHANGE = 10
HEALTH_CHECK = 20
HEALTH = 21
ANSWER_NAMES = {0: "completed", 1: "denied", 2: "terminated"}


def listener(address: str) -> socket.socket:
    """Returns a socket that listens on HOST:PORT."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen()
    return sock


class Agent:
    """Runs exchanges: each run takes 0.1 s and returns the body in capitals."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.is_connected = Event()
        self.outcome_count = 0

    def run(self) -> None:
        """Serves the backend's commands on one connection."""
        connection, _ = self.sock.accept()
        file = connection.makefile("rb")
        while line := file.readline():
            match line.decode().split():
                case ["subscribe", _]:
                    connection.sendall(b"greeting LOADED 60000\r\n")
                    self.is_connected.set()
                case ["launch", exchange_id, group, length]:
                    body = file.read(int(length) + 2)[:-2]
                    print(f"agent:  runs {exchange_id} of {group}")
                    gevent.spawn_later(0.1, self.end, connection, exchange_id, "PASS", body.upper())
                case ["freeze", exchange_id]:
                    self.end(connection, exchange_id, "KILLED", b"")
                case ["sample", tag]:
                    connection.sendall(f"sampled {tag} 0.1 1 0.05 1\r\n".encode())

    def end(self, connection: socket.socket, exchange_id: str, end: str, result: bytes) -> None:
        """Reports the end of a run: PASS or KILLED."""
        self.outcome_count += 1
        head = f"outcome {self.outcome_count} {exchange_id} {end} 100 {len(result)}\r\n"
        connection.sendall(head.encode() + result + b"\r\n")


def serve_membership_list(sock: socket.socket) -> None:
    """Answers each report with 204 and prints changes of the backend's phase."""
    last = b""
    while True:
        connection, _ = sock.accept()
        while report := connection.recv(4096):
            phase = report.rsplit(b"\r\n", 1)[1]
            if phase != last:
                print(f"list:   {phase.decode()}")
            last = phase
            connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


def frame(kind: int, stream: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes one frame."""
    payload = bytes([len(fields)])
    for name, value in fields.items():
        payload += bytes([len(name)]) + name.encode() + struct.pack("<H", len(value)) + value.encode()
    return struct.pack("<IBI", 5 + len(payload) + len(body), kind, stream) + payload + body


def exchange(stream: int, group: str, timeout_ms: int, body: bytes) -> bytes:
    """Encodes an exchange."""
    fields = {"c": group, "i": f"{stream:016x}", "s": str(int(time.time() * 1000)), "f": "1"}
    return frame(EXCHANGE, stream, fields | {"d": str(timeout_ms), "m": "12.0", "p": "0.5"}, body)


def print_answers(connection: socket.socket, answers: int) -> None:
    """Reads and prints so many answers."""
    file = connection.makefile("rb")
    for _ in range(answers):
        payload = file.read(int.from_bytes(file.read(4), "little"))
        kind, stream = struct.unpack_from("<BI", payload)
        code, count = payload[5], payload[6]
        offset, fields = 7, []
        for _ in range(count):
            name = payload[offset + 1 : offset + 1 + payload[offset]].decode()
            offset += 1 + payload[offset]
            size = int.from_bytes(payload[offset : offset + 2], "little")
            fields.append(f"{name}={payload[offset + 2 : offset + 2 + size].decode()}")
            offset += 2 + size
        answer = ("not healthy" if code else "healthy") if kind == HEALTH else ANSWER_NAMES[code]
        print(f"caller: stream {stream} {answer} {' '.join(fields)} {payload[offset:].decode()}")


def main() -> None:
    """Runs the example."""
    configuration = json.loads((HERE / "backend.json").read_text())
    agent = Agent(listener(configuration["agent"]))
    gevent.spawn(agent.run)
    gevent.spawn(serve_membership_list, listener(configuration["members"]))
    command = [sys.executable, "-m", "myrtlecrank", "serve", str(HERE / "backend.json")]
    backend = subprocess.Popen(command, cwd=HERE.parent)
    try:
        agent.is_connected.wait(20)
        gevent.sleep(0.1)
        host, port = configuration["listen"].rsplit(":", 1)
        connection = socket.create_connection((host, int(port)), timeout=5)
        connection.sendall(frame(HEALTH_CHECK, 1, {}))
        connection.sendall(exchange(2, "page", 2000, b"first page") + exchange(3, "lookup", 2000, b"a word"))
        connection.sendall(
            exchange(4, "page", 1, b"too late to be of use") + exchange(5, "nonsense", 500, b"")
        )
        print_answers(connection, 5)
        backend.send_signal(signal.SIGTERM)
        connection.close()
        while backend.poll() is None:
            gevent.sleep(0.05)
        print(f"backend: ended with {backend.returncode}")
    finally:
        backend.kill()


if __name__ == "__main__":
    main()
