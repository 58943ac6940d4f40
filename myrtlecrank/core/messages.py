"""The messages between the actors. Times are Unix milliseconds, durations are milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from myrtlecrank.core.connection_errors import CloseReason
from myrtlecrank.policy.interface import Gauges, Outcome
from myrtlecrank.retries.options import RetryOptions


class Verdict(Enum):
    """The kinds of final answer to an exchange."""

    COMPLETED = "completed"
    DENIED = "denied"
    TERMINATED = "terminated"


@dataclass(slots=True, eq=False)
class ExchangeRequest:
    """One exchange as the edge hands it in. Compared by identity."""

    exchange_id: str  # the exchange's identifier
    group: int  # index of its endpoint group
    tenant: int  # index of its tenant
    arrived_at: float  # when it reached the machine
    caller_timeout: float | None  # how long its caller waits from then on; None: unknown
    kb: float  # memory it needs
    rank: float  # as stated by its caller
    caller: int  # number of its caller
    result_key: str  # the subject of a read, or the key of a deduplicated exchange
    body: bytes
    send_answer: Callable[[Answer], None]  # takes the final answer; must not block
    is_from_background: bool = False  # its connection sends far more than it gets completed
    connection: object = None  # that brought it, compared by identity; None: unknown
    conflict_wait_end: float | None = None  # until when it waits for others with its identifier or key
    reply_context: Any = None  # where the answer goes; used by the edge alone


@dataclass(slots=True)
class Answer:
    """The final answer to an exchange."""

    request: ExchangeRequest
    verdict: Verdict
    result: bytes = b""
    retry_after: float = 0.0  # how long the caller is advised to stay away
    no_other_backend: bool = False  # the caller must not try another backend


# Events: to the actor of the controller


@dataclass(slots=True)
class ExchangeArrived:
    """An exchange arrived from a caller."""

    request: ExchangeRequest


@dataclass(slots=True)
class ExchangesAbandoned:
    """The callers of these exchanges have given up or disconnected: they can no longer be answered."""

    requests: list[ExchangeRequest]


@dataclass(slots=True)
class AgentConnected:
    """The agent is connected, handshake done. Its machine started `uptime` ms ago, with warm or cold
    caches."""

    cold: bool
    uptime: float
    restarted: bool = False  # restarted since the previous connection: its executions are lost


@dataclass(slots=True)
class AgentDisconnected:
    """The agent is disconnected."""

    reason: CloseReason


@dataclass(slots=True)
class RunEnded:
    """An execution has ended."""

    exchange_id: str
    outcome: Outcome
    duration: float
    result: bytes
    refused: bool = False  # the agent does not know the exchange


@dataclass(slots=True)
class CallRequested:
    """An execution waits for a call to the dependency, whose request is `body`."""

    exchange_id: str
    body: bytes


@dataclass(slots=True)
class CallEnded:
    """A call to the dependency has ended."""

    exchange_id: str
    outcome: Outcome
    result: bytes


@dataclass(slots=True)
class GaugesSampled:
    """The gauges that the sample command with this tag asked for."""

    tag: str
    gauges: Gauges


@dataclass(slots=True)
class DrainRequested:
    """A drain was requested (SIGTERM) at the time `requested_at`, possibly long before this message is
    handled."""

    requested_at: float


@dataclass(slots=True)
class RetryOptionsChanged:
    """The operators changed the options of the retry estimator; None turns it off."""

    options: RetryOptions | None


# Commands to the agent


@dataclass(slots=True)
class StartRun:
    """Start the execution of an exchange."""

    exchange_id: str
    group: str
    body: bytes


@dataclass(slots=True)
class CancelRun:
    """Cancel an execution."""

    exchange_id: str


@dataclass(slots=True)
class SampleGauges:
    """Measure the gauges and return them with this tag."""

    tag: str


@dataclass(slots=True)
class DeliverCallResult:
    """Continue the execution with the result of its dependency call."""

    exchange_id: str
    result: bytes


@dataclass(slots=True)
class SkipCall:
    """Continue the execution without the result of its dependency call."""

    exchange_id: str


# Commands to the dependency connection


@dataclass(slots=True)
class StartCall:
    """Start a call for an execution."""

    exchange_id: str
    timeout: float
    body: bytes


@dataclass(slots=True)
class CancelCall:
    """Cancel a call. Its end is not reported."""

    exchange_id: str


RunCommand = StartRun | CancelRun | DeliverCallResult | SkipCall
AgentCommand = RunCommand | SampleGauges
DependencyCommand = StartCall | CancelCall


# An event that names commands


@dataclass(slots=True)
class CommandsNotSent:
    """No byte of these commands to the agent was sent, so it has certainly not received them."""

    commands: list[RunCommand]


CoreEvent = (
    ExchangeArrived
    | ExchangesAbandoned
    | AgentConnected
    | AgentDisconnected
    | CommandsNotSent
    | RunEnded
    | CallRequested
    | CallEnded
    | GaugesSampled
    | DrainRequested
    | RetryOptionsChanged
)
