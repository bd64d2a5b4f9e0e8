"""Sequential test of a new version against the old one, valid whenever it is looked at."""

from __future__ import annotations

import collections
import math
import typing as t

from radishbridge.moves.observations import Fault, Observations, StreamKey, Tally

FALSE_ALARM_RATE = 0.005
STREAMS_MAX = 64
MARGINS: dict[Fault, float] = {Fault.ERROR: 0.01, Fault.SLOW: 0.08}
BASELINE_INTERVALS = 10
CONFIDENCE_Z = 2.0
# Shares of the largest stake that a bet may have; their average loses little against the best.
_STAKES = (0.02, 0.1, 0.3, 0.6)


class StreamTest:
    """Tests one stream by betting: capital grows where the new version shows the fault more often.

    While the new version's rate is at most the old one's upper confidence bound plus ``margin``,
    the expected capital does not grow, so that it exceeds ``1 / a`` with probability at most ``a``
    over the whole test, however often it is looked at (Ville's inequality).

    :param margin: difference of the two rates that is tolerated.
    """

    __slots__ = ("capital_logs", "margin", "recent")

    def __init__(self, margin: float) -> None:
        self.margin = margin
        self.capital_logs = [0.0 for _ in _STAKES]
        self.recent: collections.deque[Tally] = collections.deque(maxlen=BASELINE_INTERVALS)

    def update(self, tally: Tally) -> None:
        """Take in one interval."""
        self.recent.append(tally)
        baseline = self._baseline()
        if baseline >= 1.0 or tally.new_total == 0:
            return
        faults, rest = tally.new_faults, tally.new_total - tally.new_faults
        for index, stake in enumerate(_STAKES):
            gain = math.log1p(stake * (1.0 - baseline) / baseline)
            self.capital_logs[index] += faults * gain + rest * math.log1p(-stake)

    def capital_log(self) -> float:
        """Return the natural logarithm of the capital, which starts at 0."""
        largest = max(self.capital_logs)
        total = sum(math.exp(one - largest) for one in self.capital_logs)
        return largest + math.log(total / len(self.capital_logs))

    def _baseline(self) -> float:
        total = sum(one.old_total for one in self.recent)
        faults = sum(one.old_faults for one in self.recent)
        return upper_bound(faults, total) + self.margin


class VersionTest:
    """Tests all streams of a version move together.

    :param false_alarm_rate: largest probability that a version no worse than the old one by more
        than the margins is ever called bad.
    """

    __slots__ = ("alarm_log", "streams", "suspicion_log")

    def __init__(self, false_alarm_rate: float = FALSE_ALARM_RATE) -> None:
        self.alarm_log = math.log(STREAMS_MAX / false_alarm_rate)
        self.suspicion_log = self.alarm_log / 3.0
        self.streams: dict[StreamKey, StreamTest] = {}

    def update(
        self, observations: Observations, faults: t.Collection[Fault] = tuple(Fault)
    ) -> None:
        """Take in one interval.

        :param faults: faults to test now; streams of the others are passed over.
        """
        for key, tally in observations.tallies.items():
            if key.fault not in faults or not self._has_room(key):
                continue
            self.streams.setdefault(key, StreamTest(MARGINS[key.fault])).update(tally)

    def worst(self) -> tuple[StreamKey, float] | None:
        """Return the stream with the most capital and its logarithm."""
        capitals = ((key, stream.capital_log()) for key, stream in self.streams.items())
        return max(capitals, key=lambda pair: pair[1], default=None)

    def alarm(self) -> StreamKey | None:
        """Return the stream that shows the new version to be bad, if one does."""
        worst = self.worst()
        return worst[0] if worst and worst[1] >= self.alarm_log else None

    def is_suspicious(self) -> bool:
        """Return whether a stream is part of the way to an alarm."""
        worst = self.worst()
        return worst is not None and worst[1] >= self.suspicion_log

    def forget(self, fault: Fault) -> None:
        """Start the streams of a fault anew."""
        self.streams = {key: one for key, one in self.streams.items() if key.fault is not fault}

    def _has_room(self, key: StreamKey) -> bool:
        # The false alarm rate is shared out over a fixed number of streams.
        return key in self.streams or len(self.streams) < STREAMS_MAX


def upper_bound(faults: int, total: int) -> float:
    """Return the upper end of Wilson's confidence interval of a rate; 1 without observations."""
    if total == 0:
        return 1.0
    square = CONFIDENCE_Z * CONFIDENCE_Z
    rate = faults / total
    center = rate + square / (2.0 * total)
    spread = CONFIDENCE_Z * math.sqrt((rate * (1.0 - rate) + square / (4.0 * total)) / total)
    return (center + spread) / (1.0 + square / total)
