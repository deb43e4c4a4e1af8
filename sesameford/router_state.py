"""The tables of a router's scheduler."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameford.account_virtual_times import AccountVirtualTimes
from sesameford.accounts import OwnTotals
from sesameford.attempts import Attempts
from sesameford.effective import EffectiveTree
from sesameford.limits import Limits
from sesameford.links import ReportLink
from sesameford.queues import Queues
from sesameford.tables import Target
from sesameford.windows import CompletionTotals


@dataclass(slots=True)
class RouterState:
    """A router's queues, running attempts and service, and its view of the fleet."""

    tree: EffectiveTree = field(default_factory=EffectiveTree)
    targets: Mapping[str, Target] = field(default_factory=dict)
    pool_of: Mapping[str, str] = field(default_factory=dict)
    queues: Queues = field(default_factory=Queues)
    limits: Limits = field(default_factory=Limits)
    attempts: Attempts = field(default_factory=Attempts)
    virtual_times: AccountVirtualTimes = field(default_factory=AccountVirtualTimes)
    totals: OwnTotals = field(default_factory=OwnTotals)
    completion_totals: dict[str, CompletionTotals] = field(default_factory=dict)
    reported_demand_rates: dict[str, float] = field(default_factory=dict)

    def pool_of_target(self, target_id: str) -> str | None:
        """Return the pool that a target belongs to."""
        target = self.targets.get(target_id)
        return self.pool_of.get(target.serves[0]) if target and target.serves else None

    def free_slots(self, link: ReportLink, now_seconds: float) -> dict[str, int]:
        """Return the number of held slots without an attempt, by target."""
        if not link.has_valid_lease(now_seconds):
            return {}
        free = {}
        for target_id, slots in link.holdings.items():
            left = slots - self.attempts.by_target.get(target_id, 0)
            if left > 0 and target_id in self.targets:
                free[target_id] = left
        return free
