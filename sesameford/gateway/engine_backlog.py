"""How long the prompts at a model engine will take to be read, as one router sees it.

An engine reads prompts at some tokens a second, and says so late or not at all. A
router counts the tokens that it has sent there and that no first event has answered
yet, and is told the same sum of all other routers. Both are levels, not totals: what
was wrong with them is gone once the engine has answered, so that an engine which was
slow for a second is not avoided for ten.
"""

from dataclasses import dataclass, field

# Tokens that an engine reads in a second, until the first prompts show it. A guess on
# the slow side spreads the first prompts over more engines, which does no harm.
FIRST_RATE_TOKENS = 60_000.0
# The first guess counts like so many seconds of reading. An engine that was once slow
# gets few prompts that could show otherwise; the guess lets it be tried again.
FIRST_GUESS_SECONDS = 0.2
LOWEST_RATE_TOKENS = 2_000.0
# What was observed loses two thirds of its weight in this time: some twenty prompts at
# a busy engine.
REMEMBERED_SECONDS = 4.0
# Fewer tokens than this say more of the network than of the engine.
TELLING_TOKENS = 1_500


@dataclass(slots=True)
class EngineBacklog:
    """The prompts at one engine that are not read yet.

    ``unread_tokens`` are this router's, ``others_unread_tokens`` those of all others.
    """

    unread_tokens: int = 0
    others_unread_tokens: int = 0
    _unread: dict[int, int] = field(default_factory=dict)
    _read_tokens: float = 0.0
    _read_seconds: float = 0.0
    _learnt_at_seconds: float = 0.0

    @property
    def rate_tokens(self) -> float:
        """Return how many tokens the engine reads in a second."""
        tokens = self._read_tokens + FIRST_RATE_TOKENS * FIRST_GUESS_SECONDS
        seconds = self._read_seconds + FIRST_GUESS_SECONDS
        return max(tokens / seconds, LOWEST_RATE_TOKENS)

    @property
    def ahead_tokens(self) -> int:
        """Return what is to be read before a prompt that is sent now."""
        return self.unread_tokens + self.others_unread_tokens

    def wait_seconds(self) -> float:
        """Return how long until all that was sent will have been read."""
        return self.read_seconds(self.ahead_tokens)

    def read_seconds(self, tokens: int) -> float:
        """Return how long the engine reads so many tokens."""
        return tokens / self.rate_tokens

    def sent(self, number: int, tokens: int) -> None:
        """Add a prompt.

        Args:
            number: By which it is taken out again.
            tokens: Those that the engine has to read.
        """
        self._unread[number] = tokens
        self.unread_tokens += tokens

    def read(self, number: int) -> None:
        """Take a prompt out that has been read, or will never be; once is enough."""
        self.unread_tokens -= self._unread.pop(number, 0)

    def observed(self, tokens: int, took_seconds: float, now_seconds: float) -> None:
        """Learn the engine's rate from a first event.

        Args:
            tokens: What the engine had to read until then.
            took_seconds: How long it read them.
            now_seconds: The present time.
        """
        if tokens < TELLING_TOKENS:
            return
        since_seconds = max(now_seconds - self._learnt_at_seconds, 0.0)
        kept = max(1.0 - since_seconds / REMEMBERED_SECONDS, 0.0)
        self._learnt_at_seconds = now_seconds
        self._read_tokens = kept * self._read_tokens + tokens
        self._read_seconds = kept * self._read_seconds
        self._read_seconds += max(took_seconds, 1e-3)


def make_engine_backlog() -> EngineBacklog:
    """Return the backlog of an engine that nothing is known of."""
    return EngineBacklog()
