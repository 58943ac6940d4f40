"""The reasons why a connection closed, for all peers alike, and the outcomes that they stand for."""

from __future__ import annotations

import errno
from enum import Enum

from myrtlecrank.policy.interface import Outcome


class End(Enum):
    """Why a connection closed. The values are log texts."""

    CLOSED = "closed by the other side"
    RESET = "reset by the other side"
    UNREACHED = "could not be opened"
    SILENT = "no longer answers"
    STUCK = "no longer reads"
    HALF = "brought no whole frame in time"
    BROKEN = "sent what cannot be read"
    LEFT = "closed by us"


OUTCOMES = {  # of what was outstanding on the connection
    End.CLOSED: Outcome.RESET,
    End.RESET: Outcome.RESET,
    End.UNREACHED: Outcome.UNREACHED,
    End.SILENT: Outcome.TIMEOUT,
    End.STUCK: Outcome.TIMEOUT,
    End.HALF: Outcome.TIMEOUT,
    End.BROKEN: Outcome.ERROR,
    End.LEFT: Outcome.CANCELLED,
}


def of_error(error: OSError) -> End:
    """Returns the reason that a socket error stands for."""
    if isinstance(error, TimeoutError):
        return End.SILENT
    if error.errno in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL):
        return End.UNREACHED
    if error.errno == errno.EBADF:
        return End.LEFT
    if error.errno == errno.EPIPE:
        return End.CLOSED
    return End.RESET
