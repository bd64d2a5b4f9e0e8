"""Wires the parts of one host together."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import logging
import random
import time

import aiohttp
from aiohttp import web

from radishbridge.claims import ClaimRegistry
from radishbridge.host.admin import AdminApi
from radishbridge.host.backends import BackendClient
from radishbridge.host.claims import ClaimGuard
from radishbridge.host.connections import CallerServer
from radishbridge.host.explain import Explainer
from radishbridge.host.forward import Forwarder
from radishbridge.host.gate import Gate
from radishbridge.host.keys import KeyRing
from radishbridge.host.listener import open_listener
from radishbridge.host.lookup import Front, LookupApi
from radishbridge.host.metrics import Metrics
from radishbridge.host.shutdown import Shutdown
from radishbridge.host.state import HostState
from radishbridge.host.tasks import end_task, start_task
from radishbridge.peers import DirectoryFeed, HostAddress, MeshCounters, ZmqMesh
from radishbridge.records import Failure, Settings
from radishbridge.routing import LocalRouter
from radishbridge.shares import ShareAdmission
from radishbridge.store import Freshness, HttpStore, Relay, RelaySettings, Replica, ResolvedWriter

GIVE_BACK_S = 5.0
# The rest of the time is for the news that a host is leaving to reach the other hosts.
LOOKUP_TTL_SHARE = 0.5

logger = logging.getLogger(__name__)


async def run_host(settings: Settings, stop: asyncio.Event) -> None:
    """Run a host until ``stop`` is set, then shut it down gracefully."""
    async with contextlib.AsyncExitStack() as stack:
        host = _Host(settings, stack)
        host.start_control()
        await host.start_admin()
        shutdown = await host.start_front()
        logger.info("started", extra={"host": settings.host, "listen": settings.listen})
        await stop.wait()
        await shutdown.run()
        await host.give_back()


class _Host:
    """The parts of one host; ``stack`` closes them in the opposite order of their start."""

    def __init__(self, settings: Settings, stack: contextlib.AsyncExitStack) -> None:
        limits = settings.limits
        self.settings = settings
        self.stack = stack
        self.replica = Replica()
        self.metrics = Metrics()
        self.router = LocalRouter(settings.region, settings.data_center, random.Random())
        self.freshness = Freshness(self.replica, settings.store.region, limits.key_freshness_s)
        keys = KeyRing()
        self.gate = Gate(self.replica, keys, self.router, limits, self.freshness)
        self.forwarder = Forwarder(BackendClient(), self.gate, self.router, self.metrics, limits)
        self.state = HostState(settings, self.replica, self.forwarder)
        self.mesh = ZmqMesh(
            settings.host, settings.peer_listen, settings.peers, self.state.heartbeat
        )
        session = aiohttp.ClientSession()
        self.store = HttpStore(session, settings.store.url, settings.store.timeout_s)
        self.admission = ShareAdmission(self.store, self.mesh, settings.host, self.mesh.incarnation)
        self.gate.admission = self.admission
        writer = ResolvedWriter(self.store, random.Random())
        registry = ClaimRegistry(self.store, writer, settings.host, self.mesh.incarnation)
        self.claims = self.forwarder.claims = ClaimGuard(registry)
        self.lookup = LookupApi(
            self.mesh,
            limits.shutdown_lookup_s * LOOKUP_TTL_SHARE,
            lambda: self.forwarder.leaving,
        )
        self.replica.listeners += [
            keys.update,
            self.router.update,
            self.admission.update,
            self.lookup.update,
        ]
        stack.push_async_callback(session.close)
        stack.push_async_callback(self.forwarder.client.close)

    def start_control(self) -> None:
        """Start to talk to other hosts, and to follow the configuration and the shares."""
        settings = self.settings
        relay = Relay(
            RelaySettings(
                host=settings.host,
                region=settings.region,
                data_center=settings.data_center,
                store_region=settings.store.region,
            ),
            self.store,
            self.replica,
            self.mesh,
            random.Random(),
            self.freshness,
        )
        self.state.has_share = self.admission.may_admit
        self.state.live_peers = lambda: sorted(peer.name for peer in self.mesh.live())
        start_task(self.stack, self.mesh.run())
        start_task(self.stack, DirectoryFeed(self.mesh, self._read_hosts).run())
        start_task(self.stack, relay.run())
        start_task(self.stack, self.lookup.run())
        start_task(self.stack, self.state.follow_start())
        self.shares_task = start_task(self.stack, self.admission.run())

    async def give_back(self) -> None:
        """Record the last outcomes and give this host's units of the shares back."""
        await self.claims.settled()
        await end_task(self.shares_task)
        failure = await self.admission.leave(GIVE_BACK_S)
        if failure is not None:
            logger.warning("shares not given back: %s", failure.reason)

    async def start_admin(self) -> None:
        """Start the operators' listener."""
        self._watch_parts()
        explainer = Explainer(self.state, self.router, self.freshness)
        application = AdminApi(self.state, explainer, self.metrics).application()
        await open_listener(
            self.stack, web.AppRunner(application, access_log=None), self.settings.admin_listen
        )

    async def start_front(self) -> Shutdown:
        """Start the callers' listener."""
        limits = self.settings.limits
        server = CallerServer(Front(self.lookup, self.forwarder.handle).handle, limits)
        self.gate.server = server
        start_task(self.stack, server.watch_disconnects())
        listener = await open_listener(self.stack, web.ServerRunner(server), self.settings.listen)
        return Shutdown(self.forwarder, server, listener, limits)

    async def _read_hosts(self) -> list[HostAddress] | Failure:
        listed = await self.store.hosts()
        if isinstance(listed, Failure):
            return listed
        return [
            HostAddress(
                name=host.name,
                region=host.region,
                data_center=host.data_center,
                address=host.peer_address,
                leaving=host.leaving,
                listen=host.address,
            )
            for host in listed.hosts
        ]

    def _watch_parts(self) -> None:
        watch = self.metrics.watch
        forwarder, router, state = self.forwarder, self.router, self.state
        watch("in_flight", "Requests being answered now.", lambda: forwarder.in_flight)
        watch("retries", "Attempts after the first one.", lambda: forwarder.retries.granted)
        watch("retries_denied", "Retries over budget.", lambda: forwarder.retries.denied)
        watch("ejections", "Ejections of backend servers.", lambda: router.ejections)
        watch("config_revision", "Revision in force.", lambda: self.replica.revision)
        watch(
            "config_age_seconds",
            "Seconds since the configuration was proved fresh, -1 for never.",
            lambda: state.fresh_age_s(time.monotonic()),
        )
        for name in MeshCounters.NAMES:
            text = f"Traffic between hosts since the start: {name.replace('_', ' ')}."
            watch(f"mesh_{name}", text, functools.partial(getattr, self.mesh.counters, name))
