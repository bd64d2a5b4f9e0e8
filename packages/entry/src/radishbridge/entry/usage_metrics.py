"""Metrics of the usage reports."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class UsageMetrics:
    """Counters of the reports that this host has sent or left out."""

    __slots__ = ("lag", "outcomes")

    def __init__(self, registry: CollectorRegistry) -> None:
        self.outcomes = Counter(
            "radishbridge_usage_reports",
            "usage reports by outcome",
            ["outcome"],
            registry=registry,
        )
        self.lag = Gauge(
            "radishbridge_usage_lag_seconds",
            "time between the end of the newest reported window and its report",
            registry=registry,
        )

    def reported(self, lag_s: float, is_repeat: bool, is_late: bool) -> None:
        """Count a report that the platform has accepted.

        :param lag_s: time since the window's end in seconds.
        """
        self.lag.set(lag_s)
        self.outcomes.labels("repeated" if is_repeat else "reported").inc()
        if is_late:
            self.outcomes.labels("late").inc()

    def left_out(self, reason: str) -> None:
        """Count a window that is not reported."""
        self.outcomes.labels(f"left out: {reason}").inc()

    def failed(self, outcome: str) -> None:
        """Count a call without success."""
        self.outcomes.labels(f"call {outcome}").inc()
