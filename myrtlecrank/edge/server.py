"""The listener, the connections it accepted and the callers behind them."""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from loguru import logger

from myrtlecrank.core.actor import Core, now_ms
from myrtlecrank.core.connection_errors import End
from myrtlecrank.core.messages import CallersLeft, Ticket
from myrtlecrank.edge.accept_rate import Accepting, Pace
from myrtlecrank.edge.caller import Caller
from myrtlecrank.edge.connection import Connection
from myrtlecrank.frames import codec
from myrtlecrank.policy.interface import Kind

BACKLOG = 512
SPARE_SOCKETS = 24  # left for the agent, the list, files of the interpreter: some ten are used
FULL_S = 0.05  # pause of the listener while there is no descriptor
PASSED_MS = 200.0  # the most that a look at the connections counts as gone by, were we to stand still
AWAY_MS = 2000.0  # a caller that does not close a connection it was told to leave is gone itself


class Front:
    def __init__(
        self,
        address: tuple[str, int],
        sockets: int,
        core: Core,
        spawn: Callable[..., object] = gevent.spawn,
        accepting: Accepting | None = None,
    ) -> None:
        self.core, self.board, self.spawn = core, core.board, spawn
        self.most = max(1, sockets - SPARE_SOCKETS)
        facts = core.facts
        self.groups = {
            group.name: (i, group.timeout, group.kind is Kind.DEDUPLICATED)
            for i, group in enumerate(facts.groups)
        }
        self.tenants = {tenant.name: i for i, tenant in enumerate(facts.tenants)}
        self.give_up = facts.tells_gone
        self.callers: dict[int, Caller] = {}
        self.connections: dict[Connection, None] = {}  # the one that was idle longest first
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)
        self.rest = BACKLOG + 1  # that the system may hold for us at the end; 0 once all were taken
        self.swept = now_ms()
        self.accepting: gevent.greenlet.Greenlet[..., None] | None = None
        self.pace: Pace | None = None
        self.adopt(accepting)
        core.on_beat.append(self.sweep)
        core.on_shut.append(self.shut)

    def adopt(self, accepting: Accepting | None) -> None:
        """The operators set the pace anew; None: connections are accepted as they come."""
        self.pace = None if accepting is None else Pace(accepting, now_ms())

    def run(self) -> None:
        """Accepts until the notice to leave."""
        self.accepting = gevent.spawn(self._accept)
        self.accepting.join()
        self.accepting.get()

    def _accept(self) -> None:
        while not self.board.shut:
            try:
                socket.wait_read(self.listener.fileno())
                if len(self.connections) >= self.most and not self.make_room():
                    gevent.sleep(FULL_S)
                    continue
                wait = 0.0 if self.pace is None else self.pace.wait(self.board.warmth, now_ms())
                if wait > 0.0:
                    gevent.sleep(wait / 1000.0)
                    continue
                sock, _ = self.listener.accept()
            except OSError as error:
                if self.board.shut or error.errno == errno.EBADF:
                    return
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    logger.warning("no descriptor for a new connection")
                gevent.sleep(FULL_S)
                continue
            self.accept(sock)

    def make_room(self) -> bool:
        """Guards against floods of connections that bring nothing: the one that was idle longest goes, so
        that health checks and exchanges still find a place; where none is idle, one that never brought a
        whole frame. A caller whose first frame is cut off by that knows that nothing of it ran."""
        quiet = [c for c in self.connections if not c.busy()]
        gone = next((c for c in quiet if c.over is not None), None)  # only taken off by now: nothing is lost
        gone = gone or next((c for c in quiet if c.silent()), None)
        gone = gone or next((c for c in quiet if not c.frames), None)
        if gone is not None:
            gone.close(End.LEFT)
            del self.connections[gone]
        return gone is not None

    def accept(self, sock: socket.socket) -> Connection:
        # Guards the listener: one that is gone by now may take no option, and ends with its first read.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock, self.board, self.asked, self.give_up)
        connection.last_used = now_ms()
        self.connections[connection] = None
        gevent.spawn(self._serve, connection)
        return connection

    def _serve(self, connection: Connection) -> None:
        try:
            connection.run()
        except Exception:
            logger.exception("a connection failed")
        connection.close(End.BROKEN)
        self.ended(connection)

    def asked(self, connection: Connection, ask: codec.Ask | codec.GivenUp) -> None:
        if connection.end is not None:
            return
        if isinstance(ask, codec.GivenUp):
            self.given_up(connection, ask.stream)
            return
        connection.last_used = now_ms()
        del self.connections[connection]
        self.connections[connection] = None
        if connection.caller is None:
            connection.caller = ask.caller
            caller = self.callers.get(ask.caller)
            if caller is None:
                caller = self.callers[ask.caller] = Caller(
                    self.groups, self.tenants, self.core.facts.tells_left, self.board, self.core.mailbox.put
                )
                self.spawn(caller.run)
            caller.connections += 1
        self.callers[connection.caller].asked(connection, ask)

    def given_up(self, connection: Connection, stream: int) -> None:
        """One exchange of a connection that goes on. It gets its final answer at once, as if it crossed this
        on its way; where that has gone out already there is nothing to do."""
        ticket = connection.open.get(stream)
        if ticket is not None:
            connection.answered(stream, codec.answer(stream, codec.TERMINATED, self.board.value))
            self.core.mailbox.put(CallersLeft([ticket]))

    def ended(self, connection: Connection) -> None:
        """Tells the module who has left, and lets the actor of a caller go with its last connection."""
        self.connections.pop(connection, None)
        left: list[Ticket] = [ticket for ticket in connection.open.values() if ticket is not None]
        connection.open.clear()
        if left:
            logger.info("a connection {} with {} open", (connection.end or End.LEFT).value, len(left))
            self.core.mailbox.put(CallersLeft(left))
        if connection.caller is not None:
            caller = self.callers[connection.caller]
            caller.connections -= 1
            if not caller.connections:
                del self.callers[connection.caller]
                caller.mailbox.post(None)

    def sweep(self, now: float) -> None:
        """Closes what is stuck or never whole, and asks callers to close what idles longer than the module
        allows."""
        if self.pace is not None:
            self._pace(self.pace)
        passed, self.swept = min(PASSED_MS, max(0.0, now - self.swept)), now
        for connection in list(self.connections):
            connection.look(passed)
            idle = now - connection.last_used
            if self.board.idle <= 0 or idle <= self.board.idle or connection.busy():
                continue
            if connection.away_at is None:
                connection.tell_away(now)
            elif now - connection.away_at > AWAY_MS and connection.silent():
                connection.close(End.LEFT)

    def _pace(self, pace: Pace) -> None:
        pace.beat(self.board.late)
        held, pace.held_back = pace.held_back, 0
        if held:
            logger.info(
                "connections come faster than they are accepted: {} a second at the most",
                round(pace.per_second(self.board.warmth)),
            )

    def emptied(self) -> bool:
        """Whether no caller is left, nor any that waits to be accepted."""
        return not (self.rest or self.connections)

    def last_words(self) -> None:
        """The process ends: the last answers go out, and no byte that lies unread turns its end into a reset
        that destroys them. Each connection ends here and now: the process takes longer to end, and what is
        written until then would find a connection that stands and nobody who reads it."""
        for caller in list(self.callers.values()):
            caller.last_words()
        for connection in list(self.connections):
            connection.flush()
            connection.take_off()
            connection.close(End.LEFT)

    def shut(self) -> None:
        """No new connection, and no new exchange on those that stand. What the machine has accepted already
        is ours: it is taken off the listener before that closes, lest it be reset."""
        if self.accepting is not None:
            self.accepting.kill(block=False)
        self.listener.settimeout(0.0)
        now = now_ms()
        for connection in self.connections:
            connection.tell_away(now)
        if not self._take_rest():
            self.spawn(self._take_rest_in_turn)

    def _take_rest(self) -> bool:
        """As many as there are descriptors for, each told at once to bring no more. Whether these were all
        that the system held; the listener is closed then."""
        while self.rest and len(self.connections) < self.most:
            self.rest -= 1
            try:
                self.accept(self.listener.accept()[0]).tell_away(now_ms())
            except ConnectionAbortedError:
                continue  # this one is gone; those behind it are not
            except OSError:
                self.rest = 0
        if not self.rest:
            self.listener.close()
        return not self.rest

    def _take_rest_in_turn(self) -> None:
        """Guards the limit of descriptors against a crowd that waits at the listener when it is to close: the
        others come in as those before them go."""
        while not self._take_rest():
            gevent.sleep(0)  # the readers of those just accepted, before any of them may have to make room
            if len(self.connections) >= self.most and not self.make_room():
                gevent.sleep(FULL_S)
            gevent.sleep(0)  # closed ones hold their descriptors until the loop has had its turn
