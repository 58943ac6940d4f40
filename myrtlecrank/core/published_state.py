"""What the module wants callers to hear. Only the module's actor writes here; the fronts read."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Board:
    well: bool = True
    value: float | None = None  # the published value
    idle: float = 0.0  # connections that idle longer are closed; 0: left to the callers
    late: float = 0.0  # how far the last beat came after it was due, ms
    warmth: float = 1.0  # of the machine, 0 to 1
    shut: bool = False  # nothing that comes would run any more
