"""A fleet of real processes under the same load, faults and rules as the virtual one."""

from __future__ import annotations

import shutil
import tempfile
from dataclasses import fields
from pathlib import Path

import gevent
import httptools
from gevent import socket

from rig.backend_stand_in import Stand
from rig.fleet import Fleet, Scene
from rig.processes.backend_process import Process, free_address
from rig.processes.real_clock import RealClock
from rig.processes.reconnect_storm import Crowd

LATE_MS = 25.0  # the rig itself: past that its figures say nothing


class Members:
    """The membership list: takes reports and answers each with 204."""

    def __init__(self, fleet: RealFleet) -> None:
        self.fleet = fleet
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.heard: dict[int, float] = {}
        gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                link, _ = self.sock.accept()
            except OSError:
                return
            gevent.spawn(self._serve, link)

    def _serve(self, link: socket.socket) -> None:
        members = self

        class Report:
            def __init__(self) -> None:
                self.url, self.body = b"", b""

            def on_url(self, url: bytes) -> None:
                self.url += url

            def on_body(self, body: bytes) -> None:
                self.body += body

            def on_message_complete(self) -> None:
                members.reported(int(self.url.rsplit(b"/b", 1)[1]), b'"UP"' in self.body)
                self.url, self.body = b"", b""
                link.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

        parser = httptools.HttpRequestParser(Report())
        try:
            while data := link.recv(4096):
                parser.feed_data(data)
        except (OSError, httptools.HttpParserError):
            pass

    def reported(self, number: int, on: bool) -> None:
        fleet = self.fleet
        self.heard[number] = fleet.clock.now
        if number < len(fleet.backends) and fleet.listed_at[number][-1][1] != on:
            fleet.tell_list(number, on)


class RealFleet(Fleet):
    def __init__(self, scene: Scene, seed: int) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="rig-"))
        self.operators = self.folder / "operators.toml"
        self.operators.write_text(_operators(scene))
        self.gone: list[Process] = []
        self.crowd = Crowd(seed)
        self.members = Members(self)
        self.ports = [free_address(number) for number in range(scene.backends)]
        self.real = RealClock()
        super().__init__(scene, seed, clock=self.real)

    def _start(self, number: int, cold: bool) -> Stand:
        self.starts += 1
        if number < len(self.backends):
            old = self.backends[number]
            assert isinstance(old, Process)
            self.gone.append(old)
        scene = self.scene
        return Process(
            number,
            self.real,
            scene.facts(self.seed * 1000 + self.starts),
            scene.build,
            self.rules,
            cold,
            scene.stop_ms,
            self.tell_list,
            self._read,
            self.members.address,
            self.ports[number],
            self.folder,
            self.operators,
        )

    def revive(self, number: int) -> None:
        super().revive(number)
        one = self.backends[number]
        if self.scene.crowd and isinstance(one, Process):
            gevent.spawn(self._crowd, one)

    def _crowd(self, one: Process) -> None:
        one.wait_up()
        self.crowd.come(one.listen, self.scene.crowd)

    def play(self) -> None:
        try:
            for one in self.backends:
                assert isinstance(one, Process)
                one.wait_up()
            self.real.begin()
            for one in self.backends:
                one.machine.born = -60_000.0
            super().play()
        finally:
            self.close()

    def close(self) -> None:
        for one in self.processes():
            one.alive = False
            if one.process.poll() is None:
                one.process.kill()
            one.process.wait()
        self.members.sock.close()

    def processes(self) -> list[Process]:
        return [one for one in [*self.backends, *self.gone] if isinstance(one, Process)]

    def log(self) -> str:
        """All lines of all backends; the folder goes with them."""
        text = "".join(path.read_text() for path in sorted(self.folder.glob("*.log")))
        shutil.rmtree(self.folder, ignore_errors=True)
        return text

    def usage(self) -> dict[str, float]:
        read = sum(one.read_at is not None for one in self.tries)
        cpu = sum(one.cpu_s for one in self.processes())
        return {
            "cpu_ms_per_exchange": round(1000.0 * cpu / max(1, read), 3),
            "peak_mb": round(max(one.peak_mb for one in self.processes()), 1),
            "rig_late_ms": round(self.real.lateness_ms(), 2),
            **self.crowd.figures(),
        }

    def incomplete(self) -> str | None:
        late = self.real.lateness_ms()
        return f"the rig itself was {late:.0f} ms late (99th percentile)" if late > LATE_MS else None


def _operators(scene: Scene) -> str:
    text = ""
    for section, options in (("repeats", scene.repeats), ("accepting", scene.accepting)):
        text += f"[{section}]\n"
        if options is None:
            text += "on = false\n"
            continue
        for one in fields(options):
            text += f"{one.name} = {str(getattr(options, one.name)).lower()}\n"
    return text
