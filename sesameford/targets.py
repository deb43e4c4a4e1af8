"""The table of targets that announced themselves, at one router."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from xxhash import xxh32_intdigest

from sesameford.effective import TargetSettings
from sesameford.messages import TargetAnnouncement
from sesameford.tables import Table, Target, TargetKind
from sesameford.target_health import (
    TargetHealth,
    is_in_backoff,
    record_failure,
    record_incarnation,
    record_requested_backoff,
    reset_failures,
)

MAX_LEASE_SECONDS = 60.0
FORGET_AFTER_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class RegisteredTarget:
    """A target with the numbers that order its announcements and rows.

    ``announcement_sequence`` is the highest received of its incarnation. ``version``
    and ``lease_holder_id`` order the rows that instances send each other.
    """

    target: Target
    announcement_sequence: int
    version: int = 0
    lease_holder_id: str = ""
    is_lapsed: bool = False

    @property
    def stamp(self) -> tuple[int, int, str]:
        """Return the key that orders rows of one target."""
        return self.target.incarnation, self.version, self.lease_holder_id


class TargetRegistry:
    """Targets by id; only the newest incarnation and announcement count."""

    def __init__(self) -> None:
        self._entries: Table[str, RegisteredTarget] = Table()
        self._attested_until_seconds: dict[str, float] = {}
        self._digests: dict[str, int] = {}
        self._health: dict[str, TargetHealth] = {}
        self._on_replaced: Callable[[str, int, float], None] = lambda *_: None
        self._last_requested_end_seconds = float("-inf")

    def get(self, target_id: str) -> RegisteredTarget | None:
        """Return the entry of a target, None if it is unknown."""
        return self._entries.get(target_id)

    def rows(self) -> Sequence[RegisteredTarget]:
        """Return all entries."""
        return list(self._entries)

    def put(self, row: RegisteredTarget, now_seconds: float) -> None:
        """Insert or replace the entry of a target."""
        target = row.target
        old = self._entries.get(target.target_id)
        is_new = old is None or target.incarnation > old.target.incarnation
        # A leave is final: a concurrent announcement, or one of a target that is
        # stopping, must not bring the incarnation back.
        if old is not None and old.target.leaving and not is_new:
            row = replace(row, target=replace(target, leaving=True))
        if old is None or old.stamp != row.stamp:
            self._digests.clear()
        if is_new:
            self._health[target.target_id] = record_incarnation(
                self._health.get(target.target_id), target.incarnation, now_seconds
            )
        self._entries.put(target.target_id, row)
        if is_new and old is not None:
            self._on_replaced(target.target_id, target.incarnation, now_seconds)

    def is_outdated(self, target_id: str, incarnation: int, sequence: int) -> bool:
        """Return whether an announcement is no newer than the entry.

        An older announcement that arrives after a leave over a slower link would bring
        the target back, and callers would get refused connections. The pair of
        incarnation and sequence only grows, so an outdated one is recognised.
        """
        entry = self._entries.get(target_id)
        return entry is not None and (incarnation, sequence) <= (
            entry.target.incarnation,
            entry.announcement_sequence,
        )

    def renew_leases_of(self, lease_holder_id: str, expires_at_seconds: float) -> None:
        """Extend the leases of all targets of a lease holder to a later time."""
        current_seconds = self._attested_until_seconds.get(lease_holder_id, 0.0)
        self._attested_until_seconds[lease_holder_id] = max(
            current_seconds, expires_at_seconds
        )

    def expires_at_seconds(self, entry: RegisteredTarget) -> float:
        """Return when a target's lease ends, its own or as its holder attested."""
        return max(
            entry.target.lease_expires_at_seconds,
            self._attested_until_seconds.get(entry.lease_holder_id, 0.0),
        )

    def is_live(self, entry: RegisteredTarget, now_seconds: float) -> bool:
        """Return whether a target's lease is valid and it has not left."""
        is_gone = entry.target.leaving or entry.is_lapsed
        return not is_gone and self.expires_at_seconds(entry) > now_seconds

    def digest(self, lease_holder_id: str) -> int:
        """Return the digest over the current versions of a lease holder's targets."""
        if lease_holder_id not in self._digests:
            digest = 0
            for entry in self._entries:
                if entry.lease_holder_id == lease_holder_id:
                    incarnation, version, _ = entry.stamp
                    name = f"{entry.target.target_id}/{incarnation}/{version}"
                    digest ^= xxh32_intdigest(name.encode())
            self._digests[lease_holder_id] = digest
        return self._digests[lease_holder_id]

    def usable(
        self,
        declared: Mapping[str, TargetSettings],
        now_seconds: float,
        evacuated: frozenset[str] = frozenset(),
    ) -> dict[str, Target]:
        """Return the targets that may get new work now.

        Args:
            declared: The settings of targets in the tree.
            now_seconds: The current time.
            evacuated: The data centres whose targets get no new work.
        """
        return {
            entry.target.target_id: _as_declared(declared, entry.target)
            for entry in self._entries
            if self.is_live(entry, now_seconds)
            and not _is_drained(declared, entry.target.target_id)
            and entry.target.data_centre not in evacuated
            and not is_in_backoff(self._health[entry.target.target_id], now_seconds)
        }

    def backoff_end_seconds(
        self, kind: TargetKind, resource: str, now_seconds: float
    ) -> float | None:
        """Return when the backoff ends that all targets of a resource requested.

        Backoff after failed connections does not count: a target that crashed may
        announce itself again long before its end.

        Returns:
            The end of the first one, None if a live target requested none or if there
            is no target.
        """
        if now_seconds >= self._last_requested_end_seconds:
            # The usual case, which must not cost a walk over all targets.
            return None
        ends_seconds = [
            self._health[entry.target.target_id].requested_until_seconds
            for entry in self._entries
            if self.is_live(entry, now_seconds)
            and entry.target.kind is kind
            and resource in entry.target.serves
        ]
        end_seconds = min(ends_seconds, default=None)
        is_over = end_seconds is None or end_seconds <= now_seconds
        return None if is_over else end_seconds

    def live(self, now_seconds: float) -> Sequence[Target]:
        """Return the targets with valid leases, as they announce themselves."""
        return [one.target for one in self._entries if self.is_live(one, now_seconds)]

    def suspend(self, target_id: str, incarnation: int, now_seconds: float) -> None:
        """Put a target into backoff after a fresh connection to it failed.

        Its lease may stay valid for seconds, and each request sent there meanwhile
        would cost an attempt. The backoff grows with each consecutive failure.
        """
        health = self._health.get(target_id)
        if health is not None and health.incarnation == incarnation:
            self._health[target_id] = record_failure(health, now_seconds)

    def record_requested_backoff(
        self, target_id: str, incarnation: int, seconds: float, now_seconds: float
    ) -> None:
        """Put a target into the backoff that it requested of this router.

        A target that rejects requests looks idle. It would get more of them than others
        for as long as it rejects them.
        """
        health = self._health.get(target_id)
        if health is not None and health.incarnation == incarnation:
            health = record_requested_backoff(health, seconds, now_seconds)
            self._health[target_id] = health
            self._last_requested_end_seconds = max(
                self._last_requested_end_seconds, health.requested_until_seconds
            )

    def record_success(self, target_id: str) -> None:
        """Record that a target sent a complete answer."""
        health = self._health.get(target_id)
        if health is not None:
            self._health[target_id] = reset_failures(health)

    def set_replacement_callback(
        self, callback: Callable[[str, int, float], None]
    ) -> None:
        """Set the callback for a known target that announces a new incarnation."""
        self._on_replaced = callback

    def tick(self, now_seconds: float) -> None:
        """Remove long silent targets that lapsed or left, with their numbers."""
        for entry in self._entries:
            silent_seconds = now_seconds - self.expires_at_seconds(entry)
            if (entry.is_lapsed or entry.target.leaving) and (
                silent_seconds > FORGET_AFTER_SECONDS
            ):
                self._entries.remove(entry.target.target_id)
                self._health.pop(entry.target.target_id, None)
                self._digests.clear()

    def registered_targets(self) -> Sequence[Target]:
        """Return all targets in the table, with the end of their leases."""
        return [
            replace(
                entry.target, lease_expires_at_seconds=self.expires_at_seconds(entry)
            )
            for entry in self._entries
        ]


def target_from_announcement(
    announcement: TargetAnnouncement, now_seconds: float
) -> Target:
    """Return the target that an announcement describes."""
    return Target(
        target_id=announcement.target_id,
        incarnation=announcement.incarnation,
        kind=announcement.kind,
        serves=announcement.serves,
        url=announcement.url,
        data_centre=announcement.data_centre,
        capacity_slots=announcement.capacity_slots,
        lease_expires_at_seconds=now_seconds
        + min(announcement.lease_remaining_seconds, MAX_LEASE_SECONDS),
        checks_fencing=announcement.checks_fencing,
        leaving=announcement.leaving,
    )


def announcement_from_entry(
    entry: RegisteredTarget, now_seconds: float
) -> TargetAnnouncement:
    """Return the announcement that describes an entry."""
    target = entry.target
    return TargetAnnouncement(
        target_id=target.target_id,
        incarnation=target.incarnation,
        announcement_sequence=entry.announcement_sequence,
        kind=target.kind,
        serves=target.serves,
        url=target.url,
        data_centre=target.data_centre,
        capacity_slots=target.capacity_slots,
        lease_remaining_seconds=target.lease_expires_at_seconds - now_seconds,
        checks_fencing=target.checks_fencing,
        leaving=target.leaving,
    )


def _is_drained(declared: Mapping[str, TargetSettings], target_id: str) -> bool:
    """Return whether the tree drains a target."""
    settings = declared.get(target_id)
    return settings is not None and settings.drain


def _as_declared(declared: Mapping[str, TargetSettings], target: Target) -> Target:
    """Return a target without the models that the tree no longer assigns to it.

    An engine announces a model until it is unloaded, and it is unloaded after its last
    request. New requests sent there meanwhile would postpone that indefinitely.
    """
    settings = declared.get(target.target_id)
    if settings is None or not settings.models or target.kind is not TargetKind.MODEL:
        return target
    serves = tuple(model for model in target.serves if model in settings.models)
    return target if serves == target.serves else replace(target, serves=serves)
