"""Estimates of a request's cost, learned per customer and resource.

A caller's hint is only a prior: it may be wrong by several times, and a customer
could gain an advantage over others by low hints. A hint is therefore scaled by the
ratio of actual costs to this customer's earlier hints, and averaged with the mean
cost of its requests.
"""

from dataclasses import dataclass, replace

from sesameford.costs import MIN_COST_UNITS, estimate_cost
from sesameford.effective import EffectiveTree
from sesameford.tables import Request

_MEAN_WINDOW_REQUESTS = 32.0
_PRIOR_WEIGHT_REQUESTS = 4.0
_HINT_WEIGHT = 0.5
_MAX_HINT_FACTOR = 16.0
_MAX_HISTORIES = 20_000


@dataclass(slots=True)
class _CostHistory:
    """Decaying means of costs, and of the ratio of cost to hint."""

    requests: float = 0.0
    cost_units: float = 0.0
    hint_ratio: float = 1.0


class Estimates:
    """Cost histories of requests by customer and resource."""

    def __init__(self) -> None:
        self._histories: dict[tuple[str, str], _CostHistory] = {}

    def estimate(self, request: Request, tree: EffectiveTree) -> float:
        """Return the cost units to charge a request at dispatch.

        Args:
            request: The request.
            tree: Tree whose rates give the estimate for a customer without history.

        Returns:
            Cost units, above zero.
        """
        row = self._histories.get((request.customer_id, request.resource))
        if row is None:
            return estimate_cost(tree, request)
        prior = estimate_cost(tree, replace(request, hint_cost_units=None))
        weight = row.requests / (row.requests + _PRIOR_WEIGHT_REQUESTS)
        mean = weight * row.cost_units + (1.0 - weight) * prior
        hint = request.hint_cost_units
        if hint is None or hint <= 0.0:
            return max(mean, MIN_COST_UNITS)
        hinted = hint * row.hint_ratio
        hinted = min(max(hinted, mean / _MAX_HINT_FACTOR), mean * _MAX_HINT_FACTOR)
        estimate = (1.0 - _HINT_WEIGHT) * mean + _HINT_WEIGHT * hinted
        return max(estimate, MIN_COST_UNITS)

    def record_cost(self, request: Request, cost_units: float) -> None:
        """Record the actual cost of a request."""
        key = (request.customer_id, request.resource)
        row = self._histories.get(key)
        if row is None:
            if len(self._histories) >= _MAX_HISTORIES:
                del self._histories[next(iter(self._histories))]
            row = self._histories[key] = _CostHistory()
        row.requests = min(row.requests + 1.0, _MEAN_WINDOW_REQUESTS)
        step = 1.0 / row.requests
        row.cost_units += step * (cost_units - row.cost_units)
        hint = request.hint_cost_units
        if hint is not None and hint > 0.0:
            ratio = min(
                max(cost_units / hint, 1.0 / _MAX_HINT_FACTOR), _MAX_HINT_FACTOR
            )
            row.hint_ratio += step * (ratio - row.hint_ratio)
