"""The daemon's log, as text or as one JSON object for each line."""

from __future__ import annotations

import datetime
import logging
import typing as t

import msgspec

from radishbridge.records import LogSettings

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


def configure_logging(settings: LogSettings) -> None:
    """Send all log records to the standard error stream in the format of the settings."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter() if settings.format == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level.upper())


def _timestamp(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def _extra(record: logging.LogRecord) -> dict[str, t.Any]:
    return {name: value for name, value in vars(record).items() if name not in _STANDARD}
