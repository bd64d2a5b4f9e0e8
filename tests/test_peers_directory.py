from __future__ import annotations

import asyncio

import pytest

from radishbridge.peers import (
    Directory,
    DirectoryFeed,
    DirectoryUpdate,
    Heartbeat,
    HostAddress,
    ZmqMesh,
    rank,
)
from radishbridge.records import Failure, PeerSettings, ResultCode


def make_hosts(data_centers: int, hosts_each: int) -> list[HostAddress]:
    return [
        HostAddress(name=f"h{d}-{n}", region="r", data_center=f"dc{d}", address="127.0.0.1:1")
        for d in range(data_centers)
        for n in range(hosts_each)
    ]


class TestRank:
    def test_depends_on_the_key_and_not_on_the_order(self) -> None:
        names = [f"h{n}" for n in range(20)]
        assert rank("a", names) == rank("a", reversed(names))
        assert rank("a", names) != rank("b", names)

    def test_removing_a_name_keeps_the_order_of_the_rest(self) -> None:
        names = [f"h{n}" for n in range(20)]
        order = rank("a", names)
        assert rank("a", set(names) - {order[3]}) == order[:3] + order[4:]


class TestDirectory:
    @pytest.mark.parametrize("data_centers", [1, 5, 40])
    @pytest.mark.parametrize("hosts_each", [1, 3, 28])
    def test_number_of_persistent_peers_is_bounded(
        self, data_centers: int, hosts_each: int
    ) -> None:
        hosts = make_hosts(data_centers, hosts_each)
        sizes = []
        for entry in hosts[:: max(1, len(hosts) // 50)]:
            directory = Directory(entry.name)
            directory.update(hosts)
            sizes.append(len(directory.persistent_peers()))
        assert max(sizes) <= (hosts_each - 1) + (data_centers - 1)

    @pytest.mark.parametrize("shape", [(1, 2), (2, 2, 1), (1, 1, 1), (5, 1, 3, 2)])
    def test_connections_are_mutual(self, shape: tuple[int, ...]) -> None:
        hosts = [entry for d, n in enumerate(shape) for entry in make_hosts(d + 1, n)[-n:]]
        peers: dict[str, set[str]] = {}
        for entry in hosts:
            directory = Directory(entry.name)
            directory.update(hosts)
            peers[entry.name] = directory.persistent_peers()
        assert all(name in peers[other] for name, others in peers.items() for other in others)
        assert all(peers.values())

    def test_all_hosts_choose_the_same_relays(self) -> None:
        hosts = make_hosts(3, 5)
        chosen = set()
        for entry in hosts:
            directory = Directory(entry.name)
            directory.update(reversed(hosts))
            chosen.add(tuple(directory.relays("dc1")))
        assert len(chosen) == 1

    def test_a_dead_relay_is_replaced(self) -> None:
        directory = Directory("h0-0")
        directory.update(make_hosts(1, 5))
        first, second = directory.relays("dc0")
        assert directory.relays("dc0", {first})[0] == second
        assert len(directory.relays("dc0", {first})) == 2

    def test_leaving_hosts_do_not_relay(self) -> None:
        directory = Directory("h0-0")
        hosts = make_hosts(1, 3)
        departing = hosts[0]
        leaving = HostAddress(
            name=departing.name,
            region="r",
            data_center="dc0",
            address=departing.address,
            leaving=True,
        )
        directory.update([leaving, *hosts[1:]])
        assert set(directory.relays("dc0")) == {"h0-1", "h0-2"}


class TestDirectoryFeed:
    def mesh(self, host: str) -> ZmqMesh:
        return ZmqMesh(host, "127.0.0.1:0", PeerSettings(), lambda: Heartbeat(revision=0))

    async def test_reads_the_list_only_without_updates_from_a_relay(self) -> None:
        hosts = make_hosts(1, 5)
        directory = Directory("")
        directory.update(hosts)
        non_relay = max({entry.name for entry in hosts} - set(directory.relays("dc0")))
        mesh = self.mesh(non_relay)
        reads: list[int] = []

        async def read() -> list[HostAddress] | Failure:
            reads.append(1)
            return hosts

        now = [100.0]
        mesh.clock = lambda: now[0]
        feed = DirectoryFeed(mesh, read, read_interval_s=0.0, clock=lambda: now[0])
        mesh.update_directory(hosts)
        for peer in mesh.view.peers.values():
            peer.last_message_at = now[0]
        feed.on_update(next(iter(mesh.view.peers.values())), DirectoryUpdate(hosts=hosts))
        task = asyncio.create_task(feed.run())
        for _ in range(20):
            await asyncio.sleep(0)
        assert reads == []
        now[0] += 60.0
        while not reads:
            await asyncio.sleep(0)
        task.cancel()
        mesh.disconnect()
        mesh.context.destroy(linger=0)

    async def test_keeps_the_last_list_after_a_failed_read(self) -> None:
        mesh = self.mesh("h0-0")
        answers: list[list[HostAddress] | Failure] = [
            make_hosts(1, 3),
            Failure(ResultCode.STORE_UNAVAILABLE, "down"),
        ]

        async def read() -> list[HostAddress] | Failure:
            return answers.pop(0)

        feed = DirectoryFeed(mesh, read)
        await feed.refresh()
        await feed.refresh()
        assert set(mesh.directory.hosts) == {"h0-0", "h0-1", "h0-2"}
        mesh.disconnect()
        mesh.context.destroy(linger=0)
