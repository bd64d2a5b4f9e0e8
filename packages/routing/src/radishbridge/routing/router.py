"""Choice of the service, route and backend server of a request."""

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
from radishbridge.routing.pool import Place, Pool
from radishbridge.routing.protocol import AttemptOutcome, Permit, ServiceRoute
from radishbridge.routing.server import ServerState

_DEFAULT_ROUTE = Route(prefix="")
_UNKNOWN = Failure(ResultCode.SERVICE_UNKNOWN, "no service has this path")


class LocalRouter:
    """Chooses among a service's backend servers by the power of two choices on own load.

    :param region: region of this host, preferred next to its data centre.
    :param data_center: data centre of this host, preferred while it has free slots.
    """

    __slots__ = ("drains", "ejections", "place", "pools", "random", "routes", "services")

    def __init__(self, region: str, data_center: str, rng: random.Random) -> None:
        self.place = Place(region, data_center)
        self.random = rng
        self.services: dict[str, Service] = {}
        self.drains: dict[str, Drain] = {}
        self.pools: dict[str, Pool] = {}
        self.routes: dict[str, dict[str, ServiceRoute]] = {}
        self.ejections = 0

    def update(self, record: Record) -> None:
        """Take over a changed record of the configuration."""
        if record.kind == "service":
            self._update_service(record)
        elif record.kind == "drain":
            self._update_drain(record)

    def find(self, path: str) -> ServiceRoute | Failure:
        """Return the service and route of a path, or ``SERVICE_UNKNOWN``.

        Prefixes match whole segments of the path, the longest one first.
        """
        routes = _longest(self.routes, path)
        if routes is None:
            return _UNKNOWN
        return _longest(routes, path) or routes[""]

    def acquire(
        self, target: ServiceRoute, tried: t.Collection[str], now: float
    ) -> Permit | Failure:
        """Take a slot at the nearest backend server with a free one."""
        pool = self.pools.get(target.name)
        server = None if pool is None else pool.take(tried, now)
        if server is None:
            return Failure(ResultCode.NO_BACKEND, f"no free slot in service {target.name}")
        return Permit(target.name, server.backend, now)

    def is_valid(self, permit: Permit) -> bool:
        """Whether a permit's backend server still takes requests."""
        return self._permitted(permit) is not None

    def release(self, permit: Permit, outcome: AttemptOutcome, now: float) -> None:
        """Give a slot back and eject the server if it keeps failing."""
        server = self._permitted(permit)
        if server is None:
            return
        pool = self.pools[permit.service]
        server.in_flight = max(0, server.in_flight - 1)
        server.note(outcome)
        if server.should_eject and not server.ejected_until and pool.eject(server, now):
            self.ejections += 1
        pool.refresh(server)

    def explain(self, target: ServiceRoute, now: float) -> list[Candidate]:
        """Return each backend server of the service with the reason to use it or not."""
        pool = self.pools.get(target.name)
        states = [] if pool is None else pool.nearest_first()
        in_use = {state.backend.name for state in states}
        others = (backend for backend in target.service.backends if backend.name not in in_use)
        return [
            *(_candidate(state.backend, state.in_flight, _verdict(state, now)) for state in states),
            *(_candidate(backend, 0, self._exclusion(target, backend)) for backend in others),
        ]

    def _permitted(self, permit: Permit) -> ServerState | None:
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
        self.routes = {
            service.path_prefix.rstrip("/"): _routes(name, service)
            for name, service in sorted(self.services.items(), reverse=True)
        }
        self._refill(record.name)

    def _update_drain(self, record: Record) -> None:
        if isinstance(record.body, Drain):
            self.drains[record.name] = record.body
        else:
            self.drains.pop(record.name, None)
        for name in self.services:
            self._refill(name)

    def _refill(self, name: str) -> None:
        service = self.services.get(name)
        if service is None:
            return
        pool = self.pools.setdefault(name, Pool(self.place, self.random))
        pool.update(
            backend
            for backend in service.backends
            if backend.version == service.stable_version and not self._drained(name, backend)
        )

    def _drained(self, service: str, backend: Backend) -> bool:
        return any(_covers(drain, service, backend) for drain in self.drains.values())

    def _exclusion(self, target: ServiceRoute, backend: Backend) -> str:
        if backend.version != target.service.stable_version:
            return f"version {backend.version} gets no traffic"
        return "drained" if self._drained(target.name, backend) else "not in use"


_T = t.TypeVar("_T")


def _longest(by_prefix: t.Mapping[str, _T], path: str) -> _T | None:
    """Return the value of the longest prefix that ends at a segment of the path."""
    while path:
        found = by_prefix.get(path)
        if found is not None:
            return found
        path = path.rpartition("/")[0]
    return by_prefix.get("")


def _routes(name: str, service: Service) -> dict[str, ServiceRoute]:
    base = service.path_prefix.rstrip("/")
    routes = {"": ServiceRoute(name, service, _DEFAULT_ROUTE)}
    for route in service.routes:
        below = route.prefix.strip("/")
        prefix = f"{base}/{below}" if below else base
        routes[prefix] = ServiceRoute(name, service, route)
    return routes


def _covers(drain: Drain, service: str, backend: Backend) -> bool:
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
    if not state.has_room:
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
