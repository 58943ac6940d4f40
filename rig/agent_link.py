"""The core's actor against an agent behind a slow link that breaks, on the virtual clock.

The agent keeps its protocol to the letter: a command that continues a run names only the exchange, and the
agent takes it for the call at which the run waits when the command arrives. It records each run that was
continued with what belongs to another call, and each second run of an exchange that may run only once."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from myrtlecrank.core.actor import Core
from myrtlecrank.core.connection_errors import CloseReason
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
    ExchangeArrived,
    ExchangeRequest,
    ExchangesAbandoned,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    SkipCall,
    StartCall,
    StartRun,
    Verdict,
)
from myrtlecrank.policy.interface import (
    Cancellation,
    ControllerSettings,
    DependencyKind,
    EffectKind,
    EndpointGroup,
    Gauges,
    Outcome,
)
from rig.clock import Clock

ANSWER_SLACK_MS = 60.0
MACHINE_UPTIME_MS = 60_000.0
GAUGES = Gauges(cpu=0.5, on_cores=2.0, memory=0.2, connections=4.0)
FAILED_CALL = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.REJECTED)


@dataclass(frozen=True)
class LinkScenario:
    """What is drawn for one run. Times are milliseconds."""

    length_ms: float = 10_000.0
    exchanges_per_s: float = 40.0
    command_delay_ms: float = 15.0
    notice_delay_ms: float = 15.0
    break_interval_ms: float = 500.0  # mean
    reconnect_ms: float = 20.0
    failed_calls: float = 0.1  # share
    abandoned: float = 0.05  # share of the exchanges whose caller goes away
    cancellation: Cancellation = Cancellation.DROP
    benefit_without_call: float = 0.5
    late_commands: bool = False  # what is on its way at a break still arrives, until the next link is there

    @staticmethod
    def draw(random: Random) -> LinkScenario:
        """Draws a scenario: quick and slow links, rare and frequent breaks, with and without cancellation."""
        return LinkScenario(
            command_delay_ms=random.choice([0.3, 5.0, 15.0, 50.0]),
            notice_delay_ms=random.choice([0.3, 5.0, 15.0, 50.0, 120.0]),
            break_interval_ms=random.choice([200.0, 500.0, 2000.0]),
            reconnect_ms=random.choice([20.0, 20.0, 250.0]),
            failed_calls=random.choice([0.0, 0.1, 0.4]),
            abandoned=random.choice([0.0, 0.05, 0.2]),
            cancellation=random.choice([Cancellation.DROP, Cancellation.DROP, Cancellation.NONE]),
            benefit_without_call=random.choice([0.0, 0.5]),
            late_commands=random.random() < 0.3,
        )


@dataclass
class LinkFigures:
    """What one run counted, seen from outside."""

    exchanges: int = 0
    completed: int = 0
    denied: int = 0
    terminated: int = 0
    unanswered: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    answered_twice: list[str] = field(default_factory=list)
    ran_twice: list[str] = field(default_factory=list)
    denied_after_run: list[str] = field(default_factory=list)
    continued_wrongly: list[str] = field(default_factory=list)
    completed_wrongly: list[str] = field(default_factory=list)
    held_at_end: list[str] = field(default_factory=list)
    running_at_end: int = 0
    breaks: int = 0

    def violations(self) -> dict[str, int]:
        """The number of cases for each rule that was broken."""
        counts = {
            "unanswered": len(self.unanswered),
            "late": len(self.late),
            "answered_twice": len(self.answered_twice),
            "ran_twice": len(self.ran_twice),
            "denied_after_run": len(self.denied_after_run),
            "continued_wrongly": len(self.continued_wrongly),
            "completed_wrongly": len(self.completed_wrongly),
            "held_at_end": len(self.held_at_end) + self.running_at_end,
        }
        return {rule: number for rule, number in counts.items() if number}


@dataclass(eq=False)
class Run:
    """One run of an exchange at the agent."""

    exchange_id: str
    number: int  # 1 for the first run of its exchange
    calls: int
    results: list[bytes] = field(default_factory=list)
    call_body: bytes | None = None  # while the run waits at a call

    def next_call_body(self) -> bytes:
        """Names exchange, run and call, so that no two calls ask the same."""
        return f"{self.exchange_id} run {self.number} call {len(self.results) + 1}".encode()

    def result(self) -> bytes:
        """What the run brings when it ends: the results of its calls."""
        return b"; ".join([f"{self.exchange_id} run {self.number}".encode(), *self.results])


def result_of_call(body: bytes) -> bytes:
    """What the dependency answers to a call."""
    return b"answer to " + body


class Agent:
    """Runs exchanges and numbers its notices; it goes on while there is no link."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        figures: LinkFigures,
        group_of: Callable[[str], EndpointGroup],
        calls_of: Callable[[str], int],
        is_over: Callable[[str], bool],
    ) -> None:
        self.clock = clock
        self.random = random
        self.figures = figures
        self.group_of = group_of
        self.calls_of = calls_of
        self.is_over = is_over  # whether an exchange was answered, or abandoned by its caller
        self.runs: dict[str, Run] = {}
        self.runs_started: Counter[str] = Counter()
        self.notices: list[CoreEvent] = []
        self.on_notice: Callable[[], None] = lambda: None
        self.skipped_calls: dict[int, bytes] = {}  # by the identity of the command that skips it

    def handle(self, command: AgentCommand) -> CoreEvent | None:
        """Carries out a command that has arrived; returns what is answered on the link alone."""
        match command:
            case SampleGauges(tag):
                return GaugesSampled(tag, GAUGES)
            case StartRun(exchange_id):
                self._start(exchange_id)
            case CancelRun(exchange_id):
                run = self.runs.get(exchange_id)
                if run is not None:
                    self._end(run, Outcome.CANCELLED)
            case DeliverCallResult(exchange_id, result):
                self._continue(exchange_id, result)
            case SkipCall(exchange_id):
                self._continue(exchange_id, result_of_call(self.skipped_calls[id(command)]))
        return None

    def _start(self, exchange_id: str) -> None:
        if exchange_id in self.runs:
            return
        if self.is_over(exchange_id):
            self._notify(RunEnded(exchange_id, Outcome.NOT_STARTED, 0.0, b""))
            return
        self.runs_started[exchange_id] += 1
        if (
            self.runs_started[exchange_id] > 1
            and self.group_of(exchange_id).kind is not EffectKind.REPEATABLE
        ):
            self.figures.ran_twice.append(exchange_id)
        run = Run(exchange_id, self.runs_started[exchange_id], self.calls_of(exchange_id))
        self.runs[exchange_id] = run
        self._work(run)

    def _work(self, run: Run) -> None:
        """Lets the run use the cores until its next call or its end."""
        self.clock.call_later(self.random.choice([5.0, 20.0, 60.0, 200.0]), lambda: self._after_work(run))

    def _after_work(self, run: Run) -> None:
        if self.runs.get(run.exchange_id) is not run:
            return
        if len(run.results) == run.calls:
            self._end(run, Outcome.OK, run.result())
        elif self.is_over(run.exchange_id):
            self._end(run, Outcome.CANCELLED)
        else:
            run.call_body = run.next_call_body()
            self._notify(CallRequested(run.exchange_id, run.call_body))

    def _continue(self, exchange_id: str, result: bytes) -> None:
        run = self.runs.get(exchange_id)
        if run is None or run.call_body is None:
            return  # refused
        if result != result_of_call(run.call_body):
            self.figures.continued_wrongly.append(f"{run.call_body.decode()}: {result.decode()}")
        run.call_body = None
        run.results.append(result)
        self._work(run)

    def end_if_waiting(self, exchange_id: str) -> None:
        """Ends a run that waits at a call, as its exchange is over."""
        run = self.runs.get(exchange_id)
        if run is not None and run.call_body is not None:
            self._end(run, Outcome.CANCELLED)

    def _end(self, run: Run, outcome: Outcome, result: bytes = b"") -> None:
        del self.runs[run.exchange_id]
        self._notify(RunEnded(run.exchange_id, outcome, 10.0, result))

    def _notify(self, notice: CoreEvent) -> None:
        self.notices.append(notice)
        self.on_notice()


class Link:
    """The client of the agent and its link: delays both directions; a break loses what is on its way."""

    def __init__(
        self, clock: Clock, scenario: LinkScenario, agent: Agent, post_event: Callable[[CoreEvent], None]
    ) -> None:
        self.clock = clock
        self.scenario = scenario
        self.agent = agent
        self.post_event = post_event
        self.session = 0
        self.agent_session = 0  # the newest that the agent has seen
        self.is_subscribed = False  # the agent has a link to send its notices on
        self.is_greeted = False  # the client has read the greeting
        self.read_notices = 0  # by the client
        self.sent_notices = 0  # by the agent, on this session or an earlier one
        agent.on_notice = self._send_notices

    def open(self) -> None:
        """Connects, and subscribes from the last notice that was read."""
        self.session += 1
        self._to_agent(self._greet)

    def _greet(self) -> None:
        self.is_subscribed = True
        self.agent_session = self.session
        self.sent_notices = self.read_notices
        self._to_client(self._greeted)
        self._send_notices()

    def _greeted(self) -> None:
        self.is_greeted = True
        self.post_event(AgentConnected(False, MACHINE_UPTIME_MS + self.clock.now))

    def _send_notices(self) -> None:
        if not self.is_subscribed:
            return
        for notice in self.agent.notices[self.sent_notices :]:
            self._to_client(lambda notice=notice: self._read(notice))  # type: ignore[misc]
        self.sent_notices = len(self.agent.notices)

    def _read(self, notice: CoreEvent) -> None:
        self.read_notices += 1
        self.post_event(notice)

    def send(self, command: AgentCommand) -> None:
        """Sends a command of the core, or reports that there is no link."""
        if not self.is_greeted:
            if not isinstance(command, SampleGauges):
                self.post_event(CommandsNotSent([command]))
            return
        self._to_agent(lambda: self._handle(command))

    def _handle(self, command: AgentCommand) -> None:
        answer = self.agent.handle(command)
        if answer is not None and self.is_greeted:
            self._to_client(lambda: self.post_event(answer))

    def cut(self) -> None:
        """Breaks the link, and opens another after a pause."""
        if not self.is_greeted:
            return
        self.session += 1
        self.is_subscribed = False
        self.is_greeted = False
        self.post_event(AgentDisconnected(CloseReason.RESET_BY_PEER))
        self.clock.call_later(self.scenario.reconnect_ms, self.open)

    def _to_agent(self, arrive: Callable[[], None]) -> None:
        session = self.session

        def arrives() -> None:
            may_be_late = self.scenario.late_commands and self.agent_session <= session
            if self.session == session or may_be_late:
                arrive()

        self.clock.call_later(self.scenario.command_delay_ms, arrives)

    def _to_client(self, arrive: Callable[[], None]) -> None:
        session = self.session

        def arrives() -> None:
            if self.session == session:
                arrive()

        self.clock.call_later(self.scenario.notice_delay_ms, arrives)


class LinkSimulation:
    """One run: callers, the core's actor, its agent behind a link, and the dependency."""

    def __init__(self, seed: int, scenario: LinkScenario | None = None) -> None:
        self.random = Random(seed)
        self.scenario = scenario or LinkScenario.draw(self.random)
        self.clock = Clock()
        self.figures = LinkFigures()
        self.settings = self._settings(seed)
        self.requests: dict[str, ExchangeRequest] = {}
        self.calls: dict[str, int] = {}
        self.answers: dict[str, Answer] = {}
        self.abandoned: set[str] = set()
        self.events: list[CoreEvent] = []
        self.next_batch_at = float("inf")
        self.pending_calls: dict[str, StartCall] = {}
        self.kept_commands: list[SkipCall] = []  # alive, as the agent knows them by their identity
        self.core = Core(
            self.settings,
            stop_ms=10_000.0,
            send_to_agent=self._send_to_agent,
            report_health=lambda _: None,
            now=0.0,
            send_to_dependency=self._send_to_dependency,
        )
        self.agent = Agent(
            self.clock,
            self.random,
            self.figures,
            lambda exchange_id: self.settings.groups[self.requests[exchange_id].group],
            lambda exchange_id: self.calls[exchange_id],
            lambda exchange_id: exchange_id in self.answers or exchange_id in self.abandoned,
        )
        self.link = Link(self.clock, self.scenario, self.agent, self._post)
        # Whether the agent ends runs that wait at a call of an exchange that is over.
        can_cancel = self.scenario.cancellation is not Cancellation.NONE
        self.agent_hears_of_ends = not can_cancel or self.random.random() < 0.5

    def _settings(self, seed: int) -> ControllerSettings:
        groups = [
            EndpointGroup(
                name=kind.value,
                kind=kind,
                slo=1000.0,
                timeout=3000.0,
                benefit=1.0,
                late_benefit=0.2,
                deduplication_window=5000.0,
                may_call=True,
                benefit_without_call=self.scenario.benefit_without_call,
            )
            for kind in EffectKind
        ]
        return ControllerSettings(
            seed=seed,
            groups=groups,
            cores=8,
            memory_kb=100_000.0,
            running_memory_multiple=10.0,
            key_kb=1.0,
            survivable_concurrency_per_core=8.0,
            survivable_concurrency_window=2000.0,
            cold=False,
            cold_capacity=0.2,
            warm_up_time=10_000.0,
            drain_grace=1000.0,
            answer_slack=ANSWER_SLACK_MS,
            clock_granularity=2.0,
            cancellation=self.scenario.cancellation,
            max_retry_after=1000.0,
            dependency=DependencyKind.SHARED,
            call_limit=16.0,
            call_limit_window=5000.0,
            abandoned_call_time=200.0,
        )

    # The core's actor on the clock

    def _post(self, event: CoreEvent) -> None:
        self.events.append(event)
        self._schedule_batch(self.clock.now)

    def _schedule_batch(self, at: float) -> None:
        if at < self.next_batch_at:
            self.next_batch_at = at
            self.clock.call_at(at, lambda: self._process_batch(at))

    def _process_batch(self, at: float) -> None:
        if at != self.next_batch_at:
            return
        self.next_batch_at = float("inf")
        events, self.events = self.events, []
        self.core.process_batch(events, self.clock.now)
        due = self.core.timers.next_due()
        if due is not None:
            self._schedule_batch(max(self.clock.now, due))

    def _send_to_agent(self, command: AgentCommand) -> None:
        if isinstance(command, SkipCall) and id(command) not in self.agent.skipped_calls:
            body = self.core.entries_by_id[command.exchange_id].call_body
            self.agent.skipped_calls[id(command)] = body
            self.kept_commands.append(command)
        self.link.send(command)

    # The dependency

    def _send_to_dependency(self, command: DependencyCommand) -> None:
        if isinstance(command, CancelCall):
            self.pending_calls.pop(command.exchange_id, None)
            return
        self.pending_calls[command.exchange_id] = command
        self.clock.call_later(self.random.choice([1.0, 20.0, 80.0]), lambda: self._end_call(command))

    def _end_call(self, call: StartCall) -> None:
        if self.pending_calls.get(call.exchange_id) is not call:
            return
        del self.pending_calls[call.exchange_id]
        if self.random.random() < self.scenario.failed_calls:
            self._post(CallEnded(call.exchange_id, self.random.choice(FAILED_CALL), b""))
        else:
            self._post(CallEnded(call.exchange_id, Outcome.OK, result_of_call(call.body)))

    # Callers

    def _arrive(self) -> None:
        exchange_id = f"{len(self.requests):016x}"
        request = ExchangeRequest(
            exchange_id=exchange_id,
            group=self.random.randrange(len(self.settings.groups)),
            tenant=0,
            arrived_at=self.clock.now,
            caller_timeout=self.random.choice([300.0, 1000.0, 3000.0]),
            kb=10.0,
            rank=0.0,
            caller=1,
            result_key=exchange_id,
            body=exchange_id.encode(),
            send_answer=self._answered,
        )
        self.requests[exchange_id] = request
        self.calls[exchange_id] = self.random.choice([0, 1, 2, 3])
        self.figures.exchanges += 1
        self._post(ExchangeArrived(request))
        if self.random.random() < self.scenario.abandoned:
            self.clock.call_later(self.random.uniform(0.0, 500.0), lambda: self._abandon(request))
        if self.clock.now < self.scenario.length_ms:
            self.clock.call_later(
                self.random.expovariate(self.scenario.exchanges_per_s / 1000.0), self._arrive
            )

    def _abandon(self, request: ExchangeRequest) -> None:
        if request.exchange_id not in self.answers:
            self.abandoned.add(request.exchange_id)
            self._post(ExchangesAbandoned([request]))
            if self.agent_hears_of_ends:
                self.agent.end_if_waiting(request.exchange_id)

    def _answered(self, answer: Answer) -> None:
        request, figures = answer.request, self.figures
        exchange_id = request.exchange_id
        if exchange_id in self.answers:
            figures.answered_twice.append(exchange_id)
            return
        self.answers[exchange_id] = answer
        assert request.caller_timeout is not None
        if self.clock.now > request.arrived_at + request.caller_timeout + ANSWER_SLACK_MS:
            figures.late.append(exchange_id)
        match answer.verdict:
            case Verdict.COMPLETED:
                figures.completed += 1
                if answer.result not in self._possible_results(exchange_id):
                    figures.completed_wrongly.append(f"{exchange_id}: {answer.result.decode()}")
            case Verdict.DENIED:
                figures.denied += 1
                kind = self.settings.groups[request.group].kind
                if self.agent.runs_started[exchange_id] and kind is not EffectKind.REPEATABLE:
                    figures.denied_after_run.append(exchange_id)
            case Verdict.TERMINATED:
                figures.terminated += 1
        if self.agent_hears_of_ends:
            self.agent.end_if_waiting(exchange_id)

    def _possible_results(self, exchange_id: str) -> list[bytes]:
        """The results that the runs of an exchange may have, each from its own calls."""
        results = []
        for number in range(1, self.agent.runs_started[exchange_id] + 1):
            run = Run(exchange_id, number, self.calls[exchange_id])
            while len(run.results) < run.calls:
                run.results.append(result_of_call(run.next_call_body()))
            results.append(run.result())
        return results

    # The run

    def _break(self) -> None:
        self.figures.breaks += 1
        self.link.cut()
        self._schedule_break()

    def _schedule_break(self) -> None:
        wait_ms = self.random.expovariate(1.0 / self.scenario.break_interval_ms)
        if self.clock.now + wait_ms < self.scenario.length_ms:
            self.clock.call_later(wait_ms, self._break)

    def run(self) -> LinkFigures:
        """Plays until long after the last exchange was due, and returns what was counted."""
        self._schedule_batch(0.0)
        self.link.open()
        self.clock.call_later(200.0, self._arrive)
        self.clock.call_later(200.0, self._schedule_break)
        longest_ms = max(group.timeout for group in self.settings.groups)
        self.clock.run_until(self.scenario.length_ms + 2.0 * longest_ms)
        figures = self.figures
        figures.unanswered = [
            exchange_id
            for exchange_id in self.requests
            if exchange_id not in self.answers and exchange_id not in self.abandoned
        ]
        figures.held_at_end = list(self.core.entries_by_id)
        figures.running_at_end = len(self.core.controller.running) if self.core.controller else 0
        return figures


def play(seed: int, scenario: LinkScenario | None = None) -> LinkFigures:
    """Plays one seed."""
    return LinkSimulation(seed, scenario).run()
