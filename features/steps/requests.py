from __future__ import annotations

import asyncio
import json

import aiohttp
import yarl
from behave import then, when
from behave.runner import Context


async def _get(url: str, headers: dict[str, str]) -> tuple[int, bytes | aiohttp.ClientError]:
    # The target is sent unchanged; without ``encoded``, yarl would resolve dot segments.
    target = yarl.URL(url, encoded=True)
    async with aiohttp.ClientSession() as session, session.get(target, headers=headers) as response:
        try:
            return response.status, await response.read()
        except aiohttp.ClientError as error:
            return response.status, error


@when('a caller with the key "{key}" requests "{path}" from "{host}"')
def send_request(context: Context, key: str, host: str, path: str) -> None:
    addresses = {entry.name: entry.address for entry in context.fleet.hosts}
    headers = {} if key == "none" else {"Authorization": f"Bearer {key}"}
    url = f"http://{addresses[host]}{path}"
    context.status, context.body = asyncio.run(_get(url, headers))


@then("the response has status {status:d}")
def has_status(context: Context, status: int) -> None:
    assert context.status == status, (context.status, context.body)


@then("the backend server received no key")
def received_no_key(context: Context) -> None:
    received = {name.lower() for name in json.loads(context.body)["headers"]}
    assert not received & {"authorization", "x-api-key"}, received


@then('the response has result code {code:d} and execution "{execution}"')
def has_code(context: Context, code: int, execution: str) -> None:
    problem = json.loads(context.body)
    assert problem["code"] == code, problem
    assert problem["execution"] == execution, problem
