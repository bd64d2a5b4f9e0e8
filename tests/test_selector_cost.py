"""The cost of a choice must not grow with the number of a service's servers."""

from __future__ import annotations

import msgspec
import pytest
from steering_world import T0, make_selector, make_server

from radishbridge.steering import ServerCriteria, ServerState
from radishbridge.steering.selector import FALLBACK_SERVERS_MAX, OCCUPANCY_LIMIT

CRITERIA = ServerCriteria("catalogue", "object-1", None, None)


@pytest.fixture
def examined(monkeypatch) -> list[str]:
    """Collect the servers whose health is examined."""
    found: list[str] = []
    original = ServerState.is_ejected

    def is_ejected(state: ServerState, now: float) -> bool:
        found.append(state.server.name)
        return original(state, now)

    monkeypatch.setattr(ServerState, "is_ejected", is_ejected)
    return found


class TestCostOfAChoice:
    @pytest.mark.parametrize("count", [20, 400])
    def test_a_choice_examines_the_first_servers_only(self, examined, count):
        selector = make_selector(count)
        assert selector.choose(CRITERIA, [], T0) is not None
        assert len(examined) <= 3

    def test_a_refusal_examines_a_bounded_number_of_servers(self, examined):
        selector = make_selector(400)
        for state in selector.states.values():
            state.in_flight = int(OCCUPANCY_LIMIT * state.server.slots) + 1
        assert selector.choose(CRITERIA, [], T0) is None
        assert len(examined) <= FALLBACK_SERVERS_MAX + 3

    def test_an_idle_server_far_down_a_small_ranking_is_still_found(self):
        selector = make_selector(20)
        ranking = selector._ranking(CRITERIA)
        for state in ranking[:-1]:
            state.in_flight = int(OCCUPANCY_LIMIT * state.server.slots) + 1
        assert selector.choose(CRITERIA, [], T0) is ranking[-1]

    def test_servers_that_are_all_ejected_are_tried_all_the_same(self):
        selector = make_selector(4)
        for state in selector.states.values():
            state.eject(T0)
        assert selector.choose(CRITERIA, [], T0) is not None


class TestCachedRankings:
    """The entries of servers change often; most changes do not concern the ranking."""

    @pytest.mark.parametrize(
        ("changes", "kept"),
        [
            ({"cold_for_s": 1.0}, True),
            ({}, True),
            ({"slots": 9}, False),
            ({"draining": True}, False),
            ({"version": "v2"}, False),
            ({"incarnation": 2}, False),
        ],
    )
    def test_a_ranking_is_rebuilt_only_if_it_may_change(self, changes, kept):
        selector = make_selector(4)
        before = selector._ranking(CRITERIA)
        selector.put(msgspec.structs.replace(make_server(1), **changes), T0)
        assert (selector._ranking(CRITERIA) is before) is kept
