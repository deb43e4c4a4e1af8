"""The quarantined requests of a deployment, as operators read them."""

from collections.abc import Callable, Sequence

from msgspec import Struct

from sesameford.request_digest import logged_digest
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
    suspects: Suspects, customer_of: Callable[[bytes], str], now_seconds: float
) -> Sequence[QuarantineRow]:
    """Return the quarantined requests.

    Args:
        suspects: The instance's table.
        customer_of: Returns the customer of a digest, empty if there is none.
        now_seconds: The present time.
    """
    return [
        QuarantineRow(
            logged_digest(row.request_digest),
            customer_of(row.request_digest),
            tuple(sorted(row.uncleared_crashes)),
            round(seconds_left, 1),
        )
        for row, seconds_left in suspects.list_quarantined(now_seconds)
    ]
