"""The rows of one instance's table of suspects, with their indices and bounds."""

from collections.abc import Callable, Iterator, Sequence

from sesameford.crash_attribution import (
    CRASHES_TO_QUARANTINE,
    Evidence,
    evidence_against,
    make_crash_attribution,
    make_shared_evidence,
)
from sesameford.messages import SuspectUpdate
from sesameford.request_digest import content_name, customer_part, is_part_digest
from sesameford.suspect_rows import CrashRecord, Suspect, make_updates

MAX_SUSPECTS = 4096
# A customer that sends many variants of a crashing request displaces only its own rows.
MAX_SUSPECTS_PER_CUSTOMER = 192
SUSPECT_RETENTION_SECONDS = 86_400.0


class SuspectTable:
    """Rows by digest, in the order of their last change.

    ``repeated`` are the digests of the suspects with several crashes, and ``tried`` of
    the few that may be quarantined as trials crashed. Only these are compared with each
    other, as a crash may add hundreds of suspects at once.

    Args:
        max_suspects: Bound on the rows; the least recently updated is dropped first.
        on_dropped: Called with the digest of a row that is dropped.
    """

    def __init__(self, max_suspects: int, on_dropped: Callable[[bytes], None]) -> None:
        self._on_dropped = on_dropped
        self.attribution = make_crash_attribution()
        self.repeated: set[bytes] = set()
        self.tried: set[bytes] = set()
        self._max_suspects = max_suspects
        self._rows: dict[bytes, Suspect] = {}
        self._by_customer: dict[bytes, dict[bytes, None]] = {}
        self._by_name: dict[bytes, set[bytes]] = {}
        self._with_updates: dict[bytes, None] = {}
        self._evidence: dict[bytes, Evidence] = {}
        # By names of contents; absent until it is asked for after a change.
        self._shared_evidence: dict[bytes, Evidence | None] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._rows.values())

    def get(self, digest: bytes) -> Suspect | None:
        """Return the row of a request or part, None if it has none."""
        return self._rows.get(digest)

    def rows_alike(self, digest: bytes) -> list[Suspect]:
        """Return the rows of a request or part for all customers."""
        alike = self._by_name.get(content_name(digest), set())
        return [self._rows[one] for one in alike]

    def evidence(self, digest: bytes) -> Evidence | None:
        """Return what its own row shows against a request or part."""
        return self._evidence.get(digest)

    def shared_evidence(self, digest: bytes) -> Evidence | None:
        """Return what the rows of all customers show against a request or part."""
        name = content_name(digest)
        if name not in self._by_name:
            return None
        if name not in self._shared_evidence:
            rows = self.rows_alike(digest)
            self._shared_evidence[name] = make_shared_evidence(rows)
        return self._shared_evidence[name]

    def merge(
        self, digest: bytes, record: CrashRecord, now_seconds: float, repeats: int
    ) -> bool:
        """Add crashes to a row; return whether that changed it.

        Args:
            digest: The request or part.
            record: The crashes.
            now_seconds: The present time.
            repeats: How often a change is sent on.
        """
        row = self._rows.get(digest)
        if row is None:
            row = Suspect(digest, frozenset(), frozenset(), now_seconds, updates_left=0)
        elif row.includes(record):
            return False
        self._remove(digest)
        row = Suspect(
            request_digest=digest,
            crashes=row.crashes | record.crashes | record.cleared,
            cleared_crashes=row.cleared_crashes | record.cleared,
            last_seen_at_seconds=now_seconds,
            trial_crashes=row.trial_crashes | record.trials,
            answered_crashes=row.answered_crashes | record.answered,
            updates_left=max(repeats, row.updates_left),
            next_update_at_seconds=0.0 if repeats else row.next_update_at_seconds,
        )
        self._add(row)
        self._drop_surplus(customer_part(digest))
        return True

    def put(self, row: Suspect) -> None:
        """Store a row whose crashes have not changed."""
        digest = row.request_digest
        self._rows[digest] = row
        if row.updates_left:
            self._with_updates[digest] = None
        else:
            self._with_updates.pop(digest, None)

    def rows_to_send(self) -> list[Suspect]:
        """Return the rows of which other instances are not yet sent all updates."""
        return [self._rows[digest] for digest in self._with_updates]

    def newest_updates(self, max_rows: int) -> Sequence[SuspectUpdate]:
        """Return updates for an instance that may know nothing: the newest rows.

        Those that may be quarantined come first.
        """
        repeated = [self._rows[digest] for digest in self.repeated]
        others = [
            row
            for digest, row in reversed(self._rows.items())
            if digest not in self.repeated
        ]
        return [
            update
            for row in (*repeated, *others)[:max_rows]
            for update in make_updates(row)
        ]

    def drop_old(self, now_seconds: float) -> None:
        """Drop the rows that have not changed for the retention time."""
        while self._rows:
            row = next(iter(self))
            if now_seconds - row.last_seen_at_seconds <= SUSPECT_RETENTION_SECONDS:
                return
            self._drop(row.request_digest)

    def _drop(self, digest: bytes) -> None:
        self._remove(digest)
        self._on_dropped(digest)

    def _remove(self, digest: bytes) -> None:
        row = self._rows.pop(digest, None)
        if row is None:
            return
        self.repeated.discard(digest)
        self.tried.discard(digest)
        del self._evidence[digest]
        self._with_updates.pop(digest, None)
        customer = customer_part(digest)
        self._by_customer[customer].pop(digest)
        if not self._by_customer[customer]:
            del self._by_customer[customer]
        name = content_name(digest)
        self._shared_evidence.pop(name, None)
        self._by_name[name].discard(digest)
        if not self._by_name[name]:
            del self._by_name[name]
        self.attribution.remove(row)

    def _add(self, row: Suspect) -> None:
        """Store a row as the most recently changed one."""
        digest = row.request_digest
        self.put(row)
        self._by_customer.setdefault(customer_part(digest), {})[digest] = None
        self.attribution.add(row)
        evidence = self._evidence[digest] = evidence_against(row)
        if len(evidence.crashes) >= CRASHES_TO_QUARANTINE:
            self.repeated.add(digest)
        if evidence.trial_crashes:
            self.tried.add(digest)
        self._add_name(digest)

    def _add_name(self, digest: bytes) -> None:
        """Add a row to those that its content has for all customers."""
        name = content_name(digest)
        self._shared_evidence.pop(name, None)
        alike = self._by_name.setdefault(name, set())
        alike.add(digest)
        crashed = [one for one in alike if self._evidence[one].crashes]
        if len(crashed) > 1:
            self.repeated.update(crashed)
            if not self.tried.isdisjoint(alike):
                self.tried.update(crashed)

    def _drop_surplus(self, customer: bytes) -> None:
        """Keep the table within its bounds after a row of a customer changed."""
        of_customer = self._by_customer[customer]
        if len(of_customer) > MAX_SUSPECTS_PER_CUSTOMER:
            # The first of equals, which is the one that changed least recently. Each
            # crash adds many requests that never come again, and few parts.
            least = min(
                of_customer,
                key=lambda one: (
                    len(self._rows[one].uncleared_crashes),
                    is_part_digest(one),
                ),
            )
            self._drop(least)
        if len(self._rows) > self._max_suspects:
            oldest = next(iter(self._rows))
            single = (one for one in self._rows if one not in self.repeated)
            self._drop(next(single, oldest))


def make_suspect_table(
    max_suspects: int, on_dropped: Callable[[bytes], None]
) -> SuspectTable:
    """Return a table without rows; see ``SuspectTable``."""
    return SuspectTable(max_suspects, on_dropped)
