"""The simulator's protocol: malformed lines end the adapter with one message, odd but valid ones do not."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from myrtlecrank.retries.options import RetryOptions
from myrtlecrank.settings import Fields
from myrtlecrank.simulator_adapter import host
from myrtlecrank.simulator_adapter.protocol import ProtocolError

CONF = {
    "categories": [{"name": "a", "effect": "read_like", "aim": 1_000_000, "deadline": 4_000_000, "new": 1}],
    "domain": {"cores": 2, "memoryKb": 1000.0, "blowup": 4.0, "halt": "drop", "signal": "tokens"},
    "guarantees": {"fallMultiple": 4.0, "fall": 2_000_000, "stopSendingWithin": 1_000_000},
}
TURN, FLUSH = {"msg": "turn", "simTime": 1000}, {"msg": "flush"}
START = {"msg": "start", "backendId": 3, "rngSeed": 7, "conf": CONF}
INBOUND = {"msg": "inbound", "backendId": 3, "call": 5, "priority": 0, "patienceLeft": 900_000, "odd": None}


def play(*rows: Any) -> list[dict[str, Any]]:
    out = io.BytesIO()
    lines = [row if isinstance(row, bytes) else json.dumps(row).encode() for row in rows]
    host.serve(lines, out)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_batch_is_answered_and_the_end_of_input_is_quiet() -> None:
    reply = play(TURN, START, INBOUND, FLUSH)
    assert {"msg": "take", "call": 5, "backendId": 3} in reply and reply[-1] == {"msg": "next"}


def test_restart_under_the_same_number_forgets_its_exchanges() -> None:
    later = {"msg": "result", "backendId": 3, "call": 5, "rc": 10, "costTime": 1}
    reply = play(TURN, START, INBOUND, FLUSH, TURN, {"msg": "retire", "backendId": 3}, START, later, FLUSH)
    assert [row["msg"] for row in reply].count("next") == 2


@pytest.mark.parametrize(
    ("row", "message"),
    [
        (b"{nonsense", "not JSON"),
        (b"[1]", "not an object"),
        ({"backendId": 3}, "lacks the field 'msg'"),
        ({"msg": "surprise", "backendId": 3}, "unknown event"),
        ({**INBOUND, "backendId": 4}, "backend 4 has not started"),
        ({**INBOUND, "priority": "0"}, "'priority' is not an integer"),
        ({**INBOUND, "priority": 9}, "names no category"),
        ({"msg": "result", "backendId": 3, "call": 5, "rc": 11}, "no known value"),
        ({"msg": "terminateSoon", "backendId": 3}, "lacks the field 'patienceLeft'"),
        (TURN, "begins a batch inside another"),
    ],
)
def test_error_names_the_malformed_line(row: Any, message: str) -> None:
    with pytest.raises(ProtocolError, match=message) as caught:
        play(TURN, START, row, FLUSH)
    assert "line 3" in str(caught.value)


def test_input_that_ends_inside_a_batch_is_an_error() -> None:
    with pytest.raises(ProtocolError, match="inside a batch"):
        play(TURN, START)


def test_exception_in_the_controller_is_reported_as_a_panic(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("boom")

    monkeypatch.setattr(host.Controller, "arrived", broken)
    out = io.BytesIO()
    with pytest.raises(host.Panic):
        host.serve([json.dumps(row).encode() for row in (TURN, START, INBOUND, FLUSH)], out)
    assert json.loads(out.getvalue().splitlines()[0])["text"] == "RuntimeError: boom"


def test_simulated_backend_uses_the_retry_estimate() -> None:
    one = host.Instance(3, Fields(START, "start"), 0.0, RetryOptions(least_arrivals=1, begin_ms=0.0))
    assert one.retry_estimator is not None
    for call in range(1, 400):
        left = 900_000 if call % 2 else 3_000_000 - call * 5_000
        one.event(Fields(INBOUND | {"call": call, "patienceLeft": left}, "inbound"), call * 10.0)
        if call % 10 == 0:
            one.event(Fields({"msg": "fired", "name": "beat"}, "fired"), call * 10.0)
    assert one.retry_estimator.update_storm_status(4000.0).retry_share == pytest.approx(0.45, abs=0.1)
    assert one.controller.is_retry_storm
