"""What the stand-in does around one backend, whatever carries the exchanges: its machine reads and runs, its
end breaks what is open."""

from __future__ import annotations

from collections.abc import Callable

from rig.callers import Said, Try
from rig.machine import Build, Job, Machine, Time
from rig.rules import Rules


class Stand:
    HOP = 0.5  # ms between callers, backends and agents

    def __init__(
        self,
        number: int,
        clock: Time,
        build: Build,
        rules: Rules,
        cold: bool,
        stop_ms: float,
        tell_list: Callable[[int, bool], None],
        on_read: Callable[[Try], None],
    ) -> None:
        self.number, self.clock, self.rules = number, clock, rules
        self.machine = Machine(clock, build, cold, None if cold else clock.now - 60_000.0)
        self.stop_ms, self.tell_list, self.on_read = stop_ms, tell_list, on_read
        self.alive = True
        self.notice: float | None = None  # when the notice to leave came
        self.tries: dict[str, Try] = {}  # read and not answered, or still running
        self.unread: dict[Try, None] = {}
        self.jobs: dict[str, Job] = {}

    # What each kind of backend does its own way

    def accepts(self) -> bool:
        """Whether a connection would be accepted."""
        raise NotImplementedError

    def hand_in(self, one: Try) -> None:
        """Brings what the machine has read to the backend, and calls taken()."""
        raise NotImplementedError

    def notify(self, exchange_id: str, end: str, took: float) -> None:
        """Tells the backend that a run is over: PASS or KILLED."""
        raise NotImplementedError

    def leave(self) -> None:
        raise NotImplementedError

    # Callers

    def asked(self, one: Try) -> None:
        """A try comes to the machine."""
        if not self.alive or not self.accepts():
            self.clock.after(self.HOP, lambda: one.caller.heard(one, Said.CLOSED))
            return
        one.reached = self.clock.now
        self.unread[one] = None
        self.machine.read(lambda: self._read(one))

    def _read(self, one: Try) -> None:
        if self.alive and one in self.unread:
            del self.unread[one]
            self.hand_in(one)

    def taken(self, one: Try) -> None:
        """The backend has it whole: from now on it owes an answer."""
        self.tries[one.ident] = one
        self.rules.read(one, self.clock.now)
        self.on_read(one)

    def answered(self, one: Try, said: Said, value: float | None, wait: float, last: bool) -> None:
        if one.ident not in self.jobs:
            self.tries.pop(one.ident, None)
        self.rules.answered(one, said, self.clock.now)
        one.caller.heard(one, said, value, wait, last)

    # The agent

    def launch(self, exchange_id: str) -> None:
        one = self.tries.get(exchange_id)
        if one is None or not self.alive or exchange_id in self.jobs:
            return
        self.rules.launched(one, self.clock.now, self.notice)
        self.jobs[exchange_id] = self.machine.run(
            one.wish.work, one.wish.kb, lambda: self._ended(exchange_id, "PASS")
        )

    def freeze(self, exchange_id: str) -> None:
        job = self.jobs.get(exchange_id)
        if job is not None and self.alive and self.machine.halt(job):
            self._ended(exchange_id, "KILLED")

    def _ended(self, exchange_id: str, end: str) -> None:
        job = self.jobs.pop(exchange_id)
        one = self.tries.get(exchange_id)
        if one is not None and one.answered is not None:
            del self.tries[exchange_id]
        if self.alive:
            self.notify(exchange_id, end, self.clock.now - job.began)

    # Its end

    def stop(self) -> None:
        """The process has ended after the notice, or is ended now."""
        if self.alive:
            self.rules.stopped([one for one in self.tries.values() if one.answered is None])
            self.kill()

    def kill(self) -> None:
        """Outright, with its machine: all that is open there breaks."""
        if not self.alive:
            return
        self.alive = False
        self.machine.die()
        gone = [one for one in self.tries.values() if one.answered is None] + list(self.unread)
        for one in gone:
            self.rules.cut(one)
            self.clock.after(self.HOP, lambda one=one: one.caller.heard(one, Said.BROKEN))  # type: ignore[misc]
        self.tries.clear()
        self.unread.clear()
