"""Counts of good and bad requests by interval, for the report on error budget burn."""

from __future__ import annotations

import collections

from radishbridge.host.context import RequestContext
from radishbridge.records import BurnCount, BurnReport, ResultCode

INTERVAL_S = 60
MAX_INTERVALS = 360
SERVER_ERROR_STATUS = 500

# Results that only the caller caused count neither as good nor as bad.
_CALLER_CAUSED = frozenset(
    {
        ResultCode.KEY_MISSING,
        ResultCode.KEY_UNKNOWN,
        ResultCode.KEY_WITHDRAWN,
        ResultCode.SERVICE_UNKNOWN,
        ResultCode.REQUEST_TOO_LARGE,
        ResultCode.REQUEST_MALFORMED,
        ResultCode.REQUEST_INCOMPLETE,
        ResultCode.REQUEST_CUT_OFF,
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
        """Return the count of a workspace and service; create it if it does not exist."""
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


class BurnCounts:
    """Counts of the last ``MAX_INTERVALS`` intervals."""

    __slots__ = ("intervals",)

    def __init__(self) -> None:
        self.intervals: collections.deque[_Interval] = collections.deque(maxlen=MAX_INTERVALS)

    def record(self, context: RequestContext, now_s: float) -> None:
        """Count a finished request.

        :param now_s: seconds since the Unix epoch.
        """
        code = context.code
        if code in _CALLER_CAUSED:
            return
        count = self._interval(now_s).count(context.workspace, context.service_route.name)
        if code is ResultCode.RATE_EXCEEDED:
            count.over_rate += 1
        elif code is ResultCode.OK and context.status < SERVER_ERROR_STATUS:
            count.good += 1
        else:
            count.bad += 1

    def report(self, host: str) -> BurnReport:
        """Return all counts, oldest first."""
        counts = [count for interval in self.intervals for count in interval.counts.values()]
        return BurnReport(host=host, interval_s=INTERVAL_S, counts=counts)

    def _interval(self, now_s: float) -> _Interval:
        start_s = int(now_s) // INTERVAL_S * INTERVAL_S
        # If the clock was set back, requests count in the newest interval.
        if not self.intervals or self.intervals[-1].start_s < start_s:
            self.intervals.append(_Interval(start_s))
        return self.intervals[-1]
