"""Sums over what routers measure that bear wrong figures of up to a third of them.

The load: one customer floods a few routers, whose loops are late. They read first
events late, so they take engines for slow and answers for late. In plain sums the
figures of two routers out of eighty halve the capacity of the whole fleet: customers of
all routers are refused while engines idle. The sign of that are ``shares limited``
lines whose longest wait is far above the usual one.

So each router counts once, and only the middle third of them counts at all. Replicas
exchange what routers report in bins, whose number does not grow with routers.
"""

from collections.abc import Iterable

from sesameford.gateway.named_sums import sum_by_name
from sesameford.load_messages import MeasureBin, PartialLoad, RouterLoad

# The part of the routers at each end that does not count: all of a data centre of three
# may be wrong.
TRIMMED_PART = 1 / 3
# The width of a bin, of waits and of failed parts. A bin has the sums of its routers'
# reports, so only their order within it is lost.
WAIT_BIN_SECONDS = 0.02
FAILED_BIN_PART = 0.1
# Longer waits are all the same bin.
MAX_WAIT_SECONDS = 2.0


def bin_waits(loads: Iterable[RouterLoad]) -> tuple[MeasureBin, ...]:
    """Return the waits of prompts that routers report, in bins."""
    return merge_bins(_wait_bin(load.wait_seconds, 1) for load in loads)


def bin_answers(loads: Iterable[RouterLoad]) -> tuple[MeasureBin, ...]:
    """Return the answers that start in time, late and in time with pauses, in bins.

    They are in order of the part that is late or pauses. Routers without answers don't
    count.
    """
    return merge_bins(_answers_bin(load, 1) for load in loads if _has_answers(load))


def merge_bins(bins: Iterable[MeasureBin]) -> tuple[MeasureBin, ...]:
    """Return the sums of bins by position, in order."""
    return tuple(
        MeasureBin(position, round(routers), tuple(totals))
        for position, (routers, *totals) in sorted(sum_by_name(map(_bin_row, bins)))
    )


def _bin_row(one: MeasureBin) -> tuple[int, *tuple[float, ...]]:
    figures: tuple[float, ...] = (one.routers, *one.totals)
    return one.position, *figures


def fleet_wait_seconds(loads: Iterable[PartialLoad]) -> float:
    """Return the average wait of prompts as most routers estimate it."""
    bins = merge_bins(one for load in loads for one in _waits_of(load))
    routers = sum(one.routers for one in bins)
    if not routers:
        return 0.0
    (total_seconds,) = _trimmed_totals(bins)
    return total_seconds / routers


def fleet_answers(loads: Iterable[PartialLoad]) -> tuple[float, float, float]:
    """Return the answers a second in time, late, and in time with pauses.

    Their parts are those that most routers see, their sum is about that of all.
    """
    bins = merge_bins(one for load in loads for one in _answers_of(load))
    if not bins:
        return 0.0, 0.0, 0.0
    in_time, late, paused = _trimmed_totals(bins)
    return in_time, late, paused


def _trimmed_totals(bins: Iterable[MeasureBin]) -> tuple[float, ...]:
    """Return the totals of the routers in the middle, scaled to all routers."""
    bins = tuple(bins)
    routers = sum(one.routers for one in bins)
    from_router = TRIMMED_PART * routers
    to_router = routers - from_router
    scale = routers / (to_router - from_router)
    totals = [0.0] * len(bins[0].totals)
    counted = 0
    for one in bins:
        begin = max(counted, from_router)
        counted += one.routers
        kept = max(min(counted, to_router) - begin, 0.0) / one.routers
        for number, total in enumerate(one.totals):
            totals[number] += scale * kept * total
    return tuple(totals)


def _waits_of(load: PartialLoad) -> tuple[MeasureBin, ...]:
    """Return the bins of a replica's sums; an earlier release sends averages alone."""
    if load.waits or not load.routers:
        return load.waits
    return (_wait_bin(load.wait_seconds, load.routers),)


def _answers_of(load: PartialLoad) -> tuple[MeasureBin, ...]:
    """Return the bins of a replica's sums; an earlier release sends sums alone."""
    if load.answers or not _has_answers(load):
        return load.answers
    return (_answers_bin(load, max(load.routers, 1)),)


def _wait_bin(wait_seconds: float, routers: int) -> MeasureBin:
    """Return the bin of some routers with the same wait."""
    wait_seconds = min(wait_seconds, MAX_WAIT_SECONDS)
    position = int(wait_seconds / WAIT_BIN_SECONDS)
    return MeasureBin(position, routers, (routers * wait_seconds,))


def _has_answers(load: RouterLoad | PartialLoad) -> bool:
    return load.in_time_answers + load.late_answers > 0.0


def _answers_bin(load: RouterLoad | PartialLoad, routers: int) -> MeasureBin:
    """Return the bin of some routers by the sums of their answers."""
    answers = load.in_time_answers + load.late_answers
    failed_part = (load.late_answers + load.paused_answers) / answers
    totals = (load.in_time_answers, load.late_answers, load.paused_answers)
    return MeasureBin(int(failed_part / FAILED_BIN_PART), routers, totals)
