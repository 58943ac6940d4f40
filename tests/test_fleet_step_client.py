"""Offers of steps to receivers: each answer counts for the step and epoch that it belongs to."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.queue import Queue

from myrtlecrank.fleet.ownership.lease import Duty, LeaseTimings
from myrtlecrank.fleet.step_client import InvalidAnswerError, StepClient, decode_answer
from myrtlecrank.fleet.step_scheduler import DutySchedule, Effect, StepScheduler

STEP = Effect("d", 3, 7, 1000.0)


class Receiver:
    """A receiver whose answers the test writes; each offer comes with its connection."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.offers: Queue[tuple[dict[str, Any], Any]] = Queue()
        self.connection_count = 0
        self.greenlet = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.connection_count += 1
            gevent.spawn(self._read, sock)

    def _read(self, sock: Any) -> None:
        for line in sock.makefile("rb"):
            self.offers.put((json.loads(line), sock))


class Owner:
    """The owner's side: a client, and the results that it reports."""

    def __init__(self, receiver: Receiver) -> None:
        self.client = StepClient(receiver.listener.getsockname(), "a")
        self.results: Queue[tuple[int, bool]] = Queue()

    def offer(self, step: int, epoch: int = 1, remaining_ms: float = 20_000.0) -> None:
        self.client.start_offer(
            Effect("d", epoch, step, 0.0),
            lambda: True,
            lambda: remaining_ms,
            lambda effect, taken: self.results.put((effect.step, taken)),
        )


@pytest.fixture
def receiver() -> Iterator[Receiver]:
    with gevent.Timeout(30):
        one = Receiver()
        yield one
        one.greenlet.kill()
        one.listener.close()


def answer(sock: Any, taken: bool) -> None:
    sock.sendall(json.dumps({"taken": taken}).encode() + b"\n")


def test_a_second_offer_ends_the_first_and_never_reads_its_answer(receiver: Receiver) -> None:
    """Guards against steps that count as done by the answer to the step before: a duty was moved and came
    back while its offer was under way."""
    owner = Owner(receiver)
    owner.offer(44, epoch=1)
    _, first = receiver.offers.get()
    owner.offer(44, epoch=3)
    offer, second = receiver.offers.get()
    assert (offer["step"], offer["epoch"]) == (44, 3) and second is not first
    with pytest.raises(OSError):
        for _ in range(100):  # the first write to a closed connection may still be taken
            answer(first, True)
            gevent.sleep(0.001)
    answer(second, True)
    assert owner.results.get() == (44, True)
    owner.offer(45, epoch=3)
    answer(receiver.offers.get()[1], False)
    assert owner.results.get() == (45, False) and owner.results.empty()


def test_an_aborted_offer_reports_nothing_and_its_connection_is_not_used_again(receiver: Receiver) -> None:
    owner = Owner(receiver)
    owner.offer(1)
    _, sock = receiver.offers.get()
    owner.client.abort()
    assert owner.client.sock is None and owner.results.empty()
    owner.client.abort()  # nothing is under way any more
    owner.offer(2)
    assert receiver.offers.get()[1] is not sock


def test_an_offer_that_runs_out_of_time_closes_its_connection(receiver: Receiver) -> None:
    owner = Owner(receiver)
    owner.offer(1, remaining_ms=50.0)
    receiver.offers.get()
    assert owner.results.get() == (1, False) and owner.client.sock is None


def test_one_connection_serves_many_steps(receiver: Receiver) -> None:
    owner = Owner(receiver)
    for step in range(5):
        owner.offer(step)
        answer(receiver.offers.get()[1], step % 2 == 0)
        assert owner.results.get() == (step, step % 2 == 0)
    assert receiver.connection_count == 1


def test_an_answer_that_arrives_between_two_offers_counts_for_neither(receiver: Receiver) -> None:
    owner = Owner(receiver)
    owner.offer(1)
    _, sock = receiver.offers.get()
    answer(sock, True)
    assert owner.results.get() == (1, True)
    answer(sock, True)
    gevent.sleep(0.05)
    owner.offer(2)
    _, second = receiver.offers.get()
    assert second is not sock
    answer(second, False)
    assert owner.results.get() == (2, False)


def test_an_unexpected_error_ends_the_offer_as_not_taken(receiver: Receiver) -> None:
    owner = Owner(receiver)

    def fail() -> bool:
        raise RuntimeError("not an error of the network")

    owner.client.start_offer(
        STEP, fail, lambda: 1000.0, lambda effect, taken: owner.results.put((effect.step, taken))
    )
    assert owner.results.get() == (7, False) and owner.client.sock is None


def test_nothing_is_sent_once_the_duty_is_lost(receiver: Receiver) -> None:
    owner = Owner(receiver)
    ended = Event()
    owner.client.start_offer(STEP, lambda: False, lambda: 1000.0, lambda *_: ended.set())
    ended.wait()
    assert receiver.offers.empty()


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\n",
        b"no\n",
        b"[]\n",
        b"{}\n",
        b'{"taken":1}\n',
        b'{"taken":true}{"taken":true}\n',
        b'{"taken":true}\n{"taken":true}\n',
        b'{"taken":true,"step":6}\n',
        b'{"taken":true,"epoch":2}\n',
        b'{"taken":true,"duty":"e"}\n',
    ],
)
def test_what_is_no_answer_to_the_offered_step_is_refused(raw: bytes) -> None:
    with pytest.raises(InvalidAnswerError):
        decode_answer(raw, STEP)


@pytest.mark.parametrize(
    "raw", [b'{"taken":%b}\n', b'{"taken":%b,"duty":"d","epoch":3,"step":7,"more":[]}\n']
)
def test_an_answer_may_repeat_what_was_offered(raw: bytes) -> None:
    assert decode_answer(raw % b"true", STEP) and not decode_answer(raw % b"false", STEP)


class OwnedDuty(Duty):
    """A duty whose epoch the test sets."""

    def owns(self, now: float) -> int | None:
        return self.epoch


@pytest.mark.parametrize("epoch", [None, 2])
def test_a_running_step_is_abandoned_when_its_epoch_is_over(epoch: int | None) -> None:
    duty = OwnedDuty("d", "a/1", LeaseTimings.derive(1000.0, 0.01, 250.0))
    duty.epoch, duty.lease_end = 1, 5000.0
    scheduler = StepScheduler([DutySchedule("d", 100.0, 400.0, 50.0)], {"d": duty}, 8)
    (effect,) = scheduler.tick(10.0)
    duty.epoch = epoch
    scheduler.tick(20.0)
    assert scheduler.abandoned_duties == ["d"] and effect.step == 1
    scheduler.tick(30.0)
    assert scheduler.abandoned_duties == ["d"]


def test_a_step_is_abandoned_at_its_deadline_and_counted_as_failed() -> None:
    duty = OwnedDuty("d", "a/1", LeaseTimings.derive(1000.0, 0.01, 250.0))
    duty.epoch, duty.lease_end = 1, 5000.0
    scheduler = StepScheduler([DutySchedule("d", 100.0, 400.0, 50.0)], {"d": duty}, 8)
    scheduler.tick(10.0)
    scheduler.tick(410.0)
    assert scheduler.abandoned_duties == ["d"] and scheduler.failed_offers == {"d": 1}
