"""The reasons why a connection closed, for all peers alike, and the outcomes that they stand for."""

from __future__ import annotations

import errno
from enum import Enum

from myrtlecrank.policy.interface import Outcome


class CloseReason(Enum):
    """Why a connection closed. The values are log texts."""

    CLOSED_BY_PEER = "closed by the other side"
    RESET_BY_PEER = "reset by the other side"
    CONNECT_FAILED = "could not be opened"
    UNRESPONSIVE = "no longer answers"
    NOT_READING = "no longer reads"
    INCOMPLETE_FRAME = "brought no whole frame in time"
    PROTOCOL_ERROR = "sent what cannot be read"
    CLOSED_LOCALLY = "closed by us"


OUTCOME_BY_REASON = {  # of what was outstanding on the connection
    CloseReason.CLOSED_BY_PEER: Outcome.RESET,
    CloseReason.RESET_BY_PEER: Outcome.RESET,
    CloseReason.CONNECT_FAILED: Outcome.UNREACHED,
    CloseReason.UNRESPONSIVE: Outcome.TIMEOUT,
    CloseReason.NOT_READING: Outcome.TIMEOUT,
    CloseReason.INCOMPLETE_FRAME: Outcome.TIMEOUT,
    CloseReason.PROTOCOL_ERROR: Outcome.ERROR,
    CloseReason.CLOSED_LOCALLY: Outcome.CANCELLED,
}


def reason_of_error(error: OSError) -> CloseReason:
    """Returns the reason that a socket error stands for."""
    if isinstance(error, TimeoutError):
        return CloseReason.UNRESPONSIVE
    if error.errno in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL):
        return CloseReason.CONNECT_FAILED
    if error.errno == errno.EBADF:
        return CloseReason.CLOSED_LOCALLY
    if error.errno == errno.EPIPE:
        return CloseReason.CLOSED_BY_PEER
    return CloseReason.RESET_BY_PEER
