from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest


@pytest.fixture(scope="module")
def output_lines() -> list[str]:
    command = [sys.executable, "-m", "radishbridge_standin.demo"]
    result = subprocess.run(
        command, capture_output=True, text=True, cwd=pathlib.Path(__file__).parent, check=False
    )
    assert result.returncode == 0, result.stderr
    return result.stdout.splitlines()


class TestDemo:
    def test_serves_requests_through_every_host(self, output_lines: list[str]) -> None:
        assert "host-1: cat-1 answered 20" in output_lines
        assert "host-2: cat-2 answered 20" in output_lines
        assert "host-3: cat-3 answered 20" in output_lines

    def test_shows_the_operators_commands_and_ends(self, output_lines: list[str]) -> None:
        assert "host-1 would forward the request to service catalogue" in output_lines
        assert {f"host-{n}: error 103, not run: 20" for n in (1, 2, 3)} <= set(output_lines)
        assert "3 of 3 hosts as they should be" in output_lines
        assert output_lines[-1] == "All processes have ended."
