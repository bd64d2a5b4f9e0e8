"""Responses that say that a request did not run, and what proves it."""

from __future__ import annotations

import logging

import pytest
from entry_world import reply, running, shed
from steering_world import make_route

from radishbridge.entry.context import AbandonedAttempt

ONCE = make_route(timeout_s=3.0, attempts=3, repeatable=False)


class TestEvidenceInTheLog:
    """On-call engineers must see who decided that a refused request did not run, and why.

    Without it, a server's own status, a refusal that belongs to another request and a refusal by
    the host itself look the same in the log.
    """

    @pytest.mark.parametrize(
        ("responders", "evidence", "answers"),
        [
            ([], "not sent", []),
            ([shed()], "server statement", [(503, True, 1)]),
            ([shed(), shed()], "server statement", [(503, True, 1), (503, True, 1)]),
        ],
    )
    async def test_who_decided_and_why(self, caplog, responders, evidence, answers):
        caplog.set_level(logging.INFO)
        async with running(*responders, route=ONCE) as (world, _):
            status, *_ = await world.request(method="POST", Request_Id="refused")
            registry = world.forwarder.access_log.registry
        assert status == 503
        (line,) = [vars(one) for one in caplog.records if getattr(one, "id", "") == "refused"]
        assert line["evidence"] == evidence
        assert [attempt["answer"] for attempt in line["attempts"]] == answers
        labels = {"status": "503", "evidence": evidence}
        assert registry.get_sample_value("radishbridge_refusals_total", labels) == 1.0

    async def test_lines_of_sent_requests_have_a_budget_of_their_own(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(shed(), route=ONCE) as (world, _):
            world.forwarder.access_log.lines.burst = 0.0
            world.forwarder.access_log.lines.tokens = 0.0
            await world.request(method="POST", Request_Id="refused")
        assert [one for one in caplog.records if getattr(one, "id", "") == "refused"]

    @pytest.mark.parametrize(
        ("unacknowledged", "delivered"), [(0, "yes"), (7, "unacknowledged"), (None, "unknown")]
    )
    def test_missing_acknowledgements_prove_nothing(self, unacknowledged, delivered):
        assert AbandonedAttempt("server-0", 1, unacknowledged).delivered == delivered

    async def test_other_responses_have_no_evidence(self, caplog):
        caplog.set_level(logging.INFO)
        async with running(reply(500), route=ONCE) as (world, _):
            await world.request(method="POST", Request_Id="failed")
        (line,) = [vars(one) for one in caplog.records if getattr(one, "id", "") == "failed"]
        assert "evidence" not in line
