"""Backoff that targets requested of this router, and drains that they announced.

A target that rejects a request may state for how long it wants no more requests from
this router, and one that is shutting down says so in all its answers. Neither depends
on heartbeats or settings: a heartbeat that still says ready, another replica or a new
tree does not end them, only time or a new incarnation of the target. So they are kept
apart from the records of load, which are deleted with a target's row.
"""

import logging
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from sesameford.discovery.heartbeat_table import TOMBSTONE_SECONDS, HeartbeatEntry
from sesameford.gateway.calls import AnswerHead
from sesameford.gateway.target_record import Reservation

logger = logging.getLogger(__name__)

MAX_LOGGED_CHARACTERS = 40


@dataclass(slots=True)
class _Notice:
    """What one incarnation of a target has stated."""

    incarnation: int
    backoff_until_seconds: float = float("-inf")
    is_draining: bool = False
    kept_until_seconds: float = float("-inf")

    def extend_backoff(self, seconds: float, now_seconds: float) -> None:
        self.backoff_until_seconds = max(
            self.backoff_until_seconds, now_seconds + seconds
        )

    def is_in_backoff(self, now_seconds: float) -> bool:
        return now_seconds < self.backoff_until_seconds

    def accepts_work(self, now_seconds: float) -> bool:
        return not self.is_draining and not self.is_in_backoff(now_seconds)


@dataclass(slots=True)
class TargetNotices:
    """The notices of all targets at one router; made by ``make_target_notices``."""

    _notices: dict[str, _Notice] = field(default_factory=dict)

    def record_answer(
        self,
        reservation: Reservation,
        head: AnswerHead,
        request_id: str,
        running_requests: int,
        now_seconds: float,
    ) -> None:
        """Store and log the notices of an answer.

        Args:
            reservation: The slot of the request that it answers.
            head: The head of the answer, which must be of that target and has a notice.
            request_id: The request, for the log.
            running_requests: This router's requests at the target, for the log.
            now_seconds: The present time.
        """
        fields = {
            "request": request_id,
            "target": reservation.target_id,
            "status": head.status,
            "running_requests": running_requests,
        }
        if head.unreadable_retry_after is not None:
            text = head.unreadable_retry_after[:MAX_LOGGED_CHARACTERS]
            logger.warning("unreadable Retry-After", extra={**fields, "detail": text})
        if head.retry_after_seconds is None and not head.is_draining:
            return
        notice = self._find_or_add(reservation)
        if notice is None:
            return
        notice.kept_until_seconds = now_seconds + TOMBSTONE_SECONDS
        if head.retry_after_seconds is not None:
            notice.extend_backoff(head.retry_after_seconds, now_seconds)
            ends_in_seconds = notice.backoff_until_seconds - now_seconds
            times = {
                "retry_after_seconds": head.retry_after_seconds,
                "ends_in_seconds": round(ends_in_seconds, 3),
            }
            logger.warning("target requests backoff", extra={**fields, **times})
        if head.is_draining and not notice.is_draining:
            notice.is_draining = True
            logger.warning("target announces its drain", extra=fields)

    def is_empty(self) -> bool:
        """Return whether no target has a notice, as is usual."""
        return not self._notices

    def accepts(self, target_id: str, incarnation: int, now_seconds: float) -> bool:
        """Return whether a target accepts requests of this router."""
        notice = self._find(target_id, incarnation)
        return notice is None or notice.accepts_work(now_seconds)

    def is_draining(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target has announced its drain."""
        notice = self._find(target_id, incarnation)
        return notice is not None and notice.is_draining

    def accepting(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> list[HeartbeatEntry]:
        """Return the given targets that accept requests of this router."""
        if self.is_empty():
            return found
        return [
            entry
            for entry in found
            if self.accepts(entry.row.target_id, entry.row.incarnation, now_seconds)
        ]

    def earliest_end_seconds(
        self, found: Iterable[HeartbeatEntry], now_seconds: float
    ) -> float | None:
        """Return when the first of the given targets leaves backoff.

        Returns:
            A time, or None if none of them is in backoff without draining.
        """
        notices = (
            self._find(entry.row.target_id, entry.row.incarnation) for entry in found
        )
        ends_seconds = (
            notice.backoff_until_seconds
            for notice in notices
            if notice is not None
            and notice.is_in_backoff(now_seconds)
            and not notice.is_draining
        )
        return min(ends_seconds, default=None)

    def count_in_backoff(self, now_seconds: float) -> int:
        """Return how many targets are in backoff."""
        return sum(one.is_in_backoff(now_seconds) for one in self._notices.values())

    def count_draining(self) -> int:
        """Return how many targets have announced their drain."""
        return sum(notice.is_draining for notice in self._notices.values())

    def forget(self, known_ids: Container[str], now_seconds: float) -> None:
        """Delete expired notices.

        The drain of a target that is not in the table is kept for as long as delayed
        heartbeats could bring its row back.

        Args:
            known_ids: The ids of the targets in the table.
            now_seconds: The present time.
        """
        for target_id, notice in list(self._notices.items()):
            if target_id in known_ids:
                notice.kept_until_seconds = now_seconds + TOMBSTONE_SECONDS
            is_over = notice.accepts_work(now_seconds)
            if is_over or now_seconds > max(
                notice.kept_until_seconds, notice.backoff_until_seconds
            ):
                del self._notices[target_id]

    def _find(self, target_id: str, incarnation: int) -> _Notice | None:
        """Return the notice that holds for an incarnation of a target, or None."""
        notice = self._notices.get(target_id)
        is_replaced = notice is not None and incarnation > notice.incarnation
        return None if is_replaced else notice

    def _find_or_add(self, reservation: Reservation) -> _Notice | None:
        """Return the notice of a target, None if a newer incarnation has one."""
        notice = self._notices.get(reservation.target_id)
        if notice is not None and notice.incarnation > reservation.incarnation:
            return None
        if notice is None or notice.incarnation < reservation.incarnation:
            notice = _Notice(reservation.incarnation)
            self._notices[reservation.target_id] = notice
        return notice


def make_target_notices() -> TargetNotices:
    """Return the state of a router that has received no notice."""
    return TargetNotices()
