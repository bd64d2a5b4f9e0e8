"""Runs every command that the operators' pages show against a demo fleet."""

from __future__ import annotations

import asyncio
import contextlib
import io
import itertools
import pathlib
import re
import shlex
import subprocess
import sys
import typing as t

import aiohttp
import pytest

from radishbridge.client import run
from radishbridge_standin import demo
from radishbridge_standin.processes import Fleet

DIRECTORY = pathlib.Path(__file__).parent.parent / "docs" / "operators"
PAGES = ["first-run", "daily-work", "failures", "hand-over", "client"]
BLOCK = re.compile(r"^```console\n(.*?)^```", re.MULTILINE | re.DOTALL)
COMMANDS = [
    *("apply", "get", "list", "edit", "diff", "validate", "delete", "status", "hosts", "explain"),
    *("key issue", "key withdraw", "key list", "drain start", "drain stop", "drain list"),
    *("move start", "move list", "report burn"),
]
SHELL_CHARACTERS = set("<>|")
ASK_EXIT_CODE = "echo $?"


class Ended:
    """How a command ended."""

    def __init__(self, exit_code: int, output: str) -> None:
        self.exit_code = exit_code
        self.output = output


class Shown:
    """A command that a page shows, with the exit code it shows for it."""

    def __init__(self, command: str, output: list[str]) -> None:
        self.command = command
        self.output = output
        self.exit_code = 0


def read_page(text: str) -> list[Shown]:
    lines = itertools.chain.from_iterable(block.splitlines() for block in BLOCK.findall(text))
    shown: list[Shown] = []
    for line in lines:
        if line.startswith("$ "):
            shown.append(Shown(line.removeprefix("$ "), []))
        elif line.startswith("> "):
            shown[-1].command += "\n" + line.removeprefix("> ")
        else:
            shown[-1].output.append(line)
    for command, following in itertools.pairwise(shown):
        if following.command == ASK_EXIT_CODE:
            command.exit_code = int(following.output[0])
    return [one for one in shown if one.command != ASK_EXIT_CODE]


async def _start(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as session:
        await demo.start(fleet, session)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet, pytest.MonkeyPatch.context() as patch:
        asyncio.run(_start(fleet))
        patch.setenv("RADISHBRIDGE_STORE", fleet.store_url)
        yield fleet


def run_shown(fleet: Fleet, command: str) -> Ended:
    """Run a command: in this process, or by a shell where it takes one."""
    with contextlib.chdir(fleet.directory):
        if command.startswith("radishbridge ") and not SHELL_CHARACTERS & set(command):
            return _run_here(shlex.split(command)[1:])
        return _run_in_shell(command)


def _run_here(argv: list[str]) -> Ended:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            exit_code = asyncio.run(run(argv))
        except SystemExit as exit_:
            exit_code = t.cast(int, exit_.code)
    return Ended(exit_code, output.getvalue())


def _run_in_shell(command: str) -> Ended:
    client = f'radishbridge() {{ "{sys.executable}" -m radishbridge.client "$@"; }}'
    ended = subprocess.run(
        ["bash", "-c", f"{client}\n{command}"],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    return Ended(ended.returncode, ended.stdout)


class TestPages:
    @pytest.mark.parametrize("page", PAGES)
    def test_every_command_ends_as_the_page_shows(self, page: str, fleet: Fleet) -> None:
        shown = read_page((DIRECTORY / f"{page}.md").read_text(encoding="utf-8"))
        assert shown
        for one in shown:
            result = run_shown(fleet, one.command)
            assert result.exit_code == one.exit_code, (one.command, result.output)
            assert bool(result.output) == bool(one.output), one.command

    def test_the_pages_show_every_command_of_the_client(self) -> None:
        shown = read_page((DIRECTORY / "client.md").read_text(encoding="utf-8"))
        text = "\n".join(one.command for one in shown)
        missing = [one for one in COMMANDS if f"radishbridge {one}" not in text]
        assert missing == []
