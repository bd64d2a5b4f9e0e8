from __future__ import annotations

import json

import pytest
from client_fleet import fake_fleet

from radishbridge.client import ExitCode
from radishbridge.records import key_digest


class TestKeyIssue:
    async def test_shows_the_secret_once_and_stores_its_digest(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            await fleet.put_record("workspace", "school-17", {})
            assert await fleet.run_client("key", "issue", "school-17", "--json") == ExitCode.OK
            issued = json.loads(capsys.readouterr().out)
            assert fleet.spec("key", issued["name"])["digest"] == key_digest(issued["secret"])
            for command in (["key", "list"], ["get", "key", issued["name"]], ["list"]):
                await fleet.run_client(*command)
            values = [bytes(stored.value).decode() for stored in fleet.store.objects.values()]
        assert issued["secret"] not in capsys.readouterr().out + "".join(values)

    async def test_needs_an_existing_workspace(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with fake_fleet() as fleet:
            assert await fleet.run_client("key", "issue", "school-18") == ExitCode.USAGE
            assert fleet.store.revision == 0
        output = capsys.readouterr()
        assert output.out == ""
        assert "workspace: no workspace has this name" in output.err

    async def test_never_replaces_a_key(self) -> None:
        async with fake_fleet() as fleet:
            await fleet.put_record("workspace", "school-17", {})
            command = ("key", "issue", "school-17", "--name", "a")
            assert await fleet.run_client(*command) == ExitCode.OK
            first = fleet.spec("key", "a")
            assert await fleet.run_client(*command) == ExitCode.CONFLICT
            await fleet.run_client("delete", "key", "a")
            assert await fleet.run_client(*command) == ExitCode.CONFLICT
            assert fleet.value("key", "a")["deleted"]
            assert first["withdrawn"] is False

    async def test_shows_no_secret_where_nothing_was_stored(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            await fleet.put_record("workspace", "school-17", {})
            fleet.write_refusals.extend([True] * 20)
            assert await fleet.run_client("key", "issue", "school-17") == ExitCode.UNAVAILABLE
        assert capsys.readouterr().out == ""


class TestKeyWithdraw:
    async def test_keeps_the_digest_and_unknown_fields(self) -> None:
        async with fake_fleet() as fleet:
            spec = {"workspace": "school-17", "digest": "d" * 64, "note": "of a newer client"}
            await fleet.put_record("key", "a", spec)
            assert await fleet.run_client("key", "withdraw", "a") == ExitCode.OK
            assert fleet.spec("key", "a") == spec | {"withdrawn": True}
            assert await fleet.run_client("key", "withdraw", "a") == ExitCode.OK
            assert fleet.store.revision == 2

    async def test_says_which_host_may_still_admit_the_key(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            await fleet.put_record("key", "a", {"workspace": "school-17", "digest": "d" * 64})
            fleet.hosts[0].lags = True
            code = await fleet.run_client("key", "withdraw", "a", "--timeout", "0.5")
            assert code == ExitCode.NOT_IN_FORCE
        assert "host-1 lags" in capsys.readouterr().err

    async def test_reports_a_missing_key(self) -> None:
        async with fake_fleet() as fleet:
            assert await fleet.run_client("key", "withdraw", "a") == ExitCode.NOT_FOUND
