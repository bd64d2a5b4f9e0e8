"""Refusals that say too little to tell which request they refuse."""

from __future__ import annotations

import asyncio
import time

import pytest
from entry_world import running, shed
from raw_server import GOOD, RawConnection, raw_server
from steering_world import make_route, make_server

REFUSAL = (
    "HTTP/1.1 503 Busy\r\n{id}Not-Executed: 1\r\nServer-Load: 3,1,4\r\nContent-Length: 0\r\n\r\n"
)
WITHOUT_ID = REFUSAL.replace("{id}", "")
MISDIRECTED = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
ONCE = make_route(timeout_s=3.0, attempts=3, repeatable=False)


class TestRefusalOfAnotherRequest:
    """A server writes a refusal once more, without an id, while it runs the next request."""

    @pytest.mark.parametrize("refusal", [WITHOUT_ID, MISDIRECTED])
    async def test_a_request_that_runs_is_neither_repeated_nor_called_unrun(self, refusal):
        ran: list[str] = []

        async def script(connection: RawConnection, request_id: str) -> None:
            ran.append(request_id)
            connection.write(refusal)
            await asyncio.sleep(0.1)
            connection.write(GOOD, request_id)

        async with raw_server(script) as one, raw_server(script) as other:
            async with running(route=ONCE) as (world, _):
                for number, raw in enumerate((one, other)):
                    server = make_server(number, address=raw.address)
                    world.steering_state.selector.put(server, time.monotonic())
                status, *_ = await world.ask(method="POST", Request_Id="r9")
        assert ran == ["r9"]
        assert status == 502

    async def test_a_refusal_with_the_requests_id_is_believed(self):
        async with running(shed(), route=ONCE) as (world, _):
            status, *_ = await world.ask(method="POST", Request_Id="r9")
        assert status == 503

    async def test_what_a_first_attempt_may_have_run_is_not_denied_by_a_second_ones_refusal(self):
        # The first server breaks the connection, the second one refuses.
        async def script(connection: RawConnection, request_id: str) -> None:
            connection.writer.close()

        async with raw_server(script) as raw:
            route = make_route(timeout_s=3.0, attempts=2)
            async with running(shed(), route=route) as (world, _):
                world.steering_state.selector.put(
                    make_server(1, address=raw.address), time.monotonic()
                )
                statuses = {
                    (await world.ask(Request_Id=f"r{number}", Affinity_Key=str(number)))[0]
                    for number in range(8)
                }
        assert statuses <= {502, 503}
        assert 502 in statuses
