"""Finds requests, and parts of prompts, that crash targets, and quarantines them.

A suspect is something that requests have in common: the whole request, which its caller
may send again, or a part of a prompt. When a target crashes (ends without a leave),
each request that was in flight on it becomes a suspect, and so does each part of its
prompt that others may share. From then on runs of a request are trials: one at a time,
apart from other suspects. A completion clears it; two crashes, one of them under a
trial, quarantine it for a time. Copies of a popular request that are in flight at many
targets when those crash therefore quarantine nothing by themselves: the next run is a
trial, and it completes. The routers' tables merge as sets, so updates may arrive late,
twice and in any order.

A crashing request that is resent one at a time costs at most two targets in the whole
fleet before it is quarantined, or three if another suspect was in flight at both
crashes, or on trial at the second one. After that it costs one target per quarantine,
and each quarantine lasts twice as long as the one before. Copies that already run at
the first crash, or start before its update arrives, cost one more target each.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import replace
from enum import StrEnum
from itertools import combinations

from sesameford.crash_attribution import (
    CRASHES_TO_QUARANTINE,
    decisive_crashes,
    make_crash_attribution,
)
from sesameford.doubling import doubled_seconds
from sesameford.messages import SuspectUpdate
from sesameford.request_digest import (
    customer_part,
    digest_pair,
    is_part_digest,
    part_name,
)
from sesameford.suspect_rows import UPDATE_REPEATS, Suspect, make_updates

MAX_SUSPECTS = 4096
# A customer that sends many variants of a crashing request displaces only its own rows.
MAX_SUSPECTS_PER_CUSTOMER = 192
SUSPECT_RETENTION_SECONDS = 86_400.0
MAX_QUARANTINE_SECONDS = 86_400.0
UPDATE_INTERVAL_SECONDS = 1.0
# A router that saw a part crash targets clears it after as many completions, but after
# no more than these: one that crashes some targets alone completes on the others. Other
# routers clear it at once, so that popular parts are clear soon.
MAX_COMPLETIONS_TO_CLEAR = 3
# A prompt has at most the pairs of so many of its parts.
MAX_PAIRED_PARTS = 6
# After so many trials that crashed, a quarantine has its longest time at once.
MAX_DOUBLINGS = 2


class SuspectTreatment(StrEnum):
    """How a request is treated because of the crashes that involve it."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class Suspects:
    """This router's table of suspects.

    Args:
        quarantine_seconds: How long the first quarantine of a request lasts.
        max_suspects: Bound on the rows; the least recently updated is dropped first.
    """

    def __init__(
        self, quarantine_seconds: float, max_suspects: int = MAX_SUSPECTS
    ) -> None:
        self._quarantine_seconds = quarantine_seconds
        self._max_suspects = max_suspects
        self._rows: dict[bytes, Suspect] = {}
        self._by_customer: dict[bytes, dict[bytes, None]] = {}
        self._by_part: dict[bytes, set[bytes]] = {}
        self._attribution = make_crash_attribution()
        # The few suspects with enough crashes for a quarantine. Only these are
        # compared with each other, as a crash may add hundreds of suspects at once.
        self._repeated: set[bytes] = set()
        self._with_updates: dict[bytes, None] = {}
        self._lifted: frozenset[bytes] = frozenset()
        self._newly_quarantined: list[bytes] = []
        self._completions: Counter[bytes] = Counter()
        self._observed_crashes: Counter[bytes] = Counter()

    def configure(self, quarantine_seconds: float, lifted: Iterable[bytes]) -> None:
        """Apply the settings: the quarantine's length and the lifted requests."""
        self._quarantine_seconds = quarantine_seconds
        self._lifted = frozenset(lifted)

    @property
    def has_rows(self) -> bool:
        """Whether anything was in flight at a crash that is still known."""
        return bool(self._rows)

    def record_crash(
        self,
        crash_id: str,
        in_flight: Collection[bytes],
        now_seconds: float,
        trials: Collection[bytes] | None = None,
    ) -> None:
        """Add a crash to everything that was in flight on the target.

        Args:
            crash_id: The target and its incarnation, see `make_crash_id`.
            in_flight: The digests of this router's requests on the target, and of the
                parts of their prompts.
            now_seconds: The present time.
            trials: Those that were suspects when they were sent; None for all.
        """
        crashes = frozenset({crash_id})
        for digest in in_flight:
            self._completions.pop(digest, None)
            if is_part_digest(digest):
                self._observed_crashes[digest] += 1
            is_trial = trials is None or digest in trials
            self._merge(
                digest,
                crashes,
                frozenset(),
                crashes if is_trial else frozenset(),
                now_seconds,
                UPDATE_REPEATS,
            )
        self._mark_quarantines(now_seconds)

    def record_completion(self, digest: bytes, now_seconds: float) -> bool:
        """Clear a request that a target ran to completion, or a part of its prompt.

        Returns:
            Whether it was a suspect, and is cleared.
        """
        row = self._rows.get(digest)
        if row is None or not row.uncleared_crashes:
            return False
        if is_part_digest(digest):
            self._completions[digest] += 1
            needed = min(self._observed_crashes[digest], MAX_COMPLETIONS_TO_CLEAR)
            if self._completions[digest] < needed:
                return False
        return self.clear(digest, now_seconds)

    def clear(self, digest: bytes, now_seconds: float) -> bool:
        """Clear a suspect of all its crashes so far; return whether it was one."""
        row = self._rows.get(digest)
        if row is None or not row.uncleared_crashes:
            return False
        self._completions.pop(digest, None)
        nothing: frozenset[str] = frozenset()
        self._merge(digest, nothing, row.crashes, nothing, now_seconds, UPDATE_REPEATS)
        self._mark_quarantines(now_seconds)
        return True

    def merge_update(
        self,
        update: SuspectUpdate,
        now_seconds: float,
        repeats: int = UPDATE_REPEATS,
    ) -> bool:
        """Merge another router's row of a suspect.

        Args:
            update: The row.
            now_seconds: The present time.
            repeats: How often a change is sent on.

        Returns:
            Whether it changed this router's row.
        """
        crashes = frozenset(update.deaths)
        is_changed = self._merge(
            update.request_digest,
            crashes,
            crashes if update.cleared else frozenset(),
            crashes if update.trial_deaths is None else frozenset(update.trial_deaths),
            now_seconds,
            repeats,
        )
        if is_changed:
            self._mark_quarantines(now_seconds)
        return is_changed

    def treatment(
        self, digest: bytes, now_seconds: float, parts: Sequence[bytes] = ()
    ) -> SuspectTreatment:
        """Return how a request is to be treated now.

        Args:
            digest: The request's digest.
            now_seconds: The present time.
            parts: The digests of its prompt's parts that others may share.
        """
        suspected = self.suspected((digest, *parts))
        if not suspected:
            return SuspectTreatment.CLEAR
        if self.refusal_seconds(digest, now_seconds, parts) > 0.0:
            return SuspectTreatment.QUARANTINED
        return SuspectTreatment.SUSPECT

    def suspected(self, digests: Iterable[bytes]) -> frozenset[bytes]:
        """Return those of some digests that are suspects."""
        if not self._attribution.has_crashes:
            return frozenset()
        return frozenset(
            digest
            for digest in digests
            if digest not in self._lifted
            and (row := self._rows.get(digest)) is not None
            and row.uncleared_crashes
        )

    def pairs_of(self, parts: Sequence[bytes]) -> tuple[bytes, ...]:
        """Return the digests of pairs of parts that were both in flight at crashes.

        Two parts may crash targets only where they stand in one prompt. Each of them
        completes in other prompts then, and the pair alone tells which ones crash.
        """
        known = [part for part in parts if part in self._rows][:MAX_PAIRED_PARTS]
        return tuple(digest_pair(*pair) for pair in combinations(known, 2))

    def refusal_seconds(
        self, digest: bytes, now_seconds: float, parts: Sequence[bytes] = ()
    ) -> float:
        """Return how long a request is refused, 0 if it is not.

        Args:
            digest: The request's digest.
            now_seconds: The present time.
            parts: The digests of its prompt's parts that others may share.
        """
        own = {digest, *parts}
        rows = [self._rows[one] for one in own & self._repeated]
        return max(
            (
                self.quarantine_left_seconds(row.request_digest, now_seconds)
                for row in rows
                if self._attribution.is_caused_by(row, own)
            ),
            default=0.0,
        )

    def common_part(self, digest: bytes, parts: Sequence[bytes]) -> bytes | None:
        """Return a part that may be the reason of several crashes by itself.

        That is one whose crashes have nothing in common that the request lacks, None
        if no part of it is.

        Args:
            digest: The request's digest.
            parts: The digests of its prompt's parts that others may share.
        """
        own = {digest, *parts}
        found = [
            part
            for part in self.suspected(parts) & self._repeated
            if self._attribution.common_suspects(self._rows[part].uncleared_crashes)
            <= own
        ]
        return min(found, default=None)

    def common_suspects(self, row: Suspect) -> set[bytes]:
        """Return what was in flight at all crashes that decide on a suspect."""
        crashes = decisive_crashes(row)
        return self._attribution.common_suspects(crashes) if crashes else set()

    def get(self, digest: bytes) -> Suspect | None:
        """Return the row of a request, None if it has none."""
        return self._rows.get(digest)

    def quarantine_left_seconds(self, digest: bytes, now_seconds: float) -> float:
        """Return the seconds until a suspect's quarantine ends, 0 without one.

        A part that is quarantined for several customers is tried again for one of them
        at a time, or each of them would cost a target for each quarantine.
        """
        row = self._rows.get(digest)
        if row is None or digest in self._lifted or not self._attribution.is_due(row):
            return 0.0
        rows = [row]
        if is_part_digest(digest):
            of_others = self._by_part[part_name(digest)] - {digest}
            others = [self._rows[one] for one in of_others]
            rows += [one for one in others if self._attribution.is_due(one)]
        return max(self._left_seconds(one, now_seconds) for one in rows)

    def _left_seconds(self, row: Suspect, now_seconds: float) -> float:
        """Return the seconds until the quarantine ends that a row is due."""
        since = row.quarantined_at_seconds
        start_seconds = now_seconds if since is None else since
        # Copies that crashed at once are one reason for a quarantine, not several.
        doublings = min(
            len(decisive_crashes(row)) - CRASHES_TO_QUARANTINE,
            len(row.uncleared_trial_crashes) - 1,
        )
        lasts_seconds = MAX_QUARANTINE_SECONDS
        if doublings <= MAX_DOUBLINGS:
            lasts_seconds = doubled_seconds(
                self._quarantine_seconds, doublings, MAX_QUARANTINE_SECONDS
            )
        return max(0.0, start_seconds + lasts_seconds - now_seconds)

    def list_quarantined(self, now_seconds: float) -> Sequence[tuple[Suspect, float]]:
        """Return the quarantined requests and the seconds left, for the status."""
        left = (
            (self._rows[digest], self.quarantine_left_seconds(digest, now_seconds))
            for digest in self._repeated
        )
        return [(row, seconds) for row, seconds in left if seconds > 0.0]

    def pop_newly_quarantined(self) -> Sequence[Suspect]:
        """Return the requests whose quarantine started since the last call.

        Those are left out that another update has made suspects again: what routers
        observed of one crash arrives request by request.
        """
        digests, self._newly_quarantined = self._newly_quarantined, []
        started = []
        for digest in digests:
            row = self._rows.get(digest)
            if row is None:
                continue
            if self._attribution.is_due(row):
                started.append(row)
            else:
                self._put(replace(row, quarantined_at_seconds=None))
        return started

    def count_suspects(self) -> int:
        """Return how many requests have crashes that no completion cleared."""
        return sum(1 for row in self._rows.values() if row.uncleared_crashes)

    def make_due_updates(self, now_seconds: float) -> Sequence[SuspectUpdate]:
        """Return the updates to send to other routers now, and count the repeats."""
        rows = self.pop_due_rows(now_seconds)
        return [update for row in rows for update in make_updates(row)]

    def pop_due_rows(self, now_seconds: float) -> Sequence[Suspect]:
        """Return the rows to send to other routers now, and count the repeats."""
        rows = []
        for digest in list(self._with_updates):
            row = self._rows[digest]
            if now_seconds < row.next_update_at_seconds:
                continue
            rows.append(row)
            self._put(
                replace(
                    row,
                    updates_left=row.updates_left - 1,
                    next_update_at_seconds=now_seconds + UPDATE_INTERVAL_SECONDS,
                )
            )
        return rows

    def newest_updates(self, max_rows: int) -> Sequence[SuspectUpdate]:
        """Return updates for an instance that may know nothing: the newest rows.

        Those with enough crashes for a quarantine come first.
        """
        repeated = [self._rows[digest] for digest in self._repeated]
        others = [
            row
            for digest, row in reversed(self._rows.items())
            if digest not in self._repeated
        ]
        return [
            update
            for row in (*repeated, *others)[:max_rows]
            for update in make_updates(row)
        ]

    def schedule_all_updates(self) -> None:
        """Send all rows again, for an instance that is new or was isolated."""
        for row in list(self._rows.values()):
            self._put(
                replace(row, updates_left=UPDATE_REPEATS, next_update_at_seconds=0.0)
            )

    def tick(self, now_seconds: float) -> None:
        """Drop the rows that have not changed for the retention time."""
        while self._rows:
            # Rows are in the order of their last change.
            row = next(iter(self._rows.values()))
            if now_seconds - row.last_seen_at_seconds <= SUSPECT_RETENTION_SECONDS:
                return
            self._drop(row.request_digest)

    def _merge(
        self,
        digest: bytes,
        crashes: frozenset[str],
        cleared: frozenset[str],
        trials: frozenset[str],
        now_seconds: float,
        repeats: int,
    ) -> bool:
        row = self._rows.get(digest)
        if row is None:
            row = Suspect(digest, frozenset(), frozenset(), now_seconds, updates_left=0)
        elif (
            crashes <= row.crashes
            and cleared <= row.cleared_crashes
            and trials <= row.trial_crashes
        ):
            return False
        self._forget(digest)
        row = Suspect(
            request_digest=digest,
            crashes=row.crashes | crashes | cleared,
            cleared_crashes=row.cleared_crashes | cleared,
            last_seen_at_seconds=now_seconds,
            trial_crashes=row.trial_crashes | trials,
            updates_left=max(repeats, row.updates_left),
            next_update_at_seconds=0.0 if repeats else row.next_update_at_seconds,
        )
        self._add(row)
        self._drop_surplus(customer_part(digest))
        return True

    def _put(self, row: Suspect) -> None:
        """Store a row whose crashes have not changed."""
        digest = row.request_digest
        self._rows[digest] = row
        if row.updates_left:
            self._with_updates[digest] = None
        else:
            self._with_updates.pop(digest, None)

    def _add(self, row: Suspect) -> None:
        """Store a row as the most recently changed one."""
        digest = row.request_digest
        self._put(row)
        self._by_customer.setdefault(customer_part(digest), {})[digest] = None
        if is_part_digest(digest):
            self._by_part.setdefault(part_name(digest), set()).add(digest)
        self._attribution.add(row)
        if len(row.uncleared_crashes) >= CRASHES_TO_QUARANTINE:
            self._repeated.add(digest)

    def _drop(self, digest: bytes) -> None:
        """Forget a suspect, and what this router counted of it."""
        self._forget(digest)
        self._completions.pop(digest, None)
        self._observed_crashes.pop(digest, None)

    def _forget(self, digest: bytes) -> None:
        row = self._rows.pop(digest, None)
        if row is None:
            return
        self._repeated.discard(digest)
        self._with_updates.pop(digest, None)
        customer = customer_part(digest)
        self._by_customer[customer].pop(digest)
        if not self._by_customer[customer]:
            del self._by_customer[customer]
        if is_part_digest(digest):
            name = part_name(digest)
            self._by_part[name].discard(digest)
            if not self._by_part[name]:
                del self._by_part[name]
        self._attribution.remove(row)

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
            single = (one for one in self._rows if one not in self._repeated)
            self._drop(next(single, oldest))

    def _mark_quarantines(self, now_seconds: float) -> None:
        """Set the start of each quarantine that is due and has none."""
        for digest in self._repeated:
            row = self._rows[digest]
            if row.quarantined_at_seconds is None and self._attribution.is_due(row):
                self._put(replace(row, quarantined_at_seconds=now_seconds))
                self._newly_quarantined.append(digest)
