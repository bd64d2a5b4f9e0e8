"""What operators set for the duty of reporting usage, and the times that follow from it."""

from __future__ import annotations

import math

import msgspec

# Part of the operators' ``lease_time`` for which one write permits sending. A short lease lets a
# successor take over in time for the windows that its predecessor has not reported; a call to the
# platform takes milliseconds.
LEASE_FRACTION = 0.5
# Shortest margin in seconds between the end of a lease and a takeover; it covers the difference of
# the rates of two clocks and the transit of a call that was sent just in time.
MARGIN_MIN_S = 0.2
# Time in seconds between the end of a holder and the first read of its successor: reports of a host
# count for 1.1 s, and summaries are 0.5 s apart.
DETECTION_S = 1.6
# Time in seconds reserved for a write, a call to the platform and one retry of each.
SENDING_RESERVE_S = 1.0
# Shortest time in seconds after a window's end for which late counts are awaited.
FINALIZE_AFTER_MIN_S = 0.8
# Time in seconds before a report is due at which hosts that fell silent are not awaited any more.
SILENT_RESERVE_S = 2.5


class UsageRules(msgspec.Struct, frozen=True, kw_only=True):
    """What operators set for the duty; times in seconds.

    :param window_s: length of a window.
    :param delay_s: time after a window's end at which its report is due.
    :param lease_time_s: time within which the duty may not return to an earlier holder.
    :param slack_s: margin that operators grant to hosts that were suspended.
    :param calls_per_s: calls per second that the platform accepts from all hosts together.
    """

    window_s: float = 5.0
    delay_s: float = 10.0
    lease_time_s: float = 3.0
    slack_s: float = 0.3
    calls_per_s: float = 50.0

    @property
    def lease_s(self) -> float:
        """Time from before a write during which it permits sending."""
        return LEASE_FRACTION * self.lease_time_s

    @property
    def margin_s(self) -> float:
        """Time between the end of a lease and the earliest takeover by the same host."""
        return max(MARGIN_MIN_S, self.slack_s)

    @property
    def takeover_after_s(self) -> float:
        """Time for which another host must have seen the record unchanged."""
        return self.lease_s + self.margin_s + self.lease_time_s

    @property
    def finalize_after_s(self) -> float:
        """Time after a window's end at which it is finalized although counts may change.

        If the holder ends right after the write, its successor still sends the report in time.
        """
        left_s = self.delay_s - self.takeover_after_s - DETECTION_S - SENDING_RESERVE_S
        return max(FINALIZE_AFTER_MIN_S, left_s)

    @property
    def silent_after_s(self) -> float:
        """Time after a window's end until which hosts that fell silent are awaited."""
        return max(self.finalize_after_s, self.delay_s - SILENT_RESERVE_S)

    @property
    def useful_s(self) -> float:
        """Time after a window's end for which its report is still sent, late or not."""
        return 2.0 * self.delay_s

    def window_of(self, time_s: float) -> int:
        """Return the window of a time since the start of 1970."""
        return math.floor(time_s / self.window_s)

    def end_of(self, window: int) -> float:
        """Return the end of a window since the start of 1970."""
        return (window + 1) * self.window_s
