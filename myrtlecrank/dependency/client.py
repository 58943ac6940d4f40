"""The client of the dependency: writes calls, reads how they ended and reconnects after a loss."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from loguru import logger

from myrtlecrank.core.connection_errors import OUTCOME_BY_REASON, CloseReason, reason_of_error
from myrtlecrank.core.event_loop import yield_to_io
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import CallEnded, CancelCall, CoreEvent, DependencyCommand, StartCall
from myrtlecrank.dependency import codec
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Outcome

MAILBOX_MESSAGES = 4096
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.02
MAX_CONNECT_MS = 1000.0  # the longest that a call waits for a connection before it counts as not sent
# A call counts as lost when it is OVERDUE_MS past its time limit on more than so many sampling ticks.
OVERDUE_MS = 200.0
MAX_OVERDUE_TICKS = 10
TICK_MS = 100.0
MAX_SILENT_CALLS = 2.0  # durations of the longest recent call for which a connection may be silent
LONGEST_CALL_DECAY = 0.95  # of the longest recent call, for each reply
READ_BUFFER_BYTES = 4096  # initial size; the buffer grows while more arrives
REPLIES_PER_TURN = 128  # that are handled before the others get their turn


class DependencyConnection:
    """One connection and the calls that are pending on it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        # For each call, by the exchange's identifier: when it was sent and when it is due at the latest.
        self.pending_calls: dict[str, tuple[float, float]] = {}
        self.overdue_ticks = 0  # since a call is overdue
        self.silent_ticks = 0  # since a reply was received
        self.is_writing = False
        self.drop_reason: CloseReason | None = None

    def drop(self, reason: CloseReason) -> None:
        """Closes the socket; the reading greenlet wakes and reports the pending calls as lost."""
        self.drop_reason = self.drop_reason or reason
        self.sock.close()


class DependencyClient:
    """Writes the commands from its mailbox; many calls share one connection.

    `silence_limit_ms` is the time without a reply that is normal, however quick recent calls were.
    """

    def __init__(
        self, address: tuple[str, int], post_event: Callable[[CoreEvent], None], silence_limit_ms: float
    ) -> None:
        self.address = address
        self.post_event = post_event
        self.silence_limit_ms = silence_limit_ms
        self.longest_call_ms = 0.0  # of recent calls
        self.mailbox: Mailbox[DependencyCommand] = Mailbox(MAILBOX_MESSAGES)
        self.connection: DependencyConnection | None = None  # for new calls
        # Includes connections to earlier addresses while calls are pending on them.
        self.connections: dict[DependencyConnection, None] = {}
        self.now = 0.0
        self.is_unreachable = False

    def run(self) -> None:
        """Writes the commands and connects when a call needs it."""
        while True:
            commands = self.mailbox.take()
            connection = self.connection
            if connection is not None and connection.drop_reason is not None:
                # Its reader has not woken yet: calls written to it now would seem to have been sent.
                connection = None
            if connection is None and any(isinstance(command, StartCall) for command in commands):
                longest_ms = max(command.timeout for command in commands if isinstance(command, StartCall))
                connection = self._connect(longest_ms)
            self._distribute(connection, commands)

    def _distribute(self, connection: DependencyConnection | None, commands: list[DependencyCommand]) -> None:
        """Writes calls to `connection`, and abandons a call on the connection on which it is pending."""
        buffers: dict[DependencyConnection, RingBuffer] = {}
        for command in commands:
            # A call is pending before its first byte is written: from then on nothing proves that it did not
            # arrive.
            if isinstance(command, CancelCall):
                target = next(
                    (other for other in self.connections if command.exchange_id in other.pending_calls), None
                )
                if target is None:
                    continue
                del target.pending_calls[command.exchange_id]
            elif connection is None:
                self.post_event(CallEnded(command.exchange_id, Outcome.UNREACHED, b""))
                continue
            else:
                target = connection
                connection.pending_calls[command.exchange_id] = self.now, self.now + command.timeout
            buffers.setdefault(target, RingBuffer()).append(codec.encode_command(command))
        for target, buffer in buffers.items():
            self._write(target, buffer)
            if target is not self.connection and not target.pending_calls:
                # Of an earlier address, and no reply is awaited on it any more.
                target.drop(CloseReason.CLOSED_LOCALLY)

    def _write(self, connection: DependencyConnection, buffer: RingBuffer) -> None:
        connection.is_writing = True
        try:
            while buffer:
                buffer.discard(connection.sock.send(buffer.readable_view()))
        except OSError as error:
            connection.drop(reason_of_error(error))
        connection.is_writing = False

    def _connect(self, max_wait_ms: float) -> DependencyConnection | None:
        """Tries to connect for as long as the calls can wait for a connection."""
        waited_ms = 0.0
        while waited_ms < min(MAX_CONNECT_MS, max_wait_ms):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                sock.settimeout(CONNECT_TIMEOUT_S)
                sock.connect(self.address)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                sock.close()
                if not self.is_unreachable:
                    logger.warning("the layer below: {}", reason_of_error(error).value)
                self.is_unreachable = True
                timed_out = reason_of_error(error) is CloseReason.UNRESPONSIVE
                waited_ms += CONNECT_TIMEOUT_S * 1000.0 if timed_out else RECONNECT_PAUSE_S * 1000.0
                gevent.sleep(RECONNECT_PAUSE_S)
                continue
            sock.settimeout(None)
            if self.is_unreachable:
                logger.info("the layer below answers again")
            self.is_unreachable = False
            self.connection = connection = DependencyConnection(sock)
            self.connections[connection] = None
            gevent.spawn(self._read, connection)
            return connection
        return None

    def change_address(self, address: tuple[str, int]) -> None:
        """Sends new calls to the new address; replies to pending calls may still come from the old one."""
        if address == self.address:
            return
        self.address = address
        connection, self.connection = self.connection, None
        if connection is not None and not connection.pending_calls:
            connection.drop(CloseReason.CLOSED_LOCALLY)

    def check_silence(self, now: float) -> None:
        """Drops connections on which a call is not answered or that hang; called on each sampling tick.

        Most calls are abandoned when their exchange is due, which is no later than their own time limit, so a
        hung connection is recognized by silence alone. Ticks are counted instead of time: while this process
        is paused it can receive nothing.
        """
        self.now = now
        for connection in list(self.connections):
            calls = connection.pending_calls
            is_overdue = bool(calls) and now > min(due for _, due in calls.values()) + OVERDUE_MS
            connection.overdue_ticks = connection.overdue_ticks + 1 if is_overdue else 0
            # A write that hangs counts too: if it abandons the last pending calls, nothing else would end it,
            # and it blocks every later call.
            awaits_progress = calls or connection.is_writing
            connection.silent_ticks = connection.silent_ticks + 1 if awaits_progress else 0
            silence_limit_ms = max(self.silence_limit_ms, MAX_SILENT_CALLS * self.longest_call_ms)
            is_silent = connection.silent_ticks * TICK_MS > silence_limit_ms
            if is_silent or connection.overdue_ticks > MAX_OVERDUE_TICKS:
                connection.drop(CloseReason.UNRESPONSIVE)

    def _read(self, connection: DependencyConnection) -> None:
        reason = self._read_replies(connection)
        reason = connection.drop_reason or reason
        connection.sock.close()
        self.connections.pop(connection, None)
        if self.connection is connection:
            self.connection = None
        calls = connection.pending_calls
        if calls:
            logger.warning("the link below {} with {} calls out", reason.value, len(calls))
        outcome = (
            Outcome.RESET
            if reason in (CloseReason.CONNECT_FAILED, CloseReason.CLOSED_LOCALLY)
            else OUTCOME_BY_REASON[reason]
        )
        for exchange_id in calls:
            self.post_event(CallEnded(exchange_id, outcome, b""))
        calls.clear()

    def _read_replies(self, connection: DependencyConnection) -> CloseReason:
        buffer = RingBuffer(READ_BUFFER_BYTES)
        try:
            while True:
                free = buffer.writable_view()
                received = connection.sock.recv_into(free)
                if received == 0:
                    return CloseReason.CLOSED_BY_PEER
                was_filled = received == len(free)
                buffer.mark_written(received)
                connection.silent_ticks = 0
                for count, reply in enumerate(codec.decode_replies(buffer), 1):
                    if count % REPLIES_PER_TURN == 0:
                        yield_to_io()
                    sent_at_ms, _ = connection.pending_calls.pop(reply.exchange_id, (None, 0.0))
                    if sent_at_ms is not None:
                        call_ms = self.now - sent_at_ms
                        self.longest_call_ms = max(call_ms, LONGEST_CALL_DECAY * self.longest_call_ms)
                        self.post_event(CallEnded(reply.exchange_id, reply.outcome, reply.result))
                if connection is not self.connection and not connection.pending_calls:
                    return CloseReason.CLOSED_LOCALLY
                if was_filled:
                    yield_to_io()  # a link that always has data never waits
        except OSError as error:
            return reason_of_error(error)
        except codec.ProtocolError as error:
            logger.error("the layer below sent {}", error)
            return CloseReason.PROTOCOL_ERROR
