"""The messages between the actors. Times are Unix milliseconds, durations are milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from myrtlecrank.core.connection_errors import End
from myrtlecrank.policy.interface import Gauges, Outcome
from myrtlecrank.retries.options import Bounds


class Verdict(Enum):
    """The kinds of final answer to an exchange."""

    COMPLETED = "completed"
    DENIED = "denied"
    TERMINATED = "terminated"


@dataclass(slots=True, eq=False)
class Ticket:
    """One exchange as the edge hands it in. Compared by identity."""

    ident: str  # the exchange's identifier
    group: int  # index of its endpoint group
    tenant: int  # index of its tenant
    reached: float  # when it came to the machine
    wait: float | None  # how long its caller waits from then on; None: unknown
    kb: float  # memory it needs
    rank: float  # as stated by its caller
    caller: int  # number of its caller
    about: str  # the subject of a read, or the key of a deduplicated exchange
    body: bytes
    answer: Callable[[Answer], None]  # takes the final answer; must not block
    place: Any = None  # where the answer goes; used by the edge alone


@dataclass(slots=True)
class Answer:
    """The final answer to an exchange."""

    ticket: Ticket
    verdict: Verdict
    result: bytes = b""
    wait: float = 0.0  # how long the caller is advised to stay away
    last: bool = False  # the caller must not try another backend


# Events: to the actor of the controller


@dataclass(slots=True)
class Arrived:
    """An exchange arrived from a caller."""

    ticket: Ticket


@dataclass(slots=True)
class CallersLeft:
    """The callers of these exchanges have given up or disconnected: they can no longer be answered."""

    tickets: list[Ticket]


@dataclass(slots=True)
class Greeted:
    """The agent is connected, handshake done. Its machine started `up` ms ago, with warm or cold caches."""

    cold: bool
    up: float
    anew: bool = False  # restarted since the previous connection: its executions are lost


@dataclass(slots=True)
class Parted:
    """The agent is disconnected."""

    end: End


@dataclass(slots=True)
class RunEnded:
    """An execution has ended."""

    ident: str
    outcome: Outcome
    took: float  # duration
    result: bytes
    refused: bool = False  # the agent does not know the exchange


@dataclass(slots=True)
class Unsent:
    """The start commands of these exchanges found no connection: no part of them was sent."""

    idents: list[str]


@dataclass(slots=True)
class AtCall:
    """An execution waits for a call to the dependency, whose request is `body`."""

    ident: str
    body: bytes


@dataclass(slots=True)
class CallEnded:
    """A call to the dependency has ended."""

    ident: str
    outcome: Outcome
    result: bytes


@dataclass(slots=True)
class Sampled:
    """The gauges that the sample command with this tag asked for."""

    tag: str
    gauges: Gauges


@dataclass(slots=True)
class Leave:
    """A drain was requested (SIGTERM) at the time `at`, possibly long before this message is handled."""

    at: float


@dataclass(slots=True)
class Adopt:
    """The operators changed the options of the retry estimator; None turns it off."""

    repeats: Bounds | None


# Commands to the agent


@dataclass(slots=True)
class Launch:
    """Start the execution of an exchange."""

    ident: str
    group: str
    body: bytes


@dataclass(slots=True)
class Freeze:
    """Cancel an execution."""

    ident: str


@dataclass(slots=True)
class Sample:
    """Measure the gauges and return them with this tag."""

    tag: str


@dataclass(slots=True)
class Deliver:
    """Continue the execution with the result of its dependency call."""

    ident: str
    result: bytes


@dataclass(slots=True)
class Forgo:
    """Continue the execution without the result of its dependency call."""

    ident: str


# Commands to the dependency connection


@dataclass(slots=True)
class Call:
    """Start a call for an execution."""

    ident: str
    timeout: float
    body: bytes


@dataclass(slots=True)
class Abandon:
    """Cancel a call. Its end is not reported."""

    ident: str


Event = (
    Arrived
    | CallersLeft
    | Greeted
    | Parted
    | Unsent
    | RunEnded
    | AtCall
    | CallEnded
    | Sampled
    | Leave
    | Adopt
)
Command = Launch | Freeze | Sample | Deliver | Forgo
Below = Call | Abandon
