"""Requests that wait for an exchange whose identifier, or whose key with another body, they use.

Only the agent knows which of them is genuine. So a request that conflicts with an exchange waits until the
agent has accepted or refused that one, for a limited time: clients that use the identifiers or keys of
others, before or after them, gain nothing."""

from __future__ import annotations

from myrtlecrank.core.exchange_entry import ExchangeEntry
from myrtlecrank.core.messages import ExchangeRequest
from myrtlecrank.policy.timers import Timer

MAX_WAIT_MS = 1000.0


class Conflicts:
    """The waiting requests: for each exchange in the order of their arrival, and at most one of a connection.

    A request whose exchange is gone is `released`: it waits no more, and is taken in as if it arrived now."""

    def __init__(self) -> None:
        self.waiting: dict[ExchangeEntry, dict[object, ExchangeRequest]] = {}  # by connection
        self.awaited: dict[ExchangeRequest, ExchangeEntry | None] = {}  # None: released
        self.timers: dict[ExchangeRequest, Timer] = {}  # that end the waits

    def add(self, entry: ExchangeEntry, request: ExchangeRequest, timer: Timer) -> None:
        """Lets `request` wait for `entry`. What replaced_by() returns must have been removed before."""
        self.timers[request] = timer
        self.waiting.setdefault(entry, {})[self._connection_of(request)] = request
        self.awaited[request] = entry

    def replaced_by(self, entry: ExchangeEntry, request: ExchangeRequest) -> ExchangeRequest | None:
        """The request of the same connection that waits for `entry` already."""
        return self.waiting.get(entry, {}).get(self._connection_of(request))

    def requests_waiting_for(self, entry: ExchangeEntry) -> list[ExchangeRequest]:
        """The requests that wait for `entry`, in the order of their arrival."""
        return list(self.waiting.get(entry, {}).values())

    def release(self, entry: ExchangeEntry) -> list[ExchangeRequest]:
        """Ends the wait for `entry`, which is gone. The requests stay until they are removed."""
        requests = list(self.waiting.pop(entry, {}).values())
        for request in requests:
            self.awaited[request] = None
        return requests

    def remove(self, request: ExchangeRequest) -> Timer | None:
        """Forgets `request`. Returns the timer of its wait; None if it neither waited nor was released."""
        if request not in self.awaited:
            return None
        entry = self.awaited.pop(request)
        if entry is not None:
            requests = self.waiting[entry]
            del requests[self._connection_of(request)]
            if not requests:
                del self.waiting[entry]
        return self.timers.pop(request)

    @staticmethod
    def _connection_of(request: ExchangeRequest) -> object:
        return request if request.connection is None else request.connection


def wait_end(request: ExchangeRequest, group_timeout_ms: float, answer_margin_ms: float, now: float) -> float:
    """Until when a request that arrives now may wait for others, for all of them together.

    `answer_margin_ms`: how long before its due time it must be answered; `group_timeout_ms`: how long its
    caller waits where that is not stated."""
    caller_timeout_ms = group_timeout_ms if request.caller_timeout is None else request.caller_timeout
    return min(now + MAX_WAIT_MS, request.arrived_at + caller_timeout_ms - answer_margin_ms)
