"""Memory and processor time of a host's configuration by number of workspaces.

Run as a module, it is the measured process.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import time

import msgspec

from bench._processes import resident_bytes
from radishbridge.records import Key, Rate, RecordBody, Workspace, encode_record
from radishbridge.store import Replica, StoredObject

KEYS_PER_WORKSPACE = 3
RECORDS_PER_WORKSPACE = 2 + KEYS_PER_WORKSPACE


class StateCost(msgspec.Struct, kw_only=True):
    """Cost of the records of some workspaces.

    :param growth_bytes: growth of the resident memory.
    :param apply_us: processor time for applying one record, in microseconds.
    """

    workspaces: int
    growth_bytes: int
    apply_us: float


async def measure(workspaces: int) -> StateCost:
    """Measure in a separate process, so that memory is that of the records alone."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench._state_probe", str(workspaces), stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return msgspec.json.decode(output, type=StateCost)


def _make_objects(workspaces: int) -> list[StoredObject]:
    bodies: list[tuple[str, str, RecordBody]] = []
    for number in range(workspaces):
        name = f"workspace-{number}"
        bodies.append(("workspace", name, Workspace(title=f"School {number}")))
        bodies.append(("rate", name, Rate(requests_per_second=50.0, burst=100.0)))
        bodies += [
            ("key", f"{name}-{key}", Key(workspace=name, digest=f"{number:060x}{key:04x}"))
            for key in range(KEYS_PER_WORKSPACE)
        ]
    return [
        StoredObject(
            kind=kind, name=name, version=version, value=msgspec.Raw(encode_record(kind, body))
        )
        for version, (kind, name, body) in enumerate(bodies, start=1)
    ]


def _measure(workspaces: int) -> StateCost:
    # The records are decoded from one text, as from a response of the store, so that the input
    # isn't counted as growth.
    encoded = msgspec.json.encode(_make_objects(workspaces))
    gc.collect()
    replica = Replica()
    objects = msgspec.json.decode(encoded, type=list[StoredObject])
    before = resident_bytes(os.getpid())
    started = time.process_time()
    for stored in objects:
        replica.apply(stored)
    cpu_s = time.process_time() - started
    growth = resident_bytes(os.getpid()) - before
    return StateCost(
        workspaces=workspaces, growth_bytes=growth, apply_us=1e6 * cpu_s / len(objects)
    )


if __name__ == "__main__":
    sys.stdout.write(msgspec.json.encode(_measure(int(sys.argv[1]))).decode())
