"""All decisions of a backend: admission, queueing, cancellation, calls, denials and the published value.

The host builds a Controller from ControllerSettings, calls its methods for every event with the time now
(ms), and calls settle() once after the events of one moment. Operations go out through `perform`. The types
of the interface are in policy/interface.py; docs/design.md explains the decisions."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Generator
from functools import partial
from math import exp
from typing import Any

from myrtlecrank.policy import interface
from myrtlecrank.policy.endpoint_group import EndpointGroupState
from myrtlecrank.policy.exchange_state import (
    CALL_PHASES,
    ExchangeState,
    Flow,
    Phase,
    ResumeReason,
    WaitPoint,
)
from myrtlecrank.policy.interface import (
    Cancellation,
    DependencyKind,
    EffectKind,
    Exchange,
    Outcome,
    PublishedValueKind,
)
from myrtlecrank.policy.timers import TimerQueue

NEVER = float("inf")
MS_PER_S = 1000.0
LONGEST_READ_DELAY_MS = 1e9  # a least delay beyond this stands for a window without arrivals

# Gauges and duress
SAMPLE_TIMER = "beat"
SAMPLE_INTERVAL_MS = 100.0
CPU_WINDOW_SAMPLES = 20  # 2 s
CONCURRENCY_SMOOTHING = 0.1  # weight of a new sample
READ_DELAY_SMOOTHING = 0.1  # weight of a new arrival
READ_DELAY_DECAY = 0.98  # per sample
DURESS_CPU_FRACTION = 0.90
DURESS_SAMPLES = 3
REJECT_CPU_FRACTION = 0.95
REJECT_MEMORY_FRACTION = 0.85
OUTLIER_MULTIPLE = 2.0  # how many times the mean a running exchange must exceed to be cancelled
OUTLIER_TIMEOUT_FRACTION = 0.5  # only exchanges older than this part of their timeout are cancelled

# How much runs at once
USABLE_MEMORY_FRACTION = 0.92
USABLE_CONCURRENCY_FRACTION = 0.85  # of the concurrency beyond one a core that a backend survives
RUN_LIMIT_STEP = 0.1  # per sample
RUN_LIMIT_SLACK = 0.5  # concurrency beyond the wanted one at which the limit falls
INITIAL_EXTRA_CONCURRENCY = 0.7  # wanted on the cores beyond one run a core
MIN_EXTRA_CONCURRENCY = 0.3
MAX_EXTRA_CONCURRENCY = 1.5
EXTRA_CONCURRENCY_STEP = 0.3
EXTRA_CONCURRENCY_SAMPLES = 30  # samples between two steps
BACKLOGGED_SAMPLES_FRACTION = 0.7  # the work is compared only where so many samples found a queue

# Calls to the dependency
CALLS_PER_CORE = 3  # calls in flight where the dependency is a tier of backends like this one
CALL_TRIES = 3
MIN_CALL_TIMEOUT_MS = 1.0
# A run whose call result may be lost is started anew after a silence of so many times the longest that runs
# usually need from the end of a call to their next call or their end.
RESTART_SILENCE_MULTIPLE = 2.0
LONGEST_SILENCE_DECAY = 0.95  # for each run that goes on

# Rates of tenants
TENANT_RATE_WINDOW_MS = 3000.0
TENANT_RATE_EVENTS = 6.0  # the window is longer where it would cover fewer arrivals than this

# Longest wait in the queue, as a multiple of the SLO time, divided by the cores
MIN_QUEUE_WAIT = 0.5
QUEUE_WAIT_FOR_READING = 3.0  # more for each mean run time that reading an arrival takes
MAX_READING_OF_RUN = 0.5
CALM_QUEUE_WAIT_MULTIPLE = 1.6  # while the CPU is not saturated
MAX_QUEUE_WAIT = 0.8  # as a multiple of the SLO time, on any number of cores
LATEST_START_RUN_FRACTION = 0.7  # a run this part of the expected run before the deadline is still of use
BACKGROUND_VALUE_FRACTION = 0.1  # of the value of an exchange that was read in the background
DISPLACEMENT_FRACTION = 0.8  # a queued exchange is displaced where its value is below this part

# Retry storm
RETRY_AFTER_DENIAL_MS = 20.0  # from a denial to the next try of a caller that ignores backpressure
MIN_NET_WORK_FRACTION = 0.3  # least work that a run counts as
LATE_VALUE_FRACTION = 0.05
STORM_CREDIT_MULTIPLE = 0.5  # of the least published credit

# The published value
PUBLISH_INTERVAL_SAMPLES = 3
NEUTRAL_WAIT_OF_SLO = 0.15  # wait as a part of the SLO time at which the published value is steady
MAX_STRAIN = 3.0
FALL_PER_STRAIN = 0.15
RECOVERY_PER_STRAIN = 0.12
PUBLISH_CHANGE_FRACTION = 0.04  # smaller changes are not published
CREDIT_PER_CORE = 2.0
CREDIT_HEADROOM = 2.0  # published credit beyond the exchanges in progress
MIN_WEIGHT = 0.45
MIN_CREDIT = 1.0
MIN_OPENNESS = 0.05  # for the other kinds of published value
RETRY_AFTER_OF_LIFETIME = 0.3  # longest spread wait, of the time that callers remember the published value

# Health
SLOW_RUN_MULTIPLE = 3.5  # times the mean run at which runs count as hanging
MAX_OWED_RUNS = 5.0  # runs that should have ended
MAX_TRACKED_OWED_MULTIPLE = 1.5
OWED_AFTER_RECOVERY_MULTIPLE = 0.5
HUNG_INTERVALS = 10.0  # without the end of a run
UNHEALTHY_MS = 5000.0
MAX_UNHEALTHY_MULTIPLE = 4.0
HANDSHAKE_CONCURRENCY_PER_CORE = 2.5  # beyond this, handshakes of many callers fill the cores
STALE_READ_MULTIPLE = 3.0  # times the least read delay
SLOW_READ_MULTIPLE = 1.5
SLOWNESS_SMOOTHING = 0.07
MAX_SLOWNESS_SAMPLE = 10.0
WARM_UP_RUNS = 10  # the first runs to finish are the short ones
MIN_LEARNING_RATE = 0.03

# Idle connections
IDLE_CONNECTIONS_PER_CORE = 8.0
IDLE_TIMEOUT_CUT = 0.7
IDLE_TIMEOUT_GROWTH = 1.1

# The flow of an exchange waits for the result of these.
AWAITED_OPERATIONS = (interface.Start, interface.Call, interface.SkipCall, interface.AwaitOriginal)
PROVEN_UNRUN = (Outcome.REJECTED, Outcome.UNREACHED, Outcome.NOT_STARTED)


class Controller:
    """The decisions of one backend.

    Its public methods are the events; none of them does I/O or reads a clock.
    """

    def __init__(
        self, settings: interface.ControllerSettings, perform: interface.OperationHandler, now: float
    ) -> None:
        self.perform = perform
        self.now = now
        self.random_fraction = random.Random(settings.seed).random
        self.groups = [EndpointGroupState(group) for group in settings.groups]
        self.shortest_slo = min(group.slo for group in self.groups)

        # Arrivals per ms of each tenant: this backend's part of its allowance, and the measured rate
        self.tenant_allowances = [
            tenant.per_second / MS_PER_S / max(1, settings.backends) for tenant in settings.tenants
        ]
        self.tenant_rates = [0.0] * len(settings.tenants)
        self.tenant_windows_ms = [
            max(TENANT_RATE_WINDOW_MS, TENANT_RATE_EVENTS / max(1e-6, share))
            for share in self.tenant_allowances
        ]
        self.over_share_benefit = settings.over_share_benefit
        self.benefit_by_work = settings.benefit_by_work

        # What the backend has and survives
        self.cores = settings.cores
        self.memory_kb = settings.memory_kb
        self.running_memory_multiple = settings.running_memory_multiple
        self.key_kb = settings.key_kb
        self.shared_result_lifetime_ms = settings.shared_result_lifetime
        self.drain_grace_ms = settings.drain_grace
        self.warm_concurrency_per_core = (
            1.0 + (settings.survivable_concurrency_per_core - 1.0) * USABLE_CONCURRENCY_FRACTION
        )
        self.cold_capacity = settings.cold_capacity
        self.warm_up_time_ms = settings.warm_up_time
        self.machine_started(settings.cold, now)
        self.answer_margin_ms = (
            SAMPLE_INTERVAL_MS + 2.0 * settings.clock_granularity
        )  # answers go out this long before due
        self.can_cancel = settings.cancellation is not Cancellation.NONE
        self.can_restart = settings.cancellation is Cancellation.DROP  # a paused run would keep its progress

        # Advice to callers
        self.published_value_kind = settings.published_value_kind
        self.max_retry_after_ms = settings.max_retry_after
        # Callers kept away longer forget the published value, and the first to come back bring a burst.
        self.max_spread_retry_after_ms = min(
            settings.max_retry_after, RETRY_AFTER_OF_LIFETIME * settings.published_value_lifetime
        )

        # Calls to the dependency
        self.max_calls = 0.0
        if settings.dependency is DependencyKind.SHARED:
            self.max_calls = settings.call_limit
        elif settings.dependency is DependencyKind.TIER:
            self.max_calls = float(CALLS_PER_CORE * settings.cores)
        self.calls_window_ms = max(1.0, settings.call_limit_window)
        # How long a call still counts after its timeout, or after the end of its run
        self.abandoned_call_ms = settings.abandoned_call_time
        self.calls_in_flight = 0
        self.mean_calls_in_flight = 0.0
        self.calls_averaged_at = now
        self.waiting_for_call: deque[ExchangeState] = deque()
        self.longest_silence_ms = 0.0  # of recent runs, from the end of a call to their next sign

        # Exchanges in progress
        self.running: dict[ExchangeState, None] = {}
        self.waiting_for_original: dict[ExchangeState, None] = {}
        self.queued_count = 0
        self.peak_in_progress = 0  # since the value was last published
        self.used_kb = 0.0
        self.timers = TimerQueue()

        # How much runs at once
        self.run_limit = float(self.cores)
        self.extra_concurrency = INITIAL_EXTRA_CONCURRENCY
        self.extra_concurrency_step = EXTRA_CONCURRENCY_STEP
        self.finished_work_ms = 0.0
        self.previous_finished_work_ms = 0.0
        self.backlogged_samples = 0

        # Gauges
        self.samples = 0
        self.cpu_samples: deque[float] = deque(maxlen=CPU_WINDOW_SAMPLES)
        self.mean_on_cores = 0.0
        self.memory_gauge = 0.0
        self.mean_read_delay_ms = 0.0  # beyond the least one
        self.least_read_delay_ms = NEVER
        self.window_least_read_delay_ms = NEVER
        self.is_retry_storm = False
        self.duress_samples = 0

        # Health
        self.owed_runs = 0.0
        self.ended_since_sample = 0
        self.ended_since_unhealthy = 0
        self.last_end_at = now
        self.slowness = 1.0  # of runs, as a multiple of the learned mean
        self.reads_only_stale = False
        self.starts_nothing = False
        self.starts_in_window = 0
        self.unhealthy_until = 0.0  # 0: healthy
        self.next_unhealthy_ms = UNHEALTHY_MS

        # Drain
        self.stop_at = NEVER
        self.drain_ends_at = NEVER  # from then on no arrival runs

        # The published value: high openness asks for more traffic, whatever the value's meaning.
        max_openness = {
            PublishedValueKind.CREDIT: CREDIT_PER_CORE * self.cores,
            PublishedValueKind.WEIGHT: 1.0,
            PublishedValueKind.LEVEL: 1.0,
        }
        self.openness = max_openness.get(self.published_value_kind, 0.0)
        self.max_openness = self.openness
        # Callers that get too few answers forget the value and send all at once, so it never falls to zero.
        min_openness = {PublishedValueKind.CREDIT: MIN_CREDIT, PublishedValueKind.WEIGHT: MIN_WEIGHT}
        self.min_openness = min_openness.get(self.published_value_kind, MIN_OPENNESS)
        self.published_value = -1.0

        self.idle_timeout_ms = settings.idle_timeout
        self.max_idle_timeout_ms = settings.idle_timeout

        self.perform(interface.SetHealth(is_healthy=True, shallow=True))
        self.perform(interface.SetTimer(SAMPLE_TIMER, SAMPLE_INTERVAL_MS))
        self._publish()

    # The flow of an exchange

    def _exchange_flow(self, state: ExchangeState) -> Flow:
        """Takes an exchange from its arrival to its one answer; what it must wait for resumes it."""
        exchange, group = state.exchange, state.group
        if exchange.original is not None and (
            group.kind is EffectKind.DEDUPLICATED or self.shared_result_lifetime_ms > 0
        ):
            return (yield from self._original_flow(state))
        if self._must_deny(state):
            return (yield self._denial(state))
        if group.kind is EffectKind.DEDUPLICATED:
            yield self._cache_result(state, group.deduplication_window)
        resumed_by = yield WaitPoint.QUEUE_TURN
        if resumed_by is not ResumeReason.CAPACITY_FREE:
            if group.kind is EffectKind.DEDUPLICATED:
                yield interface.EvictResult(exchange)
            return (yield self._denial(state))
        if state.is_repeatable and self.shared_result_lifetime_ms > 0 and exchange.names_subject:
            yield self._cache_result(state, self.shared_result_lifetime_ms + 2.0 * group.mean_run_ms)
        resumed_by = yield interface.Start(exchange)
        while resumed_by is ResumeReason.REACHED_CALL:
            resumed_by = yield from self._call_flow(state)
        if isinstance(resumed_by, Outcome) and resumed_by is not Outcome.CANCELLED:
            return  # the end of the run was the answer
        # A run abandoned under pressure would mostly fail elsewhere as well; on calm backends a retry may do.
        is_pressed = resumed_by is ResumeReason.DURESS or self._mean_cpu() > DURESS_CPU_FRACTION
        yield self._denial(state) if state.is_repeatable and is_pressed else interface.Fail(exchange)
        if state in self.running:
            yield self._stop_run(exchange)

    def _call_flow(self, state: ExchangeState) -> Generator[Any, Any, Any]:
        """Makes a call with the remaining time as its timeout; retries only where that can do no harm."""
        for _ in range(CALL_TRIES):
            resumed_by = yield WaitPoint.CALL_CAPACITY
            if resumed_by is not ResumeReason.CAPACITY_FREE:
                return resumed_by
            remaining_ms = state.deadline - self.answer_margin_ms - self.now
            resumed_by = yield interface.Call(state.exchange, max(MIN_CALL_TIMEOUT_MS, remaining_ms))
            if resumed_by is Outcome.OK:
                return (yield WaitPoint.RUN_END)
            if not isinstance(resumed_by, Outcome):
                return resumed_by
            if not (state.is_repeatable or resumed_by in PROVEN_UNRUN):
                break
        if state.group.benefit_without_call > 0:
            return (yield interface.SkipCall(state.exchange))
        return ResumeReason.TOO_LATE

    def _original_flow(self, state: ExchangeState) -> Flow:
        """Gives a retry the outcome of the exchange that it retries.

        So there is no second effect, and a read costs a twentieth of a run.
        """
        resumed_by = yield interface.AwaitOriginal(state.exchange)
        if not isinstance(resumed_by, Outcome):
            yield interface.Fail(state.exchange)  # not a denial: the original may have run

    def _advance(self, state: ExchangeState, resumed_by: object) -> None:
        """Resumes the flow of an exchange and carries out what it asks for, up to what it must wait for."""
        while state.flow is not None:
            try:
                request = state.flow.send(resumed_by)
            except StopIteration:
                state.flow = None
                return
            resumed_by = None
            if isinstance(request, WaitPoint):
                if request is WaitPoint.QUEUE_TURN:
                    self._enqueue(state)
                elif request is WaitPoint.CALL_CAPACITY:
                    state.phase = Phase.WAITING_FOR_CALL
                    self.waiting_for_call.append(state)
                return
            self._record(state, request)
            self.perform(request)
            if isinstance(request, AWAITED_OPERATIONS):
                return

    def _record(self, state: ExchangeState, operation: interface.Operation) -> None:
        """Updates the state of an exchange for an operation that is about to be carried out."""
        if isinstance(operation, interface.Deny | interface.Fail):
            state.is_answered = True
            if state.phase in (Phase.QUEUED, Phase.WAITING_FOR_ORIGINAL):
                self._close(state)
        elif isinstance(operation, interface.EvictResult):
            self._release_key(state)
        elif isinstance(operation, interface.Start):
            state.phase = Phase.RUNNING
            state.started_at = self.now
            self.running[state] = None
            self.starts_in_window += 1
            self._set_memory(state, state.exchange.memory_kb * self.running_memory_multiple)
            self._wake_at(state, state.deadline - self.answer_margin_ms)
        elif isinstance(operation, interface.AwaitOriginal):
            state.phase = Phase.WAITING_FOR_ORIGINAL
            self.waiting_for_original[state] = None
            self._wake_at(state, state.deadline - self.answer_margin_ms)
        elif isinstance(operation, interface.Call):
            state.phase = Phase.CALLING
            self._count_calls(1)
        elif isinstance(operation, interface.SkipCall):
            state.phase = Phase.RUNNING
            state.resumed_at = self.now

    def _leave_call(self, state: ExchangeState) -> None:
        if state.phase is Phase.CALLING:
            self.timers.add(self.now + self.abandoned_call_ms, self._abandoned_call_over)
        elif state in self.waiting_for_call:
            self.waiting_for_call.remove(state)

    def _close(self, state: ExchangeState) -> None:
        if state.phase in CALL_PHASES:
            self._leave_call(state)
        self.running.pop(state, None)
        self.waiting_for_original.pop(state, None)
        self._set_memory(state, 0.0)
        state.phase = Phase.CLOSED
        self._cancel_wake(state)

    def _set_memory(self, state: ExchangeState, kb: float) -> None:
        self.used_kb += kb - state.memory_kb
        state.memory_kb = kb

    def _cache_result(self, state: ExchangeState, duration_ms: float) -> interface.CacheResult:
        self.used_kb += self.key_kb
        state.key_timer = self.timers.add(self.now + duration_ms, self._free_key)
        return interface.CacheResult(state.exchange, duration_ms)

    def _free_key(self) -> None:
        self.used_kb -= self.key_kb

    def _release_key(self, state: ExchangeState) -> None:
        """Frees the memory of a key at once, as an exchange that never ran leaves no result."""
        if state.key_timer is not None and self.timers.cancel(state.key_timer):
            self._free_key()

    def _denial(self, state: ExchangeState) -> interface.Deny:
        """Denies, with what the caller should do instead of a retry at once.

        The queue absorbs short peaks: where it is full, other backends are likely full too, and each would
        spend a read on the retry. So the answer advises the caller not to try elsewhere, unless this backend
        is unhealthy. The wait is random, lest all that are denied come back at once.
        """
        if self.drain_ends_at < NEVER:
            return interface.Deny(state.exchange, is_final=False, retry_after=self.max_retry_after_ms)
        try_elsewhere = self.unhealthy_until > 0.0  # others are likely to be better off
        retry_after_ms = self.max_retry_after_ms
        if not try_elsewhere:
            wait_ms = self._queue_wait_ms() + self.mean_read_delay_ms
            retry_after_ms = self.random_fraction() * min(self.max_spread_retry_after_ms, wait_ms)
        return interface.Deny(state.exchange, is_final=not try_elsewhere, retry_after=retry_after_ms)

    # Arrivals: admission on the rolling gauges

    def arrived(self, exchange: Exchange, now: float) -> None:
        """An exchange was read; it is queued or denied, or waits for the exchange that it retries."""
        self.now = now
        state = exchange.controller_state = ExchangeState(exchange, self.groups[exchange.group], now)
        self.used_kb += exchange.memory_kb
        if self.tenant_allowances:
            self.tenant_rates[exchange.tenant] += 1.0 / self.tenant_windows_ms[exchange.tenant]
        if not exchange.is_from_background:
            self._learn_read_delay(min(exchange.read_delay, state.group.timeout))
        state.value = self._initial_value(state)
        state.flow = self._exchange_flow(state)
        self._advance(state, None)

    def _learn_read_delay(self, read_delay_ms: float) -> None:
        """Being read takes a while on an idle backend too; only what goes beyond that is waiting."""
        self.least_read_delay_ms = min(self.least_read_delay_ms, read_delay_ms)
        self.window_least_read_delay_ms = min(self.window_least_read_delay_ms, read_delay_ms)
        self.mean_read_delay_ms += READ_DELAY_SMOOTHING * (
            read_delay_ms - self.least_read_delay_ms - self.mean_read_delay_ms
        )

    def _initial_value(self, state: ExchangeState) -> float:
        """Benefit for each ms of work.

        It is less for a tenant beyond this backend's part of its allowance, and where a connection sends far
        more than it gets completed."""
        value = state.group.benefit if self.benefit_by_work else state.group.benefit / state.group.mean_run_ms
        if self.tenant_allowances:
            tenant = state.exchange.tenant
            within_allowance = min(1.0, self.tenant_allowances[tenant] / max(1e-9, self.tenant_rates[tenant]))
            value *= within_allowance + (1.0 - within_allowance) * self.over_share_benefit
        return value * BACKGROUND_VALUE_FRACTION if state.exchange.is_from_background else value

    def _expected_run_ms(self, state: ExchangeState) -> float:
        return state.group.mean_run_ms * self.slowness * state.group.relative_work(state.exchange.work_hint)

    def _queue_wait_ms(self) -> float:
        """How long an exchange that arrives now would wait in the queue."""
        work_ahead_ms = sum(group.mean_run_ms * len(group.queue) for group in self.groups)
        return work_ahead_ms * self.slowness / self._run_capacity()

    def _latest_useful_start(self, state: ExchangeState) -> float:
        """The latest start that can still earn a benefit."""
        group = state.group
        slo_from = state.first_try_at if self.is_retry_storm else state.reached_at
        slo_end = slo_from + group.slo + group.slo_work_multiple * self._expected_run_ms(state)
        earns_late = group.late_benefit > 0 or (self.is_retry_storm and state.exchange.ignores_backpressure)
        answer_due = state.deadline - self.answer_margin_ms
        useful_until = answer_due if earns_late else min(slo_end, answer_due)
        return useful_until - LATEST_START_RUN_FRACTION * self._expected_run_ms(state)

    def _value_now(self, state: ExchangeState) -> float:
        """The value of an exchange if it were started now.

        In a retry storm, what is too late for its SLO time goes last. A denial sheds nothing where the caller
        ignores backpressure: from the work of such a run, the reads of the tries that its denial would bring
        are subtracted.
        """
        value = state.value
        mean_run_ms = state.group.mean_run_ms
        if self.is_retry_storm and state.exchange.ignores_backpressure:
            read_ms = min(self.least_read_delay_ms, mean_run_ms)
            tries = (state.deadline - self.now) / (RETRY_AFTER_DENIAL_MS + read_ms + self.mean_read_delay_ms)
            value /= max(MIN_NET_WORK_FRACTION, 1.0 - tries * read_ms / mean_run_ms)
        if self.is_retry_storm:
            latest_start = state.first_try_at + state.group.slo - self._expected_run_ms(state)
            if self.now > latest_start:
                value *= max(LATE_VALUE_FRACTION, state.group.late_benefit)
        return value

    def _must_deny(self, state: ExchangeState) -> bool:
        """Whether an arrival is denied; where the queue is full, may deny a queued exchange in its place."""
        latest_start = min(self._latest_useful_start(state), self.stop_at - 2.0 * self.answer_margin_ms)
        if self.now > latest_start or state.reached_at > self.drain_ends_at:
            return True
        if max(self.memory_gauge, self.used_kb / self.memory_kb) > REJECT_MEMORY_FRACTION:
            return True
        max_wait_ms = self._max_queue_wait_ms()
        wait_ms = self._queue_wait_ms()
        if wait_ms <= max_wait_ms:
            return False
        if self.is_retry_storm:
            # Denials of a full queue cost more than they shed: what would start in time stays.
            if state.exchange.ignores_backpressure:
                start_by = self._latest_useful_start(state)
            else:
                start_by = state.reached_at + MAX_QUEUE_WAIT * state.group.slo
            if self.now + wait_ms <= start_by:
                return False
        return not self._displace_queued(state)

    def _max_queue_wait_ms(self) -> float:
        """The longest wait in the queue; one for all groups, or those with short SLO times would starve.

        The more reading costs beside a run, the more a denial wastes, here and where it is tried next.
        """
        mean_run_ms = sum(group.mean_run_ms for group in self.groups) / len(self.groups)
        reading_of_run = min(MAX_READING_OF_RUN, self.least_read_delay_ms / mean_run_ms)
        max_wait_of_slo = (MIN_QUEUE_WAIT + QUEUE_WAIT_FOR_READING * reading_of_run) / self.cores
        if not (self.queued_count and self._mean_cpu() > REJECT_CPU_FRACTION):
            max_wait_of_slo *= CALM_QUEUE_WAIT_MULTIPLE
        return min(MAX_QUEUE_WAIT, max_wait_of_slo) * self.shortest_slo

    def _displace_queued(self, arrival: ExchangeState) -> bool:
        """Denies the queued exchange of least value if the arrival has more; returns whether it did."""
        queues = [group.queue for group in self.groups if group.queue]
        least = min((min(queue, key=self._value_now) for queue in queues), key=self._value_now)
        if self._value_now(least) >= DISPLACEMENT_FRACTION * self._value_now(arrival):
            return False
        self._resume(least, ResumeReason.DISPLACED)
        return True

    def _mean_cpu(self) -> float:
        if len(self.cpu_samples) < CPU_WINDOW_SAMPLES:
            return 0.0
        return sum(self.cpu_samples) / len(self.cpu_samples)

    # The queue

    def _enqueue(self, state: ExchangeState) -> None:
        state.group.queue.append(state)
        self.queued_count += 1
        self._wake_at(state, min(state.deadline - self.answer_margin_ms, self._latest_useful_start(state)))

    def _resume(self, state: ExchangeState, reason: ResumeReason) -> None:
        """Resumes an exchange, and removes it from its queue if it is queued."""
        if state in state.group.queue:
            state.group.queue.remove(state)
            self.queued_count -= 1
        self._advance(state, reason)

    def machine_started(self, cold: bool, born: float) -> None:
        """The machine started at `born`, possibly while the backend process keeps running.

        Its cores are cold again then, and survive what cold cores do.
        """
        self.initial_warmth = self.cold_capacity if cold else 1.0
        self.machine_started_at = born

    def warmth(self) -> float:
        """The capacity of the machine as a part of what it has when warm."""
        if self.initial_warmth >= 1.0:
            return 1.0
        warm_up_fraction = (self.now - self.machine_started_at) / max(1.0, self.warm_up_time_ms)
        return min(1.0, self.initial_warmth + (1.0 - self.initial_warmth) * warm_up_fraction)

    def _safe_concurrency(self) -> float:
        """The concurrency that this backend survives, ramped evenly from that of a cold one."""
        per_core = 1.0 + (self.warm_concurrency_per_core - 1.0) * self.warmth()
        return max(1.0, per_core * self.cores)

    def _run_capacity(self) -> float:
        return max(1.0, min(self.run_limit, self._safe_concurrency()))

    def _start_queued(self) -> None:
        """Starts queued exchanges while there is capacity.

        The queues share the starts by the value of their eldest exchange, and carry over what they do not
        get. In a queue the highest value goes first, the eldest among equals: so tenants within their
        allowance come before those beyond it.
        """
        while self.queued_count and len(self.running) < self._run_capacity():
            waiting = [group for group in self.groups if group.queue]
            total_value = sum(group.queue[0].value for group in waiting) or 1.0
            for group in waiting:
                group.start_credit += group.queue[0].value / total_value
            chosen = max(waiting, key=lambda group: group.start_credit)
            state = max(chosen.queue, key=self._value_now)
            extra_kb = state.exchange.memory_kb * (self.running_memory_multiple - 1.0)
            lacks_memory = self.used_kb + extra_kb > USABLE_MEMORY_FRACTION * self.memory_kb
            if lacks_memory and self.running:
                return
            chosen.start_credit -= 1.0
            for group in self.groups:
                group.start_credit = group.start_credit if group.queue else 0.0
            # With no run whose end would free memory, what does not fit now never will.
            self._resume(state, ResumeReason.DISPLACED if lacks_memory else ResumeReason.CAPACITY_FREE)

    # Runs and calls

    def run_ended(self, exchange: Exchange, outcome: Outcome, took: float, now: float) -> None:
        """A run ended, or the original that a retry waits for; `took` is the duration of the run."""
        self.now = now
        state: ExchangeState | None = exchange.controller_state
        if state is None or state.phase is Phase.CLOSED:
            return
        self.ended_since_sample += state.phase is not Phase.WAITING_FOR_ORIGINAL
        if state.phase is not Phase.WAITING_FOR_ORIGINAL and outcome is Outcome.OK:
            self._end_silence(state)
            self._learn_run(state, took)
        if outcome is Outcome.NOT_STARTED:
            self._release_key(state)
        resumed_by: Outcome | ResumeReason = outcome
        if state.phase in CALL_PHASES:
            # The flow would take the run's outcome for that of its call, and might call once more.
            self._leave_call(state)
            state.phase = Phase.RUNNING
            resumed_by = ResumeReason.RUN_ENDED
            if state.is_answered or outcome is not Outcome.CANCELLED:
                state.flow = None
        if outcome is Outcome.CANCELLED and not state.is_answered:
            state.phase = Phase.QUEUED  # not cancelled by the controller: the answer is still owed
        else:
            self._close(state)
        self.running.pop(state, None)
        self._advance(state, resumed_by)

    def _learn_run(self, state: ExchangeState, took_ms: float) -> None:
        """Learns the mean run time and the slowness; runs of an unhealthy backend leave the mean as it is."""
        group = state.group
        run_ms = max(1.0, took_ms - state.dependency_ms)
        expected_ms = group.mean_run_ms * group.relative_work(state.exchange.work_hint)
        self.finished_work_ms += expected_ms
        is_warming_up = self.warmth() < 1.0 or group.learned_runs < WARM_UP_RUNS
        if not is_warming_up:
            slowness_sample = min(MAX_SLOWNESS_SAMPLE, run_ms / expected_ms)
            self.slowness += SLOWNESS_SMOOTHING * (slowness_sample - self.slowness)
        if is_warming_up or self.slowness < SLOW_RUN_MULTIPLE:
            group.learned_runs += 1
            rate = max(MIN_LEARNING_RATE, 1.0 / (group.learned_runs + 3))
            group.mean_run_ms += rate * (run_ms - group.mean_run_ms)
            group.learn_hint(state.exchange.work_hint, run_ms, rate)

    def call_reached(self, exchange: Exchange, now: float) -> None:
        """A run waits at a call to the dependency."""
        self.now = now
        state: ExchangeState | None = exchange.controller_state
        if state is not None and state.phase is Phase.RUNNING:
            self._end_silence(state)
            self._advance(state, ResumeReason.REACHED_CALL)

    def call_ended(self, exchange: Exchange, outcome: Outcome, took: float, now: float) -> None:
        """A call to the dependency ended after `took` ms."""
        self.now = now
        state: ExchangeState | None = exchange.controller_state
        if state is None or state.phase is not Phase.CALLING:
            return
        if outcome is Outcome.TIMEOUT:
            self.timers.add(now + self.abandoned_call_ms, self._abandoned_call_over)
        else:
            self._count_calls(-1)
        state.dependency_ms += took
        state.phase = Phase.RUNNING if outcome is Outcome.OK else Phase.WAITING_FOR_CALL
        state.resumed_at = now if outcome is Outcome.OK else None
        self._advance(state, outcome)

    def restart_patience(self, exchange: Exchange) -> float | None:
        """How long (ms) the run of an exchange may give no sign once the end of its call may have been lost.

        It is started anew then. None: it is left alone until its exchange is due, as it may run only once,
        or cannot be cancelled.
        """
        state: ExchangeState | None = exchange.controller_state
        if state is None or not state.is_repeatable or not self.can_restart:
            return None
        return RESTART_SILENCE_MULTIPLE * max(self.longest_silence_ms, self._expected_run_ms(state))

    def run_restarted(self, exchange: Exchange, now: float) -> None:
        """A run was cancelled and started anew, as the end of its call was lost."""
        self.now = now
        state: ExchangeState | None = exchange.controller_state
        if state is not None:
            state.started_at = now
            state.resumed_at = None
            state.cpu_ms = 0.0
            state.dependency_ms = 0.0

    def _end_silence(self, state: ExchangeState) -> None:
        """A run shows that it went on after its call, or has ended by itself."""
        if state.resumed_at is not None:
            silence_ms = self.now - state.resumed_at
            self.longest_silence_ms = max(silence_ms, LONGEST_SILENCE_DECAY * self.longest_silence_ms)
            state.resumed_at = None

    def _abandoned_call_over(self) -> None:
        self._count_calls(-1)

    def _count_calls(self, change: int) -> None:
        """Changes the number of calls in flight, and brings its mean up to date first."""
        weight = 1.0 - exp((self.calls_averaged_at - self.now) / self.calls_window_ms)
        self.mean_calls_in_flight += (self.calls_in_flight - self.mean_calls_in_flight) * weight
        self.calls_averaged_at = self.now
        self.calls_in_flight += change

    def _start_calls(self) -> None:
        while self.waiting_for_call:
            self._count_calls(0)
            # A share below one call is kept in the mean: one call at a time, then a pause.
            is_full = self.calls_in_flight + 1 > self.max_calls
            if is_full and (self.calls_in_flight or self.mean_calls_in_flight > 0.5 * self.max_calls):
                return
            self._advance(self.waiting_for_call.popleft(), ResumeReason.CAPACITY_FREE)

    def caller_left(self, exchange: Exchange, now: float) -> None:
        """The caller no longer waits: the exchange needs no answer; a repeatable run is cancelled."""
        self.now = now
        state: ExchangeState | None = exchange.controller_state
        if state is None or state.phase is Phase.CLOSED:
            return
        state.is_answered = True
        if state.phase in (Phase.QUEUED, Phase.WAITING_FOR_ORIGINAL):
            state.flow = None
            self._resume(state, ResumeReason.TOO_LATE)
            self._close(state)
        elif state.is_repeatable and self.can_cancel and state.phase is Phase.RUNNING:
            self.perform(interface.Cancel(exchange))

    # Timers, samples, publishing

    def _wake_at(self, state: ExchangeState, at: float) -> None:
        """Sets the one timer of an exchange."""
        self._cancel_wake(state)
        state.wake_timer = self.timers.add(at, partial(self._exchange_due, state))

    def _cancel_wake(self, state: ExchangeState) -> None:
        if state.wake_timer is not None:
            self.timers.cancel(state.wake_timer)
            state.wake_timer = None

    def settle(self, now: float) -> None:
        """Ends the events of one moment: runs the timers that are due, then starts what may start."""
        self.now = now
        self.timers.run_due(now)
        if now >= self.stop_at - 2.0 * self.answer_margin_ms:
            queued = [state for group in self.groups for state in group.queue]
            for state in queued + list(self.running) + list(self.waiting_for_original):
                if not state.is_answered:
                    self._resume(state, ResumeReason.SHUTDOWN)
        self._start_calls()
        self._start_queued()
        self.peak_in_progress = max(self.peak_in_progress, self.queued_count + len(self.running))

    def _exchange_due(self, state: ExchangeState) -> None:
        """The time of an exchange is up: it is answered, and what still runs of it is stopped.

        It may have been answered before, as its caller left; its run may then wait for what never comes.
        """
        if not state.is_answered:
            self._resume(state, ResumeReason.TOO_LATE)
        elif state in self.running:
            self.perform(self._stop_run(state.exchange))

    def _stop_run(self, exchange: Exchange) -> interface.Operation:
        return interface.Cancel(exchange) if self.can_cancel else interface.ReleaseRun(exchange)

    def start_drain(self, left: float, now: float) -> float:
        """Starts the drain, with `left` ms until the process stops; returns until when arrivals may run.

        The published value falls to nothing only then: callers learn of the drain late, and those that could
        be served here would find the other backends full.
        """
        self.now = now
        self.stop_at = now + left
        self.drain_ends_at = min(
            now + self.drain_grace_ms - self.answer_margin_ms, self.stop_at - 2.0 * self.answer_margin_ms
        )
        self.perform(interface.SetHealth(is_healthy=False, shallow=True))
        return self.drain_ends_at

    def sample_due(self, name: str, gauges: interface.Gauges, now: float) -> None:
        """The timer of a sample fired: takes in the gauges, adapts the limits, checks duress and health."""
        self.now = now
        self.perform(interface.SetTimer(SAMPLE_TIMER, SAMPLE_INTERVAL_MS))
        self.samples += 1
        cpu = self._take_gauges(gauges)
        self._adapt_run_limit()
        self._check_duress(cpu)
        self._check_health()
        if self.samples % PUBLISH_INTERVAL_SAMPLES == 0:
            self._publish()
            self._adapt_idle_timeout(gauges.connections or 0.0)

    def _take_gauges(self, gauges: interface.Gauges) -> float:
        """Updates the rolling gauges; returns how busy the cores are."""
        cpu = len(self.running) / self.cores if gauges.cpu is None else gauges.cpu
        self.cpu_samples.append(min(1.0, cpu))
        on_cores = len(self.running) if gauges.on_cores is None else gauges.on_cores
        self.mean_on_cores += CONCURRENCY_SMOOTHING * (on_cores - self.mean_on_cores)
        self.memory_gauge = gauges.memory or 0.0
        self.is_retry_storm = gauges.is_retry_storm
        self.mean_read_delay_ms *= READ_DELAY_DECAY
        self.tenant_rates = [
            rate * (1.0 - SAMPLE_INTERVAL_MS / window_ms)
            for rate, window_ms in zip(self.tenant_rates, self.tenant_windows_ms, strict=True)
        ]
        for state in self.running:
            state.cpu_ms += SAMPLE_INTERVAL_MS * min(1.0, cpu * self.cores / len(self.running))
        return cpu

    def _adapt_run_limit(self) -> None:
        """Lets as many run as fill the cores; waits for disk and calls make room for more.

        How full the cores should be is learned from the work that ends: a step on while it grows, a step back
        when it shrinks. The limit is never under one run a core: in a flood, reads and handshakes would push
        the runs off the cores.
        """
        wanted = self.cores + self.extra_concurrency
        if self.queued_count and self.mean_on_cores < wanted:
            self.run_limit = min(self._safe_concurrency(), self.run_limit + RUN_LIMIT_STEP)
        elif self.mean_on_cores > wanted + RUN_LIMIT_SLACK:
            self.run_limit = max(self.cores, self.run_limit - RUN_LIMIT_STEP)
        self.backlogged_samples += self.queued_count > 0
        if self.samples % EXTRA_CONCURRENCY_SAMPLES == 0:
            if self.backlogged_samples > BACKLOGGED_SAMPLES_FRACTION * EXTRA_CONCURRENCY_SAMPLES:
                if self.finished_work_ms < self.previous_finished_work_ms:
                    self.extra_concurrency_step = -self.extra_concurrency_step
                changed = self.extra_concurrency + self.extra_concurrency_step
                self.extra_concurrency = min(MAX_EXTRA_CONCURRENCY, max(MIN_EXTRA_CONCURRENCY, changed))
                self.previous_finished_work_ms = self.finished_work_ms
            self.finished_work_ms = 0.0
            self.backlogged_samples = 0

    def _check_health(self) -> None:
        """Takes this backend out of service while it would only attract and fail traffic.

        A backend whose cores got far slower, or where no run ends, denies fast and so attracts ever more.
        Each run owes its end after its expected time, stretched by SLOW_RUN_MULTIPLE; once too many are
        owed, the backend shows bad health for a while and then tries again, later each time that fails. So
        does one that reads only stale arrivals and starts nothing, and one that was unhealthy and still
        reads far too late.
        """
        runs = [state for state in self.running if state.phase is Phase.RUNNING]
        ends_per_ms = sum(
            1.0 / (state.group.mean_run_ms * state.group.relative_work(state.exchange.work_hint))
            for state in runs
        )
        owed_runs = self.owed_runs + ends_per_ms * SAMPLE_INTERVAL_MS / SLOW_RUN_MULTIPLE
        self.owed_runs = min(
            MAX_TRACKED_OWED_MULTIPLE * MAX_OWED_RUNS, max(0.0, owed_runs - self.ended_since_sample)
        )
        self.last_end_at = self.now if self.ended_since_sample or not runs else self.last_end_at
        self.ended_since_unhealthy += self.ended_since_sample
        self.ended_since_sample = 0
        if self.samples % CPU_WINDOW_SAMPLES == 0:
            self._check_reads()
        is_hung = bool(runs) and self.now - self.last_end_at > HUNG_INTERVALS * SAMPLE_INTERVAL_MS
        if self.unhealthy_until <= 0.0:
            if self._should_turn_unhealthy(is_hung):
                self._turn_unhealthy()
        elif not self.reads_only_stale and not is_hung:
            self._turn_healthy_if_recovered()

    def _check_reads(self) -> None:
        """Once in a window: whether all its arrivals were read late, and whether none was started."""
        # Concurrency beyond runs and reads is handshakes: many callers connect, and the backend is healthy.
        has_handshakes = self.mean_on_cores > HANDSHAKE_CONCURRENCY_PER_CORE * self.cores
        self.reads_only_stale = self._reads_late(STALE_READ_MULTIPLE) and not has_handshakes
        self.window_least_read_delay_ms = NEVER
        self.starts_nothing = self.reads_only_stale and self.starts_in_window == 0
        self.starts_in_window = 0

    def _reads_late(self, multiple: float) -> bool:
        """Whether all arrivals of the window waited more than `multiple` times the least read delay."""
        least_ms = self.window_least_read_delay_ms / multiple
        return self.least_read_delay_ms < least_ms < LONGEST_READ_DELAY_MS

    def _should_turn_unhealthy(self, is_hung: bool) -> bool:
        is_slow = (
            (self._reads_late(SLOW_READ_MULTIPLE) or is_hung)
            and self.owed_runs > MAX_OWED_RUNS
            and self.warmth() >= 1.0
        )
        was_unhealthy = self.next_unhealthy_ms > UNHEALTHY_MS
        return is_slow or self.starts_nothing or (self.reads_only_stale and was_unhealthy)

    def _turn_unhealthy(self) -> None:
        self.unhealthy_until = self.now + self.next_unhealthy_ms
        self.next_unhealthy_ms = min(MAX_UNHEALTHY_MULTIPLE * UNHEALTHY_MS, 2.0 * self.next_unhealthy_ms)
        self.slowness = max(self.slowness, SLOW_RUN_MULTIPLE)
        self.ended_since_unhealthy = 0
        self.perform(interface.SetHealth(is_healthy=False, shallow=True))
        self.perform(interface.Log("runs hardly end or none starts: bad health for a while"))

    def _turn_healthy_if_recovered(self) -> None:
        """Ends bad health once the runs end again, or for a new trial once its time is over."""
        has_recovered = self.owed_runs < 1.0 and self.ended_since_unhealthy > MAX_OWED_RUNS
        if not has_recovered and self.now <= self.unhealthy_until:
            return
        if has_recovered:
            self.next_unhealthy_ms = UNHEALTHY_MS
        self.unhealthy_until = 0.0
        self.owed_runs = min(self.owed_runs, OWED_AFTER_RECOVERY_MULTIPLE * MAX_OWED_RUNS)
        self.least_read_delay_ms = NEVER  # while the work hung, reading took no time at all
        self.perform(interface.SetHealth(is_healthy=self.drain_ends_at == NEVER, shallow=True))

    def _check_duress(self, cpu: float) -> None:
        """Cancels the running exchange with the highest score, after three samples under duress in a row.

        After the search backpressure of the published source: the score is the sum of CPU time, memory and
        elapsed time, each over its mean among the running exchanges.
        """
        memory = max(self.memory_gauge, self.used_kb / self.memory_kb)
        is_duress = (cpu > DURESS_CPU_FRACTION and self.queued_count > 0) or memory > REJECT_MEMORY_FRACTION
        self.duress_samples = self.duress_samples + 1 if is_duress else 0
        if self.duress_samples < DURESS_SAMPLES or not self.can_cancel or not self.running:
            return
        run_count = len(self.running)
        mean_cpu_ms = sum(state.cpu_ms for state in self.running) / run_count or 1.0
        mean_kb = sum(state.memory_kb for state in self.running) / run_count or 1.0
        mean_elapsed_ms = sum(self.now - state.started_at for state in self.running) / run_count or 1.0
        outliers = [
            state
            for state in self.running
            if not state.is_answered
            and (
                self.now - state.started_at > OUTLIER_MULTIPLE * mean_elapsed_ms
                or state.memory_kb > OUTLIER_MULTIPLE * mean_kb
            )
            and self.now - state.reached_at > OUTLIER_TIMEOUT_FRACTION * state.group.timeout
        ]

        def cancellation_score(state: ExchangeState) -> float:
            elapsed_ms = self.now - state.started_at
            return state.cpu_ms / mean_cpu_ms + state.memory_kb / mean_kb + elapsed_ms / mean_elapsed_ms

        if outliers:
            self._advance(max(outliers, key=cancellation_score), ResumeReason.DURESS)

    def _publish(self) -> None:
        """Lowers the published value while exchanges wait, unread or queued; raises it again otherwise."""
        wait_ms = self._queue_wait_ms() + self.mean_read_delay_ms
        strain = wait_ms / (NEUTRAL_WAIT_OF_SLO * self.shortest_slo)
        if self.published_value_kind is PublishedValueKind.NONE:
            return
        if strain > 1.0:
            self.openness *= 1.0 - FALL_PER_STRAIN * min(MAX_STRAIN, strain - 1.0)
        else:
            self.openness *= 1.0 + RECOVERY_PER_STRAIN * (1.0 - strain)
        if self.published_value_kind is PublishedValueKind.CREDIT and self.peak_in_progress:
            # Beyond what was in progress a credit binds nobody, and would take seconds to fall to that.
            # While nothing arrives it stays: otherwise the first to come would find too little.
            in_progress = (
                self.queued_count + len(self.running) if self.queued_count else self.peak_in_progress
            )
            self.openness = min(self.openness, CREDIT_HEADROOM + in_progress)
            self.peak_in_progress = 0
        storm_multiple = (
            STORM_CREDIT_MULTIPLE
            if self.is_retry_storm and self.published_value_kind is PublishedValueKind.CREDIT
            else 1.0
        )
        # Reading costs a cold backend several times as much: it asks for its part of the traffic only.
        most = min(self.max_openness * self.warmth(), self.openness)
        self.openness = max(self.min_openness * storm_multiple, most)
        value = 0.0 if self.now > self.drain_ends_at else self.openness
        if self.published_value_kind is PublishedValueKind.LEVEL:
            value = 1.0 - value
        if abs(value - self.published_value) > PUBLISH_CHANGE_FRACTION * self.published_value:
            self.published_value = value
            self.perform(interface.Publish(round(value, 4)))

    def _adapt_idle_timeout(self, connections: float) -> None:
        """Closes idle connections sooner while there are many.

        Many callers that seldom come back fill the table: it costs cores, and then others find no place.
        """
        idle = connections - self.queued_count - len(self.running)
        is_crowded = idle > IDLE_CONNECTIONS_PER_CORE * self.cores
        changed_ms = self.idle_timeout_ms * (IDLE_TIMEOUT_CUT if is_crowded else IDLE_TIMEOUT_GROWTH)
        idle_timeout_ms = min(self.max_idle_timeout_ms, max(SAMPLE_INTERVAL_MS, changed_ms))
        if idle_timeout_ms != self.idle_timeout_ms:
            self.idle_timeout_ms = idle_timeout_ms
            self.perform(interface.SetIdleTimeout(idle_timeout_ms))
