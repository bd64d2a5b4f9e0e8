"""Callers that look hosts up, keep connections, and note what they get."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import typing as t

import aiohttp

from soak.hosts import Host
from soak.ledger import Ledger, Outcome

DEADLINE_S = 1.5
LOOKUP_S = 1.0
HOST_NAME = "one.example"
OBJECTS = 40
# Part of the requests whose caller leaves, and after how many seconds at most.
LEAVING = 0.15
LEAVES_WITHIN_S = 0.3


class Key(t.NamedTuple):
    """A key and the tenant that it belongs to; ``revoked_at`` is 0 while it is good."""

    value: str
    tenant: str
    revoked_at: float = 0.0


class Callers:
    """A number of callers, each of which sends one request after another.

    :param keys: keys by value; those that were withdrawn go on being used.
    """

    def __init__(self, hosts: list[Host], keys: dict[str, Key], ledger: Ledger, seed: int) -> None:
        self.hosts = {host.front: host for host in hosts}
        self.keys = keys
        self.ledger = ledger
        self.seed = seed
        self.numbers = itertools.count()
        self.stopping = False

    async def run(self, count: int) -> None:
        """Run callers until ``stopping`` is set."""
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._caller(random.Random(f"{self.seed}-{number}")))

    async def _caller(self, rng: random.Random) -> None:
        known: list[str] = []
        looked_up_at = float("-inf")
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + 1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.stopping:
                if time.monotonic() - looked_up_at > LOOKUP_S or not known:
                    known = await self._look_up(session, rng) or known
                    looked_up_at = time.monotonic()
                if known:
                    await self._ask(session, rng, rng.choice(known))
                await asyncio.sleep(rng.uniform(0.02, 0.08))

    async def _look_up(self, session: aiohttp.ClientSession, rng: random.Random) -> list[str]:
        hosts = rng.sample(list(self.hosts.values()), min(3, len(self.hosts)))
        timeout = aiohttp.ClientTimeout(total=1.0)
        for host in hosts:
            url = f"http://{host.directory}/v1/resolve"
            query = {"name": HOST_NAME, "region": "east", "zone": "north"}
            try:
                async with session.get(url, params=query, timeout=timeout) as answer:
                    if answer.status == 200:
                        return list((await answer.json())["addresses"])
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        return []

    async def _ask(self, session: aiohttp.ClientSession, rng: random.Random, front: str) -> None:
        request_id = f"{self.seed}-{next(self.numbers)}"
        unsafe = rng.random() < 0.4
        path = f"/{'orders' if unsafe else 'devices'}/{rng.randrange(OBJECTS)}"
        key = rng.choice(list(self.keys.values()))
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Request-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Affinity-Key": path,
            "Authorization": f"Bearer {key.value}",
        }
        sent_at = time.monotonic()
        status, whole = 0, True
        leaves_at = None
        if rng.random() < LEAVING:
            leaves_at = asyncio.get_running_loop().time() + rng.uniform(0.0, LEAVES_WITHIN_S)
        leaving = asyncio.timeout_at(leaves_at)
        try:
            async with (
                leaving,
                session.request(
                    "POST" if unsafe else "GET",
                    f"http://{front}{path}",
                    headers=headers,
                    data=b"x" * 300 if unsafe else None,
                ) as answer,
            ):
                body = await answer.read()
                status = answer.status
                whole = self._is_whole(request_id, answer, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        host = self.hosts[front].name
        self.ledger.outcomes.append(
            Outcome(
                request_id,
                host,
                unsafe,
                key.tenant,
                key.value,
                path,
                sent_at,
                time.monotonic(),
                status,
                whole,
                leaving.expired(),
            )
        )

    def _is_whole(self, request_id: str, answer: aiohttp.ClientResponse, body: bytes) -> bool:
        if answer.status >= 300:
            return True
        signature = answer.headers.get("Response-Signature", "")
        own = signature.endswith(f".{request_id}")
        return own and body == self.ledger.answers.get(signature)
