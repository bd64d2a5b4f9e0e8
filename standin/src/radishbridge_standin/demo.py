"""A run of the whole system on this machine: ``make demo``."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
import typing as t

import aiohttp
import cappa

from radishbridge.records import key_digest
from radishbridge_standin.processes import Fleet, HostLocation, wait_for_status

SECRET = "demo-secret-of-school-17"
KEY = "school-17-a"
BACKENDS = [("cat-1", "ob-a"), ("cat-2", "ob-b"), ("cat-3", "sw-a")]
HOST_LOCATIONS = [
    HostLocation("host-1", "oberbayern", "ob-a"),
    HostLocation("host-2", "oberbayern", "ob-b"),
    HostLocation("host-3", "schwaben", "sw-a"),
]
REQUESTS_PER_HOST = 20
RECORDS_FILE = "records.jsonc"
OPERATORS_COMMANDS = [
    ("explain", "/catalogue/devices/1", "--workspace", "school-17"),
    ("key", "withdraw", KEY),
]


@dataclasses.dataclass(slots=True)
class Demo:
    """Run a small fleet on 127.0.0.1 and show what it does."""

    keep: t.Annotated[bool, cappa.Arg(long=True, help="Keep the fleet until Ctrl-C.")] = False


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
    digest = key_digest(SECRET)
    return [
        {"kind": "workspace", "name": "school-17", "spec": {"title": "School 17"}},
        {
            "kind": "rate",
            "name": "school-17",
            "spec": {"requests_per_second": 500, "burst": 500},
        },
        {
            "kind": "key",
            "name": KEY,
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
    """Start everything, send requests and show the operators' commands."""
    with Fleet(directory) as fleet:
        async with aiohttp.ClientSession() as session:
            print("A store, 3 backend servers and 3 hosts on 127.0.0.1.", flush=True)
            print(await start(fleet, session))
            print(f"{REQUESTS_PER_HOST} requests to each host:")
            await _send_to_all(fleet, session)
            for command in OPERATORS_COMMANDS:
                print(await run_client(fleet, *command))
            print("The same requests with the withdrawn key:")
            await _send_to_all(fleet, session)
            print(await run_client(fleet, "status"))


async def keep(directory: pathlib.Path, stop: asyncio.Event) -> None:
    """Start everything and keep it running until ``stop`` is set."""
    with Fleet(directory) as fleet:
        async with aiohttp.ClientSession() as session:
            await start(fleet, session)
        print("The fleet runs. In another terminal:")
        print(f"  export RADISHBRIDGE_STORE={fleet.store_url}")
        print(f"  cd {directory}    # records, settings and logs")
        print("Ctrl-C ends it.", flush=True)
        await stop.wait()


async def start(fleet: Fleet, session: aiohttp.ClientSession, **settings: t.Any) -> str:
    """Start store, backend servers and hosts, and apply the records with the client.

    :param settings: replace those of each host's file.
    :return: what the client printed.
    """
    fleet.start_store()
    addresses = {name: fleet.start_backend(name) for name, _ in BACKENDS}
    await wait_for_status(session, f"{fleet.store_url}/v1/hosts", 200)
    for address in addresses.values():
        await wait_for_status(session, f"http://{address}/", 200)
    for location in HOST_LOCATIONS:
        fleet.start_host(location, **settings)
    await fleet.announce_hosts(session)
    await fleet.wait_ready(session)
    path = fleet.directory / RECORDS_FILE
    path.write_text(json.dumps(records(addresses), indent=2))
    return await run_client(fleet, "apply", RECORDS_FILE)


async def run_client(fleet: Fleet, *arguments: str) -> str:
    """Run one command of the client.

    :return: the command as an operator types it, with what it printed.
    """
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "radishbridge.client", *arguments),
        cwd=fleet.directory,
        env=os.environ | {"RADISHBRIDGE_STORE": fleet.store_url},
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(f"radishbridge {' '.join(arguments)}: exit code {process.returncode}")
    return f"\n$ radishbridge {' '.join(arguments)}\n{output.decode()}"


async def _send_to_all(fleet: Fleet, session: aiohttp.ClientSession) -> None:
    for host in fleet.hosts:
        print(f"{host.name}: {await _send(session, host.address)}")


async def _send(session: aiohttp.ClientSession, address: str) -> str:
    outcomes: collections.Counter[str] = collections.Counter()
    headers = {"Authorization": f"Bearer {SECRET}"}
    for number in range(REQUESTS_PER_HOST):
        url = f"http://{address}/catalogue/devices/{number}"
        async with session.get(url, headers=headers) as answer:
            body = await answer.json(content_type=None)
        outcomes[_outcome(answer.ok, body)] += 1
    return ", ".join(f"{what} {count}" for what, count in sorted(outcomes.items()))


def _outcome(ok: bool, body: dict[str, t.Any]) -> str:
    if ok:
        return f"{body['backend']} answered"
    return f"error {body['code']}, {body['execution']}:"


def main() -> None:
    """Run the demo in a temporary directory."""
    demo = cappa.parse(Demo)
    with tempfile.TemporaryDirectory(prefix="radishbridge-") as directory:
        asyncio.run(keep_until_stopped(directory) if demo.keep else run(pathlib.Path(directory)))
    print("All processes have ended.")


async def keep_until_stopped(directory: str) -> None:
    """Keep the fleet running until the process gets SIGINT or SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await keep(pathlib.Path(directory), stop)


if __name__ == "__main__":
    main()
