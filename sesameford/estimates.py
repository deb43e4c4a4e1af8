"""Estimates of a request's cost, learned per customer and resource.

A caller's hint is only a prior: it may be wrong by several times, and a rival
would gain from hinting low. So a hint is scaled by how this customer's hints
have turned out, and mixed with the mean of what its requests did cost.
"""

from dataclasses import dataclass, replace

from sesameford.costs import estimate_cost
from sesameford.effective import EffectiveTree
from sesameford.tables import Request

_MEMORY_REQUESTS = 32.0
_PRIOR_REQUESTS = 4.0
_HINT_WEIGHT = 0.5
_HINT_RANGE = 16.0
_MAX_ROWS = 20_000


@dataclass(slots=True)
class _Learned:
    """A decaying mean of costs, and of costs over hints."""

    requests: float = 0.0
    cost_units: float = 0.0
    hint_ratio: float = 1.0


class Estimates:
    """What requests of each customer and resource turned out to cost."""

    def __init__(self) -> None:
        self._learned: dict[tuple[str, str], _Learned] = {}

    def estimate(self, request: Request, tree: EffectiveTree) -> float:
        """Return the cost units to charge a request at dispatch.

        Args:
            request: The request.
            tree: Its rates give the prior of a customer without history.

        Returns:
            Cost units, above zero.
        """
        row = self._learned.get((request.customer_id, request.resource))
        if row is None:
            return estimate_cost(tree, request)
        prior = estimate_cost(tree, replace(request, hint_cost_units=None))
        weight = row.requests / (row.requests + _PRIOR_REQUESTS)
        mean = weight * row.cost_units + (1.0 - weight) * prior
        hint = request.hint_cost_units
        if hint is None or hint <= 0.0:
            return max(mean, 1e-6)
        hinted = hint * row.hint_ratio
        hinted = min(max(hinted, mean / _HINT_RANGE), mean * _HINT_RANGE)
        return max((1.0 - _HINT_WEIGHT) * mean + _HINT_WEIGHT * hinted, 1e-6)

    def record_cost(self, request: Request, cost_units: float) -> None:
        """Take what a request did cost."""
        key = (request.customer_id, request.resource)
        row = self._learned.get(key)
        if row is None:
            if len(self._learned) >= _MAX_ROWS:
                del self._learned[next(iter(self._learned))]
            row = self._learned[key] = _Learned()
        row.requests = min(row.requests + 1.0, _MEMORY_REQUESTS)
        step = 1.0 / row.requests
        row.cost_units += step * (cost_units - row.cost_units)
        hint = request.hint_cost_units
        if hint is not None and hint > 0.0:
            ratio = min(max(cost_units / hint, 1.0 / _HINT_RANGE), _HINT_RANGE)
            row.hint_ratio += step * (ratio - row.hint_ratio)
