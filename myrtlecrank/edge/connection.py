"""One connection of a caller: a ring in each direction and the streams that are open on it."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event as Flag
from loguru import logger

from myrtlecrank.core.board import Board
from myrtlecrank.core.ends import End, of_error
from myrtlecrank.core.letters import Ticket
from myrtlecrank.frames import codec
from myrtlecrank.frames.ring import Ring

UNSENT = 4 * codec.RESULT  # what may wait for a slow reader before we stop reading it
STUCK_MS = 5000.0  # a reader that takes nothing for so long is gone
GAPS = 1024  # streams beyond a gap in their numbers that are remembered one by one
Take = Callable[["Connection", codec.Ask], None]


class Connection:
    def __init__(self, sock: socket.socket, board: Board, take: Take) -> None:
        self.sock, self.board, self.take = sock, board, take
        self.incoming, self.outgoing = Ring(), Ring()
        self.decoder = codec.Decoder(self.incoming)
        self.open: dict[int, Ticket | None] = {}
        self.caller: int | None = None
        self.used_up_to, self.used_beyond = 0, set[int]()
        self.last_used = 0.0
        self.away_at: float | None = None  # when it was told to bring nothing new
        self.end: End | None = None
        self.flushing = False
        self.taken, self.taken_seen, self.stuck_since = 0, 0, 0.0
        self.drained = Flag()

    def run(self) -> End:
        """Reads until the connection ends."""
        try:
            while self.end is None:
                count = self.sock.recv_into(self.incoming.room())
                if count == 0:
                    return self._ended(End.CLOSED)
                self.incoming.wrote(count)
                for frame in self.decoder.frames():
                    self.frame(frame)
                while len(self.outgoing) > UNSENT and self.end is None:
                    self.drained.clear()
                    self.drained.wait()
        except codec.Broken as error:
            logger.warning("a connection ends, as it brought {}", error)
            self.send(codec.error(self.board.value))
            while self.outgoing and self.end is None:
                self.drained.clear()
                self.drained.wait()
            self._ended(End.BROKEN)
        except OSError as error:
            self._ended(of_error(error))
        return self.end or End.LEFT

    def frame(self, frame: codec.Ask | codec.Check | codec.Spoiled) -> None:
        if isinstance(frame, codec.Check):
            self.send(codec.checked(frame.stream, self.board.well, self.board.value))
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
        self.send(codec.answer(stream, codec.TERMINATED, self.board.value))

    def _new(self, stream: int) -> bool:
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
        if self.end is None and self.open.pop(stream, None) is not None:
            self.send(frame)

    def tell_away(self, now: float) -> None:
        if self.away_at is None and self.end is None:
            self.away_at = now
            self.send(codec.away())

    def send(self, data: bytes) -> None:
        if self.end is not None:
            return
        self.outgoing.append(data)
        if not self.flushing:
            self.flushing = True
            gevent.spawn(self._flush)

    def _flush(self) -> None:
        try:
            while self.outgoing and self.end is None:
                count = self.sock.send(self.outgoing.data())
                self.outgoing.skip(count)
                self.taken += count
        except OSError as error:
            self.close(of_error(error))
        self.flushing = False
        self.drained.set()

    def look_stuck(self, now: float) -> None:
        """Guards against readers that stall for good; cheaper than a time-out on every write."""
        if not self.flushing or self.taken != self.taken_seen:
            self.taken_seen, self.stuck_since = self.taken, now
        elif now - self.stuck_since > STUCK_MS:
            self.close(End.STUCK)

    def close(self, end: End) -> None:
        """Ends it from our side; its reader wakes and tells the others."""
        self._ended(end)
        self.sock.close()
        self.drained.set()

    def _ended(self, end: End) -> End:
        if self.end is None:
            self.end = end
        return self.end
