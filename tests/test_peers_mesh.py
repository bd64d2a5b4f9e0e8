from __future__ import annotations

import asyncio
import contextlib
import typing as t

import msgspec
import pytest
import zmq
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.peers import (
    Envelope,
    Heartbeat,
    HeartbeatIntervals,
    HostAddress,
    Peer,
    PeerMessage,
    TokenRequest,
    ZmqMesh,
)
from radishbridge.records import PeerSettings
from radishbridge_standin.processes import free_ports

HEARTBEAT_INTERVALS = HeartbeatIntervals(local_s=0.05, remote_s=0.1)


def new_keys() -> PeerSettings:
    public, secret = zmq.curve_keypair()
    return PeerSettings(public_key=public.decode(), secret_key=secret.decode())


def new_mesh(entry: HostAddress, keys: PeerSettings) -> ZmqMesh:
    return ZmqMesh(
        entry.name, entry.address, keys, lambda: Heartbeat(revision=7), HEARTBEAT_INTERVALS
    )


def make_entries(count: int) -> list[HostAddress]:
    return [
        HostAddress(name=f"host-{n}", region="r", data_center="dc", address=f"127.0.0.1:{port}")
        for n, port in enumerate(free_ports(count))
    ]


async def wait_until(condition: t.Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running(*meshes: ZmqMesh) -> t.AsyncIterator[None]:
    tasks = [asyncio.create_task(mesh.run()) for mesh in meshes]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def frame(sequence: int, sender: str = "host-1", incarnation: int = 5) -> bytes:
    body = msgspec.Raw(msgspec.msgpack.encode(Heartbeat(revision=sequence)))
    envelope = Envelope(sender=sender, incarnation=incarnation, sequence=sequence, body=body)
    return msgspec.msgpack.encode(envelope)


@pytest.fixture
def receiver() -> t.Iterator[ZmqMesh]:
    """Return a mesh that knows host-1 but has no connection."""
    mesh = new_mesh(make_entries(1)[0], PeerSettings())
    mesh.view.peers["host-1"] = Peer("host-1", "r", "dc")
    yield mesh
    mesh.context.destroy(linger=0)


class TestConnectionsOnDemand:
    """Connections of a large fleet in which each host sends messages to few others."""

    def mesh(self, entry: HostAddress) -> ZmqMesh:
        return ZmqMesh(
            entry.name,
            entry.address,
            PeerSettings(),
            lambda: Heartbeat(revision=7),
            HEARTBEAT_INTERVALS,
            persistent_connections=False,
        )

    async def test_open_with_the_first_message_and_survive_directory_updates(self):
        hosts = make_entries(3)
        first, second = (self.mesh(entry) for entry in hosts[:2])
        received: list[int] = []
        second.subscribe(TokenRequest, lambda peer, message: received.append(1))
        async with running(first, second):
            for mesh in (first, second):
                mesh.update_directory(hosts[:2])
            assert not first.connections
            request = TokenRequest(quantity="w", request_id=1, amount=1.0, deadline=9.0)
            first.send(hosts[1].name, request)
            await wait_until(lambda: len(received) == 1)
            connection = first.connections[hosts[1].name]
            for mesh in (first, second):
                mesh.update_directory(hosts)
            assert first.connections == {hosts[1].name: connection}
            first.send(hosts[1].name, request)
            await wait_until(lambda: len(received) == 2)
            first.update_directory([hosts[0], hosts[2]])
            assert not first.connections

    async def test_messages_are_accepted_after_a_directory_update_reopened_a_connection(self):
        # A planned stop of a host in another data centre changes the list of hosts for all.
        # Sequence numbers that started anew would make the receiver drop messages as duplicates.
        hosts = [
            msgspec.structs.replace(entry, data_center=f"dc-{n}")
            for n, entry in enumerate(make_entries(3))
        ]
        first, second = (new_mesh(entry, PeerSettings()) for entry in hosts[:2])
        received: list[int] = []
        second.subscribe(TokenRequest, lambda peer, message: received.append(1))
        request = TokenRequest(quantity="w", request_id=1, amount=1.0, deadline=9.0)
        async with running(first, second):
            for listed in (hosts, [*hosts[:2]], hosts):
                before = len(received)
                for mesh in (first, second):
                    mesh.update_directory(listed)
                first.send(hosts[1].name, request)
                await wait_until(lambda before=before: len(received) > before)
                first._disconnect(hosts[1].name)

    async def test_idle_connection_closes_and_reopens(self, monkeypatch):
        monkeypatch.setattr("radishbridge.peers.mesh.CONNECTION_IDLE_TIMEOUT_S", 0.2)
        hosts = make_entries(2)
        first, second = (self.mesh(entry) for entry in hosts)
        received: list[int] = []
        second.subscribe(TokenRequest, lambda peer, message: received.append(1))
        request = TokenRequest(quantity="w", request_id=1, amount=1.0, deadline=9.0)
        async with running(first, second):
            for mesh in (first, second):
                mesh.update_directory(hosts)
            for count in (1, 2):
                first.send(hosts[1].name, request)
                await wait_until(lambda count=count: len(received) == count)
                await wait_until(lambda: not first.connections)


class TestZmqMesh:
    @pytest.mark.parametrize("keys", [PeerSettings(), new_keys()], ids=["plain", "curve"])
    async def test_hosts_receive_heartbeats_of_each_other(self, keys: PeerSettings) -> None:
        hosts = make_entries(3)
        meshes = [new_mesh(entry, keys) for entry in hosts]
        async with running(*meshes):
            for mesh in meshes:
                mesh.update_directory(hosts)
            await wait_until(lambda: all(len(mesh.live()) == 2 for mesh in meshes))
            await wait_until(lambda: all(peer.revision == 7 for peer in meshes[0].live()))

    async def test_a_message_reaches_its_handler(self) -> None:
        hosts = make_entries(2)
        first, second = (new_mesh(entry, PeerSettings()) for entry in hosts)
        received: list[tuple[str, PeerMessage]] = []
        second.subscribe(TokenRequest, lambda peer, message: received.append((peer.name, message)))
        request = TokenRequest(quantity="rate/w", request_id=1, amount=2.0, deadline=3.0)
        async with running(first, second):
            first.update_directory(hosts)
            second.update_directory(hosts)
            await wait_until(lambda: bool(first.live()))
            assert first.send("host-1", request)
            await wait_until(lambda: bool(received))
        assert received == [("host-0", request)]

    async def test_rejects_a_host_without_the_fleet_key(self) -> None:
        hosts = make_entries(2)
        member, outsider = new_mesh(hosts[0], new_keys()), new_mesh(hosts[1], new_keys())
        async with running(member, outsider):
            for mesh in (member, outsider):
                mesh.update_directory(hosts)
            await wait_until(lambda: outsider.counters.unreachable > 1)
            assert member.counters.received == 0
            assert not member.live()

    async def test_a_message_to_a_dead_host_does_not_block_the_others(self) -> None:
        hosts = make_entries(3)
        first, second = (new_mesh(entry, PeerSettings()) for entry in hosts[:2])
        async with running(first, second):
            first.update_directory(hosts)
            second.update_directory(hosts)
            for number in range(2000):
                first.send("host-2", Heartbeat(revision=number))
            await wait_until(lambda: [peer.name for peer in first.live()] == ["host-1"])
            assert first.counters.queue_full > 0

    async def test_a_restarted_host_has_a_new_incarnation(self) -> None:
        hosts = make_entries(2)
        first = new_mesh(hosts[0], PeerSettings())
        async with running(first):
            first.update_directory(hosts)
            for _ in range(2):
                second = new_mesh(hosts[1], PeerSettings())
                async with running(second):
                    second.update_directory(hosts)
                    peer = first.view.peers["host-1"]
                    await wait_until(lambda p=peer, m=second: p.incarnation == m.incarnation)

    def test_refuses_to_send_to_an_unknown_host(self, receiver: ZmqMesh) -> None:
        assert not receiver.send("nobody", Heartbeat(revision=1))


class TestReceive:
    def test_drops_a_repeated_message(self, receiver: ZmqMesh) -> None:
        for sequence in (1, 2, 2, 1):
            receiver.receive(frame(sequence))
        assert receiver.counters.duplicate == 2

    def test_drops_messages_of_an_earlier_incarnation(self, receiver: ZmqMesh) -> None:
        receiver.receive(frame(1, incarnation=6))
        receiver.receive(frame(9, incarnation=5))
        assert receiver.view.peers["host-1"].revision == 1

    def test_accepts_a_lower_incarnation_after_the_liveness_timeout(
        self, receiver: ZmqMesh
    ) -> None:
        receiver.receive(frame(1, incarnation=6))
        receiver.view.peers["host-1"].last_message_at = float("-inf")
        receiver.receive(frame(1, incarnation=5))
        assert receiver.view.peers["host-1"].incarnation == 5

    def test_drops_a_message_of_an_unknown_sender(self, receiver: ZmqMesh) -> None:
        receiver.receive(frame(1, sender="host-9"))
        assert receiver.counters.unknown_sender == 1

    def test_reports_an_unknown_sender(self, receiver: ZmqMesh) -> None:
        unknown_senders: list[str] = []
        receiver.on_unknown_sender = unknown_senders.append
        for sender in ("host-9", "host-1"):
            receiver.receive(frame(1, sender=sender))
        assert unknown_senders == ["host-9"]

    def test_a_failing_handler_does_not_stop_the_others(self, receiver: ZmqMesh) -> None:
        def fail(peer: Peer, message: PeerMessage) -> None:
            raise ValueError("handler")

        received: list[PeerMessage] = []
        receiver.subscribe(Heartbeat, fail)
        receiver.subscribe(Heartbeat, lambda peer, message: received.append(message))
        receiver.receive(frame(1))
        assert receiver.counters.failed_handlers == 1
        assert received == [Heartbeat(revision=1)]

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        data=st.binary(max_size=200)
        | st.builds(lambda n, cut: frame(n)[:cut], st.integers(1, 9), st.integers(0, 40))
    )
    def test_survives_any_bytes(self, data: bytes) -> None:
        mesh = new_mesh(
            HostAddress(name="h", region="r", data_center="d", address=""), PeerSettings()
        )
        mesh.receive(data)
        counters = mesh.counters
        assert counters.malformed + counters.unknown_sender == 1
        mesh.context.destroy(linger=0)
