"""What a host itself says of requests that did not run: it must be true, and stay true."""

from __future__ import annotations

import asyncio
import random
import time
import types
import typing as t

import pytest
from aiohttp.test_utils import make_mocked_request
from entry_world import GENEROUS_BOUNDS, reply, running, shed
from prometheus_client import CollectorRegistry
from steering_world import make_route, make_server

from radishbridge.entry import AccessLog, BackendPool, RequestForwarder, SteeringState, uptime
from radishbridge.entry.backends import CONNECT_TIMEOUT_S, BackendResponse
from radishbridge.entry.context import AttemptOutcome, RequestContext
from radishbridge.entry.refusals import REFUSAL_STATUSES, ServerAnswer
from radishbridge.entry.sent_ids import SentIds
from radishbridge.host.bounded import ClientLimits
from radishbridge.platform.headers import PlatformHeaderCodec
from radishbridge.records import CODE_INFO, Failure, LimitSettings, ResultCode
from radishbridge.steering import ServerState, WorkspaceRule

ONCE = make_route(timeout_s=3.0, attempts=3, repeatable=False)
REFUSING_CODES = [code for code, info in CODE_INFO.items() if info.http_status in REFUSAL_STATUSES]
UNSENT = (AttemptOutcome.UNSENT, None)
NOT_RUN = (AttemptOutcome.NOT_RUN, ServerAnswer(503, True, 1))
MAY_HAVE_RUN = (AttemptOutcome.MAY_HAVE_RUN, None)
FAILED = (AttemptOutcome.FAILED, ServerAnswer(500, False, 1))
ANSWERED = (AttemptOutcome.ANSWERED, ServerAnswer(503, False, 1))


@pytest.fixture
async def forwarder():
    """Return a forwarder without servers and without a network."""
    return RequestForwarder(
        SteeringState("host", None, GENEROUS_BOUNDS),
        PlatformHeaderCodec(),
        BackendPool(),
        None,
        AccessLog(CollectorRegistry()),
        LimitSettings(),
        random.Random(1),
    )


def make_context(*attempts: tuple[AttemptOutcome, ServerAnswer | None]) -> RequestContext:
    """Return the context of a request that may run once, after these attempts."""
    request = make_mocked_request("POST", "/devices/7", headers={"Request-Id": "r1"})
    request.transport.is_closing = lambda: False
    request.transport.get_extra_info = lambda name: None
    context = RequestContext(request, uptime.now())
    context.route = ONCE
    context.deadline = uptime.now() + 3.0
    context.attempts += [
        types.SimpleNamespace(outcome=outcome, answer=answer) for outcome, answer in attempts
    ]
    return context


class TestRefusalWithoutProof:
    """A refusal leaves only if every attempt is known not to have run, however it came about.

    Callers repeat a request after 408, 421, 429 and 503, so that it would run twice.
    """

    @pytest.mark.parametrize("code", REFUSING_CODES)
    @pytest.mark.parametrize(
        "attempts",
        [[MAY_HAVE_RUN], [FAILED], [ANSWERED], [NOT_RUN, MAY_HAVE_RUN], [MAY_HAVE_RUN, UNSENT]],
    )
    async def test_a_failure_becomes_502(self, forwarder, attempts, code):
        context = make_context(*attempts)
        response = forwarder._create_response(context, Failure(code, "no room"))
        assert (response.status, context.status) == (502, 502)
        assert context.code is ResultCode.BACKEND_FAILED
        assert "no room" in context.reason
        assert "Retry-After" not in response.headers

    @pytest.mark.parametrize("status", sorted(REFUSAL_STATUSES))
    @pytest.mark.parametrize("outcome", [ANSWERED, FAILED])
    async def test_a_servers_answer_becomes_502(self, forwarder, outcome, status):
        context = make_context(outcome)
        answer = BackendResponse(status, [(b"Response-Signature", b"s")], b"theirs")
        response = forwarder._create_response(context, answer)
        assert (response.status, context.code) == (502, ResultCode.BACKEND_FAILED)
        assert "Response-Signature" not in response.headers
        assert b"theirs" not in response.body
        registry = forwarder.access_log.registry
        name = "radishbridge_refusals_withheld_total"
        assert registry.get_sample_value(name, {"status": str(status)}) == 1.0

    @pytest.mark.parametrize("code", REFUSING_CODES)
    @pytest.mark.parametrize("attempts", [[], [UNSENT], [NOT_RUN], [UNSENT, NOT_RUN]])
    async def test_a_proven_refusal_leaves_unchanged(self, forwarder, attempts, code):
        response = forwarder._create_response(make_context(*attempts), Failure(code, "no room"))
        assert response.status == CODE_INFO[code].http_status

    @pytest.mark.parametrize("status", [200, 404, 500, 502, 504])
    async def test_other_answers_leave_unchanged(self, forwarder, status):
        response = forwarder._create_response(
            make_context(ANSWERED), BackendResponse(status, [], b"theirs")
        )
        assert response.status == status


class RecordingConnection:
    """A connection to a server that records what is sent on it."""

    transport = None
    must_close = False
    requests = 0

    def __init__(self) -> None:
        self.sent = 0

    async def exchange(self, *_: object) -> Failure:
        self.sent += 1
        return Failure(ResultCode.BACKEND_FAILED, "not a real server")

    def was_dropped_while_idle(self, *_: object) -> bool:
        return False


def make_pool(connect: t.Callable[..., t.Any]) -> types.SimpleNamespace:
    """Return a pool whose connections a function makes."""
    return types.SimpleNamespace(
        open=connect, acquire=connect, release=lambda *_: None, sent_ids=SentIds()
    )


class TestNothingIsSentAfterTheResponse:
    """An attempt that still connects when its request is answered must not send it any more."""

    @pytest.mark.parametrize("is_answered", [False, True])
    async def test_an_attempt_checks_when_it_sends(self, forwarder, monkeypatch, is_answered):
        state = ServerState(make_server(1), uptime.now())
        context = make_context()
        connection = RecordingConnection()

        async def connect(*_: object) -> RecordingConnection:
            if is_answered:
                refusal = Failure(ResultCode.NO_BACKEND, "no room")
                assert forwarder._create_response(context, refusal).status == 503
            return connection

        forwarder.pool = make_pool(connect)
        monkeypatch.setattr(
            type(forwarder.steering_state.selector), "takes_requests", lambda *_: True
        )
        await forwarder._create_attempt(context, state).run()
        assert connection.sent == (0 if is_answered else 1)
        assert context.may_have_run is not is_answered

    async def test_nothing_happens_between_the_check_and_the_send(self, forwarder, monkeypatch):
        # Otherwise the request could be answered in between.
        steps: list[str] = []

        class Connection(RecordingConnection):
            async def exchange(self, *_: object) -> Failure:
                steps.append("sent")
                return await super().exchange()

        def check(*_: object) -> None:
            steps.append("checked")
            asyncio.get_running_loop().call_soon(steps.append, "other work")

        async def connect(*_: object) -> RecordingConnection:
            return Connection()

        monkeypatch.setattr(RequestForwarder, "_check_before_send", check)
        monkeypatch.setattr(
            type(forwarder.steering_state.selector), "takes_requests", lambda *_: True
        )
        forwarder.pool = make_pool(connect)
        state = ServerState(make_server(1), uptime.now())
        await forwarder._create_attempt(make_context(), state).run()
        assert steps == ["checked", "sent"]


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.removeprefix("http://").rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send(address: str, *parts: bytes, pause_s: float = 0.05, wait_s: float = 5.0) -> bytes:
    """Send bytes with pauses between the parts; return what comes until the connection ends."""
    reader, writer = await connect(address)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(pause_s)
    try:
        async with asyncio.timeout(wait_s):
            return await reader.read()
    finally:
        writer.close()


def post(*headers: bytes, path: bytes = b"/devices/7") -> bytes:
    """Return a request whose response ends its connection."""
    lines = [b"POST %s HTTP/1.1" % path, b"Host: one.example", b"Connection: close", *headers]
    return b"\r\n".join([*lines, b"Content-Length: 0", b"", b""])


def ids_in(response: bytes) -> list[bytes]:
    lines = response.partition(b"\r\n\r\n")[0].split(b"\r\n")
    pairs = (line.partition(b": ") for line in lines)
    return [value for name, _, value in pairs if name.lower() == b"request-id"]


class TestRefusalsNameTheirRequest:
    """A refusal of the host carries the request's id, as servers' responses do.

    Several callers may share a connection. Without the id, a refusal of a request that one of them
    gave up could be taken for the response to the next one, which runs.
    """

    @pytest.mark.parametrize(
        ("headers", "ids"),
        [
            ([b"Request-Id: r1"], [b"r1"]),
            ([b"request-ID:   r1  "], [b"r1"]),
            ([b"Request-Id: \xc3\xa9"], [b"\xc3\xa9"]),
            ([b"Request-Id: a\tb"], [b"a\tb"]),
            ([], []),
            ([b"Request-Id:"], []),
            ([b"Request-Id: r1", b"Request-Id: r2"], []),
        ],
    )
    @pytest.mark.parametrize("is_starting", [False, True])
    async def test_the_id_is_echoed_once(self, headers, ids, is_starting):
        async with running(route=ONCE) as (world, _):
            if is_starting:
                world.steering_state.configuration = None
            response = await send(world.url, post(*headers))
        assert response.startswith(b"HTTP/1.1 503 ")
        assert ids_in(response) == ids

    @pytest.mark.parametrize(("path", "status"), [(b"/devices/7", b"401"), (b"/none", b"404")])
    async def test_every_failure_of_the_host_has_it(self, path, status):
        school = WorkspaceRule(name="school")
        async with running(route=ONCE, workspaces=[school], keys={"k": "school"}) as (world, _):
            response = await send(world.url, post(b"Request-Id: r1", path=path))
        assert response[9:12] == status
        assert ids_in(response) == [b"r1"]

    async def test_an_error_inside_the_host_has_it(self, monkeypatch):
        monkeypatch.setattr(RequestForwarder, "_check_request", None)
        async with running(route=ONCE) as (world, _):
            response = await send(world.url, post(b"Request-Id: r1"))
        assert response[9:12] == b"500"
        assert ids_in(response) == [b"r1"]

    @pytest.mark.parametrize(
        "value", [b"\xff", b"a\x85", b"a\x00b", b"a\x01b", b"a\rSet-Cookie: b", b"a\n b", b"a\x7f"]
    )
    async def test_a_malformed_id_is_neither_echoed_nor_splits_the_head(self, value):
        async with running(route=ONCE) as (world, _):
            response = await send(world.url, post(b"Request-Id: " + value))
        assert response[9:12] == b"400"
        assert ids_in(response) == []
        assert b"Set-Cookie" not in response


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
IDLE_S = 0.3


class TestBodyThatDoesNotArriveWhole:
    """A request whose body stops or is malformed is refused, and reaches no server.

    A failure counts as false, so that ``failure or body`` was the part of the body that had come.
    """

    HEAD = b"POST /devices/7 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\n"

    @pytest.mark.parametrize(
        ("parts", "status"),
        [
            ([b"Content-Length: 10\r\n\r\n12345"], b"408"),
            ([b"Content-Length: 100000\r\n\r\n12345"], b"408"),
            ([CHUNKED + b"5\r\n12345\r\n"], b"408"),
            ([CHUNKED + b"5\r\n123"], b"408"),
            ([CHUNKED + b"no size\r\n"], b"400"),
            ([CHUNKED + b"5\r\n12345\r\n", b"no size\r\n"], b"400"),
            ([CHUNKED, b"5\r\n12345\r\nno size\r\n"], b"400"),
            ([CHUNKED, b"5\r\n12345\r\n0;" + b"x" * 2_000], b"400"),
        ],
    )
    async def test_nothing_is_forwarded(self, parts, status):
        async with running(reply(), route=ONCE) as (world, backends):
            world.forwarder.body_reader.limits = LimitSettings(idle_s=IDLE_S)
            first, *others = parts
            response = await send(world.url, self.HEAD + first, *others)
        assert response[9:12] == status
        assert ids_in(response) == [b"r1"]
        assert backends[0].requests == []


class TestPausedProcess:
    """A process that is stopped for a while finds timers that are due beside bytes that came."""

    async def test_a_connection_made_meanwhile_is_closed_without_sending(self, monkeypatch):
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def connect_while_paused(*arguments):
            loop.call_soon(time.sleep, CONNECT_TIMEOUT_S + 0.05)
            return await create_connection(*arguments)

        async with running(reply(), route=ONCE) as (world, backends):
            client = asyncio.create_task(send(world.url, post(b"Request-Id: r1")))
            # The caller has begun to connect, with the loop's own method.
            await asyncio.sleep(0.0)
            monkeypatch.setattr(loop, "create_connection", connect_while_paused, raising=False)
            response = await client
            await asyncio.sleep(0.05)
        assert response[9:12] == b"503"
        assert b"TimeoutError" in response
        assert backends[0].requests == []

    @pytest.mark.parametrize("delay_ms", range(0, 40, 4))
    @pytest.mark.parametrize("sheds", [False, True])
    async def test_a_deadline_that_passes_meanwhile(self, delay_ms, sheds):
        async def respond_slowly(request):
            await asyncio.sleep(0.02)
            return await (shed() if sheds else reply())(request)

        route = make_route(timeout_s=0.1, attempts=3, repeatable=False)
        async with running(respond_slowly, respond_slowly, route=route) as (world, backends):
            client = asyncio.create_task(send(world.url, post(b"Request-Id: r1")))
            await asyncio.sleep(delay_ms / 1000.0)
            time.sleep(0.15)
            response = await client
            await asyncio.sleep(0.1)
        ran = not sheds and sum(len(backend.requests) for backend in backends)
        assert not ran or int(response[9:12]) not in REFUSAL_STATUSES


class TestClosedConnections:
    """A connection that the host ends by itself has no request at a server, then or later."""

    LIMITS = ClientLimits(header_bytes=16_384, header_s=1.0, idle_s=1.0)

    async def test_the_rest_of_a_head_that_timed_out_is_never_forwarded(self):
        request = post(b"Request-Id: r1")
        async with running(reply(), route=ONCE) as (world, backends):
            world.server.client_limits = lambda: self.LIMITS
            reader, writer = await connect(world.url)
            writer.write(request[:40])
            await asyncio.sleep(0.05)
            # The host was paused: the rest is in the kernel's buffer when the timer is due.
            writer.write(request[40:])
            world.server.now += 10.0
            world.server.sweep()
            response = await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.close()
        assert response[9:12] == b"408"
        assert backends[0].requests == []

    @pytest.mark.parametrize("steps", [0, 1, 2, 3, 5, 8, 13, 21])
    async def test_a_request_that_meets_the_idle_timeout(self, steps):
        async def respond(request):
            await asyncio.sleep(0.05)
            return await reply()(request)

        async with running(respond, route=ONCE) as (world, backends):
            world.server.client_limits = lambda: self.LIMITS
            reader, writer = await connect(world.url)
            await asyncio.sleep(0.05)
            world.server.now += 10.0
            world.server.connections[0].data_received(post(b"Request-Id: r1"))
            for _ in range(steps):
                await asyncio.sleep(0.0)
            world.server.sweep()
            response = await reader.read()
            await asyncio.sleep(0.05)
            writer.close()
        assert len(backends[0].requests) == (response[9:12] == b"200")

    async def test_a_timeout_of_a_head_does_not_overtake_the_response_before_it(self):
        gate = asyncio.Event()

        async def respond(request):
            await gate.wait()
            return await reply()(request)

        first = post(b"Request-Id: r1").replace(b"Connection: close\r\n", b"")
        async with running(respond, route=ONCE) as (world, backends):
            world.server.client_limits = lambda: self.LIMITS
            reader, writer = await connect(world.url)
            writer.write(first + first[:40])
            while not backends[0].requests:
                await asyncio.sleep(0.01)
            for _ in range(2):
                world.server.now += 10.0
                world.server.sweep()
            gate.set()
            assert (await reader.readuntil(b"good"))[9:12] == b"200"
            world.server.now += 10.0
            world.server.sweep()
            assert (await reader.read())[9:12] == b"408"
            writer.close()
        assert len(backends[0].requests) == 1
