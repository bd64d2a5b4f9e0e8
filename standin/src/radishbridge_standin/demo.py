"""A run of the whole system on this machine: ``make demo``."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
import typing as t

import aiohttp

from radishbridge_standin.processes import Fleet, Place, wait_for_status

SECRET = "demo-secret-of-school-17"
BACKENDS = [("cat-1", "ob-a"), ("cat-2", "ob-b"), ("cat-3", "sw-a")]
PLACES = [
    Place("host-1", "oberbayern", "ob-a"),
    Place("host-2", "oberbayern", "ob-b"),
    Place("host-3", "schwaben", "sw-a"),
]
REQUESTS_PER_HOST = 20


def records(addresses: dict[str, str]) -> list[dict[str, t.Any]]:
    """Return the records of the demo."""
    backends = [
        {
            "name": name,
            "address": addresses[name],
            "region": "schwaben" if data_center.startswith("sw") else "oberbayern",
            "data_center": data_center,
        }
        for name, data_center in BACKENDS
    ]
    digest = hashlib.sha256(SECRET.encode()).hexdigest()
    return [
        {"kind": "workspace", "name": "school-17", "spec": {"title": "School 17"}},
        {
            "kind": "rate",
            "name": "school-17",
            "spec": {"requests_per_second": 500, "burst": 500},
        },
        {
            "kind": "key",
            "name": "school-17-a",
            "spec": {"workspace": "school-17", "digest": digest},
        },
        {
            "kind": "service",
            "name": "catalogue",
            "spec": {
                "path_prefix": "/catalogue/",
                "backends": backends,
                "routes": [{"prefix": "/public", "open": True}],
            },
        },
    ]


async def run(directory: pathlib.Path) -> None:
    """Start everything, send requests, print what was served where."""
    with Fleet(directory) as fleet:
        async with aiohttp.ClientSession() as session:
            await start(fleet, session)
            for host in fleet.hosts:
                await _send(session, host.name, host.address)


async def start(fleet: Fleet, session: aiohttp.ClientSession, **settings: t.Any) -> None:
    """Start store, backend servers and hosts, and apply the records with the client.

    :param settings: replace those of each host's file.
    """
    fleet.start_store()
    addresses = {name: fleet.start_backend(name) for name, _ in BACKENDS}
    await wait_for_status(session, f"{fleet.store_url}/v1/hosts", 200)
    for address in addresses.values():
        await wait_for_status(session, f"http://{address}/", 200)
    for place in PLACES:
        fleet.start_host(place, **settings)
    await fleet.announce_hosts(session)
    await fleet.wait_ready(session)
    path = fleet.directory / "records.jsonc"
    path.write_text(json.dumps(records(addresses)))
    command = [sys.executable, "-m", "radishbridge.client", "--store", fleet.store_url]
    await asyncio.to_thread(subprocess.run, [*command, "apply", str(path)], check=True)


async def _send(session: aiohttp.ClientSession, host: str, address: str) -> None:
    served: collections.Counter[str] = collections.Counter()
    headers = {"Authorization": f"Bearer {SECRET}"}
    for number in range(REQUESTS_PER_HOST):
        url = f"http://{address}/catalogue/devices/{number}"
        async with session.get(url, headers=headers) as answer:
            served[(await answer.json())["backend"] if answer.ok else str(answer.status)] += 1
    print(f"{host}: " + ", ".join(f"{name} answered {n}" for name, n in sorted(served.items())))


def main() -> None:
    """Run the demo in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(run(pathlib.Path(directory)))
    print("All processes have ended.")


if __name__ == "__main__":
    main()
