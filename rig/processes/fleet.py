"""A fleet of real processes under the same load, faults and rules as the virtual one."""

from __future__ import annotations

import shutil
import tempfile
from dataclasses import fields
from pathlib import Path

import gevent
import httptools
from gevent import socket

from rig.backend_stand_in import WARM_UPTIME_MS, BackendStandIn
from rig.fleet import Fleet, Scene
from rig.processes.backend_process import BackendProcess, free_address
from rig.processes.real_clock import RealClock
from rig.processes.reconnect_storm import ReconnectStorm

MAX_LATENESS_MS = 25.0  # above this lateness of the rig itself, its figures are unreliable


class MembershipList:
    """Stand-in for the membership list: answers each report with 204."""

    def __init__(self, fleet: RealFleet) -> None:
        self.fleet = fleet
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.last_report_at: dict[int, float] = {}
        gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            gevent.spawn(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        membership_list = self

        class Report:
            def __init__(self) -> None:
                self.url, self.body = b"", b""

            def on_url(self, url: bytes) -> None:
                self.url += url

            def on_body(self, body: bytes) -> None:
                self.body += body

            def on_message_complete(self) -> None:
                membership_list.reported(int(self.url.rsplit(b"/b", 1)[1]), b'"UP"' in self.body)
                self.url, self.body = b"", b""
                connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

        parser = httptools.HttpRequestParser(Report())
        try:
            while data := connection.recv(4096):
                parser.feed_data(data)
        except (OSError, httptools.HttpParserError):
            pass

    def reported(self, number: int, on: bool) -> None:
        """Handles a report of backend `number`."""
        fleet = self.fleet
        self.last_report_at[number] = fleet.clock.now
        if number < len(fleet.backends) and fleet.listing_history[number][-1][1] != on:
            fleet.report_membership(number, on)


class RealFleet(Fleet):
    """Backends as processes on loopback, in real time."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="rig-"))
        self.operators_file = self.folder / "operators.toml"
        self.operators_file.write_text(_operators_file(scene))
        self.replaced: list[BackendProcess] = []
        self.reconnect_storm = ReconnectStorm(seed)
        self.membership_list = MembershipList(self)
        self.addresses = [free_address(number) for number in range(scene.backends)]
        self.real_clock = RealClock()
        super().__init__(scene, seed, clock=self.real_clock)

    def _start(self, number: int, cold: bool) -> BackendStandIn:
        self.start_count += 1
        if number < len(self.backends):
            old = self.backends[number]
            assert isinstance(old, BackendProcess)
            self.replaced.append(old)
        scene = self.scene
        return BackendProcess(
            number,
            self.real_clock,
            scene.controller_settings(self.seed * 1000 + self.start_count),
            scene.build,
            self.rules,
            cold,
            scene.stop_ms,
            self.report_membership,
            self._read,
            self.membership_list.address,
            self.addresses[number],
            self.folder,
            self.operators_file,
        )

    def revive(self, number: int) -> None:
        super().revive(number)
        one = self.backends[number]
        if self.scene.crowd and isinstance(one, BackendProcess):
            gevent.spawn(self._reconnect, one)

    def _reconnect(self, one: BackendProcess) -> None:
        one.wait_until_listening()
        self.reconnect_storm.connect(one.listen, self.scene.crowd)

    def run(self) -> None:
        try:
            for one in self.backends:
                assert isinstance(one, BackendProcess)
                one.wait_until_listening()
            self.real_clock.begin()
            for one in self.backends:
                one.machine.started_at = -WARM_UPTIME_MS
            super().run()
        finally:
            self.close()

    def close(self) -> None:
        """Kills all processes."""
        for one in self.processes():
            one.alive = False
            if one.process.poll() is None:
                one.process.kill()
            one.process.wait()
        self.membership_list.sock.close()

    def processes(self) -> list[BackendProcess]:
        """Returns all processes of the run, replaced ones included."""
        return [one for one in [*self.backends, *self.replaced] if isinstance(one, BackendProcess)]

    def log(self) -> str:
        """Returns the log lines of all backends and deletes the folder."""
        text = "".join(path.read_text() for path in sorted(self.folder.glob("*.log")))
        shutil.rmtree(self.folder, ignore_errors=True)
        return text

    def usage(self) -> dict[str, float]:
        """Returns CPU and memory of the backends and the lateness of the rig."""
        read = sum(one.read_at is not None for one in self.tries)
        cpu = sum(one.cpu_s for one in self.processes())
        return {
            "cpu_ms_per_exchange": round(1000.0 * cpu / max(1, read), 3),
            "peak_mb": round(max(one.peak_mb for one in self.processes()), 1),
            "rig_late_ms": round(self.real_clock.lateness_ms(), 2),
            **self.reconnect_storm.figures(),
        }

    def incomplete(self) -> str | None:
        """Returns why the figures are unreliable, or None."""
        late = self.real_clock.lateness_ms()
        return f"the rig itself was {late:.0f} ms late (99th percentile)" if late > MAX_LATENESS_MS else None


def _operators_file(scene: Scene) -> str:
    text = ""
    for section, options in (("repeats", scene.repeats), ("accepting", scene.accepting)):
        text += f"[{section}]\n"
        if options is None:
            text += "on = false\n"
            continue
        for option in fields(options):
            text += f"{option.name} = {str(getattr(options, option.name)).lower()}\n"
    return text
