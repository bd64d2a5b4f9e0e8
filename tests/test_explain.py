"""An explanation must name the server that a request would go to, and change nothing."""

from __future__ import annotations

import random

import pytest
from steering_world import T0, make_selector, make_server

from radishbridge.steering import Notice, Selector, ServerCriteria, ServiceRule, explain_choice
from radishbridge.steering.load import RUN_SAMPLES_MIN
from radishbridge.steering.servers import LoadReport

SERVICE = "catalogue"


def criteria(**changes) -> ServerCriteria:
    return ServerCriteria(SERVICE, "7", None, None)._replace(**changes)


def verdicts(selector: Selector, *by_preference: ServerCriteria) -> dict[str, str]:
    choice = explain_choice(selector, by_preference or [criteria()], T0)
    return {candidate.state.server.name: candidate.verdict for candidate in choice.candidates}


def fill(state, occupancy: float) -> None:
    state.in_flight = round(occupancy * state.server.slots)


class TestChoice:
    @pytest.mark.parametrize("with_pace", [False, True])
    def test_it_names_the_server_that_is_chosen(self, with_pace):
        rng = random.Random(1)
        for _ in range(100):
            selector = make_selector(12)
            if with_pace:
                selector.record_pace(SERVICE)
            for state in selector.states.values():
                fill(state, rng.choice([0.0, 1.0, 2.0, 3.0]))
                if rng.random() < 0.3:
                    state.eject(T0)
            choice = explain_choice(selector, [criteria()], T0)
            names = [
                candidate.state.server.name
                for candidate in choice.candidates
                if candidate.verdict == "chosen"
            ]
            chosen = selector.choose(criteria(), (), T0)
            assert choice.chosen is chosen
            assert names == ([] if chosen is None else [chosen.server.name])

    def test_servers_that_cannot_finish_in_time_are_full(self):
        # Servers whose service is selected by expected time were shown as eligible.
        selector = make_selector(6)
        for state in selector.states.values():
            report = LoadReport(state.server.slots, 400, state.server.slots, 1.0, has_pace=True)
            selector.loads.record_load(state, report, T0)
        for _ in range(2 * RUN_SAMPLES_MIN):
            selector.loads[SERVICE].runs.add(1.0)
        limited = criteria()._replace(target_s=0.5, remaining_s=4.0)
        explained = explain_choice(selector, [limited], T0)
        assert explained.chosen is None
        assert {one.verdict for one in explained.candidates} == {"full"}

    def test_candidates_are_in_the_order_of_the_ranking(self):
        selector = make_selector(8)
        choice = explain_choice(selector, [criteria()], T0)
        assert [one.state for one in choice.candidates] == selector._ranking(criteria())

    def test_the_next_criteria_are_used_if_no_server_meets_the_first(self):
        selector = make_selector(4)
        new = criteria(versions=frozenset({"v2"}))
        choice = explain_choice(selector, [new, criteria()], T0)
        assert choice.criteria == criteria()
        assert choice.chosen is not None

    def test_it_takes_no_turn_at_a_cold_server(self):
        selector = make_selector(1, cold_for_s=60.0)
        selector.rules = {SERVICE: ServiceRule(name=SERVICE, slow_start_per_s=1.0)}
        for _ in range(3):
            assert list(verdicts(selector).values()) == ["chosen"]
        assert selector.slow_start.next_at == {}
        assert selector.choose(criteria(), (), T0) is not None
        assert list(verdicts(selector).values()) == ["cold"]

    def test_places_are_shown_for_services_with_pace(self):
        selector = make_selector(1)
        assert explain_choice(selector, [criteria()], T0).candidates[0].place == ""
        selector.record_pace(SERVICE)
        assert explain_choice(selector, [criteria()], T0).candidates[0].place == "10.0.0.0:80"


class TestReasons:
    """Each server that is passed over has the reason for which the selection leaves it out."""

    @pytest.fixture
    def selector(self) -> Selector:
        return make_selector(8)

    def state(self, selector: Selector, number: int):
        return selector.states[f"server-{number}"]

    def test_a_draining_server(self, selector):
        selector.put(make_server(1, draining=True), T0)
        assert verdicts(selector)["server-1"] == "draining"

    def test_a_leaving_server(self, selector):
        selector.record_leaving(make_server(1))
        assert verdicts(selector)["server-1"] == "leaving"

    def test_a_paused_server(self, selector):
        notice = self.state(selector, 1).notice = Notice(make_server(1))
        notice.paused_until = T0 + 1.0
        assert verdicts(selector)["server-1"] == "paused"

    def test_a_drained_data_centre(self, selector):
        selector.set_drained(["dc-1"])
        found = verdicts(selector)
        assert [name for name in found if found[name] == "data centre drained"] == [
            "server-1",
            "server-5",
        ]

    def test_a_server_outside_the_home_regions(self, selector):
        found = verdicts(selector, criteria(home_regions=frozenset({"east"})))
        assert found["server-1"] == "excluded by home"

    def test_a_server_of_another_version(self, selector):
        found = verdicts(selector, criteria(versions=frozenset({"v2"})))
        assert set(found.values()) == {"other version"}

    def test_a_server_that_is_not_in_the_share_of_a_new_version(self, selector):
        found = verdicts(selector, criteria(names=frozenset({"server-2"})))
        assert found["server-2"] == "chosen"
        assert found["server-1"] == "not in the version's share"

    def test_an_ejected_server(self, selector):
        self.state(selector, 1).eject(T0)
        assert verdicts(selector)["server-1"] == "ejected"

    def test_a_silent_server(self, selector):
        selector.median_latencies[SERVICE] = 0.1
        state = self.state(selector, 1)
        state.start(T0 - 10.0)
        assert verdicts(selector)["server-1"] == "silent"

    def test_a_full_server(self, selector):
        for number in range(8):
            fill(self.state(selector, number), 3.0)
        assert set(verdicts(selector).values()) == {"full"}

    def test_a_cold_server_that_has_had_its_turn(self, selector):
        selector.rules = {SERVICE: ServiceRule(name=SERVICE, slow_start_per_s=1.0)}
        selector.put(make_server(1, cold_for_s=60.0), T0)
        selector.slow_start.next_at["server-1"] = T0 + 1.0
        assert verdicts(selector)["server-1"] == "cold"
