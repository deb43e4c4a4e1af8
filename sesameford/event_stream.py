"""Server-sent events of a model engine, cut into whole events as bytes pass.

A router passes thousands of tokens a second on, so bytes are searched, not parsed:
only the events that carry usage are decoded.
"""

from msgspec import DecodeError
from msgspec.json import decode

from sesameford.tables import Usage

_END = b"\n\n"
_DONE_LINE = b"data: [DONE]"
_DATA_PREFIX = b"data: "
_ID_PREFIX = b"id: "
_USAGE_MARK = b'"usage"'
MAX_EVENT_BYTES = 4_000_000


class EventStream:
    """What has passed of one stream.

    ``last_event_id`` is -1 before the first event; ``is_done`` says that the end
    mark was seen, without which the answer is cut. ``in_order`` turns False where an
    event is missing or comes twice: after a resume on another connection the text
    would lack a sentence or repeat one, and still end with its mark.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_event_id = -1
        self.event_count = 0
        self.is_done = False
        self.in_order = True
        self.usage: Usage | None = None

    def feed(self, data: bytes) -> bytes:
        """Take bytes as they come and return those that end whole events.

        A connection may break inside an event. Half of one passed on could not be
        taken back when the stream is resumed elsewhere, so the caller would read
        broken text; half events are held until their end has come.
        """
        buffer = self._rest + data
        cut = buffer.rfind(_END)
        if cut < 0:
            self._rest = buffer
            return b""
        cut += len(_END)
        ready, self._rest = buffer[:cut], buffer[cut:]
        self._look_into(ready)
        return ready

    def drop_partial(self) -> None:
        """Forget a half event, because its connection is gone."""
        self._rest = b""

    @property
    def held_bytes(self) -> int:
        """Return the size of the half event that is held."""
        return len(self._rest)

    def usage_so_far(self, prompt_tokens: int) -> Usage:
        """Return the engine's own figures, or what the events passed suggest."""
        return self.usage or Usage(
            prompt_tokens=prompt_tokens, output_tokens=self.event_count
        )

    def _look_into(self, ready: bytes) -> None:
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
        at = ready.rfind(b"\n" + _ID_PREFIX)
        if at >= 0:
            at += 1
        elif ready.startswith(_ID_PREFIX):
            at = 0
        else:
            return
        digits = ready[at + len(_ID_PREFIX) : ready.index(b"\n", at)].strip()
        if digits.isdigit():
            self.last_event_id = max(self.last_event_id, int(digits))

    def _find_usage(self, ready: bytes) -> None:
        for line in ready.split(b"\n"):
            if line.startswith(_DATA_PREFIX) and _USAGE_MARK in line:
                self.usage = _usage_of(line[len(_DATA_PREFIX) :]) or self.usage


def _usage_of(encoded: bytes) -> Usage | None:
    """Return the usage in one event's JSON, if it is there."""
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
    """Return a token count, 0 for anything that is none."""
    return value if isinstance(value, int) and value > 0 else 0
