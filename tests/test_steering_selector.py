from __future__ import annotations

import collections

import pytest
from steering_world import T0, make_selector, make_server

from radishbridge.steering import LoadReport, ServerCriteria, ServiceRule, SlowStart


def criteria(key: str = "7", **changes) -> ServerCriteria:
    return ServerCriteria("catalogue", key, None, None)._replace(**changes)


def fill(state, occupancy: float) -> None:
    state.in_flight = round(occupancy * state.server.slots)


class TestPlacement:
    def test_an_object_keeps_its_server(self):
        selector = make_selector(8)
        chosen = {selector.choose(criteria(), (), T0).server.name for _ in range(20)}
        assert len(chosen) == 1

    def test_only_the_objects_of_a_lost_server_move(self):
        selector = make_selector(10)
        keys = [str(number) for number in range(300)]
        before = {key: selector.choose(criteria(key), (), T0).server.name for key in keys}
        selector.remove("server-3")
        after = {key: selector.choose(criteria(key), (), T0).server.name for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        assert all(before[key] == "server-3" for key in moved)

    def test_objects_spread_over_servers(self):
        selector = make_selector(10)
        chosen = (selector.choose(criteria(str(number)), (), T0) for number in range(1000))
        counts = collections.Counter(state.server.name for state in chosen)
        assert len(counts) == 10
        assert max(counts.values()) < 160

    def test_requests_without_home_regions_avoid_a_region_full_of_home_bound_ones(self):
        selector = make_selector(8)
        selector.update_weights("catalogue", {"east": 15.0}, T0)
        regions = {
            selector.choose(criteria(str(number)), (), T0).server.region for number in range(200)
        }
        assert regions == {"west"}

    def test_small_changes_of_the_load_do_not_change_weights(self):
        selector = make_selector(8)
        selector.update_weights("catalogue", {"east": 7.0}, T0)
        before = dict(selector.weights["catalogue"].weights)
        selector.update_weights("catalogue", {"east": 8.0}, T0)
        assert selector.weights["catalogue"].weights == before

    def test_few_objects_move_at_once_when_a_regions_home_bound_load_ends(self):
        selector = make_selector(0)
        for number in range(9):
            region = ("east", "west", "north")[number % 3]
            selector.put(make_server(number, region=region), T0)
        selector.update_weights("catalogue", {"east": 15.0}, T0)
        keys = [str(number) for number in range(1000)]

        def regions() -> list[str]:
            return [selector.choose(criteria(key), (), T0).server.region for key in keys]

        regions_by_time = [regions()]
        for half_seconds in range(40):
            selector.update_weights("catalogue", {"east": 0.0}, T0 + 0.5 * half_seconds)
            regions_by_time.append(regions())
        moved = [
            sum(one != other for one, other in zip(before, after, strict=True))
            for before, after in zip(regions_by_time, regions_by_time[4:], strict=False)
        ]
        assert max(moved) <= 150
        assert regions_by_time[-1].count("east") > 250

    def test_objects_with_large_responses_mostly_stay_in_the_region(self):
        selector = make_selector(8)
        selector.region = "east"
        keys = [str(number) for number in range(300)]

        def count_in_own_region() -> int:
            chosen = [selector.choose(criteria(key), (), T0).server.region for key in keys]
            return chosen.count("east")

        before = count_in_own_region()
        selector.prefer_own_region("catalogue")
        assert before < 180
        assert count_in_own_region() > 240

    def test_objects_beyond_the_own_regions_capacity_go_where_the_other_region_has_them_warm(self):
        # A region has few servers of a service with large responses.
        east, west = make_selector(12), make_selector(12)
        east.region, west.region = "east", "west"
        for selector in (east, west):
            selector.prefer_own_region("catalogue")
        for state in east.states.values():
            fill(state, 0.5 if state.server.region == "east" else 0.0)
        chosen = {str(n): east.choose(criteria(str(n)), (), T0).server.region for n in range(50)}
        in_own_region = [key for key, region in chosen.items() if region == "east"]
        assert len(in_own_region) > 40
        for state in east.states.values():
            fill(state, 2.0 if state.server.region == "east" else 0.0)
        for key in in_own_region:
            remote = east.choose(criteria(key), (), T0).server
            west_ranking = [state.server for state in west._ranking(criteria(key))]
            assert remote == next(server for server in west_ranking if server.region == "west")

    def test_versions_are_recounted_when_servers_change(self):
        selector = make_selector(3)
        assert selector.servers_by_version("catalogue") == {"v1": 3}
        selector.put(make_server(3, version="v2"), T0)
        assert selector.servers_by_version("catalogue") == {"v1": 3, "v2": 1}
        selector.remove("server-0")
        assert selector.servers_by_version("catalogue") == {"v1": 2, "v2": 1}


class TestEligibleServers:
    def test_home_regions_are_respected_even_when_full(self):
        selector = make_selector(8)
        for state in selector.states.values():
            fill(state, 0.0 if state.server.region == "west" else 9.0)
        assert selector.choose(criteria(home_regions=frozenset({"east"})), (), T0) is None

    @pytest.mark.parametrize(
        "changes", [{"draining": True}, {"version": "v2"}, {"service": "other"}]
    )
    def test_ineligible_servers_are_excluded(self, changes):
        selector = make_selector(1, **changes)
        assert selector.choose(criteria(versions=frozenset({"v1"})), (), T0) is None

    def test_a_drained_data_centre_gets_nothing_until_the_drain_is_removed(self):
        selector = make_selector(1)
        selector.set_drained({"dc-0"})
        assert selector.choose(criteria(), (), T0) is None
        selector.set_drained(())
        assert selector.choose(criteria(), (), T0) is not None

    def test_a_server_restarted_under_the_same_name_starts_with_a_new_state(self):
        selector = make_selector(1)
        fill(selector.states["server-0"], 9.0)
        assert selector.put(make_server(0, incarnation=2), T0)
        assert selector.choose(criteria(), (), T0) is not None


class TestOverload:
    """Requests beyond the capacity of an object's servers must not spread over cold ones."""

    def test_an_object_goes_to_the_less_loaded_of_its_servers(self):
        selector = make_selector(8)
        first = selector.choose(criteria(), (), T0)
        fill(first, 2.0)
        second = selector.choose(criteria(), (), T0)
        assert second is not first
        fill(second, 2.0)
        assert selector.choose(criteria(), (), T0) is first

    @pytest.mark.parametrize(("occupancy", "moves"), [(0.5, False), (1.0, False), (2.0, True)])
    def test_an_object_leaves_a_server_where_it_is_warm_only_for_a_long_queue(
        self, occupancy, moves
    ):
        selector = make_selector(8)
        first = selector.choose(criteria(), (), T0)
        first.mark_object_warm("7", T0)
        fill(first, occupancy)
        assert (selector.choose(criteria(), (), T0) is not first) is moves

    def test_servers_where_an_object_is_warm_share_it_evenly(self):
        selector = make_selector(8)
        for state in selector.states.values():
            state.mark_object_warm("7", T0)
        first = selector.choose(criteria(), (), T0)
        fill(first, 0.5)
        assert selector.choose(criteria(), (), T0) is not first

    def test_a_request_is_refused_when_its_servers_are_full_and_others_busy(self):
        selector = make_selector(8)
        for state in selector.states.values():
            fill(state, 1.0)
        for _ in range(2):
            fill(selector.choose(criteria(), (), T0), 9.0)
        assert selector.choose(criteria(), (), T0) is None

    @pytest.mark.parametrize(
        ("rank", "occupancy", "runs"),
        [(0, 2.5, True), (1, 2.0, True), (1, 2.5, False), (2, 2.0, False), (9, 1.5, True)],
    )
    def test_the_last_places_are_for_more_urgent_requests(self, rank, occupancy, runs):
        selector = make_selector(2)
        for state in selector.states.values():
            fill(state, occupancy)
        assert (selector.choose(criteria(rank=rank), (), T0) is not None) is runs

    def test_idle_servers_run_requests_beyond_the_preferred_ones(self):
        selector = make_selector(8)
        for _ in range(2):
            fill(selector.choose(criteria(), (), T0), 9.0)
        assert selector.choose(criteria(), (), T0) is not None

    def test_load_of_other_hosts_counts_and_decays(self):
        selector = make_selector(1)
        state = selector.states["server-0"]
        state.record_load(LoadReport(running=4, waiting=12, slots=4), T0)
        assert selector.choose(criteria(), (), T0) is None
        assert selector.choose(criteria(), (), T0 + 2.0) is state


class TestHealth:
    def test_consecutive_failures_eject_a_server_for_a_while(self):
        selector = make_selector(2)
        first = selector.choose(criteria(), (), T0)
        for _ in range(3):
            first.record_failure(T0)
        assert selector.choose(criteria(), (), T0) is not first
        assert selector.choose(criteria(), (), T0 + 1.1) is first

    def test_one_request_at_a_time_probes_a_server_after_its_ejection(self):
        selector = make_selector(2)
        first = selector.choose(criteria(), (), T0)
        first.record_failure(T0, weight=3)
        first.start(T0 + 1.1)
        assert selector.choose(criteria(), (), T0 + 1.1) is not first

    def test_ejected_servers_are_used_when_all_are_ejected(self):
        selector = make_selector(2)
        for state in selector.states.values():
            state.record_failure(T0, weight=3)
        assert selector.choose(criteria(), (), T0) is not None

    @pytest.mark.parametrize(("every", "is_ejected"), [(2, True), (10, False)])
    def test_a_server_with_a_high_failure_rate_is_ejected(self, every, is_ejected):
        state = make_selector(1).states["server-0"]
        was_ejected = False
        for number in range(40):
            if number % every == 0:
                was_ejected = state.record_failure(T0) or was_ejected
            else:
                state.record_success(0.1, T0)
        assert was_ejected is is_ejected

    def test_an_object_leaves_a_slow_server_and_returns_later(self):
        # A server becomes ten times slower, while its queue is short.
        selector = make_selector(8)
        for state in selector.states.values():
            state.mark_object_warm("7", T0)
            for _ in range(8):
                state.record_success(0.1, T0)
        first = selector.choose(criteria(), (), T0)
        for _ in range(20):
            first.record_success(1.0, T0)
        selector.update_median_latencies()
        assert selector.choose(criteria(), (), T0) is not first
        assert selector.choose(criteria(), (), T0 + 3.0) is first


class TestSilence:
    """A server is partitioned: no connection breaks, and requests to it get no response."""

    def selector(self):
        selector = make_selector(4)
        for state in selector.states.values():
            for _ in range(8):
                state.record_success(0.1, T0)
        selector.update_median_latencies()
        return selector

    def test_a_server_that_does_not_respond_gets_no_more_requests(self):
        selector = self.selector()
        first = selector.choose(criteria(), (), T0)
        first.start(T0)
        assert selector.choose(criteria(), (), T0 + 0.25) is first
        assert selector.choose(criteria(), (), T0 + 0.35) is not first

    def test_any_response_ends_the_silence(self):
        selector = self.selector()
        first = selector.choose(criteria(), (), T0)
        first.start(T0)
        first.start(T0 + 0.1)
        first.finish()
        first.record_response(T0 + 0.3)
        assert selector.choose(criteria(), (), T0 + 0.5) is first

    def test_an_idle_server_is_not_silent(self):
        selector = self.selector()
        first = selector.choose(criteria(), (), T0)
        first.start(T0)
        first.finish()
        assert selector.choose(criteria(), (), T0 + 9.0) is first
        first.start(T0 + 9.0)
        assert selector.choose(criteria(), (), T0 + 9.1) is first

    def test_a_few_responses_give_no_median_latency(self):
        # The first responses after a start are those of the shortest runs.
        selector = make_selector(4)
        for state in selector.states.values():
            state.record_success(0.01, T0)
        selector.update_median_latencies()
        first = selector.choose(criteria(), (), T0)
        first.start(T0)
        assert selector.choose(criteria(), (), T0 + 0.5) is first

    def test_without_a_median_latency_no_server_is_silent(self):
        selector = make_selector(4)
        first = selector.choose(criteria(), (), T0)
        first.start(T0)
        assert selector.choose(criteria(), (), T0 + 9.0) is first


class TestSlowStart:
    """Each host alone sends little to a cold server, but all together would send too much."""

    @pytest.mark.parametrize("hosts", [1, 3, 11, 77])
    def test_all_hosts_together_stay_within_the_limit_in_any_second(self, hosts):
        names = [f"host-{number}" for number in range(hosts)]
        rate_per_s, sent = 17.0, []
        for name in names:
            selector = make_selector(1, cold_for_s=10.0)
            selector.slow_start.host = name
            selector.slow_start.update_hosts(names)
            selector.rules = {"catalogue": ServiceRule(name="catalogue", slow_start_per_s=17.0)}
            times = [T0 + step / 200.0 for step in range(800)]
            sent += [at for at in times if selector.choose(criteria(), (), at) is not None]
        peak = max(sum(start <= at < start + 1.0 for at in sent) for start in sent)
        assert rate_per_s / 3.0 < peak <= rate_per_s * 1.5 + 5.0

    def test_leaving_hosts_do_not_add_to_the_requests_of_their_successors(self):
        # Hosts that send to a cold server shut down, and still serve requests for some seconds.
        names = [f"host-{number}" for number in range(11)]
        starts = {name: SlowStart(name, 1.5, 5.0) for name in names}
        for start in starts.values():
            start.update_hosts(names)
        leaving = [name for name in names if starts[name].admit("server-0", 17.0, T0)]
        sent = []
        for step in range(1, 1000):
            at = T0 + step / 200.0
            if step == 200:
                for name in leaving:
                    starts[name].leave()
            if step == 260:
                for start in starts.values():
                    start.update_hosts(name for name in names if name not in leaving)
            sent += [at for start in starts.values() if start.admit("server-0", 17.0, at)]
        peak = max(sum(start <= at < start + 1.0 for at in sent) for start in sent)
        assert len(leaving) == 5
        assert max(sent) > T0 + 4.0
        assert peak <= 17.0 * 1.5 + 5.0
