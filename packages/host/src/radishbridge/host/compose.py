"""Creates and connects the components of one host."""

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
from radishbridge.host.checks import RequestChecker
from radishbridge.host.claims import ClaimGuard
from radishbridge.host.connections import CallerServer
from radishbridge.host.explain import Explainer
from radishbridge.host.forward import Forwarder
from radishbridge.host.keys import KeyRing
from radishbridge.host.listener import open_listener
from radishbridge.host.lookup import LookupApi, RequestDispatcher
from radishbridge.host.metrics import Metrics
from radishbridge.host.shutdown import Shutdown
from radishbridge.host.state import HostState
from radishbridge.host.tasks import Supervisor, end_task
from radishbridge.peers import DirectoryFeed, HostAddress, MeshCounters, ZmqMesh
from radishbridge.records import Failure, Settings
from radishbridge.routing import LocalRouter
from radishbridge.shares import ShareAdmission
from radishbridge.store import Freshness, HttpStore, Relay, RelaySettings, Replica, ResolvedWriter

SHARE_RETURN_TIMEOUT_S = 5.0
# Look-up responses are cached for this fraction of ``shutdown_lookup_s``. The rest is time for the
# other hosts to learn that a host is shutting down.
LOOKUP_TTL_FRACTION = 0.5

logger = logging.getLogger(__name__)


async def run_host(settings: Settings, stop: asyncio.Event) -> None:
    """Run a host until ``stop`` is set, then shut it down gracefully."""
    async with contextlib.AsyncExitStack() as stack:
        host = _Host(settings, stack)
        host.start_background_tasks()
        await host.start_admin_listener()
        shutdown = await host.start_caller_listener()
        logger.info("started", extra={"host": settings.host, "listen": settings.listen})
        await stop.wait()
        await shutdown.run()
        await host.return_shares()


class _Host:
    """The components of one host; ``stack`` closes them in the reverse order of their start."""

    def __init__(self, settings: Settings, stack: contextlib.AsyncExitStack) -> None:
        limits = settings.limits
        self.settings = settings
        self.stack = stack
        self.supervisor = Supervisor(stack)
        self.replica = Replica()
        self.metrics = Metrics()
        self.router = LocalRouter(settings.region, settings.data_center, random.Random())
        self.freshness = Freshness(self.replica, settings.store.region, limits.key_freshness_s)
        keys = KeyRing()
        self.checker = RequestChecker(self.replica, keys, self.router, limits, self.freshness)
        self.forwarder = Forwarder(BackendClient(), self.checker, self.router, self.metrics, limits)
        self.state = HostState(settings, self.replica, self.forwarder)
        self.mesh = ZmqMesh(
            settings.host, settings.peer_listen, settings.peers, self.state.heartbeat
        )
        session = aiohttp.ClientSession()
        self.store = HttpStore(session, settings.store.url, settings.store.timeout_s)
        self.admission = ShareAdmission(self.store, self.mesh, settings.host, self.mesh.incarnation)
        self.checker.admission = self.admission
        writer = ResolvedWriter(self.store, random.Random())
        registry = ClaimRegistry(self.store, writer, settings.host, self.mesh.incarnation)
        self.claims = self.forwarder.claims = ClaimGuard(registry)
        self.lookup = LookupApi(
            self.mesh,
            limits.shutdown_lookup_s * LOOKUP_TTL_FRACTION,
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

    def start_background_tasks(self) -> None:
        """Start the tasks that connect to other hosts and follow the configuration and shares."""
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
        start = self.supervisor.start
        start("mesh", self.mesh.run)
        start("directory", DirectoryFeed(self.mesh, self._read_hosts).run)
        start("relay", relay.run)
        start("lookup", self.lookup.run)
        start("startup", self.state.watch_startup)
        self.shares_task = start("shares", self.admission.run)

    async def return_shares(self) -> None:
        """Record the last claim outcomes and return this host's units of the shares."""
        await self.claims.wait_recorded()
        await end_task(self.shares_task)
        failure = await self.admission.leave(SHARE_RETURN_TIMEOUT_S)
        if failure is not None:
            logger.warning("could not return the units of the shares: %s", failure.reason)

    async def start_admin_listener(self) -> None:
        """Start the operators' listener."""
        self._add_gauges()
        explainer = Explainer(self.state, self.router, self.freshness)
        application = AdminApi(self.state, explainer, self.metrics).application()
        await open_listener(
            self.stack, web.AppRunner(application, access_log=None), self.settings.admin_listen
        )

    async def start_caller_listener(self) -> Shutdown:
        """Start the callers' listener."""
        limits = self.settings.limits
        server = CallerServer(RequestDispatcher(self.lookup, self.forwarder.handle).handle, limits)
        self.checker.server = server
        self.supervisor.start("disconnects", server.watch_disconnects)
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

    def _add_gauges(self) -> None:
        add_gauge = self.metrics.add_gauge
        forwarder, router, state = self.forwarder, self.router, self.state
        add_gauge("in_flight", "Requests being answered now.", lambda: forwarder.in_flight)
        add_gauge(
            "retries", "Attempts after the first one.", lambda: forwarder.retry_limiter.granted
        )
        add_gauge("retries_denied", "Retries over budget.", lambda: forwarder.retry_limiter.denied)
        add_gauge("ejections", "Ejections of backend servers.", lambda: router.ejections)
        add_gauge("config_revision", "Revision in force.", lambda: self.replica.revision)
        add_gauge(
            "config_age_seconds",
            "Seconds since the configuration was proved fresh, -1 for never.",
            lambda: state.fresh_age_s(time.monotonic()),
        )
        add_gauge(
            "task_restarts",
            "Errors of background tasks, after each of which the task began again.",
            self.supervisor.restarts.total,
        )
        for name in MeshCounters.NAMES:
            help_text = f"Traffic between hosts since the start: {name.replace('_', ' ')}."
            add_gauge(
                f"mesh_{name}", help_text, functools.partial(getattr, self.mesh.counters, name)
            )
