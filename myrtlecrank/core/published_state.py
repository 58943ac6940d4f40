"""The state that is published to callers and other actors. Only the controller's actor writes it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Board:
    """Current health, published value and limits; shared by reference."""

    well: bool = True  # health, as reported to the membership list
    value: float | None = None  # the published value
    idle: float = 0.0  # ms after which idle connections are closed; 0: left to the callers
    late: float = 0.0  # by how many ms the last sampling tick came after it was due
    warmth: float = 1.0  # of the machine, from 0 (cold) to 1
    shut: bool = False  # new exchanges would no longer be executed
