from __future__ import annotations

import asyncio
import json

import aiohttp
import yarl
from behave import then, when
from behave.runner import Context


@when('a caller allows {time_ms:d} ms and requests "{path}" from "{host}"')
def send_request_with_deadline(context: Context, time_ms: int, host: str, path: str) -> None:
    addresses = {entry.name: entry.address for entry in context.fleet.hosts}
    headers = {"X-Request-Deadline-Ms": str(time_ms)}
    url = f"http://{addresses[host]}{path}"
    context.status, context.body = asyncio.run(_get(url, headers))


@then("the caller detects a truncated response")
def is_truncated(context: Context) -> None:
    assert isinstance(context.body, aiohttp.ClientError), (context.status, len(context.body))


@then('the response lists "{host}"')
def lists_host(context: Context, host: str) -> None:
    names = [entry["name"] for entry in json.loads(context.body)["hosts"]]
    assert host in names, names


async def _get(url: str, headers: dict[str, str]) -> tuple[int, bytes]:
    target = yarl.URL(url, encoded=True)
    async with aiohttp.ClientSession() as session, session.get(target, headers=headers) as response:
        return response.status, await response.read()
