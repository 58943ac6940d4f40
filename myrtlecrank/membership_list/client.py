"""The client of the membership list: reports UP or OUT periodically, and at once when the health changes."""

from __future__ import annotations

import time

import gevent
import httptools
from gevent import socket
from loguru import logger

from myrtlecrank.core.connection_errors import CloseReason, reason_of_error
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.frames.ring_buffer import RingBuffer

# An entry of the membership list lapses 3 s after its last report.
REPORT_INTERVAL_MS = 800.0
RETRY_INTERVAL_MS = 200.0
REPORT_TIMEOUT_S = 1.0
MAILBOX_MESSAGES = 64
LOGGED_MISSES = 3  # reports in a row without an answer that are logged
MAX_RESPONSE_BYTES = 65_536  # a longer answer is none: nothing is read of what never ends
HTTP_NO_CONTENT = 204


class _Response:
    """Parses one HTTP response; what follows it belongs to no report and is ignored."""

    def __init__(self) -> None:
        self.is_complete = False
        self.status = 0
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        if not self.is_complete:
            self.is_complete = True
            self.status = self.parser.get_status_code()


class MembershipListClient:
    """Sends the reports of one backend, one at a time and over one connection while that lasts."""

    def __init__(self, address: tuple[str, int], name: str) -> None:
        self.address = address
        self.name = name
        self.mailbox: Mailbox[bool] = Mailbox(MAILBOX_MESSAGES)
        self.is_healthy: bool | None = None  # None before the start, when nothing is reported
        self.due_at_ms = float("inf")  # monotonic; when the next report is due
        self.last_reported: bool | None = None  # the health that was last reported; None if none or unknown
        self.sock: socket.socket | None = None
        self.report_in_progress: bool | None = None  # the health that is being reported
        self.is_report_sent = False  # the report in progress was written whole
        self.is_unreachable = False
        self.missed_reports = 0  # in a row without an answer

    def run(self) -> None:
        """Sends the reports that are put into the mailbox; of several only the last."""
        while True:
            self.is_healthy, self.due_at_ms = self.mailbox.take()[-1], float("inf")
            succeeded = self.report(self.is_healthy)
            interval_ms = REPORT_INTERVAL_MS if succeeded else RETRY_INTERVAL_MS
            self.due_at_ms = time.monotonic() * 1000.0 + interval_ms

    def report_change(self, is_healthy: bool) -> None:
        """Reports a change of health at once.

        If a report of the opposite is in progress its answer is no longer awaited, as it may never come.
        """
        self.mailbox.post(is_healthy)
        if self.report_in_progress is not None and self.report_in_progress is not is_healthy:
            self._close()

    def change_address(self, address: tuple[str, int]) -> None:
        """Leaves the old address at once and reports to the new one."""
        if address == self.address:
            return
        self.address, self.last_reported = address, None
        self._close()
        if self.is_healthy is not None and not self.mailbox:
            self.mailbox.post(self.is_healthy)

    def report_if_due(self, _: float) -> None:
        """Repeats the report when it is due.

        Called on the core's sampling tick: if that stops, the entry lapses, as it should.
        """
        if self.is_healthy is not None and time.monotonic() * 1000.0 >= self.due_at_ms and not self.mailbox:
            self.mailbox.post(self.is_healthy)

    def report(self, is_healthy: bool) -> bool:
        """Sends one report, over the open connection if there is one. Returns whether it succeeded."""
        is_new_connection = self.sock is None
        self.report_in_progress = is_healthy
        self.is_report_sent = False
        try:
            with gevent.Timeout(REPORT_TIMEOUT_S, TimeoutError):
                reason = self._send_report(is_healthy)
                if (
                    reason in (CloseReason.CLOSED_BY_PEER, CloseReason.RESET_BY_PEER)
                    and not is_new_connection
                ):
                    reason = self._send_report(is_healthy)  # the list had closed the idle connection
        except TimeoutError:
            self._close()
            reason = CloseReason.UNRESPONSIVE
        self.report_in_progress = None
        if reason is not CloseReason.CLOSED_LOCALLY:
            self._count_misses(reason)
        if reason is None or (reason is CloseReason.UNRESPONSIVE and self.is_report_sent):
            self.last_reported = is_healthy  # a report that was sent whole counts without its answer
        return reason is None

    def _send_report(self, is_healthy: bool) -> CloseReason | None:
        """Sends a report and reads the answer. Returns None on success, else how the connection ended."""
        body = b'{"phase":"%b"}' % (b"UP" if is_healthy else b"OUT")
        head = f"PUT /members/{self.name} HTTP/1.1\r\nHost: members\r\nContent-Length: {len(body)}\r\n\r\n"
        response = _Response()
        try:
            sock = self.sock
            if sock is not None and self._is_stale(sock):
                self._close()
                sock = None
            if sock is None:
                sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.connect(self.address)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            outgoing, incoming = RingBuffer(), RingBuffer()
            outgoing.append(head.encode() + body)
            while outgoing:
                outgoing.discard(sock.send(outgoing.readable_view()))
            self.is_report_sent = True
            received_bytes = 0
            while not response.is_complete:
                if received_bytes > MAX_RESPONSE_BYTES:
                    self._close()
                    return CloseReason.PROTOCOL_ERROR
                count = sock.recv_into(incoming.writable_view())
                if not count:
                    self._close()
                    return CloseReason.CLOSED_BY_PEER
                incoming.mark_written(count)
                received_bytes += count
                response.parser.feed_data(incoming.read(count))
            if not response.parser.should_keep_alive():
                self._close()
            return None if response.status == HTTP_NO_CONTENT else CloseReason.PROTOCOL_ERROR
        except OSError as error:
            self._close()
            return reason_of_error(error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._close()
            return CloseReason.PROTOCOL_ERROR

    def _is_stale(self, sock: socket.socket) -> bool:
        """Whether an idle connection has ended or holds input.

        The input is a late answer to an earlier report, which would count for the next one.
        """
        sock.settimeout(0.0)
        try:
            sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        finally:
            sock.settimeout(None)
        return True

    def _close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _count_misses(self, reason: CloseReason | None) -> None:
        """Logs once when the membership list becomes unreachable and once when it answers again.

        A single report without an answer is normal and not logged.
        """
        self.missed_reports = 0 if reason is None else self.missed_reports + 1
        if reason is not None and self.missed_reports == LOGGED_MISSES:
            logger.warning("the membership list: {}", reason.value)
            self.is_unreachable = True
        elif reason is None and self.is_unreachable:
            logger.info("the membership list answers again")
            self.is_unreachable = False
