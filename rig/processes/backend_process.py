"""One real backend: a `myrtlecrank serve` process with its agent, its entry on the list and its callers
played."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

import gevent
from gevent import socket
from gevent.queue import Queue

from myrtlecrank.policy import interface
from rig.backend_stand_in import Stand
from rig.callers import Said, Try
from rig.machine import Build
from rig.processes import caller_protocol
from rig.processes.real_clock import RealClock
from rig.rules import Rules

ROOT = Path(__file__).parent.parent.parent
SAID = {0: Said.COMPLETED, 1: Said.DENIED, 2: Said.TERMINATED}
OPEN = 32  # exchanges that one connection carries at a time
LOOK_S = 0.02
UP_S = 30.0  # a process that does not listen by then is given up
GAUGES = ("core_use", "on_cores", "heap_share", "links")


def free_address(number: int) -> tuple[str, int]:
    """On a loopback address of our own, which no outgoing connection takes its port from meanwhile."""
    pid = os.getpid()
    host = f"127.{64 + pid % 64}.{pid // 64 % 250}.{number % 250 + 1}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, int(probe.getsockname()[1])


def settings(settings: interface.ControllerSettings) -> dict[str, Any]:
    """StartFacts as the platform's configuration would say them; times in microseconds."""

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


class Link:
    """One connection of a caller; its writer and its reader are greenlets of their own."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.open: dict[int, Try] = {}
        self.stream = 0
        self.shut = False
        self.queue: Queue[tuple[Try, bytes] | None] = Queue()
        gevent.spawn(self._run)

    def ask(self, one: Try, fields: dict[str, str]) -> None:
        self.stream += 1
        self.open[self.stream] = one
        self.queue.put((one, caller_protocol.frame(caller_protocol.ASK, self.stream, fields, one.wish.body)))

    def _run(self) -> None:
        try:
            sock = socket.create_connection(self.process.listen, timeout=2.0)
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
                self.process.taken(one)
        except OSError:
            pass
        reader.join()
        sock.close()

    def _read(self, sock: socket.socket) -> None:
        frames = caller_protocol.Reader()
        try:
            while data := sock.recv(65536):
                for kind, stream, code, fields, _ in frames.feed(data):
                    if kind == caller_protocol.AWAY:
                        self.shut = True
                    elif kind == caller_protocol.ANSWER:
                        self._answered(stream, code, fields)
                if self.shut and not self.open:
                    break
        except OSError:
            pass
        self._ended(sent=True)

    def _answered(self, stream: int, code: int, fields: dict[str, str]) -> None:
        one = self.open.pop(stream, None)
        if one is None:
            self.process.rules.strange(self.process.number, stream, self.process.clock.now)
            return
        value = float(fields["v"]) if "v" in fields else None
        self.process.answered(one, SAID[code], value, float(fields.get("w", 0.0)), fields.get("l") == "1")

    def _ended(self, sent: bool) -> None:
        """Whatever is open breaks with the connection; what no byte was written for is merely closed."""
        self.shut = True
        self.process.links_ended(self)
        self.queue.put(None)
        for one in list(self.open.values()):
            taken = sent and one.read_at is not None
            if one.answered is None:
                self.process.broken(one, Said.BROKEN if taken else Said.CLOSED)
        self.open.clear()


class Process(Stand):
    def __init__(
        self,
        number: int,
        clock: RealClock,
        facts: interface.ControllerSettings,
        build: Build,
        rules: Rules,
        cold: bool,
        stop_ms: float,
        tell_list: Callable[[int, bool], None],
        on_read: Callable[[Try], None],
        members: str,
        listen: tuple[str, int],
        folder: Path,
        operators: Path,
    ) -> None:
        super().__init__(number, clock, build, rules, cold, stop_ms, tell_list, on_read)
        self.real, self.listen, self.facts = clock, listen, facts
        self.links: dict[int, list[Link]] = {}
        self.notices = [b""]  # numbered from 1
        self.link: socket.socket | None = None
        self.cpu_s = self.peak_mb = 0.0
        self.agent = socket.socket()
        self.agent.bind(("127.0.0.1", 0))
        self.agent.listen()
        gevent.spawn(self._serve_agent)
        conf = {
            "name": f"b{number}",
            "listen": f"{listen[0]}:{listen[1]}",
            "members": members,
            "agent": f"127.0.0.1:{self.agent.getsockname()[1]}",
            "seed": f"{facts.seed:016x}",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(facts),
        }
        path = folder / f"b{number}-{facts.seed}.json"
        path.write_text(json.dumps(conf))
        self.log: IO[bytes] = (folder / f"b{number}.log").open("ab")
        command = [sys.executable, "-m", "myrtlecrank", "serve", str(path), "--operators", str(operators)]
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen(command, cwd=folder, stderr=self.log, env=environment)
        gevent.spawn(self._watch)

    def wait_up(self) -> None:
        """Until it listens; raises TimeoutError."""
        with gevent.Timeout(UP_S, TimeoutError(f"backend {self.number} does not listen")):
            while True:
                try:
                    socket.create_connection(self.listen, timeout=1.0).close()
                    return
                except OSError:
                    gevent.sleep(LOOK_S)

    def _watch(self) -> None:
        """Follows the process to its end, and what it uses."""
        while self.process.poll() is None:
            self._usage()
            gevent.sleep(LOOK_S if self.notice is not None else 0.2)
        self.log.close()
        self.agent.close()
        if self.alive and self.notice is None:
            self.rules.fell(self.number, self.clock.now)
        self.stop()

    def _usage(self) -> None:
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            self.cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.peak_mb = int(line.split()[1]) / 1024.0
        except (OSError, IndexError):
            pass

    # Callers

    def accepts(self) -> bool:
        return self.process.poll() is None

    def hand_in(self, one: Try) -> None:
        links = self.links.setdefault(one.caller.number, [])
        link = next((link for link in links if not link.shut and len(link.open) < OPEN), None)
        if link is None:
            link = Link(self)
            links.append(link)
        wish = one.wish
        wait = wish.due - wish.first if one.caller.habits.told_whole else one.wait
        fields = {
            "c": self.facts.groups[wish.group].name,
            "i": one.ident,
            "s": f"{self.real.begun + one.reached:.0f}",  # type: ignore[operator]
            "f": str(one.caller.number),
            "t": f"tenant-{wish.tenant}",
            "d": f"{wait:.0f}",
            "m": f"{wish.kb:.1f}",
            "p": f"{wish.rank:.4f}",
        }
        link.ask(one, fields)

    def links_ended(self, link: Link) -> None:
        for links in self.links.values():
            if link in links:
                links.remove(link)

    def broken(self, one: Try, said: Said) -> None:
        """Its connection is gone. A backend that is well may not do that to what it has read."""
        if said is Said.BROKEN and self.alive and self.notice is None:
            self.rules.dropped(one, self.clock.now)
        self.rules.cut(one)
        self.tries.pop(one.ident, None)
        self.clock.after(self.HOP, lambda: one.caller.heard(one, said))

    # The agent

    def _serve_agent(self) -> None:
        while True:
            try:
                link, _ = self.agent.accept()
            except OSError:
                return
            self.link = link
            gevent.spawn(self._commands, link)

    def _commands(self, link: socket.socket) -> None:
        file = link.makefile("rb")
        try:
            while line := file.readline():
                match line.decode().split():
                    case ["subscribe", number]:
                        state = "EMPTY" if self.machine.cold else "LOADED"
                        link.sendall(
                            f"greeting {state} {self.clock.now - self.machine.born:.0f}\r\n".encode()
                        )
                        link.sendall(b"".join(self.notices[int(number) + 1 :]))
                    case ["launch", exchange_id, _, length]:
                        file.read(int(length) + 2)
                        self.clock.after(0.0, lambda ident=exchange_id: self.launch(ident))  # type: ignore[misc]
                    case ["freeze", exchange_id]:
                        self.clock.after(0.0, lambda ident=exchange_id: self.freeze(ident))  # type: ignore[misc]
                    case ["sample", tag]:
                        g = self.machine.gauges()
                        values = (
                            f"{g['cpu']:.4f} {g['on_cores']:.2f} {g['memory']:.4f} {g['connections']:.0f}"
                        )
                        link.sendall(f"sampled {tag} {values}\r\n".encode())
        except OSError:
            pass

    def notify(self, exchange_id: str, end: str, took: float) -> None:
        number = len(self.notices)
        result = b"result" if end == "PASS" else b""
        head = f"outcome {number} {exchange_id} {end} {took:.3f} {len(result)}\r\n"
        self.notices.append(head.encode() + result + b"\r\n")
        if self.link is not None:
            try:
                self.link.sendall(self.notices[-1])
            except OSError:
                self.link = None

    # Its end

    def leave(self) -> None:
        if self.alive and self.notice is None:
            self.notice = self.clock.now
            self.process.send_signal(signal.SIGTERM)
            self.clock.after(self.stop_ms, self.stop)

    def kill(self) -> None:
        super().kill()
        if self.process.poll() is None:
            self.process.kill()
        self.agent.close()
