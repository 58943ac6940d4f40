"""The actor of the membership list: reports UP or OUT, again and again, and at once on a change."""

from __future__ import annotations

import time

import gevent
import httptools
from gevent import socket
from loguru import logger

from myrtlecrank.core.connection_errors import End, of_error
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.frames.ring_buffer import RingBuffer

EVERY_MS, AGAIN_MS = 800.0, 200.0  # an entry lapses 3 s after its last report
CALL_S = 1.0
MISSES = 3  # reports in a row without an answer that make a line in the log


class _Reply:
    """Takes in one answer."""

    def __init__(self) -> None:
        self.whole, self.status = False, 0
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        if not self.whole:  # what follows the first belongs to no report
            self.whole, self.status = True, self.parser.get_status_code()


class Roll:
    def __init__(self, address: tuple[str, int], name: str) -> None:
        self.address, self.name = address, name
        self.mailbox: Mailbox[bool] = Mailbox(64)
        self.well: bool | None = None  # nothing is reported before the start
        self.due = float("inf")  # when the next report is
        self.told: bool | None = None  # what the list has last been told
        self.sock: socket.socket | None = None
        self.calling: bool | None = None  # the report that is under way
        self.sent = False  # it was written whole
        self.away = False
        self.misses = 0  # reports in a row that were not answered

    def run(self) -> None:
        while True:
            self.well, self.due = self.mailbox.take()[-1], float("inf")
            done = self.report(self.well)
            self.due = time.monotonic() * 1000.0 + (EVERY_MS if done else AGAIN_MS)

    def tell(self, well: bool) -> None:
        """Reports a change at once: the answer to a report that says otherwise is no longer waited for, as
        the list may never give it."""
        self.mailbox.post(well)
        if self.calling is not None and self.calling is not well:
            self._close()

    def move(self, address: tuple[str, int]) -> None:
        """Leaves the old address at once and reports to the new one."""
        if address == self.address:
            return
        self.address, self.told = address, None
        self._close()
        if self.well is not None and not self.mailbox:
            self.mailbox.post(self.well)

    def beat(self, _: float) -> None:
        """Hangs on the module's beat: were that to stop, the entry would lapse, as it should."""
        if self.well is not None and time.monotonic() * 1000.0 >= self.due and not self.mailbox:
            self.mailbox.post(self.well)

    def report(self, well: bool) -> bool:
        """One call, on the connection of the last if it still stands."""
        fresh = self.sock is None
        self.calling, self.sent = well, False
        try:
            with gevent.Timeout(CALL_S, TimeoutError):
                end = self._call(well)
                if end in (End.CLOSED, End.RESET) and not fresh:
                    end = self._call(well)  # the list had closed the idle connection
        except TimeoutError:
            self._close()
            end = End.SILENT
        self.calling = None
        if end is not End.LEFT:
            self._note(end)
        if end is None or (end is End.SILENT and self.sent):
            self.told = well  # a report that arrived whole counts without its answer
        return end is None

    def _call(self, well: bool) -> End | None:
        body = b'{"phase":"%b"}' % (b"UP" if well else b"OUT")
        head = f"PUT /members/{self.name} HTTP/1.1\r\nHost: members\r\nContent-Length: {len(body)}\r\n\r\n"
        reply = _Reply()
        try:
            sock = self.sock
            if sock is not None and self._stale(sock):
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
            self.sent = True
            while not reply.whole:
                count = sock.recv_into(incoming.writable_view())
                if not count:
                    self._close()
                    return End.CLOSED
                incoming.mark_written(count)
                reply.parser.feed_data(incoming.read(count))
            if not reply.parser.should_keep_alive():
                self._close()
            return None if reply.status == 204 else End.BROKEN
        except OSError as error:
            self._close()
            return of_error(error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._close()
            return End.BROKEN

    def _stale(self, sock: socket.socket) -> bool:
        """Guards against an answer to an earlier report that comes late: it would count for the next. The end
        of an idle connection is seen here as well."""
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

    def _note(self, end: End | None) -> None:
        """One line when the list goes away, one when it is back; a report that gets no answer now and then
        is no news."""
        self.misses = 0 if end is None else self.misses + 1
        if end is not None and self.misses == MISSES:
            logger.warning("the membership list: {}", end.value)
            self.away = True
        elif end is None and self.away:
            logger.info("the membership list answers again")
            self.away = False
