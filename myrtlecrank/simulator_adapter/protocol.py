"""Translates wire lines to port types and operations back to wire lines."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from myrtlecrank.policy import interface
from myrtlecrank.settings import GAUGES, FieldError, Fields

WireError = FieldError

OUTCOMES = {
    10: interface.Outcome.OK,
    20: interface.Outcome.ERROR,
    30: interface.Outcome.FULL,
    40: interface.Outcome.TIMEOUT,
    50: interface.Outcome.UNREACHED,
    60: interface.Outcome.RESET,
    70: interface.Outcome.CANCELLED,
    80: interface.Outcome.MOOT,
}


def parse(line: bytes, number: int) -> Fields:
    where = f"line {number}"
    try:
        values = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise WireError(f"{where} is not JSON: {error}") from None
    fields = Fields(values, where)
    fields.where = f"{where} ({fields.text('msg')})"
    return fields


def exchange(event: Fields, tells_left: bool, groups: int, tenants: int) -> interface.Exchange:
    group = event.integer("priority")
    if not 0 <= group < groups:
        raise WireError(f"{event.where}: the field 'priority' names no category: {group}")
    tenant = event.integer("clientGroup", 0)
    if tenants and not 0 <= tenant < tenants:
        raise WireError(f"{event.where}: the field 'clientGroup' names no tenant: {tenant}")
    left = event.ms("patienceLeft", 0.0)
    return interface.Exchange(
        group=group,
        left=left if tells_left and left > 0 else None,
        waited=event.ms("backlogTime", 0.0),
        kb=event.number("memKb", 0.0),
        caller=event.integer("originPeer", 0),
        tenant=tenant,
        rank=event.number("prio", 0.0),
        is_marked_retry=event.flag("repeat", False),
        keyed=bool(event.text("object", "")),
        work_hint=event.ms("sizeHint", 0.0),
    )


def outcome(event: Fields) -> interface.Outcome:
    result: interface.Outcome = event.choice("rc", OUTCOMES)
    return result


def gauges(event: Fields) -> interface.Gauges:
    told = interface.Gauges()
    for name, value in event.inner("report", {}).values.items():
        if name in GAUGES and isinstance(value, int | float):
            setattr(told, GAUGES[name], float(value))
    return told


def us(ms: float) -> int:
    return max(0, round(ms * 1000.0))


def action(op: interface.Operation, backend: int, ids: Callable[[interface.Exchange], int]) -> bytes:
    """One reply line for one operation."""
    row: dict[str, object]
    match op:
        case interface.Start(ex):
            row = {"msg": "take", "call": ids(ex)}
        case interface.Halt(ex):
            row = {"msg": "preempt", "call": ids(ex)}
        case interface.Deny(ex, last, wait):
            row = {"msg": "deny", "call": ids(ex), "terminal": last, "pause": us(wait)}
        case interface.Fail(ex):
            row = {"msg": "respondError", "call": ids(ex)}
        case interface.Call(ex, timeout):
            row = {"msg": "callDep", "call": ids(ex), "tryFor": us(timeout)}
        case interface.Skip(ex):
            row = {"msg": "skip", "call": ids(ex)}
        case interface.Retain(ex, span):
            row = {"msg": "retain", "call": ids(ex), "span": us(span)}
        case interface.Erase(ex):
            row = {"msg": "erase", "call": ids(ex)}
        case interface.Join(ex):
            row = {"msg": "join", "call": ids(ex)}
        case interface.Health(on, stored):
            row = {"msg": "setHealth", "on": on, "shallow": stored}
        case interface.Publish(value):
            row = {"msg": "publish", "amount": value}
        case interface.IdleLimit(span):
            row = {"msg": "idleLimit", "span": us(span)}
        case interface.Alarm(name, delay):
            row = {"msg": "setAlarm", "name": name, "offset": us(delay)}
        case interface.Log(text):
            row = {"msg": "remark", "text": text}
    row["backendId"] = backend
    return orjson.dumps(row)


def panic(backend: int, error: Exception) -> bytes:
    return orjson.dumps({"msg": "panic", "backendId": backend, "text": f"{type(error).__name__}: {error}"})
