"""The interface of the choice of a backend server, as the request path sees it."""

from __future__ import annotations

import typing as t

from radishbridge.records import Backend, Candidate, Failure, Route, Service


class ServiceRoute:
    """The service and route that a path belongs to."""

    __slots__ = ("name", "route", "service")

    def __init__(self, name: str, service: Service, route: Route) -> None:
        self.name = name
        self.service = service
        self.route = route


class Permit:
    """The right to run one request on a backend server; give it back with ``Router.release``."""

    __slots__ = ("backend", "service", "started_at")

    def __init__(self, service: str, backend: Backend, started_at: float) -> None:
        self.service = service
        self.backend = backend
        self.started_at = started_at


class AttemptOutcome:
    """How an attempt at a backend server ended.

    :param latency_s: seconds to the first byte of the answer.
    :param failed: connection error, reset or a status of 500 and above.
    :param shed: the backend server refused before running it.
    :param abandoned: the caller went away or its own deadline passed, which says nothing
        about the backend server.
    """

    __slots__ = ("abandoned", "failed", "latency_s", "shed")

    def __init__(
        self,
        latency_s: float,
        failed: bool = False,
        shed: bool = False,
        abandoned: bool = False,
    ) -> None:
        self.latency_s = latency_s
        self.failed = failed
        self.shed = shed
        self.abandoned = abandoned


class Router(t.Protocol):
    """Chooses the region and the backend server of each attempt."""

    def find(self, path: str) -> ServiceRoute | Failure:
        """Return the service and route of a path, or ``SERVICE_UNKNOWN``.

        :param path: decoded path without dot segments or empty segments.
        """

    def acquire(
        self, target: ServiceRoute, tried: t.Collection[str], now: float
    ) -> Permit | Failure:
        """Take a slot at a backend server that was not tried yet, or ``NO_BACKEND``."""

    def is_valid(self, permit: Permit) -> bool:
        """Whether a permit's backend server still takes requests."""

    def release(self, permit: Permit, outcome: AttemptOutcome, now: float) -> None:
        """Give a slot back and note how the attempt ended."""

    def explain(self, target: ServiceRoute, now: float) -> list[Candidate]:
        """Return each backend server of the service with the reason to use it or not."""
