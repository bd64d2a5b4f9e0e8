"""Starts one fleet for all scenarios and stops it at the end."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile

import aiohttp
from behave.runner import Context

from radishbridge_standin import demo
from radishbridge_standin.processes import Fleet


async def _start(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as session:
        await demo.start(fleet, session)


def before_all(context: Context) -> None:
    context.directory = tempfile.TemporaryDirectory()
    context.fleet = Fleet(pathlib.Path(context.directory.name))
    try:
        asyncio.run(_start(context.fleet))
    except BaseException:
        print(context.fleet.describe())
        after_all(context)
        raise


def after_all(context: Context) -> None:
    context.fleet.__exit__()
    context.directory.cleanup()
