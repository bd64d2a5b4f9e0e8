"""Files in JSON with comments, whose fields can be traced back to lines."""

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
    :param value: its content as maps, lists, texts and numbers.
    :param model: the parsed tokens; ``None`` where the text is plain JSON.
    """

    __slots__ = ("_lines", "model", "text", "value")

    def __init__(self, text: str, value: t.Any, model: JSONText | None = None) -> None:
        self.text = text
        self.value = value
        self.model = model
        self._lines: _LineIndex | None = None

    @property
    def lines(self) -> _LineIndex:
        """The lines of the fields; built when first asked for, since only faults need them."""
        if self._lines is None:
            self._lines = _LineIndex(self.model or _parse_model(self.text))
        return self._lines

    @property
    def repeated(self) -> list[tuple[str, int]]:
        """Fields given more than once, each with the line where it comes again."""
        # Plain JSON with a repeated field is parsed as JSON with comments, so it has a model.
        return [] if self.model is None else self.lines.repeated

    def line(self, field: str) -> int:
        """Return the line of a field, or of the nearest one around it that is there.

        :param field: dotted path, list items by index, such as ``0.spec.backends.2.address``.
        :return: the line, counted from 1.
        """
        while field and field not in self.lines.by_field:
            field = field.rpartition(".")[0]
        return self.lines.by_field[field]

    def value_at(self, field: str) -> t.Any:
        """Return the value of a field that is there; the empty path is the whole document."""
        value = self.value
        for name in field.split(".") if field else ():
            value = value[int(name)] if isinstance(value, list) else value[name]
        return value

    def locate(self, failures: t.Iterable[Failure], path: str = "") -> list[Failure]:
        """Return failures with the lines of their fields.

        :param path: dotted path of the part of the document that the failures' fields start from.
        """
        fields = [(join_path(path, failure.field).rstrip("."), failure) for failure in failures]
        return [
            Failure(failure.code, failure.reason, field, self.line(field))
            for field, failure in fields
        ]


def load_document(path: pathlib.Path) -> Document | Failure:
    """Read and parse a file.

    :return: the document, or ``FILE_UNREADABLE`` with the line where one is known.
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

    :param name: what messages call the file.
    :return: the document, or ``FILE_UNREADABLE``.
    """
    try:
        document = _parse_plain(text) or _parse_commented(text)
        # Half a surrogate pair can be written as an escape, but not sent on.
        json.dumps(document.value, ensure_ascii=False).encode()
        return document
    except RecursionError:
        reason, line = "nested too deeply", 0
    except ValueError as error:
        reason, line = _explain(text, str(error))
    prefix = f"{name}: " if name else ""
    return Failure(ResultCode.FILE_UNREADABLE, prefix + reason, line=line)


def check_document(
    document: Document,
    type_: type[StructT],
    code: ResultCode = ResultCode.RECORD_INVALID,
    path: str = "",
) -> StructT | list[Failure]:
    """Convert a document, or a part of it, to a struct.

    :param code: result code of the faults.
    :param path: dotted path of the part to convert; the whole document by default.
    :return: the struct, or every fault, each with its field and line.
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
    """The line of each field of a document by its dotted path.

    :param repeated: fields given more than once, each with the line where it comes again.
    """

    __slots__ = ("by_field", "repeated")

    def __init__(self, model: JSONText) -> None:
        self.by_field: dict[str, int] = {}
        self.repeated: list[tuple[str, int]] = []
        waiting: list[tuple[Node, str, int]] = [(model.value, "", model.value.lineno or 1)]
        # A loop, since plain JSON may be nested as deeply as the stack allows.
        while waiting:
            node, field, line = waiting.pop()
            if field in self.by_field:
                self.repeated.append((field, line))
            self.by_field[field] = line
            waiting.extend(reversed(list(_children(node, field, line))))


def _children(node: Node, field: str, line: int) -> t.Iterator[tuple[Node, str, int]]:
    """Yield the values below a node, each with its dotted path and line."""
    from json5.model import JSONArray, JSONObject

    if isinstance(node, JSONArray):
        for index, item in enumerate(node.values):
            yield item, join_path(field, str(index)), item.lineno or line
    elif isinstance(node, JSONObject):
        for key, value in node.key_value_pairs:
            yield value, join_path(field, _loader().load(key)), key.lineno or line


def _loader() -> DefaultLoader:
    # Imported where it is used: it takes a tenth of a start, and hosts without such files need
    # none of it.
    from json5.loader import DefaultLoader

    return DefaultLoader(parse_json5_identifiers=str)


def _parse_plain(text: str) -> Document | None:
    """Parse plain JSON, which the standard library does much faster than json5."""
    try:
        return Document(text, json.loads(text, object_pairs_hook=_unique_pairs))
    except ValueError:
        return None


def _unique_pairs(pairs: list[tuple[str, t.Any]]) -> dict[str, t.Any]:
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


def _explain(text: str, message: str) -> tuple[str, int]:
    """Return the first syntax error of json5's message, and its line."""
    lines = [line.strip() for line in message.splitlines()]
    several = len(lines) > 2 and lines[0].startswith("There were multiple errors")
    reason = lines[2] if several else lines[0]
    if at_line := _ERROR_LINE.search(reason):
        return reason, int(at_line[1])
    if at_index := _ERROR_INDEX.search(reason):
        return reason, text.count("\n", 0, int(at_index[1])) + 1
    return reason, text.count("\n") + 1 if "EOF" in reason else 0
