"""Answers callers who ask which entry hosts to use."""

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
REFRESH_S = 0.5


class LookupApi:
    """Ranks the live hosts for a caller's address.

    :param ttl_s: seconds for which callers may keep an answer.
    :param leaving: returns whether this host is leaving.
    """

    __slots__ = ("drains", "entries", "feed", "hosts", "leaving", "mesh", "sites", "table", "ttl_s")

    def __init__(self, mesh: ZmqMesh, ttl_s: float, leaving: t.Callable[[], bool]) -> None:
        self.mesh = mesh
        self.ttl_s = ttl_s
        self.leaving = leaving
        self.table = BlockTable()
        self.feed = BlockFeed(self.table)
        self.sites: dict[str, Site] = {}
        self.drains: dict[str, Drain] = {}
        self.entries: list[HostAddress] = []
        self.hosts = HostIndex([])

    def update(self, record: Record) -> None:
        """Take over a changed record of blocks, sites or drains."""
        body = record.body
        self.feed.update(record)
        if record.kind == "site":
            _replace(self.sites, record.name, body if isinstance(body, Site) else None)
        elif record.kind == "drain":
            _replace(self.drains, record.name, body if isinstance(body, Drain) else None)
            self.entries = []

    async def run(self) -> None:
        """Follow the client blocks and the live hosts until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.feed.run())
            tasks.create_task(self._follow_hosts())

    def refresh(self) -> None:
        """Build the index anew where the live hosts or the drains have changed."""
        entries = self.live_entries()
        if entries != self.entries:
            self.entries = entries
            hosts = map(_EntryHost, entries)
            self.hosts = HostIndex(hosts, self.drains.values(), previous=self.hosts)

    async def _follow_hosts(self) -> None:
        while True:
            self.refresh()
            await asyncio.sleep(REFRESH_S)

    def live_entries(self) -> list[HostAddress]:
        """Return the hosts of the directory that this host does not know to be dead.

        A host hears those of its own data centre; of the others it trusts the directory.
        """
        directory = self.mesh.directory
        live = {peer.name: peer for peer in self.mesh.live()}
        silent = directory.persistent_peers() - live.keys()
        gone = {name for name, peer in live.items() if peer.leaving}
        if self.leaving():
            gone.add(self.mesh.host)
        return [
            msgspec.structs.replace(entry, leaving=entry.leaving or name in gone)
            for name, entry in sorted(directory.hosts.items())
            if name not in silent and entry.listen
        ]

    def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a look-up for the caller's own address or the one it names."""
        asked = request.query.get("address", "")
        if asked and parse_address(asked) is None:
            return problem_response(
                Failure(ResultCode.REQUEST_MALFORMED, "address is not an IP address")
            )
        ranked = self.rank(asked or request.remote or "")
        if isinstance(ranked, Failure):
            return problem_response(ranked, self.ttl_s)
        headers = {"Cache-Control": f"max-age={int(ranked.ttl_s)}"}
        body = msgspec.json.encode(ranked)
        return web.Response(body=body, content_type="application/json", headers=headers)

    def rank(self, address: str) -> LookupResponse | Failure:
        """Return the hosts for a caller's address, the best first."""
        return rank_hosts(address, self.table, self.sites, self.hosts, self.ttl_s)


class Front:
    """Handles each request on the callers' listener: look-ups here, the others are forwarded."""

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


class _EntryHost:
    """A host of the directory as the ranking takes it, with its address for callers."""

    __slots__ = ("address", "data_center", "leaving", "name", "region")

    def __init__(self, entry: HostAddress) -> None:
        self.name = entry.name
        self.region = entry.region
        self.data_center = entry.data_center
        self.address = entry.listen
        self.leaving = entry.leaving


_T = t.TypeVar("_T")


def _replace(held: dict[str, _T], name: str, body: _T | None) -> None:
    held.pop(name, None)
    if body is not None:
        held[name] = body
