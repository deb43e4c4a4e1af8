"""Which part of each customer's requests is served when all ask for too much.

Each router tells what every customer asks of the engines there, on average, and how
long prompts wait. One replica adds that up. While prompts wait too long it lowers what
is served in all, and shares that out max-min: a customer that asks for less than an
even share gets all of it, the others the same amount each. Routers are told the part of
its requests that each of the latter gets, and reject the rest at once.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from sesameford.gateway.share_account import (
    Admission,
    ShareAccount,
    make_share_account,
)
from sesameford.gateway.token_rate import TokenRate
from sesameford.messages import AskedRow, ShareRow

# The capacity is what engines have begun to answer of late, a second. It is lowered by
# this part of itself for each second that prompts wait longer than they may, and
# raised in the same way, so that a backlog is worked off in about half a second.
PART_A_SECOND = 2.0
LOWEST_FACTOR = 0.5
HIGHEST_FACTOR = 1.4
# Nor is it taken as lower than this part of what is declared: after a start nothing has
# been begun yet.
LOWEST_PART = 0.25
# Before anybody declares a capacity, and while nothing has been asked.
FIRST_CAPACITY_TOKENS = 100_000.0
# A customer that asks for less on average has asked nothing for seconds.
LEAST_ASKED_TOKENS = 1.0
# Of a fraction that is told. With four a customer that asks for twenty thousand times
# its share would be told zero, and starve.
FRACTION_DIGITS = 6
# A route that got more than the others of its customer waits for its turn, but not for
# others that may never be asked for again: at most until half a request more is owed.
MOST_DEFERRED = 1.5


@dataclass(frozen=True, slots=True)
class _Told:
    """What one router told last; tokens are a second."""

    asked: Mapping[str, float]
    wait_seconds: float
    begun_tokens: float


@dataclass(slots=True)
class ShareBook:
    """What the replica that adds up knows.

    ``asked_tokens`` are tokens a second by customer; ``fractions`` are of those that
    don't get all. Routers tell averages and not totals, so a replica that begins to
    add up knows as much as the one before it as soon as it has heard all routers, and
    words that were held up and come together count once.
    """

    capacity_tokens: float = FIRST_CAPACITY_TOKENS
    wait_seconds: float = 0.0
    asked_tokens: dict[str, float] = field(default_factory=dict)
    fractions: dict[str, float] = field(default_factory=dict)
    _routers: dict[str, _Told] = field(default_factory=dict)

    def told(
        self,
        router_id: str,
        rows: Iterable[AskedRow],
        wait_seconds: float,
        begun_tokens: float,
    ) -> None:
        """Take what a router tells."""
        asked = {row.customer: row.tokens for row in rows}
        self._routers[router_id] = _Told(asked, wait_seconds, begun_tokens)

    def forget(self, router_id: str) -> None:
        """Drop a router that is not heard any more."""
        self._routers.pop(router_id, None)

    def tick(
        self,
        declared_tokens: float | None,
        wanted_wait_seconds: float,
    ) -> None:
        """Bring sums, capacity and fractions up to date.

        Args:
            declared_tokens: What all engines produce a second, None if not known.
            wanted_wait_seconds: How long prompts may wait on average.
        """
        self.asked_tokens = self._sum_of_asked()
        self.capacity_tokens = self._capacity(
            declared_tokens or FIRST_CAPACITY_TOKENS, wanted_wait_seconds
        )
        level = fair_level(self.asked_tokens, self.capacity_tokens)
        self.fractions = {
            customer: level / asked
            for customer, asked in self.asked_tokens.items()
            if asked > level
        }

    @property
    def routers(self) -> int:
        """How many routers it adds up."""
        return len(self._routers)

    def rows(self) -> tuple[ShareRow, ...]:
        """Return what routers are told: the customers that don't get all."""
        return tuple(
            ShareRow(customer, round(fraction, FRACTION_DIGITS))
            for customer, fraction in self.fractions.items()
        )

    def _sum_of_asked(self) -> dict[str, float]:
        sums: dict[str, float] = {}
        for router in self._routers.values():
            for customer, tokens in router.asked.items():
                sums[customer] = sums.get(customer, 0.0) + tokens
        return sums

    def _capacity(self, declared_tokens: float, wanted_wait_seconds: float) -> float:
        """Return what may be asked a second without making prompts wait too long."""
        routers = self._routers.values()
        waits = [router.wait_seconds for router in routers]
        self.wait_seconds = wait_seconds = sum(waits) / len(waits) if waits else 0.0
        factor = 1 + PART_A_SECOND * (wanted_wait_seconds - wait_seconds)
        factor = min(max(factor, LOWEST_FACTOR), HIGHEST_FACTOR)
        capacity = factor * sum(router.begun_tokens for router in routers)
        if wait_seconds > wanted_wait_seconds:
            return max(capacity, LOWEST_PART * declared_tokens)
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
class _Credit:
    """What a limited customer is owed at one router, in requests.

    ``by_route`` adds up to ``all_routes`` but for the part that it began with.
    """

    all_routes: float
    by_route: dict[str, float] = field(default_factory=dict)

    def earns(self, route_id: str, fraction: float) -> bool:
        """Count a request, and return whether it is among the part that is served."""
        self.all_routes += fraction
        owed = self.by_route.get(route_id, 0.0) + fraction
        self.by_route[route_id] = owed
        mean = sum(self.by_route.values()) / len(self.by_route)
        is_its_turn = owed >= mean or self.all_routes >= MOST_DEFERRED
        if self.all_routes < 1.0 or not is_its_turn:
            return False
        self.all_routes -= 1.0
        self.by_route[route_id] = owed - 1.0
        return True


@dataclass(slots=True)
class ShareGate:
    """Admission at one router by the fractions that it was told.

    A customer is often limited anew, at seventy routers of which each sees one of its
    requests a second. The credit from which a router begins is drawn at random, so
    that over all of them the part that is let in is the fraction told, however few
    requests come. Were it the same everywhere, all routers would refuse the same first
    requests: of six seconds of ninety requests each, a customer that was told 0.2 got
    0.002 to 0.185 by how often it was limited anew, now 0.18 to 0.20, and one that was
    told 0.5 got 0.59 to 0.90, now 0.47 to 0.49 (seventy gates, by the test of them).

    One credit for all routes of a customer follows the fraction more closely than one
    for each: over seventy routers the requests let in of sixty customers that are told
    the same differ by 0.09 of their mean in six seconds, and by 0.15 with a credit a
    route (standard deviations, engines in virtual time). No kind of request gives way
    to another all the same, since a route that got more waits for its turn.
    """

    random: Random
    begun: TokenRate = field(default_factory=TokenRate)
    fractions: dict[str, float] = field(default_factory=dict)
    account: ShareAccount = field(default_factory=make_share_account)
    _asked: dict[str, TokenRate] = field(default_factory=dict)
    _credits: dict[str, _Credit] = field(default_factory=dict)
    _most_odds: float = 1.0

    def admits(
        self,
        customer: str,
        route_id: str,
        tokens: int,
        has_room: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Count a request, and return whether it is served.

        Requests are counted by number, so that large ones are served as often as
        small ones.

        Args:
            customer: Whose request it is.
            route_id: Its route.
            tokens: What it costs.
            has_room: Asked of some requests of a customer over its share, whether an
                engine could begin at once. Nobody else would be served sooner by a
                rejection.
        """
        self._asked.setdefault(customer, TokenRate()).add(tokens)
        admission = self._admission(customer, route_id, has_room)
        self.account.asked(customer, tokens, admission)
        return admission is not Admission.REFUSED

    def began(self, customer: str, tokens: int) -> None:
        """Count a request whose answer an engine has begun."""
        self.begun.add(tokens)
        self.account.began(customer, tokens)

    def _admission(
        self, customer: str, route_id: str, has_room: Callable[[], bool]
    ) -> Admission:
        fraction = self.fractions.get(customer)
        if fraction is None:
            return Admission.NOT_LIMITED
        credit = self._credits.get(customer)
        if credit is None:
            credit = self._credits[customer] = _Credit(self.random.random())
        if credit.earns(route_id, fraction):
            return Admission.SHARE
        if self._may_have_more(fraction) and has_room():
            return Admission.ROOM
        return Admission.REFUSED

    def _may_have_more(self, fraction: float) -> bool:
        """Draw whether a request beyond its share is served if there is room.

        Room is given by one level, as shares are: to each limited customer as many
        tokens as to any other, at least as many as its share has. Were it given to
        whoever comes, the one that asks most would get most of it, without end: of two
        customers with one level the one got 3,632 thousand tokens by room in six
        seconds and the other 543, more than shares gave to either.
        """
        return self.random.random() * self._most_odds < _odds(fraction)

    def take(self, rows: Iterable[ShareRow]) -> None:
        """Take the present fractions; credit of who is not limited is dropped."""
        self.fractions = {row.customer: row.fraction for row in rows}
        self._most_odds = min(
            max(map(_odds, self.fractions.values()), default=1.0), 1.0
        )
        self._credits = {
            customer: credit
            for customer, credit in self._credits.items()
            if customer in self.fractions
        }

    def rows(self, now_seconds: float) -> tuple[AskedRow, ...]:
        """Return what customers ask here, as it is told."""
        rows = []
        for customer, rate in list(self._asked.items()):
            tokens = rate.tokens_per_second(now_seconds)
            if tokens >= LEAST_ASKED_TOKENS:
                rows.append(AskedRow(customer, round(tokens, 1)))
            elif not rate.has_news:
                del self._asked[customer]
        return tuple(rows)


def _odds(fraction: float) -> float:
    """Return what a customer is let in by its share for each request beyond it."""
    return fraction / (1.0 - fraction) if fraction < 1.0 else float("inf")


def make_share_book() -> ShareBook:
    """Return a book in which nobody has asked for anything."""
    return ShareBook()


def make_share_gate(random: Random) -> ShareGate:
    """Return a gate that admits everything until it is told otherwise.

    Args:
        random: Draws first credits, at each router others.
    """
    return ShareGate(random)
