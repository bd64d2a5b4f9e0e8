from __future__ import annotations

import pytest
from shares_world import WORKSPACE, World

from radishbridge.records import Rate, Record, ResultCode, Workspace
from radishbridge.shares import TOTAL_UNITS


class TestShareAdmission:
    def test_hosts_divide_the_units(self) -> None:
        world = World(seed=1, hosts=4)
        world.run(8.0)
        assert [host.admission.lease.units for host in world.hosts.values()] == [250_000] * 4

    def test_even_load_within_the_rate_is_admitted(self) -> None:
        world = World(seed=1, hosts=4)
        world.run(10.0)
        world.run(20.0, dict.fromkeys(world.hosts, 9.0))
        assert (world.admitted, world.refused) == (720, 0)

    def test_load_at_one_host_gets_the_whole_rate(self) -> None:
        world = World(seed=1, hosts=4)
        world.run(10.0)
        world.run(30.0, {"host-2": 36.0})
        assert world.refused <= 10
        assert world.admitted >= 1070

    def test_overload_is_admitted_at_the_rate(self) -> None:
        world = World(seed=1, hosts=4)
        world.run(10.0)
        world.run(20.0, dict.fromkeys(world.hosts, 80.0))
        assert 40.0 * 20 * 0.97 <= world.admitted <= 40.0 * 20 + 20

    def test_units_of_a_crashed_host_are_reclaimed(self) -> None:
        world = World(seed=1, hosts=4)
        world.run(10.0)
        world.crash("host-1")
        world.run(14.0)
        world.run(4.0)
        assert sum(host.units() for host in world.hosts.values()) >= TOTAL_UNITS - 4

    def test_restart_adds_no_tokens(self) -> None:
        world = World(seed=1, hosts=4)
        world.run(10.0)
        for _ in range(5):
            world.crash("host-1")
            world.start("host-1")
            world.run(2.0, dict.fromkeys(world.hosts, 80.0))
        assert world.admitted <= 40.0 * 10 + 20

    def test_leaving_gives_units_back_at_once(self) -> None:
        world = World(seed=1, hosts=4)
        world.run(10.0)
        assert world.leave("host-1")
        world.crash("host-1")
        world.run(3.0)
        assert sum(host.units() for host in world.hosts.values()) >= TOTAL_UNITS - 4


class TestRateChange:
    """Guards against a host that admits requests by an outdated or missing rate."""

    @pytest.fixture
    def world(self) -> World:
        world = World(seed=2, hosts=2)
        world.run(8.0)
        return world

    def test_lowered_rate_cuts_tokens_at_once(self, world: World) -> None:
        for host in world.hosts.values():
            host.set_rate(Rate(requests_per_second=1.0, burst=2.0), version=2)
        assert [world.request("host-1") for _ in range(3)] == [True, False, False]

    @pytest.mark.parametrize("body", [None, Rate(requests_per_second=0.0, burst=0.0)])
    def test_no_rate_admits_nothing(self, world: World, body: Rate | None) -> None:
        for host in world.hosts.values():
            host.set_rate(body, version=2)
        assert not world.request("host-1")
        assert world.hosts["host-1"].admission.retry_after_s(WORKSPACE) == 60.0

    def test_deleted_workspace_admits_nothing(self, world: World) -> None:
        admission = world.hosts["host-1"].admission
        admission.update(Record(kind="workspace", name=WORKSPACE, version=3, body=None))
        refusal = admission.admit(WORKSPACE, admission.clock())
        assert refusal is not None
        assert refusal.code is ResultCode.RATE_EXCEEDED
        admission.update(Record(kind="workspace", name=WORKSPACE, version=4, body=Workspace()))
        world.run(1.0)
        assert world.request("host-1")

    def test_unknown_workspace_is_refused(self, world: World) -> None:
        refusal = world.hosts["host-1"].admission.admit("nobody", 0.0)
        assert refusal is not None
        assert refusal.code is ResultCode.RATE_EXCEEDED

    def test_request_is_admitted_after_retry_after(self, world: World) -> None:
        while world.request("host-1"):
            pass
        admission = world.hosts["host-1"].admission
        wait_s = admission.retry_after_s(WORKSPACE)
        assert wait_s > 0.0
        world.run(wait_s + 0.05)
        assert world.request("host-1")


class TestPause:
    """Guards against a paused host that admits by units which others have reclaimed meanwhile."""

    def test_paused_host_spends_nothing_that_was_reclaimed(self) -> None:
        world = World(seed=3, hosts=3)
        world.run(10.0)
        world.hosts["host-1"].resumes_at = world.now + 20.0
        world.run(20.0, {"host-2": 60.0, "host-3": 60.0})
        refusal = world.hosts["host-1"].admission.admit(WORKSPACE, world.hosts["host-1"].clock())
        assert refusal is not None
        assert refusal.code is ResultCode.SHARE_UNAVAILABLE

    def test_pause_inside_a_decision_refuses(self) -> None:
        world = World(seed=3, hosts=3)
        world.run(10.0)
        admission = world.hosts["host-1"].admission
        before = admission.clock()
        times = iter((before, before + 0.2))
        admission.clock = lambda: next(times)
        refusal = admission.admit(WORKSPACE, before)
        assert refusal is not None
        assert refusal.code is ResultCode.SHARE_UNAVAILABLE
