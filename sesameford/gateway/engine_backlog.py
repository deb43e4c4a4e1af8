"""How long the prompts at a model engine will take to be read, as one router sees it.

An engine reads prompts one after another at some tokens a second, and says so late or
not at all. A router reckons what is left of each prompt that it sent there, from the
time at which its reading should have begun, and is sent the same sum of all other
routers. Nothing is left of a prompt once its first event has come, so errors don't add
up, and an engine that was slow for a second is not avoided for ten.
"""

from dataclasses import dataclass, field

# Tokens that an engine reads in a second, until the first prompts show it. A guess on
# the slow side spreads the first prompts over more engines, which does no harm.
FIRST_RATE_TOKENS = 30_000.0
# What engines of the same kind have shown counts like so many seconds of reading. One
# that was once slow gets few prompts that could show otherwise; this lets it be tried
# again.
PRIOR_SECONDS = 0.2
LOWEST_RATE_TOKENS = 2_000.0
# What was observed loses two thirds of its weight in this time: some twenty prompts at
# a busy engine.
REMEMBERED_SECONDS = 4.0
# Fewer tokens than this say more of the network than of the engine.
TELLING_TOKENS = 1_500
# A prompt whose first event is later than expected by this counts as not read at all:
# the engine is slower than it looked, and what was sent after it is not read either.
OVERDUE_EVENT_SECONDS = 0.15
# One that is later than this is taken as lost with its answer. The engine is through
# with it, or does nothing at all, and then it is passed over as silent. Counted until
# their callers give up, lost answers of some seconds make engines look full that have
# places left, and everybody's callers are turned away for it.
LOST_SECONDS = 1.0


@dataclass(slots=True)
class ReadingRate:
    """Tokens that an engine, or all of one kind, was seen to read in a second."""

    _tokens: float = 0.0
    _seconds: float = 0.0
    _learnt_at_seconds: float = 0.0

    def rate_tokens(self, prior_tokens: float) -> float:
        """Return the rate, given what it was taken for before anything was seen."""
        tokens = self._tokens + prior_tokens * PRIOR_SECONDS
        return max(tokens / (self._seconds + PRIOR_SECONDS), LOWEST_RATE_TOKENS)

    def observed(self, tokens: int, took_seconds: float, now_seconds: float) -> None:
        """Learn from a first event.

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
        self._tokens = kept * self._tokens + tokens
        self._seconds = kept * self._seconds + max(took_seconds, 1e-3)


@dataclass(frozen=True, slots=True)
class _Unread:
    """One prompt: when its reading should begin, and its first event come."""

    tokens: int
    begins_at_seconds: float
    due_at_seconds: float


@dataclass(slots=True)
class EngineBacklog:
    """The prompts at one engine that are not read yet.

    ``kind_rate`` is what all engines of its kind have shown, ``rate`` what this one
    has; ``others_unread_tokens`` are those of all other routers.
    """

    kind_rate: ReadingRate = field(default_factory=ReadingRate)
    rate: ReadingRate = field(default_factory=ReadingRate)
    others_unread_tokens: int = 0
    _unread: dict[int, _Unread] = field(default_factory=dict)

    @property
    def rate_tokens(self) -> float:
        """Return how many tokens the engine reads in a second."""
        return self.rate.rate_tokens(self.kind_rate.rate_tokens(FIRST_RATE_TOKENS))

    def unread_tokens(self, now_seconds: float) -> int:
        """Return what is left to read of this router's prompts."""
        return sum(self._left(one, now_seconds) for one in self._unread.values())

    def ahead_tokens(self, now_seconds: float) -> int:
        """Return what is to be read before a prompt that is sent now."""
        return self.unread_tokens(now_seconds) + self.others_unread_tokens

    def wait_seconds(self, now_seconds: float) -> float:
        """Return how long until all that was sent will have been read."""
        return self.read_seconds(self.ahead_tokens(now_seconds))

    def read_seconds(self, tokens: int) -> float:
        """Return how long the engine reads so many tokens."""
        return tokens / self.rate_tokens

    def sent(
        self, number: int, tokens: int, due_at_seconds: float, now_seconds: float
    ) -> None:
        """Add a prompt.

        Args:
            number: By which it is taken out again.
            tokens: Those that the engine has to read.
            due_at_seconds: When its first event is expected.
            now_seconds: The present time.
        """
        begins_at_seconds = now_seconds + self.wait_seconds(now_seconds)
        self._unread[number] = _Unread(tokens, begins_at_seconds, due_at_seconds)

    def read(self, number: int) -> None:
        """Take a prompt out that has been read, or will never be; once is enough."""
        self._unread.pop(number, None)

    def _left(self, one: _Unread, now_seconds: float) -> int:
        overdue_seconds = now_seconds - one.due_at_seconds
        if overdue_seconds > LOST_SECONDS:
            return 0
        if overdue_seconds > OVERDUE_EVENT_SECONDS:
            return one.tokens
        reading_seconds = max(now_seconds - one.begins_at_seconds, 0.0)
        if not reading_seconds:
            return one.tokens
        return max(one.tokens - round(reading_seconds * self.rate_tokens), 0)


def make_engine_backlog(kind_rate: ReadingRate | None = None) -> EngineBacklog:
    """Return the backlog of an engine that nothing is known of.

    Args:
        kind_rate: What all engines of its kind have shown, where it has others.
    """
    return EngineBacklog(kind_rate or ReadingRate())
