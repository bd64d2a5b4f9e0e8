from __future__ import annotations

import asyncio
import json
import pathlib

import pytest
from client_fleet import FakeFleet, current_time_s, fake_fleet
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.client import MAX_CONCURRENT_REQUESTS, ExitCode, sum_burn
from radishbridge.records import BurnCount, BurnReport, RejectedRecord


def count(workspace: str, start_s: int, good: int, bad: int) -> BurnCount:
    return BurnCount(
        workspace=workspace, service="s", start_s=start_s, good=good, bad=bad, over_rate=1
    )


class TestStatus:
    async def test_shows_every_host(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with fake_fleet() as fleet:
            assert await fleet.run_client("status") == ExitCode.OK
        assert "2 of 2 hosts as they should be" in capsys.readouterr().out

    @pytest.mark.parametrize("fault", ["dead", "rejects"])
    async def test_reports_an_unhealthy_host(
        self, fault: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            if fault == "dead":
                await fleet.hosts[1].server.close()
            else:
                rejected = RejectedRecord(kind="site", name="a", code=202, reason="schema 9")
                fleet.hosts[1].rejected = [rejected]
            assert await fleet.run_client("status") == ExitCode.DEGRADED
        output = capsys.readouterr().out
        assert "1 of 2 hosts as they should be" in output
        assert ("no answer: host-2" if fault == "dead" else "host-2 rejected site/a") in output

    async def test_watch_repeats_the_status(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with fake_fleet() as fleet:
            await fleet.run_client("status", "--watch", "--interval", "0", "--count", "3", "--json")
        rounds = capsys.readouterr().out.splitlines()
        assert [len(json.loads(line)) for line in rounds] == [2, 2, 2]

    async def test_opens_a_bounded_number_of_connections(self) -> None:
        async with fake_fleet(1) as fleet:
            open_connections, peak_connections = 0, 0

            async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                nonlocal open_connections, peak_connections
                open_connections += 1
                peak_connections = max(peak_connections, open_connections)
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.01)
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                await reader.read()
                open_connections -= 1
                writer.close()

            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            entry = fleet.hosts[0].make_entry()
            entry.admin_address = address
            fleet.store.set_hosts([entry] * 1100)
            assert await fleet.run_client("status", "--json") == ExitCode.DEGRADED
            server.close()
        assert 1 < peak_connections <= 2 * MAX_CONCURRENT_REQUESTS


class TestHosts:
    async def test_shows_the_platforms_list(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with fake_fleet() as fleet:
            leaving, live = fleet.store.visible_hosts()
            leaving.leaving = True
            fleet.store.set_hosts([leaving, live])
            assert await fleet.run_client("hosts", "--json") == ExitCode.OK
        assert [host["leaving"] for host in json.loads(capsys.readouterr().out)] == [True, False]


class TestExplain:
    async def test_uses_the_first_host_that_responds(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with fake_fleet() as fleet:
            await fleet.hosts[0].server.close()
            command = ("explain", "/catalogue/x", "--workspace", "school-17", "--method", "post")
            assert await fleet.run_client(*command) == ExitCode.OK
            query = {"path": "/catalogue/x", "method": "POST", "workspace": "school-17"}
            assert fleet.hosts[1].queries == [query]
        assert "host-2 would forward the request to service catalogue" in capsys.readouterr().out

    async def test_reports_that_no_host_responds(self) -> None:
        async with fake_fleet(1) as fleet:
            await fleet.hosts[0].server.close()
            assert await fleet.run_client("explain", "/x") == ExitCode.UNAVAILABLE
            assert await fleet.run_client("explain", "/x", "--host", "h") == ExitCode.NOT_FOUND


class TestReportBurn:
    def _set_counts(self, fleet: FakeFleet) -> None:
        now = current_time_s()
        fleet.hosts[0].burn_report.counts = [
            count("small", now - 60, 99, 1),
            count("big", now, 50, 0),
        ]
        fleet.hosts[1].burn_report.counts = [
            count("small", now - 9000, 100, 0),
            count("big", now, 49, 1),
        ]

    async def test_sums_hosts_and_names_the_worst_served(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        picture = tmp_path / "out.png"
        async with fake_fleet() as fleet:
            self._set_counts(fleet)
            options = ("--objective", "0.99", "--window", "300", "--window", "21600", "--json")
            command = ("report", "burn", "--picture", str(picture), *options)
            assert await fleet.run_client(*command) == ExitCode.OK
        report = json.loads(capsys.readouterr().out)
        burn = {
            service["workspace"]: [window["burn"] for window in service["windows"]]
            for service in report["services"]
        }
        assert burn == {"big": pytest.approx([1.0, 1.0]), "small": pytest.approx([1.0, 0.5])}
        assert picture.read_bytes().startswith(b"\x89PNG")

    async def test_a_partial_report_says_so(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with fake_fleet() as fleet:
            self._set_counts(fleet)
            await fleet.hosts[1].server.close()
            assert await fleet.run_client("report", "burn") == ExitCode.DEGRADED
        output = capsys.readouterr().out
        assert "worst-served workspace: small" in output
        assert "partial: no answer from host-2" in output

    @pytest.mark.parametrize("option", ["--objective=1", "--window=0", "--picture=out.txt"])
    async def test_rejects_invalid_options(self, option: str) -> None:
        async with fake_fleet(1) as fleet:
            assert await fleet.run_client("report", "burn", option) == ExitCode.USAGE


class TestSumBurn:
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 5), st.integers(0, 5), st.integers(0, 90)), max_size=9)
    )
    def test_does_not_depend_on_which_host_counted(
        self, counts: list[tuple[int, int, int]]
    ) -> None:
        counted = [count("w", start_s, good, bad) for good, bad, start_s in counts]
        one_report = [BurnReport(host="a", interval_s=10, counts=counted)]
        one_report_each = [
            BurnReport(host="a", interval_s=10, counts=[single]) for single in counted
        ]
        summed = sum_burn(one_report, [], [60], 0.9, 100.0).services
        assert summed == sum_burn(one_report_each, [], [60], 0.9, 100.0).services
        in_window = [(good, bad) for good, bad, start_s in counts if start_s + 10 > 40]
        assert [(window.good, window.bad) for service in summed for window in service.windows] == (
            [(sum(good for good, _ in in_window), sum(bad for _, bad in in_window))]
            if counts
            else []
        )
