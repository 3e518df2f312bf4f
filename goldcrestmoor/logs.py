"""Logging: short sentences, a fixed prefix per part and the request's id."""

import contextvars
import logging
import sys

import msgspec

ROOT = "goldcrestmoor"

request_id = contextvars.ContextVar("request_id", default="")


class _ContextFilter(logging.Filter):
    def filter(self, record):
        record.part = record.name.rpartition(".")[2]
        record.request_id = request_id.get()
        return True


class _TextFormatter(logging.Formatter):
    def format(self, record):
        suffix = f" [{record.request_id}]" if record.request_id else ""
        line = f"{self.formatTime(record)} {record.levelname.lower()} "
        line += f"{record.part}: {record.getMessage()}{suffix}"
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class _JsonFormatter(logging.Formatter):
    def format(self, record):
        fields = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "part": record.part,
            "message": record.getMessage(),
        }
        if record.request_id:
            fields["request_id"] = record.request_id
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


def set_up(level="info", style="text", stream=None):
    """Send the package's log to a stream.

    :param level: the lowest level that is written.
    :param style: ``text`` for people or ``json`` for collectors.
    :param stream: where to write; standard error when left out.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.addFilter(_ContextFilter())
    handler.setFormatter(_JsonFormatter() if style == "json" else _TextFormatter())
    root = logging.getLogger(ROOT)
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False
