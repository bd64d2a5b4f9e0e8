"""The share table: which process holds which part of every quantity."""

from __future__ import annotations

import msgspec

from radishbridge.records import Failure, ResultCode

TOTAL_UNITS = 1_000_000
MAX_HOLDERS = 32
TABLE_KIND = "share-table"
TABLE_NAME = "hosts"


class Holder(msgspec.Struct, kw_only=True, frozen=True):
    """One process's entry; only that process changes it, others may only remove it.

    :param incarnation: differs for each start of the process.
    :param renewals: grows with each write of the entry.
    :param units: part of each quantity, of ``TOTAL_UNITS``.
    """

    name: str
    incarnation: int
    renewals: int
    units: int

    @property
    def key(self) -> HolderKey:
        """What tells this process from all others."""
        return HolderKey(self.name, self.incarnation)


class HolderKey(msgspec.Struct, frozen=True):
    """Identity of a holder: a restarted process is another holder."""

    name: str
    incarnation: int


class ShareTable(msgspec.Struct, kw_only=True, frozen=True):
    """All holders; their units never sum to more than ``TOTAL_UNITS``.

    :param epoch: grows by one with each write.
    """

    epoch: int = 0
    holders: list[Holder] = []

    def find(self, key: HolderKey) -> Holder | None:
        """Return the entry of a process."""
        return next((holder for holder in self.holders if holder.key == key), None)

    def free_units(self) -> int:
        """Return the units that no entry holds."""
        return TOTAL_UNITS - sum(holder.units for holder in self.holders)

    def without(self, keys: set[HolderKey]) -> ShareTable:
        """Return the table with entries removed, at the same epoch."""
        kept = [holder for holder in self.holders if holder.key not in keys]
        return ShareTable(epoch=self.epoch, holders=kept)

    def replaced(self, entry: Holder) -> ShareTable:
        """Return the next epoch's table with one entry put in or replaced."""
        others = self.without({entry.key}).holders
        return ShareTable(epoch=self.epoch + 1, holders=[*others, entry])


def decode_table(value: bytes) -> ShareTable | Failure:
    """Decode a stored table.

    :return: the table, or ``RECORD_INVALID`` where it is malformed or its units are wrong.
    """
    try:
        table = msgspec.json.decode(value, type=ShareTable)
    except msgspec.MsgspecError as error:
        return Failure(ResultCode.RECORD_INVALID, f"share table: {error}")
    keys = {holder.key for holder in table.holders}
    if len(keys) < len(table.holders):
        return Failure(ResultCode.RECORD_INVALID, "share table: two entries of one process")
    if table.free_units() < 0 or any(holder.units < 0 for holder in table.holders):
        return Failure(ResultCode.RECORD_INVALID, "share table: units out of range")
    return table


def encode_table(table: ShareTable) -> bytes:
    """Encode a table for the store."""
    return msgspec.json.encode(table)
