"""Feeds random input to each decoder of input from outside.

No input may raise an exception, make the host hang, or be mistaken for something else.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import typing as t

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.entry import FleetMessage, Kind, StoredObject
from radishbridge.entry.backends import BackendConnection, BackendResponse
from radishbridge.entry.memory import ResponseMemory
from radishbridge.platform.headers import PlatformHeaderCodec
from radishbridge.platform.objects import PlatformDecoder
from radishbridge.platform.settings import PlatformSettings, read_settings
from radishbridge.records import Failure, ResultCode

# Runs use the same examples each time; these change with the source text of a test.
FIXED = settings(derandomize=True, max_examples=300, deadline=None, database=None)

scalars = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text()
trees = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
GOOD_SERVER: dict[str, t.Any] = {
    "address": "10.0.0.1:80",
    "born": 1_700_000_000_000,
    "info": {"service": "catalogue", "version": "v1", "zone": "north", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "warmupLeft": "1500ms"},
}
GOOD_ROUTE: dict[str, t.Any] = {
    "host": "one.example",
    "pathPrefix": "/a/",
    "kind": "safe",
    "timeout": "1200ms",
    "targetLatency": "200ms",
    "attempts": 2,
    "service": "catalogue",
}
GOOD_SETTINGS = """
ip = "10.1.0.2"
zone = "north"
region = "east"
internalPortRange = [7000, 7015]
[zones]
north = "east"
[listen]
front = "10.1.0.2:1"
ready = "10.1.0.2:2"
directory = "10.1.0.2:3"
[platform]
address = "10.9.0.1:8000"
"""


@st.composite
def damaged(draw: st.DrawFn, good: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return a value of which one field, at any depth, is replaced or missing."""
    value = json.loads(json.dumps(good))
    parent = value
    while True:
        name = draw(st.sampled_from(sorted(parent)))
        if isinstance(parent[name], dict) and draw(st.booleans()):
            parent = parent[name]
            continue
        if draw(st.booleans()):
            del parent[name]
        else:
            parent[name] = draw(trees)
        return value


def stored(kind: Kind, spec: t.Any, status: t.Any = None) -> StoredObject:
    wire = {"metadata": {"name": "x", "revision": 7}, "spec": spec, "status": status}
    return StoredObject(kind=kind, name="x", version=7, value=msgspec.json.encode(wire))


class TestStoredObjects:
    decoder = PlatformDecoder({"north": "east"})

    def decode(self, found: StoredObject) -> None:
        decoded = self.decoder.decode(found)
        if isinstance(decoded, Failure):
            assert decoded.code is ResultCode.RECORD_INVALID
            assert decoded.reason

    @FIXED
    @given(kind=st.sampled_from(list(Kind)), value=st.binary(max_size=200))
    def test_bytes(self, kind, value):
        self.decode(StoredObject(kind=kind, name="x", version=1, value=value))

    @FIXED
    @given(kind=st.sampled_from(list(Kind)), spec=trees, status=trees)
    def test_values(self, kind, spec, status):
        self.decode(stored(kind, spec, status))

    @FIXED
    @given(spec=damaged(GOOD_SERVER))
    def test_servers(self, spec):
        self.decode(stored(Kind.SERVER, spec))

    @FIXED
    @given(route=damaged(GOOD_ROUTE), version=st.text(max_size=8) | st.just("0000000c"))
    def test_configurations(self, route, version):
        resources = [{"resourceKind": "routes", "metadata": {"name": "r"}, "spec": route}]
        self.decode(stored(Kind.CONFIGURATION, {"version": version, "resources": resources}))


class TestHeaders:
    header_codec = PlatformHeaderCodec()

    @FIXED
    @given(
        headers=st.dictionaries(
            st.sampled_from(["Request-Id", "Request-Deadline-Ms", "Authorization", "Affinity-Key"]),
            st.text(st.characters(codec="latin-1"), max_size=30)
            | st.sampled_from(["nan", "-inf", "1e999", "-0", "1_0", "Bearer ", "bearer  k"]),
        )
    )
    def test_headers_of_a_callers_request(self, headers):
        metadata = self.header_codec.read_request(headers)
        if isinstance(metadata, Failure):
            assert metadata.code is ResultCode.REQUEST_MALFORMED
        elif metadata.deadline_s is not None:
            assert 0.0 <= metadata.deadline_s < float("inf")

    @FIXED
    @given(
        status=st.integers(100, 599),
        headers=st.lists(
            st.tuples(
                st.sampled_from([b"Request-Id", b"Server-Load", b"Not-Executed", b"X"]),
                st.binary(max_size=20),
            ),
            max_size=5,
        ),
    )
    def test_headers_of_a_servers_response(self, status, headers):
        metadata = self.header_codec.read_response(status, headers)
        if metadata.load is not None:
            assert min(metadata.load.running, metadata.load.waiting, metadata.load.slots) >= 0


class TestFleetMessages:
    @FIXED
    @given(frame=st.binary(max_size=200))
    def test_frames(self, frame):
        try:
            message = msgspec.msgpack.decode(frame, type=FleetMessage)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return
        assert isinstance(message, msgspec.Struct)


class TestSettings:
    @FIXED
    @given(line=st.text(max_size=40), at=st.integers(0, 14))
    def test_a_file_with_a_foreign_line(self, tmp_path_factory, line, at):
        lines = GOOD_SETTINGS.splitlines()
        lines.insert(at, line)
        path = tmp_path_factory.mktemp("settings") / "boot.toml"
        path.write_text("\n".join(lines), encoding="utf-8", errors="replace")
        found = read_settings(path)
        if isinstance(found, Failure):
            assert found.code in (ResultCode.SETTINGS_INVALID, ResultCode.FILE_UNREADABLE)
            assert str(path) in found.reason
        else:
            assert isinstance(found, PlatformSettings)


class DiscardingTransport(asyncio.Transport):
    """Discards what is written and records whether the transport was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.closed = False

    def write(self, data: t.Any) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


GOOD_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest-Id: r\r\n\r\ngood"


async def feed(chunks: t.Iterable[bytes]) -> tuple[BackendResponse | Failure | None, bool]:
    """Send a request and feed bytes of a server to its connection.

    Return the result of the request, and whether the connection stays open.
    """
    connection = BackendConnection(asyncio.get_running_loop(), ResponseMemory())
    transport = DiscardingTransport()
    connection.connection_made(transport)
    exchange = asyncio.create_task(connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"", False))
    await asyncio.sleep(0)
    for chunk in chunks:
        connection.data_received(chunk)
    connection.eof_received()
    connection.connection_lost(None)
    return await exchange, not transport.closed


class TestBackendResponses:
    @FIXED
    @given(data=st.binary(max_size=300))
    def test_random_bytes_are_no_response(self, data):
        result, _ = asyncio.run(feed([data]))
        if isinstance(result, BackendResponse):
            assert data.lstrip(b"\r\n").startswith(b"HTTP/")

    @FIXED
    @given(cuts=st.lists(st.integers(1, len(GOOD_ANSWER) - 1), max_size=6))
    def test_a_response_in_any_chunks_is_complete(self, cuts):
        ends = [0, *sorted(set(cuts)), len(GOOD_ANSWER)]
        result, _ = asyncio.run(feed(GOOD_ANSWER[a:b] for a, b in itertools.pairwise(ends)))
        assert isinstance(result, BackendResponse)
        assert (result.status, result.body) == (200, b"good")

    @FIXED
    @given(end=st.integers(0, len(GOOD_ANSWER) - 1))
    def test_a_part_of_an_answer_is_no_answer(self, end):
        result, _ = asyncio.run(feed([GOOD_ANSWER[:end]]))
        assert isinstance(result, Failure)

    @FIXED
    @given(extra=st.binary(min_size=1, max_size=80))
    def test_bytes_after_a_response_are_ignored(self, extra):
        result, _ = asyncio.run(feed([GOOD_ANSWER + extra]))
        assert isinstance(result, BackendResponse)
        assert result.body == b"good"

    @pytest.mark.parametrize(
        "trailing_bytes", [b"\0" * 200_000, b"HTTP/1.1 200 OK\r\nX: y\r\n" * 9_000]
    )
    async def test_a_response_is_used_though_endless_bytes_follow(self, trailing_bytes):
        result, stays_open = await feed([GOOD_ANSWER + trailing_bytes])
        assert isinstance(result, BackendResponse)
        assert (result.body, stays_open) == (b"good", False)
