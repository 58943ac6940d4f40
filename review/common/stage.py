"""What the cases share: processes of the program, stand-ins for its platform, and the record of a run.

Only the standard library is used. Every address is a loopback address with a free port.
"""

from __future__ import annotations

import contextlib
import http.server
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 112


class NotRunError(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """The lines of record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115 - open for the whole run
        self.lock = threading.Lock()

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")


# A loopback address of this run alone, so that runs beside each other never ask for the same port.
HOST = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 250}.1"


def free_address() -> str:
    """An address that nothing listens on. Outgoing connections come from others and never take its port."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            address = f"{HOST}:{probe.getsockname()[1]}"
        if address not in _given:
            _given.add(address)
            return address


_given: set[str] = set()


def wait_for(true: Callable[[], object], seconds: float, what: str) -> None:
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            raise NotRunError(f"waited {seconds:g} s in vain: {what}")
        time.sleep(0.005)


def listen(serve: Callable[[socket.socket], None]) -> tuple[str, int]:
    """Serves each connection to a new address on a thread of its own."""
    listener = socket.create_server((HOST, 0), backlog=64)

    def run(sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError):
            serve(sock)
        sock.close()

    def accept() -> None:
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=run, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    address: tuple[str, int] = listener.getsockname()
    return address


class _Report(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_PUT(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response_only(204)
        self.end_headers()

    def log_message(self, *_: object) -> None:
        pass


class _MembershipServer(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, *_: object) -> None:
        """A backend that is killed resets its connection; that is no error here."""


def membership_service() -> str:
    """A membership service that answers every report with 204."""
    server = _MembershipServer((HOST, 0), _Report)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return "{}:{}".format(*server.server_address)


class Backend:
    """One process of the program, started with the line `run` of the deploy file."""

    def __init__(self, folder: Path, config: dict, operators: Path) -> None:
        self.name = config["name"]
        self.config_file = folder / f"{self.name}.json"
        self.config_file.write_text(json.dumps(config))
        self.operators = operators
        self.log = folder / f"{self.name}.log"
        self.scratch = folder / f"{self.name}.tmp"
        self.scratch.mkdir(exist_ok=True)
        self.listen = config["listen"]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PROXY_NAME": self.name,
                    "PROXY_LISTEN": self.listen,
                    "PROXY_CONFIG": str(self.config_file),
                    "MYRTLECRANK_OPERATORS": str(self.operators),
                    "TMPDIR": str(self.scratch),
                },
            )

    def wait_until_up(self) -> None:
        wait_for(lambda: b"the machine is up" in self.log.read_bytes(), 30.0, f"{self.name} to be up")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGCONT)
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


def play(case: Path, run: Callable[[Record, Path, bool, list[Backend]], bool]) -> None:
    """Runs a case and exits with its verdict. `run` returns whether the rule held."""

    def give_up(number: int, _: object) -> None:
        raise NotRunError(f"ended by {signal.Signals(number).name}")

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, give_up)
    signal.alarm(LONGEST_RUN_S)
    record = Record(case)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    backends: list[Backend] = []
    code = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            code = HELD if run(record, Path(temporary), trouble, backends) else BROKEN
        except NotRunError as error:
            record(f"the case could not run: {error}")
        except Exception as error:
            record(f"the case could not run: {error!r}")
        finally:
            for one in backends:
                one.kill()
            for one in backends:
                if one.log.exists():
                    record(f"log of {one.name}:")
                    for line in one.log.read_text(errors="replace").splitlines():
                        record(f"    {line}")
    record(f"verdict: {code} ({('the rule held', 'the rule was broken', 'could not run')[code]})")
    print(f"verdict {code}, see {case.name}/record.txt")
    sys.stdout.flush()
    os._exit(code)
