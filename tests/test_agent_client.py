"""The agent's codec and client."""

from __future__ import annotations

from typing import Any

import gevent
import pytest
from gevent import socket

from myrtlecrank.agent import codec
from myrtlecrank.agent.client import MAX_SILENT_TICKS, AgentClient
from myrtlecrank.core.connection_errors import CloseReason
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import (
    AgentConnected,
    AgentDisconnected,
    CancelRun,
    CommandsNotSent,
    DeliverCallResult,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    StartRun,
)
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Gauges, Outcome

RESULT = b"a\r\noutcome 9 ff PASS 1 0\r\n"
NOTICES = (
    b"greeting EMPTY 12.5\r\n"
    b"outcome 1 aa PASS 30.5 %d\r\n%b\r\n"
    % (len(RESULT), RESULT)
    + b"aside 2 the weather is 5\r\noutcome 3 bb KILLED 7 0\r\n\r\nsampled b1 0.5 3 0.25 12\r\n"
    b"refusal launch cc\r\nhum\r\noutcome 4 cc SOMEHOW 1 0\r\n\r\noutcome 4 dd NOOP 0 0\r\n\r\n"
)


def decode_events(*pieces: bytes) -> list[Any]:
    events: list[Any] = []
    client = AgentClient(("127.0.0.1", 1), ["cpu", "on_cores", "memory", "connections"], events.append)
    buffer = RingBuffer()
    for piece in pieces:
        buffer.append(piece)
        for notice in codec.decode_notices(buffer):
            client.handle_notice(notice)
    return events


@pytest.mark.parametrize("piece_bytes", [1, 7, 4096])
def test_notices_are_the_same_however_their_bytes_are_split(piece_bytes: int) -> None:
    events = decode_events(*(NOTICES[i : i + piece_bytes] for i in range(0, len(NOTICES), piece_bytes)))
    assert events == [
        AgentConnected(True, 12.5),
        RunEnded("aa", Outcome.OK, 30.5, RESULT),
        RunEnded("bb", Outcome.CANCELLED, 7.0, b""),
        GaugesSampled("b1", Gauges(0.5, 3.0, 0.25, 12.0)),
        RunEnded("cc", Outcome.NOT_STARTED, 0.0, b"", refused=True),
        RunEnded("dd", Outcome.NOT_STARTED, 0.0, b""),
    ]


def test_notice_repeated_after_a_reconnect_counts_once() -> None:
    one = b"outcome 1 aa PASS 30 2\r\nok\r\n"
    assert len(decode_events(one, one)) == 1


@pytest.mark.parametrize(
    "raw", [b"outcome 1 aa PASS 3 x\r\n", b"outcome 1 aa PASS 3 2\r\nabc\r\n", b"a" * 70_000]
)
def test_bytes_that_are_not_lines_raise_a_protocol_error(raw: bytes) -> None:
    with pytest.raises(codec.ProtocolError):
        decode_events(raw)


@pytest.mark.parametrize(
    "raw",
    [
        b"sampled b1 nan 3 0.2 1",
        b"sampled b1 0.5 inf 0.2 1",
        b"sampled b1 -1 3 0.2 1",
        b"greeting LOADED nan",
        b"outcome 1 aa PASS nan 0\r\n",
    ],
)
def test_notices_with_invalid_numbers_are_ignored(raw: bytes) -> None:
    assert decode_events(raw + b"\r\n") == []


def test_commands_are_encoded() -> None:
    assert codec.encode_command(StartRun("aa", "group", b"x\r\n")) == b"launch aa group 3\r\nx\r\n\r\n"
    assert (
        codec.encode_command(CancelRun("aa")) + codec.encode_command(SampleGauges("b1"))
        == b"freeze aa\r\nsample b1\r\n"
    )
    assert codec.encode_subscribe(7) == b"subscribe 7\r\n"


def serve_agent(listener: Any, connections: list[Any], greet: bytes = b"greeting LOADED 5\r\n") -> None:
    while True:
        sock, _ = listener.accept()
        connections.append((sock, sock.recv(100)))
        sock.sendall(greet)


def test_restarted_agent_is_read_from_its_first_notice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connections: list[Any] = []
    messages: Mailbox[Any] = Mailbox(100)
    clock_s = [50_000.0]
    monkeypatch.setattr("myrtlecrank.agent.client.time.monotonic", lambda: clock_s[0])
    greetings = iter([b"9000", b"12000", b"1500", b"1510"])

    def serve_greetings(listener: Any) -> None:
        while True:
            sock, _ = listener.accept()
            connections.append((sock, sock.recv(100)))
            sock.sendall(b"greeting EMPTY %b\r\n" % next(greetings))

    with gevent.Timeout(30), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = AgentClient(listener.getsockname(), [], messages.post)
        actors = [gevent.spawn(serve_greetings, listener), gevent.spawn(client.run)]
        assert messages.take() == [AgentConnected(True, 9000.0)]
        connections[0][0].sendall(b"aside 7 hello\r\n")
        while client.last_notice != 7:
            gevent.sleep(0)
        clock_s[0] += 3.9  # the next greeting is read 0.9 s late, which is not a restart
        connections[0][0].close()
        assert messages.take() == [AgentDisconnected(CloseReason.CLOSED_BY_PEER)] and messages.take() == [
            AgentConnected(True, 12_000.0)
        ]
        clock_s[0] += 2.0
        connections[1][0].close()
        assert messages.take() == [AgentDisconnected(CloseReason.CLOSED_BY_PEER)] and messages.take() == [
            AgentConnected(True, 1510.0, restarted=True)
        ]
        assert [first_line for _, first_line in connections] == [
            b"subscribe %d\r\n" % n for n in (0, 7, 7, 0)
        ]
        connections[3][0].sendall(b"outcome 1 aa FAIL 1 0\r\n\r\n")
        assert messages.take() == [RunEnded("aa", Outcome.ERROR, 1.0, b"")]
        gevent.killall(actors)


def test_start_command_after_a_dropped_connection_is_reported_as_not_sent() -> None:
    connections: list[Any] = []
    messages: Mailbox[Any] = Mailbox(100)
    start = StartRun("aa", "group", b"x")
    with gevent.Timeout(30), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = AgentClient(listener.getsockname(), [], messages.post)
        actors = [
            gevent.spawn(serve_agent, listener, connections),
            gevent.spawn(client.run),
            gevent.spawn(client.write_commands),
        ]
        assert messages.take() == [AgentConnected(False, 5.0)]
        client.mailbox.post(start)
        for _ in range(MAX_SILENT_TICKS + 1):
            client.check_silence(0.0)
        events = [message for _ in range(2) for message in messages.take()]
        while len(events) < 3:
            events += messages.take()
        assert (
            set(map(type, events[:2])) == {CommandsNotSent, AgentDisconnected}
            and CommandsNotSent([start]) in events
        )
        gevent.killall(actors)


class ClosingSocket:
    """A connection that takes some bytes and then breaks."""

    def __init__(self, taken: int) -> None:
        self.taken = taken

    def send(self, data: memoryview) -> int:
        count = min(len(data), self.taken)
        self.taken -= count
        if not count:
            raise ConnectionResetError
        return count

    def close(self) -> None: ...


def test_only_commands_of_which_no_byte_was_written_are_reported_as_not_sent() -> None:
    """A command that was cut off may count at the agent: reported as not sent, it would be sent twice."""
    commands = [DeliverCallResult(exchange_id, b"result") for exchange_id in ("aa", "bb", "cc")]
    size = len(codec.encode_command(commands[0]))
    for taken, unsent in ((0, 3), (1, 2), (size, 2), (2 * size - 1, 1), (2 * size, 1), (2 * size + 1, 0)):
        events: list[Any] = []
        client = AgentClient(("127.0.0.1", 1), [], events.append)
        client._write(ClosingSocket(taken), [*commands])  # type: ignore[arg-type]
        assert events == ([CommandsNotSent([*commands[3 - unsent :]])] if unsent else []), taken


def test_greeting_that_is_read_late_is_not_a_restart(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process pauses for 1.4 s between the request and the reading; the old connection lasted 100 ms."""
    messages: Mailbox[Any] = Mailbox(100)
    clock_s, connections = [50_000.0], list[Any]()
    monkeypatch.setattr("myrtlecrank.agent.client.time.monotonic", lambda: clock_s[0])

    def serve_greetings(listener: Any) -> None:
        for up in (b"9000", b"9100"):
            sock, _ = listener.accept()
            connections.append((sock, sock.recv(100)))
            if len(connections) == 2:
                clock_s[0] += 1.4
            sock.sendall(b"greeting LOADED %b\r\n" % up)

    with gevent.Timeout(30), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = AgentClient(listener.getsockname(), [], messages.post)
        actors = [gevent.spawn(serve_greetings, listener), gevent.spawn(client.run)]
        assert messages.take() == [AgentConnected(False, 9000.0)]
        connections[0][0].sendall(b"aside 7 hello\r\n")
        while client.last_notice != 7:
            gevent.sleep(0)
        clock_s[0] += 0.1
        connections[0][0].close()
        assert messages.take() == [AgentDisconnected(CloseReason.CLOSED_BY_PEER)] and messages.take() == [
            AgentConnected(False, 9100.0)
        ]
        assert [first_line for _, first_line in connections] == [b"subscribe 0\r\n", b"subscribe 7\r\n"]
        gevent.killall(actors)


@pytest.mark.parametrize("hangs", [False, True])
def test_closed_or_hung_connection_is_reopened_from_the_last_notice(hangs: bool) -> None:
    connections: list[Any] = []
    messages: Mailbox[Any] = Mailbox(100)
    with gevent.Timeout(30), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = AgentClient(listener.getsockname(), [], messages.post)
        actors = [
            gevent.spawn(serve_agent, listener, connections),
            gevent.spawn(client.run),
            gevent.spawn(client.write_commands),
        ]
        assert messages.take() == [AgentConnected(False, 5.0)]
        connections[0][0].sendall(b"outcome 9 aa FAIL 1 0\r\n\r\n")
        assert messages.take() == [RunEnded("aa", Outcome.ERROR, 1.0, b"")]
        if hangs:
            for _ in range(MAX_SILENT_TICKS):
                assert client.sock
                client.check_silence(0.0)
            assert client.drop_reason is None
            client.check_silence(0.0)
        else:
            connections[0][0].close()
        end = messages.take()
        assert end == [AgentDisconnected(CloseReason.UNRESPONSIVE if hangs else CloseReason.CLOSED_BY_PEER)]
        assert messages.take() == [AgentConnected(False, 5.0)]
        assert [first_line for _, first_line in connections] == [b"subscribe 0\r\n", b"subscribe 9\r\n"]
        client.mailbox.post(SampleGauges("b2"))
        assert connections[1][0].recv(100) == b"sample b2\r\n"
        gevent.killall(actors)
