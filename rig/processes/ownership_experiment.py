"""The experiment fleet-owner with real processes.

It runs `myrtlecrank serve` between stand-ins, with a fault proxy on each link. Signals, restarts and link
faults are drawn from the seed; the resource checks ownership from outside.
"""

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
from rig.multi_node.checkers import MajorityOutages, Resource
from rig.multi_node.ownership_experiment import FIGURE_LIMITS, PlayResult
from rig.processes.backend_process import GAUGES, ROOT, free_address
from rig.processes.proxy import Proxy

LEASE_MS = 1000.0
STEP_MS = 100.0
QUIET_END_MS = 7000.0  # without new faults, so that owners can be seen to come back
STUCK_AFTER_MS = 3000.0  # a duty without a step for this long at the end is stuck
SAMPLING_INTERVAL_S = 0.025
POLL_INTERVAL_S = 0.02
READ_BYTES = 4096
# A takeover needs this once a majority is reachable: the wait for the lease, and two checks.
TAKEOVER_MS = 1.52 * LEASE_MS
# Faults to draw from; those listed twice are twice as likely.
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


class StandIns:
    """Stand-ins that all backends share: agent, membership list that never answers, the duties' resource."""

    def __init__(self, fence: bool) -> None:
        self.resource = Resource(fence)
        self.began_at = time.monotonic()
        self.agent_address = self._listen(self._serve_agent)
        self.membership_list_address = self._listen(self._serve_membership_list)
        self.resource_address = self._listen(self._serve_resource)
        self.connections: list[socket.socket] = []

    def now(self) -> float:
        return (time.monotonic() - self.began_at) * 1000.0

    def _listen(self, serve: Any) -> tuple[str, int]:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)

        def run() -> None:
            while True:
                sock, _ = listener.accept()
                self.connections.append(sock)
                gevent.spawn(self._run_handler, serve, sock)

        gevent.spawn(run)
        address: tuple[str, int] = listener.getsockname()
        return address

    @staticmethod
    def _run_handler(serve: Any, sock: socket.socket) -> None:
        try:
            serve(sock)
        except (OSError, ValueError, KeyError):
            pass
        finally:
            sock.close()

    @staticmethod
    def _serve_agent(sock: socket.socket) -> None:
        """Answers as the agent of a warm, idle machine that has been up for long."""
        file = sock.makefile("rb")
        while line := file.readline():
            match line.decode().split():
                case ["subscribe", _]:
                    sock.sendall(b"greeting LOADED 60000000\r\n")
                case ["sample", tag]:
                    sock.sendall(f"sampled {tag} 0.01 0 0.1 1\r\n".encode())

    @staticmethod
    def _serve_membership_list(sock: socket.socket) -> None:
        while sock.recv(READ_BYTES):
            pass

    def _serve_resource(self, sock: socket.socket) -> None:
        """Answers each step line with whether the resource takes the step.

        The steps are checked in the order in which they are read from the sockets.
        """
        buffer = b""
        while data := sock.recv(READ_BYTES):
            buffer += data
            while b"\n" in buffer:
                line, buffer = buffer.split(b"\n", 1)
                step = orjson.loads(line)
                effect = Effect(step["duty"], step["epoch"], step["step"], 0.0)
                taken = self.resource.offer(self.now(), step["owner"], effect)
                sock.sendall(b'{"taken":true}\n' if taken else b'{"taken":false}\n')


class Backend:
    """One process of the program, which is a member of the fleet."""

    def __init__(self, name: str, folder: Path, stand_ins: StandIns, operators: str, seed: int) -> None:
        self.name, self.folder = name, folder
        self.process: subprocess.Popen[bytes] | None = None
        listen = free_address(seed + int(name[1:]))
        configuration = {
            "name": name,
            "listen": f"{listen[0]}:{listen[1]}",
            "agent": ":".join(map(str, stand_ins.agent_address)),
            "members": ":".join(map(str, stand_ins.membership_list_address)),
            "seed": f"{seed:016x}",
            "stop_ms": 800,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": SETTINGS,
        }
        self.config, self.operators_file = folder / f"{name}.json", folder / f"{name}.toml"
        self.config.write_text(json.dumps(configuration))
        self.operators_file.write_text(operators)
        self.wall_clock_file = folder / f"{name}.wall"  # offset of its wall clock in seconds
        self.uses_wall_clock_leases = False  # an injected fault
        self.log = open(folder / f"{name}.log", "ab")  # noqa: SIM115 - open for the whole run

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
    """A fleet of processes under faults.

    `trusted`: voters vote at once after a restart, as their folder is durable here; otherwise they ask all
    others first.
    """

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
        self.trusts_disk = trusted
        self.seed, self.random, self.folder = seed, Random(seed), folder
        self.stand_ins = StandIns(fence)
        names = [f"n{i}" for i in range(members)]
        self.voters = names[:voters]
        self.member_addresses = addresses = {
            name: free_address(seed % 1000 + 40 + i) for i, name in enumerate(names)
        }
        # In each pair the member whose name comes first connects, through the proxy of the pair.
        self.links = {(a, b): Proxy(addresses[b]) for a in names for b in names if a < b}
        # Each member's link to the resource.
        self.resource_links = {name: Proxy(self.stand_ins.resource_address) for name in names}
        self.duties = [f"duty-{i}" for i in range(duties)]
        self.backends = {
            name: Backend(name, folder, self.stand_ins, self._operators(name, names, addresses), seed)
            for name in names
        }
        self.script: list[tuple[float, str, str, float]] = []
        self.suspended: set[str] = set()
        self.voter_sets = [set(self.voters)]  # a majority of each is needed
        self.voters_changed = 0
        self.is_replacing = False
        # One loss a run: a second could come before the first voter has rejoined.
        self.disk_was_lost = False
        self.unavailability = MajorityOutages(TAKEOVER_MS)

    def _operators(self, me: str, names: list[str], addresses: dict[str, tuple[str, int]]) -> str:
        """Returns the operators' file of a member, with the proxies as its peers' addresses."""
        lines = [
            "[fleet]",
            "on = true",
            'name = "rig"',
            f"folder = {json.dumps(str(self.folder))}",
            f"voters = {json.dumps(self.voters)}",
            f"trust_disk = {json.dumps(self.trusts_disk)}",
            f"lease_ms = {LEASE_MS:g}",
            "reply_ms = 200",
            "probe_ms = 300",
            "probe_reply_ms = 100",
            "suspect_ms = 900",
            "even_ms = 2000",
        ]
        for i, name in enumerate(names):
            link = self.links.get((me, name))
            at = addresses[name] if link is None else link.address
            lines += [f"[fleet.members.{name}]", f'at = "{at[0]}:{at[1]}"', f'zone = "z{i % 3}"']
        for duty in self.duties:
            sink = self.resource_links[me].address
            lines += [f"[fleet.duties.{duty}]", f'to = "{sink[0]}:{sink[1]}"', f"every_ms = {STEP_MS:g}"]
        return "\n".join(lines) + "\n"

    # Faults

    def links_of(self, name: str) -> list[tuple[Proxy, bool]]:
        """Returns the links of a member, each with whether this member is the one that connects."""
        return [(link, pair[0] == name) for pair, link in self.links.items() if name in pair]

    def fault(self) -> None:
        """Injects one random fault."""
        kind = self.random.choice(FAULTS)
        backend = self.random.choice(list(self.backends.values()))
        seconds = self.random.uniform(0.3, 3.0) * LEASE_MS / 1000.0
        others = [name for name in self.backends if name != backend.name]
        side = {backend.name, *self.random.sample(others, len(others) // 2)}
        delay = self.random.uniform(0.05, 1.5) * LEASE_MS / 1000.0
        self.script.append((round(self.stand_ins.now(), 1), kind, backend.name, round(seconds * 1000.0, 1)))
        if kind in ("kill", "term", "lost-disk"):
            gevent.spawn(self._take_down, backend, kind, seconds)
        elif kind == "stop":
            gevent.spawn(self._suspend, backend, seconds)
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

    def _suspend(self, backend: Backend, seconds: float) -> None:
        backend.signal(signal.SIGSTOP)
        self.suspended.add(backend.name)
        gevent.sleep(seconds)
        backend.signal(signal.SIGCONT)
        self.suspended.discard(backend.name)

    def _replace(self, at: str, drop: str, add: str) -> None:
        """Replaces a voter as an operator does, one change at a time.

        Until the next change succeeds, a failed one may be half done.
        """
        if self.is_replacing:
            return
        self.is_replacing = True
        new = [name for name in self.voters if name != drop or name == add]
        new += [add] if add not in new else []
        before, self.voter_sets = self.voter_sets, [*self.voter_sets, set(new)]
        done = self.run_fleet_command("replace-voters", "--drop", drop, "--add", add, "--at", at)
        asked = self.run_fleet_command("voters", "--json", "--at", at) if done.returncode == 0 else done
        self.is_replacing = False
        if asked.returncode == 0:
            self.voters = [row["voter"] for row in json.loads(asked.stdout) if row["state"] == "votes"]
            self.voter_sets = [set(self.voters)]
            self.voters_changed += 1
        elif "votes already" in done.stderr or "takes no seat" in done.stderr:
            self.voter_sets = before  # the change was refused

    def sample_reachability(self) -> None:
        """Samples from outside whether a running member reaches a majority of voters over links that work."""
        while True:
            self.unavailability.sample(
                self.stand_ins.now(), any(self._reaches_majorities(name) for name in self.backends)
            )
            gevent.sleep(SAMPLING_INTERVAL_S)

    def _reaches_majorities(self, name: str) -> bool:
        if not self._is_running(name):
            return False
        reachable = {
            other
            for other in self.backends
            if self._is_running(other)
            and (other == name or self.links[min(name, other), max(name, other)].open())
        }
        return all(len(reachable & voters) > len(voters) // 2 for voters in self.voter_sets)

    def _is_running(self, name: str) -> bool:
        process = self.backends[name].process
        return process is not None and process.poll() is None and name not in self.suspended

    def partition(self, side: set[str], seconds: float) -> None:
        """Holds back all bytes between these members and the others; connections are kept."""
        for (a, b), link in self.links.items():
            if (a in side) != (b in side):
                link.freeze(seconds)

    def freeze_one_way(self, name: str, seconds: float, hears: bool) -> None:
        """Freezes one direction: the member receives from the others but reaches none, or the reverse."""
        for link, connects in self.links_of(name):
            link.freeze(seconds, out=connects == hears, back=connects != hears)

    def _take_down(self, backend: Backend, kind: str, seconds: float) -> None:
        if kind == "term":
            backend.signal(signal.SIGTERM)
            gevent.sleep(1.0)
        backend.kill()
        # One disk at a time: what two voters have lost together cannot be recovered.
        alone = all(b.process is not None for b in self.backends.values() if b is not backend)
        if kind == "lost-disk" and backend.name in self.voters and alone and not self.disk_was_lost:
            self.disk_was_lost = True
            (self.folder / f"voter-{backend.name}.state").unlink(missing_ok=True)
        gevent.sleep(seconds)
        backend.start()

    def run_fleet_command(self, *words: str, by: str = "n0") -> subprocess.CompletedProcess[str]:
        """Runs `myrtlecrank fleet ...` with one member's file, without blocking the event loop."""
        command = self.backends[by].command("fleet", *words)
        found: Any = gevent.get_hub().threadpool.apply(
            subprocess.run, (command,), {"cwd": str(ROOT), "capture_output": True, "text": True}
        )
        return found  # type: ignore[no-any-return]

    # The run

    def start(self) -> None:
        """Starts all members and waits until each voter votes and each duty has an owner.

        Raises gevent.Timeout.
        """
        for name in self.voters:
            self.backends[name].found()
        for backend in self.backends.values():
            backend.start()
        self.wait(lambda: len(self.stand_ins.resource.last_step) == len(self.duties))
        if self.trusts_disk:
            return
        # A starting voter asks all others: if one ends before the last has its answer, the last must wait.
        logs = [self.folder / f"{name}.log" for name in self.voters]
        self.wait(lambda: all("votes again" in log.read_text() for log in logs))

    @staticmethod
    def wait(true: Callable[[], bool], seconds: float = 20.0) -> None:
        with gevent.Timeout(seconds):
            while not true():
                gevent.sleep(POLL_INTERVAL_S)

    def owner(self, duty: str) -> str:
        """Returns the owner whose step the resource took last."""
        return next(t.owner for t in reversed(self.stand_ins.resource.applied) if t.duty == duty).split("/")[
            0
        ]

    def stop(self) -> None:
        """Kills all processes and closes the links."""
        for backend in self.backends.values():
            backend.signal(signal.SIGCONT)
            backend.kill()
            backend.log.close()
        for link in [*self.links.values(), *self.resource_links.values()]:
            link.close()

    def run(self, seconds: float, every: float) -> PlayResult:
        """Runs the experiment and returns its figures."""
        resource, stand_ins = self.stand_ins.resource, self.stand_ins
        try:
            self.start()
            began = stand_ins.now()
            sampler = gevent.spawn(self.sample_reachability)
            last_fault = began + seconds * 1000.0 - QUIET_END_MS
            while stand_ins.now() < began + seconds * 1000.0:
                if every and stand_ins.now() < last_fault:
                    self.fault()
                    gevent.sleep(self.random.expovariate(1.0 / every))
                else:
                    gevent.sleep(0.2)
            sampler.kill()
        finally:
            self.stop()
        end = stand_ins.now()
        usual_gap_ms = 4.0 * STEP_MS
        gaps = resource.gaps(began, end, self.duties)
        unowned = sum(max(0.0, self.unavailability.available_ms(a, b) - usual_gap_ms) for a, b in gaps)
        changes = [
            self.unavailability.available_ms(a.at, b.at)
            for duty in self.duties
            for a, b in pairwise([t for t in resource.applied if t.duty == duty])
            if a.owner != b.owner
        ]
        changes.sort()
        figures: dict[str, float] = {
            **resource.figures(),
            "takeover_s": round(changes[int(0.95 * (len(changes) - 1))] / 1000.0, 3) if changes else 0.0,
            "unowned_share": round(unowned / ((end - began) * len(self.duties)), 4),
            "owner_changes": len(changes),
            "majority_away_share": round(self.unavailability.total_ms() / (end - began), 4),
            "voters_changed": self.voters_changed,
            "stuck": sum(
                end - max(t.at for t in resource.applied if t.duty == one) > STUCK_AFTER_MS
                for one in self.duties
            ),
            "faults": len(self.script),
            "link_bytes_a_member_a_second": round(
                sum(w.bytes for one in self.links.values() for w in (one.out, one.back))
                / len(self.backends)
                / (end / 1000.0)
            ),
        }
        trace = [(round(t.at, 3), t.duty, t.epoch, t.step, t.owner) for t in resource.applied]
        wrong = [
            f"{key} {figures[key]:g}" for key, most in FIGURE_LIMITS.items() if figures.get(key, 0) > most
        ]
        return PlayResult(self.seed, figures, self.script, trace, "; ".join(wrong))


def run_experiment(
    seed: int,
    seconds: float = 40.0,
    every: float = 2.0,
    members: int = 5,
    voters: int = 3,
    duties: int = 4,
    fence: bool = True,
    keep: Path | None = None,
    trusted: bool = True,
    uses_wall_clock_leases: bool = False,
) -> PlayResult:
    """Runs the experiment in real time.

    `every`: mean seconds between faults, 0 for none. `keep`: folder for the logs.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        one = OwnershipRun(seed, members, voters, duties, fence, folder, trusted)
        for backend in one.backends.values():
            backend.uses_wall_clock_leases = uses_wall_clock_leases
        return one.run(seconds, every)
