"""Connections and callers over socket pairs; the list over a listener on a free port."""

from __future__ import annotations

import struct
import time
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket
from helpers import Play, ask_bytes, group

from myrtlecrank.core.actor import now_ms
from myrtlecrank.core.connection_errors import End
from myrtlecrank.core.messages import Answer, Arrived, CallersLeft, Leave, Verdict
from myrtlecrank.edge.accept_rate import Accepting
from myrtlecrank.edge.server import Front
from myrtlecrank.frames import codec
from myrtlecrank.frames.ring_buffer import Ring
from myrtlecrank.membership_list.client import Roll
from myrtlecrank.policy.interface import Kind, Tenant

WAIT_S = 10.0


class Door:
    """A front whose module's actor does not run: its mailbox is read by hand."""

    def __init__(
        self, sockets: int = 1024, kind: Kind = Kind.REPEATABLE, most: int | None = None, **others: Any
    ) -> None:
        self.play = Play(group(kind), tenants=[Tenant("acme", 1.0, 10.0)], idle=30_000.0, **others)
        self.core = self.play.core
        self.front = Front(("127.0.0.1", 0), sockets, self.core)
        self.front.most = most or self.front.most

    def open(self) -> tuple[Any, Any]:
        """Our end of a new connection, and the caller's."""
        ours, theirs = socket.socketpair()
        theirs.settimeout(WAIT_S)
        connection = self.front.accept(Pair(ours))
        return connection, theirs

    def look(self, ms: float) -> None:
        """As many beats as come in that time."""
        for _ in range(round(ms / 100.0)):
            self.front.sweep(self.front.swept + 100.0)

    def tickets(self, count: int) -> list[Any]:
        found: list[Any] = []
        while len(found) < count:
            letters = self.core.mailbox.take(WAIT_S * 1000.0)
            assert letters, "nothing came"
            found += [letter.ticket for letter in letters if isinstance(letter, Arrived)]
        return found


class Pair:
    """A socket of a pair knows no option of TCP."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock

    def setsockopt(self, *_: int) -> None:
        pass

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


@pytest.fixture
def door() -> Iterator[Door]:
    with gevent.Timeout(3 * WAIT_S):
        made = Door()
        yield made
        made.front.listener.close()


def read(sock: Any) -> tuple[int, int, bytes]:
    raw = b""
    while len(raw) < 4 or len(raw) < 4 + int.from_bytes(raw[:4], "little"):
        size = 4 + int.from_bytes(raw[:4], "little") - len(raw) if len(raw) >= 4 else 4 - len(raw)
        piece = sock.recv(size)
        if not piece:
            return 0, 0, b""
        raw += piece
    kind, stream = struct.unpack_from("<BI", raw, 4)
    return kind, stream, raw[9:]


def test_answers_go_to_their_streams_in_any_order(door: Door) -> None:
    _, sock = door.open()
    sock.sendall(b"".join(ask_bytes(stream) for stream in range(1, 33)))
    tickets = door.tickets(32)
    assert all(t.kb == 24.5 and t.wait == 480.0 and t.body == b"body" and t.caller == 4 for t in tickets)
    door.core.board.value = 2.0
    for ticket in reversed(tickets):
        ticket.answer(Answer(ticket, Verdict.COMPLETED, ticket.ident.encode()))
    seen = [read(sock) for _ in tickets]
    assert [stream for _, stream, _ in seen] == list(range(32, 0, -1))
    assert all(body == b"\0\x01\x01v\x01\x002%016x" % stream for _, stream, body in seen)


def test_a_health_check_hears_health_and_value(door: Door) -> None:
    _, sock = door.open()
    check = codec.framed(codec.CHECK, 3, b"\0")
    sock.sendall(check)
    assert read(sock) == (codec.CHECKED, 3, b"\0\0")
    door.core.board.well, door.core.board.value = False, 0.0
    sock.sendall(check)
    assert read(sock) == (codec.CHECKED, 3, b"\x01\x01\x01v\x01\x000")


@pytest.mark.parametrize(
    "changes",
    [
        {"c": "other"},
        {"t": "other"},
        {"t": None},
        {"d": None},
        {"m": "x"},
        {"s": "99999999999999"},
        {"d": "8001"},
    ],
)
def test_an_exchange_that_cannot_be_taken_in_is_terminated_alone(door: Door, changes: Any) -> None:
    _, sock = door.open()
    sock.sendall(ask_bytes(1, **changes) + ask_bytes(2))
    assert [t.ident for t in door.tickets(1)] == [f"{2:016x}"]
    kind, stream, payload = read(sock)
    assert (kind, stream, payload[0]) == (codec.ANSWER, 1, codec.TERMINATED)


def test_tries_of_a_deduplicated_exchange_carry_their_key_and_without_one_it_is_not_run() -> None:
    with gevent.Timeout(3 * WAIT_S):
        door = Door(kind=Kind.DEDUPLICATED)
        (_, first), (_, second) = door.open(), door.open()
        first.sendall(ask_bytes(1, k="53bb", o="x"))
        second.sendall(ask_bytes(1) + ask_bytes(2, k="53bb"))
        assert [t.about for t in door.tickets(2)] == ["53bb", "53bb"]
        kind, stream, payload = read(second)
        assert (kind, stream, payload[0]) == (codec.ANSWER, 1, codec.TERMINATED)
        door.front.listener.close()


def test_an_exchange_that_is_given_up_leaves_the_others_on_its_connection_alone() -> None:
    with gevent.Timeout(3 * WAIT_S):
        door = Door(tells_gone=True)
        connection, sock = door.open()
        sock.sendall(ask_bytes(1) + ask_bytes(2))
        first, second = door.tickets(2)
        # The second one's answer crosses the word that it is given up.
        second.answer(Answer(second, Verdict.COMPLETED, b"r"))
        sock.sendall(b"".join(codec.framed(codec.GIVE_UP, stream, b"\0") for stream in (1, 2, 9)))
        assert door.core.mailbox.take(WAIT_S * 1000.0) == [CallersLeft([first])]
        first.answer(Answer(first, Verdict.COMPLETED, b"late"))
        sock.sendall(ask_bytes(3))
        assert len(door.tickets(1)) == 1 and connection.end is None
        seen = {read(sock) for _ in range(2)}
        assert seen == {(codec.ANSWER, 1, b"\x02\0"), (codec.ANSWER, 2, b"\0\0r")} and not door.core.mailbox
        sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            sock.recv(1)
        door.front.listener.close()


def test_more_streams_than_allowed_are_terminated(door: Door) -> None:
    _, sock = door.open()
    sock.sendall(b"".join(ask_bytes(stream) for stream in range(1, 34)))
    assert read(sock)[1:] == (33, bytes([codec.TERMINATED, 0])) and len(door.tickets(32)) == 32


@pytest.mark.parametrize("bad", [b"\0\0\0\0", ask_bytes(1), codec.framed(77, 1, b"")])
def test_what_cannot_be_read_ends_that_connection_once_what_was_read_before_is_answered(
    door: Door, bad: bytes
) -> None:
    (connection, sock), (_, other) = door.open(), door.open()
    sock.sendall(ask_bytes(1) + bad + ask_bytes(9))
    (ticket,) = door.tickets(1)
    assert read(sock)[:2] == (codec.ANSWER, 0) and connection.end is None
    other.sendall(ask_bytes(1))
    assert [t.place[0] for t in door.tickets(1)] != [connection]
    ticket.answer(Answer(ticket, Verdict.COMPLETED, b"r"))
    assert read(sock) == (codec.ANSWER, 1, b"\0\0r") and read(sock) == (0, 0, b"")
    sock.close()
    while connection in door.front.connections:
        gevent.sleep(0)
    assert connection.end is End.BROKEN and not door.core.mailbox


def at_a_socket(door: Door) -> tuple[Any, Any]:
    """A caller over TCP, as resets are there, and our end of it."""
    caller = socket.create_connection(door.front.listener.getsockname(), timeout=WAIT_S)
    return caller, door.front.accept(door.front.listener.accept()[0])


def test_bytes_that_were_never_read_destroy_no_answer_on_its_way(door: Door) -> None:
    """A caller brings more than is read after its bad frame, and listens only then."""
    caller, connection = at_a_socket(door)
    caller.sendall(ask_bytes(1) + b"\0\0\0\0" + bytes(20_000))
    (ticket,) = door.tickets(1)
    ticket.answer(Answer(ticket, Verdict.COMPLETED, bytes(4000)))
    while not connection.taken or connection.open or connection.outgoing:
        gevent.sleep(0)
    caller.sendall(bytes(20_000))
    caller.shutdown(socket.SHUT_WR)
    while connection.end is None:
        gevent.sleep(0)
    assert read(caller)[:2] == (codec.ANSWER, 0)
    assert read(caller)[1:] == (1, bytes(4002)) and read(caller) == (0, 0, b"")


def test_a_caller_that_shuts_only_its_writing_side_gets_its_answers(door: Door) -> None:
    caller, connection = at_a_socket(door)
    caller.sendall(ask_bytes(1) + ask_bytes(2))
    caller.shutdown(socket.SHUT_WR)
    tickets = door.tickets(2)
    while connection.over is None:
        gevent.sleep(0)
    door.look(1000.0)
    assert connection.end is None and not door.core.mailbox
    for ticket in tickets:
        ticket.answer(Answer(ticket, Verdict.COMPLETED, b"r"))
    assert [read(caller)[:2] for _ in range(3)] == [(codec.AWAY, 0), (codec.ANSWER, 1), (codec.ANSWER, 2)]
    assert read(caller) == (0, 0, b"") and connection.end is End.CLOSED


def test_a_caller_that_is_gone_altogether_is_told_from_one_that_shut_its_writing_side(door: Door) -> None:
    caller, _ = at_a_socket(door)
    caller.sendall(ask_bytes(1))
    (ticket,) = door.tickets(1)
    caller.close()
    assert door.core.mailbox.take(WAIT_S * 1000.0) == [CallersLeft([ticket])]


def test_half_a_frame_costs_no_exchange_that_was_read_before_it(door: Door) -> None:
    connection, sock = door.open()
    sock.sendall(ask_bytes(1) + ask_bytes(2)[:20])
    (ticket,) = door.tickets(1)
    gevent.sleep(0)
    door.look(5000.0)
    assert connection.end is None
    ticket.answer(Answer(ticket, Verdict.COMPLETED, b"r"))
    assert read(sock) == (codec.ANSWER, 1, b"\0\0r")
    door.look(200.0)
    assert connection.end is End.HALF


@pytest.mark.parametrize("how", ["room", "sweep"])
@pytest.mark.parametrize("what", ["answer", "half"])
def test_what_is_on_its_way_makes_its_connection_no_idle_one(door: Door, how: str, what: str) -> None:
    """The end of what idles comes while an answer still waits for a slow reader, or between two halves of an
    exchange, of which the first was read."""
    connection, sock = door.open()
    sock.sendall(ask_bytes(1) + (ask_bytes(2)[:20] if what == "half" else b""))
    (ticket,) = door.tickets(1)
    door.core.board.idle, connection.away_at = 100.0, 0.0
    result = bytes(4_000_000) if what == "answer" else b"r"
    ticket.answer(Answer(ticket, Verdict.COMPLETED, result))
    while connection.open:
        gevent.sleep(0)
    assert connection.flushing is (what == "answer")
    if how == "room":
        assert not door.front.make_room()
    else:
        door.front.sweep(connection.last_used + 10_000.0)
    assert connection.end is None and read(sock) == (codec.ANSWER, 1, b"\0\0" + result)
    sock.sendall(ask_bytes(2)[20 if what == "half" else 0 :])
    assert len(door.tickets(1)) == 1


@pytest.mark.parametrize("how", ["sweep", "shut"])
def test_one_that_is_seen_off_is_not_told_away_over_its_answers(door: Door, how: str) -> None:
    """It brought a bad frame after an exchange, more lies unread, and its side is shut after the answer: what
    is told to idle connections, or to all at the end of the grace, would break it off."""
    caller, connection = at_a_socket(door)
    caller.sendall(ask_bytes(1) + b"\0\0\0\0")
    (ticket,) = door.tickets(1)
    ticket.answer(Answer(ticket, Verdict.COMPLETED, bytes(4000)))
    while connection.open or connection.outgoing:
        gevent.sleep(0)
    gevent.sleep(0)
    caller.sendall(bytes(2000))
    if how == "sweep":
        door.core.board.idle = 100.0
        door.front.sweep(connection.last_used + 5000.0)
    else:
        door.front.shut()
    assert connection.end is None
    assert read(caller)[:2] == (codec.ANSWER, 0) and read(caller)[1:] == (1, bytes(4002))
    assert read(caller) == (0, 0, b"")


@pytest.mark.parametrize("how", ["room", "sweep"])
def test_an_exchange_that_lies_unread_makes_its_connection_no_idle_one(door: Door, how: str) -> None:
    """It comes after the last read and before the close: the reader has had no turn yet."""
    caller, connection = at_a_socket(door)
    gevent.sleep(0)
    connection.frames, connection.away_at = 1, 0.0
    door.core.board.idle = 100.0
    caller.sendall(ask_bytes(1))
    if how == "room":
        assert not door.front.make_room()
    else:
        door.front.sweep(connection.last_used + 10_000.0)
    assert connection.end is None and len(door.tickets(1)) == 1


def test_a_caller_that_goes_away_is_told_to_the_module(door: Door) -> None:
    connection, sock = door.open()
    sock.sendall(ask_bytes(1))
    (ticket,) = door.tickets(1)
    sock.close()
    assert door.core.mailbox.take(WAIT_S * 1000.0) == [CallersLeft([ticket])]
    assert connection.end is End.CLOSED and not door.front.connections and not door.front.callers


def test_a_reader_that_stalls_holds_up_nobody_else(door: Door) -> None:
    (slow, stalled), (_, sock) = door.open(), door.open()
    result = bytes(codec.RESULT)
    for first in range(1, 3000, 32):
        stalled.sendall(b"".join(ask_bytes(stream) for stream in range(first, first + 32)))
        letters = door.core.mailbox.take(300.0)
        if not letters:
            break  # no longer read, as it takes nothing
        for letter in letters:
            letter.ticket.answer(Answer(letter.ticket, Verdict.COMPLETED, result))
        gevent.sleep(0)
    assert slow.outgoing.capacity <= 262_144
    sock.sendall(ask_bytes(1))
    ticket = next(t for t in iter(lambda: door.tickets(1)[-1], None) if t.place[0] is not slow)
    ticket.answer(Answer(ticket, Verdict.DENIED))
    assert read(sock)[1] == 1


def test_a_reader_that_takes_nothing_for_long_is_closed(door: Door) -> None:
    connection, _ = door.open()
    connection.frames = 1
    connection.send(bytes(4_000_000))
    gevent.sleep(0)
    gevent.sleep(0)
    door.look(4000.0)
    assert connection.end is None
    door.look(2000.0)
    assert connection.end is End.STUCK


@pytest.mark.parametrize(
    "said",
    [
        b"",
        ask_bytes(1)[:20],
        ask_bytes(1, body=bytes(50_000))[:30_000],
        codec.framed(codec.CHECK, 3, b"\0") + ask_bytes(1)[:3],
    ],
)
def test_a_connection_that_brings_no_whole_frame_in_time_is_closed(door: Door, said: bytes) -> None:
    (connection, sock), (sound, other) = door.open(), door.open()
    sock.sendall(said)
    other.sendall(codec.framed(codec.CHECK, 3, b"\0"))
    gevent.sleep(0.02)
    door.front.sweep(door.front.swept + 10_000.0)  # we stood still: no fault of theirs
    door.look(1500.0)
    assert connection.end is None
    door.look(1000.0)
    assert connection.end is End.HALF and sound.end is None


def test_a_frame_that_waits_for_us_is_not_late(door: Door) -> None:
    connection, sock = door.open()
    door.core.mailbox.capacity = 0
    sock.sendall(ask_bytes(1) + ask_bytes(2)[:20])
    gevent.sleep(0.02)
    door.look(5000.0)
    assert connection.end is None


def test_a_sender_at_full_speed_leaves_the_others_their_turn(door: Door) -> None:
    """A socket that always has something to read never waits, so its reader must give way by itself."""
    connection, _ = door.open()
    long, turns = ask_bytes(1, body=bytes(codec.LONGEST - 200)), [0]

    class Full:
        def recv_into(self, room: Any) -> int:
            room[:] = (long * 2)[: len(room)]
            turns[0] += 1
            return len(room) if turns[0] < 5000 else 0

        def __getattr__(self, name: str) -> Any:
            return lambda *_: 1

    connection.sock = Full()
    reader = gevent.spawn(connection.run)
    gevent.sleep(0)
    gevent.sleep(0)
    assert 0 < turns[0] <= 64
    reader.kill()


def test_a_reset_in_the_middle_of_a_frame_disturbs_nobody_else(door: Door) -> None:
    accepting = gevent.spawn(door.front.run)
    address = door.front.listener.getsockname()
    broken, sound = socket.create_connection(address), socket.create_connection(address)
    broken.sendall(ask_bytes(1) + ask_bytes(2)[:20])
    (ticket,) = door.tickets(1)
    broken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    broken.close()
    assert door.core.mailbox.take(WAIT_S * 1000.0) == [CallersLeft([ticket])]
    assert ticket.place[0].end is End.RESET
    sound.sendall(ask_bytes(1))
    assert len(door.tickets(1)) == 1
    accepting.kill()
    door.front.accepting.kill()


def test_idle_connections_are_asked_to_close_and_busy_ones_are_not(door: Door) -> None:
    (idle, sock), (busy, other) = door.open(), door.open()
    other.sendall(ask_bytes(1))
    door.tickets(1)
    door.core.board.idle = 500.0
    now = max(idle.last_used, busy.last_used) + 501.0
    door.front.sweep(now)
    assert read(sock) == (codec.AWAY, 0, b"") and busy.away_at is None
    door.front.sweep(now + 3000.0)
    assert idle.end is End.LEFT and read(sock) == (0, 0, b"")


def test_the_listener_closes_once_nothing_more_would_run_and_what_crosses_is_taken(door: Door) -> None:
    _, sock = door.open()
    sock.sendall(ask_bytes(1))
    door.tickets(1)
    door.play.turn(0.0, Leave(0.0))
    sock.sendall(ask_bytes(2))
    assert len(door.tickets(1)) == 1 and not door.front.listener.closed
    door.play.turn(1000.0)
    assert read(sock) == (codec.AWAY, 0, b"") and door.front.listener.closed
    sock.sendall(ask_bytes(3))
    assert len(door.tickets(1)) == 1


def test_what_the_machine_accepted_before_the_listener_closes_is_still_taken(door: Door) -> None:
    with socket.socket() as caller:
        caller.settimeout(WAIT_S)
        caller.connect(door.front.listener.getsockname())
        caller.sendall(ask_bytes(1))
        door.front.shut()
        assert len(door.tickets(1)) == 1


def test_a_crowd_at_the_listener_when_it_closes_takes_no_more_descriptors_than_there_are() -> None:
    with gevent.Timeout(3 * WAIT_S):
        door = Door(most=3)
        address = door.front.listener.getsockname()
        crowd = [socket.create_connection(address, timeout=WAIT_S) for _ in range(12)]
        for sock in crowd:
            sock.sendall(ask_bytes(1))
        door.front.shut()
        answered = 0
        while answered < len(crowd):
            for ticket in door.tickets(1):
                assert len(door.front.connections) <= 3
                ticket.answer(Answer(ticket, Verdict.DENIED))
                answered += 1
        for sock in crowd:
            # Each is told to bring no more before or after its answer, and none is reset.
            assert {read(sock)[0] for _ in range(2)} == {codec.AWAY, codec.ANSWER}
            sock.close()
        while not door.front.emptied():
            gevent.sleep(0.001)


def test_a_caller_that_waits_at_the_listener_keeps_the_drain_from_its_end() -> None:
    with gevent.Timeout(3 * WAIT_S):
        door = Door(most=1)
        address = door.front.listener.getsockname()
        first, second = (socket.create_connection(address, timeout=WAIT_S) for _ in range(2))
        door.front.shut()
        (connection,) = door.front.connections
        door.front.ended(connection)  # between its end and the turn in which the next one is accepted
        assert not door.front.connections and not door.front.emptied()
        second.sendall(ask_bytes(1))
        assert len(door.tickets(1)) == 1
        first.close()
        second.close()
        while not door.front.emptied():
            gevent.sleep(0.001)


def test_one_that_gave_up_in_the_backlog_costs_those_behind_it_nothing(door: Door) -> None:
    """The listener is asked for the rest of what came, and the first of that has broken off."""
    real = door.front.listener
    broken = [ConnectionAbortedError()]

    class Listener:
        def accept(self) -> Any:
            if broken:
                raise broken.pop()
            return real.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(real, name)

    with socket.socket() as caller:
        caller.settimeout(WAIT_S)
        caller.connect(real.getsockname())
        caller.sendall(ask_bytes(1))
        door.front.listener = Listener()
        door.front.shut()
        assert len(door.tickets(1)) == 1 and real.closed


def test_a_crowd_is_accepted_at_a_pace_and_every_health_check_in_it_is_answered(door: Door) -> None:
    door.front.adopt(Accepting(per_second=100.0, cold_per_second=100.0, burst=4))
    assert door.front.pace is not None
    address = door.front.listener.getsockname()
    crowd = [socket.create_connection(address, timeout=WAIT_S) for _ in range(40)]
    for sock in crowd:
        sock.sendall(codec.framed(codec.CHECK, 1, b"\0"))
    accepting = gevent.spawn(door.front.run)  # once all are there, however busy the machine is
    assert [read(sock)[0] for sock in crowd] == [codec.CHECKED] * 40
    assert door.front.pace.held_back > 0
    accepting.kill()


def test_a_pace_that_is_turned_off_holds_nobody_back(door: Door) -> None:
    door.front.adopt(Accepting(per_second=10.0, cold_per_second=10.0, burst=1))
    door.front.adopt(None)
    accepting = gevent.spawn(door.front.run)
    address = door.front.listener.getsockname()
    crowd = [socket.create_connection(address, timeout=WAIT_S) for _ in range(20)]
    for sock in crowd:
        sock.sendall(codec.framed(codec.CHECK, 1, b"\0"))
    assert [read(sock)[0] for sock in crowd] == [codec.CHECKED] * 20
    accepting.kill()


def list_stand_in(listener: Any, heard: list[bytes], replies: list[bytes]) -> None:
    for reply in replies:
        sock, _ = listener.accept()
        heard.append(sock.recv(4096))
        sock.sendall(reply)
        if b"204" in reply:
            heard.append(sock.recv(4096))
            sock.sendall(reply)
        sock.close()


def test_reports_reach_the_list_and_a_sick_list_only_delays_them() -> None:
    heard: list[bytes] = []
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        good = b"HTTP/1.1 204 No Content\r\n\r\n"
        bad = [b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", b"nonsense\r\n\r\n", b"HTTP/1.1 2", b""]
        gevent.spawn(list_stand_in, listener, heard, [*bad, good])
        roll = Roll(listener.getsockname(), "n3")
        with gevent.Timeout(3 * WAIT_S):
            outcomes = []
            while roll.told is not True:
                outcomes.append(roll.report(True))
            assert outcomes[-1] and not any(outcomes[:-1])
            assert roll.report(False) and roll.told is False
    assert heard[-2].startswith(b"PUT /members/n3 HTTP/1.1\r\n")
    assert heard[-2].endswith(b'\r\n\r\n{"phase":"UP"}')
    assert heard[-1].endswith(b'{"phase":"OUT"}') and b"Content-Length: 15\r\n" in heard[-1]


def test_a_list_that_never_answers_is_one_failed_report(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("myrtlecrank.membership_list.client.CALL_S", 0.05)
    with gevent.Timeout(3 * WAIT_S), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        roll = Roll(listener.getsockname(), "n3")
        assert roll.report(True) is False and roll.sock is None


def test_a_change_and_a_move_wait_for_no_answer_that_never_comes() -> None:
    heard: list[bytes] = []

    def silent(listener: Any) -> None:
        while True:
            sock, _ = listener.accept()
            heard.append(sock.recv(4096)[-15:] + sock.recv(10))

    with gevent.Timeout(3 * WAIT_S), socket.socket() as old, socket.socket() as new:
        for listener in (old, new):
            listener.bind(("127.0.0.1", 0))
            listener.listen()
        actors = [gevent.spawn(silent, old)]
        roll = Roll(old.getsockname(), "n3")
        actors.append(gevent.spawn(roll.run))
        roll.tell(True)
        with gevent.Timeout(0.8, AssertionError("the change waited")):
            while roll.calling is not True or not roll.sent:
                gevent.sleep(0.001)
            roll.tell(False)
            while len(heard) < 1 or roll.calling is not False or not roll.sent:
                gevent.sleep(0.001)
            actors.append(gevent.spawn(silent, new))
            roll.move(new.getsockname())
            while len(heard) < 2 or not roll.sent:
                gevent.sleep(0.001)
        assert roll.told is None and not roll.misses
        while roll.told is not False:
            gevent.sleep(0.01)  # unanswered, but it arrived whole
        gevent.killall(actors)
    assert [said[-13:] for said in heard[:2]] == [b'"phase":"UP"}', b'phase":"OUT"}']


def test_an_answer_to_an_earlier_report_counts_for_no_later_one() -> None:
    """A second answer lies on the connection before the next report is written."""
    good = b"HTTP/1.1 204 No Content\r\n\r\n"
    with gevent.Timeout(3 * WAIT_S), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        roll = Roll(listener.getsockname(), "n3")
        report = gevent.spawn(roll.report, True)
        old = listener.accept()[0]
        old.recv(4096)
        old.sendall(good + good[:9])
        assert report.get() is True
        old.sendall(good[9:])
        while roll.sock is not None and not roll.sock.recv(1, socket.MSG_PEEK):
            pass
        report = gevent.spawn(roll.report, False)
        new = listener.accept()[0]
        assert new.recv(4096).endswith(b'"OUT"}') and roll.told is True
        new.sendall(good)
        assert report.get() is True and roll.told is False


def test_what_still_lies_with_a_caller_goes_out_before_the_process_ends(door: Door) -> None:
    """The end comes after the answer was posted and before its actor had a turn; more lies unread."""
    caller, _ = at_a_socket(door)
    caller.sendall(ask_bytes(1))
    (ticket,) = door.tickets(1)
    caller.sendall(ask_bytes(2))
    ticket.answer(Answer(ticket, Verdict.COMPLETED, b"r"))
    door.front.last_words()
    # The process still stands: who would speak now learns at once that nobody listens.
    assert read(caller) == (codec.ANSWER, 1, b"\0\0r") and read(caller) == (0, 0, b"")


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_a_system_clock_that_is_set_moves_no_due_time(
    door: Door, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    before, usual = now_ms(), time.time
    monkeypatch.setattr("time.time", lambda: usual() + step)
    assert abs(now_ms() - before) < 5000.0
    _, sock = door.open()
    sock.sendall(ask_bytes(1, s=str(int(time.time() * 1000.0) - 200)))
    (ticket,) = door.tickets(1)
    assert 199.0 <= now_ms() - ticket.reached < 5000.0


def test_reports_repeat_on_the_beat_once_due_and_never_pile_up() -> None:
    roll = Roll(("127.0.0.1", 1), "n3")
    roll.beat(0.0)
    roll.well, roll.due = True, 0.0
    for _ in range(5):
        roll.beat(0.0)
    assert roll.mailbox.take(0.0) == [True]
    roll.due = float("inf")
    roll.beat(0.0)
    assert not roll.mailbox


def test_a_list_that_is_away_is_one_failed_report() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        roll = Roll(listener.getsockname(), "n3")
    for _ in range(3):
        assert not roll.away and roll.report(True) is False and roll.sock is None
    assert roll.away


def test_one_that_brought_a_bad_frame_makes_room_before_any_idle_one(door: Door) -> None:
    caller, bad = at_a_socket(door)
    _, idle = at_a_socket(door)
    idle.frames, bad.last_used = 1, idle.last_used + 1.0
    door.front.connections[bad] = door.front.connections.pop(bad)
    caller.sendall(b"\0\0\0\0")
    assert read(caller)[:2] == (codec.ANSWER, 0)
    while bad.over is None:
        gevent.sleep(0)
    assert door.front.make_room() and idle.end is None and bad.end is not None


def test_what_still_comes_off_a_connection_that_made_room_is_passed_over() -> None:
    door = Door(most=1)
    connection, sock = door.open()
    assert door.front.make_room() and connection.end is End.LEFT
    (ask,) = codec.Decoder(filled(ask_bytes(1))).frames()
    door.front.asked(connection, ask)  # type: ignore[arg-type]
    assert not door.front.connections and not door.front.callers
    half, _ = door.open()
    half.incoming.append(b"half a frame")
    half.frames = 1
    assert not door.front.make_room()
    fresh, _ = door.open()
    fresh.incoming.append(b"half a frame")
    assert door.front.make_room() and fresh.end is End.LEFT and half.end is None
    sock.close()
    door.front.listener.close()


def filled(data: bytes) -> Ring:
    ring = Ring()
    ring.append(data)
    return ring


def test_a_flood_of_idle_connections_leaves_room_and_busy_ones_stay() -> None:
    with gevent.Timeout(3 * WAIT_S):
        door = Door(most=3)
        accepting = gevent.spawn(door.front.run)
        address = door.front.listener.getsockname()
        callers = [socket.create_connection(address) for _ in range(2)]
        for caller in callers:
            caller.sendall(ask_bytes(1))
        door.tickets(2)
        idle = [socket.create_connection(address) for _ in range(10)]
        idle[-1].sendall(codec.framed(codec.CHECK, 3, b"\0"))
        assert read(idle[-1])[:2] == (codec.CHECKED, 3) and idle[0].recv(10) == b""
        assert len(door.front.connections) <= 3 and sum(bool(c.open) for c in door.front.connections) == 2
        busy = [socket.create_connection(address)]
        busy[0].sendall(ask_bytes(1))
        door.tickets(1)
        busy += [socket.create_connection(address)]
        busy[1].sendall(codec.framed(codec.CHECK, 3, b"\0"))
        gevent.sleep(0)
        assert len(door.front.connections) == 3
        callers[0].close()
        assert read(busy[1])[:2] == (codec.CHECKED, 3)
        accepting.kill()
        door.front.accepting.kill()
        door.front.listener.close()
