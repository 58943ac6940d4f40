"""Calls to the layer below: the codec, the link over loopback sockets, and what the module's actor makes of
them."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from helpers import Play, group

from myrtlecrank.agent.codec import Ended, Needs, command, notices
from myrtlecrank.core.connection_errors import End
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import (
    Abandon,
    AtCall,
    Call,
    CallEnded,
    CallersLeft,
    Deliver,
    Forgo,
    Greeted,
    Launch,
    Leave,
    Parted,
    RunEnded,
    Sample,
    Sampled,
    Verdict,
)
from myrtlecrank.dependency import codec
from myrtlecrank.dependency.client import OVERDUE_BEATS, BelowLink
from myrtlecrank.frames.ring_buffer import Ring
from myrtlecrank.policy.interface import Below, Gauges, Kind, Outcome

FORGED = b"x\r\noutcome 9 ff PASS 1 0\r\n\r\nrequest 10 ee 1\r\nq"
WAIT_S = 10.0


@pytest.mark.parametrize("step", [1, 13, 4096])
def test_a_body_that_reads_like_notices_is_passed_over_whole(step: int) -> None:
    raw = b"request 3 aa %d\r\n%b\r\noutcome 4 aa PASS 5 1\r\nr\r\n" % (len(FORGED), FORGED)
    ring, told = Ring(), []
    for at in range(0, len(raw), step):
        ring.append(raw[at : at + step])
        told += list(notices(ring))
    assert told == [Needs(3, "aa", FORGED), Ended(4, "aa", Outcome.OK, 5.0, b"r")]


def test_commands_and_replies() -> None:
    assert codec.command(Call("aa", 20.7, b"x\r\n")) == b"OP aa 20 3\r\nx\r\n\r\n"
    assert codec.command(Call("aa", 0.2, b"")) == b"OP aa 1 0\r\n\r\n"
    assert codec.command(Abandon("aa")) == b"UNOP aa\r\n"
    assert command(Deliver("aa", b"x\r\n")) + command(Forgo("aa")) == b"deliver aa 3\r\nx\r\n\r\nforgo aa\r\n"
    ring = Ring()
    ring.append(b"aa DONE 3\r\nx\r\n\r\nbb WAIT 30\r\ncc ERROR\r\ndd PAST\r\nee EMPTY\r\nff DONE 9\r\nshort")
    assert [(r.ident, r.outcome, r.result) for r in codec.replies(ring)] == [
        ("aa", Outcome.OK, b"x\r\n"),
        ("bb", Outcome.FULL, b""),
        ("cc", Outcome.ERROR, b""),
        ("dd", Outcome.TIMEOUT, b""),
        ("ee", Outcome.ERROR, b""),
    ]


SPOILT = [b"aa DONE -3\r\n", b"aa DONE 3000000000\r\n", b"aa DONE 1\r\nxyz\r\n", b"hum\r\n", b"a" * 5000]


class Layer:
    """A listener in the place of the layer below, and the link to it."""

    def __init__(self) -> None:
        self.letters: Mailbox[Any] = Mailbox(100)
        self.listener, self.address = self.listen()
        self.link = BelowLink(self.address, self.letters.post, 1000.0)
        self.writer = gevent.spawn(self.link.run)

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
def layer() -> Iterator[Layer]:
    with gevent.Timeout(3 * WAIT_S):
        made = Layer()
        yield made
        made.writer.kill()
        made.listener.close()


def test_many_calls_share_a_link_and_come_back_in_any_order(layer: Layer) -> None:
    for ident in ("aa", "bb"):
        layer.link.mailbox.post(Call(ident, 900.0, b"q"))
    sock = layer.accept()
    assert sock.recv(100) == b"OP aa 900 1\r\nq\r\nOP bb 900 1\r\nq\r\n"
    sock.sendall(b"bb DONE 1\r\nr\r\naa WAIT 5\r\nbb DONE 1\r\nr\r\n")
    assert layer.letters.take() == [CallEnded("bb", Outcome.OK, b"r"), CallEnded("aa", Outcome.FULL, b"")]


@pytest.mark.parametrize("spoilt", [b"", *SPOILT])
def test_a_link_that_ends_or_is_spoilt_settles_what_is_out_on_it_and_the_next_call_opens_another(
    layer: Layer, spoilt: bytes
) -> None:
    layer.link.mailbox.post(Call("aa", 900.0, b"q"))
    sock = layer.accept()
    sock.recv(100)
    sock.sendall(spoilt)
    if not spoilt:
        sock.close()
    (end,) = layer.letters.take()
    assert end.ident == "aa" and end.outcome in (Outcome.RESET, Outcome.ERROR)
    layer.link.mailbox.post(Call("bb", 900.0, b"q"))
    assert layer.accept().recv(100).startswith(b"OP bb")


def test_a_call_that_finds_no_layer_never_left(layer: Layer) -> None:
    layer.listener.close()
    layer.link.mailbox.post(Call("aa", 30.0, b"q"))
    assert layer.letters.take() == [CallEnded("aa", Outcome.UNREACHED, b"")]


def test_a_move_with_a_call_out_loses_nothing_and_new_calls_go_to_the_new_place(layer: Layer) -> None:
    layer.link.mailbox.post(Call("aa", 900.0, b"q"))
    old = layer.accept()
    old.recv(100)
    listener, address = layer.listen()
    layer.link.move(address)
    layer.link.mailbox.post(Call("bb", 900.0, b"q"))
    new = layer.accept(listener)
    assert new.recv(100).startswith(b"OP bb")
    old.sendall(b"aa DONE 1\r\nr\r\n")
    assert layer.letters.take() == [CallEnded("aa", Outcome.OK, b"r")]
    assert old.recv(100) == b"" and list(layer.link.wires) == [layer.link.wire]


@pytest.mark.parametrize("opened", [False, True])
def test_what_is_given_up_is_so_on_the_link_that_it_went_out_on(layer: Layer, opened: bool) -> None:
    """The layer moves between a call and its exchange being given up."""
    layer.link.mailbox.post(Call("aa", 900.0, b"q"))
    old = layer.accept()
    old.recv(100)
    listener, address = layer.listen()
    layer.link.move(address)
    if opened:
        layer.link.mailbox.post(Call("bb", 900.0, b"q"))
        assert layer.accept(listener).recv(100).startswith(b"OP bb")
    layer.link.mailbox.post(Abandon("aa"))
    assert old.recv(100) == b"UNOP aa\r\n" and old.recv(100) == b""
    while len(layer.link.wires) > opened:
        gevent.sleep(0)


def test_a_write_that_stands_still_is_ended_though_all_it_gives_up_was_out(layer: Layer) -> None:
    """The layer takes nothing any more when the last call that is out is given up."""
    layer.link.mailbox.post(Call("aa", 900.0, b"q"))
    first = layer.accept()
    first.recv(100)
    wire = layer.link.wire
    assert wire is not None

    class Full:
        def send(self, _: Any) -> int:
            held.wait()
            raise OSError(errno.EBADF, "closed")

        def close(self) -> None:
            held.set()
            wire_sock.close()

        def __getattr__(self, name: str) -> Any:
            return getattr(wire_sock, name)

    held, wire_sock = Event(), wire.sock
    wire.sock = Full()
    layer.link.mailbox.post(Abandon("aa"))
    gevent.sleep(0)
    layer.link.mailbox.post(Call("bb", 900.0, b"q"))
    for _ in range(11):
        layer.link.look(0.0)
    assert layer.accept().recv(100).startswith(b"OP bb")


def test_a_call_whose_end_is_never_told_is_given_up_and_an_abandoned_one_is_not_waited_for(
    layer: Layer,
) -> None:
    layer.link.mailbox.post(Call("aa", 900.0, b"q"))
    layer.link.mailbox.post(Call("bb", 50.0, b"q"))
    sock = layer.accept()  # held, or it would be closed with its last name
    sock.recv(100)
    layer.link.mailbox.post(Abandon("aa"))
    gevent.sleep(0)
    for _ in range(OVERDUE_BEATS):
        layer.link.look(5000.0)
    assert layer.link.wire is not None and layer.link.wire.dropped is None
    layer.link.look(5000.0)
    assert layer.letters.take() == [CallEnded("bb", Outcome.TIMEOUT, b"")] and not layer.letters


def test_a_link_that_goes_silent_is_known_though_each_call_on_it_is_abandoned_in_time(layer: Layer) -> None:
    """As a hung link is seen by the module: calls are given up with their exchanges, and new ones go out."""
    now = 0.0

    def beats(count: int) -> None:
        nonlocal now
        for _ in range(count):
            now += 100.0
            layer.link.look(now)

    layer.link.mailbox.post(Call("a0", 4000.0, b"q"))
    sock = layer.accept()
    sock.recv(100)
    beats(8)
    sock.sendall(b"a0 DONE 1\r\nr\r\n")
    assert layer.letters.take() == [CallEnded("a0", Outcome.OK, b"r")]
    for ident in ("a1", "a2"):
        layer.link.mailbox.post(Call(ident, 900.0, b"q"))
        sock.recv(100)
        beats(7)
        if ident == "a1":
            layer.link.mailbox.post(Call("a3", 4000.0, b"q"))
            layer.link.mailbox.post(Abandon(ident))
            sock.recv(100)
    assert layer.link.wire is not None and layer.link.wire.dropped is None
    beats(3)  # more than twice the 800 ms that a call took
    assert layer.letters.take() == [CallEnded(i, Outcome.TIMEOUT, b"") for i in ("a3", "a2")]
    layer.link.mailbox.post(Call("a4", 900.0, b"q"))
    assert layer.accept().recv(100).startswith(b"OP a4")


class Calls(Play):
    """The module's actor on a site with a layer below."""

    def __init__(self, kind: Kind = Kind.REPEATABLE, **others: Any) -> None:
        super().__init__(group(kind, may_call=True, **others), below=Below.TIER)
        self.asked: list[Any] = []
        self.core.below = self.asked.append

    def at_call(self) -> None:
        self.ask("aa", 0.0)
        self.turn(1.0, AtCall("aa", b"q"))


def test_a_run_that_calls_gets_what_the_layer_brings() -> None:
    play = Calls()
    play.at_call()
    assert play.asked == [Call("aa", play.asked[0].timeout, b"q")] and 0 < play.asked[0].timeout < 4000.0
    play.turn(50.0, CallEnded("aa", Outcome.OK, b"result"))
    assert play.commands(Deliver) == [Deliver("aa", b"result")]
    play.turn(60.0, RunEnded("aa", Outcome.OK, 60.0, b"done"))
    assert [a.verdict for a in play.answers] == [Verdict.COMPLETED] and not play.core.table
    assert play.core.controller and play.core.controller.calls_in_flight == 0


@pytest.mark.parametrize(("kind", "calls"), [(Kind.REPEATABLE, 2), (Kind.MUTATING, 1)])
def test_a_lost_call_is_made_again_only_where_it_may_be(kind: Kind, calls: int) -> None:
    play = Calls(kind)
    play.at_call()
    play.turn(50.0, CallEnded("aa", Outcome.RESET, b""))
    assert len(play.asked) == calls
    assert kind is Kind.REPEATABLE or [a.verdict for a in play.answers] == [Verdict.TERMINATED]


def test_a_call_that_was_turned_away_or_never_left_is_made_again_whatever_it_does() -> None:
    play = Calls(Kind.MUTATING)
    play.at_call()
    play.turn(50.0, CallEnded("aa", Outcome.FULL, b""))
    play.turn(60.0, CallEnded("aa", Outcome.UNREACHED, b""))
    assert len(play.asked) == 3 and not play.answers


def test_a_call_may_be_done_without_where_that_earns_something() -> None:
    play = Calls(Kind.MUTATING, benefit_without_call=0.5)
    play.at_call()
    play.turn(50.0, CallEnded("aa", Outcome.ERROR, b""))
    assert play.commands(Forgo) == [Forgo("aa")] and not play.answers


def again(play: Calls, *missed: Any) -> None:
    """The agent's link is lost and opened again, with these among what was missed."""
    play.turn(60.0, Parted(End.RESET))
    play.turn(70.0, Greeted(False, 70.0), *missed)
    play.turn(80.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))


@pytest.mark.parametrize("before", [True, False])
def test_what_a_call_brought_reaches_the_run_though_the_link_is_lost_under_it(before: bool) -> None:
    """The cut comes just after the result went out, or just before it came."""
    play = Calls()
    play.at_call()
    if before:
        play.turn(50.0, CallEnded("aa", Outcome.OK, b"result"))
        again(play)
    else:
        play.turn(50.0, Parted(End.RESET), CallEnded("aa", Outcome.OK, b"result"))
        assert not play.commands(Deliver)
        again(play)
    assert play.commands(Deliver) == [Deliver("aa", b"result")] * (2 if before else 1)
    assert len(play.commands(Launch)) == 1


def test_a_run_that_went_on_to_its_next_call_is_not_handed_the_last_result_again() -> None:
    play = Calls()
    play.at_call()
    play.turn(50.0, CallEnded("aa", Outcome.OK, b"result"))
    again(play, AtCall("aa", b"next"))
    assert len(play.commands(Deliver)) == 1 and [c.body for c in play.asked] == [b"q", b"next"]


def test_a_result_that_the_run_took_before_the_cut_is_not_sent_again() -> None:
    play = Calls()
    play.at_call()
    play.turn(50.0, CallEnded("aa", Outcome.OK, b"result"))
    play.turn(101.0)
    play.turn(102.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    play.turn(103.0, Parted(End.RESET))
    play.turn(104.0, Greeted(False, 104.0))
    play.turn(105.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert len(play.commands(Deliver)) == 1


@pytest.mark.parametrize("kind", list(Kind))
def test_a_call_that_never_comes_back_holds_no_exchange_past_its_due_time(kind: Kind) -> None:
    play = Calls(kind)
    play.at_call()
    for now in range(10, 4001, 10):
        play.turn(float(now))
        if play.answers:
            break
    assert now < 4000 and play.asked[-1] == Abandon("aa")
    play.turn(4010.0, CallEnded("aa", Outcome.OK, b"late"), RunEnded("aa", Outcome.CANCELLED, 4000.0, b""))
    assert not play.commands(Deliver) and not play.core.table and len(play.answers) == 1


def test_calls_are_settled_before_the_stop_too() -> None:
    play = Calls()
    play.at_call()
    play.turn(10.0, Leave(10.0))
    for now in range(20, 3200, 20):
        play.turn(float(now))
    assert play.core.unanswered == 0 and play.asked[-1] == Abandon("aa")


def test_a_caller_that_leaves_while_its_run_calls_leaves_nothing_behind() -> None:
    play = Calls()
    ticket = play.ask("aa", 0.0)
    play.turn(1.0, AtCall("aa", b"q"))
    play.turn(2.0, CallersLeft([ticket]))
    play.turn(50.0, CallEnded("aa", Outcome.OK, b"result"))
    play.turn(60.0, RunEnded("aa", Outcome.CANCELLED, 60.0, b""))
    assert not play.core.table and not play.answers
    assert play.core.controller and not play.core.controller.running


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.ERROR, Outcome.OK, Outcome.MOOT])
@pytest.mark.parametrize("left", [True, False])
@pytest.mark.parametrize("place", ["calling", "parked"])
@pytest.mark.parametrize("kind", [Kind.REPEATABLE, Kind.MUTATING])
def test_a_run_that_ends_while_it_stands_at_its_call_is_over_with_its_room(
    kind: Kind, place: str, left: bool, outcome: Outcome
) -> None:
    """The run is stopped, or its end is told, between the call and its answer: no further call is made."""
    play = Calls(kind)
    controller = play.core.controller
    assert controller
    controller.max_calls = 1.0
    if place == "parked":
        play.ask("zz", 0.0)
        play.turn(1.0, AtCall("zz", b"q"))
    ticket = play.ask("aa", 0.0)
    play.turn(1.0, AtCall("aa", b"q"))
    made = len([one for one in play.asked if isinstance(one, Call)])
    assert len(controller.waiting_for_call) == (place == "parked") and made == 1
    if left:
        play.turn(2.0, CallersLeft([ticket]))
    play.turn(3.0, RunEnded("aa", outcome, 3.0, b"r"))
    play.turn(4.0, CallEnded("aa", Outcome.OK, b"late"))
    assert "aa" not in play.core.table and not controller.waiting_for_call
    assert [one for one in play.asked if isinstance(one, Call)][made:] == []
    assert len(play.answers) == (not left)
    if place == "parked":
        play.turn(5.0, CallEnded("zz", Outcome.OK, b"r"), RunEnded("zz", Outcome.OK, 5.0, b"r"))
    play.turn(900.0)  # what was left may stay with the layer for a while
    assert controller.calls_in_flight == 0 and not controller.running


def test_a_machine_that_begins_anew_under_a_call_ends_it_too() -> None:
    play = Calls()
    play.at_call()
    play.turn(60.0, Parted(End.RESET))
    play.turn(70.0, Greeted(True, 5.0, anew=True))
    play.turn(900.0, CallEnded("aa", Outcome.OK, b"late"))
    assert [a.ticket.ident for a in play.answers] == ["aa"] and play.asked[-1] == Abandon("aa")
    assert not play.core.table and play.core.controller and play.core.controller.calls_in_flight == 0


def test_a_call_that_the_settings_do_not_know_of_ends_nothing() -> None:
    play = Play()
    play.ask("aa", 0.0)
    play.turn(1.0, AtCall("aa", b"q"), AtCall("gone", b"q"))
    play.turn(9.0, RunEnded("aa", Outcome.OK, 9.0, b"r"))
    assert [a.verdict for a in play.answers] == [Verdict.COMPLETED]
