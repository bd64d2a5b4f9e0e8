"""Cost of the mesh for one host, by number of peers; run as a module it is the measured host."""

from __future__ import annotations

import asyncio
import os
import sys
import typing as t

import msgspec
import zmq

from bench._processes import cpu_seconds, resident_bytes, wire_bytes
from radishbridge.peers import Heartbeat, HeartbeatIntervals, HostAddress, ZmqMesh
from radishbridge.records import PeerSettings
from radishbridge_standin.processes import free_ports

PEERS_PER_PROCESS = 20
MEASURED = "measured"
WARM_UP_S = 4.0


class MeshCost(msgspec.Struct, kw_only=True):
    """What the mesh cost the measured host, a second or in all.

    :param payload_bytes_per_s: bytes of frames sent and received, without headers.
    :param wire_bytes_per_s: the same with all headers and with acknowledgements.
    """

    peers: int
    cpu_share: float
    resident_bytes: int
    messages_per_s: float
    payload_bytes_per_s: float
    wire_bytes_per_s: float


class MeshPlan(msgspec.Struct, kw_only=True):
    """What one process of the probe runs.

    :param own: names of the hosts it runs.
    """

    hosts: list[HostAddress]
    own: list[str]
    settings: PeerSettings
    seconds: float
    heartbeat_s: float


def new_plan(peers: int, seconds: float, heartbeat_s: float) -> MeshPlan:
    """Plan a measured host with a number of peers."""
    public, secret = zmq.curve_keypair()
    names = [MEASURED, *(f"peer-{n}" for n in range(peers))]
    hosts = [
        HostAddress(name=name, region="r", data_center="d", address=f"127.0.0.1:{port}")
        for name, port in zip(names, free_ports(len(names)), strict=True)
    ]
    settings = PeerSettings(public_key=public.decode(), secret_key=secret.decode())
    return MeshPlan(
        hosts=hosts, own=[MEASURED], settings=settings, seconds=seconds, heartbeat_s=heartbeat_s
    )


async def measure(peers: int, seconds: float, heartbeat_s: float) -> MeshCost:
    """Run the measured host and its peers as processes."""
    plan = new_plan(peers, seconds, heartbeat_s)
    names = [host.name for host in plan.hosts[1:]]
    batches = [
        names[start : start + PEERS_PER_PROCESS]
        for start in range(0, len(names), PEERS_PER_PROCESS)
    ]
    plans = [plan, *(msgspec.structs.replace(plan, own=batch) for batch in batches)]
    processes = [await _start(one) for one in plans]
    output = await processes[0].stdout.read()  # type: ignore[union-attr]
    await asyncio.gather(*(process.wait() for process in processes))
    return msgspec.json.decode(output, type=MeshCost)


async def _start(plan: MeshPlan) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench._mesh_probe",
        msgspec.json.encode(plan).decode(),
        stdout=asyncio.subprocess.PIPE,
    )


def _visible(plan: MeshPlan, name: str) -> list[HostAddress]:
    # Each peer talks only to the measured host, so that the peers' own cost stays small.
    return [host for host in plan.hosts if name == MEASURED or host.name in (name, MEASURED)]


async def _run(plan: MeshPlan) -> None:
    intervals = HeartbeatIntervals(local_s=plan.heartbeat_s, remote_s=plan.heartbeat_s)
    addresses = {host.name: host.address for host in plan.hosts}
    meshes = [
        ZmqMesh(name, addresses[name], plan.settings, lambda: Heartbeat(revision=1), intervals)
        for name in plan.own
    ]
    tasks = [asyncio.create_task(mesh.run()) for mesh in meshes]
    for mesh in meshes:
        mesh.update_directory(_visible(plan, mesh.host))
    await asyncio.sleep(WARM_UP_S)
    await _report(plan, meshes[0])
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _report(plan: MeshPlan, mesh: ZmqMesh) -> None:
    before = _totals(mesh)
    await asyncio.sleep(plan.seconds)
    used = [(now - then) / plan.seconds for now, then in zip(_totals(mesh), before, strict=True)]
    if mesh.host != MEASURED:
        await asyncio.sleep(WARM_UP_S)
        return
    cost = MeshCost(
        peers=len(mesh.live()),
        cpu_share=used[0],
        messages_per_s=used[1],
        payload_bytes_per_s=used[2],
        wire_bytes_per_s=used[3],
        resident_bytes=resident_bytes(os.getpid()),
    )
    print(msgspec.json.encode(cost).decode())


def _totals(mesh: ZmqMesh) -> t.Sequence[float]:
    counters = mesh.counters
    return (
        cpu_seconds(os.getpid()),
        counters.sent + counters.received,
        counters.sent_bytes + counters.received_bytes,
        wire_bytes(),
    )


if __name__ == "__main__":
    asyncio.run(_run(msgspec.json.decode(sys.argv[1], type=MeshPlan)))
