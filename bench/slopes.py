"""Measures the cost of each role against each driver and fits lines through the points.

Prints a JSON list of slopes; ``--seconds`` sets the length of each point.
"""

from __future__ import annotations

import argparse
import asyncio
import sys

import msgspec

from bench import _mesh_probe
from bench._fit import Slope, fit

MESH_PEERS = (5, 10, 20, 40, 80)
HEARTBEAT_S = 1.0


async def mesh_slopes(seconds: float) -> list[Slope]:
    """Measure what standing connections cost."""
    costs = [await _mesh_probe.measure(peers, seconds, HEARTBEAT_S) for peers in MESH_PEERS]
    quantities = {
        "cores": [cost.cpu_share for cost in costs],
        "resident bytes": [float(cost.resident_bytes) for cost in costs],
        "messages/s": [cost.messages_per_s for cost in costs],
        "wire bytes/s": [cost.wire_bytes_per_s for cost in costs],
        "payload bytes/s": [cost.payload_bytes_per_s for cost in costs],
    }
    peers = [float(cost.peers) for cost in costs]
    return [
        fit("mesh", quantity, "peers with a heartbeat each second", zip(peers, values, strict=True))
        for quantity, values in quantities.items()
    ]


async def measure(seconds: float) -> list[Slope]:
    """Run every probe, one after the other."""
    return await mesh_slopes(seconds)


def main() -> None:
    """Print the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    slopes = asyncio.run(measure(parser.parse_args().seconds))
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(slopes)).decode() + "\n")


if __name__ == "__main__":
    main()
