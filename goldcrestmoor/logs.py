"""Logging as text or JSON, with the component's name and the request id.

A separate thread writes lines from a bounded queue, so that a reader that stalls never
blocks the daemon; lines that do not fit into the queue are dropped and counted. Lines
with the same message template are limited to a number per second.
"""

import atexit
import contextvars
import logging
import logging.handlers
import queue
import sys
import time

import msgspec

ROOT = "goldcrestmoor"

# Per message template; a busy host writes about 30 lines per second about its items.
MAX_LINES_PER_SECOND = 100
# Holds the lines of a busy host for some seconds; lines beyond it are dropped while
# the reader is stalled.
MAX_QUEUED_LINES = 5_000

request_id = contextvars.ContextVar("request_id", default="")


class _ContextFilter(logging.Filter):
    def filter(self, record):
        record.part = record.name.rpartition(".")[2]
        record.request_id = request_id.get()
        return True


class _RateLimitFilter(logging.Filter):
    """Limits the lines per second of each message template; counts suppressed lines."""

    def __init__(self, now_s=time.monotonic):
        super().__init__()
        self._now_s = now_s
        self._current_second = 0
        self._count_by_kind = {}
        self._suppressed_by_kind = {}

    def filter(self, record):
        second = int(self._now_s())
        if second != self._current_second:
            self._current_second = second
            self._count_by_kind.clear()
        count = self._count_by_kind.get(record.msg, 0) + 1
        self._count_by_kind[record.msg] = count
        if count > MAX_LINES_PER_SECOND:
            left_out = self._suppressed_by_kind.get(record.msg, 0) + 1
            self._suppressed_by_kind[record.msg] = left_out
            return False
        record.left_out = self._suppressed_by_kind.pop(record.msg, 0)
        return True


class _BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queues lines for the writer thread; drops and counts those that do not fit."""

    def __init__(self, lines):
        super().__init__(lines)
        self._lost_count = 0

    def enqueue(self, record):
        record.lost = self._lost_count
        try:
            self.queue.put_nowait(record)
            self._lost_count = 0
        except queue.Full:
            self._lost_count += 1

    def prepare(self, record):
        # The writer thread formats the line. Only the message is built here, because
        # its arguments may change before then.
        record.message = record.getMessage()
        record.args = None
        record.msg = record.message
        return record


def _loss_counts(record):
    """Return the nonzero counts of lines not written before this one, by name."""
    left_out, lost = getattr(record, "left_out", 0), getattr(record, "lost", 0)
    return {
        name: count for name, count in (("left_out", left_out), ("lost", lost)) if count
    }


class _TextFormatter(logging.Formatter):
    def format(self, record):
        suffix = f" [{record.request_id}]" if record.request_id else ""
        line = f"{self.formatTime(record)} {record.levelname.lower()} "
        line += f"{record.part}: {record.getMessage()}{suffix}"
        for name, count in _loss_counts(record).items():
            line += f" ({count} {name.replace('_', ' ')})"
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
            **_loss_counts(record),
        }
        if record.request_id:
            fields["request_id"] = record.request_id
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


def set_up(level="info", style="text", stream=None):
    """Configure the package's loggers to write to a stream.

    :param level: the minimum level of lines that are written.
    :param style: ``text``, or ``json`` for log collectors.
    :param stream: the output stream; by default standard error.
    """
    writer = logging.StreamHandler(stream or sys.stderr)
    writer.setFormatter(_JsonFormatter() if style == "json" else _TextFormatter())
    lines = queue.Queue(MAX_QUEUED_LINES)
    handler = _BoundedQueueHandler(lines)
    handler.addFilter(_RateLimitFilter())
    handler.addFilter(_ContextFilter())
    listener = logging.handlers.QueueListener(lines, writer)
    listener.start()
    atexit.register(listener.stop)
    root = logging.getLogger(ROOT)
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False


def set_level(level):
    """Change the minimum level of lines that are written.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    logging.getLogger(ROOT).setLevel(level.upper())
