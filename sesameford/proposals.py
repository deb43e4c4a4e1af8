"""The accepted proposals and their first answers, which make resends idempotent.

A proposer that lost its answer sends the proposal again under the same id,
possibly to another leader or after restarts. The table is part of each snapshot,
so every replica recognises the id, even one that caught up by a snapshot.
"""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh3_64_intdigest

from sesameford.errors import LogError

# Resends follow within seconds; at 200 proposals a second this covers over a minute.
MAX_PROPOSALS = 16_384
MAX_ANSWER_BYTES = 4_000_000


class AcceptedProposal(Struct, frozen=True, array_like=True):
    """The first acceptance of a proposal id."""

    proposal_id: str
    digest: int
    index: int
    answer: bytes


_encoder = Encoder()
_decoder = Decoder(list[AcceptedProposal])


class ProposalTable:
    """The newest accepted proposals, bounded by number and by bytes of answers.

    Args:
        max_proposals: Bound on the number of proposals.
        max_answer_bytes: Bound on the bytes of their answers together.
    """

    def __init__(
        self,
        max_proposals: int = MAX_PROPOSALS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._max_proposals = max_proposals
        self._max_answer_bytes = max_answer_bytes
        self._rows: dict[str, AcceptedProposal] = {}
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._rows)

    def find(self, proposal_id: str) -> AcceptedProposal | None:
        """Return the first acceptance of a proposal id, or None."""
        return self._rows.get(proposal_id)

    def add(self, row: AcceptedProposal) -> None:
        """Add an acceptance, and remove the oldest ones above the bounds."""
        self._rows[row.proposal_id] = row
        self._answer_bytes += len(row.answer)
        while len(self._rows) > 1 and (
            len(self._rows) > self._max_proposals
            or self._answer_bytes > self._max_answer_bytes
        ):
            oldest = self._rows.pop(next(iter(self._rows)))
            self._answer_bytes -= len(oldest.answer)

    def snapshot(self) -> bytes:
        """Return all rows, oldest first."""
        return _encoder.encode(list(self._rows.values()))

    def restore(self, snapshot: bytes) -> None:
        """Replace all rows with those of a snapshot.

        Raises:
            LogError: The bytes are not a snapshot of this table.
        """
        try:
            rows = _decoder.decode(snapshot)
        except (DecodeError, ValidationError, UnicodeDecodeError) as error:
            raise LogError(f"no snapshot of proposals: {error}") from error
        self._rows = {}
        self._answer_bytes = 0
        for row in rows:
            self.add(row)


def command_digest(machine: str, command: bytes) -> int:
    """Return a digest that distinguishes commands under the same proposal id."""
    return xxh3_64_intdigest(machine.encode() + b"\0" + command)
