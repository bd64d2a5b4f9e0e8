"""Runs a stand-in: ``python -m radishbridge_standin objects PORT`` or ``backend NAME PORT``."""

from __future__ import annotations

import asyncio
import dataclasses

import cappa
from aiohttp import web

from radishbridge_standin.backend import BackendServer
from radishbridge_standin.objects import ObjectApi

LOOPBACK = "127.0.0.1"


@dataclasses.dataclass(slots=True)
class Objects:
    """Run the object API."""

    port: int


@dataclasses.dataclass(slots=True)
class Backend:
    """Run a backend server."""

    name: str
    port: int


@dataclasses.dataclass(slots=True)
class Standin:
    """Run a stand-in for an external system."""

    command: cappa.Subcommands[Objects | Backend]


async def _run(command: Objects | Backend) -> None:
    runner: web.AppRunner | web.ServerRunner
    if isinstance(command, Objects):
        runner = web.AppRunner(ObjectApi().application())
    else:
        runner = web.ServerRunner(BackendServer(command.name).server())
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, command.port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(cappa.parse(Standin).command))
