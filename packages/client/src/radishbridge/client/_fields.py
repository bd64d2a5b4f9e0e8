"""Comparison and three-way merge of records by their fields."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.client.console import flatten

Spec = dict[str, t.Any]
ITEM_KEYS = ("name", "prefix")


class _Missing:
    """The value of a field that is not there."""

    __slots__ = ()

    def __repr__(self) -> str:
        return "(missing)"


MISSING: t.Final = _Missing()


class FieldChange(msgspec.Struct, kw_only=True):
    """A field that differs between two forms of a record.

    :param field: dotted path below ``spec``.
    :param old: JSON text of the old value, empty where there was none.
    :param new: JSON text of the new value, empty where there is none.
    """

    field: str
    old: str
    new: str

    def lines(self) -> list[str]:
        """Return the change as lines for people."""
        old = [f"- {self.field}: {self.old}"] if self.old else []
        new = [f"+ {self.field}: {self.new}"] if self.new else []
        return old + new


def compare(old: Spec, new: Spec) -> list[FieldChange]:
    """Return the fields in which two forms differ, by their path."""
    before, after = _leaves(old), _leaves(new)
    return [
        FieldChange(field=_dotted(path), old=_text(before, path), new=_text(after, path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path, MISSING) != after.get(path, MISSING)
    ]


def difference_lines(changes: t.Iterable[FieldChange]) -> list[str]:
    """Return changes as lines for people."""
    return flatten(change.lines() for change in changes)


def merge(base: Spec, theirs: Spec, yours: Spec) -> Spec | list[str]:
    """Combine two changes of the same base.

    :return: the combined form, or the fields that both changed to different values.
    """
    clashes: list[str] = []
    merged = _merge_objects(base, theirs, yours, (), clashes)
    return clashes or merged


def _merge_objects(
    base: Spec, theirs: Spec, yours: Spec, path: tuple[str, ...], clashes: list[str]
) -> Spec:
    names = dict.fromkeys([*theirs, *yours])
    merged = {
        name: _merge_field(
            base.get(name, MISSING),
            theirs.get(name, MISSING),
            yours.get(name, MISSING),
            (*path, name),
            clashes,
        )
        for name in names
    }
    return {name: value for name, value in merged.items() if value is not MISSING}


def _merge_field(
    base: t.Any, theirs: t.Any, yours: t.Any, path: tuple[str, ...], clashes: list[str]
) -> t.Any:
    if theirs in (yours, base):
        return yours
    if yours == base:
        return theirs
    if all(isinstance(value, dict) for value in (base, theirs, yours)):
        return _merge_objects(base, theirs, yours, path, clashes)
    keyed = [_keyed(value) for value in (base, theirs, yours)]
    if all(keyed):
        return list(_merge_objects(keyed[0], keyed[1], keyed[2], path, clashes).values())
    clashes.append(_dotted(path))
    return yours


def _leaves(spec: Spec, path: tuple[str, ...] = ()) -> dict[tuple[str, ...], t.Any]:
    found: dict[tuple[str, ...], t.Any] = {}
    for name, value in spec.items():
        inner = value if isinstance(value, dict) else _keyed(value)
        if inner:
            found |= _leaves(inner, (*path, name))
        else:
            found[(*path, name)] = value
    return found


def _keyed(value: t.Any) -> Spec:
    """Return a list of objects by their name or prefix; empty where it is no such list."""
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return {}
    for key in ITEM_KEYS:
        items = {f"[{item.get(key)}]": item for item in value if key in item}
        if items and len(items) == len(value):
            return items
    return {}


def _text(leaves: dict[tuple[str, ...], t.Any], path: tuple[str, ...]) -> str:
    return msgspec.json.encode(leaves[path]).decode() if path in leaves else ""


def _dotted(path: tuple[str, ...]) -> str:
    return ".".join(path).replace(".[", "[")
