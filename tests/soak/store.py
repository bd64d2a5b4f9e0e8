"""A stand-in for the platform's store with injectable faults."""

from __future__ import annotations

import asyncio
import json
import random
import typing as t

from aiohttp import web

HISTORY_EVENTS_MAX = 2_000
Fault = t.Literal["", "busy", "reset", "silent"]


class Store:
    """Objects by kind and name, with revisions and watches.

    :param texts: objects that are no valid JSON values, as text.
    :param fault: how every call fails: with status 503, with a reset connection, or with no
        response for 30 s; empty for none.
    :param delay_s: delay of each call, in seconds.
    :param lost_response_rate: fraction of the writes that take effect but get no response.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.objects: dict[tuple[str, str], dict[str, t.Any]] = {}
        self.texts: dict[tuple[str, str], str] = {}
        self.events: list[tuple[int, str, str, bool]] = []
        self.compacted_revision = 0
        self.revision = 10
        self.fault: Fault = ""
        self.delay_s = 0.0
        self.lost_response_rate = 0.0
        self.change_condition = asyncio.Condition()

    def application(self) -> web.Application:
        """Build the web application that serves the store."""
        application = web.Application()
        application.router.add_get("/v1/objects/{kind}", self.list_or_watch)
        application.router.add_get("/v1/objects/{kind}/{name}", self.read)
        application.router.add_post("/v1/objects/{kind}", self.create)
        application.router.add_put("/v1/objects/{kind}/{name}", self.replace)
        application.router.add_put("/v1/objects/{kind}/{name}/status", self.replace_status)
        application.router.add_delete("/v1/objects/{kind}/{name}", self.delete)
        return application

    async def put(self, kind: str, name: str, **fields: t.Any) -> int:
        """Write the ``spec`` or ``status`` of an object and return the new revision."""
        self.revision += 1
        previous = self.objects.get((kind, name), {"spec": None, "status": None})
        changed = {**previous, **fields, "metadata": {"name": name, "revision": self.revision}}
        self.objects[kind, name] = changed
        self.texts.pop((kind, name), None)
        await self._record_event(kind, json.dumps(changed), False)
        return self.revision

    async def put_text(self, kind: str, name: str, text: str) -> None:
        """Write an object as text; ``{revision}`` in it stands for the new revision."""
        self.revision += 1
        self.objects.pop((kind, name), None)
        self.texts[kind, name] = text.replace("{revision}", str(self.revision))
        await self._record_event(kind, self.texts[kind, name], False)

    async def remove(self, kind: str, name: str) -> bool:
        """Delete an object; return whether it existed."""
        previous = self.objects.pop((kind, name), None)
        text = self.texts.pop((kind, name), None) if previous is None else json.dumps(previous)
        if text is None:
            return False
        self.revision += 1
        await self._record_event(kind, text, True)
        return True

    async def compact(self) -> None:
        """Discard the history, so that watches from earlier revisions fail."""
        self.events.clear()
        self.compacted_revision = self.revision
        async with self.change_condition:
            self.change_condition.notify_all()

    async def list_or_watch(self, request: web.Request) -> web.StreamResponse:
        """Return a listing, or the changes after a revision."""
        if error := await self._apply_fault(request):
            return error
        if "watch" in request.query:
            return await self._watch(request)
        kind = request.match_info["kind"]
        items = [
            json.dumps(one) for (object_kind, _), one in self.objects.items() if object_kind == kind
        ]
        items += [text for (object_kind, _), text in self.texts.items() if object_kind == kind]
        return _json_text(
            f'{{"items":[{",".join(items)}],"hasMore":false,"currentRev":{self.revision}}}'
        )

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Return one object."""
        if error := await self._apply_fault(request):
            return error
        stored = self.objects.get((request.match_info["kind"], request.match_info["name"]))
        return web.Response(status=404) if stored is None else web.json_response(stored)

    async def create(self, request: web.Request) -> web.StreamResponse:
        """Create an object."""
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        if error := await self._apply_fault(request):
            return error
        if (kind, name) in self.objects:
            return web.json_response(self.objects[kind, name], status=409)
        await self.put(kind, name, spec=body.get("spec"))
        return self._write_response(request, self.objects[kind, name])

    async def replace(self, request: web.Request) -> web.StreamResponse:
        """Replace an object's ``spec``."""
        return await self._replace_field(request, "spec")

    async def replace_status(self, request: web.Request) -> web.StreamResponse:
        """Replace an object's ``status``."""
        return await self._replace_field(request, "status")

    async def delete(self, request: web.Request) -> web.StreamResponse:
        """Delete an object."""
        if error := await self._apply_fault(request):
            return error
        key = (request.match_info["kind"], request.match_info["name"])
        current = self.objects.get(key)
        expected = request.query.get("revision")
        if current and expected is not None and int(expected) != current["metadata"]["revision"]:
            return web.json_response(current, status=409)
        found = await self.remove(*key)
        return self._write_response(request, {}) if found else web.Response(status=404)

    async def _replace_field(self, request: web.Request, field: str) -> web.StreamResponse:
        body = await request.json()
        key = (request.match_info["kind"], request.match_info["name"])
        if error := await self._apply_fault(request):
            return error
        current = self.objects.get(key)
        if current is None:
            return web.Response(status=404)
        expected = body.get("metadata", {}).get("revision")
        if expected is not None and expected != current["metadata"]["revision"]:
            return web.json_response(current, status=409)
        await self.put(*key, **{field: body.get(field)})
        return self._write_response(request, self.objects[key])

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        kind, after = request.match_info["kind"], int(request.query["watch"])
        wait_s = int(request.query.get("waitMs", "1000")) / 1000.0
        try:
            async with asyncio.timeout(wait_s), self.change_condition:
                await self.change_condition.wait_for(
                    lambda: self._events_after(kind, after) or after < self.compacted_revision
                )
        except TimeoutError:
            pass
        if self.fault:
            return await self._apply_fault(request) or web.Response(status=503)
        if after < self.compacted_revision:
            return web.Response(status=410)
        events = [
            f'{{"object":{text},"deleted":{json.dumps(deleted)}}}'
            for text, deleted in self._events_after(kind, after)
        ]
        return _json_text(f'{{"events":[{",".join(events)}],"currentRev":{self.revision}}}')

    def _events_after(self, kind: str, after: int) -> list[tuple[str, bool]]:
        return [
            (text, deleted)
            for revision, event_kind, text, deleted in self.events
            if event_kind == kind and revision > after
        ]

    async def _record_event(self, kind: str, changed: str, deleted: bool) -> None:
        self.events.append((self.revision, kind, changed, deleted))
        if len(self.events) > HISTORY_EVENTS_MAX:
            self.compacted_revision = self.events.pop(0)[0]
        async with self.change_condition:
            self.change_condition.notify_all()

    async def _apply_fault(self, request: web.Request) -> web.StreamResponse | None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault == "silent":
            await asyncio.sleep(30.0)
        if self.fault == "reset":
            return _abort(request)
        return web.Response(status=503) if self.fault else None

    def _write_response(self, request: web.Request, body: dict[str, t.Any]) -> web.StreamResponse:
        if self.rng.random() < self.lost_response_rate:
            return _abort(request)
        return web.json_response(body)


def _json_text(text: str) -> web.Response:
    return web.Response(text=text, content_type="application/json")


def _abort(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
