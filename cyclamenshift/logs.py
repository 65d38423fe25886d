"""
cyclamenshift.logs
==================

Structured logging: one JSON object per line on standard output.

Writing never blocks.  The rate of lines is limited, and so is the backlog for
a slow reader.  Dropped lines are counted, and the count is logged.
"""

import logging
import os
import stat
import sys
import time
from collections import deque
from typing import Any, Final

import msgspec

#: Rate limit, lines per second, and number of lines in a burst after idling:
#: several times what a process writes in normal operation.
LINES_PER_SECOND: Final = 200
BURST_LINES: Final = 600
#: Maximum size of the backlog for a slow reader, bytes.
BACKLOG_BYTES: Final = 262_144


class StructuredLogger:
    """Writes structured log lines for one part of the program."""

    def __init__(self, part: str) -> None:
        """Label all lines with *part*."""
        self.part = part
        self.logger = logging.getLogger(f'cyclamenshift.{part}')

    def debug(self, text: str, **fields: Any) -> None:
        """Log details for developers."""
        self._write(logging.DEBUG, text, fields)

    def note(self, text: str, **fields: Any) -> None:
        """Log a decision or a change of state, at level ``info``."""
        self._write(logging.INFO, text, fields)

    def warning(self, text: str, **fields: Any) -> None:
        """Log something that may need the attention of an operator."""
        self._write(logging.WARNING, text, fields)

    def error(self, text: str, **fields: Any) -> None:
        """Log an error."""
        self._write(logging.ERROR, text, fields)

    def _write(self, level: int, text: str, fields: dict[str, Any]) -> None:
        if self.logger.isEnabledFor(level):
            extra = {'part': self.part, 'fields': fields}
            self.logger.log(level, text, extra=extra)


class JsonFormatter(logging.Formatter):
    """Formats time, level, part, text and fields as a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return *record* as JSON, without a line terminator."""
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


class RateLimitedHandler(logging.Handler):
    """Writes to a file descriptor, rate limited by a token bucket."""

    def __init__(self, descriptor: int) -> None:
        """Write to *descriptor*; a pipe must be in non-blocking mode."""
        super().__init__()
        self.descriptor = descriptor
        self.backlog: deque[bytes] = deque()
        self.backlog_bytes = 0
        self.dropped = 0
        self.tokens: float = BURST_LINES
        self.refilled_at = time.monotonic()

    def emit(self, record: logging.LogRecord) -> None:
        """Write *record*, or drop it and count it."""
        if not self._take_token() or self.backlog_bytes > BACKLOG_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            self._append(self._dropped_line())
            self.dropped = 0
        self._append(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write as much of the backlog as possible without blocking."""
        while self.backlog:
            line = self.backlog.popleft()
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            self.backlog_bytes -= written
            if written < len(line):
                self.backlog.appendleft(line[written:])
                return

    def _append(self, text: str) -> None:
        line = f'{text}\n'.encode()
        self.backlog.append(line)
        self.backlog_bytes += len(line)

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.refilled_at = now
        self.tokens = min(BURST_LINES, self.tokens + refill)
        if self.tokens < 1:
            return False
        self.tokens -= 1
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
    """Return the logger for *part*."""
    return StructuredLogger(part)


def configure(level: str) -> None:
    """Log lines of *level* and above to standard output."""
    descriptor = sys.stdout.fileno()
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        os.set_blocking(descriptor, False)
    log_handler = RateLimitedHandler(descriptor)
    log_handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[log_handler])
    logging.getLogger('httpx').setLevel(logging.WARNING)


def flush() -> None:
    """Flush the backlog of every handler."""
    for log_handler in logging.getLogger().handlers:
        log_handler.flush()
