"""Watches an upload whose server has ended its answer and the connection with it.

A server may answer before it has read an upload, and close. Its kernel then resets the
connection, just behind the answer's end. That is not noticed if this end's kernel has
taken all of the upload: whether an answer is whole would depend on buffers.
"""

import logging
from asyncio import AbstractEventLoop, TimerHandle, Transport
from collections.abc import Callable
from enum import Enum, auto

from sesameford.tcp_state import TCP_CLOSE, count_unacknowledged_bytes, read_state

logger = logging.getLogger(__name__)

# A reset follows the end at once, but for what the server's machine does meanwhile.
CHECK_INTERVAL_SECONDS = 0.01
# A server may have read none of such an upload, though its kernel has all of it.
LARGE_UPLOAD_BYTES = 65_536
LARGE_SETTLE_SECONDS = 0.05


class Delivery(Enum):
    """What became of what was sent on a connection that the peer has ended."""

    UNDER_WAY = auto()
    DELIVERED = auto()
    RESET = auto()


def read_delivery(transport: Transport) -> Delivery:
    """Return what became of all that was written to a transport."""
    if transport.get_write_buffer_size():
        return Delivery.UNDER_WAY
    try:
        # After a reset nothing is held either, so the state is read last.
        left_bytes = count_unacknowledged_bytes(transport)
        if read_state(transport) == TCP_CLOSE:
            return Delivery.RESET
    except OSError as error:
        logger.warning("the state of a connection is not known: %r", error)
        return Delivery.DELIVERED
    return Delivery.UNDER_WAY if left_bytes else Delivery.DELIVERED


def settle_seconds(upload_bytes: int) -> float:
    """Return how long a reset is waited for behind the end of an answer."""
    if upload_bytes > LARGE_UPLOAD_BYTES:
        return LARGE_SETTLE_SECONDS
    return CHECK_INTERVAL_SECONDS


class UploadWatch:
    """Reports once what became of an upload.

    Args:
        transport: The connection, which the peer has ended.
        loop: The running loop.
        report: Takes how the upload ended.
    """

    def __init__(
        self,
        transport: Transport,
        loop: AbstractEventLoop,
        report: Callable[[Delivery], None],
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._report = report
        self._timer: TimerHandle | None = None

    def start(self, upload_bytes: int) -> None:
        """Check until the upload has ended."""
        self._check_in(settle_seconds(upload_bytes))

    def _check_in(self, seconds: float) -> None:
        self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        if self._transport.is_closing():
            # Nobody waits for this answer any more.
            return
        delivery = read_delivery(self._transport)
        if delivery is Delivery.UNDER_WAY:
            self._check_in(CHECK_INTERVAL_SECONDS)
        else:
            self._report(delivery)

    def close(self) -> None:
        """Report nothing any more."""
        if self._timer is not None:
            self._timer.cancel()


def make_upload_watch(
    transport: Transport,
    loop: AbstractEventLoop,
    report: Callable[[Delivery], None],
) -> UploadWatch:
    """Return a watch that has not started; see ``UploadWatch``."""
    return UploadWatch(transport, loop, report)
