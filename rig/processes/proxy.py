"""TCP proxy on loopback that injects faults on a link between two members: cut, freeze, delay, rate limit."""

from __future__ import annotations

import time

import gevent
from gevent import socket

CHUNK_BYTES = 16384


class Direction:
    """One direction of a link.

    Bytes read during a freeze are sent when it is over. Bytes read during a cut are lost; as a stream cannot
    skip bytes, a cut also closes the connection.
    """

    def __init__(self) -> None:
        self.frozen_until = 0.0
        self.delay_s = 0.0
        self.delay_until = 0.0
        self.rate_bytes_per_s = 0.0  # 0: no limit
        self.bytes = 0

    def delay_left_s(self, now: float) -> float:
        """Returns how long bytes read now are delayed."""
        wait = max(0.0, self.frozen_until - now)
        return wait + (self.delay_s if now < self.delay_until else 0.0)


class Proxy:
    """Takes the place of one member's address for one of its peers."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.out, self.back = Direction(), Direction()  # from the connecting member, and to it
        self.refused_until = 0.0
        self.connections: set[tuple[socket.socket, socket.socket]] = set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.address: tuple[str, int] = self.listener.getsockname()
        gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            gevent.spawn(self._connect_pair, near)

    def _connect_pair(self, near: socket.socket) -> None:
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
        self.connections.add(pair)
        gevent.joinall(
            [gevent.spawn(self._carry, near, far, self.out), gevent.spawn(self._carry, far, near, self.back)],
            count=1,
        )
        self._close_pair(pair)

    def _close_pair(self, pair: tuple[socket.socket, socket.socket]) -> None:
        self.connections.discard(pair)
        for sock in pair:
            sock.close()

    def _carry(self, source: socket.socket, target: socket.socket, direction: Direction) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                while (wait := direction.delay_left_s(time.monotonic())) > 0.0:
                    gevent.sleep(wait)
                    if direction.frozen_until <= time.monotonic():
                        break
                if direction.rate_bytes_per_s:
                    gevent.sleep(len(data) / direction.rate_bytes_per_s)
                direction.bytes += len(data)
                target.sendall(data)
        except OSError:
            pass

    def open(self, within_s: float = 0.1) -> bool:
        """Returns whether there is a connection whose directions are both delayed by `within_s` at most."""
        now = time.monotonic()
        return bool(self.connections) and all(
            direction.delay_left_s(now) <= within_s for direction in (self.out, self.back)
        )

    # Faults

    def drop(self) -> None:
        """Closes all connections."""
        for pair in list(self.connections):
            self._close_pair(pair)

    def cut(self, seconds: float) -> None:
        """Closes all connections and refuses new ones."""
        self.refused_until = max(self.refused_until, time.monotonic() + seconds)
        self.drop()

    def freeze(self, seconds: float, out: bool = True, back: bool = True) -> None:
        """Holds all bytes back but keeps the connection, as when a peer's machine becomes unreachable."""
        until = time.monotonic() + seconds
        for direction, wanted in ((self.out, out), (self.back, back)):
            if wanted:
                direction.frozen_until = max(direction.frozen_until, until)

    def slow(self, seconds: float, delay_s: float) -> None:
        """Delays both directions."""
        for direction in (self.out, self.back):
            direction.delay_s, direction.delay_until = delay_s, time.monotonic() + seconds

    def close(self) -> None:
        """Stops the proxy."""
        self.listener.close()
        self.drop()
