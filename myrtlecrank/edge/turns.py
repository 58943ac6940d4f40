"""Turns of the connections: in what order their frames are taken, and how much in one pass of the loop."""

from __future__ import annotations

from collections import deque
from typing import Any

from gevent import get_hub
from gevent.hub import Waiter

from myrtlecrank.edge.read_account import ReadPriority

FRAMES_PER_TURN = 8
FOREGROUND_TURNS_PER_PASS = 4  # between two looks at the sockets
MAX_BACKGROUND_WAIT_S = 0.005  # one background turn at least in so long, however busy the loop is


class TurnScheduler:
    """Hands out turns, each of at most FRAMES_PER_TURN frames.

    Connections in the background get one turn at a time, and only once the event loop has nothing else to do:
    what they submit is dealt with before the next of their frames is taken."""

    def __init__(self) -> None:
        loop: Any = get_hub().loop  # its stub file lacks the priorities
        self.loop = loop
        self.waiting: dict[ReadPriority, deque[Waiter[None]]] = {one: deque() for one in ReadPriority}
        self.foreground_watcher = self.loop.idle(priority=self.loop.MAXPRI)
        self.background_watcher = self.loop.idle(priority=self.loop.MINPRI)
        self.background_timer = self.loop.timer(MAX_BACKGROUND_WAIT_S)
        self.pass_number = -1
        self.turns_in_pass = 0

    def wait(self, priority: ReadPriority) -> None:
        """Returns when it is the calling greenlet's turn."""
        if priority is not ReadPriority.BACKGROUND and not self._foreground() and self._take_from_pass():
            return
        waiter: Waiter[None] = Waiter()
        self.waiting[priority].append(waiter)
        if priority is ReadPriority.BACKGROUND:
            self._arm_background()
        elif not self.foreground_watcher.active:
            self.foreground_watcher.start(self._run_foreground)
        waiter.get()

    def _foreground(self) -> deque[Waiter[None]] | None:
        """The queue in the foreground that is served next; None if nobody waits there."""
        return self.waiting[ReadPriority.PROVEN] or self.waiting[ReadPriority.NEW] or None

    def _take_from_pass(self) -> bool:
        """Whether this pass of the event loop has a turn left in the foreground, which is taken."""
        if self.loop.iteration != self.pass_number:
            self.pass_number = self.loop.iteration
            self.turns_in_pass = 0
        self.turns_in_pass += 1
        return self.turns_in_pass <= FOREGROUND_TURNS_PER_PASS

    def _run_foreground(self) -> None:
        while (queue := self._foreground()) and self._take_from_pass():
            queue.popleft().switch(None)
        if not self._foreground():
            self.foreground_watcher.stop()

    def _arm_background(self) -> None:
        if not self.background_watcher.active:
            self.background_watcher.start(self._run_background)
            self.background_timer.start(self._run_background)

    def _run_background(self) -> None:
        self.background_timer.stop()
        queue = self.waiting[ReadPriority.BACKGROUND]
        if queue:
            queue.popleft().switch(None)
        if queue:
            self.background_timer.start(self._run_background)
        else:
            self.background_watcher.stop()
