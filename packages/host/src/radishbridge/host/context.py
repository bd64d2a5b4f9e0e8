"""The state of one caller's request while it is being answered."""

from __future__ import annotations

from aiohttp import web

from radishbridge.host.bodies import RequestBody
from radishbridge.host.deadline import Deadline
from radishbridge.host.sockets import reset
from radishbridge.records import Execution, Failure, LimitSettings, ResultCode, Route, Service
from radishbridge.routing import ServiceRoute

_NO_ROUTE = ServiceRoute("", Service(path_prefix="", backends=[]), Route(prefix=""))


class RequestContext:
    """One request, the checks it passed and the state of its response.

    :param limits: bounds on the request's body.
    :param arrived_at: monotonic time in seconds at which the request arrived.
    :param code: result code that metrics count the request under.
    :param may_have_run: a backend server may have run the request in some attempt.
    :param response_aborted: the caller's connection was reset in the middle of the response.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "code",
        "deadline",
        "may_have_run",
        "request",
        "response",
        "response_aborted",
        "service_route",
        "workspace",
    )

    def __init__(self, request: web.BaseRequest, limits: LimitSettings, arrived_at: float) -> None:
        self.request = request
        self.arrived_at = arrived_at
        self.body = RequestBody(request, limits)
        self.service_route = _NO_ROUTE
        self.deadline = Deadline(arrived_at, by_caller=False)
        self.workspace = ""
        self.response: web.StreamResponse | None = None
        self.code = ResultCode.OK
        self.may_have_run = False
        self.response_aborted = False

    @property
    def status(self) -> int:
        """HTTP status of the response, 0 if there is none."""
        return 0 if self.response is None else self.response.status

    def failure_for_caller(self, failure: Failure) -> Failure:
        """Replace a failure that claims "not run" if an earlier attempt may have run."""
        if not self.may_have_run or failure.info.execution is not Execution.NOT_RUN:
            return failure
        if failure is self.body.failure:
            return Failure(ResultCode.REQUEST_CUT_OFF, failure.reason)
        if failure.code is ResultCode.DEADLINE_BEFORE_SENT:
            return Failure(ResultCode.DEADLINE_EXCEEDED, failure.reason)
        return Failure(ResultCode.BACKEND_FAILED, f"an earlier attempt failed; {failure.reason}")

    def abort_response(self, code: ResultCode) -> None:
        """Reset the caller's connection, so that a truncated response never looks complete.

        A reset reveals the truncation however the end of the response is marked: by chunked
        encoding, a content length, or the end of the connection for HTTP/1.0.

        :param code: why the response is aborted.
        """
        self.code = code
        self.response_aborted = True
        if self.request.transport is not None:
            reset(self.request.transport)
