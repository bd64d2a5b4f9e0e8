"""Measures the cost of each role against each driver and fits lines through the points.

Prints a JSON list of slopes; ``--seconds`` sets the length of each timed point.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import typing as t

import msgspec

from bench import _fleet_probe, _lookup_probe, _mesh_probe, _state_probe
from bench._fit import Slope, fit

MESH_PEERS = (5, 10, 20, 40, 80)
WORKSPACES = (1_000, 2_000, 4_000, 8_000)
BLOCKS = (350_000, 700_000, 1_400_000, 2_800_000)
HOSTS_IN_ONE_DATA_CENTER = (3, 6, 10, 14)
DATA_CENTERS_OF_TWO = (2, 3, 5, 7)
HEARTBEAT_S = 1.0

CostT = t.TypeVar("CostT", bound=msgspec.Struct)


def slopes_of(
    role: str, driver: str, costs: t.Sequence[CostT], driver_field: str, fields: dict[str, str]
) -> list[Slope]:
    """Fit a line for each field of measured costs.

    :param driver_field: field that holds the driver's value.
    :param fields: quantities with units, by the field that holds them.
    """
    drivers = [float(getattr(cost, driver_field)) for cost in costs]
    return [
        fit(role, quantity, driver, zip(drivers, (getattr(c, field) for c in costs), strict=True))
        for field, quantity in fields.items()
    ]


async def mesh_slopes(seconds: float) -> list[Slope]:
    """Measure what standing connections cost."""
    costs = [await _mesh_probe.measure(peers, seconds, HEARTBEAT_S) for peers in MESH_PEERS]
    fields = {
        "cpu_share": "cores",
        "resident_bytes": "resident bytes",
        "messages_per_s": "messages/s",
        "wire_bytes_per_s": "wire bytes/s",
        "payload_bytes_per_s": "payload bytes/s",
    }
    return slopes_of("mesh", "peers, a heartbeat each second both ways", costs, "peers", fields)


async def state_slopes(seconds: float) -> list[Slope]:
    """Measure what the configuration costs in memory."""
    costs = [await _state_probe.measure(workspaces) for workspaces in WORKSPACES]
    fields = {"growth_bytes": "resident bytes", "apply_us": "microseconds for each record"}
    return slopes_of("configuration", "workspaces", costs, "workspaces", fields)


async def lookup_slopes(seconds: float) -> list[Slope]:
    """Measure what the table of client blocks and its look-ups cost."""
    costs = [await _lookup_probe.measure(blocks) for blocks in BLOCKS]
    fields = {
        "resident_growth_bytes": "resident bytes",
        "load_s": "seconds to load",
        "rank_p50_us": "microseconds for each look-up",
    }
    return slopes_of("look-up", "client blocks", costs, "blocks", fields)


async def fleet_slopes(seconds: float) -> list[Slope]:
    """Measure whole hosts at rest, against hosts in a data centre and against data centres."""
    fields = {
        "store_calls_per_s": "store calls/s of all hosts",
        "cores_mean": "cores for each host",
        "cores_max": "cores of the busiest host",
        "resident_bytes_mean": "resident bytes for each host",
    }
    near = [await _fleet_probe.measure(n, 1, seconds) for n in HOSTS_IN_ONE_DATA_CENTER]
    far = [await _fleet_probe.measure(2, n, seconds) for n in DATA_CENTERS_OF_TWO]
    return [
        *slopes_of("host", "hosts in one data centre", near, "hosts", fields),
        *slopes_of("host", "data centres of two hosts", far, "data_centers", fields),
    ]


PROBES = {
    "mesh": mesh_slopes,
    "state": state_slopes,
    "lookup": lookup_slopes,
    "fleet": fleet_slopes,
}


async def measure(seconds: float, names: t.Sequence[str]) -> list[Slope]:
    """Run probes one after the other."""
    return [slope for name in names for slope in await PROBES[name](seconds)]


def main() -> None:
    """Print the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--probes", nargs="+", choices=list(PROBES), default=list(PROBES))
    arguments = parser.parse_args()
    slopes = asyncio.run(measure(arguments.seconds, arguments.probes))
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(slopes)).decode() + "\n")


if __name__ == "__main__":
    main()
