"""Places are recorded in the store, so that hosts that start later have them too."""

from __future__ import annotations

import itertools
import pathlib
import random
import sys

import msgspec
import pytest
from fleet_world import Hosts
from steering_world import T0, make_selector, make_server
from test_platform_store import running_store

from radishbridge.entry import (
    Bounds,
    Fleet,
    FleetCoordinator,
    Kind,
    PlaceRecord,
    SteeringState,
    StoredObject,
)
from radishbridge.entry.coordinator import PLACES_INTERVAL_S
from radishbridge.platform.objects import PlatformDecoder, encode_place_record
from radishbridge.platform.store import PlatformStore
from radishbridge.records import Failure, ResultCode
from radishbridge.steering import ServerCriteria
from radishbridge.steering.places import SPARE_S, PlaceBook

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from bench._placement_cases import (
    SERVICE,
    World,
    replace_with_gap,
    replace_with_overlap,
)

# Histories of the default run.
SEEDS = 4


class TestRecordedPlaces:
    """A host that starts cannot tell from the entries which server replaced which.

    With places of its own it sends its requests to servers where other hosts' objects are cold.
    """

    @pytest.fixture
    def book(self) -> PlaceBook:
        return PlaceBook([make_server(number) for number in range(8)])

    def test_a_host_that_starts_has_the_places_of_the_others(self):
        world = World(16, 300, True, 1)
        for server in world.rng.sample(world.live(), 10):
            replace_with_overlap(world, server)
        replace_with_gap(world, world.live()[0], 4.0)
        assert world.disagreement(with_record=False) > 0.3
        assert world.disagreement(with_record=True) == 0.0

    @pytest.mark.parametrize("record_first", [False, True])
    def test_the_order_of_record_entries_and_pace_does_not_matter(self, record_first):
        selector = make_selector(4)
        recorded = {f"server-{number}": f"10.9.9.{number}:80" for number in range(4)}
        if record_first:
            selector.adopt_places(SERVICE, recorded)
        selector.record_pace(SERVICE)
        if not record_first:
            selector._ranking(ServerCriteria(SERVICE, "1", None, None))
            selector.adopt_places(SERVICE, recorded)
            assert not selector.rankings
        assert selector.places.books[SERVICE].record() == recorded

    def test_an_entry_that_comes_after_the_record_gets_its_place(self, book):
        book.adopt({"server-9": "10.9.9.9:80"})
        book.put(make_server(9))
        assert book.place_id("server-9") == "10.9.9.9:80"

    def test_two_servers_exchange_their_places(self, book):
        assert book.adopt({"server-1": "10.0.0.2:80", "server-2": "10.0.0.1:80"})
        assert book.place_id("server-1") == "10.0.0.2:80"
        assert book.place_id("server-2") == "10.0.0.1:80"
        assert len(book.places) == 8

    def test_a_server_that_is_newer_than_the_record_keeps_its_place(self, book):
        # The record was written before server-1 crashed and was replaced; it returns now.
        book.remove("server-1")
        book.put(make_server(40, data_center="dc-1"))
        book.put(make_server(1))
        book.adopt({"server-1": "10.0.0.1:80"})
        assert book.place_id("server-40") == "10.0.0.1:80"
        assert "server-1" in book.spares

    def test_a_server_keeps_its_place_if_a_newer_one_holds_the_recorded_one(self, book):
        book.put(make_server(1, draining=True))
        book.put(make_server(40, data_center="dc-1"))
        assert not book.adopt({"server-5": "10.0.0.1:80"})
        assert book.place_id("server-5") == "10.0.0.5:80"

    def test_a_draining_server_does_not_take_its_place_back(self, book):
        book.put(make_server(1, draining=True))
        book.put(make_server(40, data_center="dc-1"))
        assert not book.adopt({"server-1": "10.0.0.1:80"})
        assert book.place_id("server-40") == "10.0.0.1:80"

    def test_a_record_with_one_place_for_two_servers_gives_it_to_one(self, book):
        book.adopt({"server-1": "10.9.9.9:80", "server-2": "10.9.9.9:80"})
        assert book.place_id("server-1") == "10.9.9.9:80"
        book.settle(T0)
        book.settle(T0 + SPARE_S)
        assert len({place.place_id for place in book.by_name.values()}) == 8

    @pytest.mark.parametrize("seed", range(10 * SEEDS))
    def test_hosts_that_saw_changes_in_another_order_agree_after_a_record(self, seed):
        rng = random.Random(seed)
        servers = [make_server(number) for number in range(16)]
        books = [PlaceBook(servers), PlaceBook(servers)]
        numbers = itertools.count(100)
        now = T0
        for _ in range(30):
            leaving = rng.sample(servers, rng.randrange(4))
            started = [
                make_server(next(numbers), data_center=server.data_center) for server in leaving
            ]
            changes = [*(("remove", server) for server in leaving)]
            changes += [("put", server) for server in started]
            for book in books:
                for kind, server in rng.sample(changes, len(changes)):
                    book.put(server) if kind == "put" else book.remove(server.name)
            now += rng.uniform(0.0, 4.0)
            servers = [server for server in servers if server not in leaving] + started
            books[0].settle(now)
            books[1].settle(now + 0.5)
        for book in books:
            book.settle(now + 1.0)
            book.settle(now + 1.0 + SPARE_S)
        books[1].adopt(books[0].record())
        assert books[1].record() == books[0].record()
        assert set(books[1].by_name) == {server.name for server in servers}

    def test_a_record_is_due_only_if_a_starting_host_would_find_other_places(self, book):
        assert not book.differs({})
        book.remove("server-1")
        book.put(make_server(1, name="same-address"))
        assert not book.differs({})
        book.remove("server-2")
        book.put(make_server(40, data_center="dc-2"))
        assert book.differs({})
        assert not book.differs(book.record())


class PlaceStore:
    """Keeps place records and delivers them to a host's state.

    :param failure: the result of the next calls.
    """

    def __init__(self, steering_state: SteeringState) -> None:
        self.steering_state = steering_state
        self.calls: list[tuple[str, int]] = []
        self.failure: Failure | None = None

    async def record_places(self, record: PlaceRecord) -> Failure | None:
        self.calls.append(("record", record.sequence))
        if self.failure is None:
            self.steering_state._put(f"places.{record.sequence}", record)
        return self.failure

    async def remove_places(self, record: PlaceRecord) -> Failure | None:
        self.calls.append(("remove", record.sequence))
        name = f"places.{record.sequence}"
        self.steering_state._remove(
            StoredObject(kind=Kind.HOST, name=name, version=record.sequence, value=None)
        )
        return None


class TestCoordinator:
    """Records cost store calls, so there must be few, and none without pace."""

    @pytest.fixture
    def coordinator(self, monkeypatch) -> FleetCoordinator:
        hosts = Hosts(3)
        fleet = hosts.fleets[0]
        steering_state = SteeringState("h", None, Bounds(), clock=lambda: T0)
        for number in range(8):
            steering_state.selector.put(make_server(number), T0)
        monkeypatch.setattr(FleetCoordinator, "_is_coordinator", lambda *_: True)
        monkeypatch.setattr(Fleet, "lost_hosts", lambda *_: [])
        return FleetCoordinator(steering_state, fleet, PlaceStore(steering_state))

    def replace(self, coordinator: FleetCoordinator, old: int, new: int) -> None:
        selector = coordinator.steering_state.selector
        selector.remove(f"server-{old}")
        selector.put(make_server(new, data_center=f"dc-{old % 4}"), T0)

    async def test_nothing_is_recorded_without_pace_or_replacements(self, coordinator):
        self.replace(coordinator, 1, 40)
        await coordinator.step(T0)
        coordinator.steering_state.selector.record_pace(SERVICE)
        await coordinator.step(T0 + 60.0)
        assert coordinator.store.calls == []

    async def test_changes_are_recorded_together_and_the_former_record_is_removed(
        self, coordinator
    ):
        coordinator.steering_state.selector.record_pace(SERVICE)
        self.replace(coordinator, 1, 40)
        await coordinator.step(T0)
        self.replace(coordinator, 2, 41)
        self.replace(coordinator, 3, 42)
        await coordinator.step(T0 + 1.0)
        assert coordinator.store.calls == [("record", 1)]
        await coordinator.step(T0 + PLACES_INTERVAL_S)
        await coordinator.step(T0 + 2.0 * PLACES_INTERVAL_S)
        await coordinator.step(T0 + 3.0 * PLACES_INTERVAL_S)
        assert coordinator.store.calls == [("record", 1), ("record", 2), ("remove", 1)]
        record = coordinator.steering_state.newest_place_record(SERVICE)
        assert record.places["server-42"] == "10.0.0.3:80"

    async def test_a_failed_record_is_tried_again_after_the_interval(self, coordinator):
        coordinator.steering_state.selector.record_pace(SERVICE)
        self.replace(coordinator, 1, 40)
        coordinator.store.failure = Failure(ResultCode.STORE_UNAVAILABLE, "no answer")
        for tick in range(4):
            await coordinator.step(T0 + 0.25 * tick)
        assert coordinator.store.calls == [("record", 1)]
        await coordinator.step(T0 + PLACES_INTERVAL_S)
        assert coordinator.store.calls == [("record", 1), ("record", 1)]

    async def test_an_object_with_the_next_sequence_does_not_block_records(self, coordinator):
        coordinator.steering_state.selector.record_pace(SERVICE)
        self.replace(coordinator, 1, 40)
        coordinator.store.failure = Failure(ResultCode.VERSION_CONFLICT, "it exists")
        await coordinator.step(T0)
        coordinator.store.failure = None
        await coordinator.step(T0 + PLACES_INTERVAL_S)
        self.replace(coordinator, 2, 41)
        await coordinator.step(T0 + 2.0 * PLACES_INTERVAL_S)
        assert [sequence for _, sequence in coordinator.store.calls][:3] == [1, 2, 3]

    async def test_an_older_record_that_arrives_late_is_not_used(self, coordinator):
        state = coordinator.steering_state
        state.selector.record_pace(SERVICE)
        for sequence, place_id in ((2, "10.9.9.2:80"), (1, "10.9.9.1:80")):
            record = PlaceRecord(service=SERVICE, sequence=sequence, places={"server-1": place_id})
            state._put(f"places.{sequence}", record)
        assert state.selector.places.books[SERVICE].place_id("server-1") == "10.9.9.2:80"


class TestStoredRecords:
    """A record is an object of the store, which others may write to as well."""

    RECORD = PlaceRecord(service=SERVICE, sequence=3, places={"a": "10.0.0.1:80 b"})

    def decode(self, name: str, value: bytes) -> object:
        stored = StoredObject(kind=Kind.HOST, name=name, version=1, value=value)
        return PlatformDecoder({}).decode(stored)

    def test_it_survives_encoding_and_decoding(self):
        value = encode_place_record(self.RECORD)
        assert self.decode("places.catalogue.3", value) == self.RECORD

    @pytest.mark.parametrize(
        "changes",
        [
            {"sequence": 0},
            {"sequence": 2**60},
            {"service": "other"},
            {"places": {"a": ""}},
            {"places": {"a\n": "10.0.0.1:80"}},
        ],
    )
    def test_an_odd_record_cannot_be_decoded(self, changes):
        record = msgspec.structs.replace(self.RECORD, **changes)
        name = f"places.catalogue.{record.sequence}"
        assert isinstance(self.decode(name, encode_place_record(record)), Failure)

    async def test_only_the_first_of_two_records_of_one_sequence_is_stored(self):
        async with running_store() as (_, client):
            assert await client.record_places(self.RECORD) is None
            failure = await client.record_places(self.RECORD)
            assert failure.code is ResultCode.VERSION_CONFLICT
            listing = await client.list(Kind.HOST)
            (stored,) = listing.objects
            assert PlatformDecoder({}).decode(stored) == self.RECORD
            assert await client.remove_places(self.RECORD) is None
            assert await client.remove_places(self.RECORD) is None
            assert (await client.list(Kind.HOST)).objects == []

    async def test_a_host_that_starts_reads_the_places_that_the_coordinator_wrote(
        self, monkeypatch
    ):
        monkeypatch.setattr(FleetCoordinator, "_is_coordinator", lambda *_: True)
        monkeypatch.setattr(Fleet, "lost_hosts", lambda *_: [])
        states = [SteeringState(name, PlatformDecoder({}), Bounds()) for name in ("a", "b")]
        first, second = (state.selector for state in states)
        for number in range(8):
            first.put(make_server(number), T0)
        first.record_pace(SERVICE)
        async with running_store() as (_, client):
            coordinator = FleetCoordinator(states[0], Hosts(3).fleets[0], client)
            for old, new in ((1, 41), (2, 42)):
                first.remove(f"server-{old}")
                first.put(make_server(new, data_center=f"dc-{old}"), T0)
                for tick in range(2):
                    await coordinator.step(T0 + PLACES_INTERVAL_S * (10 * old + tick))
                    for state in states:
                        await self.follow(client, state)
            assert [len(state.place_records) for state in states] == [1, 1]
        for state in first.states.values():
            second.put(state.server, T0)
        second.record_pace(SERVICE)
        assert second.places.books[SERVICE].record() == first.places.books[SERVICE].record()
        assert second.places.books[SERVICE].place_id("server-42") == "10.0.0.2:80"

    async def follow(self, client: PlatformStore, state: SteeringState) -> None:
        listing = await client.list(Kind.HOST)
        names = {stored.name for stored in listing.objects}
        for name in set(state.place_records) - names:
            state.apply_object(
                StoredObject(kind=Kind.HOST, name=name, version=listing.revision, value=None), "s"
            )
        for stored in listing.objects:
            state.apply_object(stored, "s")
        assert not state.unreadable
        assert not state.entries
