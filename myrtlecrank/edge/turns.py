"""Turns of the connections: in what order their frames are taken, and how much in one pass of the loop."""

from __future__ import annotations

from collections import deque
from typing import Any

from gevent import get_hub
from gevent.hub import Waiter

from myrtlecrank.edge.read_account import ReadPriority

FRAMES_PER_TURN = 8
# Frames in one pass of the event loop, between two looks at the sockets, after which no more turns begin.
FRAMES_PER_PASS = {ReadPriority.PROVEN: 16, ReadPriority.NEW: 8}
MAX_BACKGROUND_WAIT_S = 0.02  # one background turn at least in so long, however busy the loop is


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
        self.frames_in_pass = 0

    def wait(self, priority: ReadPriority) -> None:
        """Returns when it is the calling greenlet's turn."""
        if priority is ReadPriority.BACKGROUND:
            self._arm_background()
        elif self._next_foreground() is None and self._is_free(priority):
            return
        elif not self.foreground_watcher.active:
            self.foreground_watcher.start(self._run_foreground)
        waiter: Waiter[None] = Waiter()
        self.waiting[priority].append(waiter)
        waiter.get()

    def end_turn(self, frame_count: int) -> None:
        """Counts what a turn has taken."""
        self._begin_pass()
        self.frames_in_pass += max(1, frame_count)

    def _begin_pass(self) -> None:
        if self.loop.iteration != self.pass_number:
            self.pass_number = self.loop.iteration
            self.frames_in_pass = 0

    def _is_free(self, priority: ReadPriority) -> bool:
        """Whether this pass of the event loop has room for a turn of that priority."""
        self._begin_pass()
        return self.frames_in_pass < FRAMES_PER_PASS[priority]

    def _next_foreground(self) -> ReadPriority | None:
        """The first priority in the foreground at which a connection waits."""
        return next((priority for priority in FRAMES_PER_PASS if self.waiting[priority]), None)

    def _run_foreground(self) -> None:
        while (priority := self._next_foreground()) is not None:
            if not self._is_free(priority):
                return
            self.waiting[priority].popleft().switch(None)
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
