"""Claims on idempotency keys: a state machine of the replicated log.

A router commits a claim on (customer, key, digest of the body) before it sends
a keyed request to a target. A request that repeats the key, through any router
and after any restart, finds the outcome of the first request in the claim.
"""

from enum import StrEnum

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder
from msgspec.structs import replace

MAX_CLAIMS = 50_000
MAX_TOTAL_ANSWER_BYTES = 16_000_000
MAX_ANSWER_BYTES = 16_384
MAX_KEY_BYTES = 255
CLAIM_RETENTION_SECONDS = 3600.0
MAX_CLOCK_SOURCES = 15


class ClaimVerdict(StrEnum):
    """The result of a command on a keyed request."""

    RUN = "run"
    JOIN = "join"
    STORED = "kept"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
    OTHER_BODY = "other-body"
    FULL = "full"
    SUPERSEDED = "superseded"
    DONE = "done"
    MALFORMED = "malformed"


class ClaimOwner(Struct, frozen=True, array_like=True):
    """The router process and the request that hold a claim."""

    router_id: str
    incarnation: int
    request_id: str


class ClaimAnswer(Struct, frozen=True, array_like=True):
    """A complete answer that is stored for resends."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(Struct, frozen=True, tag=True):
    """Requests that the owner gets the key, unless the key is claimed already."""

    customer_id: str
    idempotency_key: str
    body_digest: bytes
    owner: ClaimOwner
    at_seconds: float


class TakeOver(Struct, frozen=True, tag=True):
    """Requests that a claim passes to a new owner, if its index is unchanged.

    A router may request this in two cases only: the old owner reports that it
    never started the request, or the request is repeatable.
    """

    customer_id: str
    idempotency_key: str
    seen_claim_index: int
    owner: ClaimOwner
    at_seconds: float


class Completion(Struct, frozen=True, tag=True):
    """Reports the end of a claimed request.

    ``answer`` is None if only the owner can have the answer. ``certain`` is False
    if the request may have run and no answer will follow.
    """

    customer_id: str
    idempotency_key: str
    claim_index: int
    answer: ClaimAnswer | None
    at_seconds: float
    certain: bool = True


class ClaimRelease(Struct, frozen=True, tag="Release"):
    """Requests the removal of a claim under which provably nothing was run."""

    customer_id: str
    idempotency_key: str
    claim_index: int
    at_seconds: float


class ClaimReply(Struct, frozen=True):
    """The result of a command; ``claim_index`` identifies the claim."""

    verdict: ClaimVerdict
    claim_index: int = 0
    owner: ClaimOwner | None = None
    answer: ClaimAnswer | None = None


class _ClaimRow(Struct, frozen=True, array_like=True):
    customer_id: str
    idempotency_key: str
    body_digest: bytes
    claim_index: int
    owner: ClaimOwner
    claimed_at_seconds: float
    completed: bool = False
    answer: ClaimAnswer | None = None
    certain: bool = True


class _ClaimsSnapshot(Struct, frozen=True):
    now_seconds: float
    clocks: tuple[tuple[str, float], ...]
    rows: tuple[_ClaimRow, ...]


ClaimCommand = Claim | TakeOver | Completion | ClaimRelease

_encoder = Encoder()
_command_decoder = Decoder(ClaimCommand)
_reply_decoder = Decoder(ClaimReply)
_snapshot_decoder = Decoder(_ClaimsSnapshot)


def encode_claim_command(command: ClaimCommand) -> bytes:
    """Return the bytes of a command for the log."""
    return _encoder.encode(command)


def decode_claim_reply(encoded: bytes) -> ClaimReply:
    """Decode a reply; bytes that are not a reply give the verdict ``MALFORMED``."""
    try:
        return _reply_decoder.decode(encoded)
    except (DecodeError, ValidationError):
        return ClaimReply(verdict=ClaimVerdict.MALFORMED)


class ClaimsMachine:
    """All claims of the fleet, the same on every replica.

    The present time is the lower median of the latest clock readings of the routers
    that sent commands most recently. Otherwise one router whose clock is a day ahead
    would expire every claim at once, and the resends of that hour would run a
    second time.

    Args:
        max_claims: Bound on the rows.
        max_total_answer_bytes: Bound on all answers stored in the log together.
    """

    name = "claims"

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        max_total_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES,
    ) -> None:
        self._max_claims = max_claims
        self._max_total_answer_bytes = max_total_answer_bytes
        # Rows are in the order of their claim index, so the oldest is first.
        self._rows: dict[tuple[str, str], _ClaimRow] = {}
        self._row_counts: dict[str, int] = {}
        self._stored_bytes_of: dict[str, int] = {}
        self._clocks: dict[str, float] = {}
        self._stored_bytes = 0
        self._now_seconds = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def now_seconds(self) -> float:
        """The time of the state machine in seconds, which never decreases."""
        return self._now_seconds

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command.

        Args:
            index: Its index in the log, which becomes the index of a new claim.
            command: An encoded `ClaimCommand`.

        Returns:
            An encoded `ClaimReply`.
        """
        try:
            decoded = _command_decoder.decode(command)
        except (DecodeError, ValidationError):
            return _encoder.encode(ClaimReply(verdict=ClaimVerdict.MALFORMED))
        return _encoder.encode(self._apply(index, decoded))

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return _encoder.encode(
            _ClaimsSnapshot(
                now_seconds=self._now_seconds,
                clocks=tuple(self._clocks.items()),
                rows=tuple(self._rows.values()),
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        state = _snapshot_decoder.decode(snapshot)
        self._clear()
        self._now_seconds = state.now_seconds
        self._clocks.update(state.clocks)
        for row in state.rows:
            self._put(row)

    def _clear(self) -> None:
        self._rows.clear()
        self._row_counts.clear()
        self._stored_bytes_of.clear()
        self._clocks.clear()
        self._stored_bytes = 0
        self._now_seconds = 0.0

    def _apply(self, index: int, command: ClaimCommand) -> ClaimReply:
        if isinstance(command, Claim):
            self._record_clock(command.owner.router_id, command.at_seconds)
            return self._claim(index, command)
        row = self._rows.get((command.customer_id, command.idempotency_key))
        if isinstance(command, TakeOver):
            self._record_clock(command.owner.router_id, command.at_seconds)
            return self._take_over(index, command, row)
        if row is None or row.claim_index != command.claim_index:
            return ClaimReply(verdict=ClaimVerdict.SUPERSEDED)
        if isinstance(command, ClaimRelease):
            return self._release(row)
        return self._complete(row, command)

    def _claim(self, index: int, command: Claim) -> ClaimReply:
        row = self._rows.get((command.customer_id, command.idempotency_key))
        if row is not None:
            return _make_row_reply(row, command.body_digest, command.owner)
        if len(command.idempotency_key.encode()) > MAX_KEY_BYTES:
            return ClaimReply(verdict=ClaimVerdict.MALFORMED)
        # A customer may hold as many claims as there are free rows. One customer's
        # burst of keys thus takes at most half of the table, never the last row.
        free = self._max_claims - len(self._rows)
        if self._row_counts.get(command.customer_id, 0) >= free:
            return ClaimReply(verdict=ClaimVerdict.FULL)
        row = _ClaimRow(
            customer_id=command.customer_id,
            idempotency_key=command.idempotency_key,
            body_digest=command.body_digest,
            claim_index=index,
            owner=command.owner,
            claimed_at_seconds=self._now_seconds,
        )
        self._put(row)
        return ClaimReply(ClaimVerdict.RUN, claim_index=index, owner=row.owner)

    def _take_over(
        self, index: int, command: TakeOver, row: _ClaimRow | None
    ) -> ClaimReply:
        if row is None:
            return ClaimReply(verdict=ClaimVerdict.SUPERSEDED)
        if row.completed or row.claim_index != command.seen_claim_index:
            return _make_row_reply(row, row.body_digest, command.owner)
        self._remove(row)
        row = replace(
            row,
            claim_index=index,
            owner=command.owner,
            claimed_at_seconds=self._now_seconds,
        )
        self._put(row)
        return ClaimReply(ClaimVerdict.RUN, claim_index=index, owner=row.owner)

    def _complete(self, row: _ClaimRow, command: Completion) -> ClaimReply:
        if row.completed:
            return ClaimReply(ClaimVerdict.DONE, claim_index=row.claim_index)
        completed = replace(
            row, completed=True, answer=command.answer, certain=command.certain
        )
        stored = self._store_answer(completed)
        self._rows[(row.customer_id, row.idempotency_key)] = stored
        return ClaimReply(ClaimVerdict.DONE, claim_index=row.claim_index)

    def _store_answer(self, row: _ClaimRow) -> _ClaimRow:
        """Add an answer to the stored bytes, or drop it where it exceeds the bounds.

        The owner may still have a dropped answer in memory.
        """
        size = _count_answer_bytes(row.answer)
        free = self._max_total_answer_bytes - self._stored_bytes
        customer_bytes = self._stored_bytes_of.get(row.customer_id, 0)
        if size > MAX_ANSWER_BYTES or customer_bytes + size > free:
            return replace(row, answer=None)
        self._add_stored_bytes(row.customer_id, size)
        return row

    def _release(self, row: _ClaimRow) -> ClaimReply:
        # A completed request ran; a late release must not allow a second run.
        if row.completed:
            return ClaimReply(verdict=ClaimVerdict.SUPERSEDED)
        self._remove(row)
        return ClaimReply(ClaimVerdict.DONE, claim_index=row.claim_index)

    def _record_clock(self, router_id: str, at_seconds: float) -> None:
        self._clocks.pop(router_id, None)
        self._clocks[router_id] = at_seconds
        while len(self._clocks) > MAX_CLOCK_SOURCES:
            self._clocks.pop(next(iter(self._clocks)))
        times = sorted(self._clocks.values())
        self._now_seconds = max(self._now_seconds, times[(len(times) - 1) // 2])
        self._remove_expired()

    def _remove_expired(self) -> None:
        while self._rows:
            oldest = next(iter(self._rows.values()))
            if self._now_seconds - oldest.claimed_at_seconds < CLAIM_RETENTION_SECONDS:
                return
            self._remove(oldest)

    def _put(self, row: _ClaimRow) -> None:
        self._rows[(row.customer_id, row.idempotency_key)] = row
        self._row_counts[row.customer_id] = self._row_counts.get(row.customer_id, 0) + 1
        self._add_stored_bytes(row.customer_id, _count_answer_bytes(row.answer))

    def _remove(self, row: _ClaimRow) -> None:
        del self._rows[(row.customer_id, row.idempotency_key)]
        self._row_counts[row.customer_id] -= 1
        if not self._row_counts[row.customer_id]:
            del self._row_counts[row.customer_id]
        self._add_stored_bytes(row.customer_id, -_count_answer_bytes(row.answer))

    def _add_stored_bytes(self, customer_id: str, size: int) -> None:
        self._stored_bytes += size
        customer_bytes = self._stored_bytes_of.pop(customer_id, 0) + size
        if customer_bytes:
            self._stored_bytes_of[customer_id] = customer_bytes


def _make_row_reply(
    row: _ClaimRow, body_digest: bytes, owner: ClaimOwner
) -> ClaimReply:
    """Return the reply to a claim on a key that is claimed already."""
    if row.body_digest != body_digest:
        return ClaimReply(verdict=ClaimVerdict.OTHER_BODY)
    verdict = ClaimVerdict.JOIN
    if row.owner == owner and not row.completed:
        # The owner proposed its own command again after a lost reply.
        verdict = ClaimVerdict.RUN
    elif row.completed:
        verdict = _find_completed_verdict(row)
    return ClaimReply(verdict, row.claim_index, row.owner, row.answer)


def _find_completed_verdict(row: _ClaimRow) -> ClaimVerdict:
    if not row.certain:
        return ClaimVerdict.MAY_HAVE_RUN
    return ClaimVerdict.RAN if row.answer is None else ClaimVerdict.STORED


def drop_large_answer(answer: ClaimAnswer | None) -> ClaimAnswer | None:
    """Return an answer that is small enough for the log, or None."""
    return answer if _count_answer_bytes(answer) <= MAX_ANSWER_BYTES else None


def _count_answer_bytes(answer: ClaimAnswer | None) -> int:
    """Return the bytes that an answer counts towards the bound on stored bytes."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + 1
