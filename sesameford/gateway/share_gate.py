"""Admission at one router, by the parts of their requests that customers are served."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from sesameford.gateway.share_account import (
    Admission,
    ShareAccount,
    make_share_account,
)
from sesameford.gateway.timeliness import Timeliness, make_timeliness
from sesameford.gateway.token_rate import TokenRate
from sesameford.load_messages import CustomerRates, ShareRow

# A customer that asks for less on average has asked nothing for seconds.
LEAST_TOKENS = 1.0
# A route that got more than the others of its customer waits for its turn, but not for
# others that may never be asked for again: at most until half a request more is owed.
MOST_DEFERRED = 1.5
# Demands are averaged over so long. Until a demand that rises is known, its customer is
# served by its old share while all others wait behind that. Single large prompts move
# a short average, which evens out within the time that service is balanced over.
ASKED_AVERAGE_SECONDS = 0.4


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
class _Rates:
    """What one customer asks here, and what engines have begun for it."""

    asked: TokenRate = field(default_factory=lambda: TokenRate(ASKED_AVERAGE_SECONDS))
    begun: TokenRate = field(default_factory=TokenRate)

    @property
    def has_news(self) -> bool:
        return self.asked.has_news or self.begun.has_news


@dataclass(slots=True)
class ShareGate:
    """Admission at one router by the fractions that it was sent.

    A customer is often limited anew, at seventy routers of which each sees one of its
    requests a second. The credit from which a router begins is drawn at random, so
    that over all of them the part that is let in is the fraction sent, however few
    requests come. Were it the same everywhere, all routers would refuse the same first
    requests, and a customer of many routers would get next to nothing.

    One credit for all routes of a customer follows the fraction more closely than one
    for each. No kind of request gives way to another all the same, since a route that
    got more waits for its turn.
    """

    random: Random
    handled: TokenRate = field(default_factory=TokenRate)
    fractions: dict[str, float] = field(default_factory=dict)
    account: ShareAccount = field(default_factory=make_share_account)
    timeliness: Timeliness = field(default_factory=make_timeliness)
    _rates: dict[str, _Rates] = field(default_factory=dict)
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
        self._rates.setdefault(customer, _Rates()).asked.add(tokens)
        admission = self._admission(customer, route_id, has_room)
        self.account.record_request(customer, tokens, admission)
        return admission is not Admission.REFUSED

    def record_rejection(self, customer: str, tokens: int) -> None:
        """Count a request of a customer without a limit that is turned away.

        It is asked for all the same: counted as nothing, a flood that is turned away
        would never be limited, and never get a share.
        """
        self._rates.setdefault(customer, _Rates()).asked.add(tokens)
        self.account.record_request(customer, tokens, Admission.REFUSED)

    def record_start(self, customer: str, tokens: int) -> None:
        """Count a request whose answer an engine has begun."""
        self.handled.add(tokens)
        self._rates.setdefault(customer, _Rates()).begun.add(tokens)
        self.account.record_start(customer, tokens)

    def record_failure(self, tokens: int) -> None:
        """Count a request that an engine took and failed before its answer began."""
        self.handled.add(tokens)

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
        whoever comes, the one that asks most would get most of it, without end.
        """
        return self.random.random() * self._most_odds < _odds(fraction)

    def set_fractions(self, rows: Iterable[ShareRow]) -> None:
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

    def rows(self, now_seconds: float) -> tuple[CustomerRates, ...]:
        """Return what customers ask here and are served, as it is reported."""
        rows = []
        for customer, rates in list(self._rates.items()):
            asked_tokens = rates.asked.tokens_per_second(now_seconds)
            begun_tokens = rates.begun.tokens_per_second(now_seconds)
            if max(asked_tokens, begun_tokens) >= LEAST_TOKENS:
                row = CustomerRates(customer, round(asked_tokens), round(begun_tokens))
                rows.append(row)
            elif not rates.has_news:
                del self._rates[customer]
        return tuple(rows)


def _odds(fraction: float) -> float:
    """Return what a customer is let in by its share for each request beyond it."""
    return fraction / (1.0 - fraction) if fraction < 1.0 else float("inf")


def make_share_gate(random: Random) -> ShareGate:
    """Return a gate that admits everything until it is sent shares.

    Args:
        random: Draws first credits, at each router others.
    """
    return ShareGate(random)
