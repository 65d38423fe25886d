"""
cyclamenshift.logs
==================

Structured logging: one JSON object per line on standard output.

Writing never blocks.  The rate of lines is limited, and so is the backlog for
a slow reader.  Part of the rate is reserved for texts that are rarely logged,
so that frequent ones don't crowd them out.  Dropped lines are counted by text,
and the counts are logged.
"""

import logging
import os
import stat
import sys
import time
from collections import Counter, deque
from typing import Any, Final

import msgspec

#: Rate limit, lines per second, and number of lines in a burst after idling:
#: several times what a process writes in normal operation.
LINES_PER_SECOND: Final = 150
BURST_LINES: Final = 450
#: The same for the lines reserved for rare texts.
RESERVED_LINES_PER_SECOND: Final = 50
RESERVED_BURST_LINES: Final = 150
#: How many of the reserved lines each text may use: a few for each domain.
TEXT_LINES_PER_SECOND: Final = 2
TEXT_BURST_LINES: Final = 10
#: Maximum number of texts that are told apart; the program has fewer.
MAX_TEXTS: Final = 500
#: Rate of the reports of dropped lines, per second, and the most texts in one.
REPORT_RATE: Final = 1
REPORTED_TEXTS: Final = 20
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

    def exception(self, text: str, error: BaseException, **fields: Any) -> None:
        """Log an unexpected error with its traceback."""
        self._write(logging.ERROR, text, fields, error)

    def _write(
        self,
        level: int,
        text: str,
        fields: dict[str, Any],
        error: BaseException | None = None,
    ) -> None:
        if self.logger.isEnabledFor(level):
            exc_info = None
            if error is not None:
                exc_info = (type(error), error, error.__traceback__)
            # Unlike ``Logger.log``, this does not search for the caller.
            record = self.logger.makeRecord(
                self.logger.name,
                level,
                '',
                0,
                text,
                (),
                exc_info,
                extra={'part': self.part, 'fields': fields},
            )
            self.logger.handle(record)


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


class TokenBucket:
    """Permits a rate of events, and a burst of them after idling."""

    def __init__(self, rate: int, burst: int) -> None:
        """Permit *rate* events per second, and *burst* at once."""
        self.rate = rate
        self.burst = burst
        self.tokens: float = burst
        self.refilled_at = time.monotonic()

    def has_token(self) -> bool:
        """Return whether an event is permitted now."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * self.rate
        self.refilled_at = now
        self.tokens = min(self.burst, self.tokens + refill)
        return self.tokens >= 1

    def take(self) -> bool:
        """Use up a token; return False if there is none."""
        permitted = self.has_token()
        if permitted:
            self.tokens -= 1
        return permitted


class LineLimiter:
    """Limits the rate of lines, and keeps a reserve for rare texts."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self.shared = TokenBucket(LINES_PER_SECOND, BURST_LINES)
        self.reserve = TokenBucket(
            RESERVED_LINES_PER_SECOND, RESERVED_BURST_LINES
        )
        self.by_text: dict[str, TokenBucket] = {}

    def permits(self, text: str) -> bool:
        """Return whether a line with *text* may be written now."""
        own = self._bucket_of(text)
        is_rare = own.take()
        if self.shared.take():
            return True
        return is_rare and self.reserve.take()

    def _bucket_of(self, text: str) -> TokenBucket:
        if text not in self.by_text:
            if len(self.by_text) >= MAX_TEXTS:
                self.by_text.clear()
            self.by_text[text] = TokenBucket(
                TEXT_LINES_PER_SECOND, TEXT_BURST_LINES
            )
        return self.by_text[text]


class RateLimitedHandler(logging.Handler):
    """Writes to a file descriptor, at a limited rate."""

    def __init__(self, descriptor: int) -> None:
        """Write to *descriptor*; a pipe must be in non-blocking mode."""
        super().__init__()
        self.descriptor = descriptor
        self.backlog: deque[bytes] = deque()
        self.backlog_bytes = 0
        self.limiter = LineLimiter()
        self.dropped: Counter[str] = Counter()
        self.report = TokenBucket(REPORT_RATE, 1)

    def emit(self, record: logging.LogRecord) -> None:
        """Write *record*, or drop it and count it."""
        text = str(record.msg)
        is_full = self.backlog_bytes > BACKLOG_BYTES
        if is_full or not self.limiter.permits(text):
            self.dropped[text] += 1
            return
        self._append(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write as much of the backlog as possible without blocking."""
        if self.dropped and self.report.take():
            self._append(self._dropped_line())
            self.dropped.clear()
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

    def _dropped_line(self) -> str:
        values = {
            'time': round(time.time(), 3),
            'level': 'warning',
            'part': 'logs',
            'text': 'Lines were dropped.',
            'count': self.dropped.total(),
            'texts': dict(self.dropped.most_common(REPORTED_TEXTS)),
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
