"""What another writer leaves in the store, or a peer sends, costs no other entry and no host."""

from __future__ import annotations

import asyncio
import contextlib
import json
import threading
import typing as t

import msgspec
import pytest
from fleet_world import Hosts
from hypothesis import given, settings
from hypothesis import strategies as st
from soak.odd_entries import ODD_ENTRIES, make_entry
from soak.store import Store
from test_platform import MANIFEST, SETTINGS, make_server_spec, make_stored
from test_platform_store import paged_store, running_store

from radishbridge import records
from radishbridge.entry import (
    Bounds,
    FleetMessage,
    HostEntry,
    Kind,
    ObjectCopy,
    SteeringState,
    StoredObject,
)
from radishbridge.entry.backends import BackendConnection
from radishbridge.entry.memory import ResponseMemory
from radishbridge.entry.messages import FleetSummary, HostStatus
from radishbridge.entry.registration import Registration
from radishbridge.host.tasks import ERRORS_TO_FAIL, HEALTHY_AFTER_S, Supervisor
from radishbridge.peers import Envelope, Heartbeat, HostAddress, ZmqMesh
from radishbridge.platform import responses
from radishbridge.platform.headers import PlatformHeaderCodec
from radishbridge.platform.objects import KIND_NAMES, PlatformDecoder
from radishbridge.platform.settings import read_settings
from radishbridge.records import Failure, PeerSettings
from radishbridge.steering import Server

SERVERS = KIND_NAMES[Kind.SERVER]
REGIONS = {"north": "east", "south": "east", "west-1": "west"}
FIXED = settings(derandomize=True, max_examples=300, deadline=None, database=None)


def make_state() -> SteeringState:
    return SteeringState("10.0.0.1:7000", PlatformDecoder(REGIONS), Bounds(), "east")


async def write_neighbours(store: Store, text: str) -> None:
    """Write an odd entry between two good ones."""
    await store.put_text(SERVERS, "a", make_entry(name="a"))
    await store.put_text(SERVERS, "odd", text)
    await store.put_text(SERVERS, "b", make_entry(name="b", address="127.0.0.1:9001"))


def decode_all(objects: t.Iterable[StoredObject]) -> dict[str, t.Any]:
    """Decode objects as a host that gets them from a store follower."""
    decoder = PlatformDecoder(REGIONS)
    passed_on = [
        msgspec.msgpack.decode(msgspec.msgpack.encode(stored), type=StoredObject)
        for stored in objects
    ]
    return {stored.name: decoder.decode(stored) for stored in passed_on}


class TestOddServerEntries:
    @pytest.mark.parametrize("odd", ODD_ENTRIES)
    @pytest.mark.parametrize("way", ["listing", "watch"])
    async def test_the_others_are_read_and_the_odd_one_is_no_server(self, odd, way):
        async with running_store() as (store, client):
            await write_neighbours(store, ODD_ENTRIES[odd])
            if way == "listing":
                found = await client.list(Kind.SERVER)
            else:
                found = await client.watch(Kind.SERVER, 1, 1.0)
            servers = decode_all(found.objects)
            good = {name for name, server in servers.items() if isinstance(server, Server)}
            assert good == {"a", "b"}

    @pytest.mark.parametrize("odd", ODD_ENTRIES)
    async def test_a_later_valid_version_takes_effect(self, odd):
        async with running_store() as (store, client):
            state, copy = make_state(), ObjectCopy()
            copy.listeners.append(state.apply_object)
            await write_neighbours(store, ODD_ENTRIES[odd])
            for stored in (await client.watch(Kind.SERVER, 1, 1.0)).objects:
                copy.apply(stored, "store")
            await store.put_text(SERVERS, "odd", make_entry())
            for stored in (await client.watch(Kind.SERVER, store.revision - 1, 1.0)).objects:
                copy.apply(stored, "store")
            assert set(state.selector.states) == {"a", "b", "odd"}
            assert state.unreadable == {}

    async def test_a_removal_is_followed_though_the_entry_cannot_be_decoded(self):
        async with running_store() as (store, client):
            state, copy = make_state(), ObjectCopy()
            copy.listeners.append(state.apply_object)
            for name, odd in (("x", "nested in the spec"), ("y", "no slots")):
                await store.put_text(SERVERS, name, ODD_ENTRIES[odd].replace("odd", name))
            for stored in (await client.list(Kind.SERVER)).objects:
                copy.apply(stored, "store")
            assert {name for _, name in state.unreadable} == {"x", "y"}
            after = store.revision
            await store.remove(SERVERS, "x")
            await store.remove(SERVERS, "y")
            for stored in (await client.watch(Kind.SERVER, after, 1.0)).objects:
                copy.apply(stored, "store")
            assert state.unreadable == {}
            assert copy.listing(Kind.SERVER).objects == []

    async def test_it_is_logged_once_for_each_version(self, caplog):
        async with running_store() as (store, client):
            state, copy = make_state(), ObjectCopy()
            copy.listeners.append(state.apply_object)
            for odd in ("no slots", "name with a lone surrogate"):
                await store.put_text(SERVERS, odd, ODD_ENTRIES[odd])
            for _ in range(3):
                for stored in (await client.list(Kind.SERVER)).objects:
                    copy.apply(stored, "store")
            messages = [record.getMessage() for record in caplog.records]
            assert messages.count("object cannot be decoded") == 1
            assert messages.count("object without a valid name") == 1

    async def test_a_server_whose_new_version_cannot_be_decoded_is_not_used(self):
        # The platform's rules: such an entry names no server.
        state, copy = make_state(), ObjectCopy()
        copy.listeners.append(state.apply_object)
        copy.apply(make_stored(Kind.SERVER, "a", make_server_spec()), "store")
        assert "a" in state.selector.states
        copy.apply(
            StoredObject(kind=Kind.SERVER, name="a", version=8, value=b"", fault="odd"), "store"
        )
        assert "a" not in state.selector.states

    async def test_a_configuration_that_cannot_be_decoded_leaves_the_last_one_in_force(self):
        state, copy = make_state(), ObjectCopy()
        copy.listeners.append(state.apply_object)
        copy.apply(make_stored(Kind.CONFIGURATION, "main", MANIFEST), "store")
        copy.apply(
            StoredObject(kind=Kind.CONFIGURATION, name="main", version=8, value=b"", fault="odd"),
            "store",
        )
        assert state.configuration.version == 12
        assert state.unreadable[Kind.CONFIGURATION, "main"].reason == "odd"

    @pytest.mark.parametrize(
        ("changes", "field", "value"),
        [
            ({"address": "10.0.0.1:99999"}, "address", "10.0.0.1:99999"),
            ({"address": "a" * 300 + ":80"}, "address", "aaaa"),
            ({"born": -5}, "born", "-5"),
            (
                {"info": {"service": "c", "version": "v", "zone": "north", "slots": -3}},
                "slots",
                "-3",
            ),
            ({"status": {"state": "ready", "warmupLeft": "9" * 300 + "s"}}, "longer", "999"),
        ],
    )
    def test_the_reason_names_field_and_value_cut_short(self, changes, field, value):
        stored = make_stored(Kind.SERVER, "i-1", make_server_spec(**changes))
        failure = PlatformDecoder(REGIONS).decode(stored)
        assert field in failure.reason
        assert value in failure.reason
        assert len(failure.reason) < 200


class TestScanOfAnOddEntry:
    @pytest.mark.parametrize("way", ["listing", "watch"])
    async def test_it_does_not_hold_up_requests(self, way, monkeypatch):
        # An entry of 1 MB takes a host of half a core about a second.
        threads = set()

        def split_object(text: bytes) -> dict[str, bytes]:
            threads.add(threading.get_ident())
            return records.split_object(text)

        monkeypatch.setattr(responses, "split_object", split_object)
        async with running_store() as (store, client):
            await write_neighbours(store, ODD_ENTRIES["nested in the spec"])
            if way == "listing":
                await client.list(Kind.SERVER)
            else:
                await client.watch(Kind.SERVER, 1, 1.0)
        assert threads
        assert threading.get_ident() not in threads

    def test_its_parts_are_found_at_any_nesting(self):
        text = b'{"a":[[{"b":[1,{"c":"]}"}]}],2],"d":{"e":[[]]},"f":3}'
        assert records.split_object(text) == {
            "a": b'[[{"b":[1,{"c":"]}"}]}],2]',
            "d": b'{"e":[[]]}',
            "f": b"3",
        }
        assert records.split_array(b'[[[1,2]],"x,]",{}]') == [b"[[1,2]]", b'"x,]"', b"{}"]

    @pytest.mark.parametrize("text", [b"", b"{", b"{}}", b"[1]]", b"[1", b'{"a"}', b"{]", b"7"])
    def test_what_is_no_object_is_an_error(self, text):
        with pytest.raises(ValueError, match=r"."):
            records.split_object(text)

    @pytest.mark.parametrize(
        ("text", "deeper"),
        [
            (b"[" * 32 + b"]" * 32, False),
            (b"[" * 33 + b"]" * 33, True),
            (b"[" + b"{}," * 500 + b"{}]", False),
            (b'["' + b"[" * 100 + b'"]', False),
            (b'{"a":' * 40 + b"1" + b"}" * 40, True),
        ],
    )
    def test_the_depth_counts_levels(self, text, deeper):
        assert records.is_deeper_than(text, 32) is deeper


class TestPagesWithOddEntries:
    async def test_a_listing_goes_on_behind_a_page_of_odd_entries(self):
        deep: t.Any = None
        for _ in range(100):
            deep = [deep]
        odd = {"metadata": {"name": "odd", "revision": 5}, "spec": deep}
        last = {"metadata": {"name": "z", "revision": 6}, "spec": make_server_spec()}
        pages = {
            "": {"items": [odd], "hasMore": True, "currentRev": 9},
            "odd": {"items": [last], "hasMore": False, "currentRev": 9},
        }
        async with paged_store(pages) as client:
            servers = decode_all((await client.list(Kind.SERVER)).objects)
            assert isinstance(servers["z"], Server)

    async def test_a_listing_continues_after_a_name_with_a_lone_surrogate(self):
        odd = {"metadata": {"name": "\udc00", "revision": 5}}
        last = {"metadata": {"name": "z", "revision": 6}, "spec": make_server_spec()}
        pages = {
            "": {"items": [odd], "hasMore": True, "currentRev": 9},
            # aiohttp's server decodes the bytes of a lone surrogate, which are no UTF-8, to this.
            "\ufffd\ufffd\ufffd": {"items": [last], "hasMore": False, "currentRev": 9},
        }
        async with paged_store(pages) as client:
            listing = await client.list(Kind.SERVER)
            assert [stored.name for stored in listing.objects] == ["z"]

    async def test_a_listing_that_does_not_advance_is_a_failure(self):
        one = {"metadata": {"name": "a", "revision": 5}}
        page = {"items": [one], "hasMore": True, "currentRev": 9}
        pages = {"": page, "a": page}
        async with paged_store(pages) as client:
            assert isinstance(await client.list(Kind.SERVER), Failure)


HOSTILE = st.sampled_from(
    [
        None,
        True,
        -1,
        0,
        2**31,
        2**53,
        2**63,
        2**64,
        10**30,
        -(10**30),
        1.5,
        1e308,
        -1e308,
        "",
        "\x00",
        "a\r\nTenant: b",
        "9" * 400,
        "9" * 400 + "s",
        "1e999s",
        "-1s",
        "127.0.0.1:0",
        "127.0.0.1:99999",
        ":",
        "ß" * 300,
        [],
        {},
        [[[[[[[[[[]]]]]]]]]],
    ]
)
HOST_NAME = "10.0.0.9:7000"
GOOD_SPECS: dict[Kind, tuple[str, dict[str, t.Any]]] = {
    Kind.SERVER: ("i-1", make_server_spec()),
    Kind.CONFIGURATION: ("main", MANIFEST),
    Kind.MOVE: (
        "catalogue",
        {"service": "catalogue", "targetVersion": "v2", "duration": "60s"},
    ),
    Kind.DRAIN: ("north", {"note": "x"}),
    Kind.HOST: (
        HOST_NAME,
        msgspec.to_builtins(
            HostEntry(
                peer_address=HOST_NAME,
                listen="10.0.0.9:80",
                region="east",
                data_center="north",
                link_mbps=100.0,
                cores=0.5,
            )
        ),
    ),
}


def paths(value: t.Any) -> list[tuple[t.Any, ...]]:
    """Return the path of each field of a value, at any depth."""
    if isinstance(value, dict):
        members: t.Iterable[tuple[t.Any, t.Any]] = value.items()
    elif isinstance(value, list):
        members = enumerate(value)
    else:
        return []
    return [path for key, inner in members for path in [(key,), *((key, *p) for p in paths(inner))]]


def replace_at(value: t.Any, path: tuple[t.Any, ...], new: t.Any) -> t.Any:
    """Return a copy of a value with one field replaced."""
    changed = json.loads(json.dumps(value))
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = new
    return changed


class TestObjectsWithOneHostileField:
    """A valid object of any kind in which one field was changed."""

    @FIXED
    @given(data=st.data())
    def test_it_is_applied_or_refused_and_the_host_goes_on(self, data):
        kind = data.draw(st.sampled_from(list(Kind)))
        name, good = GOOD_SPECS[kind]
        spec = replace_at(good, data.draw(st.sampled_from(paths(good))), data.draw(HOSTILE))
        state, copy = make_state(), ObjectCopy()
        copy.listeners.append(state.apply_object)
        copy.apply(make_stored(kind, name, spec), "store")
        state.build_report(HostStatus("10.0.0.1:7000", True, False, True))
        for server in state.selector.states.values():
            assert 0 < server.server.slots < 10**6
            assert 0 <= server.server.incarnation < 2**63
            assert server.server.cold_for_s < 1e9
        if state.configuration is not None:
            route = state.configuration.match("one.example", "/a/1")
            if route is not None:
                assert route.pick_service(0.99) in {split.service for split in route.services}


class TestPeers:
    @pytest.fixture
    async def mesh(self):
        mesh = ZmqMesh(
            "10.0.0.1:7000",
            "127.0.0.1:0",
            PeerSettings(),
            lambda: Heartbeat(revision=0),
            message_type=FleetMessage,
            persistent_connections=False,
        )
        mesh.update_directory(
            [HostAddress(name="10.0.0.2:7000", region="", data_center="", address="127.0.0.1:9")]
        )
        yield mesh
        mesh.disconnect()
        await asyncio.sleep(0)
        mesh.context.destroy(linger=0)

    def frame(self, body: bytes, sender: str = "10.0.0.2:7000") -> bytes:
        return msgspec.msgpack.encode(
            Envelope(sender=sender, incarnation=1, sequence=1, body=msgspec.Raw(body))
        )

    @pytest.mark.parametrize(
        "body",
        [
            b"\x91" * 100_000 + b"\xc0",
            b"\x81\xa1x" * 100_000 + b"\xc0",
            msgspec.msgpack.encode({"type": "changed", "objects": [["server", "x", 2**63, b""]]}),
            msgspec.msgpack.encode({"type": "changed", "objects": [["server", "x", -1, b""]]}),
            msgspec.msgpack.encode(
                {"type": "token-answer", "number": 1, "granted": False, "wait_s": float("nan")}
            ),
            msgspec.msgpack.encode(
                {"type": "token-answer", "number": 1, "granted": False, "wait_s": -1.0}
            ),
        ],
    )
    async def test_a_malformed_message_is_dropped(self, mesh, body):
        mesh.receive(self.frame(body))
        assert mesh.counters.malformed == 1

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("demands", {"school": float("nan")}),
            ("demands", {"school": -1.0}),
            ("demands", {"school": float("inf")}),
            ("size", 0),
            ("size", 2**63),
            ("home_bound", {"catalogue": {"east": [float("nan"), 0.0, 0]}}),
            ("home_bound", {"catalogue": {"east": [0.0, 0.0, -1]}}),
            ("copy_state", [{"server": -1}, {"server": 0}]),
            ("copy_state", [{"server": 2**63}, {"server": 0}]),
        ],
    )
    async def test_a_summary_with_a_number_out_of_range_is_dropped(self, mesh, field, value):
        summary = {
            "type": "summary",
            "hosts": [],
            "demands": {},
            "home_bound": {},
            "evidence": {},
            "crashes": [],
            "copy_state": [{}, {}],
        }
        msgspec.msgpack.decode(msgspec.msgpack.encode(summary), type=FleetSummary)
        mesh.receive(self.frame(msgspec.msgpack.encode({**summary, field: value})))
        assert mesh.counters.malformed == 1

    @pytest.mark.parametrize(
        "name", ["10.0.0.2:99999", "999.1.1.1:80", "10.0.0.2:0", "x", "10.0.0.2:80\n", "٣.1.1.1:80"]
    )
    async def test_a_sender_whose_name_is_no_address_is_not_contacted(self, name):
        fleet = Hosts(1).fleets[0]
        fleet._accept_unregistered(name)
        assert fleet.unregistered_peers == {}


class Transport(asyncio.Transport):
    def write(self, data: t.Any) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass


class TestHeadersOfServers:
    @pytest.mark.parametrize("digits", [5, 400, 5_000])
    async def test_an_idle_timeout_of_any_length_costs_no_answer(self, digits):
        connection = BackendConnection(asyncio.get_running_loop(), ResponseMemory())
        connection.connection_made(Transport())
        task = asyncio.create_task(connection.exchange(b"", b"", False))
        await asyncio.sleep(0)
        idle = b"9" * digits
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=" + idle + b"\r\n\r\nok"
        )
        assert (await asyncio.wait_for(task, 1.0)).body == b"ok"

    @pytest.mark.parametrize("value", [b"9" * 5_000 + b",0,1", b"1,%s,6" % (b"9" * 400), b"1,2"])
    def test_a_load_out_of_range_is_no_load(self, value):
        assert PlatformHeaderCodec().read_response(200, [(b"Server-Load", value)]).load is None

    @pytest.mark.parametrize("value", ["9" * 300, "1e300"])
    def test_a_long_deadline_of_a_caller_is_bounded(self, value):
        metadata = PlatformHeaderCodec().read_request({"Request-Deadline-Ms": value})
        assert metadata.deadline_s == 86_400.0


class TestSettings:
    @pytest.mark.parametrize(
        ("line", "changed"),
        [
            ("internalPortRange = [7000, 7015]", "internalPortRange = []"),
            ("internalPortRange = [7000, 7015]", "internalPortRange = [0, 15]"),
            ("internalPortRange = [7000, 7015]", "internalPortRange = [65535]"),
            ('ip = "10.1.0.2"', 'ip = "10.1.0.2.3"'),
            ('front = "10.1.0.2:1"', 'front = "10.1.0.2:99999"'),
            ('address = "10.9.0.1:8000"', 'address = "store"'),
            ("budgetSlack = 62", f"budgetSlack = {'9' * 400}"),
            ("budgetSlack = 62", "budgetSlack = nan"),
            ("retryBudgetRatio = 0.2", "retryBudgetRatio = -1.0"),
            ('grace = "6s"', f'grace = "{"9" * 400}s"'),
            ('new = "fields may come"', "new = " + "[" * 5_000 + "]" * 5_000),
        ],
    )
    def test_a_value_out_of_range_is_a_failure(self, tmp_path, line, changed):
        assert line in SETTINGS
        path = tmp_path / "boot.toml"
        path.write_text(SETTINGS.replace(line, changed))
        failure = read_settings(path)
        assert isinstance(failure, Failure)
        assert str(path) in failure.reason

    def test_a_seed_that_is_no_address_is_left_out(self, tmp_path):
        path = tmp_path / "boot.toml"
        path.write_text(SETTINGS.replace('["10.2.0.3:9000"]', '["10.2.0.3:9000", "x", ""]'))
        assert read_settings(path).seeds == ("10.2.0.3:7000",)


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await asyncio.sleep(0)


@pytest.mark.expects_contained_errors
class TestSupervisor:
    async def run(self, outcomes: t.Iterable[float | None]) -> tuple[Supervisor, list[float]]:
        """Run a task that fails after each of some times, and returns after ``None``."""
        clock, begun, rest = Clock(), [], iter(outcomes)

        async def work() -> None:
            begun.append(clock.now)
            runs_for_s = next(rest)
            if runs_for_s is not None:
                clock.now += runs_for_s
                raise RuntimeError("odd")

        async with contextlib.AsyncExitStack() as stack:
            supervisor = Supervisor(stack, clock, clock.sleep)
            await supervisor.start("work", work)
        return supervisor, begun

    async def test_a_task_begins_again_after_a_pause_that_grows(self):
        supervisor, begun = await self.run([0.0, 0.0, 0.0, None])
        assert begun == pytest.approx([0.0, 0.1, 0.3, 0.7])
        assert supervisor.restarts["work"] == 3

    async def test_the_pause_starts_anew_after_a_healthy_time(self):
        _, begun = await self.run([0.0, 0.0, HEALTHY_AFTER_S, None])
        assert begun[-1] - begun[-2] == pytest.approx(HEALTHY_AFTER_S + 0.1)

    async def test_a_host_is_failing_while_a_task_fails_without_end(self):
        supervisor, _ = await self.run([0.0] * ERRORS_TO_FAIL + [None])
        assert supervisor.is_failing
        supervisor.clock.now += HEALTHY_AFTER_S
        assert not supervisor.is_failing

    async def test_a_few_errors_do_not_make_a_host_failing(self):
        supervisor, _ = await self.run([0.0] * (ERRORS_TO_FAIL - 1) + [None])
        assert not supervisor.is_failing

    async def test_one_object_that_a_listener_fails_on_does_not_cost_the_next(self):
        copy, seen = ObjectCopy(), []

        def listener(stored: StoredObject, source: str) -> None:
            seen.append(stored.name)
            if stored.name == "a":
                raise RuntimeError("odd")

        copy.listeners.append(listener)
        for name in ("a", "b"):
            copy.apply(make_stored(Kind.SERVER, name, {}), "store")
        assert seen == ["a", "b"]


class RegistrationStore:
    def __init__(self) -> None:
        self.calls: list[str] = []

    async def register(self, entry: HostEntry) -> Failure | None:
        self.calls.append("register")
        return None

    async def unregister(self, name: str, version: int | None = None) -> Failure | None:
        self.calls.append("unregister")
        return None


class TestOwnEntry:
    async def test_a_host_writes_its_entry_anew_if_someone_else_made_it_odd(self, monkeypatch):
        monkeypatch.setattr("radishbridge.entry.registration.PROPAGATION_S", 0.0)
        store = RegistrationStore()
        entry = HostEntry(peer_address="a", listen="b", region="", data_center="")
        answers = iter([True])
        registration = Registration(
            store, ObjectCopy(), lambda: entry, lambda: next(answers, False)
        )
        task = asyncio.create_task(registration.run())
        while len(store.calls) < 3:
            await asyncio.sleep(0)
        task.cancel()
        assert store.calls[:3] == ["register", "unregister", "register"]
