"""Computes service gaps, utilisation, starvation and mistakes from samples."""

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
    """The true service so far, counted by the targets, and the backlogged customers.

    ``backlogged`` holds the customers who had waiting requests during the whole time
    since the previous sample; ``service`` is in cost units.
    """

    at_seconds: float
    phase: str
    service: Mapping[str, float]
    backlogged: frozenset[str]
    busy_slot_seconds: float
    capacity_slots: int


@dataclass(frozen=True, slots=True)
class Gap:
    """The maximum and the 99th percentile of the gaps over all pairs and times."""

    maximum: float
    p99: float
    pair: tuple[str, str] = ("", "")


def cost_units(service: Mapping[str, int]) -> float:
    """Return the cost units of the tokens that a stand-in engine counted."""
    cached = service.get("cached_prompt_tokens", 0)
    uncached = service.get("prompt_tokens", 0) - cached
    return (
        uncached * _RATES.prompt_token_cost_units
        + cached * _RATES.cached_prompt_token_cost_units
        + service.get("output_tokens", 0) * _RATES.output_token_cost_units
    )


def service_gap(samples: Sequence[Sample], shares: Mapping[str, float]) -> Gap:
    """Return the largest service gap between two backlogged customers.

    For each pair of customers and each span in which both were backlogged throughout,
    the gap is the range of ``S_i/w_i - S_j/w_j``: the largest difference of service
    over any interval within the span.

    Args:
        samples: Samples in order of time, without an interruption.
        shares: The share (weight) of each customer.

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
    """Return for each sample the largest gap so far of any backlogged pair."""
    result = numpy.zeros(len(samples))
    for _, begin, running in _pair_ranges(samples, shares):
        part = slice(begin, begin + len(running))
        result[part] = numpy.maximum(result[part], running)
    return [float(gap) for gap in result]


def _pair_ranges(
    samples: Sequence[Sample], shares: Mapping[str, float]
) -> Iterator[tuple[tuple[str, str], int, NDArray[numpy.float64]]]:
    """Yield each pair with the first position of a common backlog and its gaps so far.

    There is one item for each span in which both customers were backlogged.
    """
    normalised = {
        name: numpy.array([s.service.get(name, 0.0) / share for s in samples])
        for name, share in shares.items()
    }
    for first, second in combinations(sorted(shares), 2):
        difference = normalised[first] - normalised[second]
        both = [first in s.backlogged and second in s.backlogged for s in samples]
        for start, end in _true_spans(both):
            begin = max(0, start - 1)
            part = difference[begin:end]
            running = numpy.maximum.accumulate(part) - numpy.minimum.accumulate(part)
            yield (first, second), begin, running


def utilisation_while_backlogged(samples: Sequence[Sample]) -> float:
    """Return the busy fraction of the slots while any customer was backlogged."""
    used = available = 0.0
    for before, after in pairwise(samples):
        if after.backlogged and after.phase == before.phase:
            elapsed = after.at_seconds - before.at_seconds
            used += after.busy_slot_seconds - before.busy_slot_seconds
            available += elapsed * after.capacity_slots
    return used / available if available else 0.0


def starved_customers(samples: Sequence[Sample]) -> Sequence[str]:
    """Return the customers with no service for `STARVED_SECONDS` of backlog."""
    starved: set[str] = set()
    names = {name for sample in samples for name in sample.backlogged}
    for name in names:
        for start, end in _true_spans(
            [name in sample.backlogged for sample in samples]
        ):
            served_at, last_served = samples[start].at_seconds, -1.0
            for sample in samples[start:end]:
                served = sample.service.get(name, 0.0)
                if served > last_served:
                    served_at, last_served = sample.at_seconds, served
                if sample.at_seconds - served_at > STARVED_SECONDS:
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
    """Compare the outcomes that callers received with what the targets ran.

    Args:
        sent: The requests that the load sent.
        counts: The reports of all targets, with their marks.
        excused: Marks of requests whose router was killed while they were open; the
            caller sees only a broken connection and can't learn the outcome.

    Returns:
        The counts. A request is lost if it got neither a complete answer nor a
        definite outcome; a stream that reports its cut has the outcome unknown and is
        not lost. A request is doubled if more than one attempt started for it.
    """
    started: Counter[str] = Counter()
    for report in counts:
        for mark, run in report["marks"].items():
            started[mark] += run.get("started", 0)
    lost = crossed = false_not_run = unknown = 0
    outcomes: Counter[str] = Counter()
    for request in sent:
        answer = request.answer
        if answer is None:
            outcomes["given up"] += 1
            continue
        outcomes[answer.outcome or f"status {answer.status}"] += 1
        crossed += answer.crossed
        if answer.outcome == "not-run":
            false_not_run += started[request.mark] > 0
        elif answer.outcome == "unknown" and request.mark not in excused:
            unknown += 1
        if not answer.complete and answer.outcome not in ("not-run", "unknown"):
            lost += request.mark not in excused
    doubled = sum(starts > 1 for starts in started.values())
    return Mistakes(lost, doubled, crossed, false_not_run, unknown, dict(outcomes))


def _true_spans(flags: Sequence[bool]) -> Iterable[tuple[int, int]]:
    """Yield the start and the end (exclusive) of each span of true flags."""
    start: int | None = None
    for position, flag in enumerate([*flags, False]):
        if flag and start is None:
            start = position
        elif not flag and start is not None:
            yield start, position
            start = None
