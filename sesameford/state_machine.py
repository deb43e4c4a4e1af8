"""The interface between the replicated log and its state machines."""

from collections.abc import Awaitable, Callable
from typing import Protocol


class StateMachine(Protocol):
    """A replicated state machine: deterministic, driven by committed commands.

    A state machine never reads a clock: a command contains the time that it needs.
    """

    name: str

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the answer for its proposer.

        Args:
            index: The command's log index, always higher than the last one.
            command: Bytes in the state machine's own encoding. A malformed command
                must be answered with a refusal and never raise: an exception here
                would stop every replica at the same entry.
        """

    def snapshot(self) -> bytes:
        """Return the whole state, including the tables that recognise resends."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of a snapshot."""


# Proposes a command for the named state machine and returns its answer once committed.
# Arguments: proposal id, state machine, command. Resends keep the proposal id. Raises
# NoQuorumError, after which the command may still be accepted later: a retry must use
# the same id.
Propose = Callable[[str, str, bytes], Awaitable[bytes]]
