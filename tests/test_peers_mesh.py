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


def fleet_keys() -> PeerSettings:
    public, secret = zmq.curve_keypair()
    return PeerSettings(public_key=public.decode(), secret_key=secret.decode())


def new_mesh(entry: HostAddress, keys: PeerSettings) -> ZmqMesh:
    return ZmqMesh(
        entry.name, entry.address, keys, lambda: Heartbeat(revision=7), HEARTBEAT_INTERVALS
    )


def entries(count: int) -> list[HostAddress]:
    return [
        HostAddress(name=f"host-{n}", region="r", data_center="dc", address=f"127.0.0.1:{port}")
        for n, port in enumerate(free_ports(count))
    ]


async def until(condition: t.Callable[[], bool]) -> None:
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
    """A mesh that knows host-1 but has no connection."""
    mesh = new_mesh(entries(1)[0], PeerSettings())
    mesh.view.peers["host-1"] = Peer("host-1", "r", "dc")
    yield mesh
    mesh.context.destroy(linger=0)


class TestConnectionsOnDemand:
    """Load pattern: a large fleet in which each host talks to few others."""

    def mesh(self, entry: HostAddress) -> ZmqMesh:
        return ZmqMesh(
            entry.name,
            entry.address,
            PeerSettings(),
            lambda: Heartbeat(revision=7),
            HEARTBEAT_INTERVALS,
            persistent_connections=False,
        )

    async def test_they_open_with_the_first_message_and_outlive_changes_of_the_list(self):
        hosts = entries(3)
        one, other = (self.mesh(entry) for entry in hosts[:2])
        heard: list[int] = []
        other.subscribe(TokenRequest, lambda peer, message: heard.append(1))
        async with running(one, other):
            for mesh in (one, other):
                mesh.update_directory(hosts[:2])
            assert not one.links
            request = TokenRequest(quantity="w", request_id=1, amount=1.0, deadline=9.0)
            one.send(hosts[1].name, request)
            await until(lambda: len(heard) == 1)
            link = one.links[hosts[1].name]
            for mesh in (one, other):
                mesh.update_directory(hosts)
            assert one.links == {hosts[1].name: link}
            one.send(hosts[1].name, request)
            await until(lambda: len(heard) == 2)
            one.update_directory([hosts[0], hosts[2]])
            assert not one.links

    async def test_messages_are_taken_after_the_list_has_closed_and_reopened_a_connection(self):
        # Load pattern: a host elsewhere stops as planned, and the list changes for all.
        hosts = [
            msgspec.structs.replace(entry, data_center=f"dc-{n}")
            for n, entry in enumerate(entries(3))
        ]
        one, other = (new_mesh(entry, PeerSettings()) for entry in hosts[:2])
        heard: list[int] = []
        other.subscribe(TokenRequest, lambda peer, message: heard.append(1))
        request = TokenRequest(quantity="w", request_id=1, amount=1.0, deadline=9.0)
        async with running(one, other):
            for listed in (hosts, [*hosts[:2]], hosts):
                before = len(heard)
                for mesh in (one, other):
                    mesh.update_directory(listed)
                one.send(hosts[1].name, request)
                await until(lambda before=before: len(heard) > before)
                one._disconnect(hosts[1].name)

    async def test_one_that_is_not_used_ends_and_opens_again(self, monkeypatch):
        monkeypatch.setattr("radishbridge.peers.mesh.LINK_IDLE_S", 0.2)
        hosts = entries(2)
        one, other = (self.mesh(entry) for entry in hosts)
        heard: list[int] = []
        other.subscribe(TokenRequest, lambda peer, message: heard.append(1))
        request = TokenRequest(quantity="w", request_id=1, amount=1.0, deadline=9.0)
        async with running(one, other):
            for mesh in (one, other):
                mesh.update_directory(hosts)
            for count in (1, 2):
                one.send(hosts[1].name, request)
                await until(lambda count=count: len(heard) == count)
                await until(lambda: not one.links)


class TestZmqMesh:
    @pytest.mark.parametrize("keys", [PeerSettings(), fleet_keys()], ids=["plain", "curve"])
    async def test_hosts_hear_each_other(self, keys: PeerSettings) -> None:
        hosts = entries(3)
        meshes = [new_mesh(entry, keys) for entry in hosts]
        async with running(*meshes):
            for mesh in meshes:
                mesh.update_directory(hosts)
            await until(lambda: all(len(mesh.live()) == 2 for mesh in meshes))
            await until(lambda: all(peer.revision == 7 for peer in meshes[0].live()))

    async def test_a_message_reaches_its_handler(self) -> None:
        hosts = entries(2)
        first, second = (new_mesh(entry, PeerSettings()) for entry in hosts)
        heard: list[tuple[str, PeerMessage]] = []
        second.subscribe(TokenRequest, lambda peer, message: heard.append((peer.name, message)))
        request = TokenRequest(quantity="rate/w", request_id=1, amount=2.0, deadline=3.0)
        async with running(first, second):
            first.update_directory(hosts)
            second.update_directory(hosts)
            await until(lambda: bool(first.live()))
            assert first.send("host-1", request)
            await until(lambda: bool(heard))
        assert heard == [("host-0", request)]

    async def test_a_host_without_the_fleet_key_is_not_heard(self) -> None:
        hosts = entries(2)
        member, stranger = new_mesh(hosts[0], fleet_keys()), new_mesh(hosts[1], fleet_keys())
        async with running(member, stranger):
            for mesh in (member, stranger):
                mesh.update_directory(hosts)
            await until(lambda: stranger.counters.unreachable > 1)
            assert member.counters.received == 0
            assert not member.live()

    async def test_a_message_to_a_dead_host_does_not_block_the_others(self) -> None:
        hosts = entries(3)
        first, second = (new_mesh(entry, PeerSettings()) for entry in hosts[:2])
        async with running(first, second):
            first.update_directory(hosts)
            second.update_directory(hosts)
            for number in range(2000):
                first.send("host-2", Heartbeat(revision=number))
            await until(lambda: [peer.name for peer in first.live()] == ["host-1"])
            assert first.counters.queue_full > 0

    async def test_a_restarted_host_is_heard_as_a_new_incarnation(self) -> None:
        hosts = entries(2)
        first = new_mesh(hosts[0], PeerSettings())
        async with running(first):
            first.update_directory(hosts)
            for _ in range(2):
                second = new_mesh(hosts[1], PeerSettings())
                async with running(second):
                    second.update_directory(hosts)
                    peer = first.view.peers["host-1"]
                    await until(lambda p=peer, m=second: p.incarnation == m.incarnation)

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

    def test_takes_a_lower_incarnation_after_silence(self, receiver: ZmqMesh) -> None:
        receiver.receive(frame(1, incarnation=6))
        receiver.view.peers["host-1"].heard_at = float("-inf")
        receiver.receive(frame(1, incarnation=5))
        assert receiver.view.peers["host-1"].incarnation == 5

    def test_drops_a_message_of_an_unknown_host(self, receiver: ZmqMesh) -> None:
        receiver.receive(frame(1, sender="host-9"))
        assert receiver.counters.unknown_sender == 1

    def test_tells_of_an_unknown_host(self, receiver: ZmqMesh) -> None:
        strangers: list[str] = []
        receiver.on_unknown_sender = strangers.append
        for sender in ("host-9", "host-1"):
            receiver.receive(frame(1, sender=sender))
        assert strangers == ["host-9"]

    def test_a_failing_handler_does_not_stop_the_others(self, receiver: ZmqMesh) -> None:
        def fail(peer: Peer, message: PeerMessage) -> None:
            raise ValueError("handler")

        heard: list[PeerMessage] = []
        receiver.subscribe(Heartbeat, fail)
        receiver.subscribe(Heartbeat, lambda peer, message: heard.append(message))
        receiver.receive(frame(1))
        assert receiver.counters.failed_handlers == 1
        assert heard == [Heartbeat(revision=1)]

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
