"""Refusals that don't identify the request that they refuse."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time

import pytest
from entry_world import reply, running, shed
from raw_server import GOOD, RawConnection, raw_server
from steering_world import T0, make_route, make_server

from radishbridge.entry.sent_ids import GENERATION_IDS_MAX, KEPT_S, SentIds

REFUSAL = (
    "HTTP/1.1 503 Busy\r\n{id}Not-Executed: 1\r\nServer-Load: 3,1,4\r\nContent-Length: 0\r\n\r\n"
)
WITH_ID = REFUSAL.replace("{id}", "Request-Id: {id}\r\n")
WITHOUT_ID = REFUSAL.replace("{id}", "")
MISDIRECTED = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
TRAILER = "HTTP/1.1 503 Busy\r\n{head}Transfer-Encoding: chunked\r\n\r\n0\r\n{trailer}\r\n"
ID, STATEMENT = "Request-Id: {id}\r\n", "Not-Executed: 1\r\n"
UNCLEAR = {
    "no id": WITHOUT_ID,
    "statement denied": REFUSAL.replace("{id}", "Request-Id: {id}\r\nNot-Executed: false\r\n"),
    "misdirected without id": MISDIRECTED,
    "two ids": REFUSAL.replace("{id}", "Request-Id: r8\r\n" + ID),
    "id in a trailer": TRAILER.replace("{head}", STATEMENT).replace("{trailer}", ID),
    "statement in a trailer": TRAILER.replace("{head}", ID).replace("{trailer}", STATEMENT),
    "statement in an interim response": (
        f"HTTP/1.1 103 Early\r\n{ID}{STATEMENT}\r\n"
        f"HTTP/1.1 503 Busy\r\n{ID}Content-Length: 0\r\n\r\n"
    ),
    "id in an interim response": f"HTTP/1.1 103 Early\r\n{ID}\r\n" + WITHOUT_ID,
    "names of two servers": (
        f"HTTP/1.1 421 Misdirected\r\n{ID}Instance-Id: i-2\r\nInstance-Id: i-3\r\n"
        "Content-Length: 0\r\n\r\n"
    ),
}
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

    @pytest.mark.parametrize(("status", "answer"), [(200, 200), (302, 502), (500, 502), (504, 502)])
    async def test_a_statement_with_the_status_of_a_request_that_ran(self, status, answer):
        contradicting = reply(status, Not_Executed="1")
        async with running(contradicting, contradicting, route=ONCE) as (world, backends):
            assert (await world.request(method="POST"))[0] == answer
            assert sum(len(backend.requests) for backend in backends) == 1

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


class TestIdUsedAgain:
    """A late copy of the refusal of an earlier request arrives while one with the same id runs.

    If it were taken for a refusal of that request, the request would be retried and run twice, or
    its caller would be told that it did not run.
    """

    @pytest.mark.parametrize("servers", [1, 2])
    async def test_a_copy_of_a_refusal_proves_nothing(self, servers):
        executed: list[str] = []
        refuses = True

        async def serve(connection: RawConnection, request_id: str) -> None:
            if request_id == "r9":
                connection.write(WITH_ID, request_id)
            if not refuses:
                executed.append(request_id)
                await asyncio.sleep(0.1)
                connection.write(GOOD, request_id)

        async with contextlib.AsyncExitStack() as stack:
            world, _ = await stack.enter_async_context(running(route=ONCE))
            selector = world.steering_state.selector
            for number in range(servers):
                raw = await stack.enter_async_context(raw_server(serve))
                selector.put(make_server(number, address=raw.address), time.monotonic())
            statuses = [(await world.request(method="POST", Request_Id="r9"))[0]]
            refuses = False
            statuses.append((await world.request(method="POST", Request_Id="r9"))[0])
            assert statuses == [503, 502]
            assert executed == ["r9"]
            # The response to r9 is still to come, and must not meet the next request.
            assert (await world.request(method="POST", Request_Id="r10"))[0] == 200

    @pytest.mark.parametrize("first", [WITH_ID, GOOD])
    async def test_a_copy_on_a_kept_connection_meets_no_request_with_its_id(self, first):
        # Two servers have one address, so that the second attempt would use the connection of the
        # first one; so would a second request.
        executed: list[str] = []

        async def serve(connection: RawConnection, request_id: str) -> None:
            connection.write(first, request_id)
            if connection.requests > 1:
                executed.append(request_id)

        async with raw_server(serve) as raw, running(route=ONCE) as (world, _):
            for number in range(2):
                server = make_server(number, address=raw.address)
                world.steering_state.selector.put(server, time.monotonic())
            for _ in range(2):
                await world.request(method="POST", Request_Id="r9")
        assert executed == []

    async def test_callers_cannot_have_a_server_ejected(self):
        refusing = reply(503, b"", Not_Executed="1", Server_Load="3,1,4")
        async with running(refusing, route=ONCE) as (world, _):
            statuses = [(await world.request(Request_Id="r9"))[0] for _ in range(4)]
            (state,) = world.steering_state.selector.states.values()
        assert statuses == [503, 502, 502, 502]
        assert (state.ejections, state.consecutive_failures) == (0, 0)

    async def test_attempts_of_one_request_have_one_sender(self):
        async with running(shed(), shed(), reply(), route=ONCE) as (world, _):
            answers = [(await world.request(Affinity_Key=str(n)))[0] for n in range(6)]
        assert answers == [200] * 6


class TestSentIds:
    """Ids are forgotten too early, or kept without bound."""

    def test_an_id_is_remembered_for_its_time(self):
        ids = SentIds()
        ids.record("r9", 1, T0)
        ids.record("r8", 2, T0 + KEPT_S)
        ids.record("r9", 3, T0 + 2.0 * KEPT_S - 0.1)
        assert [ids.has_another_sender("r9", sender) for sender in (1, 3)] == [True, True]
        assert not ids.has_another_sender("r8", 2)

    def test_memory_is_bounded_in_size(self):
        ids = SentIds()
        for number in range(1, 2 + 2 * GENERATION_IDS_MAX):
            ids.record(f"r{number}", number, T0)
        assert len(ids.current) + len(ids.previous) <= 2 * GENERATION_IDS_MAX
        assert not ids.has_another_sender("r1", 0)

    def test_an_id_is_forgotten(self):
        ids = SentIds()
        for number in range(3):
            ids.record(f"r{number}", number, T0 + number * KEPT_S)
        assert not ids.has_another_sender("r0", 9)


class TestRefusalOfAnotherRequest:
    """A server sends a refusal that does not identify its request while it runs the next one.

    If the refusal were taken for that request's, the request would be retried and run twice.
    """

    @pytest.mark.parametrize("refusal", UNCLEAR.values(), ids=UNCLEAR)
    async def test_a_running_request_is_neither_retried_nor_reported_as_not_run(self, refusal):
        executed: list[str] = []

        async def serve(connection: RawConnection, request_id: str) -> None:
            executed.append(request_id)
            connection.write(refusal, request_id)
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

    async def test_a_request_without_an_id_uses_a_connection_of_its_own(self):
        executed: list[int] = []

        async def serve(connection: RawConnection, request_id: str) -> None:
            connection.write(WITHOUT_ID)
            if connection.requests > 1:
                executed.append(connection.requests)

        async with raw_server(serve) as raw, running(route=ONCE) as (world, _):
            server = make_server(0, address=raw.address)
            world.steering_state.selector.put(server, time.monotonic())
            statuses = [(await world.request(method="POST", Request_Id=""))[0] for _ in range(3)]
        assert (statuses, executed) == ([503] * 3, [])

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
