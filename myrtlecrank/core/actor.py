"""The actor around the controller: the table of exchanges, timers, cached results, gauges, start and drain.

The actor takes no decisions. It hands each batch of events to the controller with a single settle(), executes
the operations that the controller asks for, and ensures that each exchange gets exactly one final answer."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from itertools import count

from gevent import get_hub
from loguru import logger

from myrtlecrank.core.clock import now_ms
from myrtlecrank.core.conflicts import Conflicts, wait_end
from myrtlecrank.core.connection_errors import OUTCOME_BY_REASON, CloseReason
from myrtlecrank.core.event_loop import yield_to_io
from myrtlecrank.core.exchange_entry import ExchangeEntry
from myrtlecrank.core.executed_identifiers import ExecutedIdentifiers
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import (
    AgentCommand,
    AgentConnected,
    AgentDisconnected,
    Answer,
    CallEnded,
    CallRequested,
    CancelCall,
    CancelRun,
    CommandsNotSent,
    CoreEvent,
    DeliverCallResult,
    DependencyCommand,
    DrainRequested,
    ExchangeArrived,
    ExchangeRequest,
    ExchangesAbandoned,
    GaugesSampled,
    RetryOptionsChanged,
    RunCommand,
    RunEnded,
    SampleGauges,
    SkipCall,
    StartCall,
    StartRun,
    Verdict,
)
from myrtlecrank.core.published_state import PublishedState
from myrtlecrank.core.recovery import RecoveryStep, recovery_step
from myrtlecrank.core.result_cache import ResultCache
from myrtlecrank.log import LimitedLine
from myrtlecrank.policy import interface
from myrtlecrank.policy.controller import Controller
from myrtlecrank.policy.interface import EffectKind, Gauges, Outcome
from myrtlecrank.policy.timers import Timer, TimerCallback, TimerQueue
from myrtlecrank.retries import exchange_estimates
from myrtlecrank.retries.estimator import RetryEstimator, StormStatus
from myrtlecrank.retries.options import RetryOptions
from myrtlecrank.retries.storm_log import StormLog

MAILBOX_CAPACITY = 2048  # messages
BATCH_MAX_MESSAGES = 128  # a longer batch would keep the event loop from the sockets
CONFLICT_CUTOFF_MS = 200.0  # before the process is stopped, all conflicting requests are answered
IDLE_TICK_MS = 100.0  # sampling interval while there is no controller to set one
PROVEN_NOT_EXECUTED = (Outcome.NOT_STARTED, Outcome.UNREACHED)
RESYNC_TAG = "m"  # a sample's tag is one of these letters and the number of the command
TICK_TAG = "b"
MAX_TAG_DIGITS = 18
EXCHANGE_TOO_EARLY = LimitedLine(
    "WARNING", "an exchange is terminated: it arrived before the agent had connected"
)
IDENTIFIER_IN_USE = LimitedLine("WARNING", "an exchange is terminated: its identifier or key is in use")


class Core:
    """The actor that owns the controller. Other actors send to its `mailbox` and read its `published`
    state."""

    def __init__(
        self,
        settings: interface.ControllerSettings,
        stop_ms: float,
        send_to_agent: Callable[[AgentCommand], None],
        report_health: Callable[[bool], None],
        now: float | None = None,
        retry_options: RetryOptions | None = None,
        send_to_dependency: Callable[[DependencyCommand], None] | None = None,
    ) -> None:
        """`stop_ms`: from the drain request until the process is stopped; `retry_options`: those of the retry
        estimator, None: it is off; `send_to_dependency`: passes commands on, None: there is none."""
        self.mailbox: Mailbox[CoreEvent] = Mailbox(MAILBOX_CAPACITY)
        self.published = PublishedState(idle_limit=settings.idle_timeout)
        self.settings = settings
        self.stop_ms = stop_ms
        self.send_to_agent = send_to_agent
        self.report_health = report_health
        self.send_to_dependency = send_to_dependency
        self.on_tick: list[Callable[[float], None]] = []  # called on each sampling tick with the time
        # Called when new exchanges would no longer be executed.
        self.on_stop_accepting: list[Callable[[], None]] = []
        self.now = now_ms() if now is None else now
        self.controller: Controller | None = None  # None until the agent has connected for the first time
        self.retry_estimator: RetryEstimator | None = None
        self.storm_log = StormLog()
        self.agent_connected = False
        self.entries_by_id: dict[str, ExchangeEntry] = {}
        self.entries_by_exchange: dict[interface.Exchange, ExchangeEntry] = {}
        self.unanswered = 0
        self.cache = ResultCache(settings)
        self.timers = TimerQueue()
        self.next_number = count(1).__next__  # of commands
        # Tags of the samples whose return ends a resynchronisation with the agent, or a sampling tick.
        self.resync_tag: str | None = None
        self.tick_tag: str | None = None
        self.last_received_command = 0  # number of the last command that the agent has certainly received
        # Numbers of the commands at the start of the connection, and of the last sample asked for on it.
        self.connected_at_command = 0
        self.last_sample_command = 0
        self.conflicts = Conflicts()
        self.executed_identifiers = ExecutedIdentifiers()
        # Running entries whose start commands were not sent, or may have been lost.
        self.entries_in_doubt: dict[ExchangeEntry, None] = {}
        self.alarm = ("", 0.0)  # the name and delay that the controller asked for last
        self.alarm_due = 0.0
        self.drain_requested_at = 0.0
        self.stop_at: float | None = None  # when the process is stopped; None: no drain was requested
        self.loop_timer = get_hub().loop.timer(0.0)
        self.loop_timer_due = 0.0
        self._configure_retry_estimator(retry_options)
        self._tick_until_start()

    def run(self) -> None:
        """Handles messages and timers for ever."""
        while True:
            self._arm_loop_timer()
            self.process_batch(self.mailbox.take(max_count=BATCH_MAX_MESSAGES), now_ms())
            if self.mailbox:
                yield_to_io()

    def _arm_loop_timer(self) -> None:
        """Wakes this actor when the first timer is due. One timer of the event loop is cheaper than a
        time-out on each wait for messages."""
        due = self.timers.next_due()
        if due is not None and due != self.loop_timer_due:
            self.loop_timer.close()
            self.loop_timer_due = due
            self.loop_timer = get_hub().loop.timer(max(0.0, due - now_ms()) / 1000.0)
            self.loop_timer.start(self._loop_timer_fired)

    def _loop_timer_fired(self) -> None:
        self.loop_timer_due = 0.0
        self.mailbox.wake()

    def process_batch(self, events: list[CoreEvent], now: float) -> None:
        """Handles the events, then the timers that are due, and lets the controller decide once on all."""
        self.now = max(self.now, now)  # the controller's clock never steps back
        for event in events:
            self._handle_event(event)
        self.timers.run_due(self.now)
        if self.controller is not None:
            self.controller.settle(self.now)

    def _handle_event(self, event: CoreEvent) -> None:
        match event:
            case ExchangeArrived(request):
                self._exchange_arrived(request)
            case RunEnded():
                self._run_reported(event)
            case CallRequested(exchange_id, body):
                self._call_requested(exchange_id, body)
            case CallEnded(exchange_id, outcome, result):
                self._call_ended(exchange_id, outcome, result)
            case GaugesSampled(tag, gauges):
                self._gauges_sampled(tag, gauges)
            case ExchangesAbandoned(requests):
                for request in requests:
                    self._abandoned_by_caller(request)
            case AgentConnected(cold, uptime, restarted):
                self._agent_connected(cold, uptime, restarted)
            case AgentDisconnected(reason):
                # Even if the agent is unreachable now, what was sent on an earlier connection may have run.
                self._agent_disconnected(
                    Outcome.RESET if reason is CloseReason.CONNECT_FAILED else OUTCOME_BY_REASON[reason]
                )
            case CommandsNotSent(commands):
                for command in commands:
                    self._command_not_sent(command)
            case DrainRequested(requested_at):
                self._drain_requested(requested_at)
            case RetryOptionsChanged(options):
                self._configure_retry_estimator(options)

    # Start, drain, and the connection to the agent

    def _agent_connected(self, cold: bool, uptime: float, restarted: bool) -> None:
        self.agent_connected = True
        self.connected_at_command = self.last_sample_command = self.next_number()
        if self.controller is not None:
            if restarted:
                self._agent_restarted(self.controller, cold, uptime)
            # The agent first sends the reports of the outage; entries in doubt are settled after those.
            self.resync_tag = self._request_sample(RESYNC_TAG)
            return
        self.settings.cold = cold
        logger.info("the machine is up for {:.0f} ms, {}", uptime, "cold" if cold else "warm")
        self.controller = Controller(self.settings, self._execute, self.now - uptime)
        if self.stop_at is not None:
            # The drain grace period counts from the drain request, even if the agent connects late.
            self.controller.start_drain(self.stop_ms, self.drain_requested_at)

    def _agent_restarted(self, controller: Controller, cold: bool, uptime: float) -> None:
        """Ends the executions that died with the agent's process: their ends will never be reported. The
        machine may be cold."""
        logger.warning("the machine has begun anew, {}", "cold" if cold else "warm")
        controller.machine_started(cold, self.now - uptime)
        for entry in list(self.entries_by_id.values()):
            if entry.running and entry.lost_start_outcome is not Outcome.UNREACHED:
                self._run_ended(entry.request.exchange_id, Outcome.CANCELLED, 0.0, b"", confirmed=True)

    def _agent_disconnected(self, lost_start_outcome: Outcome) -> None:
        """Commands sent after the last returned sample may be lost with the connection."""
        self.agent_connected = False
        self.resync_tag = None
        for entry in self.entries_by_id.values():
            entry.cancel_number = 0
            if entry.running and entry.start_number > self.last_received_command:
                entry.lost_start_outcome = lost_start_outcome
                entry.start_number = 0
                self.entries_in_doubt[entry] = None
            if entry.resume_number > self.last_received_command:
                entry.resume_number = 0
                entry.resume_in_doubt = True

    def _command_not_sent(self, command: RunCommand) -> None:
        """Takes back that a command may have been received. The disconnection may be reported only after
        this, and must not put the command in doubt again."""
        entry = self.entries_by_id.get(command.exchange_id)
        if entry is None or not entry.running:
            return
        if isinstance(command, StartRun):
            entry.lost_start_outcome = Outcome.UNREACHED
            entry.start_number = 0
            self.entries_in_doubt[entry] = None
        elif isinstance(command, CancelRun):
            entry.cancel_number = 0
        elif command is entry.resume_command:
            entry.resume_number = 0
            entry.resume_in_doubt = False

    def _settle_entries_in_doubt(self) -> None:
        """After a reconnection, recovers the entries whose commands were lost or may have been."""
        for entry in list(self.entries_by_id.values()):
            is_repeatable = self.settings.groups[entry.request.group].kind is EffectKind.REPEATABLE
            match recovery_step(entry, is_repeatable):
                case RecoveryStep.END_LOST_RUN:
                    self._end_lost_run(entry)
                case RecoveryStep.CANCEL:
                    self._send_cancel(entry)
                case RecoveryStep.START:
                    self._send_start(entry)
                case RecoveryStep.CONTINUE:
                    assert entry.resume_command is not None
                    self._send_resume(entry, entry.resume_command)
                case RecoveryStep.WATCH:
                    self._watch_run(entry)

    def _watch_run(self, entry: ExchangeEntry) -> None:
        """Waits for a sign of a run that may have received the end of its call, or may wait for it."""
        assert self.controller is not None
        patience_ms = self.controller.restart_patience(entry.exchange)
        if patience_ms is not None:
            command = entry.resume_command
            self._add_timer(self.now + patience_ms, lambda: self._restart_if_silent(entry, command))

    def _restart_if_silent(self, entry: ExchangeEntry, command: object) -> None:
        """Cancels a run that has given no sign since the end of its call was put in doubt, to start it
        anew."""
        is_silent = entry.running and entry.resume_in_doubt and entry.resume_command is command
        if not is_silent or entry.answered or entry.cancel_requested or entry.restart_requested:
            return
        logger.warning("a run is started anew: the end of its call may have been lost with the agent's link")
        entry.restart_requested = True
        if self.agent_connected:
            self._send_cancel(entry)

    def _restart(self, entry: ExchangeEntry) -> None:
        assert self.controller is not None
        entry.restart_requested = False
        entry.resume_command = None
        entry.resume_in_doubt = False
        entry.cancel_number = 0
        self.controller.run_restarted(entry.exchange, self.now)
        self._send_start(entry)

    def _end_lost_run(self, entry: ExchangeEntry) -> None:
        """Ends an execution whose start command, or the end of whose call, was lost. The agent never reports
        its end, so it would otherwise count as running, and occupy its capacity, for ever."""
        outcome = entry.lost_start_outcome or Outcome.RESET
        self._answer(entry, Verdict.TERMINATED)
        self._run_ended(entry.request.exchange_id, outcome, 0.0, b"", confirmed=False)

    def _drain_requested(self, requested_at: float) -> None:
        if self.stop_at is not None:
            return
        logger.info("notice to leave, {} exchanges in hand", self.unanswered)
        # Drain grace and stop count from the signal: its message may have waited behind many others.
        self.drain_requested_at = min(requested_at, self.now)
        self.stop_at = self.drain_requested_at + self.stop_ms
        self._add_timer(self.stop_at - CONFLICT_CUTOFF_MS, self._reject_all_conflicts)
        if self.controller is not None:
            grace_end = self.controller.start_drain(self.stop_ms, self.drain_requested_at)
            self._add_timer(grace_end, self._stop_accepting)
        else:
            self.published.healthy = False
            self.report_health(False)
            self._stop_accepting()

    def _stop_accepting(self) -> None:
        """From now on, new exchanges would not be executed."""
        self.published.stopped_accepting = True
        for hook in self.on_stop_accepting:
            hook()

    # Exchanges

    def _exchange_arrived(self, request: ExchangeRequest) -> None:
        if self.controller is None:
            EXCHANGE_TOO_EARLY.log()
            request.send_answer(Answer(request, Verdict.TERMINATED))
            return
        if request.exchange_id in self.executed_identifiers:
            IDENTIFIER_IN_USE.log()
            request.send_answer(Answer(request, Verdict.TERMINATED))
            return
        original = self.cache.find(request, self.now)
        conflicting = self.entries_by_id.get(request.exchange_id)
        if conflicting is None and original is not None and self.cache.is_deduplicated(original):
            # All tries of an exchange have the same body: a different one shows that a foreign key is used.
            conflicting = original if original.request_hash != hash(request.body) else None
        if conflicting is not None:
            self._add_conflict(conflicting, request)
            return
        waited = max(0.0, self.now - request.arrived_at)
        exchange = interface.Exchange(
            group=request.group,
            remaining_time=None if request.caller_timeout is None else request.caller_timeout - waited,
            read_delay=waited,
            memory_kb=request.kb,
            caller=request.caller,
            tenant=request.tenant,
            rank=request.rank,
            names_subject=bool(request.result_key),
            is_from_background=request.is_from_background,
            original=original.exchange if original else None,
        )
        exchange_estimates.estimate_arrival(
            self.retry_estimator, exchange, request.body, request.caller_timeout, self.now
        )
        entry = ExchangeEntry(request, exchange, original)
        self.entries_by_id[request.exchange_id] = entry
        self.entries_by_exchange[exchange] = entry
        self.unanswered += 1
        self.controller.arrived(exchange, self.now)
        self._remove_if_done(entry)

    def _abandoned_by_caller(self, request: ExchangeRequest) -> None:
        entry = self.entries_by_id.get(request.exchange_id)
        self._reject_conflict(request)
        if entry is None or entry.request is not request or entry.answered or self.controller is None:
            return
        self._mark_answered(entry)
        if self.retry_estimator is not None:
            self.retry_estimator.record_abandonment(request.caller, self.now)
        self.controller.caller_left(entry.exchange, self.now)
        self._remove_if_done(entry)

    def _add_conflict(self, entry: ExchangeEntry, request: ExchangeRequest) -> None:
        """Lets a request wait until the agent has accepted or refused `entry`, or its own time is up."""
        replaced = self.conflicts.replaced_by(entry, request)
        if replaced is not None:
            self._reject_conflict(replaced)
        self.unanswered += 1
        if request.conflict_wait_end is None:
            request.conflict_wait_end = self._conflict_wait_end(request)
        timer = self._add_timer(request.conflict_wait_end, partial(self._reject_conflict, request))
        self.conflicts.add(entry, request, timer)
        self._decide_conflicts(entry)

    def _conflict_wait_end(self, request: ExchangeRequest) -> float:
        assert self.controller is not None
        group_timeout_ms = self.settings.groups[request.group].timeout
        return wait_end(request, group_timeout_ms, self.controller.answer_margin_ms, self.now)

    def _decide_conflicts(self, entry: ExchangeEntry) -> None:
        """Rejects the requests that conflict with `entry` once the agent has executed `entry`."""
        if entry.running and 0 < entry.start_number <= self.last_received_command:
            entry.confirmed = True
        if entry.confirmed:
            for request in self.conflicts.requests_waiting_for(entry):
                self._reject_conflict(request)

    def _end_conflict(self, request: ExchangeRequest) -> bool:
        """Ends the wait of a request. Returns whether it was waiting."""
        timer = self.conflicts.remove(request)
        if timer is None:
            return False
        self.timers.cancel(timer)
        self.unanswered -= 1
        return True

    def _reject_all_conflicts(self) -> None:
        for request in list(self.conflicts.awaited):
            self._reject_conflict(request)

    def _reject_conflict(self, request: ExchangeRequest) -> None:
        """Terminates a request, if it still waits for the exchange that it conflicts with."""
        if self._end_conflict(request):
            IDENTIFIER_IN_USE.log()
            request.send_answer(Answer(request, Verdict.TERMINATED))

    def _run_reported(self, report: RunEnded) -> None:
        """The agent reports the end of a run: it was to be started anew, or its exchange ends."""
        entry = self.entries_by_id.get(report.exchange_id)
        is_restarting = entry is not None and entry.running and entry.restart_requested
        if entry is not None and is_restarting and not entry.answered and report.outcome is Outcome.CANCELLED:
            self._restart(entry)
        else:
            self._run_ended(
                report.exchange_id, report.outcome, report.duration, report.result, not report.refused
            )

    def _run_ended(
        self, exchange_id: str, outcome: Outcome, duration: float, result: bytes, confirmed: bool
    ) -> None:
        entry = self.entries_by_id.get(exchange_id)
        if entry is None or not entry.running:
            return
        entry.running = False
        entry.confirmed = confirmed
        entry.resume_command = None
        self._cancel_call(entry)
        self.entries_in_doubt.pop(entry, None)
        self._finish(entry, outcome, duration, result)

    def _finish(self, entry: ExchangeEntry, outcome: Outcome, duration: float, result: bytes) -> None:
        """Records the outcome, answers the entry and its waiters, and evicts what no other may share."""
        assert self.controller is not None
        entry.outcome = outcome
        if outcome not in PROVEN_NOT_EXECUTED and self._is_mutating(entry):
            self.executed_identifiers.add(entry.request.exchange_id)
        entry.ended_at = self.now
        entry.result = result
        if outcome is Outcome.OK:
            self._answer(entry, Verdict.COMPLETED, result=result)
        elif outcome is Outcome.ERROR:
            self._answer(entry, Verdict.TERMINATED)
        self.controller.run_ended(entry.exchange, outcome, duration, self.now)
        if outcome is Outcome.NOT_STARTED:
            self._answer(entry, Verdict.TERMINATED)
        for waiter in entry.waiters:
            self._share_result(waiter, entry)
        entry.waiters.clear()
        if outcome is not Outcome.OK and not (
            self.cache.is_deduplicated(entry) and outcome not in PROVEN_NOT_EXECUTED
        ):
            self.cache.evict(entry)
        self._remove_if_done(entry)

    def _is_mutating(self, entry: ExchangeEntry) -> bool:
        return self.settings.groups[entry.request.group].kind is EffectKind.MUTATING

    def _answer(
        self,
        entry: ExchangeEntry,
        verdict: Verdict,
        result: bytes = b"",
        retry_after: float = 0.0,
        no_other_backend: bool = False,
    ) -> None:
        """Gives the final answer, unless one was given before."""
        if not entry.answered:
            self._mark_answered(entry)
            exchange_estimates.record_answer(
                self.retry_estimator,
                entry.exchange,
                entry.request.body,
                verdict is not Verdict.COMPLETED,
                retry_after,
                self.published.published_value,
                self.now,
            )
            self._cancel_call(entry)
            entry.request.send_answer(Answer(entry.request, verdict, result, retry_after, no_other_backend))

    def _mark_answered(self, entry: ExchangeEntry) -> None:
        entry.answered = True
        self.unanswered -= 1

    def _remove_if_done(self, entry: ExchangeEntry) -> None:
        """Removes `entry` from the table once it is answered and not running."""
        if (
            entry.answered
            and not entry.running
            and self.entries_by_id.get(entry.request.exchange_id) is entry
        ):
            del self.entries_by_id[entry.request.exchange_id]
            del self.entries_by_exchange[entry.exchange]
            # Breaks a reference cycle, or the two would wait for the collector.
            entry.exchange.controller_state = None
            if self.cache.is_deduplicated(entry):
                entry.request.body = b""  # the entry may stay in the cache for long
            if entry.outcome is None:
                # It was never executed: retries must not share it, and its waiters would wait in vain.
                self.cache.evict(entry)
                for waiter in entry.waiters:
                    self._add_timer(self.now, partial(self._share_result, waiter, None))
                entry.waiters.clear()
            self._decide_conflicts(entry)
            for request in self.conflicts.release(entry):
                self._add_timer(self.now, partial(self._readmit, request))

    def _readmit(self, request: ExchangeRequest) -> None:
        """Admits a request once the entry it conflicted with is gone and was not genuine, or never ran."""
        if self._end_conflict(request):  # its caller has not left meanwhile
            self._exchange_arrived(request)

    # Operations that the controller asks for

    def _execute(self, operation: interface.Operation) -> None:
        match operation:
            case interface.Start(exchange):
                entry = self.entries_by_exchange[exchange]
                entry.running = True
                self._send_start(entry)
            case interface.Cancel(exchange):
                entry = self.entries_by_exchange[exchange]
                entry.cancel_requested = True
                if self.agent_connected:
                    self._send_cancel(entry)
            case interface.ReleaseRun(exchange):
                entry = self.entries_by_exchange[exchange]
                entry.released = True
                if entry.is_in_doubt():
                    self._end_lost_run(entry)
            case interface.Deny(exchange, last, wait):
                self._answer(
                    self.entries_by_exchange[exchange],
                    Verdict.DENIED,
                    retry_after=wait,
                    no_other_backend=last,
                )
                self._remove_if_done(self.entries_by_exchange[exchange])
            case interface.Fail(exchange):
                self._answer(self.entries_by_exchange[exchange], Verdict.TERMINATED)
                self._remove_if_done(self.entries_by_exchange[exchange])
            case interface.Publish(value):
                self.published.published_value = value
            case interface.SetHealth(healthy, _):
                # During a drain the backend stays unhealthy, even if the agent connects only then.
                healthy = healthy and self.stop_at is None
                if healthy != self.published.healthy:
                    logger.info("health is {}", "good" if healthy else "bad")
                self.published.healthy = healthy
                self.report_health(healthy)
            case interface.SetIdleTimeout(idle_limit):
                self.published.idle_limit = idle_limit
            case interface.SetTimer(name, delay):
                # Counted from when the last one was due, or each wait for gauges would lengthen the interval.
                since = self.alarm_due if self.now - self.alarm_due < delay else self.now
                self.alarm = (name, delay)
                self.alarm_due = since + delay
                self._add_timer(self.alarm_due, self._alarm_is_due)
            case interface.Log(text):
                logger.info("{}", text)
            case interface.CacheResult(exchange, window):
                self.cache.store(self.entries_by_exchange[exchange], self.now + window)
            case interface.EvictResult(exchange):
                self.cache.evict(self.entries_by_exchange[exchange])
            case interface.AwaitOriginal(exchange):
                self._wait_for_original(self.entries_by_exchange[exchange])
            case interface.Call(exchange, timeout):
                entry = self.entries_by_exchange[exchange]
                entry.call_started_at = self.now
                self._send_to_dependency(StartCall(entry.request.exchange_id, timeout, entry.call_body))
            case interface.SkipCall(exchange):
                entry = self.entries_by_exchange[exchange]
                self._send_resume(entry, SkipCall(entry.request.exchange_id))

    def _send_start(self, entry: ExchangeEntry) -> None:
        if self.agent_connected:
            group_name = self.settings.groups[entry.request.group].name
            entry.start_number = self.next_number()
            entry.lost_start_outcome = None
            self.entries_in_doubt.pop(entry, None)
            self.send_to_agent(StartRun(entry.request.exchange_id, group_name, entry.request.body))
        else:
            entry.lost_start_outcome = Outcome.UNREACHED
            self.entries_in_doubt[entry] = None

    def _send_cancel(self, entry: ExchangeEntry) -> None:
        entry.cancel_number = self.next_number()
        self.send_to_agent(CancelRun(entry.request.exchange_id))

    # Calls to the dependency: the execution waits until its call has ended and the result was handed on

    def _call_requested(self, exchange_id: str, body: bytes) -> None:
        entry = self.entries_by_id.get(exchange_id)
        if entry is None or not entry.running or entry.call_started_at is not None or self.controller is None:
            return
        if entry.restart_requested:
            return  # the run is being cancelled, and asks again after its new start
        if self.send_to_dependency is None:
            logger.warning("an execution asks for a dependency call, and the settings name no dependency")
            return
        entry.call_body = body
        entry.resume_command = None
        entry.resume_in_doubt = False
        entry.lost_start_outcome = None
        entry.start_number = 0
        entry.confirmed = True
        self.entries_in_doubt.pop(entry, None)
        self._decide_conflicts(entry)
        self.controller.call_reached(entry.exchange, self.now)

    def _call_ended(self, exchange_id: str, outcome: Outcome, result: bytes) -> None:
        entry = self.entries_by_id.get(exchange_id)
        if entry is None or entry.call_started_at is None or self.controller is None:
            return
        duration = self.now - entry.call_started_at
        entry.call_started_at = None
        if outcome is Outcome.OK:
            self._send_resume(entry, DeliverCallResult(exchange_id, result))
        self.controller.call_ended(entry.exchange, outcome, duration, self.now)

    def _send_resume(self, entry: ExchangeEntry, command: DeliverCallResult | SkipCall) -> None:
        """Continues an execution that waits at its call. The command is kept until the agent reports more,
        and sent after a reconnection if there was no connection."""
        entry.resume_command = command
        entry.resume_in_doubt = False
        entry.resume_number = self.next_number() if self.agent_connected else 0
        if self.agent_connected:
            self.send_to_agent(command)

    def _cancel_call(self, entry: ExchangeEntry) -> None:
        if entry.call_started_at is not None:
            entry.call_started_at = None
            self._send_to_dependency(CancelCall(entry.request.exchange_id))

    def _send_to_dependency(self, command: DependencyCommand) -> None:
        assert self.send_to_dependency is not None  # without a dependency no call reaches the controller
        self.send_to_dependency(command)

    # Timers and gauges

    def _add_timer(self, due: float, callback: TimerCallback) -> Timer:
        return self.timers.add(due, callback)

    def _alarm_is_due(self) -> None:
        """Requests the gauges: the controller's alarm fires with them, or one delay later without them."""
        tag = self.tick_tag = self._request_sample(TICK_TAG)
        self._add_timer(self.now + self.alarm[1], lambda: self._gauges_sampled(tag, Gauges(), timed_out=True))
        self._tick()
        self.cache.evict_expired(self.now)

    def _request_sample(self, kind: str) -> str:
        """Requests a sample of the gauges, if the agent is connected. Returns its tag."""
        number = self.next_number()
        if self.agent_connected:
            self.last_sample_command = number
            self.send_to_agent(SampleGauges(f"{kind}{number}"))
        return f"{kind}{number}"

    def _sample_number(self, tag: str) -> int | None:
        """The number of the sample command with this tag, if it was sent on the present connection."""
        digits = tag[1:]
        if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_TAG_DIGITS):
            return None
        number = int(digits)
        return number if self.connected_at_command < number <= self.last_sample_command else None

    def _tick(self) -> None:
        if self.controller is not None:
            self.published.tick_delay = max(0.0, self.now - self.alarm_due)
            self.published.warmth = self.controller.warmth()
        for hook in self.on_tick:
            hook(self.now)

    def _tick_until_start(self) -> None:
        """Runs the hooks before the start as well: they maintain connections and reports."""
        if self.controller is None:
            self._tick()
            self._add_timer(self.now + IDLE_TICK_MS, self._tick_until_start)

    def _gauges_sampled(self, tag: str, gauges: Gauges, timed_out: bool = False) -> None:
        number = None if timed_out else self._sample_number(tag)
        if number is not None:
            # The agent reads commands in order: it has received all that were sent before this one. A sample
            # that is too late for its tick tells this too, or a slow link would never confirm anything.
            self.last_received_command = number
            for entry in list(self.conflicts.waiting):
                self._decide_conflicts(entry)
            for entry in list(self.entries_in_doubt):
                if 0 < entry.cancel_number <= self.last_received_command:
                    self._end_lost_run(entry)
        if tag == self.resync_tag:
            self.resync_tag = None
            self._settle_entries_in_doubt()
        elif tag == self.tick_tag and self.controller is not None:
            self.tick_tag = None
            if self.retry_estimator is not None:
                gauges.is_retry_storm = self._check_for_storm(self.retry_estimator)
            self.controller.sample_due(self.alarm[0], gauges, self.now)

    # The retry estimator

    def _configure_retry_estimator(self, options: RetryOptions | None) -> None:
        """Turns the estimator on or off, or changes its options. What it has learned stays as far as it fits
        the new ones; turning it off ends a storm."""
        if options is None:
            self.retry_estimator = None
            self._log_storm(None)
        elif self.retry_estimator is None:
            timeouts = [group.timeout for group in self.settings.groups]
            self.retry_estimator = RetryEstimator(timeouts, self.settings.seed, options, self.now)
        else:
            self.retry_estimator.change_options(options)

    def _check_for_storm(self, estimator: RetryEstimator) -> bool:
        status = estimator.update_storm_status(self.now)
        self._log_storm(status)
        return status.storm

    def _log_storm(self, status: StormStatus | None) -> None:
        for line in self.storm_log.lines(status, self.published.published_value, self.now):
            logger.info("{}", line)

    # Shared results: of reads of the same subject, and of retries of deduplicated exchanges

    def _wait_for_original(self, entry: ExchangeEntry) -> None:
        """Answers `entry` with the result of its original exchange, now or when that has ended."""
        original = entry.original
        if original is not None and original.outcome is None:
            original.waiters.append(entry)
        else:
            self._add_timer(self.now, lambda: self._share_result(entry, original))

    def _share_result(self, entry: ExchangeEntry, original: ExchangeEntry | None) -> None:
        if not entry.answered:
            completed = original is not None and original.outcome is Outcome.OK
            outcome = Outcome.OK if completed else Outcome.ERROR
            self._finish(entry, outcome, 0.0, original.result if original else b"")
