"""Windows: how many requests a target is given at once, adapted from completions.

A target admits what comes and knows no priorities, so what it can't serve at once
must wait in the routers, where the order is fair. Its announced slots are the
start. Where requests take much longer per cost unit than they did at best, the
target queues inside: it serves less than it says, or two sides of a split fill it.
Its load reports lag and would say so too late; completions say it at once.
"""

from dataclasses import dataclass, replace

_SLOW_RATIO = 2.0
_GOOD_RATIO = 1.5
_SHRINK_FACTOR = 0.85
_LEAST_FRACTION = 0.5
_BEST_DRIFT = 1.02
_COMPLETIONS_PER_SLOT = 1.0
_LEAST_COMPLETIONS = 8
# Completions of large requests are rare, and told together. What was slow while two
# sides of a split filled a target says nothing of it so long after.
_STALE_SECONDS = 4.0


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
    """A target's window and what it was adapted from.

    ``best_seconds_per_unit`` drifts up slowly, so that a target that became
    slower for good is not kept small for ever.
    """

    slots: int
    announced_slots: int
    best_seconds_per_unit: float | None = None
    since: CompletionTotals = CompletionTotals()
    adapted_at_seconds: float = float("-inf")


def make_window(announced_slots: int) -> Window:
    """Return the window of a target that nothing is known of."""
    return Window(announced_slots, announced_slots)


def adapt_window(window: Window, added: CompletionTotals, now_seconds: float) -> Window:
    """Take completions and return the window to use from now on.

    Args:
        window: The window so far.
        added: Completions since the last call.
        now_seconds: The present time.

    Returns:
        A window between half of the announced slots and all of them.
    """
    since = window.since.plus(added)
    enough = max(_LEAST_COMPLETIONS, _COMPLETIONS_PER_SLOT * window.slots)
    if since.completions < enough or since.cost_units <= 0.0:
        return replace(window, since=since)
    pace = since.busy_seconds / since.cost_units
    best = window.best_seconds_per_unit
    best = pace if best is None else min(best * _BEST_DRIFT, pace)
    slots = window.slots
    least = max(1, round(window.announced_slots * _LEAST_FRACTION))
    if pace > _SLOW_RATIO * best:
        slots = max(least, int(slots * _SHRINK_FACTOR))
    elif pace < _GOOD_RATIO * best:
        slots = min(window.announced_slots, slots + 1)
    return Window(slots, window.announced_slots, best, CompletionTotals(), now_seconds)


def regrow_window(window: Window, now_seconds: float) -> Window:
    """Return the window with a slot more where too few completions tell of it.

    A target whose requests are long, or to which little is sent since it was slow,
    would stay small while customers wait.

    Args:
        window: The window so far.
        now_seconds: The present time.
    """
    is_small = window.slots < window.announced_slots
    if not is_small or now_seconds - window.adapted_at_seconds < _STALE_SECONDS:
        return window
    return replace(window, slots=window.slots + 1, adapted_at_seconds=now_seconds)
