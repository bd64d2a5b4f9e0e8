from __future__ import annotations

import contextlib
import random
import typing as t

import aiohttp
import msgspec
import pytest
from aiohttp import web
from soak.store import Store

from radishbridge.entry import HostEntry, Kind, MoveReport, ObjectCopy
from radishbridge.platform.objects import KIND_NAMES, STATES_BY_PHASE
from radishbridge.platform.store import PlatformStore
from radishbridge.records import Failure, ResultCode
from radishbridge.steering import MovePhase

HOSTS = KIND_NAMES[Kind.HOST]


@contextlib.asynccontextmanager
async def running_store() -> t.AsyncIterator[tuple[Store, PlatformStore]]:
    """Run a stand-in of the platform's store and a client of it."""
    async with contextlib.AsyncExitStack() as stack:
        store = Store(random.Random(1))
        runner = web.AppRunner(store.application(), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield store, PlatformStore(session, f"{host}:{port}")


@contextlib.asynccontextmanager
async def paged_store(pages: dict[str, dict[str, t.Any]]) -> t.AsyncIterator[PlatformStore]:
    """Run a store that serves a listing in pages.

    :param pages: each page by the name that it comes after; the first one by an empty name.
    """

    async def respond(request: web.Request) -> web.Response:
        return web.json_response(pages[request.query.get("after", "")])

    async with contextlib.AsyncExitStack() as stack:
        application = web.Application()
        application.router.add_get("/v1/objects/{kind}", respond)
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield PlatformStore(session, f"{host}:{port}")


def make_page(revision: int, *items: t.Any, more: bool = False) -> dict[str, t.Any]:
    return {"items": list(items), "hasMore": more, "currentRev": revision}


def make_object(name: str, revision: int) -> dict[str, t.Any]:
    return {"metadata": {"name": name, "revision": revision}, "spec": {}}


class TestListingOfSeveralPages:
    """Objects that a listing lacks count as deleted, up to the revision of the listing."""

    @pytest.mark.parametrize(("first", "second"), [(100, 90), (90, 100)])
    async def test_a_listing_is_as_old_as_its_oldest_page(self, first, second):
        pages = {
            "": make_page(first, make_object("a", 5), more=True),
            "a": make_page(second, make_object("b", 6)),
        }
        async with paged_store(pages) as client:
            listing = await client.list(Kind.HOST, may_be_stale=True)
            assert listing.revision == 90
            assert [stored.name for stored in listing.objects] == ["a", "b"]

    async def test_an_undecodable_object_at_the_end_of_a_page_is_skipped(self):
        bad = {"metadata": 7}
        pages = {
            "": make_page(9, make_object("a", 5), bad, more=True),
            "a": make_page(9, bad, make_object("b", 6)),
        }
        async with paged_store(pages) as client:
            listing = await client.list(Kind.HOST)
            assert [stored.name for stored in listing.objects] == ["a", "b"]

    async def test_a_page_without_a_decodable_object_is_a_failure(self):
        async with paged_store({"": make_page(9, {"metadata": 7}, more=True)}) as client:
            assert isinstance(await client.list(Kind.HOST), Failure)


class TestRecreatedObject:
    """A host unregisters, restarts and registers while another host watches from an older revision.

    The other one gets the deletion and the new object in one response.
    """

    @pytest.mark.parametrize("other_hosts", [0, 3])
    async def test_it_is_in_a_copy_that_gets_all_changes_at_once(self, other_hosts):
        async with running_store() as (store, client):
            copy = ObjectCopy()
            await store.put(HOSTS, "a", spec={})
            listing = await client.list(Kind.HOST)
            for stored in listing.objects:
                copy.apply(stored, "store")
            copy.advance(Kind.HOST, listing.revision)
            await store.remove(HOSTS, "a")
            await store.put(HOSTS, "a", spec={})
            for number in range(other_hosts):
                await store.put(HOSTS, f"other-{number}", spec={})
            changes = await client.watch(Kind.HOST, listing.revision, 1.0)
            for stored in changes.objects:
                copy.apply(stored, "store")
            assert copy.objects[Kind.HOST, "a"].value is not None
            assert len(copy.listing(Kind.HOST).objects) == 1 + other_hosts

    async def test_it_is_gone_after_a_last_deletion(self):
        async with running_store() as (store, client):
            copy = ObjectCopy()
            await store.put(HOSTS, "a", spec={})
            await store.remove(HOSTS, "a")
            await store.put(HOSTS, "a", spec={})
            await store.remove(HOSTS, "a")
            for stored in (await client.watch(Kind.HOST, 0, 1.0)).objects:
                copy.apply(stored, "store")
            assert copy.listing(Kind.HOST).objects == []


class TestHandOver:
    """Two hosts act as coordinator for a moment; only one order for each state takes effect."""

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            (MovePhase.COMPLETED, MovePhase.ROLLED_BACK),
            (MovePhase.ROLLED_BACK, MovePhase.COMPLETED),
        ],
    )
    async def test_the_second_status_of_a_move_is_rejected(self, first, second):
        async with running_store() as (store, client):
            version = await store.put("rollouts", "catalogue", spec={"service": "catalogue"})
            results = [
                await client.report_move(
                    MoveReport(name="catalogue", version=version, to_version="v2", phase=phase)
                )
                for phase in (first, second)
            ]
            assert results[0] is None
            assert results[1].code is ResultCode.VERSION_CONFLICT
            status = store.objects["rollouts", "catalogue"]["status"]
            assert status["state"] == STATES_BY_PHASE[first]

    async def test_a_delayed_removal_spares_a_host_that_has_registered_again(self):
        async with running_store() as (store, client):
            version = await store.put(HOSTS, "a", spec={})
            await store.remove(HOSTS, "a")
            await store.put(HOSTS, "a", spec={})
            failure = await client.unregister("a", version)
            assert failure.code is ResultCode.VERSION_CONFLICT
            assert (HOSTS, "a") in store.objects

    async def test_a_late_question_does_not_replace_an_answer(self):
        async with running_store() as (store, client):
            entry = HostEntry(peer_address="a", listen="b", region="", data_center="")
            version = await store.put(HOSTS, "a", spec={})
            question = msgspec.structs.replace(entry, is_questioned=True)
            assert await client.replace_host(question, version) is None
            assert store.objects[HOSTS, "a"]["spec"]["is_questioned"] is True
            assert await client.replace_host(entry, store.revision) is None
            failure = await client.replace_host(question, version)
            assert failure.code is ResultCode.VERSION_CONFLICT
            assert "is_questioned" not in store.objects[HOSTS, "a"]["spec"]

    async def test_a_lost_host_is_removed(self):
        async with running_store() as (store, client):
            version = await store.put(HOSTS, "a", spec={})
            assert await client.unregister("a", version) is None
            assert (HOSTS, "a") not in store.objects
