"""How a greenlet gives the others their turn.

`gevent.sleep(0)` is not enough: the loop runs up to 50 such callbacks one after another, those that they add
included, before it looks at any socket."""

from __future__ import annotations

import gevent

MAX_PRIORITY = 2  # of the event loop's watchers: not after all that is ready, but once in each pass


def yield_to_io() -> None:
    """Returns once the event loop has looked at all sockets and timers; what was ready runs in between."""
    gevent.idle(priority=MAX_PRIORITY)
