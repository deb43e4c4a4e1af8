"""Admission control of a router's queues, per customer and in total."""

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
    """Refuse a request that exceeds the customer's or the router's queue limits.

    Args:
        request: The request.
        settings: The settings of its customer.
        queued_limit_bytes: The limit of all queues of the router together.
        queues: The router's queues.
        retry_after_seconds: When the queue likely has spare capacity again.

    Raises:
        NotRunError: The customer is suspended, or a queue is full.
    """
    if settings.suspended:
        raise NotRunError("suspended", "The customer is suspended.", 403)
    limits = settings.limits
    customer = request.customer_id
    queued_bytes = queues.bytes_of(customer) + request.body_bytes
    is_full = queues.requests_of(customer) >= limits.queued_requests
    if is_full or queued_bytes > limits.queued_bytes:
        raise NotRunError(
            "queue-full",
            "The customer's queue at this router is full.",
            429,
            retry_after_seconds,
        )
    total = queues.total_bytes() + request.body_bytes
    # Once half of the limit is used, each customer is admitted only up to an even
    # share. One customer's burst can't fill the half that the others need.
    even_share_bytes = queued_limit_bytes / (queues.customer_count() + 1)
    if total > queued_limit_bytes / 2 and queued_bytes > even_share_bytes:
        raise NotRunError(
            "router-full",
            "The queues of this router are full.",
            503,
            retry_after_seconds,
        )
