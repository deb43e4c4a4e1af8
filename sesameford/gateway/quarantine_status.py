"""The quarantined requests of a deployment, as operators read them."""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from sesameford.request_digest import customer_part, digest_customer, logged_digest
from sesameford.suspects import Suspects


class QuarantineRow(Struct, frozen=True):
    """One quarantined request.

    ``customer`` is empty if the settings have no such customer any more. ``crashes``
    are the targets that crashed while it was in flight, each with its incarnation.
    """

    digest: str
    customer: str
    crashes: tuple[str, ...]
    seconds_left: float


def list_quarantines(
    suspects: Suspects, customers: Iterable[str], now_seconds: float
) -> Sequence[QuarantineRow]:
    """Return the quarantined requests.

    Args:
        suspects: The instance's table.
        customers: The ids of all customers.
        now_seconds: The present time.
    """
    quarantined = suspects.list_quarantined(now_seconds)
    if not quarantined:
        return []
    names = {digest_customer(customer): customer for customer in customers}
    return [
        QuarantineRow(
            logged_digest(row.request_digest),
            names.get(customer_part(row.request_digest), ""),
            tuple(sorted(row.uncleared_crashes)),
            round(seconds_left, 1),
        )
        for row, seconds_left in quarantined
    ]
