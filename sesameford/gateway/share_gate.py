"""Admission of requests at one router by the share that each customer is served."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from sesameford.gateway.due_rate import DueRate
from sesameford.gateway.share_account import (
    Admission,
    ShareAccount,
    make_share_account,
)
from sesameford.gateway.timeliness import Timeliness, make_timeliness
from sesameford.gateway.token_rate import TokenRate
from sesameford.load_messages import CustomerRates, ShareRow

# A customer with a lower average has requested nothing for seconds.
MIN_REPORTED_TOKENS = 1.0
# A route that got more than the customer's other routes is deferred in their favour,
# but not for routes that may never be requested again: at most until the customer's
# credit exceeds one request by another half.
MAX_DEFERRED_REQUESTS = 1.5
# Other checks may refuse requests that are within the share. Its customer may send so
# many others in their place, and not all at once after seconds without service.
MAX_CREDIT_REQUESTS = 2.5
# Averaging time of demands. Until a rising demand is known, its customer is served by
# its old share while all others wait behind that. Single large prompts move a short
# average, which evens out within the time that service is balanced over.
REQUESTED_AVERAGE_SECONDS = 0.4


@dataclass(slots=True)
class _ShareCredit:
    """The requests that a limited customer may still send at one router.

    ``by_route`` adds up to ``all_routes`` less the initial credit, and less that of
    requests that other checks refused.
    """

    all_routes: float
    by_route: dict[str, float] = field(default_factory=dict)

    def admit_by_share(self, route_id: str, fraction: float) -> bool:
        """Count a request, and return whether it is within the customer's share."""
        self.all_routes += fraction
        route_credit = self.by_route.get(route_id, 0.0) + fraction
        self.by_route[route_id] = route_credit
        mean = sum(self.by_route.values()) / len(self.by_route)
        is_its_turn = route_credit >= mean or self.all_routes >= MAX_DEFERRED_REQUESTS
        if self.all_routes < 1.0 or not is_its_turn:
            return False
        self.all_routes -= 1.0
        self.by_route[route_id] = route_credit - 1.0
        return True

    def add_refused(self, fraction: float) -> None:
        """Count a request that another check refused, for requests that follow."""
        self.all_routes = min(self.all_routes + fraction, MAX_CREDIT_REQUESTS)


@dataclass(slots=True)
class _Rates:
    """The tokens that one customer requests here, and what became of them.

    Engines should have started those that are ``due``, the admitted ones less those
    that are still expected to wait.
    """

    requested: TokenRate = field(
        default_factory=lambda: TokenRate(REQUESTED_AVERAGE_SECONDS)
    )
    started: TokenRate = field(default_factory=TokenRate)
    due: DueRate = field(default_factory=DueRate)

    @property
    def has_pending_tokens(self) -> bool:
        rates = (self.requested, self.started, self.due)
        return any(rate.has_pending_tokens for rate in rates)


@dataclass(slots=True)
class ShareGate:
    """Admission at one router by the fractions that it was sent.

    A customer may often change between limited and not limited, at seventy routers of
    which each sees one of its requests a second. The initial credit at a router is
    drawn at random, so that the part admitted by all routers together is the fraction
    sent, even with few requests. With the same initial credit everywhere, all routers
    would refuse the same first requests, and a customer that uses many routers would
    get next to nothing.

    One credit for all routes of a customer follows the fraction more closely than one
    for each route. Each route still gets its part, since a route that got more is
    deferred.
    """

    random: Random
    handled: TokenRate = field(default_factory=TokenRate)
    fractions: dict[str, float] = field(default_factory=dict)
    account: ShareAccount = field(default_factory=make_share_account)
    timeliness: Timeliness = field(default_factory=make_timeliness)
    _rates: dict[str, _Rates] = field(default_factory=dict)
    _credits: dict[str, _ShareCredit] = field(default_factory=dict)
    _max_admitted_ratio: float = 1.0

    def admits(
        self,
        customer: str,
        route_id: str,
        tokens: int,
        has_spare_capacity: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Count a request, and return whether it is served.

        Requests are counted by number, so that large ones are served as often as
        small ones.

        Args:
            customer: Whose request it is.
            route_id: Its route.
            tokens: What it costs.
            has_spare_capacity: Returns whether an engine could start at once. Called
                for some requests of a customer over its share: refusing those would
                serve no other customer sooner.
        """
        rates = self._rates.setdefault(customer, _Rates())
        rates.requested.add(tokens)
        admission = self._admission(customer, route_id, has_spare_capacity)
        self.account.record_request(customer, tokens, admission)
        if admission is Admission.REFUSED:
            return False
        rates.due.add(tokens)
        return True

    def record_refused_demand(
        self, customer: str, tokens: int, is_made_up_for: bool = True
    ) -> None:
        """Count a request that another check refuses before the share is asked.

        It counts as demand all the same: otherwise a customer whose requests are all
        refused during overload would never be limited, and never get a share. So the
        share is a part of these requests too, and others may be sent in their place.

        Args:
            customer: Whose request it is.
            tokens: What it would cost.
            is_made_up_for: Whether others may be. Not if nobody can be served now: all
                would be sent at once later.
        """
        self._rates.setdefault(customer, _Rates()).requested.add(tokens)
        self.account.record_request(customer, tokens, Admission.REFUSED)
        credit = self._credits.get(customer)
        if is_made_up_for and credit is not None:
            credit.add_refused(self.fractions.get(customer, 0.0))

    def record_start(self, customer: str, tokens: int) -> None:
        """Count a request whose answer an engine has started."""
        self.handled.add(tokens)
        self._rates.setdefault(customer, _Rates()).started.add(tokens)
        self.account.record_start(customer, tokens)

    def record_failure(self, tokens: int) -> None:
        """Count a request that an engine accepted and failed before its answer."""
        self.handled.add(tokens)

    def record_lost(self, customer: str, reason: str, tokens: int) -> None:
        """Count for the log an admitted request that ended before an engine started it.

        Args:
            customer: Whose request it was.
            reason: A short, stable code of how it ended.
            tokens: What it would have cost.
        """
        self.account.lost.add(customer, reason, tokens)

    def _admission(
        self, customer: str, route_id: str, has_spare_capacity: Callable[[], bool]
    ) -> Admission:
        fraction = self.fractions.get(customer)
        if fraction is None:
            return Admission.NOT_LIMITED
        if fraction >= 1.0:
            return Admission.SHARE
        credit = self._credits.get(customer)
        if credit is None:
            credit = self._credits[customer] = _ShareCredit(self.random.random())
        if credit.admit_by_share(route_id, fraction):
            return Admission.SHARE
        if self._may_exceed_share(fraction) and has_spare_capacity():
            return Admission.SPARE_CAPACITY
        return Admission.REFUSED

    def _may_exceed_share(self, fraction: float) -> bool:
        """Draw whether a request beyond its share is served from spare capacity.

        Spare capacity is divided by one level, like shares: each limited customer gets
        as many tokens as any other, at least as many as its share has. If it went to
        requests as they arrive, the customer that requests most would get most of it,
        without limit.
        """
        return self.random.random() * self._max_admitted_ratio < _admitted_ratio(
            fraction
        )

    def set_fractions(self, rows: Iterable[ShareRow]) -> None:
        """Set the present fractions; drop the credit of customers without a limit."""
        self.fractions = {row.customer: row.fraction for row in rows}
        self._max_admitted_ratio = min(
            max(map(_admitted_ratio, self.fractions.values()), default=1.0), 1.0
        )
        self._credits = {
            customer: credit
            for customer, credit in self._credits.items()
            if customer in self.fractions
        }

    def rows(
        self, now_seconds: float, wait_seconds: float = 0.0
    ) -> tuple[CustomerRates, ...]:
        """Return the rates that this router reports for each customer.

        Args:
            now_seconds: The present time.
            wait_seconds: How long admitted requests wait for an engine at present.
        """
        rows = []
        for customer, rates in list(self._rates.items()):
            requested_tokens = rates.requested.tokens_per_second(now_seconds)
            started_tokens = rates.started.tokens_per_second(now_seconds)
            due_tokens = rates.due.tokens_per_second(now_seconds, wait_seconds)
            lost_tokens = due_tokens - started_tokens
            figures = (requested_tokens, started_tokens, lost_tokens)
            if max(figures) >= MIN_REPORTED_TOKENS:
                rows.append(CustomerRates(customer, *map(round, figures)))
            elif not rates.has_pending_tokens:
                del self._rates[customer]
        return tuple(rows)


def _admitted_ratio(fraction: float) -> float:
    """Return the requests admitted by share for each request beyond the share."""
    return fraction / (1.0 - fraction) if fraction < 1.0 else float("inf")


def make_share_gate(random: Random) -> ShareGate:
    """Return a gate that admits everything until it is sent shares.

    Args:
        random: Draws initial credits, different ones at each router.
    """
    return ShareGate(random)
