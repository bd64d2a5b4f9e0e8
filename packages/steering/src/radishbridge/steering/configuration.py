"""One version of the operators' configuration: routes, services, workspaces and limits."""

from __future__ import annotations

import itertools
import typing as t

import msgspec

NO_HOME_REGIONS: frozenset[str] = frozenset()


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route's traffic split.

    :param weight: weight relative to the other services of the route.
    """

    service: str
    weight: float


class RouteRule(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one host name and path prefix are handled.

    :param services: services that serve the route; a single one if traffic is not split.
    :param repeatable: requests are idempotent and may run more than once.
    :param attempts: maximum number of backend servers that one request is sent to.
    :param timeout_s: maximum time a caller waits, in seconds.
    :param target_s: target latency in seconds; a later response has less value to the caller.
    :param priority: 0 is the most urgent.
    :param home_regions: the only regions that may serve the route; empty allows all.
    :param is_public: requests need no key.
    :param has_affinity: backend servers respond faster for an object they have recently served.
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
    home_regions: frozenset[str] = NO_HOME_REGIONS
    is_public: bool = False
    has_affinity: bool = False

    def pick_service(self, point: float) -> str:
        """Return the service that a point of the cumulative weights falls on.

        :param point: fraction of the total weight, from 0 to below 1.
        """
        total = sum(weighted.weight for weighted in self.services)
        ends = itertools.accumulate(weighted.weight for weighted in self.services)
        pairs = zip(self.services, ends, strict=True)
        return next(
            (weighted.service for weighted, end in pairs if point * total < end), self.last_service
        )

    @property
    def last_service(self) -> str:
        """Return the last service of the split."""
        return self.services[-1].service


class ServiceRule(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a service's backend servers.

    :param connections: maximum connections that one server accepts from all hosts together.
    :param slow_start_s: duration of a server's slow start in seconds.
    :param slow_start_per_s: requests per second that a server handles in its slow start; 0 for no
        limit.
    :param check_path: path of the servers' status check; empty if there is none.
    """

    name: str
    connections: int = 0
    slow_start_s: float = 0.0
    slow_start_per_s: float = 0.0
    check_path: str = ""


class WorkspaceRule(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a workspace for all hosts together.

    :param rate_per_s: requests per second; 0 for no limit.
    :param burst: requests accepted at once after an idle time.
    :param priority: takes precedence over the route's; 0 is the most urgent.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int = 0
    home_regions: frozenset[str] = NO_HOME_REGIONS


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of a caller's requests, and on how long it may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_s: float = 10.0
    idle_s: float = 60.0


class Configuration:
    """One immutable version of the configuration.

    :param keys: workspace name by key; empty if callers need no key.
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
        """Return the route of a host name with the longest prefix that matches a path."""
        routes = self.routes_by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    @property
    def requires_keys(self) -> bool:
        """Return whether any request needs a key."""
        return bool(self.workspaces)

    def rank(self, service: str, route: RouteRule, workspace: str) -> int:
        """Return how many priority levels of a service are more urgent than that of a request.

        0 for the most urgent requests. The workspace's priority takes precedence over the route's.
        """
        rule = self.workspaces.get(workspace)
        priority = (rule.priority if rule is not None else 0, route.priority)
        return sum(other < priority for other in self.priorities.get(service, ()))

    def _priorities(self, routes: t.Iterable[RouteRule]) -> dict[str, set[tuple[int, int]]]:
        # Pairs of workspace priority and route priority that a service's requests may have.
        workspace_priorities = {rule.priority for rule in self.workspaces.values()} or {0}
        priorities: dict[str, set[tuple[int, int]]] = {}
        for route, workspace_priority in itertools.product(routes, workspace_priorities):
            for weighted in route.services:
                priorities.setdefault(weighted.service, set()).add(
                    (workspace_priority, route.priority)
                )
        return priorities

    def allowed_regions(self, route: RouteRule, workspace: str) -> frozenset[str] | None:
        """Return the regions in which a request may run; ``None`` allows all.

        If both the route and the workspace have home regions, only regions in both are allowed.
        """
        rule = self.workspaces.get(workspace)
        workspace_regions = rule.home_regions if rule is not None else NO_HOME_REGIONS
        if route.home_regions and workspace_regions:
            return route.home_regions & workspace_regions
        return route.home_regions or workspace_regions or None
