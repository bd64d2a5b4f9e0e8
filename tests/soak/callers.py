"""Callers that look up hosts, keep connections open and record the responses."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import typing as t

import aiohttp

from soak.history import History, Outcome
from soak.hosts import Host

REQUEST_DEADLINE_S = 1.5
LOOKUP_INTERVAL_S = 1.0
HOST_NAME = "one.example"
OBJECT_COUNT = 40
# Fraction of the requests whose caller disconnects early, and its maximum delay until then.
DISCONNECT_PROBABILITY = 0.15
DISCONNECT_DELAY_MAX_S = 0.3


class Key(t.NamedTuple):
    """An API key and the tenant that it belongs to; ``revoked_at`` is 0 while it is valid."""

    value: str
    tenant: str
    revoked_at: float = 0.0


class Callers:
    """Concurrent callers, each of which sends one request after another.

    :param keys: keys by value; callers go on using revoked ones.
    """

    def __init__(
        self, hosts: list[Host], keys: dict[str, Key], history: History, seed: int
    ) -> None:
        self.hosts_by_address = {host.caller_address: host for host in hosts}
        self.keys = keys
        self.history = history
        self.seed = seed
        self.request_numbers = itertools.count()
        self.stopping = False

    async def run(self, count: int) -> None:
        """Run callers until ``stopping`` is set."""
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._caller(random.Random(f"{self.seed}-{number}")))

    async def _caller(self, rng: random.Random) -> None:
        addresses: list[str] = []
        looked_up_at = float("-inf")
        timeout = aiohttp.ClientTimeout(total=REQUEST_DEADLINE_S + 1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.stopping:
                if time.monotonic() - looked_up_at > LOOKUP_INTERVAL_S or not addresses:
                    addresses = await self._look_up(session, rng) or addresses
                    looked_up_at = time.monotonic()
                if addresses:
                    await self._send_request(session, rng, rng.choice(addresses))
                await asyncio.sleep(rng.uniform(0.02, 0.08))

    async def _look_up(self, session: aiohttp.ClientSession, rng: random.Random) -> list[str]:
        hosts = rng.sample(list(self.hosts_by_address.values()), min(3, len(self.hosts_by_address)))
        timeout = aiohttp.ClientTimeout(total=1.0)
        for host in hosts:
            url = f"http://{host.lookup_address}/v1/resolve"
            query = {"name": HOST_NAME, "region": "east", "zone": "north"}
            try:
                async with session.get(url, params=query, timeout=timeout) as response:
                    if response.status == 200:
                        return list((await response.json())["addresses"])
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        return []

    async def _send_request(
        self, session: aiohttp.ClientSession, rng: random.Random, address: str
    ) -> None:
        request_id = f"{self.seed}-{next(self.request_numbers)}"
        unsafe = rng.random() < 0.4
        path = f"/{'orders' if unsafe else 'devices'}/{rng.randrange(OBJECT_COUNT)}"
        key = rng.choice(list(self.keys.values()))
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Request-Deadline-Ms": str(int(REQUEST_DEADLINE_S * 1000)),
            "Affinity-Key": path,
            "Authorization": f"Bearer {key.value}",
        }
        sent_at = time.monotonic()
        status, is_intact = 0, True
        disconnect_at = None
        if rng.random() < DISCONNECT_PROBABILITY:
            disconnect_at = asyncio.get_running_loop().time() + rng.uniform(
                0.0, DISCONNECT_DELAY_MAX_S
            )
        disconnect_timer = asyncio.timeout_at(disconnect_at)
        try:
            async with (
                disconnect_timer,
                session.request(
                    "POST" if unsafe else "GET",
                    f"http://{address}{path}",
                    headers=headers,
                    data=b"x" * 300 if unsafe else None,
                ) as response,
            ):
                body = await response.read()
                status = response.status
                is_intact = self._is_intact(request_id, response, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        host = self.hosts_by_address[address].name
        self.history.outcomes.append(
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
                is_intact,
                disconnect_timer.expired(),
            )
        )

    def _is_intact(self, request_id: str, response: aiohttp.ClientResponse, body: bytes) -> bool:
        if response.status >= 300:
            return True
        signature = response.headers.get("Response-Signature", "")
        is_own = signature.endswith(f".{request_id}")
        return is_own and body == self.history.response_bodies.get(signature)
