from __future__ import annotations

import json
import pathlib
import re
import sys

import pytest
from client_fleet import FakeFleet, fake_fleet

from radishbridge.client import ExitCode

RATE = {"requests_per_second": 10.0, "burst": 20.0}

EDITOR = """
import pathlib, sys, urllib.request
path = pathlib.Path(sys.argv[1])
old, new, url, body = {arguments!r}
text = path.read_text()
assert old in text, text
path.write_text(text.replace(old, new))
if url:
    headers = {{"If-Match": '"1"'}}
    request = urllib.request.Request(url, body.encode(), headers, method="PUT")
    urllib.request.urlopen(request).read()
"""


class EditRunner:
    """Runs ``edit`` with an editor that replaces text and can write as another operator."""

    def __init__(self, directory: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.script = directory / "editor.py"
        monkeypatch.setenv("EDITOR", f"{sys.executable} {self.script}")
        monkeypatch.delenv("VISUAL", raising=False)
        monkeypatch.setenv("TMPDIR", str(directory))
        monkeypatch.setattr("tempfile.tempdir", str(directory))

    async def run(
        self, fleet: FakeFleet, old: str, new: str, theirs: dict[str, float], *options: str
    ) -> int:
        await fleet.put_record("rate", "school-17", RATE)
        url = f"{fleet.url}/v1/objects/rate/school-17" if theirs else ""
        body = json.dumps({"schema": 2, "spec": RATE | theirs})
        self.script.write_text(EDITOR.format(arguments=(old, new, url, body)))
        return await fleet.run_client("edit", "rate", "school-17", *options)


@pytest.fixture
def edit_runner(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> EditRunner:
    return EditRunner(tmp_path, monkeypatch)


def read_kept_draft(error: str) -> str:
    found = re.search(r"your text is in (\S+);", error)
    assert found, error
    return pathlib.Path(found[1]).read_text()


class TestEdit:
    async def test_writes_the_edited_record(self, edit_runner: EditRunner) -> None:
        async with fake_fleet() as fleet:
            assert await edit_runner.run(fleet, "20.0", "30.0", {}) == ExitCode.OK
            assert fleet.spec("rate", "school-17") == RATE | {"burst": 30.0}

    async def test_an_unchanged_record_is_not_written(self, edit_runner: EditRunner) -> None:
        async with fake_fleet() as fleet:
            assert await edit_runner.run(fleet, "20.0", "20.0", {}) == ExitCode.OK
            assert fleet.store.revision == 1

    async def test_a_conflict_shows_both_changes_and_keeps_the_draft(
        self, edit_runner: EditRunner, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            code = await edit_runner.run(fleet, "20.0", "30.0", {"burst": 99.0}, "--merge")
            assert code == ExitCode.CONFLICT
            assert fleet.spec("rate", "school-17") == RATE | {"burst": 99.0}
        error = capsys.readouterr().err
        assert "+ burst: 99.0" in error
        assert "+ burst: 30.0" in error
        assert "both changed burst" in error
        assert '"burst": 30.0' in read_kept_draft(error)

    async def test_merges_changes_to_different_fields_with_the_merge_option(
        self, edit_runner: EditRunner
    ) -> None:
        async with fake_fleet() as fleet:
            theirs = {"requests_per_second": 11.0}
            assert await edit_runner.run(fleet, "20.0", "30.0", theirs, "--merge") == ExitCode.OK
            assert fleet.spec("rate", "school-17") == theirs | {"burst": 30.0}

    async def test_merges_nothing_without_confirmation(
        self, edit_runner: EditRunner, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            theirs = {"requests_per_second": 11.0}
            assert await edit_runner.run(fleet, "20.0", "30.0", theirs) == ExitCode.CONFLICT
            assert fleet.spec("rate", "school-17") == RATE | theirs
        assert '"burst": 30.0' in read_kept_draft(capsys.readouterr().err)

    async def test_keeps_an_invalid_draft_without_writing_it(
        self, edit_runner: EditRunner, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            assert await edit_runner.run(fleet, "20.0", '"many"', {}) == ExitCode.USAGE
            assert fleet.store.revision == 1
        assert '"many"' in read_kept_draft(capsys.readouterr().err)

    async def test_keeps_the_draft_when_the_store_is_unavailable(
        self, edit_runner: EditRunner, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            fleet.write_refusals.extend([True] * 20)
            assert await edit_runner.run(fleet, "20.0", "30.0", {}) == ExitCode.UNAVAILABLE
        assert '"burst": 30.0' in read_kept_draft(capsys.readouterr().err)
