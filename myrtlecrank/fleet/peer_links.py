"""Links between members: one connection for each pair, which carries whole messages in both directions. All
queues and sizes are bounded. The contents of messages are not interpreted here.

A frame is a length in four bytes, little-endian, and a message in msgpack. A message that cannot be sent
now is dropped and counted: the protocols on top tolerate lost, late and duplicate messages. Of each pair,
the member whose name sorts first connects."""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from loguru import logger

from myrtlecrank.core.event_loop import yield_to_io
from myrtlecrank.fleet.messages import VERSION, Hello, Message
from myrtlecrank.log import LimitedLine

LENGTH_PREFIX = struct.Struct("<I")
MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # a voter's whole memory fits
RECEIVE_BYTES = 65536
LISTEN_BACKLOG = 128
CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 3.0
SEND_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 30.0
RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 1.0
RECONNECT_REFUSED_S = 10.0  # after a refusal, which a quick retry would not change
MAX_UNIDENTIFIED_CONNECTIONS = 64  # accepted connections whose Hello has not arrived yet
MAX_OPERATOR_CONNECTIONS = 8  # at a time; a command line holds one for one question
MAX_SMALL_MESSAGE_BYTES = 65536  # of a Hello and of an operator's messages
MESSAGES_PER_TURN = 32  # of one link, that are read before the others get their turn
OPERATOR = ""  # the name in the Hello of a command line; never treated as a member
MAX_LOGGED_NAME_CHARS = 60
MAX_LOGGED_ERROR_CHARS = 120

ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class RefusedError(Exception):
    """The other end is not an acceptable peer; the text says why in one line that starts with a verb."""


def encode_frame(message: Message) -> bytes:
    """The message with its length prefix."""
    raw = ENCODER.encode(message)
    return LENGTH_PREFIX.pack(len(raw)) + raw


class MessageReader:
    """Reads messages from a socket. Buffers at most one message and what was received with its end.

    `max_message_bytes` may be raised once it is known who sends."""

    def __init__(self, sock: socket.socket, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.sock = sock
        self.max_message_bytes = max_message_bytes
        self.buffer = bytearray()
        self.messages_in_turn = 0

    def next(self) -> Message | None:
        """The next message; None once the other end has closed the connection.

        Raises RefusedError for a frame that is too long or not a message, OSError if the connection
        breaks."""
        while True:
            if len(self.buffer) >= LENGTH_PREFIX.size:
                (length,) = LENGTH_PREFIX.unpack_from(self.buffer)
                if length > self.max_message_bytes:
                    # Nothing of it is read: an arbitrary length could exhaust the memory.
                    limit = self.max_message_bytes
                    raise RefusedError(f"announced a message of {length} bytes; at most {limit} are accepted")
                end = LENGTH_PREFIX.size + length
                if len(self.buffer) >= end:
                    raw = bytes(self.buffer[LENGTH_PREFIX.size : end])
                    del self.buffer[:end]
                    self._end_turn_if_due()
                    try:
                        return DECODER.decode(raw)
                    except msgspec.MsgspecError as error:
                        reason = str(error)[:MAX_LOGGED_ERROR_CHARS]
                        raise RefusedError(f"sent a frame that is not a message: {reason}") from None
            data = self.sock.recv(RECEIVE_BYTES)
            if not data:
                return None
            self.buffer += data
            if len(data) == RECEIVE_BYTES:
                yield_to_io()  # a socket that always has data never waits

    def _end_turn_if_due(self) -> None:
        self.messages_in_turn += 1
        if self.messages_in_turn >= MESSAGES_PER_TURN:
            self.messages_in_turn = 0
            yield_to_io()


class Peer:
    """The outgoing queue for one member, and the connection to it while there is one."""

    def __init__(self, name: str, address: tuple[str, int], max_queued: int) -> None:
        self.name = name
        self.address = address
        self.max_queued = max_queued
        self.queue: deque[bytes] = deque()
        self.wake = Event()
        self.sock: socket.socket | None = None
        self.dropped = 0
        self.logged_error = ""  # the last one in the log, so that a repeated error is logged once

    def send(self, message: Message) -> None:
        """Queues a message; drops it if there is no connection or the queue is full."""
        if self.sock is None or len(self.queue) >= self.max_queued:
            self.dropped += 1
            return
        self.queue.append(encode_frame(message))
        self.wake.set()

    def close(self) -> None:
        """Closes the connection and discards the queue."""
        sock, self.sock = self.sock, None
        self.queue.clear()
        self.wake.set()
        if sock is not None:
            sock.close()


class PeerLinks:
    """All links of one member.

    `on_message` is called with each message and its sender. It may block, which stops the reader of that
    link only. `answer_operator` returns the answer to a message of an operator."""

    def __init__(
        self,
        fleet: str,
        name: str,
        addresses: dict[str, tuple[str, int]],
        max_queued: int,
        on_message: Callable[[str, Message], None],
        answer_operator: Callable[[Message], Message | None],
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.on_message = on_message
        self.answer_operator = answer_operator
        self.hello = encode_frame(Hello(VERSION, fleet, name))
        self.peers = {
            peer: Peer(peer, address, max_queued) for peer, address in addresses.items() if peer != name
        }
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(addresses[name])
        self.listener.listen(LISTEN_BACKLOG)
        self.unidentified_connections = 0
        self.operator_connections = 0
        self.link_refused_line = LimitedLine("WARNING", "a fleet link is refused: it {}")
        self.is_closed = False

    def send(self, to: str, message: Message) -> None:
        """Queues a message for a member; drops one for an unknown member."""
        peer = self.peers.get(to)
        if peer is not None:
            peer.send(message)

    def run(self) -> None:
        """Connects to the members whose names sort after this one, and accepts connections until close()."""
        for peer in self.peers.values():
            if self.name < peer.name:
                gevent.spawn(self._connect, peer)
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                if self.is_closed:
                    return
                gevent.sleep(RECONNECT_MIN_S)
                continue
            if self.unidentified_connections >= MAX_UNIDENTIFIED_CONNECTIONS:
                sock.close()
                continue
            gevent.spawn(self._handle_accepted, sock)

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.is_closed = True
        self.listener.close()
        for peer in self.peers.values():
            peer.close()

    def _connect(self, peer: Peer) -> None:
        delay_s = RECONNECT_MIN_S
        while not self.is_closed:
            try:
                sock = socket.create_connection(peer.address, timeout=CONNECT_TIMEOUT_S)
                sock.sendall(self.hello)
                reader = MessageReader(sock)
                self._read_hello(reader, sock, peer.name)
                delay_s = RECONNECT_MIN_S
                self._serve(peer, sock, reader)
            except RefusedError as error:
                self._log_error(peer, str(error))
                delay_s = RECONNECT_REFUSED_S
            except (OSError, gevent.Timeout):
                delay_s = min(RECONNECT_MAX_S, delay_s * 2.0)
            peer.close()
            gevent.sleep(delay_s)

    def _handle_accepted(self, sock: socket.socket) -> None:
        self.unidentified_connections += 1
        reader = MessageReader(sock, MAX_SMALL_MESSAGE_BYTES)
        peer = None
        try:
            try:
                with gevent.Timeout(HELLO_TIMEOUT_S):  # however slowly it comes
                    name = self._read_hello(reader, sock, None)
            finally:
                self.unidentified_connections -= 1
            sock.sendall(self.hello)
            if name == OPERATOR:
                self._serve_operator(reader, sock)
                return
            reader.max_message_bytes = MAX_MESSAGE_BYTES
            peer = self.peers[name]
            if peer.sock is not None:
                peer.close()  # the peer has reconnected, so the old connection is dead
            self._serve(peer, sock, reader)
        except RefusedError as error:
            self.link_refused_line.log(error)
        except (OSError, gevent.Timeout):
            pass
        finally:
            if peer is not None and peer.sock is sock:
                peer.close()
            sock.close()

    def _read_hello(self, reader: MessageReader, sock: socket.socket, expected: str | None) -> str:
        """The name in the other end's Hello. `expected` is the only name accepted; None: any other member's
        name, or an operator."""
        sock.settimeout(HELLO_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        hello = reader.next()
        if hello is None:
            raise OSError("connection closed before the Hello")
        if not isinstance(hello, Hello):
            raise RefusedError("sent another message before its Hello")
        if hello.version != VERSION:
            raise RefusedError(f"speaks version {hello.version}; this is {VERSION}")
        if hello.fleet != self.fleet:
            raise RefusedError(
                f"is of the fleet {hello.fleet[:MAX_LOGGED_NAME_CHARS]!r}; this is {self.fleet!r}"
            )
        name = hello.name[:MAX_LOGGED_NAME_CHARS]
        if expected is not None and hello.name != expected:
            raise RefusedError(f"is {name!r} where {expected!r} should be")
        if expected is None and hello.name != OPERATOR and hello.name not in self.peers:
            raise RefusedError(f"says that it is {name!r}, which is no other member")
        return hello.name

    def _serve(self, peer: Peer, sock: socket.socket, reader: MessageReader) -> None:
        """Passes messages on until the connection ends. Members probe each other continuously, so a link
        that is silent for long is dead."""
        peer.sock = sock
        peer.queue.clear()
        if peer.logged_error:
            peer.logged_error = ""
            logger.info("fleet link to {} is back", peer.name)
        sock.settimeout(IDLE_TIMEOUT_S)
        writer = gevent.spawn(self._write, peer, sock)
        try:
            while (message := reader.next()) is not None:
                self.on_message(peer.name, message)
        except RefusedError as error:
            self._log_error(peer, str(error))
        finally:
            writer.kill(block=False)

    def _write(self, peer: Peer, sock: socket.socket) -> None:
        """Sends all queued messages in one write. A peer that does not take it in time loses its
        connection."""
        while peer.sock is sock:
            if not peer.queue:
                peer.wake.clear()
                peer.wake.wait()
                continue
            batch = b"".join(peer.queue)
            peer.queue.clear()
            try:
                with gevent.Timeout(SEND_TIMEOUT_S):
                    sock.sendall(batch)
            except (OSError, gevent.Timeout):
                if peer.sock is sock:
                    peer.close()
                return

    def _serve_operator(self, reader: MessageReader, sock: socket.socket) -> None:
        if self.operator_connections >= MAX_OPERATOR_CONNECTIONS:
            return
        self.operator_connections += 1
        try:
            while (message := reader.next()) is not None:
                answer = self.answer_operator(message)
                if answer is not None:
                    sock.sendall(encode_frame(answer))
        finally:
            self.operator_connections -= 1

    def _log_error(self, peer: Peer, error: str) -> None:
        if peer.logged_error != error:
            peer.logged_error = error
            logger.warning("fleet link to {}: it {}", peer.name, error)
