"""Measures how the cost of each role grows with each driver, and fits lines through the points.

Prints a JSON list of slopes. ``--seconds`` sets how long each timed point is measured.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import typing as t

import msgspec

from bench import _fleet_probe, _lookup_probe, _mesh_probe, _state_probe
from bench._fit import Slope, fit_line

PEER_COUNTS = (5, 10, 20, 40, 80)
WORKSPACE_COUNTS = (1_000, 2_000, 4_000, 8_000)
BLOCK_COUNTS = (350_000, 700_000, 1_400_000, 2_800_000)
HOST_COUNTS = (3, 6, 10, 14)
DATA_CENTER_COUNTS = (2, 3, 5, 7)
HEARTBEAT_INTERVAL_S = 1.0

CostT = t.TypeVar("CostT", bound=msgspec.Struct)


def fit_slopes(
    role: str, driver: str, costs: t.Sequence[CostT], driver_field: str, fields: dict[str, str]
) -> list[Slope]:
    """Fit a line for each field of the measured costs.

    :param driver_field: name of the field with the driver's value.
    :param fields: quantities with their units, by name of the field with their value.
    """
    drivers = [float(getattr(cost, driver_field)) for cost in costs]
    return [
        fit_line(
            role, quantity, driver, zip(drivers, (getattr(c, field) for c in costs), strict=True)
        )
        for field, quantity in fields.items()
    ]


async def measure_mesh(seconds: float) -> list[Slope]:
    """Measure the cost of persistent connections between hosts."""
    costs = [
        await _mesh_probe.measure(peers, seconds, HEARTBEAT_INTERVAL_S) for peers in PEER_COUNTS
    ]
    fields = {
        "cpu_share": "cores",
        "resident_bytes": "resident bytes",
        "messages_per_s": "messages/s",
        "wire_bytes_per_s": "wire bytes/s",
        "payload_bytes_per_s": "payload bytes/s",
    }
    return fit_slopes("mesh", "peers, a heartbeat each second both ways", costs, "peers", fields)


async def measure_state(seconds: float) -> list[Slope]:
    """Measure the memory and processor time of the configuration."""
    costs = [await _state_probe.measure(workspaces) for workspaces in WORKSPACE_COUNTS]
    fields = {"growth_bytes": "resident bytes", "apply_us": "microseconds for each record"}
    return fit_slopes("configuration", "workspaces", costs, "workspaces", fields)


async def measure_lookup(seconds: float) -> list[Slope]:
    """Measure the cost of the table of client blocks and of look-ups in it."""
    costs = [await _lookup_probe.measure(blocks) for blocks in BLOCK_COUNTS]
    fields = {
        "resident_growth_bytes": "resident bytes",
        "load_s": "seconds to load",
        "rank_p50_us": "microseconds for each look-up",
    }
    return fit_slopes("look-up", "client blocks", costs, "blocks", fields)


async def measure_fleet(seconds: float) -> list[Slope]:
    """Measure idle hosts by number of hosts in a data centre, and by number of data centres."""
    fields = {
        "store_calls_per_s": "store calls/s of all hosts",
        "cores_mean": "cores for each host",
        "cores_max": "cores of the busiest host",
        "resident_bytes_mean": "resident bytes for each host",
    }
    by_hosts = [await _fleet_probe.measure(n, 1, seconds) for n in HOST_COUNTS]
    by_data_centers = [await _fleet_probe.measure(2, n, seconds) for n in DATA_CENTER_COUNTS]
    return [
        *fit_slopes("host", "hosts in one data centre", by_hosts, "hosts", fields),
        *fit_slopes("host", "data centres of two hosts", by_data_centers, "data_centers", fields),
    ]


PROBES = {
    "mesh": measure_mesh,
    "state": measure_state,
    "lookup": measure_lookup,
    "fleet": measure_fleet,
}


async def measure(seconds: float, names: t.Sequence[str]) -> list[Slope]:
    """Run the named probes one after the other."""
    return [slope for name in names for slope in await PROBES[name](seconds)]


def main() -> None:
    """Print the slopes as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--probes", nargs="+", choices=list(PROBES), default=list(PROBES))
    arguments = parser.parse_args()
    slopes = asyncio.run(measure(arguments.seconds, arguments.probes))
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(slopes)).decode() + "\n")


if __name__ == "__main__":
    main()
