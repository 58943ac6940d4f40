"""Stand-ins of the platform and helpers that cases 6 to 10 share. Standard library only; loopback only."""

from __future__ import annotations

import json
import os
import queue
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


class CouldNotRun(Exception):
    """The case could not be brought to the point where the rule is judged."""


def listener(backlog: int = 128) -> socket.socket:
    sock = socket.socket()
    sock.bind((HOST, 0))
    sock.listen(backlog)
    return sock


def address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return address(sock)


def in_thread(work: Callable[..., object], *arguments: object) -> threading.Thread:
    thread = threading.Thread(target=work, args=arguments, daemon=True)
    thread.start()
    return thread


def accept_all(sock: socket.socket, serve: Callable[[socket.socket], None]) -> None:
    """Serves each connection of a listener in a thread of its own, until the listener is closed."""

    def run(connection: socket.socket) -> None:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            serve(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def accept() -> None:
        while True:
            try:
                connection, _ = sock.accept()
            except OSError:
                return
            in_thread(run, connection)

    in_thread(accept)


class Record:
    """What was sent, answered and run, with times in seconds since the start; written at the end."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.lines: list[str] = []
        self.began_at = time.monotonic()
        self.lock = threading.Lock()

    def now(self) -> float:
        return time.monotonic() - self.began_at

    def add(self, text: str) -> None:
        with self.lock:
            self.lines.append(f"{self.now():8.3f} {text}")

    def write(self) -> None:
        with self.lock:
            self.path.write_text("\n".join(self.lines) + "\n")


class MembershipList:
    """Answers each report with 204."""

    def __init__(self) -> None:
        self.listener = listener()
        accept_all(self.listener, self._serve)

    @staticmethod
    def _serve(connection: socket.socket) -> None:
        received = b""
        while data := connection.recv(4096):
            received += data
            while b'"}' in received:
                received = received.split(b'"}', 1)[1]
                connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


class IdleAgent:
    """An agent whose machine is idle: it greets, gives its gauges and runs nothing."""

    def __init__(self, state: str = "LOADED", up_ms: int = 600_000) -> None:
        self.state, self.up_ms = state, up_ms
        self.born = time.monotonic()
        self.listener = listener()
        self.link: socket.socket | None = None
        accept_all(self.listener, self._serve)

    def _serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        for line in file:
            words = line.decode().split()
            if words[0] == "subscribe":
                self.link = connection
                up_ms = self.up_ms + int((time.monotonic() - self.born) * 1000)
                connection.sendall(f"greeting {self.state} {up_ms}\r\n".encode())
            elif words[0] == "sample":
                connection.sendall(f"sampled {words[1]} 0.01 0 0.1 1\r\n".encode())

    def break_link(self) -> None:
        """Ends the link; the backend may open another at once."""
        link, self.link = self.link, None
        if link is not None:
            link.shutdown(socket.SHUT_RDWR)


class Receiver:
    """Takes the steps of duties, as docs/operations/fleet.md asks of a receiver: refuses an older epoch,
    answers a step that it has without doing it again. `on_offer` is told each offer and its answer."""

    def __init__(self, on_offer: Callable[[dict[str, Any], bool], None]) -> None:
        self.on_offer = on_offer
        self.lock = threading.Lock()
        self.epochs: dict[str, int] = {}
        self.steps: dict[str, int] = {}
        self.listener = listener()
        accept_all(self.listener, self._serve)

    def _serve(self, connection: socket.socket) -> None:
        for line in connection.makefile("rb"):
            connection.sendall(json.dumps({"taken": self.take(json.loads(line))}).encode() + b"\n")

    def take(self, offer: dict[str, Any]) -> bool:
        duty, epoch, step = offer["duty"], offer["epoch"], offer["step"]
        with self.lock:
            taken = epoch >= self.epochs.get(duty, 0)
            if taken:
                self.epochs[duty] = epoch
                self.steps[duty] = max(step, self.steps.get(duty, 0))
            self.on_offer(offer, taken)
        return taken


def frame(kind: int, stream: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    payload = bytes([len(fields)])
    for name, value in fields.items():
        payload += bytes([len(name)]) + name.encode() + struct.pack("<H", len(value)) + value.encode()
    payload += body
    return struct.pack("<IBI", 5 + len(payload), kind, stream) + payload


class Stage:
    """A temporary folder, the started processes, and the end of both."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def environment(self, name: str) -> dict[str, str]:
        return {
            **os.environ,
            "PROXY_NAME": name,
            "PROXY_CONFIG": str(self.folder / f"{name}.json"),
            "MYRTLECRANK_OPERATORS": str(self.folder / f"{name}.toml"),
        }

    def start(self, name: str, descriptors: int | None = None) -> subprocess.Popen[bytes]:
        """Starts a backend by the deploy file's line `run`. `descriptors`: the platform's limit on them."""

        limit = "" if descriptors is None else f"ulimit -n {descriptors}; "
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115 - the process writes to it
        process = subprocess.Popen(
            ["/bin/sh", "-c", limit + RUN_COMMAND],
            cwd=ROOT,
            env=self.environment(name),
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes[name] = process
        self.record.add(f"started {name}")
        return process

    def command(self, name: str, *words: str, timeout: float = 40.0) -> subprocess.CompletedProcess[str]:
        """Runs a command of the program's command line with the operators' file of a member."""
        return subprocess.run(
            [str(ROOT / ".venv" / "bin" / "python"), "-m", "myrtlecrank", *words],
            cwd=ROOT,
            env=self.environment(name),
            capture_output=True,
            text=True,
            timeout=timeout,
        )

    def signal(self, name: str, number: int) -> None:
        process = self.processes[name]
        if process.poll() is None:
            self.record.add(f"{signal.Signals(number).name} to {name}")
            process.send_signal(number)

    def log(self, name: str) -> str:
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def wait(self, what: str, condition: Callable[[], bool], seconds: float) -> None:
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CouldNotRun(f"{what}: not within {seconds:g} s")
            time.sleep(0.02)

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for name in self.processes:
            for line in self.log(name).splitlines()[-60:]:
                self.record.lines.append(f"log of {name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder: Path, play: Callable[[Stage], int]) -> None:
    """Plays a case and exits with its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    stage = Stage(folder)
    result = COULD_NOT_RUN
    try:
        result = play(stage)
    except (CouldNotRun, OSError, subprocess.SubprocessError, ValueError) as error:
        stage.record.add(f"could not run: {type(error).__name__}: {error}")
    finally:
        stage.close()
        words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
        stage.record.add(f"result: {words[result]} (TROUBLE={int(TROUBLE)})")
        stage.record.write()
    print(stage.record.lines[-1].strip())
    sys.exit(result)


def fleet_file(
    members: dict[str, str], voters: list[str], folder: Path, duties: dict[str, str], **options: object
) -> str:
    """An operators' file with a fleet: addresses by member, and receivers' addresses by duty."""
    values: dict[str, object] = {
        "on": True,
        "name": "review",
        "folder": str(folder),
        "voters": voters,
        "lease_ms": 2000,
        "drift": 0.01,
        "reply_ms": 250,
        "probe_ms": 500,
        "probe_reply_ms": 150,
        "suspect_ms": 1500,
        "even_ms": 3000,
    } | options
    lines = ["[fleet]", *(f"{name} = {json.dumps(value)}" for name, value in values.items())]
    for name, at in members.items():
        lines += [f"[fleet.members.{name}]", f'at = "{at}"', f'zone = "z-{name}"']
    for name, to in duties.items():
        lines += [f"[fleet.duties.{name}]", f'to = "{to}"', "every_ms = 200", "deadline_ms = 400"]
    return "\n".join(lines) + "\n"


def configuration(name: str, listen: str, agent: str, members: str, sockets: int = 256) -> dict[str, Any]:
    """A backend of a small site with one repeatable endpoint group; times in microseconds."""
    return {
        "name": name,
        "listen": listen,
        "agent": agent,
        "members": members,
        "seed": f"{sum(name.encode()):016x}",
        "stop_ms": 3000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": {
            "categories": [
                {"name": "page", "effect": "read_like", "aim": 1_000_000, "deadline": 4_000_000, "worth": 1.0}
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
        },
    }


class WorkingAgent:
    """An agent that runs what the edge nodes sent to this process and refuses all else, as PROTOCOL.md says.

    `expect` names a request and how long its run takes; `close_request` tells that it was answered or given
    up: a launch of it starts nothing from then on."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.listener = listener()
        self.lock = threading.RLock()
        self.link: socket.socket | None = None
        self.known: dict[str, tuple[str, bytes, float]] = {}
        self.over: set[str] = set()
        self.runs: dict[str, int] = {}  # identifier to the number of its present run
        self.started: list[tuple[float, str]] = []
        self.notices: list[bytes] = []
        self.other_work = 0.0  # reading, checks and new connections on the cores
        accept_all(self.listener, self._serve)

    def expect(self, identifier: str, group: str, body: bytes, run_s: float) -> None:
        with self.lock:
            self.known[identifier] = (group, body, run_s)

    def close_request(self, identifier: str) -> None:
        with self.lock:
            self.over.add(identifier)

    def _send(self, raw: bytes) -> None:
        if self.link is not None:
            try:
                self.link.sendall(raw)
            except OSError:
                self.link = None

    def _notify(self, text: str, result: bytes) -> None:
        head = f"outcome {len(self.notices) + 1} {text} {len(result)}\r\n"
        self.notices.append(head.encode() + result + b"\r\n")
        self._send(self.notices[-1])

    def _serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        while line := file.readline():
            words = line.decode().split()
            body = file.read(int(words[3]) + 2)[:-2] if words[0] == "launch" else b""
            with self.lock:
                match words:
                    case ["subscribe", number]:
                        self.link = connection
                        self._send(b"greeting LOADED 600000\r\n" + b"".join(self.notices[int(number) :]))
                    case ["sample", tag]:
                        on_cores = len(self.runs) + self.other_work
                        self._send(f"sampled {tag} 0.99 {on_cores:.1f} 0.2 4\r\n".encode())
                    case ["launch", identifier, group, _]:
                        self._launch(identifier, group, body)
                    case ["freeze", identifier]:
                        self._freeze(identifier)

    def _launch(self, identifier: str, group: str, body: bytes) -> None:
        known = self.known.get(identifier)
        if known is None or known[:2] != (group, body):
            self.record.add(f"agent: launch {identifier} refused, no such request came")
            self._send(f"refusal launch {identifier}\r\n".encode())
        elif identifier in self.runs:
            pass
        elif identifier in self.over:
            self.record.add(f"agent: launch {identifier}, nothing started as it is over")
            self._notify(f"{identifier} NOOP 0", b"")
        else:
            self.record.add(f"agent: run of {identifier} starts")
            self.started.append((time.time(), identifier))
            self.runs[identifier] = len(self.started)
            timer = threading.Timer(known[2], self._end, (identifier, len(self.started), "PASS", known[2]))
            timer.daemon = True
            timer.start()

    def _end(self, identifier: str, run: int, end: str, took_s: float) -> None:
        with self.lock:
            if self.runs.get(identifier) == run:
                del self.runs[identifier]
                self.record.add(f"agent: run of {identifier} ends with {end}")
                result = f"result of {identifier}".encode() if end == "PASS" else b""
                self._notify(f"{identifier} {end} {took_s * 1000:.0f}", result)

    def _freeze(self, identifier: str) -> None:
        if identifier in self.runs:
            self._end(identifier, self.runs[identifier], "KILLED", 0.0)
        else:
            self._send(f"refusal freeze {identifier}\r\n".encode())


CODES = {0: "served", 1: "refused", 2: "failed"}


class Caller:
    """One connection of an edge node or of another client. `answers` holds, for each stream, when its answer
    came (seconds since 1970), its code and its body."""

    def __init__(self, record: Record, name: str, listen: str) -> None:
        self.record, self.name = record, name
        host, port = listen.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.answers: dict[int, tuple[float, int, bytes]] = {}
        self.twice: list[int] = []
        self.told_away = self.ended = False
        in_thread(self._read)

    def send(self, stream: int, fields: dict[str, str], body: bytes) -> None:
        what = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.add(f"{self.name}: request on stream {stream}: {what} body {body!r}")
        self.sock.sendall(frame(10, stream, fields, body))

    def _read(self) -> None:
        received = b""
        try:
            while data := self.sock.recv(65536):
                received += data
                while len(received) >= 4 and len(received) >= 4 + int.from_bytes(received[:4], "little"):
                    end = 4 + int.from_bytes(received[:4], "little")
                    self._frame(received[:end])
                    received = received[end:]
        except OSError:
            pass
        self.ended = True
        self.record.add(f"{self.name}: the connection has ended")

    def _frame(self, raw: bytes) -> None:
        kind, stream = raw[4], int.from_bytes(raw[5:9], "little")
        if kind == 30:
            self.told_away = True
            self.record.add(f"{self.name}: told to send nothing new")
        elif kind == 11:
            code, count, at = raw[9], raw[10], 11
            for _ in range(count):
                at += 1 + raw[at]
                at += 2 + int.from_bytes(raw[at : at + 2], "little")
            if stream in self.answers:
                self.twice.append(stream)
            self.answers[stream] = (time.time(), code, raw[at:])
            self.record.add(f"{self.name}: answer on stream {stream}: {CODES[code]} {raw[at:]!r}")


def request_fields(
    group: str, identifier: str, sent_at: float, caller: int, wait_ms: int, **more: str
) -> dict[str, str]:
    """The fields of a request; `sent_at`: when it came to the machine, in seconds since 1970."""
    return {
        "c": group,
        "i": identifier,
        "s": str(int(sent_at * 1000)),
        "f": str(caller),
        "d": str(wait_ms),
        "m": "24.5",
        "p": "0.5",
        **more,
    }


class DelayProxy:
    """Takes the place of one address and delays all bytes by `delay_s`, in both directions. `on_forward` is
    told the bytes of the connecting side right after they were passed on. Nothing is lost."""

    def __init__(
        self, target: str, delay_s: float, on_forward: Callable[[bytes], None] | None = None
    ) -> None:
        host, port = target.split(":")
        self.target = (host, int(port))
        self.delay_s, self.on_forward = delay_s, on_forward
        self.listener = listener()
        self.address = address(self.listener)
        accept_all(self.listener, self._serve)

    def _serve(self, near: socket.socket) -> None:
        far = socket.create_connection(self.target, timeout=5)
        far.settimeout(None)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = in_thread(self._carry, far, near, None)
        self._carry(near, far, self.on_forward)
        back.join()
        far.close()

    def _carry(
        self, source: socket.socket, target: socket.socket, hook: Callable[[bytes], None] | None
    ) -> None:
        waiting: queue.Queue[tuple[float, bytes]] = queue.Queue()

        def write() -> None:
            try:
                while True:
                    due, data = waiting.get()
                    time.sleep(max(0.0, due - time.monotonic()))
                    if not data:
                        target.shutdown(socket.SHUT_WR)
                        return
                    target.sendall(data)
                    if hook is not None:
                        hook(data)
            except OSError:
                pass

        writer = in_thread(write)
        data = b"-"
        while data:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            waiting.put((time.monotonic() + self.delay_s, data))
        writer.join()
