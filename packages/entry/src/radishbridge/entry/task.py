"""The state of one caller's request while it is being answered."""

from __future__ import annotations

import enum
import typing as t

from aiohttp import web

from radishbridge.entry.protocol import RequestMetadata
from radishbridge.records import Execution, Failure, ResultCode
from radishbridge.steering import HomeRegion, RouteRule, WeightedService

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


class AttemptEnd(enum.Enum):
    """What is known of a request at one backend server."""

    UNSENT = "unsent"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    FAILED = "failed"
    ANSWERED = "answered"


_RUNS = frozenset({AttemptEnd.MAY_HAVE_RUN, AttemptEnd.FAILED, AttemptEnd.ANSWERED})


class Ending(t.Protocol):
    """An attempt, as far as its request has to know it."""

    end: AttemptEnd


class Abandoned(t.NamedTuple):
    """An attempt that was given up while its server had the request.

    :param server: name of the server.
    :param running_ms: time since the request was sent.
    :param unacknowledged: bytes that the server had not acknowledged; ``None`` if unknown.
    """

    server: str
    running_ms: int
    unacknowledged: int | None

    @property
    def delivered(self) -> str:
        """Whether all of the request has reached the server: ``yes``, ``no`` or ``unknown``."""
        if self.unacknowledged is None:
            return "unknown"
        return "no" if self.unacknowledged else "yes"


class RequestTask:
    """One request and what has become of it.

    :param arrived_at: monotonic time in seconds.
    :param abandoned: attempts whose server was left before it answered.
    :param attempts: all attempts, ended or not.
    """

    __slots__ = (
        "abandoned",
        "arrived_at",
        "attempts",
        "body",
        "code",
        "deadline",
        "facts",
        "fingerprint",
        "homes",
        "key",
        "rank",
        "reason",
        "request",
        "retry_after_s",
        "route",
        "sends",
        "service",
        "status",
        "tried",
        "version",
        "workspace",
    )

    def __init__(self, request: web.BaseRequest, arrived_at: float) -> None:
        self.request = request
        self.arrived_at = arrived_at
        self.facts = RequestMetadata("", None, "", "")
        self.route = _NO_ROUTE
        self.deadline = arrived_at
        self.version = 0
        self.workspace = ""
        self.homes: frozenset[str] | None = None
        self.service = ""
        self.key = ""
        self.rank = 0
        self.body = b""
        self.fingerprint = b""
        self.tried: list[str] = []
        self.sends = 0
        self.abandoned: list[Abandoned] = []
        self.attempts: list[Ending] = []
        self.retry_after_s = 0.0
        self.status = 0
        self.code = ResultCode.OK
        self.reason = ""

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt ran, or may have; it counts once it is sent."""
        return any(attempt.end in _RUNS for attempt in self.attempts)

    @property
    def home(self) -> HomeRegion | None:
        """The only region that may run the request, with its service; ``None`` if several may."""
        if self.homes is None or len(self.homes) != 1:
            return None
        return HomeRegion(self.service, next(iter(self.homes)))

    def truthful(self, failure: Failure) -> Failure:
        """Return a failure that neither denies nor claims a run without ground."""
        info = failure.info
        if self.may_have_run:
            if info.execution is Execution.NOT_RUN:
                reason = f"an earlier attempt may have run; {failure.reason}"
                return Failure(ResultCode.BACKEND_FAILED, reason)
            return failure
        if info.execution is Execution.NOT_RUN:
            return failure
        return Failure(ResultCode.NO_BACKEND, failure.reason)
