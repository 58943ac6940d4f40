"""The fault proxy of the rig does what its faults say, or the plays on it show nothing."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from rig.processes.proxy import Proxy

Ends = tuple[Proxy, socket.socket, socket.socket]


@pytest.fixture
def ends() -> Iterator[Ends]:
    """A proxy, and the two ends of a connection through it."""
    home = socket.socket()
    home.bind(("127.0.0.1", 0))
    home.listen()
    proxy = Proxy(home.getsockname())
    near = socket.create_connection(proxy.address, timeout=20)
    far, _ = home.accept()
    far.settimeout(20)
    yield proxy, near, far
    for one in (near, far, home):
        one.close()
    proxy.close()


def came_through(source: socket.socket, target: socket.socket) -> bool:
    """Within a tenth of a second."""
    source.sendall(b"x")
    with gevent.Timeout(0.1, False):
        return target.recv(1) == b"x"
    return False


def test_it_carries_both_ways(ends: Ends) -> None:
    _, near, far = ends
    assert came_through(near, far) and came_through(far, near)


def test_a_one_way_freeze_holds_that_way_alone_and_loses_nothing(ends: Ends) -> None:
    proxy, near, far = ends
    proxy.freeze(0.5, out=True, back=False)
    assert not came_through(near, far) and came_through(far, near)
    assert far.recv(1) == b"x", "it comes once the freeze is over"


def test_it_tells_whether_it_lets_through(ends: Ends) -> None:
    proxy, near, far = ends
    assert came_through(near, far) and proxy.open()
    proxy.freeze(20.0, out=False)
    assert not proxy.open()
    proxy.cut(0.1)
    assert near.recv(1) == b"" and not proxy.open()


def test_a_cut_ends_the_connection_and_refuses_new_ones(ends: Ends) -> None:
    proxy, near, far = ends
    proxy.cut(0.5)
    assert near.recv(1) == b"" and far.recv(1) == b""
    again = socket.create_connection(proxy.address, timeout=20)
    assert again.recv(1) == b""
    again.close()


def test_a_slow_link_is_late_by_what_was_told(ends: Ends) -> None:
    proxy, near, far = ends
    proxy.slow(5.0, 0.2)
    assert not came_through(near, far) and far.recv(1) == b"x"
