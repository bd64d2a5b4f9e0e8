"""The state of one caller's request while it is being answered."""

from __future__ import annotations

from aiohttp import web

from radishbridge.host.bodies import RequestBody
from radishbridge.host.deadline import Deadline
from radishbridge.host.sockets import reset
from radishbridge.records import Execution, Failure, LimitSettings, ResultCode, Route, Service
from radishbridge.routing import ServiceRoute

_NO_TARGET = ServiceRoute("", Service(path_prefix="", backends=[]), Route(prefix=""))


class Exchange:
    """One request and what has become of it.

    :param limits: bounds on the request's body.
    :param arrived_at: monotonic time in seconds.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "code",
        "cut_off",
        "deadline",
        "may_have_run",
        "request",
        "response",
        "target",
        "workspace",
    )

    def __init__(self, request: web.BaseRequest, limits: LimitSettings, arrived_at: float) -> None:
        self.request = request
        self.arrived_at = arrived_at
        self.body = RequestBody(request, limits)
        self.target = _NO_TARGET
        self.deadline = Deadline(arrived_at, by_caller=False)
        self.workspace = ""
        self.response: web.StreamResponse | None = None
        self.code = ResultCode.OK
        self.may_have_run = False
        self.cut_off = False

    @property
    def status(self) -> int:
        """Status of the answer, 0 where there is none."""
        return 0 if self.response is None else self.response.status

    def truthful(self, failure: Failure) -> Failure:
        """Return a failure whose code does not deny that an earlier attempt may have run."""
        if not self.may_have_run or failure.info.execution is not Execution.NOT_RUN:
            return failure
        if failure.code is ResultCode.DEADLINE_BEFORE_SENT:
            return Failure(ResultCode.DEADLINE_EXCEEDED, failure.reason)
        return Failure(ResultCode.BACKEND_FAILED, f"an earlier attempt broke; {failure.reason}")

    def cut(self, code: ResultCode) -> None:
        """Break the caller's connection, so that a part of an answer never looks whole.

        A reset shows the cut for each way to mark an answer's end: chunks, a length, and the
        end of the connection for HTTP/1.0.
        """
        self.code = code
        self.cut_off = True
        if self.request.transport is not None:
            reset(self.request.transport)
