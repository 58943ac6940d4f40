"""Which remaining times are those of first tries.

Callers wait a fixed time for a first try, and what is left of the whole deadline for a retry. So the first
tries of an endpoint group pile up on one or a few exact values of the remaining time, and retries lie
anywhere. In simulated traffic of 37,349 exchanges, each of the 36,685 first tries stated 557 or 558 ms, and
each of the 682 retries its deadline less its age, 1,000 to 1,482 ms. No assumption is made on which of the
two is longer."""

from __future__ import annotations

from array import array

BIN_WIDTH_MS = 2.0  # wider for deadlines that need more than BIN_COUNT bins
BIN_COUNT = 4096
PEAK_HALF_WIDTH_BINS = 2  # on either side of a peak's centre: times are stated in whole ms
PEAK_WIDTH_BINS = 2 * PEAK_HALF_WIDTH_BINS + 1
FLANK_BINS = 10  # on either side of a peak's centre: the peak must stand out from them
MIN_PEAK_TO_FLANK = 4.0  # ratio to the mean of the flanks
MIN_PEAK_SHARE = 0.12  # of all arrivals, in a peak
MIN_CENTRE_SHARE = MIN_PEAK_SHARE / PEAK_WIDTH_BINS  # of all arrivals, in the centre bin of a peak
RETRY_EARLIEST = 0.97  # of a first try's timeout, after which its retry is sent
RETRY_LATEST = 1.12
FADE_SAMPLES = 512  # after so many arrivals, older ones count half
FIRST_UPDATE_SAMPLES = 32  # interval between searches for peaks before the first fade
NEGLIGIBLE_COUNT = 0.05  # in a bin


class TimeoutHistogram:
    """The remaining times of one endpoint group, as a histogram that fades every FADE_SAMPLES arrivals."""

    def __init__(self, deadline: float) -> None:
        self.bin_width_ms = max(BIN_WIDTH_MS, 2.0 * deadline / BIN_COUNT)
        self.bins = array("f", bytes(4 * BIN_COUNT))
        self.total = 0.0
        self.samples_since_fade = 0
        self.peaks: list[int] = []  # centre bins
        self.candidates: set[int] = set()  # bins that may be the centre of a peak

    def follows_timeout(self, age: float) -> bool:
        """Whether a retry of this age, in ms, comes just after its first try timed out."""
        timeouts = ((peak + 0.5) * self.bin_width_ms for peak in self.peaks)
        return any(RETRY_EARLIEST * timeout <= age <= RETRY_LATEST * timeout for timeout in timeouts)

    def record(self, left: float) -> bool:
        """Adds the remaining time of one arrival, in ms. Returns whether it lies on a peak."""
        index = min(BIN_COUNT - 1, max(0, int(left / self.bin_width_ms)))
        self.bins[index] += 1.0
        self.total += 1.0
        self.samples_since_fade += 1
        if self.bins[index] >= MIN_CENTRE_SHARE * self.total:
            self.candidates.add(index)
        if self.samples_since_fade >= FADE_SAMPLES or (
            self.total < FADE_SAMPLES and self.samples_since_fade % FIRST_UPDATE_SAMPLES == 0
        ):
            self._update_peaks()
        return any(abs(index - peak) <= PEAK_HALF_WIDTH_BINS for peak in self.peaks)

    def _peak_weight(self, centre: int) -> float:
        return sum(self.bins[max(0, centre - PEAK_HALF_WIDTH_BINS) : centre + PEAK_HALF_WIDTH_BINS + 1])

    def _flank_weight(self, centre: int) -> float:
        """The weight of a peak's width at the mean level of the flanks."""
        flanks = [
            self.bins[index]
            for side in (-1, 1)
            for index in range(
                centre + side * (PEAK_HALF_WIDTH_BINS + 1), centre + side * (FLANK_BINS + 1), side
            )
            if 0 <= index < BIN_COUNT
        ]
        return sum(flanks) / len(flanks) * PEAK_WIDTH_BINS

    def _update_peaks(self) -> None:
        peaks: list[int] = []
        self.candidates = {
            index for index in self.candidates if self.bins[index] >= MIN_CENTRE_SHARE * self.total
        }
        for centre in sorted(self.candidates, key=self.bins.__getitem__, reverse=True):
            if any(abs(centre - peak) <= 2 * PEAK_HALF_WIDTH_BINS for peak in peaks):
                continue
            flank_weight = self._flank_weight(centre)
            weight = self._peak_weight(centre)
            if weight >= MIN_PEAK_SHARE * self.total and weight >= MIN_PEAK_TO_FLANK * flank_weight:
                peaks.append(centre)
        self.peaks = peaks
        if self.samples_since_fade >= FADE_SAMPLES:
            self._fade()

    def _fade(self) -> None:
        self.samples_since_fade = 0
        self.total *= 0.5
        for index in range(BIN_COUNT):
            if self.bins[index]:
                self.bins[index] = self.bins[index] * 0.5 if self.bins[index] > NEGLIGIBLE_COUNT else 0.0
