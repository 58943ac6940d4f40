"""A fault proxy on each link between members: cut one way or both, delay, rate, freeze, drop. Loopback
only."""

from __future__ import annotations

import time

import gevent
from gevent import socket

CHUNK = 16384


class Way:
    """One direction of a link. What is read while it is frozen stays in it; what is read while it is cut is
    lost, and as bytes of a stream can't be left out, the connection ends then."""

    def __init__(self) -> None:
        self.frozen_until = 0.0
        self.delay_s = 0.0
        self.delay_until = 0.0
        self.rate = 0.0  # bytes a second; 0: as fast as it goes
        self.bytes = 0

    def hold(self, now: float) -> float:
        wait = max(0.0, self.frozen_until - now)
        return wait + (self.delay_s if now < self.delay_until else 0.0)


class Proxy:
    """Stands where one member's peers look for it, for one of them."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.out, self.back = Way(), Way()  # from the one that connects, and to it
        self.refused_until = 0.0
        self.pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.address: tuple[str, int] = self.listener.getsockname()
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            gevent.spawn(self._pair, near)

    def _pair(self, near: socket.socket) -> None:
        if time.monotonic() < self.refused_until:
            near.close()
            return
        try:
            far = socket.create_connection(self.target, timeout=1.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self.pairs.add(pair)
        gevent.joinall(
            [gevent.spawn(self._carry, near, far, self.out), gevent.spawn(self._carry, far, near, self.back)],
            count=1,
        )
        self._end(pair)

    def _end(self, pair: tuple[socket.socket, socket.socket]) -> None:
        self.pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _carry(self, source: socket.socket, target: socket.socket, way: Way) -> None:
        try:
            while data := source.recv(CHUNK):
                while (wait := way.hold(time.monotonic())) > 0.0:
                    gevent.sleep(wait)
                    if way.frozen_until <= time.monotonic():
                        break
                if way.rate:
                    gevent.sleep(len(data) / way.rate)
                way.bytes += len(data)
                target.sendall(data)
        except OSError:
            pass

    def open(self, within_s: float = 0.1) -> bool:
        """A connection stands, and each way lets through within this time."""
        now = time.monotonic()
        return bool(self.pairs) and all(way.hold(now) <= within_s for way in (self.out, self.back))

    # -- faults

    def drop(self) -> None:
        for pair in list(self.pairs):
            self._end(pair)

    def cut(self, seconds: float) -> None:
        """Both ways, and new connections are refused."""
        self.refused_until = max(self.refused_until, time.monotonic() + seconds)
        self.drop()

    def freeze(self, seconds: float, out: bool = True, back: bool = True) -> None:
        """The connection is kept and nothing comes through: a cut as a machine sees it whose peer is
        unreachable."""
        until = time.monotonic() + seconds
        for way, wanted in ((self.out, out), (self.back, back)):
            if wanted:
                way.frozen_until = max(way.frozen_until, until)

    def slow(self, seconds: float, delay_s: float) -> None:
        for way in (self.out, self.back):
            way.delay_s, way.delay_until = delay_s, time.monotonic() + seconds

    def close(self) -> None:
        self.listener.close()
        self.drop()
