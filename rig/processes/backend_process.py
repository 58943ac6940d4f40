"""One real backend: a `myrtlecrank serve` process with stand-ins for its agent and its callers."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import IO, Any

import gevent
from gevent import socket
from gevent.queue import Queue

from myrtlecrank.policy import interface
from rig.backend_stand_in import BackendStandIn
from rig.callers import Try, TryOutcome
from rig.machine import MachineSpec
from rig.processes import caller_protocol
from rig.processes.real_clock import RealClock
from rig.rules import Rules

ROOT = Path(__file__).parent.parent.parent
OUTCOME_OF_CODE = {0: TryOutcome.COMPLETED, 1: TryOutcome.DENIED, 2: TryOutcome.TERMINATED}
TRIES_PER_CONNECTION = 32  # a caller opens a further connection above this
POLL_INTERVAL_S = 0.02
USAGE_INTERVAL_S = 0.2
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 65536
START_TIMEOUT_S = 30.0
GAUGES = ("core_use", "on_cores", "heap_share", "links")


def free_address(number: int) -> tuple[str, int]:
    """Returns a loopback address for this process alone, with a free port.

    No outgoing connection can take the port there before the backend listens on it.
    """
    pid = os.getpid()
    host = f"127.{64 + pid % 64}.{pid // 64 % 250}.{number % 250 + 1}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, int(probe.getsockname()[1])


def settings_document(settings: interface.ControllerSettings) -> dict[str, Any]:
    """Returns the controller settings as settings of the configuration file; times in microseconds."""

    def us(ms: float) -> int:
        return round(ms * 1000.0)

    categories = [
        {
            "name": g.name,
            "effect": "read_like",
            "aim": us(g.slo),
            "deadline": us(g.timeout),
            "worth": g.benefit,
            "lateWorth": g.late_benefit,
        }
        for g in settings.groups
    ]
    tenants = [{"name": t.name, "share": t.share, "allowancePerS": t.per_second} for t in settings.tenants]
    return {
        "categories": categories,
        "tenants": tenants,
        "overShareWorth": settings.over_share_benefit,
        "replicasOfMe": settings.backends,
        "granularity": us(settings.clock_granularity),
        "domain": {
            "cores": settings.cores,
            "memoryKb": settings.memory_kb,
            "blowup": settings.running_memory_multiple,
            "halt": "drop",
            "signal": "tokens",
            "heeded": us(settings.published_value_lifetime),
            "idle": us(settings.idle_timeout),
            "passesDeadline": True,
            "gauges": list(GAUGES),
            "upstreams": settings.callers,
        },
        "guarantees": {
            "fallMultiple": settings.survivable_concurrency_per_core,
            "fall": us(settings.survivable_concurrency_window),
            "coldFrom": settings.cold_capacity,
            "warmWithin": us(settings.warm_up_time),
            "stopSendingWithin": us(settings.drain_grace),
            "answerSlack": us(settings.answer_slack),
        },
        "bounds": {"retryAfter": True, "maxRetryAfter": us(settings.max_retry_after)},
    }


class CallerConnection:
    """One connection of a caller, with a writer and a reader greenlet."""

    def __init__(self, process: BackendProcess) -> None:
        self.process = process
        self.open_tries: dict[int, Try] = {}
        self.stream = 0
        self.is_closing = False
        self.queue: Queue[tuple[Try, bytes] | None] = Queue()
        gevent.spawn(self._run)

    def send(self, one: Try, fields: dict[str, str]) -> None:
        """Queues the frame of a try."""
        self.stream += 1
        self.open_tries[self.stream] = one
        self.queue.put(
            (one, caller_protocol.frame(caller_protocol.EXCHANGE, self.stream, fields, one.request.body))
        )

    def _run(self) -> None:
        try:
            sock = socket.create_connection(self.process.listen, timeout=CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(None)
        except OSError:
            self._ended(sent=False)
            return
        reader = gevent.spawn(self._read, sock)
        try:
            while (item := self.queue.get()) is not None:
                one, raw = item
                sock.sendall(raw)
                self.process.mark_read(one)
        except OSError:
            pass
        reader.join()
        sock.close()

    def _read(self, sock: socket.socket) -> None:
        frames = caller_protocol.FrameReader()
        try:
            while data := sock.recv(READ_BYTES):
                for kind, stream, code, fields, _ in frames.feed(data):
                    if kind == caller_protocol.DRAIN:
                        self.is_closing = True
                    elif kind == caller_protocol.ANSWER:
                        self._answered(stream, code, fields)
                if self.is_closing and not self.open_tries:
                    break
        except OSError:
            pass
        self._ended(sent=True)

    def _answered(self, stream: int, code: int, fields: dict[str, str]) -> None:
        one = self.open_tries.pop(stream, None)
        if one is None:
            self.process.rules.record_unexpected_answer(self.process.number, stream, self.process.clock.now)
            return
        value = float(fields["v"]) if "v" in fields else None
        self.process.deliver_answer(
            one, OUTCOME_OF_CODE[code], value, float(fields.get("w", 0.0)), fields.get("l") == "1"
        )

    def _ended(self, sent: bool) -> None:
        """Ends the open tries: as lost with the connection, or as never connected where nothing was sent."""
        self.is_closing = True
        self.process.remove_connection(self)
        self.queue.put(None)
        for one in list(self.open_tries.values()):
            was_sent = sent and one.read_at is not None
            if one.outcome is None:
                self.process.lose_try(
                    one, TryOutcome.CONNECTION_LOST if was_sent else TryOutcome.NOT_CONNECTED
                )
        self.open_tries.clear()


class BackendProcess(BackendStandIn):
    """Starts the process and plays its agent and its callers over sockets."""

    def __init__(
        self,
        number: int,
        clock: RealClock,
        settings: interface.ControllerSettings,
        build: MachineSpec,
        rules: Rules,
        cold: bool,
        stop_ms: float,
        report_membership: Callable[[int, bool], None],
        on_read: Callable[[Try], None],
        members: str,
        listen: tuple[str, int],
        folder: Path,
        operators: Path,
    ) -> None:
        super().__init__(number, clock, build, rules, cold, stop_ms, report_membership, on_read)
        self.real_clock, self.listen, self.settings = clock, listen, settings
        self.connections: dict[int, list[CallerConnection]] = {}
        self.run_notices = [b""]  # outcome lines by number, from 1
        self.agent_connection: socket.socket | None = None
        self.cpu_s = self.peak_mb = 0.0
        self.agent = socket.socket()
        self.agent.bind(("127.0.0.1", 0))
        self.agent.listen()
        gevent.spawn(self._serve_agent)
        configuration = {
            "name": f"b{number}",
            "listen": f"{listen[0]}:{listen[1]}",
            "members": members,
            "agent": f"127.0.0.1:{self.agent.getsockname()[1]}",
            "seed": f"{settings.seed:016x}",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings_document(settings),
        }
        path = folder / f"b{number}-{settings.seed}.json"
        path.write_text(json.dumps(configuration))
        self.log: IO[bytes] = (folder / f"b{number}.log").open("ab")
        command = [sys.executable, "-m", "myrtlecrank", "serve", str(path), "--operators", str(operators)]
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen(command, cwd=folder, stderr=self.log, env=environment)
        gevent.spawn(self._monitor_process)

    def wait_until_listening(self) -> None:
        """Waits until the process listens; raises TimeoutError."""
        with gevent.Timeout(
            START_TIMEOUT_S,
            TimeoutError(f"backend {self.number} does not listen within {START_TIMEOUT_S:.0f} s"),
        ):
            while True:
                try:
                    socket.create_connection(self.listen, timeout=1.0).close()
                    return
                except OSError:
                    gevent.sleep(POLL_INTERVAL_S)

    def _monitor_process(self) -> None:
        """Samples the CPU and memory of the process until it ends, then records the end."""
        while self.process.poll() is None:
            self._sample_usage()
            gevent.sleep(POLL_INTERVAL_S if self.drain_requested_at is not None else USAGE_INTERVAL_S)
        self.log.close()
        self.agent.close()
        if self.alive and self.drain_requested_at is None:
            self.rules.record_collapse(self.number, self.clock.now)
        self.stop()

    def _sample_usage(self) -> None:
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            self.cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.peak_mb = int(line.split()[1]) / 1024.0
        except (OSError, IndexError):
            pass

    # Callers

    def accepts_connections(self) -> bool:
        return self.process.poll() is None

    def submit(self, one: Try) -> None:
        connections = self.connections.setdefault(one.caller.number, [])
        connection = next(
            (
                connection
                for connection in connections
                if not connection.is_closing and len(connection.open_tries) < TRIES_PER_CONNECTION
            ),
            None,
        )
        if connection is None:
            connection = CallerConnection(self)
            connections.append(connection)
        request = one.request
        wait = request.deadline - request.created_at if one.caller.behaviour.told_whole else one.timeout
        fields = {
            "c": self.settings.groups[request.group].name,
            "i": one.exchange_id,
            "s": f"{self.real_clock.began_at + one.arrived_at:.0f}",  # type: ignore[operator]
            "f": str(one.caller.number),
            "t": f"tenant-{request.tenant}",
            "d": f"{wait:.0f}",
            "m": f"{request.memory_kb:.1f}",
            "p": f"{request.rank:.4f}",
        }
        connection.send(one, fields)

    def remove_connection(self, connection: CallerConnection) -> None:
        """Forgets a connection that has ended."""
        for connections in self.connections.values():
            if connection in connections:
                connections.remove(connection)

    def lose_try(self, one: Try, outcome: TryOutcome) -> None:
        """Ends a try whose connection is gone. That violates a rule if a running backend had read the try."""
        if outcome is TryOutcome.CONNECTION_LOST and self.alive and self.drain_requested_at is None:
            self.rules.record_dropped_connection(one, self.clock.now)
        self.rules.record_lost_try(one)
        self.tries.pop(one.exchange_id, None)
        self.clock.call_later(self.NETWORK_DELAY_MS, lambda: one.caller.receive_answer(one, outcome))

    # The agent

    def _serve_agent(self) -> None:
        while True:
            try:
                connection, _ = self.agent.accept()
            except OSError:
                return
            self.agent_connection = connection
            gevent.spawn(self._commands, connection)

    def _commands(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        try:
            while line := file.readline():
                match line.decode().split():
                    case ["subscribe", number]:
                        state = "EMPTY" if self.machine.cold else "LOADED"
                        connection.sendall(
                            f"greeting {state} {self.clock.now - self.machine.started_at:.0f}\r\n".encode()
                        )
                        connection.sendall(b"".join(self.run_notices[int(number) + 1 :]))
                    case ["launch", exchange_id, _, length]:
                        file.read(int(length) + 2)
                        self.clock.call_later(0.0, partial(self.start_run, exchange_id))
                    case ["freeze", exchange_id]:
                        self.clock.call_later(0.0, partial(self.cancel_run, exchange_id))
                    case ["sample", tag]:
                        g = self.machine.gauges()
                        values = (
                            f"{g['cpu']:.4f} {g['on_cores']:.2f} {g['memory']:.4f} {g['connections']:.0f}"
                        )
                        connection.sendall(f"sampled {tag} {values}\r\n".encode())
        except OSError:
            pass

    def report_run_end(self, exchange_id: str, end: str, duration_ms: float) -> None:
        number = len(self.run_notices)
        result = b"result" if end == "PASS" else b""
        head = f"outcome {number} {exchange_id} {end} {duration_ms:.3f} {len(result)}\r\n"
        self.run_notices.append(head.encode() + result + b"\r\n")
        if self.agent_connection is not None:
            try:
                self.agent_connection.sendall(self.run_notices[-1])
            except OSError:
                self.agent_connection = None

    # End of the backend

    def request_drain(self) -> None:
        if self.alive and self.drain_requested_at is None:
            self.drain_requested_at = self.clock.now
            self.process.send_signal(signal.SIGTERM)
            self.clock.call_later(self.stop_ms, self.stop)

    def kill(self) -> None:
        super().kill()
        if self.process.poll() is None:
            self.process.kill()
        self.agent.close()
