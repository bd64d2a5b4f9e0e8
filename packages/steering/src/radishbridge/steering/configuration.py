"""The operators' configuration at one version: routes, services, workspaces and limits."""

from __future__ import annotations

import itertools
import typing as t

import msgspec

NO_HOMES: frozenset[str] = frozenset()


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a weighted split.

    :param weight: share relative to the other parts of the route.
    """

    service: str
    weight: float


class RouteRule(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one host name and path prefix are treated.

    :param services: services that answer, with their weights; one part where nothing is split.
    :param repeatable: a request may run more than once (idempotent).
    :param attempts: most backend servers that one request may be sent to.
    :param timeout_s: longest time a caller is kept waiting, in seconds.
    :param target_s: time within which an answer is of full use, in seconds.
    :param priority: 0 is the most urgent.
    :param home_regions: the only regions that may serve it; empty allows all.
    :param is_public: requests need no key.
    :param has_affinity: backend servers answer faster for an object they have served lately.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    repeatable: bool
    attempts: int
    timeout_s: float
    target_s: float
    priority: int = 0
    home_regions: frozenset[str] = NO_HOMES
    is_public: bool = False
    has_affinity: bool = False

    def pick_service(self, point: float) -> str:
        """Return the service at a point of the weights laid end to end.

        :param point: from 0 to below 1.
        """
        total = sum(part.weight for part in self.services)
        ends = itertools.accumulate(part.weight for part in self.services)
        pairs = zip(self.services, ends, strict=True)
        return next((one.service for one, end in pairs if point * total < end), self.last_service)

    @property
    def last_service(self) -> str:
        """The last service of the split."""
        return self.services[-1].service


class ServiceRule(msgspec.Struct, frozen=True, kw_only=True):
    """What the operators say of a service.

    :param connections: most connections one backend server accepts from all hosts together.
    :param slow_start_s: how long a backend server is cold after its start, in seconds.
    :param slow_start_per_s: requests a second that a cold backend server bears; 0 for no bound.
    """

    name: str
    connections: int = 0
    slow_start_s: float = 0.0
    slow_start_per_s: float = 0.0


class WorkspaceRule(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace's limits over all hosts together.

    :param rate_per_s: requests a second; 0 for no limit.
    :param burst: requests accepted at once after a quiet time.
    :param priority: goes before the route's; 0 is the most urgent.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int = 0
    home_regions: frozenset[str] = NO_HOMES


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what a caller may send, in bytes, and how long it may stay idle, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_s: float = 10.0
    idle_s: float = 60.0


class Configuration:
    """One version of the configuration, never changed once built.

    :param keys: workspace name by key; empty where callers need no key.
    """

    __slots__ = (
        "keys",
        "limits",
        "priorities",
        "routes_by_host",
        "services",
        "version",
        "workspaces",
    )

    def __init__(
        self,
        version: int,
        routes: t.Iterable[RouteRule],
        services: t.Iterable[ServiceRule],
        workspaces: t.Iterable[WorkspaceRule] = (),
        keys: t.Mapping[str, str] | None = None,
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.workspaces = {workspace.name: workspace for workspace in workspaces}
        self.keys = dict(keys or {})
        self.limits = limits or CallerLimits()
        by_host: dict[str, list[RouteRule]] = {}
        for route in sorted(routes, key=lambda route: len(route.prefix), reverse=True):
            by_host.setdefault(route.host, []).append(route)
        self.routes_by_host = by_host
        self.priorities = self._priorities(itertools.chain(*by_host.values()))

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route of a host name with the longest prefix that begins a path."""
        routes = self.routes_by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key at all."""
        return bool(self.workspaces)

    def rank(self, service: str, route: RouteRule, workspace: str) -> int:
        """Return how many kinds of requests of a service are more urgent; 0 for the most urgent.

        The workspace's priority goes before the route's.
        """
        rule = self.workspaces.get(workspace)
        own = (rule.priority if rule is not None else 0, route.priority)
        return sum(one < own for one in self.priorities.get(service, ()))

    def _priorities(self, routes: t.Iterable[RouteRule]) -> dict[str, set[tuple[int, int]]]:
        # The priorities of a service's requests: of the workspace, then of the route.
        of_workspaces = {rule.priority for rule in self.workspaces.values()} or {0}
        found: dict[str, set[tuple[int, int]]] = {}
        for route, of_workspace in itertools.product(routes, of_workspaces):
            for part in route.services:
                found.setdefault(part.service, set()).add((of_workspace, route.priority))
        return found

    def allowed_regions(self, route: RouteRule, workspace: str) -> frozenset[str] | None:
        """Return the regions in which a request may run; ``None`` allows all.

        Where route and workspace both have home regions, both bind.
        """
        rule = self.workspaces.get(workspace)
        own = rule.home_regions if rule is not None else NO_HOMES
        if route.home_regions and own:
            return route.home_regions & own
        return route.home_regions or own or None
