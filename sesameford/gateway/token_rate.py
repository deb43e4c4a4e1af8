"""Moving average of tokens per second."""

from dataclasses import dataclass

# A shorter time follows single large prompts, a longer one serves the first seconds of
# an overload too late.
AVERAGE_SECONDS = 0.8


@dataclass(slots=True)
class TokenRate:
    """A moving average that forgets two thirds within ``average_seconds``."""

    average_seconds: float = AVERAGE_SECONDS
    _average: float = 0.0
    _pending_tokens: int = 0
    _updated_at_seconds: float | None = None

    @property
    def has_pending_tokens(self) -> bool:
        """Whether tokens were added that the average does not include yet."""
        return self._pending_tokens > 0

    def add(self, tokens: int) -> None:
        """Count tokens at the present time."""
        self._pending_tokens += tokens

    def tokens_per_second(self, now_seconds: float) -> float:
        """Update the average with the tokens added so far, and return it."""
        if self._updated_at_seconds is None:
            self._updated_at_seconds = now_seconds
        since_seconds = now_seconds - self._updated_at_seconds
        if since_seconds > 0.0:
            self._updated_at_seconds = now_seconds
            new, self._pending_tokens = self._pending_tokens, 0
            part = min(since_seconds / self.average_seconds, 1.0)
            self._average += part * (new / since_seconds - self._average)
        return self._average
