"""Validation of plain values against struct types that reports all faults, not just the first."""

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
    """Validate a decoded JSON value and convert it to a struct.

    :param type_: the struct type; its fields' constraints, rules and ``faults`` method apply.
    :param code: result code of the failures.
    :return: the struct, or a failure for each fault, with the dotted path of its field.
    """
    faults = [Failure(code, fault.reason, fault.field) for fault in find_faults(value, type_)]
    return faults or msgspec.convert(value, type_)


def find_faults(value: object, type_: t.Any, path: str = "") -> list[FieldFault]:
    """Return all faults of a decoded JSON value.

    :param type_: any type that msgspec can convert to.
    :param path: dotted path of the value within the document.
    """
    info = _type_info(type_)
    if info.struct is not None:
        nested = _struct_faults(value, info.struct, path)
    elif info.item is not None and isinstance(value, list):
        nested = _list_faults(value, info.item, path)
    else:
        nested = []
    return nested or _value_faults(value, info, path)


def unknown_fields(value: object, type_: t.Any, path: str = "") -> list[str]:
    """Return the dotted paths of a value's fields that its type does not have."""
    info = _type_info(type_)
    if info.item is not None and isinstance(value, list):
        groups = [
            unknown_fields(item, info.item, join_path(path, str(i))) for i, item in enumerate(value)
        ]
        return [unknown for group in groups for unknown in group]
    if info.struct is None or not isinstance(value, dict):
        return []
    known = fields_of(info.struct)
    groups = [
        (
            unknown_fields(item, known[name].type, join_path(path, name))
            if name in known
            else [join_path(path, name)]
        )
        for name, item in value.items()
    ]
    return [unknown for group in groups for unknown in group]


def join_path(path: str, name: str) -> str:
    """Return the dotted path of a field of the value at a path."""
    return f"{path}.{name}" if path else name


@functools.cache
def fields_of(struct: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    """Return the fields of a struct type by their encoded names."""
    return {field.encode_name: field for field in msgspec.structs.fields(struct)}


def struct_type(type_: t.Any) -> type[msgspec.Struct] | None:
    """Return the struct type of a possibly annotated type, ``None`` for other types."""
    return _type_info(type_).struct


def item_type(type_: t.Any) -> t.Any:
    """Return the item type of a possibly annotated list type, ``None`` for other types."""
    return _type_info(type_).item


class _TypeInfo:
    """The parts of a type that validation needs, resolved once per type.

    ``item`` is the item type of a list, ``choices`` are the values of a ``Literal``.
    """

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
def _type_info(type_: t.Any) -> _TypeInfo:
    return _TypeInfo(type_)


def _struct_faults(value: object, struct: type[msgspec.Struct], path: str) -> list[FieldFault]:
    if not isinstance(value, dict):
        return [FieldFault(path, "expected an object")]
    known = fields_of(struct)
    is_strict = struct.__struct_config__.forbid_unknown_fields
    unknown = [name for name in value if is_strict and name not in known]
    missing = [name for name, field in known.items() if field.required and name not in value]
    nested = [
        fault
        for name, field in known.items()
        if name in value
        for fault in find_faults(value[name], field.type, join_path(path, name))
    ]
    return [
        *(FieldFault(join_path(path, name), "unknown field") for name in unknown),
        *(FieldFault(join_path(path, name), "missing field") for name in missing),
        *nested,
    ]


def _list_faults(values: list[t.Any], item: t.Any, path: str) -> list[FieldFault]:
    return [
        fault
        for index, value in enumerate(values)
        for fault in find_faults(value, item, join_path(path, str(index)))
    ]


def _value_faults(value: object, info: _TypeInfo, path: str) -> list[FieldFault]:
    if info.choices and value not in info.choices:
        return [FieldFault(path, f"expected one of {', '.join(map(repr, info.choices))}")]
    if isinstance(value, float) and not math.isfinite(value):
        return [FieldFault(path, "expected a finite number")]
    try:
        converted = msgspec.convert(value, info.type)
    except msgspec.ValidationError as error:
        return [FieldFault(path, str(error).partition(" - at ")[0])]
    violated = [FieldFault(path, rule.reason) for rule in info.rules if not rule.holds(converted)]
    if violated or not hasattr(converted, "faults"):
        return violated
    return [FieldFault(join_path(path, fault.field), fault.reason) for fault in converted.faults()]
