"""Links between members on real sockets of loopback: who is refused, what is bounded, and the section of the
operators' file."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.queue import Queue
from test_operators import mistakes_in
from test_program import CONFIGURATION, free_address

from myrtlecrank import subsystems
from myrtlecrank.fleet.membership.messages import Ack, Ping
from myrtlecrank.fleet.messages import VERSION, Hello, Message, Report, Tell
from myrtlecrank.fleet.options import Bounds
from myrtlecrank.fleet.peer_links import LENGTH, LONGEST, OPERATOR, Links, Reader, RefusedError, packed

ROOT = Path(__file__).resolve().parent.parent
Ends = tuple[Links, Links, "Queue[Any]"]


@pytest.fixture
def ends() -> Iterator[Ends]:
    """Two members' links, running, and what came to both."""
    addresses = {"a": free_address(), "b": free_address()}
    came: Queue[Any] = Queue()

    def made(name: str) -> Links:
        return Links(
            "f",
            name,
            addresses,
            16,
            lambda sender, message: came.put((name, sender, message)),
            lambda _: Report([{"x": 1}]),
        )

    links = [made(name) for name in addresses]
    runs = [gevent.spawn(one.run) for one in links]
    yield links[0], links[1], came
    for one in links:
        one.close()
    gevent.killall(runs)


def joined(ends: Ends) -> Queue[Any]:
    a, b, came = ends
    with gevent.Timeout(20):
        while a.peers["b"].sock is None or b.peers["a"].sock is None:
            gevent.sleep(0.01)
    return came


def said_to(links: Links, *messages: Message | bytes) -> tuple[socket.socket, Reader]:
    sock = socket.create_connection(links.listener.getsockname(), timeout=20)
    for message in messages:
        sock.sendall(message if isinstance(message, bytes) else packed(message))
    return sock, Reader(sock)


def ended(sock: socket.socket, reader: Reader) -> bool:
    """The other side closes, whatever it says before."""
    try:
        while reader.next() is not None:
            pass
    except ConnectionError:
        pass
    sock.close()
    return True


def test_messages_go_both_ways_over_one_connection(ends: Ends) -> None:
    came = joined(ends)
    ends[0].send("b", Ping(1, []))
    assert came.get(timeout=20) == ("b", "a", Ping(1, []))
    ends[1].send("a", Ack(1, []))
    assert came.get(timeout=20) == ("a", "b", Ack(1, []))


def test_a_link_that_breaks_is_made_again(ends: Ends) -> None:
    came = joined(ends)
    assert ends[1].peers["a"].sock is not None
    ends[1].peers["a"].close()
    with gevent.Timeout(20):
        while True:
            ends[0].send("b", Ping(2, []))
            try:
                assert came.get(timeout=0.1) == ("b", "a", Ping(2, []))
                break
            except gevent.queue.Empty:
                continue


REFUSED: dict[str, list[Message | bytes]] = {
    "another fleet": [Hello(VERSION, "other", "a")],
    "another version": [Hello(VERSION + 1, "f", "a")],
    "no member": [Hello(VERSION, "f", "nobody")],
    "itself": [Hello(VERSION, "f", "b")],
    "no hello": [Ping(1, [])],
    "a gigabyte": [LENGTH.pack(1_000_000_000)],
    "no message": [LENGTH.pack(4) + b"\xff\xff\xff\xff"],
}


@pytest.mark.parametrize("case", list(REFUSED))
def test_who_is_no_peer_is_refused_in_one_line(ends: Ends, case: str) -> None:
    lines: list[str] = []
    from loguru import logger

    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    try:
        sock, reader = said_to(ends[1], *REFUSED[case])
        assert ended(sock, reader)
        with gevent.Timeout(20):
            while not lines:
                gevent.sleep(0.01)
    finally:
        logger.remove(sink)
    assert len(lines) == 1 and "refused" in lines[0] and lines[0].count("\n") == 1


def test_a_peer_that_announces_too_much_loses_its_link_and_nothing_is_kept(ends: Ends) -> None:
    sock, reader = said_to(ends[1], Hello(VERSION, "f", "a"), LENGTH.pack(LONGEST + 1), b"x" * 1000)
    assert ended(sock, reader) and ends[2].empty()


def test_what_a_slow_peer_does_not_take_is_dropped_beyond_the_queue(ends: Ends) -> None:
    joined(ends)
    peer = ends[0].peers["b"]
    for i in range(100):
        ends[0].send("b", Ping(i, []))
    assert len(peer.waiting) == 16 and peer.dropped == 84


def test_one_peer_that_holds_its_reader_holds_no_other(ends: Ends) -> None:
    """The mailbox of one is full: only its own link waits."""
    joined(ends)
    held = gevent.event.Event()
    ends[1].heard = lambda sender, message: held.wait()
    ends[0].send("b", Ping(1, []))
    sock, reader = said_to(ends[1], Hello(VERSION, "f", OPERATOR), Tell("members"))
    sock.settimeout(20)
    assert isinstance(reader.next(), Hello) and reader.next() == Report([{"x": 1}])
    held.set()
    sock.close()


def test_a_reader_takes_messages_in_any_pieces() -> None:
    near, far = socket.socketpair()
    raw = packed(Ping(7, [])) + packed(Ack(8, []))
    reader = Reader(far)
    sender = gevent.spawn(lambda: [(near.sendall(raw[i : i + 1]), gevent.sleep(0)) for i in range(len(raw))])
    assert reader.next() == Ping(7, []) and reader.next() == Ack(8, [])
    near.sendall(LENGTH.pack(LONGEST + 1))
    with pytest.raises(RefusedError, match="announced"):
        reader.next()
    sender.join()
    near.close()
    far.close()


# -- the section

GOOD = """
[fleet]
on = true
name = "guides"
folder = "/var/lib/x"
voters = ["a", "b", "c"]
[fleet.members.a]
at = "127.0.0.1:1"
[fleet.members.b]
at = "127.0.0.1:2"
zone = "z"
[fleet.members.c]
at = "127.0.0.1:3"
[fleet.duties.sweep]
to = "127.0.0.1:9"
"""


def test_a_whole_section_is_read(tmp_path: Path) -> None:
    file = tmp_path / "operators.toml"
    file.write_text(GOOD)
    bounds = subsystems.load(str(file)).fleet
    assert isinstance(bounds, Bounds) and bounds.members["b"].zone == "z" and list(bounds.duties) == ["sweep"]


@pytest.mark.parametrize(
    ("change", "line"),
    [
        (('["a", "b", "c"]', '["a", "b"]'), "[fleet] voters: are 2; an odd number is wanted"),
        (('["a", "b", "c"]', '["a", "b", "x"]'), "[fleet] voters: 'x' is no member"),
        (('["a", "b", "c"]', '["a", "b", "b"]'), "[fleet] voters: one is named twice"),
        (('"guides"', '""'), "[fleet] name: is ''; allowed: a text that is not empty"),
        (('folder = "/var/lib/x"', ""), "[fleet] folder: voters need one that outlasts them"),
        (
            ("127.0.0.1:2", "localhost:2"),
            "[fleet] members.b at: 'localhost:2' is not an IPv4 address with a port",
        ),
        (("127.0.0.1:2", "127.0.0.1:1"), "[fleet] members.b at: 127.0.0.1:1 is that of a too"),
        (('zone = "z"', "zone = 3"), "[fleet.members.b] zone: is 3; allowed: a text"),
        (('zone = "z"', 'zoen = "z"'), "[fleet.members.b] zoen: unknown; is 'zone' meant?"),
        (
            ('to = "127.0.0.1:9"', 'to = "127.0.0.1:9"\ndeadline_ms = 5000'),
            "[fleet] duties.sweep deadline_ms: is 5000, above lease_ms 2000: no owner could end such a step",
        ),
        (
            ('name = "guides"', 'name = "guides"\nlease_ms = 500'),
            "[fleet] reply_ms: is 250; four of them have to fit into lease_ms 500, or a renewal that is "
            "repeated once comes too late",
        ),
        (
            ('name = "guides"', 'name = "guides"\nprobe_reply_ms = 500'),
            "[fleet] probe_reply_ms: is 500, not below probe_ms 500",
        ),
        (
            ('name = "guides"', 'name = "guides"\ndrift = nan'),
            "[fleet] drift: is nan; allowed: a number from 0 to 0.2",
        ),
    ],
)
def test_each_mistake_is_one_plain_line_and_nothing_is_taken(
    tmp_path: Path, change: tuple[str, str], line: str
) -> None:
    assert change[0] in GOOD
    assert mistakes_in(tmp_path, GOOD.replace(*change)) == [line]


def test_a_backend_that_is_no_member_does_not_start(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(CONFIGURATION))
    (tmp_path / "operators.toml").write_text(GOOD)
    words = ["check", str(tmp_path / "config.json"), "--operators", str(tmp_path / "operators.toml")]
    command = [sys.executable, "-m", "myrtlecrank", *words]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 2 and "[fleet] members: this backend, 'n3', is none of them" in done.stderr


LOADED = (
    "import sys, myrtlecrank.cli, myrtlecrank.serve, myrtlecrank.subsystems as s; s.load({!r}); "
    "print([m for m in sys.modules if 'fleet' in m or m.startswith(('msgspec', 'sqlite3'))])"
)


def test_without_its_section_nothing_of_the_fleet_is_imported() -> None:
    """The file of this platform leaves it out: `run` pays nothing for it."""
    done = subprocess.run(
        [sys.executable, "-c", LOADED.format("deploy/operators.toml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip() == "[]"


def test_the_same_look_sees_it_where_the_section_is_on(tmp_path: Path) -> None:
    (tmp_path / "operators.toml").write_text(GOOD)
    done = subprocess.run(
        [sys.executable, "-c", LOADED.format(str(tmp_path / "operators.toml"))],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert "myrtlecrank.fleet.options" in done.stdout
