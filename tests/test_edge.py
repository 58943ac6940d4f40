"""Connections and callers over socket pairs."""

from __future__ import annotations

import struct
import time
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket
from helpers import CoreHarness, exchange_frame, group

from myrtlecrank.core.clock import now_ms
from myrtlecrank.core.connection_errors import CloseReason
from myrtlecrank.core.messages import Answer, DrainRequested, ExchangeArrived, ExchangesAbandoned, Verdict
from myrtlecrank.edge.accept_rate import AcceptRateOptions
from myrtlecrank.edge.server import EdgeServer
from myrtlecrank.frames import codec
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import EffectKind, Tenant

WAIT_S = 10.0


class ServerHarness:
    """A server whose core's actor does not run: the test reads the core's mailbox."""

    def __init__(
        self,
        sockets: int = 1024,
        kind: EffectKind = EffectKind.REPEATABLE,
        most: int | None = None,
        **others: Any,
    ) -> None:
        self.core_harness = CoreHarness(
            group(kind), tenants=[Tenant("acme", 1.0, 10.0)], idle_timeout=30_000.0, **others
        )
        self.core = self.core_harness.core
        self.server = EdgeServer(("127.0.0.1", 0), sockets, self.core)
        self.server.max_connections = most or self.server.max_connections

    def open(self) -> tuple[Any, Any]:
        """Returns the server's connection and the caller's socket."""
        ours, theirs = socket.socketpair()
        theirs.settimeout(WAIT_S)
        connection = self.server.add_connection(PairSocket(ours))
        return connection, theirs

    def run_sweeps(self, ms: float) -> None:
        """Runs the sweeps of the sampling ticks in that time."""
        for _ in range(round(ms / 100.0)):
            self.server.sweep(self.server.swept_at_ms + 100.0)

    def requests(self, count: int) -> list[Any]:
        found: list[Any] = []
        while len(found) < count:
            messages = self.core.mailbox.take(WAIT_S * 1000.0)
            assert messages, "no message arrived"
            found += [message.request for message in messages if isinstance(message, ExchangeArrived)]
        return found


class PairSocket:
    """A socket of a pair, which ignores TCP options."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock

    def setsockopt(self, *_: int) -> None:
        pass

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


@pytest.fixture
def harness() -> Iterator[ServerHarness]:
    with gevent.Timeout(3 * WAIT_S):
        harness = ServerHarness()
        yield harness
        harness.server.listener.close()


def read_frame(sock: Any) -> tuple[int, int, bytes]:
    raw = b""
    while len(raw) < 4 or len(raw) < 4 + int.from_bytes(raw[:4], "little"):
        size = 4 + int.from_bytes(raw[:4], "little") - len(raw) if len(raw) >= 4 else 4 - len(raw)
        piece = sock.recv(size)
        if not piece:
            return 0, 0, b""
        raw += piece
    kind, stream = struct.unpack_from("<BI", raw, 4)
    return kind, stream, raw[9:]


def test_answers_go_to_their_streams_in_any_order(harness: ServerHarness) -> None:
    _, sock = harness.open()
    sock.sendall(b"".join(exchange_frame(stream) for stream in range(1, 33)))
    requests = harness.requests(32)
    assert all(
        t.kb == 24.5 and t.caller_timeout == 480.0 and t.body == b"body" and t.caller == 4 for t in requests
    )
    harness.core.published.published_value = 2.0
    for request in reversed(requests):
        request.send_answer(Answer(request, Verdict.COMPLETED, request.exchange_id.encode()))
    seen = [read_frame(sock) for _ in requests]
    assert [stream for _, stream, _ in seen] == list(range(32, 0, -1))
    assert all(body == b"\0\x01\x01v\x01\x002%016x" % stream for _, stream, body in seen)


def test_health_check_gets_health_and_published_value(harness: ServerHarness) -> None:
    _, sock = harness.open()
    check = codec.encode_frame(codec.HEALTH_CHECK, 3, b"\0")
    sock.sendall(check)
    assert read_frame(sock) == (codec.HEALTH_STATUS, 3, b"\0\0")
    harness.core.published.healthy, harness.core.published.published_value = False, 0.0
    sock.sendall(check)
    assert read_frame(sock) == (codec.HEALTH_STATUS, 3, b"\x01\x01\x01v\x01\x000")


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
def test_invalid_exchange_is_terminated_and_the_next_one_is_submitted(
    harness: ServerHarness, changes: Any
) -> None:
    _, sock = harness.open()
    sock.sendall(exchange_frame(1, **changes) + exchange_frame(2))
    assert [t.exchange_id for t in harness.requests(1)] == [f"{2:016x}"]
    kind, stream, payload = read_frame(sock)
    assert (kind, stream, payload[0]) == (codec.ANSWER, 1, codec.TERMINATED)


def test_deduplicated_exchange_needs_a_key_and_its_tries_carry_it() -> None:
    with gevent.Timeout(3 * WAIT_S):
        harness = ServerHarness(kind=EffectKind.DEDUPLICATED)
        (_, first), (_, second) = harness.open(), harness.open()
        first.sendall(exchange_frame(1, k="53bb", o="x"))
        second.sendall(exchange_frame(1) + exchange_frame(2, k="53bb"))
        assert [t.result_key for t in harness.requests(2)] == ["53bb", "53bb"]
        kind, stream, payload = read_frame(second)
        assert (kind, stream, payload[0]) == (codec.ANSWER, 1, codec.TERMINATED)
        harness.server.listener.close()


def test_abandoned_exchange_leaves_others_on_its_connection_alone() -> None:
    with gevent.Timeout(3 * WAIT_S):
        harness = ServerHarness(reports_abandonment=True)
        connection, sock = harness.open()
        sock.sendall(exchange_frame(1) + exchange_frame(2))
        first, second = harness.requests(2)
        # The second exchange's answer crosses the frame that abandons it.
        second.send_answer(Answer(second, Verdict.COMPLETED, b"r"))
        sock.sendall(b"".join(codec.encode_frame(codec.ABANDON, stream, b"\0") for stream in (1, 2, 9)))
        assert harness.core.mailbox.take(WAIT_S * 1000.0) == [ExchangesAbandoned([first])]
        first.send_answer(Answer(first, Verdict.COMPLETED, b"late"))
        sock.sendall(exchange_frame(3))
        assert len(harness.requests(1)) == 1 and connection.close_reason is None
        seen = {read_frame(sock) for _ in range(2)}
        assert (
            seen == {(codec.ANSWER, 1, b"\x02\0"), (codec.ANSWER, 2, b"\0\0r")} and not harness.core.mailbox
        )
        sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            sock.recv(1)
        harness.server.listener.close()


def test_streams_above_the_limit_are_terminated(harness: ServerHarness) -> None:
    _, sock = harness.open()
    sock.sendall(b"".join(exchange_frame(stream) for stream in range(1, 34)))
    assert read_frame(sock)[1:] == (33, bytes([codec.TERMINATED, 0])) and len(harness.requests(32)) == 32


@pytest.mark.parametrize("bad", [b"\0\0\0\0", exchange_frame(1), codec.encode_frame(77, 1, b"")])
def test_protocol_error_ends_the_connection_after_earlier_exchanges_are_answered(
    harness: ServerHarness, bad: bytes
) -> None:
    (connection, sock), (_, other) = harness.open(), harness.open()
    sock.sendall(exchange_frame(1) + bad + exchange_frame(9))
    (request,) = harness.requests(1)
    assert read_frame(sock)[:2] == (codec.ANSWER, 0) and connection.close_reason is None
    other.sendall(exchange_frame(1))
    assert [t.reply_context[0] for t in harness.requests(1)] != [connection]
    request.send_answer(Answer(request, Verdict.COMPLETED, b"r"))
    assert read_frame(sock) == (codec.ANSWER, 1, b"\0\0r") and read_frame(sock) == (0, 0, b"")
    sock.close()
    while connection in harness.server.connections:
        gevent.sleep(0)
    assert connection.close_reason is CloseReason.PROTOCOL_ERROR and not harness.core.mailbox


def connect_over_tcp(harness: ServerHarness) -> tuple[Any, Any]:
    """Returns a caller's TCP socket, on which resets happen, and the server's connection."""
    caller = socket.create_connection(harness.server.listener.getsockname(), timeout=WAIT_S)
    return caller, harness.server.add_connection(harness.server.listener.accept()[0])


def test_unread_bytes_do_not_destroy_an_answer_being_sent(harness: ServerHarness) -> None:
    """The caller sends more than is read after its invalid frame and reads only then."""
    caller, connection = connect_over_tcp(harness)
    caller.sendall(exchange_frame(1) + b"\0\0\0\0" + bytes(20_000))
    (request,) = harness.requests(1)
    request.send_answer(Answer(request, Verdict.COMPLETED, bytes(4000)))
    while not connection.bytes_sent or connection.open_streams or connection.outgoing:
        gevent.sleep(0)
    caller.sendall(bytes(20_000))
    caller.shutdown(socket.SHUT_WR)
    while connection.close_reason is None:
        gevent.sleep(0)
    assert read_frame(caller)[:2] == (codec.ANSWER, 0)
    assert read_frame(caller)[1:] == (1, bytes(4002)) and read_frame(caller) == (0, 0, b"")


def test_caller_that_shuts_down_only_its_sending_side_gets_its_answers(harness: ServerHarness) -> None:
    caller, connection = connect_over_tcp(harness)
    caller.sendall(exchange_frame(1) + exchange_frame(2))
    caller.shutdown(socket.SHUT_WR)
    requests = harness.requests(2)
    while connection.read_close_reason is None:
        gevent.sleep(0)
    harness.run_sweeps(1000.0)
    assert connection.close_reason is None and not harness.core.mailbox
    for request in requests:
        request.send_answer(Answer(request, Verdict.COMPLETED, b"r"))
    assert [read_frame(caller)[:2] for _ in range(3)] == [
        (codec.GO_AWAY, 0),
        (codec.ANSWER, 1),
        (codec.ANSWER, 2),
    ]
    assert read_frame(caller) == (0, 0, b"") and connection.close_reason is CloseReason.CLOSED_BY_PEER


def test_closed_caller_is_distinguished_from_one_that_shut_down_its_sending_side(
    harness: ServerHarness,
) -> None:
    caller, _ = connect_over_tcp(harness)
    caller.sendall(exchange_frame(1))
    (request,) = harness.requests(1)
    caller.close()
    assert harness.core.mailbox.take(WAIT_S * 1000.0) == [ExchangesAbandoned([request])]


def test_incomplete_frame_does_not_close_the_connection_before_earlier_exchanges_are_answered(
    harness: ServerHarness,
) -> None:
    connection, sock = harness.open()
    sock.sendall(exchange_frame(1) + exchange_frame(2)[:20])
    (request,) = harness.requests(1)
    gevent.sleep(0)
    harness.run_sweeps(5000.0)
    assert connection.close_reason is None
    request.send_answer(Answer(request, Verdict.COMPLETED, b"r"))
    assert read_frame(sock) == (codec.ANSWER, 1, b"\0\0r")
    harness.run_sweeps(200.0)
    assert connection.close_reason is CloseReason.INCOMPLETE_FRAME


@pytest.mark.parametrize("how", ["make_room", "sweep"])
@pytest.mark.parametrize("what", ["answer", "half"])
def test_connection_with_partly_sent_answer_or_partly_received_frame_is_not_idle(
    harness: ServerHarness, how: str, what: str
) -> None:
    """Idle connections are closed while an answer still waits for a slow reader, or after the first half
    of an exchange was read."""
    connection, sock = harness.open()
    sock.sendall(exchange_frame(1) + (exchange_frame(2)[:20] if what == "half" else b""))
    (request,) = harness.requests(1)
    harness.core.published.idle_limit, connection.go_away_sent_at_ms = 100.0, 0.0
    result = bytes(4_000_000) if what == "answer" else b"r"
    request.send_answer(Answer(request, Verdict.COMPLETED, result))
    while connection.open_streams:
        gevent.sleep(0)
    assert connection.is_flushing is (what == "answer")
    if how == "make_room":
        assert not harness.server.make_room()
    else:
        harness.server.sweep(connection.last_used_ms + 10_000.0)
    assert connection.close_reason is None and read_frame(sock) == (codec.ANSWER, 1, b"\0\0" + result)
    sock.sendall(exchange_frame(2)[20 if what == "half" else 0 :])
    assert len(harness.requests(1)) == 1


@pytest.mark.parametrize("how", ["sweep", "stop_accepting"])
def test_no_go_away_is_sent_after_a_protocol_error_while_answers_are_pending(
    harness: ServerHarness, how: str
) -> None:
    """The caller sent an invalid frame after an exchange, and more lies unread. A GO_AWAY frame, as it is
    sent to idle connections and to all at the end of the drain grace period, would break it off."""
    caller, connection = connect_over_tcp(harness)
    caller.sendall(exchange_frame(1) + b"\0\0\0\0")
    (request,) = harness.requests(1)
    request.send_answer(Answer(request, Verdict.COMPLETED, bytes(4000)))
    while connection.open_streams or connection.outgoing:
        gevent.sleep(0)
    gevent.sleep(0)
    caller.sendall(bytes(2000))
    if how == "sweep":
        harness.core.published.idle_limit = 100.0
        harness.server.sweep(connection.last_used_ms + 5000.0)
    else:
        harness.server.stop_accepting()
    assert connection.close_reason is None
    assert read_frame(caller)[:2] == (codec.ANSWER, 0) and read_frame(caller)[1:] == (1, bytes(4002))
    assert read_frame(caller) == (0, 0, b"")


@pytest.mark.parametrize("how", ["make_room", "sweep"])
def test_connection_with_an_unread_exchange_is_not_idle(harness: ServerHarness, how: str) -> None:
    """The exchange arrives after the last read and before the close; the reader has had no turn yet."""
    caller, connection = connect_over_tcp(harness)
    gevent.sleep(0)
    connection.frames_received, connection.go_away_sent_at_ms = 1, 0.0
    harness.core.published.idle_limit = 100.0
    caller.sendall(exchange_frame(1))
    if how == "make_room":
        assert not harness.server.make_room()
    else:
        harness.server.sweep(connection.last_used_ms + 10_000.0)
    assert connection.close_reason is None and len(harness.requests(1)) == 1


def test_closed_caller_is_reported_to_the_core(harness: ServerHarness) -> None:
    connection, sock = harness.open()
    sock.sendall(exchange_frame(1))
    (request,) = harness.requests(1)
    sock.close()
    assert harness.core.mailbox.take(WAIT_S * 1000.0) == [ExchangesAbandoned([request])]
    assert (
        connection.close_reason is CloseReason.CLOSED_BY_PEER
        and not harness.server.connections
        and not harness.server.callers
    )


def test_stalled_reader_does_not_delay_others(harness: ServerHarness) -> None:
    (slow, stalled), (_, sock) = harness.open(), harness.open()
    result = bytes(codec.MAX_RESULT_BYTES)
    for first in range(1, 3000, 32):
        stalled.sendall(b"".join(exchange_frame(stream) for stream in range(first, first + 32)))
        messages = harness.core.mailbox.take(300.0)
        if not messages:
            break  # no longer read, as the caller reads nothing
        for message in messages:
            message.request.send_answer(Answer(message.request, Verdict.COMPLETED, result))
        gevent.sleep(0)
    assert slow.outgoing.capacity <= 262_144
    sock.sendall(exchange_frame(1))
    request = next(t for t in iter(lambda: harness.requests(1)[-1], None) if t.reply_context[0] is not slow)
    request.send_answer(Answer(request, Verdict.DENIED))
    assert read_frame(sock)[1] == 1


def test_stalled_reader_is_closed_after_the_limit(harness: ServerHarness) -> None:
    connection, _ = harness.open()
    connection.frames_received = 1
    connection.send(bytes(4_000_000))
    gevent.sleep(0)
    gevent.sleep(0)
    harness.run_sweeps(4000.0)
    assert connection.close_reason is None
    harness.run_sweeps(2000.0)
    assert connection.close_reason is CloseReason.NOT_READING


@pytest.mark.parametrize(
    "data",
    [
        b"",
        exchange_frame(1)[:20],
        exchange_frame(1, body=bytes(50_000))[:30_000],
        codec.encode_frame(codec.HEALTH_CHECK, 3, b"\0") + exchange_frame(1)[:3],
    ],
)
def test_connection_without_a_complete_frame_in_time_is_closed(harness: ServerHarness, data: bytes) -> None:
    (connection, sock), (sound, other) = harness.open(), harness.open()
    sock.sendall(data)
    other.sendall(codec.encode_frame(codec.HEALTH_CHECK, 3, b"\0"))
    gevent.sleep(0.02)
    # A pause of this process must not count.
    harness.server.sweep(harness.server.swept_at_ms + 10_000.0)
    harness.run_sweeps(1500.0)
    assert connection.close_reason is None
    harness.run_sweeps(1000.0)
    assert connection.close_reason is CloseReason.INCOMPLETE_FRAME and sound.close_reason is None


def test_frame_delayed_by_a_full_mailbox_is_not_timed_out(harness: ServerHarness) -> None:
    connection, sock = harness.open()
    harness.core.mailbox.capacity = 0
    sock.sendall(exchange_frame(1) + exchange_frame(2)[:20])
    gevent.sleep(0.02)
    harness.run_sweeps(5000.0)
    assert connection.close_reason is None


def test_fast_sender_does_not_starve_other_greenlets(harness: ServerHarness) -> None:
    """A socket that always has data to read never waits, so its reader must yield by itself."""
    connection, _ = harness.open()
    long, turns = exchange_frame(1, body=bytes(codec.MAX_LENGTH_BYTES - 200)), [0]

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


def test_reset_in_the_middle_of_a_frame_does_not_disturb_others(harness: ServerHarness) -> None:
    accept_loop = gevent.spawn(harness.server.run)
    address = harness.server.listener.getsockname()
    broken, sound = socket.create_connection(address), socket.create_connection(address)
    broken.sendall(exchange_frame(1) + exchange_frame(2)[:20])
    (request,) = harness.requests(1)
    broken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    broken.close()
    assert harness.core.mailbox.take(WAIT_S * 1000.0) == [ExchangesAbandoned([request])]
    assert request.reply_context[0].close_reason is CloseReason.RESET_BY_PEER
    sound.sendall(exchange_frame(1))
    assert len(harness.requests(1)) == 1
    accept_loop.kill()
    harness.server.accept_loop.kill()


def test_idle_connections_are_asked_to_close_and_busy_ones_are_not(harness: ServerHarness) -> None:
    (idle, sock), (busy, other) = harness.open(), harness.open()
    other.sendall(exchange_frame(1))
    harness.requests(1)
    harness.core.published.idle_limit = 500.0
    now = max(idle.last_used_ms, busy.last_used_ms) + 501.0
    harness.server.sweep(now)
    assert read_frame(sock) == (codec.GO_AWAY, 0, b"") and busy.go_away_sent_at_ms is None
    harness.server.sweep(now + 3000.0)
    assert idle.close_reason is CloseReason.CLOSED_LOCALLY and read_frame(sock) == (0, 0, b"")


def test_a_connection_whose_input_waits_for_its_turn_is_not_idle(harness: ServerHarness) -> None:
    """Guards against callers that are told away in a crowd while their exchanges wait to be looked at."""
    connection, sock = harness.open()
    connection.turns.wait = lambda _: gevent.sleep(WAIT_S)  # type: ignore[method-assign]
    sock.sendall(exchange_frame(1))
    while not connection.is_awaiting_turn:
        gevent.sleep(0)
    harness.core.published.idle_limit = 500.0
    harness.server.sweep(connection.last_used_ms + 501.0)
    assert connection.go_away_sent_at_ms is None
    connection.close(CloseReason.CLOSED_LOCALLY)


def test_listener_closes_after_the_drain_grace_period_and_exchanges_already_sent_are_taken(
    harness: ServerHarness,
) -> None:
    _, sock = harness.open()
    sock.sendall(exchange_frame(1))
    harness.requests(1)
    harness.core_harness.process_batch(0.0, DrainRequested(0.0))
    sock.sendall(exchange_frame(2))
    assert len(harness.requests(1)) == 1 and not harness.server.listener.closed
    harness.core_harness.process_batch(1000.0)
    assert read_frame(sock) == (codec.GO_AWAY, 0, b"") and harness.server.listener.closed
    sock.sendall(exchange_frame(3))
    assert len(harness.requests(1)) == 1


def test_connection_in_the_backlog_is_served_when_accepting_stops(harness: ServerHarness) -> None:
    with socket.socket() as caller:
        caller.settimeout(WAIT_S)
        caller.connect(harness.server.listener.getsockname())
        caller.sendall(exchange_frame(1))
        harness.server.stop_accepting()
        assert len(harness.requests(1)) == 1


def test_backlog_is_accepted_within_the_limit_of_connections_when_accepting_stops() -> None:
    with gevent.Timeout(3 * WAIT_S):
        harness = ServerHarness(most=3)
        address = harness.server.listener.getsockname()
        callers_in_backlog = [socket.create_connection(address, timeout=WAIT_S) for _ in range(12)]
        for sock in callers_in_backlog:
            sock.sendall(exchange_frame(1))
        harness.server.stop_accepting()
        answered = 0
        while answered < len(callers_in_backlog):
            for request in harness.requests(1):
                assert len(harness.server.connections) <= 3
                request.send_answer(Answer(request, Verdict.DENIED))
                answered += 1
        for sock in callers_in_backlog:
            # Each gets GO_AWAY before or after its answer, and none is reset.
            assert {read_frame(sock)[0] for _ in range(2)} == {codec.GO_AWAY, codec.ANSWER}
            sock.close()
        while not harness.server.is_empty():
            gevent.sleep(0.001)


def test_drain_does_not_end_while_a_caller_waits_in_the_backlog() -> None:
    with gevent.Timeout(3 * WAIT_S):
        harness = ServerHarness(most=1)
        address = harness.server.listener.getsockname()
        first, second = (socket.create_connection(address, timeout=WAIT_S) for _ in range(2))
        harness.server.stop_accepting()
        (connection,) = harness.server.connections
        harness.server.remove_connection(connection)  # after its end and before the next one is accepted
        assert not harness.server.connections and not harness.server.is_empty()
        second.sendall(exchange_frame(1))
        assert len(harness.requests(1)) == 1
        first.close()
        second.close()
        while not harness.server.is_empty():
            gevent.sleep(0.001)


def test_aborted_connection_in_the_backlog_does_not_lose_those_behind_it(harness: ServerHarness) -> None:
    """The first connection in the backlog was aborted when accepting stops."""
    real = harness.server.listener
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
        caller.sendall(exchange_frame(1))
        harness.server.listener = Listener()
        harness.server.stop_accepting()
        assert len(harness.requests(1)) == 1 and real.closed


def test_reconnect_storm_is_accepted_at_a_limited_rate_and_all_health_checks_are_answered(
    harness: ServerHarness,
) -> None:
    harness.server.set_accept_rate(AcceptRateOptions(per_second=100.0, cold_per_second=100.0, burst=4))
    assert harness.server.rate_limiter is not None
    address = harness.server.listener.getsockname()
    callers_in_backlog = [socket.create_connection(address, timeout=WAIT_S) for _ in range(40)]
    for sock in callers_in_backlog:
        sock.sendall(codec.encode_frame(codec.HEALTH_CHECK, 1, b"\0"))
    accept_loop = gevent.spawn(harness.server.run)  # once all are in the backlog, however busy the machine is
    assert [read_frame(sock)[0] for sock in callers_in_backlog] == [codec.HEALTH_STATUS] * 40
    assert harness.server.rate_limiter.delayed_connections > 0
    accept_loop.kill()


def test_disabled_accept_rate_limit_delays_nobody(harness: ServerHarness) -> None:
    harness.server.set_accept_rate(AcceptRateOptions(per_second=10.0, cold_per_second=10.0, burst=1))
    harness.server.set_accept_rate(None)
    accept_loop = gevent.spawn(harness.server.run)
    address = harness.server.listener.getsockname()
    callers = [socket.create_connection(address, timeout=WAIT_S) for _ in range(20)]
    for sock in callers:
        sock.sendall(codec.encode_frame(codec.HEALTH_CHECK, 1, b"\0"))
    assert [read_frame(sock)[0] for sock in callers] == [codec.HEALTH_STATUS] * 20
    accept_loop.kill()


def test_answers_in_the_mailbox_are_sent_before_the_process_ends(harness: ServerHarness) -> None:
    """The process ends after the answer was posted and before its actor had a turn; more lies unread."""
    caller, _ = connect_over_tcp(harness)
    caller.sendall(exchange_frame(1))
    (request,) = harness.requests(1)
    caller.sendall(exchange_frame(2))
    request.send_answer(Answer(request, Verdict.COMPLETED, b"r"))
    harness.server.flush_and_close()
    # The process still runs, but a caller that writes now learns at once that nobody reads.
    assert read_frame(caller) == (codec.ANSWER, 1, b"\0\0r") and read_frame(caller) == (0, 0, b"")


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_system_clock_step_does_not_move_deadlines(
    harness: ServerHarness, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    before, usual = now_ms(), time.time
    monkeypatch.setattr("time.time", lambda: usual() + step)
    assert abs(now_ms() - before) < 5000.0
    _, sock = harness.open()
    sock.sendall(exchange_frame(1, s=str(int(time.time() * 1000.0) - 200)))
    (request,) = harness.requests(1)
    assert 199.0 <= now_ms() - request.arrived_at < 5000.0


def test_connection_with_a_protocol_error_is_closed_for_room_before_an_idle_one(
    harness: ServerHarness,
) -> None:
    caller, bad = connect_over_tcp(harness)
    _, idle = connect_over_tcp(harness)
    idle.frames_received, bad.last_used_ms = 1, idle.last_used_ms + 1.0
    harness.server.connections[bad] = harness.server.connections.pop(bad)
    caller.sendall(b"\0\0\0\0")
    assert read_frame(caller)[:2] == (codec.ANSWER, 0)
    while bad.read_close_reason is None:
        gevent.sleep(0)
    assert harness.server.make_room() and idle.close_reason is None and bad.close_reason is not None


def test_frames_of_a_connection_closed_for_room_are_ignored() -> None:
    harness = ServerHarness(most=1)
    connection, sock = harness.open()
    assert harness.server.make_room() and connection.close_reason is CloseReason.CLOSED_LOCALLY
    (ask,) = codec.Decoder(ring_buffer_with(exchange_frame(1))).frames()
    harness.server.handle_frame(connection, ask)  # type: ignore[arg-type]
    assert not harness.server.connections and not harness.server.callers
    half, _ = harness.open()
    half.incoming.append(b"half a frame")
    half.frames_received = 1
    assert not harness.server.make_room()
    fresh, _ = harness.open()
    fresh.incoming.append(b"half a frame")
    assert (
        harness.server.make_room()
        and fresh.close_reason is CloseReason.CLOSED_LOCALLY
        and half.close_reason is None
    )
    sock.close()
    harness.server.listener.close()


def ring_buffer_with(data: bytes) -> RingBuffer:
    ring = RingBuffer()
    ring.append(data)
    return ring


def test_flood_of_idle_connections_leaves_room_and_busy_ones_stay() -> None:
    with gevent.Timeout(3 * WAIT_S):
        harness = ServerHarness(most=3)
        accept_loop = gevent.spawn(harness.server.run)
        address = harness.server.listener.getsockname()
        callers = [socket.create_connection(address) for _ in range(2)]
        for caller in callers:
            caller.sendall(exchange_frame(1))
        harness.requests(2)
        idle = [socket.create_connection(address) for _ in range(10)]
        idle[-1].sendall(codec.encode_frame(codec.HEALTH_CHECK, 3, b"\0"))
        assert read_frame(idle[-1])[:2] == (codec.HEALTH_STATUS, 3) and idle[0].recv(10) == b""
        assert (
            len(harness.server.connections) <= 3
            and sum(bool(c.open_streams) for c in harness.server.connections) == 2
        )
        busy = [socket.create_connection(address)]
        busy[0].sendall(exchange_frame(1))
        harness.requests(1)
        busy += [socket.create_connection(address)]
        busy[1].sendall(codec.encode_frame(codec.HEALTH_CHECK, 3, b"\0"))
        gevent.sleep(0)
        assert len(harness.server.connections) == 3
        callers[0].close()
        assert read_frame(busy[1])[:2] == (codec.HEALTH_STATUS, 3)
        accept_loop.kill()
        harness.server.accept_loop.kill()
        harness.server.listener.close()
