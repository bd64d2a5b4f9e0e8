from __future__ import annotations

import asyncio
import time

import msgspec
import pytest
import virtual_time
from copies_world import Host, World
from raw_server import raw_server
from steering_world import make_server

from radishbridge.entry import (
    BackendPool,
    Bounds,
    Kind,
    ServerCheck,
    SteeringState,
    StoredObject,
)
from radishbridge.entry.messages import FleetMessage, FleetSummary
from radishbridge.entry.server_checks import HttpServerProbe, ServerChecks
from radishbridge.platform.headers import PlatformHeaderCodec
from radishbridge.platform.objects import PlatformDecoder
from radishbridge.steering import ServerCriteria, ServiceRule, cold_checks
from radishbridge.steering.cold_checks import (
    ANSWER_SHOWN_S,
    CHECK_INTERVAL_S,
    CHECKERS,
    REFUTED_S,
    CheckSchedule,
    StoreSilence,
)

RULE = ServiceRule(name="catalogue", slow_start_s=6.0, slow_start_per_s=14.0, check_path="/health")
# Requests that a cold server may get in any second: 14 x 1.5 + 5.
COLD_LIMIT = 26
REQUESTS_PER_S = 100
SERVER_COUNT = 3
# Time in seconds in which changes have to take effect, as for changes in the store.
KNOWN_AFTER_S = 2.5


class Servers:
    """Servers as their status checks and requests find them.

    :param cold_until: monotonic time by server until which it is cold.
    :param checks: times and hosts of the status checks.
    :param requests: times of the requests by server.
    """

    def __init__(self) -> None:
        self.cold_until: dict[str, float] = {}
        self.checks: list[tuple[float, str]] = []
        self.requests: dict[str, list[float]] = {}

    def most_in_a_second(self, name: str, since: float, until: float) -> int:
        times = [at for at in self.requests.get(name, ()) if since <= at < until]
        return max((sum(at <= one < at + 1.0 for one in times) for at in times), default=0)


class Probe:
    """Answers the status checks of one host."""

    def __init__(self, host: str, servers: Servers) -> None:
        self.host = host
        self.servers = servers

    async def check(self, server, path: str) -> ServerCheck | None:
        assert path == RULE.check_path
        self.servers.checks.append((time.monotonic(), self.host))
        await asyncio.sleep(0.05)
        cold_for_s = self.servers.cold_until.get(server.name, 0.0) - time.monotonic()
        return ServerCheck(server.name, max(0.0, cold_for_s))


class SteeringHost(Host):
    """A host that sends requests to backend servers."""

    def __init__(self, number: int, world: World) -> None:
        super().__init__(number, world)
        self.steering_state = SteeringState(self.name, None, Bounds(), clock=time.monotonic)
        self.steering_state.selector.rules = {RULE.name: RULE}
        for server in range(SERVER_COUNT):
            self.steering_state.selector.put(make_server(server, slots=400), time.monotonic())
        self.fleet.make_report = lambda: self.steering_state.build_report(self.status())
        self.fleet.listeners.append(self.steering_state.apply_summary)

    def on_change(self, stored, source) -> None:
        super().on_change(stored, source)
        self.steering_state.slow_start.update_hosts(self.hosts)

    def check_servers(self, servers: Servers) -> None:
        checks = ServerChecks(self.steering_state, self.fleet, Probe(self.name, servers))
        self.tasks.append(asyncio.create_task(checks.run()))

    def send(self, servers: Servers, key: str) -> None:
        criteria = ServerCriteria("catalogue", key, None, None)
        state = self.steering_state.selector.choose(criteria, (), time.monotonic())
        if state is not None:
            servers.requests.setdefault(state.server.name, []).append(time.monotonic())


async def send_requests(world: World, servers: Servers) -> None:
    number = 0
    while True:
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
        number += 1
        hosts = list(world.hosts.values())
        hosts[number % len(hosts)].send(servers, f"object-{number * 7 % 12}")


def set_store(world: World, names, is_silent: bool) -> None:
    for name in names:
        world.hosts[name].link.is_unresponsive = is_silent


class TestServerThatTurnsColdWhileTheStoreIsSilent:
    """Guards against the full load for a server whose entry cannot tell that it is cold."""

    @pytest.mark.parametrize("host_count", [5, 12])
    @pytest.mark.parametrize("cold_after_s", [0.2, 1.0, 2.0, 3.0])
    def test_it_gets_no_more_than_a_cold_server_may(self, host_count, cold_after_s, monkeypatch):
        async def scenario() -> None:
            world = World(host_count, SteeringHost)
            servers = Servers()
            for number in range(host_count):
                world.start(number)
            for host in world.hosts.values():
                host.check_servers(servers)
            requests = asyncio.create_task(send_requests(world, servers))
            await world.run_for(8.0)
            assert not servers.checks
            cold = max(servers.requests, key=lambda name: len(servers.requests[name]))
            set_store(world, world.hosts, True)
            await world.run_for(cold_after_s)
            cold_at = time.monotonic()
            servers.cold_until[cold] = cold_at + RULE.slow_start_s
            await world.run_for(RULE.slow_start_s)
            requests.cancel()
            known_at = cold_at + KNOWN_AFTER_S
            until = servers.cold_until[cold]
            assert servers.most_in_a_second(cold, known_at, until) <= COLD_LIMIT
            assert servers.most_in_a_second(cold, known_at, until) >= 5
            before = servers.most_in_a_second(cold, cold_at - 3.0, cold_at)
            assert before > COLD_LIMIT
            silent_s = cold_after_s + RULE.slow_start_s
            checks_max = SERVER_COUNT * CHECKERS * (1 + silent_s / CHECK_INTERVAL_S)
            assert 0 < len(servers.checks) <= checks_max
            set_store(world, world.hosts, False)
            await world.run_for(5.0)
            ended = len(servers.checks)
            await world.run_for(6.0)
            await world.stop()
            assert len(servers.checks) == ended

        virtual_time.run(scenario(), monkeypatch)

    def test_few_checks_are_made_while_the_store_turns_some_hosts_away(self, monkeypatch):
        # Guards against checks without end, each of which has a price, while updates arrive.
        async def scenario() -> None:
            world = World(12, SteeringHost)
            servers = Servers()
            for number in range(12):
                world.start(number)
            for host in world.hosts.values():
                host.check_servers(servers)
            await world.run_for(8.0)
            set_store(world, world.followers()[:1], True)
            await world.run_for(15.0)
            checks = len(servers.checks)
            await world.run_for(30.0)
            await world.stop()
            assert checks <= SERVER_COUNT * CHECKERS * (2 + ANSWER_SHOWN_S / CHECK_INTERVAL_S)
            assert len(servers.checks) == checks

        virtual_time.run(scenario(), monkeypatch)


class TestServerThatCrashesWhileTheStoreIsSilent:
    """Guards against the full load for a server that starts again under its id."""

    @pytest.mark.parametrize("is_silent", [True, False])
    def test_it_counts_as_cold_only_while_the_store_is_silent(self, is_silent, monkeypatch):
        async def scenario() -> None:
            world = World(1, SteeringHost)
            world.start(0)
            host = next(iter(world.hosts.values()))
            checks = ServerChecks(host.steering_state, host.fleet, Probe(host.name, Servers()))
            checks.silence.is_silent = is_silent
            checks.record_crash(make_server(0, slots=400))
            state = host.steering_state.selector.states["server-0"]
            assert state.is_cold(time.monotonic() + RULE.slow_start_s - 0.1) is is_silent
            await world.stop()

        virtual_time.run(scenario(), monkeypatch)


class TestStoreSilence:
    """Guards against checks while the store answers, and against none while it is silent."""

    def test_a_follower_that_goes_on_reaching_the_store_ends_it(self):
        silence = StoreSilence()
        assert silence.update(["a"], ["b", "c"], 10.0)
        assert silence.update(["a"], ["c", "d"], 10.0 + ANSWER_SHOWN_S - 0.1)
        assert not silence.update(["a"], ["c", "d"], 10.0 + ANSWER_SHOWN_S)
        assert not silence.update(["a"], ["d"], 11.0 + ANSWER_SHOWN_S)
        assert silence.update(["a", "c"], ["d"], 12.0 + ANSWER_SHOWN_S)

    def test_a_new_failure_counts_soon_after_an_earlier_silence(self):
        silence = StoreSilence()
        assert silence.update(["a"], ["b"], 10.0)
        assert not silence.update(["a"], ["b"], 10.0 + ANSWER_SHOWN_S)
        assert not silence.update([], ["b"], 11.0 + ANSWER_SHOWN_S)
        assert silence.update(["a"], ["b"], 11.0 + ANSWER_SHOWN_S + REFUTED_S)

    def test_followers_chosen_later_do_not_end_it(self):
        silence = StoreSilence()
        for step in range(100):
            assert silence.update(["a"], [f"follower-{step}"], 10.0 + step)


class TestCheckSchedule:
    def test_few_hosts_check_a_server(self):
        # Guards against a check by each host: their price grows with the fleet.
        hosts = [f"host-{number}" for number in range(40)]
        servers = [f"server-{number}" for number in range(20)]
        schedules = [CheckSchedule(host) for host in hosts]
        due = [
            server
            for step in range(16)
            for schedule in schedules
            for server in schedule.due(servers, hosts, 10.0 + step / 10.0)
        ]
        assert {due.count(server) for server in servers} == {CHECKERS}

    def test_hosts_are_ranked_once_for_a_list_of_hosts(self, monkeypatch):
        # Ranking them for each server at each look used most of the processor of a small host.
        ranked = []
        rank = cold_checks.rank
        monkeypatch.setattr(
            cold_checks, "rank", lambda role, hosts: ranked.append(role) or rank(role, hosts)
        )
        servers = [f"server-{number}" for number in range(40)]
        hosts = [f"host-{number}" for number in range(12)]
        schedule = CheckSchedule("host-1")
        for tick in range(50):
            schedule.due(servers, hosts, 0.1 * tick)
        assert len(ranked) == len(servers)
        schedule.due(servers, hosts[:-1], 5.0)
        assert len(ranked) == 2 * len(servers)


class TestMessages:
    def test_nothing_is_sent_without_cold_servers(self):
        # Guards against bytes in each report of fleets whose store answers.
        async def scenario() -> None:
            world = World(2, SteeringHost)
            world.start(0)
            report = world.hosts["10.0.0.0:7000"].fleet.make_report()
            assert b"cold" not in msgspec.msgpack.encode(report)
            await world.stop()

        asyncio.run(scenario())

    def test_a_summary_of_an_earlier_release_is_understood(self):
        encoded = msgspec.msgpack.encode(
            {
                "type": "summary",
                "hosts": [],
                "demands": {},
                "home_bound": {},
                "evidence": {},
                "crashes": [],
                "copy_state": [{}, {}],
            }
        )
        summary = msgspec.msgpack.decode(encoded, type=FleetMessage)
        assert isinstance(summary, FleetSummary)
        assert summary.cold_servers == []


class TestProbe:
    """Guards against a slow start that is read wrongly from a response to a status check."""

    @pytest.mark.parametrize(
        ("headers", "expected"),
        [
            ("Instance-Id: server-1\r\nWarmup-Ms: 2500\r\n", ServerCheck("server-1", 2.5)),
            ("Instance-Id: server-1\r\nWarmup-Ms: 0\r\n", ServerCheck("server-1", 0.0)),
            ("Instance-Id: server-1\r\n", None),
            ("Instance-Id: server-1\r\nWarmup-Ms: -5\r\n", None),
            ("Instance-Id: server-1\r\nWarmup-Ms: 99999999999\r\n", None),
        ],
    )
    @pytest.mark.parametrize("status", ["200 OK", "503 Busy"])
    async def test_response(self, headers, expected, status):
        async def script(connection, request_id) -> None:
            assert not request_id
            connection.write(f"HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n")

        async with raw_server(script) as server:
            probe = HttpServerProbe(BackendPool(), PlatformHeaderCodec())
            target = make_server(1, address=server.address)
            assert await probe.check(target, "/health") == expected


class TestConfiguration:
    """Guards against a configuration that cannot be read for the sake of a status check."""

    @pytest.mark.parametrize(
        ("path", "expected"),
        [("/health", "/health"), ("", ""), (7, ""), ("/a b", ""), ("health", ""), (None, "")],
    )
    def test_path_of_the_status_check(self, path, expected):
        spec = {
            "version": "1",
            "resources": [
                {
                    "resourceKind": "services",
                    "metadata": {"name": "catalogue"},
                    "spec": {"warmupPerS": 14, "healthPath": path},
                }
            ],
        }
        value = msgspec.json.encode({"metadata": {"name": "main"}, "spec": spec})
        stored = StoredObject(kind=Kind.CONFIGURATION, name="main", version=1, value=value)
        decoded = PlatformDecoder({}).decode(stored)
        assert decoded.services["catalogue"].check_path == expected
