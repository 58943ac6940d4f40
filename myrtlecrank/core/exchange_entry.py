"""The entry of one exchange in the actor's table."""

from __future__ import annotations

from myrtlecrank.core.messages import DeliverCallResult, ExchangeRequest, SkipCall
from myrtlecrank.policy import interface
from myrtlecrank.policy.interface import Outcome


class ExchangeEntry:
    """One exchange, from its arrival until nothing can refer to it any more.

    The numbers of commands (`start_number`, `cancel_number`, `resume_number`) are 0 where the command was
    never sent, or may have been lost with the connection to the agent."""

    __slots__ = (
        "answered",
        "call_body",
        "call_started_at",
        "cancel_number",
        "cancel_requested",
        "confirmed",
        "ended_at",
        "exchange",
        "lost_start_outcome",
        "original",
        "outcome",
        "released",
        "request",
        "request_hash",
        "restart_requested",
        "result",
        "resume_command",
        "resume_in_doubt",
        "resume_number",
        "running",
        "start_number",
        "waiters",
    )

    def __init__(
        self, request: ExchangeRequest, exchange: interface.Exchange, original: ExchangeEntry | None
    ) -> None:
        self.request = request
        self.exchange = exchange
        self.original = (
            original  # the earlier entry with the same result key, whose result this one may share
        )
        self.request_hash = hash(request.body)
        self.answered = False
        self.running = False
        self.cancel_requested = False
        self.released = False  # nobody waits for the run, and it cannot be cancelled
        self.lost_start_outcome: Outcome | None = None  # of a start command that was lost with its connection
        self.outcome: Outcome | None = None
        self.ended_at = 0.0
        self.result = b""
        self.waiters: list[ExchangeEntry] = []  # exchanges that share the result of this one
        self.start_number = 0
        self.cancel_number = 0
        self.confirmed = (
            False  # the agent ran it, so no conflicting request can be the one that the agent knows
        )
        self.call_body = b""  # the request of the dependency call at which the execution waits
        self.call_started_at: float | None = None  # while that call is outstanding
        # How the call ended, until the agent reports more.
        self.resume_command: DeliverCallResult | SkipCall | None = None
        self.resume_number = 0
        self.resume_in_doubt = False  # it was sent on a connection that was lost, and may have been received
        self.restart_requested = False  # the run is cancelled to be started anew

    def is_in_doubt(self) -> bool:
        """Whether its run may never have started, or may wait at its call for ever."""
        return self.running and (self.lost_start_outcome is not None or self.resume_in_doubt)
