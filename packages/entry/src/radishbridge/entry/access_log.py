"""Log lines and counts of finished requests, bounded in volume."""

from __future__ import annotations

import logging

from prometheus_client import CollectorRegistry, Counter, Histogram

from radishbridge.entry.task import RequestTask
from radishbridge.records import ResultCode

# Answers in time that are logged: one of this many. All others are logged within the next bound.
SAMPLED = 16
# Lines a second and at once for what is not an answer in time; what is left out is counted.
LINES_PER_S = 40.0
LINES_AT_ONCE = 80.0
# Bounds of the latency histogram in seconds.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 3.0, 6.0, 12.0)

logger = logging.getLogger(__name__)


class AccessLog:
    """Notes each finished request in the log and the metrics."""

    __slots__ = (
        "abandoned",
        "left_out",
        "registry",
        "requests",
        "seconds",
        "seen",
        "tokens",
        "updated_at",
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
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.abandoned = Counter(
            "radishbridge_attempts_abandoned",
            "Attempts given up while their server had the request.",
            ["delivered"],
            registry=registry,
        )
        self.seen = 0
        self.left_out = 0
        self.tokens = LINES_AT_ONCE
        self.updated_at = 0.0

    def record(self, task: RequestTask, now: float) -> None:
        """Note a request that has ended."""
        took_s = now - task.arrived_at
        route = task.route.name
        self.requests.labels(route, task.code.name).inc()
        self.seconds.labels(route).observe(took_s)
        for one in task.abandoned:
            self.abandoned.labels(one.delivered).inc()
        if not self._is_due(task, took_s, now):
            self.left_out += 1
            return
        logger.info("request", extra=self._fields(task, took_s))
        self.left_out = 0

    def _fields(self, task: RequestTask, took_s: float) -> dict[str, object]:
        return {
            "id": task.facts.request_id,
            "route": task.route.name,
            "workspace": task.workspace,
            "configuration": task.version,
            "service": task.service,
            "tried": task.tried,
            "abandoned": task.abandoned,
            "status": task.status,
            "code": int(task.code),
            "reason": task.reason,
            "took_ms": round(took_s * 1000.0),
            "left_out": self.left_out,
        }

    def _is_due(self, task: RequestTask, took_s: float, now: float) -> bool:
        usual = task.code is ResultCode.OK and task.status < 500 and len(task.tried) <= 1
        if usual and took_s <= task.route.target_s:
            self.seen += 1
            return self.seen % SAMPLED == 1
        self.tokens = min(LINES_AT_ONCE, self.tokens + LINES_PER_S * (now - self.updated_at))
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
