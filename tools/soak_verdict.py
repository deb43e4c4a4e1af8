"""What the soak's requests were told, against what the targets ran."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Any

from tools.soak_callers import DEADLINE_SECONDS, Sent

TARGETS_DOING = frozenset(
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


def judge(
    sent: Sequence[Sent], starts: Mapping[str, int], killed: Windows, planned: Windows
) -> dict[str, Any]:
    """Return the counts of the soak's last line.

    Args:
        sent: Every sending and what came of it.
        starts: How often targets started each mark.
        killed: Instances by address, and when they were killed.
        planned: The same for planned stops, from the signal to the exit.
    """
    by_mark: dict[str, list[Sent]] = defaultdict(list)
    for one in sent:
        by_mark[one.mark].append(one)
    outcomes = Counter(one.outcome.replace("-", "_") for one in sent)
    bad = [one for one in sent if one.outcome in ("none", "cut", "unknown")]
    silent = [one for one in bad if one.outcome == "none"]
    return {
        "requests": len(sent),
        "doubled": sum(
            1
            for mark, sends in by_mark.items()
            if sends[0].once and starts.get(mark, 0) > 1
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
            _within(one, planned) and not _is_others_doing(one) for one in bad
        ),
        "lost": sum(
            not _within(one, killed) and not _within(one, planned) for one in silent
        ),
        **{f"told_{name}": count for name, count in sorted(outcomes.items())},
        "reasons": _reasons(sent),
    }


def _within(one: Sent, windows: Windows) -> bool:
    """Return whether a sending met an instance in a window of time."""
    return any(
        one.url == url and one.began_at <= end and one.ended_at >= begin
        for url, begin, end in windows
    )


def _is_others_doing(one: Sent) -> bool:
    """Return whether an instance that stops told plainly what others did.

    It was alive to say so: a target's exchange broke (the soak breaks them all the
    while), an earlier sending of the key was lost, or a call that may run once was
    given its whole deadline on a connection that went silent. A request that the
    stop cuts gets no answer, or a stream without its end, or the reason "stopping".
    """
    if one.outcome != "unknown":
        return False
    waited_seconds = one.ended_at - one.began_at
    waited_out = waited_seconds >= DEADLINE_SECONDS - 0.5
    if one.reason == "deadline":
        return waited_out
    return one.reason in TARGETS_DOING or one.reason == "key-may-have-run"


def print_cut(sent: Sequence[Sent], planned: Windows) -> None:
    """Print every request that ended badly near a planned stop, to be traced."""
    for one in sent:
        if one.outcome in ("none", "cut", "unknown") and _within(one, planned):
            took = one.ended_at - one.began_at
            print(
                f"near a stop: {one.mark} {one.kind} {one.outcome} {one.reason} "
                f"{took:.1f} s at {one.url}"
            )


def _reasons(sent: Sequence[Sent]) -> str:
    """Return the reasons by count, in one flat text."""
    reasons = Counter(f"{one.outcome}:{one.reason[:40]}" for one in sent if one.reason)
    return ", ".join(f"{name}={count}" for name, count in reasons.most_common(20))
