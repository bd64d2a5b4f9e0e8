from __future__ import annotations

import asyncio
import logging
import time

import msgspec
import pytest
from entry_world import hang_up, reply, running, shed, stall
from steering_world import make_route

from radishbridge.entry.task import RequestTask
from radishbridge.steering import Move, MoveOrder, RetryBudget, WorkspaceRule


class TestAnswers:
    async def test_the_servers_answer_is_passed_on_whole(self):
        async with running(reply(200, b"x" * 300_000)) as (world, _):
            status, body, headers = await world.ask()
            assert (status, len(body)) == (200, 300_000)
            assert headers["Response-Signature"] == "signed"

    async def test_a_failure_of_the_server_is_passed_on_unchanged(self):
        async with running(reply(500, b"broken"), route=make_route(repeatable=False)) as (world, _):
            status, body, headers = await world.ask()
            assert (status, body, headers["Response-Signature"]) == (500, b"broken", "signed")

    @pytest.mark.parametrize(
        "foreign",
        [
            reply(200, b"evil", Request_Id="another"),
            reply(200, b"evil", Content_Encoding="gzip"),
            hang_up,
        ],
    )
    async def test_what_is_not_the_servers_answer_never_reaches_the_caller(self, foreign):
        async with running(foreign, route=make_route(repeatable=False)) as (world, _):
            status, body, _ = await world.ask()
            assert status == 502
            assert b"evil" not in body


class CountingBudget(RetryBudget):
    """Notes the requests that earn."""

    def __init__(self, earned: list[float]) -> None:
        super().__init__(1.0, 100.0, 10.0, time.monotonic())
        self.earned = earned

    def record_request(self, now: float) -> None:
        self.earned.append(now)
        super().record_request(now)


class TestRepeats:
    async def test_a_repeatable_request_is_sent_again_elsewhere(self):
        async with running(hang_up, reply()) as (world, backends):
            for number in range(6):
                assert (await world.ask(Affinity_Key=str(number)))[0] == 200
            assert backends[0].seen

    async def test_one_that_may_run_once_is_sent_once(self):
        route = make_route(repeatable=False)
        async with running(hang_up, hang_up, route=route) as (world, backends):
            assert (await world.ask())[0] == 502
            assert sum(len(backend.seen) for backend in backends) == 1

    async def test_it_is_sent_again_where_the_server_says_that_it_did_not_run(self):
        route = make_route(repeatable=False)
        async with running(shed(), reply(), route=route) as (world, _):
            statuses = {(await world.ask(Affinity_Key=str(number)))[0] for number in range(6)}
            assert statuses == {200}

    async def test_no_more_servers_than_the_route_allows(self):
        async with running(*[shed()] * 5, route=make_route(attempts=2)) as (world, backends):
            status, _, headers = await world.ask()
            assert status == 503
            assert 0.0 < float(headers["Retry-After"]) < 1.0
            assert sum(len(backend.seen) for backend in backends) == 2

    async def test_a_request_earns_for_the_budget_once_however_many_connections_fail(self):
        async with running(reply(), reply()) as (world, _):
            earned = []
            for state in world.steering_state.selector.states.values():
                state.server = msgspec.structs.replace(state.server, address="127.0.0.1:1")
            world.steering_state.retry_budgets["catalogue"] = CountingBudget(earned)
            assert (await world.ask())[0] == 503
            assert len(earned) == 1

    async def test_a_refusal_never_denies_a_run(self):
        async with running(hang_up, shed()) as (world, backends):
            for number in range(8):
                before = len(backends[0].seen)
                status, _, _ = await world.ask(Affinity_Key=str(number))
                assert (status == 502) is (len(backends[0].seen) > before)


class TestSilentServers:
    """Load pattern: a backend server hangs; its connections stay open."""

    def usual(self, world) -> None:
        world.steering_state.selector.median_latencies = {"catalogue": 0.02}

    async def test_a_repeatable_request_is_answered_by_another_one_meanwhile(self):
        async with running(stall, reply()) as (world, backends):
            self.usual(world)
            for number in range(4):
                assert (await world.ask(Affinity_Key=str(number)))[0] == 200
            assert backends[0].seen
            await asyncio.sleep(0.05)
            assert backends[0].cancelled == len(backends[0].seen)

    async def test_its_silence_counts_against_the_server_and_as_a_slow_run_of_its_version(self):
        # Load pattern: a good version's first runs on its servers take several times as long.
        async with running(stall, reply()) as (world, backends):
            self.usual(world)
            order = MoveOrder(service="catalogue", to_version="v1", duration_s=60.0)
            move = world.steering_state.moves["catalogue"] = Move(order, 0.1, time.monotonic())
            asked = 0
            while not backends[0].seen:
                await world.ask(Affinity_Key=str(asked))
                asked += 1
            assert world.steering_state.selector.states["server-0"].consecutive_failures == 1
            counts = move.evidence.new["devices"]
            assert (counts.responses, counts.failures) == (asked + 1, 0)

    @pytest.mark.parametrize(("attempts", "may"), [(1, False), (2, True)])
    async def test_one_that_is_still_connecting_counts_as_sent(self, attempts, may):
        async with running(reply(), reply(), route=make_route(attempts=attempts)) as (world, _):
            forwarder = world.forwarder
            task = RequestTask(None, time.monotonic())
            task.route = make_route(attempts=attempts)
            task.service, task.key = "catalogue", "7"
            task.tried = ["server-0"]
            first = forwarder._attempt(task, world.steering_state.selector.states["server-0"])
            assert (forwarder._second(first) is not None) is may

    async def test_one_that_may_run_once_waits(self):
        route = make_route(repeatable=False, timeout_s=0.6)
        async with running(stall, stall, route=route) as (world, backends):
            self.usual(world)
            assert (await world.ask())[0] == 504
            assert sum(len(backend.seen) for backend in backends) == 1

    async def test_a_refusal_by_the_second_one_leaves_the_first_one_its_time(self):
        async def late(request):
            await asyncio.sleep(0.5)
            return await reply()(request)

        async with running(late, shed()) as (world, _):
            self.usual(world)
            statuses = {(await world.ask(Affinity_Key=str(number)))[0] for number in range(4)}
            assert statuses == {200}

    async def test_a_refusal_by_both_never_denies_a_run(self):
        async def late(request):
            await asyncio.sleep(0.5)
            return await hang_up(request)

        async with running(late, shed()) as (world, backends):
            self.usual(world)
            for number in range(4):
                before = len(backends[0].seen)
                status, _, _ = await world.ask(Affinity_Key=str(number))
                assert (status == 502) is (len(backends[0].seen) > before)

    async def test_without_budget_it_is_not_sent_again(self):
        async with running(stall, reply(), route=make_route(timeout_s=0.6)) as (world, backends):
            self.usual(world)
            world.steering_state.retry_budgets["catalogue"] = RetryBudget(
                0.0, 0.0, 10.0, time.monotonic()
            )
            world.steering_state.retry_budgets["catalogue"].tokens = 0.0
            statuses = [(await world.ask(Affinity_Key=str(number)))[0] for number in range(3)]
            assert len(backends[0].seen) == statuses.count(504) > 0


class TestChecks:
    @pytest.mark.parametrize(
        ("headers", "status"),
        [
            ({"Authorization": "Bearer good"}, 200),
            ({"Authorization": "Bearer bad"}, 401),
            ({}, 401),
        ],
    )
    async def test_keys(self, headers, status):
        world_of = {"workspaces": [WorkspaceRule(name="school")], "keys": {"good": "school"}}
        async with running(reply(), **world_of) as (world, backends):
            assert (await world.ask(**headers))[0] == status
            for request in backends[0].seen:
                assert request.headers["Tenant"] == "school"
                assert "Authorization" not in request.headers

    async def test_before_a_configuration_is_known_nothing_is_denied(self):
        async with running(reply()) as (world, _):
            world.steering_state.configuration = None
            assert (await world.ask())[0] == 503

    async def test_a_request_that_comes_during_the_start_waits_for_its_end(self):
        async with running(reply()) as (world, _):
            world.steering_state.ready.clear()
            asking = asyncio.create_task(world.ask())
            await asyncio.sleep(0.05)
            assert not asking.done()
            world.steering_state.ready.set()
            assert (await asking)[0] == 200

    async def test_an_unknown_route(self):
        async with running(reply()) as (world, _):
            assert (await world.ask("/nothing/"))[0] == 404

    async def test_a_workspace_over_its_rate_is_told_when_to_return(self):
        rule = WorkspaceRule(name="school", rate_per_s=0.5, burst=1.0)
        world_of = {"workspaces": [rule], "keys": {"good": "school"}}
        async with running(reply(), **world_of) as (world, backends):
            answers = [await world.ask(Authorization="Bearer good") for _ in range(3)]
            assert answers[-1][0] == 429
            assert float(answers[-1][2]["Retry-After"]) > 0.0
            assert len(backends[0].seen) <= 1


class TestTime:
    async def test_the_server_gets_the_time_that_is_left(self):
        async with running(reply()) as (world, backends):
            await world.ask(Request_Deadline_Ms="700")
            assert 600 < int(backends[0].seen[0].headers["Request-Deadline-Ms"]) <= 700

    async def test_a_request_ends_at_its_routes_timeout(self):
        async with running(stall, route=make_route(timeout_s=0.2)) as (world, backends):
            assert (await world.ask())[0] == 504
            await asyncio.sleep(0.05)
            assert backends[0].cancelled == 1

    async def test_a_caller_that_leaves_takes_its_request_along(self):
        async with running(stall) as (world, backends):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await world.ask()
            async with asyncio.timeout(5.0):
                while not backends[0].cancelled:
                    await asyncio.sleep(0.01)


class TestExplanations:
    """Replays docs/OPERATIONS.md: from a failed request's id to its cause, by the log alone."""

    def lines(self, caplog, request_id: str) -> list[dict]:
        found = [record for record in caplog.records if getattr(record, "id", "") == request_id]
        return [vars(record) for record in found]

    async def test_refused_for_want_of_room(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(shed(), shed()) as (world, _):
            await world.ask(Request_Id="full")
        (line,) = self.lines(caplog, "full")
        assert (line["status"], line["code"], len(line["tried"])) == (503, 108, 2)
        assert "shed" in line["reason"]

    async def test_failed_since_the_connection_broke(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(hang_up, route=make_route(repeatable=False)) as (world, _):
            await world.ask(Request_Id="broke")
        (line,) = self.lines(caplog, "broke")
        assert (line["status"], line["code"], line["tried"]) == (502, 109, ["server-0"])

    async def test_a_server_that_is_left_out_is_named_with_the_reason(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(hang_up, route=make_route(repeatable=False)) as (world, _):
            for number in range(3):
                await world.ask(Request_Id=f"broke-{number}")
        lines = [vars(record) for record in caplog.records if record.msg == "server left out"]
        assert [line["server"] for line in lines] == ["server-0"]
        assert "closed" in lines[0]["reason"]

    async def test_denied_by_an_unknown_key(self, caplog):
        caplog.set_level(logging.INFO)
        world_of = {"workspaces": [WorkspaceRule(name="school")], "keys": {"good": "school"}}
        async with running(reply(), **world_of) as (world, _):
            await world.ask(Request_Id="denied", Authorization="Bearer bad")
        (line,) = self.lines(caplog, "denied")
        assert (line["status"], line["code"], line["configuration"]) == (401, 102, 1)
        assert "bad" not in str(line["reason"])

    async def test_given_up_since_the_caller_left(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(stall) as (world, _):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await world.ask(Request_Id="left")
            async with asyncio.timeout(5.0):
                while not self.lines(caplog, "left"):
                    await asyncio.sleep(0.01)
        (line,) = self.lines(caplog, "left")
        assert line["code"] == 123
        ((server, _, unacknowledged),) = line["abandoned"]
        assert (server, unacknowledged) == ("server-0", 0)


class TestLeaving:
    async def test_answers_close_their_connections(self):
        async with running(reply()) as (world, _):
            world.forwarder.leaving = True
            _, _, headers = await world.ask()
            assert headers["Connection"] == "close"
