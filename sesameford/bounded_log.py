"""Log output to a stream whose reader may be slow or gone.

A process that logs a line for each request would block with its reader: when the pipe
is full, each write waits, and all streams to callers pause at once. So writes never
block, the buffer of unwritten lines is bounded, and so is the number of lines per
second. Successful requests have a lower limit than failed ones.
"""

import json
import logging
import os
from collections import Counter
from collections.abc import Callable
from enum import Enum
from time import monotonic

# Limits for successful and for failed requests. A line costs some 20 microseconds, so
# both together stay below a hundredth of a core.
INFO_LINES_PER_SECOND = 100
FAILURE_LINES_PER_SECOND = 400
# Lines about the state of the process, such as shares, are few, but a burst of requests
# would displace them just when they are needed. They have a limit of their own, which
# bounds a state that flaps.
STATE_LINES_PER_SECOND = 100
# The buffer for a slow reader: about a second of lines at the rates above.
MAX_PENDING_BYTES = 262_144


class LineKind(Enum):
    """The subject of a line, which determines its rate limit."""

    INFO = "a request that went well"
    FAILURE = "a request that did not"
    STATE = "what the process believes"


MAX_LINES_PER_SECOND = {
    LineKind.INFO: INFO_LINES_PER_SECOND,
    LineKind.FAILURE: FAILURE_LINES_PER_SECOND,
    LineKind.STATE: STATE_LINES_PER_SECOND,
}


class BoundedHandler(logging.Handler):
    """Writes lines without blocking, and counts those that are dropped.

    Args:
        descriptor: The file descriptor of the stream; it is set to non-blocking.
        now: The current time in seconds.
        request_logger: The name of the logger that writes one line per request.
    """

    def __init__(
        self,
        descriptor: int,
        now: Callable[[], float] = monotonic,
        request_logger: str = "",
    ) -> None:
        super().__init__()
        self._request_logger = request_logger
        self._descriptor = descriptor
        self._now = now
        self._pending = bytearray()
        self._second = int(now())
        self._lines: Counter[LineKind] = Counter()
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it as dropped."""
        second = int(self._now())
        if second != self._second:
            self._start_second(second)
        kind = self._kind_of(record)
        if self._lines[kind] >= MAX_LINES_PER_SECOND[kind]:
            self._dropped_lines += 1
            return
        self._lines[kind] += 1
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self._write(line)

    def flush(self) -> None:
        """Write the buffered lines, as far as the stream accepts them now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the stream; the error can't be logged either.
                self._pending.clear()
                return
            del self._pending[:written]

    def _kind_of(self, record: logging.LogRecord) -> LineKind:
        if self._request_logger and record.name != self._request_logger:
            return LineKind.STATE
        if record.levelno >= logging.WARNING:
            return LineKind.FAILURE
        return LineKind.INFO

    def _start_second(self, second: int) -> None:
        self._second = second
        self._lines.clear()
        dropped_lines, self._dropped_lines = self._dropped_lines, 0
        if dropped_lines:
            self._write(
                json.dumps({"message": "lines left out", "count": dropped_lines})
            )

    def _write(self, line: str) -> None:
        self.flush()
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self._dropped_lines += 1
            return
        self._pending += data
        self.flush()


def make_bounded_handler(descriptor: int, request_logger: str) -> BoundedHandler:
    """Return a handler that writes to a descriptor without blocking.

    Args:
        descriptor: The file descriptor of the stream.
        request_logger: The name of the logger that writes one line per request.
    """
    return BoundedHandler(descriptor, request_logger=request_logger)
