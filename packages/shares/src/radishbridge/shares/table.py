"""The share table: which part of all rate limits each process holds."""

from __future__ import annotations

import msgspec

from radishbridge.records import DECODE_ERRORS, Failure, ResultCode

# Number of units that every workspace's rate and burst are divided into.
TOTAL_UNITS = 1_000_000
MAX_HOLDERS = 32
TABLE_KIND = "share-table"
TABLE_NAME = "hosts"


class Holder(msgspec.Struct, kw_only=True, frozen=True):
    """The entry of one process. Only that process changes it; others may only remove it.

    :param incarnation: differs for each start of the process.
    :param renewals: increases with each write of the entry.
    :param units: part of each rate limit, of ``TOTAL_UNITS``.
    """

    name: str
    incarnation: int
    renewals: int
    units: int

    @property
    def key(self) -> HolderKey:
        """Identity of the process."""
        return HolderKey(self.name, self.incarnation)


class HolderKey(msgspec.Struct, frozen=True):
    """Identity of a holder. A restarted process is a different holder."""

    name: str
    incarnation: int


class ShareTable(msgspec.Struct, kw_only=True, frozen=True):
    """The entries of all holders, whose units never add up to more than ``TOTAL_UNITS``.

    :param epoch: increases by one with each write.
    """

    epoch: int = 0
    holders: list[Holder] = []

    def find(self, key: HolderKey) -> Holder | None:
        """Return the entry of a process, ``None`` if there is none."""
        return next((holder for holder in self.holders if holder.key == key), None)

    def free_units(self) -> int:
        """Return the units that no process holds."""
        return TOTAL_UNITS - sum(holder.units for holder in self.holders)

    def without(self, keys: set[HolderKey]) -> ShareTable:
        """Return the table without some entries, at the same epoch."""
        kept = [holder for holder in self.holders if holder.key not in keys]
        return ShareTable(epoch=self.epoch, holders=kept)

    def with_entry(self, entry: Holder) -> ShareTable:
        """Return the table of the next epoch, with an entry added or replaced."""
        others = self.without({entry.key}).holders
        return ShareTable(epoch=self.epoch + 1, holders=[*others, entry])


def decode_table(value: bytes) -> ShareTable | Failure:
    """Decode a stored table.

    :return: the table, or ``RECORD_INVALID`` if it is malformed or its units are out of range.
    """
    try:
        table = msgspec.json.decode(value, type=ShareTable)
    except DECODE_ERRORS as error:
        return Failure(ResultCode.RECORD_INVALID, f"share table: {error}")
    keys = {holder.key for holder in table.holders}
    if len(keys) < len(table.holders):
        return Failure(ResultCode.RECORD_INVALID, "share table: duplicate entry of a process")
    if table.free_units() < 0 or any(holder.units < 0 for holder in table.holders):
        return Failure(ResultCode.RECORD_INVALID, "share table: units out of range")
    return table


def encode_table(table: ShareTable) -> bytes:
    """Encode a table for the store."""
    return msgspec.json.encode(table)
