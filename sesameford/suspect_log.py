"""Log lines about crashes of targets and the requests that were in flight there."""

import logging
from collections.abc import Iterable

from sesameford.request_digest import logged_digest
from sesameford.suspect_rows import Suspect
from sesameford.suspects import Suspects

logger = logging.getLogger(__name__)

# A crash may involve all requests of a large target.
MAX_LOGGED_DIGESTS = 32


def format_digests(digests: Iterable[bytes]) -> str:
    """Return the first of some digests as log lines name them."""
    listed = list(digests)
    text = ",".join(logged_digest(digest) for digest in listed[:MAX_LOGGED_DIGESTS])
    left_out = len(listed) - MAX_LOGGED_DIGESTS
    return f"{text},+{left_out}" if left_out > 0 else text


def log_quarantine(
    suspects: Suspects, row: Suspect, now_seconds: float, customer: str = ""
) -> None:
    """Log that a request is quarantined, and the crashes that are the reason."""
    left_seconds = suspects.quarantine_left_seconds(row.request_digest, now_seconds)
    logger.warning(
        "request quarantined",
        extra={
            "digest": logged_digest(row.request_digest),
            "customer": customer,
            "crashes": _format_crashes(row.uncleared_crashes),
            "trial_crashes": _format_crashes(row.uncleared_trial_crashes),
            "in_common": format_digests(sorted(suspects.common_suspects(row))),
            "seconds": round(left_seconds, 1),
        },
    )


def log_cleared(
    digest: bytes, crashes: Iterable[str], reason: str, customer: str
) -> None:
    """Log that a request is no suspect any more.

    Args:
        digest: The request's digest, or that of a part.
        crashes: The crashes that no longer count.
        reason: What cleared it.
        customer: The customer's id.
    """
    logger.info(
        "suspect cleared",
        extra={
            "digest": logged_digest(digest),
            "customer": customer,
            "crashes": _format_crashes(crashes),
            "reason": reason,
        },
    )


def _format_crashes(crashes: Iterable[str]) -> str:
    return ",".join(sorted(crashes)[:MAX_LOGGED_DIGESTS])
