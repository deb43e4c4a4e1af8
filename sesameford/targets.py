"""The table of targets that announced themselves, at one router."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from sesameford.effective import TargetSettings
from sesameford.messages import Outgoing, TargetNews
from sesameford.tables import Table, Target


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
        target = Target(
            target_id=news.target_id,
            incarnation=news.incarnation,
            kind=news.kind,
            serves=news.serves,
            url=news.url,
            data_centre=news.data_centre,
            capacity_slots=news.capacity_slots,
            lease_expires_at_seconds=now_seconds + news.lease_remaining_seconds,
            checks_fencing=news.checks_fencing,
            leaving=news.leaving,
        )
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
        }

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
