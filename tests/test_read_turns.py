"""What one connection may cost the others: its account, and the turns of all connections."""

from __future__ import annotations

import random

import gevent
import pytest
from gevent import socket

from myrtlecrank.core.event_loop import yield_to_io
from myrtlecrank.edge import read_account
from myrtlecrank.edge.read_account import ReadAccount, ReadPriority
from myrtlecrank.edge.turns import FRAMES_PER_PASS, FRAMES_PER_TURN, TurnScheduler

FLOOD_INTERVAL_MS = 0.1


@pytest.mark.parametrize("seed", range(5))
def test_a_caller_whose_exchanges_are_completed_is_never_read_in_the_background(seed: int) -> None:
    """Guards against sound callers that wait behind floods, also where most of what they send is denied."""
    chance = random.Random(seed)
    account, now, outstanding = ReadAccount(0.0), 0.0, 0
    for _ in range(2000):
        now += chance.expovariate(1.0 / 5.0)
        assert account.priority(now) is not ReadPriority.BACKGROUND
        account.charge(1, 300)
        outstanding += 1
        if outstanding >= 5:
            account.exchange_completed()  # one in five
            outstanding = 0


@pytest.mark.parametrize("seed", range(5))
def test_what_a_flood_is_read_in_the_foreground_is_bounded(seed: int) -> None:
    """Guards against a client that gets more turns of the foreground the more it sends."""
    chance = random.Random(seed)
    account, now, foreground_frames = ReadAccount(0.0), 0.0, 0
    while now < 10_000.0:
        frames = chance.randint(1, FRAMES_PER_TURN)
        if account.priority(now) is not ReadPriority.BACKGROUND:
            foreground_frames += frames
        account.charge(frames, chance.randint(0, 2048))
        now += FLOOD_INTERVAL_MS
    refilled = read_account.ALLOWANCE_PER_MS * now
    assert foreground_frames <= FRAMES_PER_TURN * (read_account.INITIAL_ALLOWANCE + refilled)


def test_a_greenlet_that_yields_lets_the_loop_look_at_the_sockets_each_time() -> None:
    """Guards against gevent.sleep(0), after which 50 callbacks may run before any socket is looked at."""
    ours, theirs = socket.socketpair()
    turns_of_busy = 0

    def stay_busy() -> None:
        nonlocal turns_of_busy
        while True:
            turns_of_busy += 1
            yield_to_io()

    busy = gevent.spawn(stay_busy)
    gevent.sleep(0.01)
    for _ in range(20):
        before = turns_of_busy
        theirs.send(b"x")
        assert ours.recv(1) == b"x"
        assert turns_of_busy - before <= 3
    busy.kill()


def test_a_turn_in_the_background_begins_once_the_one_before_it_is_dealt_with() -> None:
    """Guards against floods whose frames are taken faster than what they submit is answered."""
    scheduler, order = TurnScheduler(), list[str]()

    def deal_with(name: str) -> None:
        order.append(f"{name} dealt with")

    def connection(name: str) -> None:
        scheduler.wait(ReadPriority.BACKGROUND)
        order.append(f"{name} read")
        gevent.spawn(deal_with, name)

    gevent.joinall([gevent.spawn(connection, name) for name in "abc"])
    gevent.sleep(0.001)
    assert order == [f"{name} {what}" for name in "abc" for what in ("read", "dealt with")]


def test_proven_connections_go_first_and_one_pass_of_the_loop_has_a_bounded_number_of_turns() -> None:
    scheduler, order = TurnScheduler(), list[tuple[ReadPriority, int]]()

    def connection(priority: ReadPriority) -> None:
        scheduler.wait(priority)
        order.append((priority, scheduler.loop.iteration))
        scheduler.end_turn(FRAMES_PER_TURN)

    priorities = [ReadPriority.BACKGROUND, ReadPriority.NEW, ReadPriority.PROVEN] * 12
    gevent.joinall([gevent.spawn(connection, priority) for priority in priorities])
    foreground = [entry for entry in order if entry[0] is not ReadPriority.BACKGROUND]
    passes = [iteration for _, iteration in foreground]
    most_turns = FRAMES_PER_PASS[ReadPriority.PROVEN] // FRAMES_PER_TURN
    assert max(passes.count(iteration) for iteration in passes) <= most_turns
    # What comes while a place is free takes it; of those that wait, the proven ones are first.
    waited = [priority for priority, _ in foreground[most_turns:]]
    assert waited == sorted(waited)
    assert [priority for priority, _ in order[-12:]].count(ReadPriority.BACKGROUND) >= 11


def test_the_background_gets_turns_on_a_loop_that_is_never_idle() -> None:
    """Guards against bad clients that never get the refusal they are owed."""
    scheduler = TurnScheduler()

    def stay_busy() -> None:
        while True:
            yield_to_io()

    busy = gevent.spawn(stay_busy)
    with gevent.Timeout(5.0):
        gevent.joinall([gevent.spawn(scheduler.wait, ReadPriority.BACKGROUND) for _ in range(20)])
    busy.kill()


def test_a_connection_that_ends_while_it_waits_leaves_the_turn_to_the_others() -> None:
    scheduler = TurnScheduler()
    first = gevent.spawn(scheduler.wait, ReadPriority.BACKGROUND)
    second = gevent.spawn(scheduler.wait, ReadPriority.BACKGROUND)
    gevent.idle(priority=2)
    first.kill()
    second.join(timeout=5.0)
    assert second.ready()
