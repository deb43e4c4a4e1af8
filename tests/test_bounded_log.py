"""Log lines under load, with a reader that blocks or is gone."""

import logging
import os
from time import monotonic

import pytest

from sesameford.bounded_log import (
    FAILURE_LINES_PER_SECOND,
    INFO_LINES_PER_SECOND,
    MAX_PENDING_BYTES,
    STATE_LINES_PER_SECOND,
    BoundedHandler,
)

LINES = 20_000


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


class Clock:
    """A clock that tests set."""

    seconds = 0.0

    def __call__(self):
        return self.seconds


def record(level, text="x" * 100, logger="t"):
    return logging.LogRecord(logger, level, "f", 1, text, (), None)


def read_all(reader):
    os.set_blocking(reader, False)
    parts = []
    while True:
        try:
            parts.append(os.read(reader, 65_536))
        except BlockingIOError:
            return b"".join(parts).decode()


def drain(handler, reader):
    """Read until the buffer is empty, and return the lines."""
    text = read_all(reader)
    while handler._pending:
        handler.flush()
        text += read_all(reader)
    return text.splitlines()


def test_a_reader_that_blocks_does_not_block_the_handler(pipe):
    """The process that collects the logs hangs while requests arrive.

    A router that waited for it would relay no tokens any more.
    """
    reader, writer = pipe
    clock = Clock()
    handler = BoundedHandler(writer, clock)
    started = monotonic()
    for number in range(LINES):
        clock.seconds = number / 200
        handler.emit(record(logging.WARNING))
    assert monotonic() - started < 5.0
    assert len(handler._pending) <= MAX_PENDING_BYTES
    drain(handler, reader)
    clock.seconds += 1
    handler.emit(record(logging.WARNING, "last"))
    seen = drain(handler, reader)
    assert seen[-1] == "last"
    assert any("lines left out" in line for line in seen)


def test_lines_of_failures_have_a_limit_of_their_own(pipe):
    """A burst of successful requests must not displace the line of a failed one."""
    reader, writer = pipe
    clock = Clock()
    handler = BoundedHandler(writer, clock)
    for _ in range(2 * INFO_LINES_PER_SECOND):
        handler.emit(record(logging.INFO, "well"))
    for _ in range(2 * FAILURE_LINES_PER_SECOND):
        handler.emit(record(logging.WARNING, "failed"))
    clock.seconds = 1.0
    handler.emit(record(logging.INFO, "next"))
    seen = drain(handler, reader)
    assert seen.count("well") == INFO_LINES_PER_SECOND
    assert seen.count("failed") == FAILURE_LINES_PER_SECOND
    dropped_lines = INFO_LINES_PER_SECOND + FAILURE_LINES_PER_SECOND
    assert f'{{"message": "lines left out", "count": {dropped_lines}}}' in seen


def test_a_reader_that_is_gone_is_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    handler = BoundedHandler(writer, Clock())
    for _ in range(3):
        handler.emit(record(logging.WARNING))
    os.close(writer)


def test_lines_about_state_have_a_limit_of_their_own(pipe):
    """One customer overloads a router, and its requests fill the lines of a second.

    The lines about shares would be missing just when an operator needs them.
    """
    reader, writer = pipe
    handler = BoundedHandler(writer, Clock(), "calls")
    for _ in range(2 * FAILURE_LINES_PER_SECOND):
        handler.emit(record(logging.WARNING, "failed", "calls"))
    for _ in range(2 * STATE_LINES_PER_SECOND):
        handler.emit(record(logging.INFO, "believes", "shares"))
    seen = drain(handler, reader)
    assert seen.count("failed") == FAILURE_LINES_PER_SECOND
    assert seen.count("believes") == STATE_LINES_PER_SECOND
