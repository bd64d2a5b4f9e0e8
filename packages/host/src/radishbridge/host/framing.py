"""Finds where requests begin and end in a caller's bytes, and bounds what is no body.

The parser of ``aiohttp`` bounds single lines and the number of fields. This bounds the bytes of a
whole head, of empty lines before it, of the lines of chunks and of trailers, before the parser gets
them. It decides nothing about the meaning of a request: malformed bytes are left to the parser.
"""

from __future__ import annotations

import enum
import math

# Bytes of empty lines that are ignored before a head. Some old clients send one after a body.
EMPTY_BYTES_MAX = 256
# Bytes of the line before a chunk: a size, and extensions, which ordinary clients do not send.
CHUNK_LINE_BYTES_MAX = 1_024
# Bytes of chunk lines and ends of chunks that a body may have over its own bytes. Chunks of six
# bytes and more have fewer, and ordinary clients send no smaller ones; each chunk costs some 5 us.
# Short bodies may come in chunks of one byte.
CHUNK_OVERHEAD_BYTES_MAX = 16_384
# Memory in bytes of a parsed header field over its own bytes: two tuples and four strings.
FIELD_COST_BYTES = 512

_END_OF_HEAD = b"\r\n\r\n"
_EMPTY = b"\r\n"


class Part(enum.Enum):
    """The part of a request to which the next byte belongs."""

    HEAD = enum.auto()
    BODY = enum.auto()
    CHUNK_LINE = enum.auto()
    CHUNK = enum.auto()
    TRAILERS = enum.auto()


class Excess(enum.Enum):
    """What is over its limit."""

    EMPTY_LINES = "empty lines"
    HEAD = "head"
    CHUNK_LINE = "chunk line"
    CHUNKS = "small chunks"
    TRAILERS = "trailers"


class Framing:
    """Position in the requests of one connection.

    :param head_bytes_max: limit on a head in bytes, and on the trailers of a body.
    :param part: where the next byte belongs.
    :param head_bytes: bytes of the head that is being received.
    :param head_fields: lines of that head.
    """

    __slots__ = (
        "_end",
        "_framing_bytes",
        "_line_bytes",
        "_remaining",
        "_size_text",
        "_trailer_bytes",
        "empty_bytes",
        "head_bytes",
        "head_bytes_max",
        "head_fields",
        "part",
    )

    def __init__(self, head_bytes_max: int) -> None:
        self.head_bytes_max = head_bytes_max
        self.part = Part.HEAD
        self.empty_bytes = 0
        self.head_bytes = 0
        self.head_fields = 0
        self._end = b""
        self._remaining = 0
        self._line_bytes = 0
        self._size_text = b""
        self._trailer_bytes = 0
        self._framing_bytes = 0

    @property
    def head_cost_bytes(self) -> int:
        """Memory that the head takes once it is parsed."""
        return self.head_bytes + FIELD_COST_BYTES * self.head_fields

    @property
    def body_bytes_left(self) -> float:
        """Bytes that are to come of the body; infinite if its length is not announced."""
        if self.part is Part.HEAD:
            return 0.0
        return self._remaining if self.part is Part.BODY else math.inf

    def is_one_head(self, data: bytes) -> bool:
        """Return whether the data is one head inside the limit, as most that callers send is.

        If it is, it counts as received.
        """
        size = len(data)
        if (
            self.part is not Part.HEAD
            or self.head_bytes
            or size > self.head_bytes_max
            or data.find(_END_OF_HEAD) != size - len(_END_OF_HEAD)
            or data[0] in _EMPTY
        ):
            return False
        self.head_bytes = size
        self.head_fields = data.count(b"\n")
        return True

    def skip_empty_lines(self, data: bytes, start: int) -> int | Excess:
        """Return the position after the empty lines before a head."""
        if self.part is not Part.HEAD or self.head_bytes or data[start] not in _EMPTY:
            return start
        end = len(data) - len(data[start:].lstrip(_EMPTY))
        self.empty_bytes += end - start
        return Excess.EMPTY_LINES if self.empty_bytes > EMPTY_BYTES_MAX else end

    def take(self, data: bytes, start: int) -> int | Excess:
        """Return the end of the piece that starts at a position and may be parsed next.

        A piece ends at the end of a head or of a body, or with the data.

        :param start: must be less than the length of ``data``.
        """
        if self.part is Part.HEAD:
            return self._take_head(data, start)
        if self.part is Part.BODY:
            end = min(len(data), start + self._remaining)
            self._remaining -= end - start
            if not self._remaining:
                self._begin_head()
            return end
        return self._take_chunks(data, start)

    def begin_body(self, length: int | None) -> None:
        """Expect a body after the head that ended.

        :param length: in bytes; ``None`` for a chunked body.
        """
        if length is None:
            self.part = Part.CHUNK_LINE
            self._line_bytes = self._trailer_bytes = self._framing_bytes = 0
            self._size_text = b""
        elif length:
            self.part = Part.BODY
            self._remaining = length

    def end_head(self) -> None:
        """Expect another head; called when the parser has returned a request."""
        self.head_bytes = self.head_fields = self.empty_bytes = 0
        self._end = b""

    def _begin_head(self) -> None:
        self.part = Part.HEAD
        self.end_head()

    def _take_head(self, data: bytes, start: int) -> int | Excess:
        room = self.head_bytes_max - self.head_bytes
        # The end of the head may be cut into several pieces.
        carried = len(self._end)
        window = self._end + data[start : start + room + 1]
        found = window.find(_END_OF_HEAD)
        size = found + len(_END_OF_HEAD) - carried if found >= 0 else len(window) - carried
        if size > room:
            return Excess.HEAD
        self.head_bytes += size
        self.head_fields += data.count(b"\n", start, start + size)
        self._end = window[: carried + size][-(len(_END_OF_HEAD) - 1) :]
        return start + size

    def _take_chunks(self, data: bytes, start: int) -> int | Excess:
        position = start
        while position < len(data):
            if self.part is Part.CHUNK:
                end = min(len(data), position + self._remaining)
                self._remaining -= end - position
                # Not below zero: many large chunks do not allow for as many small ones.
                self._framing_bytes = max(0, self._framing_bytes - (end - position))
                position = end
                if not self._remaining:
                    self.part = Part.CHUNK_LINE
                continue
            newline = data.find(b"\n", position)
            end = len(data) if newline < 0 else newline + 1
            self._line_bytes += end - position
            excess = self._check_line(data[position:end])
            if excess is not None:
                return excess
            position = end
            if newline >= 0 and self._end_line():
                break
        return position

    def _check_line(self, text: bytes) -> Excess | None:
        if self.part is Part.TRAILERS:
            self._trailer_bytes += len(text)
            return Excess.TRAILERS if self._trailer_bytes > self.head_bytes_max else None
        if self._line_bytes > CHUNK_LINE_BYTES_MAX:
            return Excess.CHUNK_LINE
        self._size_text += text
        self._framing_bytes += len(text)
        return Excess.CHUNKS if self._framing_bytes > CHUNK_OVERHEAD_BYTES_MAX else None

    def _end_line(self) -> bool:
        line_bytes, self._line_bytes = self._line_bytes, 0
        if self.part is Part.TRAILERS:
            if line_bytes > len(_EMPTY):
                return False
            self._begin_head()
            return True
        # The end of the chunk's bytes counts with its line.
        self._framing_bytes += len(_EMPTY)
        text, self._size_text = self._size_text, b""
        size = _parse_size(text)
        self.part = Part.CHUNK if size else Part.TRAILERS
        self._remaining = size + len(_EMPTY)
        return False


def _parse_size(line: bytes) -> int:
    # A size that is none ends the request in the parser; what it counts as does not matter.
    try:
        return max(0, int(line.partition(b";")[0].strip(), 16))
    except ValueError:
        return 0
