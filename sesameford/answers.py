"""Whether an answer is whole, and its own.

A broken connection looks much like an ended one: a proxy that dies ends the
bytes early, and an event stream without its end mark parses well. A cut answer
told as complete is the worst of failures, for nobody looks again. So an answer
counts as complete only when its length or its end mark was seen.
"""

from enum import StrEnum


class Completeness(StrEnum):
    """What is known of an answer when its bytes end."""

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
    """Judge a plain answer whose bytes have ended.

    Args:
        content_length: The length its head promised, if any.
        chunked: Whether it came in chunks.
        chunked_end_seen: Whether the last, empty chunk came.
        received_bytes: What came of the body.

    Returns:
        ``UNMARKED`` where the head gives neither a length nor chunks: then the
        end of the connection is the only sign, and that also comes of a crash.
    """
    if chunked:
        return Completeness.COMPLETE if chunked_end_seen else Completeness.CUT
    if content_length is None:
        return Completeness.UNMARKED
    if received_bytes > content_length:
        return Completeness.TOO_LONG
    whole = received_bytes == content_length
    return Completeness.COMPLETE if whole else Completeness.CUT


def judge_stream(done: bool, usage_seen: bool, in_order: bool) -> Completeness:
    """Judge a stream of events whose connection has ended.

    Args:
        done: Whether its end mark came.
        usage_seen: Whether the engine's own figures came before that.
        in_order: Whether every event followed the one before it.
    """
    whole = done and usage_seen and in_order
    return Completeness.COMPLETE if whole else Completeness.CUT
