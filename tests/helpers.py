"""Builders of controllers and of the core actor in a known state, and of the messages that they get."""

from __future__ import annotations

from typing import Any

from myrtlecrank.core.actor import Core
from myrtlecrank.core.messages import Answer, Arrived, Greeted, Ticket
from myrtlecrank.frames import codec
from myrtlecrank.policy import interface
from myrtlecrank.policy.controller import Controller


def group(kind: interface.Kind = interface.Kind.REPEATABLE, **facts: Any) -> interface.EndpointGroup:
    """An endpoint group with usual times; `facts` replace its fields."""
    values: dict[str, Any] = {"slo": 1000.0, "timeout": 4000.0, "benefit": 1.0, "late_benefit": 0.2}
    values["deduplication_window"] = 5000.0
    return interface.EndpointGroup("group", kind, **(values | facts))


def backend(*groups: interface.EndpointGroup, **others: Any) -> tuple[Controller, list[Any]]:
    """A started controller and the list to which its operations go."""
    ops: list[Any] = []
    controller = Controller(facts(*groups, **others), ops.append, 0.0)
    ops.clear()
    return controller, ops


FACTS: dict[str, Any] = {
    "seed": 1,
    "cores": 4,
    "memory_kb": 10_000.0,
    "running_memory_multiple": 10.0,
    "key_kb": 1.0,
    "survivable_concurrency_per_core": 5.0,
    "survivable_concurrency_window": 2000.0,
    "cold": False,
    "cold_capacity": 0.2,
    "warm_up_time": 10_000.0,
    "drain_grace": 1000.0,
    "answer_slack": 60.0,
    "clock_granularity": 2.0,
    "cancellation": interface.Cancellation.DROP,
    "max_retry_after": 1000.0,
}


def arrival(left: float | None = 4000.0, kb: float = 10.0, **facts: Any) -> interface.Exchange:
    """An exchange that has just arrived."""
    return interface.Exchange(**({"group": 0, "left": left, "waited": 0.0, "kb": kb} | facts))


def arrive(controller: Controller, now: float, **facts: Any) -> interface.Exchange:
    """Hands an exchange to the controller in a batch of its own."""
    exchange = arrival(**facts)
    controller.arrived(exchange, now)
    controller.settle(now)
    return exchange


def of(ops: list[Any], kind: type, ex: interface.Exchange | None = None) -> list[Any]:
    """The operations of one type, for all exchanges or for one."""
    return [op for op in ops if isinstance(op, kind) and (ex is None or op.exchange is ex)]


def answers(ops: list[Any], ex: interface.Exchange) -> list[Any]:
    """The operations that answer the exchange without a run."""
    return of(ops, interface.Deny, ex) + of(ops, interface.Fail, ex)


def facts(*groups: interface.EndpointGroup, **others: Any) -> interface.StartFacts:
    """The start facts of a small backend; `others` replace its fields."""
    return interface.StartFacts(groups=list(groups) or [group()], **(FACTS | others))


class Play:
    """A core actor, without sockets, whose agent and membership list are played by the test."""

    def __init__(self, *groups: interface.EndpointGroup, greeted: bool = True, **others: Any) -> None:
        self.commanded: list[Any] = []
        self.health: list[bool] = []
        self.answers: list[Answer] = []
        start_facts = facts(*groups, **others)
        self.core = Core(start_facts, 3200.0, self.commanded.append, self.health.append, now=0.0)
        if greeted:
            self.turn(0.0, Greeted(False, 1000.0))

    def turn(self, now: float, *events: Any) -> None:
        """Processes the events in one batch at the time `now`."""
        self.core.process_batch(list(events), now)

    def ask(self, ident: str, now: float, **changes: Any) -> Ticket:
        """Submits an exchange; `changes` replace its fields."""
        values: dict[str, Any] = {"group": 0, "tenant": 0, "reached": now, "wait": 4000.0, "kb": 10.0}
        values |= {"rank": 0.0, "caller": 1, "about": "", "body": b"body", "answer": self.answers.append}
        ticket = Ticket(ident, **(values | changes))
        self.turn(now, Arrived(ticket))
        return ticket

    def commands(self, kind: type) -> list[Any]:
        """The commands of one type that the actor has sent to the agent."""
        return [command for command in self.commanded if isinstance(command, kind)]


def ask_bytes(stream: int, body: bytes = b"body", doubled: str = "", **changes: str | None) -> bytes:
    """A frame with an exchange as a caller sends it; the field named `doubled` stands in it twice."""
    values = {"c": "group", "i": f"{stream:016x}", "s": "1764576000123", "f": "4", "t": "acme", "d": "480"}
    values |= {"m": "24.5", "p": "0.625"}
    rows = [(k, v) for k, v in (values | changes).items() if v is not None]
    rows += [(k, v) for k, v in rows if k == doubled]
    payload = bytes([len(rows)])
    for name, value in rows:
        text = value.encode("utf-8", "surrogateescape")
        payload += bytes([len(name)]) + name.encode() + len(text).to_bytes(2, "little") + text
    return codec.encode_frame(codec.REQUEST, stream, payload + body)
