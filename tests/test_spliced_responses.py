"""Bytes of an incomplete response that run into the response of the next request."""

from __future__ import annotations

import asyncio
import time

import pytest
from entry_world import running
from raw_server import GOOD, RawConnection, raw_server
from steering_world import make_route, make_server

STATEMENT = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
SURPLUS = {
    "cut in a value": STATEMENT + "Date: Sun",
    "cut before a value": STATEMENT + "Date: ",
    "cut in the reason": "HTTP/1.1 503 Bu",
    "cut in a name": STATEMENT + "Da",
    "cut after a line": STATEMENT,
}


class TestIncompleteRefusal:
    """A part of a refusal arrives where the response to a running request is due.

    Its last line takes in the status line of that response, and both parse as one refusal with the
    request's id and signature. The caller would be told that its request did not run, or it would
    run at another server as well.
    """

    @pytest.mark.parametrize("surplus", SURPLUS.values(), ids=SURPLUS)
    async def test_it_does_not_refuse_the_request_that_runs(self, surplus):
        executed: list[str] = []

        async def serve(connection: RawConnection, request_id: str) -> None:
            executed.append(request_id)
            if connection.requests > 1:
                connection.write(surplus)
                await asyncio.sleep(0.05)
            connection.write(GOOD, request_id)

        route = make_route(timeout_s=3.0, attempts=3, repeatable=False)
        async with raw_server(serve) as raw, running(route=route) as (world, _):
            for number in range(2):
                server = make_server(number, address=raw.address)
                world.steering_state.selector.put(server, time.monotonic())
            statuses = [(await world.request(method="POST"))[0] for _ in range(2)]
        assert executed == ["r1", "r2"]
        assert statuses == [200, 502]
