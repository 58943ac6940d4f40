"""What the actors tell each other. Times are Unix milliseconds or spans of milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from myrtlecrank.core.connection_errors import End
from myrtlecrank.policy.interface import Gauges, Outcome
from myrtlecrank.retries.options import Bounds


class Verdict(Enum):
    """The one final answer to an exchange."""

    COMPLETED = "completed"
    DENIED = "denied"
    TERMINATED = "terminated"


@dataclass(slots=True, eq=False)
class Ticket:
    """One exchange as a front hands it in; `answer` takes the final answer and must not wait."""

    ident: str
    group: int
    tenant: int
    reached: float  # when it came to the machine
    wait: float | None  # how long its caller waits from then on, where that is told
    kb: float
    rank: float
    caller: int
    about: str  # what a read is about, or the key of a deduplicated exchange
    body: bytes
    answer: Callable[[Answer], None]
    place: Any = None  # where the answer goes: the front's own


@dataclass(slots=True)
class Answer:
    ticket: Ticket
    verdict: Verdict
    result: bytes = b""
    wait: float = 0.0  # advice to stay away
    last: bool = False  # not to be tried elsewhere


# To the module's actor


@dataclass(slots=True)
class Arrived:
    ticket: Ticket


@dataclass(slots=True)
class CallersLeft:
    """The connection on which these were to be answered is gone."""

    tickets: list[Ticket]


@dataclass(slots=True)
class Greeted:
    """The agent's link stands. The machine came up `up` ms ago, with warm or cold stores."""

    cold: bool
    up: float
    anew: bool = False  # it is another start than that of the link before: what ran then is gone


@dataclass(slots=True)
class Parted:
    """The agent's link is gone."""

    end: End


@dataclass(slots=True)
class RunEnded:
    ident: str
    outcome: Outcome
    took: float
    result: bytes
    refused: bool = False  # the agent knows no such exchange


@dataclass(slots=True)
class Unsent:
    """These were to be launched when there was no link any more: nothing of them left."""

    idents: list[str]


@dataclass(slots=True)
class AtCall:
    """A run stands at a call to the layer below; `body` is what that is to be asked."""

    ident: str
    body: bytes


@dataclass(slots=True)
class CallEnded:
    ident: str
    outcome: Outcome
    result: bytes


@dataclass(slots=True)
class Sampled:
    tag: str
    gauges: Gauges


@dataclass(slots=True)
class Leave:
    """The notice to leave, and when it came: it may be read long after."""

    at: float


@dataclass(slots=True)
class Adopt:
    """The operators set the estimate of repeats anew; None turns it off."""

    repeats: Bounds | None


# From it to the agent's link


@dataclass(slots=True)
class Launch:
    ident: str
    group: str
    body: bytes


@dataclass(slots=True)
class Freeze:
    ident: str


@dataclass(slots=True)
class Sample:
    tag: str


@dataclass(slots=True)
class Deliver:
    """What the layer below brought for the call that the run stands at."""

    ident: str
    result: bytes


@dataclass(slots=True)
class Forgo:
    """The run goes on without the call that it stands at."""

    ident: str


# From it to the link below


@dataclass(slots=True)
class Call:
    ident: str
    timeout: float
    body: bytes


@dataclass(slots=True)
class Abandon:
    """Nobody waits for this call any more; no end of it is told."""

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
