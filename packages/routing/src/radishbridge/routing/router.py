"""Selects the service, the route and the backend server of a request."""

from __future__ import annotations

import random
import typing as t

from radishbridge.records import (
    Backend,
    Candidate,
    Drain,
    Failure,
    Record,
    ResultCode,
    Route,
    Service,
)
from radishbridge.routing.pool import HostLocation, ServerPool
from radishbridge.routing.protocol import AttemptOutcome, Permit, ServiceRoute
from radishbridge.routing.server import ServerState

_DEFAULT_ROUTE = Route(prefix="")
_SERVICE_UNKNOWN = Failure(ResultCode.SERVICE_UNKNOWN, "no service has this path")


class LocalRouter:
    """Selects backend servers by distance, then by the power of two choices on this host's load.

    :param region: region of this host; its servers are used while the data centre has no free slot.
    :param data_center: data centre of this host; its servers are used first.
    """

    __slots__ = ("drains", "ejections", "location", "pools", "rng", "routes_by_prefix", "services")

    def __init__(self, region: str, data_center: str, rng: random.Random) -> None:
        self.location = HostLocation(region, data_center)
        self.rng = rng
        self.services: dict[str, Service] = {}
        self.drains: dict[str, Drain] = {}
        self.pools: dict[str, ServerPool] = {}
        self.routes_by_prefix: dict[str, dict[str, ServiceRoute]] = {}
        self.ejections = 0

    def update(self, record: Record) -> None:
        """Apply a changed service or drain; other kinds are ignored."""
        if record.kind == "service":
            self._update_service(record)
        elif record.kind == "drain":
            self._update_drain(record)

    def find(self, path: str) -> ServiceRoute | Failure:
        """Return the service and route that match a path, or ``SERVICE_UNKNOWN``.

        The longest prefix that consists of whole path segments applies.
        """
        routes = _longest_match(self.routes_by_prefix, path)
        if routes is None:
            return _SERVICE_UNKNOWN
        return _longest_match(routes, path) or routes[""]

    def acquire(
        self, target: ServiceRoute, tried: t.Collection[str], now: float
    ) -> Permit | Failure:
        """Acquire a slot at the nearest backend server that has a free one."""
        pool = self.pools.get(target.name)
        server = None if pool is None else pool.acquire(tried, now)
        if server is None:
            return Failure(ResultCode.NO_BACKEND, f"no free slot in service {target.name}")
        return Permit(target.name, server.backend, now)

    def is_valid(self, permit: Permit) -> bool:
        """Return whether the permit's backend server is still in service."""
        return self._server_of(permit) is not None

    def release(self, permit: Permit, outcome: AttemptOutcome, now: float) -> None:
        """Release a slot and eject the server after too many consecutive failures."""
        server = self._server_of(permit)
        if server is None:
            return
        pool = self.pools[permit.service]
        server.in_flight = max(0, server.in_flight - 1)
        server.record(outcome)
        if server.should_eject and not server.ejected_until and pool.eject(server, now):
            self.ejections += 1
        pool.refresh(server)

    def explain(self, target: ServiceRoute, now: float) -> list[Candidate]:
        """Return each backend server of the service and why it is eligible or not."""
        pool = self.pools.get(target.name)
        states = [] if pool is None else pool.nearest_first()
        pooled = {state.backend.name for state in states}
        unpooled = (backend for backend in target.service.backends if backend.name not in pooled)
        return [
            *(_candidate(state.backend, state.in_flight, _verdict(state, now)) for state in states),
            *(_candidate(backend, 0, self._exclusion(target, backend)) for backend in unpooled),
        ]

    def _server_of(self, permit: Permit) -> ServerState | None:
        pool = self.pools.get(permit.service)
        server = None if pool is None else pool.servers.get(permit.backend.name)
        same = server is not None and server.backend.address == permit.backend.address
        return server if same else None

    def _update_service(self, record: Record) -> None:
        if isinstance(record.body, Service):
            self.services[record.name] = record.body
        else:
            self.services.pop(record.name, None)
            self.pools.pop(record.name, None)
        self.routes_by_prefix = {
            service.path_prefix.rstrip("/"): _build_routes(name, service)
            for name, service in sorted(self.services.items(), reverse=True)
        }
        self._update_pool(record.name)

    def _update_drain(self, record: Record) -> None:
        if isinstance(record.body, Drain):
            self.drains[record.name] = record.body
        else:
            self.drains.pop(record.name, None)
        for name in self.services:
            self._update_pool(name)

    def _update_pool(self, name: str) -> None:
        service = self.services.get(name)
        if service is None:
            return
        pool = self.pools.setdefault(name, ServerPool(self.location, self.rng))
        pool.update(
            backend
            for backend in service.backends
            if backend.version == service.stable_version and not self._is_drained(name, backend)
        )

    def _is_drained(self, service: str, backend: Backend) -> bool:
        return any(_applies_to(drain, service, backend) for drain in self.drains.values())

    def _exclusion(self, target: ServiceRoute, backend: Backend) -> str:
        if backend.version != target.service.stable_version:
            return f"version {backend.version} gets no traffic"
        return "drained" if self._is_drained(target.name, backend) else "not in use"


_T = t.TypeVar("_T")


def _longest_match(by_prefix: t.Mapping[str, _T], path: str) -> _T | None:
    """Return the value of the longest prefix that ends at a segment boundary of the path."""
    while path:
        match = by_prefix.get(path)
        if match is not None:
            return match
        path = path.rpartition("/")[0]
    return by_prefix.get("")


def _build_routes(name: str, service: Service) -> dict[str, ServiceRoute]:
    base = service.path_prefix.rstrip("/")
    routes = {"": ServiceRoute(name, service, _DEFAULT_ROUTE)}
    for route in service.routes:
        below = route.prefix.strip("/")
        prefix = f"{base}/{below}" if below else base
        routes[prefix] = ServiceRoute(name, service, route)
    return routes


def _applies_to(drain: Drain, service: str, backend: Backend) -> bool:
    if drain.service and drain.service != service:
        return False
    if drain.scope == "backend":
        return drain.target == backend.name
    if drain.scope == "data_center":
        return drain.target == backend.data_center
    return drain.scope == "region" and drain.target == backend.region


def _verdict(state: ServerState, now: float) -> str:
    if state.ejected_until:
        return f"ejected for {max(0.0, state.ejected_until - now):.1f} s more"
    if not state.has_capacity:
        return "no free slot"
    return "eligible"


def _candidate(backend: Backend, in_flight: int, verdict: str) -> Candidate:
    return Candidate(
        backend=backend.name,
        region=backend.region,
        data_center=backend.data_center,
        version=backend.version,
        slots=backend.slots,
        in_flight=in_flight,
        verdict=verdict,
    )
