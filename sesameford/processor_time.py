"""Measures the processor time of control work on the event loop's thread."""

from collections.abc import Iterator
from contextlib import contextmanager
from time import thread_time


class ProcessorTime:
    """Seconds of processor time spent inside ``measured`` blocks."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._depth = 0

    @contextmanager
    def measured(self) -> Iterator[None]:
        """Add the processor time of the block; nested blocks are counted once."""
        self._depth += 1
        started_seconds = thread_time()
        try:
            yield
        finally:
            self._depth -= 1
            if self._depth == 0:
                self.seconds += thread_time() - started_seconds
