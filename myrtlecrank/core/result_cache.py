"""The cache of results that retries of deduplicated exchanges and reads of the same subject share."""

from __future__ import annotations

from myrtlecrank.core.exchange_entry import ExchangeEntry
from myrtlecrank.core.messages import ExchangeRequest
from myrtlecrank.policy.interface import ControllerSettings, EffectKind, Outcome

RESULT_MAX_BYTES = 5120  # a result and its overhead
CACHE_MAX_BYTES = 24_000_000  # of the program's own memory
Key = tuple[int, str]  # endpoint group, result key


class ResultCache:
    """Entries by endpoint group and result key, until their windows end and within a bound of memory."""

    def __init__(self, settings: ControllerSettings) -> None:
        self.settings = settings
        self.entries: dict[Key, tuple[ExchangeEntry, float]] = {}  # with the end of the window
        self.with_result: dict[Key, None] = {}  # those that count with a result, the oldest first
        self.size_bytes = 0

    def find(self, request: ExchangeRequest, now: float) -> ExchangeEntry | None:
        """Returns the original exchange whose result `request` may share."""
        entry, until = self.entries.get((request.group, request.result_key), (None, 0.0))
        if entry is None or not request.result_key:
            return None
        if self.is_deduplicated(entry):
            # The window counts by arrival: a retry may be handled long after it arrived.
            return entry if min(request.arrived_at, now) <= until else None
        if now > until:
            return None
        if entry.outcome is not None and now > entry.ended_at + self.settings.shared_result_lifetime:
            return None
        return entry

    def store(self, entry: ExchangeEntry, until: float) -> None:
        """Caches `entry` under its result key, if it has one, until the time `until`."""
        request = entry.request
        if not request.result_key:
            return
        key = (request.group, request.result_key)
        self._remove(key)
        self.entries[key] = (entry, until)
        self.with_result[key] = None
        self.size_bytes += RESULT_MAX_BYTES
        while self.size_bytes > CACHE_MAX_BYTES:
            self._free_memory(next(iter(self.with_result)))

    def evict(self, entry: ExchangeEntry) -> None:
        """Removes `entry`, unless another one has taken its key."""
        key = (entry.request.group, entry.request.result_key)
        if self.entries.get(key, (None,))[0] is entry:
            self._remove(key)

    def evict_expired(self, now: float) -> None:
        """Removes the entries that no further arrival can refer to."""
        for key in [
            key for key, (entry, until) in self.entries.items() if now > until + self._handling_delay(entry)
        ]:
            self._remove(key)

    def is_deduplicated(self, entry: ExchangeEntry) -> bool:
        """Whether the endpoint group of `entry` holds deduplicated exchanges."""
        return self.settings.groups[entry.request.group].kind is EffectKind.DEDUPLICATED

    def _handling_delay(self, entry: ExchangeEntry) -> float:
        """How long after the window a retry that arrived within it may still be handled, in ms."""
        return self.settings.groups[entry.request.group].timeout if self.is_deduplicated(entry) else 0.0

    def _free_memory(self, key: Key) -> None:
        """Keeps the cache within its bound. A read is removed whole. Of a deduplicated exchange only the
        result is evicted: its retries are terminated from then on, but never executed."""
        entry, _ = self.entries[key]
        if not self.is_deduplicated(entry):
            self._remove(key)
            return
        del self.with_result[key]
        self.size_bytes -= RESULT_MAX_BYTES
        if entry.outcome is Outcome.OK:
            entry.outcome, entry.result = Outcome.ERROR, b""

    def _remove(self, key: Key) -> None:
        self.entries.pop(key, None)
        if key in self.with_result:
            del self.with_result[key]
            self.size_bytes -= RESULT_MAX_BYTES
