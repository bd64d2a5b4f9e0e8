"""Requests that crash backend servers are found among all that were in flight."""

from __future__ import annotations

import asyncio

import pytest
from entry_world import reply, running
from fleet_world import Hosts, make_report, make_status
from steering_world import make_server

from radishbridge.entry import Bounds, SteeringState, uptime
from radishbridge.entry.crashes import PROBE_INTERVAL_S, CrashDetector
from radishbridge.entry.fleet import merge_reports
from radishbridge.entry.messages import CopyState, FleetSummary, Rejected
from radishbridge.records import Failure, ResultCode
from radishbridge.routing import Crash, request_fingerprint

POISON = b"poison"
EMPTY = CopyState({}, {})


class ServerSockets:
    """Opens connections to servers, unless they have crashed."""

    def __init__(self) -> None:
        self.crashed: set[str] = set()
        self.opened: list[str] = []

    async def open(self, address: str) -> Failure | str:
        self.opened.append(address)
        if address in self.crashed:
            return Failure(ResultCode.BACKEND_REFUSED, "connection refused")
        return address

    def release(self, address: str, connection: str) -> None:
        pass


class Host:
    """A host whose connections to servers break as a test says."""

    def __init__(self, name: str = "host") -> None:
        self.steering_state = SteeringState(name, None, Bounds())
        self.sockets = ServerSockets()
        self.detector = CrashDetector(self.steering_state.crash_reports, self.sockets)

    async def crash(self, number: int, *in_flight: bytes, **changes) -> None:
        """Let the connections of a server's requests break, in the order given."""
        server = make_server(number, **changes)
        self.sockets.crashed.add(server.address)
        for fingerprint in in_flight:
            self.detector.check_server(fingerprint, server)
        await self.finish_probes()
        self.sockets.crashed.discard(server.address)

    async def finish_probes(self) -> None:
        while self.detector.tasks:
            await asyncio.gather(*self.detector.tasks)

    def rejects(self, fingerprint: bytes) -> bool:
        return self.steering_state.crash_reports.poison.check(fingerprint, uptime.now()) is not None

    def report_to(self, *others: Host) -> FleetSummary:
        """Send what this host reports to other hosts, in a summary."""
        report = self.steering_state.build_report(make_status(self.steering_state.host))
        summary = merge_reports({self.steering_state.host: report}, EMPTY)
        for other in others:
            other.steering_state.apply_summary(summary)
        return summary


@pytest.fixture
def host(monkeypatch) -> Host:
    monkeypatch.setattr("radishbridge.entry.crashes.PROBE_DELAY_S", 0.0)
    return Host()


class TestRequestThatCrashesBusyServers:
    """Guards against blaming only the request whose connection happens to break first."""

    async def test_is_rejected_although_other_connections_break_first(self, host):
        for number in range(3):
            assert not host.rejects(POISON)
            await host.crash(number, b"other-%d" % number, b"another-%d" % number, POISON)
        assert host.rejects(POISON)
        assert not any(host.rejects(b"other-%d" % number) for number in range(3))

    async def test_a_lost_response_just_before_the_crash_does_not_hide_it(self, host):
        server = make_server(0)
        host.detector.check_server(b"other", server)
        await host.finish_probes()
        assert host.steering_state.crash_reports.poison.crash_count(b"other") == 0
        before = uptime.now()
        await host.crash(0, POISON)
        assert host.steering_state.crash_reports.poison.crash_count(POISON) == 1
        # The number of probes stays bounded, however many connections break.
        assert len(host.sockets.opened) == 2
        assert uptime.now() - before >= 0.9 * PROBE_INTERVAL_S

    async def test_is_reported_first_if_not_all_can_be(self, host, monkeypatch):
        monkeypatch.setattr("radishbridge.entry.crash_reports.CRASHES_REPORTED_MAX", 2)
        await host.crash(0, POISON)
        await host.crash(1, b"other-1", b"other-2", b"other-3", POISON)
        assert {crash.fingerprint for crash in host.report_to().crashes} == {POISON}


class TestRequestInFlightByChance:
    """Guards against rejecting a request that servers do run to its end."""

    async def test_is_no_suspect_any_more_once_it_was_run(self, host):
        for number in range(3):
            await host.crash(number, b"popular", POISON)
            host.steering_state.crash_reports.record_completed_run(b"popular", uptime.now())
        assert not host.rejects(b"popular")
        assert host.rejects(POISON)

    async def test_other_hosts_are_told_that_it_was_run(self, host):
        other = Host("other")
        for number in range(2):
            await host.crash(number, b"popular", POISON)
        host.report_to(other)
        host.steering_state.crash_reports.record_completed_run(b"popular", uptime.now())
        host.report_to(other)
        await other.crash(2, b"popular", POISON)
        assert not other.rejects(b"popular")
        assert other.rejects(POISON)

    async def test_a_response_of_the_server_itself_clears_it(self):
        async with running(reply()) as (world, _):
            fingerprint = request_fingerprint("", "GET", "/devices/7", b"")
            poison = world.steering_state.crash_reports.poison
            poison.record_crash(fingerprint, Crash("server-8", 1, uptime.now()), uptime.now())
            assert (await world.request())[0] == 200
            assert poison.crash_count(fingerprint) == 0


class TestServerThatStartsAgainUnderItsId:
    """Guards against counting the crashes of a server once, however often it starts again."""

    async def test_each_incarnation_counts(self, host):
        for incarnation in range(3):
            assert not host.rejects(POISON)
            await host.crash(0, POISON, incarnation=incarnation)
        assert host.rejects(POISON)

    async def test_a_crash_that_several_hosts_detect_counts_once(self, host):
        other = Host("other")
        await host.crash(0, POISON)
        await other.crash(0, POISON)
        host.report_to(other)
        assert other.steering_state.crash_reports.poison.crash_count(POISON) == 1

    async def test_a_report_that_arrives_late_is_about_the_same_crash(self, host):
        other = Host("other")
        await host.crash(0, POISON)
        (detected,) = host.steering_state.crash_reports.detected
        before = detected.crash._replace(crashed_at=detected.crash.crashed_at - 2.9)
        host.steering_state.crash_reports.detected = [detected._replace(crash=before)]
        other.steering_state.crash_reports.poison.record_crash(POISON, before, uptime.now())
        host.report_to(other)
        assert other.steering_state.crash_reports.poison.crash_count(POISON) == 1


class TestRequestThatIsRepeatedWithoutEnd:
    """Guards against letting a request that crashes servers through again after a while."""

    async def test_a_host_that_starts_later_rejects_it_too(self, host):
        for number in range(3):
            await host.crash(number, POISON)
        host.steering_state.crash_reports.detected.clear()
        started = Host("started")
        host.report_to(started)
        assert started.rejects(POISON)

    async def test_only_aggregators_pass_rejections_on(self):
        hosts = Hosts(4)
        rejected = [Rejected(POISON, 3, 1.0)]
        for fleet in hosts.fleets:
            name = fleet.own.peer_address
            fleet.make_report = lambda name=name: make_report(name, rejected=rejected)
        hosts.run(1.0)
        aggregators = set(hosts.fleets[0]._aggregators(hosts.now))
        sent = {
            name
            for fleet in hosts.fleets
            for name, received in fleet.reports.items()
            if received.report.rejected and name != fleet.own.peer_address
        }
        assert sent == aggregators

    async def test_a_suspect_goes_to_another_server_than_the_one_that_crashed(self):
        async with running(reply(), reply()) as (world, backends):
            fingerprint = request_fingerprint("", "GET", "/devices/7", b"")
            for number, backend in enumerate(backends):
                crash = Crash(f"server-{1 - number}", 1, uptime.now())
                world.steering_state.crash_reports.poison.record_crash(
                    fingerprint, crash, uptime.now()
                )
                before = len(backend.requests)
                assert (await world.request())[0] == 200
                assert len(backend.requests) == before + 1
                world.steering_state.crash_reports.poison.cleared.clear()

    async def test_a_rejected_request_is_not_sent(self):
        async with running(reply()) as (world, backends):
            fingerprint = request_fingerprint("", "GET", "/devices/7", b"")
            for number in range(3):
                crash = Crash(f"server-{number}", 1, uptime.now())
                world.steering_state.crash_reports.poison.record_crash(
                    fingerprint, crash, uptime.now()
                )
            assert (await world.request())[0] == 503
            assert not backends[0].requests
