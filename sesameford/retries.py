"""Retry policy: which failed attempts are retried, when, and within which budget."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from sesameford.doubling import doubled_seconds
from sesameford.tables import Outcome

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
MAX_ATTEMPTS = 4
MAX_BUDGET_RETRIES = 10.0
BUDGET_FLOOR_RETRIES_PER_SECOND = 2.0


class Failure(StrEnum):
    """How an attempt ended without a complete answer."""

    CONNECT_REFUSED = "connect-refused"
    CONNECT_TIMEOUT = "connect-timeout"
    NOT_STARTED = "not-started"
    NEVER_SENT = "never-sent"
    LOST_BEFORE_ANSWER = "lost-before-answer"
    ANSWER_CUT = "answer-cut"
    ANSWER_INVALID = "answer-invalid"
    SILENT = "silent"
    DEADLINE = "deadline"
    TARGET_GONE = "target-gone"


# No byte of the request left this process, or the target reports that it did not
# start the request. A connection that broke after the first byte proves nothing.
PROVEN_NOT_STARTED = frozenset(
    {
        Failure.CONNECT_REFUSED,
        Failure.CONNECT_TIMEOUT,
        Failure.NOT_STARTED,
        Failure.NEVER_SENT,
    }
)


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """The attempts of one request so far.

    ``may_have_run`` is True once any attempt ended without proof that it did not
    start; a later attempt that provably didn't start does not reset it.
    """

    repeatable: bool
    deadline_at_seconds: float
    attempts: int = 0
    may_have_run: bool = False
    has_relayed_bytes: bool = False


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """A retry at a time, or the final outcome and its reason."""

    retry: bool
    retry_at_seconds: float = 0.0
    outcome: Outcome = Outcome.UNKNOWN
    reason: str = ""


class RetryBudget:
    """A fleet-wide bound on retries as a fraction of first attempts.

    Each router earns retries from its own first attempts, so that the sum over
    all routers stays within the fraction without coordination. A small floor rate,
    divided by the number of routers, allows retries in a fleet with little load.

    Args:
        fraction: Retries earned per first attempt.
    """

    def __init__(self, fraction: float) -> None:
        self._fraction = fraction
        self._tokens = 1.0
        self._floor_at_seconds: float | None = None
        self.first_attempts = 0
        self.retries = 0
        self.refused = 0

    def configure(self, fraction: float) -> None:
        """Apply the fraction of the tree of settings."""
        self._fraction = fraction

    def record_first_attempt(self) -> None:
        """Count a request's first attempt."""
        self.first_attempts += 1
        self._add(self._fraction)

    def spend_retry(self, routers: int, now_seconds: float) -> bool:
        """Spend one retry.

        Args:
            routers: Live routers of the fleet, this one included.
            now_seconds: The present time.

        Returns:
            False if the budget is used up.
        """
        since = self._floor_at_seconds
        self._floor_at_seconds = now_seconds
        if since is not None and now_seconds > since:
            floor = BUDGET_FLOOR_RETRIES_PER_SECOND / max(routers, 1)
            self._add(floor * (now_seconds - since), most=max(1.0, self._tokens))
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True

    def _add(self, tokens: float, most: float = MAX_BUDGET_RETRIES) -> None:
        self._tokens = min(most, self._tokens + tokens)


def make_backoff(seed: int) -> Callable[[int], float]:
    """Return a function from the number of failed attempts to a delay in seconds.

    The delay grows exponentially and has full jitter, so that callers that failed
    together don't retry together and overload the target again.

    Args:
        seed: Seed of the jitter, which makes the delays reproducible.
    """
    random = Random(seed)

    def backoff_seconds(failed_attempts: int) -> float:
        longest_seconds = doubled_seconds(
            INITIAL_BACKOFF_SECONDS, failed_attempts - 1, MAX_BACKOFF_SECONDS
        )
        return random.uniform(0.0, longest_seconds)

    return backoff_seconds


def record_failure(history: AttemptHistory, failure: Failure) -> AttemptHistory:
    """Return the history with one more failed attempt."""
    proven = failure in PROVEN_NOT_STARTED
    return AttemptHistory(
        repeatable=history.repeatable,
        deadline_at_seconds=history.deadline_at_seconds,
        attempts=history.attempts + 1,
        may_have_run=history.may_have_run or not proven,
        has_relayed_bytes=history.has_relayed_bytes,
    )


def decide_retry(
    history: AttemptHistory,
    failure: Failure,
    budget: RetryBudget,
    backoff_seconds: Callable[[int], float],
    routers: int,
    now_seconds: float,
) -> RetryDecision:
    """Decide whether a failed attempt is retried.

    Args:
        history: The attempts so far, the failed one included.
        failure: How the last attempt failed.
        budget: Charged if the decision is a retry.
        backoff_seconds: Returns the delay after a number of failures.
        routers: Live routers of the fleet.
        now_seconds: The present time.

    Returns:
        A retry with its time, or the outcome for the caller.
    """
    if history.has_relayed_bytes:
        return _end(history, "answer-cut")
    if history.may_have_run and not history.repeatable:
        return _end(history, failure.value)
    if history.attempts >= MAX_ATTEMPTS:
        return _end(history, failure.value)
    retry_at_seconds = now_seconds + backoff_seconds(history.attempts)
    if failure is Failure.DEADLINE or retry_at_seconds >= history.deadline_at_seconds:
        return _end(history, "deadline")
    if not budget.spend_retry(routers, now_seconds):
        return _end(history, "retry-budget")
    return RetryDecision(retry=True, retry_at_seconds=retry_at_seconds)


def _end(history: AttemptHistory, reason: str) -> RetryDecision:
    """Return the final outcome: "not run" only if the history proves it."""
    may_have_run = history.may_have_run or history.has_relayed_bytes
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    return RetryDecision(retry=False, outcome=outcome, reason=reason)
