"""The links between members on real loopback sockets: which peers are refused and what is bounded; and the
section [fleet] of the operators' file."""

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
from myrtlecrank.fleet.messages import VERSION, Hello, Message, Query, Report
from myrtlecrank.fleet.options import FleetOptions
from myrtlecrank.fleet.peer_links import (
    LENGTH_PREFIX,
    MAX_MESSAGE_BYTES,
    OPERATOR,
    MessageReader,
    PeerLinks,
    RefusedError,
    encode_frame,
)

ROOT = Path(__file__).resolve().parent.parent
LinkPair = tuple[PeerLinks, PeerLinks, "Queue[Any]"]


@pytest.fixture
def pair() -> Iterator[LinkPair]:
    """The running links of two members, a and b, and the messages that both receive."""
    addresses = {"a": free_address(), "b": free_address()}
    received: Queue[Any] = Queue()

    def links_of(name: str) -> PeerLinks:
        return PeerLinks(
            "f",
            name,
            addresses,
            16,
            lambda sender, message: received.put((name, sender, message)),
            lambda _: Report([{"x": 1}]),
        )

    links = [links_of(name) for name in addresses]
    greenlets = [gevent.spawn(one.run) for one in links]
    yield links[0], links[1], received
    for one in links:
        one.close()
    gevent.killall(greenlets)


def connected(pair: LinkPair) -> Queue[Any]:
    """Waits until the two members are connected; returns the messages that both receive."""
    a, b, received = pair
    with gevent.Timeout(20):
        while a.peers["b"].sock is None or b.peers["a"].sock is None:
            gevent.sleep(0.01)
    return received


def connect_and_send(links: PeerLinks, *messages: Message | bytes) -> tuple[socket.socket, MessageReader]:
    sock = socket.create_connection(links.listener.getsockname(), timeout=20)
    for message in messages:
        sock.sendall(message if isinstance(message, bytes) else encode_frame(message))
    return sock, MessageReader(sock)


def is_closed_by_peer(sock: socket.socket, reader: MessageReader) -> bool:
    """Reads until the other side closes the connection."""
    try:
        while reader.next() is not None:
            pass
    except ConnectionError:
        pass
    sock.close()
    return True


def test_messages_go_both_ways_over_one_connection(pair: LinkPair) -> None:
    received = connected(pair)
    pair[0].send("b", Ping(1, []))
    assert received.get(timeout=20) == ("b", "a", Ping(1, []))
    pair[1].send("a", Ack(1, []))
    assert received.get(timeout=20) == ("a", "b", Ack(1, []))


def test_a_broken_link_is_connected_again(pair: LinkPair) -> None:
    received = connected(pair)
    assert pair[1].peers["a"].sock is not None
    pair[1].peers["a"].close()
    with gevent.Timeout(20):
        while True:
            pair[0].send("b", Ping(2, []))
            try:
                assert received.get(timeout=0.1) == ("b", "a", Ping(2, []))
                break
            except gevent.queue.Empty:
                continue


REFUSED: dict[str, list[Message | bytes]] = {
    "another fleet": [Hello(VERSION, "other", "a")],
    "another version": [Hello(VERSION + 1, "f", "a")],
    "no member": [Hello(VERSION, "f", "nobody")],
    "itself": [Hello(VERSION, "f", "b")],
    "no hello": [Ping(1, [])],
    "a gigabyte": [LENGTH_PREFIX.pack(1_000_000_000)],
    "no message": [LENGTH_PREFIX.pack(4) + b"\xff\xff\xff\xff"],
}


@pytest.mark.parametrize("case", list(REFUSED))
def test_an_invalid_peer_is_refused_with_one_log_line(pair: LinkPair, case: str) -> None:
    lines: list[str] = []
    from loguru import logger

    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    try:
        sock, reader = connect_and_send(pair[1], *REFUSED[case])
        assert is_closed_by_peer(sock, reader)
        with gevent.Timeout(20):
            while not lines:
                gevent.sleep(0.01)
    finally:
        logger.remove(sink)
    assert len(lines) == 1 and "refused" in lines[0] and lines[0].count("\n") == 1


def test_a_peer_that_announces_too_long_a_message_is_disconnected_and_nothing_is_received(
    pair: LinkPair,
) -> None:
    hello = Hello(VERSION, "f", "a")
    sock, reader = connect_and_send(pair[1], hello, LENGTH_PREFIX.pack(MAX_MESSAGE_BYTES + 1), b"x" * 1000)
    assert is_closed_by_peer(sock, reader) and pair[2].empty()


def test_messages_beyond_the_queue_of_a_slow_peer_are_dropped(pair: LinkPair) -> None:
    connected(pair)
    peer = pair[0].peers["b"]
    for i in range(100):
        pair[0].send("b", Ping(i, []))
    assert len(peer.queue) == 16 and peer.dropped == 84


def test_a_peer_whose_messages_block_does_not_block_other_connections(pair: LinkPair) -> None:
    """The mailbox of one peer's messages is full: only its own link waits."""
    connected(pair)
    released = gevent.event.Event()
    pair[1].on_message = lambda sender, message: released.wait()
    pair[0].send("b", Ping(1, []))
    sock, reader = connect_and_send(pair[1], Hello(VERSION, "f", OPERATOR), Query("members"))
    sock.settimeout(20)
    assert isinstance(reader.next(), Hello) and reader.next() == Report([{"x": 1}])
    released.set()
    sock.close()


def test_a_reader_accepts_messages_in_pieces_of_any_size() -> None:
    near, far = socket.socketpair()
    raw = encode_frame(Ping(7, [])) + encode_frame(Ack(8, []))
    reader = MessageReader(far)
    sender = gevent.spawn(lambda: [(near.sendall(raw[i : i + 1]), gevent.sleep(0)) for i in range(len(raw))])
    assert reader.next() == Ping(7, []) and reader.next() == Ack(8, [])
    near.sendall(LENGTH_PREFIX.pack(MAX_MESSAGE_BYTES + 1))
    with pytest.raises(RefusedError, match="announced"):
        reader.next()
    sender.join()
    near.close()
    far.close()


# -- the section of the operators' file

VALID_SECTION = """
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


def test_a_valid_section_is_read(tmp_path: Path) -> None:
    file = tmp_path / "operators.toml"
    file.write_text(VALID_SECTION)
    options = subsystems.load(str(file)).fleet
    assert (
        isinstance(options, FleetOptions)
        and options.members["b"].zone == "z"
        and list(options.duties) == ["sweep"]
    )


@pytest.mark.parametrize(
    ("change", "line"),
    [
        (('["a", "b", "c"]', '["a", "b"]'), "[fleet] voters: must be an odd number of members, found 2"),
        (('["a", "b", "c"]', '["a", "b", "x"]'), "[fleet] voters: 'x' is no member"),
        (
            ('["a", "b", "c"]', '["a", "b", "b"]'),
            "[fleet] voters: must be different members, found one twice",
        ),
        (('"guides"', '""'), "[fleet] name: is ''; allowed: a text that is not empty"),
        (('folder = "/var/lib/x"', ""), "[fleet] folder: voters need one that persists across restarts"),
        (
            ("127.0.0.1:2", "localhost:2"),
            "[fleet] members.b at: 'localhost:2' is not an IPv4 address with a port",
        ),
        (("127.0.0.1:2", "127.0.0.1:1"), "[fleet] members.b at: 127.0.0.1:1 is already the address of a"),
        (('zone = "z"', "zone = 3"), "[fleet.members.b] zone: is 3; allowed: a text"),
        (('zone = "z"', 'zoen = "z"'), "[fleet.members.b] zoen: unknown; is 'zone' meant?"),
        (
            ('to = "127.0.0.1:9"', 'to = "127.0.0.1:9"\ndeadline_ms = 5000'),
            "[fleet] duties.sweep deadline_ms: must be at most lease_ms, 2000, found 5000: no owner could "
            "finish such a step",
        ),
        (
            ('name = "guides"', 'name = "guides"\nlease_ms = 500'),
            "[fleet] reply_ms: four times it must fit into lease_ms, 500, found 250: a renewal that is "
            "retried once would come too late",
        ),
        (
            ('name = "guides"', 'name = "guides"\nprobe_reply_ms = 500'),
            "[fleet] probe_reply_ms: must be below probe_ms, 500, found 500",
        ),
        (
            ('name = "guides"', 'name = "guides"\ndrift = nan'),
            "[fleet] drift: is nan; allowed: a number from 0 to 0.2",
        ),
    ],
)
def test_each_mistake_is_reported_in_one_line_and_nothing_is_applied(
    tmp_path: Path, change: tuple[str, str], line: str
) -> None:
    assert change[0] in VALID_SECTION
    assert mistakes_in(tmp_path, VALID_SECTION.replace(*change)) == [line]


def test_a_backend_that_is_no_member_does_not_start(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(CONFIGURATION))
    (tmp_path / "operators.toml").write_text(VALID_SECTION)
    arguments = ["check", str(tmp_path / "config.json"), "--operators", str(tmp_path / "operators.toml")]
    command = [sys.executable, "-m", "myrtlecrank", *arguments]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 2 and "[fleet] members: this backend, 'n3', is none of them" in done.stderr


LOAD_AND_LIST_MODULES = (
    "import sys, myrtlecrank.cli, myrtlecrank.serve, myrtlecrank.subsystems as s; s.load({!r}); "
    "print([m for m in sys.modules if 'fleet' in m or m.startswith(('msgspec', 'sqlite3'))])"
)


def test_without_its_section_no_module_of_the_fleet_is_imported() -> None:
    """The operators' file of this platform has no such section, so a start there pays nothing for the
    fleet."""
    done = subprocess.run(
        [sys.executable, "-c", LOAD_AND_LIST_MODULES.format("deploy/operators.toml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip() == "[]"


def test_with_its_section_the_same_check_finds_the_fleet_imported(tmp_path: Path) -> None:
    (tmp_path / "operators.toml").write_text(VALID_SECTION)
    done = subprocess.run(
        [sys.executable, "-c", LOAD_AND_LIST_MODULES.format(str(tmp_path / "operators.toml"))],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert "myrtlecrank.fleet.options" in done.stdout
