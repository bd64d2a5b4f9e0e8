"""Keeps fields unknown to an editor's software version when it writes an edited record."""

from __future__ import annotations

import typing as t

from radishbridge.records.check import fields_of, item_type, struct_type

IDENTITY_FIELDS = ("name", "prefix")


def merge_spec(
    stored: dict[str, t.Any], edited: dict[str, t.Any], known_type: type[t.Any]
) -> dict[str, t.Any]:
    """Return an edited spec with the stored fields that the editor's type does not have.

    List items are matched by ``name`` or ``prefix``. An item that is missing from the edited list
    is removed with all its fields.

    :param known_type: struct type that the editor read ``stored`` as.
    """
    merged: dict[str, t.Any] = _merge(stored, edited, known_type)
    return merged


def _merge(stored: t.Any, edited: t.Any, known_type: t.Any) -> t.Any:
    struct, item = struct_type(known_type), item_type(known_type)
    if struct is not None and isinstance(stored, dict) and isinstance(edited, dict):
        return _merge_objects(stored, edited, {n: f.type for n, f in fields_of(struct).items()})
    if item is not None and isinstance(stored, list) and isinstance(edited, list):
        return _merge_lists(stored, edited, item)
    return edited


def _merge_objects(
    stored: dict[str, t.Any], edited: dict[str, t.Any], known: dict[str, t.Any]
) -> dict[str, t.Any]:
    unknown = {name: value for name, value in stored.items() if name not in known}
    merged = {
        name: _merge(stored.get(name), value, known.get(name)) for name, value in edited.items()
    }
    return unknown | merged


def _merge_lists(stored: list[t.Any], edited: list[t.Any], item: t.Any) -> list[t.Any]:
    struct = struct_type(item)
    identity = next(
        (name for name in IDENTITY_FIELDS if struct and name in fields_of(struct)), None
    )
    if identity is None:
        return edited
    by_identity = {_identity(entry, identity): entry for entry in stored}
    return [_merge(by_identity.get(_identity(entry, identity)), entry, item) for entry in edited]


def _identity(item: t.Any, name: str) -> str | None:
    identity = item.get(name) if isinstance(item, dict) else None
    return identity if isinstance(identity, str) else None
