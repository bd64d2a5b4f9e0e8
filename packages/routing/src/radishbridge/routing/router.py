"""Choice of the service, route and backend server of a request."""

from __future__ import annotations

import random
import typing as t

from radishbridge.records import Backend, Failure, Record, ResultCode, Route, Service
from radishbridge.routing.protocol import AttemptOutcome, Permit, ServiceRoute

_DEFAULT_ROUTE = Route(prefix="")


class LocalRouter:
    """Chooses among a service's backend servers by the power of two choices on own load.

    :param data_center: data centre of this host, preferred while it has free slots.
    :param region: region of this host, preferred next.
    """

    __slots__ = ("data_center", "in_flight", "prefixes", "random", "region", "services")

    def __init__(self, region: str, data_center: str, rng: random.Random) -> None:
        self.region = region
        self.data_center = data_center
        self.random = rng
        self.services: dict[str, Service] = {}
        self.prefixes: list[tuple[str, str]] = []
        self.in_flight: dict[tuple[str, str], int] = {}

    def update(self, record: Record) -> None:
        """Take over a changed record of the configuration."""
        if record.kind != "service":
            return
        if isinstance(record.body, Service):
            self.services[record.name] = record.body
        else:
            self.services.pop(record.name, None)
        pairs = ((service.path_prefix, name) for name, service in self.services.items())
        self.prefixes = sorted(pairs, key=lambda pair: len(pair[0]), reverse=True)

    def find(self, path: str) -> ServiceRoute | Failure:
        """Return the service and route of a path, or ``SERVICE_UNKNOWN``."""
        for prefix, name in self.prefixes:
            if path.startswith(prefix):
                service = self.services[name]
                return ServiceRoute(name, service, _find_route(service, path))
        return Failure(ResultCode.SERVICE_UNKNOWN, "no service has this path")

    def choose(
        self, target: ServiceRoute, tried: t.Collection[str], now: float
    ) -> Permit | Failure:
        """Take a slot at the nearest backend server with a free one."""
        free = [
            backend
            for backend in target.service.backends
            if backend.version == target.service.stable_version
            and backend.name not in tried
            and self.load(target.name, backend) < backend.slots
        ]
        for near in (self._in_data_center, self._in_region, self._anywhere):
            candidates = [backend for backend in free if near(backend)]
            if candidates:
                return self._take(target.name, candidates, now)
        return Failure(ResultCode.NO_BACKEND, f"no free slot in service {target.name}")

    def release(self, permit: Permit, outcome: AttemptOutcome, now: float) -> None:
        """Give a slot back."""
        at = (permit.service, permit.backend.name)
        self.in_flight[at] -= 1

    def load(self, service: str, backend: Backend) -> int:
        """Return the requests this host has in flight at a backend server."""
        return self.in_flight.get((service, backend.name), 0)

    def _take(self, service: str, candidates: list[Backend], now: float) -> Permit:
        pair = self.random.sample(candidates, min(2, len(candidates)))
        backend = min(pair, key=lambda one: self.load(service, one) / one.slots)
        at = (service, backend.name)
        self.in_flight[at] = self.in_flight.get(at, 0) + 1
        return Permit(service, backend, now)

    def _in_data_center(self, backend: Backend) -> bool:
        return backend.data_center == self.data_center

    def _in_region(self, backend: Backend) -> bool:
        return backend.region == self.region

    def _anywhere(self, backend: Backend) -> bool:
        return True


def _find_route(service: Service, path: str) -> Route:
    below = path[len(service.path_prefix.rstrip("/")) :]
    matching = (route for route in service.routes if below.startswith(route.prefix))
    return max(matching, key=lambda route: len(route.prefix), default=_DEFAULT_ROUTE)
