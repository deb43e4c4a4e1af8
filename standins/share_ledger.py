"""What customers asked and got in each second, against the rule that shares keep."""

from collections import defaultdict
from dataclasses import dataclass

# Who is refused something in each of so many seconds gets at least this part of what it
# asked or of what the best served customer got, whichever is less, less so many of its
# largest requests: few requests can't be divided more evenly.
WINDOW_SECONDS = 6
FAIR_PART = 0.5
LARGEST_REQUESTS = 3


@dataclass(slots=True)
class _Served:
    asked_tokens: float = 0.0
    begun_tokens: float = 0.0
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class TooLittle:
    """A customer that got less than the rule says from a second on."""

    second: int
    customer: str
    asked_tokens: float
    begun_tokens: float
    best_tokens: float


class ShareLedger:
    """What each customer asked and got in each second."""

    def __init__(self) -> None:
        self._seconds: dict[int, dict[str, _Served]] = defaultdict(
            lambda: defaultdict(_Served)
        )
        self._largest_tokens: dict[str, float] = defaultdict(float)

    def asked(
        self, customer: str, tokens: float, is_refused: bool, second: int
    ) -> None:
        """Count what a customer asked, and whether some of it was refused."""
        served = self._seconds[second][customer]
        served.asked_tokens += tokens
        served.is_refused |= is_refused

    def largest(self, customer: str, tokens: float) -> None:
        """Note the size of a request, where it is known."""
        self._largest_tokens[customer] = max(self._largest_tokens[customer], tokens)

    def began(self, customer: str, tokens: float, second: int) -> None:
        """Count what engines have begun for a customer."""
        self._seconds[second][customer].begun_tokens += tokens

    def begun_tokens(self, customer: str, begin: int, end: int) -> float:
        """Return what a customer got from one second to another."""
        rows = (self._seconds[second][customer] for second in range(begin, end))
        return sum(row.begun_tokens for row in rows)

    def too_little(self, begin: int, end: int) -> list[TooLittle]:
        """Return who was treated unfairly in some window.

        Args:
            begin: The first second that is looked at.
            end: The one after the last.
        """
        found = []
        for second in range(begin, end - WINDOW_SECONDS + 1):
            found += self._too_little_from(second)
        return found

    def _too_little_from(self, second: int) -> list[TooLittle]:
        window = range(second, second + WINDOW_SECONDS)
        names = {name for one in window for name in self._seconds[one]}
        got = {
            name: self.begun_tokens(name, window[0], window[-1] + 1) for name in names
        }
        best = max(got.values(), default=0.0)
        found = []
        for name in sorted(names):
            rows = [self._seconds[one][name] for one in window]
            if not all(row.is_refused for row in rows):
                continue
            asked = sum(row.asked_tokens for row in rows)
            spare = LARGEST_REQUESTS * self._largest_tokens[name]
            if got[name] < FAIR_PART * min(asked, best) - spare:
                found.append(TooLittle(second, name, asked, got[name], best))
        return found


def make_share_ledger() -> ShareLedger:
    """Return a ledger in which nobody has asked for anything."""
    return ShareLedger()
