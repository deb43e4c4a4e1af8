"""Tokens requested and admitted for each customer at one router, for its log.

Refusals and answers have log lines of their own, but an overloaded router writes only
some of them. Only these sums show whether a customer got its share, and whether another
got more from spare capacity of the engines.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

# Customers named in one line of some 600 bytes: those that requested most.
MAX_LOGGED_CUSTOMERS = 12
# Pairs of a customer and a reason named in one line: those with most tokens.
MAX_LOGGED_REASONS = 16
THOUSAND = 1_000
# A customer's part is named in a line if it differs from 1 by this or more.
UNUSUAL_DIFFERENCE = 0.1


class Admission(StrEnum):
    """Why a request was admitted, or that it was not."""

    NOT_LIMITED = "not_limited"
    SHARE = "share"
    SPARE_CAPACITY = "room"
    REFUSED = "refused"


@dataclass(slots=True)
class _CustomerSums:
    """Sums of one customer since the last line, in tokens but for ``requests``."""

    requests: int = 0
    requested: int = 0
    started: int = 0
    by_admission: Counter[Admission] = field(default_factory=Counter)

    def add(self, admission: Admission, tokens: int) -> None:
        self.requests += 1
        self.requested += tokens
        self.by_admission[admission] += tokens

    def format_thousands(self) -> str:
        """Return thousands of tokens: requested, by each admission, and started."""
        admitted = [
            self.by_admission[one] for one in Admission if one is not Admission.REFUSED
        ]
        figures = [self.requested, *admitted, self.started]
        return ":".join(f"{tokens / THOUSAND:.1f}" for tokens in figures)


@dataclass(slots=True)
class UnservedSums:
    """Requests that no engine began, by customer and reason, since the last line."""

    _requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    _tokens: Counter[tuple[str, str]] = field(default_factory=Counter)

    def add(self, customer: str, reason: str, tokens: int) -> None:
        """Count a request."""
        self._requests[customer, reason] += 1
        self._tokens[customer, reason] += tokens

    def format_sums(self) -> str:
        """Return the largest sums, and reset all.

        Returns:
            For each customer and reason the number of requests and thousands of tokens.
        """
        largest = self._tokens.most_common(MAX_LOGGED_REASONS)
        text = " ".join(
            f"{customer}/{reason}:{self._requests[customer, reason]}:"
            f"{tokens / THOUSAND:.1f}"
            for (customer, reason), tokens in largest
        )
        self._requests.clear()
        self._tokens.clear()
        return text


@dataclass(frozen=True, slots=True)
class AccountSums:
    """The texts of one log line, and the requests that a late loop refused."""

    customers: str
    refused: str
    lost: str
    late_requests: int


class ShareAccount:
    """Sums of one router: ``totals`` since its start, others since the last line.

    ``refused`` are requests that were not admitted, ``lost`` those that were and that
    no engine began.
    """

    def __init__(self) -> None:
        self.totals: Counter[Admission] = Counter()
        self.refused = UnservedSums()
        self.lost = UnservedSums()
        self._late_requests = 0
        self._by_customer: dict[str, _CustomerSums] = defaultdict(_CustomerSums)

    def record_request(self, customer: str, tokens: int, admission: Admission) -> None:
        """Count a request and the gate's decision."""
        self.totals[admission] += tokens
        self._by_customer[customer].add(admission, tokens)

    def record_late_refusal(self) -> None:
        """Count a request that is refused because the event loop is late."""
        self._late_requests += 1

    def pop_late_requests(self) -> int:
        """Return the requests refused by a late event loop since the last call."""
        late_requests, self._late_requests = self._late_requests, 0
        return late_requests

    def pop_sums(self, fractions: Mapping[str, float]) -> AccountSums:
        """Return all sums since the last call, and reset them.

        Args:
            fractions: The part that each limited customer gets at present.
        """
        return AccountSums(
            self.format_sums(fractions),
            self.refused.format_sums(),
            self.lost.format_sums(),
            self.pop_late_requests(),
        )

    def record_start(self, customer: str, tokens: int) -> None:
        """Count a request whose answer an engine has started."""
        self._by_customer[customer].started += tokens

    def format_sums(self, fractions: Mapping[str, float]) -> str:
        """Return the sums of the customers that requested most, and reset all sums.

        Args:
            fractions: The part that each limited customer gets at present.

        Returns:
            For each customer its name, fraction, number of requests, and thousands of
            tokens: requested, admitted without a limit, by share, from spare capacity,
            and started.
        """
        customers = sorted(
            self._by_customer.items(), key=lambda one: one[1].requested, reverse=True
        )
        self._by_customer.clear()
        return " ".join(
            f"{name}:{fractions.get(name, 1.0):.2f}:{sums.requests}:"
            f"{sums.format_thousands()}"
            for name, sums in customers[:MAX_LOGGED_CUSTOMERS]
        )


def format_unusual_parts(parts: Mapping[str, float]) -> str:
    """Return the customers whose part differs from 1, those with most difference."""
    differences = {customer: abs(part - 1.0) for customer, part in parts.items()}
    unusual = [one for one in parts if differences[one] >= UNUSUAL_DIFFERENCE]
    unusual.sort(key=differences.__getitem__, reverse=True)
    return ",".join(
        f"{customer}:{parts[customer]:.2f}"
        for customer in unusual[:MAX_LOGGED_CUSTOMERS]
    )


def make_share_account() -> ShareAccount:
    """Return an account without requests."""
    return ShareAccount()
