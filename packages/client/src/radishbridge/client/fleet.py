"""Reads from the admin listeners of hosts, with a bounded number of concurrent requests."""

from __future__ import annotations

import asyncio
import typing as t

import aiohttp
import msgspec

from radishbridge.records import DECODE_ERRORS, Failure, ResultCode
from radishbridge.store import HostEntry, ObjectStore

MAX_CONCURRENT_REQUESTS = 64
HOST_TIMEOUT_S = 2.0

T = t.TypeVar("T")


class FleetClient:
    """Reads the platform's list of hosts and the admin listeners of the hosts.

    :param session: HTTP session, closed by the caller.
    :param store: client of the platform's object API, which has the list of hosts.
    """

    __slots__ = ("request_slots", "session", "store", "timeout")

    def __init__(self, session: aiohttp.ClientSession, store: ObjectStore) -> None:
        self.session = session
        self.store = store
        self.request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self.timeout = aiohttp.ClientTimeout(total=HOST_TIMEOUT_S)

    async def read_hosts(self) -> list[HostEntry] | Failure:
        """Read the platform's list of hosts, including those that are leaving."""
        host_list = await self.store.hosts()
        return host_list if isinstance(host_list, Failure) else host_list.hosts

    async def fetch(
        self, host: HostEntry, path: str, type_: type[T], params: t.Mapping[str, str] | None = None
    ) -> T | Failure:
        """Send a GET request to a host and decode its JSON response.

        :param path: path below the host's admin address.
        :param type_: type of the response.
        :return: the response; ``PEER_UNREACHABLE`` without a valid one within
            ``HOST_TIMEOUT_S``.
        """
        result = await self.fetch_from(host.admin_address, path, type_, params)
        if isinstance(result, Failure):
            return Failure(result.code, f"{host.name} ({host.admin_address}): {result.reason}")
        return result

    async def fetch_from(
        self,
        address: str,
        path: str,
        type_: type[T],
        params: t.Mapping[str, str] | None = None,
        headers: t.Mapping[str, str] | None = None,
    ) -> T | Failure:
        """Send a GET request to an address and decode its JSON response, like ``fetch``.

        :param address: ``IP:port``.
        """
        url = f"http://{address}{path}"
        options: dict[str, t.Any] = {"params": params, "headers": headers, "timeout": self.timeout}
        try:
            async with self.request_slots:
                async with self.session.get(url, **options) as response:
                    body = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            return Failure(ResultCode.PEER_UNREACHABLE, type(error).__name__)
        if response.status != 200:
            return Failure(ResultCode.PEER_UNREACHABLE, f"answered {response.status}")
        try:
            return msgspec.json.decode(body, type=type_)
        except DECODE_ERRORS as error:
            return Failure(ResultCode.PEER_UNREACHABLE, f"malformed answer: {error}")

    async def fetch_all(
        self, hosts: t.Sequence[HostEntry], path: str, type_: type[T]
    ) -> list[T | Failure]:
        """Call ``fetch`` for each host and return the results in the order of the hosts."""
        return await asyncio.gather(*(self.fetch(host, path, type_) for host in hosts))


def live_hosts(hosts: t.Iterable[HostEntry]) -> list[HostEntry]:
    """Return the hosts that are not leaving, sorted by name."""
    return sorted((host for host in hosts if not host.leaving), key=lambda host: host.name)
