"""Links between members: one connection a pair, whole messages both ways, bounds. Knows no meaning.

A message is its length in four bytes and its msgpack. What can't be sent now is dropped and counted: all that
stands above takes a message that is lost, late or twice. Of a pair the member whose name comes first
connects."""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from loguru import logger

from myrtlecrank.fleet.messages import VERSION, Hello, Message

LENGTH = struct.Struct("<I")
LONGEST = 8 * 1024 * 1024  # bytes of one message: a voter's whole memory fits
CHUNK = 65536
CONNECT_S, HELLO_S, SEND_S, QUIET_S = 1.0, 3.0, 5.0, 30.0
AGAIN_S, AGAIN_MOST_S, REFUSED_S = 0.1, 1.0, 10.0
MOST_STRANGERS = 64  # connections that have not said who they are
OPERATOR = ""  # the name in the hello of a command line: answered, and never a member

PACK = msgspec.msgpack.Encoder()
UNPACK: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class RefusedError(Exception):
    """The other end is none to talk to; the text says why in one line."""


def packed(message: Message) -> bytes:
    raw = PACK.encode(message)
    return LENGTH.pack(len(raw)) + raw


class Reader:
    """Takes messages off a socket. Holds no more than one message and what came behind it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, bytearray()

    def next(self) -> Message | None:
        """None at the end. Raises RefusedError on what is no message, OSError where the connection breaks."""
        while True:
            if len(self.buffer) >= LENGTH.size:
                (length,) = LENGTH.unpack_from(self.buffer)
                if length > LONGEST:
                    # Guards against a length that would fill the memory: nothing of it is read.
                    raise RefusedError(f"announced a message of {length} bytes; at most {LONGEST} are taken")
                end = LENGTH.size + length
                if len(self.buffer) >= end:
                    raw = bytes(self.buffer[LENGTH.size : end])
                    del self.buffer[:end]
                    try:
                        return UNPACK.decode(raw)
                    except msgspec.MsgspecError as error:
                        raise RefusedError(f"sent what is no message: {str(error)[:120]}") from None
            data = self.sock.recv(CHUNK)
            if not data:
                return None
            self.buffer += data


class Peer:
    """What waits for one member, and the connection to it while there is one."""

    def __init__(self, name: str, address: tuple[str, int], most: int) -> None:
        self.name, self.address, self.most = name, address, most
        self.waiting: deque[bytes] = deque()
        self.wake = Event()
        self.sock: socket.socket | None = None
        self.dropped = 0
        self.told = ""  # the last reason in the log, so that one that repeats is told once

    def send(self, message: Message) -> None:
        if self.sock is None or len(self.waiting) >= self.most:
            self.dropped += 1
            return
        self.waiting.append(packed(message))
        self.wake.set()

    def close(self) -> None:
        sock, self.sock = self.sock, None
        self.waiting.clear()
        self.wake.set()
        if sock is not None:
            sock.close()


class Links:
    """All links of one member. `heard` gets each message with its sender and may wait, which then holds that
    one link only; `asked` answers an operator."""

    def __init__(
        self,
        fleet: str,
        name: str,
        addresses: dict[str, tuple[str, int]],
        most: int,
        heard: Callable[[str, Message], None],
        asked: Callable[[Message], Message | None],
    ) -> None:
        self.fleet, self.name, self.heard, self.asked = fleet, name, heard, asked
        self.hello = packed(Hello(VERSION, fleet, name))
        self.peers = {one: Peer(one, address, most) for one, address in addresses.items() if one != name}
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(addresses[name])
        self.listener.listen(128)
        self.strangers = 0
        self.ended = False

    def send(self, to: str, message: Message) -> None:
        peer = self.peers.get(to)
        if peer is not None:
            peer.send(message)

    def run(self) -> None:
        for peer in self.peers.values():
            if self.name < peer.name:
                gevent.spawn(self._connect, peer)
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                if self.ended:
                    return
                gevent.sleep(AGAIN_S)
                continue
            if self.strangers >= MOST_STRANGERS:
                sock.close()
                continue
            gevent.spawn(self._accepted, sock)

    def close(self) -> None:
        self.ended = True
        self.listener.close()
        for peer in self.peers.values():
            peer.close()

    def _connect(self, peer: Peer) -> None:
        wait = AGAIN_S
        while not self.ended:
            try:
                sock = socket.create_connection(peer.address, timeout=CONNECT_S)
                sock.sendall(self.hello)
                reader = Reader(sock)
                self._greeted(reader, sock, peer.name)
                wait = AGAIN_S
                self._serve(peer, sock, reader)
            except RefusedError as error:
                self._tell(peer, str(error))
                wait = REFUSED_S
            except (OSError, gevent.Timeout):
                wait = min(AGAIN_MOST_S, wait * 2.0)
            peer.close()
            gevent.sleep(wait)

    def _accepted(self, sock: socket.socket) -> None:
        self.strangers += 1
        reader = Reader(sock)
        peer = None
        try:
            try:
                name = self._greeted(reader, sock, None)
            finally:
                self.strangers -= 1
            sock.sendall(self.hello)
            if name == OPERATOR:
                self._operator(reader, sock)
                return
            peer = self.peers[name]
            if peer.sock is not None:
                peer.close()  # it has come anew, so the old connection leads nowhere
            self._serve(peer, sock, reader)
        except RefusedError as error:
            logger.warning("a fleet link is refused: it {}", error)
        except (OSError, gevent.Timeout):
            pass
        finally:
            if peer is not None and peer.sock is sock:
                peer.close()
            sock.close()

    def _greeted(self, reader: Reader, sock: socket.socket, wanted: str | None) -> str:
        sock.settimeout(HELLO_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        hello = reader.next()
        if hello is None:
            raise OSError("closed")
        if not isinstance(hello, Hello):
            raise RefusedError("spoke before it said who it is")
        if hello.version != VERSION:
            raise RefusedError(f"speaks version {hello.version}; this is {VERSION}")
        if hello.fleet != self.fleet:
            raise RefusedError(f"is of the fleet {hello.fleet[:60]!r}; this is {self.fleet!r}")
        if wanted is not None and hello.name != wanted:
            raise RefusedError(f"is {hello.name[:60]!r} where {wanted!r} should be")
        if wanted is None and hello.name != OPERATOR and hello.name not in self.peers:
            raise RefusedError(f"says that it is {hello.name[:60]!r}, which is no other member")
        return hello.name

    def _serve(self, peer: Peer, sock: socket.socket, reader: Reader) -> None:
        """Until the connection ends. Members probe each other all the time, so a link that is quiet for long
        is dead."""
        peer.sock = sock
        peer.waiting.clear()
        if peer.told:
            peer.told = ""
            logger.info("fleet link to {} is back", peer.name)
        sock.settimeout(QUIET_S)
        writer = gevent.spawn(self._write, peer, sock)
        try:
            while (message := reader.next()) is not None:
                self.heard(peer.name, message)
        except RefusedError as error:
            self._tell(peer, str(error))
        finally:
            writer.kill(block=False)

    def _write(self, peer: Peer, sock: socket.socket) -> None:
        """What waits goes in one write. A peer that takes nothing for long loses its connection."""
        while peer.sock is sock:
            if not peer.waiting:
                peer.wake.clear()
                peer.wake.wait()
                continue
            batch = b"".join(peer.waiting)
            peer.waiting.clear()
            try:
                with gevent.Timeout(SEND_S):
                    sock.sendall(batch)
            except (OSError, gevent.Timeout):
                if peer.sock is sock:
                    peer.close()
                return

    def _operator(self, reader: Reader, sock: socket.socket) -> None:
        while (message := reader.next()) is not None:
            answer = self.asked(message)
            if answer is not None:
                sock.sendall(packed(answer))

    def _tell(self, peer: Peer, why: str) -> None:
        if peer.told != why:
            peer.told = why
            logger.warning("fleet link to {}: it {}", peer.name, why)
