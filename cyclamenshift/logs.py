"""
cyclamenshift.logs
==================

One JSON line on standard output for each decision and each change of view.

Lines are bounded: a budget a second, and a bounded backlog where the reader
is slow.  What is dropped is counted, and the count is a line of its own.
Writing never waits.
"""

import logging
import os
import stat
import sys
import time
from collections import deque
from typing import Any, Final

import msgspec

#: How many lines a second may be written, and how many at once after a
#: quiet time: several times what a calm process writes.
LINES_PER_SECOND: Final = 200
LINES_AT_ONCE: Final = 600
#: How many bytes may wait for a slow reader.
BACKLOG_BYTES: Final = 262_144


class StructuredLogger:
    """Writes the lines of one part of the program."""

    def __init__(self, part: str) -> None:
        """Mark every line with *part*."""
        self.part = part
        self.logger = logging.getLogger(f'cyclamenshift.{part}')

    def debug(self, text: str, **fields: Any) -> None:
        """Write what helps a developer."""
        self._write(logging.DEBUG, text, fields)

    def note(self, text: str, **fields: Any) -> None:
        """Write a decision, or a change of what is believed."""
        self._write(logging.INFO, text, fields)

    def warning(self, text: str, **fields: Any) -> None:
        """Write something that may need an operator."""
        self._write(logging.WARNING, text, fields)

    def error(self, text: str, **fields: Any) -> None:
        """Write a fault."""
        self._write(logging.ERROR, text, fields)

    def _write(self, level: int, text: str, fields: dict[str, Any]) -> None:
        if self.logger.isEnabledFor(level):
            extra = {'part': self.part, 'fields': fields}
            self.logger.log(level, text, extra=extra)


class JsonFormatter(logging.Formatter):
    """Puts time, level, part, text and fields into one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of *record*, without its end."""
        values = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'part': getattr(record, 'part', record.name),
            'text': record.getMessage(),
            **getattr(record, 'fields', {}),
        }
        if record.exc_info:
            values['trace'] = self.formatException(record.exc_info)
        return msgspec.json.encode(values, enc_hook=str).decode()


class LineHandler(logging.Handler):
    """Writes lines to a descriptor within a budget, and never waits."""

    def __init__(self, descriptor: int) -> None:
        """Write to *descriptor*, which must not block if it is a pipe."""
        super().__init__()
        self.descriptor = descriptor
        self.backlog: deque[bytes] = deque()
        self.waiting = 0
        self.dropped = 0
        self.allowance: float = LINES_AT_ONCE
        self.counted_at = time.monotonic()

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of *record*, or count it as dropped."""
        if not self._take_allowance() or self.waiting > BACKLOG_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            self._append(self._dropped_line())
            self.dropped = 0
        self._append(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write as much of the backlog as the reader takes now."""
        while self.backlog:
            line = self.backlog.popleft()
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            self.waiting -= written
            if written < len(line):
                self.backlog.appendleft(line[written:])
                return

    def _append(self, text: str) -> None:
        line = f'{text}\n'.encode()
        self.backlog.append(line)
        self.waiting += len(line)

    def _take_allowance(self) -> bool:
        now = time.monotonic()
        earned = (now - self.counted_at) * LINES_PER_SECOND
        self.counted_at = now
        self.allowance = min(LINES_AT_ONCE, self.allowance + earned)
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True

    def _dropped_line(self) -> str:
        values = {
            'time': round(time.time(), 3),
            'level': 'warning',
            'part': 'logs',
            'text': 'Lines were dropped.',
            'count': self.dropped,
        }
        return msgspec.json.encode(values).decode()


def get_logger(part: str) -> StructuredLogger:
    """Return the logger of the part called *part*."""
    return StructuredLogger(part)


def configure(level: str) -> None:
    """Send lines of *level* and above to standard output."""
    descriptor = sys.stdout.fileno()
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        os.set_blocking(descriptor, False)
    lines = LineHandler(descriptor)
    lines.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[lines])
    logging.getLogger('httpx').setLevel(logging.WARNING)


def flush() -> None:
    """Write what a slow reader had not taken yet, as far as it does now."""
    for lines in logging.getLogger().handlers:
        lines.flush()
