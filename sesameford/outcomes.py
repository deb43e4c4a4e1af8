"""What one router keeps so that every caller hears a true outcome."""

from collections.abc import Callable, Sequence

from sesameford.deaths import Death, OnTargets
from sesameford.effective import EffectiveTree, FleetSettings
from sesameford.keyed import KeyedRequests
from sesameford.messages import Outgoing, SuspectUpdate
from sesameford.retries import RetryBudget, make_backoff
from sesameford.suspects import Suspects, SuspectTreatment, name_death
from sesameford.target_exclusion import TargetExclusion


class Outcomes:
    """The state behind outcomes, and what other routers are told of it.

    Args:
        seed: For the jitter of the backoff.
        send: Sends to other instances.
    """

    def __init__(self, seed: int, send: Callable[[Outgoing], None]) -> None:
        fleet = FleetSettings()
        self.budget = RetryBudget(fleet.retry_budget_fraction)
        self.backoff_seconds = make_backoff(seed)
        self.suspects = Suspects(fleet.quarantine_seconds)
        self.on_targets = OnTargets()
        self.target_exclusion = TargetExclusion()
        self.keyed: KeyedRequests | None = None
        self.open_requests = 0
        self.target_deaths = 0
        self.resumes = 0
        self.silences = 0
        self._send = send
        self._instances: frozenset[tuple[str, int]] = frozenset()

    @property
    def unreported(self) -> int:
        """Return how many claims the log has not yet heard the end of."""
        return self.keyed.unsettled if self.keyed is not None else 0

    def configure(self, tree: EffectiveTree) -> None:
        """Take a tree into force."""
        self.budget.configure(tree.fleet.retry_budget_fraction)
        lifted = [bytes.fromhex(digest) for digest in tree.fleet.lifted_digests]
        self.suspects.configure(tree.fleet.quarantine_seconds, lifted)

    def standing(self, body_digest: bytes, now_seconds: float) -> SuspectTreatment:
        """Return how a request with this body is to be treated now."""
        return self.suspects.standing(body_digest, now_seconds)

    def target_died(self, target_id: str, incarnation: int, now_seconds: float) -> None:
        """Take a death that a refused fresh connection shows."""
        self._take_deaths([self.on_targets.died(target_id, incarnation)], now_seconds)

    def target_replaced(
        self, target_id: str, incarnation: int, now_seconds: float
    ) -> None:
        """Take the deaths that the announcement of a new incarnation shows."""
        deaths = self.on_targets.replaced(target_id, incarnation)
        self._take_deaths(deaths, now_seconds)

    def received(self, news: SuspectUpdate, now_seconds: float) -> None:
        """Take another router's news of a suspect."""
        self.suspects.received(news, now_seconds)

    def tick(self, instances: frozenset[tuple[str, int]], now_seconds: float) -> None:
        """Tell other routers what they may not know; forget what is old.

        Args:
            instances: Ids and incarnations of the other live instances.
            now_seconds: The present time.
        """
        # A router that was cut off or restarts empty has missed what was said.
        if instances - self._instances:
            self.suspects.repeat_all()
        self._instances = instances
        self.on_targets.tick(now_seconds)
        self.suspects.tick(now_seconds)
        self.tell(now_seconds)

    def tell(self, now_seconds: float) -> None:
        """Send the news of suspects that is due."""
        for news in self.suspects.news(now_seconds):
            self._send(Outgoing(None, news, urgent=True))

    def _take_deaths(self, deaths: Sequence[Death], now_seconds: float) -> None:
        for death in deaths:
            if not death.body_digests:
                continue
            self.target_deaths += 1
            name = name_death(death.target_id, death.incarnation)
            self.suspects.died(name, death.body_digests, now_seconds)
        # At once, for the caller may send the same again through another router.
        self.tell(now_seconds)


def make_outcomes() -> Outcomes:
    """Return the state of a router without peers."""
    return Outcomes(seed=1, send=lambda outgoing: None)
