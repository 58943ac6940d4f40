"""Keeps the simulated backends of one adapter process and carries batches of events to their controllers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

from myrtlecrank.policy import interface
from myrtlecrank.policy.controller import Controller
from myrtlecrank.retries import exchange_estimates
from myrtlecrank.retries.estimator import RetryEstimator
from myrtlecrank.retries.options import RetryOptions
from myrtlecrank.settings import Fields, controller_settings
from myrtlecrank.simulator_adapter import protocol

NO_BODY = b""  # the simulator sends no bodies


class Instance:
    """One backend: its controller, the exchanges that events may still name, and the replies to send."""

    def __init__(self, number: int, event: Fields, now: float, options: RetryOptions | None = None) -> None:
        settings = controller_settings(event.inner("conf"), event.integer("rngSeed"))
        self.number = number
        self.sends_remaining_time = settings.sends_remaining_time
        self.group_count = len(settings.groups)
        self.tenant_count = len(settings.tenants)
        longest_ms = max(
            (group.timeout + group.deduplication_window for group in settings.groups), default=0.0
        )
        self.remembered_ms = 2.0 * longest_ms + settings.shared_result_lifetime
        self.exchanges: dict[int, interface.Exchange] = {}
        self.numbers: dict[interface.Exchange, int] = {}
        self.arrivals: deque[tuple[float, int]] = deque()  # time and number, the eldest first
        self.replies: list[bytes] = []
        self.now = now
        self.published_value: float | None = None
        # Without bodies their similarity is left out of the estimate; all else is as on sockets.
        self.retry_estimator = None
        if options is not None:
            timeouts = [group.timeout for group in settings.groups]
            self.retry_estimator = RetryEstimator(timeouts, settings.seed, options, now)
        self.controller = Controller(settings, self._perform, now)

    def _perform(self, operation: interface.Operation) -> None:
        if isinstance(operation, interface.Publish):
            self.published_value = operation.value
        elif isinstance(operation, interface.Deny | interface.Fail):
            retry_after = operation.retry_after if isinstance(operation, interface.Deny) else 0.0
            self._mark_answered(operation.exchange, True, retry_after)
        if isinstance(operation, interface.ReleaseRun):
            return  # the simulator loses no command, so each run reports its end
        self.replies.append(protocol.encode_operation(operation, self.number, self.numbers.__getitem__))

    def _mark_answered(self, exchange: interface.Exchange, has_failed: bool, retry_after: float) -> None:
        exchange_estimates.record_answer(
            self.retry_estimator, exchange, NO_BODY, has_failed, retry_after, self.published_value, self.now
        )

    def forget_old(self, now: float) -> None:
        """Drops exchanges so old that no retry can name them any more."""
        while self.arrivals and self.arrivals[0][0] < now - self.remembered_ms:
            exchange = self.exchanges.pop(self.arrivals.popleft()[1], None)
            if exchange is not None:
                del self.numbers[exchange]

    def _decode_arrival(self, event: Fields, now: float) -> interface.Exchange:
        exchange = protocol.decode_exchange(
            event, self.sends_remaining_time, self.group_count, self.tenant_count
        )
        number = event.integer("call")
        original = event.integer("earlier", 0)
        if original:
            # A retry stays one even if the exchange that it retries is no longer in the table.
            exchange.original = self.exchanges.get(original) or interface.Exchange(
                exchange.group, None, 0.0, 0.0
            )
        timeout = None if exchange.remaining_time is None else exchange.remaining_time + exchange.read_delay
        exchange_estimates.estimate_arrival(self.retry_estimator, exchange, NO_BODY, timeout, now)
        self.exchanges[number] = exchange
        self.numbers[exchange] = number
        self.arrivals.append((now, number))
        return exchange

    def event(self, event: Fields, now: float) -> None:
        """Hands one event to the controller; one about an exchange that is forgotten changes nothing."""
        self.now = now
        name = event.text("msg")
        exchange = self.exchanges.get(event.integer("call")) if name in EXCHANGE_EVENTS else None
        if name == "inbound":
            self.controller.arrived(self._decode_arrival(event, now), now)
        elif name == "result":
            outcome, took_ms = protocol.decode_outcome(event), event.duration_ms("costTime", 0.0)
            if exchange:
                if outcome in (interface.Outcome.OK, interface.Outcome.ERROR):
                    self._mark_answered(exchange, outcome is interface.Outcome.ERROR, 0.0)
                self.controller.run_ended(exchange, outcome, took_ms, now)
        elif name == "atCall":
            if exchange:
                self.controller.call_reached(exchange, now)
        elif name == "cameBack":
            outcome, took_ms = protocol.decode_outcome(event), event.duration_ms("costTime", 0.0)
            if exchange:
                self.controller.call_ended(exchange, outcome, took_ms, now)
        elif name == "expired":
            if exchange:
                if self.retry_estimator is not None:
                    self.retry_estimator.record_abandonment(exchange.caller, now)
                self.controller.caller_left(exchange, now)
        elif name == "terminateSoon":
            self.controller.start_drain(event.duration_ms("patienceLeft"), now)
        elif name == "fired":
            gauges = protocol.decode_gauges(event)
            gauges.is_retry_storm = (
                self.retry_estimator is not None and self.retry_estimator.update_storm_status(now).storm
            )
            self.controller.sample_due(event.text("name"), gauges, now)


EXCHANGE_EVENTS = {"result", "atCall", "cameBack", "expired"}
EVENTS = EXCHANGE_EVENTS | {"inbound", "terminateSoon", "fired"}


class Host:
    """All simulated backends of the process, and the batch that is being read."""

    def __init__(self, options: RetryOptions | None = None) -> None:
        self.options = options
        self.instances: dict[int, Instance] = {}
        self.batch_time: float | None = None  # ms; None: outside a batch
        self.instances_in_batch: dict[int, Instance] = {}

    def handle(self, event: Fields) -> list[bytes] | None:
        """Handles one event; returns the reply lines at the end of a batch.

        Raises ProtocolError for an event that is not valid, and Panic for an exception in the controller.
        """
        name = event.text("msg")
        if name == "turn":
            if self.batch_time is not None:
                raise protocol.ProtocolError(f"{event.where} begins a batch inside another")
            self.batch_time = event.integer("simTime") / protocol.US_PER_MS
            return None
        if self.batch_time is None:
            raise protocol.ProtocolError(f"{event.where} is outside a batch")
        if name == "flush":
            return self._end_batch(self.batch_time)
        number = event.integer("backendId")
        if name == "start":
            started = self._guarded(number, Instance, number, event, self.batch_time, self.options)
            self.instances[number] = started
            self.instances_in_batch[number] = started
        elif name == "retire":
            self.instances.pop(number, None)
            self.instances_in_batch.pop(number, None)
        elif name not in EVENTS:
            raise protocol.ProtocolError(f"{event.where}: unknown event")
        else:
            instance = self.instances.get(number)
            if instance is None:
                raise protocol.ProtocolError(f"{event.where}: backend {number} has not started")
            self.instances_in_batch[number] = instance
            self._guarded(number, instance.event, event, self.batch_time)
        return None

    def _guarded(self, number: int, work: Callable[..., Any], *args: Any) -> Any:
        try:
            return work(*args)
        except protocol.ProtocolError:
            raise
        except Exception as error:
            raise Panic(number, error) from error

    def _end_batch(self, now: float) -> list[bytes]:
        lines: list[bytes] = []
        for number, instance in self.instances_in_batch.items():
            self._guarded(number, instance.controller.settle, now)
            instance.forget_old(now)
            lines += instance.replies
            instance.replies.clear()
        self.instances_in_batch.clear()
        self.batch_time = None
        lines.append(protocol.END_OF_REPLY)
        return lines


class Panic(Exception):
    """An exception in a controller, with the line that reports it to the simulator."""

    def __init__(self, backend: int, cause: Exception) -> None:
        super().__init__(str(cause))
        self.line = protocol.encode_panic(backend, cause)


def serve(lines: Iterable[bytes], out: BinaryIO, options: RetryOptions | None = None) -> None:
    """Runs until the input ends.

    Raises ProtocolError for a malformed line, and Panic for an exception in a controller once that is sent.
    `options` are those of the retry estimator; None turns it off.
    """
    host = Host(options)
    number = 0
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            reply = host.handle(protocol.parse(line, number))
        except Panic as panic:
            out.write(panic.line + b"\n" + protocol.END_OF_REPLY + b"\n")
            out.flush()
            raise
        if reply is not None:
            out.write(b"\n".join(reply) + b"\n")
            out.flush()
    if host.batch_time is not None:
        raise protocol.ProtocolError(f"the input ends inside a batch, after line {number}")
