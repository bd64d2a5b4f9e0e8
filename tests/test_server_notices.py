"""What backend servers say in their responses: that they leave, or that they want a pause."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from aiohttp import web
from entry_world import reply, running, shed
from prometheus_client import CollectorRegistry
from steering_world import T0, make_route, make_selector, make_server

from radishbridge.entry import uptime
from radishbridge.entry.notice_metrics import NoticeCollector
from radishbridge.platform.headers import PlatformHeaderCodec
from radishbridge.steering import RetryBudget, ServerCriteria
from radishbridge.steering.notices import (
    NOTICES_MAX,
    PAUSE_MAX_S,
    RETURN_RAMP_S,
    RETURN_SPREAD_MAX_S,
    Notice,
)

CRITERIA = ServerCriteria("catalogue", "7", None, None)


def chosen(selector, now: float = T0) -> set[str]:
    """Return the servers that are chosen for many objects."""
    states = (selector.choose(CRITERIA._replace(key=str(key)), (), now) for key in range(40))
    return {state.server.name for state in states if state is not None}


def return_at(selector, number: int = 0) -> float:
    return selector.notices.by_name[f"server-{number}"].paused_until


class TestLeaving:
    """The word of one incarnation, whatever the store or another host says."""

    def test_server_gets_no_requests_and_is_known_once(self):
        selector = make_selector(3)
        state = selector.states["server-0"]
        assert selector.record_leaving(state.server)
        assert not selector.record_leaving(state.server)
        assert chosen(selector) == {"server-1", "server-2"}
        assert not selector.takes_requests(state, T0)
        assert selector.notices.counts == {("catalogue", "leaving"): 1}

    @pytest.mark.parametrize("incarnation", [1, 0])
    def test_entry_of_the_same_incarnation_does_not_undo_it(self, incarnation):
        selector = make_selector(2, incarnation=incarnation)
        selector.record_leaving(make_server(0, incarnation=incarnation))
        selector.put(make_server(0, incarnation=incarnation, slots=8), T0 + 1.0)
        assert chosen(selector) == {"server-1"}
        # The entry expires during an outage of the store, and is back afterwards.
        selector.remove("server-0")
        selector.put(make_server(0, incarnation=incarnation), T0 + 9.0)
        assert chosen(selector) == {"server-1"}

    def test_entry_of_an_earlier_incarnation_does_not_undo_it(self):
        selector = make_selector(2, incarnation=5)
        selector.record_leaving(make_server(0, incarnation=5))
        selector.put(make_server(0, incarnation=4), T0 + 1.0)
        assert chosen(selector) == {"server-1"}

    @pytest.mark.parametrize("address", ["10.0.0.0:80", "10.9.9.9:80"])
    def test_next_incarnation_starts_clean(self, address):
        selector = make_selector(2)
        selector.record_leaving(make_server(0))
        selector.put(make_server(0, incarnation=2, address=address), T0 + 1.0)
        assert chosen(selector) == {"server-0", "server-1"}

    def test_late_response_of_the_earlier_incarnation_does_not_affect_the_next(self):
        selector = make_selector(2)
        selector.record_leaving(make_server(0, incarnation=2))
        selector.put(make_server(0, incarnation=3), T0)
        selector.record_leaving(make_server(0, incarnation=2))
        assert chosen(selector) == {"server-0", "server-1"}

    def test_another_server_at_its_address_starts_clean(self):
        selector = make_selector(1)
        selector.record_leaving(make_server(0))
        selector.remove("server-0")
        selector.put(make_server(9, address=make_server(0).address), T0)
        assert chosen(selector) == {"server-9"}

    def test_notices_are_bounded(self):
        selector = make_selector(1)
        for number in range(NOTICES_MAX + 10):
            selector.record_leaving(make_server(number))
        assert len(selector.notices.by_name) == NOTICES_MAX


class TestPause:
    """A full server turns requests away, and all callers would return at once when it has room."""

    def test_server_gets_no_requests_until_the_pause_ends(self):
        selector = make_selector(2)
        assert selector.record_pause(make_server(0), 4.0, T0)
        assert chosen(selector, T0 + 3.9) == {"server-1"}
        assert T0 + 4.0 <= return_at(selector) <= T0 + 4.0 + RETURN_SPREAD_MAX_S
        assert "server-0" in chosen(selector, return_at(selector) + RETURN_RAMP_S)

    def test_no_server_is_chosen_while_all_are_paused(self):
        selector = make_selector(2)
        for number, pause_s in enumerate((4.0, 2.0)):
            selector.record_pause(make_server(number), pause_s, T0)
        selector.states["server-0"].eject(T0)
        assert not chosen(selector, T0 + 1.0)
        assert not selector.has_room(CRITERIA, T0 + 1.0)
        wait_s = selector.seconds_until_pause_ends(CRITERIA, T0)
        assert wait_s == pytest.approx(return_at(selector, 1) - T0)

    def test_overlapping_pauses_extend_each_other_and_never_shorten(self):
        selector = make_selector(1)
        selector.record_pause(make_server(0), 4.0, T0)
        first_end = return_at(selector)
        assert not selector.record_pause(make_server(0), 1.0, T0 + 1.0)
        assert return_at(selector) == first_end
        selector.record_pause(make_server(0), 4.0, T0 + 2.0)
        assert return_at(selector) >= T0 + 6.0

    def test_load_returns_by_steps(self):
        selector = make_selector(1, slots=20)
        state = selector.states["server-0"]
        selector.record_pause(state.server, 2.0, T0)
        end = return_at(selector)
        sent = []
        for since_s in (0.0, 0.25, 0.5, 0.75, 1.0):
            while selector.choose(CRITERIA, (), end + since_s * RETURN_RAMP_S) is not None:
                state.start(end)
            sent.append(state.in_flight)
        assert sent[0] == 1
        assert sent == sorted(set(sent))

    def test_hosts_return_at_different_times(self):
        ends = set()
        for number in range(20):
            selector = make_selector(1)
            selector.slow_start.host = f"host-{number}"
            selector.record_pause(make_server(0), 4.0, T0)
            ends.add(round(return_at(selector), 1))
        assert len(ends) >= 5

    def test_pause_without_end_is_bounded_and_ends_with_the_incarnation(self):
        selector = make_selector(1)
        selector.record_pause(make_server(0), 31_536_000.0, T0)
        assert not chosen(selector, T0 + PAUSE_MAX_S - 1.0)
        assert chosen(selector, T0 + PAUSE_MAX_S + 10.0)
        selector.put(make_server(0, incarnation=2), T0 + 1.0)
        assert chosen(selector, T0 + 1.0)

    def test_pause_outlasts_the_entry(self):
        selector = make_selector(1)
        selector.record_pause(make_server(0), 4.0, T0)
        selector.remove("server-0")
        selector.put(make_server(0), T0 + 1.0)
        assert not chosen(selector, T0 + 1.0)

    def test_server_without_a_notice_has_no_limit(self):
        assert Notice(make_server(0)).in_flight_limit(4, T0) == float("inf")


class TestMetrics:
    """Operators see how many servers leave or are paused."""

    def test_servers_are_counted_by_service_and_notice(self):
        selector = make_selector(3)
        registry = CollectorRegistry()
        registry.register(NoticeCollector(selector))
        selector.record_leaving(make_server(0))
        selector.record_pause(make_server(1), 60.0, uptime.now())
        selector.record_pause(make_server(1), 60.0, uptime.now())
        for notice in ("leaving", "paused"):
            labels = {"service": "catalogue", "notice": notice}
            assert registry.get_sample_value("radishbridge_server_notices_total", labels) == 1
            assert registry.get_sample_value("radishbridge_servers_by_notice", labels) == 1


class TestHeaders:
    """Each value has a defined meaning, however odd it is."""

    @staticmethod
    def read(status: int, *headers: tuple[str, str]):
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in headers]
        return PlatformHeaderCodec().read_notice(status, [*encoded, (b"Request-Id", b"r1")])

    @pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
    def test_leaving_counts_with_any_status(self, status):
        notice = self.read(status, ("server-leaving", " 1 "))
        assert notice is not None
        assert (notice.is_leaving, notice.request_id, notice.odd_header) == (True, "r1", "")

    @pytest.mark.parametrize("value", ["0", "", "true", "11", "ÿ", "1" * 5000])
    def test_other_values_of_leaving_do_not_count(self, value):
        notice = self.read(200, ("Server-Leaving", value))
        assert notice is not None
        assert not notice.is_leaving
        assert 0 < len(notice.odd_header) < 100

    @pytest.mark.parametrize(
        ("value", "pause_s"), [("4", 4.0), ("0.25", 0.25), (" 2. ", 2.0), ("0", 0.0), (".5", 0.5)]
    )
    def test_pause_is_a_number_of_seconds(self, value, pause_s):
        notice = self.read(503, ("Retry-After", value))
        assert notice is not None
        assert (notice.pause_s, notice.odd_header) == (pause_s, "")

    @pytest.mark.parametrize(
        "value",
        ["-1", "inf", "nan", "1e999", "soon", "", "٣", "Wed, 21 Oct 2026 07:28:00 GMT", "9" * 5000],
    )
    def test_other_values_are_no_pause(self, value):
        encoded = value.encode()
        notice = PlatformHeaderCodec().read_notice(503, [(b"Retry-After", encoded)])
        assert notice is not None
        assert notice.pause_s == 0.0
        assert 0 < len(notice.odd_header) < 100

    def test_longest_of_several_pauses_holds(self):
        headers = [("Retry-After", value) for value in ("1", "soon", "3", "2")]
        notice = self.read(503, *headers)
        assert notice is not None
        assert notice.pause_s == 3.0

    @pytest.mark.parametrize("status", [200, 302, 429, 500])
    def test_retry_after_with_another_status_says_nothing_of_the_server(self, status):
        assert self.read(status, ("Retry-After", "4")) is None


def pausing(seconds: str):
    return reply(503, b"", Not_Executed="1", Server_Load="4,12,4", Retry_After=seconds)


def leaving(status: int = 200, **headers: str):
    return reply(status, Server_Leaving="1", **headers)


async def send(world, count: int) -> list[int]:
    return [(await world.request(Affinity_Key=str(number)))[0] for number in range(count)]


async def slow_body(request):
    """Send the head of a response that says that the server leaves, and the body later."""
    response = web.StreamResponse(
        headers={
            "Request-Id": request.headers["Request-Id"],
            "Response-Signature": "signed",
            "Server-Leaving": "1",
        }
    )
    await response.prepare(request)
    await response.write(b"first")
    await asyncio.sleep(0.5)
    await response.write(b"last")
    return response


class TestRequestsToALeavingServer:
    """Guards against sending requests to a server that has said in a response that it leaves."""

    @pytest.mark.parametrize(
        "responder", [leaving(), leaving(500), leaving(503, Not_Executed="1"), leaving(421)]
    )
    async def test_it_gets_no_more_after_its_first_response(self, responder):
        async with running(responder, reply()) as (world, backends):
            await send(world, 30)
            assert len(backends[0].requests) == 1
            address = world.steering_state.selector.states["server-0"].server.address
            assert not world.forwarder.pool.idle.get(address)

    async def test_the_head_of_its_response_is_enough(self):
        async with running(slow_body, reply()) as (world, backends):
            requests = asyncio.gather(
                *(world.request(Affinity_Key=str(number)) for number in range(8))
            )
            while not world.steering_state.selector.notices.by_name:
                await asyncio.sleep(0.01)
            before = len(backends[0].requests)
            await send(world, 20)
            assert len(backends[0].requests) == before
            assert {status for status, _, _ in await requests} == {200}

    async def test_requests_are_refused_at_once_if_all_servers_leave(self):
        async with running(leaving()) as (world, _):
            assert await send(world, 3) == [200, 503, 503]

    async def test_a_response_to_another_request_says_nothing(self):
        async with running(leaving(Request_Id="another"), reply()) as (world, _):
            await send(world, 4)
            assert not world.steering_state.selector.notices.by_name


class TestRequestsToAPausedServer:
    """Guards against sending requests to a server that has asked for a pause."""

    async def test_it_gets_none_before_the_pause_ends(self):
        async with running(pausing("30"), reply()) as (world, backends):
            assert set(await send(world, 30)) == {200}
            assert len(backends[0].requests) == 1

    async def test_requests_are_refused_until_the_first_pause_ends(self):
        async with running(pausing("30"), pausing("20")) as (world, backends):
            await send(world, 3)
            status, _, headers = await world.request()
            assert status == 503
            assert 19.0 < float(headers["Retry-After"]) < 30.0
            assert sum(len(backend.requests) for backend in backends) == 2

    async def test_it_gets_requests_again_after_the_pause(self):
        async with running(pausing("0.2")) as (world, backends):
            assert await send(world, 2) == [503, 503]
            backends[0].respond = reply()
            await asyncio.sleep(0.5)
            assert await send(world, 1) == [200]

    async def test_a_retry_that_is_not_sent_costs_no_token(self):
        async with running(shed(), shed(), route=make_route(attempts=4)) as (world, _):
            budget = RetryBudget(1.0, 100.0, 10.0, T0)
            world.steering_state.retry_budgets["catalogue"] = budget
            state = world.steering_state.selector.states["server-1"]
            state.server = msgspec.structs.replace(state.server, address="127.0.0.1:1")
            await send(world, 1)
            assert budget.granted == 0

    async def test_odd_value_is_logged_once(self, caplog):
        async with running(pausing("soon"), reply()) as (world, _):
            await send(world, 30)
        lines = [record for record in caplog.records if "not understood" in record.msg]
        assert len(lines) == 1
