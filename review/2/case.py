"""A request that crashes busy servers is not blamed: another request at the server is."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from poison import ROUTES, ZONES, Crashes, judge, send_others, send_poison
from world import World, main

PERIOD_S = 3.0
# Shorter than the time for which a host remembers a crash.
FOR_S = 29.0


async def play(world: World) -> str:
    await world.configure(ROUTES, ["kapora"])
    for number in range(6):
        zone = list(ZONES)[number % len(ZONES)]
        await world.add_server(f"i-{number}", "kapora", zone, work_s=1.2, slots=24)
    crashes = Crashes(world, keeps_id=False)
    await world.add_hosts(list(ZONES)[:2])
    for host in world.hosts:
        host.start()
    await world.wait_ready(world.hosts)
    await asyncio.sleep(5.0)
    others = asyncio.create_task(send_others(world, world.hosts, 130, 0.1))
    await asyncio.sleep(3.0)
    await send_poison(world, world.hosts, PERIOD_S, FOR_S)
    others.cancel()
    await asyncio.gather(others, return_exceptions=True)
    return judge(world, crashes)


if __name__ == "__main__":
    main(FOLDER, ZONES, play)
