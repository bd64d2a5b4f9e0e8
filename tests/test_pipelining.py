"""Pipelined requests of one connection: run side by side, answered in order, none lost."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import typing as t

import pytest
from aiohttp import web
from entry_world import ScriptedBackend, World, reply, running
from in_process import until
from steering_world import make_route

from radishbridge.entry import AccessLog, uptime
from radishbridge.host import pipelining
from radishbridge.host.bounded import DISCARDED_BYTES_MIN
from radishbridge.host.shutdown import Shutdown
from radishbridge.platform.headers import PlatformHeaderCodec
from radishbridge.records import LimitSettings
from radishbridge.steering import Configuration, ServiceRule

ROUTE = make_route(timeout_s=30.0)
NON_REPEATABLE = make_route(timeout_s=30.0, repeatable=False)
_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


def head(request_id: str, method: str = "GET", *lines: str) -> bytes:
    names = (f"{method} /devices/{request_id} HTTP/1.1", "Host: one.example")
    ids = (f"Request-Id: {request_id}", f"Affinity-Key: {request_id}")
    return "\r\n".join([*names, *ids, *lines, "", ""]).encode()


def heads(*request_ids: str) -> bytes:
    return b"".join(head(request_id) for request_id in request_ids)


class Gates:
    """Backend servers that answer each request once the test opens its gate.

    :param arrived: ids of the requests in the order in which they reached a server.
    :param cancelled: ids of the requests whose connection to the server was closed.
    """

    def __init__(self) -> None:
        self.gates: dict[str, asyncio.Event] = {}
        self.arrived: list[str] = []
        self.cancelled: list[str] = []

    def open(self, *request_ids: str) -> None:
        for request_id in request_ids:
            self.gates.setdefault(request_id, asyncio.Event()).set()

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers["Request-Id"]
        self.arrived.append(request_id)
        try:
            await self.gates.setdefault(request_id, asyncio.Event()).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        return await reply(body=request_id.encode())(request)

    async def wait_for(self, *request_ids: str) -> None:
        await until(lambda: set(request_ids) <= set(self.arrived))


class Response(t.NamedTuple):
    """A response as a caller reads it."""

    status: int
    closes: bool
    body: bytes


class Caller:
    """A caller's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read(self) -> Response:
        response_head = await self.reader.readuntil(b"\r\n\r\n")
        length = _LENGTH.search(response_head)
        body = await self.reader.readexactly(int(length.group(1)) if length else 0)
        closes = b"connection: close" in response_head.lower()
        return Response(int(response_head.split()[1]), closes, body)

    async def read_bodies(self, count: int) -> list[bytes]:
        return [(await self.read()).body for _ in range(count)]

    async def is_closed(self) -> bool:
        return not await self.reader.read()


@contextlib.asynccontextmanager
async def pipelining_world(
    servers: int = 4, **options: t.Any
) -> t.AsyncIterator[tuple[World, Gates, Caller, list[ScriptedBackend]]]:
    """Run a host with servers that wait for gates, and connect a caller."""
    gates = Gates()
    responders = [gates.respond] * servers
    async with running(*responders, **{"route": ROUTE, **options}) as (world, backends):
        caller = await connect(world)
        try:
            yield world, gates, caller, backends
        finally:
            caller.writer.close()


async def connect(world: World) -> Caller:
    host, _, port = world.url.removeprefix("http://").rpartition(":")
    return Caller(*await asyncio.open_connection(host, int(port)))


class StoppedListener:
    """A listener that has nothing to stop."""

    async def stop(self) -> None:
        pass


async def settle() -> None:
    """Let the event loop run what is ready."""
    for _ in range(20):
        await asyncio.sleep(0)


class TestSideBySide:
    """Requests run beside the one before them; each response waits for its turn."""

    async def test_requests_behind_a_slow_one_run_at_once_and_are_answered_in_order(self):
        # Before, each request reached a server only after the response of the one before it.
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a", "b", "c", "d"))
            await gates.wait_for("a", "b", "c", "d")
            gates.open("d", "c", "b", "a")
            assert await caller.read_bodies(4) == [b"a", b"b", b"c", b"d"]

    async def test_request_that_arrives_later_runs_beside_the_first(self):
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a"))
            await gates.wait_for("a")
            caller.send(heads("b"))
            await gates.wait_for("b")
            gates.open("b", "a")
            assert await caller.read_bodies(2) == [b"a", b"b"]

    async def test_nothing_starts_early_where_callers_do_not_pipeline(self):
        async with pipelining_world() as (world, gates, caller, _):
            for request_id in ("a", "b", "c"):
                gates.open(request_id)
                caller.send(heads(request_id))
                assert (await caller.read()).body == request_id.encode()
            assert world.server.pipelining.started == 0

    async def test_a_failed_request_neither_loses_nor_delays_later_ones(self):
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a") + head("b", "GET", "Request-Deadline-Ms: x") + heads("c"))
            await gates.wait_for("a", "c")
            gates.open("a", "c")
            responses = [await caller.read() for _ in range(3)]
            assert [one.status for one in responses] == [200, 400, 200]
            assert not any(one.closes for one in responses)

    @pytest.mark.parametrize(
        "first",
        [
            head("a", "POST", "Content-Length: 2") + b"xx",
            head("a", "DELETE"),
        ],
    )
    async def test_requests_behind_one_that_is_not_safe_wait(self, first):
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(first + heads("b", "c"))
            await gates.wait_for("a")
            await settle()
            assert gates.arrived == ["a"]
            gates.open("a")
            await gates.wait_for("b", "c")
            gates.open("b", "c")
            assert await caller.read_bodies(3) == [b"a", b"b", b"c"]

    async def test_request_with_a_body_waits_for_its_turn(self):
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a") + head("b", "POST", "Content-Length: 2") + b"xx" + heads("c"))
            await gates.wait_for("a")
            await settle()
            assert gates.arrived == ["a"]
            gates.open("a", "b", "c")
            assert await caller.read_bodies(3) == [b"a", b"b", b"c"]
            assert gates.arrived == ["a", "b", "c"]

    async def test_request_that_may_run_once_waits_for_its_turn(self):
        # A GET on such a route must not run if the response before it closes the connection.
        async with pipelining_world(route=NON_REPEATABLE) as (_, gates, caller, _):
            caller.send(heads("a", "b"))
            await gates.wait_for("a")
            await settle()
            assert gates.arrived == ["a"]
            gates.open("a", "b")
            assert await caller.read_bodies(2) == [b"a", b"b"]


class TestChangesOfTheConfiguration:
    """Each request follows the configuration that is in force when it starts."""

    async def test_route_that_becomes_one_whose_requests_may_run_once(self):
        async with pipelining_world() as (world, gates, caller, _):
            caller.send(heads("a", "b"))
            await gates.wait_for("a", "b")
            world.steering_state.configuration = Configuration(
                2, [NON_REPEATABLE], [ServiceRule(name="catalogue")]
            )
            caller.send(heads("c"))
            await settle()
            assert gates.arrived == ["a", "b"]
            gates.open("a", "b", "c")
            assert await caller.read_bodies(3) == [b"a", b"b", b"c"]

    async def test_removed_route_does_not_affect_requests_that_run(self):
        async with pipelining_world() as (world, gates, caller, _):
            caller.send(heads("a", "b"))
            await gates.wait_for("a", "b")
            world.steering_state.configuration = Configuration(
                2, [], [ServiceRule(name="catalogue")]
            )
            world.steering_state.retry_budgets.clear()
            caller.send(heads("c"))
            gates.open("a", "b")
            responses = [await caller.read() for _ in range(3)]
            assert [one.status for one in responses] == [200, 200, 404]
            assert not any(one.closes for one in responses)


class TestCallerThatDisconnects:
    """All of its requests are cancelled, also those whose response waits for its turn."""

    async def test_all_its_requests_are_cancelled(self):
        async with pipelining_world() as (world, gates, caller, _):
            caller.send(heads("a", "b", "c", "d"))
            await gates.wait_for("a", "b", "c", "d")
            gates.open("b")
            await settle()
            caller.writer.close()
            await until(lambda: set(gates.cancelled) == {"a", "c", "d"})
            await until(lambda: not world.forwarder.in_flight)
            assert not world.server.busy

    async def test_they_are_cancelled_while_the_connection_is_not_read(self):
        # aiohttp stops reading once its queue is full, and sees no close.
        async with pipelining_world() as (world, gates, caller, _):
            caller.send(heads(*(f"r{number}" for number in range(200))))
            await gates.wait_for("r0", "r1")
            caller.writer.transport.abort()
            await until(lambda: not world.forwarder.in_flight)
            await until(lambda: sorted(gates.cancelled) == sorted(gates.arrived))


class TestClosing:
    """Requests behind a response that closes are not forwarded; forwarded ones are answered."""

    async def test_requests_behind_one_that_asks_to_close_are_not_forwarded(self):
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a") + head("b", "GET", "Connection: close"))
            await gates.wait_for("a", "b")
            caller.send(heads("c"))
            await settle()
            gates.open("a", "b", "c")
            assert [(await caller.read()).closes for _ in range(2)] == [False, True]
            assert await caller.is_closed()
            assert gates.arrived == ["a", "b"]

    async def test_forwarded_requests_are_answered_when_the_host_leaves(self):
        # The response that closed the connection used to be the first one after the signal.
        async with pipelining_world() as (world, gates, caller, _):
            caller.send(heads("a", "b", "c"))
            await gates.wait_for("a", "b", "c")
            gates.open("c")
            await settle()
            world.forwarder.leaving = True
            caller.send(heads("d"))
            gates.open("a", "b", "d")
            responses = [await caller.read() for _ in range(3)]
            assert [one.body for one in responses] == [b"a", b"b", b"c"]
            assert [one.closes for one in responses] == [False, False, True]
            assert await caller.is_closed()
            assert "d" not in gates.arrived

    async def test_shutdown_delivers_forwarded_requests_and_closes(self):
        limits = LimitSettings(shutdown_lookup_s=0.0, shutdown_s=20.0)
        async with pipelining_world() as (world, gates, caller, _):
            caller.send(heads("a", "b", "c"))
            await gates.wait_for("a", "b", "c")
            gates.open("b")
            shutdown = Shutdown(world.forwarder, world.server, StoppedListener(), limits)
            stopping = asyncio.create_task(shutdown.run())
            await until(lambda: world.forwarder.leaving)
            caller.send(heads("d"))
            await asyncio.sleep(0.3)
            gates.open("a", "c", "d")
            assert await caller.read_bodies(3) == [b"a", b"b", b"c"]
            assert await caller.is_closed()
            await stopping
            assert "d" not in gates.arrived

    async def test_an_error_of_the_host_loses_no_request_that_was_forwarded(self, monkeypatch):
        original = PlatformHeaderCodec.read_request

        def fail_for_one(self, headers):
            if headers["Request-Id"] == "b":
                raise ArithmeticError
            return original(self, headers)

        monkeypatch.setattr(PlatformHeaderCodec, "read_request", fail_for_one)
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a", "b", "c"))
            await gates.wait_for("a", "c")
            caller.send(heads("d"))
            await gates.wait_for("d")
            gates.open("a")
            assert (await caller.read()).body == b"a"
            error = await caller.read()
            assert (error.status, error.closes) == (500, False)
            caller.send(heads("e"))
            gates.open("c", "d", "e")
            responses = [await caller.read() for _ in range(2)]
            assert [one.closes for one in responses] == [False, True]
            assert await caller.is_closed()
            assert "e" not in gates.arrived

    async def test_a_request_that_may_run_once_is_not_run_behind_a_response_that_closes(self):
        async with pipelining_world(route=NON_REPEATABLE) as (world, gates, caller, _):
            caller.send(heads("a", "b"))
            await gates.wait_for("a")
            world.forwarder.leaving = True
            gates.open("a", "b")
            assert (await caller.read()).closes
            assert await caller.is_closed()
            await until(lambda: not world.forwarder.in_flight)
            assert gates.arrived == ["a"]

    async def test_requests_before_one_that_cannot_be_parsed_are_answered(self):
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a", "b"))
            await gates.wait_for("a", "b")
            caller.send(b"nonsense\r\n\r\n" + heads("c"))
            await settle()
            gates.open("a", "b", "c")
            responses = [await caller.read() for _ in range(3)]
            assert [one.status for one in responses] == [200, 200, 400]
            assert await caller.is_closed()
            assert "c" not in gates.arrived

    @pytest.mark.parametrize("further", [b"nonsense\r\n\r\n", b"G\x00T / HTTP/1.1\r\n\r\n"])
    async def test_they_are_answered_if_they_come_in_one_segment(self, further):
        # The parser dropped the requests before the error, and the first response was its 400.
        async with pipelining_world() as (_, gates, caller, _):
            gates.open("a", "b")
            caller.send(heads("a", "b") + further + heads("c"))
            responses = [await caller.read() for _ in range(3)]
            assert [one.status for one in responses] == [200, 200, 400]
            assert await caller.is_closed()
            assert gates.arrived == ["a", "b"]

    async def test_request_that_asks_to_close_is_answered_if_more_follows(self):
        async with pipelining_world() as (_, gates, caller, _):
            gates.open("a", "b", "c")
            caller.send(heads("a") + head("b", "GET", "Connection: close") + heads("c"))
            assert await caller.read_bodies(2) == [b"a", b"b"]
            assert await caller.is_closed()
            assert gates.arrived == ["a", "b"]

    async def test_a_refusal_does_not_drop_the_body_of_another_request(self):
        # The connection closed after the refusal, with a request behind it at a server.
        body_bytes = 4 * DISCARDED_BYTES_MIN
        upload = head("c", "POST", f"Content-Length: {body_bytes}")
        async with pipelining_world() as (_, gates, caller, _):
            unknown = heads("a").replace(b"/devices/", b"/unknown/")
            caller.send(unknown + heads("b") + upload + bytes(10))
            assert (await caller.read())[:2] == (404, False)
            await gates.wait_for("b")
            caller.send(bytes(body_bytes - 10))
            gates.open("b", "c")
            assert await caller.read_bodies(2) == [b"b", b"c"]

    async def test_requests_before_a_malformed_body_are_answered(self):
        # The connection closed after the first response, with the second request at a server.
        upload = head("c", "POST", "Transfer-Encoding: chunked") + b"no size\r\n"
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a", "b"))
            await gates.wait_for("a", "b")
            caller.send(upload)
            await settle()
            gates.open("a", "b")
            assert await caller.read_bodies(2) == [b"a", b"b"]
            assert (await caller.read())[:2] == (400, True)
            assert await caller.is_closed()
            assert gates.arrived == ["a", "b"]


class TestTimes:
    """The time and the deadline of a request count from its arrival."""

    async def test_deadline_counts_from_the_arrival_of_the_head(self):
        # A request that waited for its turn got the whole time again, and ran for a caller that
        # had given up.
        async with pipelining_world(route=NON_REPEATABLE) as (_, gates, caller, _):
            caller.send(heads("a") + head("b", "GET", "Request-Deadline-Ms: 30"))
            await gates.wait_for("a")
            await asyncio.sleep(0.06)
            gates.open("a", "b")
            assert [(await caller.read()).status for _ in range(2)] == [200, 503]
            assert gates.arrived == ["a"]

    async def test_recorded_time_includes_the_wait_behind_others(self, monkeypatch):
        recorded: list[tuple[str, float, float]] = []
        held_s: dict[str, float] = {}

        def record(self, context, now):
            recorded.append((context.metadata.request_id, context.arrived_at, now))
            held_s[context.metadata.request_id] = context.held_s

        monkeypatch.setattr(AccessLog, "record", record)
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a", "b"))
            await gates.wait_for("a", "b")
            gates.open("b")
            await settle()
            assert recorded == []
            answered_at = uptime.now()
            gates.open("a")
            assert await caller.read_bodies(2) == [b"a", b"b"]
            assert [request_id for request_id, _, _ in recorded] == ["a", "b"]
            assert all(arrived < answered_at <= ended for _, arrived, ended in recorded)
            assert held_s["b"] > held_s["a"]


class TestBounds:
    """Bounds delay requests and refuse none."""

    async def test_bound_of_a_connection(self, monkeypatch):
        monkeypatch.setattr(pipelining, "EARLY_PER_CONNECTION_MAX", 2)
        async with pipelining_world() as (_, gates, caller, _):
            caller.send(heads("a", "b", "c", "d", "e"))
            await gates.wait_for("a", "b", "c")
            await settle()
            assert len(gates.arrived) == 3
            gates.open("a")
            await gates.wait_for("d")
            assert "e" not in gates.arrived
            gates.open("b", "c", "d", "e")
            assert await caller.read_bodies(5) == [b"a", b"b", b"c", b"d", b"e"]

    async def test_bound_of_the_host_is_shared_by_connections(self, monkeypatch):
        # A connection that waits for the bound starts its next request when another one ends.
        monkeypatch.setattr(pipelining, "EARLY_PER_HOST_MAX", 1)
        async with pipelining_world() as (world, gates, caller, _):
            other = await connect(world)
            caller.send(heads("a", "b"))
            await gates.wait_for("a", "b")
            other.send(heads("c", "d"))
            await gates.wait_for("c")
            await settle()
            assert "d" not in gates.arrived
            gates.open("a", "b")
            assert await caller.read_bodies(2) == [b"a", b"b"]
            await gates.wait_for("d")
            gates.open("c", "d")
            assert await other.read_bodies(2) == [b"c", b"d"]
            other.writer.close()

    async def test_responses_that_wait_count_as_memory(self, monkeypatch):
        monkeypatch.setattr(pipelining, "HELD_BYTES_MAX", 1)
        async with pipelining_world() as (world, gates, caller, _):
            held = world.server.pipelining
            held.mean_bytes = 0.0
            caller.send(heads("a", "b"))
            await gates.wait_for("a", "b")
            gates.open("b")
            await until(lambda: held.held_bytes)
            assert world.forwarder.pool.memory.buffered_bytes == 1
            caller.send(heads("c"))
            await settle()
            assert "c" not in gates.arrived
            gates.open("a", "c")
            assert await caller.read_bodies(3) == [b"a", b"b", b"c"]
            assert (held.held_bytes, world.forwarder.pool.memory.buffered_bytes) == (0, 0)

    async def test_large_responses_are_expected_of_running_requests(self):
        # Otherwise 128 running requests could together return more than the host's memory.
        async with pipelining_world() as (world, gates, caller, _):
            world.server.pipelining.mean_bytes = pipelining.HELD_BYTES_MAX / 2
            caller.send(heads("a", "b", "c", "d"))
            await gates.wait_for("a", "b", "c")
            await settle()
            assert len(gates.arrived) == 3
            gates.open("a", "b", "c", "d")
            assert await caller.read_bodies(4) == [b"a", b"b", b"c", b"d"]
            assert world.server.pipelining.mean_bytes < pipelining.HELD_BYTES_MAX / 2


class RandomPlay:
    """Random requests in random segments on one connection, answered in random order.

    :param sent: ids of the requests in the order in which they were sent.
    """

    def __init__(self, seed: int, gates: Gates, caller: Caller) -> None:
        self.rng = random.Random(seed)
        self.gates = gates
        self.caller = caller
        self.sent = [f"r{number}" for number in range(self.rng.randint(2, 20))]
        self.answered: list[Response] = []

    def make_request(self, request_id: str) -> bytes:
        kind = self.rng.choice(["GET"] * 6 + ["POST", "DELETE", "invalid"])
        if kind == "POST":
            return head(request_id, "POST", "Content-Length: 3") + b"xyz"
        if kind == "invalid":
            return head(request_id, "GET", "Request-Deadline-Ms: x")
        return head(request_id, kind)

    async def send(self) -> None:
        data = b"".join(map(self.make_request, self.sent))
        while data:
            size = self.rng.randint(1, 400)
            self.caller.send(data[:size])
            data = data[size:]
            await asyncio.sleep(0)

    async def open_gates(self, leave: t.Callable[[], None]) -> None:
        leaves_after = self.rng.randint(0, 3 * len(self.sent))
        for step in range(10_000):
            if step == leaves_after:
                leave()
            waiting = [one for one in self.gates.arrived if not self.gates.gates[one].is_set()]
            if waiting:
                self.gates.open(self.rng.choice(waiting))
            await asyncio.sleep(0.001 * self.rng.random())

    async def read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            for _ in self.sent:
                self.answered.append(await self.caller.read())
                if self.answered[-1].closes:
                    break


class TestRandomPlays:
    """Whatever is sent, answered and closed in which order."""

    @pytest.mark.parametrize("seed", range(24))
    async def test_responses_are_in_order_and_no_forwarded_request_is_lost(self, seed):
        async with pipelining_world() as (world, gates, caller, _):
            play = RandomPlay(seed, gates, caller)

            def leave() -> None:
                world.forwarder.leaving = True

            opening = asyncio.create_task(play.open_gates(leave))
            sending = asyncio.create_task(play.send())
            await play.read()
            await sending
            opening.cancel()
            answered = play.sent[: len(play.answered)]
            for request_id, response in zip(answered, play.answered, strict=True):
                expected = {200: request_id.encode()}.get(response.status, response.body)
                assert response.body == expected
            assert set(gates.arrived) <= set(answered)
            assert len(gates.arrived) == len(set(gates.arrived))
            assert len(answered) == len(play.sent) or play.answered[-1].closes
            await until(lambda: not world.forwarder.in_flight)
            state = world.server.pipelining
            assert (len(state.running), state.held_bytes, len(state.waiting)) == (0, 0, 0)

    @pytest.mark.parametrize("seed", range(8))
    async def test_nothing_is_left_when_the_caller_disconnects(self, seed):
        async with pipelining_world() as (world, gates, caller, _):
            play = RandomPlay(seed, gates, caller)
            await play.send()
            await settle()
            for request_id in gates.arrived[1::2]:
                gates.open(request_id)
            for _ in range(play.rng.randint(0, 50)):
                await asyncio.sleep(0)
            caller.writer.transport.abort()
            await until(lambda: not world.forwarder.in_flight)
            await until(lambda: not world.server.open_connections)
            state = world.server.pipelining
            assert (len(state.running), state.held_bytes, len(state.waiting)) == (0, 0, 0)
            assert not world.server.busy
            states = world.steering_state.selector.states.values()
            assert not any(one.in_flight for one in states)
