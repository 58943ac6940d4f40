"""The actor of one caller: turns its frames into tickets for the module and answers into frames."""

from __future__ import annotations

from collections.abc import Callable

from myrtlecrank.core.actor import unix_ms
from myrtlecrank.core.mailbox import Mailbox
from myrtlecrank.core.messages import Answer, Arrived, Ticket, Verdict
from myrtlecrank.core.published_state import Board
from myrtlecrank.edge.connection import Connection
from myrtlecrank.frames import codec

MAILBOX = 256
AHEAD_MS = 1000.0  # of our clock, for a stamp that can still be taken
WAITS = 2.0  # deadlines of its group that a caller may say it waits; it never waits for more than one
CODES = {
    Verdict.COMPLETED: codec.COMPLETED,
    Verdict.DENIED: codec.DENIED,
    Verdict.TERMINATED: codec.TERMINATED,
}


class Caller:
    """Its mailbox takes the final answers; what its connections read is handed in on their own greenlets,
    which wait there if the module has no room."""

    def __init__(
        self,
        groups: dict[str, tuple[int, float, bool]],  # number, deadline, whether it is deduplicated
        tenants: dict[str, int],
        tells_left: bool,
        board: Board,
        hand_in: Callable[[Arrived], None],
    ) -> None:
        self.groups, self.tenants, self.tells_left = groups, tenants, tells_left
        self.board, self.hand_in = board, hand_in
        self.connections = 0
        self.mailbox: Mailbox[Answer | None] = Mailbox(MAILBOX)

    def run(self) -> None:
        """Until None comes: then it has no connection any more."""
        while self._deliver(self.mailbox.take()):
            pass

    def last_words(self) -> None:
        """Before the process ends: what lies here would otherwise end with it."""
        if self.mailbox:
            self._deliver(self.mailbox.take())

    def _deliver(self, answers: list[Answer | None]) -> bool:
        touched: dict[Connection, None] = {}
        for answer in answers:
            if answer is not None:
                connection, stream = answer.ticket.place
                connection.answered(stream, self.frame(stream, answer))
                touched[connection] = None
        for connection in touched:
            connection.flush()
        return None not in answers

    def frame(self, stream: int, answer: Answer) -> bytes:
        code, value = CODES[answer.verdict], self.board.value
        return codec.answer(stream, code, value, answer.wait, answer.last, answer.result)

    def asked(self, connection: Connection, ask: codec.Ask) -> None:
        """What it brings has just been read: the connection was last used now."""
        group, deadline, deduplicated = self.groups.get(ask.group, (None, 0.0, False))
        tenant = self.tenants.get(ask.tenant or "") if self.tenants else 0
        if group is None or tenant is None:
            name = f"endpoint group {ask.group[:40]!r}" if group is None else f"tenant {ask.tenant!r}"
            connection.spoiled(ask.stream, f"the unknown {name}")
            return
        if self.tells_left and ask.wait is None:
            connection.spoiled(ask.stream, "no time that its caller waits")
            return
        if deduplicated and not ask.key:
            # Guards against a second run: no repeat of it could be known.
            connection.spoiled(ask.stream, "no key by which repeats are known")
            return
        ago = unix_ms() - ask.reached  # by the clock that the stamp came from
        if ago < -AHEAD_MS or (ask.wait or 0.0) > WAITS * deadline:
            connection.spoiled(ask.stream, "times that cannot be")
            return
        ticket = connection.open[ask.stream] = Ticket(
            ident=ask.ident,
            group=group,
            tenant=tenant,
            reached=connection.last_used - ago,
            wait=ask.wait if self.tells_left else None,
            kb=ask.kb,
            rank=ask.rank,
            caller=ask.caller,
            about=(ask.key if deduplicated else ask.about) or "",
            body=ask.body,
            answer=self.mailbox.post,
            place=(connection, ask.stream),
        )
        self.hand_in(Arrived(ticket))
