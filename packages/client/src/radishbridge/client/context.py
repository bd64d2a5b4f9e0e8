"""The context of a command: console, store client and fleet client."""

from __future__ import annotations

import contextlib
import typing as t

import aiohttp

from radishbridge.client.console import Console
from radishbridge.client.fleet import MAX_CONCURRENT_REQUESTS, FleetClient
from radishbridge.records import Failure, ResultCode
from radishbridge.store import HttpStore, ObjectStore

STORE_TIMEOUT_S = 5.0


class Context:
    """What a command needs to run.

    :param store: client of the platform's object API.
    :param fleet: client of the hosts' admin listeners.
    """

    __slots__ = ("console", "fleet", "store")

    def __init__(self, console: Console, store: ObjectStore, fleet: FleetClient) -> None:
        self.console = console
        self.store = store
        self.fleet = fleet


class Command(t.Protocol):
    """A command whose arguments have been parsed."""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""


@contextlib.asynccontextmanager
async def open_context(console: Console, store_url: str) -> t.AsyncIterator[Context]:
    """Open the HTTP sessions that a command uses and close them when it ends."""
    connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_REQUESTS, force_close=True)
    async with aiohttp.ClientSession() as store_session:
        async with aiohttp.ClientSession(connector=connector) as host_session:
            store = HttpStore(store_session, store_url, STORE_TIMEOUT_S)
            yield Context(console, store, FleetClient(host_session, store))


def check_store_url(url: str) -> Failure | None:
    """Return a failure if the URL of the store is missing or not HTTP, else ``None``."""
    if url.startswith(("http://", "https://")):
        return None
    reason = "set the URL of the object API with --store URL or RADISHBRIDGE_STORE"
    return Failure(ResultCode.USAGE, reason, field="--store")
