"""Accounts: cumulative counters per origin that tolerate an unreliable network.

An origin is an instance in one term of reporting. It reports totals under a
sequence number that only grows, and the report with the largest number counts. Lost,
duplicated and reordered reports are therefore harmless: the next report contains
what a lost one would have added, and an old or duplicated one changes nothing.
"""

from dataclasses import dataclass

Account = tuple[str, str]
"""A pool and a customer."""


@dataclass(frozen=True, slots=True)
class OriginTerm:
    """One term of one incarnation of an origin; a newer one replaces an older one."""

    incarnation: int
    term: int

    def is_newer_than(self, other: "OriginTerm") -> bool:
        """Return whether this term started after the other one."""
        return (self.incarnation, self.term) > (other.incarnation, other.term)


class OriginTotals:
    """The latest total received from each origin for each account."""

    def __init__(self) -> None:
        self._terms: dict[str, OriginTerm] = {}
        self._totals: dict[str, dict[Account, float]] = {}

    def open_term(self, origin: str, term: OriginTerm) -> bool:
        """Accept a term of an origin.

        A restarted origin counts from zero under a new incarnation. Its old
        counters are dropped, because the virtual times already include them. Only
        service that it had not reported is lost.

        Args:
            origin: The reporting instance.
            term: The term of its report.

        Returns:
            False for a term older than the current one; its rows must be ignored.
        """
        current = self._terms.get(origin)
        if current is not None and current.is_newer_than(term):
            return False
        if current is None or term.is_newer_than(current):
            self._terms[origin] = term
            self._totals[origin] = {}
        return True

    def merge_total(self, origin: str, account: Account, total: float) -> float:
        """Record a total of the latest report and return what it adds.

        Args:
            origin: An origin whose term was opened.
            account: The pool and customer.
            total: Cost units since the origin's term started. It can be smaller
                than before, where a running request's estimate was too high.

        Returns:
            Cost units that were not counted before, negative for a correction.
        """
        totals = self._totals[origin]
        added = total - totals.get(account, 0.0)
        totals[account] = total
        return added

    def total(self, origin: str, account: Account) -> float:
        """Return the cost units counted for an origin's service to an account."""
        return self._totals.get(origin, {}).get(account, 0.0)

    def drop_totals(self, origin: str) -> None:
        """Drop an origin's counters, but keep its term to reject late reports."""
        if origin in self._totals:
            self._totals[origin] = {}


class OwnTotals:
    """An instance's own counters since its process started."""

    def __init__(self) -> None:
        self._totals: dict[Account, float] = {}

    def add(self, account: Account, cost_units: float) -> None:
        """Count service; negative cost units correct an estimate that was too high."""
        self._totals[account] = self._totals.get(account, 0.0) + cost_units

    def total(self, account: Account) -> float:
        """Return the total since the process started."""
        return self._totals.get(account, 0.0)

    def totals_by_account(self) -> dict[Account, float]:
        """Return all totals; the caller must not change them."""
        return self._totals
