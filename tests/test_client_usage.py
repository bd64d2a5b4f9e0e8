from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest

from radishbridge.client import ExitCode, exit_code, run
from radishbridge.records import CODE_INFO, ResultCode


class TestUsage:
    @pytest.mark.parametrize(
        "argv", [["gett"], ["get", "nothing", "x"], ["get", "rate"], ["--nope"], ["key"], []]
    )
    async def test_a_wrong_command_line_gets_a_hint_and_exit_code_2(
        self, argv: list[str], capsys: pytest.CaptureFixture[str]
    ) -> None:
        with pytest.raises(SystemExit) as exit_:
            await run(argv)
        assert exit_.value.code == ExitCode.USAGE
        error = capsys.readouterr().err
        assert "error 501 (USAGE)" in error
        assert "--help` lists" in error

    async def test_reports_a_missing_store_url(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        monkeypatch.delenv("RADISHBRIDGE_STORE", raising=False)
        assert await run(["list", "--json"]) == ExitCode.USAGE
        assert json.loads(capsys.readouterr().err)["field"] == "--store"

    async def test_the_store_may_be_in_the_environment(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        monkeypatch.setenv("RADISHBRIDGE_STORE", "http://127.0.0.1:9")
        assert await run(["list"]) == ExitCode.UNAVAILABLE
        assert "error 303 (STORE_UNAVAILABLE)" in capsys.readouterr().err

    async def test_validate_needs_no_store(self, tmp_path: pathlib.Path) -> None:
        missing = tmp_path / "missing.jsonc"
        assert await run(["validate", str(missing)]) == ExitCode.USAGE

    @pytest.mark.parametrize("command", ["apply", "key issue", "drain start", "move start"])
    async def test_help_says_what_a_command_does(
        self, command: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with pytest.raises(SystemExit) as exit_:
            await run([*command.split(), "--help"])
        assert exit_.value.code == ExitCode.OK
        output = capsys.readouterr().out
        assert f"radishbridge {command}" in output
        assert ("no host" in output) == command.startswith(("drain", "move"))

    @pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
    def test_prints_completions_of_a_shell(self, shell: str) -> None:
        command = [sys.executable, "-m", "radishbridge.client", "--completion", "generate"]
        result = subprocess.run(
            command, env={"SHELL": shell, **_path()}, capture_output=True, text=True, check=False
        )
        assert (result.returncode, result.stderr) == (0, "")
        assert "radishbridge" in result.stdout


class TestExitCode:
    @pytest.mark.parametrize("code", [code for code in CODE_INFO if code is not ResultCode.OK])
    def test_every_failure_has_an_exit_code(self, code: ResultCode) -> None:
        assert exit_code(code) is not ExitCode.OK


def _path() -> dict[str, str]:
    return {"PYTHONPATH": ":".join(sys.path)}
