"""Applies committed entries to the state machines, each proposal once."""

from collections.abc import Sequence
from dataclasses import dataclass

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.errors import LogError
from sesameford.log_messages import Command, Entry
from sesameford.proposals import AcceptedProposal, ProposalTable, command_digest
from sesameford.state_machine import StateMachine


class _MachineSnapshots(Struct, frozen=True, array_like=True):
    """The encoded states of all state machines and of the proposal table."""

    proposals: bytes
    machines: dict[str, bytes]


_encoder = Encoder()
_decoder = Decoder(_MachineSnapshots)


@dataclass(frozen=True, slots=True)
class AppliedProposal:
    """The outcome of one committed proposal.

    ``first`` is False for a resend, which changed nothing. ``refused`` is True if the
    id was used before for another command, or if no state machine has the name.
    """

    index: int
    command: Command
    answer: bytes
    first: bool
    refused: bool


class Applier:
    """Applies committed entries to the state machines of one replica.

    Args:
        machines: The state machines, each with a unique name.
        proposals: The table that recognises resends.
    """

    def __init__(
        self, machines: Sequence[StateMachine], proposals: ProposalTable | None = None
    ) -> None:
        self._machines = {machine.name: machine for machine in machines}
        self._initial = {name: m.snapshot() for name, m in self._machines.items()}
        self.proposals = ProposalTable() if proposals is None else proposals
        self.applied_index = 0

    def apply(self, entry: Entry) -> AppliedProposal | None:
        """Apply the next committed entry.

        Args:
            entry: The entry after the last applied one.

        Returns:
            The outcome of a proposal, or None for an internal entry of the log.

        Raises:
            LogError: The entry does not follow the last applied one.
        """
        if entry.index != self.applied_index + 1:
            raise LogError(f"entry {entry.index} follows {self.applied_index}")
        self.applied_index = entry.index
        if not isinstance(entry.content, Command):
            return None
        return self._apply_command(entry.index, entry.content)

    def find_applied(self, command: Command) -> AppliedProposal | None:
        """Return the first outcome of a proposal that was applied before, or None."""
        row = self.proposals.find(command.proposal_id)
        if row is None:
            return None
        same = row.digest == command_digest(command.machine, command.command)
        answer = row.answer if same else b"the id was used for another command"
        return AppliedProposal(
            row.index, command, answer, first=False, refused=not same
        )

    def snapshot(self) -> bytes:
        """Return the encoded state after ``applied_index``."""
        machines = {name: m.snapshot() for name, m in self._machines.items()}
        return _encoder.encode(_MachineSnapshots(self.proposals.snapshot(), machines))

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the state by that of a snapshot.

        A state machine that the snapshot doesn't contain returns to its initial state.

        Args:
            index: The last index that the snapshot covers.
            snapshot: The result of ``snapshot`` on any replica.

        Raises:
            LogError: The bytes are not a snapshot.
        """
        try:
            found = _decoder.decode(snapshot)
        except (DecodeError, ValidationError, UnicodeDecodeError) as error:
            raise LogError(f"no snapshot of machines: {error}") from error
        self.proposals.restore(found.proposals)
        for name, machine in self._machines.items():
            machine.restore(found.machines.get(name, self._initial[name]))
        self.applied_index = index

    def _apply_command(self, index: int, command: Command) -> AppliedProposal:
        """Apply a command to its state machine unless its id was accepted before."""
        earlier = self.find_applied(command)
        if earlier is not None:
            return earlier
        machine = self._machines.get(command.machine)
        if machine is None:
            answer = f"no state machine {command.machine}".encode()
            return AppliedProposal(index, command, answer, first=True, refused=True)
        answer = machine.apply(index, command.command)
        digest = command_digest(command.machine, command.command)
        row = AcceptedProposal(command.proposal_id, digest, index, answer)
        self.proposals.add(row)
        return AppliedProposal(index, command, answer, first=True, refused=False)
