"""Checks plain values against struct types and returns every fault, not only the first."""

from __future__ import annotations

import functools
import math
import typing as t

import msgspec

from radishbridge.records.codes import ResultCode
from radishbridge.records.failures import Failure
from radishbridge.records.fields import FieldFault, FieldRule

StructT = t.TypeVar("StructT", bound=msgspec.Struct)


def check_value(
    value: object, type_: type[StructT], code: ResultCode = ResultCode.RECORD_INVALID
) -> StructT | list[Failure]:
    """Convert a value of maps, lists, texts and numbers to a struct.

    :param type_: the struct type; its fields' constraints, rules and ``faults`` are applied.
    :param code: result code of the faults.
    :return: the struct, or a failure for each fault, with the dotted path of its field.
    """
    faults = [Failure(code, fault.reason, fault.field) for fault in find_faults(value, type_)]
    return faults or msgspec.convert(value, type_)


def find_faults(value: object, type_: t.Any, path: str = "") -> list[FieldFault]:
    """Return every fault of a value.

    :param type_: any type that msgspec converts to.
    :param path: dotted path of the value.
    """
    shape = _shape(type_)
    if shape.struct is not None:
        below = _struct_faults(value, shape.struct, path)
    elif shape.item is not None and isinstance(value, list):
        below = _list_faults(value, shape.item, path)
    else:
        below = []
    return below or _own_faults(value, shape, path)


def unknown_fields(value: object, type_: t.Any, path: str = "") -> list[str]:
    """Return the dotted paths of the fields in a value that its type does not name."""
    shape = _shape(type_)
    if shape.item is not None and isinstance(value, list):
        groups = [
            unknown_fields(one, shape.item, join_path(path, str(i))) for i, one in enumerate(value)
        ]
        return [unknown for group in groups for unknown in group]
    if shape.struct is None or not isinstance(value, dict):
        return []
    known = fields_of(shape.struct)
    groups = [
        (
            unknown_fields(one, known[name].type, join_path(path, name))
            if name in known
            else [join_path(path, name)]
        )
        for name, one in value.items()
    ]
    return [unknown for group in groups for unknown in group]


def join_path(path: str, name: str) -> str:
    """Return the dotted path of a field below another."""
    return f"{path}.{name}" if path else name


@functools.cache
def fields_of(struct: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    """Return the fields of a struct type by their names in JSON."""
    return {field.encode_name: field for field in msgspec.structs.fields(struct)}


def struct_type(type_: t.Any) -> type[msgspec.Struct] | None:
    """Return the struct type that a type stands for, ``None`` for other types."""
    return _shape(type_).struct


def item_type(type_: t.Any) -> t.Any:
    """Return the type of a list type's items, ``None`` for other types."""
    return _shape(type_).item


class _Shape:
    """What the checks need to know of a type."""

    __slots__ = ("choices", "item", "rules", "struct", "type")

    def __init__(self, type_: t.Any) -> None:
        self.type = type_
        base, *metas = t.get_args(type_) if t.get_origin(type_) is t.Annotated else (type_,)
        extras = [meta.extra or {} for meta in metas if isinstance(meta, msgspec.Meta)]
        self.rules: list[FieldRule] = [extra["rule"] for extra in extras if "rule" in extra]
        self.item = t.get_args(base)[0] if t.get_origin(base) is list else None
        self.choices = t.get_args(base) if t.get_origin(base) is t.Literal else ()
        is_struct = isinstance(base, type) and issubclass(base, msgspec.Struct)
        self.struct: type[msgspec.Struct] | None = base if is_struct else None


@functools.cache
def _shape(type_: t.Any) -> _Shape:
    return _Shape(type_)


def _struct_faults(value: object, struct: type[msgspec.Struct], path: str) -> list[FieldFault]:
    if not isinstance(value, dict):
        return [FieldFault(path, "expected an object")]
    known = fields_of(struct)
    strict = struct.__struct_config__.forbid_unknown_fields
    unknown = [name for name in value if strict and name not in known]
    missing = [name for name, field in known.items() if field.required and name not in value]
    below = [
        fault
        for name, field in known.items()
        if name in value
        for fault in find_faults(value[name], field.type, join_path(path, name))
    ]
    return [
        *(FieldFault(join_path(path, name), "unknown field") for name in unknown),
        *(FieldFault(join_path(path, name), "missing field") for name in missing),
        *below,
    ]


def _list_faults(values: list[t.Any], item: t.Any, path: str) -> list[FieldFault]:
    return [
        fault
        for index, value in enumerate(values)
        for fault in find_faults(value, item, join_path(path, str(index)))
    ]


def _own_faults(value: object, shape: _Shape, path: str) -> list[FieldFault]:
    if shape.choices and value not in shape.choices:
        return [FieldFault(path, f"expected one of {', '.join(map(repr, shape.choices))}")]
    if isinstance(value, float) and not math.isfinite(value):
        return [FieldFault(path, "expected a finite number")]
    try:
        converted = msgspec.convert(value, shape.type)
    except msgspec.ValidationError as error:
        return [FieldFault(path, str(error).partition(" - at ")[0])]
    broken = [FieldFault(path, rule.reason) for rule in shape.rules if not rule.holds(converted)]
    if broken or not hasattr(converted, "faults"):
        return broken
    return [FieldFault(join_path(path, fault.field), fault.reason) for fault in converted.faults()]
