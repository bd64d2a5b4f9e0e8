"""Look-up API that tells callers which entry hosts to use."""

from __future__ import annotations

import asyncio
import typing as t

import msgspec
from aiohttp import web

from radishbridge.host.problem import problem_response
from radishbridge.peers import HostAddress, ZmqMesh
from radishbridge.records import Drain, Failure, Record, ResultCode, Site
from radishbridge.routing import (
    BlockFeed,
    BlockTable,
    HostIndex,
    LookupResponse,
    parse_address,
    rank_hosts,
)

LOOKUP_PATH = "/v1/lookup"
REFRESH_INTERVAL_S = 0.5


class LookupApi:
    """Ranks the live hosts for a caller's address.

    :param ttl_s: seconds for which callers may cache a response.
    :param leaving: returns whether this host is shutting down.
    :param entries: directory entries of the hosts in ``host_index``.
    """

    __slots__ = (
        "block_feed",
        "block_table",
        "drains",
        "entries",
        "host_index",
        "leaving",
        "mesh",
        "sites",
        "ttl_s",
    )

    def __init__(self, mesh: ZmqMesh, ttl_s: float, leaving: t.Callable[[], bool]) -> None:
        self.mesh = mesh
        self.ttl_s = ttl_s
        self.leaving = leaving
        self.block_table = BlockTable()
        self.block_feed = BlockFeed(self.block_table)
        self.sites: dict[str, Site] = {}
        self.drains: dict[str, Drain] = {}
        self.entries: list[HostAddress] = []
        self.host_index = HostIndex([])

    def update(self, record: Record) -> None:
        """Apply a changed record of client blocks, sites or drains."""
        body = record.body
        self.block_feed.update(record)
        if record.kind == "site":
            _update_item(self.sites, record.name, body if isinstance(body, Site) else None)
        elif record.kind == "drain":
            _update_item(self.drains, record.name, body if isinstance(body, Drain) else None)
            self.entries = []

    async def run(self) -> None:
        """Update the client blocks and the live hosts until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.block_feed.run())
            tasks.create_task(self._refresh_hosts())

    def refresh(self) -> None:
        """Rebuild the index of hosts if the live hosts or the drains have changed."""
        entries = self.live_entries()
        if entries != self.entries:
            self.entries = entries
            hosts = map(_RankableHost, entries)
            self.host_index = HostIndex(hosts, self.drains.values(), previous=self.host_index)

    async def _refresh_hosts(self) -> None:
        while True:
            self.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def live_entries(self) -> list[HostAddress]:
        """Return the hosts of the directory except those that this host knows to be down.

        A host receives heartbeats from the hosts of its own data centre; for other data centres it
        relies on the directory.
        """
        directory = self.mesh.directory
        live = {peer.name: peer for peer in self.mesh.live()}
        down = directory.persistent_peers() - live.keys()
        leaving = {name for name, peer in live.items() if peer.leaving}
        if self.leaving():
            leaving.add(self.mesh.host)
        return [
            msgspec.structs.replace(entry, leaving=entry.leaving or name in leaving)
            for name, entry in sorted(directory.hosts.items())
            if name not in down and entry.listen
        ]

    def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a look-up for the ``address`` parameter, or else for the caller's own address."""
        address = request.query.get("address", "")
        if address and parse_address(address) is None:
            return problem_response(
                Failure(ResultCode.REQUEST_MALFORMED, "the parameter address is not an IP address")
            )
        ranked = self.rank(address or request.remote or "")
        if isinstance(ranked, Failure):
            return problem_response(ranked, self.ttl_s)
        headers = {"Cache-Control": f"max-age={int(ranked.ttl_s)}"}
        body = msgspec.json.encode(ranked)
        return web.Response(body=body, content_type="application/json", headers=headers)

    def rank(self, address: str) -> LookupResponse | Failure:
        """Return the hosts for a caller's address, best first."""
        return rank_hosts(address, self.block_table, self.sites, self.host_index, self.ttl_s)


class RequestDispatcher:
    """Dispatches the requests of the callers' listener to look-up or forwarding."""

    __slots__ = ("forward", "lookup")

    def __init__(
        self,
        lookup: LookupApi,
        forward: t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]],
    ) -> None:
        self.lookup = lookup
        self.forward = forward

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        target = request.raw_path
        if not target.startswith(LOOKUP_PATH) or target.partition("?")[0] != LOOKUP_PATH:
            return await self.forward(request)
        response = self.lookup.answer(request)
        if self.lookup.leaving():
            response.force_close()
        return response


class _RankableHost:
    """A directory entry as ``HostIndex`` expects it, with the host's address for callers."""

    __slots__ = ("address", "data_center", "leaving", "name", "region")

    def __init__(self, entry: HostAddress) -> None:
        self.name = entry.name
        self.region = entry.region
        self.data_center = entry.data_center
        self.address = entry.listen
        self.leaving = entry.leaving


_T = t.TypeVar("_T")


def _update_item(items: dict[str, _T], name: str, body: _T | None) -> None:
    items.pop(name, None)
    if body is not None:
        items[name] = body
