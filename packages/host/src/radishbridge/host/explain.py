"""Explains where a request would go, without sending it."""

from __future__ import annotations

import typing as t

from radishbridge.host.gate import Freshness
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
    """Takes the decisions on a request in their order and notes each.

    It spends nothing: no token of the rate and no slot of a backend server.
    """

    __slots__ = ("freshness", "router", "state")

    def __init__(self, state: HostState, router: Router, freshness: Freshness) -> None:
        self.state = state
        self.router = router
        self.freshness = freshness

    def explain(self, path: str, method: str, workspace: str, now: float) -> Explanation:
        """Return where a request would go.

        :param workspace: workspace whose key the request would carry; empty for none.
        :param now: monotonic time in seconds.
        """
        steps: list[str] = []
        target = self._find(path, steps)
        if isinstance(target, Failure):
            return self._explanation(target.code, None, [*steps, _sentence(target)], [])
        steps.append(_route_step(target, method))
        failure = self._authorize(target, workspace, now, steps)
        candidates = self.router.explain(target, now)
        if failure is None and not any(one.verdict == ELIGIBLE for one in candidates):
            failure = Failure(ResultCode.NO_BACKEND, "no backend server is eligible")
        if failure is None:
            steps.append("The nearest group with an eligible backend server gets the request.")
            return self._explanation(ResultCode.OK, target, steps, candidates)
        return self._explanation(failure.code, target, [*steps, _sentence(failure)], candidates)

    def _find(self, path: str, steps: list[str]) -> ServiceRoute | Failure:
        if not self.state.replica.complete:
            return Failure(ResultCode.HOST_STARTING, "the configuration is not complete yet")
        if self.state.forwarder.leaving:
            steps.append("The host is leaving and still serves.")
        decoded = check_target(path)
        return decoded if isinstance(decoded, Failure) else self.router.find(decoded)

    def _authorize(
        self, target: ServiceRoute, workspace: str, now: float, steps: list[str]
    ) -> Failure | None:
        if target.route.open:
            steps.append("The route is open: no key is needed and no rate applies.")
            return None
        if not workspace:
            return Failure(ResultCode.KEY_MISSING, "the route needs a key")
        if not isinstance(self.state.replica.body("workspace", workspace), Workspace):
            return Failure(ResultCode.KEY_UNKNOWN, f"there is no workspace {workspace}")
        if not self.freshness.is_fresh(now):
            return Failure(ResultCode.KEYS_STALE, "the copy of the keys may be out of date")
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
        target: ServiceRoute | None,
        steps: list[str],
        candidates: t.Sequence[Candidate],
    ) -> Explanation:
        return Explanation(
            host=self.state.settings.host,
            code=int(code),
            service="" if target is None else target.name,
            route_prefix="" if target is None else target.route.prefix,
            steps=steps,
            candidates=list(candidates),
        )


def _route_step(target: ServiceRoute, method: str) -> str:
    repeat = "may be repeated" if target.route.repeatable else "runs at most once"
    prefix = target.route.prefix or "the default route"
    return f"{method} belongs to service {target.name}, {prefix}, and {repeat}."


def _sentence(failure: Failure) -> str:
    return f"Refused with {int(failure.code)} {failure.code.name}: {failure.reason}."
