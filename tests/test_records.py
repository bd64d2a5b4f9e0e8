from __future__ import annotations

import copy
import typing as t

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import (
    KINDS,
    SCHEMA_VERSIONS,
    Backend,
    Failure,
    Key,
    Rate,
    Record,
    RecordBody,
    ResultCode,
    Route,
    Service,
    Workspace,
    body_type,
    decode_record,
    encode_edit,
    encode_record,
    encode_tombstone,
    merge_spec,
    unknown_fields,
    upgrade_spec,
    validate_body,
)

Spec = dict[str, t.Any]

BACKEND = {"name": "cat-1", "address": "10.0.0.1:80", "region": "r", "data_center": "r-a"}
VALID_SPECS: dict[str, Spec] = {
    "workspace": {"title": "School 17"},
    "key": {"workspace": "school-17", "digest": "0f" * 32},
    "rate": {"requests_per_second": 5, "burst": 10},
    "service": {"path_prefix": "/c/", "backends": [BACKEND], "routes": [{"prefix": "/p"}]},
    "link": {"from_region": "a", "to_region": "b", "bytes_per_second": 1},
    "drain": {"scope": "backend", "target": "cat-1", "service": "catalogue"},
    "move": {"service": "catalogue", "from_version": "1", "to_version": "2"},
    "client-blocks": {"family": 4, "sites": ["s"], "packed": "AAAA"},
    "site": {"data_centers": ["r-a", "r-b"]},
}
SERVICE_V1 = {
    "path_prefix": "/c/",
    "backends": [BACKEND],
    "slots_per_backend": 6,
    "open_prefixes": ["/public"],
    "unrepeatable_prefixes": ["/public/book", "/pay"],
}


def encode_stored(schema: int, spec: Spec, deleted: bool = False) -> bytes:
    return msgspec.json.encode({"schema": schema, "spec": spec, "deleted": deleted})


def with_value(spec: Spec, path: str, value: t.Any) -> Spec:
    result = copy.deepcopy(spec)
    *parents, last = path.split(".")
    node: t.Any = result
    for name in parents:
        node = node[int(name)] if isinstance(node, list) else node[name]
    node[int(last) if isinstance(node, list) else last] = value
    return result


def failed_fields(result: RecordBody | list[Failure]) -> list[str]:
    assert isinstance(result, list), result
    return sorted(failure.field for failure in result)


class TestValidateBody:
    @pytest.mark.parametrize("kind", KINDS)
    def test_accepts_a_valid_record(self, kind: str) -> None:
        body = validate_body(kind, "one", VALID_SPECS[kind], SCHEMA_VERSIONS[kind])
        assert isinstance(body, KINDS[kind]), body

    @pytest.mark.parametrize(
        ("kind", "path", "value"),
        [
            ("workspace", "weight", 0),
            ("workspace", "connections_per_host", 10**400),
            ("workspace", "connections_per_host", -1),
            ("key", "digest", "0F" * 32),
            ("key", "digest", "0f" * 31),
            ("key", "digest", "0f" * 32 + "\n"),
            ("key", "workspace", "no/slash"),
            ("key", "workspace", "newline\n"),
            ("rate", "requests_per_second", -1),
            ("rate", "requests_per_second", float("inf")),
            ("rate", "burst", float("nan")),
            ("rate", "burst", 0.5),
            ("service", "path_prefix", "c"),
            ("service", "deadline_s", 0),
            ("service", "backends.0.address", "cat-1:80"),
            ("service", "backends.0.slots", 0),
            ("service", "backends.0.connections", 0),
            ("service", "routes.0.prefix", "p"),
            ("service", "routes.0.answer_bytes", -1),
            ("link", "to_region", "a"),
            ("link", "bytes_per_second", 0),
            ("drain", "scope", "rack"),
            ("drain", "deadline_s", -5),
            ("move", "to_version", "1"),
            ("move", "step", 0),
            ("move", "exposure", 1.5),
            ("client-blocks", "family", 5),
            ("client-blocks", "packed", "A*AA"),
            ("client-blocks", "packed", "AAA"),
            ("site", "data_centers", []),
            ("site", "data_centers.1", "r-a"),
        ],
    )
    def test_reports_the_path_of_an_invalid_field(self, kind: str, path: str, value: t.Any) -> None:
        spec = with_value(VALID_SPECS[kind], path, value)
        assert failed_fields(validate_body(kind, "one", spec, SCHEMA_VERSIONS[kind])) == [path]

    def test_reports_all_faults(self) -> None:
        spec = with_value(
            VALID_SPECS["service"], "backends", [{**BACKEND, "slots": "x"}, {"name": ""}, 7]
        )
        spec["deadline_s"] = -1
        assert failed_fields(validate_body("service", "a b", spec, 2)) == [
            "backends.0.slots",
            "backends.1.address",
            "backends.1.data_center",
            "backends.1.name",
            "backends.1.region",
            "backends.2",
            "deadline_s",
            "name",
        ]

    def test_refuses_duplicate_items(self) -> None:
        spec = with_value(VALID_SPECS["service"], "backends", [BACKEND, BACKEND])
        spec["routes"] = [{"prefix": "/p"}, {"prefix": "/q"}, {"prefix": "/p"}]
        assert failed_fields(validate_body("service", "c", spec, 2)) == [
            "backends.1.address",
            "backends.1.name",
            "routes.2.prefix",
        ]

    @pytest.mark.parametrize(
        ("kind", "schema", "field"),
        [("rack", 1, "kind"), ("rate", 3, "schema"), ("rate", 0, "schema")],
    )
    def test_refuses_an_unknown_kind_or_schema(self, kind: str, schema: int, field: str) -> None:
        assert failed_fields(validate_body(kind, "one", {}, schema)) == [field]


class TestReferences:
    @pytest.mark.parametrize(
        ("kind", "path", "value", "field"),
        [
            ("key", "workspace", "gone", "workspace"),
            ("service", "stable_version", "9", "stable_version"),
            ("client-blocks", "sites", ["s", "gone"], "sites.1"),
            ("drain", "service", "gone", "service"),
            ("drain", "target", "cat-9", "target"),
            ("move", "service", "gone", "service"),
            ("move", "to_version", "9", "to_version"),
            ("move", "from_version", "9", "from_version"),
        ],
    )
    def test_reports_the_path_of_an_invalid_reference(
        self, kind: str, path: str, value: t.Any, field: str
    ) -> None:
        valid, schema = VALID_SPECS[kind], SCHEMA_VERSIONS[kind]
        assert validate_body(kind, "school-17", valid, schema, self.lookup)
        invalid = with_value(valid, path, value)
        result = validate_body(kind, "school-17", invalid, schema, self.lookup)
        assert failed_fields(result) == [field]
        assert not isinstance(validate_body(kind, "school-17", invalid, schema), list)

    def test_a_rate_must_have_the_name_of_a_workspace(self) -> None:
        result = validate_body("rate", "gone", VALID_SPECS["rate"], 2, self.lookup)
        assert failed_fields(result) == ["name"]

    @staticmethod
    def lookup(kind: str, name: str) -> RecordBody | None:
        second = {**BACKEND, "name": "cat-2", "address": "10.0.0.2:80", "version": "2"}
        specs = {
            ("workspace", "school-17"): VALID_SPECS["workspace"],
            ("site", "s"): VALID_SPECS["site"],
            ("service", "catalogue"): with_value(
                VALID_SPECS["service"], "backends", [BACKEND, second]
            ),
        }
        spec = specs.get((kind, name))
        return None if spec is None else msgspec.convert(spec, KINDS[kind])


class TestSchemas:
    def test_converts_a_rate_per_minute(self) -> None:
        value = encode_stored(1, {"requests_per_minute": 90, "burst": 3})
        record = decode_record("rate", "w", 5, value)
        assert isinstance(record, Record)
        assert record.body == Rate(requests_per_second=1.5, burst=3)

    def test_converts_a_service_with_lists_of_prefixes(self) -> None:
        record = decode_record("service", "c", 5, encode_stored(1, SERVICE_V1))
        assert isinstance(record, Record)
        assert record.body == Service(
            path_prefix="/c/",
            backends=[Backend(**BACKEND, slots=6)],
            routes=[
                Route(prefix="/pay", repeatable=False),
                Route(prefix="/public", open=True),
                Route(prefix="/public/book", open=True, repeatable=False),
            ],
        )

    def test_equal_rates_in_old_and_new_schemas_decode_alike(self) -> None:
        new = decode_record("rate", "a", 1, encode_stored(2, VALID_SPECS["rate"]))
        old = decode_record(
            "rate", "b", 1, encode_stored(1, {"requests_per_minute": 300, "burst": 10})
        )
        assert isinstance(new, Record)
        assert isinstance(old, Record)
        assert new.body == old.body

    def test_paths_of_faults_follow_the_given_schema(self) -> None:
        assert failed_fields(validate_body("rate", "w", VALID_SPECS["rate"], 1)) == [
            "requests_per_minute"
        ]

    def test_reports_faults_found_only_after_conversion(self) -> None:
        spec = {**SERVICE_V1, "backends": [BACKEND, BACKEND]}
        expected = ["backends.1.address", "backends.1.name"]
        assert failed_fields(validate_body("service", "c", spec, 1)) == expected

    def test_refuses_a_newer_schema(self) -> None:
        failure = decode_record("rate", "w", 5, encode_stored(3, VALID_SPECS["rate"]))
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.SCHEMA_TOO_NEW

    def test_conversion_keeps_unknown_fields(self) -> None:
        spec = {**SERVICE_V1, "note": "n", "backends": [{**BACKEND, "rack": "r1"}]}
        upgraded = upgrade_spec("service", spec, 1)
        assert isinstance(upgraded, dict)
        assert (upgraded["note"], upgraded["backends"][0]["rack"]) == ("n", "r1")
        assert "slots_per_backend" not in upgraded


class TestDecodeRecord:
    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"[]",
            b"\xff",
            b'{"schema": "1"}',
            b'{"spec": {}}',
            pytest.param(b'{"spec": ' + b'{"a":' * 5000 + b"1" + b"}" * 5001, id="deep"),
        ],
    )
    def test_refuses_a_malformed_value(self, value: bytes) -> None:
        failure = decode_record("key", "k", 1, value)
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.RECORD_INVALID

    def test_refuses_a_record_with_an_invalid_field(self) -> None:
        failure = decode_record(
            "rate", "w", 1, encode_stored(2, {"requests_per_second": -1, "burst": 1})
        )
        assert isinstance(failure, Failure)
        assert failure.field == "requests_per_second"

    def test_decodes_a_tombstone_of_any_schema(self) -> None:
        record = decode_record("key", "k", 7, encode_stored(9, {}, deleted=True))
        assert isinstance(record, Record)
        assert (record.version, record.body) == (7, None)

    @pytest.mark.parametrize("schema", [1, 9])
    def test_a_tombstone_keeps_the_schema_version(self, schema: int) -> None:
        tombstone = encode_tombstone(encode_stored(schema, VALID_SPECS["key"]))
        assert isinstance(tombstone, bytes)
        expected = {"schema": schema, "deleted": True, "spec": {}}
        assert msgspec.json.decode(tombstone) == expected


class TestEdit:
    def test_an_older_client_keeps_unknown_fields(self) -> None:
        spec = {
            **VALID_SPECS["service"],
            "cache_s": 5,
            "backends": [
                {**BACKEND, "rack": {"row": 1}},
                {**BACKEND, "name": "cat-2", "address": "10.0.0.2:80", "rack": {"row": 2}},
            ],
            "routes": [{"prefix": "/p", "retries": 2}, {"prefix": "/q", "retries": 3}],
        }
        body = msgspec.convert(spec, Service)
        body.backends.reverse()
        body.backends[0].slots = 7
        body.routes[1:] = [Route(prefix="/r")]
        edited = encode_edit("service", body, encode_stored(2, spec))
        assert isinstance(edited, bytes)
        result = msgspec.json.decode(edited)["spec"]
        assert result["cache_s"] == 5
        assert [(b["name"], b["slots"], b["rack"]["row"]) for b in result["backends"]] == [
            ("cat-2", 7, 2),
            ("cat-1", 4, 1),
        ]
        assert [(r["prefix"], r.get("retries")) for r in result["routes"]] == [
            ("/p", 2),
            ("/r", None),
        ]

    def test_refuses_an_edit_of_a_newer_schema(self) -> None:
        failure = encode_edit("rate", Rate(requests_per_second=1, burst=1), encode_stored(3, {}))
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.SCHEMA_TOO_NEW

    def test_converts_an_older_schema(self) -> None:
        old = encode_stored(1, {"requests_per_minute": 60, "burst": 1, "note": "n"})
        edited = encode_edit("rate", Rate(requests_per_second=2, burst=4), old)
        assert edited is not None
        expected = {"requests_per_second": 2.0, "burst": 4.0, "note": "n"}
        assert msgspec.json.decode(edited) == {"schema": 2, "deleted": False, "spec": expected}

    def test_recreating_a_deleted_record_drops_its_fields(self) -> None:
        edited = encode_edit(
            "workspace", Workspace(), encode_stored(1, {"note": "n"}, deleted=True)
        )
        assert edited == encode_record("workspace", Workspace())

    def test_an_editor_may_set_an_unknown_field(self) -> None:
        assert merge_spec({"note": "a"}, {"note": "b"}, Workspace) == {"note": "b"}

    @settings(derandomize=True, deadline=None)
    @given(extra=st.dictionaries(st.text(min_size=1), st.integers() | st.lists(st.text())))
    def test_no_unknown_field_is_lost(self, extra: Spec) -> None:
        spec = {**extra, **VALID_SPECS["service"], "backends": [{**extra, **BACKEND}]}
        merged = merge_spec(spec, VALID_SPECS["service"], Service)
        for name in set(extra) - set(body_type("service", 2).__struct_fields__):
            assert merged[name] == extra[name]
        for name in set(extra) - set(Backend.__struct_fields__):
            assert merged["backends"][0][name] == extra[name]

    def test_lists_unknown_fields(self) -> None:
        spec = with_value(VALID_SPECS["service"], "backends.0.slot", 4) | {"route": []}
        assert unknown_fields(spec, Service) == ["backends.0.slot", "route"]


class TestEncodeRecord:
    @pytest.mark.parametrize("kind", KINDS)
    def test_round_trip(self, kind: str) -> None:
        body = msgspec.convert(VALID_SPECS[kind], KINDS[kind])
        record = decode_record(kind, "one", 3, encode_record(kind, body))
        assert record == Record(kind=kind, name="one", version=3, body=body)

    def test_a_failure_does_not_show_the_digest(self) -> None:
        value = encode_record("key", Key(workspace="w", digest="secret"))
        failure = decode_record("key", "k", 1, value)
        assert isinstance(failure, Failure)
        assert "secret" not in repr(failure)
