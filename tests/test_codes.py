from __future__ import annotations

import pytest

from radishbridge.records import CODE_INFO, Execution, Failure, ResultCode


class TestResultCode:
    @pytest.mark.parametrize("code", list(ResultCode))
    def test_has_an_entry_in_the_table(self, code: ResultCode) -> None:
        assert CODE_INFO[code].summary.endswith(".")

    @pytest.mark.parametrize("code", [code for code in ResultCode if 100 < code < 200])
    def test_request_refusals_have_an_http_status(self, code: ResultCode) -> None:
        assert 400 <= CODE_INFO[code].http_status < 600
        assert CODE_INFO[code].execution in (Execution.NOT_RUN, Execution.MAY_HAVE_RUN)


class TestFailure:
    def test_is_false(self) -> None:
        assert not Failure(ResultCode.NOT_FOUND, "no such record")
