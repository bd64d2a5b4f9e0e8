from __future__ import annotations

import base64
import ipaddress
import typing as t
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import ClientBlocks, Failure, ResultCode
from radishbridge.routing import Block, BlockSet, BlockTable, pack_blocks, unpack_blocks

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
SITES = ["a", "b", "c"]

# A few distinct bits high and low make nested and neighbouring blocks likely.
v4_addresses = st.builds(
    lambda high, low: (high << 28) + low, st.integers(0, 3), st.integers(0, 15)
)
v6_addresses = st.builds(
    lambda high, low: (high << 124) + (low << 64), st.integers(0, 3), st.integers(0, 15)
)
v4_networks = st.builds(
    lambda address, length: ipaddress.IPv4Network((address, length), strict=False),
    v4_addresses,
    st.integers(0, 32),
)
v6_networks = st.builds(
    lambda address, length: ipaddress.IPv6Network((address, length), strict=False),
    v6_addresses,
    st.integers(0, 64),
)
placed = st.dictionaries(v4_networks | v6_networks, st.sampled_from(SITES), max_size=40)
addresses = st.one_of(
    st.builds(ipaddress.IPv4Address, v4_addresses | st.integers(0, 2**32 - 1)),
    st.builds(ipaddress.IPv6Address, v6_addresses | st.integers(0, 2**128 - 1)),
)


def as_block(network: Network, site: str) -> Block:
    shift = 64 if network.version == 6 else 0
    return Block(network.version, int(network.network_address) >> shift, network.prefixlen, site)


def block(text: str, site: str = "a") -> Block:
    return as_block(ipaddress.ip_network(text), site)


def part_of(*blocks: Block) -> ClientBlocks:
    return pack_blocks(blocks[0].family, blocks)


def table_of(**parts: ClientBlocks) -> BlockTable:
    table = BlockTable()
    for name, body in parts.items():
        assert table.load(name, body) is None
    return table


def naive_site(placed: dict[Network, str], address: t.Any) -> str | None:
    mapped = getattr(address, "ipv4_mapped", None)
    address = address if mapped is None else mapped
    around = [one for one in placed if one.version == address.version and address in one]
    longest = max(around, key=lambda one: one.prefixlen, default=None)
    return None if longest is None else placed[longest]


class TestBlockTable:
    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(placed=placed, asked=st.lists(addresses, max_size=20), parts=st.integers(1, 4))
    def test_agrees_with_a_scan_of_all_networks(
        self, placed: dict[Network, str], asked: list[t.Any], parts: int
    ) -> None:
        table = BlockTable()
        for number in range(parts):
            for family in (4, 6):
                share = list(placed.items())[number::parts]
                blocks = [as_block(one, site) for one, site in share if one.version == family]
                assert table.load(f"{family}-{number}", pack_blocks(family, blocks)) is None
        edges = [edge for one in placed for edge in (one[0], one[-1])]
        for address in [*asked, *edges]:
            found = table.find(str(address))
            assert (None if found is None else found.site) == naive_site(placed, address)

    def test_finds_the_longest_match_over_parts(self) -> None:
        table = table_of(
            wide=part_of(block("10.0.0.0/8", "wide")),
            narrow=part_of(block("10.1.0.0/16", "narrow"), block("10.3.0.0/16", "other")),
        )
        found = [table.find(f"10.{number}.0.9") for number in range(4)]
        assert [one.site if one else None for one in found] == ["wide", "narrow", "wide", "other"]

    def test_an_address_of_one_family_in_the_form_of_the_other(self) -> None:
        table = table_of(a=part_of(block("10.1.0.0/16")))
        assert table.find("::ffff:10.1.2.3") == block("10.1.0.0/16")

    @pytest.mark.parametrize("address", ["", "10.1", "10.1.0.256", "10.01.0.1", "::g", "ü", "\0"])
    def test_a_malformed_address_has_no_block(self, address: str) -> None:
        assert table_of(a=part_of(block("0.0.0.0/0"))).find(address) is None

    def test_of_equal_blocks_the_first_part_by_name_applies(self) -> None:
        one, two = part_of(block("10.0.0.0/8", "x")), part_of(block("10.0.0.0/8", "y"))
        assert table_of(b=two, a=one).find("10.0.0.1") == block("10.0.0.0/8", "x")

    def test_an_update_replaces_its_part_only(self) -> None:
        table = table_of(a=part_of(block("10.0.0.0/8")), b=part_of(block("11.0.0.0/8")))
        assert table.load("a", part_of(block("12.0.0.0/8"))) is None
        found = [table.find(f"{number}.0.0.1") is not None for number in (10, 11, 12)]
        assert found == [False, True, True]
        assert table.load("b", None) is None
        assert table.find("11.0.0.1") is None


def packed(data: bytes, count: int = 1, version: int = 1) -> str:
    header = bytes([version]) + count.to_bytes(4, "big")
    return base64.b64encode(header + zlib.compress(data)).decode()


def columns(address: int, length: int, site: int) -> bytes:
    return address.to_bytes(4, "little") + bytes([length]) + site.to_bytes(2, "little")


class TestUnpackBlocks:
    def test_accepts_one_block(self) -> None:
        body = ClientBlocks(family=4, sites=["a"], packed=packed(columns(10 << 24, 8, 0)))
        part = unpack_blocks(body)
        assert isinstance(part, BlockSet)
        assert part.block(0) == block("10.0.0.0/8")

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "not base64",
            "AAAA",
            packed(columns(10 << 24, 8, 0))[:-8],
            packed(columns(10 << 24, 8, 0), version=2),
            packed(columns(10 << 24, 8, 0), count=2),
            packed(columns(10 << 24, 8, 0), count=0),
            packed(columns(10 << 24, 8, 0), count=2**32 - 1),
            packed(columns(10 << 24, 8, 1)),
            packed(columns(10 << 24, 33, 0)),
            packed(columns(10 << 24 | 1, 8, 0)),
            packed(bytes(8) + bytes([8, 8]) + bytes(4), count=2),
            packed(b"\xff" * 8 + bytes([32, 32]) + bytes(4), count=2),
        ],
    )
    def test_a_damaged_part_leaves_the_last_good_one(self, text: str) -> None:
        table = table_of(a=part_of(block("10.0.0.0/8")))
        failure = table.load("a", ClientBlocks(family=4, sites=["a"], packed=text))
        assert isinstance(failure, Failure)
        assert (failure.code, failure.field) == (ResultCode.RECORD_INVALID, "packed")
        assert table.find("10.0.0.1") == block("10.0.0.0/8")

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(at=st.integers(0), flip=st.integers(1, 255))
    def test_a_changed_byte_is_found_or_does_no_harm(self, at: int, flip: int) -> None:
        good = part_of(block("10.0.0.0/8", "a"), block("10.1.0.0/16", "b"))
        data = bytearray(base64.b64decode(good.packed))
        data[at % len(data)] ^= flip
        changed = msgspec.structs.replace(good, packed=base64.b64encode(data).decode())
        result = unpack_blocks(changed)
        assert isinstance(result, Failure) or [result.block(0), result.block(1)] == [
            block("10.0.0.0/8", "a"),
            block("10.1.0.0/16", "b"),
        ]

    def test_a_stream_that_inflates_far_beyond_its_count_is_refused(self) -> None:
        text = packed(bytes(50_000_000))
        assert isinstance(unpack_blocks(ClientBlocks(family=4, sites=["a"], packed=text)), Failure)
