"""Constrained types of fields and the rules behind them."""

from __future__ import annotations

import base64
import ipaddress
import typing as t
import urllib.parse

import msgspec

PORT_MAX = 65_535
# Largest n for which a float represents every integer from 0 to n exactly.
EXACT_INTEGER_MAX = 2**53
Z85_KEY_CHARACTERS = 40

_Z85_ALPHABET = (
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#"
)
_B85_ALPHABET = (
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz!#$%&()*+-;<=>?@^_`{|}~"
)
_Z85_TO_B85 = dict(zip(_Z85_ALPHABET, _B85_ALPHABET, strict=True))


class FieldFault:
    """A violated rule of a field.

    :param field: dotted path of the field, with list items by index; empty for the whole value.
    :param reason: what the rule expects; never quotes the value, which may be a secret.
    """

    __slots__ = ("field", "reason")

    def __init__(self, field: str, reason: str) -> None:
        self.field = field
        self.reason = reason


class FieldRule:
    """A validation rule, attached to a field's type by ``msgspec.Meta(extra={"rule": ...})``.

    :param holds: returns whether a value of the field's type satisfies the rule.
    :param reason: error message for operators if it does not.
    """

    __slots__ = ("holds", "reason")

    def __init__(self, holds: t.Callable[[t.Any], bool], reason: str) -> None:
        self.holds = holds
        self.reason = reason


class SelfChecking(t.Protocol):
    """A struct with rules that concern several of its fields."""

    def faults(self) -> t.Iterable[FieldFault]:
        """Return the violated rules; called only if each field is valid on its own."""


def is_address(text: str) -> bool:
    """Return whether a text has the form ``IP:port``, with an IPv6 address in brackets."""
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    digits = port.isascii() and port.isdigit() and not port.startswith("0")
    return bracketed == (address.version == 6) and digits and int(port[:6]) <= PORT_MAX


def is_http_url(text: str) -> bool:
    """Return whether a text is an ``http`` or ``https`` URL with a host."""
    try:
        url = urllib.parse.urlsplit(text)
        return url.scheme in ("http", "https") and bool(url.hostname) and url.port != 0
    except ValueError:
        return False


def is_z85_key(text: str) -> bool:
    """Return whether a text is a 32-byte key in Z85 or empty, which means no key."""
    if len(text) != Z85_KEY_CHARACTERS:
        return not text
    try:
        # Z85 differs from the Base85 of the standard library only in its alphabet.
        base64.b85decode("".join(_Z85_TO_B85.get(character, " ") for character in text))
    except ValueError:
        return False
    return True


def is_base64(text: str) -> bool:
    """Return whether a text is padded base64."""
    try:
        base64.b64decode(text, validate=True)
    except ValueError:
        return False
    return True


def find_duplicates(items: str, key: str, values: t.Sequence[str]) -> t.Iterator[FieldFault]:
    """Return a fault for each value that occurs earlier in the list.

    :param items: name of the field with the list.
    :param key: field of the items that must be unique; empty if the items themselves must be.
    :param values: the value of ``key`` of each item.
    """
    first_index = {value: index for index, value in reversed(list(enumerate(values)))}
    for index, value in enumerate(values):
        if first_index[value] != index:
            field = f"{items}.{index}.{key}".rstrip(".")
            yield FieldFault(field, f"is the same as in {items}.{first_index[value]}")


def _rule_meta(holds: t.Callable[[t.Any], bool], reason: str) -> msgspec.Meta:
    return msgspec.Meta(extra={"rule": FieldRule(holds, reason)})


Address = t.Annotated[str, _rule_meta(is_address, "expected IP:port with a port of 1 to 65535")]
HttpUrl = t.Annotated[str, _rule_meta(is_http_url, "expected an http or https URL")]
Z85Key = t.Annotated[str, _rule_meta(is_z85_key, "expected a key of 40 characters in Z85")]
Name = t.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z", max_length=128)]
OptionalName = t.Annotated[
    str, msgspec.Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9._-]*)?\Z", max_length=128)
]
PathPrefix = t.Annotated[str, msgspec.Meta(pattern=r"^/[^\s?#]*\Z", max_length=1024)]
Digest = t.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
Seconds = t.Annotated[float, msgspec.Meta(gt=0)]
SecondsOrZero = t.Annotated[float, msgspec.Meta(ge=0)]
PositiveInt = t.Annotated[int, msgspec.Meta(ge=1, le=EXACT_INTEGER_MAX)]
NonNegativeInt = t.Annotated[int, msgspec.Meta(ge=0, le=EXACT_INTEGER_MAX)]
PositiveFloat = t.Annotated[float, msgspec.Meta(gt=0)]
Fraction = t.Annotated[float, msgspec.Meta(gt=0, le=1)]
NonNegativeFloat = t.Annotated[float, msgspec.Meta(ge=0)]
Title = t.Annotated[str, msgspec.Meta(max_length=256)]
Base64Text = t.Annotated[str, _rule_meta(is_base64, "expected base64")]
