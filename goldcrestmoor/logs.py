"""Logging: short sentences, a fixed prefix per part and the request's id.

Lines are written by a thread of their own from a bounded queue, so that a reader that
stalls never stalls the daemon; what doesn't fit is counted. Lines of one kind, those
that one place in the code writes, are bounded each second.
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

# Lines of one kind in a second; a busy host writes some 30 about its items.
MAX_LINES_PER_SECOND = 100
# Some seconds of a busy host; more is lost when nobody reads.
MAX_QUEUED_LINES = 5_000

request_id = contextvars.ContextVar("request_id", default="")


class _ContextFilter(logging.Filter):
    def filter(self, record):
        record.part = record.name.rpartition(".")[2]
        record.request_id = request_id.get()
        return True


class _RateLimitFilter(logging.Filter):
    """Let a bounded number of lines of each kind through, and count the rest."""

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
    """Hand lines to the writing thread, or count them when it is too far behind."""

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
        # The writing thread formats; only what may change meanwhile is taken here.
        record.message = record.getMessage()
        record.args = None
        record.msg = record.message
        return record


def _loss_counts(record):
    """Return what is to be said of lines that were not written."""
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
    """Send the package's log to a stream.

    :param level: the lowest level that is written.
    :param style: ``text`` for people or ``json`` for collectors.
    :param stream: where to write; standard error when left out.
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
    """Change the lowest level that is written.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    logging.getLogger(ROOT).setLevel(level.upper())
