"""A crowd that comes back at one instant: hundreds of connections, each with a health check, at a backend
that has just come up; some say nothing, some bring half a frame."""

from __future__ import annotations

import random
import time

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from rig.processes import caller_protocol

SAYS_NOTHING, HALF = 0.1, 0.1  # parts of the crowd
WAIT_S = 4.0
LOST_MS = 3000.0  # a health check without an answer by then counts as lost


class Crowd:
    def __init__(self, seed: int) -> None:
        self.chance = random.Random(f"crowd {seed}")
        self.times = HdrHistogram(1, 60_000_000, 3)  # us
        self.asked = self.lost = self.ended = self.left = 0

    def come(self, address: tuple[str, int], count: int) -> None:
        for _ in range(count):
            gevent.spawn(self._one, address, self.chance.random())

    def _one(self, address: tuple[str, int], kind: float) -> None:
        began = time.perf_counter()
        whole = kind >= SAYS_NOTHING + HALF
        self.asked += whole
        try:
            with gevent.Timeout(WAIT_S, TimeoutError()), socket.create_connection(address) as sock:
                if kind < SAYS_NOTHING:
                    self.ended += sock.recv(1) == b""  # silent ones are ended by the backend
                    return
                frame = caller_protocol.frame(caller_protocol.CHECK, 1, {})
                sock.sendall(frame if whole else frame[:6])
                reader = caller_protocol.Reader()
                while data := sock.recv(4096):
                    if whole and any(kind == caller_protocol.CHECKED for kind, *_ in reader.feed(data)):
                        self._answered(began)
                        return
                self.ended += not whole
        except OSError:
            pass
        self.lost += whole

    def _answered(self, began: float) -> None:
        took = (time.perf_counter() - began) * 1000.0
        self.times.record_value(max(1, round(took * 1000.0)))
        self.lost += took > LOST_MS

    def figures(self) -> dict[str, float]:
        if not self.asked:
            return {}
        return {
            "checks": float(self.asked),
            "checks_lost": float(self.lost),
            "check_p50_ms": round(self.times.get_value_at_percentile(50.0) / 1000.0, 1),
            "check_p99_ms": round(self.times.get_value_at_percentile(99.0) / 1000.0, 1),
        }
