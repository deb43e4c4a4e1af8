"""A router's model of which shared parts of prompts an engine has cached.

An engine caches parts in limited memory, evicts the least recently used ones, and
reports this late or not at all. Routers report to each other which parts and how many
other tokens they send to each engine, and each router simulates the engine's memory.
If each part counted as cached at its home for a fixed time, many parts would have to be
read again where they are assumed cached, and first events would be late.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.load_messages import UsedPart, UsedParts

# The part of an engine's memory that the model uses. Running requests hold partly
# filled blocks, and reports of other routers are late and may be lost.
USABLE_MEMORY_FRACTION = 0.9
# The memory of an engine that declares no size.
DEFAULT_MEMORY_TOKENS = 200_000
# A part in repeated use is reported again once this fraction of the memory was filled
# since: others receive the report well before they would evict the part, and a hot
# part does not cost a message for each request.
REPORT_INTERVAL_MEMORY_FRACTION = 0.25


@dataclass(slots=True)
class EngineMemory:
    """The simulated memory of one engine.

    ``_cached`` holds tokens by part, least recently used first. Tokens that no other
    request shares are stored there under negative ids.
    """

    _cached: OrderedDict[int, int] = field(default_factory=OrderedDict)
    _cached_tokens: int = 0
    _filled_tokens: int = 0
    _last_unshared_id: int = 0
    _reported_at_tokens: dict[int, int] = field(default_factory=dict)
    _unreported_parts: dict[int, int] = field(default_factory=dict)
    _unreported_other_tokens: int = 0

    def cached_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return how many tokens at the start of a prompt need no reading."""
        tokens = 0
        for part in parts:
            if part.part_id not in self._cached:
                break
            tokens += part.tokens
        return tokens

    def record_sent(self, prompt: Prompt, memory_tokens: int | None) -> None:
        """Record a request that this router sends to the engine.

        Args:
            prompt: Its prompt.
            memory_tokens: The engine's capacity in tokens, None if not declared.
        """
        limit = _usable_tokens(memory_tokens)
        for part in prompt.shared_parts:
            reported_at = self._reported_at_tokens.get(part.part_id)
            if reported_at is None or self._filled_tokens - reported_at > (
                REPORT_INTERVAL_MEMORY_FRACTION * limit
            ):
                self._unreported_parts[part.part_id] = part.tokens
                self._reported_at_tokens[part.part_id] = self._filled_tokens
            self._use(part.part_id, part.tokens)
        unshared_tokens = prompt.own_tokens + prompt.output_tokens
        self._unreported_other_tokens += unshared_tokens
        self._add_unshared(unshared_tokens)
        self._evict(limit)

    def record_used_parts(self, used: UsedParts, memory_tokens: int | None) -> None:
        """Record what another router has sent to the engine."""
        for part in used.parts:
            self._use(part.part_id, part.tokens)
        self._add_unshared(used.other_tokens)
        self._evict(_usable_tokens(memory_tokens))

    def flush_used_parts(self, name: int) -> UsedParts | None:
        """Return what was not reported to other routers yet, None if there is nothing.

        Args:
            name: The engine's short name.
        """
        if not self._unreported_parts and not self._unreported_other_tokens:
            return None
        parts = tuple(UsedPart(*row) for row in self._unreported_parts.items())
        used = UsedParts(name, parts, self._unreported_other_tokens)
        self._unreported_parts = {}
        self._unreported_other_tokens = 0
        return used

    def _use(self, part_id: int, tokens: int) -> None:
        """Make a part the most recently used one; add it if it is not cached."""
        before = self._cached.pop(part_id, 0)
        self._cached[part_id] = tokens
        self._cached_tokens += tokens - before
        if not before:
            self._filled_tokens += tokens

    def _add_unshared(self, tokens: int) -> None:
        """Add tokens that no other request shares."""
        if tokens > 0:
            self._last_unshared_id -= 1
            self._use(self._last_unshared_id, tokens)

    def _evict(self, limit: float) -> None:
        while self._cached_tokens > limit:
            part_id, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
            self._reported_at_tokens.pop(part_id, None)


def _usable_tokens(memory_tokens: int | None) -> float:
    return USABLE_MEMORY_FRACTION * (memory_tokens or DEFAULT_MEMORY_TOKENS)


def make_engine_memory() -> EngineMemory:
    """Return the empty memory of an engine that has received no request."""
    return EngineMemory()
