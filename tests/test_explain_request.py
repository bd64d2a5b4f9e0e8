"""Operators see where a request would go; nothing is sent, used up or given away."""

from __future__ import annotations

import contextlib
import json
import typing as t

import aiohttp
import msgspec
import pytest
from aiohttp.test_utils import RawTestServer
from fleet_world import Hosts
from prometheus_client import CollectorRegistry
from steering_world import T0, make_route, make_server

from radishbridge.client import run
from radishbridge.client.exit_codes import ExitCode
from radishbridge.entry import Bounds, SteeringState, uptime
from radishbridge.entry.explain import Question, RequestExplainer
from radishbridge.platform.endpoints import Endpoints
from radishbridge.records import RequestExplanation, ResultCode
from radishbridge.steering import Configuration, ServiceRule, WorkspaceRule

KEY = "secret-key"
URL = "http://one.example/devices/7"
QUESTION = Question(host="one.example", path="/devices/7", workspace="school")


def make_state(**route_changes: t.Any) -> SteeringState:
    steering_state = SteeringState("h", None, Bounds())
    for number in range(8):
        steering_state.selector.put(make_server(number), uptime.now())
    steering_state.configuration = Configuration(
        3,
        [make_route(**route_changes)],
        [ServiceRule(name="catalogue")],
        [WorkspaceRule(name="school", rate_per_s=10.0, burst=60.0)],
        {KEY: "school"},
    )
    steering_state.ready.set()
    return steering_state


def make_explainer(steering_state: SteeringState) -> RequestExplainer:
    return RequestExplainer(steering_state, Hosts(3).fleets[0], lambda: True)


def explain(steering_state: SteeringState, question: Question = QUESTION) -> RequestExplanation:
    return make_explainer(steering_state).explain(question, uptime.now())


class TestDecision:
    def test_it_shows_the_way_of_the_request(self):
        state = make_state(home_regions=frozenset({"east"}))
        explanation = explain(state)
        assert (explanation.code, explanation.route) == (0, "devices")
        assert explanation.splits == {"catalogue": 1.0}
        assert explanation.home_regions == ["east"]
        assert explanation.configuration_version == 3
        assert explanation.ages.reaches_store
        excluded = [one for one in explanation.servers if one.verdict == "excluded by home"]
        assert [one.region for one in excluded] == ["west"] * 4
        assert explanation.servers[0].server == explanation.chosen

    def test_the_object_decides_on_the_server_of_a_route_with_affinity(self):
        state = make_state(has_affinity=True)
        now = uptime.now()
        for name in ("1", "2", "3", "4"):
            (criteria,) = state.server_criteria("catalogue", make_route(has_affinity=True), name)
            expected = state.selector.choose(criteria, (), now).server.name
            assert explain(state, QUESTION._replace(object=name)).chosen == expected

    @pytest.mark.parametrize(
        ("changes", "code"),
        [
            ({"path": "/other"}, ResultCode.SERVICE_UNKNOWN),
            ({"host": "two.example"}, ResultCode.SERVICE_UNKNOWN),
            ({"workspace": ""}, ResultCode.KEY_MISSING),
            ({"workspace": "nobody"}, ResultCode.KEY_UNKNOWN),
            ({"key": "wrong"}, ResultCode.KEY_UNKNOWN),
        ],
    )
    def test_a_refusal_has_the_number_that_the_caller_would_get(self, changes, code):
        explanation = explain(make_state(), QUESTION._replace(**changes))
        assert explanation.code == code
        assert explanation.reason

    def test_a_host_that_starts_says_so(self):
        state = make_state()
        state.ready.clear()
        assert explain(state).code == ResultCode.HOST_STARTING

    def test_a_request_without_a_server_with_capacity(self):
        state = make_state()
        for server in state.selector.states.values():
            server.in_flight = 99
        explanation = explain(state)
        assert explanation.code == ResultCode.NO_BACKEND
        assert {one.verdict for one in explanation.servers} == {"full"}


class TestRates:
    def test_it_shows_the_tokens_left_and_takes_none(self):
        state = make_state()
        limiter = state.rate_limiter("school", T0)
        limiter.share, limiter.tokens, limiter.updated_at = 0.5, 4.0, uptime.now() + 60.0
        for _ in range(5):
            rate = explain(state).rate
            assert (rate.per_s, rate.burst, rate.share, rate.tokens) == (10.0, 60.0, 0.5, 4.0)
        assert limiter.tokens == 4.0
        limiter.tokens = 0.5
        assert explain(state).code == ResultCode.RATE_EXCEEDED

    def test_a_workspace_without_requests_gets_no_bucket(self):
        state = make_state()
        assert explain(state).rate.tokens is None
        assert state.rate_limiters == {}


@contextlib.asynccontextmanager
async def running_endpoints(
    *states: SteeringState, is_operators: bool = True
) -> t.AsyncIterator[list[str]]:
    """Serve the endpoints of hosts; return their addresses."""
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for state in states:
            explainer = make_explainer(state)
            endpoints = Endpoints(
                state, explainer.fleet, CollectorRegistry(), 1.0, lambda: True, explainer
            )
            handle = endpoints.handle_operators if is_operators else endpoints.handle
            server = RawTestServer(handle)
            await stack.enter_async_context(server)
            addresses.append(f"{server.host}:{server.port}")
        yield addresses


async def run_client(addresses: list[str], *arguments: str) -> int:
    hosts = [option for address in addresses for option in ("--host", address)]
    return await run(["explain-request", "get", URL, *hosts, *arguments])


class TestCommand:
    async def test_the_table_shows_servers_reasons_and_ages_but_no_key(self, capsys):
        state = make_state()
        state.selector.put(make_server(1, draining=True), uptime.now())
        async with running_endpoints(state) as addresses:
            assert await run_client(addresses, "--key", KEY) == ExitCode.OK
        output = capsys.readouterr().out
        assert "h: would go to server-" in output
        assert "workspace: school" in output
        assert "summary none, store answers" in output
        (line,) = [line for line in output.splitlines() if line.startswith("server-1 ")]
        assert line.endswith("draining")
        assert KEY not in output

    async def test_json_shows_the_answers_and_no_key(self, capsys):
        async with running_endpoints(make_state()) as addresses:
            assert await run_client(addresses, "--key", KEY, "--json") == ExitCode.OK
        output = capsys.readouterr().out
        document = json.loads(output)
        assert document["hosts"][0]["explanation"]["workspace"] == "school"
        assert document["differences"] == {}
        assert KEY not in output

    async def test_hosts_are_compared_and_one_without_an_answer_is_named(self, capsys):
        other = make_state()
        other.host = "other"
        chosen = explain(other).chosen
        other.selector.put(
            msgspec.structs.replace(other.selector.states[chosen].server, draining=True),
            uptime.now(),
        )
        async with running_endpoints(make_state(), other) as addresses:
            workspace = ("--workspace", "school")
            assert await run_client(addresses, *workspace) == ExitCode.OK
            assert "DIFFERENCE" in capsys.readouterr().out
            silent = [*addresses, "127.0.0.1:1"]
            assert await run_client(silent, *workspace, "--json") == ExitCode.DEGRADED
        document = json.loads(capsys.readouterr().out)
        differences = document["differences"]
        assert set(differences) == {"server", "passed over"}
        assert differences["server"][addresses[0]] == chosen
        assert f"{chosen}: draining" in differences["passed over"][addresses[1]]
        assert document["hosts"][2]["error"]

    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (["get", URL], ExitCode.USAGE),
            (["get", URL, "--host", "nowhere"], ExitCode.USAGE),
            (["get", "/devices/7", "--host", "127.0.0.1:1"], ExitCode.USAGE),
            (["get", "http://[x", "--host", "127.0.0.1:1"], ExitCode.USAGE),
            (["get", URL, "--host", "127.0.0.1:1"], ExitCode.UNAVAILABLE),
        ],
    )
    async def test_errors_are_numbered(self, capsys, arguments, code):
        try:
            result = await run(["explain-request", *arguments])
        except SystemExit as exit:
            result = exit.code
        assert result == code
        assert "error " in capsys.readouterr().err


class TestEndpoint:
    @pytest.mark.parametrize("url", ["", "/devices/7", "http://[x"])
    async def test_a_malformed_url_is_refused(self, url):
        async with running_endpoints(make_state()) as (address,):
            status, _ = await get(address, url)
        assert status == 400

    async def test_callers_addresses_serve_no_explanations(self):
        # They show the rates of workspaces to anyone who can look hosts up.
        async with running_endpoints(make_state(), is_operators=False) as (address,):
            status, _ = await get(address, URL)
        assert status == 404

    async def test_an_unknown_key_is_not_repeated_in_the_answer(self):
        async with running_endpoints(make_state()) as (address,):
            status, body = await get(address, URL, {"Explain-Key": "unknown-secret"})
        assert status == 200
        assert json.loads(body)["code"] == ResultCode.KEY_UNKNOWN
        assert "unknown-secret" not in body


async def get(
    address: str, url: str, headers: t.Mapping[str, str] | None = None
) -> tuple[int, str]:
    async with aiohttp.ClientSession() as session:
        options = {"params": {"url": url}, "headers": headers}
        async with session.get(f"http://{address}/v1/explain", **options) as response:
            return response.status, await response.text()
