"""Keeps the instances of one adapter process and runs the batch loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

from myrtlecrank.policy import interface
from myrtlecrank.policy.controller import Controller
from myrtlecrank.retries import exchange_marks
from myrtlecrank.retries.estimator import Repeats
from myrtlecrank.retries.options import Bounds
from myrtlecrank.settings import Fields, start_facts
from myrtlecrank.simulator_adapter import protocol


class Instance:
    """One backend: its controller, the exchanges it may still be told about, and what it wants done."""

    def __init__(self, number: int, event: Fields, now: float, bounds: Bounds | None = None) -> None:
        facts = start_facts(event.inner("conf"), event.integer("rngSeed"))
        self.number = number
        self.tells_left = facts.tells_left
        self.groups, self.tenants = len(facts.groups), len(facts.tenants)
        longest = max((g.timeout + g.deduplication_window for g in facts.groups), default=0.0)
        self.remembered_for = 2.0 * longest + facts.share_for
        self.exchanges: dict[int, interface.Exchange] = {}
        self.ids: dict[interface.Exchange, int] = {}
        self.ages: deque[tuple[float, int]] = deque()
        self.replies: list[bytes] = []
        self.now = now
        self.credit: float | None = None  # the published value
        # The simulator tells no bodies: likeness is left out, all else is as on sockets.
        self.repeats = None
        if bounds is not None:
            self.repeats = Repeats([g.timeout for g in facts.groups], facts.seed, bounds, now)
        self.controller = Controller(facts, self.do, now)

    def do(self, op: interface.Operation) -> None:
        if isinstance(op, interface.Publish):
            self.credit = op.value
        elif isinstance(op, interface.Deny | interface.Fail):
            wait = op.retry_after if isinstance(op, interface.Deny) else 0.0
            exchange_marks.answered(self.repeats, op.exchange, b"", True, wait, self.credit, self.now)
        self.replies.append(protocol.action(op, self.number, self.ids.__getitem__))

    def forget_old(self, now: float) -> None:
        while self.ages and self.ages[0][0] < now - self.remembered_for:
            ex = self.exchanges.pop(self.ages.popleft()[1], None)
            if ex is not None:
                del self.ids[ex]

    def arrival(self, event: Fields, now: float) -> interface.Exchange:
        ex = protocol.exchange(event, self.tells_left, self.groups, self.tenants)
        ident = event.integer("call")
        named = event.integer("earlier", 0)
        if named:
            # A repeat stays one even if what it repeats is no longer in the table.
            ex.earlier = self.exchanges.get(named) or interface.Exchange(ex.group, None, 0.0, 0.0)
        wait = None if ex.left is None else ex.left + ex.waited
        exchange_marks.arrived(self.repeats, ex, b"", wait, now)
        self.exchanges[ident] = ex
        self.ids[ex] = ident
        self.ages.append((now, ident))
        return ex

    def event(self, event: Fields, now: float) -> None:
        self.now = now
        name = event.text("msg")
        known = self.exchanges.get(event.integer("call")) if name in ABOUT_ONE else None
        if name == "inbound":
            self.controller.arrived(self.arrival(event, now), now)
        elif name == "result":
            end, took = protocol.outcome(event), event.ms("costTime", 0.0)
            if known:
                if end in (interface.Outcome.OK, interface.Outcome.ERROR):
                    failed = end is interface.Outcome.ERROR
                    exchange_marks.answered(self.repeats, known, b"", failed, 0.0, self.credit, now)
                self.controller.finished(known, end, took, now)
        elif name == "atCall":
            if known:
                self.controller.at_call(known, now)
        elif name == "cameBack":
            end, took = protocol.outcome(event), event.ms("costTime", 0.0)
            if known:
                self.controller.call_ended(known, end, took, now)
        elif name == "expired":
            if known:
                if self.repeats is not None:
                    self.repeats.left(known.caller, now)
                self.controller.caller_left(known, now)
        elif name == "terminateSoon":
            self.controller.leave(event.ms("patienceLeft"), now)
        elif name == "fired":
            gauges = protocol.gauges(event)
            gauges.storm = self.repeats is not None and self.repeats.tide(now).storm
            self.controller.alarm(event.text("name"), gauges, now)


ABOUT_ONE = {"result", "atCall", "cameBack", "expired"}
EVENTS = ABOUT_ONE | {"inbound", "terminateSoon", "fired"}


class Host:
    def __init__(self, bounds: Bounds | None = None) -> None:
        self.bounds = bounds
        self.instances: dict[int, Instance] = {}
        self.now: float | None = None
        self.touched: dict[int, Instance] = {}

    def line(self, event: Fields) -> list[bytes] | None:
        """Takes one line in; at the end of a batch, its reply."""
        name = event.text("msg")
        if name == "turn":
            if self.now is not None:
                raise protocol.WireError(f"{event.where} begins a batch inside another")
            self.now = event.integer("simTime") / 1000.0
            return None
        if self.now is None:
            raise protocol.WireError(f"{event.where} stands outside a batch")
        if name == "flush":
            return self._reply(self.now)
        number = event.integer("backendId")
        if name == "start":
            started = self._guarded(number, Instance, number, event, self.now, self.bounds)
            self.instances[number] = self.touched[number] = started
        elif name == "retire":
            self.instances.pop(number, None)
            self.touched.pop(number, None)
        elif name not in EVENTS:
            raise protocol.WireError(f"{event.where}: unknown event")
        else:
            instance = self.instances.get(number)
            if instance is None:
                raise protocol.WireError(f"{event.where}: backend {number} has not started")
            self.touched[number] = instance
            self._guarded(number, instance.event, event, self.now)
        return None

    def _guarded(self, number: int, work: Callable[..., Any], *args: Any) -> Any:
        try:
            return work(*args)
        except protocol.WireError:
            raise
        except Exception as error:
            raise Panic(number, error) from error

    def _reply(self, now: float) -> list[bytes]:
        lines: list[bytes] = []
        for number, instance in self.touched.items():
            self._guarded(number, instance.controller.settle, now)
            instance.forget_old(now)
            lines += instance.replies
            instance.replies.clear()
        self.touched.clear()
        self.now = None
        lines.append(b'{"msg":"next"}')
        return lines


class Panic(Exception):
    """An exception in the decision module, to be told on the wire."""

    def __init__(self, backend: int, cause: Exception) -> None:
        super().__init__(str(cause))
        self.line = protocol.panic(backend, cause)


def serve(lines: Iterable[bytes], out: BinaryIO, bounds: Bounds | None = None) -> None:
    """Runs until the input ends; raises WireError at a malformed line. `bounds`: of the repeats."""
    host = Host(bounds)
    number = 0
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            reply = host.line(protocol.parse(line, number))
        except Panic as panic:
            out.write(panic.line + b'\n{"msg":"next"}\n')
            out.flush()
            raise
        if reply is not None:
            out.write(b"\n".join(reply) + b"\n")
            out.flush()
    if host.now is not None:
        raise protocol.WireError(f"the input ends inside a batch, after line {number}")
