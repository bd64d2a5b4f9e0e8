from __future__ import annotations

import asyncio
import contextlib
import random
import typing as t

import pytest

from radishbridge.peers import Heartbeat, HostAddress, ReplicaDigest, ZmqMesh, rank
from radishbridge.records import Failure, Key, PeerSettings, ResultCode, encode_record
from radishbridge.store import Evidence, Proof, Relay, RelaySettings, Replica
from radishbridge_standin.fake import FakeStore
from radishbridge_standin.processes import free_port
from radishbridge_standin.replicas import Location, ReplicaFleet, ReplicaHost
from radishbridge_standin.table import ObjectTable, Write

REGIONS = {"ob": ["ob-a", "ob-b"], "sw": ["sw-a", "sw-b"]}


def locations(per_data_center: int) -> list[Location]:
    return [
        Location(name=f"{center}-{number}", region=region, data_center=center)
        for region, centers in REGIONS.items()
        for center in centers
        for number in range(per_data_center)
    ]


@contextlib.asynccontextmanager
async def running_fleet(per_data_center: int, seed: int = 1) -> t.AsyncIterator[ReplicaFleet]:
    fleet = ReplicaFleet(locations(per_data_center), "ob", seed)
    fleet.announce_hosts()
    fleet.write("key", "a", key())
    try:
        await fleet.run(3)
        yield fleet
    finally:
        await fleet.close()


def key(withdrawn: bool = False) -> Key:
    return Key(workspace="school-17", digest="0" * 64, withdrawn=withdrawn)


def is_withdrawn(host: ReplicaHost, name: str = "a") -> bool:
    body = host.replica.body("key", name)
    return isinstance(body, Key) and body.withdrawn


def digest_roots(fleet: ReplicaFleet) -> set[int]:
    return {host.replica.digest.root() for host in fleet.hosts.values()}


def proof_or_code(host: ReplicaHost) -> Proof | ResultCode:
    evidence = host.freshness.evidence(host.replica.clock())
    return evidence.proof if isinstance(evidence, Evidence) else evidence.code


def watching_hosts(fleet: ReplicaFleet, center: str = "") -> list[str]:
    return [
        name
        for name, host in fleet.hosts.items()
        if host.relay.is_watching() and name.startswith(center)
    ]


class TestRelay:
    async def test_two_hosts_of_each_data_centre_watch(self) -> None:
        async with running_fleet(5) as fleet:
            assert len(watching_hosts(fleet)) == fleet.table.open_watches == 8
            assert {
                len(watching_hosts(fleet, center)) for center in ("ob-a", "ob-b", "sw-a", "sw-b")
            } == {2}

    async def test_first_copy_is_not_broadcast(self) -> None:
        """Relays that broadcast their first listing would send every object to all hosts again."""
        fleet = ReplicaFleet(locations(2)[:2], "ob")
        for number in range(500):
            fleet.write("key", f"k{number}", key())
        await fleet.run(5)
        assert len(digest_roots(fleet)) == 1
        assert sum(fleet.network.messages_sent.values()) < 100
        await fleet.close()

    async def test_change_reaches_every_host_and_all_are_fresh(self) -> None:
        async with running_fleet(5) as fleet:
            fleet.write("key", "a", key(withdrawn=True))
            await fleet.run(2)
            assert all(is_withdrawn(host) and host.is_fresh() for host in fleet.hosts.values())

    @pytest.mark.parametrize("seed", range(3))
    async def test_digests_repair_lost_duplicated_and_reordered_messages(self, seed: int) -> None:
        async with running_fleet(4, seed) as fleet:
            fleet.network.faults.loss = 0.3
            fleet.network.faults.duplication = 0.3
            fleet.network.faults.reorder = True
            for number in range(40):
                fleet.write("key", f"k{number}", key())
                fleet.write("key", "a", key(withdrawn=number % 2 == 1))
                await fleet.run(0.25)
            for _ in range(60):
                if len(digest_roots(fleet)) > 1:
                    await fleet.run(1)
            assert len(digest_roots(fleet)) == 1
            assert all(is_withdrawn(host) for host in fleet.hosts.values())

    async def test_next_host_takes_over_from_silent_relays(self) -> None:
        async with running_fleet(4) as fleet:
            silent = watching_hosts(fleet, "sw-a")
            fleet.network.hung_hosts |= set(silent)
            await fleet.run(6)
            others = [name for name in watching_hosts(fleet, "sw-a") if name not in silent]
            assert len(others) == 1
            fleet.write("key", "a", key(withdrawn=True))
            await fleet.run(3)
            assert all(is_withdrawn(host) for host in fleet.hosts.values())
            fleet.network.hung_hosts.clear()
            await fleet.run(4)
            assert watching_hosts(fleet, "sw-a") == silent

    async def test_outage_of_the_store_makes_no_other_host_watch(self) -> None:
        async with running_fleet(5) as fleet:
            before = watching_hosts(fleet)
            fleet.table.faults.down = True
            await fleet.run(20)
            assert watching_hosts(fleet) == before

    async def test_expired_watches_do_not_make_every_relay_list_all_objects(self) -> None:
        """After a long outage the watches of all relays expire at once."""
        async with running_fleet(3) as fleet:
            fleet.table.faults.down = True
            await fleet.run(5)
            fleet.write("key", "a", key(withdrawn=True))
            fleet.table.compact()
            listed = fleet.table.calls["list"]
            fleet.table.faults.down = False
            await fleet.run(10)
            assert 1 <= fleet.table.calls["list"] - listed < len(watching_hosts(fleet))
            assert all(is_withdrawn(host) and host.is_fresh() for host in fleet.hosts.values())

    async def test_crashed_relay_is_replaced(self) -> None:
        async with running_fleet(3) as fleet:
            fleet.stop(watching_hosts(fleet, "ob-a")[0])
            await fleet.run(1)
            assert len(watching_hosts(fleet, "ob-a")) == 2

    async def test_relays_cut_off_from_the_store_get_changes_from_other_data_centres(self) -> None:
        async with running_fleet(3) as fleet:
            for name in fleet.hosts:
                fleet.hosts[name].store.disconnected = name.startswith("sw")
            fleet.table.cut_watches()
            await fleet.run(4)
            fleet.write("key", "a", key(withdrawn=True))
            await fleet.run(4)
            assert all(is_withdrawn(host) and host.is_fresh() for host in fleet.hosts.values())


class TestStartingHost:
    async def test_gets_a_full_copy_from_peers_while_the_store_is_down(self) -> None:
        async with running_fleet(3) as fleet:
            for number in range(600):
                fleet.write("key", f"k{number}", key())
            await fleet.run(3)
            fleet.table.faults.down = True
            host = fleet.start(fleet.hosts["sw-a-0"].location)
            assert proof_or_code(host) is ResultCode.HOST_STARTING
            await fleet.run(8)
            assert host.replica.complete
            assert len(host.replica.records) == 601
            assert proof_or_code(host) is Proof.STORE_OUTAGE

    @pytest.mark.parametrize("number", range(5))
    async def test_is_fresh_as_soon_as_its_copy_is_complete(self, number: int) -> None:
        async with running_fleet(5) as fleet:
            host = fleet.start(fleet.hosts[f"sw-a-{number}"].location)
            while not host.replica.complete:
                await fleet.run(0.25)
            assert host.is_fresh()

    async def test_gets_the_highest_version_that_peers_have(self) -> None:
        async with running_fleet(3) as fleet:
            fleet.table.faults.down = True
            stored = fleet.write("key", "a", key(withdrawn=True))
            fleet.hosts["ob-b-1"].replica.apply(stored)
            host = fleet.start(fleet.hosts["sw-a-0"].location)
            await fleet.run(20)
            assert is_withdrawn(host)

    async def test_replacement_of_every_host_in_turn_reverts_nothing(self) -> None:
        async with running_fleet(2) as fleet:
            fleet.write("key", "a", key(withdrawn=True))
            await fleet.run(2)
            fleet.table.faults.down = True
            for location in locations(2):
                fleet.start(location)
                await fleet.run(6)
            assert all(is_withdrawn(host) for host in fleet.hosts.values())
            assert all(host.replica.complete for host in fleet.hosts.values())

    async def test_single_host_does_not_serve_while_the_store_is_down(self) -> None:
        fleet = ReplicaFleet(locations(1)[:1], "ob")
        fleet.table.faults.down = True
        await fleet.run(10)
        assert proof_or_code(fleet.hosts["ob-a-0"]) is ResultCode.HOST_STARTING
        fleet.table.faults.down = False
        await fleet.run(5)
        assert proof_or_code(fleet.hosts["ob-a-0"]) is Proof.STORE_READ
        await fleet.close()


class TestFreshness:
    async def test_hosts_stay_fresh_during_an_outage_of_the_store(self) -> None:
        async with running_fleet(3) as fleet:
            fleet.table.faults.down = True
            await fleet.run(4)
            for _ in range(20):
                await fleet.run(1)
                assert {proof_or_code(host) for host in fleet.hosts.values()} == {
                    Proof.STORE_OUTAGE
                }

    async def test_slow_store_still_proves_freshness(self) -> None:
        async with running_fleet(3) as fleet:
            fleet.table.faults.delay_s = 2.5
            await fleet.run(6)
            for _ in range(20):
                await fleet.run(1)
                assert {proof_or_code(host) for host in fleet.hosts.values()} == {Proof.STORE_READ}

    async def test_store_too_slow_to_prove_freshness_is_not_treated_as_an_outage(self) -> None:
        """Watches still deliver changes, so a key may be withdrawn and no outage may be assumed."""
        async with running_fleet(3) as fleet:
            fleet.table.faults.delay_s = 20.0
            await fleet.run(8)
            for _ in range(20):
                await fleet.run(1)
                assert {proof_or_code(host) for host in fleet.hosts.values()} == {
                    ResultCode.KEYS_STALE
                }
            fleet.write("key", "a", key(withdrawn=True))
            await fleet.run(3)
            assert all(is_withdrawn(host) for host in fleet.hosts.values())

    async def test_store_that_hangs_is_treated_as_an_outage(self) -> None:
        async with running_fleet(3) as fleet:
            fleet.table.faults.delay_s = 1000.0
            fleet.table.cut_watches()
            await fleet.run(12)
            for _ in range(20):
                await fleet.run(1)
                assert {proof_or_code(host) for host in fleet.hosts.values()} == {
                    Proof.STORE_OUTAGE
                }

    async def test_region_cut_off_refuses_after_the_bound(self) -> None:
        async with running_fleet(3) as fleet:
            cut_off = [name for name in fleet.hosts if name.startswith("sw")]
            fleet.network.partition(cut_off)
            for name in cut_off:
                fleet.hosts[name].store.disconnected = True
            fleet.table.cut_watches()
            fleet.write("key", "a", key(withdrawn=True))
            await fleet.run(8)
            codes = {proof_or_code(fleet.hosts[name]) for name in cut_off}
            assert codes == {ResultCode.KEYS_STALE}
            assert all(host.is_fresh() for name, host in fleet.hosts.items() if name not in cut_off)
            fleet.network.heal()
            await fleet.run(6)
            assert all(is_withdrawn(host) and host.is_fresh() for host in fleet.hosts.values())

    async def test_one_host_that_reaches_the_store_disproves_an_outage(self) -> None:
        """While one host reaches the store, a key may be withdrawn there."""
        async with running_fleet(2) as fleet:
            for name, host in fleet.hosts.items():
                host.store.disconnected = name != "ob-a-0"
            fleet.table.cut_watches()
            for _ in range(15):
                await fleet.run(1)
                assert Proof.STORE_OUTAGE not in {
                    proof_or_code(host) for host in fleet.hosts.values()
                }
                fleet.write("key", "a", key(withdrawn=True))

    async def test_region_missing_from_the_host_list_proves_freshness(self) -> None:
        async with running_fleet(2) as fleet:
            for name in [name for name in fleet.hosts if name.startswith("ob")]:
                fleet.stop(name)
            fleet.table.faults.down = True
            await fleet.run(8)
            assert {proof_or_code(host) for host in fleet.hosts.values()} == {ResultCode.KEYS_STALE}
            fleet.table.faults.hosts_up = True
            fleet.announce_hosts()
            await fleet.run(8)
            proofs = {proof_or_code(host) for host in fleet.hosts.values()}
            # A host that accepts this proof from another host reports it as a store outage.
            assert Proof.REGION_GONE in proofs <= {Proof.REGION_GONE, Proof.STORE_OUTAGE}

    async def test_late_answer_is_dated_from_its_request(self) -> None:
        """An answer delayed by a pause or a full queue must not look newer than it is."""
        async with running_fleet(3) as fleet:
            host = next(host for host in fleet.hosts.values() if not host.relay.is_watching())
            fresh_at = host.replica.fresh_at
            host.relay.proof_exchange.request_proof(
                watching_hosts(fleet, host.location.data_center)[0]
            )
            fleet.clock.now += 60.0
            fleet.network.deliver()
            assert host.replica.fresh_at <= fresh_at + 2.0
            assert isinstance(host.freshness.evidence(fleet.clock.now), Failure)


class TestDigestExchange:
    async def test_ignores_a_digest_of_another_size(self) -> None:
        async with running_fleet(1) as fleet:
            sent = fleet.network.messages_sent.copy()
            mesh = fleet.network.meshes["ob-a-0"]
            mesh.send("ob-b-0", ReplicaDigest(buckets=[1, 2, 3]))
            fleet.network.deliver()
            assert fleet.network.messages_sent.get("ob-b-0") == sent.get("ob-b-0")

    @pytest.mark.parametrize("seed", range(3))
    async def test_makes_two_copies_equal_whatever_each_misses(self, seed: int) -> None:
        randomness = random.Random(seed)
        fleet = ReplicaFleet(locations(1)[:2], "ob", seed)
        first, second = fleet.hosts.values()
        for number in range(1000):
            stored = fleet.write("key", f"k{number % 700}", key())
            for host in (first, second):
                if randomness.random() < 0.7:
                    host.replica.apply(stored)
        for _ in range(10):
            first.relay.digest_exchange.send_digest(second.location.name)
            fleet.network.deliver()
        assert first.replica.digest.buckets == second.replica.digest.buckets
        assert len(first.replica.objects) == len(second.replica.objects) >= 600


class TestRelayOverSockets:
    async def test_host_that_does_not_watch_is_kept_fresh(self) -> None:
        table = ObjectTable()
        for number in range(300):
            value = encode_record("key", key())
            table.write(Write(kind="key", name=f"k{number}", value=value, expected_version=0))
        addresses = [
            HostAddress(
                name=f"host-{number}",
                region="ob",
                data_center="ob-a",
                address=f"127.0.0.1:{free_port()}",
            )
            for number in range(3)
        ]
        relays = []
        tasks = []
        for entry in addresses:
            mesh = ZmqMesh(entry.name, entry.address, PeerSettings(), lambda: Heartbeat(revision=0))
            settings = RelaySettings(
                host=entry.name, region="ob", data_center="ob-a", store_region="ob"
            )
            store = FakeStore(table)
            relay = Relay(settings, store, Replica(), mesh, random.Random(entry.name))
            relays.append(relay)
            tasks += [asyncio.create_task(mesh.run()), asyncio.create_task(relay.run())]
            mesh.update_directory(addresses)
        last = rank("ob-a", [entry.name for entry in addresses])[-1]
        listener = next(relay for relay in relays if relay.settings.host == last)
        try:
            async with asyncio.timeout(30):
                while sum(relay.is_watching() for relay in relays) != 2:
                    await asyncio.sleep(0.05)
                while not listener.freshness.is_fresh(listener.clock()):
                    await asyncio.sleep(0.05)
                table.write(Write(kind="key", name="last", value=value, expected_version=0))
                while listener.replica.version("key", "last") == 0:
                    await asyncio.sleep(0.05)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert not listener.is_watching()
        assert len(listener.replica.records) == 301
        assert listener.replica.digest.root() == relays[0].replica.digest.root()
