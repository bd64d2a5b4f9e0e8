"""Writes records by conditional update and waits until they are in force."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import msgspec

from radishbridge.client.manifest import Manifest
from radishbridge.records import Failure, InForce, ResultCode, StoredValue
from radishbridge.store import HostEntry, ObjectStore, StoredObject

POLL_PAUSE_S = 0.1


async def write_manifest(store: ObjectStore, manifest: Manifest) -> StoredObject | Failure:
    """Write one record over the version that is there now."""
    held = await store.get(manifest.kind, manifest.name)
    if isinstance(held, Failure) and held.code is not ResultCode.NOT_FOUND:
        return held
    version = 0 if isinstance(held, Failure) else held.version
    value = msgspec.json.encode(StoredValue(schema=manifest.schema, spec=manifest.spec))
    return await store.put(manifest.kind, manifest.name, value, version)


async def wait_in_force(
    session: aiohttp.ClientSession,
    hosts: list[HostEntry],
    stored: StoredObject,
    timeout_s: float,
) -> list[str]:
    """Wait until hosts have a version in force.

    :return: the names of the hosts that do not have it after ``timeout_s`` seconds.
    """
    waits = (_wait_for_host(session, host, stored, timeout_s) for host in hosts)
    reached = await asyncio.gather(*waits)
    return [host.name for host, ok in zip(hosts, reached, strict=True) if not ok]


async def _wait_for_host(
    session: aiohttp.ClientSession, host: HostEntry, stored: StoredObject, timeout_s: float
) -> bool:
    url = f"http://{host.admin_address}/v1/in-force/{stored.kind}/{stored.name}"
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            async with session.get(url, timeout=aiohttp.ClientTimeout(total=timeout_s)) as answer:
                report = msgspec.json.decode(await answer.read(), type=InForce)
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError):
            report = InForce(host=host.name, revision=0, version=0)
        if report.version >= stored.version:
            return True
        await asyncio.sleep(POLL_PAUSE_S)
    return False
