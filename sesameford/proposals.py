"""Which proposals were accepted and what their first answer was.

A proposer that lost its answer sends the proposal again under the same id, to
another leader perhaps, or after restarts. The table stands in each snapshot, so
every replica, also one that caught up by snapshot, recognises it.
"""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh3_64_intdigest

from sesameford.errors import LogError

# Resends come within seconds; at 200 proposals a second this is over a minute.
KEPT_PROPOSALS = 16_384
KEPT_ANSWER_BYTES = 4_000_000


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
        kept_proposals: How many are remembered.
        kept_answer_bytes: How many bytes their answers may take together.
    """

    def __init__(
        self,
        kept_proposals: int = KEPT_PROPOSALS,
        kept_answer_bytes: int = KEPT_ANSWER_BYTES,
    ) -> None:
        self._kept_proposals = kept_proposals
        self._kept_answer_bytes = kept_answer_bytes
        self._rows: dict[str, AcceptedProposal] = {}
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._rows)

    def find(self, proposal_id: str) -> AcceptedProposal | None:
        """Return the first acceptance of a proposal id, or None."""
        return self._rows.get(proposal_id)

    def add(self, row: AcceptedProposal) -> None:
        """Remember an acceptance, and forget the oldest above the bounds."""
        self._rows[row.proposal_id] = row
        self._answer_bytes += len(row.answer)
        while len(self._rows) > 1 and (
            len(self._rows) > self._kept_proposals
            or self._answer_bytes > self._kept_answer_bytes
        ):
            oldest = self._rows.pop(next(iter(self._rows)))
            self._answer_bytes -= len(oldest.answer)

    def snapshot(self) -> bytes:
        """Return all rows, oldest first."""
        return _encoder.encode(list(self._rows.values()))

    def restore(self, snapshot: bytes) -> None:
        """Replace all rows by those of a snapshot.

        Raises:
            LogError: The bytes are no snapshot of this table.
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
    """Return a digest that tells one command from another under the same id."""
    return xxh3_64_intdigest(machine.encode() + b"\0" + command)
