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
async def fleet(per_data_center: int, seed: int = 1) -> t.AsyncIterator[ReplicaFleet]:
    one = ReplicaFleet(locations(per_data_center), "ob", seed)
    one.announce_hosts()
    one.write("key", "a", key())
    try:
        await one.run(3)
        yield one
    finally:
        await one.close()


def key(withdrawn: bool = False) -> Key:
    return Key(workspace="school-17", digest="0" * 64, withdrawn=withdrawn)


def withdrawn(host: ReplicaHost, name: str = "a") -> bool:
    body = host.replica.body("key", name)
    return isinstance(body, Key) and body.withdrawn


def roots(one: ReplicaFleet) -> set[int]:
    return {host.replica.digest.root() for host in one.hosts.values()}


def proof(host: ReplicaHost) -> Proof | ResultCode:
    evidence = host.freshness.evidence(host.replica.clock())
    return evidence.proof if isinstance(evidence, Evidence) else evidence.code


def watching(one: ReplicaFleet, center: str = "") -> list[str]:
    return [
        name
        for name, host in one.hosts.items()
        if host.relay.is_watching() and name.startswith(center)
    ]


class TestRelay:
    async def test_two_hosts_of_each_data_centre_watch(self) -> None:
        async with fleet(5) as one:
            assert len(watching(one)) == one.table.open_watches == 8
            assert {len(watching(one, center)) for center in ("ob-a", "ob-b", "sw-a", "sw-b")} == {
                2
            }

    async def test_first_copy_is_not_passed_on(self) -> None:
        one = ReplicaFleet(locations(2)[:2], "ob")
        for number in range(500):
            one.write("key", f"k{number}", key())
        await one.run(5)
        assert len(roots(one)) == 1
        assert sum(one.network.messages_sent.values()) < 100
        await one.close()

    async def test_change_reaches_every_host_fresh(self) -> None:
        async with fleet(5) as one:
            one.write("key", "a", key(withdrawn=True))
            await one.run(2)
            assert all(withdrawn(host) and host.is_fresh() for host in one.hosts.values())

    @pytest.mark.parametrize("seed", range(3))
    async def test_digests_repair_what_is_lost_doubled_and_reordered(self, seed: int) -> None:
        async with fleet(4, seed) as one:
            one.network.faults.loss = 0.3
            one.network.faults.duplication = 0.3
            one.network.faults.reorder = True
            for number in range(40):
                one.write("key", f"k{number}", key())
                one.write("key", "a", key(withdrawn=number % 2 == 1))
                await one.run(0.25)
            for _ in range(60):
                if len(roots(one)) > 1:
                    await one.run(1)
            assert len(roots(one)) == 1
            assert all(withdrawn(host) for host in one.hosts.values())

    async def test_next_host_takes_over_from_silent_relays(self) -> None:
        async with fleet(4) as one:
            silent = watching(one, "sw-a")
            one.network.hung_hosts |= set(silent)
            await one.run(6)
            others = [name for name in watching(one, "sw-a") if name not in silent]
            assert len(others) == 1
            one.write("key", "a", key(withdrawn=True))
            await one.run(3)
            assert all(withdrawn(host) for host in one.hosts.values())
            one.network.hung_hosts.clear()
            await one.run(4)
            assert watching(one, "sw-a") == silent

    async def test_outage_of_the_store_makes_no_other_host_watch(self) -> None:
        async with fleet(5) as one:
            before = watching(one)
            one.table.faults.down = True
            await one.run(20)
            assert watching(one) == before

    async def test_expired_watches_do_not_list_everything_from_every_relay(self) -> None:
        async with fleet(3) as one:
            one.table.faults.down = True
            await one.run(5)
            one.write("key", "a", key(withdrawn=True))
            one.table.compact()
            listed = one.table.calls["list"]
            one.table.faults.down = False
            await one.run(10)
            assert 1 <= one.table.calls["list"] - listed < len(watching(one))
            assert all(withdrawn(host) and host.is_fresh() for host in one.hosts.values())

    async def test_crashed_relay_is_replaced(self) -> None:
        async with fleet(3) as one:
            one.stop(watching(one, "ob-a")[0])
            await one.run(1)
            assert len(watching(one, "ob-a")) == 2

    async def test_relays_cut_off_from_the_store_learn_from_other_data_centres(self) -> None:
        async with fleet(3) as one:
            for name in one.hosts:
                one.hosts[name].store.disconnected = name.startswith("sw")
            one.table.cut_watches()
            await one.run(4)
            one.write("key", "a", key(withdrawn=True))
            await one.run(4)
            assert all(withdrawn(host) and host.is_fresh() for host in one.hosts.values())


class TestStartingHost:
    async def test_holds_a_full_copy_from_peers_while_the_store_is_down(self) -> None:
        async with fleet(3) as one:
            for number in range(600):
                one.write("key", f"k{number}", key())
            await one.run(3)
            one.table.faults.down = True
            host = one.start(one.hosts["sw-a-0"].location)
            assert proof(host) is ResultCode.HOST_STARTING
            await one.run(8)
            assert host.replica.complete
            assert len(host.replica.records) == 601
            assert proof(host) is Proof.STORE_OUTAGE

    @pytest.mark.parametrize("number", range(5))
    async def test_is_fresh_as_soon_as_its_copy_is_complete(self, number: int) -> None:
        async with fleet(5) as one:
            host = one.start(one.hosts[f"sw-a-{number}"].location)
            while not host.replica.complete:
                await one.run(0.25)
            assert host.is_fresh()

    async def test_takes_the_highest_version_of_what_peers_have(self) -> None:
        async with fleet(3) as one:
            one.table.faults.down = True
            stored = one.write("key", "a", key(withdrawn=True))
            one.hosts["ob-b-1"].replica.apply(stored)
            host = one.start(one.hosts["sw-a-0"].location)
            await one.run(20)
            assert withdrawn(host)

    async def test_replacement_of_every_host_in_turn_reverts_nothing(self) -> None:
        async with fleet(2) as one:
            one.write("key", "a", key(withdrawn=True))
            await one.run(2)
            one.table.faults.down = True
            for location in locations(2):
                one.start(location)
                await one.run(6)
            assert all(withdrawn(host) for host in one.hosts.values())
            assert all(host.replica.complete for host in one.hosts.values())

    async def test_alone_with_a_store_that_is_down_never_serves(self) -> None:
        one = ReplicaFleet(locations(1)[:1], "ob")
        one.table.faults.down = True
        await one.run(10)
        assert proof(one.hosts["ob-a-0"]) is ResultCode.HOST_STARTING
        one.table.faults.down = False
        await one.run(5)
        assert proof(one.hosts["ob-a-0"]) is Proof.STORE_READ
        await one.close()


class TestFreshness:
    async def test_outage_of_the_store_is_no_reason_to_refuse(self) -> None:
        async with fleet(3) as one:
            one.table.faults.down = True
            await one.run(4)
            for _ in range(20):
                await one.run(1)
                assert {proof(host) for host in one.hosts.values()} == {Proof.STORE_OUTAGE}

    async def test_slow_store_still_proves_freshness(self) -> None:
        async with fleet(3) as one:
            one.table.faults.delay_s = 2.5
            await one.run(6)
            for _ in range(20):
                await one.run(1)
                assert {proof(host) for host in one.hosts.values()} == {Proof.STORE_READ}

    async def test_store_too_slow_to_prove_anything_is_not_taken_for_an_outage(self) -> None:
        async with fleet(3) as one:
            one.table.faults.delay_s = 20.0
            await one.run(8)
            for _ in range(20):
                await one.run(1)
                assert {proof(host) for host in one.hosts.values()} == {ResultCode.KEYS_STALE}
            one.write("key", "a", key(withdrawn=True))
            await one.run(3)
            assert all(withdrawn(host) for host in one.hosts.values())

    async def test_store_that_hangs_is_taken_for_an_outage(self) -> None:
        async with fleet(3) as one:
            one.table.faults.delay_s = 1000.0
            one.table.cut_watches()
            await one.run(12)
            for _ in range(20):
                await one.run(1)
                assert {proof(host) for host in one.hosts.values()} == {Proof.STORE_OUTAGE}

    async def test_region_cut_off_refuses_after_the_bound(self) -> None:
        async with fleet(3) as one:
            cut_off = [name for name in one.hosts if name.startswith("sw")]
            one.network.partition(cut_off)
            for name in cut_off:
                one.hosts[name].store.disconnected = True
            one.table.cut_watches()
            one.write("key", "a", key(withdrawn=True))
            await one.run(8)
            codes = {proof(one.hosts[name]) for name in cut_off}
            assert codes == {ResultCode.KEYS_STALE}
            assert all(host.is_fresh() for name, host in one.hosts.items() if name not in cut_off)
            one.network.heal()
            await one.run(6)
            assert all(withdrawn(host) and host.is_fresh() for host in one.hosts.values())

    async def test_one_witness_that_reaches_the_store_stops_the_outage_evidence(self) -> None:
        async with fleet(2) as one:
            for name, host in one.hosts.items():
                host.store.disconnected = name != "ob-a-0"
            one.table.cut_watches()
            for _ in range(15):
                await one.run(1)
                assert Proof.STORE_OUTAGE not in {proof(host) for host in one.hosts.values()}
                one.write("key", "a", key(withdrawn=True))

    async def test_region_missing_from_the_hosts_list_is_evidence(self) -> None:
        async with fleet(2) as one:
            for name in [name for name in one.hosts if name.startswith("ob")]:
                one.stop(name)
            one.table.faults.down = True
            await one.run(8)
            assert {proof(host) for host in one.hosts.values()} == {ResultCode.KEYS_STALE}
            one.table.faults.hosts_up = True
            one.announce_hosts()
            await one.run(8)
            proofs = {proof(host) for host in one.hosts.values()}
            # A host that takes the evidence over from another sees it as one of an outage.
            assert Proof.REGION_GONE in proofs <= {Proof.REGION_GONE, Proof.STORE_OUTAGE}

    async def test_answer_that_comes_late_is_dated_from_its_request(self) -> None:
        async with fleet(3) as one:
            host = next(host for host in one.hosts.values() if not host.relay.is_watching())
            fresh_at = host.replica.fresh_at
            host.relay.proofs.ask(watching(one, host.location.data_center)[0])
            one.clock.now += 60.0
            one.network.deliver()
            assert host.replica.fresh_at <= fresh_at + 2.0
            assert isinstance(host.freshness.evidence(one.clock.now), Failure)


class TestDigestExchange:
    async def test_ignores_a_digest_of_another_size(self) -> None:
        async with fleet(1) as one:
            sent = one.network.messages_sent.copy()
            mesh = one.network.meshes["ob-a-0"]
            mesh.send("ob-b-0", ReplicaDigest(buckets=[1, 2, 3]))
            one.network.deliver()
            assert one.network.messages_sent.get("ob-b-0") == sent.get("ob-b-0")

    @pytest.mark.parametrize("seed", range(3))
    async def test_makes_two_copies_equal_whatever_each_misses(self, seed: int) -> None:
        randomness = random.Random(seed)
        one = ReplicaFleet(locations(1)[:2], "ob", seed)
        first, second = one.hosts.values()
        for number in range(1000):
            stored = one.write("key", f"k{number % 700}", key())
            for host in (first, second):
                if randomness.random() < 0.7:
                    host.replica.apply(stored)
        for _ in range(10):
            first.relay.exchange.start(second.location.name)
            one.network.deliver()
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
        listener = next(one for one in relays if one.settings.host == last)
        try:
            async with asyncio.timeout(30):
                while sum(one.is_watching() for one in relays) != 2:
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
