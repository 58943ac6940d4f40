"""Starts the actors of one backend and waits until the backend has drained."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable

import gevent
from gevent.event import Event as Flag
from loguru import logger

from myrtlecrank import log
from myrtlecrank.agent.client import Link
from myrtlecrank.configuration import Configuration, ConfigurationError
from myrtlecrank.core.actor import Core, now_ms
from myrtlecrank.core.messages import Adopt, Leave
from myrtlecrank.dependency.client import BelowLink
from myrtlecrank.edge.server import Front
from myrtlecrank.membership_list.client import Roll
from myrtlecrank.operators.file import OperatorsError
from myrtlecrank.signals import SIGNALS
from myrtlecrank.subsystems import SECTIONS, OperatorOptions

EXIT_INTERNAL_ERROR = 70  # EX_SOFTWARE of sysexits.h
DRAIN_POLL_S = 0.02
EXIT_MARGIN_MS = 60.0  # the process exits this long before the platform would kill it
MAX_LOGGED_MISTAKES = 5  # of one invalid operators' file
MAX_LOGGED_CHARS = 300  # of one mistake
MAX_LOGGED_NAME_CHARS = 40
MAX_LOGGED_KEYS_CHARS = 200
DEPENDENCY_SILENCE_SLO_SHARE = 0.5  # of the shortest SLO time: how long the dependency may stay silent


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
    agent: Link
    core: Core
    membership_list = Roll(configuration.membership_list_address, configuration.name)
    dependency = None
    if configuration.dependency_address is not None:
        shortest_slo = min(group.slo for group in configuration.settings.groups)
        dependency = BelowLink(
            configuration.dependency_address,
            lambda event: core.mailbox.post(event),
            DEPENDENCY_SILENCE_SLO_SHARE * shortest_slo,
        )
    core = Core(
        configuration.settings,
        configuration.stop_ms,
        lambda command: agent.mailbox.post(command),
        membership_list.tell,
        repeats=operator_options.repeats,
        below=None if dependency is None else dependency.mailbox.post,
    )
    agent = Link(configuration.agent_address, configuration.gauges, core.mailbox.post)
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
    edge = Front(configuration.listen_address, configuration.sockets, core, spawn, operator_options.accepting)

    def finish_drain() -> None:
        """Ends the process once every exchange is answered and the membership list knows that this backend is
        out, or when the time to stop is nearly over."""
        stopped_accepting.wait()
        while now_ms() < (core.stop_at or 0.0) - EXIT_MARGIN_MS:
            if not core.unanswered and edge.emptied() and membership_list.told is False:
                break
            gevent.sleep(DRAIN_POLL_S)
        logger.info("leaves with {} exchanges, {} connections", core.unanswered, len(edge.connections))
        edge.last_words()
        finished.set()

    current_options = operator_options

    def reload() -> None:
        reload_configuration()
        reload_operator_options()

    def reload_operator_options() -> None:
        """Applies the operators' file whole, or not at all where it has a mistake."""
        nonlocal current_options
        try:
            new = load_operator_options()
        except OperatorsError as error:
            for line in str(error).splitlines()[:MAX_LOGGED_MISTAKES]:
                logger.error("the old operators' file goes on: {}", line[:MAX_LOGGED_CHARS])
            return
        changed = current_options.changed_sections(new)
        if changed:
            logger.info("operators' file read: changed are {}", ", ".join(changed))
            core.mailbox.post(Adopt(new.repeats))
            edge.adopt(new.accepting)
            if fleet is not None and new.fleet is not None:
                fleet.retune(new.fleet)
            elif "fleet" in changed:
                logger.warning("[fleet] takes a new start and stays as it was")
        current_options = new

    def reload_configuration() -> None:
        """Applies new addresses of the agent, the membership list and the dependency; every other setting
        stays as it was at the start."""
        try:
            new = read_configuration()
        except ConfigurationError as error:
            logger.error("the old configuration goes on: {}", error)
            return
        if new.name != configuration.name:
            logger.error(
                "the old configuration goes on: the new one is for {!r}", new.name[:MAX_LOGGED_NAME_CHARS]
            )
            return
        ignored = configuration.changes_needing_restart(new)
        if ignored:
            logger.warning(
                "these take a new start and stay as they were: {}", ", ".join(ignored)[:MAX_LOGGED_KEYS_CHARS]
            )
        logger.info(
            "configuration read: agent {}:{}, list {}:{}", *new.agent_address, *new.membership_list_address
        )
        if dependency is not None and new.dependency_address is not None:
            logger.info("configuration read: layer below {}:{}", *new.dependency_address)
            dependency.move(new.dependency_address)
        agent.move(new.agent_address)
        membership_list.move(new.membership_list_address)

    core.on_shut.append(stopped_accepting.set)
    core.on_beat += [agent.look, membership_list.beat]
    if dependency is not None:
        core.on_beat.append(dependency.look)

    def start_drain() -> None:
        core.mailbox.post(Leave(now_ms()))
        if fleet is not None:
            fleet.depart()

    if fleet is not None:
        member = fleet
        core.on_beat.append(
            lambda _: member.feel(core.board, core.repeats is not None and core.repeats.storm)
        )
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, start_drain)
    gevent.signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    actors: list[Callable[[], object]] = [
        core.run,
        agent.run,
        agent.write,
        membership_list.run,
        edge.run,
        finish_drain,
    ]
    if dependency is not None:
        actors.append(dependency.run)
    if fleet is not None:
        actors += fleet.actors()
    for actor in actors:
        spawn(actor)
    logger.info("{} listens on {}:{}", configuration.name, *configuration.listen_address)
    if operator_options.path is not None:
        enabled = [name for name in SECTIONS if getattr(operator_options, name) is not None]
        logger.info("operators' file {}: on are {}", operator_options.path, ", ".join(enabled) or "none")
    # Excludes the objects that exist by now from all later garbage collections.
    gc.collect()
    gc.freeze()
    finished.wait()
    return exit_code
