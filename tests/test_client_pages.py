"""Runs every command that the operators' pages show against a demo fleet.

The test fails if a page shows a command that does not exist or ends with another exit code, or if
``client.md`` lacks a command of the client.
"""

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

PAGES_DIRECTORY = pathlib.Path(__file__).parent.parent / "docs" / "operators"
PAGES = ["first-run", "daily-work", "failures", "hand-over", "client"]
CONSOLE_BLOCK = re.compile(r"^```console\n(.*?)^```", re.MULTILINE | re.DOTALL)
COMMANDS = [
    *("apply", "get", "list", "edit", "diff", "validate", "delete", "status", "hosts", "explain"),
    "explain-request",
    *("key issue", "key withdraw", "key list", "drain start", "drain stop", "drain list"),
    *("move start", "move list", "report burn"),
]
SHELL_CHARACTERS = set("<>|")
EXIT_CODE_COMMAND = "echo $?"


class CommandResult:
    """Exit code and output of a command."""

    def __init__(self, exit_code: int, output: str) -> None:
        self.exit_code = exit_code
        self.output = output


class PageCommand:
    """A command that a page shows, with the output and the exit code shown for it."""

    def __init__(self, text: str, output: list[str]) -> None:
        self.text = text
        self.output = output
        self.exit_code = 0


def parse_page(text: str) -> list[PageCommand]:
    lines = itertools.chain.from_iterable(
        block.splitlines() for block in CONSOLE_BLOCK.findall(text)
    )
    commands: list[PageCommand] = []
    for line in lines:
        if line.startswith("$ "):
            commands.append(PageCommand(line.removeprefix("$ "), []))
        elif line.startswith("> "):
            commands[-1].text += "\n" + line.removeprefix("> ")
        else:
            commands[-1].output.append(line)
    for command, next_command in itertools.pairwise(commands):
        if next_command.text == EXIT_CODE_COMMAND:
            command.exit_code = int(next_command.output[0])
    return [entry for entry in commands if entry.text != EXIT_CODE_COMMAND]


async def _start(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as session:
        await demo.start(fleet, session)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet, pytest.MonkeyPatch.context() as patch:
        asyncio.run(_start(fleet))
        patch.setenv("RADISHBRIDGE_STORE", fleet.store_url)
        yield fleet


def run_page_command(fleet: Fleet, command: str) -> CommandResult:
    """Run a command in this process, or in a shell if it uses shell syntax."""
    with contextlib.chdir(fleet.directory):
        if command.startswith("radishbridge ") and not SHELL_CHARACTERS & set(command):
            return _run_in_process(shlex.split(command)[1:])
        return _run_in_shell(command)


def _run_in_process(argv: list[str]) -> CommandResult:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            exit_code = asyncio.run(run(argv))
        except SystemExit as exit_:
            exit_code = t.cast(int, exit_.code)
    return CommandResult(exit_code, output.getvalue())


def _run_in_shell(command: str) -> CommandResult:
    client = f'radishbridge() {{ "{sys.executable}" -m radishbridge.client "$@"; }}'
    result = subprocess.run(
        ["bash", "-c", f"{client}\n{command}"],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    return CommandResult(result.returncode, result.stdout)


class TestPages:
    @pytest.mark.parametrize("page", PAGES)
    def test_every_command_ends_as_the_page_shows(self, page: str, fleet: Fleet) -> None:
        commands = parse_page((PAGES_DIRECTORY / f"{page}.md").read_text(encoding="utf-8"))
        assert commands
        for command in commands:
            result = run_page_command(fleet, command.text)
            assert result.exit_code == command.exit_code, (command.text, result.output)
            assert bool(result.output) == bool(command.output), command.text

    def test_the_pages_show_every_command_of_the_client(self) -> None:
        commands = parse_page((PAGES_DIRECTORY / "client.md").read_text(encoding="utf-8"))
        text = "\n".join(command.text for command in commands)
        missing = [name for name in COMMANDS if f"radishbridge {name}" not in text]
        assert missing == []
