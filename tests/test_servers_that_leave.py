from __future__ import annotations

import time

import msgspec
import pytest
from entry_world import reply, running
from in_process import WITH_KEY, Harness
from steering_world import make_route

from radishbridge.entry import BackendPool
from radishbridge.host.backends import BackendClient
from radishbridge.records import Drain


def _drain(world, state) -> None:
    world.steering_state.selector.put(
        msgspec.structs.replace(state.server, draining=True), time.monotonic()
    )


def _remove(world, state) -> None:
    world.steering_state.selector.remove(state.server.name)


def _drain_data_center(world, state) -> None:
    world.steering_state.selector.set_drained([state.server.data_center])


def _restart(world, state) -> None:
    # A restart under the same name discards all state of the server.
    _remove(world, state)
    world.steering_state.selector.put(
        msgspec.structs.replace(state.server, incarnation=2), time.monotonic()
    )


class TestRequestAtAServerThatLeaves:
    """A server is drained, removed or restarted while a connection to it opens."""

    @pytest.mark.parametrize("leave", [_drain, _remove, _drain_data_center, _restart])
    @pytest.mark.parametrize("repeatable", [True, False])
    async def test_it_goes_elsewhere(self, leave, repeatable, monkeypatch):
        route = make_route(repeatable=repeatable)
        async with running(reply(), reply(), route=route) as (world, backends):
            acquire, left = BackendPool.acquire, []

            async def slow_acquire(pool, address, *details):
                connection = await acquire(pool, address, *details)
                if not left:
                    states = world.steering_state.selector.states.values()
                    left.extend(one for one in states if one.server.address == address)
                    leave(world, left[0])
                return connection

            monkeypatch.setattr(BackendPool, "acquire", slow_acquire)
            assert (await world.request())[0] == 200
            number = int(left[0].server.name.rpartition("-")[2])
            assert not backends[number].requests
            assert len(backends[1 - number].requests) == 1

    async def test_it_is_refused_as_not_run_if_there_is_no_other_server(self, monkeypatch):
        route = make_route(repeatable=False)
        async with running(reply(), route=route) as (world, (backend,)):
            acquire = BackendPool.acquire

            async def slow_acquire(pool, address, *details):
                connection = await acquire(pool, address, *details)
                _remove(world, next(iter(world.steering_state.selector.states.values())))
                return connection

            monkeypatch.setattr(BackendPool, "acquire", slow_acquire)
            status, _, headers = await world.request()
            assert status == 503
            assert "Retry-After" in headers
            assert not backend.requests


class TestRequestAtAServerThatLeavesOfAHostWithItsOwnRecords:
    """The same at a host that keeps its own records."""

    @pytest.mark.parametrize("path", ["/catalogue/a", "/catalogue/once/a"])
    async def test_it_goes_elsewhere(self, path, monkeypatch):
        async with Harness() as host:
            servers = [await host.add_backend(), await host.add_backend()]
            connect, left = BackendClient.connect, []

            async def slow_connect(client, request):
                connection = await connect(client, request)
                if not left:
                    left.extend(
                        one for one in host.backends if one.address == request.url.authority
                    )
                    drain = Drain(scope="backend", target=left[0].name)
                    host.put_record("drain", "leaving", drain)
                return connection

            monkeypatch.setattr(BackendClient, "connect", slow_connect)
            async with host.caller.get(host.url(path), headers=WITH_KEY) as response:
                assert response.status == 200
            assert left
            assert [one.requests for one in servers if one.name == left[0].name] == [0]
