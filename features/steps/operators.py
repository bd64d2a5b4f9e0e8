from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

import aiohttp
from behave import given, then, when
from behave.runner import Context

from radishbridge_standin import demo
from radishbridge_standin.processes import Fleet

EDITOR = """
import pathlib, sys, time
path, directory = pathlib.Path(sys.argv[-1]), pathlib.Path({directory!r})
text = path.read_text()
path.with_suffix(".opened").touch()
while len(list(directory.glob("*.opened"))) < 2:
    time.sleep(0.02)
field, value = {field!r}, {value!r}
lines = [f'"{{field}}": {{value}}' + "," * line.rstrip().endswith(",")
         if f'"{{field}}"' in line else line for line in text.splitlines()]
path.write_text("\\n".join(lines))
"""


def _directory(context: Context) -> pathlib.Path:
    if "own_directory" not in context:
        directory = tempfile.TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.own_directory = pathlib.Path(directory.name)
    path: pathlib.Path = context.own_directory
    return path


def _start_client(context: Context, *arguments: str, **environment: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "radishbridge.client", *arguments]
    settings = {"RADISHBRIDGE_STORE": context.fleet.store_url, **environment}
    return subprocess.Popen(
        command,
        env=os.environ | settings,
        cwd=context.fleet.directory,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def _run_client(context: Context, *arguments: str) -> None:
    process = _start_client(context, *arguments)
    context.output, context.error = process.communicate()
    context.exit_code = process.returncode


async def _ask_hosts(context: Context, secret: str) -> list[tuple[int, bytes]]:
    answers = []
    headers = {"Authorization": f"Bearer {secret}"}
    async with aiohttp.ClientSession() as session:
        for host in context.fleet.hosts:
            url = f"http://{host.address}/catalogue/devices/1"
            async with session.get(url, headers=headers) as answer:
                answers.append((answer.status, await answer.read()))
    return answers


@given('the operator has issued a key for "{workspace}"')
def issue_key(context: Context, workspace: str) -> None:
    _run_client(context, "key", "issue", workspace, "--json")
    assert context.exit_code == 0, context.error
    context.issued = json.loads(context.output)


@given("every host serves a caller with that key")
def hosts_serve(context: Context) -> None:
    answers = asyncio.run(_ask_hosts(context, context.issued["secret"]))
    assert [status for status, _ in answers] == [200, 200, 200], answers


@when("the operator withdraws the key")
def withdraw_key(context: Context) -> None:
    _run_client(context, "key", "withdraw", context.issued["name"])


@then("every host refuses that key with result code {code:d}")
def hosts_refuse(context: Context, code: int) -> None:
    answers = asyncio.run(_ask_hosts(context, context.issued["secret"]))
    problems = [json.loads(body) for _, body in answers]
    assert [problem["code"] for problem in problems] == [code] * 3, problems
    assert {problem["execution"] for problem in problems} == {"not run"}, problems


@given("a file with these records")
@given("a file with these records:")
def write_file(context: Context) -> None:
    context.file = str(_directory(context) / "file.jsonc")
    pathlib.Path(context.file).write_text(context.text)


@when('the operator runs "{command}"')
def run_command(context: Context, command: str) -> None:
    words = command.replace("FILE", context.file if "file" in context else "FILE").split()
    _run_client(context, *words)


@then("the command ends with exit code {code:d}")
def ends_with(context: Context, code: int) -> None:
    assert context.exit_code == code, (context.exit_code, context.output, context.error)


@then('the error names line {line:d} and field "{field}"')
def names_field(context: Context, line: int, field: str) -> None:
    assert f"{context.file}:{line}: {field}: " in context.error, context.error


@then('the error says "{text}"')
def error_says(context: Context, text: str) -> None:
    assert text in context.error, context.error


def _race(context: Context, workspace: str, changes: list[tuple[str, int]], *options: str) -> None:
    directory = _directory(context)
    operators = []
    for number, (field, value) in enumerate(changes):
        script = directory / f"editor-{number}.py"
        script.write_text(EDITOR.format(directory=str(directory), field=field, value=value))
        environment = {"EDITOR": f"{sys.executable} {script}", "TMPDIR": str(directory)}
        command = ("edit", "rate", workspace, *options)
        operators.append(_start_client(context, *command, **environment))
    context.race = [(*operator.communicate(), operator.returncode) for operator in operators]
    _run_client(context, "get", "rate", workspace, "--json")
    context.rate = json.loads(context.output)["spec"]


@when('two operators set the burst of "{workspace}" to {one:d} and {other:d} at once')
def race_for_field(context: Context, workspace: str, one: int, other: int) -> None:
    _race(context, workspace, [("burst", one), ("burst", other)])
    context.values = (one, other)


@then("one of them wins and the other is shown both changes")
def one_wins(context: Context) -> None:
    codes = [code for _, _, code in context.race]
    assert sorted(codes) == [0, 4], context.race
    assert context.rate["burst"] == context.values[codes.index(0)], context.rate
    context.loser = context.race[codes.index(4)][1]
    assert all(f"+ burst: {value}" in context.loser for value in context.values), context.loser


@then("the text of the other is kept in a file")
def text_is_kept(context: Context) -> None:
    found = re.search(r"your text is in (\S+);", context.loser)
    assert found, context.loser
    lost = next(value for value in context.values if value != context.rate["burst"])
    assert f'"burst": {lost}' in pathlib.Path(found[1]).read_text()


@when(
    "two operators set the burst to {burst:d} and the rate to {rate:d} "
    'of "{workspace}" at once, merging'
)
def race_for_record(context: Context, burst: int, rate: int, workspace: str) -> None:
    changes = [("burst", burst), ("requests_per_second", rate)]
    _race(context, workspace, changes, "--merge")
    context.values = {"burst": burst, "requests_per_second": rate}


@then("both changes are in force")
def both_in_force(context: Context) -> None:
    assert [code for _, _, code in context.race] == [0, 0], context.race
    assert context.rate == context.values, context.rate


async def _start(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as session:
        await demo.start(fleet, session)


@given("a fleet of its own")
def own_fleet(context: Context) -> None:
    context.fleet = Fleet(_directory(context))
    context.add_cleanup(context.fleet.__exit__)
    asyncio.run(_start(context.fleet))


@given("the {name} has died")
@given('"{name}" has died, and the platform has not noticed')
def has_died(context: Context, name: str) -> None:
    process = context.fleet.processes[name]
    process.kill()
    process.wait()


async def _announce(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as session:
        await fleet.announce_hosts(session)


@when('the platform takes "{name}" off its list')
def take_off_list(context: Context, name: str) -> None:
    context.fleet.hosts = [host for host in context.fleet.hosts if host.name != name]
    asyncio.run(_announce(context.fleet))
