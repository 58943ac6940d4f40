"""Starts the actors of one backend and waits for its end."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable

import gevent
from gevent.event import Event as Flag
from loguru import logger

from myrtlecrank import log
from myrtlecrank.agent.client import Link
from myrtlecrank.configuration import Orders, OrdersError
from myrtlecrank.core.actor import Core, now_ms
from myrtlecrank.core.messages import Adopt, Leave
from myrtlecrank.dependency.client import BelowLink
from myrtlecrank.edge.server import Front
from myrtlecrank.membership_list.client import Roll
from myrtlecrank.operators.file import OperatorsError
from myrtlecrank.signals import SIGNALS
from myrtlecrank.subsystems import SECTIONS, Operators

FAILED = 70  # exit code after an error of our own
LOOK_S = 0.02  # how often a leaving process looks whether all is done
WRONG_LINES = 5  # of a file that makes no sense, in the log
LAST_MS = 60.0  # before the process is stopped, it ends by itself


def serve(
    orders: Orders,
    operators: Operators,
    again: Callable[[], Orders],
    again_operators: Callable[[], Operators],
) -> int:
    """Runs one backend until the notice to leave has been followed; its exit code. `again` reads the
    configuration once more, `again_operators` the operators' file."""
    log.to_stderr()
    # The numeric addresses need no look-up, and so no threads for it.
    gevent.config.resolver = "block"
    link: Link
    roll = Roll(orders.members, orders.name)
    core: Core
    below = (
        None
        if orders.records is None
        else BelowLink(
            orders.records, lambda e: core.mailbox.post(e), 0.5 * min(g.slo for g in orders.facts.groups)
        )
    )
    core = Core(
        orders.facts,
        orders.stop_ms,
        lambda c: link.mailbox.post(c),
        roll.tell,
        repeats=operators.repeats,
        below=None if below is None else below.mailbox.post,
    )
    link = Link(orders.agent, orders.gauges, core.mailbox.post)
    over, code = Flag(), [0]

    def actor(work: Callable[[], object]) -> None:
        """Guards against a half-dead process: an actor that fails ends the whole."""
        try:
            work()
        except Exception:
            logger.exception("{} failed", getattr(work, "__qualname__", work))
            code[0] = FAILED
            over.set()

    def spawn(work: Callable[[], object]) -> None:
        gevent.spawn(actor, work)

    fleet = None
    if operators.fleet is not None:
        from myrtlecrank.fleet.actor import FleetActor  # nothing of it is there while the section is off

        fleet = FleetActor(operators.fleet, orders.name, orders.facts.seed)
    front = Front(orders.listen, orders.sockets, core, spawn, operators.accepting)

    def watch_leaving() -> None:
        core_shut.wait()
        while now_ms() < (core.stop_at or 0.0) - LAST_MS:
            if not core.unanswered and front.emptied() and roll.told is False:
                break
            gevent.sleep(LOOK_S)
        logger.info("leaves with {} exchanges, {} connections", core.unanswered, len(front.connections))
        front.last_words()
        over.set()

    held = [operators]

    def reload() -> None:
        reload_orders()
        reload_operators()

    def reload_operators() -> None:
        """Taken over whole, or not at all."""
        try:
            told = again_operators()
        except OperatorsError as error:
            for line in str(error).splitlines()[:WRONG_LINES]:
                logger.error("the old operators' file goes on: {}", line[:300])
            return
        unlike = held[0].unlike(told)
        if unlike:
            logger.info("operators' file read: changed are {}", ", ".join(unlike))
            core.mailbox.post(Adopt(told.repeats))
            front.adopt(told.accepting)
            if fleet is not None and told.fleet is not None:
                fleet.retune(told.fleet)
            elif "fleet" in unlike:
                logger.warning("[fleet] takes a new start and stays as it was")
        held[0] = told

    def reload_orders() -> None:
        """The agent and the list may have moved; all else is as it was at the start."""
        try:
            told = again()
        except OrdersError as error:
            logger.error("the old configuration goes on: {}", error)
            return
        if told.name != orders.name:
            logger.error("the old configuration goes on: the new one is for {!r}", told.name[:40])
            return
        unlike = orders.unlike(told)
        if unlike:
            logger.warning("these take a new start and stay as they were: {}", ", ".join(unlike)[:200])
        logger.info("configuration read: agent {}:{}, list {}:{}", *told.agent, *told.members)
        if below is not None and told.records is not None:
            logger.info("configuration read: layer below {}:{}", *told.records)
            below.move(told.records)
        link.move(told.agent)
        roll.move(told.members)

    core_shut = Flag()
    core.on_shut.append(core_shut.set)
    core.on_beat += [link.look, roll.beat]
    if below is not None:
        core.on_beat.append(below.look)

    def leave() -> None:
        core.mailbox.post(Leave(now_ms()))
        if fleet is not None:
            fleet.depart()

    if fleet is not None:
        member = fleet
        core.on_beat.append(
            lambda _: member.feel(core.board, core.repeats is not None and core.repeats.storm)
        )
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, leave)
    gevent.signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    works: list[Callable[[], object]] = [core.run, link.run, link.write, roll.run, front.run, watch_leaving]
    if below is not None:
        works.append(below.run)
    for work in works + (fleet.actors() if fleet is not None else []):
        spawn(work)
    logger.info("{} listens on {}:{}", orders.name, *orders.listen)
    if operators.path is not None:
        on = [name for name in SECTIONS if getattr(operators, name) is not None]
        logger.info("operators' file {}: on are {}", operators.path, ", ".join(on) or "none")
    gc.collect()
    gc.freeze()
    over.wait()
    return code[0]
