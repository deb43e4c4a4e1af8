"""Accounts: cumulative counters per origin that survive a bad network.

An origin is an instance in one term of reporting. It reports totals under a
sequence number that only grows, and the report with the largest number holds. So
lost, doubled and reordered reports are harmless: a lost one is made good by the
next, an old or doubled one changes nothing.
"""

from dataclasses import dataclass

Account = tuple[str, str]
"""A pool and a customer."""


@dataclass(frozen=True, slots=True)
class OriginTerm:
    """One term of one incarnation of an origin; the larger one replaces."""

    incarnation: int
    term: int

    def is_newer_than(self, other: "OriginTerm") -> bool:
        """Return whether this one began after the other."""
        return (self.incarnation, self.term) > (other.incarnation, other.term)


class OriginTotals:
    """The largest total heard from each origin for each account."""

    def __init__(self) -> None:
        self._terms: dict[str, OriginTerm] = {}
        self._totals: dict[str, dict[Account, float]] = {}

    def open_term(self, origin: str, term: OriginTerm) -> bool:
        """Accept a term of an origin.

        A restarted origin counts from zero under a new incarnation. Its old
        counters are dropped, because what they counted is already in the
        virtual times: only what it had not reported is lost.

        Args:
            origin: The reporting instance.
            term: What its report says.

        Returns:
            False for a term from the past, whose rows must be ignored.
        """
        current = self._terms.get(origin)
        if current is not None and current.is_newer_than(term):
            return False
        if current is None or term.is_newer_than(current):
            self._terms[origin] = term
            self._totals[origin] = {}
        return True

    def merge_total(self, origin: str, account: Account, total: float) -> float:
        """Take a total of the latest report and return what it adds.

        Args:
            origin: An origin whose term was opened.
            account: The pool and customer.
            total: Cost units since the origin's term began. It can be smaller
                than before, where a running request's estimate was too high.

        Returns:
            Cost units that were not counted before, negative for a correction.
        """
        totals = self._totals[origin]
        added = total - totals.get(account, 0.0)
        totals[account] = total
        return added

    def total(self, origin: str, account: Account) -> float:
        """Return what is counted of an origin's service to an account."""
        return self._totals.get(origin, {}).get(account, 0.0)

    def drop_totals(self, origin: str) -> None:
        """Drop an origin's counters, keeping its term as a bar to late reports."""
        if origin in self._totals:
            self._totals[origin] = {}


class OwnTotals:
    """An instance's own counters since its process started."""

    def __init__(self) -> None:
        self._totals: dict[Account, float] = {}

    def add(self, account: Account, cost_units: float) -> None:
        """Count service, or take back an estimate that was too high."""
        self._totals[account] = self._totals.get(account, 0.0) + cost_units

    def total(self, account: Account) -> float:
        """Return the total since the process started."""
        return self._totals.get(account, 0.0)

    def totals_by_account(self) -> dict[Account, float]:
        """Return all totals; the caller must not change them."""
        return self._totals
