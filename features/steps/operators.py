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

# Waits until both operators have opened the record, so that both edit the same version.
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


def _scenario_directory(context: Context) -> pathlib.Path:
    if "scenario_directory" not in context:
        directory = tempfile.TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.scenario_directory = pathlib.Path(directory.name)
    path: pathlib.Path = context.scenario_directory
    return path


def _start_client(context: Context, *arguments: str, **environment: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "radishbridge.client", *arguments]
    variables = {"RADISHBRIDGE_STORE": context.fleet.store_url, **environment}
    return subprocess.Popen(
        command,
        env=os.environ | variables,
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


async def _request_from_hosts(context: Context, secret: str) -> list[tuple[int, bytes]]:
    responses = []
    headers = {"Authorization": f"Bearer {secret}"}
    async with aiohttp.ClientSession() as session:
        for host in context.fleet.hosts:
            url = f"http://{host.address}/catalogue/devices/1"
            async with session.get(url, headers=headers) as response:
                responses.append((response.status, await response.read()))
    return responses


@given('the operator has issued a key for "{workspace}"')
def issue_key(context: Context, workspace: str) -> None:
    _run_client(context, "key", "issue", workspace, "--json")
    assert context.exit_code == 0, context.error
    context.issued = json.loads(context.output)


@given("every host serves a caller with that key")
def hosts_serve(context: Context) -> None:
    responses = asyncio.run(_request_from_hosts(context, context.issued["secret"]))
    assert [status for status, _ in responses] == [200, 200, 200], responses


@when("the operator withdraws the key")
def withdraw_key(context: Context) -> None:
    _run_client(context, "key", "withdraw", context.issued["name"])


@then("every host refuses that key with result code {code:d}")
def hosts_refuse(context: Context, code: int) -> None:
    responses = asyncio.run(_request_from_hosts(context, context.issued["secret"]))
    problems = [json.loads(body) for _, body in responses]
    assert [problem["code"] for problem in problems] == [code] * 3, problems
    assert {problem["execution"] for problem in problems} == {"not run"}, problems


@given("a file with these records")
@given("a file with these records:")
def write_file(context: Context) -> None:
    context.file = str(_scenario_directory(context) / "file.jsonc")
    pathlib.Path(context.file).write_text(context.text)


@when('the operator runs "{command}"')
def run_command(context: Context, command: str) -> None:
    arguments = command.replace("FILE", context.file if "file" in context else "FILE").split()
    _run_client(context, *arguments)


@then("the command ends with exit code {code:d}")
def ends_with(context: Context, code: int) -> None:
    assert context.exit_code == code, (context.exit_code, context.output, context.error)


@then('an error is reported at line {line:d} and field "{field}"')
def reports_field(context: Context, line: int, field: str) -> None:
    assert f"{context.file}:{line}: {field}: " in context.error, context.error


@then('the error says "{text}"')
def error_says(context: Context, text: str) -> None:
    assert text in context.error, context.error


def _edit_concurrently(
    context: Context, workspace: str, changes: list[tuple[str, int]], *options: str
) -> None:
    directory = _scenario_directory(context)
    operators = []
    for number, (field, value) in enumerate(changes):
        script = directory / f"editor-{number}.py"
        script.write_text(EDITOR.format(directory=str(directory), field=field, value=value))
        environment = {"EDITOR": f"{sys.executable} {script}", "TMPDIR": str(directory)}
        command = ("edit", "rate", workspace, *options)
        operators.append(_start_client(context, *command, **environment))
    context.edits = [(*operator.communicate(), operator.returncode) for operator in operators]
    _run_client(context, "get", "rate", workspace, "--json")
    context.rate = json.loads(context.output)["spec"]


@when('two operators set the burst of "{workspace}" to {first:d} and {second:d} at once')
def edit_same_field(context: Context, workspace: str, first: int, second: int) -> None:
    _edit_concurrently(context, workspace, [("burst", first), ("burst", second)])
    context.values = (first, second)


@then("one edit succeeds and the other shows both changes")
def one_edit_succeeds(context: Context) -> None:
    codes = [code for _, _, code in context.edits]
    assert sorted(codes) == [0, 4], context.edits
    assert context.rate["burst"] == context.values[codes.index(0)], context.rate
    context.rejected_error = context.edits[codes.index(4)][1]
    assert all(
        f"+ burst: {value}" in context.rejected_error for value in context.values
    ), context.rejected_error


@then("the rejected text is kept in a file")
def rejected_text_is_kept(context: Context) -> None:
    found = re.search(r"your text is in (\S+);", context.rejected_error)
    assert found, context.rejected_error
    rejected_value = next(value for value in context.values if value != context.rate["burst"])
    assert f'"burst": {rejected_value}' in pathlib.Path(found[1]).read_text()


@when(
    "two operators set the burst to {burst:d} and the rate to {rate:d} "
    'of "{workspace}" at once with --merge'
)
def edit_different_fields(context: Context, burst: int, rate: int, workspace: str) -> None:
    changes = [("burst", burst), ("requests_per_second", rate)]
    _edit_concurrently(context, workspace, changes, "--merge")
    context.values = {"burst": burst, "requests_per_second": rate}


@then("both changes are in force")
def both_in_force(context: Context) -> None:
    assert [code for _, _, code in context.edits] == [0, 0], context.edits
    assert context.rate == context.values, context.rate


async def _start(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as session:
        await demo.start(fleet, session)


@given("a separate fleet")
def start_separate_fleet(context: Context) -> None:
    context.fleet = Fleet(_scenario_directory(context))
    context.add_cleanup(context.fleet.__exit__)
    asyncio.run(_start(context.fleet))


@given("the {name} has died")
@given('"{name}" has died but is still listed')
def has_died(context: Context, name: str) -> None:
    process = context.fleet.processes[name]
    process.kill()
    process.wait()


async def _announce(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as session:
        await fleet.announce_hosts(session)


@when('the platform removes "{name}" from its list')
def remove_from_list(context: Context, name: str) -> None:
    context.fleet.hosts = [host for host in context.fleet.hosts if host.name != name]
    asyncio.run(_announce(context.fleet))
