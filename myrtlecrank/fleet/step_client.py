"""The client that offers the steps of duties to their receivers: one line of JSON in each direction, over one
connection for each duty.

An answer does not say for which step it is, so it is matched by order: a duty has one offer at a time, and a
connection is used again only after the whole answer to its last offer was read."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import orjson
from gevent import socket
from loguru import logger

from myrtlecrank.fleet.step_scheduler import Effect

MAX_ANSWER_BYTES = 4096
MAX_LOGGED_BYTES = 80  # of an invalid answer


class InvalidAnswerError(Exception):
    """The receiver sent something that is not the answer to the offered step."""


class StepClient:
    """The connection to the receiver of one duty's steps, and the offer under way on it."""

    def __init__(self, address: tuple[str, int], owner: str) -> None:
        self.address = address
        self.owner = owner
        self.sock: socket.socket | None = None
        self.offer_under_way: gevent.Greenlet[..., None] | None = None

    def start_offer(
        self,
        effect: Effect,
        is_still_owner: Callable[[], bool],
        remaining_ms: Callable[[], float],
        on_finished: Callable[[Effect, bool], None],
    ) -> None:
        """Offers a step in a greenlet, after ending any offer that is still under way.

        `on_finished` is told whether the receiver answered that the step is done, now or earlier; it is not
        called for an offer that is aborted. `is_still_owner` is called right before the bytes are sent, so
        that a process that was stopped until then notices that its lease has expired. `remaining_ms` is the
        time until the step expires."""
        self.abort()

        def run() -> None:
            on_finished(effect, self._offer(effect, is_still_owner, remaining_ms))

        self.offer_under_way = gevent.spawn(run)

    def abort(self) -> None:
        """Ends the offer under way, if any. Returns once it has ended; its connection is closed then."""
        offer, self.offer_under_way = self.offer_under_way, None
        if offer is not None and offer is not gevent.getcurrent():
            offer.kill()

    def close(self) -> None:
        """Closes the connection; the next step opens a new one."""
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()

    def _offer(
        self, effect: Effect, is_still_owner: Callable[[], bool], remaining_ms: Callable[[], float]
    ) -> bool:
        is_answer_read = False
        try:
            with gevent.Timeout(max(0.0, remaining_ms()) / 1000.0, TimeoutError):
                sock = self._connection()
                if not is_still_owner():
                    return False
                sock.sendall(self._encode(effect))
                taken = decode_answer(self._read_line(sock), effect)
            is_answer_read = True
            return taken
        except OSError:
            return False
        except InvalidAnswerError as error:
            logger.error("fleet duty {}: its receiver sent {}", effect.duty, error)
            return False
        except Exception:
            logger.exception("fleet duty {}: the offer of step {} failed", effect.duty, effect.step)
            return False
        finally:
            # On a connection whose answer was not read, the next offer would read that for its own.
            if not is_answer_read:
                self.close()

    def _connection(self) -> socket.socket:
        if self.sock is not None and has_input(self.sock):
            self.close()  # it has ended, or holds what answers no offer
        if self.sock is None:
            self.sock = socket.create_connection(self.address)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self.sock

    def _encode(self, effect: Effect) -> bytes:
        offer = {"duty": effect.duty, "epoch": effect.epoch, "step": effect.step, "owner": self.owner}
        return orjson.dumps(offer) + b"\n"

    @staticmethod
    def _read_line(sock: socket.socket) -> bytes:
        raw = b""
        while not raw.endswith(b"\n"):
            if len(raw) > MAX_ANSWER_BYTES:
                raise InvalidAnswerError(f"a line of more than {MAX_ANSWER_BYTES} bytes")
            data = sock.recv(MAX_ANSWER_BYTES)
            if not data:
                raise OSError("the connection ended before the answer")
            raw += data
        return raw


def has_input(sock: socket.socket) -> bool:
    """Whether an idle connection has ended or holds input."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(None)
    return True


def decode_answer(raw: bytes, effect: Effect) -> bool:
    """Whether the receiver has the step. Raises InvalidAnswerError if this is no answer to its offer.

    A receiver may repeat `duty`, `epoch` and `step` in its answer."""
    try:
        answer = orjson.loads(raw)
    except ValueError:
        answer = None
    if not isinstance(answer, dict) or not isinstance(answer.get("taken"), bool):
        raise InvalidAnswerError(
            f'{raw[:MAX_LOGGED_BYTES]!r}, expected {{"taken":true}} or {{"taken":false}}'
        )
    offered = {"duty": effect.duty, "epoch": effect.epoch, "step": effect.step}
    for name, value in offered.items():
        if answer.get(name, value) != value:
            raise InvalidAnswerError(
                f"{raw[:MAX_LOGGED_BYTES]!r}, which is for another {name} than the offered {value!r}"
            )
    return bool(answer["taken"])
