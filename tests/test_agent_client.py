"""The agent's link: its codec and what it makes of notices."""

from __future__ import annotations

from typing import Any

import gevent
import pytest
from gevent import socket

from myrtlecrank.agent import codec
from myrtlecrank.agent.client import SILENT_BEATS, Link
from myrtlecrank.core.connection_errors import End
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import Freeze, Greeted, Launch, Parted, RunEnded, Sample, Sampled, Unsent
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Gauges, Outcome

RESULT = b"a\r\noutcome 9 ff PASS 1 0\r\n"
SPEECH = (
    b"greeting EMPTY 12.5\r\n"
    b"outcome 1 aa PASS 30.5 %d\r\n%b\r\n"
    % (len(RESULT), RESULT)
    + b"aside 2 the weather is 5\r\noutcome 3 bb KILLED 7 0\r\n\r\nsampled b1 0.5 3 0.25 12\r\n"
    b"refusal launch cc\r\nhum\r\noutcome 4 cc SOMEHOW 1 0\r\n\r\noutcome 4 dd NOOP 0 0\r\n\r\n"
)


def heard(*pieces: bytes) -> list[Any]:
    told: list[Any] = []
    link = Link(("127.0.0.1", 1), ["cpu", "on_cores", "memory", "connections"], told.append)
    ring = RingBuffer()
    for piece in pieces:
        ring.append(piece)
        for notice in codec.notices(ring):
            link.notice(notice)
    return told


@pytest.mark.parametrize("step", [1, 7, 4096])
def test_notices_are_read_whatever_the_split(step: int) -> None:
    told = heard(*(SPEECH[i : i + step] for i in range(0, len(SPEECH), step)))
    assert told == [
        Greeted(True, 12.5),
        RunEnded("aa", Outcome.OK, 30.5, RESULT),
        RunEnded("bb", Outcome.CANCELLED, 7.0, b""),
        Sampled("b1", Gauges(0.5, 3.0, 0.25, 12.0)),
        RunEnded("cc", Outcome.MOOT, 0.0, b"", refused=True),
        RunEnded("dd", Outcome.MOOT, 0.0, b""),
    ]


def test_notices_that_come_again_after_a_new_link_count_once() -> None:
    one = b"outcome 1 aa PASS 30 2\r\nok\r\n"
    assert len(heard(one, one)) == 1


@pytest.mark.parametrize(
    "raw", [b"outcome 1 aa PASS 3 x\r\n", b"outcome 1 aa PASS 3 2\r\nabc\r\n", b"a" * 70_000]
)
def test_what_are_no_lines_ends_the_link(raw: bytes) -> None:
    with pytest.raises(codec.Broken):
        heard(raw)


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
def test_figures_that_are_none_are_not_taken_in(raw: bytes) -> None:
    assert heard(raw + b"\r\n") == []


def test_commands() -> None:
    assert codec.command(Launch("aa", "group", b"x\r\n")) == b"launch aa group 3\r\nx\r\n\r\n"
    assert codec.command(Freeze("aa")) + codec.command(Sample("b1")) == b"freeze aa\r\nsample b1\r\n"
    assert codec.subscribe(7) == b"subscribe 7\r\n"


def agent(listener: Any, links: list[Any], greet: bytes = b"greeting LOADED 5\r\n") -> None:
    while True:
        sock, _ = listener.accept()
        links.append((sock, sock.recv(100)))
        sock.sendall(greet)


def test_an_agent_that_was_started_again_is_read_from_its_first_notice_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links: list[Any] = []
    letters: Mailbox[Any] = Mailbox(100)
    clock = [50_000.0]
    monkeypatch.setattr("myrtlecrank.agent.client.time.monotonic", lambda: clock[0])
    greetings = iter([b"9000", b"12000", b"1500", b"1510"])

    def speak(listener: Any) -> None:
        while True:
            sock, _ = listener.accept()
            links.append((sock, sock.recv(100)))
            sock.sendall(b"greeting EMPTY %b\r\n" % next(greetings))

    with gevent.Timeout(30), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        link = Link(listener.getsockname(), [], letters.post)
        actors = [gevent.spawn(speak, listener), gevent.spawn(link.run)]
        assert letters.take() == [Greeted(True, 9000.0)]
        links[0][0].sendall(b"aside 7 hello\r\n")
        while link.read != 7:
            gevent.sleep(0)
        clock[0] += 3.9  # the next greeting is read 0.9 s late, which is no new start
        links[0][0].close()
        assert letters.take() == [Parted(End.CLOSED)] and letters.take() == [Greeted(True, 12_000.0)]
        clock[0] += 2.0
        links[1][0].close()
        assert letters.take() == [Parted(End.CLOSED)] and letters.take() == [Greeted(True, 1510.0, anew=True)]
        assert [said for _, said in links] == [b"subscribe %d\r\n" % n for n in (0, 7, 7, 0)]
        links[3][0].sendall(b"outcome 1 aa FAIL 1 0\r\n\r\n")
        assert letters.take() == [RunEnded("aa", Outcome.ERROR, 1.0, b"")]
        gevent.killall(actors)


def test_a_launch_that_comes_between_the_drop_of_a_link_and_its_end_never_left() -> None:
    links: list[Any] = []
    letters: Mailbox[Any] = Mailbox(100)
    with gevent.Timeout(30), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        link = Link(listener.getsockname(), [], letters.post)
        actors = [gevent.spawn(agent, listener, links), gevent.spawn(link.run), gevent.spawn(link.write)]
        assert letters.take() == [Greeted(False, 5.0)]
        link.mailbox.post(Launch("aa", "group", b"x"))
        for _ in range(SILENT_BEATS + 1):
            link.look(0.0)
        told = [letter for _ in range(2) for letter in letters.take()]
        while len(told) < 3:
            told += letters.take()
        assert set(map(type, told[:2])) == {Unsent, Parted} and Unsent(["aa"]) in told
        gevent.killall(actors)


def test_a_greeting_that_is_read_long_after_it_came_is_no_new_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """We stand still for 1.4 s between asking for it and reading it; the link had stood for 100 ms."""
    letters: Mailbox[Any] = Mailbox(100)
    clock, links = [50_000.0], list[Any]()
    monkeypatch.setattr("myrtlecrank.agent.client.time.monotonic", lambda: clock[0])

    def speak(listener: Any) -> None:
        for up in (b"9000", b"9100"):
            sock, _ = listener.accept()
            links.append((sock, sock.recv(100)))
            if len(links) == 2:
                clock[0] += 1.4
            sock.sendall(b"greeting LOADED %b\r\n" % up)

    with gevent.Timeout(30), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        link = Link(listener.getsockname(), [], letters.post)
        actors = [gevent.spawn(speak, listener), gevent.spawn(link.run)]
        assert letters.take() == [Greeted(False, 9000.0)]
        links[0][0].sendall(b"aside 7 hello\r\n")
        while link.read != 7:
            gevent.sleep(0)
        clock[0] += 0.1
        links[0][0].close()
        assert letters.take() == [Parted(End.CLOSED)] and letters.take() == [Greeted(False, 9100.0)]
        assert [said for _, said in links] == [b"subscribe 0\r\n", b"subscribe 7\r\n"]
        gevent.killall(actors)


@pytest.mark.parametrize("hangs", [False, True])
def test_a_link_that_ends_or_hangs_is_opened_again_from_the_last_notice(hangs: bool) -> None:
    links: list[Any] = []
    letters: Mailbox[Any] = Mailbox(100)
    with gevent.Timeout(30), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        link = Link(listener.getsockname(), [], letters.post)
        actors = [gevent.spawn(agent, listener, links), gevent.spawn(link.run), gevent.spawn(link.write)]
        assert letters.take() == [Greeted(False, 5.0)]
        links[0][0].sendall(b"outcome 9 aa FAIL 1 0\r\n\r\n")
        assert letters.take() == [RunEnded("aa", Outcome.ERROR, 1.0, b"")]
        if hangs:
            for _ in range(SILENT_BEATS):
                assert link.sock
                link.look(0.0)
            assert link.dropped is None
            link.look(0.0)
        else:
            links[0][0].close()
        end = letters.take()
        assert end == [Parted(End.SILENT if hangs else End.CLOSED)]
        assert letters.take() == [Greeted(False, 5.0)]
        assert [said for _, said in links] == [b"subscribe 0\r\n", b"subscribe 9\r\n"]
        link.mailbox.post(Sample("b2"))
        assert links[1][0].recv(100) == b"sample b2\r\n"
        gevent.killall(actors)
