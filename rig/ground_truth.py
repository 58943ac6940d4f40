"""What the rig knows and the program can only estimate: the true share of repeats at each backend, and how
the estimate stands beside it."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecrank.retries.estimator import SHARE_HALF_LIFE_MS
from rig.backend import Backend
from rig.callers import Try
from rig.fleet import Fleet

LOOK_MS = 100.0
STORM, NONE = 0.30, 0.15  # true shares from which a storm is one, and below which it is none


@dataclass
class Share:
    """Faded counts of one backend, as the estimate takes them."""

    arrivals: float = 0.0
    again: float = 0.0
    since: float | None = None  # when the true share rose over STORM
    seen: bool = False  # the estimate told a storm since then

    def fade(self) -> None:
        keep = 0.5 ** (LOOK_MS / SHARE_HALF_LIFE_MS)
        self.arrivals *= keep
        self.again *= keep


@dataclass
class Truth:
    fleet: Fleet
    shares: dict[int, Share] = field(default_factory=dict)
    off_by: float = 0.0
    weight: float = 0.0
    delays: list[float] = field(default_factory=list)
    false_ms: float = 0.0
    looks: int = 0
    deaf_right: float = 0.0
    deaf_all: float = 0.0
    wrongly_deaf: int = 0

    def __post_init__(self) -> None:
        self.fleet.seen.append(self.look)
        self.fleet.on_read.append(self.read)

    def _backends(self) -> list[Backend]:
        return [one for one in self.fleet.backends if isinstance(one, Backend)]

    def read(self, one: Try) -> None:
        share = self.shares.setdefault(one.backend, Share())
        share.arrivals += 1.0
        share.again += one.number > 1

    def look(self, now: float) -> None:
        for backend in self._backends():
            share = self.shares.setdefault(backend.number, Share())
            estimator = backend.core.retry_estimator
            if not backend.alive or estimator is None:
                share.since = None
                continue
            self.looks += 1
            if share.arrivals >= 8.0:
                true = share.again / share.arrivals
                if (
                    estimator.recent_arrivals >= 8.0
                    and estimator.total_arrivals >= estimator.options.least_arrivals
                ):
                    weight = share.arrivals
                    self.off_by += weight * abs(estimator.recent_retries / estimator.recent_arrivals - true)
                    self.weight += weight
                self._onset(share, true, estimator.storm, now)
                self.false_ms += LOOK_MS * (estimator.storm and true < NONE)
            share.fade()
        if now >= self.fleet.scene.kill_at + 5000.0:
            self._deaf(now)

    def _onset(self, share: Share, true: float, told: bool, now: float) -> None:
        if true < NONE:
            share.since, share.seen = None, False
        elif true >= STORM and share.since is None and not told:
            share.since = now
        if told and share.since is not None and not share.seen:
            share.seen = True
            self.delays.append(now - share.since)

    def _deaf(self, now: float) -> None:
        """How many of the callers that heed nothing are known as such, and whether others are."""
        truly = {c.number for c in self.fleet.callers if c.habits.deaf}
        for backend in self._backends():
            estimator = backend.core.retry_estimator
            if not backend.alive or estimator is None or not estimator.storm:
                continue
            known = {
                n
                for n, told in estimator.compliance.callers.items()
                if estimator.compliance.is_noncompliant(told)
            }
            self.deaf_right += len(known & truly)
            self.deaf_all += len(truly)
            self.wrongly_deaf += len(known - truly)

    def figures(self) -> dict[str, float]:
        found: dict[str, float] = {
            "false_alarm_s": round(self.false_ms / 1000.0 / len(self.fleet.backends), 2)
        }
        if self.weight:
            found["estimate_error"] = round(self.off_by / self.weight, 3)
        if self.delays:
            found["storm_seen_s"] = round(sum(self.delays) / len(self.delays) / 1000.0, 2)
        if self.deaf_all:
            found["deaf_known"] = round(self.deaf_right / self.deaf_all, 2)
            found["wrongly_deaf"] = float(self.wrongly_deaf)
        return found
