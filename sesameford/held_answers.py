"""How much an instance holds of the answers that it forwards, or of bodies it reads.

An answer that is held to its end can be sent to another target if it breaks, and its
caller learns of the failure from a status. But a server may send without end, and
several large answers at once are as bad as one: the process would be ended for its
memory, with every call at it. A router of the platform forwards what finds no room as
it comes; the daemon, which must see the end of an answer before it reports that the
call ran, gives it up.
"""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

# Each answer may hold this much, however much the others hold.
MIN_HELD_BYTES = 65_536
# A single answer holds no more; it is a small part of what all may hold together.
MAX_HELD_BYTES = 1_000_000


class HeldBytes:
    """The bytes that one instance holds, over all answers or bodies.

    Args:
        machine_limit_bytes: Returns what its machine has room for, whatever limit the
            operators set; None if that is not known.
    """

    def __init__(self, machine_limit_bytes: Callable[[], int] | None) -> None:
        self._machine_limit_bytes = machine_limit_bytes
        self.held_bytes = 0

    def has_room_on_machine(self) -> bool:
        """Return whether the machine has room for what is held."""
        if self._machine_limit_bytes is None:
            return True
        return self.held_bytes <= self._machine_limit_bytes()

    @contextmanager
    def hold(self, limit_bytes: int) -> Iterator["HeldPart"]:
        """Account for one answer or body as long as the context lasts.

        Args:
            limit_bytes: What all may hold together.
        """
        held = HeldPart(self, limit_bytes)
        try:
            yield held
        finally:
            held.release()


class HeldPart:
    """What an instance holds of one answer or body."""

    def __init__(self, total: HeldBytes, limit_bytes: int) -> None:
        self._total = total
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    def resize(self, held_bytes: int, max_bytes: int = MAX_HELD_BYTES) -> bool:
        """Set what is held, and return whether there is room for it.

        Args:
            held_bytes: The bytes held from now on.
            max_bytes: The most that this answer or body may hold.
        """
        self._total.held_bytes += held_bytes - self._held_bytes
        self._held_bytes = held_bytes
        if held_bytes <= MIN_HELD_BYTES:
            return True
        has_room = self._total.held_bytes <= self._limit_bytes
        # One that is alone may be as large as any, whatever the machine.
        is_alone = self._total.held_bytes == held_bytes
        has_room = has_room and (is_alone or self._total.has_room_on_machine())
        return has_room and held_bytes <= max_bytes

    def release(self) -> None:
        """Hold nothing any more."""
        self.resize(0)


async def collect_held(
    parts: AsyncIterator[bytes], hold: Callable[[int], None]
) -> bytes:
    """Return all parts of an answer or body that is read to its end.

    Args:
        parts: The parts as they arrive.
        hold: Called with the bytes held so far; it raises if they are too many.
    """
    # Many small parts would leave memory that only small objects can have again.
    collected = bytearray()
    try:
        async for part in parts:
            collected += part
            hold(len(collected))
        return bytes(collected)
    finally:
        # The traceback of an error may keep this frame, and all parts with it.
        collected.clear()


def make_held_bytes(
    machine_limit_bytes: Callable[[], int] | None = None,
) -> HeldBytes:
    """Return the account of a router that holds nothing.

    Args:
        machine_limit_bytes: Returns what its machine has room for, None if unknown.
    """
    return HeldBytes(machine_limit_bytes)
