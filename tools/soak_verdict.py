"""Compares the outcomes reported to the soak's callers with what the targets ran."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Any

from tools.soak_callers import DEADLINE_SECONDS, SentRequest

TARGET_FAULT_REASONS = frozenset(
    {
        "answer-cut",
        "answer-invalid",
        "lost-before-answer",
        "retry-budget",
        "silent",
        "target-gone",
    }
)

Windows = Sequence[tuple[str, float, float]]


def make_verdict(
    sent: Sequence[SentRequest],
    starts: Mapping[str, int],
    killed: Windows,
    planned: Windows,
) -> dict[str, Any]:
    """Return the counts of the soak's last line.

    Args:
        sent: Every request sent, with its result.
        starts: How often targets started each mark.
        killed: URL of each killed instance, with start and end of the kill.
        planned: The same for planned stops, from the signal to the exit.
    """
    by_mark: dict[str, list[SentRequest]] = defaultdict(list)
    for one in sent:
        by_mark[one.mark].append(one)
    outcomes = Counter(one.outcome.replace("-", "_") for one in sent)
    bad = [one for one in sent if one.outcome in ("none", "cut", "unknown")]
    unanswered = [one for one in bad if one.outcome == "none"]
    return {
        "requests": len(sent),
        "doubled": sum(
            1
            for mark, sends in by_mark.items()
            if sends[0].runs_at_most_once and starts.get(mark, 0) > 1
        ),
        "falsely_not_run": sum(
            1
            for mark, sends in by_mark.items()
            if all(one.outcome == "not-run" for one in sends) and starts.get(mark, 0)
        ),
        "crossed": sum(not one.is_own for one in sent),
        "truncated_told_complete": sum(
            one.looks_complete and not one.is_whole for one in sent
        ),
        "cut_by_planned_stop": sum(
            _is_within(one, planned) and not _is_fault_of_others(one) for one in bad
        ),
        "lost": sum(
            not _is_within(one, killed) and not _is_within(one, planned)
            for one in unanswered
        ),
        **{f"told_{name}": count for name, count in sorted(outcomes.items())},
        "reasons": _format_reasons(sent),
    }


def _is_within(one: SentRequest, windows: Windows) -> bool:
    """Return whether a request was open at an instance during one of its windows."""
    return any(
        one.url == url and one.started_at <= end and one.ended_at >= start
        for url, start, end in windows
    )


def _is_fault_of_others(one: SentRequest) -> bool:
    """Return whether a stopping instance reported a failure that it did not cause.

    The instance was alive to report it: the exchange with a target broke (the soak
    breaks them all the time), an earlier attempt with the key was lost, or a call that
    may run only once spent its whole deadline on a connection that went silent. A
    request that the stop itself cuts gets no answer, a stream without its end or the
    reason "stopping".
    """
    if one.outcome != "unknown":
        return False
    waited_seconds = one.ended_at - one.started_at
    reached_deadline = waited_seconds >= DEADLINE_SECONDS - 0.5
    if one.reason == "deadline":
        return reached_deadline
    return one.reason in TARGET_FAULT_REASONS or one.reason == "key-may-have-run"


def print_cut_requests(sent: Sequence[SentRequest], planned: Windows) -> None:
    """Print every request that ended badly near a planned stop, for diagnosis."""
    for one in sent:
        if one.outcome in ("none", "cut", "unknown") and _is_within(one, planned):
            elapsed_seconds = one.ended_at - one.started_at
            print(
                f"near a stop: {one.mark} {one.kind} {one.outcome} {one.reason} "
                f"{elapsed_seconds:.1f} s at {one.url}"
            )


def _format_reasons(sent: Sequence[SentRequest]) -> str:
    """Return the 20 most frequent outcomes and reasons with their counts, as text."""
    reasons = Counter(f"{one.outcome}:{one.reason[:40]}" for one in sent if one.reason)
    return ", ".join(f"{name}={count}" for name, count in reasons.most_common(20))
