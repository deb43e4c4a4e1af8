"""Records what each customer requested and received, and checks it for fairness."""

from collections import defaultdict
from dataclasses import dataclass

# A customer that is refused requests in each second of a window must receive at least
# FAIR_PART of what it requested, or of what the best served customer received,
# whichever is less. LARGEST_REQUESTS times its largest request is subtracted, because
# few requests can't be divided more evenly.
WINDOW_SECONDS = 6
FAIR_PART = 0.5
LARGEST_REQUESTS = 3


@dataclass(slots=True)
class _CustomerSecond:
    requested_tokens: float = 0.0
    started_tokens: float = 0.0
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class UnfairShare:
    """A customer's share below the minimum in the window that starts at ``second``."""

    second: int
    customer: str
    requested_tokens: float
    started_tokens: float
    highest_started_tokens: float


class ShareLedger:
    """Records what each customer requested and received in each second."""

    def __init__(self) -> None:
        self._seconds: dict[int, dict[str, _CustomerSecond]] = defaultdict(
            lambda: defaultdict(_CustomerSecond)
        )
        self._largest_tokens: dict[str, float] = defaultdict(float)

    def record_request(
        self, customer: str, tokens: float, is_refused: bool, second: int
    ) -> None:
        """Count a customer's request, and whether it was refused."""
        served = self._seconds[second][customer]
        served.requested_tokens += tokens
        served.is_refused |= is_refused

    def record_request_size(self, customer: str, tokens: float) -> None:
        """Record the size of a customer's request, where it is known."""
        self._largest_tokens[customer] = max(self._largest_tokens[customer], tokens)

    def record_start(self, customer: str, tokens: float, second: int) -> None:
        """Count tokens that engines started for a customer."""
        self._seconds[second][customer].started_tokens += tokens

    def started_tokens(self, customer: str, begin: int, end: int) -> float:
        """Return the tokens started for a customer; ``end`` is exclusive."""
        rows = (self._seconds[second][customer] for second in range(begin, end))
        return sum(row.started_tokens for row in rows)

    def find_unfair_shares(
        self, begin: int, end: int, largest_requests: int = LARGEST_REQUESTS
    ) -> list[UnfairShare]:
        """Return the customers that received less than their fair share in a window.

        Args:
            begin: First second to check.
            end: Second after the last one to check.
            largest_requests: How many of its largest requests a customer may lack.
        """
        found = []
        for second in range(begin, end - WINDOW_SECONDS + 1):
            found += self._unfair_shares_from(second, largest_requests)
        return found

    def _unfair_shares_from(
        self, second: int, largest_requests: int
    ) -> list[UnfairShare]:
        window = range(second, second + WINDOW_SECONDS)
        names = {name for number in window for name in self._seconds[number]}
        started = {
            name: self.started_tokens(name, window[0], window[-1] + 1) for name in names
        }
        highest = max(started.values(), default=0.0)
        found = []
        for name in sorted(names):
            rows = [self._seconds[number][name] for number in window]
            if not all(row.is_refused for row in rows):
                continue
            requested = sum(row.requested_tokens for row in rows)
            allowance = largest_requests * self._largest_tokens[name]
            if started[name] < FAIR_PART * min(requested, highest) - allowance:
                found.append(
                    UnfairShare(second, name, requested, started[name], highest)
                )
        return found


def make_share_ledger() -> ShareLedger:
    """Return an empty ledger."""
    return ShareLedger()
