"""The connection between a duty's owner and its receiver, as the step client uses it: answers come in the
order of the offers and do not name them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlecrank.fleet.step_scheduler import Effect


@dataclass(eq=False)
class ReceiverLink:
    """One connection. `finish` is called with the offered effect and the answer that was read for it."""

    finish: Callable[[Effect, bool], None]
    reader: Effect | None = None  # the offer whose answer is awaited
    unread_answers: list[bool] = field(default_factory=list)
    is_open: bool = True
    answered: set[int] = field(default_factory=set)  # offers, by their number: the network may copy messages
    offer_count: int = 0

    def offer(self, effect: Effect) -> None:
        """Begins to wait for the answer to an offer; of two at once only the first reads."""
        self.offer_count += 1
        if self.reader is not None:
            return
        self.reader = effect
        if self.unread_answers:
            self._read(self.unread_answers.pop(0))

    def answer(self, number: int, taken: bool) -> None:
        """The answer to the offer of this number arrives."""
        if self.is_open and number not in self.answered:
            self.answered.add(number)
            self._read(taken)

    def _read(self, taken: bool) -> None:
        """An answer is read by the offer that waits, else by the next one."""
        reader, self.reader = self.reader, None
        if reader is None:
            self.unread_answers.append(taken)
        else:
            self.finish(reader, taken)

    def expire(self, effect: Effect) -> None:
        """The time of an offer is over: its connection is closed if the answer was not read."""
        if self.reader is effect:
            self.is_open = False
