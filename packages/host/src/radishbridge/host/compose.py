"""Wires the parts of one host together."""

from __future__ import annotations

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web

from radishbridge.host.admin import AdminApi
from radishbridge.host.forward import Forwarder
from radishbridge.host.keys import KeyRing
from radishbridge.host.metrics import Metrics
from radishbridge.records import Settings
from radishbridge.routing import LocalRouter
from radishbridge.store import HttpStore, Replica, ReplicaFeed


async def run_host(settings: Settings, stop: asyncio.Event) -> None:
    """Run a host until ``stop`` is set."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), auto_decompress=False)
        )
        store = HttpStore(session, settings.store.url, settings.store.timeout_s)
        replica = Replica()
        keys = KeyRing()
        router = LocalRouter(settings.region, settings.data_center, random.Random())
        replica.listeners += [keys.update, router.update]
        metrics = Metrics()
        forwarder = Forwarder(session, replica, keys, router, metrics)
        feed = asyncio.create_task(ReplicaFeed(store, replica).run())
        stack.callback(feed.cancel)
        admin = web.AppRunner(AdminApi(settings.host, replica, metrics).application())
        await _listen(stack, admin, settings.admin_listen)
        await _listen(stack, web.ServerRunner(web.Server(forwarder.handle)), settings.listen)
        await stop.wait()


async def _listen(
    stack: contextlib.AsyncExitStack,
    runner: web.AppRunner | web.ServerRunner,
    address: str,
) -> None:
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
