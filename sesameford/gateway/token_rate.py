"""Tokens a second, averaged over a short while."""

from dataclasses import dataclass

# The time over which tokens are averaged. Shorter follows single large prompts, longer
# serves the first seconds of a flood too late.
AVERAGE_SECONDS = 0.8


@dataclass(slots=True)
class TokenRate:
    """A moving average that forgets two thirds within ``average_seconds``."""

    average_seconds: float = AVERAGE_SECONDS
    _average: float = 0.0
    _new_tokens: int = 0
    _settled_at_seconds: float | None = None

    @property
    def has_news(self) -> bool:
        """Whether tokens came that the average does not hold yet."""
        return self._new_tokens > 0

    def add(self, tokens: int) -> None:
        """Count tokens that came now."""
        self._new_tokens += tokens

    def tokens_per_second(self, now_seconds: float) -> float:
        """Return the average, with what came until now."""
        if self._settled_at_seconds is None:
            self._settled_at_seconds = now_seconds
        since_seconds = now_seconds - self._settled_at_seconds
        if since_seconds > 0.0:
            self._settled_at_seconds = now_seconds
            new, self._new_tokens = self._new_tokens, 0
            part = min(since_seconds / self.average_seconds, 1.0)
            self._average += part * (new / since_seconds - self._average)
        return self._average
