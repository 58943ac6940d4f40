"""The client of the agent: keeps a connection to it open and passes commands and notices on."""

from __future__ import annotations

import time
from collections.abc import Callable
from itertools import accumulate
from typing import NamedTuple

from gevent import socket
from gevent.event import Event as Flag
from loguru import logger

from myrtlecrank.agent import codec
from myrtlecrank.core.connection_errors import CloseReason, reason_of_error
from myrtlecrank.core.event_loop import yield_to_io
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import (
    AgentCommand,
    AgentConnected,
    AgentDisconnected,
    CallRequested,
    CommandsNotSent,
    CoreEvent,
    GaugesSampled,
    RunEnded,
    SampleGauges,
)
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.log import LimitedLine
from myrtlecrank.policy.interface import Gauges, Outcome

# Pauses between attempts to connect.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.25
CONNECT_TIMEOUT_S = 2.0
MAX_SILENT_TICKS = 15  # a connected agent answers a sample command on every sampling tick (100 ms)
RESTART_MISSING_MS = 1000.0  # uptime that must at least be missing to count as a restart of the agent
RESTART_MISSING_SHARE = 0.5  # of the time that passed since the last greeting, which must also be missing
MAILBOX_MESSAGES = 4096
READ_BUFFER_BYTES = 4096  # initial size; the buffer grows while more arrives
MAX_LOGGED_CHARS = 120
NOTICES_PER_TURN = 128  # that are handled before the others get their turn
COMMAND_REFUSED = LimitedLine("WARNING", "the agent refused the command {} for exchange {}")
UNKNOWN_NOTICE = LimitedLine("WARNING", "the agent sent an unknown notice: {!r}")


class _Uptime(NamedTuple):
    uptime_ms: float
    read_at_ms: float  # monotonic


class AgentClient:
    """Reads notices on one greenlet (`run`) and writes commands from its mailbox on another
    (`write_commands`).

    `gauges` names the fields of Gauges for the values of a sample, in their order; an empty name skips a
    value.
    """

    def __init__(
        self, address: tuple[str, int], gauges: list[str], post_event: Callable[[CoreEvent], None]
    ) -> None:
        self.address = address
        self.gauges = gauges
        self.post_event = post_event
        self.mailbox: Mailbox[AgentCommand] = Mailbox(MAILBOX_MESSAGES)
        self.last_notice = 0  # the number of the last notice that was read
        self.is_connected = False  # the agent has sent its greeting on this connection
        self.was_ever_connected = False
        self.outgoing = RingBuffer()
        self.received_since_check = False
        self.silent_ticks = 0
        self.sock: socket.socket | None = None
        self.drop_reason: CloseReason | None = None
        self.last_uptime: _Uptime | None = None
        self.subscribed_at_ms = 0.0  # monotonic; when the awaited greeting was requested
        self.has_restarted = False  # the agent has restarted since the last AgentConnected event
        self.address_changed = Flag()  # since the last attempt to connect

    def run(self) -> None:
        """Connects and reads notices for as long as the program runs."""
        pause_s = FIRST_PAUSE_S
        while True:
            self.is_connected = False
            self.drop_reason = None
            self.address_changed.clear()
            reason = self._run_session()
            reason = self.drop_reason or reason
            if self.is_connected:
                pause_s = FIRST_PAUSE_S
                logger.warning("the agent's link {}", reason.value)
                self.post_event(AgentDisconnected(reason))
            address_changed = self.address_changed.wait(pause_s)
            pause_s = FIRST_PAUSE_S if address_changed else min(MAX_PAUSE_S, 2.0 * pause_s)

    def change_address(self, address: tuple[str, int]) -> None:
        """Leaves the old address at once, in whatever state the connection is.

        The numbers of the notices that were read stay valid: the new connection subscribes from the last of
        them, and exchanges in doubt are settled as after any lost connection.
        """
        if address != self.address:
            self.address = address
            self.address_changed.set()
            self._drop(CloseReason.CLOSED_LOCALLY)

    def write_commands(self) -> None:
        """Writes the commands, many at a time.

        What is not sent because there is no connection, or because it ends, is reported: such commands may be
        sent again whatever they do.
        """
        while True:
            commands = self.mailbox.take()
            sock = self.sock
            if sock is None or not self.is_connected or self.drop_reason is not None:
                self._report_unsent(commands)
            else:
                self._write(sock, commands)

    def _write(self, sock: socket.socket, commands: list[AgentCommand]) -> None:
        buffer = self.outgoing
        encoded = [codec.encode_command(command) for command in commands]
        buffer.append(b"".join(encoded))
        written = 0
        try:
            while buffer:
                count = sock.send(buffer.readable_view())
                buffer.discard(count)
                written += count
        except OSError as error:
            if sock is self.sock:  # that connection may have ended, and another may be open by now
                self._drop(reason_of_error(error))
            ends = accumulate(map(len, encoded))
            # A command of which some bytes were sent may count at the agent, even without its end.
            unsent = [
                command
                for command, raw, end in zip(commands, encoded, ends, strict=True)
                if end - len(raw) >= written
            ]
            self._report_unsent(unsent)

    def _report_unsent(self, commands: list[AgentCommand]) -> None:
        unsent = [command for command in commands if not isinstance(command, SampleGauges)]
        if unsent:
            self.post_event(CommandsNotSent(unsent))

    def check_silence(self, _: float) -> None:
        """Drops a connection that hangs without closing, in either direction; called on each sampling tick.

        Before the first greeting silence is normal, as the machine may come up long after this program. Ticks
        are counted instead of time: while this process is paused it can receive nothing.
        """
        is_silent = not self.received_since_check and self.sock is not None and self.was_ever_connected
        self.silent_ticks = self.silent_ticks + 1 if is_silent else 0
        self.received_since_check = False
        if self.silent_ticks >= MAX_SILENT_TICKS:
            self._drop(CloseReason.UNRESPONSIVE)

    def _drop(self, reason: CloseReason) -> None:
        """Closes the socket; the reading greenlet wakes, reports the end and connects again."""
        self.drop_reason = self.drop_reason or reason
        if self.sock is not None:
            self.sock.close()

    def _run_session(self) -> CloseReason:
        sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.received_since_check = True
        self.outgoing = RingBuffer()
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect(self.address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.subscribed_at_ms = time.monotonic() * 1000.0
            sock.sendall(codec.encode_subscribe(self.last_notice))
            sock.settimeout(None)  # the machine may come up long after this
            return self._read_notices(sock, RingBuffer(READ_BUFFER_BYTES))
        except OSError as error:
            return reason_of_error(error)
        except codec.ProtocolError as error:
            logger.error("the agent sent {}", error)
            return CloseReason.PROTOCOL_ERROR
        finally:
            self.sock = None
            sock.close()

    def _read_notices(self, sock: socket.socket, buffer: RingBuffer) -> CloseReason:
        while True:
            free = buffer.writable_view()
            count = sock.recv_into(free)
            if count == 0:
                return CloseReason.CLOSED_BY_PEER
            was_filled = count == len(free)
            buffer.mark_written(count)
            self.received_since_check = True
            for count, notice in enumerate(codec.decode_notices(buffer), 1):
                if isinstance(notice, codec.GreetingNotice) and not self.is_connected:
                    if self._detect_restart(notice.uptime_ms):
                        # A restarted agent numbers its notices from 1 again. Subscribing from the last number
                        # would hide them.
                        self.last_notice = 0
                        self.has_restarted = True
                        return CloseReason.CLOSED_LOCALLY
                    self.is_connected = self.was_ever_connected = True
                self.handle_notice(notice)
                if count % NOTICES_PER_TURN == 0:
                    yield_to_io()  # thousands may arrive at once after a disconnection
            if was_filled:
                yield_to_io()

    def _detect_restart(self, uptime_ms: float) -> bool:
        """Whether the agent has been up for far less than its last greeting implies.

        A greeting that is read late must not look like a restart. Of the time between two greetings only the
        part that surely passed counts: from reading the first to requesting the second.
        """
        missing_ms = 0.0
        if self.last_uptime is not None:
            passed_ms = max(0.0, self.subscribed_at_ms - self.last_uptime.read_at_ms)
            missing_ms = self.last_uptime.uptime_ms + passed_ms - uptime_ms
            missing_ms = missing_ms if missing_ms > RESTART_MISSING_SHARE * passed_ms else 0.0
        self.last_uptime = _Uptime(uptime_ms, time.monotonic() * 1000.0)
        return missing_ms > RESTART_MISSING_MS

    def handle_notice(self, notice: codec.Notice) -> None:
        """Posts the event that a notice stands for; a numbered notice counts once."""
        match notice:
            case codec.GreetingNotice(is_cold, uptime_ms):
                self.post_event(AgentConnected(is_cold, uptime_ms, self.has_restarted))
                self.has_restarted = False
            case codec.OutcomeNotice(number, exchange_id, outcome, duration_ms, result):
                if self._claim_number(number):
                    self.post_event(RunEnded(exchange_id, outcome, duration_ms, result))
            case codec.RequestNotice(number, exchange_id, body):
                if self._claim_number(number):
                    self.post_event(CallRequested(exchange_id, body))
            case codec.SampledNotice(tag, values):
                gauges = Gauges()
                for name, value in zip(self.gauges, values, strict=False):
                    if name:
                        setattr(gauges, name, value)
                self.post_event(GaugesSampled(tag, gauges))
            case codec.RefusalNotice(command, exchange_id):
                COMMAND_REFUSED.log(command[:MAX_LOGGED_CHARS], exchange_id[:MAX_LOGGED_CHARS])
                # A refused start ran nothing; a run that the agent doesn't know has ended.
                if command == "launch":
                    self.post_event(RunEnded(exchange_id, Outcome.NOT_STARTED, 0.0, b"", refused=True))
                elif command == "freeze":
                    self.post_event(RunEnded(exchange_id, Outcome.CANCELLED, 0.0, b""))
            case codec.AsideNotice(number):
                self._claim_number(number)
            case codec.UnknownNotice(line):
                UNKNOWN_NOTICE.log(line[:MAX_LOGGED_CHARS])

    def _claim_number(self, number: int) -> bool:
        """Marks a notice as read. Returns False if it was read before, as after a new connection."""
        if number <= self.last_notice:
            return False
        self.last_notice = number
        return True
