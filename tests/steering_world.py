"""Servers, routes and selectors for the tests of steering decisions."""

from __future__ import annotations

import itertools
import typing as t

from radishbridge.steering import RouteRule, Selector, Server, SlowStart, WeightedService

T0 = 100.0


def make_server(number: int, **changes: t.Any) -> Server:
    """Return a backend server of the service ``catalogue``, named by its number."""
    fields: dict[str, t.Any] = {
        "name": f"server-{number}",
        "incarnation": 1,
        "service": "catalogue",
        "address": f"10.0.0.{number}:80",
        "region": ("east", "west")[number % 2],
        "data_center": f"dc-{number % 4}",
        "version": "v1",
        "slots": 4,
    }
    return Server(**{**fields, **changes})


def make_selector(count: int, **changes: t.Any) -> Selector:
    """Return a selector with a number of warm servers."""
    selector = Selector(SlowStart("host", 1.5, 5.0))
    for number in range(count):
        selector.put(make_server(number, **changes), T0)
    return selector


def make_route(**changes: t.Any) -> RouteRule:
    """Return a route to ``catalogue`` whose requests may be retried."""
    fields: dict[str, t.Any] = {
        "name": "devices",
        "host": "one.example",
        "prefix": "/devices/",
        "services": (WeightedService("catalogue", 1.0),),
        "repeatable": True,
        "attempts": 2,
        "timeout_s": 1.2,
        "target_s": 0.2,
    }
    return RouteRule(**{**fields, **changes})


def split_evenly(total: int, parts: int) -> list[int]:
    """Split a total into integers that differ by at most one."""
    ends = itertools.pairwise(total * part // parts for part in range(parts + 1))
    return [end - start for start, end in ends]
