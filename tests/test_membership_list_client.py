"""The client of the membership list, with a listener on a free port in the list's place."""

from __future__ import annotations

from typing import Any

import gevent
import pytest
from gevent import socket

from myrtlecrank.membership_list.client import MembershipListClient

WAIT_S = 10.0


def serve_membership_list(listener: Any, heard: list[bytes], replies: list[bytes]) -> None:
    for reply in replies:
        sock, _ = listener.accept()
        heard.append(sock.recv(4096))
        sock.sendall(reply)
        if b"204" in reply:
            heard.append(sock.recv(4096))
            sock.sendall(reply)
        sock.close()


def test_reports_reach_the_membership_list_and_its_failures_only_delay_them() -> None:
    heard: list[bytes] = []
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        good = b"HTTP/1.1 204 No Content\r\n\r\n"
        bad = [b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", b"nonsense\r\n\r\n", b"HTTP/1.1 2", b""]
        gevent.spawn(serve_membership_list, listener, heard, [*bad, good])
        client = MembershipListClient(listener.getsockname(), "n3")
        with gevent.Timeout(3 * WAIT_S):
            outcomes = []
            while client.last_reported is not True:
                outcomes.append(client.report(True))
            assert outcomes[-1] and not any(outcomes[:-1])
            assert client.report(False) and client.last_reported is False
    assert heard[-2].startswith(b"PUT /members/n3 HTTP/1.1\r\n")
    assert heard[-2].endswith(b'\r\n\r\n{"phase":"UP"}')
    assert heard[-1].endswith(b'{"phase":"OUT"}') and b"Content-Length: 15\r\n" in heard[-1]


def test_silent_membership_list_is_one_failed_report(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("myrtlecrank.membership_list.client.REPORT_TIMEOUT_S", 0.05)
    with gevent.Timeout(3 * WAIT_S), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = MembershipListClient(listener.getsockname(), "n3")
        assert client.report(True) is False and client.sock is None


def test_health_change_and_address_change_do_not_wait_for_a_missing_answer() -> None:
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
        client = MembershipListClient(old.getsockname(), "n3")
        actors.append(gevent.spawn(client.run))
        client.report_change(True)
        with gevent.Timeout(0.8, AssertionError("the health change waited for an answer")):
            while client.report_in_progress is not True or not client.is_report_sent:
                gevent.sleep(0.001)
            client.report_change(False)
            while len(heard) < 1 or client.report_in_progress is not False or not client.is_report_sent:
                gevent.sleep(0.001)
            actors.append(gevent.spawn(silent, new))
            client.change_address(new.getsockname())
            while len(heard) < 2 or not client.is_report_sent:
                gevent.sleep(0.001)
        assert client.last_reported is None and not client.missed_reports
        while client.last_reported is not False:
            gevent.sleep(0.01)  # a report that was sent whole counts without an answer
        gevent.killall(actors)
    assert [report[-13:] for report in heard[:2]] == [b'"phase":"UP"}', b'phase":"OUT"}']


def test_late_answer_to_an_earlier_report_does_not_count_for_the_next() -> None:
    """A second answer arrives on the connection before the next report is written."""
    good = b"HTTP/1.1 204 No Content\r\n\r\n"
    with gevent.Timeout(3 * WAIT_S), socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = MembershipListClient(listener.getsockname(), "n3")
        report = gevent.spawn(client.report, True)
        old = listener.accept()[0]
        old.recv(4096)
        old.sendall(good + good[:9])
        assert report.get() is True
        old.sendall(good[9:])
        while client.sock is not None and not client.sock.recv(1, socket.MSG_PEEK):
            pass
        report = gevent.spawn(client.report, False)
        new = listener.accept()[0]
        assert new.recv(4096).endswith(b'"OUT"}') and client.last_reported is True
        new.sendall(good)
        assert report.get() is True and client.last_reported is False


def test_reports_repeat_on_sampling_ticks_once_due_and_never_pile_up() -> None:
    client = MembershipListClient(("127.0.0.1", 1), "n3")
    client.report_if_due(0.0)
    client.is_healthy, client.due_at_ms = True, 0.0
    for _ in range(5):
        client.report_if_due(0.0)
    assert client.mailbox.take(0.0) == [True]
    client.due_at_ms = float("inf")
    client.report_if_due(0.0)
    assert not client.mailbox


def test_unreachable_membership_list_is_one_failed_report() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        client = MembershipListClient(listener.getsockname(), "n3")
    for _ in range(3):
        assert not client.is_unreachable and client.report(True) is False and client.sock is None
    assert client.is_unreachable
