"""Checks whether an answer is complete.

A broken connection looks much like a finished one: a proxy that crashes ends the
bytes early, and an event stream without its end mark still parses. A truncated
answer that is reported as complete is the worst failure, because no caller checks
it again. So an answer is complete only if its full length or its end mark arrived.
"""

from enum import StrEnum


class Completeness(StrEnum):
    """Whether an answer is complete when its bytes end."""

    COMPLETE = "complete"
    CUT = "cut"
    UNMARKED = "unmarked"
    TOO_LONG = "too-long"


def judge_body(
    content_length: int | None,
    chunked: bool,
    chunked_end_seen: bool,
    received_bytes: int,
) -> Completeness:
    """Return whether a plain answer whose bytes have ended is complete.

    Args:
        content_length: The ``Content-Length`` of its headers, if any.
        chunked: Whether the body uses the chunked transfer coding.
        chunked_end_seen: Whether the last, empty chunk arrived.
        received_bytes: The bytes of the body that arrived.

    Returns:
        ``UNMARKED`` if the headers give neither a length nor chunks: then the end
        of the connection is the only sign of the end, and a crash looks the same.
    """
    if chunked:
        return Completeness.COMPLETE if chunked_end_seen else Completeness.CUT
    if content_length is None:
        return Completeness.UNMARKED
    if received_bytes > content_length:
        return Completeness.TOO_LONG
    is_complete = received_bytes == content_length
    return Completeness.COMPLETE if is_complete else Completeness.CUT


def judge_stream(done: bool, usage_seen: bool, in_order: bool) -> Completeness:
    """Return whether a stream of events is complete.

    Args:
        done: Whether its end mark arrived.
        usage_seen: Whether the engine's token usage arrived before the end mark.
        in_order: Whether no event was missing or repeated.
    """
    is_complete = done and usage_seen and in_order
    return Completeness.COMPLETE if is_complete else Completeness.CUT
