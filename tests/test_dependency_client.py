"""Calls to the dependency: codec, client over loopback sockets, and the core's handling of their ends."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from helpers import CoreHarness, group

from myrtlecrank.agent.codec import OutcomeNotice, RequestNotice, decode_notices, encode_command
from myrtlecrank.core.connection_errors import CloseReason
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import (
    AgentConnected,
    AgentDisconnected,
    CallEnded,
    CallRequested,
    CancelCall,
    DeliverCallResult,
    DrainRequested,
    ExchangesAbandoned,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    SkipCall,
    StartCall,
    StartRun,
    Verdict,
)
from myrtlecrank.dependency import codec
from myrtlecrank.dependency.client import MAX_OVERDUE_TICKS, DependencyClient
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import DependencyKind, EffectKind, Gauges, Outcome

FORGED = b"x\r\noutcome 9 ff PASS 1 0\r\n\r\nrequest 10 ee 1\r\nq"
WAIT_S = 10.0


@pytest.mark.parametrize("piece_bytes", [1, 13, 4096])
def test_body_that_reads_like_notices_is_skipped_whole(piece_bytes: int) -> None:
    raw = b"request 3 aa %d\r\n%b\r\noutcome 4 aa PASS 5 1\r\nr\r\n" % (len(FORGED), FORGED)
    buffer, notices = RingBuffer(), []
    for at in range(0, len(raw), piece_bytes):
        buffer.append(raw[at : at + piece_bytes])
        notices += list(decode_notices(buffer))
    assert notices == [RequestNotice(3, "aa", FORGED), OutcomeNotice(4, "aa", Outcome.OK, 5.0, b"r")]


def test_commands_are_encoded_and_replies_decoded() -> None:
    assert codec.encode_command(StartCall("aa", 20.7, b"x\r\n")) == b"OP aa 20 3\r\nx\r\n\r\n"
    assert codec.encode_command(StartCall("aa", 0.2, b"")) == b"OP aa 1 0\r\n\r\n"
    assert codec.encode_command(CancelCall("aa")) == b"UNOP aa\r\n"
    assert (
        encode_command(DeliverCallResult("aa", b"x\r\n")) + encode_command(SkipCall("aa"))
        == b"deliver aa 3\r\nx\r\n\r\nforgo aa\r\n"
    )
    buffer = RingBuffer()
    buffer.append(
        b"aa DONE 3\r\nx\r\n\r\nbb WAIT 30\r\ncc ERROR\r\ndd PAST\r\nee EMPTY\r\nff DONE 9\r\nshort"
    )
    assert [(r.exchange_id, r.outcome, r.result) for r in codec.decode_replies(buffer)] == [
        ("aa", Outcome.OK, b"x\r\n"),
        ("bb", Outcome.REJECTED, b""),
        ("cc", Outcome.ERROR, b""),
        ("dd", Outcome.TIMEOUT, b""),
        ("ee", Outcome.ERROR, b""),
    ]


INVALID_REPLIES = [
    b"aa DONE -3\r\n",
    b"aa DONE 3000000000\r\n",
    b"aa DONE 1\r\nxyz\r\n",
    b"hum\r\n",
    b"a" * 5000,
]


class StandInDependency:
    """A listener that stands in for the dependency, and the client under test."""

    def __init__(self) -> None:
        self.messages: Mailbox[Any] = Mailbox(100)
        self.listener, self.address = self.listen()
        self.client = DependencyClient(self.address, self.messages.post, 1000.0)
        self.writer = gevent.spawn(self.client.run)

    def listen(self) -> tuple[Any, Any]:
        made = socket.socket()
        made.bind(("127.0.0.1", 0))
        made.listen()
        made.settimeout(WAIT_S)
        return made, made.getsockname()

    def accept(self, listener: Any = None) -> Any:
        sock = (listener or self.listener).accept()[0]
        sock.settimeout(WAIT_S)
        return sock


@pytest.fixture
def dependency() -> Iterator[StandInDependency]:
    with gevent.Timeout(3 * WAIT_S):
        made = StandInDependency()
        yield made
        made.writer.kill()
        made.listener.close()


def test_calls_share_a_connection_and_are_answered_in_any_order(dependency: StandInDependency) -> None:
    for exchange_id in ("aa", "bb"):
        dependency.client.mailbox.post(StartCall(exchange_id, 900.0, b"q"))
    sock = dependency.accept()
    assert sock.recv(100) == b"OP aa 900 1\r\nq\r\nOP bb 900 1\r\nq\r\n"
    sock.sendall(b"bb DONE 1\r\nr\r\naa WAIT 5\r\nbb DONE 1\r\nr\r\n")
    assert dependency.messages.take() == [
        CallEnded("bb", Outcome.OK, b"r"),
        CallEnded("aa", Outcome.REJECTED, b""),
    ]


@pytest.mark.parametrize("invalid", [b"", *INVALID_REPLIES])
def test_lost_connection_ends_its_pending_calls_and_the_next_call_opens_another(
    dependency: StandInDependency, invalid: bytes
) -> None:
    dependency.client.mailbox.post(StartCall("aa", 900.0, b"q"))
    sock = dependency.accept()
    sock.recv(100)
    sock.sendall(invalid)
    if not invalid:
        sock.close()
    (end,) = dependency.messages.take()
    assert end.exchange_id == "aa" and end.outcome in (Outcome.RESET, Outcome.ERROR)
    dependency.client.mailbox.post(StartCall("bb", 900.0, b"q"))
    assert dependency.accept().recv(100).startswith(b"OP bb")


def test_call_without_a_reachable_dependency_is_unreached(dependency: StandInDependency) -> None:
    dependency.listener.close()
    dependency.client.mailbox.post(StartCall("aa", 30.0, b"q"))
    assert dependency.messages.take() == [CallEnded("aa", Outcome.UNREACHED, b"")]


def test_address_change_keeps_pending_calls_and_sends_new_ones_to_the_new_address(
    dependency: StandInDependency,
) -> None:
    dependency.client.mailbox.post(StartCall("aa", 900.0, b"q"))
    old = dependency.accept()
    old.recv(100)
    listener, address = dependency.listen()
    dependency.client.change_address(address)
    dependency.client.mailbox.post(StartCall("bb", 900.0, b"q"))
    new = dependency.accept(listener)
    assert new.recv(100).startswith(b"OP bb")
    old.sendall(b"aa DONE 1\r\nr\r\n")
    assert dependency.messages.take() == [CallEnded("aa", Outcome.OK, b"r")]
    assert old.recv(100) == b"" and list(dependency.client.connections) == [dependency.client.connection]


@pytest.mark.parametrize("opened", [False, True])
def test_call_is_abandoned_on_the_connection_on_which_it_was_sent(
    dependency: StandInDependency, opened: bool
) -> None:
    """The address changes after the call was sent and before it is abandoned."""
    dependency.client.mailbox.post(StartCall("aa", 900.0, b"q"))
    old = dependency.accept()
    old.recv(100)
    listener, address = dependency.listen()
    dependency.client.change_address(address)
    if opened:
        dependency.client.mailbox.post(StartCall("bb", 900.0, b"q"))
        assert dependency.accept(listener).recv(100).startswith(b"OP bb")
    dependency.client.mailbox.post(CancelCall("aa"))
    assert old.recv(100) == b"UNOP aa\r\n" and old.recv(100) == b""
    while len(dependency.client.connections) > opened:
        gevent.sleep(0)


def test_hung_write_is_ended_although_it_abandons_the_last_pending_call(
    dependency: StandInDependency,
) -> None:
    """The dependency reads nothing any more when the last pending call is abandoned."""
    dependency.client.mailbox.post(StartCall("aa", 900.0, b"q"))
    first = dependency.accept()
    first.recv(100)
    connection = dependency.client.connection
    assert connection is not None

    class BlockedSocket:
        def send(self, _: Any) -> int:
            closed.wait()
            raise OSError(errno.EBADF, "closed")

        def close(self) -> None:
            closed.set()
            real_sock.close()

        def __getattr__(self, name: str) -> Any:
            return getattr(real_sock, name)

    closed, real_sock = Event(), connection.sock
    connection.sock = BlockedSocket()
    dependency.client.mailbox.post(CancelCall("aa"))
    gevent.sleep(0)
    dependency.client.mailbox.post(StartCall("bb", 900.0, b"q"))
    for _ in range(11):
        dependency.client.check_silence(0.0)
    assert dependency.accept().recv(100).startswith(b"OP bb")


def test_overdue_call_ends_in_a_timeout_and_an_abandoned_one_is_not_awaited(
    dependency: StandInDependency,
) -> None:
    dependency.client.mailbox.post(StartCall("aa", 900.0, b"q"))
    dependency.client.mailbox.post(StartCall("bb", 50.0, b"q"))
    sock = dependency.accept()  # kept in a variable, or garbage collection would close it
    sock.recv(100)
    dependency.client.mailbox.post(CancelCall("aa"))
    gevent.sleep(0)
    for _ in range(MAX_OVERDUE_TICKS):
        dependency.client.check_silence(5000.0)
    assert dependency.client.connection is not None and dependency.client.connection.drop_reason is None
    dependency.client.check_silence(5000.0)
    assert dependency.messages.take() == [CallEnded("bb", Outcome.TIMEOUT, b"")] and not dependency.messages


def test_silent_connection_is_dropped_although_each_call_is_abandoned_in_time(
    dependency: StandInDependency,
) -> None:
    """Calls on a hung connection are abandoned with their exchanges while new ones are sent."""
    now = 0.0

    def run_ticks(count: int) -> None:
        nonlocal now
        for _ in range(count):
            now += 100.0
            dependency.client.check_silence(now)

    dependency.client.mailbox.post(StartCall("a0", 4000.0, b"q"))
    sock = dependency.accept()
    sock.recv(100)
    run_ticks(8)
    sock.sendall(b"a0 DONE 1\r\nr\r\n")
    assert dependency.messages.take() == [CallEnded("a0", Outcome.OK, b"r")]
    for exchange_id in ("a1", "a2"):
        dependency.client.mailbox.post(StartCall(exchange_id, 900.0, b"q"))
        sock.recv(100)
        run_ticks(7)
        if exchange_id == "a1":
            dependency.client.mailbox.post(StartCall("a3", 4000.0, b"q"))
            dependency.client.mailbox.post(CancelCall(exchange_id))
            sock.recv(100)
    assert dependency.client.connection is not None and dependency.client.connection.drop_reason is None
    run_ticks(3)  # more than twice the 800 ms that a call took
    assert dependency.messages.take() == [CallEnded(i, Outcome.TIMEOUT, b"") for i in ("a3", "a2")]
    dependency.client.mailbox.post(StartCall("a4", 900.0, b"q"))
    assert dependency.accept().recv(100).startswith(b"OP a4")


class CallingHarness(CoreHarness):
    """The core's actor with a dependency."""

    def __init__(self, kind: EffectKind = EffectKind.REPEATABLE, **others: Any) -> None:
        super().__init__(group(kind, may_call=True, **others), dependency=DependencyKind.TIER)
        self.dependency_commands: list[Any] = []
        self.core.send_to_dependency = self.dependency_commands.append

    def request_call(self) -> None:
        self.submit("aa", 0.0)
        self.process_batch(1.0, CallRequested("aa", b"q"))


def test_run_gets_the_result_of_its_call() -> None:
    harness = CallingHarness()
    harness.request_call()
    assert (
        harness.dependency_commands == [StartCall("aa", harness.dependency_commands[0].timeout, b"q")]
        and 0 < harness.dependency_commands[0].timeout < 4000.0
    )
    harness.process_batch(50.0, CallEnded("aa", Outcome.OK, b"result"))
    assert harness.commands(DeliverCallResult) == [DeliverCallResult("aa", b"result")]
    harness.process_batch(60.0, RunEnded("aa", Outcome.OK, 60.0, b"done"))
    assert [a.verdict for a in harness.answers] == [Verdict.COMPLETED] and not harness.core.entries_by_id
    assert harness.core.controller and harness.core.controller.calls_in_flight == 0


@pytest.mark.parametrize(("kind", "calls"), [(EffectKind.REPEATABLE, 2), (EffectKind.MUTATING, 1)])
def test_lost_call_is_retried_only_where_that_is_safe(kind: EffectKind, calls: int) -> None:
    harness = CallingHarness(kind)
    harness.request_call()
    harness.process_batch(50.0, CallEnded("aa", Outcome.RESET, b""))
    assert len(harness.dependency_commands) == calls
    assert kind is EffectKind.REPEATABLE or [a.verdict for a in harness.answers] == [Verdict.TERMINATED]


def test_rejected_or_unsent_call_is_retried_for_any_kind_of_exchange() -> None:
    harness = CallingHarness(EffectKind.MUTATING)
    harness.request_call()
    harness.process_batch(50.0, CallEnded("aa", Outcome.REJECTED, b""))
    harness.process_batch(60.0, CallEnded("aa", Outcome.UNREACHED, b""))
    assert len(harness.dependency_commands) == 3 and not harness.answers


def test_failed_call_is_skipped_where_the_exchange_keeps_a_benefit() -> None:
    harness = CallingHarness(EffectKind.MUTATING, benefit_without_call=0.5)
    harness.request_call()
    harness.process_batch(50.0, CallEnded("aa", Outcome.ERROR, b""))
    assert harness.commands(SkipCall) == [SkipCall("aa")] and not harness.answers


def reconnect_agent(harness: CallingHarness, *missed: Any) -> None:
    """The agent is disconnected and connected again; `missed` are the events in between."""
    harness.process_batch(60.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.process_batch(70.0, AgentConnected(False, 70.0), *missed)
    harness.process_batch(80.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))


def test_call_result_that_came_without_a_connection_is_sent_after_reconnection() -> None:
    harness = CallingHarness()
    harness.request_call()
    harness.process_batch(
        50.0, AgentDisconnected(CloseReason.RESET_BY_PEER), CallEnded("aa", Outcome.OK, b"result")
    )
    assert not harness.commands(DeliverCallResult)
    reconnect_agent(harness)
    assert harness.commands(DeliverCallResult) == [DeliverCallResult("aa", b"result")]
    assert len(harness.commands(StartRun)) == 1


def test_run_at_its_next_call_does_not_get_the_last_result_again() -> None:
    harness = CallingHarness()
    harness.request_call()
    harness.process_batch(50.0, CallEnded("aa", Outcome.OK, b"result"))
    reconnect_agent(harness, CallRequested("aa", b"next"))
    assert len(harness.commands(DeliverCallResult)) == 1 and [
        c.body for c in harness.dependency_commands
    ] == [b"q", b"next"]


def test_result_taken_before_the_disconnection_is_not_sent_again() -> None:
    harness = CallingHarness()
    harness.request_call()
    harness.process_batch(50.0, CallEnded("aa", Outcome.OK, b"result"))
    harness.process_batch(101.0)
    harness.process_batch(102.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    harness.process_batch(103.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.process_batch(104.0, AgentConnected(False, 104.0))
    harness.process_batch(105.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert len(harness.commands(DeliverCallResult)) == 1


@pytest.mark.parametrize("kind", list(EffectKind))
def test_call_without_an_end_does_not_delay_its_exchange_past_the_deadline(kind: EffectKind) -> None:
    harness = CallingHarness(kind)
    harness.request_call()
    for now in range(10, 4001, 10):
        harness.process_batch(float(now))
        if harness.answers:
            break
    assert now < 4000 and harness.dependency_commands[-1] == CancelCall("aa")
    harness.process_batch(
        4010.0, CallEnded("aa", Outcome.OK, b"late"), RunEnded("aa", Outcome.CANCELLED, 4000.0, b"")
    )
    assert (
        not harness.commands(DeliverCallResult)
        and not harness.core.entries_by_id
        and len(harness.answers) == 1
    )


def test_pending_calls_are_ended_before_the_stop() -> None:
    harness = CallingHarness()
    harness.request_call()
    harness.process_batch(10.0, DrainRequested(10.0))
    for now in range(20, 3200, 20):
        harness.process_batch(float(now))
    assert harness.core.unanswered == 0 and harness.dependency_commands[-1] == CancelCall("aa")


def test_caller_that_disconnects_during_a_call_leaves_no_state() -> None:
    harness = CallingHarness()
    request = harness.submit("aa", 0.0)
    harness.process_batch(1.0, CallRequested("aa", b"q"))
    harness.process_batch(2.0, ExchangesAbandoned([request]))
    harness.process_batch(50.0, CallEnded("aa", Outcome.OK, b"result"))
    harness.process_batch(60.0, RunEnded("aa", Outcome.CANCELLED, 60.0, b""))
    assert not harness.core.entries_by_id and not harness.answers
    assert harness.core.controller and not harness.core.controller.running


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.ERROR, Outcome.OK, Outcome.NOT_STARTED])
@pytest.mark.parametrize("left", [True, False])
@pytest.mark.parametrize("place", ["calling", "parked"])
@pytest.mark.parametrize("kind", [EffectKind.REPEATABLE, EffectKind.MUTATING])
def test_run_that_ends_during_its_call_frees_its_capacity(
    kind: EffectKind, place: str, left: bool, outcome: Outcome
) -> None:
    """The run is cancelled or ends between its call and the reply: no further call is made."""
    harness = CallingHarness(kind)
    controller = harness.core.controller
    assert controller
    controller.max_calls = 1.0
    if place == "parked":
        harness.submit("zz", 0.0)
        harness.process_batch(1.0, CallRequested("zz", b"q"))
    request = harness.submit("aa", 0.0)
    harness.process_batch(1.0, CallRequested("aa", b"q"))
    made = len([one for one in harness.dependency_commands if isinstance(one, StartCall)])
    assert len(controller.waiting_for_call) == (place == "parked") and made == 1
    if left:
        harness.process_batch(2.0, ExchangesAbandoned([request]))
    harness.process_batch(3.0, RunEnded("aa", outcome, 3.0, b"r"))
    harness.process_batch(4.0, CallEnded("aa", Outcome.OK, b"late"))
    assert "aa" not in harness.core.entries_by_id and not controller.waiting_for_call
    assert [one for one in harness.dependency_commands if isinstance(one, StartCall)][made:] == []
    assert len(harness.answers) == (not left)
    if place == "parked":
        harness.process_batch(5.0, CallEnded("zz", Outcome.OK, b"r"), RunEnded("zz", Outcome.OK, 5.0, b"r"))
    harness.process_batch(900.0)  # an abandoned call may stay with the dependency for a while
    assert controller.calls_in_flight == 0 and not controller.running


def test_machine_restart_ends_a_pending_call() -> None:
    harness = CallingHarness()
    harness.request_call()
    harness.process_batch(60.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.process_batch(70.0, AgentConnected(True, 5.0, restarted=True))
    harness.process_batch(900.0, CallEnded("aa", Outcome.OK, b"late"))
    assert [a.request.exchange_id for a in harness.answers] == ["aa"] and harness.dependency_commands[
        -1
    ] == CancelCall("aa")
    assert (
        not harness.core.entries_by_id
        and harness.core.controller
        and harness.core.controller.calls_in_flight == 0
    )


def test_unexpected_call_does_not_end_the_exchange() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0)
    harness.process_batch(1.0, CallRequested("aa", b"q"), CallRequested("gone", b"q"))
    harness.process_batch(9.0, RunEnded("aa", Outcome.OK, 9.0, b"r"))
    assert [a.verdict for a in harness.answers] == [Verdict.COMPLETED]
