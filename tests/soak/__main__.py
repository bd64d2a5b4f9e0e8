"""Runs the soak: ``python -m soak --seed 1 --seconds 30 --hosts 5``; ``make soak`` calls it."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak.world import World

CALLERS = 20


async def run(
    seed: int,
    seconds: float,
    hosts: int,
    directory: pathlib.Path,
    timed: bool = True,
    callers: int = CALLERS,
) -> list[str]:
    """Run one seed and return the broken promises.

    :param timed: promises with a bound in time are checked too.
    """
    world = World(seed, hosts, directory, timed)
    async with world.running():
        broken = await world.play(seconds, callers)
    outcomes = world.ledger.outcomes
    served = sum(one.status == 200 for one in outcomes)
    print(f"seed {seed}: {len(outcomes)} requests, {served} served, {len(broken)} broken promises")
    if broken:
        (directory / "notes.txt").write_text("\n".join([*world.ledger.notes, *broken]))
        print("\n".join(broken[:10]))
    return broken


def main() -> None:
    """Run seeds one after another until the first broken promise."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(10**6))
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--callers", type=int, default=CALLERS)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        broken = asyncio.run(
            run(seed, options.seconds, options.hosts, directory, callers=options.callers)
        )
        if broken:
            print(f"logs and notes of seed {seed}: {directory}")
        failed += bool(broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
