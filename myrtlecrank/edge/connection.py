"""One connection of a caller: a ring buffer in each direction and the streams that are open on it."""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event as Flag

from myrtlecrank.core.clock import now_ms
from myrtlecrank.core.connection_errors import CloseReason, reason_of_error
from myrtlecrank.core.messages import ExchangeRequest
from myrtlecrank.core.published_state import PublishedState
from myrtlecrank.edge.input_end import InputEnd, InputState
from myrtlecrank.edge.limits import MAX_UNSENT_BYTES, BufferPool
from myrtlecrank.edge.progress import ConnectionState, ProgressMonitor
from myrtlecrank.edge.read_account import ReadAccount, ReadPriority
from myrtlecrank.edge.turns import FRAMES_PER_TURN, TurnScheduler
from myrtlecrank.frames import codec
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.log import LimitedLine

READ_BUFFER_BYTES = 2048  # initial size; the buffer grows while more arrives
MAX_DISCARDING_READS = 16
# Limits on the input that is still read, and dropped, before a close.
LINGER_S = 0.5
LINGER_BYTES = 262_144
# Interval between checks whether a caller that shut down its sending side is still there.
FIRST_PEER_CHECK_S = 0.001
MAX_PEER_CHECK_S = 0.1
MAX_STREAM_GAPS = 1024  # streams beyond a gap in their numbers that are remembered one by one
CONNECTION_ENDS = LimitedLine("WARNING", "a connection ends, as it brought {}")
EXCHANGE_INVALID = LimitedLine("WARNING", "an exchange is terminated: it brought {}")
FrameHandler = Callable[["Connection", codec.Request | codec.Abandoned], None]


class Connection:
    """Reads frames, hands requests to `handle_frame` and writes the answers.

    With `allows_abandon` the caller may send frames that abandon one exchange.
    """

    def __init__(
        self,
        sock: socket.socket,
        published_state: PublishedState,
        handle_frame: FrameHandler,
        turns: TurnScheduler,
        large_frames: BufferPool,
        now: float,
        allows_abandon: bool = False,
    ) -> None:
        self.sock = sock
        self.turns = turns
        self.account = ReadAccount(now)
        self.turn_priority = ReadPriority.NEW  # of the present turn
        self.published_state = published_state
        self.handle_frame = handle_frame
        self._send: Callable[..., int] = sock.send  # gevent's send takes a time-out as well
        self.incoming = RingBuffer(READ_BUFFER_BYTES)
        self.outgoing = RingBuffer()
        self.decoder = codec.Decoder(self.incoming, allows_abandon, large_frames)
        self.open_streams: dict[int, ExchangeRequest | None] = {}
        self.caller: int | None = None
        self.streams_used_up_to = 0
        self.streams_used_beyond = set[int]()
        self.last_used_ms = now
        self.go_away_sent_at_ms: float | None = None
        self.close_reason: CloseReason | None = None
        self.is_reading = False
        self.is_awaiting_turn = False  # with input that was not looked at yet
        self.is_flushing = False
        # Why nothing more is read. Open streams are still answered.
        self.read_close_reason: CloseReason | None = None
        self.bytes_sent = 0
        self.frames_received = 0
        self.progress = ProgressMonitor()
        self.write_progress = Flag()
        self.input_end = InputEnd(sock.fileno())
        self.is_input_end_answered = False  # by a GO_AWAY frame

    def run(self) -> CloseReason:
        """Reads until the connection ends or sends nothing more, then answers what was read by then."""
        try:
            self._read()
        except codec.ProtocolError as error:
            CONNECTION_ENDS.log(error)
            self.read_close_reason = CloseReason.PROTOCOL_ERROR
            self.send(codec.encode_connection_error(self.published_state.published_value))
        except OSError as error:
            self._set_close_reason(reason_of_error(error))
        self.is_reading = False
        if self.read_close_reason is not None and self.close_reason is None:
            self._finish_open_streams(self.read_close_reason)
        return self.close_reason or CloseReason.CLOSED_LOCALLY

    def _read(self) -> None:
        while self.close_reason is None:
            self.is_reading = True
            count = self.sock.recv_into(self.incoming.writable_view())
            self.is_reading = False
            if count == 0:
                self.read_close_reason = CloseReason.CLOSED_BY_PEER
                return
            self.incoming.mark_written(count)
            self._take_turn(count)
            while self.decoder.may_have_frame and self.close_reason is None:
                self._take_turn(0)

    def _take_turn(self, received_bytes: int) -> None:
        """Waits for this connection's turn, then handles as many frames as one turn allows.

        A connection that always has data never waits for it, so it must wait here."""
        self.is_awaiting_turn = True
        self.turn_priority = self.account.priority(now_ms())
        self.turns.wait(self.turn_priority)
        self.is_awaiting_turn = False
        frames_before = self.frames_received
        try:
            self._handle_frames()
        finally:
            frame_count = self.frames_received - frames_before
            self.account.charge(frame_count, received_bytes)
            self.turns.end_turn(frame_count)
        self.flush()
        while len(self.outgoing) > MAX_UNSENT_BYTES and self.close_reason is None:
            self.write_progress.clear()
            self.write_progress.wait()

    def _handle_frames(self) -> None:
        """Handles the frames of one turn, unless the caller is gone."""
        if self.close_reason is None and self._caller_is_gone():
            raise ConnectionResetError(errno.ECONNRESET, "the caller has closed the connection")
        for frame in self.decoder.frames(FRAMES_PER_TURN):
            self._dispatch(frame)

    def _caller_is_gone(self) -> bool:
        """Whether the caller has closed the connection, although more that it sent before lies unread.

        What is left must not be submitted then. The end of the input alone may be a caller that only shut its
        sending side: writing shows which it is, at once where the caller is near."""
        state = self.input_end.state()
        if state is InputState.ENDED and not self.is_input_end_answered:
            self.is_input_end_answered = True
            self.send(codec.encode_go_away())
            gevent.sleep(FIRST_PEER_CHECK_S)
            state = self.input_end.state() if self.close_reason is None else InputState.RESET
        return state is InputState.RESET

    def _finish_open_streams(self, read_end: CloseReason) -> None:
        """Waits until the open streams are answered, then ends the connection.

        A caller that shut down its sending side, or that sent bytes which are not a frame, may still listen
        for the answers to earlier exchanges. Only writing shows whether one that shut its side is gone
        altogether; a GO_AWAY frame is redundant for one that is still connected.
        """
        if read_end is CloseReason.CLOSED_BY_PEER and self.open_streams and not self.is_input_end_answered:
            self.send(codec.encode_go_away())
        pause_s = FIRST_PEER_CHECK_S
        while (self.open_streams or self.outgoing) and self.close_reason is None:
            self.write_progress.clear()
            self.write_progress.wait(pause_s if read_end is CloseReason.CLOSED_BY_PEER else None)
            if read_end is CloseReason.CLOSED_BY_PEER:
                self._check_peer()
                pause_s = min(2.0 * pause_s, MAX_PEER_CHECK_S)
        if read_end is CloseReason.PROTOCOL_ERROR and self.close_reason is None:
            self._linger()
        self._set_close_reason(read_end)

    def _linger(self) -> None:
        """Reads what still arrives and drops it.

        A close with unread bytes is a reset, which destroys what is on its way to the caller.
        """
        scratch, remaining = bytearray(READ_BUFFER_BYTES), LINGER_BYTES
        try:
            with gevent.Timeout(LINGER_S, TimeoutError):
                self.sock.shutdown(socket.SHUT_WR)
                while remaining > 0:
                    count = self.sock.recv_into(scratch)
                    if count == 0:
                        return
                    remaining -= count
        except OSError:
            pass

    def discard_unread(self) -> None:
        """Drops what lies unread in the socket's buffer, without waiting and in a bounded number of reads."""
        with suppress(OSError):
            self.sock.settimeout(0.0)
            for _ in range(MAX_DISCARDING_READS):
                if not self.sock.recv(LINGER_BYTES):
                    return

    def has_pending_answers(self) -> bool:
        """Whether an answer is owed on this connection or still being sent."""
        return bool(self.open_streams or self.outgoing or self.is_flushing)

    def has_no_input(self) -> bool:
        """Whether neither part of a frame nor unread bytes in the socket's buffer are there.

        A connection with input that was never read must not count as idle.
        """
        try:
            return not (self.decoder.is_mid_frame() or self._peek_byte())
        except OSError:
            return True

    def _peek_byte(self) -> bytes:
        """Returns the next byte without taking it; raises like any read that does not wait."""
        timeout_s = self.sock.gettimeout()
        self.sock.settimeout(0.0)
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        finally:
            self.sock.settimeout(timeout_s)

    def _dispatch(self, frame: codec.Frame) -> None:
        self.frames_received += 1
        if isinstance(frame, codec.Abandoned):
            self.handle_frame(self, frame)
            return
        if isinstance(frame, codec.HealthCheck):
            state = self.published_state
            self.queue(codec.encode_health_status(frame.stream, state.healthy, state.published_value))
            return
        if not self._claim_stream(frame.stream):
            raise codec.ProtocolError(f"the stream {frame.stream} twice")
        if isinstance(frame, codec.InvalidRequest):
            self.reject(frame.stream, frame.reason)
        elif len(self.open_streams) >= codec.MAX_OPEN_STREAMS:
            self.reject(frame.stream, f"more than {codec.MAX_OPEN_STREAMS} exchanges at a time")
        else:
            self.open_streams[frame.stream] = None
            self.handle_frame(self, frame)

    def reject(self, stream: int, reason: str) -> None:
        """Terminates an exchange that cannot be taken in; the rest of the connection goes on."""
        EXCHANGE_INVALID.log(reason)
        self.open_streams.pop(stream, None)
        self.queue(codec.encode_answer(stream, codec.TERMINATED, self.published_state.published_value))

    def refuse(self, stream: int, retry_after_ms: float) -> None:
        """Denies an exchange for which there is no memory; it may come again."""
        self.open_streams.pop(stream, None)
        value = self.published_state.published_value
        self.queue(codec.encode_answer(stream, codec.DENIED, value, retry_after_ms))

    def _claim_stream(self, stream: int) -> bool:
        """Marks a stream number as used. Returns False if it was used before."""
        if stream == self.streams_used_up_to + 1 and not self.streams_used_beyond:
            self.streams_used_up_to = stream
            return True
        if stream <= self.streams_used_up_to or stream in self.streams_used_beyond:
            return False
        self.streams_used_beyond.add(stream)
        if len(self.streams_used_beyond) > MAX_STREAM_GAPS:
            self.streams_used_up_to = min(self.streams_used_beyond) - 1
        while self.streams_used_up_to + 1 in self.streams_used_beyond:
            self.streams_used_up_to += 1
            self.streams_used_beyond.remove(self.streams_used_up_to)
        return True

    def queue_answer(self, stream: int, frame: bytes) -> None:
        """Queues the answer of an open stream; a flush() must follow."""
        if self.close_reason is None and self.open_streams.pop(stream, None) is not None:
            self.queue(frame)
            if self.read_close_reason is not None:
                self.write_progress.set()

    def send_go_away(self, now: float) -> None:
        """Asks the caller, once, to send no new exchange on this connection.

        A connection on which nothing more is read sends nothing new anyway. Writing to it may fail, which
        would end it and destroy the answers that are still on their way.
        """
        if self.go_away_sent_at_ms is None and self.close_reason is None and self.read_close_reason is None:
            self.go_away_sent_at_ms = now
            self.send(codec.encode_go_away())

    def send(self, data: bytes) -> None:
        """Queues `data` and flushes."""
        self.queue(data)
        self.flush()

    def queue(self, data: bytes) -> None:
        """Queues `data` unless the connection has ended; a flush() must follow."""
        if self.close_reason is None:
            self.outgoing.append(data)

    def flush(self) -> None:
        """Writes what the socket takes at once; a greenlet writes the rest to a slow reader."""
        if self.is_flushing or not self.outgoing or self.close_reason is not None:
            return
        try:
            self._write(0.0)
        except BlockingIOError:
            self.is_flushing = True
            gevent.spawn(self._flush_rest)
        except OSError as error:
            self.close(reason_of_error(error))
        if self.read_close_reason is not None:
            self.write_progress.set()

    def _write(self, timeout: float | None) -> None:
        while self.outgoing and self.close_reason is None:
            count = self._send(self.outgoing.readable_view(), 0, timeout)
            self.outgoing.discard(count)
            self.bytes_sent += count

    def _flush_rest(self) -> None:
        try:
            self._write(None)
        except OSError as error:
            self.close(reason_of_error(error))
        self.is_flushing = False
        self.write_progress.set()

    def check_timeouts(self, elapsed_ms: float) -> None:
        """Closes the connection if its reader has stalled or a frame, or the first one, does not complete.

        One call on each sampling tick is cheaper than a time-out on every socket call. `elapsed_ms` counts
        only time in which this process ran.
        """
        state = ConnectionState(
            self.bytes_sent,
            self.is_flushing,
            self.frames_received,
            self.decoder.is_mid_frame(),
            self.is_reading,
            has_pending_answers=bool(self.open_streams or self.outgoing),
        )
        reason = self.progress.check(state, elapsed_ms)
        if reason is not None:
            self.close(reason)

    def _check_peer(self) -> None:
        """Closes the connection if the caller has reset it.

        After the end of the input no read reports a reset any more; the socket's error option does.
        """
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.close(reason_of_error(OSError(error, "")))

    def close(self, reason: CloseReason) -> None:
        """Closes the socket; the reading greenlet wakes and reports the end."""
        self._set_close_reason(reason)
        self.decoder.release()
        self.sock.close()
        self.write_progress.set()

    def _set_close_reason(self, reason: CloseReason) -> None:
        """Records why the connection ended; the first reason stays."""
        if self.close_reason is None:
            self.close_reason = reason
