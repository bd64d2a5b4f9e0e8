from __future__ import annotations

import json
import pathlib
import typing as t

import pytest
from client_fleet import FakeFleet, fake_fleet, write_records

from radishbridge.client import ExitCode
from radishbridge.records import RejectedRecord
from radishbridge_standin.table import Faults, Write

RATE = {"requests_per_second": 10, "burst": 20}
INVALID_RECORDS = """[
  {"kind": "workspace", "name": "school-17"},
  {"kind": "rate", "name": "school-17", "spec": { // both numbers are wrong
    "requests_per_second": "many",
    "burst": "none"}}
]"""


@pytest.fixture
def records(tmp_path: pathlib.Path) -> str:
    workspace = ("workspace", "school-17", {"title": "School 17"})
    return write_records(tmp_path / "records.jsonc", workspace, ("rate", "school-17", RATE))


class TestApply:
    async def test_writes_and_waits_until_in_force(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            assert await fleet.run_client("apply", records, "--json") == ExitCode.OK
            assert fleet.spec("rate", "school-17") == RATE
        result = json.loads(capsys.readouterr().out)
        assert [record["change"] for record in result["records"]] == ["created", "created"]
        assert [host["state"] for host in result["hosts"]] == ["in force", "in force"]

    async def test_an_unchanged_record_is_not_written(self, records: str) -> None:
        async with fake_fleet() as fleet:
            await fleet.run_client("apply", records)
            assert await fleet.run_client("apply", records) == ExitCode.OK
            assert (fleet.store.revision, fleet.store.calls["put"]) == (2, 2)

    async def test_an_invalid_record_prevents_all_writes(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = tmp_path / "r.jsonc"
        file.write_text(INVALID_RECORDS)
        path = str(file)
        async with fake_fleet() as fleet:
            assert await fleet.run_client("apply", path) == ExitCode.USAGE
            assert fleet.store.revision == 0
        errors = capsys.readouterr().err.splitlines()
        start = f"error 201 (RECORD_INVALID): {path}:"
        assert [error.removeprefix(start).partition(": Expected")[0] for error in errors[:2]] == [
            "4: 1.spec.requests_per_second",
            "5: 1.spec.burst",
        ]

    @pytest.mark.parametrize(
        ("kind", "spec", "field"),
        [
            ("rate", RATE, "name: no workspace has this name"),
            ("key", {"workspace": "x", "digest": "0" * 64}, "workspace: no workspace"),
            ("client-blocks", {"family": 4, "sites": ["a"], "packed": ""}, "sites.0: no site"),
        ],
    )
    async def test_rejects_a_reference_to_a_missing_record(
        self,
        kind: str,
        spec: dict[str, t.Any],
        field: str,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = write_records(tmp_path / "r.jsonc", (kind, "school-18", spec))
        async with fake_fleet() as fleet:
            assert await fleet.run_client("apply", path) == ExitCode.USAGE
            assert fleet.store.revision == 0
        assert field in capsys.readouterr().err

    async def test_keeps_unknown_stored_fields(self, tmp_path: pathlib.Path) -> None:
        path = write_records(tmp_path / "r.jsonc", ("workspace", "school-17", {"title": "new"}))
        async with fake_fleet() as fleet:
            await fleet.put_record("workspace", "school-17", {"title": "old", "colour": "red"})
            assert await fleet.run_client("apply", path) == ExitCode.OK
            kept = {"title": "new", "colour": "red"}
            assert fleet.spec("workspace", "school-17") == kept

    async def test_a_record_of_a_newer_schema_is_not_overwritten(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = write_records(tmp_path / "r.jsonc", ("workspace", "school-17", {}))
        async with fake_fleet() as fleet:
            newer = b'{"schema": 99, "spec": {"title": "x"}}'
            fleet.store.write(
                Write(kind="workspace", name="school-17", value=newer, expected_version=0)
            )
            assert await fleet.run_client("apply", path) == ExitCode.USAGE
            assert fleet.store.revision == 1

    async def test_upgrades_a_file_in_an_older_schema_before_comparing(
        self, tmp_path: pathlib.Path
    ) -> None:
        old = {"kind": "rate", "name": "school-17", "schema": 1}
        old["spec"] = {"requests_per_minute": 600, "burst": 20}
        (tmp_path / "r.jsonc").write_text(json.dumps(old))
        async with fake_fleet() as fleet:
            await fleet.put_record("workspace", "school-17", {})
            await fleet.put_record(
                "rate", "school-17", {"requests_per_second": 10.0, "burst": 20.0}
            )
            assert await fleet.run_client("apply", str(tmp_path / "r.jsonc")) == ExitCode.OK
            assert fleet.store.revision == 2

    async def test_rejects_a_duplicate_record(self, records: str) -> None:
        async with fake_fleet() as fleet:
            assert await fleet.run_client("apply", records, records) == ExitCode.USAGE
            assert fleet.store.revision == 0

    @pytest.mark.parametrize(
        ("expected", "code"),
        [("1", ExitCode.OK), ("0", ExitCode.CONFLICT), ("9", ExitCode.CONFLICT)],
    )
    async def test_writes_only_over_the_expected_version(
        self,
        expected: str,
        code: ExitCode,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = write_records(tmp_path / "r.jsonc", ("rate", "school-17", RATE))
        async with fake_fleet() as fleet:
            await fleet.put_record("rate", "school-17", {**RATE, "burst": 5})
            await fleet.put_record("workspace", "school-17", {})
            assert await fleet.run_client("apply", path, "--expect-version", expected) == code
            assert fleet.spec("rate", "school-17")["burst"] == (20 if code == 0 else 5)
        shown = "- burst: 5\n+ burst: 20" in capsys.readouterr().err
        assert shown == (code is ExitCode.CONFLICT)

    @pytest.mark.parametrize("fault", ["lost_answers", "lost_requests", "late_writes"])
    async def test_an_unanswered_write_takes_effect_once(self, fault: str, records: str) -> None:
        async with fake_fleet() as fleet:
            fleet.store.faults = Faults(**{fault: 1})
            assert await fleet.run_client("apply", records) == ExitCode.OK
            assert fleet.store.revision == 2

    async def test_reports_the_written_records_when_the_store_fails(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            fleet.write_refusals.extend([False, *[True] * 20])
            assert await fleet.run_client("apply", records) == ExitCode.UNAVAILABLE
        output = capsys.readouterr()
        assert "workspace/school-17: created, version 1" in output.out
        assert "not written: rate/school-17" in output.err
        assert "error 303 (STORE_UNAVAILABLE)" in output.err


class TestWait:
    async def _apply(self, fleet: FakeFleet, records: str) -> int:
        return await fleet.run_client("apply", records, "--timeout", "1.5")

    async def test_names_the_host_that_lags_and_its_reason(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            fleet.hosts[1].lags = True
            fleet.hosts[1].rejected = [
                RejectedRecord(kind="rate", name="school-17", code=202, reason="schema 9")
            ]
            assert await self._apply(fleet, records) == ExitCode.NOT_IN_FORCE
        output = capsys.readouterr()
        assert "in force on 1 of 2 live hosts" in output.out
        assert "host-2 lags: rejected it, error 202: schema 9" in output.err
        assert "host-1" not in output.err

    async def test_a_dead_host_that_is_no_longer_listed_counts_as_left(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            entry = fleet.hosts[1].make_entry()
            await fleet.hosts[1].server.close()
            requests_seen: list[str] = []

            def remove_from_list() -> None:
                requests_seen.append("host-1")
                fleet.store.set_hosts(
                    [host for host in fleet.store.visible_hosts() if host != entry]
                )

            fleet.hosts[0].on_in_force_request = remove_from_list
            assert await fleet.run_client("apply", records) == ExitCode.OK
            assert requests_seen
        assert "host-2: left during the wait" in capsys.readouterr().out

    async def test_reports_a_dead_host_that_is_still_listed(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            await fleet.hosts[1].server.close()
            assert await self._apply(fleet, records) == ExitCode.NOT_IN_FORCE
        assert "host-2 is on the platform's list but does not answer" in capsys.readouterr().err

    async def test_waits_for_a_host_that_joins(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet(3) as fleet:
            all_hosts = fleet.store.visible_hosts()
            fleet.store.set_hosts(all_hosts[:2])
            fleet.hosts[0].on_in_force_request = lambda: fleet.store.set_hosts(all_hosts)
            fleet.hosts[1].lags = True
            fleet.hosts[2].lags = True
            assert await self._apply(fleet, records) == ExitCode.NOT_IN_FORCE
        output = capsys.readouterr()
        assert "in force on 1 of 3 live hosts" in output.out
        assert "host-3 lags: workspace/school-17 is at version 0" in output.err

    async def test_queries_no_host_without_a_wait(self, records: str) -> None:
        async with fake_fleet() as fleet:
            fleet.hosts[0].lags = True
            assert await fleet.run_client("apply", records, "--timeout", "0") == ExitCode.OK

    async def test_progress_goes_to_stderr(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            await fleet.run_client("apply", records, "--progress")
        assert "in force on 2 of 2 hosts" in capsys.readouterr().err
