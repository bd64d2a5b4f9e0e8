"""Failures as HTTP responses with a ``problem+json`` body."""

from __future__ import annotations

import math

import msgspec
from aiohttp import web

from radishbridge.records import Failure


class Problem(msgspec.Struct, kw_only=True):
    """Body of a response to a request that failed or was refused.

    :param execution: whether the request was run: ``run``, ``not run`` or ``may have run``.
    """

    type: str
    title: str
    status: int
    code: int
    execution: str
    detail: str


def problem_response(failure: Failure, retry_after_s: float = 0.0) -> web.Response:
    """Build the response for a failure.

    :param retry_after_s: seconds after which the caller may retry; 0 omits ``Retry-After``.
    """
    info = failure.info
    problem = Problem(
        type=f"urn:radishbridge:result:{int(failure.code)}",
        title=info.summary,
        status=info.http_status,
        code=int(failure.code),
        execution=info.execution.value,
        detail=failure.reason,
    )
    headers = {"Content-Type": "application/problem+json"}
    if 0.0 < retry_after_s < math.inf:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    return web.Response(status=info.http_status, body=msgspec.json.encode(problem), headers=headers)
