"""The actor of one caller: turns frames into requests for the core and the core's answers into frames."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from myrtlecrank.core.clock import unix_ms
from myrtlecrank.core.event_loop import yield_to_io
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import Answer, ExchangeArrived, ExchangeRequest, Verdict
from myrtlecrank.core.published_state import PublishedState
from myrtlecrank.edge.connection import Connection
from myrtlecrank.edge.read_account import ReadPriority
from myrtlecrank.frames import codec
from myrtlecrank.policy.interface import EffectKind

MAILBOX_MESSAGES = 256
ANSWERS_PER_TURN = 128  # that are written before the others get their turn
MAX_CLOCK_AHEAD_MS = 1000.0  # how far an arrival stamp may be ahead of our clock
# Async timeouts of its group that a caller may claim to wait; it never waits for more than one.
MAX_WAIT_TIMEOUTS = 2.0
MAX_QUOTED_CHARS = 40  # of an unknown name, in the log
ANSWER_CODES = {
    Verdict.COMPLETED: codec.COMPLETED,
    Verdict.DENIED: codec.DENIED,
    Verdict.TERMINATED: codec.TERMINATED,
}


class GroupEntry(NamedTuple):
    """What a caller's actor needs to know of an endpoint group."""

    number: int
    timeout_ms: float
    kind: EffectKind


UNKNOWN_GROUP = (None, 0.0, EffectKind.REPEATABLE)


class Caller:
    """Delivers final answers from its mailbox to the caller's connections.

    Requests are submitted on the greenlets of the connections that read them, which wait there while the
    core's mailbox is full.
    """

    def __init__(
        self,
        groups: dict[str, GroupEntry],
        tenants: dict[str, int],
        sends_wait_time: bool,
        max_retry_after_ms: float,
        published_state: PublishedState,
        has_room: Callable[[ReadPriority], bool],
        submit: Callable[[ExchangeArrived], None],
    ) -> None:
        self.groups = groups
        self.tenants = tenants
        self.sends_wait_time = sends_wait_time
        self.max_retry_after_ms = max_retry_after_ms
        self.has_room = has_room
        self.published_state = published_state
        self.submit = submit
        self.connection_count = 0
        self.mailbox: Mailbox[Answer | None] = Mailbox(MAILBOX_MESSAGES)

    def run(self) -> None:
        """Delivers answers until None arrives, which is posted when the last connection is gone."""
        while self._deliver(self.mailbox.take(max_count=ANSWERS_PER_TURN)):
            if self.mailbox:
                yield_to_io()

    def deliver_pending(self) -> None:
        """Delivers the answers in the mailbox, which would be lost when the process ends."""
        if self.mailbox:
            self._deliver(self.mailbox.take())

    def _deliver(self, answers: list[Answer | None]) -> bool:
        """Writes the answers, with one flush for each connection. Returns whether None was not among them."""
        touched: dict[Connection, None] = {}
        for answer in answers:
            if answer is not None:
                connection, stream = answer.request.reply_context
                if answer.verdict is Verdict.COMPLETED:
                    connection.account.exchange_completed()
                connection.queue_answer(stream, self._encode(stream, answer))
                touched[connection] = None
        for connection in touched:
            connection.flush()
        return None not in answers

    def _encode(self, stream: int, answer: Answer) -> bytes:
        code, value = ANSWER_CODES[answer.verdict], self.published_state.published_value
        return codec.encode_answer(
            stream, code, value, answer.retry_after, answer.no_other_backend, answer.result
        )

    def handle_request(self, connection: Connection, request: codec.Request) -> None:
        """Submits a request that was read just now, at `connection.last_used_ms`, or rejects it."""
        group, timeout_ms, kind = self.groups.get(request.group, UNKNOWN_GROUP)
        is_deduplicated = kind is EffectKind.DEDUPLICATED
        tenant = self.tenants.get(request.tenant or "") if self.tenants else 0
        if group is None or tenant is None:
            name = (
                f"endpoint group {request.group[:MAX_QUOTED_CHARS]!r}"
                if group is None
                else f"tenant {(request.tenant or '')[:MAX_QUOTED_CHARS]!r}"
            )
            connection.reject(request.stream, f"the unknown {name}")
            return
        if self.sends_wait_time and request.wait_ms is None:
            connection.reject(request.stream, "no field 'd', the time that its caller waits")
            return
        if is_deduplicated and not request.key:
            # Without a key a retry could not be recognized, and the exchange might run twice.
            connection.reject(request.stream, "no field 'k', the key of a deduplicated exchange")
            return
        age_ms = unix_ms() - request.arrived_at_ms  # by the clock that the arrival stamp came from
        if age_ms < -MAX_CLOCK_AHEAD_MS or (request.wait_ms or 0.0) > MAX_WAIT_TIMEOUTS * timeout_ms:
            connection.reject(request.stream, "an arrival time in the future or too long a waiting time")
            return
        if not self.has_room(connection.turn_priority):
            if kind is EffectKind.REPEATABLE:
                connection.refuse(request.stream, self.max_retry_after_ms)
            else:  # a try of it may have run, and is never denied then
                connection.reject(request.stream, "one more than there is memory for")
            return
        exchange_request = connection.open_streams[request.stream] = ExchangeRequest(
            exchange_id=request.exchange_id,
            group=group,
            tenant=tenant,
            arrived_at=connection.last_used_ms - age_ms,
            caller_timeout=request.wait_ms if self.sends_wait_time else None,
            kb=request.memory_kb,
            rank=request.rank,
            caller=request.caller,
            result_key=(request.key if is_deduplicated else request.subject) or "",
            body=request.body,
            send_answer=self.mailbox.post,
            is_from_background=connection.turn_priority is ReadPriority.BACKGROUND,
            connection=connection,
            reply_context=(connection, request.stream),
        )
        self.submit(ExchangeArrived(exchange_request))
