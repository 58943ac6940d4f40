"""Carries the steps of duties to whom they are for: a line of JSON each way, one connection a duty."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import orjson
from gevent import socket

from myrtlecrank.fleet.step_scheduler import Effect

LONGEST = 4096  # bytes of an answer


class Receiver:
    def __init__(self, address: tuple[str, int], owner: str) -> None:
        self.address, self.owner = address, owner
        self.sock: socket.socket | None = None

    def offer(self, effect: Effect, still: Callable[[], bool], left: Callable[[], float]) -> bool:
        """True where the receiver says that the step is done, now or before. `still` is asked right before
        the bytes leave: whoever was stopped on the way here must see it; `left` is the time to the step's
        end, in ms."""
        try:
            with gevent.Timeout(max(0.0, left()) / 1000.0, TimeoutError):
                if self.sock is None:
                    self.sock = socket.create_connection(self.address)
                    self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                line = (
                    orjson.dumps(
                        {"duty": effect.duty, "epoch": effect.epoch, "step": effect.step, "owner": self.owner}
                    )
                    + b"\n"
                )
                if not still():
                    return False
                self.sock.sendall(line)
                answer = b""
                while not answer.endswith(b"\n"):
                    data = self.sock.recv(LONGEST)
                    if not data or len(answer) > LONGEST:
                        raise OSError("no answer")
                    answer += data
                told = orjson.loads(answer)
                return isinstance(told, dict) and told.get("taken") is True
        except (OSError, ValueError):
            # An answer that is still on its way must not pass for the next step's.
            self.close()
            return False

    def close(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()
