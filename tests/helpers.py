"""Builds controllers in a known state; `ops` collects what they ask for."""

from __future__ import annotations

from typing import Any

from myrtlecrank import port
from myrtlecrank.logic import Controller


def group(kind: port.Kind = port.Kind.REPEATABLE, **facts: Any) -> port.EndpointGroup:
    values: dict[str, Any] = {"slo": 1000.0, "timeout": 4000.0, "benefit": 1.0, "late_benefit": 0.2}
    values["window"] = 5000.0
    return port.EndpointGroup("group", kind, **(values | facts))


def backend(*groups: port.EndpointGroup, **facts: Any) -> tuple[Controller, list[Any]]:
    values: dict[str, Any] = {
        "seed": 1, "cores": 4, "memory_kb": 10_000.0, "run_weight": 10.0, "key_kb": 1.0,
        "crowd_per_core": 5.0, "crowd_over": 2000.0, "cold": False, "cold_from": 0.2, "warm_within": 10_000.0,
        "drain_grace": 1000.0, "answer_slack": 60.0, "tick": 2.0,
        "halting": port.Halting.DROP, "wait_limit": 1000.0,
    }
    ops: list[Any] = []
    start = port.StartFacts(groups=list(groups) or [group()], **(values | facts))
    controller = Controller(start, ops.append, 0.0)
    ops.clear()
    return controller, ops


def arrival(left: float | None = 4000.0, kb: float = 10.0, **facts: Any) -> port.Exchange:
    return port.Exchange(**({"group": 0, "left": left, "waited": 0.0, "kb": kb} | facts))


def arrive(controller: Controller, now: float, **facts: Any) -> port.Exchange:
    ex = arrival(**facts)
    controller.arrived(ex, now)
    controller.settle(now)
    return ex


def of(ops: list[Any], kind: type, ex: port.Exchange | None = None) -> list[Any]:
    return [op for op in ops if isinstance(op, kind) and (ex is None or op.ex is ex)]


def answers(ops: list[Any], ex: port.Exchange) -> list[Any]:
    return of(ops, port.Deny, ex) + of(ops, port.Fail, ex)
