from __future__ import annotations

import json
import pathlib
import typing as t

import pytest
from client_fleet import SERVICE, fake_fleet, write_records

from radishbridge.client import ExitCode
from radishbridge.records import KINDS, SCHEMA_VERSIONS

SPECS: dict[str, dict[str, t.Any]] = {
    "workspace": {"title": "School 17"},
    "key": {"workspace": "school-17", "digest": "0" * 64},
    "rate": {"requests_per_second": 10.0, "burst": 20.0},
    "service": SERVICE,
    "link": {"from_region": "a", "to_region": "b", "bytes_per_second": 1000},
    "drain": {"scope": "region", "target": "r"},
    "move": {"service": "catalogue", "from_version": "1", "to_version": "2"},
    "client-blocks": {"family": 4, "sites": [], "packed": ""},
    "site": {"data_centers": ["d"]},
}


class TestEveryKind:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_is_applied_read_back_and_deleted(
        self, kind: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = write_records(tmp_path / "r.jsonc", (kind, "one", SPECS[kind]))
        async with fake_fleet(1) as fleet:
            for name in ("one", "school-17"):
                await fleet.put_record("workspace", name, {"title": "others refer to it"})
            await fleet.put_record("service", "catalogue", SERVICE)
            assert await fleet.run_client("validate", path) == ExitCode.OK
            assert await fleet.run_client("diff", path) == ExitCode.DIFFERENT
            assert await fleet.run_client("apply", path) == ExitCode.OK
            assert await fleet.run_client("diff", path) == ExitCode.OK
            capsys.readouterr()
            await fleet.run_client("get", kind, "one")
            printed = tmp_path / "printed.jsonc"
            printed.write_text(capsys.readouterr().out)
            assert await fleet.run_client("diff", str(printed)) == ExitCode.OK
            assert await fleet.run_client("delete", kind, "one") == ExitCode.OK
            assert fleet.value(kind, "one") == {
                "schema": SCHEMA_VERSIONS[kind],
                "deleted": True,
                "spec": {},
            }
            assert await fleet.run_client("get", kind, "one") == ExitCode.NOT_FOUND
            assert await fleet.run_client("apply", path) == ExitCode.OK
            assert fleet.spec(kind, "one") == SPECS[kind]


class TestList:
    async def test_leaves_out_tombstones_unless_asked(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet(1) as fleet:
            await fleet.put_record("site", "a", {"data_centers": []})
            await fleet.put_record("site", "b", {"data_centers": []})
            await fleet.run_client("delete", "site", "a")
            capsys.readouterr()
            await fleet.run_client("list", "site", "--json")
            await fleet.run_client("list", "--deleted", "--json")
        short, full = map(json.loads, capsys.readouterr().out.splitlines())
        assert [record["name"] for record in short] == ["b"]
        assert [(record["name"], record["deleted"]) for record in full] == [
            ("a", True),
            ("b", False),
        ]


class TestDelete:
    async def test_deletes_only_the_expected_version(self) -> None:
        async with fake_fleet(1) as fleet:
            await fleet.put_record("site", "a", {"data_centers": []})
            command = ("delete", "site", "a", "--expect-version")
            assert await fleet.run_client(*command, "7") == ExitCode.CONFLICT
            assert await fleet.run_client(*command, "1") == ExitCode.OK


class TestDrain:
    async def test_start_list_stop(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with fake_fleet(1) as fleet:
            await fleet.put_record("service", "catalogue", SERVICE)
            start = ("drain", "start", "backend", "cat-1", "--service", "catalogue")
            assert await fleet.run_client(*start) == ExitCode.OK
            assert "do not report when the last one ends" in capsys.readouterr().out
            assert fleet.spec("drain", "backend-cat-1")["target"] == "cat-1"
            assert await fleet.run_client(*start) == ExitCode.CONFLICT
            assert await fleet.run_client("drain", "stop", "backend-cat-1") == ExitCode.OK
            assert fleet.value("drain", "backend-cat-1")["deleted"]
            assert await fleet.run_client(*start) == ExitCode.OK

    @pytest.mark.parametrize(
        ("arguments", "reason"),
        [
            (["backend", "cat-1"], "--service: a backend server needs its service"),
            (["backend", "cat-9", "--service", "catalogue"], "target: no backend server"),
            (["backend", "cat-1", "--service", "images"], "service: no service has this name"),
            (["region", "r", "--deadline", "-1"], "deadline_s: "),
        ],
    )
    async def test_rejects_an_invalid_drain(
        self, arguments: list[str], reason: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet(1) as fleet:
            await fleet.put_record("service", "catalogue", SERVICE)
            assert await fleet.run_client("drain", "start", *arguments) == ExitCode.USAGE
            assert fleet.store.revision == 1
        assert reason in capsys.readouterr().err


class TestMove:
    async def test_start_and_list(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with fake_fleet(1) as fleet:
            await fleet.put_record("service", "catalogue", SERVICE)
            start = ("move", "start", "catalogue", "--to", "2")
            assert await fleet.run_client(*start) == ExitCode.OK
            assert "do not move traffic yet" in capsys.readouterr().out
            assert await fleet.run_client(*start) == ExitCode.CONFLICT
            assert await fleet.run_client("move", "list", "--json") == ExitCode.OK
        (move,) = json.loads(capsys.readouterr().out)
        assert (move["from_version"], move["to_version"]) == ("1", "2")

    @pytest.mark.parametrize(
        "options", [["--to", "1"], ["--to", "3"], ["--to", "2", "--step", "2"]]
    )
    async def test_rejects_an_invalid_move(self, options: list[str]) -> None:
        async with fake_fleet(1) as fleet:
            await fleet.put_record("service", "catalogue", SERVICE)
            assert await fleet.run_client("move", "start", "catalogue", *options) == ExitCode.USAGE
            assert fleet.store.revision == 1
