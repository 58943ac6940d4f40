"""The listener, the connections it accepted and the callers behind them."""

from __future__ import annotations

import errno
import select
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from loguru import logger

from myrtlecrank.core.actor import Core
from myrtlecrank.core.clock import now_ms
from myrtlecrank.core.connection_errors import CloseReason
from myrtlecrank.core.event_loop import yield_to_io
from myrtlecrank.core.messages import ExchangeRequest, ExchangesAbandoned
from myrtlecrank.edge.accept_rate import AcceptRateLimiter, AcceptRateOptions
from myrtlecrank.edge.caller import Caller, GroupEntry
from myrtlecrank.edge.connection import Connection
from myrtlecrank.edge.limits import DEFAULT_MEMORY_MB, BufferPool, edge_limits
from myrtlecrank.edge.read_account import ReadPriority
from myrtlecrank.edge.turns import TurnScheduler
from myrtlecrank.frames import codec
from myrtlecrank.log import LimitedLine

BACKLOG_CONNECTIONS = 512
ACCEPTS_PER_PASS = 8  # between two looks at all other sockets
NO_DESCRIPTOR_PAUSE_S = 0.05
BACKGROUND_SHARE = 0.5  # of the open exchanges, beyond which none is taken in from the background
MAX_SWEEP_ELAPSED_MS = 200.0  # that one sweep counts, so that a pause of this process closes nothing
GO_AWAY_TIMEOUT_MS = 2000.0  # a caller that has not closed an idle connection by then is considered gone
CONNECTION_ENDED = LimitedLine("INFO", "a connection {} with {} open")
# The system's errors when descriptors or socket memory run out.
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class EdgeServer:
    """Accepts callers' connections, passes their requests to the core and closes what is idle or stuck.

    `sockets` and `memory_mb` are the limits of the process; `spawn` starts the actors of callers.
    """

    def __init__(
        self,
        address: tuple[str, int],
        sockets: int,
        core: Core,
        spawn: Callable[..., object] = gevent.spawn,
        accept_rate: AcceptRateOptions | None = None,
        memory_mb: float = DEFAULT_MEMORY_MB,
    ) -> None:
        self.core = core
        self.published_state = core.published
        self.spawn = spawn
        limits = edge_limits(sockets, memory_mb)
        self.max_connections = limits.max_connections
        self.max_open_exchanges = limits.max_open_exchanges
        self.large_frames = BufferPool(limits.large_frame_bytes)
        settings = core.settings
        self.groups = {
            group.name: GroupEntry(number, group.timeout, group.kind)
            for number, group in enumerate(settings.groups)
        }
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self.allows_abandon = settings.reports_abandonment
        self.turns = TurnScheduler()
        self.callers: dict[int, Caller] = {}
        self.connections: dict[Connection, None] = {}  # least recently used first
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG_CONNECTIONS)
        self.listener_poll = select.poll()
        self.listener_poll.register(self.listener.fileno(), select.POLLIN)
        # Connections that the backlog may still hold when accepting stops; 0 once all are accepted.
        self.backlog_left = BACKLOG_CONNECTIONS + 1
        self.swept_at_ms = now_ms()
        self.accept_loop: gevent.greenlet.Greenlet[..., None] | None = None
        self.rate_limiter: AcceptRateLimiter | None = None
        self.set_accept_rate(accept_rate)
        core.on_tick.append(self.sweep)
        core.on_stop_accepting.append(self.stop_accepting)

    def set_accept_rate(self, accept_rate: AcceptRateOptions | None) -> None:
        """Applies new options of the accept rate; with None the accept rate is not limited."""
        self.rate_limiter = None if accept_rate is None else AcceptRateLimiter(accept_rate, now_ms())

    def run(self) -> None:
        """Accepts connections until the published state says that nothing new would run any more."""
        self.accept_loop = gevent.spawn(self._accept)
        self.accept_loop.join()
        self.accept_loop.get()

    def _accept(self) -> None:
        accepted_in_pass = 0
        while not self.published_state.stopped_accepting:
            try:
                if accepted_in_pass >= ACCEPTS_PER_PASS or not self._has_backlog():
                    accepted_in_pass = 0
                    socket.wait_read(self.listener.fileno())
                if len(self.connections) >= self.max_connections and not self.make_room():
                    gevent.sleep(NO_DESCRIPTOR_PAUSE_S)
                    continue
                wait_ms = 0.0
                if self.rate_limiter is not None:
                    wait_ms = self.rate_limiter.acquire(self.published_state.warmth, now_ms())
                if wait_ms > 0.0:
                    gevent.sleep(wait_ms / 1000.0)
                    continue
                sock, _ = self.listener.accept()
                accepted_in_pass += 1
            except OSError as error:
                if self.published_state.stopped_accepting or error.errno == errno.EBADF:
                    return
                if error.errno in OUT_OF_DESCRIPTORS:
                    logger.warning("no descriptor for a new connection")
                gevent.sleep(NO_DESCRIPTOR_PAUSE_S)
                continue
            self.add_connection(sock)

    def _has_backlog(self) -> bool:
        """Whether a connection waits to be accepted."""
        return any(events & select.POLLIN for _, events in self.listener_poll.poll(0.0))

    def make_room(self) -> bool:
        """Closes one connection without pending answers, so that health checks and exchanges still get in.

        In a flood of connections that send nothing the longest idle one is closed or, where none is idle, one
        that never sent a whole frame. A caller whose first frame is cut off by that knows that nothing of it
        ran. Returns whether a connection was closed.
        """
        closable = [connection for connection in self.connections if not connection.has_pending_answers()]
        # Of one on which reading has ended, the rest is only discarded: closing it loses nothing.
        victim = next(
            (connection for connection in closable if connection.read_close_reason is not None), None
        )
        victim = victim or next((connection for connection in closable if connection.has_no_input()), None)
        victim = victim or next(
            (
                connection
                for connection in closable
                if not (connection.frames_received or connection.is_awaiting_turn)
            ),
            None,
        )
        if victim is not None:
            victim.close(CloseReason.CLOSED_LOCALLY)
            del self.connections[victim]
        return victim is not None

    def add_connection(self, sock: socket.socket) -> Connection:
        """Starts to serve an accepted connection."""
        # A socket that the caller closed meanwhile may refuse the option; its first read ends it.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(
            sock,
            self.published_state,
            self.handle_frame,
            self.turns,
            self.large_frames,
            now_ms(),
            self.allows_abandon,
        )
        self.connections[connection] = None
        gevent.spawn(self._serve, connection)
        return connection

    def _serve(self, connection: Connection) -> None:
        try:
            connection.run()
        except Exception:
            logger.exception("a connection failed")
        connection.close(CloseReason.PROTOCOL_ERROR)
        self.remove_connection(connection)

    def handle_frame(self, connection: Connection, frame: codec.Request | codec.Abandoned) -> None:
        """Passes a frame to the actor of its caller, which is started with the caller's first request."""
        if connection.close_reason is not None:
            return
        if isinstance(frame, codec.Abandoned):
            self.abandon(connection, frame.stream)
            return
        connection.last_used_ms = now_ms()
        del self.connections[connection]
        self.connections[connection] = None
        if connection.caller is None:
            connection.caller = frame.caller
            caller = self.callers.get(frame.caller)
            if caller is None:
                caller = self.callers[frame.caller] = Caller(
                    self.groups,
                    self.tenants,
                    self.core.settings.sends_remaining_time,
                    self.core.settings.max_retry_after,
                    self.published_state,
                    self.has_room,
                    self.core.mailbox.put,
                )
                self.spawn(caller.run)
            caller.connection_count += 1
        self.callers[connection.caller].handle_request(connection, frame)

    def has_room(self, priority: ReadPriority) -> bool:
        """Whether there is memory for one more open exchange of a connection with this priority."""
        share = BACKGROUND_SHARE if priority is ReadPriority.BACKGROUND else 1.0
        return self.core.unanswered + len(self.core.mailbox) < share * self.max_open_exchanges

    def abandon(self, connection: Connection, stream: int) -> None:
        """Ends one exchange that its caller abandoned; the connection goes on.

        The exchange gets its final answer at once, as if that had crossed the caller's frame. If the answer
        has gone out already there is nothing to do.
        """
        request = connection.open_streams.get(stream)
        if request is not None:
            answer = codec.encode_answer(stream, codec.TERMINATED, self.published_state.published_value)
            connection.queue_answer(stream, answer)
            self.core.mailbox.put(ExchangesAbandoned([request]))

    def remove_connection(self, connection: Connection) -> None:
        """Reports the open exchanges of an ended connection to the core.

        The actor of a caller ends with the caller's last connection.
        """
        self.connections.pop(connection, None)
        unanswered: list[ExchangeRequest] = [
            request for request in connection.open_streams.values() if request is not None
        ]
        connection.open_streams.clear()
        if unanswered:
            reason = connection.close_reason or CloseReason.CLOSED_LOCALLY
            CONNECTION_ENDED.log(reason.value, len(unanswered))
            self.core.mailbox.put(ExchangesAbandoned(unanswered))
        if connection.caller is not None:
            caller = self.callers[connection.caller]
            caller.connection_count -= 1
            if not caller.connection_count:
                del self.callers[connection.caller]
                caller.mailbox.post(None)

    def sweep(self, now: float) -> None:
        """Closes connections that are stuck, and asks callers to close those that are idle for too long."""
        if self.rate_limiter is not None:
            self._adjust_accept_rate(self.rate_limiter)
        elapsed_ms = min(MAX_SWEEP_ELAPSED_MS, max(0.0, now - self.swept_at_ms))
        self.swept_at_ms = now
        for connection in list(self.connections):
            connection.check_timeouts(elapsed_ms)
            idle_ms = now - connection.last_used_ms
            idle_limit_ms = self.published_state.idle_limit
            is_busy = connection.is_awaiting_turn or connection.has_pending_answers()
            if idle_limit_ms <= 0 or idle_ms <= idle_limit_ms or is_busy:
                continue
            if connection.go_away_sent_at_ms is None:
                connection.send_go_away(now)
            elif now - connection.go_away_sent_at_ms > GO_AWAY_TIMEOUT_MS and connection.has_no_input():
                connection.close(CloseReason.CLOSED_LOCALLY)

    def _adjust_accept_rate(self, rate_limiter: AcceptRateLimiter) -> None:
        rate_limiter.adjust(self.published_state.tick_delay)
        delayed_connections, rate_limiter.delayed_connections = rate_limiter.delayed_connections, 0
        if delayed_connections:
            logger.info(
                "connections come faster than they are accepted: {} a second at the most",
                round(rate_limiter.rate_per_second(self.published_state.warmth)),
            )

    def is_empty(self) -> bool:
        """Whether no connection is left, nor any in the backlog that waits to be accepted."""
        return not (self.backlog_left or self.connections)

    def flush_and_close(self) -> None:
        """Sends the last answers and closes all connections, just before the process ends.

        Unread bytes are dropped first: they would turn the close into a reset that destroys the answers. The
        connections are closed here because the process takes some time to end, and a caller that writes
        meanwhile would find an open connection that nobody reads.
        """
        for caller in list(self.callers.values()):
            caller.deliver_pending()
        for connection in list(self.connections):
            connection.flush()
            connection.discard_unread()
            connection.close(CloseReason.CLOSED_LOCALLY)

    def stop_accepting(self) -> None:
        """Closes the listener and asks for no new exchange on the open connections.

        Connections in the backlog are accepted before the listener closes, which would reset them.
        """
        if self.accept_loop is not None:
            self.accept_loop.kill(block=False)
        self.listener.settimeout(0.0)
        now = now_ms()
        for connection in self.connections:
            connection.send_go_away(now)
        if not self._accept_backlog():
            self.spawn(self._accept_backlog_in_turns)

    def _accept_backlog(self) -> bool:
        """Accepts as many connections as there are descriptors for and asks each to send nothing new.

        Returns whether these were all that the backlog held; the listener is closed then.
        """
        while self.backlog_left and len(self.connections) < self.max_connections:
            self.backlog_left -= 1
            try:
                self.add_connection(self.listener.accept()[0]).send_go_away(now_ms())
            except ConnectionAbortedError:
                continue  # the connections behind an aborted one are still there
            except OSError:
                self.backlog_left = 0
        if not self.backlog_left:
            self.listener.close()
        return not self.backlog_left

    def _accept_backlog_in_turns(self) -> None:
        """Accepts the rest of a backlog above the limit of descriptors as earlier connections close."""
        while not self._accept_backlog():
            yield_to_io()  # new connections are read before any of them may have to be closed
            if len(self.connections) >= self.max_connections and not self.make_room():
                gevent.sleep(NO_DESCRIPTOR_PAUSE_S)
            yield_to_io()  # closed connections keep their descriptors until the event loop has had its turn
