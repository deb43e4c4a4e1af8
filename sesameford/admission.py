"""Admission to a router's queues: bounded per customer and in all."""

from sesameford.effective import CustomerSettings
from sesameford.errors import NotRunError
from sesameford.queues import Queues
from sesameford.tables import Request


def check_admission(
    request: Request,
    settings: CustomerSettings,
    queued_limit_bytes: int,
    queues: Queues,
    retry_after_seconds: float,
) -> None:
    """Refuse what the customer's or the router's queues can't hold.

    Args:
        request: The request.
        settings: Its customer's.
        queued_limit_bytes: Of the whole router.
        queues: What waits.
        retry_after_seconds: When room is likely.

    Raises:
        NotRunError: The customer is suspended, or there is no room.
    """
    if settings.suspended:
        raise NotRunError("suspended", "The customer is suspended.", 403)
    limits = settings.limits
    customer = request.customer_id
    queued_bytes = queues.bytes_of(customer) + request.body_bytes
    full = queues.requests_of(customer) >= limits.queued_requests
    if full or queued_bytes > limits.queued_bytes:
        raise NotRunError(
            "queue-full",
            "The customer's queue at this router is full.",
            429,
            retry_after_seconds,
        )
    total = queues.total_bytes() + request.body_bytes
    # A flood may fill the room that nobody else uses, and no more: the half that
    # is kept lets each other customer up to an even part of the whole.
    even = queued_limit_bytes / (queues.customer_count() + 1)
    if total > queued_limit_bytes / 2 and queued_bytes > even:
        raise NotRunError(
            "router-full",
            "The queues of this router are full.",
            503,
            retry_after_seconds,
        )
