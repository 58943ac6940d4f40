"""The experiment fleet-owner with real processes: `myrtlecrank serve` between stand-ins, a proxy on each
link, signals and restarts drawn from the seed, and the resource that judges from outside."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Any

import gevent
import orjson
from gevent import socket

from myrtlecrank.fleet.step_scheduler import Effect
from rig.multi_node.checkers import Away, Resource
from rig.multi_node.ownership_experiment import AIMS, Played
from rig.processes.backend_process import GAUGES, ROOT, free_address
from rig.processes.proxy import Proxy

LEASE_MS = 1000.0
STEP_MS = 100.0
FAULTS = (
    "kill",
    "kill",
    "stop",
    "stop",
    "cut",
    "freeze",
    "freeze-in",
    "freeze-out",
    "half",
    "slow",
    "flap",
    "term",
    "lost-disk",
    "clock",
    "replace",
    "replace",
)
SETTINGS: dict[str, Any] = {
    "categories": [{"name": "group", "effect": "read_like", "aim": 1_000_000, "deadline": 4_000_000}],
    "domain": {"cores": 2, "memoryKb": 1000.0, "signal": "tokens", "gauges": list(GAUGES)},
    "guarantees": {"fallMultiple": 4.0, "fall": 2_000_000},
    "tenants": [{"name": "acme", "share": 1.0, "allowancePerS": 10.0}],
}


class Stands:
    """What every backend wants around it: an agent that greets, a list that is silent, the resource of the
    duties."""

    def __init__(self, fence: bool) -> None:
        self.resource = Resource(fence)
        self.begin = time.monotonic()
        self.agent = self._listen(self._greet)
        self.roll = self._listen(self._silent)
        self.sink = self._listen(self._take)
        self.connections: list[socket.socket] = []

    def now(self) -> float:
        return (time.monotonic() - self.begin) * 1000.0

    def _listen(self, serve: Any) -> tuple[str, int]:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)

        def run() -> None:
            while True:
                sock, _ = listener.accept()
                self.connections.append(sock)
                gevent.spawn(self._served, serve, sock)

        gevent.spawn(run)
        address: tuple[str, int] = listener.getsockname()
        return address

    @staticmethod
    def _served(serve: Any, sock: socket.socket) -> None:
        try:
            serve(sock)
        except (OSError, ValueError, KeyError):
            pass
        finally:
            sock.close()

    @staticmethod
    def _greet(sock: socket.socket) -> None:
        """A machine that is up for long, warm and idle."""
        file = sock.makefile("rb")
        while line := file.readline():
            match line.decode().split():
                case ["subscribe", _]:
                    sock.sendall(b"greeting LOADED 60000000\r\n")
                case ["sample", tag]:
                    sock.sendall(f"sampled {tag} 0.01 0 0.1 1\r\n".encode())

    @staticmethod
    def _silent(sock: socket.socket) -> None:
        while sock.recv(4096):
            pass

    def _take(self, sock: socket.socket) -> None:
        """A line each way. Judged in the order in which the lines come off the sockets."""
        buffer = b""
        while data := sock.recv(4096):
            buffer += data
            while b"\n" in buffer:
                line, buffer = buffer.split(b"\n", 1)
                told = orjson.loads(line)
                effect = Effect(told["duty"], told["epoch"], told["step"], 0.0)
                taken = self.resource.offered(self.now(), told["owner"], effect)
                sock.sendall(b'{"taken":true}\n' if taken else b'{"taken":false}\n')


class Backend:
    """One real process of the program, a member of the fleet."""

    def __init__(self, name: str, folder: Path, stands: Stands, operators: str, seed: int) -> None:
        self.name, self.folder = name, folder
        self.process: subprocess.Popen[bytes] | None = None
        listen = free_address(seed + int(name[1:]))
        conf = {
            "name": name,
            "listen": f"{listen[0]}:{listen[1]}",
            "agent": ":".join(map(str, stands.agent)),
            "members": ":".join(map(str, stands.roll)),
            "seed": f"{seed:016x}",
            "stop_ms": 800,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": SETTINGS,
        }
        self.config, self.operators_file = folder / f"{name}.json", folder / f"{name}.toml"
        self.config.write_text(json.dumps(conf))
        self.operators_file.write_text(operators)
        self.wall_clock_file = folder / f"{name}.wall"  # by how many seconds its wall clock is off
        self.uses_wall_clock_leases = False  # a planted bug
        self.log = open(folder / f"{name}.log", "ab")  # noqa: SIM115 - open as long as the play

    def command(self, *words: str) -> list[str]:
        return [sys.executable, "-m", "myrtlecrank", *words, "--operators", str(self.operators_file)]

    def found(self) -> None:
        words = self.command("fleet", "found", self.name)
        subprocess.run(words, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)

    def start(self) -> None:
        if self.process is None:
            serve = self.command("serve", str(self.config))
            bug = ["--wall-leases"] if self.uses_wall_clock_leases else []
            serve[2:3] = ["rig.processes.stepped_clock", *bug, str(self.wall_clock_file)]
            self.process = subprocess.Popen(
                serve, cwd=ROOT, stdout=self.log, stderr=self.log, env={**os.environ, "PYTHONPATH": str(ROOT)}
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        process, self.process = self.process, None
        if process is not None:
            process.kill()
            process.wait()


class OwnershipRun:
    """`trusted`: voters vote at once after a restart, as their folder lasts here; else they ask all others
    first."""

    def __init__(
        self,
        seed: int,
        members: int,
        voters: int,
        duties: int,
        fence: bool,
        folder: Path,
        trusted: bool = False,
    ) -> None:
        self.trusted = trusted
        self.seed, self.random, self.folder = seed, Random(seed), folder
        self.stand_ins = Stands(fence)
        names = [f"n{i}" for i in range(members)]
        self.voters = names[:voters]
        self.member_addresses = homes = {
            name: free_address(seed % 1000 + 40 + i) for i, name in enumerate(names)
        }
        # Of a pair the one whose name comes first connects, through the proxy of that pair.
        self.links = {(a, b): Proxy(homes[b]) for a in names for b in names if a < b}
        self.resource_links = {
            name: Proxy(self.stand_ins.sink) for name in names
        }  # each one's way to the resource
        self.duties = [f"duty-{i}" for i in range(duties)]
        self.backends = {
            name: Backend(name, folder, self.stand_ins, self._operators(name, names, homes), seed)
            for name in names
        }
        self.script: list[tuple[float, str, str, float]] = []
        self.stopped: set[str] = set()
        self.rosters = [set(self.voters)]  # a majority of each is wanted
        self.voters_changed = 0
        self.away = Away(1.52 * LEASE_MS)  # the wait of the others, and two looks

    def _operators(self, me: str, names: list[str], homes: dict[str, tuple[str, int]]) -> str:
        """Each member's own view of the addresses: its peers behind their proxies."""
        lines = [
            "[fleet]",
            "on = true",
            'name = "rig"',
            f"folder = {json.dumps(str(self.folder))}",
            f"voters = {json.dumps(self.voters)}",
            f"trust_disk = {json.dumps(self.trusted)}",
            f"lease_ms = {LEASE_MS:g}",
            "reply_ms = 200",
            "probe_ms = 300",
            "probe_reply_ms = 100",
            "suspect_ms = 900",
            "even_ms = 2000",
        ]
        for i, name in enumerate(names):
            link = self.links.get((me, name))
            at = homes[name] if link is None else link.address
            lines += [f"[fleet.members.{name}]", f'at = "{at[0]}:{at[1]}"', f'zone = "z{i % 3}"']
        for duty in self.duties:
            sink = self.resource_links[me].address
            lines += [f"[fleet.duties.{duty}]", f'to = "{sink[0]}:{sink[1]}"', f"every_ms = {STEP_MS:g}"]
        return "\n".join(lines) + "\n"

    # -- faults

    def links_of(self, name: str) -> list[tuple[Proxy, bool]]:
        """Each with whether this member is the one that connects."""
        return [(link, pair[0] == name) for pair, link in self.links.items() if name in pair]

    def fault(self) -> None:
        kind = self.random.choice(FAULTS)
        backend = self.random.choice(list(self.backends.values()))
        seconds = self.random.uniform(0.3, 3.0) * LEASE_MS / 1000.0
        others = [name for name in self.backends if name != backend.name]
        side = {backend.name, *self.random.sample(others, len(others) // 2)}
        delay = self.random.uniform(0.05, 1.5) * LEASE_MS / 1000.0
        self.script.append((round(self.stand_ins.now(), 1), kind, backend.name, round(seconds * 1000.0, 1)))
        if kind in ("kill", "term", "lost-disk"):
            gevent.spawn(self._away, backend, kind, seconds)
        elif kind == "stop":
            gevent.spawn(self._stop, backend, seconds)
        elif kind == "clock":
            backend.wall_clock_file.write_text(str(self.random.choice([-3600, 3600])))
        elif kind == "replace":
            drop = self.random.choice(self.voters)
            add = self.random.choice([drop, *(name for name in self.backends if name not in self.voters)])
            gevent.spawn(self._replace, backend.name, drop, add)
        elif kind == "half":
            self.partition(side, seconds)
        elif kind in ("freeze-in", "freeze-out"):
            self.freeze_one_way(backend.name, seconds, kind == "freeze-out")
        for link, _ in self.links_of(backend.name):
            if kind == "cut":
                link.cut(seconds)
            elif kind == "freeze":
                link.freeze(seconds)
            elif kind == "slow":
                link.slow(seconds, delay)
            elif kind == "flap":
                for i in range(6):
                    gevent.spawn_later(0.3 * i, link.cut, 0.15)

    def _stop(self, backend: Backend, seconds: float) -> None:
        backend.signal(signal.SIGSTOP)
        self.stopped.add(backend.name)
        gevent.sleep(seconds)
        backend.signal(signal.SIGCONT)
        self.stopped.discard(backend.name)

    def _replace(self, at: str, drop: str, add: str) -> None:
        """By an operator, one at a time. Until one comes through, what the last left behind may be
        half-way."""
        if self.replacing:
            return
        self.replacing = True
        new = [name for name in self.voters if name != drop or name == add]
        new += [add] if add not in new else []
        before, self.rosters = self.rosters, [*self.rosters, set(new)]
        done = self.run_fleet_command("replace-voters", "--drop", drop, "--add", add, "--at", at)
        asked = self.run_fleet_command("voters", "--json", "--at", at) if done.returncode == 0 else done
        self.replacing = False
        if asked.returncode == 0:
            self.voters = [row["voter"] for row in json.loads(asked.stdout) if row["state"] == "votes"]
            self.rosters = [set(self.voters)]
            self.voters_changed += 1
        elif "votes already" in done.stderr or "takes no seat" in done.stderr:
            self.rosters = before  # nothing was begun

    def look_around(self) -> None:
        """From outside: which processes run, and between which of them a connection stands that lets through
        within a round."""
        while True:
            self.away.look(self.stand_ins.now(), any(self._reaches(name) for name in self.backends))
            gevent.sleep(0.025)

    def _reaches(self, name: str) -> bool:
        if not self._runs(name):
            return False
        there = {
            other
            for other in self.backends
            if self._runs(other) and (other == name or self.links[min(name, other), max(name, other)].open())
        }
        return all(len(there & voters) > len(voters) // 2 for voters in self.rosters)

    def _runs(self, name: str) -> bool:
        process = self.backends[name].process
        return process is not None and process.poll() is None and name not in self.stopped

    def partition(self, side: set[str], seconds: float) -> None:
        """Nothing comes through between these members and the others; connections are kept."""
        for (a, b), link in self.links.items():
            if (a in side) != (b in side):
                link.freeze(seconds)

    def freeze_one_way(self, name: str, seconds: float, hears: bool) -> None:
        """One way: it hears the others and none hears it, or the other way round."""
        for link, connects in self.links_of(name):
            link.freeze(seconds, out=connects == hears, back=connects != hears)

    def _away(self, backend: Backend, kind: str, seconds: float) -> None:
        if kind == "term":
            backend.signal(signal.SIGTERM)
            gevent.sleep(1.0)
        backend.kill()
        # One memory lost at a time: what two have lost together nobody can know.
        alone = all(b.process is not None for b in self.backends.values() if b is not backend)
        if kind == "lost-disk" and backend.name in self.voters and alone and not self.lost:
            self.lost = True
            (self.folder / f"voter-{backend.name}.state").unlink(missing_ok=True)
        gevent.sleep(seconds)
        backend.start()

    def run_fleet_command(self, *words: str, by: str = "n0") -> subprocess.CompletedProcess[str]:
        """What `myrtlecrank fleet ...` says with one member's file, without holding the rig's own loop."""
        command = self.backends[by].command("fleet", *words)
        found: Any = gevent.get_hub().threadpool.apply(
            subprocess.run, (command,), {"cwd": str(ROOT), "capture_output": True, "text": True}
        )
        return found  # type: ignore[no-any-return]

    replacing = False
    lost = False  # once a play: the next could come before the first has rejoined

    # -- the play

    def start(self) -> None:
        """All up, each voter votes and each duty has an owner; raises gevent.Timeout."""
        for name in self.voters:
            self.backends[name].found()
        for backend in self.backends.values():
            backend.start()
        self.wait(lambda: len(self.stand_ins.resource.last) == len(self.duties))
        if self.trusted:
            return
        # A voter that comes up asks all others: one that is gone before the last has its answer holds that
        # one back.
        logs = [self.folder / f"{name}.log" for name in self.voters]
        self.wait(lambda: all("votes again" in log.read_text() for log in logs))

    @staticmethod
    def wait(true: Callable[[], bool], seconds: float = 20.0) -> None:
        with gevent.Timeout(seconds):
            while not true():
                gevent.sleep(0.02)

    def owner(self, duty: str) -> str:
        """Whose effect was taken last, as the resource saw it."""
        return next(t.owner for t in reversed(self.stand_ins.resource.taken) if t.duty == duty).split("/")[0]

    def stop(self) -> None:
        for backend in self.backends.values():
            backend.signal(signal.SIGCONT)
            backend.kill()
            backend.log.close()
        for link in [*self.links.values(), *self.resource_links.values()]:
            link.close()

    def run(self, seconds: float, every: float) -> Played:
        resource, stands = self.stand_ins.resource, self.stand_ins
        try:
            self.start()
            began = stands.now()
            looks = gevent.spawn(self.look_around)
            last_fault = began + seconds * 1000.0 - 7000.0
            while stands.now() < began + seconds * 1000.0:
                if every and stands.now() < last_fault:
                    self.fault()
                    gevent.sleep(self.random.expovariate(1.0 / every))
                else:
                    gevent.sleep(0.2)
            looks.kill()
        finally:
            self.stop()
        end = stands.now()
        usual = 4.0 * STEP_MS
        gaps = resource.gaps(began, end, self.duties)
        unowned = sum(max(0.0, self.away.outside(a, b) - usual) for a, b in gaps)
        changes = [
            self.away.outside(a.at, b.at)
            for duty in self.duties
            for a, b in pairwise([t for t in resource.taken if t.duty == duty])
            if a.owner != b.owner
        ]
        changes.sort()
        figures: dict[str, float] = {
            **resource.figures(),
            "takeover_s": round(changes[int(0.95 * (len(changes) - 1))] / 1000.0, 3) if changes else 0.0,
            "unowned_share": round(unowned / ((end - began) * len(self.duties)), 4),
            "owner_changes": len(changes),
            "majority_away_share": round(self.away.total() / (end - began), 4),
            "voters_changed": self.voters_changed,
            "stuck": sum(
                end - max(t.at for t in resource.taken if t.duty == one) > 3000.0 for one in self.duties
            ),
            "faults": len(self.script),
            "link_bytes_a_member_a_second": round(
                sum(w.bytes for one in self.links.values() for w in (one.out, one.back))
                / len(self.backends)
                / (end / 1000.0)
            ),
        }
        trace = [(round(t.at, 3), t.duty, t.epoch, t.step, t.owner) for t in resource.taken]
        wrong = [f"{key} {figures[key]:g}" for key, most in AIMS.items() if figures.get(key, 0) > most]
        return Played(self.seed, figures, self.script, trace, "; ".join(wrong))


def play(
    seed: int,
    seconds: float = 40.0,
    every: float = 2.0,
    members: int = 5,
    voters: int = 3,
    duties: int = 4,
    fence: bool = True,
    keep: Path | None = None,
    trusted: bool = True,
    wall_leases: bool = False,
) -> Played:
    """Real processes in real time. `every`: seconds between faults in the mean, 0 for none. `keep`: a folder
    for logs."""
    with tempfile.TemporaryDirectory() as usual:
        folder = keep or Path(usual)
        folder.mkdir(parents=True, exist_ok=True)
        one = OwnershipRun(seed, members, voters, duties, fence, folder, trusted)
        for backend in one.backends.values():
            backend.uses_wall_clock_leases = wall_leases
        return one.run(seconds, every)
