"""Counts of good and bad requests by interval, for the report on service-level burn."""

from __future__ import annotations

import collections

from radishbridge.host.exchange import Exchange
from radishbridge.records import BurnCount, BurnReport, ResultCode

INTERVAL_S = 60
INTERVALS_KEPT = 360
SERVER_ERROR_STATUS = 500

# What the caller alone brought about counts neither as good nor as bad.
_BY_CALLER = frozenset(
    {
        ResultCode.KEY_MISSING,
        ResultCode.KEY_UNKNOWN,
        ResultCode.KEY_WITHDRAWN,
        ResultCode.SERVICE_UNKNOWN,
        ResultCode.REQUEST_TOO_LARGE,
        ResultCode.REQUEST_MALFORMED,
        ResultCode.REQUEST_INCOMPLETE,
        ResultCode.CONNECTIONS_EXCEEDED,
        ResultCode.POISON_REQUEST,
        ResultCode.DUPLICATE_REQUEST,
        ResultCode.CALLER_GONE,
    }
)


class _Interval:
    """Counts of one interval by workspace and service."""

    __slots__ = ("counts", "start_s")

    def __init__(self, start_s: int) -> None:
        self.start_s = start_s
        self.counts: dict[tuple[str, str], BurnCount] = {}

    def count(self, workspace: str, service: str) -> BurnCount:
        """Return the count of a workspace and service, a new one where there is none."""
        count = self.counts.get((workspace, service))
        if count is None:
            count = BurnCount(
                workspace=workspace,
                service=service,
                start_s=self.start_s,
                good=0,
                bad=0,
                over_rate=0,
            )
            self.counts[workspace, service] = count
        return count


class BurnLog:
    """The counts of the last hours."""

    __slots__ = ("intervals",)

    def __init__(self) -> None:
        self.intervals: collections.deque[_Interval] = collections.deque(maxlen=INTERVALS_KEPT)

    def note(self, exchange: Exchange, now_s: float) -> None:
        """Count a finished request.

        :param now_s: seconds since the Unix epoch.
        """
        code = exchange.code
        if code in _BY_CALLER:
            return
        count = self._interval(now_s).count(exchange.workspace, exchange.target.name)
        if code is ResultCode.RATE_EXCEEDED:
            count.over_rate += 1
        elif code is ResultCode.OK and exchange.status < SERVER_ERROR_STATUS:
            count.good += 1
        else:
            count.bad += 1

    def report(self, host: str) -> BurnReport:
        """Return all counts, oldest first."""
        counts = [count for interval in self.intervals for count in interval.counts.values()]
        return BurnReport(host=host, interval_s=INTERVAL_S, counts=counts)

    def _interval(self, now_s: float) -> _Interval:
        start_s = int(now_s) // INTERVAL_S * INTERVAL_S
        # A clock that was set back adds to the newest interval.
        if not self.intervals or self.intervals[-1].start_s < start_s:
            self.intervals.append(_Interval(start_s))
        return self.intervals[-1]
