"""Reconnect storm: hundreds of connections, each with a health check, open at once to a backend that has just
started. Some send nothing, some send half a frame."""

from __future__ import annotations

import random
import time

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from rig.processes import caller_protocol

SILENT_SHARE = 0.1
INCOMPLETE_SHARE = 0.1  # sends half a frame
TIMEOUT_S = 4.0
LOST_AFTER_MS = 3000.0  # a health check answered later counts as lost


class ReconnectStorm:
    """Opens the connections and measures the health checks."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(f"crowd {seed}")
        self.latency_us = HdrHistogram(1, 60_000_000, 3)
        self.checks = self.checks_lost = self.closed_by_backend = 0

    def connect(self, address: tuple[str, int], count: int) -> None:
        """Opens `count` connections at once."""
        for _ in range(count):
            gevent.spawn(self._run_client, address, self.random.random())

    def _run_client(self, address: tuple[str, int], kind: float) -> None:
        began = time.perf_counter()
        sends_whole_frame = kind >= SILENT_SHARE + INCOMPLETE_SHARE
        self.checks += sends_whole_frame
        try:
            with gevent.Timeout(TIMEOUT_S, TimeoutError()), socket.create_connection(address) as sock:
                if kind < SILENT_SHARE:
                    self.closed_by_backend += sock.recv(1) == b""  # the backend closes silent connections
                    return
                frame = caller_protocol.frame(caller_protocol.HEALTH_CHECK, 1, {})
                sock.sendall(frame if sends_whole_frame else frame[:6])
                reader = caller_protocol.FrameReader()
                while data := sock.recv(4096):
                    if sends_whole_frame and any(
                        kind == caller_protocol.HEALTH for kind, *_ in reader.feed(data)
                    ):
                        self._answered(began)
                        return
                self.closed_by_backend += not sends_whole_frame
        except OSError:
            pass
        self.checks_lost += sends_whole_frame

    def _answered(self, began: float) -> None:
        latency_ms = (time.perf_counter() - began) * 1000.0
        self.latency_us.record_value(max(1, round(latency_ms * 1000.0)))
        self.checks_lost += latency_ms > LOST_AFTER_MS

    def figures(self) -> dict[str, float]:
        """Returns the figures of the health checks, or nothing if there were none."""
        if not self.checks:
            return {}
        return {
            "checks": float(self.checks),
            "checks_lost": float(self.checks_lost),
            "check_p50_ms": round(self.latency_us.get_value_at_percentile(50.0) / 1000.0, 1),
            "check_p99_ms": round(self.latency_us.get_value_at_percentile(99.0) / 1000.0, 1),
        }
