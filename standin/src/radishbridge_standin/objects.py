"""A stand-in for the platform's object API over HTTP, kept in memory."""

from __future__ import annotations

import asyncio
import typing as t

import msgspec
from aiohttp import web

from radishbridge.store import HostList, Listing, WatchEvent
from radishbridge_standin.table import EventBatch, Faults, ObjectTable, Write

WATCH_HEARTBEAT_INTERVAL_S = 1.0
VALUE_BYTES_MAX = 1_048_576


class CallReport(msgspec.Struct, kw_only=True):
    """Calls counted so far.

    :param peak_per_second: most calls that fell into one second.
    """

    calls: dict[str, int]
    peak_per_second: int
    open_watches: int


class ObjectApi:
    """Serves objects with versions, conditional updates and watches.

    Paths under ``/control`` are not part of the platform's API: they set faults and read counters.
    """

    __slots__ = ("table",)

    def __init__(self, table: ObjectTable | None = None) -> None:
        self.table = ObjectTable() if table is None else table

    def application(self) -> web.Application:
        """Build the application that serves the API."""
        application = web.Application(client_max_size=VALUE_BYTES_MAX + 1)
        application.router.add_get("/v1/objects", self.list)
        application.router.add_get("/v1/objects/{kind}/{name}", self.get)
        application.router.add_put("/v1/objects/{kind}/{name}", self.put)
        application.router.add_get("/v1/watch", self.watch)
        application.router.add_get("/v1/hosts", self.get_hosts)
        application.router.add_put("/control/hosts", self.put_hosts)
        application.router.add_put("/control/faults", self.put_faults)
        application.router.add_get("/control/calls", self.get_calls)
        application.router.add_post("/control/compact", self.compact)
        application.router.add_post("/control/cut-watches", self.cut_watches)
        return application

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Answer one object, or 404."""
        if error := await self._apply_faults(request, "get"):
            return error
        stored = self.table.objects.get(_object_key(request))
        return self._json(stored) if stored else web.Response(status=404)

    async def list(self, request: web.Request) -> web.StreamResponse:
        """Answer all objects of the kinds asked for; without kinds only the revision."""
        kinds = _kinds(request)
        if error := await self._apply_faults(request, "list" if kinds else "revision"):
            return error
        objects = [stored for (kind, _), stored in self.table.objects.items() if kind in kinds]
        return self._json(Listing(revision=self.table.revision, objects=objects))

    async def put(self, request: web.Request) -> web.StreamResponse:
        """Write an object if its version is the one in ``If-Match``, else answer 412."""
        value = await request.read()
        if error := await self._apply_faults(request, "put"):
            return error
        kind, name = _object_key(request)
        expected = int(request.headers["If-Match"].strip('"'))
        write = Write(kind=kind, name=name, value=value, expected_version=expected)
        faults = self.table.faults
        if faults.consume("lost_requests"):
            return _abort(request)
        if faults.consume("late_writes"):
            self.table.late_writes.append(write)
            return _abort(request)
        stored = self.table.write(write)
        if faults.consume("lost_answers"):
            return _abort(request)
        return self._json(stored) if stored else web.Response(status=412)

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream changes after a revision as JSON lines, with a heartbeat each second."""
        if error := await self._apply_faults(request, "watch"):
            return error
        kinds = _kinds(request)
        batch = self.table.read_events(int(request.query["after"]), kinds)
        if batch is None:
            return web.Response(status=410)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        self.table.open_watches += 1
        try:
            await self._stream(response, batch, kinds)
        except ConnectionResetError:
            # The client has left.
            return response
        finally:
            self.table.open_watches -= 1
        if self.table.faults.down:
            _abort(request)
        return response

    async def get_hosts(self, request: web.Request) -> web.StreamResponse:
        """Answer the list of hosts."""
        error = await self._apply_faults(request, "hosts")
        if error and not self.table.faults.hosts_up:
            return error
        return self._json(HostList(hosts=self.table.visible_hosts()))

    async def put_hosts(self, request: web.Request) -> web.Response:
        """Replace the list of hosts."""
        self.table.set_hosts(msgspec.json.decode(await request.read(), type=HostList).hosts)
        return web.Response()

    async def put_faults(self, request: web.Request) -> web.Response:
        """Replace the faults; those left out end."""
        self.table.faults = msgspec.json.decode(await request.read(), type=Faults)
        self.table.notify()
        return web.Response()

    async def get_calls(self, request: web.Request) -> web.Response:
        """Answer the counters."""
        peak = max(self.table.calls_by_second.values(), default=0)
        report = CallReport(
            calls=dict(self.table.calls),
            peak_per_second=peak,
            open_watches=self.table.open_watches,
        )
        return web.Response(body=msgspec.json.encode(report), content_type="application/json")

    async def compact(self, request: web.Request) -> web.Response:
        """Drop the history."""
        self.table.compact()
        return web.Response()

    async def cut_watches(self, request: web.Request) -> web.Response:
        """End every open watch."""
        self.table.cut_watches()
        return web.Response()

    async def _apply_faults(self, request: web.Request, call: str) -> web.Response | None:
        self.table.count(call)
        if self.table.faults.delay_s:
            await asyncio.sleep(self.table.faults.delay_s)
        if self.table.faults.down and not (call == "hosts" and self.table.faults.hosts_up):
            return _abort(request)
        return web.Response(status=503) if self.table.faults.refuse else None

    async def _stream(
        self, response: web.StreamResponse, batch: EventBatch | None, kinds: t.Collection[str]
    ) -> None:
        watch_generation = self.table.watch_generation
        wakeup = asyncio.Event()
        self.table.wakeups[wakeup] = None
        try:
            while batch is not None:
                heartbeat = WatchEvent(revision=batch.revision)
                for event in [*batch.events, heartbeat]:
                    await response.write(msgspec.json.encode(event) + b"\n")
                await _wait_for_change(wakeup)
                if self.table.faults.down or watch_generation != self.table.watch_generation:
                    return
                batch = self.table.read_events(batch.revision, kinds)
        finally:
            self.table.wakeups.pop(wakeup, None)

    def _json(self, value: t.Any) -> web.Response:
        body = msgspec.json.encode(value)
        if self.table.faults.consume("malformed_answers"):
            body = body[: len(body) // 2]
        return web.Response(body=body, content_type="application/json")


async def _wait_for_change(wakeup: asyncio.Event) -> None:
    try:
        async with asyncio.timeout(WATCH_HEARTBEAT_INTERVAL_S):
            await wakeup.wait()
    except TimeoutError:
        return
    wakeup.clear()


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _object_key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _kinds(request: web.Request) -> set[str]:
    return set(filter(None, request.query["kinds"].split(",")))
