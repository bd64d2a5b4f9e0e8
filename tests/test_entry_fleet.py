from __future__ import annotations

import itertools
import time
import typing as t

import msgspec
import pytest
from fleet_world import Hosts, entry, report, status

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
from radishbridge.entry.fleet import FOLLOWING_HOSTS, STRANGERS_MAX, SUMMING_HOSTS, sum_up
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


class TestSums:
    def test_reports_add_up(self):
        one = report(
            "h1",
            demands={"a": 1.0},
            home_bound={"s": {"east": HomeDemand(2.0, 1.0, 3)}},
            crashes=[Crash(b"x", "1")],
        )
        other = report(
            "h2",
            demands={"a": 2.0, "b": 1.0},
            home_bound={"s": {"east": HomeDemand(1.0, 0.5, 1), "west": HomeDemand(4.0, 4.0, 2)}},
        )
        total = sum_up({"h1": one, "h2": other}, EMPTY)
        assert total.demands == {"a": 3.0, "b": 1.0}
        assert total.home_bound == {
            "s": {"east": HomeDemand(3.0, 1.5, 4), "west": HomeDemand(4.0, 4.0, 2)}
        }
        assert total.crashes == [Crash(b"x", "1")]
        assert {status.name for status in total.hosts} == {"h1", "h2"}

    def test_evidence_of_two_hosts_is_kept_apart_from_theirs(self):
        seen = Evidence()
        seen.add("r", True, 0.1, True, False)
        reports = {name: report(name, evidence={"s": seen}) for name in ("h1", "h2")}
        assert sum_up(reports, EMPTY).evidence["s"].new["r"].failures == 2
        assert seen.new["r"].failures == 1


class TestFleet:
    def test_every_host_learns_what_all_do(self):
        hosts = Hosts(8)
        hosts.run(1.0)
        for fleet in hosts.fleets:
            assert fleet.summary is not None
            assert fleet.summary.demands == {"school": 16.0}
            assert fleet.fleet_share.hosts_reporting == fleet.fleet_share.hosts == 8

    def test_messages_grow_with_the_number_of_hosts_alone(self):
        counts = []
        for count in (10, 40):
            hosts = Hosts(count)
            for fleet, kind in itertools.product(hosts.fleets, Kind):
                fleet.copy.advance(kind, 1)
            hosts.run(1.0)
            counts.append(hosts.step() / count)
        assert counts[1] <= counts[0] + 1.0
        assert counts[1] <= 2 * SUMMING_HOSTS

    def test_another_host_sums_up_when_one_is_lost(self):
        hosts = Hosts(6)
        hosts.run(3.0)
        first = hosts.fleets[0]._summing(hosts.now)[0]
        hosts.network.cut.add(first)
        hosts.run(4.0)
        rest = [fleet for fleet in hosts.fleets if fleet.own.peer_address != first]
        assert {fleet.fleet_share.hosts_reporting for fleet in rest} == {5}
        assert {fleet.fleet_share.hosts for fleet in rest} == {6}

    def test_a_host_that_is_silent_for_long_is_given_up(self):
        hosts = Hosts(4)
        hosts.run(1.0)
        lost = hosts.fleets[3].own.peer_address
        hosts.network.cut.add(lost)
        hosts.run(2.0)
        assert hosts.fleets[0].lost_hosts(hosts.now) == []
        hosts.now += 119.0
        hosts.run(1.0)
        assert hosts.fleets[0].lost_hosts(hosts.now) == [lost]

    def test_few_hosts_follow_the_store(self):
        hosts = Hosts(12)
        hosts.run(1.0)
        places = [fleet.follower_rank() for fleet in hosts.fleets]
        assert sorted(place for place in places if place is not None) == [0, 1, 2]
        assert len(places) - places.count(None) == FOLLOWING_HOSTS

    def test_hosts_that_the_store_does_not_answer_are_replaced(self):
        # Load pattern: the store is cut off from the hosts that follow it, and serves the others.
        hosts = Hosts(12)
        hosts.run(1.0)
        cut = [fleet for fleet in hosts.fleets if fleet.follower_rank() is not None]
        for fleet in cut:
            name = fleet.own.peer_address
            fleet.make_status = lambda name=name: status(name, reaches_store=False)
            fleet.make_report = lambda name=name: report(
                name, status=status(name, reaches_store=False)
            )
        hosts.run(1.0)
        places = [fleet.follower_rank() for fleet in hosts.fleets if fleet not in cut]
        assert sorted(place for place in places if place is not None) == [0, 1, 2]
        assert {fleet.follower_rank() for fleet in cut} == {None}

    def test_when_the_store_answers_nobody_few_go_on_asking(self):
        hosts = Hosts(12)
        for fleet in hosts.fleets:
            name = fleet.own.peer_address
            fleet.make_status = lambda name=name: status(name, reaches_store=False)
            fleet.make_report = lambda name=name: report(
                name, status=status(name, reaches_store=False)
            )
        hosts.run(1.0)
        places = [fleet.follower_rank() for fleet in hosts.fleets]
        assert sorted(place for place in places if place is not None) == [0, 1, 2]

    def test_a_fleet_is_formed_once_most_of_its_hosts_are_heard(self):
        hosts = Hosts(8)
        first = hosts.fleets[0]
        assert not first.is_formed()
        first._take_summary(
            sum_up({n: report(n) for n in list(hosts.entries)[:3]}, EMPTY), hosts.now
        )
        assert not first.is_formed()
        hosts.run(1.0)
        assert all(fleet.is_formed() for fleet in hosts.fleets)

    def test_it_stays_formed_when_most_hosts_are_lost(self):
        hosts = Hosts(8)
        hosts.run(3.0)
        hosts.network.cut.update(list(hosts.entries)[2:])
        hosts.run(4.0)
        assert hosts.fleets[0].is_formed()

    @pytest.mark.parametrize("count", [1, 5])
    def test_hosts_that_leave_follow_it_where_no_other_one_is_left(self, count):
        hosts = Hosts(count)
        for fleet in hosts.fleets:
            own = fleet.own.peer_address
            fleet.make_status = lambda own=own: status(own, is_leaving=True)
            fleet.make_report = lambda own=own: report(own, status=status(own, is_leaving=True))
        hosts.run(3.0)
        places = [fleet.follower_rank() for fleet in hosts.fleets]
        assert sorted(place for place in places if place is not None) == [0, 1, 2][:count]

    def test_a_host_that_hears_nobody_follows_it_itself(self):
        assert Hosts(3).fleets[0].follower_rank() == 0


class TestPassingOn:
    def change(self, version: int = 5) -> StoredObject:
        return StoredObject(kind=Kind.SERVER, name="a", version=version, value=b"x")

    def test_a_change_reaches_all_other_hosts(self):
        hosts = Hosts(4)
        hosts.fleets[0].broadcast_changes([self.change()])
        hosts.network.deliver()
        others = hosts.fleets[1:]
        assert all(fleet.copy.listing(Kind.SERVER).objects for fleet in others)

    def test_a_host_that_missed_a_change_asks_for_it(self):
        hosts = Hosts(2)
        for fleet in hosts.fleets:
            for kind in Kind:
                fleet.copy.advance(kind, 1)
        hosts.fleets[0].copy.apply(self.change(), "store")
        hosts.fleets[0].copy.advance(Kind.SERVER, 5)
        late = hosts.fleets[1]
        assert late.copy.digests != hosts.fleets[0].copy.digests
        hosts.run(2.0)
        assert late.copy.digests == hosts.fleets[0].copy.digests

    def late_pair(self, hosts: Hosts) -> None:
        """Let a server join at revision 120 and leave at 150, which the last host misses."""
        for fleet in hosts.fleets:
            for kind in Kind:
                fleet.copy.advance(kind, 100)
        first, *others = hosts.fleets
        for after, change in ((100, self.change(120)), (120, self.removal(150))):
            first.copy.apply(change, "store")
            first.copy.advance(Kind.SERVER, change.version)
            first.broadcast_changes([change], after, change.version)
            hosts.network.deliver()
            hosts.network.cut = {others[-1].own.peer_address}
        hosts.network.cut = set()

    def removal(self, version: int) -> StoredObject:
        return StoredObject(kind=Kind.SERVER, name="a", version=version, value=None)

    def holds(self, fleet: Fleet) -> bool:
        return bool(fleet.copy.listing(Kind.SERVER).objects)

    @pytest.mark.parametrize("hosts_count", [3, 8])
    def test_a_server_that_left_is_dropped_by_a_host_that_missed_the_message(self, hosts_count):
        # Whoever it asks: most hosts do not read the store.
        hosts = Hosts(hosts_count)
        self.late_pair(hosts)
        late = hosts.fleets[-1]
        assert self.holds(late)
        # The host that read the store is gone, before anyone asked it.
        hosts.network.cut = {hosts.fleets[0].own.peer_address}
        hosts.run(2.0)
        assert not self.holds(late)

    def test_a_summary_of_a_late_host_does_not_hide_that_another_one_is_ahead(self):
        hosts = Hosts(4)
        self.late_pair(hosts)
        late, ahead = hosts.fleets[-1], hosts.fleets[1]
        behind = late.copy.state()
        for step in range(8):
            late._compare("a late host", behind, hosts.now + step * 0.2)
            late._compare(ahead.own.peer_address, ahead.copy.state(), hosts.now + step * 0.2 + 0.1)
        hosts.network.deliver()
        hosts.network.deliver()
        assert not self.holds(late)

    def test_equal_copies_agree_on_the_newer_revision_without_a_question(self):
        # The follower has read the store anew and found no change.
        hosts = Hosts(3)
        for fleet in hosts.fleets:
            for kind in Kind:
                fleet.copy.advance(kind, 100)
        asked: list[CopyRequest] = []
        for fleet in hosts.fleets:
            fleet.mesh.subscribe(CopyRequest, lambda peer, message: asked.append(message))
        hosts.fleets[0].copy.advance(Kind.SERVER, 130)
        hosts.run(2.0)
        assert {fleet.copy.revisions[Kind.SERVER] for fleet in hosts.fleets} == {130}
        assert not asked

    def test_a_removed_server_does_not_come_back_from_an_old_copy(self):
        # A host that starts has no memory of what was removed before.
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

    def test_a_repeated_change_is_taken_once(self):
        hosts = Hosts(2)
        taken = []
        hosts.fleets[1].copy.listeners.append(lambda stored, source: taken.append(source))
        message = ObjectsChanged(objects=[self.change()])
        for _ in range(3):
            hosts.fleets[0].mesh.send(hosts.fleets[1].own.peer_address, message)
        hosts.network.deliver()
        assert taken == [hosts.fleets[0].own.peer_address]


class TestSplitFleet:
    """Hosts registered late: most of the fleet does not know them, and is known to them."""

    def split(self, count: int, known_to_all: int) -> Hosts:
        hosts = Hosts(count)
        for number, fleet in enumerate(hosts.fleets):
            self.follow_copy(fleet)
            size = known_to_all if number < known_to_all else count
            fleet.update_hosts({entry(one).peer_address: entry(one) for one in range(size)})
            for one in range(size):
                fleet.copy.apply(self.registration(one), "store")
            for kind in Kind:
                fleet.copy.advance(kind, 100 + size)
        return hosts

    def registration(self, number: int) -> StoredObject:
        name = entry(number).peer_address
        value = str(number).encode()
        return StoredObject(kind=Kind.HOST, name=name, version=101 + number, value=value)

    def follow_copy(self, fleet: Fleet) -> None:
        def update(stored, source):
            numbers = (int(one.value) for one in fleet.copy.listing(Kind.HOST).objects)
            fleet.update_hosts({entry(one).peer_address: entry(one) for one in numbers})

        fleet.copy.listeners.append(update)

    @pytest.mark.parametrize(("count", "known_to_all"), [(12, 10), (20, 3), (3, 2), (58, 52)])
    def test_it_grows_together_so_that_rates_are_not_used_twice(self, count, known_to_all):
        hosts = self.split(count, known_to_all)
        hosts.run(3.0)
        fleet_shares = [fleet.fleet_share for fleet in hosts.fleets]
        assert {
            (fleet_share.hosts, fleet_share.hosts_reporting) for fleet_share in fleet_shares
        } == {(count, count)}
        shares = [fleet_share.fraction(2.0, 2.0 * count, hosts.now) for fleet_share in fleet_shares]
        assert sum(shares) == pytest.approx(1.0)

    def test_hosts_of_a_fleet_that_starts_are_not_all_met_at_once(self):
        fleet = Hosts(2).fleets[0]
        for number in range(50):
            fleet.mesh.take(f"192.0.2.{number}:7000", report())
        assert len(fleet.mesh.hosts) == 3

    def test_few_unregistered_hosts_are_listened_to(self):
        hosts = Hosts(2)
        fleet = hosts.fleets[0]
        for number in range(50):
            hosts.now += 1.0
            fleet.mesh.take(f"192.0.2.{number}:7000", report())
        assert len(fleet.mesh.hosts) == 2 + STRANGERS_MAX


class TestLookup:
    def statuses(self, *numbers: int, **changes) -> list[HostStatus]:
        return [status(entry(number).peer_address, **changes) for number in numbers]

    @pytest.mark.parametrize(
        ("alive", "expected"),
        [
            ([0, 4, 2, 1], [0, 4]),
            ([0, 2, 1], [0, 2]),
            ([2, 6, 1], [2, 6]),
            ([1, 3], [1, 3]),
            ([], []),
        ],
    )
    def test_the_nearest_hosts_that_serve_are_named(self, alive, expected):
        entries = {entry(number).peer_address: entry(number) for number in range(8)}
        found = nearby_hosts(self.statuses(*alive), entries, "east", "dc-0")
        assert found == sorted(entry(number).listen for number in expected)

    @pytest.mark.parametrize("changes", [{"is_leaving": True}, {"is_ready": False}])
    def test_hosts_that_do_not_serve_are_not_named(self, changes):
        entries = {entry(number).peer_address: entry(number) for number in range(8)}
        statuses = [*self.statuses(0, **changes), *self.statuses(4)]
        assert nearby_hosts(statuses, entries, "east", "dc-0") == [entry(4).listen]


class TestUnequalHosts:
    """Load pattern: a fleet of a few large hosts and many with a twentieth of their link."""

    def entries(self, large: t.Collection[int]) -> dict[str, HostEntry]:
        sizes = {
            True: {"link_mbps": 200.0, "cores": 2.15},
            False: {"link_mbps": 10.0, "cores": 0.4},
        }
        found = [
            msgspec.structs.replace(entry(number), **sizes[number in large]) for number in range(24)
        ]
        return {one.peer_address: one for one in found}

    def look_up(self, large, alive, strained=()) -> list[str]:
        statuses = [
            status(entry(number).peer_address, is_overloaded=number in strained) for number in alive
        ]
        return nearby_hosts(statuses, self.entries(large), "east", "dc-0")

    @pytest.mark.parametrize(
        ("large", "alive", "strained", "expected"),
        [
            ({0, 4}, range(24), (), [0, 4]),
            ({0, 4}, range(24), {4}, [0, 4, 8, 12, 16, 20]),
            ({0, 4}, [0, 8, 12], (), [0, 8, 12]),
            ({0}, range(24), (), [0, 4, 8, 12, 16, 20]),
            ((), range(24), (), [0, 4, 8, 12, 16, 20]),
        ],
    )
    def test_large_hosts_are_named_alone_while_they_keep_up(self, large, alive, strained, expected):
        found = self.look_up(large, alive, strained)
        assert found == sorted(entry(number).listen for number in expected)

    def test_duties_fall_to_large_hosts(self):
        hosts = Hosts(24)
        large = {1, 3, 6, 8, 13, 17, 20}
        for fleet in hosts.fleets:
            fleet.update_hosts(self.entries(large))
        names = [entry(number).peer_address for number in range(24)]
        able = {entry(number).peer_address for number in large}
        assert set(hosts.fleets[0].rank_for("sum", names)) == able

    def test_a_host_is_strained_while_its_timers_are_late_and_some_time_after(self):
        detector = OverloadDetector()
        states = []
        for step in range(200):
            detector.record(0.2 if 50 <= step < 60 else 0.001, step * 0.1)
            states.append(detector.is_overloaded)
        assert states[49:53] == [False, True, True, True]
        assert states[100]
        assert not states[150]


class TestReports:
    def test_one_is_built_only_where_it_is_sent(self):
        built = []
        hosts = Hosts(3)
        fleet = hosts.fleets[0]
        make_report = fleet.make_report
        fleet.make_report = lambda: built.append(1) or make_report()
        fleet.step(0.2)
        fleet.live_hosts(0.3)
        fleet.follower_rank()
        assert len(built) == 1

    def test_a_rate_is_divided_by_the_demand_that_was_reported(self):
        steering_state = SteeringState("h", None, Bounds())
        now = time.monotonic()
        steering_state.configuration = Configuration(
            1, [], [], [WorkspaceRule(name="school", rate_per_s=10.0, burst=10.0)]
        )
        limiter = steering_state.rate_limiter("school", now)
        limiter.demand.add(now)
        reported = steering_state.build_report(status())
        limiter.demand.add(now)
        later = steering_state.build_report(status())
        steering_state.apply_summary(sum_up({"h": reported}, EMPTY))
        assert limiter.reported_demand == reported.demands["school"] > 0.0
        assert limiter.reported_demand < later.demands["school"]
        assert steering_state.fleet_share.is_included


class TestMessages:
    @pytest.mark.parametrize(
        "message",
        [
            report(evidence={"s": Evidence()}, crashes=[Crash(b"\xff", "a")]),
            ObjectsChanged(objects=[StoredObject(kind=Kind.MOVE, name="m", version=2, value=None)]),
            sum_up({"h": report()}, CopyState(dict.fromkeys(Kind, 8), dict.fromkeys(Kind, 7))),
        ],
    )
    def test_they_survive_the_wire(self, message):
        coded = msgspec.msgpack.encode(message)
        assert msgspec.msgpack.decode(coded, type=FleetMessage) == message
