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
    reset_failures,
)

MAX_LEASE_SECONDS = 60.0
FORGET_AFTER_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class RegisteredTarget:
    """A target with what orders its news.

    ``announcement_sequence`` is the highest heard of its incarnation. ``version``
    and ``lease_holder_id`` order what instances tell each other of it.
    """

    target: Target
    announcement_sequence: int
    version: int = 0
    lease_holder_id: str = ""
    is_lapsed: bool = False

    @property
    def stamp(self) -> tuple[int, int, str]:
        """Return what orders rows of one target."""
        return self.target.incarnation, self.version, self.lease_holder_id


class TargetRegistry:
    """Targets by id; only the newest incarnation and announcement count."""

    def __init__(self) -> None:
        self._known: Table[str, RegisteredTarget] = Table()
        self._lease_holder_leases: dict[str, float] = {}
        self._digests: dict[str, int] = {}
        self._health: dict[str, TargetHealth] = {}
        self._on_replaced: Callable[[str, int, float], None] = lambda *_: None

    def get(self, target_id: str) -> RegisteredTarget | None:
        """Return what is known of a target."""
        return self._known.get(target_id)

    def rows(self) -> Sequence[RegisteredTarget]:
        """Return all that is known."""
        return list(self._known)

    def put(self, row: RegisteredTarget, now_seconds: float) -> None:
        """Insert or replace what is known of a target."""
        target = row.target
        old = self._known.get(target.target_id)
        is_new = old is None or target.incarnation > old.target.incarnation
        # A leave is for good: an announcement that was on its way beside it, or one
        # of a target that is ending, must not bring the incarnation back.
        if old is not None and old.target.leaving and not is_new:
            row = replace(row, target=replace(target, leaving=True))
        if old is None or old.stamp != row.stamp:
            self._digests.clear()
        if is_new:
            self._health[target.target_id] = record_incarnation(
                self._health.get(target.target_id), target.incarnation, now_seconds
            )
        self._known.put(target.target_id, row)
        if is_new and old is not None:
            self._on_replaced(target.target_id, target.incarnation, now_seconds)

    def is_outdated(self, target_id: str, incarnation: int, sequence: int) -> bool:
        """Return whether an announcement is older than what is known.

        A leave that is overtaken by an older announcement on a slower link would
        bring the target back: callers would see refused connections. The pair of
        incarnation and sequence only rises, so the past is recognised.
        """
        known = self._known.get(target_id)
        return known is not None and (incarnation, sequence) <= (
            known.target.incarnation,
            known.announcement_sequence,
        )

    def renew_leases_of(self, lease_holder_id: str, expires_at_seconds: float) -> None:
        """Let the leases of all of a keeper's targets run until a later time."""
        present_seconds = self._lease_holder_leases.get(lease_holder_id, 0.0)
        self._lease_holder_leases[lease_holder_id] = max(
            present_seconds, expires_at_seconds
        )

    def expires_at_seconds(self, known: RegisteredTarget) -> float:
        """Return when a target's lease ends, its own or its keeper's word."""
        return max(
            known.target.lease_expires_at_seconds,
            self._lease_holder_leases.get(known.lease_holder_id, 0.0),
        )

    def is_live(self, known: RegisteredTarget, now_seconds: float) -> bool:
        """Return whether a target's lease runs and it has not left."""
        is_gone = known.target.leaving or known.is_lapsed
        return not is_gone and self.expires_at_seconds(known) > now_seconds

    def digest(self, lease_holder_id: str) -> int:
        """Return the digest over the present versions of a keeper's targets."""
        if lease_holder_id not in self._digests:
            digest = 0
            for known in self._known:
                if known.lease_holder_id == lease_holder_id:
                    incarnation, version, _ = known.stamp
                    name = f"{known.target.target_id}/{incarnation}/{version}"
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
            declared: What the tree says of targets.
            now_seconds: The present time.
            evacuated: The data centres whose targets get none.
        """
        return {
            known.target.target_id: _as_declared(declared, known.target)
            for known in self._known
            if self.is_live(known, now_seconds)
            and not _is_drained(declared, known.target.target_id)
            and known.target.data_centre not in evacuated
            and not is_in_backoff(self._health[known.target.target_id], now_seconds)
        }

    def live(self, now_seconds: float) -> Sequence[Target]:
        """Return the targets whose leases run, as they announce themselves."""
        return [one.target for one in self._known if self.is_live(one, now_seconds)]

    def suspend(self, target_id: str, incarnation: int, now_seconds: float) -> None:
        """Give a target no new work for a while: a fresh connection to it failed.

        Its lease may run on for seconds, and each request sent there meanwhile
        would cost an attempt. It gets longer with each failure in a row.
        """
        health = self._health.get(target_id)
        if health is not None and health.incarnation == incarnation:
            self._health[target_id] = record_failure(health, now_seconds)

    def record_success(self, target_id: str) -> None:
        """Take note that a target gave a whole answer."""
        health = self._health.get(target_id)
        if health is not None:
            self._health[target_id] = reset_failures(health)

    def set_replacement_callback(
        self, callback: Callable[[str, int, float], None]
    ) -> None:
        """Call back when a target that was known announces a new incarnation."""
        self._on_replaced = callback

    def tick(self, now_seconds: float) -> None:
        """Forget targets that were silent for long, with their numbers."""
        for known in self._known:
            silent_seconds = now_seconds - self.expires_at_seconds(known)
            if (known.is_lapsed or known.target.leaving) and (
                silent_seconds > FORGET_AFTER_SECONDS
            ):
                self._known.remove(known.target.target_id)
                self._health.pop(known.target.target_id, None)
                self._digests.clear()

    def registered_targets(self) -> Sequence[Target]:
        """Return all targets ever heard of, with when their leases end."""
        return [
            replace(
                known.target, lease_expires_at_seconds=self.expires_at_seconds(known)
            )
            for known in self._known
        ]


def target_from_announcement(news: TargetAnnouncement, now_seconds: float) -> Target:
    """Return the target that an announcement describes."""
    return Target(
        target_id=news.target_id,
        incarnation=news.incarnation,
        kind=news.kind,
        serves=news.serves,
        url=news.url,
        data_centre=news.data_centre,
        capacity_slots=news.capacity_slots,
        lease_expires_at_seconds=now_seconds
        + min(news.lease_remaining_seconds, MAX_LEASE_SECONDS),
        checks_fencing=news.checks_fencing,
        leaving=news.leaving,
    )


def announcement_from_entry(
    known: RegisteredTarget, now_seconds: float
) -> TargetAnnouncement:
    """Return the announcement that describes what is known of a target."""
    target = known.target
    return TargetAnnouncement(
        target_id=target.target_id,
        incarnation=target.incarnation,
        announcement_sequence=known.announcement_sequence,
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
    """Return whether the tree takes a target out."""
    settings = declared.get(target_id)
    return settings is not None and settings.drain


def _as_declared(declared: Mapping[str, TargetSettings], target: Target) -> Target:
    """Return a target without the models that the tree takes away from it.

    An engine announces a model until it is unloaded. New requests sent there
    meanwhile would put the end of the last one off for ever.
    """
    settings = declared.get(target.target_id)
    if settings is None or not settings.models or target.kind is not TargetKind.MODEL:
        return target
    kept = tuple(model for model in target.serves if model in settings.models)
    return target if kept == target.serves else replace(target, serves=kept)
