"""A stand-in for the platform's store, with outages."""

from __future__ import annotations

import asyncio
import json
import random
import typing as t

from aiohttp import web

EVENTS_KEPT = 2_000
Fault = t.Literal["", "busy", "reset", "silent"]


class Store:
    """Objects by kind and name, with revisions and watches.

    :param fault: how every call fails; empty for none.
    :param lose: part of the writes that are done and not answered.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.objects: dict[tuple[str, str], dict[str, t.Any]] = {}
        self.events: list[tuple[int, str, dict[str, t.Any], bool]] = []
        self.oldest = 0
        self.revision = 10
        self.fault: Fault = ""
        self.delay_s = 0.0
        self.lose = 0.0
        self.changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Build the application that serves the store."""
        application = web.Application()
        application.router.add_get("/v1/objects/{kind}", self.list_or_watch)
        application.router.add_post("/v1/objects/{kind}", self.create)
        application.router.add_put("/v1/objects/{kind}/{name}", self.replace)
        application.router.add_put("/v1/objects/{kind}/{name}/status", self.replace_status)
        application.router.add_delete("/v1/objects/{kind}/{name}", self.delete)
        return application

    async def put(self, kind: str, name: str, **parts: t.Any) -> int:
        """Write ``spec`` or ``status`` of an object and return the revision."""
        self.revision += 1
        held = self.objects.get((kind, name), {"spec": None, "status": None})
        changed = {**held, **parts, "metadata": {"name": name, "revision": self.revision}}
        self.objects[kind, name] = changed
        await self._tell(kind, changed, False)
        return self.revision

    async def remove(self, kind: str, name: str) -> bool:
        """Delete an object."""
        held = self.objects.pop((kind, name), None)
        if held is None:
            return False
        self.revision += 1
        await self._tell(kind, held, True)
        return True

    async def forget_history(self) -> None:
        """Drop the events of before, so that watches from an old revision fail."""
        self.events.clear()
        self.oldest = self.revision
        async with self.changed:
            self.changed.notify_all()

    async def list_or_watch(self, request: web.Request) -> web.StreamResponse:
        """Answer a listing, or the changes after a revision."""
        if refusal := await self._refusal(request):
            return refusal
        if "watch" in request.query:
            return await self._watch(request)
        kind = request.match_info["kind"]
        items = [one for (its_kind, _), one in self.objects.items() if its_kind == kind]
        return web.json_response({"items": items, "hasMore": False, "currentRev": self.revision})

    async def create(self, request: web.Request) -> web.StreamResponse:
        """Create an object."""
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        if refusal := await self._refusal(request):
            return refusal
        if (kind, name) in self.objects:
            return web.json_response(self.objects[kind, name], status=409)
        await self.put(kind, name, spec=body.get("spec"))
        return self._written(request, self.objects[kind, name])

    async def replace(self, request: web.Request) -> web.StreamResponse:
        """Replace an object's ``spec``."""
        return await self._put_part(request, "spec")

    async def replace_status(self, request: web.Request) -> web.StreamResponse:
        """Replace an object's ``status``."""
        return await self._put_part(request, "status")

    async def delete(self, request: web.Request) -> web.StreamResponse:
        """Delete an object."""
        if refusal := await self._refusal(request):
            return refusal
        found = await self.remove(request.match_info["kind"], request.match_info["name"])
        return self._written(request, {}) if found else web.Response(status=404)

    async def _put_part(self, request: web.Request, part: str) -> web.StreamResponse:
        body = await request.json()
        at = (request.match_info["kind"], request.match_info["name"])
        if refusal := await self._refusal(request):
            return refusal
        held = self.objects.get(at)
        if held is None:
            return web.Response(status=404)
        expected = body.get("metadata", {}).get("revision")
        if expected is not None and expected != held["metadata"]["revision"]:
            return web.json_response(held, status=409)
        await self.put(*at, **{part: body.get(part)})
        return self._written(request, self.objects[at])

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        kind, after = request.match_info["kind"], int(request.query["watch"])
        wait_s = int(request.query.get("waitMs", "1000")) / 1000.0
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self._after(kind, after) or after < self.oldest)
        except TimeoutError:
            pass
        if self.fault:
            return await self._refusal(request) or web.Response(status=503)
        if after < self.oldest:
            return web.Response(status=410)
        events = [{"object": one, "deleted": gone} for one, gone in self._after(kind, after)]
        return web.json_response({"events": events, "currentRev": self.revision})

    def _after(self, kind: str, after: int) -> list[tuple[dict[str, t.Any], bool]]:
        return [
            (json.loads(json.dumps(one)), gone)
            for revision, its_kind, one, gone in self.events
            if its_kind == kind and revision > after
        ]

    async def _tell(self, kind: str, changed: dict[str, t.Any], gone: bool) -> None:
        self.events.append((self.revision, kind, changed, gone))
        if len(self.events) > EVENTS_KEPT:
            self.oldest = self.events.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    async def _refusal(self, request: web.Request) -> web.StreamResponse | None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault == "silent":
            await asyncio.sleep(30.0)
        if self.fault == "reset":
            return _abort(request)
        return web.Response(status=503) if self.fault else None

    def _written(self, request: web.Request, held: dict[str, t.Any]) -> web.StreamResponse:
        if self.rng.random() < self.lose:
            return _abort(request)
        return web.json_response(held)


def _abort(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
