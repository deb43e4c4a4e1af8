"""The table of targets that announced themselves, at one router."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from sesameford.effective import TargetSettings
from sesameford.messages import Outgoing, TargetNews
from sesameford.tables import Table, Target
from sesameford.target_health import TargetHealth, began, failed, is_held, proved

MAX_LEASE_SECONDS = 60.0
FORGET_AFTER_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class _Known:
    """A target with the number of its latest announcement."""

    target: Target
    announcement_sequence: int


class TargetRegistry:
    """Targets by id; only the newest incarnation and announcement count."""

    def __init__(self) -> None:
        self._known: Table[str, _Known] = Table()
        self._news: list[TargetNews] = []
        self._health: dict[str, TargetHealth] = {}
        self._on_replaced: Callable[[str, int, float], None] = lambda *_: None

    def announced(self, news: TargetNews, now_seconds: float) -> bool:
        """Take an announcement that a target made at this instance and pass it on.

        Returns:
            False if it is from the past, and nothing was changed.
        """
        if not self.heard(news, now_seconds):
            return False
        self._news.append(news)
        return True

    def heard(self, news: TargetNews, now_seconds: float) -> bool:
        """Take an announcement that another instance passed on."""
        known = self._known.get(news.target_id)
        stamp = (news.incarnation, news.announcement_sequence)
        # A leave that is overtaken by an older announcement on a slower link would
        # bring the target back: callers would see refused connections. The pair of
        # incarnation and sequence only rises, so the past is recognised.
        if known and stamp <= (known.target.incarnation, known.announcement_sequence):
            return False
        is_new = known is None or news.incarnation > known.target.incarnation
        # A leave is for good: an announcement that was on its way beside it, or one
        # of a target that is ending, must not bring the incarnation back.
        has_left = known is not None and known.target.leaving and not is_new
        target = Target(
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
            leaving=news.leaving or has_left,
        )
        if is_new:
            health = began(
                self._health.get(news.target_id), news.incarnation, now_seconds
            )
            self._health[news.target_id] = health
            if known is not None:
                self._on_replaced(news.target_id, news.incarnation, now_seconds)
        self._known.put(news.target_id, _Known(target, news.announcement_sequence))
        return True

    def left(
        self, target_id: str, incarnation: int, sequence: int, now_seconds: float
    ) -> bool:
        """Take a target's word that it leaves, and pass it on."""
        known = self._known.get(target_id)
        if known is None or known.target.incarnation != incarnation:
            return False
        target = replace(known.target, leaving=True)
        return self.announced(
            TargetNews(
                target_id=target_id,
                incarnation=incarnation,
                announcement_sequence=sequence,
                kind=target.kind,
                serves=target.serves,
                url=target.url,
                data_centre=target.data_centre,
                capacity_slots=target.capacity_slots,
                lease_remaining_seconds=target.lease_expires_at_seconds - now_seconds,
                checks_fencing=target.checks_fencing,
                leaving=True,
            ),
            now_seconds,
        )

    def usable(
        self, declared: Mapping[str, TargetSettings], now_seconds: float
    ) -> dict[str, Target]:
        """Return the targets that may get new work now."""
        return {
            known.target.target_id: known.target
            for known in self._known
            if not known.target.leaving
            and known.target.lease_expires_at_seconds > now_seconds
            and not _is_drained(declared, known.target.target_id)
            and not is_held(self._health[known.target.target_id], now_seconds)
        }

    def suspend(self, target_id: str, incarnation: int, now_seconds: float) -> None:
        """Give a target no new work for a while: a fresh connection to it failed.

        Its lease may run on for seconds, and each request sent there meanwhile
        would cost an attempt. It gets longer with each failure in a row.
        """
        health = self._health.get(target_id)
        if health is not None and health.incarnation == incarnation:
            self._health[target_id] = failed(health, now_seconds)

    def proved(self, target_id: str) -> None:
        """Take note that a target gave a whole answer."""
        health = self._health.get(target_id)
        if health is not None:
            self._health[target_id] = proved(health)

    def on_replaced(self, callback: Callable[[str, int, float], None]) -> None:
        """Call back when a target that was known announces a new incarnation."""
        self._on_replaced = callback

    def tick(self, now_seconds: float) -> None:
        """Forget targets that were silent for long, with their numbers."""
        for known in self._known:
            target = known.target
            if now_seconds - target.lease_expires_at_seconds > FORGET_AFTER_SECONDS:
                self._known.remove(target.target_id)
                self._health.pop(target.target_id, None)

    def known(self) -> Sequence[Target]:
        """Return all targets ever heard of, for the status page."""
        return [known.target for known in self._known]

    def outgoing(self) -> Sequence[Outgoing]:
        """Return the news to pass on since the last call; a leave is urgent."""
        news, self._news = self._news, []
        return [Outgoing(None, item, urgent=item.leaving) for item in news]


def _is_drained(declared: Mapping[str, TargetSettings], target_id: str) -> bool:
    """Return whether the tree takes a target out."""
    settings = declared.get(target_id)
    return settings is not None and settings.drain
