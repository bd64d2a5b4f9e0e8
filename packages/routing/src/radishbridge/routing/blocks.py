"""A packed table of client blocks: which site an address belongs to, by longest match.

A part's ``packed`` field is the base64 text of a header and a zlib stream. The header is the format
version (1 byte, ``1``) and the number of blocks (4 bytes, big endian). The stream holds three
columns, little endian, each with one entry for each block in the order of address, then length:

- address less the address before it: 4 bytes for IPv4, 8 bytes for the upper half of IPv6,
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
# Bits of an address by which blocks differ; the lower half of an IPv6 address names one machine.
ADDRESS_BITS = {4: 32, 6: 64}
BLOCKS_PER_PART_MAX = 1_000_000

_HEADER = struct.Struct(">BI")
_NO_PARENT = 0xFFFF_FFFF
_MAPPED_PREFIX = bytes(10) + b"\xff\xff"


class _Family:
    """How addresses of one family are stored.

    :param bits: bits of an address that blocks distinguish.
    :param typecode: array type code of an address.
    """

    __slots__ = ("bits", "number", "typecode")

    def __init__(self, number: t.Literal[4, 6], bits: int, typecode: str) -> None:
        self.number = number
        self.bits = bits
        self.typecode = typecode

    @property
    def block_bytes(self) -> int:
        """Bytes of one block in a part."""
        return self.bits // 8 + 3


_FAMILIES = {4: _Family(4, ADDRESS_BITS[4], "I"), 6: _Family(6, ADDRESS_BITS[6], "Q")}


class Block:
    """A block of client addresses.

    :param family: 4 or 6.
    :param address: first address as an integer; of IPv6 the upper 64 bits.
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
        """Bytes that tell the block from others, the same on every host."""
        return struct.pack(">BQB", self.family, self.address, self.prefix_length)


class BlockSet:
    """The blocks of one record, in columns ordered by address, then length.

    :param parents: index of the smallest block around each block; ``None`` where no block of the
        part is nested.
    """

    __slots__ = ("addresses", "family", "last", "lengths", "parents", "site_names", "sites")

    def __init__(
        self,
        family: _Family,
        addresses: array.array[int],
        lengths: bytes,
        sites: array.array[int],
        site_names: list[str],
    ) -> None:
        self.family = family
        self.addresses = addresses
        self.lengths = lengths
        self.sites = sites
        self.site_names = [sys.intern(name) for name in site_names]
        self.parents, self.last = _find_parents(family, addresses, lengths)

    def find(self, address: int) -> int:
        """Return the index of the longest block around an address, -1 where there is none."""
        index = bisect.bisect_right(self.addresses, address) - 1
        while index >= 0:
            shift = self.family.bits - self.lengths[index]
            if address >> shift == self.addresses[index] >> shift:
                return index
            # A block around the address lies around this block too, since it starts before it.
            parent = _NO_PARENT if self.parents is None else self.parents[index]
            index = -1 if parent == _NO_PARENT else parent
        return -1

    def block(self, index: int) -> Block:
        """Return a block by its index."""
        site = self.site_names[self.sites[index]]
        return Block(self.family.number, self.addresses[index], self.lengths[index], site)

    @property
    def resident_bytes(self) -> int:
        """Bytes of the columns."""
        columns = (self.addresses, self.lengths, self.sites, self.parents)
        return sum(sys.getsizeof(column) for column in columns if column is not None)


class BlockTable:
    """Client blocks of all parts.

    Parts may come in any order and overlap; the longest block of all parts applies, and of equal
    blocks the one whose part comes first by name.
    """

    __slots__ = ("_indexes", "block_sets")

    def __init__(self) -> None:
        self.block_sets: dict[str, BlockSet] = {}
        self._indexes: dict[int, _PartIndex] = {}

    def load(self, name: str, body: ClientBlocks | None) -> Failure | None:
        """Take in one record; a damaged one leaves the last good part in place.

        :param name: name of the record.
        :param body: its body; ``None`` for a deletion.
        :return: ``RECORD_INVALID`` where the part is damaged.
        """
        part = None if body is None else unpack_blocks(body)
        if isinstance(part, Failure):
            return Failure(part.code, f"client-blocks/{name}: {part.reason}", part.field)
        self.replace(name, part)
        return None

    def replace(self, name: str, part: BlockSet | None) -> None:
        """Put a part in place of the one of its name, or take it out."""
        self.block_sets.pop(name, None)
        if part is not None:
            self.block_sets[name] = part
        self._indexes.clear()

    def find(self, client_address: str) -> Block | None:
        """Return the longest block around an address; ``None`` where none is or it is malformed."""
        parsed = parse_address(client_address)
        if parsed is None:
            return None
        family, address = parsed
        index = self._indexes.get(family)
        if index is None:
            index = self._indexes[family] = _PartIndex(self._parts_of(family))
        best: Block | None = None
        for part in index.around(address):
            at = part.find(address)
            if at >= 0 and (best is None or part.lengths[at] > best.prefix_length):
                best = part.block(at)
        return best

    @property
    def resident_bytes(self) -> int:
        """Bytes of the columns of all parts."""
        return sum(part.resident_bytes for part in self.block_sets.values())

    def _parts_of(self, family: int) -> list[BlockSet]:
        named = sorted(self.block_sets.items())
        return [part for _, part in named if part.family.number == family and part.addresses]


class _PartIndex:
    """Which parts may hold a block around an address."""

    __slots__ = ("block_sets", "edges")

    def __init__(self, parts: list[BlockSet]) -> None:
        starts = [(part.addresses[0], order) for order, part in enumerate(parts)]
        ends = [(part.last + 1, order) for order, part in enumerate(parts)]
        changes = sorted([*starts, *ends])
        self.edges: list[int] = []
        self.block_sets: list[tuple[BlockSet, ...]] = []
        inside: set[int] = set()
        for edge, group in itertools.groupby(changes, key=operator.itemgetter(0)):
            for _, order in group:
                # Each part changes twice: it starts, then it ends.
                inside ^= {order}
            self.edges.append(edge)
            self.block_sets.append(tuple(parts[order] for order in sorted(inside)))

    def around(self, address: int) -> tuple[BlockSet, ...]:
        """Return the parts whose range holds an address, by name."""
        at = bisect.bisect_right(self.edges, address) - 1
        return self.block_sets[at] if at >= 0 else ()


def parse_address(text: str) -> tuple[t.Literal[4, 6], int] | None:
    """Return the family and the distinguishing bits of an address, ``None`` if malformed.

    An IPv4 address in IPv6 form counts as IPv4.
    """
    try:
        if ":" not in text:
            return 4, int.from_bytes(socket.inet_pton(socket.AF_INET, text))
        packed = socket.inet_pton(socket.AF_INET6, text)
    except (OSError, ValueError):
        return None
    if packed.startswith(_MAPPED_PREFIX):
        return 4, int.from_bytes(packed[12:])
    return 6, int.from_bytes(packed[:8])


def pack_blocks(family: t.Literal[4, 6], blocks: t.Iterable[Block]) -> ClientBlocks:
    """Pack blocks of one family into the body of a record.

    :param blocks: in any order; of equal blocks the last one stays.
    """
    kind = _FAMILIES[family]
    unique = {(block.address, block.prefix_length): block.site for block in blocks}
    ordered = sorted(unique)
    names = sorted(set(unique.values()))
    numbers = {name: number for number, name in enumerate(names)}
    addresses = [address for address, _ in ordered]
    deltas = map(operator.sub, addresses, itertools.chain((0,), addresses))
    columns = [
        _to_bytes(array.array(kind.typecode, deltas)),
        bytes(length for _, length in ordered),
        _to_bytes(array.array("H", (numbers[unique[at]] for at in ordered))),
    ]
    packed = _HEADER.pack(FORMAT_VERSION, len(ordered)) + zlib.compress(b"".join(columns), 9)
    return ClientBlocks(family=family, sites=names, packed=base64.b64encode(packed).decode())


def unpack_blocks(body: ClientBlocks) -> BlockSet | Failure:
    """Unpack and check the body of a record.

    It takes time in proportion to the blocks; a daemon runs it in a worker thread.

    :return: the part, or ``RECORD_INVALID`` for the field ``packed``.
    """
    kind = _FAMILIES[body.family]
    try:
        packed = base64.b64decode(body.packed, validate=True)
        version, count = _HEADER.unpack_from(packed)
        if version != FORMAT_VERSION:
            return _damaged(f"unknown format version {version}")
        if count > BLOCKS_PER_PART_MAX:
            return _damaged(f"more than {BLOCKS_PER_PART_MAX} blocks")
        columns = _decompress(packed[_HEADER.size :], count * kind.block_bytes)
        return _read_columns(kind, columns, count, body.sites)
    except (ValueError, OverflowError, struct.error, zlib.error) as error:
        return _damaged(str(error))


def _decompress(stream: bytes, size_bytes: int) -> bytes:
    inflater = zlib.decompressobj()
    data = inflater.decompress(stream, size_bytes + 1)
    if len(data) != size_bytes or not inflater.eof or inflater.unused_data:
        raise ValueError("the number of blocks does not fit the data")
    return data


def _read_columns(family: _Family, columns: bytes, count: int, site_names: list[str]) -> BlockSet:
    address_end = count * family.bits // 8
    deltas = _from_bytes(family.typecode, columns[:address_end])
    lengths = columns[address_end : address_end + count]
    sites = _from_bytes("H", columns[address_end + count :])
    if sites and max(sites) >= len(site_names):
        raise ValueError("a block's site is not in the list")
    if lengths and max(lengths) > family.bits:
        raise ValueError(f"a prefix is longer than {family.bits} bits")
    addresses = array.array(family.typecode, itertools.accumulate(deltas))
    return BlockSet(family, addresses[:], lengths, sites[:], site_names)


def _find_parents(
    family: _Family, addresses: array.array[int], lengths: bytes
) -> tuple[array.array[int] | None, int]:
    """Return each block's parent, and the last address of all blocks.

    :return: the parents are ``None`` where no block is nested.
    """
    parents = array.array("I", bytes(4 * len(addresses)))
    open_blocks: list[tuple[int, int]] = []
    sizes = [1 << (family.bits - length) for length in range(family.bits + 1)]
    last, before = -1, (-1, -1)
    nested = False
    for index, at in enumerate(zip(addresses, lengths, strict=True)):
        address, length = at
        size = sizes[length]
        if at <= before or address & (size - 1):
            raise ValueError("blocks are out of order or have bits set past their length")
        while open_blocks and open_blocks[-1][1] < address:
            open_blocks.pop()
        parents[index] = open_blocks[-1][0] if open_blocks else _NO_PARENT
        nested = nested or bool(open_blocks)
        end = address + size - 1
        open_blocks.append((index, end))
        last, before = max(last, end), at
    return parents if nested else None, last


def _to_bytes(column: array.array[int]) -> bytes:
    if sys.byteorder == "big":
        column.byteswap()
    return column.tobytes()


def _from_bytes(typecode: str, data: bytes) -> array.array[int]:
    column = array.array(typecode, data)
    if sys.byteorder == "big":
        column.byteswap()
    return column


def _damaged(reason: str) -> Failure:
    return Failure(ResultCode.RECORD_INVALID, reason, "packed")
