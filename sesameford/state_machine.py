"""The seam between the replicated log and what is kept in it."""

from collections.abc import Awaitable, Callable
from typing import Protocol


class StateMachine(Protocol):
    """A deterministic machine fed by committed commands, the same on all replicas.

    A machine never reads a clock: a command carries the time that it needs.
    """

    name: str

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the answer for its proposer.

        Args:
            index: The command's place in the log; it only grows.
            command: Bytes in the machine's own coding. A malformed command must
                be answered with a refusal, never raise: an exception here would
                stop every replica at the same entry.
        """

    def snapshot(self) -> bytes:
        """Return the whole state, with the tables that recognise resends."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of a snapshot."""


# Brings a command for the named machine to agreement and returns its answer.
# The proposal id stays the same over resends. Raises NoQuorumError, after which
# the command may or may not be accepted later: the same id must be used again.
Propose = Callable[[str, str, bytes], Awaitable[bytes]]
