"""The command line of ``radishbridged``."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
import sys
import typing as t

import cappa

from radishbridge.host.compose import run_host
from radishbridge.host.logs import configure_logging
from radishbridge.records import Failure, Settings, load_settings

EXIT_USAGE = 2


@dataclasses.dataclass(slots=True)
class Daemon:
    """Run one entry host of radishbridge."""

    config: t.Annotated[pathlib.Path, cappa.Arg(long=True, help="Settings file of this host.")]


def main() -> None:
    """Run ``radishbridged`` with the process's arguments."""
    daemon = cappa.parse(Daemon)
    settings = load_settings(daemon.config)
    if isinstance(settings, list):
        _print_failures(settings)
        sys.exit(EXIT_USAGE)
    configure_logging(settings.log)
    asyncio.run(_serve(settings))


def _print_failures(failures: list[Failure]) -> None:
    for failure in failures:
        line = f" line {failure.line}" if failure.line else ""
        field = f" {failure.field}" if failure.field else ""
        message = f"error {int(failure.code)}:{line}{field}: {failure.reason}"
        print(f"radishbridged: {message}", file=sys.stderr)


async def _serve(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await run_host(settings, stop)
