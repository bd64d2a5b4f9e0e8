"""Parsing of JSON files with comments, with the line number of each field."""

from __future__ import annotations

import json
import pathlib
import re
import typing as t

from radishbridge.records.check import StructT, check_value, join_path
from radishbridge.records.codes import ResultCode
from radishbridge.records.failures import Failure

if t.TYPE_CHECKING:
    from json5.loader import DefaultLoader
    from json5.model import JSONText, Node

_ERROR_LINE = re.compile(r"line (\d+)")
_ERROR_INDEX = re.compile(r"at index (\d+)")


class Document:
    """A parsed file.

    :param text: the file's text.
    :param value: the decoded content.
    :param model: json5's syntax tree; ``None`` for plain JSON, which is parsed without json5.
    """

    __slots__ = ("_lines", "model", "text", "value")

    def __init__(self, text: str, value: t.Any, model: JSONText | None = None) -> None:
        self.text = text
        self.value = value
        self.model = model
        self._lines: _LineIndex | None = None

    @property
    def lines(self) -> _LineIndex:
        """Line numbers of the fields; built on first use, since only faults need them."""
        if self._lines is None:
            self._lines = _LineIndex(self.model or _parse_model(self.text))
        return self._lines

    @property
    def repeated(self) -> list[tuple[str, int]]:
        """Duplicate fields, each with the line number of the repetition."""
        # Plain JSON with a duplicate field is parsed by json5 too, so that there is a model.
        return [] if self.model is None else self.lines.repeated

    def line(self, field: str) -> int:
        """Return the line number of a field, or of its nearest existing ancestor.

        :param field: dotted path, list items by index, such as ``0.spec.backends.2.address``.
        :return: the line number, from 1.
        """
        while field and field not in self.lines.by_field:
            field = field.rpartition(".")[0]
        return self.lines.by_field[field]

    def value_at(self, field: str) -> t.Any:
        """Return the value of an existing field; the empty path is the whole document."""
        value = self.value
        for name in field.split(".") if field else ():
            value = value[int(name)] if isinstance(value, list) else value[name]
        return value

    def locate(self, failures: t.Iterable[Failure], path: str = "") -> list[Failure]:
        """Return failures with paths from the document's root and line numbers.

        :param path: dotted path of the value that the failures' fields are relative to.
        """
        fields = [(join_path(path, failure.field).rstrip("."), failure) for failure in failures]
        return [
            Failure(failure.code, failure.reason, field, self.line(field))
            for field, failure in fields
        ]


def load_document(path: pathlib.Path) -> Document | Failure:
    """Read and parse a file.

    :return: the document, or ``FILE_UNREADABLE`` with the line number if known.
    """
    try:
        text = path.read_text(encoding="utf-8-sig")
    except OSError as error:
        return Failure(ResultCode.FILE_UNREADABLE, f"{path}: {error.strerror}")
    except UnicodeDecodeError:
        return Failure(ResultCode.FILE_UNREADABLE, f"{path}: not in UTF-8")
    return parse_document(text, str(path))


def parse_document(text: str, name: str = "") -> Document | Failure:
    """Parse the text of a file.

    :param name: the file's name in error messages.
    :return: the document, or ``FILE_UNREADABLE``.
    """
    try:
        document = _parse_plain(text) or _parse_commented(text)
        # A lone surrogate can be written as an escape sequence, but not encoded as UTF-8.
        json.dumps(document.value, ensure_ascii=False).encode()
        return document
    except RecursionError:
        reason, line = "nested too deeply", 0
    except ValueError as error:
        reason, line = _first_syntax_error(text, str(error))
    prefix = f"{name}: " if name else ""
    return Failure(ResultCode.FILE_UNREADABLE, prefix + reason, line=line)


def check_document(
    document: Document,
    type_: type[StructT],
    code: ResultCode = ResultCode.RECORD_INVALID,
    path: str = "",
) -> StructT | list[Failure]:
    """Validate a document, or one value in it, and convert it to a struct.

    :param code: result code of the failures.
    :param path: dotted path of the value to convert; the whole document by default.
    :return: the struct, or a failure for each fault, with its field and line number.
    """
    checked = check_value(document.value_at(path), type_, code)
    repeated = [
        Failure(code, "field given twice", field, line)
        for field, line in document.repeated
        if not path or field.startswith(f"{path}.")
    ]
    located = document.locate(checked, path) if isinstance(checked, list) else []
    faults = repeated + located
    return faults if isinstance(checked, list) else faults or checked


class _LineIndex:
    """Line numbers of a document's fields by dotted path.

    ``repeated`` lists duplicate fields, each with the line number of the repetition.
    """

    __slots__ = ("by_field", "repeated")

    def __init__(self, model: JSONText) -> None:
        self.by_field: dict[str, int] = {}
        self.repeated: list[tuple[str, int]] = []
        pending: list[tuple[Node, str, int]] = [(model.value, "", model.value.lineno or 1)]
        # Iterative, since plain JSON may be nested as deeply as the call stack allows.
        while pending:
            node, field, line = pending.pop()
            if field in self.by_field:
                self.repeated.append((field, line))
            self.by_field[field] = line
            pending.extend(reversed(list(_children(node, field, line))))


def _children(node: Node, field: str, line: int) -> t.Iterator[tuple[Node, str, int]]:
    """Yield a node's child values with their dotted paths and line numbers."""
    from json5.model import JSONArray, JSONObject

    if isinstance(node, JSONArray):
        for index, item in enumerate(node.values):
            yield item, join_path(field, str(index)), item.lineno or line
    elif isinstance(node, JSONObject):
        for key, value in node.key_value_pairs:
            yield value, join_path(field, _loader().load(key)), key.lineno or line


def _loader() -> DefaultLoader:
    # Imported on use: the import takes a tenth of the start-up time, and hosts whose files have no
    # comments do not need it.
    from json5.loader import DefaultLoader

    return DefaultLoader(parse_json5_identifiers=str)


def _parse_plain(text: str) -> Document | None:
    """Parse plain JSON with the standard library, which is much faster than json5."""
    try:
        return Document(text, json.loads(text, object_pairs_hook=_reject_duplicates))
    except ValueError:
        return None


def _reject_duplicates(pairs: list[tuple[str, t.Any]]) -> dict[str, t.Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("field given twice")
    return fields


def _parse_commented(text: str) -> Document:
    model = _parse_model(text)
    return Document(text, _loader().load(model), model)


def _parse_model(text: str) -> JSONText:
    import json5
    from json5.loader import ModelLoader

    model: JSONText = json5.loads(text, loader=ModelLoader())
    return model


def _first_syntax_error(text: str, message: str) -> tuple[str, int]:
    """Return the first syntax error in json5's message and its line number, 0 if unknown."""
    lines = [line.strip() for line in message.splitlines()]
    has_several = len(lines) > 2 and lines[0].startswith("There were multiple errors")
    reason = lines[2] if has_several else lines[0]
    if at_line := _ERROR_LINE.search(reason):
        return reason, int(at_line[1])
    if at_index := _ERROR_INDEX.search(reason):
        return reason, text.count("\n", 0, int(at_index[1])) + 1
    return reason, text.count("\n") + 1 if "EOF" in reason else 0
