"""Runs the soak test: ``python -m soak --seed 1 --seconds 30 --hosts 5``, as ``make soak`` does."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak.world import World

CALLER_COUNT = 20


async def run(
    seed: int,
    seconds: float,
    hosts: int,
    directory: pathlib.Path,
    check_timing: bool = True,
    callers: int = CALLER_COUNT,
    reports_usage: bool = False,
) -> list[str]:
    """Run one seed and return the broken promises.

    :param check_timing: whether to check the promises with a time bound too.
    :param reports_usage: whether the hosts report usage.
    """
    world = World(seed, hosts, directory, check_timing, reports_usage)
    async with world.running():
        violations = await world.run_faults(seconds, callers)
    outcomes = world.history.outcomes
    served = sum(outcome.status == 200 for outcome in outcomes)
    print(
        f"seed {seed}: {len(outcomes)} requests, {served} served, {len(violations)} broken promises"
    )
    if violations:
        (directory / "notes.txt").write_text("\n".join([*world.history.notes, *violations]))
        print("\n".join(violations[:10]))
    return violations


def main() -> None:
    """Run seeds one after another and exit with status 1 if any broke a promise."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(10**6))
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--callers", type=int, default=CALLER_COUNT)
    parser.add_argument("--usage", action="store_true")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = asyncio.run(
            run(
                seed,
                options.seconds,
                options.hosts,
                directory,
                callers=options.callers,
                reports_usage=options.usage,
            )
        )
        if violations:
            print(f"logs and notes of seed {seed}: {directory}")
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
