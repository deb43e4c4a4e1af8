"""Which part of each customer's requests is served when all ask for too much.

One replica adds up what every customer asks of the engines over all routers, and how
long prompts wait. While they wait too long it lowers what is served in all, and
shares that out max-min: a customer that asks for less than an even share gets all of
it, the others the same amount each. Routers are told the part of its requests that
each of the latter gets, and reject the rest at once.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from sesameford.messages import AskedRow, ShareRow

# The time over which what a customer asks is averaged. Shorter follows single large
# prompts, longer serves the first seconds of a flood too late.
AVERAGE_SECONDS = 0.8
# The capacity is what engines have begun to answer of late, a second. It is lowered by
# this part of itself for each second that prompts wait longer than they may, and
# raised in the same way, so that a backlog is worked off in about half a second.
PART_A_SECOND = 2.0
LOWEST_FACTOR = 0.5
HIGHEST_FACTOR = 1.4
# Before anybody declares a capacity, and while nothing has been asked.
FIRST_CAPACITY_TOKENS = 100_000.0
# A customer whose average has fallen below this has asked nothing for seconds.
LEAST_ASKED_TOKENS = 1.0
# A customer with few requests at each router must not be refused its first everywhere.
FIRST_CREDIT = 0.5


@dataclass(slots=True)
class ShareBook:
    """The averages at the replica that adds up.

    ``asked_tokens`` are tokens a second by customer; ``fractions`` are of those that
    don't get all.
    """

    capacity_tokens: float = FIRST_CAPACITY_TOKENS
    asked_tokens: dict[str, float] = field(default_factory=dict)
    fractions: dict[str, float] = field(default_factory=dict)
    _totals: dict[str, dict[str, int]] = field(default_factory=dict)
    _new: dict[str, int] = field(default_factory=dict)
    _waits: dict[str, float] = field(default_factory=dict)
    _begun: dict[str, int] = field(default_factory=dict)
    _new_begun: int = 0
    _begun_tokens: float = 0.0
    _ticked_at_seconds: float | None = None

    def told(
        self,
        router_id: str,
        rows: Iterable[AskedRow],
        wait_seconds: float,
        begun_tokens: int,
    ) -> None:
        """Take a router's totals and how long prompts wait as it sees it."""
        self._waits[router_id] = wait_seconds
        before = self._totals.get(router_id)
        begun_before = self._begun.get(router_id, begun_tokens)
        self._new_begun += max(begun_tokens - begun_before, 0)
        self._begun[router_id] = begun_tokens
        totals = {row.customer: row.tokens for row in rows}
        self._totals[router_id] = totals
        if before is None:
            # What it was asked before it was heard here is past.
            return
        for customer, total in totals.items():
            more = total - before.get(customer, 0)
            if more > 0:
                self._new[customer] = self._new.get(customer, 0) + more

    def forget(self, router_id: str) -> None:
        """Drop a router that is not heard any more."""
        self._totals.pop(router_id, None)
        self._waits.pop(router_id, None)
        self._begun.pop(router_id, None)

    def tick(
        self,
        declared_tokens: float | None,
        wanted_wait_seconds: float,
        now_seconds: float,
    ) -> None:
        """Bring averages, capacity and fractions up to date.

        Args:
            declared_tokens: What all engines produce a second, None if not known.
            wanted_wait_seconds: How long prompts may wait on average.
            now_seconds: The present time.
        """
        since_seconds = now_seconds - (self._ticked_at_seconds or now_seconds)
        self._ticked_at_seconds = now_seconds
        if since_seconds <= 0.0:
            return
        self._average(since_seconds)
        self.capacity_tokens = self._capacity(
            declared_tokens or FIRST_CAPACITY_TOKENS, wanted_wait_seconds
        )
        level = fair_level(self.asked_tokens, self.capacity_tokens)
        self.fractions = {
            customer: level / asked
            for customer, asked in self.asked_tokens.items()
            if asked > level
        }

    def rows(self) -> tuple[ShareRow, ...]:
        """Return what routers are told: the customers that don't get all."""
        return tuple(
            ShareRow(customer, round(fraction, 4))
            for customer, fraction in self.fractions.items()
        )

    def _average(self, since_seconds: float) -> None:
        part = min(since_seconds / AVERAGE_SECONDS, 1.0)
        new, self._new = self._new, {}
        for customer in {*self.asked_tokens, *new}:
            average = self.asked_tokens.get(customer, 0.0)
            average += part * (new.get(customer, 0) / since_seconds - average)
            if average < LEAST_ASKED_TOKENS:
                self.asked_tokens.pop(customer, None)
            else:
                self.asked_tokens[customer] = average
        begun, self._new_begun = self._new_begun, 0
        self._begun_tokens += part * (begun / since_seconds - self._begun_tokens)

    def _capacity(self, declared_tokens: float, wanted_wait_seconds: float) -> float:
        """Return what may be asked a second without making prompts wait too long."""
        waits = self._waits.values()
        wait_seconds = sum(waits) / len(waits) if waits else 0.0
        factor = 1 + PART_A_SECOND * (wanted_wait_seconds - wait_seconds)
        factor = min(max(factor, LOWEST_FACTOR), HIGHEST_FACTOR)
        capacity = factor * self._begun_tokens
        if wait_seconds > wanted_wait_seconds:
            return capacity
        # Nobody waits too long: what is declared can be served in any case.
        return max(capacity, declared_tokens)


def fair_level(asked: Mapping[str, float], capacity: float) -> float:
    """Return the most that each customer gets, so that all get the capacity in sum.

    Args:
        asked: What each customer asks.
        capacity: What there is for all.

    Returns:
        The level; infinite where there is enough for everybody.
    """
    left = capacity
    amounts = sorted(asked.values())
    for position, amount in enumerate(amounts):
        share = left / (len(amounts) - position)
        if amount > share:
            return share
        left -= amount
    return float("inf")


@dataclass(slots=True)
class ShareGate:
    """Admission at one router by the fractions that it was told."""

    asked: dict[str, int] = field(default_factory=dict)
    begun_tokens: int = 0
    fractions: dict[str, float] = field(default_factory=dict)
    _credit: dict[tuple[str, str], float] = field(default_factory=dict)

    def admits(
        self,
        customer: str,
        route_id: str,
        tokens: int,
        has_room: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Count a request, and return whether it is served.

        Requests are counted by number and by route, so that large ones are served as
        often as small ones, and no kind of request gives way to another.

        Args:
            customer: Whose request it is.
            route_id: Its route.
            tokens: What it costs.
            has_room: Asked for a customer over its share, whether an engine could
                begin at once. Nobody else would be served sooner by a rejection.
        """
        self.asked[customer] = self.asked.get(customer, 0) + tokens
        fraction = self.fractions.get(customer)
        if fraction is None or has_room():
            return True
        key = (customer, route_id)
        credit = self._credit.get(key, FIRST_CREDIT) + fraction
        admitted = credit >= 1.0
        self._credit[key] = credit - 1.0 if admitted else credit
        return admitted

    def take(self, rows: Iterable[ShareRow]) -> None:
        """Take the present fractions; credit of former ones is dropped."""
        self.fractions = {row.customer: row.fraction for row in rows}
        self._credit = {
            key: credit
            for key, credit in self._credit.items()
            if key[0] in self.fractions
        }

    def rows(self) -> tuple[AskedRow, ...]:
        """Return the totals that this router tells."""
        return tuple(
            AskedRow(customer, tokens) for customer, tokens in self.asked.items()
        )


def make_share_book() -> ShareBook:
    """Return a book in which nobody has asked for anything."""
    return ShareBook()


def make_share_gate() -> ShareGate:
    """Return a gate that admits everything until it is told otherwise."""
    return ShareGate()
