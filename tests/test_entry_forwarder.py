from __future__ import annotations

import asyncio
import logging
import time

import msgspec
import pytest
from entry_world import hang_up, reply, running, shed, stall
from prometheus_client import CollectorRegistry, generate_latest
from steering_world import make_route

from radishbridge.entry.context import RequestContext
from radishbridge.entry.load_metrics import LoadCollector
from radishbridge.steering import Move, MoveOrder, RetryBudget, Selector, WorkspaceRule
from radishbridge.steering.load import RUN_SAMPLES_MIN


class TestAnswers:
    """Responses of backend servers reach the caller complete and unchanged, or not at all."""

    async def test_response_is_passed_on_complete(self):
        async with running(reply(200, b"x" * 300_000)) as (world, _):
            status, body, headers = await world.request()
            assert (status, len(body)) == (200, 300_000)
            assert headers["Response-Signature"] == "signed"

    async def test_server_error_of_non_repeatable_request_is_passed_on_unchanged(self):
        async with running(reply(500, b"broken"), route=make_route(repeatable=False)) as (world, _):
            status, body, headers = await world.request()
            assert (status, body, headers["Response-Signature"]) == (500, b"broken", "signed")

    @pytest.mark.parametrize(
        "foreign",
        [
            reply(200, b"evil", Request_Id="another"),
            reply(200, b"evil", Content_Encoding="gzip"),
            hang_up,
        ],
    )
    async def test_foreign_or_broken_response_is_replaced_by_a_failure(self, foreign):
        async with running(foreign, route=make_route(repeatable=False)) as (world, _):
            status, body, _ = await world.request()
            assert status == 502
            assert b"evil" not in body


class CountingBudget(RetryBudget):
    """Records the times of the requests that earn retry tokens."""

    def __init__(self, earned: list[float]) -> None:
        super().__init__(1.0, 100.0, 10.0, time.monotonic())
        self.earned = earned

    def record_request(self, now: float) -> None:
        self.earned.append(now)
        super().record_request(now)


class TestRepeats:
    """Requests are retried at other servers where a second run is allowed or excluded."""

    async def test_repeatable_request_is_retried_at_another_server(self):
        async with running(hang_up, reply()) as (world, backends):
            for number in range(6):
                assert (await world.request(Affinity_Key=str(number)))[0] == 200
            assert backends[0].requests

    async def test_non_repeatable_request_is_sent_once(self):
        route = make_route(repeatable=False)
        async with running(hang_up, hang_up, route=route) as (world, backends):
            assert (await world.request())[0] == 502
            assert sum(len(backend.requests) for backend in backends) == 1

    async def test_non_repeatable_request_is_retried_after_a_refusal_as_not_run(self):
        route = make_route(repeatable=False)
        async with running(shed(), reply(), route=route) as (world, _):
            statuses = {(await world.request(Affinity_Key=str(number)))[0] for number in range(6)}
            assert statuses == {200}

    async def test_attempts_are_limited_by_the_route(self):
        async with running(*[shed()] * 5, route=make_route(attempts=2)) as (world, backends):
            status, _, headers = await world.request()
            assert status == 503
            assert 0.0 < float(headers["Retry-After"]) < 1.0
            assert sum(len(backend.requests) for backend in backends) == 2

    async def test_request_earns_retry_tokens_once_although_several_connections_fail(self):
        async with running(reply(), reply()) as (world, _):
            earned = []
            for state in world.steering_state.selector.states.values():
                state.server = msgspec.structs.replace(state.server, address="127.0.0.1:1")
            world.steering_state.retry_budgets["catalogue"] = CountingBudget(earned)
            assert (await world.request())[0] == 503
            assert len(earned) == 1

    async def test_refusal_does_not_deny_that_an_earlier_attempt_may_have_run(self):
        async with running(hang_up, shed()) as (world, backends):
            for number in range(8):
                before = len(backends[0].requests)
                status, _, _ = await world.request(Affinity_Key=str(number))
                assert (status == 502) is (len(backends[0].requests) > before)


def read_metrics(selector: Selector) -> str:
    registry = CollectorRegistry()
    registry.register(LoadCollector(selector))
    return generate_latest(registry).decode()


class TestLoadReports:
    """Refusals and metrics of services whose servers report pace."""

    async def test_refusal_states_when_the_queue_is_short_enough(self, caplog):
        caplog.set_level("INFO")
        full = reply(Server_Load="4,400,4,100")
        async with running(full, full) as (world, _):
            selector = world.steering_state.selector
            assert (await world.request(Affinity_Key="1"))[0] == 200
            load = selector.loads["catalogue"]
            load.runs.cold_s, load.runs.samples = 0.1, RUN_SAMPLES_MIN
            load.mean_load = 100.0
            status, _, headers = await world.request(Affinity_Key="7")
            assert status == 503
            assert 0.15 <= float(headers["Retry-After"]) <= 0.4
            lines = [line for line in caplog.records if getattr(line, "refusal", "")]
            assert lines[0].expected_ms > 1_000
            metrics = read_metrics(selector)
            assert 'load_refusals_total{reason="deadline",service="catalogue"} 1.0' in metrics
            assert 'load_pace{service="catalogue"} 1.0' in metrics

    async def test_only_successful_responses_count_as_runs(self):
        # A server answers 404 without a run, which must not make its runs look short.
        missing = reply(404, Server_Load="0,0,4,100")
        async with running(missing, missing) as (world, _):
            for number in range(4):
                assert (await world.request(Affinity_Key=str(number)))[0] == 404
            assert world.steering_state.selector.loads["catalogue"].runs.samples == 0

    async def test_three_figures_add_no_series_and_no_field(self, caplog):
        caplog.set_level("INFO")
        with_load = reply(Server_Load="4,400,4")
        async with running(with_load, with_load) as (world, _):
            for number in range(30):
                await world.request(Affinity_Key=str(number))
            selector = world.steering_state.selector
            assert "catalogue" not in read_metrics(selector)
            assert not any(hasattr(line, "refusal") for line in caplog.records)


class TestSilentServers:
    """A backend server hangs while its connections stay open; repeatable requests are hedged."""

    def set_typical_latency(self, world) -> None:
        world.steering_state.selector.median_latencies = {"catalogue": 0.02}

    async def test_repeatable_request_is_hedged_to_another_server(self):
        async with running(stall, reply()) as (world, backends):
            self.set_typical_latency(world)
            for number in range(4):
                assert (await world.request(Affinity_Key=str(number)))[0] == 200
            assert backends[0].requests
            await asyncio.sleep(0.05)
            assert backends[0].cancelled == len(backends[0].requests)

    async def test_silence_counts_as_a_server_failure_and_as_a_slow_run_of_its_version(self):
        # The first runs of a good version on its servers take several times as long, which must
        # not count as failures of the version.
        async with running(stall, reply()) as (world, backends):
            self.set_typical_latency(world)
            order = MoveOrder(service="catalogue", to_version="v1", duration_s=60.0)
            move = world.steering_state.moves["catalogue"] = Move(order, 0.1, time.monotonic())
            sent_before = 0
            while not backends[0].requests:
                await world.request(Affinity_Key=str(sent_before))
                sent_before += 1
            assert world.steering_state.selector.states["server-0"].consecutive_failures == 1
            counts = move.evidence.new["devices"]
            assert (counts.responses, counts.failures) == (sent_before + 1, 0)

    @pytest.mark.parametrize(("attempts", "allowed"), [(1, False), (2, True)])
    async def test_attempt_that_is_still_connecting_counts_as_sent(self, attempts, allowed):
        async with running(reply(), reply(), route=make_route(attempts=attempts)) as (world, _):
            forwarder = world.forwarder
            context = RequestContext(None, time.monotonic())
            context.route = make_route(attempts=attempts)
            context.service, context.routing_key = "catalogue", "7"
            context.tried = ["server-0"]
            first = forwarder._create_attempt(
                context, world.steering_state.selector.states["server-0"]
            )
            assert (forwarder._create_second_attempt(first) is not None) is allowed

    async def test_non_repeatable_request_is_not_hedged(self):
        route = make_route(repeatable=False, timeout_s=0.6)
        async with running(stall, stall, route=route) as (world, backends):
            self.set_typical_latency(world)
            assert (await world.request())[0] == 504
            assert sum(len(backend.requests) for backend in backends) == 1

    async def test_first_attempt_continues_after_the_second_is_refused(self):
        async def respond_late(request):
            await asyncio.sleep(0.5)
            return await reply()(request)

        async with running(respond_late, shed()) as (world, _):
            self.set_typical_latency(world)
            statuses = {(await world.request(Affinity_Key=str(number)))[0] for number in range(4)}
            assert statuses == {200}

    async def test_failure_of_both_attempts_does_not_deny_a_run(self):
        async def respond_late(request):
            await asyncio.sleep(0.5)
            return await hang_up(request)

        async with running(respond_late, shed()) as (world, backends):
            self.set_typical_latency(world)
            for number in range(4):
                before = len(backends[0].requests)
                status, _, _ = await world.request(Affinity_Key=str(number))
                assert (status == 502) is (len(backends[0].requests) > before)

    async def test_request_is_not_hedged_without_retry_budget(self):
        async with running(stall, reply(), route=make_route(timeout_s=0.6)) as (world, backends):
            self.set_typical_latency(world)
            world.steering_state.retry_budgets["catalogue"] = RetryBudget(
                0.0, 0.0, 10.0, time.monotonic()
            )
            world.steering_state.retry_budgets["catalogue"].tokens = 0.0
            statuses = [(await world.request(Affinity_Key=str(number)))[0] for number in range(3)]
            assert len(backends[0].requests) == statuses.count(504) > 0


class TestChecks:
    """Requests are refused before any attempt if their key, route or rate does not allow them."""

    @pytest.mark.parametrize(
        ("headers", "status"),
        [
            ({"Authorization": "Bearer good"}, 200),
            ({"Authorization": "Bearer bad"}, 401),
            ({}, 401),
        ],
    )
    async def test_key_is_checked_and_replaced_by_its_workspace(self, headers, status):
        settings = {"workspaces": [WorkspaceRule(name="school")], "keys": {"good": "school"}}
        async with running(reply(), **settings) as (world, backends):
            assert (await world.request(**headers))[0] == status
            for request in backends[0].requests:
                assert request.headers["Tenant"] == "school"
                assert "Authorization" not in request.headers

    async def test_request_is_not_denied_while_there_is_no_configuration(self):
        async with running(reply()) as (world, _):
            world.steering_state.configuration = None
            assert (await world.request())[0] == 503

    async def test_request_during_startup_waits_until_the_host_is_ready(self):
        async with running(reply()) as (world, _):
            world.steering_state.ready.clear()
            request = asyncio.create_task(world.request())
            await asyncio.sleep(0.05)
            assert not request.done()
            world.steering_state.ready.set()
            assert (await request)[0] == 200

    @pytest.mark.parametrize("name", ["Request-Id", "Affinity-Key"])
    @pytest.mark.parametrize(("value", "status"), [(b"\xff\xfe", 400), ("schüler-ü".encode(), 200)])
    async def test_bytes_that_are_not_utf8_are_the_callers_fault(self, name, value, status):
        async with running(reply()) as (world, _):
            host, _, port = world.url.removeprefix("http://").partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            other = "Request-Id: r1\r\n" if name != "Request-Id" else ""
            head = f"GET /devices/7 HTTP/1.1\r\nHost: one.example\r\n{other}{name}: ".encode()
            writer.write(head + value + b"\r\n\r\n")
            assert f"HTTP/1.1 {status}".encode() in await reader.readline()
            writer.close()

    async def test_unknown_route_is_refused(self):
        async with running(reply()) as (world, _):
            assert (await world.request("/nothing/"))[0] == 404

    async def test_workspace_over_its_rate_gets_retry_after(self):
        rule = WorkspaceRule(name="school", rate_per_s=0.5, burst=1.0)
        settings = {"workspaces": [rule], "keys": {"good": "school"}}
        async with running(reply(), **settings) as (world, backends):
            responses = [await world.request(Authorization="Bearer good") for _ in range(3)]
            assert responses[-1][0] == 429
            assert float(responses[-1][2]["Retry-After"]) > 0.0
            assert len(backends[0].requests) <= 1


class TestTime:
    """Requests end at their deadline or when the caller disconnects, at the server too."""

    async def test_server_gets_the_remaining_time(self):
        async with running(reply()) as (world, backends):
            await world.request(Request_Deadline_Ms="700")
            assert 600 < int(backends[0].requests[0].headers["Request-Deadline-Ms"]) <= 700

    async def test_request_ends_at_the_timeout_of_its_route(self):
        async with running(stall, route=make_route(timeout_s=0.2)) as (world, backends):
            assert (await world.request())[0] == 504
            await asyncio.sleep(0.05)
            assert backends[0].cancelled == 1

    async def test_request_is_cancelled_when_the_caller_disconnects(self):
        async with running(stall) as (world, backends):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await world.request()
            async with asyncio.timeout(5.0):
                while not backends[0].cancelled:
                    await asyncio.sleep(0.01)


class TestExplanations:
    """Finds the cause of a failed request by its id in the log, as docs/OPERATIONS.md describes."""

    def lines(self, caplog, request_id: str) -> list[dict]:
        records = [record for record in caplog.records if getattr(record, "id", "") == request_id]
        return [vars(record) for record in records]

    async def test_refused_by_full_servers(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(shed(), shed()) as (world, _):
            await world.request(Request_Id="full")
        (line,) = self.lines(caplog, "full")
        assert (line["status"], line["code"], len(line["tried"])) == (503, 108, 2)
        assert "shed" in line["reason"]

    async def test_failed_because_the_connection_broke(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(hang_up, route=make_route(repeatable=False)) as (world, _):
            await world.request(Request_Id="broke")
        (line,) = self.lines(caplog, "broke")
        assert (line["status"], line["code"], line["tried"]) == (502, 109, ["server-0"])

    async def test_an_ejected_server_is_logged_with_the_reason(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(hang_up, route=make_route(repeatable=False)) as (world, _):
            for number in range(3):
                await world.request(Request_Id=f"broke-{number}")
        lines = [vars(record) for record in caplog.records if record.msg == "server ejected"]
        assert [line["server"] for line in lines] == ["server-0"]
        assert "closed" in lines[0]["reason"]

    async def test_denied_because_the_key_is_unknown(self, caplog):
        caplog.set_level(logging.INFO)
        settings = {"workspaces": [WorkspaceRule(name="school")], "keys": {"good": "school"}}
        async with running(reply(), **settings) as (world, _):
            await world.request(Request_Id="denied", Authorization="Bearer bad")
        (line,) = self.lines(caplog, "denied")
        assert (line["status"], line["code"], line["configuration"]) == (401, 102, 1)
        assert "bad" not in str(line["reason"])

    async def test_cancelled_because_the_caller_disconnected(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(stall) as (world, _):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await world.request(Request_Id="left")
            async with asyncio.timeout(5.0):
                while not self.lines(caplog, "left"):
                    await asyncio.sleep(0.01)
        (line,) = self.lines(caplog, "left")
        assert line["code"] == 123
        ((server, _, unacknowledged_bytes),) = line["abandoned"]
        assert (server, unacknowledged_bytes) == ("server-0", 0)


class TestLeaving:
    """A host that shuts down closes connections after their responses."""

    async def test_responses_close_their_connections(self):
        async with running(reply()) as (world, _):
            world.forwarder.leaving = True
            _, _, headers = await world.request()
            assert headers["Connection"] == "close"
