from __future__ import annotations

import pathlib
import subprocess
import sys


class TestDemo:
    def test_serves_requests_through_every_host(self) -> None:
        command = [sys.executable, "-m", "radishbridge_standin.demo"]
        result = subprocess.run(
            command, capture_output=True, text=True, cwd=pathlib.Path(__file__).parent, check=False
        )
        assert result.returncode == 0, result.stderr
        lines = result.stdout.splitlines()
        assert "host-1: cat-1 answered 20" in lines
        assert "host-2: cat-2 answered 20" in lines
        assert "host-3: cat-3 answered 20" in lines
