"""What every command works with: the store, the hosts and the console."""

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
    """The parts that a command uses.

    :param store: the platform's object API.
    :param fleet: the hosts' listeners for operators.
    """

    __slots__ = ("console", "fleet", "store")

    def __init__(self, console: Console, store: ObjectStore, fleet: FleetClient) -> None:
        self.console = console
        self.store = store
        self.fleet = fleet


class Command(t.Protocol):
    """A command of the client after its arguments were read."""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""


@contextlib.asynccontextmanager
async def open_context(console: Console, store_url: str) -> t.AsyncIterator[Context]:
    """Open the connections that a command uses and close them at its end."""
    connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_REQUESTS, force_close=True)
    async with aiohttp.ClientSession() as to_store:
        async with aiohttp.ClientSession(connector=connector) as to_hosts:
            store = HttpStore(to_store, store_url, STORE_TIMEOUT_S)
            yield Context(console, store, FleetClient(to_hosts, store))


def check_store_url(url: str) -> Failure | None:
    """Return what is wrong with the URL of the store; ``None`` where nothing is."""
    if url.startswith(("http://", "https://")):
        return None
    reason = "give the object API's URL by --store URL or in RADISHBRIDGE_STORE"
    return Failure(ResultCode.USAGE, reason, field="--store")
