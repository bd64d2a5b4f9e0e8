"""A stand-in for the platform's object API, kept in memory."""

from __future__ import annotations

import asyncio
import typing as t

import msgspec
from aiohttp import web

from radishbridge.store import HostEntry, HostList, Listing, StoredObject, WatchEvent

HEARTBEAT_S = 1.0
HISTORY_LENGTH = 10_000


class ObjectApi:
    """Serves objects with versions, conditional updates and watches.

    Counts each call; a waiting watch counts as one.
    """

    __slots__ = ("calls", "changed", "history", "hosts", "objects", "revision")

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.history: list[StoredObject] = []
        self.revision = 0
        self.hosts: list[HostEntry] = []
        self.calls: dict[str, int] = {}
        self.changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Build the application that serves the API."""
        application = web.Application()
        application.router.add_get("/v1/objects", self.list)
        application.router.add_get("/v1/objects/{kind}/{name}", self.get)
        application.router.add_put("/v1/objects/{kind}/{name}", self.put)
        application.router.add_get("/v1/watch", self.watch)
        application.router.add_get("/v1/hosts", self.get_hosts)
        application.router.add_put("/control/hosts", self.put_hosts)
        return application

    async def get(self, request: web.Request) -> web.Response:
        """Answer one object, or 404."""
        self._count("get")
        stored = self.objects.get(_at(request))
        return _json(stored) if stored else web.Response(status=404)

    async def list(self, request: web.Request) -> web.Response:
        """Answer all objects of the kinds asked for."""
        self._count("list")
        kinds = _kinds(request)
        objects = [stored for (kind, _), stored in self.objects.items() if kind in kinds]
        return _json(Listing(revision=self.revision, objects=objects))

    async def put(self, request: web.Request) -> web.Response:
        """Write an object if its version is the one in ``If-Match``, else answer 412."""
        self._count("put")
        expected = int(request.headers["If-Match"].strip('"'))
        value = await request.read()
        stored = await self.write(*_at(request), value, expected)
        return _json(stored) if stored else web.Response(status=412)

    async def write(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | None:
        """Write an object; ``None`` where its version is another."""
        held = self.objects.get((kind, name))
        if (held.version if held else 0) != expected_version:
            return None
        self.revision += 1
        stored = StoredObject(kind=kind, name=name, version=self.revision, value=msgspec.Raw(value))
        self.objects[kind, name] = stored
        self.history.append(stored)
        del self.history[:-HISTORY_LENGTH]
        async with self.changed:
            self.changed.notify_all()
        return stored

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream changes after a revision as JSON lines, with a sign of life each second."""
        self._count("watch")
        kinds = _kinds(request)
        after = int(request.query["after"])
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        while True:
            for stored in [one for one in self.history if one.version > after]:
                after = stored.version
                if stored.kind in kinds:
                    event = WatchEvent(revision=after, object=stored)
                    await response.write(msgspec.json.encode(event) + b"\n")
            sign = WatchEvent(revision=self.revision)
            await response.write(msgspec.json.encode(sign) + b"\n")
            await self._wait_beyond(after)

    async def get_hosts(self, request: web.Request) -> web.Response:
        """Answer the list of hosts."""
        self._count("hosts")
        return _json(HostList(hosts=self.hosts))

    async def put_hosts(self, request: web.Request) -> web.Response:
        """Replace the list of hosts; not part of the platform's API."""
        self.hosts = msgspec.json.decode(await request.read(), type=HostList).hosts
        return web.Response()

    async def _wait_beyond(self, revision: int) -> None:
        async with self.changed:
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.changed.wait_for(lambda: self.revision > revision)
            except TimeoutError:
                return

    def _count(self, call: str) -> None:
        self.calls[call] = self.calls.get(call, 0) + 1


def _at(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _kinds(request: web.Request) -> set[str]:
    return set(request.query["kinds"].split(","))


def _json(value: t.Any) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
