"""What the bench computes from samples: gaps, utilisation, starvation, mistakes."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations, pairwise
from typing import Any

import numpy
from numpy.typing import NDArray

from sesameford.effective import ModelSettings
from tools.load import Sent

STARVED_SECONDS = 5.0
_RATES = ModelSettings("any")


@dataclass(frozen=True, slots=True)
class Sample:
    """The true service so far, counted by the targets, and who waits.

    ``backlogged`` holds the customers who had waiting work ever since the sample
    before; ``service`` is in cost units.
    """

    at_seconds: float
    phase: str
    service: Mapping[str, float]
    backlogged: frozenset[str]
    busy_slot_seconds: float
    capacity_slots: int


@dataclass(frozen=True, slots=True)
class Gap:
    """The largest and the 99th percentile of the gaps over pairs and time."""

    maximum: float
    p99: float
    pair: tuple[str, str] = ("", "")


def cost_units(service: Mapping[str, int]) -> float:
    """Return the cost units in a stand-in engine's count of tokens."""
    cached = service.get("cached_prompt_tokens", 0)
    uncached = service.get("prompt_tokens", 0) - cached
    return (
        uncached * _RATES.prompt_token_cost_units
        + cached * _RATES.cached_prompt_token_cost_units
        + service.get("output_tokens", 0) * _RATES.output_token_cost_units
    )


def service_gap(samples: Sequence[Sample], shares: Mapping[str, float]) -> Gap:
    """Return how far the service of two backlogged customers came apart.

    For each pair, over each time in which both were backlogged throughout, it is the
    range of ``S_i/w_i - S_j/w_j``: the largest difference of service over any
    interval within.

    Args:
        samples: In order of time, without a gap in observation.
        shares: The weight of each customer.

    Returns:
        The gap in cost units per unit of share.
    """
    ranges: list[float] = []
    largest, largest_pair = 0.0, ("", "")
    for pair, _, running in _pair_ranges(samples, shares):
        ranges.extend(running[1:].tolist())
        if running[-1] > largest:
            largest, largest_pair = float(running[-1]), pair
    p99 = float(numpy.percentile(ranges, 99)) if ranges else 0.0
    return Gap(largest, p99, largest_pair)


def gap_over_time(
    samples: Sequence[Sample], shares: Mapping[str, float]
) -> Sequence[float]:
    """Return for each sample the largest range so far of any backlogged pair."""
    result = numpy.zeros(len(samples))
    for _, begin, running in _pair_ranges(samples, shares):
        part = slice(begin, begin + len(running))
        result[part] = numpy.maximum(result[part], running)
    return [float(one) for one in result]


def _pair_ranges(
    samples: Sequence[Sample], shares: Mapping[str, float]
) -> Iterator[tuple[tuple[str, str], int, NDArray[numpy.float64]]]:
    """Yield each pair, where its common backlog begins, and the range so far."""
    normalised = {
        name: numpy.array([s.service.get(name, 0.0) / share for s in samples])
        for name, share in shares.items()
    }
    for first, second in combinations(sorted(shares), 2):
        difference = normalised[first] - normalised[second]
        both = [first in s.backlogged and second in s.backlogged for s in samples]
        for start, end in _runs(both):
            begin = max(0, start - 1)
            part = difference[begin:end]
            running = numpy.maximum.accumulate(part) - numpy.minimum.accumulate(part)
            yield (first, second), begin, running


def utilisation_while_backlogged(samples: Sequence[Sample]) -> float:
    """Return the part of the slots that was busy while somebody waited."""
    used = available = 0.0
    for before, after in pairwise(samples):
        if after.backlogged and after.phase == before.phase:
            elapsed = after.at_seconds - before.at_seconds
            used += after.busy_slot_seconds - before.busy_slot_seconds
            available += elapsed * after.capacity_slots
    return used / available if available else 0.0


def starved_customers(samples: Sequence[Sample]) -> Sequence[str]:
    """Return who was backlogged for some seconds on end and got nothing."""
    starved: set[str] = set()
    names = {name for sample in samples for name in sample.backlogged}
    for name in names:
        for start, end in _runs([name in sample.backlogged for sample in samples]):
            since, level = samples[start].at_seconds, -1.0
            for sample in samples[start:end]:
                served = sample.service.get(name, 0.0)
                if served > level:
                    since, level = sample.at_seconds, served
                if sample.at_seconds - since > STARVED_SECONDS:
                    starved.add(name)
    return sorted(starved)


@dataclass(frozen=True, slots=True)
class Mistakes:
    """Work that was lost, doubled, crossed or falsely reported."""

    lost: int
    doubled: int
    crossed: int
    false_not_run: int
    unknown: int
    outcomes: Mapping[str, int]


def count_mistakes(
    sent: Iterable[Sent], counts: Sequence[Mapping[str, Any]], excused: frozenset[str]
) -> Mistakes:
    """Compare what callers were told with what the targets ran.

    Args:
        sent: What the load sent.
        counts: The reports of all targets, with their marks.
        excused: Marks of requests whose own router was killed under them; their
            connection broke, and that is all that a caller can learn.

    Returns:
        The counts. Lost is a request that got neither a whole answer nor a clear
        outcome; a stream that is cut and says so has one, and is unknown. Doubled
        is a request that more than one attempt started for.
    """
    started: Counter[str] = Counter()
    for report in counts:
        for mark, run in report["marks"].items():
            started[mark] += run.get("started", 0)
    lost = crossed = false_not_run = unknown = 0
    outcomes: Counter[str] = Counter()
    for one in sent:
        answer = one.answer
        if answer is None:
            outcomes["given up"] += 1
            continue
        outcomes[answer.outcome or f"status {answer.status}"] += 1
        crossed += answer.crossed
        if answer.outcome == "not-run":
            false_not_run += started[one.mark] > 0
        elif answer.outcome == "unknown" and one.mark not in excused:
            unknown += 1
        if not answer.complete and answer.outcome not in ("not-run", "unknown"):
            lost += one.mark not in excused
    doubled = sum(number > 1 for number in started.values())
    return Mistakes(lost, doubled, crossed, false_not_run, unknown, dict(outcomes))


def _runs(flags: Sequence[bool]) -> Iterable[tuple[int, int]]:
    """Return start and end of each run of true flags."""
    start: int | None = None
    for position, flag in enumerate([*flags, False]):
        if flag and start is None:
            start = position
        elif not flag and start is not None:
            yield start, position
            start = None
