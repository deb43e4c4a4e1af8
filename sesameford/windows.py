"""Windows: how many requests a target runs at once, adapted from completions.

A target admits every request and has no priorities, so requests that it can't serve
at once must wait in the routers, where the order is fair. The window starts with the
announced slots. If requests take much longer per cost unit than in the best case, the
target queues requests internally: it serves less than it announces, or both sides of
a network split fill it. Its load reports show this too late, completions at once.
"""

from dataclasses import dataclass, replace

_SLOW_RATIO = 2.0
_FAST_RATIO = 1.5
_SHRINK_FACTOR = 0.85
_MIN_SLOTS_FRACTION = 0.5
_BEST_DRIFT_FACTOR = 1.02
_COMPLETIONS_PER_SLOT = 1.0
_MIN_COMPLETIONS = 8
# Completions of large requests are rare and reported in batches. After this time,
# slow completions from a network split no longer describe the target.
_REGROW_INTERVAL_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class CompletionTotals:
    """Completions on a target, as totals or as a difference of totals."""

    completions: int = 0
    cost_units: float = 0.0
    busy_seconds: float = 0.0

    def plus(self, other: "CompletionTotals") -> "CompletionTotals":
        """Return the sum."""
        return CompletionTotals(
            self.completions + other.completions,
            self.cost_units + other.cost_units,
            self.busy_seconds + other.busy_seconds,
        )

    def minus(self, other: "CompletionTotals") -> "CompletionTotals":
        """Return the difference."""
        return CompletionTotals(
            self.completions - other.completions,
            self.cost_units - other.cost_units,
            self.busy_seconds - other.busy_seconds,
        )


@dataclass(frozen=True, slots=True)
class Window:
    """A target's window and the completions since it was last adapted.

    ``best_seconds_per_unit`` increases slowly, so that the window of a target that
    became permanently slower does not stay small forever.
    """

    slots: int
    announced_slots: int
    best_seconds_per_unit: float | None = None
    since: CompletionTotals = CompletionTotals()
    adapted_at_seconds: float = float("-inf")


def make_window(announced_slots: int) -> Window:
    """Return the initial window of a target."""
    return Window(announced_slots, announced_slots)


def adapt_window(window: Window, added: CompletionTotals, now_seconds: float) -> Window:
    """Return the window adapted to new completions.

    Args:
        window: The previous window.
        added: Completions since the last call.
        now_seconds: The present time.

    Returns:
        A window between half of the announced slots and all of them.
    """
    since = window.since.plus(added)
    min_completions = max(_MIN_COMPLETIONS, _COMPLETIONS_PER_SLOT * window.slots)
    if since.completions < min_completions or since.cost_units <= 0.0:
        return replace(window, since=since)
    seconds_per_cost_unit = since.busy_seconds / since.cost_units
    best = window.best_seconds_per_unit
    best = (
        seconds_per_cost_unit
        if best is None
        else min(best * _BEST_DRIFT_FACTOR, seconds_per_cost_unit)
    )
    slots = window.slots
    min_slots = max(1, round(window.announced_slots * _MIN_SLOTS_FRACTION))
    if seconds_per_cost_unit > _SLOW_RATIO * best:
        slots = max(min_slots, int(slots * _SHRINK_FACTOR))
    elif seconds_per_cost_unit < _FAST_RATIO * best:
        slots = min(window.announced_slots, slots + 1)
    return Window(slots, window.announced_slots, best, CompletionTotals(), now_seconds)


def regrow_window(window: Window, now_seconds: float) -> Window:
    """Return the window with one more slot if it was not adapted for some time.

    Without this, the window of a target with long or few requests would stay small
    while customers wait.

    Args:
        window: The previous window.
        now_seconds: The present time.
    """
    is_small = window.slots < window.announced_slots
    if (
        not is_small
        or now_seconds - window.adapted_at_seconds < _REGROW_INTERVAL_SECONDS
    ):
        return window
    return replace(window, slots=window.slots + 1, adapted_at_seconds=now_seconds)
