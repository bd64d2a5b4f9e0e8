"""The daemon's log, as text or as one JSON object for each line."""

from __future__ import annotations

import collections
import datetime
import logging
import os
import typing as t

import msgspec

from radishbridge.records import LogSettings

# Log lines that wait for a slow reader, in bytes: some seconds of a busy host.
WAITING_BYTES_MAX = 1_048_576

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class LogEntry(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One line of the log in JSON.

    :param time: time in RFC 3339 form.
    :param fields: what the log call passed as ``extra``.
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
    """Formats records as lines for people; extra fields follow as ``name=value``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of text, with the traceback below it where there is one."""
        fields = "".join(f" {name}={value}" for name, value in _extra(record).items())
        head = f"{_timestamp(record)} {record.levelname.lower()} {record.name}: "
        error = f"\n{self.formatException(record.exc_info)}" if record.exc_info else ""
        return f"{head}{record.getMessage()}{fields}{error}"


class BoundedStream:
    """A stream that never blocks: what its descriptor does not take waits, up to a bound.

    :param descriptor: file descriptor to write to, set to non-blocking.
    """

    __slots__ = ("descriptor", "dropped", "waiting", "waiting_bytes")

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Queue text; beyond the bound it is dropped and counted."""
        data = text.encode("utf-8", "backslashreplace")
        if self.waiting_bytes + len(data) > WAITING_BYTES_MAX:
            self.dropped += 1
            return
        self.waiting.append(data)
        self.waiting_bytes += len(data)

    def flush(self) -> None:
        """Do nothing: lines are written together by ``drain``."""

    def drain(self) -> None:
        """Write what the descriptor takes now."""
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            self.write(f'{{"message":"log lines dropped","count":{lost}}}\n')
        data = b"".join(self.waiting)
        try:
            written = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        self.waiting = collections.deque([data[written:]] if written < len(data) else [])
        self.waiting_bytes = len(data) - written


def configure_logging(settings: LogSettings, stream: t.Any = None) -> None:
    """Send all log records to a stream in the format of the settings.

    :param stream: the standard error stream where it is ``None``.
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
    return {name: value for name, value in vars(record).items() if name not in _STANDARD}
