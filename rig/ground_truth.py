"""True share of retries at each backend, and the error of the estimate that the program makes of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecrank.retries.estimator import SHARE_HALF_LIFE_MS
from rig.backend import Backend
from rig.callers import Try
from rig.fleet import Fleet

SAMPLING_INTERVAL_MS = 100.0
STORM_SHARE = 0.30  # true share at which a retry storm begins
NO_STORM_SHARE = 0.15  # true share below which there is none
LEAST_ARRIVALS = 8.0  # decayed count below which a share means little
SETTLING_MS = 5000.0  # time after the kill until noncompliant callers should be known


@dataclass
class RetryShare:
    """Decaying counts of one backend, with the half-life of the program's estimate."""

    arrivals: float = 0.0
    retries: float = 0.0
    storm_since: float | None = None  # when the true share reached STORM_SHARE
    is_detected: bool = False  # the program has reported a storm since then

    def fade(self) -> None:
        """Applies the decay of one sampling interval."""
        keep = 0.5 ** (SAMPLING_INTERVAL_MS / SHARE_HALF_LIFE_MS)
        self.arrivals *= keep
        self.retries *= keep


@dataclass
class GroundTruth:
    """Compares each backend's estimate with the tries that the fleet has sent. Fleet calls its hooks."""

    fleet: Fleet
    shares: dict[int, RetryShare] = field(default_factory=dict)
    weighted_error: float = 0.0
    weight: float = 0.0
    detection_delays_ms: list[float] = field(default_factory=list)
    false_alarm_ms: float = 0.0
    samples: int = 0
    noncompliant_found: float = 0.0
    noncompliant_total: float = 0.0
    wrongly_noncompliant: int = 0

    def __post_init__(self) -> None:
        self.fleet.on_sample.append(self.sample)
        self.fleet.on_read.append(self.count_arrival)

    def _backends(self) -> list[Backend]:
        return [one for one in self.fleet.backends if isinstance(one, Backend)]

    def count_arrival(self, one: Try) -> None:
        """Counts a try that a backend has received."""
        share = self.shares.setdefault(one.backend, RetryShare())
        share.arrivals += 1.0
        share.retries += one.attempt > 1

    def sample(self, now: float) -> None:
        """Compares the estimates with the true shares."""
        for backend in self._backends():
            share = self.shares.setdefault(backend.number, RetryShare())
            estimator = backend.core.retry_estimator
            if not backend.alive or estimator is None:
                share.storm_since = None
                continue
            self.samples += 1
            if share.arrivals >= LEAST_ARRIVALS:
                true_share = share.retries / share.arrivals
                if (
                    estimator.recent_arrivals >= LEAST_ARRIVALS
                    and estimator.total_arrivals >= estimator.options.least_arrivals
                ):
                    weight = share.arrivals
                    self.weighted_error += weight * abs(
                        estimator.recent_retries / estimator.recent_arrivals - true_share
                    )
                    self.weight += weight
                self._check_onset(share, true_share, estimator.storm, now)
                self.false_alarm_ms += SAMPLING_INTERVAL_MS * (
                    estimator.storm and true_share < NO_STORM_SHARE
                )
            share.fade()
        if now >= self.fleet.scene.kill_at + SETTLING_MS:
            self._check_noncompliant(now)

    def _check_onset(self, share: RetryShare, true_share: float, is_reported: bool, now: float) -> None:
        if true_share < NO_STORM_SHARE:
            share.storm_since, share.is_detected = None, False
        elif true_share >= STORM_SHARE and share.storm_since is None and not is_reported:
            share.storm_since = now
        if is_reported and share.storm_since is not None and not share.is_detected:
            share.is_detected = True
            self.detection_delays_ms.append(now - share.storm_since)

    def _check_noncompliant(self, now: float) -> None:
        """Counts the callers that ignore backpressure and are known to, and those wrongly taken for such."""
        noncompliant = {c.number for c in self.fleet.callers if c.behaviour.deaf}
        for backend in self._backends():
            estimator = backend.core.retry_estimator
            if not backend.alive or estimator is None or not estimator.storm:
                continue
            known = {
                number
                for number, record in estimator.compliance.callers.items()
                if estimator.compliance.is_noncompliant(record)
            }
            self.noncompliant_found += len(known & noncompliant)
            self.noncompliant_total += len(noncompliant)
            self.wrongly_noncompliant += len(known - noncompliant)

    def figures(self) -> dict[str, float]:
        """Returns the figures of the estimate for result.json."""
        figures: dict[str, float] = {
            "false_alarm_s": round(self.false_alarm_ms / 1000.0 / len(self.fleet.backends), 2)
        }
        if self.weight:
            figures["estimate_error"] = round(self.weighted_error / self.weight, 3)
        if self.detection_delays_ms:
            figures["storm_seen_s"] = round(
                sum(self.detection_delays_ms) / len(self.detection_delays_ms) / 1000.0, 2
            )
        if self.noncompliant_total:
            figures["deaf_known"] = round(self.noncompliant_found / self.noncompliant_total, 2)
            figures["wrongly_deaf"] = float(self.wrongly_noncompliant)
        return figures
