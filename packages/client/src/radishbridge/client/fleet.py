"""Asks hosts' listeners for operators, a bounded number at once."""

from __future__ import annotations

import asyncio
import typing as t

import aiohttp
import msgspec

from radishbridge.records import Failure, ResultCode
from radishbridge.store import HostEntry, ObjectStore

MAX_CONCURRENT_REQUESTS = 64
HOST_TIMEOUT_S = 2.0

T = t.TypeVar("T")


class FleetClient:
    """Reads the list of hosts and asks the hosts themselves.

    :param session: client session, owned by the caller.
    """

    __slots__ = ("places", "session", "store", "timeout")

    def __init__(self, session: aiohttp.ClientSession, store: ObjectStore) -> None:
        self.session = session
        self.store = store
        self.places = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self.timeout = aiohttp.ClientTimeout(total=HOST_TIMEOUT_S)

    async def hosts(self) -> list[HostEntry] | Failure:
        """Read the platform's list of hosts, leaving ones included."""
        listed = await self.store.hosts()
        return listed if isinstance(listed, Failure) else listed.hosts

    async def fetch(
        self, host: HostEntry, path: str, type_: type[T], params: t.Mapping[str, str] | None = None
    ) -> T | Failure:
        """Read one answer of one host; ``PEER_UNREACHABLE`` where none came."""
        url = f"http://{host.admin_address}{path}"
        try:
            async with self.places:
                async with self.session.get(url, params=params, timeout=self.timeout) as answer:
                    body = await answer.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            return _unreachable(host, type(error).__name__)
        if answer.status != 200:
            return _unreachable(host, f"answered {answer.status}")
        try:
            return msgspec.json.decode(body, type=type_)
        except msgspec.MsgspecError as error:
            return _unreachable(host, f"malformed answer: {error}")

    async def fetch_all(
        self, hosts: t.Sequence[HostEntry], path: str, type_: type[T]
    ) -> list[T | Failure]:
        """Read one answer of each host, in the order of the hosts."""
        return await asyncio.gather(*(self.fetch(host, path, type_) for host in hosts))


def live(hosts: t.Iterable[HostEntry]) -> list[HostEntry]:
    """Return the hosts that are not leaving, by name."""
    return sorted((host for host in hosts if not host.leaving), key=lambda host: host.name)


def _unreachable(host: HostEntry, reason: str) -> Failure:
    return Failure(ResultCode.PEER_UNREACHABLE, f"{host.name} ({host.admin_address}): {reason}")
