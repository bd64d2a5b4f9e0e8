"""Idle connections to servers that keep them for long, and announce it."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

import pytest
from aiohttp import web
from entry_world import World, reply, running
from steering_world import make_route

from radishbridge.entry.backends import BackendConnection
from radishbridge.entry.crashes import CrashDetector
from radishbridge.entry.idle import LONG_IDLE_PER_SERVER
from radishbridge.host.sockets import reset

SERVICES = frozenset({"catalogue"})
NON_REPEATABLE = make_route(repeatable=False)


def keeping_alive(seconds: int = 10) -> t.Callable[[web.BaseRequest], t.Any]:
    return reply(Keep_Alive=f"timeout={seconds}")


def only_address(world: World) -> str:
    states = world.steering_state.selector.states.values()
    return next(iter(states)).server.address


def only_connection(world: World) -> BackendConnection:
    connections = world.forwarder.pool.idle[only_address(world)]
    assert len(connections) == 1
    return connections[0]


def make_idle(world: World, idle_s: float) -> None:
    """Pretend that the only idle connection has been idle for a time."""
    only_connection(world).idle_since -= idle_s


@contextlib.asynccontextmanager
async def long_idle_world(respond, services=SERVICES, **options: t.Any):
    async with running(respond, **options) as (world, backends):
        world.forwarder.pool.rules.long_idle_services = services
        yield world, backends


class TestReuse:
    """Which connections are reused, and for which requests."""

    @pytest.mark.parametrize(
        ("services", "announced_s", "idle_s", "reused"),
        [
            (SERVICES, 10, 7.9, True),
            (SERVICES, 10, 8.1, False),
            (SERVICES, 4, 3.3, False),
            (SERVICES, 60, 10.1, False),
            (frozenset(), 10, 2.9, True),
            # The default: no deployment gets longer idle times unasked.
            (frozenset(), 10, 3.1, False),
        ],
    )
    async def test_repeatable_request(self, services, announced_s, idle_s, reused):
        async with long_idle_world(keeping_alive(announced_s), services) as (world, _):
            await world.request()
            make_idle(world, idle_s)
            pool = world.forwarder.pool
            pool.close_expired()
            assert pool.has_idle(only_address(world)) is reused
            await world.request()
            assert pool.opened == (1 if reused else 2)

    async def test_connection_whose_server_announces_nothing(self):
        async with long_idle_world(reply()) as (world, _):
            await world.request()
            make_idle(world, 3.1)
            await world.request()
            assert world.forwarder.pool.opened == 2

    async def test_request_that_may_run_once_never_gets_a_long_idle_connection(self):
        # It could not be retried if the server had dropped the connection.
        async with long_idle_world(keeping_alive(), route=NON_REPEATABLE) as (world, _):
            await world.request()
            make_idle(world, 0.9)
            await world.request()
            assert world.forwarder.pool.opened == 2

    async def test_request_that_may_run_once_leaves_it_to_others(self):
        async with long_idle_world(keeping_alive()) as (world, _):
            await world.request()
            make_idle(world, 4.0)
            pool, address = world.forwarder.pool, only_address(world)
            (await pool.acquire(address, at_most_once=True)).close()
            assert pool.opened == 2
            assert pool.has_idle(address)

    async def test_few_connections_to_a_server_are_kept_for_long(self):
        count = LONG_IDLE_PER_SERVER + 2

        async def respond(request: web.BaseRequest) -> web.StreamResponse:
            barrier.append(request)
            while len(barrier) < count:
                await asyncio.sleep(0)
            return await keeping_alive()(request)

        barrier: list[web.BaseRequest] = []
        async with long_idle_world(respond) as (world, _):
            await asyncio.gather(*[world.request(Request_Id=str(n)) for n in range(count)])
            pool = world.forwarder.pool
            connections = pool.idle[only_address(world)]
            assert len(connections) == count
            for connection in connections:
                connection.idle_since -= 4.0
            pool.close_expired()
            assert len(connections) == LONG_IDLE_PER_SERVER

    async def test_new_connections_per_1000_requests(self):
        async with long_idle_world(keeping_alive()) as (world, _):
            assert world.forwarder.pool.new_per_1000() == 0.0
            for _ in range(4):
                await world.request()
            assert world.forwarder.pool.new_per_1000() == 250.0


def close(transport: asyncio.Transport) -> None:
    transport.close()


class DroppingServer:
    """Drops each connection as soon as a second request arrives on it, without running that.

    :param drop: resets or closes the connection.
    :param transports: connections on which a request was run.
    """

    def __init__(self, drop: t.Callable[[asyncio.Transport], None] = reset) -> None:
        self.drop = drop
        self.transports: set[asyncio.BaseTransport] = set()

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport is not None
        if request.transport in self.transports:
            self.drop(request.transport)
            return web.Response()
        self.transports.add(request.transport)
        return await keeping_alive()(request)


class TestServerThatDropsIdleConnections:
    """A server closes idle connections sooner than it announces, and without notice."""

    @pytest.mark.parametrize("drop", [reset, close])
    async def test_request_is_sent_again_on_a_new_connection_and_counts_as_a_retry(self, drop):
        server = DroppingServer(drop)
        async with long_idle_world(server.respond) as (world, backends):
            await world.request()
            make_idle(world, 4.0)
            status, body, _ = await world.request()
            assert (status, body) == (200, b"good")
            assert len(backends[0].requests) == 3
            state = next(iter(world.steering_state.selector.states.values()))
            assert state.consecutive_failures == 0
            assert world.steering_state.retry_budgets["catalogue"].granted == 1

    async def test_request_is_not_sent_again_on_another_idle_connection(self):
        # The server has probably dropped that one, too.
        server = DroppingServer()
        async with long_idle_world(server.respond) as (world, backends):
            pool, address = world.forwarder.pool, only_address(world)
            await world.request()
            first = only_connection(world)
            pool.idle.clear()
            await world.request()
            pool.release(address, first)
            first.idle_since -= 4.0
            status, _, _ = await world.request()
            assert (status, len(backends[0].requests)) == (200, 4)

    async def test_it_is_checked_for_a_crash(self, monkeypatch):
        # A request that crashes servers breaks a long idle connection in the same way.
        checked: list[str] = []

        def check_server(self, fingerprint, server):
            checked.append(server.name)

        monkeypatch.setattr(CrashDetector, "check_server", check_server)
        async with long_idle_world(DroppingServer().respond) as (world, _):
            await world.request()
            make_idle(world, 4.0)
            await world.request()
            assert checked == ["server-0"]

    async def test_request_that_the_route_allows_one_attempt_is_not_sent_again(self):
        server = DroppingServer()
        async with long_idle_world(server.respond, route=make_route(attempts=1)) as (
            world,
            backends,
        ):
            await world.request()
            make_idle(world, 4.0)
            status, _, _ = await world.request()
            assert status == 502
            assert len(backends[0].requests) == 2

    async def test_its_connections_are_kept_no_longer_afterwards(self):
        # Each drop costs a retry of the budget, which all hosts share.
        server = DroppingServer()
        async with long_idle_world(server.respond) as (world, _):
            await world.request()
            make_idle(world, 4.0)
            await world.request()
            pool, address = world.forwarder.pool, only_address(world)
            assert only_connection(world).may_idle_long
            make_idle(world, 4.0)
            assert not pool.has_idle(address)
            assert pool.rules.drops == 1

    async def test_without_a_token_it_is_not_sent_again(self):
        server = DroppingServer()
        async with long_idle_world(server.respond) as (world, backends):
            await world.request()
            budget = world.steering_state.retry_budgets["catalogue"]
            budget.ratio = budget.allowance = budget.tokens = 0.0
            make_idle(world, 4.0)
            status, _, _ = await world.request()
            assert status == 502
            assert len(backends[0].requests) == 2

    async def test_reset_of_a_request_that_ran_for_a_while_is_a_failure_of_the_server(self):
        async def respond(request: web.BaseRequest) -> web.StreamResponse:
            if len(backends[0].requests) == 1:
                return await keeping_alive()(request)
            await asyncio.sleep(0.4)
            assert request.transport is not None
            reset(request.transport)
            return web.Response()

        async with long_idle_world(respond) as (world, backends):
            await world.request()
            make_idle(world, 4.0)
            status, _, _ = await world.request()
            assert status == 502
            assert world.forwarder.pool.rules.drops == 0
