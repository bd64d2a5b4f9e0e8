"""Requests that only one region may run, at an entry host."""

from __future__ import annotations

from entry_world import hang_up, reply, running
from steering_world import make_route

from radishbridge.steering import HomeDemand, HomeRegion

EAST = HomeRegion("catalogue", "east")
# Of all hosts: five times what its region's four slots and a short queue hold.
TOO_MUCH = HomeDemand(requests_per_s=48.0, admitted_per_s=4.8, in_flight=4)


class TestRequestWithOneHome:
    async def test_what_its_region_has_no_room_for_is_refused_at_once_and_has_not_run(self):
        route = make_route(home_regions=frozenset({"east"}))
        async with running(reply(), route=route) as (world, (backend,)):
            world.steering_state.home_admission.update(EAST, TOO_MUCH, 4)
            answers = [await world.ask() for _ in range(20)]
        refused = [headers for status, _, headers in answers if status == 503]
        assert 3 <= len(backend.seen) <= 5
        assert len(refused) == 20 - len(backend.seen)
        assert all("Retry-After" in headers for headers in refused)

    async def test_those_with_several_homes_are_not_counted(self):
        route = make_route(home_regions=frozenset({"east", "west"}))
        async with running(reply(), route=route) as (world, _):
            world.steering_state.home_admission.update(EAST, TOO_MUCH, 4)
            assert [(await world.ask())[0] for _ in range(10)] == [200] * 10
            assert not world.steering_state.home_meters

    async def test_each_one_is_under_way_until_it_ends(self):
        route = make_route(home_regions=frozenset({"east"}), attempts=1)
        async with running(hang_up, route=route) as (world, _):
            assert (await world.ask())[0] == 502
            meter = world.steering_state.home_meters[EAST]
        assert meter.in_flight == 0
        assert meter.admitted.value > 0.0
