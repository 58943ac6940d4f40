"""What one connection may cost the others on each path that reads: the agent, the layer below, the membership
list and the peers. A socket that always has data never waits by itself."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from typing import Any

import gevent
import pytest
from gevent import socket
from loguru import logger
from test_edge import PairSocket

from myrtlecrank import log
from myrtlecrank.agent.client import NOTICES_PER_TURN, AgentClient
from myrtlecrank.core.connection_errors import CloseReason
from myrtlecrank.core.messages import CoreEvent
from myrtlecrank.dependency.client import DependencyClient, DependencyConnection
from myrtlecrank.fleet.membership.messages import Ping
from myrtlecrank.fleet.messages import VERSION, Hello
from myrtlecrank.fleet.peer_links import (
    HELLO_TIMEOUT_S,
    MAX_OPERATOR_CONNECTIONS,
    MAX_SMALL_MESSAGE_BYTES,
    MESSAGES_PER_TURN,
    OPERATOR,
    MessageReader,
    PeerLinks,
    RefusedError,
    encode_frame,
)
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.log import MAX_LINES, LimitedLine
from myrtlecrank.membership_list.client import MAX_RESPONSE_BYTES, MembershipListClient

READS = 40


class FullSocket:
    """A socket that always has more of the same lines to read, up to a number of reads."""

    def __init__(self, piece: bytes, first: bytes = b"", most_reads: int = READS) -> None:
        self.first = first
        self.most_reads = most_reads
        self.data = piece * (65536 // len(piece) + 2)
        self.at = 0
        self.piece = len(piece)
        self.reads = 0

    def recv(self, count: int) -> bytes:
        self.reads += 1
        if self.reads > self.most_reads:
            return b""
        if self.first:
            first, self.first = self.first, b""
            return first
        begin = self.at % self.piece
        self.at += count
        return self.data[begin : begin + count]

    def recv_into(self, free: Any) -> int:
        data = self.recv(len(free))
        free[: len(data)] = data
        return len(data)

    def send(self, data: Any) -> int:
        return len(data)

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


def most_work_between_polls(run: Callable[[], object], work: Callable[[], int]) -> int:
    """Runs a reader to its end. Returns the most that it did before the loop looked at the sockets again."""
    counts = [0]
    watcher = gevent.get_hub().loop.prepare()
    watcher.start(lambda: counts.append(work()))
    gevent.spawn(run).join(timeout=30.0)
    watcher.stop()
    counts.append(work())
    return max(after - before for before, after in pairwise(counts))


def test_an_agent_that_always_sends_leaves_the_others_their_turn() -> None:
    events: list[CoreEvent] = []
    client = AgentClient(("127.0.0.1", 1), [], events.append)
    sock = FullSocket(b"sampled b1 0.1\r\n")
    most = most_work_between_polls(lambda: client._read_notices(sock, RingBuffer(65536)), lambda: len(events))
    assert len(events) > 10 * NOTICES_PER_TURN and most <= 2 * NOTICES_PER_TURN


def test_a_layer_below_that_always_sends_leaves_the_others_their_turn() -> None:
    client = DependencyClient(("127.0.0.1", 1), lambda _: None, 1000.0)
    sock = FullSocket(b"unknown PAST\r\n")
    connection = DependencyConnection(sock)
    client.connection = connection
    most = most_work_between_polls(lambda: client._read_replies(connection), lambda: sock.reads)
    assert sock.reads > READS and most <= 2


def test_a_peer_that_always_sends_leaves_the_others_their_turn() -> None:
    frame = encode_frame(Ping(1, []))
    sock = FullSocket(frame)
    reader = MessageReader(sock)
    read = [0]

    def run() -> None:
        while reader.next() is not None:
            read[0] += 1

    most = most_work_between_polls(run, lambda: read[0])
    assert read[0] > 1000 and most <= 2 * MESSAGES_PER_TURN


def test_an_answer_of_the_membership_list_that_never_ends_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a list whose answer keeps the process from all else, its own time-out included."""
    client = MembershipListClient(("127.0.0.1", 1), "b1")
    endless = FullSocket(b"x-field: a\r\n", b"HTTP/1.1 204 No Content\r\n", 10_000)
    monkeypatch.setattr(client, "_is_stale", lambda _: False)
    client.sock = endless
    assert client._send_report(True) is CloseReason.PROTOCOL_ERROR and client.sock is None
    assert endless.at <= 2 * MAX_RESPONSE_BYTES


@pytest.fixture
def links() -> Any:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    links = PeerLinks("f", "a", {"a": address, "b": address}, 16, lambda *_: None, lambda _: None)
    yield links
    links.close()


def test_a_connection_that_has_not_said_who_it_is_may_send_little(links: PeerLinks) -> None:
    """Guards against clients that each fill 8 MB before their Hello."""
    ours, theirs = socket.socketpair()
    gevent.spawn(links._handle_accepted, PairSocket(ours))
    theirs.sendall((MAX_SMALL_MESSAGE_BYTES + 1).to_bytes(4, "little"))
    theirs.settimeout(10.0)
    assert theirs.recv(1) == b"" and links.unidentified_connections == 0


def test_a_hello_that_comes_byte_by_byte_has_one_time_limit(
    links: PeerLinks, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections that hold their place for ever by a byte now and then."""
    monkeypatch.setattr("myrtlecrank.fleet.peer_links.HELLO_TIMEOUT_S", HELLO_TIMEOUT_S / 10.0)
    ours, theirs = socket.socketpair()
    reader = gevent.spawn(links._handle_accepted, PairSocket(ours))
    raw = encode_frame(Hello(VERSION, "f" * 200, "b"))
    for byte in raw:
        gevent.sleep(HELLO_TIMEOUT_S / 100.0)
        if reader.ready():
            break
        theirs.sendall(bytes([byte]))
    assert reader.ready() and links.unidentified_connections == 0


def test_operators_have_a_bounded_number_of_connections(links: PeerLinks) -> None:
    sockets = [socket.socketpair() for _ in range(MAX_OPERATOR_CONNECTIONS + 1)]
    for ours, theirs in sockets:
        gevent.spawn(links._handle_accepted, PairSocket(ours))
        theirs.sendall(encode_frame(Hello(VERSION, "f", OPERATOR)))
        theirs.settimeout(5.0)
        assert theirs.recv(4)
        gevent.sleep(0.01)
    assert links.operator_connections == MAX_OPERATOR_CONNECTIONS
    theirs.setblocking(True)
    while theirs.recv(100):
        pass
    for _, theirs in sockets:
        theirs.close()


def test_a_refused_message_says_which_limit_it_exceeds() -> None:
    reader = MessageReader(FullSocket(b"\xff\xff\xff\x7f"), MAX_SMALL_MESSAGE_BYTES)
    with pytest.raises(RefusedError, match=f"at most {MAX_SMALL_MESSAGE_BYTES}"):
        reader.next()


def test_a_line_that_others_provoke_is_counted_and_not_formatted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a log that fills, or a core that is kept busy, with what a client sends."""
    now = [100.0]
    monkeypatch.setattr(log.time, "monotonic", lambda: now[0])
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line).strip()), format="{message}")
    limited = LimitedLine("WARNING", "it brought {}")
    for number in range(1000):
        limited.log(number)
    assert lines == [f"it brought {number}" for number in range(MAX_LINES)]
    now[0] += 11.0
    limited.log("{}")
    logger.remove(sink)
    assert lines[-1] == f"it brought {{}} (and {1000 - MAX_LINES} more like it since the last line)"
