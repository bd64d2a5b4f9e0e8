"""Log output as text or as JSON lines."""

from __future__ import annotations

import collections
import datetime
import logging
import os
import typing as t

import msgspec

from radishbridge.records import LogSettings

# Size of the buffer for a slow reader of the log: some seconds of output of a busy host.
MAX_BUFFERED_BYTES = 1_048_576

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    "taskName",
}


class LogEntry(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One log line in JSON.

    :param time: time in RFC 3339 format.
    :param fields: the ``extra`` values of the log call.
    :param error: traceback, if the log call passed an exception.
    """

    time: str
    level: str
    logger: str
    message: str
    fields: dict[str, t.Any] = {}
    error: str = ""


class JsonFormatter(logging.Formatter):
    """Formats records as JSON lines."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of JSON."""
        entry = LogEntry(
            time=_timestamp(record),
            level=record.levelname.lower(),
            logger=record.name,
            message=record.getMessage(),
            fields=_extra(record),
            error=self.formatException(record.exc_info) if record.exc_info else "",
        )
        return msgspec.json.encode(entry, enc_hook=str).decode()


class TextFormatter(logging.Formatter):
    """Formats records as readable lines; extra fields follow as ``name=value``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of text, followed by the traceback if there is one."""
        fields = "".join(f" {name}={value}" for name, value in _extra(record).items())
        head = f"{_timestamp(record)} {record.levelname.lower()} {record.name}: "
        error = f"\n{self.formatException(record.exc_info)}" if record.exc_info else ""
        return f"{head}{record.getMessage()}{fields}{error}"


class BoundedStream:
    """A stream that never blocks: output waits in a buffer of limited size.

    :param descriptor: file descriptor to write to; it is set to non-blocking.
    :param buffer: encoded text that is not written yet.
    :param dropped: number of texts dropped since the last report of dropped lines.
    """

    __slots__ = ("buffer", "buffered_bytes", "descriptor", "dropped")

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.buffer: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Buffer text; if the buffer is full, drop and count it."""
        data = text.encode("utf-8", "backslashreplace")
        if self.buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.buffer.append(data)
        self.buffered_bytes += len(data)

    def flush(self) -> None:
        """Do nothing; ``drain`` writes all buffered lines at once."""

    def drain(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            self.write(f'{{"message":"log lines dropped","count":{lost}}}\n')
        data = b"".join(self.buffer)
        try:
            written = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        self.buffer = collections.deque([data[written:]] if written < len(data) else [])
        self.buffered_bytes = len(data) - written


def configure_logging(settings: LogSettings, stream: t.Any = None) -> None:
    """Send all log records to a stream in the format of the settings.

    :param stream: where to write; ``None`` means standard error.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter() if settings.format == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level.upper())


def _timestamp(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def _extra(record: logging.LogRecord) -> dict[str, t.Any]:
    return {name: value for name, value in vars(record).items() if name not in _STANDARD_ATTRIBUTES}
