"""The client that offers the steps of duties to their receivers: one line of JSON in each direction, over one
connection for each duty."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import orjson
from gevent import socket

from myrtlecrank.fleet.step_scheduler import Effect

MAX_ANSWER_BYTES = 4096


class StepClient:
    """The connection to the receiver of one duty's steps."""

    def __init__(self, address: tuple[str, int], owner: str) -> None:
        self.address = address
        self.owner = owner
        self.sock: socket.socket | None = None

    def offer(
        self, effect: Effect, is_still_owner: Callable[[], bool], remaining_ms: Callable[[], float]
    ) -> bool:
        """Offers a step; True if the receiver answers that the step is done, now or earlier.

        `is_still_owner` is called right before the bytes are sent, so that a process that was stopped until
        then notices that its lease has expired. `remaining_ms` is the time until the step expires."""
        try:
            with gevent.Timeout(max(0.0, remaining_ms()) / 1000.0, TimeoutError):
                if self.sock is None:
                    self.sock = socket.create_connection(self.address)
                    self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                line = (
                    orjson.dumps(
                        {"duty": effect.duty, "epoch": effect.epoch, "step": effect.step, "owner": self.owner}
                    )
                    + b"\n"
                )
                if not is_still_owner():
                    return False
                self.sock.sendall(line)
                raw = b""
                while not raw.endswith(b"\n"):
                    data = self.sock.recv(MAX_ANSWER_BYTES)
                    if not data or len(raw) > MAX_ANSWER_BYTES:
                        raise OSError(f"expected a line of at most {MAX_ANSWER_BYTES} bytes")
                    raw += data
                answer = orjson.loads(raw)
                return isinstance(answer, dict) and answer.get("taken") is True
        except (OSError, ValueError):
            # The connection is closed, so that an answer still on its way is not read as the next step's.
            self.close()
            return False

    def close(self) -> None:
        """Closes the connection; the next step opens a new one."""
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()
