"""The rate of admitted tokens that engines should have started by now."""

from collections import deque
from dataclasses import dataclass, field

from sesameford.gateway.token_rate import TokenRate


@dataclass(slots=True)
class DueRate:
    """The average of admitted tokens, each counted once its expected wait is over.

    So a queue that grows in front of the engines does not look like lost requests.
    """

    _rate: TokenRate = field(default_factory=TokenRate)
    _new_tokens: int = 0
    _waiting: deque[tuple[float, int]] = field(default_factory=deque)

    @property
    def has_pending_tokens(self) -> bool:
        """Whether tokens were added that the average does not include yet."""
        is_waiting = bool(self._new_tokens or self._waiting)
        return is_waiting or self._rate.has_pending_tokens

    def add(self, tokens: int) -> None:
        """Count tokens that are admitted at the present time."""
        self._new_tokens += tokens

    def tokens_per_second(self, now_seconds: float, wait_seconds: float) -> float:
        """Update the average with the tokens that are due, and return it.

        Args:
            now_seconds: The present time.
            wait_seconds: How long the tokens added since the last call will wait.
        """
        if self._new_tokens:
            self._waiting.append((now_seconds + wait_seconds, self._new_tokens))
            self._new_tokens = 0
        while self._waiting and self._waiting[0][0] <= now_seconds:
            self._rate.add(self._waiting.popleft()[1])
        return self._rate.tokens_per_second(now_seconds)
