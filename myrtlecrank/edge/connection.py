"""One connection of a caller: a ring in each direction and the streams that are open on it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event as Flag
from loguru import logger

from myrtlecrank.core.connection_errors import End, of_error
from myrtlecrank.core.messages import Ticket
from myrtlecrank.core.published_state import Board
from myrtlecrank.frames import codec
from myrtlecrank.frames.ring_buffer import Ring

FIRST_READ = 2048  # bytes asked for at a time, more where more comes
SHARE = 16  # reads after which the others get their turn, however much is still there
UNSENT = 4 * codec.RESULT  # what may wait for a slow reader before we stop reading it
STUCK_MS = 5000.0  # a reader that takes nothing for so long is gone
HALF_MS = 2000.0  # a frame, the first of a connection included, is whole by then
LINGER_S, LINGER_BYTES = 0.5, 262_144  # what still comes is taken off for so long and so much before a close
THERE_S, THERE_MOST_S = 0.001, 0.1  # between looks whether one that shut its side is still there
GAPS = 1024  # streams beyond a gap in their numbers that are remembered one by one
Take = Callable[["Connection", codec.Ask | codec.GivenUp], None]


class Connection:
    def __init__(self, sock: socket.socket, board: Board, take: Take, give_up: bool = False) -> None:
        self.sock, self.board, self.take = sock, board, take
        self._send: Callable[..., int] = sock.send  # gevent's takes a time-out as well
        self.incoming, self.outgoing = Ring(FIRST_READ), Ring()
        self.decoder = codec.Decoder(self.incoming, give_up)
        self.open: dict[int, Ticket | None] = {}
        self.caller: int | None = None
        self.used_up_to, self.used_beyond = 0, set[int]()
        self.last_used = 0.0
        self.away_at: float | None = None  # when it was told to bring nothing new
        self.end: End | None = None
        self.reading = self.flushing = False
        self.over: End | None = None  # nothing more is read; what is open is still answered
        self.taken, self.taken_seen, self.stuck_for = 0, 0, 0.0
        self.frames, self.frames_seen, self.half_for = 0, 0, 0.0
        self.drained = Flag()

    def run(self) -> End:
        """Reads until the connection ends or brings nothing more; what was read by then is answered first."""
        try:
            self._read()
        except codec.Broken as error:
            logger.warning("a connection ends, as it brought {}", error)
            self.over = End.BROKEN
            self.send(codec.error(self.board.value))
        except OSError as error:
            self._ended(of_error(error))
        self.reading = False
        if self.over is not None and self.end is None:
            self._see_off(self.over)
        return self.end or End.LEFT

    def _read(self) -> None:
        reads = 0
        while self.end is None:
            self.reading = True
            count = self.sock.recv_into(self.incoming.room())
            self.reading = False
            if count == 0:
                self.over = End.CLOSED
                return
            self.incoming.wrote(count)
            for frame in self.decoder.frames():
                self.frame(frame)
            self.flush()
            while len(self.outgoing) > UNSENT and self.end is None:
                self.drained.clear()
                self.drained.wait()
            reads += 1
            if reads % SHARE == 0:
                # Guards against a sender at full speed: a socket that always has something never waits,
                # and so would keep the loop from all others.
                gevent.sleep(0)

    def _see_off(self, end: End) -> None:
        """Guards exchanges that were read before a caller shut its side, or before bytes that are no frame:
        it may still listen for their answers. Whether one that shut its side is gone altogether only writing
        can tell: type 30 says nothing new to one that is not."""
        if end is End.CLOSED and self.open:
            self.send(codec.away())
        pause = THERE_S
        while (self.open or self.outgoing) and self.end is None:
            self.drained.clear()
            self.drained.wait(pause if end is End.CLOSED else None)
            if end is End.CLOSED:
                self._ask_if_there()
                pause = min(2.0 * pause, THERE_MOST_S)
        if end is End.BROKEN and self.end is None:
            self._linger()
        self._ended(end)

    def _linger(self) -> None:
        """A close with bytes unread is a reset, which destroys what is on its way to the caller."""
        scratch, left = bytearray(FIRST_READ), LINGER_BYTES
        try:
            with gevent.Timeout(LINGER_S, TimeoutError):
                self.sock.shutdown(socket.SHUT_WR)
                while left > 0:
                    count = self.sock.recv_into(scratch)
                    if count == 0:
                        return
                    left -= count
        except OSError:
            pass

    def take_off(self) -> None:
        """Takes what lies unread off the system's buffer, without waiting, however much still comes."""
        with suppress(OSError):
            self.sock.settimeout(0.0)
            for _ in range(SHARE):
                if not self.sock.recv(LINGER_BYTES):
                    return

    def busy(self) -> bool:
        """Whether an answer is owed here, or is still on its way out."""
        return bool(self.open or self.outgoing or self.flushing)

    def silent(self) -> bool:
        """Whether nothing has come that no frame was made of: neither half a frame nor anything that lies in
        the system's buffer. What was never read cannot be called idle."""
        try:
            return not (self.decoder.halfway() or self._glance())
        except OSError:
            return True

    def _glance(self) -> bytes:
        """The next byte, if it is there, which stays; raises like any read that does not wait."""
        usual = self.sock.gettimeout()
        self.sock.settimeout(0.0)
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        finally:
            self.sock.settimeout(usual)

    def frame(self, frame: codec.Frame) -> None:
        self.frames += 1
        if isinstance(frame, codec.GivenUp):
            self.take(self, frame)
            return
        if isinstance(frame, codec.Check):
            self.append(codec.checked(frame.stream, self.board.well, self.board.value))
            return
        if not self._new(frame.stream):
            raise codec.Broken(f"the stream {frame.stream} twice")
        if isinstance(frame, codec.Spoiled):
            self.spoiled(frame.stream, frame.why)
        elif len(self.open) >= codec.OPEN_STREAMS:
            self.spoiled(frame.stream, f"more than {codec.OPEN_STREAMS} exchanges at a time")
        else:
            self.open[frame.stream] = None
            self.take(self, frame)

    def spoiled(self, stream: int, why: str) -> None:
        """Answers what cannot be taken in; all else on the connection goes on."""
        logger.warning("an exchange is terminated: it brought {}", why)
        self.open.pop(stream, None)
        self.append(codec.answer(stream, codec.TERMINATED, self.board.value))

    def _new(self, stream: int) -> bool:
        if stream == self.used_up_to + 1 and not self.used_beyond:
            self.used_up_to = stream
            return True
        if stream <= self.used_up_to or stream in self.used_beyond:
            return False
        self.used_beyond.add(stream)
        if len(self.used_beyond) > GAPS:
            self.used_up_to = min(self.used_beyond) - 1
        while self.used_up_to + 1 in self.used_beyond:
            self.used_up_to += 1
            self.used_beyond.remove(self.used_up_to)
        return True

    def answered(self, stream: int, frame: bytes) -> None:
        """To be followed by a flush()."""
        if self.end is None and self.open.pop(stream, None) is not None:
            self.append(frame)
            if self.over is not None:
                self.drained.set()

    def tell_away(self, now: float) -> None:
        # Guards the answers of one that is being seen off: it may not be written to any more, and to end it
        # for that would destroy them. Nothing new is taken from it anyway.
        if self.away_at is None and self.end is None and self.over is None:
            self.away_at = now
            self.send(codec.away())

    def send(self, data: bytes) -> None:
        self.append(data)
        self.flush()

    def append(self, data: bytes) -> None:
        if self.end is None:
            self.outgoing.append(data)

    def flush(self) -> None:
        """Writes what the socket takes at once; only a slow reader costs a greenlet for the rest."""
        if self.flushing or not self.outgoing or self.end is not None:
            return
        try:
            self._write(0.0)
        except BlockingIOError:
            self.flushing = True
            gevent.spawn(self._flush_rest)
        except OSError as error:
            self.close(of_error(error))
        if self.over is not None:
            self.drained.set()

    def _write(self, timeout: float | None) -> None:
        while self.outgoing and self.end is None:
            count = self._send(self.outgoing.data(), 0, timeout)
            self.outgoing.skip(count)
            self.taken += count

    def _flush_rest(self) -> None:
        try:
            self._write(None)
        except OSError as error:
            self.close(of_error(error))
        self.flushing = False
        self.drained.set()

    def look(self, passed: float) -> None:
        """Guards against readers that stall for good, against a frame that never ends and a connection that
        never says anything; cheaper than a time-out on every call. Only time in which we ran counts."""
        if not self.flushing or self.taken != self.taken_seen:
            self.taken_seen, self.stuck_for = self.taken, 0.0
        else:
            self.stuck_for += passed
            if self.stuck_for > STUCK_MS:
                self.close(End.STUCK)
        if self.frames != self.frames_seen or (self.frames and not self.decoder.halfway()):
            self.frames_seen, self.half_for = self.frames, 0.0
        elif self.reading:
            self.half_for += passed
            if self.half_for > HALF_MS and not (self.open or self.outgoing):
                self.close(End.HALF)

    def _ask_if_there(self) -> None:
        """After the end of what comes no read tells of a reset any more; the socket itself does."""
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.close(of_error(OSError(error, "")))

    def close(self, end: End) -> None:
        """Ends it from our side; its reader wakes and tells the others."""
        self._ended(end)
        self.sock.close()
        self.drained.set()

    def _ended(self, end: End) -> End:
        if self.end is None:
            self.end = end
        return self.end
