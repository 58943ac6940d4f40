"""Tests of the rig's fault proxy: experiments prove nothing if its faults do not take effect."""

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
    """Returns whether a byte arrives within 0.1 s."""
    source.sendall(b"x")
    with gevent.Timeout(0.1, False):
        return target.recv(1) == b"x"
    return False


def test_bytes_pass_in_both_directions(ends: Ends) -> None:
    _, near, far = ends
    assert came_through(near, far) and came_through(far, near)


def test_a_one_way_freeze_delays_that_direction_alone_and_loses_nothing(ends: Ends) -> None:
    proxy, near, far = ends
    proxy.freeze(0.5, out=True, back=False)
    assert not came_through(near, far) and came_through(far, near)
    assert far.recv(1) == b"x", "the byte arrives once the freeze is over"


def test_open_reports_whether_bytes_pass(ends: Ends) -> None:
    proxy, near, far = ends
    assert came_through(near, far) and proxy.open()
    proxy.freeze(20.0, out=False)
    assert not proxy.open()
    proxy.cut(0.1)
    assert near.recv(1) == b"" and not proxy.open()


def test_a_cut_closes_the_connection_and_refuses_new_ones(ends: Ends) -> None:
    proxy, near, far = ends
    proxy.cut(0.5)
    assert near.recv(1) == b"" and far.recv(1) == b""
    again = socket.create_connection(proxy.address, timeout=20)
    assert again.recv(1) == b""
    again.close()


def test_a_slow_link_delays_bytes_by_the_given_time(ends: Ends) -> None:
    proxy, near, far = ends
    proxy.slow(5.0, 0.2)
    assert not came_through(near, far) and far.recv(1) == b"x"
