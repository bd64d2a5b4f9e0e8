from __future__ import annotations

import itertools
import time
import typing as t

import msgspec
import pytest
from fleet_world import Hosts, make_entry, make_report, make_status

from radishbridge.entry import (
    Bounds,
    Fleet,
    HostEntry,
    Kind,
    SteeringState,
    StoredObject,
    nearby_hosts,
)
from radishbridge.entry.capacity import OverloadDetector
from radishbridge.entry.fleet import (
    AGGREGATOR_COUNT,
    STORE_FOLLOWER_COUNT,
    UNREGISTERED_PEERS_MAX,
    merge_reports,
)
from radishbridge.entry.messages import (
    CopyAnswer,
    CopyRequest,
    CopyState,
    Crash,
    FleetMessage,
    HostStatus,
    ObjectsChanged,
)
from radishbridge.steering import Configuration, Evidence, HomeDemand, WorkspaceRule

EMPTY = CopyState({}, {})


class TestMergeReports:
    def test_reports_add_up(self):
        first_report = make_report(
            "h1",
            demands={"a": 1.0},
            home_bound={"s": {"east": HomeDemand(2.0, 1.0, 3)}},
            crashes=[Crash(b"x", "1")],
        )
        other_report = make_report(
            "h2",
            demands={"a": 2.0, "b": 1.0},
            home_bound={"s": {"east": HomeDemand(1.0, 0.5, 1), "west": HomeDemand(4.0, 4.0, 2)}},
        )
        total = merge_reports({"h1": first_report, "h2": other_report}, EMPTY)
        assert total.demands == {"a": 3.0, "b": 1.0}
        assert total.home_bound == {
            "s": {"east": HomeDemand(3.0, 1.5, 4), "west": HomeDemand(4.0, 4.0, 2)}
        }
        assert total.crashes == [Crash(b"x", "1")]
        assert {status.name for status in total.hosts} == {"h1", "h2"}

    def test_merging_leaves_the_reported_evidence_unchanged(self):
        evidence = Evidence()
        evidence.add("r", True, 0.1, True, False)
        reports = {name: make_report(name, evidence={"s": evidence}) for name in ("h1", "h2")}
        assert merge_reports(reports, EMPTY).evidence["s"].new["r"].failures == 2
        assert evidence.new["r"].failures == 1


class TestFleet:
    def test_every_host_gets_the_summary_of_all_reports(self):
        hosts = Hosts(8)
        hosts.run(1.0)
        for fleet in hosts.fleets:
            assert fleet.summary is not None
            assert fleet.summary.demands == {"school": 16.0}
            assert fleet.fleet_share.hosts_reporting == fleet.fleet_share.hosts == 8

    def test_messages_per_host_do_not_grow_with_the_fleet(self):
        counts = []
        for count in (10, 40):
            hosts = Hosts(count)
            for fleet, kind in itertools.product(hosts.fleets, Kind):
                fleet.copy.advance(kind, 1)
            hosts.run(1.0)
            counts.append(hosts.step() / count)
        assert counts[1] <= counts[0] + 1.0
        assert counts[1] <= 2 * AGGREGATOR_COUNT

    def test_a_lost_aggregator_is_replaced(self):
        hosts = Hosts(6)
        hosts.run(3.0)
        first = hosts.fleets[0]._aggregators(hosts.now)[0]
        hosts.network.disconnected.add(first)
        hosts.run(4.0)
        rest = [fleet for fleet in hosts.fleets if fleet.own.peer_address != first]
        assert {fleet.fleet_share.hosts_reporting for fleet in rest} == {5}
        assert {fleet.fleet_share.hosts for fleet in rest} == {6}

    def test_a_host_that_is_silent_for_long_counts_as_lost(self):
        hosts = Hosts(4)
        hosts.run(1.0)
        lost = hosts.fleets[3].own.peer_address
        hosts.network.disconnected.add(lost)
        hosts.run(2.0)
        assert hosts.fleets[0].lost_hosts(hosts.now) == []
        hosts.now += 119.0
        hosts.run(1.0)
        assert hosts.fleets[0].lost_hosts(hosts.now) == [lost]

    def test_few_hosts_follow_the_store(self):
        hosts = Hosts(12)
        hosts.run(1.0)
        ranks = [fleet.follower_rank() for fleet in hosts.fleets]
        assert sorted(rank for rank in ranks if rank is not None) == [0, 1, 2]
        assert len(ranks) - ranks.count(None) == STORE_FOLLOWER_COUNT

    def test_store_followers_that_lose_the_store_are_replaced(self):
        # The store is unreachable for the hosts that follow it, and still answers the others.
        hosts = Hosts(12)
        hosts.run(1.0)
        unreachable = [fleet for fleet in hosts.fleets if fleet.follower_rank() is not None]
        for fleet in unreachable:
            name = fleet.own.peer_address
            fleet.make_status = lambda name=name: make_status(name, reaches_store=False)
            fleet.make_report = lambda name=name: make_report(
                name, status=make_status(name, reaches_store=False)
            )
        hosts.run(1.0)
        ranks = [fleet.follower_rank() for fleet in hosts.fleets if fleet not in unreachable]
        assert sorted(rank for rank in ranks if rank is not None) == [0, 1, 2]
        assert {fleet.follower_rank() for fleet in unreachable} == {None}

    def test_few_hosts_follow_a_store_that_no_host_reaches(self):
        hosts = Hosts(12)
        for fleet in hosts.fleets:
            name = fleet.own.peer_address
            fleet.make_status = lambda name=name: make_status(name, reaches_store=False)
            fleet.make_report = lambda name=name: make_report(
                name, status=make_status(name, reaches_store=False)
            )
        hosts.run(1.0)
        ranks = [fleet.follower_rank() for fleet in hosts.fleets]
        assert sorted(rank for rank in ranks if rank is not None) == [0, 1, 2]

    def test_a_fleet_is_formed_once_most_of_its_hosts_report(self):
        hosts = Hosts(8)
        first = hosts.fleets[0]
        assert not first.is_formed()
        first._apply_summary(
            merge_reports({n: make_report(n) for n in list(hosts.entries)[:3]}, EMPTY), hosts.now
        )
        assert not first.is_formed()
        hosts.run(1.0)
        assert all(fleet.is_formed() for fleet in hosts.fleets)

    def test_it_stays_formed_when_most_hosts_are_lost(self):
        hosts = Hosts(8)
        hosts.run(3.0)
        hosts.network.disconnected.update(list(hosts.entries)[2:])
        hosts.run(4.0)
        assert hosts.fleets[0].is_formed()

    @pytest.mark.parametrize("count", [1, 5])
    def test_leaving_hosts_follow_the_store_if_no_others_are_left(self, count):
        hosts = Hosts(count)
        for fleet in hosts.fleets:
            own = fleet.own.peer_address
            fleet.make_status = lambda own=own: make_status(own, is_leaving=True)
            fleet.make_report = lambda own=own: make_report(
                own, status=make_status(own, is_leaving=True)
            )
        hosts.run(3.0)
        ranks = [fleet.follower_rank() for fleet in hosts.fleets]
        assert sorted(rank for rank in ranks if rank is not None) == [0, 1, 2][:count]

    def test_a_host_without_contact_follows_the_store(self):
        assert Hosts(3).fleets[0].follower_rank() == 0


class TestChangeDistribution:
    def change(self, version: int = 5) -> StoredObject:
        return StoredObject(kind=Kind.SERVER, name="a", version=version, value=b"x")

    def test_a_change_reaches_all_other_hosts(self):
        hosts = Hosts(4)
        hosts.fleets[0].broadcast_changes([self.change()])
        hosts.network.deliver()
        others = hosts.fleets[1:]
        assert all(fleet.copy.listing(Kind.SERVER).objects for fleet in others)

    def test_a_host_that_missed_a_change_requests_it(self):
        hosts = Hosts(2)
        for fleet in hosts.fleets:
            for kind in Kind:
                fleet.copy.advance(kind, 1)
        hosts.fleets[0].copy.apply(self.change(), "store")
        hosts.fleets[0].copy.advance(Kind.SERVER, 5)
        outdated = hosts.fleets[1]
        assert outdated.copy.digests != hosts.fleets[0].copy.digests
        hosts.run(2.0)
        assert outdated.copy.digests == hosts.fleets[0].copy.digests

    def miss_a_removal(self, hosts: Hosts) -> None:
        """Add a server at revision 120 and remove it at 150; the last host misses the removal."""
        for fleet in hosts.fleets:
            for kind in Kind:
                fleet.copy.advance(kind, 100)
        first, *others = hosts.fleets
        for after, change in ((100, self.change(120)), (120, self.removal(150))):
            first.copy.apply(change, "store")
            first.copy.advance(Kind.SERVER, change.version)
            first.broadcast_changes([change], after, change.version)
            hosts.network.deliver()
            hosts.network.disconnected = {others[-1].own.peer_address}
        hosts.network.disconnected = set()

    def removal(self, version: int) -> StoredObject:
        return StoredObject(kind=Kind.SERVER, name="a", version=version, value=None)

    def holds(self, fleet: Fleet) -> bool:
        return bool(fleet.copy.listing(Kind.SERVER).objects)

    @pytest.mark.parametrize("hosts_count", [3, 8])
    def test_a_removal_reaches_a_host_that_missed_the_message(self, hosts_count):
        # Any host has to be able to answer the request, since most hosts do not read the store.
        hosts = Hosts(hosts_count)
        self.miss_a_removal(hosts)
        outdated = hosts.fleets[-1]
        assert self.holds(outdated)
        # The host that read the store is lost before another one could ask it.
        hosts.network.disconnected = {hosts.fleets[0].own.peer_address}
        hosts.run(2.0)
        assert not self.holds(outdated)

    def test_a_summary_from_a_host_that_is_behind_does_not_hide_one_that_is_ahead(self):
        hosts = Hosts(4)
        self.miss_a_removal(hosts)
        outdated, ahead = hosts.fleets[-1], hosts.fleets[1]
        outdated_state = outdated.copy.state()
        for step in range(8):
            outdated._compare_copies("an outdated host", outdated_state, hosts.now + step * 0.2)
            outdated._compare_copies(
                ahead.own.peer_address, ahead.copy.state(), hosts.now + step * 0.2 + 0.1
            )
        hosts.network.deliver()
        hosts.network.deliver()
        assert not self.holds(outdated)

    def test_equal_copies_adopt_the_newer_revision_without_a_request(self):
        # The store follower has read the store again and found no change.
        hosts = Hosts(3)
        for fleet in hosts.fleets:
            for kind in Kind:
                fleet.copy.advance(kind, 100)
        requests: list[CopyRequest] = []
        for fleet in hosts.fleets:
            fleet.mesh.subscribe(CopyRequest, lambda peer, message: requests.append(message))
        hosts.fleets[0].copy.advance(Kind.SERVER, 130)
        hosts.run(2.0)
        assert {fleet.copy.revisions[Kind.SERVER] for fleet in hosts.fleets} == {130}
        assert not requests

    def test_an_outdated_copy_does_not_restore_a_removed_server(self):
        # A host that has just started does not hold the objects that were removed before.
        hosts = Hosts(2)
        started, old = hosts.fleets
        for fleet, revision in ((started, 150), (old, 130)):
            for kind in Kind:
                fleet.copy.advance(kind, 100)
            old.copy.apply(self.change(120), "store")
            fleet.copy.advance(Kind.SERVER, revision)
        answer = CopyAnswer(kind=Kind.SERVER, listing=old.copy.listing(Kind.SERVER))
        old.mesh.send(started.own.peer_address, answer)
        old.mesh.send(started.own.peer_address, ObjectsChanged(objects=[self.change(120)]))
        hosts.network.deliver()
        assert not self.holds(started)

    def test_a_repeated_change_is_applied_once(self):
        hosts = Hosts(2)
        sources = []
        hosts.fleets[1].copy.listeners.append(lambda stored, source: sources.append(source))
        message = ObjectsChanged(objects=[self.change()])
        for _ in range(3):
            hosts.fleets[0].mesh.send(hosts.fleets[1].own.peer_address, message)
        hosts.network.deliver()
        assert sources == [hosts.fleets[0].own.peer_address]


class TestDivergedHostLists:
    """Hosts that most of the fleet lacks in its list of hosts, while their own list is complete."""

    def diverge(self, count: int, known_to_all: int) -> Hosts:
        hosts = Hosts(count)
        for number, fleet in enumerate(hosts.fleets):
            self.follow_copy(fleet)
            size = known_to_all if number < known_to_all else count
            fleet.update_hosts(
                {make_entry(member).peer_address: make_entry(member) for member in range(size)}
            )
            for member in range(size):
                fleet.copy.apply(self.registration(member), "store")
            for kind in Kind:
                fleet.copy.advance(kind, 100 + size)
        return hosts

    def registration(self, number: int) -> StoredObject:
        name = make_entry(number).peer_address
        value = str(number).encode()
        return StoredObject(kind=Kind.HOST, name=name, version=101 + number, value=value)

    def follow_copy(self, fleet: Fleet) -> None:
        def update(stored, source):
            numbers = (int(stored.value) for stored in fleet.copy.listing(Kind.HOST).objects)
            fleet.update_hosts(
                {make_entry(member).peer_address: make_entry(member) for member in numbers}
            )

        fleet.copy.listeners.append(update)

    @pytest.mark.parametrize(("count", "known_to_all"), [(12, 10), (20, 3), (3, 2), (58, 52)])
    def test_host_lists_converge_so_that_rates_are_not_used_twice(self, count, known_to_all):
        hosts = self.diverge(count, known_to_all)
        hosts.run(3.0)
        fleet_shares = [fleet.fleet_share for fleet in hosts.fleets]
        assert {
            (fleet_share.hosts, fleet_share.hosts_reporting) for fleet_share in fleet_shares
        } == {(count, count)}
        shares = [fleet_share.fraction(2.0, 2.0 * count, hosts.now) for fleet_share in fleet_shares]
        assert sum(shares) == pytest.approx(1.0)

    def test_unregistered_hosts_are_not_all_accepted_at_once(self):
        fleet = Hosts(2).fleets[0]
        for number in range(50):
            fleet.mesh.receive(f"192.0.2.{number}:7000", make_report())
        assert len(fleet.mesh.hosts) == 3

    def test_few_unregistered_hosts_are_accepted(self):
        hosts = Hosts(2)
        fleet = hosts.fleets[0]
        for number in range(50):
            hosts.now += 1.0
            fleet.mesh.receive(f"192.0.2.{number}:7000", make_report())
        assert len(fleet.mesh.hosts) == 2 + UNREGISTERED_PEERS_MAX


class TestLookup:
    def statuses(self, *numbers: int, **changes) -> list[HostStatus]:
        return [make_status(make_entry(number).peer_address, **changes) for number in numbers]

    @pytest.mark.parametrize(
        ("live", "expected"),
        [
            ([0, 4, 2, 1], [0, 4]),
            ([0, 2, 1], [0, 2]),
            ([2, 6, 1], [2, 6]),
            ([1, 3], [1, 3]),
            ([], []),
        ],
    )
    def test_the_nearest_serving_hosts_are_returned(self, live, expected):
        entries = {make_entry(number).peer_address: make_entry(number) for number in range(8)}
        found = nearby_hosts(self.statuses(*live), entries, "east", "dc-0")
        assert found == sorted(make_entry(number).listen for number in expected)

    @pytest.mark.parametrize("changes", [{"is_leaving": True}, {"is_ready": False}])
    def test_hosts_that_do_not_serve_are_not_returned(self, changes):
        entries = {make_entry(number).peer_address: make_entry(number) for number in range(8)}
        statuses = [*self.statuses(0, **changes), *self.statuses(4)]
        assert nearby_hosts(statuses, entries, "east", "dc-0") == [make_entry(4).listen]


class TestUnequalHosts:
    """A fleet of a few large hosts and many with a twentieth of their bandwidth.

    If small hosts got an equal share of requests and roles, they would answer seconds late.
    """

    def entries(self, large: t.Collection[int]) -> dict[str, HostEntry]:
        sizes = {
            True: {"link_mbps": 200.0, "cores": 2.15},
            False: {"link_mbps": 10.0, "cores": 0.4},
        }
        found = [
            msgspec.structs.replace(make_entry(number), **sizes[number in large])
            for number in range(24)
        ]
        return {host_entry.peer_address: host_entry for host_entry in found}

    def look_up(self, large, live, overloaded=()) -> list[str]:
        statuses = [
            make_status(make_entry(number).peer_address, is_overloaded=number in overloaded)
            for number in live
        ]
        return nearby_hosts(statuses, self.entries(large), "east", "dc-0")

    @pytest.mark.parametrize(
        ("large", "live", "overloaded", "expected"),
        [
            ({0, 4}, range(24), (), [0, 4]),
            ({0, 4}, range(24), {4}, [0, 4, 8, 12, 16, 20]),
            ({0, 4}, [0, 8, 12], (), [0, 8, 12]),
            ({0}, range(24), (), [0, 4, 8, 12, 16, 20]),
            ((), range(24), (), [0, 4, 8, 12, 16, 20]),
        ],
    )
    def test_only_large_hosts_are_returned_while_none_is_overloaded(
        self, large, live, overloaded, expected
    ):
        found = self.look_up(large, live, overloaded)
        assert found == sorted(make_entry(number).listen for number in expected)

    def test_roles_are_given_to_large_hosts(self):
        hosts = Hosts(24)
        large = {1, 3, 6, 8, 13, 17, 20}
        for fleet in hosts.fleets:
            fleet.update_hosts(self.entries(large))
        names = [make_entry(number).peer_address for number in range(24)]
        able = {make_entry(number).peer_address for number in large}
        assert set(hosts.fleets[0].rank_for("sum", names)) == able

    def test_a_host_is_overloaded_while_its_timers_are_late_and_some_time_after(self):
        detector = OverloadDetector()
        states = []
        for step in range(200):
            detector.record(0.2 if 50 <= step < 60 else 0.001, step * 0.1)
            states.append(detector.is_overloaded)
        assert states[49:53] == [False, True, True, True]
        assert states[100]
        assert not states[150]


class TestReports:
    def test_a_report_is_built_only_to_be_sent(self):
        built = []
        hosts = Hosts(3)
        fleet = hosts.fleets[0]
        make_report = fleet.make_report
        fleet.make_report = lambda: built.append(1) or make_report()
        fleet.step(0.2)
        fleet.live_hosts(0.3)
        fleet.follower_rank()
        assert len(built) == 1

    def test_a_rate_is_divided_by_the_reported_demand(self):
        steering_state = SteeringState("h", None, Bounds())
        now = time.monotonic()
        steering_state.configuration = Configuration(
            1, [], [], [WorkspaceRule(name="school", rate_per_s=10.0, burst=10.0)]
        )
        limiter = steering_state.rate_limiter("school", now)
        limiter.demand.add(now)
        reported = steering_state.build_report(make_status())
        limiter.demand.add(now)
        later = steering_state.build_report(make_status())
        steering_state.apply_summary(merge_reports({"h": reported}, EMPTY))
        assert limiter.reported_demand == reported.demands["school"] > 0.0
        assert limiter.reported_demand < later.demands["school"]
        assert steering_state.fleet_share.is_included


class TestMessages:
    @pytest.mark.parametrize(
        "message",
        [
            make_report(evidence={"s": Evidence()}, crashes=[Crash(b"\xff", "a")]),
            ObjectsChanged(objects=[StoredObject(kind=Kind.MOVE, name="m", version=2, value=None)]),
            merge_reports(
                {"h": make_report()}, CopyState(dict.fromkeys(Kind, 8), dict.fromkeys(Kind, 7))
            ),
        ],
    )
    def test_encoded_messages_decode_to_equal_ones(self, message):
        coded = msgspec.msgpack.encode(message)
        assert msgspec.msgpack.decode(coded, type=FleetMessage) == message
