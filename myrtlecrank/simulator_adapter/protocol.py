"""Codec of the simulator's protocol: decodes events from JSON lines, and encodes operations as JSON lines."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from myrtlecrank.policy import interface
from myrtlecrank.settings import GAUGE_ATTRIBUTES, FieldError, Fields

ProtocolError = FieldError
END_OF_REPLY = b'{"msg":"next"}'
US_PER_MS = 1000.0

OUTCOMES = {
    10: interface.Outcome.OK,
    20: interface.Outcome.ERROR,
    30: interface.Outcome.REJECTED,
    40: interface.Outcome.TIMEOUT,
    50: interface.Outcome.UNREACHED,
    60: interface.Outcome.RESET,
    70: interface.Outcome.CANCELLED,
    80: interface.Outcome.NOT_STARTED,
}


def parse(line: bytes, number: int) -> Fields:
    """The fields of one line; `number` names the line in errors."""
    where = f"line {number}"
    try:
        values = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(f"{where} is not JSON: {error}") from None
    fields = Fields(values, where)
    fields.where = f"{where} ({fields.text('msg')})"
    return fields


def decode_exchange(
    event: Fields, sends_remaining_time: bool, group_count: int, tenant_count: int
) -> interface.Exchange:
    """The exchange of an arrival; `sends_remaining_time`: whether the remaining time of callers may be
    used."""
    group = event.integer("priority")
    if not 0 <= group < group_count:
        raise ProtocolError(
            f"{event.where}: the field 'priority' names no category: {group}, of {group_count}"
        )
    tenant = event.integer("clientGroup", 0)
    if tenant_count and not 0 <= tenant < tenant_count:
        raise ProtocolError(
            f"{event.where}: the field 'clientGroup' names no tenant: {tenant}, of {tenant_count}"
        )
    left = event.duration_ms("patienceLeft", 0.0)
    return interface.Exchange(
        group=group,
        remaining_time=left if sends_remaining_time and left > 0 else None,
        read_delay=event.duration_ms("backlogTime", 0.0),
        memory_kb=event.number("memKb", 0.0),
        caller=event.integer("originPeer", 0),
        tenant=tenant,
        rank=event.number("prio", 0.0),
        is_marked_retry=event.flag("repeat", False),
        names_subject=bool(event.text("object", "")),
        work_hint=event.duration_ms("sizeHint", 0.0),
    )


def decode_outcome(event: Fields) -> interface.Outcome:
    """How the run or the call of the event ended."""
    result: interface.Outcome = event.choice("rc", OUTCOMES)
    return result


def decode_gauges(event: Fields) -> interface.Gauges:
    """The gauges of a sample; unknown ones are left out."""
    gauges = interface.Gauges()
    for name, value in event.inner("report", {}).values.items():
        if name in GAUGE_ATTRIBUTES and isinstance(value, int | float):
            setattr(gauges, GAUGE_ATTRIBUTES[name], float(value))
    return gauges


def _microseconds(ms: float) -> int:
    return max(0, round(ms * US_PER_MS))


def encode_operation(
    operation: interface.Operation, backend: int, number_of: Callable[[interface.Exchange], int]
) -> bytes:
    """The reply line for an operation; `number_of` gives the number under which an exchange arrived."""
    row: dict[str, object]
    match operation:
        case interface.Start(exchange):
            row = {"msg": "take", "call": number_of(exchange)}
        case interface.Cancel(exchange):
            row = {"msg": "preempt", "call": number_of(exchange)}
        case interface.Deny(exchange, is_final, retry_after):
            row = {
                "msg": "deny",
                "call": number_of(exchange),
                "terminal": is_final,
                "pause": _microseconds(retry_after),
            }
        case interface.Fail(exchange):
            row = {"msg": "respondError", "call": number_of(exchange)}
        case interface.Call(exchange, timeout):
            row = {"msg": "callDep", "call": number_of(exchange), "tryFor": _microseconds(timeout)}
        case interface.SkipCall(exchange):
            row = {"msg": "skip", "call": number_of(exchange)}
        case interface.CacheResult(exchange, duration):
            row = {"msg": "retain", "call": number_of(exchange), "span": _microseconds(duration)}
        case interface.EvictResult(exchange):
            row = {"msg": "erase", "call": number_of(exchange)}
        case interface.AwaitOriginal(exchange):
            row = {"msg": "join", "call": number_of(exchange)}
        case interface.SetHealth(is_healthy, shallow):
            row = {"msg": "setHealth", "on": is_healthy, "shallow": shallow}
        case interface.Publish(value):
            row = {"msg": "publish", "amount": value}
        case interface.SetIdleTimeout(timeout):
            row = {"msg": "idleLimit", "span": _microseconds(timeout)}
        case interface.SetTimer(name, delay):
            row = {"msg": "setAlarm", "name": name, "offset": _microseconds(delay)}
        case interface.Log(text):
            row = {"msg": "remark", "text": text}
    row["backendId"] = backend
    return orjson.dumps(row)


def encode_panic(backend: int, error: Exception) -> bytes:
    """The line that reports an exception in a controller."""
    return orjson.dumps({"msg": "panic", "backendId": backend, "text": f"{type(error).__name__}: {error}"})
