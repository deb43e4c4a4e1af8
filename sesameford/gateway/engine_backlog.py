"""Estimates how long a model engine needs to read the prompts that wait there.

An engine reads prompts one after another at some tokens a second, and reports its
progress late or not at all. A router estimates the unread rest of each prompt that it
sent, from the time at which reading should have started, and receives the same sum of
all other routers. A prompt counts as read once its first event arrives, so errors do
not add up, and an engine that was slow for a second is not avoided for ten.
"""

from dataclasses import dataclass, field

from sesameford.gateway.loop_lag import LoopLag, make_loop_lag

# The reading rate before the first prompts show it. Too low a rate spreads the first
# prompts over more engines, which does no harm.
INITIAL_RATE_TOKENS_PER_SECOND = 30_000.0
# The weight of the rate of all engines of the same kind, in seconds of reading. It lets
# an engine that was slow be tried again: it gets few prompts that could show that it
# has recovered.
PRIOR_WEIGHT_SECONDS = 0.2
MIN_RATE_TOKENS_PER_SECOND = 2_000.0
# With frequent samples, earlier ones lose two thirds of their weight in this time: some
# twenty prompts at a busy engine.
SAMPLE_DECAY_SECONDS = 4.0
# With fewer tokens than this the time depends more on the network than on the engine.
MIN_SAMPLE_TOKENS = 1_500
# A shorter time is an error of the fixed delay that was subtracted.
MIN_SAMPLE_SECONDS = 1e-3
# A prompt whose first event is overdue by this counts as wholly unread: the engine is
# slower than estimated, and has not read the prompts sent after it either.
OVERDUE_EVENT_SECONDS = 0.15
# A prompt overdue by more than this counts as lost with its answer: the engine has
# finished it, or is silent and excluded for that. If lost requests counted until their
# callers give up, some seconds of lost answers would make engines with free slots look
# full, and all customers' callers would be refused.
LOST_ANSWER_SECONDS = 1.0


@dataclass(slots=True)
class ReadingRate:
    """The observed reading rate of an engine, or of all engines of one kind."""

    _tokens: float = 0.0
    _seconds: float = 0.0
    _updated_at_seconds: float = 0.0

    def rate_tokens(self, prior_tokens: float) -> float:
        """Return the rate in tokens a second.

        Args:
            prior_tokens: The rate in tokens a second assumed without observations.
        """
        tokens = self._tokens + prior_tokens * PRIOR_WEIGHT_SECONDS
        return max(
            tokens / (self._seconds + PRIOR_WEIGHT_SECONDS), MIN_RATE_TOKENS_PER_SECOND
        )

    def record_reading(
        self, tokens: int, took_seconds: float, now_seconds: float
    ) -> None:
        """Update the rate when a first event arrives.

        Args:
            tokens: The tokens that the engine read until then.
            took_seconds: The time in which it read them.
            now_seconds: The present time.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        since_seconds = max(now_seconds - self._updated_at_seconds, 0.0)
        remaining_weight = max(1.0 - since_seconds / SAMPLE_DECAY_SECONDS, 0.0)
        self._updated_at_seconds = now_seconds
        self._tokens = remaining_weight * self._tokens + tokens
        self._seconds = remaining_weight * self._seconds + max(
            took_seconds, MIN_SAMPLE_SECONDS
        )


@dataclass(frozen=True, slots=True)
class _UnreadPrompt:
    """One prompt, with the estimated times of its reading's start and first event."""

    tokens: int
    reading_starts_at_seconds: float
    due_at_seconds: float


@dataclass(slots=True)
class EngineBacklog:
    """The unread prompts at one engine.

    ``kind_rate`` is the observed rate of all engines of its kind, ``rate`` that of
    this one; ``others_unread_tokens`` are those of all other routers' prompts.
    ``speed`` is the engine's, as all routers see it, as a multiple of the usual one.
    ``lag`` is the lateness of this router's loop.
    """

    kind_rate: ReadingRate = field(default_factory=ReadingRate)
    rate: ReadingRate = field(default_factory=ReadingRate)
    others_unread_tokens: int = 0
    speed: float = 1.0
    lag: LoopLag = field(default_factory=make_loop_lag)
    _unread_prompts: dict[int, _UnreadPrompt] = field(default_factory=dict)

    @property
    def rate_tokens(self) -> float:
        """The estimated number of tokens that the engine reads in a second."""
        return self.rate.rate_tokens(self.speed * self.usual_rate_tokens)

    @property
    def usual_rate_tokens(self) -> float:
        """The tokens that an engine of its kind reads in a second."""
        return self.kind_rate.rate_tokens(INITIAL_RATE_TOKENS_PER_SECOND)

    def unread_tokens(self, now_seconds: float) -> int:
        """Return the unread tokens of this router's prompts."""
        seen_until_seconds = now_seconds - self.lag.unseen_seconds(now_seconds)
        return sum(
            self._tokens_left(prompt, seen_until_seconds, now_seconds)
            for prompt in self._unread_prompts.values()
        )

    def ahead_tokens(self, now_seconds: float) -> int:
        """Return the tokens to be read before a prompt that is sent now."""
        return self.unread_tokens(now_seconds) + self.others_unread_tokens

    def wait_seconds(self, now_seconds: float) -> float:
        """Return the time in seconds until all prompts sent so far are read."""
        return self.read_seconds(self.ahead_tokens(now_seconds))

    def read_seconds(self, tokens: int) -> float:
        """Return the time in seconds that the engine needs to read some tokens."""
        return tokens / self.rate_tokens

    def add(
        self, number: int, tokens: int, due_at_seconds: float, now_seconds: float
    ) -> None:
        """Add a prompt.

        Args:
            number: The number of its reservation.
            tokens: The tokens that the engine has to read for it.
            due_at_seconds: The time at which its first event is expected.
            now_seconds: The present time.
        """
        reading_starts_at_seconds = now_seconds + self.wait_seconds(now_seconds)
        self._unread_prompts[number] = _UnreadPrompt(
            tokens, reading_starts_at_seconds, due_at_seconds
        )

    def remove(self, number: int) -> None:
        """Remove a prompt that is read or never will be; idempotent."""
        self._unread_prompts.pop(number, None)

    def _tokens_left(
        self, prompt: _UnreadPrompt, seen_until_seconds: float, now_seconds: float
    ) -> int:
        overdue_seconds = seen_until_seconds - prompt.due_at_seconds
        if overdue_seconds > LOST_ANSWER_SECONDS:
            return 0
        if overdue_seconds > OVERDUE_EVENT_SECONDS:
            return prompt.tokens
        reading_seconds = max(now_seconds - prompt.reading_starts_at_seconds, 0.0)
        if not reading_seconds:
            return prompt.tokens
        return max(prompt.tokens - round(reading_seconds * self.rate_tokens), 0)


def make_engine_backlog(
    kind_rate: ReadingRate | None = None, lag: LoopLag | None = None
) -> EngineBacklog:
    """Return the empty backlog of an engine without observations.

    Args:
        kind_rate: The observed rate of all engines of its kind, None if unknown.
        lag: The lateness of this router's loop, None if it is never late.
    """
    return EngineBacklog(kind_rate or ReadingRate(), lag=lag or make_loop_lag())
