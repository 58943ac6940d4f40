"""Builders of controllers and of the core actor in a known state, and of the messages that they get."""

from __future__ import annotations

from typing import Any

from myrtlecrank.core.actor import Core
from myrtlecrank.core.messages import AgentConnected, Answer, ExchangeArrived, ExchangeRequest
from myrtlecrank.frames import codec
from myrtlecrank.policy import interface
from myrtlecrank.policy.controller import Controller


def group(
    kind: interface.EffectKind = interface.EffectKind.REPEATABLE, **fields: Any
) -> interface.EndpointGroup:
    """An endpoint group with usual times; `fields` replace its fields."""
    values: dict[str, Any] = {"slo": 1000.0, "timeout": 4000.0, "benefit": 1.0, "late_benefit": 0.2}
    values["deduplication_window"] = 5000.0
    return interface.EndpointGroup("group", kind, **(values | fields))


def new_controller(*groups: interface.EndpointGroup, **others: Any) -> tuple[Controller, list[Any]]:
    """A started controller and the list to which its operations go."""
    ops: list[Any] = []
    controller = Controller(backend_settings(*groups, **others), ops.append, 0.0)
    ops.clear()
    return controller, ops


SETTINGS: dict[str, Any] = {
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


def arrival(
    remaining_time: float | None = 4000.0, memory_kb: float = 10.0, **fields: Any
) -> interface.Exchange:
    """An exchange that has just arrived."""
    return interface.Exchange(
        **({"group": 0, "remaining_time": remaining_time, "read_delay": 0.0, "memory_kb": memory_kb} | fields)
    )


def arrive(controller: Controller, now: float, **fields: Any) -> interface.Exchange:
    """Hands an exchange to the controller in a batch of its own."""
    exchange = arrival(**fields)
    controller.arrived(exchange, now)
    controller.settle(now)
    return exchange


def operations_of(ops: list[Any], kind: type, exchange: interface.Exchange | None = None) -> list[Any]:
    """The operations of one type, for all exchanges or for one."""
    return [op for op in ops if isinstance(op, kind) and (exchange is None or op.exchange is exchange)]


def answers_to(ops: list[Any], exchange: interface.Exchange) -> list[Any]:
    """The operations that answer the exchange without a run."""
    return operations_of(ops, interface.Deny, exchange) + operations_of(ops, interface.Fail, exchange)


def backend_settings(*groups: interface.EndpointGroup, **others: Any) -> interface.ControllerSettings:
    """The settings of a small backend; `others` replace its fields."""
    return interface.ControllerSettings(groups=list(groups) or [group()], **(SETTINGS | others))


class CoreHarness:
    """A core actor, without sockets, whose agent and membership list are played by the test."""

    def __init__(self, *groups: interface.EndpointGroup, agent_connected: bool = True, **others: Any) -> None:
        self.sent_commands: list[Any] = []
        self.health: list[bool] = []
        self.answers: list[Answer] = []
        settings = backend_settings(*groups, **others)
        self.core = Core(settings, 3200.0, self.sent_commands.append, self.health.append, now=0.0)
        if agent_connected:
            self.process_batch(0.0, AgentConnected(False, 1000.0))

    def process_batch(self, now: float, *events: Any) -> None:
        """Processes the events in one batch at the time `now`."""
        self.core.process_batch(list(events), now)

    def submit(self, exchange_id: str, now: float, **changes: Any) -> ExchangeRequest:
        """Submits an exchange; `changes` replace its fields."""
        values: dict[str, Any] = {
            "group": 0,
            "tenant": 0,
            "arrived_at": now,
            "caller_timeout": 4000.0,
            "kb": 10.0,
        }
        values |= {
            "rank": 0.0,
            "caller": 1,
            "result_key": "",
            "body": b"body",
            "send_answer": self.answers.append,
        }
        request = ExchangeRequest(exchange_id, **(values | changes))
        self.process_batch(now, ExchangeArrived(request))
        return request

    def commands(self, kind: type) -> list[Any]:
        """The commands of one type that the actor has sent to the agent."""
        return [command for command in self.sent_commands if isinstance(command, kind)]


def exchange_frame(stream: int, body: bytes = b"body", doubled: str = "", **changes: str | None) -> bytes:
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
