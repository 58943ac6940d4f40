"""Callers that leave with much unread."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket
from helpers import exchange_frame
from test_edge import ServerHarness, connect_over_tcp, read_frame

from myrtlecrank.core.messages import Answer, ExchangeArrived, ExchangesAbandoned, Verdict
from myrtlecrank.edge.turns import FRAMES_PER_TURN
from myrtlecrank.frames import codec


@pytest.fixture
def harness() -> Iterator[ServerHarness]:
    with gevent.Timeout(30.0):
        harness = ServerHarness()
        yield harness
        harness.server.listener.close()


def arrivals(harness: ServerHarness) -> list[Any]:
    """What the core has got of requests so far, without waiting."""
    gevent.sleep(0.05)
    messages = harness.core.mailbox.take(0.0)
    return [message.request for message in messages if isinstance(message, ExchangeArrived)]


@pytest.mark.parametrize("is_reset", [True, False])
def test_requests_of_a_caller_that_has_closed_are_not_submitted(
    harness: ServerHarness, is_reset: bool
) -> None:
    """Guards against runs for a caller that closed its connection before its requests were read."""
    caller, connection = connect_over_tcp(harness)
    caller.sendall(b"".join(exchange_frame(stream) for stream in range(1, 31)))
    if is_reset:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()
    assert arrivals(harness) == []
    assert connection.close_reason is not None and not harness.server.connections


def test_a_caller_that_closes_while_others_are_read_has_one_turn_submitted_at_most(
    harness: ServerHarness,
) -> None:
    caller, connection = connect_over_tcp(harness)
    caller.sendall(b"".join(exchange_frame(stream) for stream in range(1, 31)))
    wait = connection.turns.wait

    def wait_and_let_the_caller_close(priority: Any) -> None:
        wait(priority)
        if connection.frames_received == FRAMES_PER_TURN:
            caller.close()

    connection.turns.wait = wait_and_let_the_caller_close  # type: ignore[method-assign]
    requests = arrivals(harness)
    assert len(requests) == FRAMES_PER_TURN
    messages = harness.core.mailbox.take(0.0)
    assert not messages or messages == [ExchangesAbandoned(requests)]


def test_a_caller_that_shut_its_sending_side_has_all_its_requests_submitted(harness: ServerHarness) -> None:
    caller, _ = connect_over_tcp(harness)
    caller.sendall(b"".join(exchange_frame(stream) for stream in range(1, 31)))
    caller.shutdown(socket.SHUT_WR)
    requests = harness.requests(30)
    for request in requests:
        request.send_answer(Answer(request, Verdict.COMPLETED, b"r"))
    seen = [read_frame(caller)[:2] for _ in range(31)]
    assert seen == [(codec.GO_AWAY, 0), *((codec.ANSWER, stream) for stream in range(1, 31))]
    assert read_frame(caller) == (0, 0, b"")
