"""What becomes of the commands to the agent that were sent on a connection which was lost.

Commands sent shortly before the loss may have been received or not. Once the agent has sent all reports of
the outage, a command is sent again only if a second copy does no harm at the agent:

- A start names its exchange, and nothing happens if that runs already; it may run twice only where the
  exchange is repeatable.
- A cancellation names its exchange, and stopping what is stopped changes nothing.
- A command that continues a run at its call does not name the call. A second copy would be taken for the next
  call if the run has reached that by the time the copy arrives. So it is sent again only if the first copy
  certainly was not received. A run that may have received it either shows by a report that it goes on, or
  waits at its call for ever: it is watched, and then cancelled and started anew if it is repeatable."""

from __future__ import annotations

from enum import Enum, auto

from myrtlecrank.core.exchange_entry import ExchangeEntry
from myrtlecrank.policy.interface import Outcome


class RecoveryStep(Enum):
    """What is done for an entry once the agent is connected again and its reports of the outage are in."""

    NOTHING = auto()
    END_LOST_RUN = auto()  # nobody waits for the run, and it will never end by itself
    CANCEL = auto()
    START = auto()
    CONTINUE = auto()  # with the end of its call, which was not sent
    WATCH = auto()  # the end of its call may have been received


def recovery_step(entry: ExchangeEntry, is_repeatable: bool) -> RecoveryStep:
    """Returns what is to be done for `entry` after a reconnection."""
    if not entry.running:
        return RecoveryStep.NOTHING
    never_sent = entry.lost_start_outcome is Outcome.UNREACHED
    if entry.cancel_requested or entry.restart_requested:
        return RecoveryStep.END_LOST_RUN if never_sent else RecoveryStep.CANCEL
    if entry.released and entry.is_in_doubt():
        return RecoveryStep.END_LOST_RUN
    if entry.lost_start_outcome is not None:
        return RecoveryStep.START if never_sent or is_repeatable else RecoveryStep.NOTHING
    if entry.resume_command is None or entry.resume_number:
        return RecoveryStep.NOTHING
    return RecoveryStep.WATCH if entry.resume_in_doubt else RecoveryStep.CONTINUE
