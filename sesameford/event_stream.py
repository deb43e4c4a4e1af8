"""Splits a model engine's byte stream into complete server-sent events.

A router relays thousands of tokens a second, so the bytes are searched and not
parsed: only the events that carry usage are decoded.
"""

from msgspec import DecodeError
from msgspec.json import decode

from sesameford.tables import Usage

_END = b"\n\n"
# A blank line ends an event, whatever ends the lines.
_EVENT_ENDS = (_END, b"\n\r\n", b"\r\r")
_LONGEST_END_BYTES = max(len(end) for end in _EVENT_ENDS)
_NEWLINES = b"\r\n"
_DONE_LINE = b"data: [DONE]"
_DATA_PREFIX = b"data: "
_ID_FIELD = b"id:"
_ID_PREFIX = b"id: "
_USAGE_MARK = b'"usage"'
MAX_EVENT_BYTES = 4_000_000


class EventStream:
    """The state of one event stream.

    ``last_event_id`` is -1 before the first event. ``is_done`` is True once the end
    mark arrived; without it the answer is truncated. ``in_order`` turns False if an
    event is missing or repeated: after a resume on another connection, such a stream
    lacks or repeats text and still ends with its mark. ``held_bytes`` is the size of
    the buffered partial event.
    """

    def __init__(self) -> None:
        self._rest: list[bytes] = []
        self._last_bytes = b""
        self.held_bytes = 0
        self.last_event_id = -1
        self.event_count = 0
        self.is_done = False
        self.in_order = True
        self.usage: Usage | None = None

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those that complete events.

        A connection may break inside an event. A relayed partial event can't be
        retracted when the stream is resumed, and the caller would read broken text,
        so a partial event is buffered until its end arrives.
        """
        is_complete = bool(_end_of_last_event(self._last_bytes + data))
        self._hold(data)
        if not is_complete:
            return b""
        buffer = self.pop_rest()
        end = _end_of_last_event(buffer)
        ready = buffer[:end]
        self._hold(buffer[end:])
        self._inspect_events(_with_line_feeds(ready))
        return ready

    def _hold(self, data: bytes) -> None:
        """Buffer bytes; a long event is not copied and searched for each of its parts.

        The end of an event may be split over two reads of which one is short.
        """
        if data:
            self._rest.append(data)
            self.held_bytes += len(data)
            self._last_bytes = (self._last_bytes + data)[-_LONGEST_END_BYTES + 1 :]

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return any(part.strip(_NEWLINES) for part in self._rest)

    def pop_rest(self) -> bytes:
        """Return the buffered bytes after the last event of a complete stream."""
        rest = b"".join(self._rest)
        self.drop_partial()
        return rest

    def drop_partial(self) -> None:
        """Drop the buffered partial event after its connection ended."""
        self._rest.clear()
        self._last_bytes = b""
        self.held_bytes = 0

    def usage_so_far(self, prompt_tokens: int) -> Usage:
        """Return the usage that the engine reported, or an estimate from the events."""
        return self.usage or Usage(
            prompt_tokens=prompt_tokens, output_tokens=self.event_count
        )

    def _inspect_events(self, ready: bytes) -> None:
        self.event_count += ready.count(_END)
        before = self.last_event_id
        self._find_last_id(ready)
        numbered = ready.count(_END + _ID_PREFIX) + ready.startswith(_ID_PREFIX)
        if self.last_event_id - before != numbered:
            self.in_order = False
        if _USAGE_MARK in ready:
            self._find_usage(ready)
        if ready.startswith(_DONE_LINE) or b"\n" + _DONE_LINE in ready:
            self.is_done = True

    def _find_last_id(self, ready: bytes) -> None:
        at = ready.rfind(b"\n" + _ID_FIELD)
        if at >= 0:
            at += 1
        elif ready.startswith(_ID_FIELD):
            at = 0
        else:
            return
        digits = ready[at + len(_ID_FIELD) : ready.index(b"\n", at)].strip()
        if digits.isdigit():
            self.last_event_id = max(self.last_event_id, int(digits))

    def _find_usage(self, ready: bytes) -> None:
        for line in ready.split(b"\n"):
            if line.startswith(_DATA_PREFIX) and _USAGE_MARK in line:
                self.usage = _usage_of(line[len(_DATA_PREFIX) :]) or self.usage


def _end_of_last_event(buffer: bytes) -> int:
    """Return the position after the last complete event, 0 if there is none."""
    if b"\r" not in buffer:
        at = buffer.rfind(_END)
        return at + len(_END) if at >= 0 else 0
    return max(
        at + len(end) if (at := buffer.rfind(end)) >= 0 else 0 for end in _EVENT_ENDS
    )


def _with_line_feeds(ready: bytes) -> bytes:
    """Return complete events with all lines ended by a line feed."""
    if b"\r" not in ready:
        return ready
    return ready.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def _usage_of(encoded: bytes) -> Usage | None:
    """Return the usage in one event's JSON, or None."""
    try:
        event = decode(encoded)
    except DecodeError:
        return None
    usage = event.get("usage") if isinstance(event, dict) else None
    if not isinstance(usage, dict):
        return None
    details = usage.get("prompt_tokens_details")
    cached = details.get("cached_tokens") if isinstance(details, dict) else 0
    return Usage(
        prompt_tokens=_count(usage.get("prompt_tokens")),
        cached_prompt_tokens=_count(cached),
        output_tokens=_count(usage.get("completion_tokens")),
    )


def _count(value: object) -> int:
    """Return a token count, or 0 if the value is no positive integer."""
    return value if isinstance(value, int) and value > 0 else 0
