"""Requests that crash the targets that run them, found by what died with them.

When a target dies without a leave, each body that was in flight on it becomes a
suspect. A suspect runs alone; a completion clears it; one that was in flight at
two deaths is quarantined for a time. What routers know merges as sets, so the
news may come late, twice and in any order.

Resent one after another, one such request costs at most two targets in the
whole fleet before it is quarantined, or three where another suspect ran on the
second target at the same moment; then one more per quarantine, and each
quarantine lasts twice as long as the last. Copies that already run at the first
death, or start before the news of it arrives, cost a target each besides.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from sesameford.messages import SuspectUpdate

MAX_SUSPECTS = 4096
SUSPECT_RETENTION_SECONDS = 86_400.0
MAX_QUARANTINE_SECONDS = 86_400.0
UPDATE_REPEATS = 3
UPDATE_INTERVAL_SECONDS = 1.0
CRASHES_TO_QUARANTINE = 2
CRASHES_REGARDLESS_OF_OTHERS = 3


class SuspectTreatment(StrEnum):
    """How a request is treated because of the deaths behind its body."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Suspect:
    """A body that was in flight at the death of a target.

    ``quarantined_at_seconds`` is when this router first saw the present number
    of deaths call for it. News is said again a few times, as links lose.
    """

    body_digest: bytes
    deaths: frozenset[str]
    cleared_crashes: frozenset[str]
    last_seen_at_seconds: float
    quarantined_at_seconds: float | None = None
    updates_left: int = UPDATE_REPEATS
    next_update_at_seconds: float = 0.0

    @property
    def uncleared_crashes(self) -> frozenset[str]:
        """The deaths that no completion has cleared."""
        return self.deaths - self.cleared_crashes


class Suspects:
    """The suspects that this router knows of.

    Args:
        quarantine_seconds: How long the first quarantine of a body lasts.
        max_suspects: Bound on the rows; the one heard of longest ago goes first.
    """

    def __init__(
        self, quarantine_seconds: float, max_suspects: int = MAX_SUSPECTS
    ) -> None:
        self._quarantine_seconds = quarantine_seconds
        self._max_suspects = max_suspects
        self._rows: dict[bytes, Suspect] = {}
        # The few with deaths enough for a quarantine, so that the death of a
        # target with hundreds of requests does not compare all with all.
        self._repeated: set[bytes] = set()
        self._lifted: frozenset[bytes] = frozenset()

    def configure(self, quarantine_seconds: float, lifted: Iterable[bytes]) -> None:
        """Take the tree's word: how long, and which bodies the operators lift."""
        self._quarantine_seconds = quarantine_seconds
        self._lifted = frozenset(lifted)

    def record_crash(
        self, death: str, in_flight: Collection[bytes], now_seconds: float
    ) -> None:
        """Suspect every body that was in flight on a target that died.

        Args:
            death: The target and its incarnation, see `make_crash_id`.
            in_flight: The digests of the bodies that this router had there.
            now_seconds: The present time.
        """
        for digest in in_flight:
            self._merge(digest, frozenset({death}), frozenset(), now_seconds)

    def record_completion(self, digest: bytes, now_seconds: float) -> None:
        """Clear a body that a target ran to its end."""
        row = self._rows.get(digest)
        if row is not None and row.uncleared_crashes:
            self._merge(digest, frozenset(), row.deaths, now_seconds)

    def merge_update(self, news: SuspectUpdate, now_seconds: float) -> None:
        """Merge what another router knows."""
        deaths = frozenset(news.deaths)
        cleared = deaths if news.cleared else frozenset()
        self._merge(news.body_digest, deaths, cleared, now_seconds)

    def treatment(self, digest: bytes, now_seconds: float) -> SuspectTreatment:
        """Return how a request with this body is to be treated now."""
        row = self._rows.get(digest)
        if row is None or not row.uncleared_crashes or digest in self._lifted:
            return SuspectTreatment.CLEAR
        if self.quarantine_left_seconds(digest, now_seconds) > 0.0:
            return SuspectTreatment.QUARANTINED
        return SuspectTreatment.SUSPECT

    def quarantine_left_seconds(self, digest: bytes, now_seconds: float) -> float:
        """Return for how long a body stays refused; 0 where it is not."""
        row = self._rows.get(digest)
        if row is None or digest in self._lifted or not self._is_quarantine_due(row):
            return 0.0
        since = row.quarantined_at_seconds
        start_seconds = now_seconds if since is None else since
        doublings = len(row.uncleared_crashes) - CRASHES_TO_QUARANTINE
        lasts_seconds = self._quarantine_seconds * 2.0 ** min(doublings, 32)
        lasts_seconds = min(lasts_seconds, MAX_QUARANTINE_SECONDS)
        return max(0.0, start_seconds + lasts_seconds - now_seconds)

    def list_quarantined(self, now_seconds: float) -> Sequence[tuple[Suspect, float]]:
        """Return the refused bodies and for how long, for the status."""
        left = (
            (row, self.quarantine_left_seconds(digest, now_seconds))
            for digest, row in self._rows.items()
        )
        return [(row, seconds) for row, seconds in left if seconds > 0.0]

    def count_suspects(self) -> int:
        """Return how many bodies have deaths that no completion cleared."""
        return sum(1 for row in self._rows.values() if row.uncleared_crashes)

    def make_due_updates(self, now_seconds: float) -> Sequence[SuspectUpdate]:
        """Return what other routers are to hear now; advances the repeats."""
        messages: list[SuspectUpdate] = []
        for digest, row in list(self._rows.items()):
            if row.updates_left == 0 or now_seconds < row.next_update_at_seconds:
                continue
            messages.extend(_make_updates(row))
            self._rows[digest] = replace(
                row,
                updates_left=row.updates_left - 1,
                next_update_at_seconds=now_seconds + UPDATE_INTERVAL_SECONDS,
            )
        return messages

    def schedule_all_updates(self) -> None:
        """Say everything again, for an instance that is new or was cut off."""
        for digest, row in self._rows.items():
            self._rows[digest] = replace(
                row, updates_left=UPDATE_REPEATS, next_update_at_seconds=0.0
            )

    def tick(self, now_seconds: float) -> None:
        """Forget what was heard of long ago."""
        for digest, row in list(self._rows.items()):
            if now_seconds - row.last_seen_at_seconds > SUSPECT_RETENTION_SECONDS:
                self._forget(digest)

    def _merge(
        self,
        digest: bytes,
        deaths: frozenset[str],
        cleared: frozenset[str],
        now_seconds: float,
    ) -> None:
        row = self._rows.get(digest)
        if row is None:
            row = Suspect(digest, frozenset(), frozenset(), now_seconds)
        elif deaths <= row.deaths and cleared <= row.cleared_crashes:
            return
        row = Suspect(
            body_digest=digest,
            deaths=row.deaths | deaths | cleared,
            cleared_crashes=row.cleared_crashes | cleared,
            last_seen_at_seconds=now_seconds,
        )
        self._rows.pop(digest, None)
        self._rows[digest] = row
        while len(self._rows) > self._max_suspects:
            self._forget(next(iter(self._rows)))
        self._repeated.discard(digest)
        if len(row.uncleared_crashes) >= CRASHES_TO_QUARANTINE:
            self._repeated.add(digest)
        for known in self._repeated:
            other = self._rows[known]
            if other.quarantined_at_seconds is None and self._is_quarantine_due(other):
                self._rows[known] = replace(other, quarantined_at_seconds=now_seconds)

    def _forget(self, digest: bytes) -> None:
        del self._rows[digest]
        self._repeated.discard(digest)

    def _is_quarantine_due(self, row: Suspect) -> bool:
        """Return whether the deaths point to this body and no other.

        Two suspects may run on one target from two routers. Both then have two
        deaths, and one of them is innocent: each is given one more run alone.
        """
        deaths = row.uncleared_crashes
        if len(deaths) >= CRASHES_REGARDLESS_OF_OTHERS:
            return True
        if len(deaths) < CRASHES_TO_QUARANTINE:
            return False
        return not any(
            digest != row.body_digest and deaths <= self._rows[digest].uncleared_crashes
            for digest in self._repeated
        )


def make_crash_id(target_id: str, incarnation: int) -> str:
    """Return the name under which all routers count one death of a target."""
    return f"{target_id}/{incarnation}"


def _make_updates(row: Suspect) -> list[SuspectUpdate]:
    messages = []
    if row.cleared_crashes:
        cleared = tuple(sorted(row.cleared_crashes))
        messages.append(SuspectUpdate(row.body_digest, cleared, cleared=True))
    if row.uncleared_crashes:
        opened = tuple(sorted(row.uncleared_crashes))
        messages.append(SuspectUpdate(row.body_digest, opened, cleared=False))
    return messages
