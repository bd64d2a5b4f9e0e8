from __future__ import annotations

import asyncio
import json
import logging
import pathlib
import re
import signal
import subprocess
import sys
import typing as t

import aiohttp
import msgspec
import pytest
from in_process import until

from radishbridge.host.logs import JsonFormatter, TextFormatter
from radishbridge.records import BurnReport, Explanation, HostStatus, ResultCode
from radishbridge.store import HostEntry
from radishbridge_standin import demo
from radishbridge_standin.processes import Fleet, HostLocation, wait_for_status

WITH_KEY = {"Authorization": f"Bearer {demo.SECRET}"}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[Fleet]:
    async def start(running: Fleet) -> None:
        async with aiohttp.ClientSession() as session:
            await demo.start(running, session)

    with Fleet(tmp_path_factory.mktemp("fleet")) as running:
        asyncio.run(start(running))
        yield running


@pytest.fixture
async def stopping_host(
    fleet: Fleet, caller: aiohttp.ClientSession, request: pytest.FixtureRequest
) -> HostEntry:
    limits = {"shutdown_lookup_s": 1.0, "shutdown_s": 10.0}
    location = HostLocation(f"stopping-{request.node.name}", "oberbayern", "ob-a")
    entry = fleet.start_host(location, limits=limits)
    await wait_for_status(caller, f"http://{entry.admin_address}/ready", 200)
    return entry


@pytest.fixture
async def caller() -> t.AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


async def _get(caller: aiohttp.ClientSession, url: str) -> tuple[int, bytes]:
    async with caller.get(url, headers=WITH_KEY) as response:
        return response.status, await response.read()


class TestAdmin:
    async def test_endpoints(self, fleet: Fleet, caller: aiohttp.ClientSession) -> None:
        host = fleet.hosts[0]
        base = f"http://{host.admin_address}"
        assert (await _get(caller, f"http://{host.address}/catalogue/a"))[0] == 200
        await _get(caller, f"http://{host.address}/catalogue/a?status=500")
        assert (await _get(caller, f"{base}/live"))[0] == 200

        status = msgspec.json.decode((await _get(caller, f"{base}/v1/status"))[1], type=HostStatus)
        assert (status.host, status.ready, status.leaving) == ("host-1", True, False)
        assert 0.0 <= status.fresh_age_s < 5.0

        burn = msgspec.json.decode((await _get(caller, f"{base}/v1/burn"))[1], type=BurnReport)
        counts = [(count.workspace, count.service, count.good, count.bad) for count in burn.counts]
        assert sum(good for *_, good, _ in counts) >= 1
        assert counts[0][:2] == ("school-17", "catalogue")
        assert sum(bad for *_, bad in counts) == 1

        metrics = (await _get(caller, f"{base}/metrics"))[1].decode()
        labels = 'code="OK",service="catalogue",workspace="school-17"'
        assert f"radishbridge_requests_total{{{labels}}} 2.0" in metrics
        for name in (
            "request_seconds_bucket",
            "in_flight",
            "retries",
            "ejections",
            "mesh_malformed",
        ):
            assert f"radishbridge_{name}" in metrics
        after = msgspec.json.decode((await _get(caller, f"{base}/v1/status"))[1], type=HostStatus)
        (revision,) = re.findall(r"^radishbridge_config_revision (\S+)$", metrics, re.MULTILINE)
        # Hosts write to the store during the test, so the revision grows between reads.
        assert status.revision <= float(revision) <= after.revision

    async def test_hosts_exchange_heartbeats(
        self, fleet: Fleet, caller: aiohttp.ClientSession
    ) -> None:
        url = f"http://{fleet.hosts[0].admin_address}/v1/status"
        async with asyncio.timeout(20.0):
            while True:
                status = msgspec.json.decode((await _get(caller, url))[1], type=HostStatus)
                if {"host-2", "host-3"} <= set(status.live_peers):
                    return
                await asyncio.sleep(0.05)

    @pytest.mark.parametrize(
        ("query", "code"),
        [
            ("path=/catalogue/a&workspace=school-17", ResultCode.OK),
            ("path=/catalogue/public/a", ResultCode.OK),
            ("path=/catalogue/a", ResultCode.KEY_MISSING),
            ("path=/catalogue/a&workspace=nobody", ResultCode.KEY_UNKNOWN),
            ("path=/nothing", ResultCode.SERVICE_UNKNOWN),
            ("path=/catalogue/../a", ResultCode.REQUEST_MALFORMED),
        ],
    )
    async def test_explanation(
        self, fleet: Fleet, caller: aiohttp.ClientSession, query: str, code: ResultCode
    ) -> None:
        url = f"http://{fleet.hosts[0].admin_address}/v1/explain?{query}"
        body = (await _get(caller, url))[1]
        explanation = msgspec.json.decode(body, type=Explanation)
        assert explanation.code == code
        assert explanation.steps
        if explanation.service:
            verdicts = [candidate.verdict for candidate in explanation.candidates]
            assert verdicts == ["eligible"] * 3


class TestKeySecrecy:
    async def test_no_key_in_logs_metrics_status_or_responses(
        self, fleet: Fleet, caller: aiohttp.ClientSession
    ) -> None:
        host = fleet.hosts[1]
        url = f"http://{host.address}"
        unknown_secret = "wrong-secret-of-nobody"
        texts = []
        for headers in (
            WITH_KEY,
            {"X-Api-Key": unknown_secret},
            WITH_KEY | {"X-Api-Key": unknown_secret},
            {"Authorization": f"Bearer {unknown_secret}\t"},
            WITH_KEY | {"X-Long": "a" * 20_000},
        ):
            for path in ("/catalogue/a", "/nothing", "/catalogue/a?cut_at=0", "/a/../b"):
                async with caller.get(url + path, headers=headers) as response:
                    texts.append(await response.text())
        await _send_malformed(host.address, f"X-Api-Key : {unknown_secret}\x01")
        await _send_malformed(host.address, f"X-Api-Key: {unknown_secret}{'a' * 20_000}")
        for path in ("/metrics", "/v1/status", "/v1/burn"):
            texts.append((await _get(caller, f"http://{host.admin_address}{path}"))[1].decode())
        texts += [path.read_text() for path in fleet.directory.glob("*.log")]
        for secret in (demo.SECRET, unknown_secret):
            assert not [text for text in texts if secret in text]


async def _send_malformed(address: str, line: str) -> None:
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"GET /catalogue/a HTTP/1.1\r\nHost: h\r\n{line}\r\n\r\n".encode())
    assert b" 4" in await reader.readline()
    writer.close()


class TestShutdown:
    async def test_interrupts_no_request_under_load(
        self, fleet: Fleet, stopping_host: HostEntry
    ) -> None:
        load = Load(f"http://{stopping_host.address}")
        tasks = [asyncio.create_task(load.run(number)) for number in range(20)]
        await until(lambda: load.answered > 200, 20.0)
        process = fleet.processes[stopping_host.name]
        process.send_signal(signal.SIGTERM)
        async with aiohttp.ClientSession() as session:
            await wait_for_status(session, f"http://{stopping_host.admin_address}/ready", 503)
            body = (await _get(session, f"http://{stopping_host.admin_address}/v1/status"))[1]
            assert msgspec.json.decode(body, type=HostStatus).leaving
        before = load.answered
        await asyncio.gather(*tasks)
        assert load.answered > before
        assert load.faults == []
        assert await asyncio.to_thread(process.wait, 15) == 0

    async def test_finishes_an_upload_in_progress(
        self, fleet: Fleet, stopping_host: HostEntry
    ) -> None:
        upload_bytes = 5_000_000
        started = asyncio.Event()

        async def chunks() -> t.AsyncIterator[bytes]:
            for _ in range(50):
                yield bytes(upload_bytes // 50)
                started.set()
                await asyncio.sleep(0.05)

        async with aiohttp.ClientSession(headers=WITH_KEY) as session:
            url = f"http://{stopping_host.address}/catalogue/images"
            upload = asyncio.create_task(_echo(session, url, chunks()))
            await started.wait()
            fleet.processes[stopping_host.name].send_signal(signal.SIGTERM)
            echo = await upload
            assert echo.get("body_bytes") == upload_bytes, echo


async def _echo(
    session: aiohttp.ClientSession, url: str, data: t.AsyncIterator[bytes]
) -> dict[str, t.Any]:
    async with session.put(url, data=data) as response:
        echo: dict[str, t.Any] = await response.json()
        return echo


class Load:
    """Callers that send one request after another until the host accepts no connection.

    :param faults: connection errors and responses of the wrong size.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self.answered = 0
        self.faults: list[str] = []

    async def run(self, number: int) -> None:
        async with aiohttp.ClientSession(headers=WITH_KEY) as session:
            while await self.send_request(session, number):
                self.answered += 1

    async def send_request(self, session: aiohttp.ClientSession, number: int) -> bool:
        path = f"/catalogue/a?answer_bytes={number * 10_000}&delay_ms={number}"
        try:
            async with session.get(self.url + path) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError:
            return False
        except aiohttp.ClientError as error:
            self.faults.append(repr(error))
            return True
        if response.status == 200 and len(body) != number * 10_000:
            self.faults.append(f"{len(body)} bytes")
        return True


class TestSettingsErrors:
    def test_are_all_printed_with_exit_status_2(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "host.jsonc"
        path.write_text('{"host": "a"}')
        command = [sys.executable, "-m", "radishbridge.host", "--config", str(path)]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        assert result.returncode == 2
        assert f"error {int(ResultCode.SETTINGS_INVALID)}" in result.stderr


class TestFormatters:
    @pytest.fixture
    def record(self) -> logging.LogRecord:
        record = logging.makeLogRecord({"name": "a.b", "levelname": "INFO", "msg": "no %s"})
        record.args = ("connection",)
        record.service = "catalogue"
        record.created = 0.0
        return record

    def test_json(self, record: logging.LogRecord) -> None:
        assert json.loads(JsonFormatter().format(record)) == {
            "time": "1970-01-01T00:00:00.000+00:00",
            "level": "info",
            "logger": "a.b",
            "message": "no connection",
            "fields": {"service": "catalogue"},
        }

    def test_text(self, record: logging.LogRecord) -> None:
        line = "1970-01-01T00:00:00.000+00:00 info a.b: no connection service=catalogue"
        assert TextFormatter().format(record) == line
