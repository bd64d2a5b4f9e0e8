from __future__ import annotations

import asyncio
import contextlib
import random
import typing as t

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import Failure, ResultCode
from radishbridge.store import Backoff, HttpStore, ResolvedWriter, StoredObject, WatchEvent
from radishbridge_standin.fake import FakeStore
from radishbridge_standin.objects import ObjectApi
from radishbridge_standin.table import ObjectTable, Write

STORED_OBJECT = b'{"kind":"key","name":"a","version":1,"value":1}'


async def no_sleep(seconds: float) -> None:
    return


def code(result: object) -> ResultCode:
    return result.code if isinstance(result, Failure) else ResultCode.OK


def make_writer(store: t.Any) -> ResolvedWriter:
    return ResolvedWriter(store, random.Random(1), sleep=no_sleep)


@contextlib.asynccontextmanager
async def respond_with(status: int, body: bytes) -> t.AsyncIterator[HttpStore]:
    async def handle(request: web.BaseRequest) -> web.Response:
        await request.read()
        return web.Response(status=status, body=body)

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", handle)
    async with TestServer(application) as server, aiohttp.ClientSession() as session:
        yield HttpStore(session, str(server.make_url("/")), 2.0)


@contextlib.asynccontextmanager
async def serve_table(table: ObjectTable, timeout_s: float) -> t.AsyncIterator[HttpStore]:
    # Unlike aiohttp's test server, this runner completes requests of disconnected clients.
    runner = web.AppRunner(ObjectApi(table).application())
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        async with aiohttp.ClientSession() as session:
            yield HttpStore(session, f"http://{host}:{port}", timeout_s)
    finally:
        await runner.cleanup()


class TestHttpStore:
    @pytest.mark.parametrize(
        ("status", "body", "expected"),
        [
            (200, STORED_OBJECT, ResultCode.OK),
            (200, STORED_OBJECT[:20], ResultCode.WRITE_UNCLEAR),
            (200, b"[]", ResultCode.WRITE_UNCLEAR),
            (412, b"", ResultCode.VERSION_CONFLICT),
            (503, b"", ResultCode.STORE_UNAVAILABLE),
            (413, b"", ResultCode.RECORD_INVALID),
            (500, b"", ResultCode.WRITE_UNCLEAR),
            (504, b"", ResultCode.WRITE_UNCLEAR),
        ],
    )
    async def test_maps_responses_to_writes(
        self, status: int, body: bytes, expected: ResultCode
    ) -> None:
        async with respond_with(status, body) as store:
            assert code(await store.put("key", "a", b"1", 0)) is expected

    @pytest.mark.parametrize(
        ("status", "body", "expected"),
        [
            (200, STORED_OBJECT, ResultCode.OK),
            (200, b'{"kind":', ResultCode.STORE_UNAVAILABLE),
            (404, b"", ResultCode.NOT_FOUND),
            (500, b"", ResultCode.STORE_UNAVAILABLE),
        ],
    )
    async def test_maps_responses_to_reads(
        self, status: int, body: bytes, expected: ResultCode
    ) -> None:
        async with respond_with(status, body) as store:
            assert code(await store.get("key", "a")) is expected

    @pytest.mark.parametrize("body", [b"{nonsense\n", b'{"revision": "x"}\n', b"x" * 3_000_000])
    async def test_ends_a_watch_at_a_malformed_line(self, body: bytes) -> None:
        async with respond_with(200, body) as store:
            events = [event async for event in store.watch(["key"], 0)]
        assert [code(event) for event in events] == [ResultCode.STORE_UNAVAILABLE]

    async def test_watch_carries_values_of_a_megabyte(self) -> None:
        value = b'"' + b"v" * (1_048_576 - 2) + b'"'
        async with serve_table(ObjectTable(), 5.0) as store:
            written = [await store.put("key", name, value, 0) for name in "abc"]
            watch = store.watch(["key"], 0)
            events = [await anext(watch) for _ in range(4)]
            await watch.aclose()
        assert all(isinstance(result, StoredObject) for result in written)
        objects = [e.object for e in events if isinstance(e, WatchEvent) and e.object is not None]
        assert [bytes(stored.value) == value for stored in objects] == [True] * 3

    @pytest.mark.parametrize("name", ["a b", "a/b", "ü", "a%2Fb", "a?b#c"])
    async def test_name_is_one_path_segment(self, name: str) -> None:
        table = ObjectTable()
        async with serve_table(table, 2.0) as store:
            assert code(await store.put("key", name, b"1", 0)) is ResultCode.OK
            assert list(table.objects) == [("key", name)]
            assert code(await store.get("key", name)) is ResultCode.OK

    async def test_refuses_a_value_above_a_megabyte_before_it_is_sent(self) -> None:
        table = ObjectTable()
        async with serve_table(table, 2.0) as store:
            result = await store.put("key", "a", b"1" * 1_048_577, 0)
        assert code(result) is ResultCode.RECORD_INVALID
        assert not table.calls

    async def test_does_not_resend_a_write(self) -> None:
        """aiohttp resends a request if a persistent connection closes before the response.

        The first write may have taken effect, so the second would wrongly report a conflict.
        """
        table = ObjectTable()
        async with serve_table(table, 2.0) as store:
            await store.get("key", "a")
            table.faults.lost_answers = 1
            result = await store.put("key", "a", b"1", 0)
        assert code(result) is ResultCode.WRITE_UNCLEAR
        assert table.calls["put"] == 1

    async def test_write_that_times_out_is_unclear(self) -> None:
        table = ObjectTable()
        table.faults.delay_s = 0.3
        async with serve_table(table, 0.05) as store:
            result = await store.put("key", "a", b"1", 0)
            assert code(await store.get("key", "a")) is ResultCode.STORE_UNAVAILABLE
            async with asyncio.timeout(10):
                while not table.objects:
                    await asyncio.sleep(0.01)
        assert code(result) is ResultCode.WRITE_UNCLEAR

    async def test_put_to_an_unreachable_store_certainly_changes_nothing(self) -> None:
        async with aiohttp.ClientSession() as session:
            server = TestServer(web.Application())
            await server.start_server()
            url = str(server.make_url("/"))
            await server.close()
            result = await HttpStore(session, url, 2.0).put("key", "a", b"1", 0)
        assert code(result) is ResultCode.STORE_UNAVAILABLE


class TestResolvedWriter:
    @pytest.mark.parametrize("fault", ["lost_answers", "lost_requests", "late_writes"])
    async def test_write_takes_effect_once(self, fault: str) -> None:
        table = ObjectTable()
        setattr(table.faults, fault, 2)
        result = await make_writer(FakeStore(table)).write("key", "a", b'{"x":1}', 0)
        assert isinstance(result, StoredObject)
        assert all(late is None for late in table.apply_late_writes())
        assert table.revision == result.version == 1

    async def test_returns_a_conflict_unchanged(self) -> None:
        table = ObjectTable()
        table.write(Write(kind="key", name="a", value=b"1", expected_version=0))
        result = await make_writer(FakeStore(table)).write("key", "a", b"2", 0)
        assert code(result) is ResultCode.VERSION_CONFLICT

    async def test_write_that_may_have_been_overwritten_stays_unclear(self) -> None:
        table = ObjectTable()
        table.faults.lost_answers = 1

        async def overwrite(seconds: float) -> None:
            if table.revision == 1:
                table.write(Write(kind="key", name="a", value=b"2", expected_version=1))

        store = FakeStore(table)
        result = await ResolvedWriter(store, random.Random(1), sleep=overwrite).write(
            "key", "a", b"1", 0
        )
        assert code(result) is ResultCode.WRITE_UNCLEAR
        assert bytes(table.objects["key", "a"].value) == b"2"

    async def test_gives_up_after_bounded_attempts(self) -> None:
        table = ObjectTable()
        table.faults.lost_requests = 100
        result = await make_writer(FakeStore(table)).write("key", "a", b"1", 0)
        assert code(result) is ResultCode.WRITE_UNCLEAR
        assert table.calls == {"put": 5, "get": 4}

    async def test_store_whose_revision_went_back_is_not_overwritten(self) -> None:
        table = ObjectTable()
        backup = table.backup()
        table.write(Write(kind="key", name="a", value=b"1", expected_version=0))
        table.faults.lost_requests = 1

        async def restore(seconds: float) -> None:
            table.restore(backup)

        result = await ResolvedWriter(FakeStore(table), random.Random(1), sleep=restore).write(
            "key", "a", b"2", 1
        )
        assert code(result) is ResultCode.WRITE_UNCLEAR
        assert not table.objects

    @settings(derandomize=True, deadline=None)
    @given(faults=st.lists(st.sampled_from(["lost_answers", "lost_requests", "late_writes", ""])))
    def test_answer_agrees_with_the_store(self, faults: list[str]) -> None:
        table = ObjectTable()

        async def next_fault(seconds: float) -> None:
            table.apply_late_writes()
            if faults and (fault := faults.pop()):
                setattr(table.faults, fault, 1)

        if faults and (fault := faults.pop()):
            setattr(table.faults, fault, 1)
        resolved = ResolvedWriter(FakeStore(table), random.Random(1), sleep=next_fault)
        result = asyncio.run(resolved.write("key", "a", b"1", 0))
        if isinstance(result, StoredObject):
            assert table.objects["key", "a"] == result
        else:
            assert code(result) is ResultCode.WRITE_UNCLEAR
        assert table.revision <= 1


class TestBackoff:
    def test_delays_grow_to_a_bound_and_are_jittered(self) -> None:
        randomness = random.Random(7)
        backoff = Backoff(initial_s=0.1, max_s=1.0)
        delays = [backoff.delay_s(attempt, randomness) for attempt in range(50)]
        assert all(0.05 <= delay <= 1.0 for delay in delays)
        assert min(delays[10:]) >= 0.5
        assert len(set(delays[10:])) == 40


class TestOddObjects:
    """One object that cannot be decoded costs no other object, and no later change."""

    DEEP = b"[" * 100_000 + b"]" * 100_000
    GOOD = b'{"kind":"key","name":"%s","version":%d,"value":{}}'

    @pytest.mark.parametrize("value", [DEEP, b'"\\ud800"'])
    async def test_a_listing_has_the_others(self, value):
        odd = b'{"kind":"key","name":"odd","version":2,"value":' + value + b"}"
        objects = b",".join([self.GOOD % (b"a", 1), odd, self.GOOD % (b"b", 3)])
        async with respond_with(200, b'{"revision":9,"objects":[' + objects + b"]}") as store:
            listing = await store.list(["key"])
        assert [stored.name for stored in listing.objects] == ["a", "odd", "b"]
        assert (listing.revision, bytes(listing.objects[1].value)) == (9, b"null")

    @pytest.mark.parametrize("value", [DEEP, b'"\\ud800"'])
    async def test_a_watch_goes_on_behind_it(self, value):
        odd = b'{"kind":"key","name":"odd","version":2,"value":' + value + b"}"
        lines = [
            b'{"revision":%d,"object":%s}' % (number, text)
            for number, text in enumerate([self.GOOD % (b"a", 1), odd, self.GOOD % (b"b", 3)])
        ]
        async with respond_with(200, b"\n".join(lines) + b"\n") as store:
            events = [event async for event in store.watch(["key"], 0)]
        names = [event.object.name for event in events if isinstance(event, WatchEvent)]
        assert names == ["a", "odd", "b"]
