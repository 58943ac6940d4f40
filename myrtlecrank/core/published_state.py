"""The state that is published to callers and other actors. Only the controller's actor writes it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PublishedState:
    """Current health, published value and limits; shared by reference."""

    healthy: bool = True  # health, as reported to the membership list
    published_value: float | None = None  # the published value
    idle_limit: float = 0.0  # ms after which idle connections are closed; 0: left to the callers
    tick_delay: float = 0.0  # by how many ms the last sampling tick came after it was due
    warmth: float = 1.0  # of the machine, from 0 (cold) to 1
    stopped_accepting: bool = False  # new exchanges would no longer be executed
