"""Interface between request forwarding and the selection of a backend server."""

from __future__ import annotations

import typing as t

from radishbridge.records import Backend, Candidate, Failure, Route, Service


class ServiceRoute:
    """The service that matches a request path, and the matching one of its routes.

    :param name: name of the service.
    """

    __slots__ = ("name", "route", "service")

    def __init__(self, name: str, service: Service, route: Route) -> None:
        self.name = name
        self.service = service
        self.route = route


class Permit:
    """A slot held at a backend server for one request; return it with ``Router.release``.

    :param service: name of the service.
    :param started_at: monotonic time at which the slot was acquired, in seconds.
    """

    __slots__ = ("backend", "service", "started_at")

    def __init__(self, service: str, backend: Backend, started_at: float) -> None:
        self.service = service
        self.backend = backend
        self.started_at = started_at


class AttemptOutcome:
    """Result of one attempt at a backend server.

    :param latency_s: seconds to the first byte of the response.
    :param failed: connection error, connection reset, or a status of 500 and above.
    :param shed: the backend server rejected the request before running it.
    :param abandoned: the caller disconnected or its deadline passed, so the attempt carries no
        information about the backend server.
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
    """Selects the region and the backend server of each attempt."""

    def find(self, path: str) -> ServiceRoute | Failure:
        """Return the service and route that match a path, or ``SERVICE_UNKNOWN``.

        :param path: decoded path without dot segments or empty segments.
        """

    def acquire(
        self, target: ServiceRoute, tried: t.Collection[str], now: float
    ) -> Permit | Failure:
        """Acquire a slot at a backend server, or return ``NO_BACKEND``.

        :param tried: names of backend servers that earlier attempts used; they are skipped.
        :param now: monotonic time in seconds.
        """

    def is_valid(self, permit: Permit) -> bool:
        """Return whether the permit's backend server is still in service."""

    def release(self, permit: Permit, outcome: AttemptOutcome, now: float) -> None:
        """Release a slot and record the outcome of the attempt."""

    def explain(self, target: ServiceRoute, now: float) -> list[Candidate]:
        """Return each backend server of the service and why it is eligible or not."""
