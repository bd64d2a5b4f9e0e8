"""Callers that look up hosts, share connections and record the responses."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import time
import typing as t

import aiohttp

from soak.connections import Client, Cut, Response
from soak.history import NOT_EXECUTED_STATUSES, TAG, History, Outcome
from soak.hosts import Host

REQUEST_DEADLINE_S = 1.5
LOOKUP_INTERVAL_S = 1.0
HOST_NAME = "one.example"
OBJECT_COUNT = 40
# Fraction of the requests whose caller disconnects early, and its maximum delay until then.
DISCONNECT_PROBABILITY = 0.15
DISCONNECT_DELAY_MAX_S = 0.3
# Callers of one client process, which share its connections.
CALLERS_PER_CLIENT = 4
BODY_BYTES, LARGE_BODY_BYTES = 300, 150_000
# What callers do that nobody controls, as fractions of their requests: send none or an earlier
# request id, or a large body, stop midway for a while, and repeat what was refused with its id.
NO_ID_PROBABILITY, SAME_ID_PROBABILITY, LARGE_BODY_PROBABILITY = 0.03, 0.1, 0.1
CUT_PROBABILITY, CUT_DELAY_MAX_S, REPEAT_PROBABILITY = 0.05, 1.0, 0.6


class Key(t.NamedTuple):
    """An API key and the tenant that it belongs to; ``revoked_at`` is 0 while it is valid."""

    value: str
    tenant: str
    revoked_at: float = 0.0


class Request(t.NamedTuple):
    """A caller's request, which it may send in several attempts."""

    request_id: str
    unsafe: bool
    path: str
    key: Key
    body: bytes

    def encode(self, tag: str) -> bytes:
        """Return the bytes of an attempt."""
        headers = {
            "Host": HOST_NAME,
            "Request-Id": self.request_id,
            TAG: tag,
            "Request-Deadline-Ms": str(int(REQUEST_DEADLINE_S * 1000)),
            "Affinity-Key": self.path,
            "Authorization": f"Bearer {self.key.value}",
            "Content-Length": str(len(self.body)) if self.unsafe else "",
        }
        lines = [f"{'POST' if self.unsafe else 'GET'} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items() if value]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class Callers:
    """Concurrent callers, each of which sends one request after another.

    :param keys: keys by value; callers go on using revoked ones.
    :param misbehave: whether some send request ids again, requests in two parts, or go on using
        connections that were announced to close.
    """

    def __init__(
        self,
        hosts: list[Host],
        keys: dict[str, Key],
        history: History,
        seed: int,
        misbehave: bool = False,
    ) -> None:
        self.hosts_by_address = {host.caller_address: host for host in hosts}
        self.keys = keys
        self.history = history
        self.seed = seed
        self.misbehave = misbehave
        self.request_numbers = itertools.count()
        self.stopping = False

    async def run(self, count: int) -> None:
        """Run callers until ``stopping`` is set."""
        clients = [
            Client(random.Random(f"{self.seed}-client-{number}"), self.misbehave and number % 2 > 0)
            for number in range(math.ceil(count / CALLERS_PER_CLIENT))
        ]
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                client = clients[number // CALLERS_PER_CLIENT]
                group.create_task(self._caller(random.Random(f"{self.seed}-{number}"), client))
        for client in clients:
            client.close()

    async def _caller(self, rng: random.Random, client: Client) -> None:
        addresses: list[str] = []
        looked_up_at = float("-inf")
        request: Request | None = None
        async with aiohttp.ClientSession() as session:
            while not self.stopping:
                if time.monotonic() - looked_up_at > LOOKUP_INTERVAL_S or not addresses:
                    addresses = await self._look_up(session, rng) or addresses
                    looked_up_at = time.monotonic()
                if addresses:
                    request = self._make_request(rng, request)
                    address = client.choose_address(addresses)
                    status = await self._send_request(client, rng, address, request)
                    repeats = self.misbehave and rng.random() < REPEAT_PROBABILITY
                    if status in NOT_EXECUTED_STATUSES and repeats:
                        await self._send_request(client, rng, address, request)
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

    def _make_request(self, rng: random.Random, last: Request | None) -> Request:
        request_id = f"{self.seed}-{next(self.request_numbers)}"
        unsafe = rng.random() < 0.4
        path = f"/{'orders' if unsafe else 'devices'}/{rng.randrange(OBJECT_COUNT)}"
        request = Request(
            request_id, unsafe, path, rng.choice(list(self.keys.values())), b"x" * BODY_BYTES
        )
        if not unsafe:
            request = request._replace(body=b"")
        if not self.misbehave:
            return request
        if unsafe and rng.random() < LARGE_BODY_PROBABILITY:
            request = request._replace(body=b"x" * LARGE_BODY_BYTES)
        if last is not None and rng.random() < SAME_ID_PROBABILITY:
            return request._replace(request_id=last.request_id)
        return request._replace(request_id="") if rng.random() < NO_ID_PROBABILITY else request

    async def _send_request(
        self, client: Client, rng: random.Random, address: str, request: Request
    ) -> int:
        tag = f"{self.seed}-{next(self.request_numbers)}"
        data = request.encode(tag)
        cut = None
        if self.misbehave and rng.random() < CUT_PROBABILITY:
            delay_s = rng.uniform(0.0, CUT_DELAY_MAX_S)
            cut = Cut(rng.randrange(1, len(data)), delay_s, rng.random() < 0.5)
        sent_at = time.monotonic()
        response = Response()
        disconnect_at = None
        if rng.random() < DISCONNECT_PROBABILITY:
            disconnect_at = asyncio.get_running_loop().time() + rng.uniform(
                0.0, DISCONNECT_DELAY_MAX_S
            )
        disconnect_timer = asyncio.timeout_at(disconnect_at)
        disconnected = False
        host = self.hosts_by_address[address]
        try:
            async with asyncio.timeout(REQUEST_DEADLINE_S + 1.0), disconnect_timer:
                target = host.caller_proxy.address
                await client.exchange(address, target, data, response, cut)
        except ConnectionAbortedError:
            disconnected = True
        except (TimeoutError, OSError):
            disconnected = disconnect_timer.expired()
        # The head of a refusal promises as much as a whole one.
        is_valid = response.is_complete or response.status in NOT_EXECUTED_STATUSES
        status = response.status if is_valid else 0
        self.history.outcomes.append(
            Outcome(
                tag,
                host.name,
                request.unsafe,
                request.key.tenant,
                request.key.value,
                request.path,
                sent_at,
                time.monotonic(),
                status,
                not response.has_excess and (status == 0 or self._is_intact(tag, response)),
                disconnected,
                request.request_id,
            )
        )
        return status

    def _is_intact(self, tag: str, response: Response) -> bool:
        if response.status >= 300:
            return True
        signature = response.headers.get("response-signature", "")
        is_own = signature.endswith(f".{tag}")
        return is_own and response.body == self.history.response_bodies.get(signature)
