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
FAULTY = """[
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
            assert await fleet.client("apply", records, "--json") == ExitCode.OK
            assert fleet.spec("rate", "school-17") == RATE
        result = json.loads(capsys.readouterr().out)
        assert [record["change"] for record in result["records"]] == ["created", "created"]
        assert [host["state"] for host in result["hosts"]] == ["in force", "in force"]

    async def test_an_unchanged_record_is_not_written(self, records: str) -> None:
        async with fake_fleet() as fleet:
            await fleet.client("apply", records)
            assert await fleet.client("apply", records) == ExitCode.OK
            assert (fleet.store.revision, fleet.store.calls["put"]) == (2, 2)

    async def test_a_fault_in_one_record_leaves_all_unwritten(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = tmp_path / "r.jsonc"
        file.write_text(FAULTY)
        path = str(file)
        async with fake_fleet() as fleet:
            assert await fleet.client("apply", path) == ExitCode.USAGE
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
    async def test_a_record_that_refers_to_a_missing_one_is_refused(
        self,
        kind: str,
        spec: dict[str, t.Any],
        field: str,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = write_records(tmp_path / "r.jsonc", (kind, "school-18", spec))
        async with fake_fleet() as fleet:
            assert await fleet.client("apply", path) == ExitCode.USAGE
            assert fleet.store.revision == 0
        assert field in capsys.readouterr().err

    async def test_fields_of_a_newer_client_are_kept(self, tmp_path: pathlib.Path) -> None:
        path = write_records(tmp_path / "r.jsonc", ("workspace", "school-17", {"title": "new"}))
        async with fake_fleet() as fleet:
            await fleet.put("workspace", "school-17", {"title": "old", "colour": "red"})
            assert await fleet.client("apply", path) == ExitCode.OK
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
            assert await fleet.client("apply", path) == ExitCode.USAGE
            assert fleet.store.revision == 1

    async def test_a_file_in_an_older_schema_meets_the_stored_newer_one(
        self, tmp_path: pathlib.Path
    ) -> None:
        old = {"kind": "rate", "name": "school-17", "schema": 1}
        old["spec"] = {"requests_per_minute": 600, "burst": 20}
        (tmp_path / "r.jsonc").write_text(json.dumps(old))
        async with fake_fleet() as fleet:
            await fleet.put("workspace", "school-17", {})
            await fleet.put("rate", "school-17", {"requests_per_second": 10.0, "burst": 20.0})
            assert await fleet.client("apply", str(tmp_path / "r.jsonc")) == ExitCode.OK
            assert fleet.store.revision == 2

    async def test_a_record_given_twice_is_refused(self, records: str) -> None:
        async with fake_fleet() as fleet:
            assert await fleet.client("apply", records, records) == ExitCode.USAGE
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
            await fleet.put("rate", "school-17", {**RATE, "burst": 5})
            await fleet.put("workspace", "school-17", {})
            assert await fleet.client("apply", path, "--expect-version", expected) == code
            assert fleet.spec("rate", "school-17")["burst"] == (20 if code == 0 else 5)
        shown = "- burst: 5\n+ burst: 20" in capsys.readouterr().err
        assert shown == (code is ExitCode.CONFLICT)

    @pytest.mark.parametrize("fault", ["lost_answers", "lost_requests", "late_writes"])
    async def test_an_unanswered_write_takes_effect_once(self, fault: str, records: str) -> None:
        async with fake_fleet() as fleet:
            fleet.store.faults = Faults(**{fault: 1})
            assert await fleet.client("apply", records) == ExitCode.OK
            assert fleet.store.revision == 2

    async def test_a_store_that_is_down_is_told_with_what_was_written(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            fleet.refused.extend([False, *[True] * 20])
            assert await fleet.client("apply", records) == ExitCode.UNAVAILABLE
        output = capsys.readouterr()
        assert "workspace/school-17: created, version 1" in output.out
        assert "not written: rate/school-17" in output.err
        assert "error 303 (STORE_UNAVAILABLE)" in output.err


class TestWait:
    async def _apply(self, fleet: FakeFleet, records: str) -> int:
        return await fleet.client("apply", records, "--timeout", "1.5")

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

    async def test_a_host_that_dies_and_is_taken_off_the_list_has_left(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            entry = fleet.hosts[1].entry()
            await fleet.hosts[1].server.close()
            asked: list[str] = []

            def drop_from_list() -> None:
                asked.append("host-1")
                fleet.store.set_hosts([one for one in fleet.store.visible_hosts() if one != entry])

            fleet.hosts[0].on_ask = drop_from_list
            assert await fleet.client("apply", records) == ExitCode.OK
            assert asked
        assert "host-2: left during the wait" in capsys.readouterr().out

    async def test_a_dead_host_that_stays_on_the_list_gives_no_answer(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            await fleet.hosts[1].server.close()
            assert await self._apply(fleet, records) == ExitCode.NOT_IN_FORCE
        assert "host-2 is on the platform's list but does not answer" in capsys.readouterr().err

    async def test_a_host_that_joins_is_waited_for(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet(3) as fleet:
            all_hosts = fleet.store.visible_hosts()
            fleet.store.set_hosts(all_hosts[:2])
            fleet.hosts[0].on_ask = lambda: fleet.store.set_hosts(all_hosts)
            fleet.hosts[1].lags = True
            fleet.hosts[2].lags = True
            assert await self._apply(fleet, records) == ExitCode.NOT_IN_FORCE
        output = capsys.readouterr()
        assert "in force on 1 of 3 live hosts" in output.out
        assert "host-3 lags: workspace/school-17 is at version 0" in output.err

    async def test_without_a_wait_no_host_is_asked(self, records: str) -> None:
        async with fake_fleet() as fleet:
            fleet.hosts[0].lags = True
            assert await fleet.client("apply", records, "--timeout", "0") == ExitCode.OK

    async def test_progress_goes_to_the_standard_error(
        self, records: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            await fleet.client("apply", records, "--progress")
        assert "in force on 2 of 2 hosts" in capsys.readouterr().err
