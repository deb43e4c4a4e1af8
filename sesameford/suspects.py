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

Each customer has rows of its own, so that none can have another's sound calls refused
by sending the same request or parts. What crashes show against one for one customer
makes it a suspect for all: their next calls with it are trials, one at a time for all
of them. A completion clears it for the others too; that of a whole request only once
its target has lived on. Crashes under trials of two customers, which no completion has
cleared, quarantine it for all. Callers without a key are one customer.

A target may also crash just after it has answered a request. Such crashes are cleared
only by a completion that its target has survived for a time, or by many more
completions than crashes.

A crashing request that is resent one at a time costs at most two targets in the whole
fleet before it is quarantined, or three if another suspect was in flight at both
crashes, or on trial at the second one. After that it costs one target per quarantine,
and each quarantine lasts twice as long as the one before. Copies that already run at
the first crash, or start before its update arrives, cost one more target each.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import replace
from enum import StrEnum
from itertools import combinations

from sesameford.crash_attribution import (
    CRASHES_TO_QUARANTINE,
    Evidence,
)
from sesameford.doubling import doubled_seconds
from sesameford.messages import SuspectUpdate
from sesameford.request_digest import (
    common_digest,
    digest_pair,
    is_part_digest,
)
from sesameford.suspect_completions import make_suspect_completions
from sesameford.suspect_rows import (
    UPDATE_REPEATS,
    CrashRecord,
    Suspect,
    count_update,
    make_updates,
)
from sesameford.suspect_table import MAX_SUSPECTS, make_suspect_table

MAX_QUARANTINE_SECONDS = 86_400.0
# One customer alone could have the sound calls of all others refused.
CUSTOMERS_TO_QUARANTINE_FOR_ALL = 2
UPDATE_INTERVAL_SECONDS = 1.0
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
        self._completions = make_suspect_completions()
        self._table = make_suspect_table(max_suspects, self._completions.forget)
        self._attribution = self._table.attribution
        self._lifted: frozenset[bytes] = frozenset()
        self._newly_quarantined: list[bytes] = []

    def configure(self, quarantine_seconds: float, lifted: Iterable[bytes]) -> None:
        """Apply the settings: the quarantine's length and the lifted requests."""
        self._quarantine_seconds = quarantine_seconds
        self._lifted = frozenset(lifted)

    @property
    def has_rows(self) -> bool:
        """Whether anything was in flight at a crash that is still known."""
        return len(self._table) > 0

    def record_crash(
        self,
        crash_id: str,
        in_flight: Collection[bytes],
        now_seconds: float,
        trials: Collection[bytes] | None = None,
        answered: Collection[bytes] = frozenset(),
    ) -> None:
        """Add a crash to everything that was in flight on the target.

        Args:
            crash_id: The target and its incarnation, see `make_crash_id`.
            in_flight: The digests of this router's requests on the target, and of the
                parts of their prompts.
            now_seconds: The present time.
            trials: Those that were suspects when they were sent; None for all.
            answered: Those that the target had answered just before.
        """
        crashes = frozenset({crash_id})
        nothing = frozenset[str]()
        self._completions.record_crash(in_flight)
        for digest in in_flight:
            is_trial = trials is None or digest in trials
            record = CrashRecord(
                crashes,
                trials=crashes if is_trial else nothing,
                answered=crashes if digest in answered else nothing,
            )
            self._table.merge(digest, record, now_seconds, UPDATE_REPEATS)
        self._mark_quarantines(now_seconds)

    def record_completion(
        self, digest: bytes, now_seconds: float, has_survived: bool = False
    ) -> bool:
        """Clear a request that a target ran to completion, or a part of its prompt.

        Args:
            digest: Its digest.
            now_seconds: The present time.
            has_survived: Whether the target has lived on for a time. Without that, one
                completion shows nothing of crashes that came just after answers.

        Returns:
            Whether it was a suspect, and crashes of it are cleared.
        """
        crashes = self.uncleared_crashes(digest)
        if not crashes:
            return False
        if not has_survived and not self._completions.record_answer(digest):
            crashes -= self._answered_crashes(digest)
            crashes &= self._crashes_that_one_answer_clears(digest)
        if not crashes or not self._completions.is_enough(digest, has_survived):
            return False
        self._clear(digest, crashes, now_seconds)
        return True

    def clear(self, digest: bytes, now_seconds: float) -> bool:
        """Clear a suspect of all its crashes so far; return whether it was one."""
        crashes = self.uncleared_crashes(digest)
        if not crashes:
            return False
        self._completions.restart((digest,))
        self._clear(digest, crashes, now_seconds)
        return True

    def _clear(
        self, digest: bytes, crashes: frozenset[str], now_seconds: float
    ) -> None:
        record = CrashRecord(cleared=crashes)
        self._table.merge(digest, record, now_seconds, UPDATE_REPEATS)
        self._mark_quarantines(now_seconds)

    def _crashes_that_one_answer_clears(self, digest: bytes) -> frozenset[str]:
        """Return the crashes that an answer clears which its target may not survive.

        The target may crash just after the answer. So a whole request, and a part that
        several customers' crashes refuse to all, are cleared only of the customer's own
        crashes. Most parts that are suspects are innocent, and many calls have them.
        """
        if is_part_digest(digest) and self._due_shared_evidence(digest) is None:
            return self.uncleared_crashes(digest)
        own = self._table.get(digest)
        return frozenset() if own is None else own.uncleared_crashes

    def needs_survival(self, digest: bytes) -> bool:
        """Return whether an answer alone does not show that a suspect is innocent.

        Targets crashed just after they had answered it, or it is a whole request that
        is a suspect for all customers.

        Args:
            digest: Its digest, or what its trials have in common.
        """
        answered = self._answered_crashes(digest)
        if not answered.isdisjoint(self.uncleared_crashes(digest)):
            return True
        return (
            not is_part_digest(digest)
            and self._table.shared_evidence(digest) is not None
        )

    def _answered_crashes(self, digest: bytes) -> frozenset[str]:
        rows = self._table.rows_alike(digest)
        return frozenset[str]().union(*(row.answered_crashes for row in rows))

    def merge_update(
        self,
        update: SuspectUpdate,
        now_seconds: float,
        repeats: int = UPDATE_REPEATS,
    ) -> bool:
        """Merge another router's row of a suspect; return whether it changed one."""
        return bool(self.merge_updates([update], now_seconds, repeats))

    def merge_updates(
        self,
        updates: Iterable[SuspectUpdate],
        now_seconds: float,
        repeats: int = UPDATE_REPEATS,
    ) -> Sequence[bytes]:
        """Merge rows of another router, all of them before anything is decided.

        Args:
            updates: The rows.
            now_seconds: The present time.
            repeats: How often a change is sent on.

        Returns:
            The digests of this router's rows that changed.
        """
        changed = [
            update.request_digest
            for update in updates
            if self._merge_one(update, now_seconds, repeats)
        ]
        if changed:
            self._mark_quarantines(now_seconds)
        return changed

    def restore(
        self, updates: Iterable[tuple[SuspectUpdate, float]], now_seconds: float
    ) -> None:
        """Merge rows that an earlier process stored.

        Args:
            updates: The rows, each with the time of its last change.
            now_seconds: The present time, at which their quarantines start anew.
        """
        for update, changed_at_seconds in updates:
            self._merge_one(update, changed_at_seconds, repeats=0)
        self._mark_quarantines(now_seconds)

    def list_rows(self) -> Sequence[Suspect]:
        """Return all rows, the one that changed last at the end."""
        return list(self._table)

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
        return frozenset(
            digest
            for digest in digests
            if digest not in self._lifted and self.uncleared_crashes(digest)
        )

    def uncleared_crashes(self, digest: bytes) -> frozenset[str]:
        """Return the crashes that make a customer's request, or part, a suspect."""
        if not self._attribution.has_crashes:
            return frozenset()
        own = self._table.evidence(digest)
        shared = self._table.shared_evidence(digest)
        if own is None:
            return frozenset() if shared is None else shared.crashes
        return own.crashes if shared is None else own.crashes | shared.crashes

    def pairs_of(self, parts: Sequence[bytes]) -> tuple[bytes, ...]:
        """Return the digests of pairs of parts that were both in flight at crashes.

        Two parts may crash targets only where they stand in one prompt. Each of them
        completes in other prompts then, and the pair alone tells which ones crash.
        """
        known = [part for part in parts if self._table.rows_alike(part)]
        pairs = combinations(known[:MAX_PAIRED_PARTS], 2)
        return tuple(digest_pair(*pair) for pair in pairs)

    def refusal_seconds(
        self, digest: bytes, now_seconds: float, parts: Sequence[bytes] = ()
    ) -> float:
        """Return how long a request is refused, 0 if it is not.

        Args:
            digest: The request's digest.
            now_seconds: The present time.
            parts: The digests of its prompt's parts that others may share.
        """
        digests = (digest, *parts)
        own = {common_digest(one) for one in digests}
        return max(
            (
                self._left_seconds(one, now_seconds)
                for one in digests
                if one not in self._lifted
                and (evidence := self._due_evidence(one)) is not None
                and self._attribution.is_caused_by(evidence, own)
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
        own = {common_digest(one) for one in (digest, *parts)}
        found = [
            part
            for part in self.suspected(parts)
            if len(crashes := self.uncleared_crashes(part)) >= CRASHES_TO_QUARANTINE
            and self._attribution.common_suspects(crashes) <= own
        ]
        return min(found, default=None)

    def trial_key(self, digest: bytes) -> bytes:
        """Return what trials of a suspect have in common that run one at a time.

        Trials are kept apart over all customers, unless a completion has shown that
        the suspect crashes no targets for one of them.
        """
        shared = self._table.shared_evidence(digest)
        return digest if shared is None else common_digest(digest)

    def common_suspects(self, row: Suspect) -> set[bytes]:
        """Return what was in flight at all crashes that decide on a suspect."""
        evidence = self._table.evidence(row.request_digest)
        if evidence is None or not evidence.decisive_crashes:
            return set()
        return self._attribution.common_suspects(evidence.decisive_crashes)

    def get(self, digest: bytes) -> Suspect | None:
        """Return the row of a request, None if it has none."""
        return self._table.get(digest)

    def quarantine_left_seconds(self, digest: bytes, now_seconds: float) -> float:
        """Return the seconds until a suspect's quarantine ends, 0 without one."""
        if digest in self._lifted or self._due_evidence(digest) is None:
            return 0.0
        return self._left_seconds(digest, now_seconds)

    def list_quarantined(self, now_seconds: float) -> Sequence[tuple[Suspect, float]]:
        """Return the quarantined requests and the seconds left, for the status."""
        rows = [self._table.get(digest) for digest in self._table.tried]
        left = (
            (row, self.quarantine_left_seconds(row.request_digest, now_seconds))
            for row in rows
            if row is not None and row.uncleared_crashes
        )
        return [(row, seconds) for row, seconds in left if seconds > 0.0]

    def pop_newly_quarantined(self) -> Sequence[Suspect]:
        """Return the requests whose quarantine started since the last call.

        Those are left out that another update has made suspects again.
        """
        digests, self._newly_quarantined = self._newly_quarantined, []
        started = []
        for digest in digests:
            row = self._table.get(digest)
            if row is None:
                continue
            if self._is_due(row):
                started.append(row)
            else:
                self._table.put(replace(row, quarantined_at_seconds=None))
        return started

    def count_suspects(self) -> int:
        """Return how many requests have crashes that no completion cleared."""
        return sum(1 for row in self._table if row.uncleared_crashes)

    def make_due_updates(self, now_seconds: float) -> Sequence[SuspectUpdate]:
        """Return the updates to send to other routers now, and count the repeats."""
        rows = self.pop_due_rows(now_seconds)
        return [update for row in rows for update in make_updates(row)]

    def pop_due_rows(self, now_seconds: float) -> Sequence[Suspect]:
        """Return the rows to send to other routers now, and count the repeats."""
        rows = [
            row
            for row in self._table.rows_to_send()
            if now_seconds >= row.next_update_at_seconds
        ]
        for row in rows:
            self._table.put(count_update(row, now_seconds, UPDATE_INTERVAL_SECONDS))
        return rows

    def companions(self, rows: Collection[Suspect]) -> Sequence[Suspect]:
        """Return other rows with several crashes, of which some rows have one too.

        Without them, an instance that was not sent one of them before would attribute
        the crashes to what it knows alone.
        """
        sent = {row.request_digest for row in rows}
        crashes = frozenset[str]().union(*(row.uncleared_crashes for row in rows))
        found = (self._table.get(digest) for digest in self._table.repeated - sent)
        return [
            row
            for row in found
            if row is not None and not crashes.isdisjoint(row.uncleared_crashes)
        ]

    def newest_updates(self, max_rows: int) -> Sequence[SuspectUpdate]:
        """Return updates for an instance that may know nothing: the newest rows.

        Those that may be quarantined come first.
        """
        return self._table.newest_updates(max_rows)

    def updates_of(self, digest: bytes, max_rows: int) -> Sequence[SuspectUpdate]:
        """Return updates for an instance that is to decide about one suspect.

        Args:
            digest: Its digest, or what its trials have in common.
            max_rows: Bound on the rows.
        """
        rows = self._table.rows_alike(digest)
        listed = [*rows, *self.companions(rows)][:max_rows]
        return [update for row in listed for update in make_updates(row)]

    def schedule_all_updates(self) -> None:
        """Send all rows again, for an instance that is new or was isolated."""
        for row in list(self._table):
            self._table.put(
                replace(row, updates_left=UPDATE_REPEATS, next_update_at_seconds=0.0)
            )

    def tick(self, now_seconds: float) -> None:
        """Drop the rows that have not changed for the retention time."""
        self._table.drop_old(now_seconds)

    def _due_evidence(self, digest: bytes) -> Evidence | None:
        """Return the crashes that are reason enough to refuse a suspect, or None."""
        evidence = self._table.evidence(digest)
        if evidence is not None and self._attribution.is_due(evidence):
            return evidence
        return self._due_shared_evidence(digest)

    def _due_shared_evidence(self, digest: bytes) -> Evidence | None:
        """Return the crashes that refuse a suspect for all customers, or None."""
        shared = self._table.shared_evidence(digest)
        if shared is None or shared.customers < CUSTOMERS_TO_QUARANTINE_FOR_ALL:
            return None
        return shared if self._attribution.is_due(shared) else None

    def _is_due(self, row: Suspect) -> bool:
        """Return whether a row is a reason for a quarantine, alone or with others."""
        evidence = self._table.evidence(row.request_digest)
        if evidence is not None and self._attribution.is_due(evidence):
            return True
        shared = self._due_shared_evidence(row.request_digest)
        return shared is not None and bool(
            row.uncleared_crashes & shared.decisive_crashes
        )

    def _left_seconds(self, digest: bytes, now_seconds: float) -> float:
        """Return the seconds until the quarantine ends that a suspect is due.

        What is quarantined for several customers is tried again for one of them at a
        time, or each of them would cost a target for each quarantine.
        """
        due = [row for row in self._table.rows_alike(digest) if self._is_due(row)]
        found = [self._table.evidence(row.request_digest) for row in due]
        evidence = [one for one in found if one is not None]
        crashes = frozenset[str]().union(*(one.decisive_crashes for one in evidence))
        trials = frozenset[str]().union(*(one.trial_crashes for one in evidence))
        # Copies that crashed at once are one reason for a quarantine, not several.
        doublings = min(len(crashes) - CRASHES_TO_QUARANTINE, len(trials) - 1)
        lasts_seconds = MAX_QUARANTINE_SECONDS
        if doublings <= MAX_DOUBLINGS:
            lasts_seconds = doubled_seconds(
                self._quarantine_seconds, doublings, MAX_QUARANTINE_SECONDS
            )
        since_seconds = max(
            now_seconds
            if row.quarantined_at_seconds is None
            else row.quarantined_at_seconds
            for row in due
        )
        return max(0.0, since_seconds + lasts_seconds - now_seconds)

    def _merge_one(
        self, update: SuspectUpdate, now_seconds: float, repeats: int
    ) -> bool:
        crashes = frozenset(update.deaths)
        trials = crashes if update.trial_deaths is None else update.trial_deaths
        record = CrashRecord(
            crashes,
            crashes if update.cleared else frozenset(),
            frozenset(trials),
            frozenset(update.answered_deaths),
        )
        return self._table.merge(update.request_digest, record, now_seconds, repeats)

    def _mark_quarantines(self, now_seconds: float) -> None:
        """Set the start of each quarantine that is due and has none."""
        for digest in self._table.tried:
            row = self._table.get(digest)
            if row is None or row.quarantined_at_seconds is not None:
                continue
            if self._is_due(row):
                self._table.put(replace(row, quarantined_at_seconds=now_seconds))
                self._newly_quarantined.append(digest)
