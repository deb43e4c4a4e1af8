"""Which failed attempts are tried again, when, and at whose expense."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from sesameford.tables import Outcome

BACKOFF_FIRST_SECONDS = 0.05
BACKOFF_MOST_SECONDS = 1.0
MAX_ATTEMPTS = 4
BUDGET_CAP_RETRIES = 10.0
BUDGET_FLOOR_PER_SECOND = 2.0


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


# Nothing of the request left this process, or the target itself says that it
# did not start it. A connection that broke after the first byte proves nothing.
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
    """What is known of one request's attempts so far.

    ``may_have_run`` stays True once any attempt's end proved nothing: a later
    attempt that provably didn't start takes nothing of that back.
    """

    repeatable: bool
    deadline_at_seconds: float
    attempts: int = 0
    may_have_run: bool = False
    bytes_passed_on: bool = False


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Try again at a time, or end with an outcome and its reason."""

    retry: bool
    retry_at_seconds: float = 0.0
    outcome: Outcome = Outcome.UNKNOWN
    reason: str = ""


class RetryBudget:
    """A fleet-wide bound on retries as a fraction of first attempts.

    Each router earns retries from its own first attempts, so that the sum over
    all routers keeps to the fraction without a message between them. A small
    floor, divided by the number of routers, lets a quiet fleet retry at all.

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
        """Take the tree's fraction into force."""
        self._fraction = fraction

    def attempted(self) -> None:
        """Count a request's first attempt."""
        self.first_attempts += 1
        self._add(self._fraction)

    def take(self, routers: int, now_seconds: float) -> bool:
        """Spend one retry; False if the budget is used up.

        Args:
            routers: Live routers of the fleet, this one included.
            now_seconds: The present time.
        """
        since = self._floor_at_seconds
        self._floor_at_seconds = now_seconds
        if since is not None and now_seconds > since:
            floor = BUDGET_FLOOR_PER_SECOND / max(routers, 1)
            self._add(floor * (now_seconds - since), most=max(1.0, self._tokens))
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True

    def _add(self, tokens: float, most: float = BUDGET_CAP_RETRIES) -> None:
        self._tokens = min(most, self._tokens + tokens)


def make_backoff(seed: int) -> Callable[[int], float]:
    """Return a function from the number of failed attempts to a delay in seconds.

    The delay is spread over the whole span (full jitter): callers that failed
    together would otherwise come back together, and fail together again.

    Args:
        seed: Makes the delays the same in every run.
    """
    random = Random(seed)

    def backoff_seconds(failed_attempts: int) -> float:
        doubled = BACKOFF_FIRST_SECONDS * 2.0 ** min(max(failed_attempts - 1, 0), 16)
        return random.uniform(0.0, min(doubled, BACKOFF_MOST_SECONDS))

    return backoff_seconds


def after_failure(history: AttemptHistory, failure: Failure) -> AttemptHistory:
    """Return the history with one more failed attempt."""
    proven = failure in PROVEN_NOT_STARTED
    return AttemptHistory(
        repeatable=history.repeatable,
        deadline_at_seconds=history.deadline_at_seconds,
        attempts=history.attempts + 1,
        may_have_run=history.may_have_run or not proven,
        bytes_passed_on=history.bytes_passed_on,
    )


def decide_retry(
    history: AttemptHistory,
    failure: Failure,
    budget: RetryBudget,
    backoff_seconds: Callable[[int], float],
    routers: int,
    now_seconds: float,
) -> RetryDecision:
    """Decide what follows a failed attempt.

    Args:
        history: The attempts so far, the failed one included.
        failure: How the last one failed.
        budget: Charged where the answer is a retry.
        backoff_seconds: The delay after so many failures.
        routers: Live routers of the fleet.
        now_seconds: The present time.

    Returns:
        A retry with its time, or the outcome for the caller.
    """
    if history.bytes_passed_on:
        return _end(history, "answer-cut")
    if history.may_have_run and not history.repeatable:
        return _end(history, failure.value)
    if history.attempts >= MAX_ATTEMPTS:
        return _end(history, failure.value)
    retry_at_seconds = now_seconds + backoff_seconds(history.attempts)
    if failure is Failure.DEADLINE or retry_at_seconds >= history.deadline_at_seconds:
        return _end(history, "deadline")
    if not budget.take(routers, now_seconds):
        return _end(history, "retry-budget")
    return RetryDecision(retry=True, retry_at_seconds=retry_at_seconds)


def _end(history: AttemptHistory, reason: str) -> RetryDecision:
    """Return the outcome that the history proves, and no better one."""
    may_have_run = history.may_have_run or history.bytes_passed_on
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    return RetryDecision(retry=False, outcome=outcome, reason=reason)
