"""Field-by-field comparison and three-way merge of record specs."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.client.console import flatten

Spec = dict[str, t.Any]
ITEM_KEY_FIELDS = ("name", "prefix")


class _Missing:
    """Type of the sentinel value of a missing field."""

    __slots__ = ()

    def __repr__(self) -> str:
        return "(missing)"


MISSING: t.Final = _Missing()


class FieldChange(msgspec.Struct, kw_only=True):
    """A field that differs between two specs of a record.

    :param field: dotted path of the field below ``spec``.
    :param old: JSON text of the old value, empty if the field was missing.
    :param new: JSON text of the new value, empty if the field is missing.
    """

    field: str
    old: str
    new: str

    def format_lines(self) -> list[str]:
        """Format the change as human-readable lines."""
        old = [f"- {self.field}: {self.old}"] if self.old else []
        new = [f"+ {self.field}: {self.new}"] if self.new else []
        return old + new


def compare_specs(old: Spec, new: Spec) -> list[FieldChange]:
    """Return the fields in which two specs differ, sorted by path."""
    old_values, new_values = _flatten_spec(old), _flatten_spec(new)
    return [
        FieldChange(
            field=_format_path(path),
            old=_encode_value(old_values, path),
            new=_encode_value(new_values, path),
        )
        for path in sorted(old_values.keys() | new_values.keys())
        if old_values.get(path, MISSING) != new_values.get(path, MISSING)
    ]


def format_changes(changes: t.Iterable[FieldChange]) -> list[str]:
    """Format changes as human-readable lines."""
    return flatten(change.format_lines() for change in changes)


def three_way_merge(base: Spec, theirs: Spec, yours: Spec) -> Spec | list[str]:
    """Merge two specs that were changed from the same base.

    :return: the merged spec, or the paths of the fields that both sides changed to different
        values.
    """
    conflicts: list[str] = []
    merged = _merge_objects(base, theirs, yours, (), conflicts)
    return conflicts or merged


def _merge_objects(
    base: Spec, theirs: Spec, yours: Spec, path: tuple[str, ...], conflicts: list[str]
) -> Spec:
    names = dict.fromkeys([*theirs, *yours])
    merged = {
        name: _merge_field(
            base.get(name, MISSING),
            theirs.get(name, MISSING),
            yours.get(name, MISSING),
            (*path, name),
            conflicts,
        )
        for name in names
    }
    return {name: value for name, value in merged.items() if value is not MISSING}


def _merge_field(
    base: t.Any, theirs: t.Any, yours: t.Any, path: tuple[str, ...], conflicts: list[str]
) -> t.Any:
    if theirs in (yours, base):
        return yours
    if yours == base:
        return theirs
    if all(isinstance(value, dict) for value in (base, theirs, yours)):
        return _merge_objects(base, theirs, yours, path, conflicts)
    indexed = [_index_items(value) for value in (base, theirs, yours)]
    if all(indexed):
        return list(_merge_objects(indexed[0], indexed[1], indexed[2], path, conflicts).values())
    conflicts.append(_format_path(path))
    return yours


def _flatten_spec(spec: Spec, path: tuple[str, ...] = ()) -> dict[tuple[str, ...], t.Any]:
    fields: dict[tuple[str, ...], t.Any] = {}
    for name, value in spec.items():
        inner = value if isinstance(value, dict) else _index_items(value)
        if inner:
            fields |= _flatten_spec(inner, (*path, name))
        else:
            fields[(*path, name)] = value
    return fields


def _index_items(value: t.Any) -> Spec:
    """Index a list of objects by their name or prefix; empty if ``value`` is no such list."""
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return {}
    for key in ITEM_KEY_FIELDS:
        items = {f"[{item.get(key)}]": item for item in value if key in item}
        if items and len(items) == len(value):
            return items
    return {}


def _encode_value(values: dict[tuple[str, ...], t.Any], path: tuple[str, ...]) -> str:
    return msgspec.json.encode(values[path]).decode() if path in values else ""


def _format_path(path: tuple[str, ...]) -> str:
    return ".".join(path).replace(".[", "[")
