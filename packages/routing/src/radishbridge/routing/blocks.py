"""Table of client blocks that maps an address to a site by longest prefix match.

The ``packed`` field of a client-blocks record is the base64 encoding of a header and a zlib stream.
The header is the format version (1 byte, ``1``) and the number of blocks (4 bytes, big endian). The
stream holds three little-endian columns with one entry per block, sorted by address, then prefix
length:

- difference to the previous address: 4 bytes for IPv4, 8 bytes for the upper half of IPv6,
- prefix length: 1 byte, at most 32 for IPv4 and 64 for IPv6,
- index into ``sites``: 2 bytes.
"""

from __future__ import annotations

import array
import base64
import bisect
import itertools
import operator
import socket
import struct
import sys
import typing as t
import zlib

from radishbridge.records import ClientBlocks, Failure, ResultCode

FORMAT_VERSION = 1
# Leading bits of an address that blocks distinguish; the lower half of an IPv6 address identifies
# a single machine.
ADDRESS_BITS = {4: 32, 6: 64}
BLOCKS_PER_RECORD_MAX = 1_000_000

_HEADER = struct.Struct(">BI")
_NO_PARENT = 0xFFFF_FFFF
_IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"


class _AddressFamily:
    """Storage layout for addresses of one family.

    :param number: 4 or 6.
    :param bits: leading bits of an address that blocks distinguish.
    :param typecode: ``array`` type code of an address.
    """

    __slots__ = ("bits", "number", "typecode")

    def __init__(self, number: t.Literal[4, 6], bits: int, typecode: str) -> None:
        self.number = number
        self.bits = bits
        self.typecode = typecode

    @property
    def block_bytes(self) -> int:
        """Size of one block in an uncompressed record."""
        return self.bits // 8 + 3


_FAMILIES = {4: _AddressFamily(4, ADDRESS_BITS[4], "I"), 6: _AddressFamily(6, ADDRESS_BITS[6], "Q")}


class Block:
    """A block of client addresses.

    :param family: 4 or 6.
    :param address: first address as an integer; for IPv6 its upper 64 bits.
    :param prefix_length: in bits.
    :param site: name of the site record.
    """

    __slots__ = ("address", "family", "prefix_length", "site")

    def __init__(
        self, family: t.Literal[4, 6], address: int, prefix_length: int, site: str
    ) -> None:
        self.family = family
        self.address = address
        self.prefix_length = prefix_length
        self.site = site

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Block) and self.key == other.key and self.site == other.site

    def __hash__(self) -> int:
        return hash(self.key)

    def __repr__(self) -> str:
        return f"Block({self.family}, {self.address:#x}, {self.prefix_length}, {self.site!r})"

    @property
    def key(self) -> bytes:
        """Bytes that identify the block; the same on every host."""
        return struct.pack(">BQB", self.family, self.address, self.prefix_length)


class BlockSet:
    """The blocks of one record, stored in columns sorted by address, then prefix length.

    :param addresses: first address of each block.
    :param site_indexes: index into ``site_names`` for each block.
    :ivar parents: index of the smallest block that encloses each block; ``None`` if no block is
        nested in another.
    :ivar last_address: last address of all blocks.
    """

    __slots__ = (
        "addresses",
        "family",
        "last_address",
        "parents",
        "prefix_lengths",
        "site_indexes",
        "site_names",
    )

    def __init__(
        self,
        family: _AddressFamily,
        addresses: array.array[int],
        prefix_lengths: bytes,
        site_indexes: array.array[int],
        site_names: list[str],
    ) -> None:
        self.family = family
        self.addresses = addresses
        self.prefix_lengths = prefix_lengths
        self.site_indexes = site_indexes
        self.site_names = [sys.intern(name) for name in site_names]
        self.parents, self.last_address = _find_parents(family, addresses, prefix_lengths)

    def find(self, address: int) -> int:
        """Return the index of the smallest block that contains an address, or -1."""
        index = bisect.bisect_right(self.addresses, address) - 1
        while index >= 0:
            shift = self.family.bits - self.prefix_lengths[index]
            if address >> shift == self.addresses[index] >> shift:
                return index
            # A block that contains the address precedes this block and therefore encloses it.
            parent = _NO_PARENT if self.parents is None else self.parents[index]
            index = -1 if parent == _NO_PARENT else parent
        return -1

    def block(self, index: int) -> Block:
        """Return the block at an index."""
        site = self.site_names[self.site_indexes[index]]
        return Block(self.family.number, self.addresses[index], self.prefix_lengths[index], site)

    @property
    def resident_bytes(self) -> int:
        """Memory used by the columns, in bytes."""
        columns = (self.addresses, self.prefix_lengths, self.site_indexes, self.parents)
        return sum(sys.getsizeof(column) for column in columns if column is not None)


class BlockTable:
    """Client blocks of all records.

    Records may arrive in any order and their blocks may overlap. The block with the longest prefix
    applies; among equal blocks, the one whose record name sorts first.
    """

    __slots__ = ("_indexes", "block_sets")

    def __init__(self) -> None:
        self.block_sets: dict[str, BlockSet] = {}
        self._indexes: dict[int, _RangeIndex] = {}

    def load(self, name: str, body: ClientBlocks | None) -> Failure | None:
        """Load one record; an invalid one leaves the last valid blocks of that name in place.

        :param name: name of the record.
        :param body: body of the record; ``None`` for a deletion.
        :return: ``RECORD_INVALID`` if the record is invalid.
        """
        blocks = None if body is None else unpack_blocks(body)
        if isinstance(blocks, Failure):
            return Failure(blocks.code, f"client-blocks/{name}: {blocks.reason}", blocks.field)
        self.replace(name, blocks)
        return None

    def replace(self, name: str, blocks: BlockSet | None) -> None:
        """Replace the blocks of a record; ``None`` removes them."""
        self.block_sets.pop(name, None)
        if blocks is not None:
            self.block_sets[name] = blocks
        self._indexes.clear()

    def find(self, client_address: str) -> Block | None:
        """Return the smallest block that contains an address.

        :return: ``None`` if no block contains it or it is malformed.
        """
        parsed = parse_address(client_address)
        if parsed is None:
            return None
        family, address = parsed
        index = self._indexes.get(family)
        if index is None:
            index = self._indexes[family] = _RangeIndex(self._sets_of(family))
        best: Block | None = None
        for blocks in index.sets_containing(address):
            position = blocks.find(address)
            if position >= 0 and (
                best is None or blocks.prefix_lengths[position] > best.prefix_length
            ):
                best = blocks.block(position)
        return best

    @property
    def resident_bytes(self) -> int:
        """Memory used by the columns of all records, in bytes."""
        return sum(blocks.resident_bytes for blocks in self.block_sets.values())

    def _sets_of(self, family: int) -> list[BlockSet]:
        named = sorted(self.block_sets.items())
        return [
            blocks for _, blocks in named if blocks.family.number == family and blocks.addresses
        ]


class _RangeIndex:
    """Finds the block sets whose address range contains an address.

    :param block_sets: non-empty sets of one address family, sorted by record name.
    """

    __slots__ = ("boundaries", "sets_from")

    def __init__(self, block_sets: list[BlockSet]) -> None:
        starts = [(blocks.addresses[0], order) for order, blocks in enumerate(block_sets)]
        ends = [(blocks.last_address + 1, order) for order, blocks in enumerate(block_sets)]
        changes = sorted([*starts, *ends])
        self.boundaries: list[int] = []
        self.sets_from: list[tuple[BlockSet, ...]] = []
        active: set[int] = set()
        for boundary, group in itertools.groupby(changes, key=operator.itemgetter(0)):
            for _, order in group:
                # Each set occurs twice: at its start, then at its end.
                active ^= {order}
            self.boundaries.append(boundary)
            self.sets_from.append(tuple(block_sets[order] for order in sorted(active)))

    def sets_containing(self, address: int) -> tuple[BlockSet, ...]:
        """Return the sets whose range contains an address, sorted by record name."""
        index = bisect.bisect_right(self.boundaries, address) - 1
        return self.sets_from[index] if index >= 0 else ()


def parse_address(text: str) -> tuple[t.Literal[4, 6], int] | None:
    """Return the family and the leading bits of an address, or ``None`` if it is malformed.

    An IPv4-mapped IPv6 address counts as IPv4.
    """
    try:
        if ":" not in text:
            return 4, int.from_bytes(socket.inet_pton(socket.AF_INET, text))
        packed = socket.inet_pton(socket.AF_INET6, text)
    except (OSError, ValueError):
        return None
    if packed.startswith(_IPV4_MAPPED_PREFIX):
        return 4, int.from_bytes(packed[12:])
    return 6, int.from_bytes(packed[:8])


def pack_blocks(family: t.Literal[4, 6], blocks: t.Iterable[Block]) -> ClientBlocks:
    """Pack blocks of one family into the body of a record.

    :param blocks: in any order; the last of several equal blocks is kept.
    """
    layout = _FAMILIES[family]
    unique = {(block.address, block.prefix_length): block.site for block in blocks}
    keys = sorted(unique)
    site_names = sorted(set(unique.values()))
    site_indexes = {name: index for index, name in enumerate(site_names)}
    addresses = [address for address, _ in keys]
    deltas = map(operator.sub, addresses, itertools.chain((0,), addresses))
    columns = [
        _to_bytes(array.array(layout.typecode, deltas)),
        bytes(length for _, length in keys),
        _to_bytes(array.array("H", (site_indexes[unique[key]] for key in keys))),
    ]
    packed = _HEADER.pack(FORMAT_VERSION, len(keys)) + zlib.compress(b"".join(columns), 9)
    return ClientBlocks(family=family, sites=site_names, packed=base64.b64encode(packed).decode())


def unpack_blocks(body: ClientBlocks) -> BlockSet | Failure:
    """Unpack and validate the body of a record.

    This takes time proportional to the number of blocks, so a host runs it in a worker thread.

    :return: the blocks, or ``RECORD_INVALID`` for the field ``packed``.
    """
    layout = _FAMILIES[body.family]
    try:
        packed = base64.b64decode(body.packed, validate=True)
        version, count = _HEADER.unpack_from(packed)
        if version != FORMAT_VERSION:
            return _invalid(f"unknown format version {version}")
        if count > BLOCKS_PER_RECORD_MAX:
            return _invalid(f"more than {BLOCKS_PER_RECORD_MAX} blocks")
        columns = _decompress(packed[_HEADER.size :], count * layout.block_bytes)
        return _read_columns(layout, columns, count, body.sites)
    except (ValueError, OverflowError, struct.error, zlib.error) as error:
        return _invalid(str(error))


def _decompress(stream: bytes, size_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(stream, size_bytes + 1)
    if len(data) != size_bytes or not decompressor.eof or decompressor.unused_data:
        raise ValueError("number of blocks does not match the size of the data")
    return data


def _read_columns(
    family: _AddressFamily, columns: bytes, count: int, site_names: list[str]
) -> BlockSet:
    address_end = count * family.bits // 8
    deltas = _from_bytes(family.typecode, columns[:address_end])
    prefix_lengths = columns[address_end : address_end + count]
    site_indexes = _from_bytes("H", columns[address_end + count :])
    if site_indexes and max(site_indexes) >= len(site_names):
        raise ValueError("site index of a block is out of range")
    if prefix_lengths and max(prefix_lengths) > family.bits:
        raise ValueError(f"prefix length of a block exceeds {family.bits} bits")
    addresses = array.array(family.typecode, itertools.accumulate(deltas))
    return BlockSet(family, addresses[:], prefix_lengths, site_indexes[:], site_names)


def _find_parents(
    family: _AddressFamily, addresses: array.array[int], prefix_lengths: bytes
) -> tuple[array.array[int] | None, int]:
    """Check the order of the blocks, and return each block's parent and the last address of all.

    :return: the parents are ``None`` if no block is nested in another.
    """
    parents = array.array("I", bytes(4 * len(addresses)))
    enclosing: list[tuple[int, int]] = []
    sizes = [1 << (family.bits - length) for length in range(family.bits + 1)]
    last_address, previous = -1, (-1, -1)
    nested = False
    for index, block_key in enumerate(zip(addresses, prefix_lengths, strict=True)):
        address, length = block_key
        size = sizes[length]
        if block_key <= previous or address & (size - 1):
            raise ValueError("blocks are not sorted, or an address has bits set beyond its prefix")
        while enclosing and enclosing[-1][1] < address:
            enclosing.pop()
        parents[index] = enclosing[-1][0] if enclosing else _NO_PARENT
        nested = nested or bool(enclosing)
        end = address + size - 1
        enclosing.append((index, end))
        last_address, previous = max(last_address, end), block_key
    return parents if nested else None, last_address


def _to_bytes(column: array.array[int]) -> bytes:
    if sys.byteorder == "big":
        column.byteswap()
    return column.tobytes()


def _from_bytes(typecode: str, data: bytes) -> array.array[int]:
    column = array.array(typecode, data)
    if sys.byteorder == "big":
        column.byteswap()
    return column


def _invalid(reason: str) -> Failure:
    return Failure(ResultCode.RECORD_INVALID, reason, "packed")
