"""The actor of the link below: writes calls, reads how they ended, opens the link again when it is lost."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from loguru import logger

from myrtlecrank.core.connection_errors import OUTCOMES, End, of_error
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import Abandon, Below, Call, CallEnded, Event
from myrtlecrank.dependency import codec
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import Outcome

MAILBOX = 4096
CONNECT_S = 1.0
PAUSE_S = 0.02  # between tries to connect
UNSENT_MS = 1000.0  # the longest that a call waits for a link before it counts as never having left
OVERDUE_MS, OVERDUE_BEATS = 200.0, 10  # past its time a call is looked for on so many beats
BEAT_MS = 100.0
SILENT_CALLS, FADES = 2.0, 0.95  # longest calls that a link may be silent for; how they fade
FIRST_READ = 4096


class Wire:
    """One connection and the calls that are out on it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.out: dict[str, tuple[float, float]] = {}  # when each went out, and is over at the latest
        self.late_beats = self.quiet_beats = 0  # since a call is overdue; since a word came
        self.writing = False
        self.dropped: End | None = None

    def drop(self, end: End) -> None:
        """Its reader wakes and tells what became of the calls."""
        self.dropped = self.dropped or end
        self.sock.close()


class BelowLink:
    def __init__(self, address: tuple[str, int], tell: Callable[[Event], None], patience: float) -> None:
        """`patience`: ms without a word that are in order, however quick calls have been so far."""
        self.address, self.tell, self.patience = address, tell, patience
        self.longest = 0.0  # ms that calls took of late
        self.mailbox: Mailbox[Below] = Mailbox(MAILBOX)
        self.wire: Wire | None = None
        self.wires: dict[Wire, None] = {}  # those left behind, too, while calls are out on them
        self.now = 0.0
        self.away = False

    def run(self) -> None:
        """Writes what is wanted; many calls share one connection."""
        while True:
            wanted = self.mailbox.take()
            wire = self.wire
            if wire is not None and wire.dropped is not None:
                wire = None  # its reader has not woken yet; what were put out on it would seem to have left
            if wire is None and any(isinstance(one, Call) for one in wanted):
                wire = self._open(max(one.timeout for one in wanted if isinstance(one, Call)))
            self._share_out(wire, wanted)

    def _share_out(self, wire: Wire | None, wanted: list[Below]) -> None:
        """Calls go out on `wire`; one that is given up is so on the link that it is out on, which may be one
        that was left behind."""
        rings: dict[Wire, RingBuffer] = {}
        for one in wanted:
            # A call is out before its first byte: once the write has begun nothing proves that it never came.
            if isinstance(one, Abandon):
                holder = next((other for other in self.wires if one.ident in other.out), None)
                if holder is None:
                    continue
                del holder.out[one.ident]
            elif wire is None:
                self.tell(CallEnded(one.ident, Outcome.UNREACHED, b""))
                continue
            else:
                holder = wire
                wire.out[one.ident] = self.now, self.now + one.timeout
            rings.setdefault(holder, RingBuffer()).append(codec.command(one))
        for holder, ring in rings.items():
            self._write(holder, ring)
            if holder is not self.wire and not holder.out:
                holder.drop(End.LEFT)  # nothing comes back on it any more that anybody waits for

    def _write(self, wire: Wire, ring: RingBuffer) -> None:
        wire.writing = True
        try:
            while ring:
                ring.discard(wire.sock.send(ring.readable_view()))
        except OSError as error:
            wire.drop(of_error(error))
        wire.writing = False

    def _open(self, patience: float) -> Wire | None:
        """A connection, tried for as long as the calls can wait for one."""
        tried = 0.0
        while tried < min(UNSENT_MS, patience):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                sock.settimeout(CONNECT_S)
                sock.connect(self.address)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                sock.close()
                if not self.away:
                    logger.warning("the layer below: {}", of_error(error).value)
                self.away = True
                tried += CONNECT_S * 1000.0 if of_error(error) is End.SILENT else PAUSE_S * 1000.0
                gevent.sleep(PAUSE_S)
                continue
            sock.settimeout(None)
            if self.away:
                logger.info("the layer below answers again")
            self.away = False
            self.wire = wire = Wire(sock)
            self.wires[wire] = None
            gevent.spawn(self._read, wire)
            return wire
        return None

    def move(self, address: tuple[str, int]) -> None:
        """New calls go to the new address; what is out on the old one may still come back from there."""
        if address == self.address:
            return
        self.address = address
        wire, self.wire = self.wire, None
        if wire is not None and not wire.out:
            wire.drop(End.LEFT)

    def look(self, now: float) -> None:
        """Guards against a layer that never says how a call ended, and a link that hangs: most calls are
        abandoned when their exchange is due, no later than they are themselves, so a link is known by silence
        alone. Beats are counted, not time: while we stand still nothing can be heard."""
        self.now = now
        for wire in list(self.wires):
            late = bool(wire.out) and now > min(until for _, until in wire.out.values()) + OVERDUE_MS
            wire.late_beats = wire.late_beats + 1 if late else 0
            # A write that stands still counts too: where all that it gives up was all that was out, nothing
            # else would end it, and it holds up every call behind it.
            wire.quiet_beats = wire.quiet_beats + 1 if wire.out or wire.writing else 0
            quiet = wire.quiet_beats * BEAT_MS > max(self.patience, SILENT_CALLS * self.longest)
            if quiet or wire.late_beats > OVERDUE_BEATS:
                wire.drop(End.SILENT)

    def _read(self, wire: Wire) -> None:
        end = self._replies(wire)
        end = wire.dropped or end
        wire.sock.close()
        self.wires.pop(wire, None)
        if self.wire is wire:
            self.wire = None
        if wire.out:
            logger.warning("the link below {} with {} calls out", end.value, len(wire.out))
        lost = Outcome.RESET if end in (End.UNREACHED, End.LEFT) else OUTCOMES[end]
        for ident in wire.out:
            self.tell(CallEnded(ident, lost, b""))
        wire.out.clear()

    def _replies(self, wire: Wire) -> End:
        ring = RingBuffer(FIRST_READ)
        try:
            while True:
                count = wire.sock.recv_into(ring.writable_view())
                if count == 0:
                    return End.CLOSED
                ring.mark_written(count)
                wire.quiet_beats = 0
                for reply in codec.replies(ring):
                    sent, _ = wire.out.pop(reply.ident, (None, 0.0))
                    if sent is not None:
                        self.longest = max(self.now - sent, FADES * self.longest)
                        self.tell(CallEnded(reply.ident, reply.outcome, reply.result))
                if wire is not self.wire and not wire.out:
                    return End.LEFT
        except OSError as error:
            return of_error(error)
        except codec.Broken as error:
            logger.error("the layer below sent {}", error)
            return End.BROKEN
