from __future__ import annotations

import pathlib

import pytest

from radishbridge.records import CODE_INFO, Execution, Failure, ResultCode


class TestResultCode:
    @pytest.mark.parametrize("code", list(ResultCode))
    def test_has_a_description(self, code: ResultCode) -> None:
        assert CODE_INFO[code].summary.endswith(".")

    @pytest.mark.parametrize("code", [code for code in ResultCode if 100 < code < 200])
    def test_codes_of_requests_have_an_http_status(self, code: ResultCode) -> None:
        assert 400 <= CODE_INFO[code].http_status < 600
        ran = Execution.RUN if code is ResultCode.ALREADY_RUN else Execution.MAY_HAVE_RUN
        assert CODE_INFO[code].execution in (Execution.NOT_RUN, ran)


def documented_rows() -> list[list[str]]:
    page = pathlib.Path(__file__).parent.parent / "docs" / "RESULT-CODES.md"
    lines = [line for line in page.read_text().splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines[2:]]


class TestResultCodesPage:
    @pytest.mark.parametrize("code", list(ResultCode), ids=lambda code: code.name)
    def test_lists_each_code(self, code: ResultCode) -> None:
        info = CODE_INFO[code]
        status = str(info.http_status or "-")
        expected = [str(int(code)), f"`{code.name}`", info.execution.value, status, info.summary]
        assert expected in [row[:5] for row in documented_rows()]

    def test_lists_no_other_code(self) -> None:
        names = [f"`{code.name}`" for code in ResultCode]
        assert [row[1] for row in documented_rows()] == names

    def test_recommends_an_action_for_each_code(self) -> None:
        assert all(len(row) == 6 and row[5].endswith(".") for row in documented_rows())


class TestFailure:
    def test_is_false(self) -> None:
        assert not Failure(ResultCode.NOT_FOUND, "no such record")
