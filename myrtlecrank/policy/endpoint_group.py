"""What the controller keeps of one endpoint group: its queue and the statistics of its runs."""

from __future__ import annotations

from math import exp, log
from typing import TYPE_CHECKING

from myrtlecrank.policy import interface

if TYPE_CHECKING:
    from myrtlecrank.policy.exchange_state import ExchangeState

INITIAL_RUN_OF_SLO = 0.2  # assumed mean run time before the first run, as a part of the SLO time
INITIAL_LOG_HINT_VARIANCE = 1.0
MIN_LOG_HINT_VARIANCE = 0.1
INITIAL_HINT_EXPONENT = 0.5
HINT_EXPONENT_RATE = 0.3  # learning rate of the exponent, relative to that of the means


class EndpointGroupState:
    """The queue of one endpoint group, and what was learned of its run times and work hints."""

    def __init__(self, settings: interface.EndpointGroup) -> None:
        self.kind = settings.kind
        self.benefit = settings.benefit
        self.late_benefit = settings.late_benefit
        self.benefit_without_call = settings.benefit_without_call
        self.slo = settings.slo
        self.slo_work_multiple = settings.slo_work_multiple
        self.timeout = settings.timeout
        self.deduplication_window = settings.deduplication_window

        self.queue: list[ExchangeState] = []
        self.start_credit = 0.0  # starts that the group is owed, carried over

        self.mean_run_ms = INITIAL_RUN_OF_SLO * settings.slo  # while the backend is healthy
        self.learned_runs = 0

        # Regression of the logarithm of run times on that of hints
        self.mean_log_hint = 0.0  # 0: no hint was seen yet
        self.log_hint_variance = INITIAL_LOG_HINT_VARIANCE
        self.mean_log_run = 0.0
        self.hint_exponent = INITIAL_HINT_EXPONENT  # 0: hints say nothing, 1: run times are in proportion

    def relative_work(self, hint: float) -> float:
        """Expected work of an exchange with this hint, as a multiple of the group's mean.

        The variance term corrects for rough hints: the largest are mostly overstated.
        """
        if hint <= 0 or self.mean_log_hint == 0.0:
            return 1.0
        exponent = self.hint_exponent
        return exp(
            exponent * (log(hint) - self.mean_log_hint) - 0.5 * exponent * exponent * self.log_hint_variance
        )

    def learn_hint(self, hint: float, run_ms: float, rate: float) -> None:
        """Updates the regression by one finished run; `rate` is the learning rate of the means."""
        if hint <= 0:
            return
        if self.mean_log_hint == 0.0:
            self.mean_log_hint = log(hint)
            self.mean_log_run = log(run_ms)
        hint_deviation = log(hint) - self.mean_log_hint
        run_deviation = log(run_ms) - self.mean_log_run
        self.mean_log_hint += rate * hint_deviation
        self.mean_log_run += rate * run_deviation
        self.log_hint_variance += rate * (hint_deviation * hint_deviation - self.log_hint_variance)
        slope = hint_deviation * run_deviation / max(MIN_LOG_HINT_VARIANCE, self.log_hint_variance)
        exponent = self.hint_exponent + HINT_EXPONENT_RATE * rate * (slope - self.hint_exponent)
        self.hint_exponent = min(1.0, max(0.0, exponent))
