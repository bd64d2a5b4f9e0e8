from __future__ import annotations

import pathlib

import msgspec
import pytest

from radishbridge.entry import DrainOrder, HostEntry, Kind, StoredObject
from radishbridge.platform.durations import parse_duration
from radishbridge.platform.headers import PlatformHeaderCodec
from radishbridge.platform.objects import PlatformDecoder, encode_host
from radishbridge.platform.settings import read_settings
from radishbridge.platform.usage import decode_record
from radishbridge.records import Failure, ResultCode
from radishbridge.steering import Configuration, LoadReport, MoveOrder, MovePhase, Server

SETTINGS = """
nodeName = "edge-1"
ip = "10.1.0.2"
zone = "north"
region = "east"
internalPortRange = [7000, 7015]
seeds = ["10.2.0.3:9000"]
new = "fields may come"
[zones]
north = "east"
[listen]
front = "10.1.0.2:1"
ready = "10.1.0.2:2"
directory = "10.1.0.2:3"
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetSlack = 62
ttl_max = "5s"
[platform]
address = "10.9.0.1:8000"
minTtl = "1000ms"
"""


def make_server_spec(**changes) -> dict:
    spec = {
        "address": "10.0.0.1:80",
        "born": 1_700_000_000_000,
        "info": {"service": "catalogue", "version": "v1", "zone": "north", "slots": 6},
        "status": {"state": "ready", "sequence": 4, "warmupLeft": "1500ms"},
    }
    return {**spec, **changes}


def make_stored(kind: Kind, name: str, spec, status=None) -> StoredObject:
    wire = {"metadata": {"name": name, "revision": 7}, "spec": spec, "status": status}
    return StoredObject(kind=kind, name=name, version=7, value=msgspec.json.encode(wire))


def make_resource(resource_kind: str, name: str, **spec) -> dict:
    return {"resourceKind": resource_kind, "metadata": {"name": name}, "spec": spec}


ROUTE = {
    "host": "One.example",
    "pathPrefix": "/a/",
    "kind": "unsafe",
    "timeout": "800ms",
    "targetLatency": "250ms",
    "attempts": 2,
    "service": "catalogue",
    "allowedRegions": ["east"],
}
MANIFEST = {
    "version": "0000000c",
    "resources": [
        make_resource("routes", "r1", **ROUTE),
        make_resource("services", "catalogue", maxConnections=390, warmup="3s", warmupPerS=17.0),
        make_resource("tenants", "school", apiKeys=["k1", "k2"], ratePerS=40, burst=60, priority=1),
        make_resource("limits", "", maxBodyBytes=1000, idleTimeout="15000ms"),
    ],
}


@pytest.fixture
def decoder() -> PlatformDecoder:
    return PlatformDecoder({"north": "east"})


class TestObjects:
    def test_a_server_is_decoded(self, decoder):
        server = decoder.decode(make_stored(Kind.SERVER, "i-1", make_server_spec()))
        assert isinstance(server, Server)
        assert (server.region, server.slots, server.cold_for_s) == ("east", 6, 1.5)
        assert not server.draining

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": 5},
            {"status": {"state": "unheard of"}},
            {"status": None},
            {"info": {"service": "catalogue", "version": "v1", "zone": "north"}},
            {"info": {"service": "c", "version": "v1", "zone": "nowhere", "slots": 6}},
            {"status": {"state": "ready", "warmupLeft": "soon"}},
            {"born": "today"},
        ],
    )
    def test_an_invalid_server_entry_is_a_failure(self, decoder, changes):
        failure = decoder.decode(make_stored(Kind.SERVER, "i-1", make_server_spec(**changes)))
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.RECORD_INVALID

    @pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b'{"metadata":{}}'])
    @pytest.mark.parametrize("kind", list(Kind))
    def test_an_undecodable_value_is_a_failure(self, decoder, kind, value):
        broken = StoredObject(kind=kind, name="x", version=1, value=value)
        assert isinstance(decoder.decode(broken), Failure)

    def test_a_configuration_is_decoded(self, decoder):
        configuration = decoder.decode(make_stored(Kind.CONFIGURATION, "main", MANIFEST))
        assert isinstance(configuration, Configuration)
        route = configuration.match("one.example", "/a/7")
        assert (route.name, route.repeatable, route.timeout_s) == ("r1", False, 0.8)
        assert route.home_regions == {"east"}
        assert configuration.version == 12
        assert configuration.keys == {"k1": "school", "k2": "school"}
        assert configuration.workspaces["school"].rate_per_s == 40
        assert configuration.services["catalogue"].slow_start_per_s == 17.0
        assert configuration.limits.idle_s == 15.0

    @pytest.mark.parametrize(
        "broken",
        [
            {"version": "xyz", "resources": []},
            {"resources": []},
            {"version": "01", "resources": [make_resource("routes", "r", host="a")]},
            {
                "version": "01",
                "resources": [make_resource("routes", "r", **{**ROUTE, "service": ""})],
            },
        ],
    )
    def test_an_invalid_configuration_is_a_failure(self, decoder, broken):
        assert isinstance(decoder.decode(make_stored(Kind.CONFIGURATION, "main", broken)), Failure)

    @pytest.mark.parametrize(
        ("status", "phase"),
        [
            (None, None),
            ({"state": "running", "targetVersion": "v2"}, MovePhase.RUNNING),
            ({"state": "rolled_back", "targetVersion": "v2"}, MovePhase.ROLLED_BACK),
            ({"state": "completed", "targetVersion": "v1"}, None),
        ],
    )
    def test_a_move_order_has_the_phase_of_its_own_status(self, decoder, status, phase):
        spec = {"service": "catalogue", "targetVersion": "v2", "duration": "12s"}
        order = decoder.decode(make_stored(Kind.MOVE, "catalogue", spec, status))
        expected = MoveOrder(service="catalogue", to_version="v2", duration_s=12.0, phase=phase)
        assert order == expected

    def test_the_name_of_a_drain_is_its_data_centre(self, decoder):
        assert decoder.decode(make_stored(Kind.DRAIN, "north", {})) == DrainOrder(
            data_center="north"
        )

    def test_a_host_entry_survives_encoding_and_decoding(self, decoder):
        entry = HostEntry(
            peer_address="10.0.0.1:1", listen="10.0.0.1:2", region="east", data_center="north"
        )
        wire = StoredObject(kind=Kind.HOST, name="10.0.0.1:1", version=1, value=encode_host(entry))
        assert decoder.decode(wire) == entry


class TestHeaders:
    @pytest.fixture
    def header_codec(self) -> PlatformHeaderCodec:
        return PlatformHeaderCodec()

    def test_request_headers_are_decoded(self, header_codec):
        metadata = header_codec.read_request(
            {
                "Request-Id": "r1",
                "Request-Deadline-Ms": "1500",
                "Authorization": "Bearer secret",
                "Affinity-Key": "17",
            }
        )
        assert metadata == ("r1", 1.5, "secret", "17")

    @pytest.mark.parametrize("value", ["soon", "", "1s", "nan", "inf", "1e400", "-1"])
    def test_a_malformed_deadline_is_a_failure(self, header_codec, value):
        failure = header_codec.read_request({"Request-Deadline-Ms": value})
        assert isinstance(failure, Failure)

    def test_a_server_gets_the_workspace_but_not_the_key(self, header_codec):
        server = PlatformDecoder({"north": "east"}).decode(
            make_stored(Kind.SERVER, "i-1", make_server_spec())
        )
        caller_headers = [
            (b"Host", b"one.example"),
            (b"Authorization", b"Bearer secret"),
            (b"Tenant", b"forged"),
            (b"Expect-Instance", b"forged"),
            (b"Request-Deadline-Ms", b"99999"),
            (b"Connection", b"keep-alive, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Request-Id", b"r1"),
        ]
        forwarded = dict(header_codec.server_headers(caller_headers, server, "school", 0.7))
        assert forwarded == {
            b"Host": b"one.example",
            b"Request-Id": b"r1",
            b"Request-Deadline-Ms": b"700",
            b"Expect-Instance": b"i-1",
            b"Tenant": b"school",
        }

    @pytest.mark.parametrize(
        "further", [(b"Connection", b"close, Request-Id"), (b"request-id", b"r2")]
    )
    def test_a_server_gets_the_id_that_its_response_must_have(self, header_codec, further):
        # Otherwise callers could have servers ejected, whose responses would have another id.
        server = PlatformDecoder({"north": "east"}).decode(
            make_stored(Kind.SERVER, "i-1", make_server_spec())
        )
        forwarded = header_codec.server_headers([(b"Request-Id", b"r1"), further], server, "", 0.7)
        assert [value for name, value in forwarded if name.lower() == b"request-id"] == [b"r1"]

    @pytest.mark.parametrize(
        ("value", "load"),
        [
            (b"3,1,8", LoadReport(3, 1, 8)),
            (b"3,1,8,100", LoadReport(3, 1, 8, 1.0, has_pace=True)),
            (b"3,1,8,250", LoadReport(3, 1, 8, 2.5, has_pace=True)),
            (b"", None),
            (b"3,1", None),
            (b"3,1,8,100,1", None),
            (b"3,1,8,", None),
            (b"3,1,8,x", None),
            (b"3,1,8,-1", None),
            (b"3,1,8,1.5", None),
            (b"3,1,8,1000000", None),
            (b"3,1,8,\xb2", None),
            (b"a,b,c", None),
            (b"-1,0,8", None),
        ],
    )
    def test_the_load_report_of_a_server_is_decoded(self, header_codec, value, load):
        assert header_codec.read_response(200, [(b"Server-Load", value)]).load == load


class TestSettings:
    def read(self, tmp_path: pathlib.Path, text: str):
        path = tmp_path / "boot.toml"
        path.write_text(text)
        return read_settings(path)

    def test_a_settings_file_is_read(self, tmp_path):
        settings = self.read(tmp_path, SETTINGS)
        assert settings.peer_address == "10.1.0.2:7000"
        assert settings.seeds == ("10.2.0.3:7000",)
        assert settings.bounds.retry_allowance == 62
        assert (settings.grace_s, settings.lookup_ttl_s) == (6.0, 1.0)

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ('ip = "10.1.0.2"', "", "ip"),
            ('region = "east"', "region = 5", "region"),
            ('grace = "6s"', 'grace = "six"', "six"),
            ("[zones]", "[zones", "line"),
        ],
    )
    def test_the_reason_names_what_is_invalid(self, tmp_path, old, new, expected):
        failure = self.read(tmp_path, SETTINGS.replace(old, new, 1))
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.SETTINGS_INVALID
        assert expected in failure.reason

    def test_a_missing_file_is_a_failure(self, tmp_path):
        failure = read_settings(tmp_path / "none.toml")
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.FILE_UNREADABLE


class TestDurations:
    @pytest.mark.parametrize(("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)])
    def test_milliseconds_and_seconds_are_parsed(self, text, seconds):
        assert parse_duration(text) == seconds

    @pytest.mark.parametrize("text", ["", "5", "5m", "-1s", "1 s"])
    def test_other_texts_are_rejected(self, text):
        with pytest.raises(ValueError, match="duration"):
            parse_duration(text)


class TestUsageRecord:
    @pytest.mark.parametrize("field", ["fencingToken", "finalizedThrough"])
    def test_a_record_with_numbers_beyond_the_messages_is_refused(self, field):
        # Such a record of another writer made the whole report of its reader malformed.
        spec = {
            "holder": "host",
            "address": "10.2.0.3:7000",
            "incarnation": 1,
            "fencingToken": 1,
            "sequence": 1,
            "finalizedThrough": 1,
        }
        stored = {"metadata": {"name": "usage", "revision": 4}, "spec": {**spec, field: 2**53 + 1}}
        assert isinstance(decode_record(msgspec.json.encode(stored)), Failure)
        stored["spec"] = spec
        assert not isinstance(decode_record(msgspec.json.encode(stored)), Failure)
