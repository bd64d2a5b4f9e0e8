"""Requests that only one region may run, sent through an entry host."""

from __future__ import annotations

from entry_world import hang_up, reply, running
from steering_world import make_route

from radishbridge.steering import HomeDemand, HomeRegion

EAST = HomeRegion("catalogue", "east")
# Demand of all hosts: five times what the region's four slots and a short queue hold.
OVERLOAD = HomeDemand(requests_per_s=48.0, admitted_per_s=4.8, in_flight=4)


class TestRequestWithOneHomeRegion:
    async def test_requests_beyond_the_regions_capacity_are_refused_at_once_without_a_run(self):
        route = make_route(home_regions=frozenset({"east"}))
        async with running(reply(), route=route) as (world, (backend,)):
            world.steering_state.home_admission.update(EAST, OVERLOAD, 4)
            responses = [await world.request() for _ in range(20)]
        refused = [headers for status, _, headers in responses if status == 503]
        assert 3 <= len(backend.requests) <= 5
        assert len(refused) == 20 - len(backend.requests)
        assert all("Retry-After" in headers for headers in refused)

    async def test_requests_with_several_home_regions_are_not_counted(self):
        route = make_route(home_regions=frozenset({"east", "west"}))
        async with running(reply(), route=route) as (world, _):
            world.steering_state.home_admission.update(EAST, OVERLOAD, 4)
            assert [(await world.request())[0] for _ in range(10)] == [200] * 10
            assert not world.steering_state.home_meters

    async def test_each_request_is_in_flight_until_it_ends(self):
        route = make_route(home_regions=frozenset({"east"}), attempts=1)
        async with running(hang_up, route=route) as (world, _):
            assert (await world.request())[0] == 502
            meter = world.steering_state.home_meters[EAST]
        assert meter.in_flight == 0
        assert meter.admitted.average_per_s > 0.0
