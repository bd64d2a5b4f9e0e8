from __future__ import annotations

import asyncio
import json

import aiohttp
import yarl
from behave import then, when
from behave.runner import Context


async def _get(url: str, headers: dict[str, str]) -> tuple[int, bytes | aiohttp.ClientError]:
    # The target is sent as it stands; the library would resolve dot segments.
    target = yarl.URL(url, encoded=True)
    async with aiohttp.ClientSession() as session, session.get(target, headers=headers) as answer:
        try:
            return answer.status, await answer.read()
        except aiohttp.ClientError as error:
            return answer.status, error


@when('a caller with the key "{key}" asks "{host}" for "{path}"')
def ask(context: Context, key: str, host: str, path: str) -> None:
    addresses = {entry.name: entry.address for entry in context.fleet.hosts}
    headers = {} if key == "none" else {"Authorization": f"Bearer {key}"}
    url = f"http://{addresses[host]}{path}"
    context.status, context.body = asyncio.run(_get(url, headers))


@then("the answer has status {status:d}")
def has_status(context: Context, status: int) -> None:
    assert context.status == status, (context.status, context.body)


@then("the backend server saw no key")
def saw_no_key(context: Context) -> None:
    seen = {name.lower() for name in json.loads(context.body)["headers"]}
    assert not seen & {"authorization", "x-api-key"}, seen


@then('the answer carries result code {code:d} and says "{execution}"')
def carries_code(context: Context, code: int, execution: str) -> None:
    problem = json.loads(context.body)
    assert problem["code"] == code, problem
    assert problem["execution"] == execution, problem
