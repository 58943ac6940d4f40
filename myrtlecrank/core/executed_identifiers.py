"""The identifiers of mutating exchanges that have run, or may have: none of them may run again.

An identifier is new with every try, so one that comes again is a mistake or a copy."""

from __future__ import annotations

MAX_IDENTIFIERS = 65_536  # the oldest are forgotten beyond that; some 100 bytes each


class ExecutedIdentifiers:
    """A bounded set of identifiers, the oldest first."""

    def __init__(self, capacity: int = MAX_IDENTIFIERS) -> None:
        self.capacity = capacity
        self.identifiers: dict[str, None] = {}

    def __contains__(self, identifier: str) -> bool:
        return identifier in self.identifiers

    def add(self, identifier: str) -> None:
        """Remembers an identifier."""
        self.identifiers[identifier] = None
        if len(self.identifiers) > self.capacity:
            del self.identifiers[next(iter(self.identifiers))]
