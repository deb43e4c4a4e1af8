"""Checks the heads of answers, which the HTTP library reads leniently.

A server in trouble sends bytes that are no head of HTTP/1.1 (RFC 9112). The library
takes some of them for an answer, which a caller would then get.
"""

import re

from aiohttp import ClientError

# The library's own limits bound the length of a head; this is for the log.
MAX_DETAIL_BYTES = 80

_HEAD_END = re.compile(rb"[^\r\n]\r?\n\r?\n")
# The bytes that a match may have left of where more bytes are appended.
_HEAD_END_BYTES = 5
# The reason is not checked: it is passed on to nobody.
_STATUS_LINE = re.compile(rb"HTTP/1\.\d (?P<status>[1-5]\d\d)(?: [^\r\n]*)?\r?")
# The end of HTTP on a connection, which no request here asks for.
_SWITCHING_PROTOCOLS = b"101"
_VALUE = rb"[^\x00-\x08\x0a-\x1f\x7f]*+"
# A line that begins with a blank continues the value before it.
_FIELD = (
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:" + _VALUE + rb"(?:\r?\n[ \t]" + _VALUE + rb")*+"
)
_FIELDS = re.compile(rb"(?:" + _FIELD + rb"\r?\n)*+")
_EMPTY_LINES = frozenset({b"\r\n", b"\n"})


class MalformedHeadError(ClientError):
    """An answer has a head that is not as HTTP/1.1 says."""


def find_head_end(data: bytes | bytearray, known_bytes: int) -> int | None:
    """Return where the first head ends, None if it goes on.

    Empty lines before a head belong to it. Lines may end with LF alone.

    Args:
        data: What has arrived of the head, and perhaps more.
        known_bytes: As much of it was looked at before.
    """
    found = _HEAD_END.search(data, max(known_bytes - _HEAD_END_BYTES + 1, 0))
    return None if found is None else found.end()


def check_head(head: bytes) -> None:
    """Check a head of an answer, final or interim.

    Args:
        head: Its bytes as they arrived, with the empty line behind it.

    Raises:
        MalformedHeadError: A caller must not get this answer.
    """
    status_line, _, lines = head.lstrip(b"\r\n").partition(b"\n")
    found = _STATUS_LINE.fullmatch(status_line)
    if found is None or found["status"] == _SWITCHING_PROTOCOLS:
        raise MalformedHeadError(f"status line {status_line[:MAX_DETAIL_BYTES]!r}")
    fields = _FIELDS.match(lines)
    assert fields is not None
    rest = lines[fields.end() :]
    if rest not in _EMPTY_LINES:
        line = rest.partition(b"\n")[0]
        raise MalformedHeadError(f"field {line[:MAX_DETAIL_BYTES]!r}")
