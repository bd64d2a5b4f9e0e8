"""A request that crashes servers is never blamed if servers start again under their old ids."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from poison import ROUTES, ZONES, Crashes, judge, send_others, send_poison
from world import World, main

PERIOD_S = 3.0
FOR_S = 36.0


async def play(world: World) -> str:
    await world.configure(ROUTES, ["kapora"])
    for number, zone in enumerate(["marmara-a", "ege-a"]):
        await world.add_server(f"i-{number}", "kapora", zone, work_s=0.1)
    crashes = Crashes(world, keeps_id=True)
    await world.add_hosts(list(ZONES))
    for host in world.hosts:
        host.start()
    await world.wait_ready(world.hosts)
    await asyncio.sleep(5.0)
    others = asyncio.create_task(send_others(world, world.hosts[:1], 8, 0.2))
    await asyncio.sleep(3.0)
    await send_poison(world, world.hosts[1:], PERIOD_S, FOR_S)
    others.cancel()
    await asyncio.gather(others, return_exceptions=True)
    return judge(world, crashes)


if __name__ == "__main__":
    main(FOLDER, ZONES, play)
