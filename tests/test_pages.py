from __future__ import annotations

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PROMISES = (ROOT / "docs/PROMISES.md").read_text()
ARCHITECTURE = (ROOT / "docs/ARCHITECTURE.md").read_text()
TESTS = sorted(set(re.findall(r"`(tests/\w+\.py)::(\w+)`", PROMISES)))
FILES = sorted(set(re.findall(r"`((?:packages|features|docs)/[\w./-]+)`", PROMISES)))
MODULES = sorted(set(re.findall(r"`(\w+/\w+\.py)`", ARCHITECTURE)))


class TestPromisesPage:
    @pytest.mark.parametrize(("path", "name"), TESTS)
    def test_names_tests_that_exist(self, path: str, name: str) -> None:
        assert f"class {name}:" in (ROOT / path).read_text()

    @pytest.mark.parametrize("path", FILES)
    def test_names_files_that_exist(self, path: str) -> None:
        assert (ROOT / path).exists()

    def test_names_tests_and_files(self) -> None:
        assert len(TESTS) > 20
        assert len(FILES) > 10


class TestArchitecturePage:
    @pytest.mark.parametrize("module", MODULES)
    def test_names_modules_that_exist(self, module: str) -> None:
        package, name = module.split("/")
        assert (ROOT / f"packages/{package}/src/radishbridge/{package}/{name}").exists()
