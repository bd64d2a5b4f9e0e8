"""What the cases about requests that crash servers have in common."""

from __future__ import annotations

import asyncio
import typing as t

from world import CONTACT_S, Connection, Host, Server, World

ZONES = {"marmara-a": "marmara", "ege-a": "ege", "anadolu-a": "anadolu"}
POISON_PATH = "/deposit/poison"
BACK_AFTER_S = 2.0
RETRIES_MAX = 3
ROUTES = {"deposit": {"pathPrefix": "/deposit/", "kind": "unsafe", "service": "kapora"}}


class Crashes:
    """Crashes the servers that begin to run the request, and starts them again."""

    def __init__(self, world: World, keeps_id: bool) -> None:
        self.world = world
        self.keeps_id = keeps_id
        self.times: list[float] = []
        self.cut: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        for server in world.servers:
            server.is_poison = lambda path: path == POISON_PATH
            server.on_poison = self.record

    def record(self, server: Server, request_id: str) -> None:
        running = server.running + server.waiting - 1
        text = f"server {server.name} crashes on {request_id}, {running} others at it"
        self.times.append(self.world.journal.add(text))
        task = asyncio.create_task(self.restart(server))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def restart(self, server: Server) -> None:
        await asyncio.sleep(BACK_AFTER_S * 0.5)
        if not self.keeps_id:
            await self.world.store.remove("servers", server.name)
        await asyncio.sleep(BACK_AFTER_S * 0.5)
        await server.start(None if self.keeps_id else f"{server.name}x")


async def send_poison(world: World, hosts: t.Sequence[Host], period_s: float, for_s: float) -> None:
    """One caller sends the same request again and again, to one host after the other."""
    until = world.journal.now() + for_s
    number = 0
    while world.journal.now() < until:
        host = hosts[number % len(hosts)]
        if world.trouble:
            await world.send(host, "POST", POISON_PATH, b"the same body", 2.0)
        number += 1
        await asyncio.sleep(period_s)


async def send_others(world: World, hosts: t.Sequence[Host], count: int, pause_s: float) -> None:
    """Callers send other requests, one after the other, on connections that they keep."""

    async def client(number: int) -> None:
        host = hosts[number % len(hosts)]
        connection = Connection(host)
        while True:
            path = f"/deposit/{world.rng.randrange(100_000)}"
            await world.send(host, "POST", path, b"x" * 100, 2.0, connection)
            await asyncio.sleep(pause_s * world.rng.uniform(0.5, 1.5))

    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(client(number))


def judge(world: World, crashes: Crashes) -> str:
    """Apply the BUDGET rule on requests that crash the backends that run them."""
    if len(crashes.times) < 3:
        return ""
    from_s = crashes.times[2] + CONTACT_S
    poison = {one.request_id for one in world.outcomes if one.path == POISON_PATH}
    late = [run for run in world.runs() if run.request_id in poison and run.at > from_s]
    ran = {run.request_id for run in world.runs()}
    lost = [
        one
        for one in world.outcomes
        if one.path != POISON_PATH and one.request_id in ran and one.status != 200
    ]
    world.journal.add(
        f"third crash at {crashes.times[2]:.2f} s, {len(crashes.times)} crashes, "
        f"{len(late)} retries reached a server later than {CONTACT_S} s after the third"
    )
    if len(late) <= RETRIES_MAX:
        return ""
    return (
        f"BUDGET: a request that had crashed three servers reached one in {len(late)} more "
        f"retries; {len(crashes.times)} crashes, and {len(lost)} other requests that had begun "
        "to run got no success"
    )
