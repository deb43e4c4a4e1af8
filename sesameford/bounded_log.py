"""Log lines to a stream that may be read slowly, or by nobody.

A process that logs a line for each request would stand still with its reader: when
the pipe is full, each write waits. Callers would notice that all streams pause at
once. So writing never waits, what can't be written is bounded, and the lines of a
second are bounded too, those of requests that went well first.
"""

import json
import logging
import os
from collections import Counter
from collections.abc import Callable
from enum import Enum
from time import monotonic

# Lines a second of what went well, and of what did not. A line costs some 20
# microseconds, so both together stay below a hundredth of a core.
INFO_LINES_A_SECOND = 100
FAILURE_LINES_A_SECOND = 400
# Lines of what the process believes, such as shares, are few, but a flood of requests
# would push them out just when they are needed. They have their own bound, against a
# state that flaps.
STATE_LINES_A_SECOND = 100
# What waits for a slow reader: about a second of lines at the rates above.
MOST_PENDING_BYTES = 262_144


class LineKind(Enum):
    """What a line tells, which decides how many of its kind are written."""

    INFO = "a request that went well"
    FAILURE = "a request that did not"
    STATE = "what the process believes"


MOST_LINES = {
    LineKind.INFO: INFO_LINES_A_SECOND,
    LineKind.FAILURE: FAILURE_LINES_A_SECOND,
    LineKind.STATE: STATE_LINES_A_SECOND,
}


class BoundedHandler(logging.Handler):
    """Writes lines without waiting, and counts those that are left out.

    Args:
        descriptor: Of the stream; it is set not to block.
        now: The present time.
        request_logger: The logger whose lines tell of one request each.
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
        self._left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as left out."""
        second = int(self._now())
        if second != self._second:
            self._begin_second(second)
        kind = self._kind_of(record)
        if self._lines[kind] >= MOST_LINES[kind]:
            self._left_out += 1
            return
        self._lines[kind] += 1
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self._write(line)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will read any more; there is nowhere left to say so.
                self._pending.clear()
                return
            del self._pending[:written]

    def _kind_of(self, record: logging.LogRecord) -> LineKind:
        if self._request_logger and record.name != self._request_logger:
            return LineKind.STATE
        if record.levelno >= logging.WARNING:
            return LineKind.FAILURE
        return LineKind.INFO

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._lines.clear()
        left_out, self._left_out = self._left_out, 0
        if left_out:
            self._write(json.dumps({"message": "lines left out", "count": left_out}))

    def _write(self, line: str) -> None:
        self.flush()
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if len(self._pending) + len(data) > MOST_PENDING_BYTES:
            self._left_out += 1
            return
        self._pending += data
        self.flush()


def make_bounded_handler(descriptor: int, request_logger: str) -> BoundedHandler:
    """Return a handler that writes to a descriptor without waiting.

    Args:
        descriptor: Of the stream.
        request_logger: The logger whose lines tell of one request each.
    """
    return BoundedHandler(descriptor, request_logger=request_logger)
