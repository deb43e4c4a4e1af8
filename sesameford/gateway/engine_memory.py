"""Which shared parts of prompts an engine remembers, as far as routers know.

An engine keeps parts in limited memory, least recently used first to go, and says so
late or not at all. Routers tell each other which parts they send where and how many
other tokens, and each plays the engine's memory after. Were each part taken as kept at
its home for some fixed time, much would be read again where it is believed to be kept,
and first events would come later than expected.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.load_messages import UsedPart, UsedParts

# The part of an engine's memory that is taken as usable. Requests that run hold blocks
# that are not full, and what is known of other routers is late and may be lost.
USABLE_PART = 0.9
# The memory of an engine that declares none.
UNKNOWN_MEMORY_TOKENS = 200_000
# A part that is used again is reported again once so much of the memory was filled
# since: others then know well before it would seem forgotten, and a hot part costs no
# message for each of its requests.
REPORTED_AGAIN_PART = 0.25


@dataclass(slots=True)
class EngineMemory:
    """The memory of one engine, played after what went through it.

    ``_kept`` has tokens by part, least recently used first. Tokens that no other
    request shares stand there under numbers below zero.
    """

    _kept: OrderedDict[int, int] = field(default_factory=OrderedDict)
    _kept_tokens: int = 0
    _filled_tokens: int = 0
    _unshared: int = 0
    _reported_at_tokens: dict[int, int] = field(default_factory=dict)
    _news: dict[int, int] = field(default_factory=dict)
    _other_news_tokens: int = 0

    def kept_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return how many tokens from the beginning of a prompt need no reading."""
        tokens = 0
        for part in parts:
            if part.part_id not in self._kept:
                break
            tokens += part.tokens
        return tokens

    def sent(self, prompt: Prompt, memory_tokens: int | None) -> None:
        """Note a request that this router sends to the engine.

        Args:
            prompt: Its prompt.
            memory_tokens: What the engine can hold, None if it does not say.
        """
        limit = _usable_tokens(memory_tokens)
        for part in prompt.shared_parts:
            reported_at = self._reported_at_tokens.get(part.part_id)
            if reported_at is None or self._filled_tokens - reported_at > (
                REPORTED_AGAIN_PART * limit
            ):
                self._news[part.part_id] = part.tokens
                self._reported_at_tokens[part.part_id] = self._filled_tokens
            self._use(part.part_id, part.tokens)
        others = prompt.own_tokens + prompt.output_tokens
        self._other_news_tokens += others
        self._fill(others)
        self._forget(limit)

    def take(self, used: UsedParts, memory_tokens: int | None) -> None:
        """Note what another router has sent to the engine."""
        for part in used.parts:
            self._use(part.part_id, part.tokens)
        self._fill(used.other_tokens)
        self._forget(_usable_tokens(memory_tokens))

    def news(self, name: int) -> UsedParts | None:
        """Return what other routers are to know, once; None if it is nothing.

        Args:
            name: The engine's short name.
        """
        if not self._news and not self._other_news_tokens:
            return None
        parts = tuple(UsedPart(*row) for row in self._news.items())
        used = UsedParts(name, parts, self._other_news_tokens)
        self._news = {}
        self._other_news_tokens = 0
        return used

    def _use(self, part_id: int, tokens: int) -> None:
        """Make a part the most recently used one."""
        before = self._kept.pop(part_id, 0)
        self._kept[part_id] = tokens
        self._kept_tokens += tokens - before
        if not before:
            self._filled_tokens += tokens

    def _fill(self, tokens: int) -> None:
        """Let tokens through that no other request shares."""
        if tokens > 0:
            self._unshared -= 1
            self._use(self._unshared, tokens)

    def _forget(self, limit: float) -> None:
        while self._kept_tokens > limit:
            part_id, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
            self._reported_at_tokens.pop(part_id, None)


def _usable_tokens(memory_tokens: int | None) -> float:
    return USABLE_PART * (memory_tokens or UNKNOWN_MEMORY_TOKENS)


def make_engine_memory() -> EngineMemory:
    """Return the memory of an engine that was sent nothing yet."""
    return EngineMemory()
