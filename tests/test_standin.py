from __future__ import annotations

import contextlib
import typing as t

import aiohttp
import msgspec
import pytest
from aiohttp.test_utils import TestServer

from radishbridge.records import Failure, ResultCode
from radishbridge.store import HostEntry, HttpStore, ObjectStore, StoredObject, WatchEvent
from radishbridge_standin import processes
from radishbridge_standin.fake import FakeStore
from radishbridge_standin.objects import ObjectApi
from radishbridge_standin.table import ObjectTable

HOST = HostEntry(
    name="host-1",
    region="oberbayern",
    data_center="ob-a",
    address="127.0.0.1:1",
    admin_address="127.0.0.1:2",
    peer_address="127.0.0.1:3",
)


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@contextlib.asynccontextmanager
async def http_store(table: ObjectTable, timeout_s: float = 2.0) -> t.AsyncIterator[HttpStore]:
    async with TestServer(ObjectApi(table).application()) as server:
        async with aiohttp.ClientSession() as session:
            yield HttpStore(session, str(server.make_url("/")), timeout_s)


@contextlib.asynccontextmanager
async def fake_store(table: ObjectTable) -> t.AsyncIterator[FakeStore]:
    yield FakeStore(table)


STORES = [pytest.param(http_store, id="http"), pytest.param(fake_store, id="fake")]


async def read_events(store: ObjectStore, after: int, count: int) -> list[WatchEvent | Failure]:
    events: list[WatchEvent | Failure] = []
    async with contextlib.aclosing(t.cast(t.Any, store.watch(["key"], after))) as watch:
        async for event in watch:
            events.append(event)
            if len(events) == count or isinstance(event, Failure):
                break
    return events


def versions(events: t.Iterable[WatchEvent | Failure]) -> list[int]:
    return [e.object.version for e in events if isinstance(e, WatchEvent) and e.object is not None]


def result_code(result: object) -> ResultCode:
    return result.code if isinstance(result, Failure) else ResultCode.OK


@pytest.mark.parametrize("open_store", STORES)
class TestObjectStore:
    async def test_writes_only_if_the_version_is_the_expected_one(self, open_store: t.Any) -> None:
        async with open_store(ObjectTable()) as store:
            first = await store.put("key", "a", b"1", 0)
            assert result_code(await store.put("key", "a", b"2", 0)) is ResultCode.VERSION_CONFLICT
            second = await store.put("key", "a", b"2", first.version)
            assert second.version > first.version
            assert bytes((await store.get("key", "a")).value) == b"2"

    async def test_counts_each_call_and_each_watch_once(self, open_store: t.Any) -> None:
        table = ObjectTable()
        async with open_store(table) as store:
            await store.put("key", "a", b"1", 0)
            await store.get("key", "a")
            await store.list(["key"])
            await store.hosts()
            await read_events(store, 0, 2)
        assert table.calls == {"put": 1, "get": 1, "list": 1, "hosts": 1, "watch": 1}

    async def test_lists_only_the_requested_kinds(self, open_store: t.Any) -> None:
        async with open_store(ObjectTable()) as store:
            await store.put("key", "a", b"1", 0)
            await store.put("lease", "b", b"1", 0)
            listing = await store.list(["key"])
        assert (listing.revision, [stored.name for stored in listing.objects]) == (2, ["a"])

    async def test_heartbeat_follows_the_events_that_it_covers(self, open_store: t.Any) -> None:
        async with open_store(ObjectTable()) as store:
            for number in range(3):
                await store.put("key", str(number), b"1", 0)
            events = await read_events(store, 0, 4)
        assert versions(events) == [1, 2, 3]
        assert events[-1] == WatchEvent(revision=3)

    async def test_reorders_and_duplicates_events(self, open_store: t.Any) -> None:
        table = ObjectTable()
        async with open_store(table) as store:
            for number in range(2):
                await store.put("key", str(number), b"1", 0)
            table.faults.reorder = table.faults.double = True
            assert versions(await read_events(store, 0, 5)) == [2, 2, 1, 1]

    async def test_watch_from_before_the_history_expires(self, open_store: t.Any) -> None:
        table = ObjectTable()
        async with open_store(table) as store:
            await store.put("key", "a", b"1", 0)
            table.compact()
            assert result_code((await read_events(store, 0, 1))[0]) is ResultCode.WATCH_EXPIRED
            assert await read_events(store, 1, 1) == [WatchEvent(revision=1)]

    async def test_cut_watches_ends_open_watches(self, open_store: t.Any) -> None:
        table = ObjectTable()
        async with open_store(table) as store:
            watch = store.watch(["key"], 0)
            assert await anext(watch) == WatchEvent(revision=0)
            table.cut_watches()
            assert result_code(await anext(watch)) is ResultCode.STORE_UNAVAILABLE

    @pytest.mark.parametrize("fault", ["down", "refuse"])
    async def test_calls_fail_while_the_store_is_down(self, open_store: t.Any, fault: str) -> None:
        table = ObjectTable()
        async with open_store(table) as store:
            setattr(table.faults, fault, True)
            results = [await store.get("key", "a"), await store.list(["key"]), await store.hosts()]
            results += await read_events(store, 0, 1)
            written = await store.put("key", "a", b"1", 0)
        assert {result_code(result) for result in results} == {ResultCode.STORE_UNAVAILABLE}
        assert result_code(written) in (ResultCode.STORE_UNAVAILABLE, ResultCode.WRITE_UNCLEAR)
        assert not table.objects

    @pytest.mark.parametrize(
        ("fault", "in_effect"), [("lost_answers", 1), ("lost_requests", 0), ("late_writes", 0)]
    )
    async def test_write_without_response_is_unclear(
        self, open_store: t.Any, fault: str, in_effect: int
    ) -> None:
        table = ObjectTable()
        setattr(table.faults, fault, 1)
        async with open_store(table) as store:
            assert result_code(await store.put("key", "a", b"1", 0)) is ResultCode.WRITE_UNCLEAR
            assert len(table.objects) == in_effect
            assert (await store.list(["key"])).revision == in_effect

    async def test_change_of_the_list_of_hosts_becomes_visible_after_the_lag(
        self, open_store: t.Any
    ) -> None:
        clock = Clock()
        table = ObjectTable(clock)
        table.faults.host_lag_s = 10.0
        async with open_store(table) as store:
            table.set_hosts([HOST])
            assert (await store.hosts()).hosts == []
            clock.now = 10.0
            assert (await store.hosts()).hosts == [HOST]


class TestObjectTable:
    def test_late_write_conflicts_with_an_earlier_one(self) -> None:
        table = ObjectTable()
        fake = FakeStore(table)
        table.faults.late_writes = 1
        with contextlib.suppress(StopIteration):
            fake.put("key", "a", b"1", 0).send(None)
        with contextlib.suppress(StopIteration):
            fake.put("key", "a", b"2", 0).send(None)
        assert table.apply_late_writes() == [None]
        assert bytes(table.objects["key", "a"].value) == b"2"

    def test_restores_a_backup(self) -> None:
        table = ObjectTable()
        backup = table.backup()
        with contextlib.suppress(StopIteration):
            FakeStore(table).put("key", "a", b"1", 0).send(None)
        table.restore(backup)
        assert (table.revision, table.objects) == (0, {})


class TestObjectApi:
    async def test_cuts_response_bodies_short(self) -> None:
        table = ObjectTable()
        table.faults.malformed_answers = 2
        async with http_store(table) as store:
            assert result_code(await store.put("key", "a", b"1", 0)) is ResultCode.WRITE_UNCLEAR
            assert result_code(await store.get("key", "a")) is ResultCode.STORE_UNAVAILABLE
            assert result_code(await store.get("key", "a")) is ResultCode.OK


class TestControl:
    async def test_sets_faults_and_reads_counters(self) -> None:
        table = ObjectTable()
        async with TestServer(ObjectApi(table).application()) as server:
            async with aiohttp.ClientSession(server.make_url("/")) as session:
                await session.put("/control/faults", data=b'{"refuse": true}')
                assert (await session.get("/v1/hosts")).status == 503
                await session.put("/control/faults", data=b"{}")
                assert (await session.get("/v1/hosts")).status == 200
                report = await (await session.get("/control/calls")).json()
        assert report["calls"] == {"hosts": 2}
        assert 1 <= report["peak_per_second"] <= 2


class TestStoredObject:
    def test_value_keeps_its_exact_text(self) -> None:
        text = b'{"kind":"key","name":"a","version":1,"value":{"x": 1}}'
        stored = msgspec.json.decode(text, type=StoredObject)
        assert bytes(stored.value) == b'{"x": 1}'


class TestFleet:
    def test_port_is_not_returned_again_before_its_process_listens(self, monkeypatch):
        monkeypatch.setattr("random.Random.sample", lambda _, ports, count: list(ports)[:count])
        ports = [processes.free_port() for _ in range(4)] + processes.free_ports(3)
        assert len(set(ports)) == 7

    async def test_timeout_names_the_url_and_its_last_status(self, monkeypatch):
        monkeypatch.setattr(processes, "START_TIMEOUT_S", 0.1)
        url = f"http://127.0.0.1:{processes.free_port()}/ready"
        async with aiohttp.ClientSession() as session:
            with pytest.raises(TimeoutError, match=f"{url} does not answer 200, .* was 0"):
                await processes.wait_for_status(session, url, 200)

    def test_describe_shows_which_process_ended(self, tmp_path):
        with processes.Fleet(tmp_path) as fleet:
            fleet.start("store", "radishbridge_standin", "nothing")
            fleet.processes["store"].wait()
            assert "store ended with" in fleet.describe()
