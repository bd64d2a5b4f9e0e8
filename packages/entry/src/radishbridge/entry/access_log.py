"""Log lines and metrics of finished requests, with a bounded number of lines."""

from __future__ import annotations

import logging

from prometheus_client import CollectorRegistry, Counter, Histogram

from radishbridge.entry.context import RequestContext
from radishbridge.entry.refusals import REFUSAL_STATUSES, Evidence
from radishbridge.records import ResultCode

# One of this many requests that the first server answered in time is logged.
SUCCESS_SAMPLE_INTERVAL = 16
# Rate and burst of the lines for all other requests. Requests without a line are counted.
LINES_PER_S = 40.0
LINES_BURST = 80.0
# The same for refusals of requests that were sent to a server, so that the lines which tell whether
# such a refusal is true are not lost among others.
REFUSAL_LINES_PER_S = 10.0
REFUSAL_LINES_BURST = 100.0
LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.2,
    2.0,
    3.0,
    6.0,
    12.0,
)

logger = logging.getLogger(__name__)


class LineBudget:
    """Token bucket that bounds the lines of one sort.

    :param per_s: lines per second.
    :param tokens: lines that may be written now, at most ``burst``.
    :param refilled_at: monotonic time in seconds of the last refill.
    """

    __slots__ = ("burst", "per_s", "refilled_at", "tokens")

    def __init__(self, per_s: float, burst: float) -> None:
        self.per_s = per_s
        self.burst = burst
        self.tokens = burst
        self.refilled_at = 0.0

    def take(self, now: float) -> bool:
        """Return whether a line may be written."""
        self.tokens = min(self.burst, self.tokens + self.per_s * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class AccessLog:
    """Records each finished request in the log and the metrics.

    :param successes: requests that the first server answered in time and without a server error;
        a sample of them is logged.
    :param unlogged: requests without a line since the last line.
    :param lines: bounds the lines of all other requests.
    :param refusal_lines: bounds the lines of refusals of requests that were sent to a server.
    :param withheld: responses replaced by 502 because nothing proved that the request did not run.
    """

    __slots__ = (
        "abandoned",
        "lines",
        "refusal_lines",
        "refusals",
        "registry",
        "requests",
        "seconds",
        "successes",
        "unlogged",
        "withheld",
    )

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.requests = Counter(
            "radishbridge_requests",
            "Requests by route and result.",
            ["route", "code"],
            registry=registry,
        )
        self.seconds = Histogram(
            "radishbridge_request_seconds",
            "Time to the answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.abandoned = Counter(
            "radishbridge_attempts_abandoned",
            "Attempts given up while their server had the request.",
            ["delivered"],
            registry=registry,
        )
        self.refusals = Counter(
            "radishbridge_refusals",
            "Responses that say that the request did not run, by what proves it.",
            ["status", "evidence"],
            registry=registry,
        )
        self.withheld = Counter(
            "radishbridge_refusals_withheld",
            "Refusals replaced by 502, since nothing proved that the request did not run.",
            ["status"],
            registry=registry,
        )
        self.successes = 0
        self.unlogged = 0
        self.lines = LineBudget(LINES_PER_S, LINES_BURST)
        self.refusal_lines = LineBudget(REFUSAL_LINES_PER_S, REFUSAL_LINES_BURST)

    def record(self, context: RequestContext, now: float) -> None:
        """Record a finished request.

        :param now: monotonic time in seconds.
        """
        took_s = now - context.arrived_at
        route = context.route.name
        self.requests.labels(route, context.code.name).inc()
        self.seconds.labels(route).observe(took_s)
        for attempt in context.abandoned:
            self.abandoned.labels(attempt.delivered).inc()
        if context.status in REFUSAL_STATUSES:
            self.refusals.labels(context.status, context.not_run_evidence.value).inc()
        if not self._should_log(context, took_s, now):
            self.unlogged += 1
            return
        logger.info("request", extra=self._fields(context, took_s))
        self.unlogged = 0

    def _fields(self, context: RequestContext, took_s: float) -> dict[str, object]:
        fields: dict[str, object] = {
            "id": context.metadata.request_id,
            "route": context.route.name,
            "workspace": context.workspace,
            "configuration": context.configuration_version,
            "service": context.service,
            "tried": context.tried,
            "abandoned": context.abandoned,
            "status": context.status,
            "code": int(context.code),
            "reason": context.reason,
            "took_ms": round(took_s * 1000.0),
            "left_out": self.unlogged,
        }
        if context.status in REFUSAL_STATUSES:
            fields["evidence"] = context.not_run_evidence.value
            fields["attempts"] = [
                {"outcome": attempt.outcome.value, "answer": attempt.answer}
                for attempt in context.attempts
            ]
        choice = context.refused_choice
        if choice is not None and choice.expected_s:
            fields["refusal"] = choice.refusal.value
            fields["expected_ms"] = round(choice.expected_s * 1000.0)
            fields["retry_after_ms"] = round(context.retry_after_s * 1000.0)
        held_ms = round(context.held_s * 1000.0)
        if held_ms:
            fields["held_ms"] = held_ms
        return fields

    def _should_log(self, context: RequestContext, took_s: float, now: float) -> bool:
        if context.status in REFUSAL_STATUSES and (
            context.not_run_evidence is not Evidence.NOT_SENT
        ):
            return self.refusal_lines.take(now)
        succeeded = (
            context.code is ResultCode.OK and context.status < 500 and len(context.tried) <= 1
        )
        if succeeded and took_s <= context.route.target_s:
            self.successes += 1
            return self.successes % SUCCESS_SAMPLE_INTERVAL == 1
        return self.lines.take(now)
