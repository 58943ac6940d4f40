"""Starts the actors of one backend and waits until the backend has drained."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Flag
from loguru import logger

from myrtlecrank import log
from myrtlecrank.agent.client import AgentClient
from myrtlecrank.configuration import Configuration, ConfigurationError
from myrtlecrank.core.actor import Core
from myrtlecrank.core.clock import now_ms
from myrtlecrank.core.messages import DrainRequested, RetryOptionsChanged
from myrtlecrank.dependency.client import DependencyClient
from myrtlecrank.edge.server import EdgeServer
from myrtlecrank.membership_list.client import MembershipListClient
from myrtlecrank.operators.file import OperatorsFileError
from myrtlecrank.signals import SIGNALS
from myrtlecrank.subsystems import SECTIONS, OperatorOptions

if TYPE_CHECKING:
    from myrtlecrank.fleet.actor import FleetActor

EXIT_INTERNAL_ERROR = 70  # EX_SOFTWARE of sysexits.h
DRAIN_POLL_S = 0.02
EXIT_MARGIN_MS = 60.0  # the process exits this long before the platform would kill it
MAX_LOGGED_MISTAKES = 5  # of one invalid operators' file
MAX_LOGGED_CHARS = 300  # of one mistake
MAX_LOGGED_NAME_CHARS = 40
MAX_LOGGED_KEYS_CHARS = 200
DEPENDENCY_SILENCE_SLO_SHARE = 0.5  # of the shortest SLO time: how long the dependency may stay silent


@dataclass(frozen=True, slots=True)
class _Actors:
    core: Core
    agent: AgentClient
    membership_list: MembershipListClient
    dependency: DependencyClient | None
    edge: EdgeServer
    fleet: FleetActor | None


class _Reloader:
    """Reads the configuration and the operators' file again on SIGHUP, and applies what may change in a
    running process."""

    def __init__(
        self,
        configuration: Configuration,
        operator_options: OperatorOptions,
        read_configuration: Callable[[], Configuration],
        load_operator_options: Callable[[], OperatorOptions],
        actors: _Actors,
    ) -> None:
        self.configuration = configuration  # as it was at the start
        self.operator_options = operator_options  # as they were last applied
        self.read_configuration = read_configuration
        self.load_operator_options = load_operator_options
        self.actors = actors

    def reload(self) -> None:
        self._reload_configuration()
        self._reload_operator_options()

    def _reload_configuration(self) -> None:
        """Applies new addresses of the agent, the membership list and the dependency; every other setting
        stays as it was at the start."""
        try:
            new = self.read_configuration()
        except ConfigurationError as error:
            logger.error("the old configuration goes on: {}", error)
            return
        if new.name != self.configuration.name:
            logger.error(
                "the old configuration goes on: the new one is for {!r}", new.name[:MAX_LOGGED_NAME_CHARS]
            )
            return
        ignored = self.configuration.changes_needing_restart(new)
        if ignored:
            logger.warning(
                "these take a new start and stay as they were: {}", ", ".join(ignored)[:MAX_LOGGED_KEYS_CHARS]
            )
        logger.info(
            "configuration read: agent {}:{}, list {}:{}", *new.agent_address, *new.membership_list_address
        )
        if self.actors.dependency is not None and new.dependency_address is not None:
            logger.info("configuration read: layer below {}:{}", *new.dependency_address)
            self.actors.dependency.change_address(new.dependency_address)
        self.actors.agent.change_address(new.agent_address)
        self.actors.membership_list.change_address(new.membership_list_address)

    def _reload_operator_options(self) -> None:
        """Applies the operators' file whole, or not at all where it has a mistake."""
        try:
            new = self.load_operator_options()
        except OperatorsFileError as error:
            for line in str(error).splitlines()[:MAX_LOGGED_MISTAKES]:
                logger.error("the old operators' file goes on: {}", line[:MAX_LOGGED_CHARS])
            return
        changed = self.operator_options.changed_sections(new)
        if changed:
            logger.info("operators' file read: changed are {}", ", ".join(changed))
            self.actors.core.mailbox.post(RetryOptionsChanged(new.repeats))
            self.actors.edge.set_accept_rate(new.accepting)
            if self.actors.fleet is not None and new.fleet is not None:
                self.actors.fleet.apply_options(new.fleet)
            elif "fleet" in changed:
                logger.warning("[fleet] takes a new start and stays as it was")
        self.operator_options = new


def _wait_until_drained(actors: _Actors) -> None:
    """Waits until every exchange is answered, no caller is connected and the last report to the membership
    list was OUT, or until the time to stop is nearly over; then flushes and closes the connections."""
    core = actors.core
    edge = actors.edge
    while now_ms() < (core.stop_at or 0.0) - EXIT_MARGIN_MS:
        if not core.unanswered and edge.is_empty() and actors.membership_list.last_reported is False:
            break
        gevent.sleep(DRAIN_POLL_S)
    logger.info("leaves with {} exchanges, {} connections", core.unanswered, len(edge.connections))
    edge.flush_and_close()


def serve(
    configuration: Configuration,
    operator_options: OperatorOptions,
    read_configuration: Callable[[], Configuration],
    load_operator_options: Callable[[], OperatorOptions],
) -> int:
    """Runs one backend until it has drained after SIGTERM or SIGINT, and returns the exit code.

    On SIGHUP, `read_configuration` and `load_operator_options` read the two files again. Raises OSError where
    the listen address cannot be bound.
    """
    log.to_stderr()
    # The addresses are numeric: the blocking resolver needs no thread pool.
    gevent.config.resolver = "block"
    agent: AgentClient
    core: Core
    membership_list = MembershipListClient(configuration.membership_list_address, configuration.name)
    dependency = None
    if configuration.dependency_address is not None:
        shortest_slo = min(group.slo for group in configuration.settings.groups)
        dependency = DependencyClient(
            configuration.dependency_address,
            lambda event: core.mailbox.post(event),
            DEPENDENCY_SILENCE_SLO_SHARE * shortest_slo,
        )
    core = Core(
        configuration.settings,
        configuration.stop_ms,
        lambda command: agent.mailbox.post(command),
        membership_list.report_change,
        retry_options=operator_options.repeats,
        send_to_dependency=None if dependency is None else dependency.mailbox.post,
    )
    agent = AgentClient(configuration.agent_address, configuration.gauges, core.mailbox.post)
    finished = Flag()
    stopped_accepting = Flag()
    exit_code = 0

    def run_actor(run: Callable[[], object]) -> None:
        """Runs one actor. If it fails, the process ends rather than run on without it."""
        nonlocal exit_code
        try:
            run()
        except Exception:
            logger.exception("{} failed", getattr(run, "__qualname__", run))
            exit_code = EXIT_INTERNAL_ERROR
            finished.set()

    def spawn(run: Callable[[], object]) -> None:
        gevent.spawn(run_actor, run)

    fleet = None
    if operator_options.fleet is not None:
        from myrtlecrank.fleet.actor import FleetActor  # not imported while the section is off

        fleet = FleetActor(operator_options.fleet, configuration.name, configuration.settings.seed)
    edge = EdgeServer(
        configuration.listen_address,
        configuration.sockets,
        core,
        spawn,
        operator_options.accepting,
        configuration.memory_mb,
    )
    actors = _Actors(core, agent, membership_list, dependency, edge, fleet)
    reloader = _Reloader(configuration, operator_options, read_configuration, load_operator_options, actors)
    core.on_stop_accepting.append(stopped_accepting.set)
    core.on_tick += [agent.check_silence, membership_list.report_if_due]
    if dependency is not None:
        core.on_tick.append(dependency.check_silence)

    def finish_drain() -> None:
        stopped_accepting.wait()
        _wait_until_drained(actors)
        finished.set()

    def start_drain() -> None:
        core.mailbox.post(DrainRequested(now_ms()))
        if fleet is not None:
            fleet.start_drain()

    if fleet is not None:
        member = fleet
        core.on_tick.append(
            lambda _: member.update_gauges(
                core.published, core.retry_estimator is not None and core.retry_estimator.storm
            )
        )
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, start_drain)
    gevent.signal_handler(signal.SIGHUP, reloader.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    runs: list[Callable[[], object]] = [
        core.run,
        agent.run,
        agent.write_commands,
        membership_list.run,
        edge.run,
        finish_drain,
    ]
    if dependency is not None:
        runs.append(dependency.run)
    if fleet is not None:
        runs += fleet.actors()
    for run in runs:
        spawn(run)
    logger.info("{} listens on {}:{}", configuration.name, *configuration.listen_address)
    if operator_options.path is not None:
        enabled = [name for name in SECTIONS if getattr(operator_options, name) is not None]
        logger.info("operators' file {}: on are {}", operator_options.path, ", ".join(enabled) or "none")
    # Excludes the objects that exist by now from all later garbage collections.
    gc.collect()
    gc.freeze()
    finished.wait()
    return exit_code
