"""What a router was asked by each customer, and why it let requests in, for its log.

Refusals and answers have lines of their own, but at a flooded router only some of them
are written. Whether a customer got its share, and whether another got more by room at
engines, is known from these sums alone.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

# So many customers, those that asked most, are named in a line of some 600 bytes.
MOST_CUSTOMERS = 12
THOUSAND = 1_000


class Admission(StrEnum):
    """Why a request was let in, or that it was not."""

    NOT_LIMITED = "not_limited"
    SHARE = "share"
    ROOM = "room"
    REFUSED = "refused"


@dataclass(slots=True)
class _Sums:
    """Of one customer since the last line, in tokens but for ``requests``."""

    requests: int = 0
    asked: int = 0
    begun: int = 0
    by_admission: Counter[Admission] = field(default_factory=Counter)

    def add(self, admission: Admission, tokens: int) -> None:
        self.requests += 1
        self.asked += tokens
        self.by_admission[admission] += tokens

    def thousands(self) -> str:
        """Return thousands of tokens: asked, by each admission, and begun."""
        admitted = [
            self.by_admission[one] for one in Admission if one is not Admission.REFUSED
        ]
        figures = [self.asked, *admitted, self.begun]
        return ":".join(f"{tokens / THOUSAND:.1f}" for tokens in figures)


class ShareAccount:
    """The sums of one router since they were logged last."""

    def __init__(self) -> None:
        self.totals: Counter[Admission] = Counter()
        self._late_requests = 0
        self._by_customer: dict[str, _Sums] = defaultdict(_Sums)

    def record_request(self, customer: str, tokens: int, admission: Admission) -> None:
        """Count a request, and what became of it at the gate."""
        self.totals[admission] += tokens
        self._by_customer[customer].add(admission, tokens)

    def record_late_refusal(self) -> None:
        """Count a request that is refused because the loop is late."""
        self._late_requests += 1

    def pop_late_requests(self) -> int:
        """Return the requests refused by a late loop since this was asked last."""
        late_requests, self._late_requests = self._late_requests, 0
        return late_requests

    def record_start(self, customer: str, tokens: int) -> None:
        """Count a request whose answer an engine has begun."""
        self._by_customer[customer].begun += tokens

    def format_sums(self, fractions: Mapping[str, float]) -> str:
        """Return the sums of those that asked most, and begin anew.

        Args:
            fractions: The part that each limited customer gets at present.

        Returns:
            For each customer its name, fraction, number of requests, and thousands of
            tokens: asked, let in without a limit, by share, by room, and begun.
        """
        customers = sorted(
            self._by_customer.items(), key=lambda one: one[1].asked, reverse=True
        )
        self._by_customer.clear()
        return " ".join(
            f"{name}:{fractions.get(name, 1.0):.2f}:{sums.requests}:{sums.thousands()}"
            for name, sums in customers[:MOST_CUSTOMERS]
        )


def make_share_account() -> ShareAccount:
    """Return an account of nothing."""
    return ShareAccount()
