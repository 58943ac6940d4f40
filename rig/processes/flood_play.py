"""What floods of bad clients do to the requests of one edge node.

A real backend, an idle agent, one edge node with requests at even intervals, and flooding clients."""

from __future__ import annotations

import itertools
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
from gevent import socket

from rig.processes.backend_process import ROOT, free_address
from rig.processes.caller_protocol import FrameReader, frame

INTERVAL_S = 1 / 30
WAIT_MS = 700
RUN_S = 0.02
LATE_MS = WAIT_MS + 60.0 + 50.0  # a final answer may come so long after the request
START_TIMEOUT_S = 30.0
COMPLETED = 0
REQUEST = 10
ANSWER = 11
GO_AWAY = 30
SETTINGS: dict[str, Any] = {
    "categories": [
        {"name": "page", "effect": "read_like", "aim": 600_000, "deadline": 1_500_000, "worth": 1.0}
    ],
    "domain": {
        "cores": 4,
        "memoryKb": 200_000.0,
        "blowup": 8.0,
        "halt": "drop",
        "signal": "tokens",
        "heeded": 1_000_000,
        "idle": 20_000_000,
        "passesDeadline": True,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
    },
    "guarantees": {
        "fallMultiple": 6.0,
        "fall": 2_000_000,
        "coldFrom": 0.2,
        "warmWithin": 18_000_000,
        "stopSendingWithin": 1_800_000,
        "answerSlack": 60_000,
    },
    "bounds": {"retryAfter": True, "maxRetryAfter": 1_000_000},
    "granularity": 4000,
    "replicasOfMe": 3,
}


def _listener() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(128)
    return sock


def _accept(listener: socket.socket, serve: Any) -> None:
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        gevent.spawn(serve, connection)


class Agent:
    """An agent with idle cores that runs what the edge node sent and refuses all else."""

    def __init__(self, run_s: float = RUN_S) -> None:
        self.run_s = run_s
        self.known: set[str] = set()
        self.started: list[str] = []
        self.running: set[str] = set()
        self.notices = 0
        self.listener = _listener()
        gevent.spawn(_accept, self.listener, self._serve)

    def _serve(self, connection: socket.socket) -> None:
        try:
            self._read_commands(connection)
        except (OSError, ValueError):
            connection.close()

    def _read_commands(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        while line := file.readline():
            words = line.decode().split()
            if words[0] == "launch":
                file.read(int(words[3]) + 2)
                self._launch(connection, words[1])
            elif words[0] == "subscribe":
                connection.sendall(b"greeting LOADED 600000\r\n")
            elif words[0] == "sample":
                connection.sendall(b"sampled %b 0.1 %d 0.1 4\r\n" % (words[1].encode(), len(self.running)))
            else:
                self._end(connection, words[1], "KILLED")

    def _launch(self, connection: socket.socket, identifier: str) -> None:
        if identifier not in self.known:
            connection.sendall(b"refusal launch %b\r\n" % identifier.encode())
        elif identifier not in self.running:
            self.started.append(identifier)
            self.running.add(identifier)
            gevent.spawn_later(self.run_s, self._end, connection, identifier, "PASS")

    def _end(self, connection: socket.socket, identifier: str, end: str) -> None:
        if identifier in self.running:
            self.running.remove(identifier)
            self.notices += 1
            notice = f"outcome {self.notices} {identifier} {end} {self.run_s * 1000:.0f} 2\r\nok\r\n"
            connection.sendall(notice.encode())


def _serve_membership_list(connection: socket.socket) -> None:
    received = b""
    while data := connection.recv(4096):
        received += data
        while b'"}' in received:
            received = received.split(b'"}', 1)[1]
            connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


@dataclass
class EdgeNodeResult:
    """How the requests of the edge node fared; times in ms."""

    sent: int = 0
    completed: int = 0
    delays: list[float] = field(default_factory=list)

    @property
    def late(self) -> int:
        """Requests without a final answer in their time."""
        return self.sent - sum(delay <= LATE_MS for delay in self.delays)

    @property
    def median_ms(self) -> float:
        """The middle of the delays."""
        return statistics.median(self.delays)


class EdgeNodeConnection:
    """One connection of the edge node, and the requests on it."""

    def __init__(self, address: tuple[str, int], result: EdgeNodeResult) -> None:
        self.result = result
        self.sent_at: list[float] = []  # by stream, from 1 up
        self.was_told_away = False
        self.sock = socket.create_connection(address, timeout=5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(None)
        self.reader = gevent.spawn(self._read_answers)

    def send(self, identifier: str) -> None:
        """Sends a request."""
        self.sent_at.append(time.monotonic())
        fields = {"c": "page", "i": identifier, "s": str(int(time.time() * 1000)), "f": "1"}
        fields |= {"d": str(WAIT_MS), "m": "24.5", "p": "0.5"}
        try:
            self.sock.sendall(frame(REQUEST, len(self.sent_at), fields, b"page"))
        except OSError:
            self.was_told_away = True

    def _read_answers(self) -> None:
        frames = FrameReader()
        try:
            while data := self.sock.recv(65536):
                self._handle(frames.feed(data))
        except OSError:
            pass
        self.was_told_away = True

    def _handle(self, found: list[tuple[int, int, int, dict[str, str], bytes]]) -> None:
        for kind, stream, code, _, _ in found:
            if kind == ANSWER:
                self.result.delays.append((time.monotonic() - self.sent_at[stream - 1]) * 1000.0)
                self.result.completed += code == COMPLETED
            self.was_told_away |= kind == GO_AWAY

    def close(self) -> None:
        """Closes the connection."""
        self.reader.kill()
        self.sock.close()


class Backend:
    """A `myrtlecrank serve` process with its agent and its membership list."""

    def __init__(
        self, folder: Path, sockets: int = 512, memory_mb: int = 192, settings: dict[str, Any] | None = None
    ) -> None:
        self.agent = Agent()
        self.membership_list = _listener()
        gevent.spawn(_accept, self.membership_list, _serve_membership_list)
        self.address = free_address(7)
        self.log = folder / "backend.log"
        configuration = {
            "name": "b1",
            "listen": "{}:{}".format(*self.address),
            "agent": "{}:{}".format(*self.agent.listener.getsockname()),
            "members": "{}:{}".format(*self.membership_list.getsockname()),
            "seed": "1f",
            "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "settings": SETTINGS | (settings or {}),
        }
        (folder / "backend.json").write_text(json.dumps(configuration))
        (folder / "operators.toml").write_text((ROOT / "deploy" / "operators.toml").read_text())
        environment = os.environ | {
            "PROXY_CONFIG": str(folder / "backend.json"),
            "MYRTLECRANK_OPERATORS": str(folder / "operators.toml"),
        }
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "myrtlecrank", "serve"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.run_numbers = itertools.count(1)
        self.floods: list[subprocess.Popen[bytes]] = []
        self._wait_until_up()

    def _wait_until_up(self) -> None:
        until = time.monotonic() + START_TIMEOUT_S
        while "the machine is up" not in self.log.read_text():
            if time.monotonic() > until or self.process.poll() is not None:
                raise RuntimeError(f"the backend does not start: {self.log.read_text()[-500:]}")
            gevent.sleep(0.02)

    def flood(self, kind: str, clients: int, seconds: float, seed: int, connections: int = 1) -> None:
        """Starts flooding clients, each a process of its own with so many connections."""
        address = "{}:{}".format(*self.address)
        for number in range(clients):
            arguments = [address, kind, f"{seconds:g}", str(seed + number), str(connections)]
            command = [sys.executable, "-m", "rig.processes.flood_client", *arguments]
            self.floods.append(subprocess.Popen(command, cwd=ROOT))

    def run_edge_node(self, seconds: float) -> EdgeNodeResult:
        """Sends requests at even intervals and waits for their answers."""
        result = EdgeNodeResult()
        run_number = next(self.run_numbers)
        connections = [EdgeNodeConnection(self.address, result)]
        began = time.monotonic()
        while (due := began + result.sent * INTERVAL_S) < began + seconds:
            gevent.sleep(max(0.0, due - time.monotonic()))
            if connections[-1].was_told_away:
                connections.append(EdgeNodeConnection(self.address, result))
            result.sent += 1
            identifier = f"{run_number:08x}{result.sent:08x}"
            self.agent.known.add(identifier)
            connections[-1].send(identifier)
        gevent.sleep(LATE_MS / 1000.0)
        for connection in connections:
            connection.close()
        return result

    def peak_memory_mb(self) -> float:
        """The most memory that the process has held so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024.0

    def close(self) -> None:
        """Ends the floods and the process."""
        for flood in self.floods:
            flood.kill()
            flood.wait()
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.agent.listener.close()
        self.membership_list.close()


def main(kind: str, clients: str = "1", seconds: str = "8", connections: str = "1") -> None:
    """Prints what one kind of flood does: `flood_play KIND [CLIENTS [SECONDS [CONNECTIONS]]]`."""
    with tempfile.TemporaryDirectory() as folder:
        backend = Backend(Path(folder))
        try:
            if int(clients):
                backend.flood(kind, int(clients), float(seconds) + 4.0, 1, int(connections))
                gevent.sleep(1.0)
            result = backend.run_edge_node(float(seconds))
            print(
                f"{kind} x{clients}x{connections}: late {result.late} of {result.sent}, not completed "
                f"{result.sent - result.completed}, median {result.median_ms:.0f} ms, longest "
                f"{max(result.delays):.0f} ms, memory {backend.peak_memory_mb():.0f} MB, log lines "
                f"{len(backend.log.read_text().splitlines())}",
                flush=True,
            )
        except OSError as error:
            print(f"{kind}: {error}, exit code {backend.process.poll()}\n{backend.log.read_text()[-2000:]}")
        finally:
            backend.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
