"""Selection by expected time, for services whose servers report pace, and only for these."""

from __future__ import annotations

import itertools
import random

import pytest
from steering_world import T0, make_selector, make_server

from radishbridge.steering import LoadReport, Selector, ServerCriteria, ServerState, ServiceRule
from radishbridge.steering.load import (
    RUN_SAMPLES_MIN,
    TARGET_TOLERANCE,
    Choice,
    Refusal,
    RunLengths,
    is_moved,
    retry_delay_s,
)
from radishbridge.steering.selector import (
    COLD_OBJECT_BIAS,
    FALLBACK_OCCUPANCY_LIMIT,
    FALLBACK_SERVERS_MAX,
    OCCUPANCY_LIMIT,
    RANK_PENALTY,
    RANK_PENALTY_MAX,
    SERVERS_PER_OBJECT,
    WARM_OBJECT_BIAS,
)

COLD_S = 1.0
WARM_S = 0.3
CRITERIA = ServerCriteria("catalogue", "7", None, None, target_s=0.8, remaining_s=6.0)


def report(load: int, pace: float = 1.0, slots: int = 4) -> LoadReport:
    return LoadReport(min(slots, load), max(0, load - slots), slots, pace, has_pace=True)


def make_loaded(count: int = 8, load: int = 0, **changes) -> Selector:
    """Return a selector whose servers have reported a load, and whose run lengths are known."""
    selector = make_selector(count, **changes)
    for state in selector.states.values():
        set_load(selector, state, load)
    runs = selector.loads["catalogue"].runs
    for _ in range(RUN_SAMPLES_MIN):
        runs.add(COLD_S)
    runs.warm_fraction = 0.9
    return selector


def set_load(selector: Selector, state: ServerState, load: int, now: float = T0) -> None:
    selector.loads.record_load(state, report(load), now)
    state.mean_occupancy = 0.0


def servers_of(selector: Selector, key: str = "7") -> list[ServerState]:
    return selector._ranking(CRITERIA._replace(key=key))


def previous_choice(selector: Selector, criteria: ServerCriteria, tried: list[str], now: float):
    """The selection of the release before, for services with ordinary responses."""
    median_s = selector.median_latencies.get(criteria.service, 0.0)

    def occupancy(state: ServerState) -> float:
        age_s = max(0.0, now - state.load_reported_at)
        return (state.in_flight + state.other_hosts_load * 2.0 ** (-age_s / 0.3)) / 4

    def bias(position: int, state: ServerState) -> float:
        if not criteria.has_affinity or state.has_warm_object(criteria.key, now):
            return WARM_OBJECT_BIAS * position
        return COLD_OBJECT_BIAS * (position + 0.5)

    available = (
        state
        for state in selector._ranking(criteria)
        if state.server.name not in tried
        and not state.is_ejected(now)
        and not state.is_silent(median_s, now)
        and not state.is_paused(now)
    )
    first = list(itertools.islice(available, SERVERS_PER_OBJECT))
    if not first:
        available = (
            state
            for state in selector._ranking(criteria)
            if state.server.name not in tried and not state.is_paused(now)
        )
        first = list(itertools.islice(available, SERVERS_PER_OBJECT))
    biases = {state: bias(position, state) for position, state in enumerate(first)}
    limit = OCCUPANCY_LIMIT - min(RANK_PENALTY_MAX, RANK_PENALTY * criteria.rank)
    for state in sorted(
        first, key=lambda one: occupancy(one) + one.slowness(median_s, now) + biases[one]
    ):
        if occupancy(state) < limit:
            return state
    others = itertools.islice(available, FALLBACK_SERVERS_MAX)
    return next((one for one in others if occupancy(one) < FALLBACK_OCCUPANCY_LIMIT), None)


class TestServicesWithoutPace:
    """Ten deployments are in service whose servers report three figures or none."""

    @pytest.mark.parametrize("seed", range(8))
    def test_the_selections_are_the_same_as_before(self, seed):
        rng = random.Random(seed)
        selector = make_selector(12)
        in_flight: list[ServerState] = []
        now, chosen, refused = T0, 0, 0
        for _ in range(600):
            now += rng.expovariate(60.0)
            criteria = ServerCriteria(
                "catalogue",
                str(rng.randrange(30)),
                None,
                None,
                has_affinity=rng.random() < 0.9,
                rank=rng.randrange(3),
                target_s=0.2,
                remaining_s=rng.uniform(0.0, 1.0),
            )
            tried = rng.sample(list(selector.states), rng.randrange(3))
            expected = previous_choice(selector, criteria, tried, now)
            state = selector.choose(criteria, tried, now)
            assert state is expected
            refused += state is None
            chosen += state is not None
            if state is not None:
                state.start(now)
                in_flight.append(state)
            while len(in_flight) > rng.randrange(20, 90):
                done = in_flight.pop(rng.randrange(len(in_flight)))
                done.record_response(now)
                if rng.random() < 0.1:
                    done.record_failure(now)
                else:
                    done.record_success(rng.uniform(0.05, 0.4), now)
                    done.mark_object_warm(str(rng.randrange(30)), now)
                    selector.loads.record_run(done, Choice(done), 0.2)
                load = LoadReport(rng.randrange(5), rng.randrange(13), 4)
                selector.loads.record_load(done, load, now)
                done.finish()
            if rng.random() < 0.1:
                selector.update_median_latencies()
        assert chosen > 100
        assert refused > 10
        assert not selector.loads

    def test_pace_of_one_service_does_not_change_another(self):
        selector = make_loaded()
        selector.put(make_server(99, service="other"), T0)
        state = selector.states["server-99"]
        for _ in range(30):
            selector.loads.record_load(state, LoadReport(4, 12, 4), T0)
            selector.loads.record_run(state, Choice(state), 1.0)
        assert set(selector.loads) == {"catalogue"}


class TestRunLengths:
    def test_warm_and_cold_runs_are_told_apart(self):
        rng = random.Random(1)
        runs = RunLengths()
        for number in range(400):
            is_warm = number > 20 and rng.random() < 0.8
            runs.add((WARM_S if is_warm else COLD_S) * rng.lognormvariate(0.0, 0.15))
        assert runs.cold_s == pytest.approx(COLD_S, rel=0.1)
        assert runs.warm_fraction == pytest.approx(0.8, abs=0.15)

    @pytest.mark.parametrize("warm_run_fraction", [0.15, 0.3, 0.45])
    def test_the_length_of_warm_runs_is_measured(self, warm_run_fraction):
        # A service whose warm runs take another fraction of a cold one was judged by a constant.
        rng = random.Random(3)
        runs = RunLengths()
        for number in range(600):
            is_warm = number > 20 and rng.random() < 0.7
            length_s = warm_run_fraction * COLD_S if is_warm else COLD_S
            runs.add(length_s * rng.lognormvariate(0.0, 0.1))
        assert runs.warm_s == pytest.approx(warm_run_fraction * COLD_S, rel=0.15)
        assert runs.cold_s == pytest.approx(COLD_S, rel=0.15)

    def test_runs_of_seven_times_the_length_change_little(self):
        rng = random.Random(2)
        runs = RunLengths()
        for _ in range(400):
            runs.add(COLD_S * (7.0 if rng.random() < 0.03 else 1.0))
        assert runs.cold_s < 1.3 * COLD_S


class TestPace:
    def test_one_slow_report_is_noise_and_many_are_a_property_of_the_server(self):
        selector = make_loaded(1)
        state = selector.states["server-0"]
        selector.loads.record_load(state, report(0, pace=2.5), T0 + 10.0)
        assert state.pace < 1.2
        for number in range(60):
            selector.loads.record_load(state, report(0, pace=2.5), T0 + 10.0 + 0.5 * number)
        assert state.pace > 2.3

    def test_a_slow_server_is_expected_to_take_longer(self):
        selector = make_loaded()
        first = servers_of(selector)[0]
        before = selector.decide(CRITERIA, (), T0)
        first.pace = 2.5
        load = selector.loads["catalogue"]
        assert load.estimate(first, 0, "7", T0).run_s == pytest.approx(2.5 * before.expected_s)


class TestSelectionByTime:
    def test_an_object_stays_on_its_first_server_while_a_slot_is_free(self):
        # Most runs are warm only as long as few objects share a server.
        selector = make_loaded()
        first = servers_of(selector)[0]
        set_load(selector, first, 3)
        assert selector.decide(CRITERIA, (), T0).state is first

    def test_a_request_goes_to_the_second_server_if_the_first_ones_queue_is_long(self):
        selector = make_loaded()
        first, second = servers_of(selector)[:2]
        set_load(selector, first, 16)
        choice = selector.decide(CRITERIA, (), T0)
        assert choice.state is second
        assert choice.position == 1

    def test_load_that_a_server_reported_seconds_ago_still_counts(self):
        # By occupancy it halves every 0.3 s, and a host hears of a server every ten seconds.
        selector = make_loaded(load=16)
        now = T0 + 2.0
        load = selector.loads["catalogue"]
        load.mean_load = 4.0
        first = servers_of(selector)[0]
        assert first.expected_load(load.mean_load, now) > 15.0
        assert first.occupancy(now) < 0.1
        assert selector.decide(CRITERIA, (), now).state is None

    def test_no_cold_run_is_spent_on_a_server_that_does_not_serve_the_object(self):
        selector = make_loaded()
        for state in servers_of(selector)[:2]:
            set_load(selector, state, 16)
        assert selector.decide(CRITERIA, (), T0).refusal is Refusal.DISPLACES

    def test_a_nearly_idle_server_is_used_if_a_cold_run_is_in_time(self):
        selector = make_loaded()
        for state in servers_of(selector)[:2]:
            set_load(selector, state, 40)
        choice = selector.decide(CRITERIA._replace(target_s=1.5), (), T0)
        assert choice.position == 2

    def test_objects_move_for_good_from_a_server_that_stays_busier_one_after_the_other(self):
        selector = make_loaded()
        first, second = list(selector.states.values())[:2]
        keys = [str(number) for number in range(200)]
        counts = []
        for occupancy in (0.2, 0.8, 1.4, 2.0):
            first.mean_occupancy = occupancy
            counts.append(sum(is_moved(first, second, key) for key in keys))
        assert counts[0] == 0
        assert counts == sorted(counts)
        assert 40 < counts[1] < 100
        assert counts[3] == 200


class TestSilence:
    """A request that waits in a queue and runs on a cold object must not count as silence."""

    def test_a_wait_and_a_cold_run_are_no_silence(self):
        selector = make_loaded()
        selector.loads["catalogue"].mean_expected_s = 0.5
        state = servers_of(selector)[0]
        state.start(T0)
        silence_s = selector.loads.silence_latency_s("catalogue", 0.4)
        assert not state.is_silent(silence_s, T0 + 1.3)
        assert not state.is_silent(silence_s, T0 + 2.4)
        assert state.is_silent(silence_s, T0 + 2.6)

    def test_the_median_counts_without_pace_and_before_run_lengths_are_known(self):
        selector = make_selector(4)
        assert selector.loads.silence_latency_s("catalogue", 0.4) == 0.4
        selector.loads.record_load(selector.states["server-0"], report(1), T0)
        assert selector.loads.silence_latency_s("catalogue", 0.4) == 0.4
        assert selector.loads.silence_latency_s("other", 0.0) == 0.0


class TestUnheardServers:
    """A server hangs, and each of many hosts sends it too few requests to notice that."""

    def play(self, selector: Selector, silent: str, until_s: float, gap_from_s: float = 99.0):
        """Let summaries cover all servers but one, twice a second; return the time at the end."""
        for step in range(int(2 * until_s)):
            now = T0 + 0.5 * step
            if now - T0 >= gap_from_s:
                break
            reporting = [name for name in selector.states if name != silent]
            for name in reporting:
                selector.loads.record_shared_load(selector.states[name], report(2), now, now)
            selector.loads.record_summary({"catalogue": len(reporting) / 8}, now)
        return T0 + until_s

    def count_for(self, selector: Selector, silent: str, now: float) -> int:
        keys = [str(number) for number in range(400)]
        own = [key for key in keys if servers_of(selector, key)[0].server.name == silent]
        assert len(own) > 20
        chosen = (
            selector.decide(CRITERIA._replace(key=key), (), now + number)
            for number, key in enumerate(own)
        )
        return sum(choice.state.server.name == silent for choice in chosen) * 100 // len(own)

    def test_a_server_that_no_host_hears_gets_few_requests(self):
        selector = make_loaded()
        assert self.count_for(selector, "server-3", T0) > 90
        now = self.play(selector, "server-3", 12.0)
        load = selector.loads["catalogue"]
        load.shared_at = now + 400.0  # Summaries go on while the requests are counted.
        assert 0 < self.count_for(selector, "server-3", now) < 50

    def test_it_gets_requests_again_with_the_first_report(self):
        selector = make_loaded()
        now = self.play(selector, "server-3", 12.0)
        state = selector.states["server-3"]
        assert selector.loads["catalogue"].is_unheard(state, now)
        selector.loads.record_shared_load(state, report(0), now, now)
        assert not selector.loads["catalogue"].is_unheard(state, now)

    def test_no_server_is_unheard_while_summaries_are_missing_or_have_just_come_back(self):
        selector = make_loaded()
        now = self.play(selector, "server-3", 12.0, gap_from_s=8.0)
        load = selector.loads["catalogue"]
        assert not any(load.is_unheard(state, now) for state in selector.states.values())
        load.record_summary(1.0, now)
        assert not any(load.is_unheard(state, now + 1.0) for state in selector.states.values())

    def test_servers_that_answer_seldom_are_not_unheard(self):
        selector = make_loaded()
        for step in range(60):
            selector.loads.record_summary({"catalogue": 0.25}, T0 + 0.5 * step)
        load = selector.loads["catalogue"]
        assert not any(load.is_unheard(state, T0 + 30.0) for state in selector.states.values())

    def test_a_new_server_is_not_unheard(self):
        selector = make_loaded()
        now = self.play(selector, "server-3", 12.0)
        selector.put(make_server(77), now)
        assert not selector.loads["catalogue"].is_unheard(selector.states["server-77"], now)


class TestRefusal:
    def test_a_request_that_cannot_meet_its_deadline_is_refused(self):
        selector = make_loaded(load=16)
        selector.loads["catalogue"].mean_load = 4.0
        choice = selector.decide(CRITERIA._replace(target_s=5.0, remaining_s=0.5), (), T0)
        assert choice.state is None
        assert choice.refusal is Refusal.DEADLINE

    def test_a_request_that_would_make_others_late_is_refused(self):
        selector = make_loaded(load=14)
        choice = selector.decide(CRITERIA, (), T0)
        assert choice.refusal is Refusal.DISPLACES
        assert choice.excess_s > 0.0
        assert selector.loads["catalogue"].refusals[Refusal.DISPLACES] == 1

    def test_a_free_slot_is_used_even_if_the_response_will_be_late(self):
        selector = make_loaded()
        assert selector.decide(CRITERIA._replace(target_s=0.1), (), T0).state is not None

    def test_the_last_places_are_for_more_urgent_requests(self):
        selector = make_loaded()
        for load in range(40):
            for state in selector.states.values():
                set_load(selector, state, load)
            urgent = selector.decide(CRITERIA, (), T0)
            less_urgent = selector.decide(CRITERIA._replace(rank=2), (), T0)
            if less_urgent.state is None:
                break
        assert urgent.state is not None
        assert urgent.expected_s < TARGET_TOLERANCE * CRITERIA.target_s + COLD_S

    def test_has_room_agrees_with_the_selection(self):
        for load in range(0, 40, 4):
            selector = make_loaded(load=load)
            selector.loads["catalogue"].mean_load = load / 4
            chosen = selector.decide(CRITERIA, (), T0).state is not None
            assert selector.has_room(CRITERIA, T0) is chosen

    def test_callers_refused_together_return_spread_over_the_time_that_the_queue_needs(self):
        choice = Choice(None, excess_s=2.0)
        delays = [retry_delay_s(choice, 0.2, 6.0, number / 10.0) for number in range(11)]
        assert delays[0] == 0.2
        assert delays[-1] == pytest.approx(1.2)
        assert len(set(delays)) == 11

    def test_the_delay_stays_within_what_callers_wait(self):
        assert retry_delay_s(Choice(None, excess_s=60.0), 0.2, 6.0, 0.9) == pytest.approx(1.8)

    def test_the_delay_without_an_estimate_is_the_usual_one(self):
        assert retry_delay_s(Choice(None), 0.3, 6.0, 0.9) == 0.3

    def test_a_cold_server_gets_no_more_than_its_rate(self):
        selector = make_loaded(1, cold_for_s=20.0)
        selector.rules = {"catalogue": ServiceRule(name="catalogue", slow_start_per_s=5.0)}
        selector.slow_start.update_hosts(["host"])
        chosen = [selector.choose(CRITERIA, (), T0) for _ in range(60)]
        assert chosen.count(None) > 40
