"""Refusals that don't identify the request that they refuse."""

from __future__ import annotations

import asyncio
import logging
import time

import pytest
from entry_world import reply, running, shed
from raw_server import GOOD, RawConnection, raw_server
from steering_world import make_route, make_server

REFUSAL = (
    "HTTP/1.1 503 Busy\r\n{id}Not-Executed: 1\r\nServer-Load: 3,1,4\r\nContent-Length: 0\r\n\r\n"
)
WITHOUT_ID = REFUSAL.replace("{id}", "")
MISDIRECTED = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
ONCE = make_route(timeout_s=3.0, attempts=3, repeatable=False)


class TestStatusWithoutAStatement:
    """A server ran the request, or may have, and answers with a status that promises otherwise.

    If the status were passed on or taken for a refusal, the caller would send the request again.
    """

    @pytest.mark.parametrize("headers", [{}, {"Instance_Id": "server-0"}])
    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    async def test_a_request_that_may_run_once_is_neither_retried_nor_refused(
        self, caplog, status, headers
    ):
        caplog.set_level(logging.INFO)
        async with running(reply(status, **headers), route=ONCE) as (world, backends):
            answer, _, received = await world.request(method="POST", Request_Id="r9")
        assert (answer, len(backends[0].requests)) == (502, 1)
        assert "Response-Signature" not in received
        (line,) = [vars(one) for one in caplog.records if getattr(one, "id", "") == "r9"]
        assert line["reason"] == "the server did not state that the request did not run"

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    async def test_a_repeatable_request_is_retried_and_not_refused(self, status):
        async with running(reply(status), reply()) as (world, backends):
            answers = [(await world.request(Affinity_Key=str(n)))[0] for n in range(6)]
            assert answers == [200] * 6
            assert backends[0].requests
        async with running(reply(status), reply(status)) as (world, backends):
            assert (await world.request())[0] == 502
            assert [len(backend.requests) for backend in backends] == [1, 1]

    @pytest.mark.parametrize("headers", [{"Not_Executed": "1"}, {"Instance_Id": "i-other"}])
    async def test_misdirected_request_is_retried(self, headers):
        async with running(reply(421, **headers), reply(), route=ONCE) as (world, _):
            answers = [
                (await world.request(method="POST", Affinity_Key=str(n)))[0] for n in range(6)
            ]
        assert answers == [200] * 6


class TestRefusalOfAnotherRequest:
    """A server sends a refusal without a request id while it runs the next request.

    If the refusal were taken for that request's, the request would be retried and run twice.
    """

    @pytest.mark.parametrize("refusal", [WITHOUT_ID, MISDIRECTED])
    async def test_a_running_request_is_neither_retried_nor_reported_as_not_run(self, refusal):
        executed: list[str] = []

        async def serve(connection: RawConnection, request_id: str) -> None:
            executed.append(request_id)
            connection.write(refusal)
            await asyncio.sleep(0.1)
            connection.write(GOOD, request_id)

        async with raw_server(serve) as one, raw_server(serve) as other:
            async with running(route=ONCE) as (world, _):
                for number, raw in enumerate((one, other)):
                    server = make_server(number, address=raw.address)
                    world.steering_state.selector.put(server, time.monotonic())
                status, *_ = await world.request(method="POST", Request_Id="r9")
        assert executed == ["r9"]
        assert status == 502

    async def test_a_refusal_with_the_requests_id_is_passed_on(self):
        async with running(shed(), route=ONCE) as (world, _):
            status, *_ = await world.request(method="POST", Request_Id="r9")
        assert status == 503

    async def test_a_refused_second_attempt_does_not_hide_that_the_first_may_have_run(self):
        # One server closes the connection, the other one refuses the request.
        async def serve(connection: RawConnection, request_id: str) -> None:
            connection.writer.close()

        async with raw_server(serve) as raw:
            route = make_route(timeout_s=3.0, attempts=2)
            async with running(shed(), route=route) as (world, _):
                world.steering_state.selector.put(
                    make_server(1, address=raw.address), time.monotonic()
                )
                statuses = {
                    (await world.request(Request_Id=f"r{number}", Affinity_Key=str(number)))[0]
                    for number in range(8)
                }
        assert statuses <= {502, 503}
        assert 502 in statuses
