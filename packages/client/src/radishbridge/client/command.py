"""The command line of ``radishbridge``."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import typing as t

import aiohttp
import cappa

from radishbridge.client.apply import wait_in_force, write_manifest
from radishbridge.client.manifest import load_manifests
from radishbridge.records import Failure
from radishbridge.store import HostList, HttpStore

STORE_TIMEOUT_S = 5.0
EXIT_FAILED = 1
EXIT_USAGE = 2


@dataclasses.dataclass(slots=True)
class Apply:
    """Write records from a file and wait until every live host has them in force."""

    file: pathlib.Path
    timeout: t.Annotated[float, cappa.Arg(long=True, help="Longest wait in seconds.")] = 10.0


@dataclasses.dataclass(slots=True)
class Client:
    """Operate a fleet of radishbridge hosts."""

    command: cappa.Subcommands[Apply]
    store: t.Annotated[str, cappa.Arg(long=True, help="URL of the object API.")]


def main() -> None:
    """Run ``radishbridge`` with the process's arguments."""
    client = cappa.parse(Client)
    asyncio.run(_apply(client.store, client.command))


async def _apply(url: str, apply: Apply) -> None:
    manifests = load_manifests(apply.file)
    if isinstance(manifests, Failure):
        raise cappa.Exit(_message(manifests), code=EXIT_USAGE)
    async with aiohttp.ClientSession() as session:
        store = HttpStore(session, url, STORE_TIMEOUT_S)
        listed = await store.hosts()
        if isinstance(listed, Failure):
            raise cappa.Exit(_message(listed), code=EXIT_FAILED)
        for manifest in manifests:
            stored = await write_manifest(store, manifest)
            if isinstance(stored, Failure):
                raise cappa.Exit(_message(stored), code=EXIT_FAILED)
            missing = await wait_in_force(session, _live(listed), stored, apply.timeout)
            where = f"not in force on {', '.join(missing)}" if missing else "in force"
            print(f"{stored.kind}/{stored.name}: version {stored.version} {where}")
            if missing:
                raise cappa.Exit(code=EXIT_FAILED)


def _live(listed: HostList) -> list[t.Any]:
    return [host for host in listed.hosts if not host.leaving]


def _message(failure: Failure) -> str:
    return f"error {int(failure.code)}: {failure.reason}"
