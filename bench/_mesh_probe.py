"""Cost of the mesh for one host by number of peers.

Run as a module, it is one process of the measurement: the measured host or some of its peers.
"""

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
MEASURED_HOST = "measured"
WARM_UP_TIME_S = 4.0


class MeshCost(msgspec.Struct, kw_only=True):
    """Cost of the mesh for the measured host.

    :param cpu_share: processor cores used.
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
    """Settings of one process of the probe.

    :param hosts: all hosts of the measurement.
    :param own: names of the hosts that this process runs.
    :param seconds: length of the measurement.
    :param heartbeat_s: interval between heartbeats in seconds.
    """

    hosts: list[HostAddress]
    own: list[str]
    settings: PeerSettings
    seconds: float
    heartbeat_s: float


def make_plan(peers: int, seconds: float, heartbeat_s: float) -> MeshPlan:
    """Create the plan of the process with the measured host."""
    public, secret = zmq.curve_keypair()
    names = [MEASURED_HOST, *(f"peer-{number}" for number in range(peers))]
    hosts = [
        HostAddress(name=name, region="r", data_center="d", address=f"127.0.0.1:{port}")
        for name, port in zip(names, free_ports(len(names)), strict=True)
    ]
    settings = PeerSettings(public_key=public.decode(), secret_key=secret.decode())
    return MeshPlan(
        hosts=hosts,
        own=[MEASURED_HOST],
        settings=settings,
        seconds=seconds,
        heartbeat_s=heartbeat_s,
    )


async def measure(peers: int, seconds: float, heartbeat_s: float) -> MeshCost:
    """Run the measured host and its peers as processes, and return the cost."""
    plan = make_plan(peers, seconds, heartbeat_s)
    names = [host.name for host in plan.hosts[1:]]
    batches = [
        names[start : start + PEERS_PER_PROCESS]
        for start in range(0, len(names), PEERS_PER_PROCESS)
    ]
    plans = [plan, *(msgspec.structs.replace(plan, own=batch) for batch in batches)]
    processes = [await _start_process(process_plan) for process_plan in plans]
    output = await processes[0].stdout.read()  # type: ignore[union-attr]
    await asyncio.gather(*(process.wait() for process in processes))
    return msgspec.json.decode(output, type=MeshCost)


async def _start_process(plan: MeshPlan) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench._mesh_probe",
        msgspec.json.encode(plan).decode(),
        stdout=asyncio.subprocess.PIPE,
    )


def _visible_hosts(plan: MeshPlan, name: str) -> list[HostAddress]:
    # Peers connect only to the measured host, so that their own cost stays small.
    return [
        host for host in plan.hosts if name == MEASURED_HOST or host.name in (name, MEASURED_HOST)
    ]


async def _run_hosts(plan: MeshPlan) -> None:
    intervals = HeartbeatIntervals(local_s=plan.heartbeat_s, remote_s=plan.heartbeat_s)
    addresses = {host.name: host.address for host in plan.hosts}
    meshes = [
        ZmqMesh(name, addresses[name], plan.settings, lambda: Heartbeat(revision=1), intervals)
        for name in plan.own
    ]
    tasks = [asyncio.create_task(mesh.run()) for mesh in meshes]
    for mesh in meshes:
        mesh.update_directory(_visible_hosts(plan, mesh.host))
    await asyncio.sleep(WARM_UP_TIME_S)
    await _measure_host(plan, meshes[0])
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _measure_host(plan: MeshPlan, mesh: ZmqMesh) -> None:
    before = _read_totals(mesh)
    await asyncio.sleep(plan.seconds)
    per_second = [
        (after - earlier) / plan.seconds
        for after, earlier in zip(_read_totals(mesh), before, strict=True)
    ]
    if mesh.host != MEASURED_HOST:
        await asyncio.sleep(WARM_UP_TIME_S)
        return
    cost = MeshCost(
        peers=len(mesh.live()),
        cpu_share=per_second[0],
        messages_per_s=per_second[1],
        payload_bytes_per_s=per_second[2],
        wire_bytes_per_s=per_second[3],
        resident_bytes=resident_bytes(os.getpid()),
    )
    print(msgspec.json.encode(cost).decode())


def _read_totals(mesh: ZmqMesh) -> t.Sequence[float]:
    counters = mesh.counters
    return (
        cpu_seconds(os.getpid()),
        counters.sent + counters.received,
        counters.sent_bytes + counters.received_bytes,
        wire_bytes(),
    )


if __name__ == "__main__":
    asyncio.run(_run_hosts(msgspec.json.decode(sys.argv[1], type=MeshPlan)))
