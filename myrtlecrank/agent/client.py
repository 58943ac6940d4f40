"""The actor of the agent's link: holds it open, opens it again, and passes commands and notices on."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event as Flag
from loguru import logger

from myrtlecrank.agent import codec
from myrtlecrank.core.connection_errors import End, of_error
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import (
    AtCall,
    Command,
    Event,
    Greeted,
    Launch,
    Parted,
    RunEnded,
    Sampled,
    Unsent,
)
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Gauges, Outcome

FIRST_PAUSE, LONGEST_PAUSE = 0.02, 0.25  # seconds between tries to connect
CONNECT_S = 2.0
SILENT_BEATS = 15  # once greeted the agent is asked on every beat (100 ms), so it is never silent for long
ANEW_MS = 1000.0  # that an agent's time is short of what it should be, at the least, if it began anew
MAILBOX = 4096
FIRST_READ = 4096  # bytes asked for at a time, more where more comes


class Link:
    def __init__(self, address: tuple[str, int], gauges: list[str], tell: Callable[[Event], None]) -> None:
        self.address, self.gauges, self.tell = address, gauges, tell
        self.mailbox: Mailbox[Command] = Mailbox(MAILBOX)
        self.read = 0  # the last notice that was read
        self.greeted = self.known_up = False
        self.outgoing = RingBuffer()
        self.heard, self.quiet = False, 0  # since the last beat; beats on which nothing had come
        self.sock: socket.socket | None = None
        self.dropped: End | None = None
        self.began: tuple[float, float] | None = None  # how long the agent was up, and when that was read
        self.asked = 0.0  # when the greeting that is waited for was asked for
        self.anew = False  # it has begun anew since the last greeting that was told
        self.moved = Flag()  # the address is another than the one tried last

    def run(self) -> None:
        """Reads the link for as long as the program lives."""
        pause = FIRST_PAUSE
        while True:
            self.greeted = False
            self.dropped = None
            self.moved.clear()
            end = self._session()
            end = self.dropped or end
            if self.greeted:
                pause = FIRST_PAUSE
                logger.warning("the agent's link {}", end.value)
                self.tell(Parted(end))
            moved = self.moved.wait(pause)
            pause = FIRST_PAUSE if moved else min(LONGEST_PAUSE, 2.0 * pause)

    def move(self, address: tuple[str, int]) -> None:
        """Leaves the old address at once, in whatever state the link is there. What was read counts on: the
        new link subscribes from it, and what is in doubt is settled as after any link that ended."""
        if address != self.address:
            self.address = address
            self.moved.set()
            self._drop(End.LEFT)

    def write(self) -> None:
        """Writes the commands, many at a time; what finds no link is left to the notices after the next."""
        while True:
            wanted = self.mailbox.take()
            sock, ring = self.sock, self.outgoing
            if sock is None or not self.greeted or self.dropped is not None:
                unsent = [command.ident for command in wanted if isinstance(command, Launch)]
                if unsent:
                    self.tell(Unsent(unsent))
                continue
            try:
                ring.append(b"".join(map(codec.command, wanted)))
                while ring:
                    ring.discard(sock.send(ring.readable_view()))
            except OSError as error:
                if sock is self.sock:  # it may have ended, and another may stand by now
                    self._drop(of_error(error))

    def look(self, _: float) -> None:
        """Guards against a link that hangs without closing, in either direction. Before the first greeting
        silence is in order: the machine may come up long after us. Beats are counted, not time: while we
        stand still nothing can be heard."""
        self.quiet = 0 if self.heard or self.sock is None or not self.known_up else self.quiet + 1
        self.heard = False
        if self.quiet >= SILENT_BEATS:
            self._drop(End.SILENT)

    def _drop(self, end: End) -> None:
        """The reader wakes, tells the end and opens another."""
        self.dropped = self.dropped or end
        if self.sock is not None:
            self.sock.close()

    def _session(self) -> End:
        sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.heard, self.outgoing = True, RingBuffer()
        try:
            sock.settimeout(CONNECT_S)
            sock.connect(self.address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.asked = time.monotonic() * 1000.0
            sock.sendall(codec.subscribe(self.read))
            sock.settimeout(None)  # the machine may come up long after this
            return self._notices(sock, RingBuffer(FIRST_READ))
        except OSError as error:
            return of_error(error)
        except codec.Broken as error:
            logger.error("the agent sent {}", error)
            return End.BROKEN
        finally:
            self.sock = None
            sock.close()

    def _notices(self, sock: socket.socket, ring: RingBuffer) -> End:
        while True:
            room = ring.writable_view()
            count = sock.recv_into(room)
            if count == 0:
                return End.CLOSED
            full = count == len(room)
            ring.mark_written(count)
            self.heard = True
            for notice in codec.notices(ring):
                if isinstance(notice, codec.Greeting) and not self.greeted:
                    if self._began_anew(notice.up):
                        # Its notices are numbered from 1 again, which what was read before would hide.
                        self.read, self.anew = 0, True
                        return End.LEFT
                    self.greeted = self.known_up = True
                self.notice(notice)
            if full:
                gevent.sleep(0)  # after a break thousands may come at once: the others get their turn

    def _began_anew(self, up: float) -> bool:
        """Whether the agent is up for far less than it should be by what it said before. Guards against
        taking a greeting that was read late for a new start: of the time between two of them counts what
        surely passed, from when the first was read to when the second was asked for."""
        missing = 0.0
        if self.began is not None:
            passed = max(0.0, self.asked - self.began[1])
            missing = self.began[0] + passed - up
            missing = missing if missing > 0.5 * passed else 0.0
        self.began = up, time.monotonic() * 1000.0
        return missing > ANEW_MS

    def notice(self, notice: codec.Notice) -> None:
        match notice:
            case codec.Greeting(cold, up):
                self.tell(Greeted(cold, up, self.anew))
                self.anew = False
            case codec.Ended(number, ident, outcome, took, result):
                if self._new(number):
                    self.tell(RunEnded(ident, outcome, took, result))
            case codec.Needs(number, ident, body):
                if self._new(number):
                    self.tell(AtCall(ident, body))
            case codec.Gauged(tag, values):
                told = Gauges()
                for name, value in zip(self.gauges, values, strict=False):
                    if name:
                        setattr(told, name, value)
                self.tell(Sampled(tag, told))
            case codec.Refused(command, ident):
                logger.warning("the agent refused to {} {}", command, ident)
                # A launch that was refused ran nothing; a run that it does not know has ended.
                if command == "launch":
                    self.tell(RunEnded(ident, Outcome.MOOT, 0.0, b"", refused=True))
                elif command == "freeze":
                    self.tell(RunEnded(ident, Outcome.CANCELLED, 0.0, b""))
            case codec.Aside(number):
                self._new(number)
            case codec.Unknown(line):
                logger.warning("a notice that is not known: {!r}", line[:120])

    def _new(self, number: int) -> bool:
        """Guards against notices that come once more after a link was opened again."""
        if number <= self.read:
            return False
        self.read = number
        return True
