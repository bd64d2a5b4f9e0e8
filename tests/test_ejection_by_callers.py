"""Servers that reject the requests of one caller for what that caller sends."""

from __future__ import annotations

import time

import pytest
from entry_world import running
from raw_server import GOOD, RawConnection, raw_server
from steering_world import make_route, make_server

EMPTY = "Content-Length: 0\r\n\r\n"
WITH_ID = "Request-Id: {id}\r\n"
REJECTIONS = {
    "429": f"HTTP/1.1 429 Slow Down\r\n{WITH_ID}{EMPTY}",
    "408": f"HTTP/1.1 408 Timeout\r\n{WITH_ID}{EMPTY}",
    "400 and not run": f"HTTP/1.1 400 Bad Request\r\n{WITH_ID}Not-Executed: 1\r\n{EMPTY}",
    "no id": f"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n{EMPTY}",
}


class TestRejectionsForWhatACallerSends:
    """A caller has healthy servers ejected, and with them the requests of others refused."""

    @pytest.mark.parametrize("repeatable", [False, True])
    @pytest.mark.parametrize("name", REJECTIONS)
    async def test_they_are_no_failures_of_the_server(self, name, repeatable):
        async def serve(connection: RawConnection, request_id: str) -> None:
            good = request_id.startswith("good")
            connection.write(GOOD if good else REJECTIONS[name], request_id)

        route = make_route(timeout_s=3.0, attempts=2, repeatable=repeatable)
        async with raw_server(serve) as raw, running(route=route) as (world, _):
            server = make_server(0, address=raw.address)
            world.steering_state.selector.put(server, time.monotonic())
            for number in range(6):
                request_id = "" if name == "no id" else f"bad{number}"
                await world.request(method="POST", Request_Id=request_id)
            (state,) = world.steering_state.selector.states.values()
            assert (await world.request(method="POST", Request_Id="good"))[0] == 200
        assert state.ejections == 0
