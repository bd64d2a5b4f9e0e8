"""The state of one caller's request while it is processed."""

from __future__ import annotations

import enum
import itertools
import typing as t

from aiohttp import web

from radishbridge.entry.protocol import RequestMetadata
from radishbridge.entry.refusals import Evidence, ServerAnswer
from radishbridge.records import Execution, Failure, ResultCode
from radishbridge.steering import Choice, HomeRegion, RouteRule, WeightedService

_numbers = itertools.count(1)
_NO_ROUTE = RouteRule(
    name="",
    host="",
    prefix="",
    services=(WeightedService("", 1.0),),
    repeatable=False,
    attempts=1,
    timeout_s=0.0,
    target_s=0.0,
)


class AttemptOutcome(enum.Enum):
    """How far an attempt got, and whether its backend server may have run the request.

    ``FAILED`` is a server error that may be retried; ``ANSWERED`` is a response for the caller.
    """

    UNSENT = "unsent"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    FAILED = "failed"
    ANSWERED = "answered"


MAY_HAVE_RUN_OUTCOMES = frozenset(
    {AttemptOutcome.MAY_HAVE_RUN, AttemptOutcome.FAILED, AttemptOutcome.ANSWERED}
)


class AttemptRecord(t.Protocol):
    """An attempt, reduced to what the context of its request reads."""

    outcome: AttemptOutcome
    answer: ServerAnswer | None


class AbandonedAttempt(t.NamedTuple):
    """An attempt that was cancelled after its request was sent and before a response came.

    :param server: name of the server.
    :param running_ms: time between sending the request and its cancellation.
    :param unacknowledged_bytes: bytes that the server had not acknowledged; ``None`` if unknown.
    """

    server: str
    running_ms: int
    unacknowledged_bytes: int | None

    @property
    def delivered(self) -> str:
        """Return whether the server received the whole request.

        ``yes``, ``unknown``, or ``unacknowledged``: the acknowledgement may have been late or lost,
        so that this does not prove that it received less.
        """
        if self.unacknowledged_bytes is None:
            return "unknown"
        return "unacknowledged" if self.unacknowledged_bytes else "yes"


class RequestContext:
    """One request, the decisions made for it and its result.

    :param number: tells requests of this host apart that have the same id.
    :param arrived_at: monotonic time in seconds.
    :param deadline: monotonic time at which the request fails.
    :param configuration_version: version of the configuration that the request was matched with.
    :param allowed_regions: regions that may run the request; ``None`` if all may.
    :param rank: number of more urgent priority levels of the service's requests.
    :param routing_key: key of the preferred servers, either the affinity key or the request id.
    :param body_memory_bytes: memory reserved for the body.
    :param fingerprint: identifies equal requests, so that those that crash servers are found.
    :param tried: names of the servers of all attempts, in order.
    :param send_count: attempts whose request was sent.
    :param abandoned: attempts that were cancelled before a response came.
    :param attempts: all attempts, finished or not.
    :param held_s: time for which the finished response waited for those before it.
    :param refused_choice: the selection that found no server, for a refused request.
    :param retry_after_s: delay in the ``Retry-After`` header of a refusal; 0 for none.
    """

    __slots__ = (
        "abandoned",
        "allowed_regions",
        "arrived_at",
        "attempts",
        "body",
        "body_memory_bytes",
        "code",
        "configuration_version",
        "deadline",
        "fingerprint",
        "held_s",
        "metadata",
        "number",
        "rank",
        "reason",
        "refused_choice",
        "request",
        "retry_after_s",
        "route",
        "routing_key",
        "send_count",
        "service",
        "status",
        "tried",
        "workspace",
    )

    def __init__(self, request: web.BaseRequest, arrived_at: float) -> None:
        self.number = next(_numbers)
        self.request = request
        self.arrived_at = arrived_at
        self.metadata = RequestMetadata("", None, "", "")
        self.route = _NO_ROUTE
        self.deadline = arrived_at
        self.configuration_version = 0
        self.workspace = ""
        self.allowed_regions: frozenset[str] | None = None
        self.service = ""
        self.routing_key = ""
        self.rank = 0
        self.body = b""
        self.body_memory_bytes = 0
        self.fingerprint = b""
        self.tried: list[str] = []
        self.send_count = 0
        self.abandoned: list[AbandonedAttempt] = []
        self.attempts: list[AttemptRecord] = []
        self.held_s = 0.0
        self.refused_choice: Choice | None = None
        self.retry_after_s = 0.0
        self.status = 0
        self.code = ResultCode.OK
        self.reason = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether any server ran the request or may have, which holds once it is sent."""
        return any(attempt.outcome in MAY_HAVE_RUN_OUTCOMES for attempt in self.attempts)

    @property
    def not_run_evidence(self) -> Evidence:
        """What proves that the request did not run, if it is refused."""
        if self.may_have_run:
            return Evidence.NONE
        refusals = [
            attempt.answer
            for attempt in self.attempts
            if attempt.outcome is AttemptOutcome.NOT_RUN and attempt.answer is not None
        ]
        if not refusals:
            return Evidence.NOT_SENT
        if all(refusal.proves_not_run for refusal in refusals):
            return Evidence.SERVER_STATEMENT
        return Evidence.NONE

    @property
    def home_region(self) -> HomeRegion | None:
        """The only region that may run the request, with its service; ``None`` if several may."""
        if self.allowed_regions is None or len(self.allowed_regions) != 1:
            return None
        return HomeRegion(self.service, next(iter(self.allowed_regions)))

    def failure_for_caller(self, failure: Failure) -> Failure:
        """Return the failure to report, whose code must agree with the attempts so far.

        Codes tell callers whether their request ran: none may say that it did not run after an
        attempt that may have run, or that it may have run without such an attempt.
        """
        info = failure.info
        if self.may_have_run:
            if info.execution is Execution.NOT_RUN:
                reason = f"an earlier attempt may have run; {failure.reason}"
                return Failure(ResultCode.BACKEND_FAILED, reason)
            return failure
        if info.execution is Execution.NOT_RUN:
            return failure
        return Failure(ResultCode.NO_BACKEND, failure.reason)
