"""Explains how a request would be handled, without sending it."""

from __future__ import annotations

import typing as t

from radishbridge.host.checks import Freshness
from radishbridge.host.paths import check_target
from radishbridge.host.state import HostState
from radishbridge.records import (
    Candidate,
    Explanation,
    Failure,
    Rate,
    ResultCode,
    Workspace,
)
from radishbridge.routing import Router, ServiceRoute

ELIGIBLE = "eligible"


class Explainer:
    """Makes the decisions on a request in their usual order and lists them.

    It uses neither a token of the rate limit nor a slot of a backend server.
    """

    __slots__ = ("freshness", "router", "state")

    def __init__(self, state: HostState, router: Router, freshness: Freshness) -> None:
        self.state = state
        self.router = router
        self.freshness = freshness

    def explain(self, path: str, method: str, workspace: str, now: float) -> Explanation:
        """Return how a request would be handled.

        :param workspace: workspace whose key the request would carry; empty for no key.
        :param now: monotonic time in seconds.
        """
        steps: list[str] = []
        service_route = self._find_route(path, steps)
        if isinstance(service_route, Failure):
            return self._explanation(
                service_route.code, None, [*steps, _refusal_step(service_route)], []
            )
        steps.append(_route_step(service_route, method))
        failure = self._authorize(service_route, workspace, now, steps)
        candidates = self.router.explain(service_route, now)
        if failure is None and not any(candidate.verdict == ELIGIBLE for candidate in candidates):
            failure = Failure(ResultCode.NO_BACKEND, "no backend server is eligible")
        if failure is None:
            steps.append("The nearest group with an eligible backend server gets the request.")
            return self._explanation(ResultCode.OK, service_route, steps, candidates)
        return self._explanation(
            failure.code, service_route, [*steps, _refusal_step(failure)], candidates
        )

    def _find_route(self, path: str, steps: list[str]) -> ServiceRoute | Failure:
        if not self.state.replica.complete:
            return Failure(
                ResultCode.HOST_STARTING, "the host has not read its whole configuration yet"
            )
        if self.state.forwarder.leaving:
            steps.append("The host is shutting down and still answers requests.")
        decoded = check_target(path)
        return decoded if isinstance(decoded, Failure) else self.router.find(decoded)

    def _authorize(
        self, service_route: ServiceRoute, workspace: str, now: float, steps: list[str]
    ) -> Failure | None:
        if service_route.route.open:
            steps.append("The route is open: no key is needed and no rate applies.")
            return None
        if not workspace:
            return Failure(ResultCode.KEY_MISSING, "the route needs a key")
        if not isinstance(self.state.replica.body("workspace", workspace), Workspace):
            return Failure(ResultCode.KEY_UNKNOWN, f"there is no workspace {workspace}")
        if not self.freshness.is_fresh(now):
            return Failure(ResultCode.KEYS_STALE, "the host's copy of the keys may be out of date")
        rate = self.state.replica.body("rate", workspace)
        if not isinstance(rate, Rate):
            return Failure(ResultCode.RATE_EXCEEDED, f"workspace {workspace} has no rate")
        steps.append(
            f"Workspace {workspace} may send {rate.requests_per_second:g} requests a second "
            f"with a burst of {rate.burst:g}."
        )
        return None

    def _explanation(
        self,
        code: ResultCode,
        service_route: ServiceRoute | None,
        steps: list[str],
        candidates: t.Sequence[Candidate],
    ) -> Explanation:
        return Explanation(
            host=self.state.settings.host,
            code=int(code),
            service="" if service_route is None else service_route.name,
            route_prefix="" if service_route is None else service_route.route.prefix,
            steps=steps,
            candidates=list(candidates),
        )


def _route_step(service_route: ServiceRoute, method: str) -> str:
    repetition = "may be repeated" if service_route.route.repeatable else "runs at most once"
    prefix = service_route.route.prefix or "the default route"
    return f"{method} belongs to service {service_route.name}, {prefix}, and {repetition}."


def _refusal_step(failure: Failure) -> str:
    return f"Refused with {int(failure.code)} {failure.code.name}: {failure.reason}."
