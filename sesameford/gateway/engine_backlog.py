"""How long the prompts at a model engine will take to be read, as one router sees it.

An engine reads prompts at some tokens a second, and says so late or not at all. So a
router keeps a clock for each engine: when it will have read all that was sent. What
any router sends moves the clock on, and each first event that comes sooner or later
than the clock said sets it right.
"""

from dataclasses import dataclass

# Tokens that an engine reads in a second, until the first prompts show it. A guess on
# the slow side spreads the first prompts over more engines, which does no harm.
FIRST_RATE_TOKENS = 60_000.0
LOWEST_RATE_TOKENS = 2_000.0
# From sending to a first event of an empty prompt: a step, and the ways there and back.
FIXED_SECONDS = 0.012
# A prompt shorter than this says more of the network than of the engine.
TELLING_TOKENS = 1_500
# The part of a new observation in the average; some ten prompts make a new one.
RATE_GAIN = 0.1
# The part of an error that is believed to be the engine's backlog; the rest is noise
# of the one request, which may have been read among others.
ERROR_GAIN = 0.4
# A clock that is wrong by more is set right only so far by one request.
MOST_ERROR_SECONDS = 1.0


@dataclass(slots=True)
class EngineBacklog:
    """The clock of one engine."""

    busy_until_seconds: float = 0.0
    rate_tokens: float = FIRST_RATE_TOKENS

    def wait_seconds(self, now_seconds: float) -> float:
        """Return how long until all that was sent will have been read."""
        return max(self.busy_until_seconds - now_seconds, 0.0)

    def read_seconds(self, tokens: int) -> float:
        """Return how long the engine reads so many tokens."""
        return tokens / self.rate_tokens

    def sent(self, tokens: int, now_seconds: float) -> float:
        """Add a prompt, of this router or of others.

        Args:
            tokens: Those that the engine has to read.
            now_seconds: The present time.

        Returns:
            When it will have been read.
        """
        start_seconds = max(self.busy_until_seconds, now_seconds)
        self.busy_until_seconds = start_seconds + self.read_seconds(tokens)
        return self.busy_until_seconds

    def first_event(
        self,
        tokens: int,
        sent_at_seconds: float,
        expected_at_seconds: float,
        now_seconds: float,
    ) -> None:
        """Learn from a first event.

        Args:
            tokens: What the engine had to read for it.
            sent_at_seconds: When the request was sent.
            expected_at_seconds: What ``sent`` returned.
            now_seconds: The present time.
        """
        late_seconds = now_seconds - FIXED_SECONDS - expected_at_seconds
        bounded = min(max(late_seconds, -MOST_ERROR_SECONDS), MOST_ERROR_SECONDS)
        moved = self.busy_until_seconds + ERROR_GAIN * bounded
        self.busy_until_seconds = max(moved, now_seconds)
        waited_seconds = expected_at_seconds - sent_at_seconds
        alone = waited_seconds <= 1.05 * self.read_seconds(tokens)
        if tokens >= TELLING_TOKENS and alone:
            took_seconds = max(now_seconds - sent_at_seconds - FIXED_SECONDS, 1e-3)
            rate = max(tokens / took_seconds, LOWEST_RATE_TOKENS)
            self.rate_tokens += RATE_GAIN * (rate - self.rate_tokens)


def make_engine_backlog() -> EngineBacklog:
    """Return the clock of an engine that nothing is known of."""
    return EngineBacklog()
