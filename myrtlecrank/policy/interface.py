"""The interface of the controller: types only. All times are milliseconds with fractions.

A host builds one Controller for each backend from its ControllerSettings and a function that carries out
operations. It calls the controller's methods for events, and carries out the operations in the order in which
they come."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class EffectKind(Enum):
    """How often an exchange may take effect."""

    REPEATABLE = "repeatable"  # as often as it runs
    DEDUPLICATED = "deduplicated"  # once for each key, however often it is tried
    MUTATING = "mutating"  # once, and nothing recognises a retry


class Cancellation(Enum):
    """What the cancellation of a running exchange does to its run."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class DependencyKind(Enum):
    """What dependency the exchanges of this backend call."""

    NONE = "none"
    SHARED = "shared"  # one that all backends share; each has its part of it
    TIER = "tier"  # another tier of backends


class PublishedValueKind(Enum):
    """How callers read the published value."""

    NONE = "none"
    LEVEL = "level"  # the least rank that is admitted here; 0 admits all
    CREDIT = "credit"  # how many exchanges a caller may have in progress here
    WEIGHT = "weight"  # the part of its usual traffic that this backend wants: 1 is all


class Outcome(Enum):
    """How a run or a call to the dependency ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # the dependency rejected the call before it began
    TIMEOUT = "timeout"
    UNREACHED = "unreached"  # the command or the call was never delivered
    RESET = "reset"  # the connection broke: the outcome is unknown
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # the start had no effect: nothing ran


@dataclass(slots=True)
class EndpointGroup:
    """Exchanges with the same effect, limits in time and benefit."""

    name: str
    kind: EffectKind
    slo: float  # SLO time
    timeout: float
    benefit: float
    late_benefit: float  # share of the benefit that an answer after the SLO time earns
    deduplication_window: float  # how long a retry of a deduplicated exchange may arrive
    slo_work_multiple: float = 0.0  # multiple of the exchange's own work added to its SLO time
    may_call: bool = False  # its exchanges may call the dependency
    benefit_without_call: float = 0.0  # share of the benefit left when the call is skipped


@dataclass(slots=True)
class Tenant:
    """A tenant of the fleet and its allowance."""

    name: str
    share: float
    per_second: float  # allowance over the whole fleet


@dataclass(slots=True)
class ControllerSettings:
    """The settings of a controller: its backend, the fleet and the callers."""

    seed: int
    groups: list[EndpointGroup]
    cores: int
    memory_kb: float
    running_memory_multiple: float  # memory of a running exchange over that of a queued one
    key_kb: float  # memory of the key of a cached result
    survivable_concurrency_per_core: float  # exchanges on the cores, per core, that a warm backend survives
    survivable_concurrency_window: float  # time over which that concurrency counts
    cold: bool
    cold_capacity: float  # capacity of a cold machine, as a part of that of a warm one
    warm_up_time: float
    drain_grace: float  # drain grace period: arrivals may run until then
    answer_slack: float
    clock_granularity: float
    backends: int = 1
    callers: int = 1
    tenants: list[Tenant] = field(default_factory=list)
    over_share_benefit: float = 1.0  # share of the benefit beyond a tenant's allowance
    benefit_by_work: bool = False  # the benefit counts for each ms of work, not for each exchange
    cancellation: Cancellation = Cancellation.NONE
    published_value_kind: PublishedValueKind = PublishedValueKind.NONE
    published_value_lifetime: float = 1000.0  # how long callers remember the published value
    max_retry_after: float = 0.0  # the longest advised wait that callers follow; 0: it is not passed on
    sends_remaining_time: bool = True  # callers send how long they still wait
    marks_retries: bool = False
    reports_abandonment: bool = False  # callers that abandon an exchange say so
    dependency: DependencyKind = DependencyKind.NONE
    call_limit: float = 0.0  # calls in flight that this backend may have at a shared dependency, on average
    call_limit_window: float = 0.0  # time over which that average is taken
    abandoned_call_time: float = 0.0  # how long a call that is no longer awaited occupies the dependency
    shared_result_lifetime: float = 0.0  # how long the answer of a read may serve other exchanges
    deep_checks: bool = False
    idle_timeout: float = 0.0  # callers close connections that idle this long


@dataclass(slots=True, eq=False)
class Exchange:
    """One arrival as the backend read it."""

    group: int
    remaining_time: float | None  # time until the caller abandons it, None where callers do not send it
    read_delay: float  # time from when it reached the machine until it was read
    memory_kb: float  # memory
    caller: int = 0
    tenant: int = 0
    rank: float = 0.0
    is_marked_retry: bool = False
    names_subject: bool = False  # names what it is about, so that reads of the same may share an answer
    is_from_background: bool = False  # its connection sends far more than it gets completed
    work_hint: float = 0.0  # expected work; 0 where there is no hint
    # Probability that it retries an abandoned exchange; 0 where nothing is known.
    retry_probability: float = 0.0
    # How long before this try the first one arrived, where it is likely a retry.
    time_since_first_try: float = 0.0
    ignores_backpressure: bool = False  # its caller was seen to ignore both published value and advised waits
    original: Exchange | None = None  # the exchange that it retries
    controller_state: Any = None  # the controller's own state


@dataclass(slots=True)
class Gauges:
    """One sample of the machine; a gauge is None where the backend does not measure it."""

    cpu: float | None = None  # part of the CPU time in use
    on_cores: float | None = None  # tasks on the cores: runs, reads and handshakes
    memory: float | None = None  # part of the memory in use
    connections: float | None = None
    is_retry_storm: bool = False  # a retry storm: a large share of the arrivals are likely retries


@dataclass(slots=True)
class Start:
    """Run the exchange."""

    exchange: Exchange


@dataclass(slots=True)
class Cancel:
    """Cancel the run of the exchange."""

    exchange: Exchange


@dataclass(slots=True)
class ReleaseRun:
    """Nobody waits for the run any more, and it cannot be cancelled. It counts as ended now if it may never
    have started, or may wait for ever."""

    exchange: Exchange


@dataclass(slots=True)
class Deny:
    """Answer the caller that the exchange was denied and has not run, or may be run again without harm."""

    exchange: Exchange
    is_final: bool = False  # the caller should not try another backend
    retry_after: float = 0.0  # how long the caller should stay away from this backend


@dataclass(slots=True)
class Fail:
    """Answer the caller that the exchange was terminated."""

    exchange: Exchange


@dataclass(slots=True)
class Call:
    """Send the call to the dependency at which the run waits."""

    exchange: Exchange
    timeout: float


@dataclass(slots=True)
class SkipCall:
    """Let the run go on without its call."""

    exchange: Exchange


@dataclass(slots=True)
class CacheResult:
    """Cache the result of the exchange for its retries."""

    exchange: Exchange
    duration: float


@dataclass(slots=True)
class EvictResult:
    """Evict the entry of an exchange that never ran from the cache of results."""

    exchange: Exchange


@dataclass(slots=True)
class AwaitOriginal:
    """Give the exchange the outcome of the one that it retries, once that is known."""

    exchange: Exchange


@dataclass(slots=True)
class SetHealth:
    """Answer health checks from now on with this."""

    is_healthy: bool
    shallow: bool  # health checks are answered from the stored state


@dataclass(slots=True)
class Publish:
    """Publish this value to callers from now on."""

    value: float


@dataclass(slots=True)
class SetIdleTimeout:
    """Close connections that idle this long."""

    timeout: float


@dataclass(slots=True)
class SetTimer:
    """Call Controller.sample_due() after the delay."""

    name: str
    delay: float


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Operation = (
    Start
    | Cancel
    | ReleaseRun
    | Deny
    | Fail
    | Call
    | SkipCall
    | CacheResult
    | EvictResult
    | AwaitOriginal
    | SetHealth
    | Publish
    | SetIdleTimeout
    | SetTimer
    | Log
)
OperationHandler = Callable[[Operation], None]
