"""Log lines on shares: what replicas compute, what routers serve, and why."""

import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

from sesameford.gateway.share_account import AccountSums, format_unusual_parts
from sesameford.gateway.shares import ShareTable
from sesameford.gateway.target_reports import EngineView, TargetReports
from sesameford.gateway.timeliness import Timeliness
from sesameford.load_messages import FailingTarget, TargetSpeed

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ShareSource:
    """The replica whose shares a router applies, and the age of what came from it."""

    replica: str
    age_seconds: float
    routers: int
    table_age_seconds: float


def log_limited(shares: ShareTable, router_waits_seconds: Sequence[float]) -> None:
    """Log the shares that are computed here, and the figures that they follow from.

    Args:
        shares: The shares.
        router_waits_seconds: The waits that the routers here report.
    """
    waits = {}
    if router_waits_seconds:
        waits = {
            "usual_wait_seconds": round(median(router_waits_seconds), 4),
            "longest_wait_seconds": round(max(router_waits_seconds), 4),
        }
    logger.info(
        "shares limited",
        extra={
            "customers": ",".join(
                f"{one}:{fraction:.2f}"
                for one, fraction in sorted(shares.fractions.items())
            ),
            "routers": shares.routers,
            "capacity_tokens": round(shares.capacity_tokens),
            "asked_tokens": round(sum(shares.requested_tokens.values())),
            "wait_seconds": round(shares.wait_seconds, 4),
            "wanted_seconds": round(shares.wait_setpoint_seconds, 4),
            **waits,
            "in_time_answers": round(shares.in_time_answers, 1),
            "late_answers": round(shares.late_answers, 1),
            "paused_answers": round(shares.paused_answers, 1),
            "handled_tokens": round(shares.handled_tokens),
            "weights": format_unusual_parts(shares.weights),
            "started_parts": format_unusual_parts(shares.lost_work.started_parts),
            "worked_part": round(shares.lost_work.worked_part, 2),
        },
    )


def log_targets(
    reports: TargetReports,
    failing: Sequence[FailingTarget],
    speeds: Iterable[TargetSpeed],
) -> None:
    """Log the targets that fail a part of the fleet's requests, or differ in speed."""
    if failing:
        parts = reports.failed_parts_by_id(failing)
        text = ",".join(f"{one}:{part:.2f}" for one, part in sorted(parts.items()))
        logger.warning("targets fail in part", extra={"targets": text})
    relative = reports.relative_speeds(speeds)
    if relative:
        text = ",".join(f"{one}:{speed:.2f}" for one, speed in sorted(relative.items()))
        logger.info("targets differ in speed", extra={"targets": text})


def log_served(
    source: ShareSource,
    sums: AccountSums,
    late_seconds: float,
    view: EngineView,
    wait_seconds: float,
    timeliness: Timeliness,
    now_seconds: float,
) -> None:
    """Log the source, age and effect of the shares that a router applies.

    The refusals of an overloaded router are too many for a line each, so this line has
    their number and the longest lateness of the loop.

    Args:
        source: Where the shares come from.
        sums: What was requested and served since the last line.
        late_seconds: The longest lateness of the loop since then.
        view: What the router takes for the load of targets.
        wait_seconds: The average wait of a prompt that it expects.
        timeliness: The answers that started in time and late.
        now_seconds: The present time.
    """
    logger.info(
        "shares served",
        extra={
            "replica": source.replica,
            "age_seconds": round(source.age_seconds, 3),
            "routers": source.routers,
            "customers": sums.customers,
            "refused": sums.refused,
            "lost": sums.lost,
            "late_seconds": round(late_seconds, 3),
            "late_requests": sums.late_requests,
            "table_age_seconds": round(source.table_age_seconds, 2),
            "wait_seconds": round(wait_seconds, 4),
            "own_requests": view.own_requests,
            "other_requests": view.other_requests,
            "own_unread_tokens": view.own_unread_tokens,
            "other_unread_tokens": view.other_unread_tokens,
            "in_time_answers": round(timeliness.in_time_answers(now_seconds), 1),
            "late_answers": round(timeliness.late_answers(now_seconds), 1),
            "paused_answers": round(timeliness.paused_answers(now_seconds), 1),
        },
    )
