"""The interface of the decision module: types only. All times are milliseconds with fractions.

A host builds one Controller for each backend from its StartFacts and a `do` function, hands it events by
calling its methods, and carries out the operations that it passes to `do`, in that order.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Kind(Enum):
    """How often an exchange may take effect."""

    REPEATABLE = "repeatable"
    DEDUPLICATED = "deduplicated"
    MUTATING = "mutating"


class Halting(Enum):
    """What stopping a running exchange does."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class Below(Enum):
    """What the exchanges of this backend call."""

    NONE = "none"
    SHARED = "shared"
    TIER = "tier"


class Meaning(Enum):
    """How callers read the published value."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHED = "unreached"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


@dataclass(slots=True)
class EndpointGroup:
    name: str
    kind: Kind
    slo: float
    timeout: float
    benefit: float
    late_benefit: float  # share of the benefit that an answer after the SLO time earns
    window: float  # how long a repeat of a deduplicated exchange may arrive
    slo_stretch: float = 0.0  # multiple of the exchange's own work added to its SLO time
    calls: bool = False
    benefit_without: float = 0.0  # share of the benefit left when a call is skipped


@dataclass(slots=True)
class Tenant:
    name: str
    share: float
    per_second: float  # allowance over the whole fleet


@dataclass(slots=True)
class StartFacts:
    seed: int
    groups: list[EndpointGroup]
    cores: int
    memory_kb: float
    run_weight: float  # memory of a running exchange over that of a held one
    key_kb: float
    crowd_per_core: float  # running exchanges on the cores, per core, that a warm backend survives
    crowd_over: float
    cold: bool
    cold_from: float
    warm_within: float
    drain_grace: float
    answer_slack: float
    tick: float
    backends: int = 1
    callers: int = 1
    tenants: list[Tenant] = field(default_factory=list)
    over_share_benefit: float = 1.0
    benefit_by_work: bool = False
    halting: Halting = Halting.NONE
    meaning: Meaning = Meaning.NONE
    heeded: float = 1000.0
    wait_limit: float = 0.0  # the longest advice to stay away that callers keep; 0: it is not passed on
    tells_left: bool = True
    tells_retry: bool = False
    tells_gone: bool = False  # callers that give up say so
    below: Below = Below.NONE
    calls_share: float = 0.0
    calls_over: float = 0.0
    call_lingers: float = 0.0
    share_for: float = 0.0  # how long the answer of a read may serve others
    deep_checks: bool = False
    idle: float = 0.0  # callers close connections that idle this long


@dataclass(slots=True, eq=False)
class Exchange:
    """One arrival as the backend read it; `course` is the controller's own."""

    group: int
    left: float | None  # time until the caller gives up, None where it is not told
    waited: float  # since it reached the machine
    kb: float
    caller: int = 0
    tenant: int = 0
    rank: float = 0.0
    retry: bool = False
    keyed: bool = False  # names what it is about, so that reads of the same may share an answer
    work_hint: float = 0.0
    likely: float = 0.0  # how likely it repeats one that was given up; 0 where nothing is known
    age: float = 0.0  # how long before this try its first one came, where it is likely a repeat
    deaf: bool = False  # its caller was seen to heed neither published value nor advice
    earlier: Exchange | None = None
    course: Any = None


@dataclass(slots=True)
class Gauges:
    """Each is None where the backend does not measure it."""

    cpu: float | None = None
    on_cores: float | None = None
    memory: float | None = None
    connections: float | None = None
    storm: bool = False  # much of what arrives is likely repeats


@dataclass(slots=True)
class Start:
    ex: Exchange


@dataclass(slots=True)
class Halt:
    ex: Exchange


@dataclass(slots=True)
class Deny:
    ex: Exchange
    last: bool = False  # not to be tried elsewhere
    wait: float = 0.0  # how long the caller should stay away from this backend


@dataclass(slots=True)
class Fail:
    ex: Exchange


@dataclass(slots=True)
class Call:
    ex: Exchange
    timeout: float


@dataclass(slots=True)
class Skip:
    ex: Exchange


@dataclass(slots=True)
class Retain:
    ex: Exchange
    span: float


@dataclass(slots=True)
class Erase:
    ex: Exchange


@dataclass(slots=True)
class Join:
    ex: Exchange


@dataclass(slots=True)
class Health:
    on: bool
    stored: bool


@dataclass(slots=True)
class Publish:
    value: float


@dataclass(slots=True)
class IdleLimit:
    span: float


@dataclass(slots=True)
class Alarm:
    name: str
    delay: float


@dataclass(slots=True)
class Log:
    text: str


Operation = (
    Start
    | Halt
    | Deny
    | Fail
    | Call
    | Skip
    | Retain
    | Erase
    | Join
    | Health
    | Publish
    | IdleLimit
    | Alarm
    | Log
)
Do = Callable[[Operation], None]
