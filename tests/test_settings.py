from __future__ import annotations

import json
import pathlib
import re
import typing as t

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import (
    Document,
    Failure,
    ResultCode,
    Settings,
    check_document,
    load_settings,
    parse_document,
)

VALID_TEXT = """// settings of one host
{
  host: "host-1", region: "oberbayern", data_center: "ob-a",
  listen: "127.0.0.1:8080",
  admin_listen: "127.0.0.1:8081",
  peer_listen: "[::1]:8082", /* IPv6
  in brackets */
  store: {
    url: "http://127.0.0.1:9000",
    region: "oberbayern",
  },
}
"""
SECRET_KEY = "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6"
PUBLIC_KEY = "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"


def load_text(directory: pathlib.Path, text: str) -> Settings | list[Failure]:
    path = directory / "host.jsonc"
    path.write_text(text, encoding="utf-8")
    return load_settings(path)


def failed_lines(result: Settings | list[Failure]) -> list[tuple[str, int]]:
    assert isinstance(result, list)
    return sorted((failure.field, failure.line) for failure in result)


def parse(text: str) -> Document:
    document = parse_document(text)
    assert isinstance(document, Document), document
    return document


class TestLoadSettings:
    def test_reads_json_with_comments(self, tmp_path: pathlib.Path) -> None:
        result = load_text(tmp_path, VALID_TEXT)
        assert isinstance(result, Settings), result
        assert (result.peer_listen, result.store.timeout_s) == ("[::1]:8082", 2.0)

    def test_reports_all_faults_with_line_numbers(self, tmp_path: pathlib.Path) -> None:
        text = """{
          host: 7, region: "r", data_center: "d",
          listen: "127.0.0.1:99999",
          admin_listen: "localhost:1",
          store: {
            url: "ftp://x", timeout_s: -1
          },
          log: { level: "loud" },
          colour: "red",
          limits: {
            idle_s: "x", header_bytes: 0 },
          peers: { public_key: "short" }
        }"""
        assert failed_lines(load_text(tmp_path, text)) == [
            ("admin_listen", 4),
            ("colour", 9),
            ("host", 2),
            ("limits.header_bytes", 11),
            ("limits.idle_s", 11),
            ("listen", 3),
            ("log.level", 8),
            ("peer_listen", 1),
            ("peers.public_key", 12),
            ("store.region", 5),
            ("store.timeout_s", 6),
            ("store.url", 6),
        ]

    @pytest.mark.parametrize(
        "address",
        [
            "127.0.0.1",
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:080",
            "127.0.0.1:+8",
            "127.0.0.1:٨",
            "127.0.0.256:80",
            "::1:80",
            "[127.0.0.1]:80",
            "host:80",
            ":80",
        ],
    )
    def test_refuses_an_invalid_address(self, tmp_path: pathlib.Path, address: str) -> None:
        result = load_text(tmp_path, VALID_TEXT.replace("127.0.0.1:8080", address))
        assert failed_lines(result) == [("listen", 4)]

    @pytest.mark.parametrize(
        ("peers", "field"),
        [
            ({"public_key": PUBLIC_KEY}, "peers"),
            ({"accepted_keys": [PUBLIC_KEY]}, "peers.accepted_keys"),
            ({"public_key": PUBLIC_KEY[:-1]}, "peers.public_key"),
            ({"secret_key": "#####" * 8}, "peers.secret_key"),
            ({"accepted_keys": [PUBLIC_KEY, PUBLIC_KEY[:-1] + " "]}, "peers.accepted_keys.1"),
        ],
    )
    def test_refuses_invalid_keys(self, tmp_path: pathlib.Path, peers: t.Any, field: str) -> None:
        text = VALID_TEXT.replace("  store:", f"  peers: {json.dumps(peers)},\n  store:")
        assert failed_lines(load_text(tmp_path, text)) == [(field, 8)]

    def test_accepts_a_key_pair_without_accepted_keys(self, tmp_path: pathlib.Path) -> None:
        peers = {"public_key": PUBLIC_KEY, "secret_key": SECRET_KEY}
        text = VALID_TEXT.replace("  store:", f"  peers: {json.dumps(peers)},\n  store:")
        assert isinstance(load_text(tmp_path, text), Settings)

    def test_does_not_show_the_secret_key(self, tmp_path: pathlib.Path) -> None:
        for secret in (SECRET_KEY, SECRET_KEY + "x"):
            peers = {"public_key": PUBLIC_KEY, "secret_key": secret, "accepted_keys": [PUBLIC_KEY]}
            text = VALID_TEXT.replace("  store:", f"  peers: {json.dumps(peers)},\n  store:")
            assert secret not in repr(load_text(tmp_path, text))
            assert secret not in repr(
                load_text(tmp_path, text.replace(f'"{secret}"', f'"{secret}'))
            )

    def test_refuses_listeners_with_the_same_address(self, tmp_path: pathlib.Path) -> None:
        result = load_text(tmp_path, VALID_TEXT.replace("8081", "8080"))
        assert failed_lines(result) == [("admin_listen", 5)]

    def test_refuses_a_duplicate_field(self, tmp_path: pathlib.Path) -> None:
        result = load_text(tmp_path, VALID_TEXT.replace("  store:", '  host: "host-2",\n  store:'))
        assert failed_lines(result) == [("host", 8)]

    @pytest.mark.parametrize("number", ["NaN", "Infinity", "1e999", "true", "null"])
    def test_refuses_an_invalid_number(self, tmp_path: pathlib.Path, number: str) -> None:
        result = load_text(
            tmp_path, VALID_TEXT.replace("  store:", f"  limits: {{idle_s: {number}}},\nstore:")
        )
        assert failed_lines(result) == [("limits.idle_s", 8)]

    def test_reports_a_missing_file(self, tmp_path: pathlib.Path) -> None:
        result = load_settings(tmp_path / "none.jsonc")
        assert isinstance(result, list)
        assert [failure.code for failure in result] == [ResultCode.FILE_UNREADABLE]


class TestSettingsPage:
    def test_lists_exactly_the_fields(self) -> None:
        page = pathlib.Path(__file__).parent.parent / "docs" / "operators" / "settings.md"
        rows = [line for line in page.read_text().splitlines() if line.startswith("| `")]
        cells = [row.split("|")[1] for row in rows if row.count("|") == 4]
        documented = [name for cell in cells for name in re.findall(r"`([a-z_.]+)`", cell)]
        assert sorted(documented) == sorted(self.fields(Settings))

    def fields(self, struct: type[msgspec.Struct], prefix: str = "") -> t.Iterator[str]:
        for field in msgspec.structs.fields(struct):
            if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
                yield from self.fields(field.type, f"{prefix}{field.name}.")
            else:
                yield prefix + field.name


class TestParseDocument:
    @pytest.mark.parametrize(
        ("text", "line"),
        [
            ("{a: 1,\n b: }", 2),
            ("{a: 1,\n\n @}", 3),
            ('{\n"a": "open\n}', 2),
            ("[1,\n2", 2),
            ("", 1),
            pytest.param("[" * 20_000, 0, id="deep"),
            ("[{a: '\\ud800'}]", 0),
        ],
    )
    def test_reports_the_line_of_a_syntax_error(self, text: str, line: int) -> None:
        result = parse_document(text, "file")
        assert isinstance(result, Failure)
        assert (result.code, result.line) == (ResultCode.FILE_UNREADABLE, line)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.text(alphabet="{}[]:,/*'\"ab01 \n\\-+.eNI", max_size=30))
    def test_never_raises(self, text: str) -> None:
        assert isinstance(parse_document(text), Document | Failure)


class TestDocument:
    def test_line_of_a_field(self) -> None:
        document = parse('// c\n[\n {a: [1,\n  {"b": 2}],\n  c: {}}\n]')
        fields = ["", "0", "0.a", "0.a.0", "0.a.1", "0.a.1.b", "0.c", "0.c.missing", "0.a.7"]
        assert [document.line(field) for field in fields] == [2, 3, 3, 3, 4, 4, 5, 5, 3]

    def test_line_in_plain_json(self) -> None:
        document = parse(json.dumps({"a": [1, {"b": 2}]}, indent=1))
        assert document.line("a.1.b") == 5

    def test_line_in_deeply_nested_json(self) -> None:
        depths = (
            depth for depth in range(2000, 0, -1) if parse_document("[" * depth + "]" * depth)
        )
        depth = next(depths)
        assert parse("[" * depth + "]" * depth).line(".".join(["0"] * depth)) == 1

    def test_checks_one_value_of_a_document(self) -> None:
        class Point(msgspec.Struct, forbid_unknown_fields=True):
            x: int

        document = parse("[{x: 1},\n {x: 2,\n y: 3}]")
        assert check_document(document, Point, path="0") == Point(1)
        faults = check_document(document, Point, path="1")
        assert isinstance(faults, list)
        assert [(fault.field, fault.line) for fault in faults] == [("1.y", 3)]
