"""Sequential test of a new version against the old one that may be evaluated at any time."""

from __future__ import annotations

import collections
import math
import typing as t

from radishbridge.moves.observations import Fault, Observations, StreamKey, Tally

FALSE_ALARM_RATE = 0.005
STREAMS_MAX = 64
RATE_MARGINS: dict[Fault, float] = {Fault.ERROR: 0.01, Fault.SLOW: 0.08}
BASELINE_INTERVALS = 10
CONFIDENCE_Z = 2.0
# Each bet stakes this fraction of its own capital. The average capital is at least a quarter of the
# best one, which costs little because the thresholds apply to its logarithm.
_BET_FRACTIONS = (0.02, 0.1, 0.3, 0.6)


class StreamTest:
    """Tests one stream by betting: capital grows if the new version has the fault more often.

    While the new version's rate is at most the old one's upper confidence bound plus ``margin``,
    the expected capital does not grow. It therefore exceeds ``1 / a`` with probability at most
    ``a`` over the whole test, however often it is evaluated (Ville's inequality).

    :param margin: tolerated difference between the two rates.
    """

    __slots__ = ("log_capitals", "margin", "recent")

    def __init__(self, margin: float) -> None:
        self.margin = margin
        self.log_capitals = [0.0 for _ in _BET_FRACTIONS]
        self.recent: collections.deque[Tally] = collections.deque(maxlen=BASELINE_INTERVALS)

    def update(self, tally: Tally) -> None:
        """Add the tally of one interval."""
        self.recent.append(tally)
        baseline = self._baseline_rate()
        if baseline >= 1.0 or tally.new_total == 0:
            return
        faults, successes = tally.new_faults, tally.new_total - tally.new_faults
        for index, fraction in enumerate(_BET_FRACTIONS):
            gain = math.log1p(fraction * (1.0 - baseline) / baseline)
            self.log_capitals[index] += faults * gain + successes * math.log1p(-fraction)

    def log_capital(self) -> float:
        """Return the natural logarithm of the capital; it starts at 0."""
        largest = max(self.log_capitals)
        total = sum(math.exp(log_capital - largest) for log_capital in self.log_capitals)
        return largest + math.log(total / len(self.log_capitals))

    def _baseline_rate(self) -> float:
        total = sum(tally.old_total for tally in self.recent)
        faults = sum(tally.old_faults for tally in self.recent)
        return wilson_upper_bound(faults, total) + self.margin


class VersionTest:
    """Tests all streams of a version move together.

    :param false_alarm_rate: maximum probability of an alarm over the whole move for a new version
        whose rates exceed those of the old one by no more than the margins.
    """

    __slots__ = ("alarm_log_capital", "streams", "suspicion_log_capital")

    def __init__(self, false_alarm_rate: float = FALSE_ALARM_RATE) -> None:
        self.alarm_log_capital = math.log(STREAMS_MAX / false_alarm_rate)
        self.suspicion_log_capital = self.alarm_log_capital / 3.0
        self.streams: dict[StreamKey, StreamTest] = {}

    def update(
        self, observations: Observations, faults: t.Collection[Fault] = tuple(Fault)
    ) -> None:
        """Add the observations of one interval.

        :param faults: kinds of faults to test now; streams of other kinds are ignored.
        """
        for key, tally in observations.tallies.items():
            if key.fault not in faults or not self._may_track(key):
                continue
            self.streams.setdefault(key, StreamTest(RATE_MARGINS[key.fault])).update(tally)

    def worst(self) -> tuple[StreamKey, float] | None:
        """Return the stream with the most capital, and the logarithm of its capital."""
        capitals = ((key, stream.log_capital()) for key, stream in self.streams.items())
        return max(capitals, key=lambda pair: pair[1], default=None)

    def alarm(self) -> StreamKey | None:
        """Return the stream that shows the new version to be worse, if any."""
        worst = self.worst()
        return worst[0] if worst and worst[1] >= self.alarm_log_capital else None

    def is_suspicious(self) -> bool:
        """Return whether a stream has passed the lower threshold that holds the ramp."""
        worst = self.worst()
        return worst is not None and worst[1] >= self.suspicion_log_capital

    def reset(self, fault: Fault) -> None:
        """Discard the streams of a kind of fault, so that they start again."""
        self.streams = {
            key: stream for key, stream in self.streams.items() if key.fault is not fault
        }

    def _may_track(self, key: StreamKey) -> bool:
        # The false alarm rate is divided among a fixed number of streams.
        return key in self.streams or len(self.streams) < STREAMS_MAX


def wilson_upper_bound(faults: int, total: int) -> float:
    """Return the upper end of the Wilson confidence interval of a rate; 1 without observations."""
    if total == 0:
        return 1.0
    z_squared = CONFIDENCE_Z * CONFIDENCE_Z
    rate = faults / total
    midpoint = rate + z_squared / (2.0 * total)
    half_width = CONFIDENCE_Z * math.sqrt((rate * (1.0 - rate) + z_squared / (4.0 * total)) / total)
    return (midpoint + half_width) / (1.0 + z_squared / total)
