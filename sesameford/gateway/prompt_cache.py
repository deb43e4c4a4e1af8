"""Which parts of prompts an engine remembers, as far as one router has sent them."""

from dataclasses import dataclass, field

from sesameford.gateway.calls import Prompt, PromptPart

# A part is taken as kept where it was used so short a time ago.
KEPT_SECONDS = 60.0
# Parts remembered of one engine; a hundred bytes each.
MOST_PARTS = 2_000


@dataclass(slots=True)
class PromptCache:
    """When this router last used each part at one engine."""

    _used_at_seconds: dict[int, float] = field(default_factory=dict)

    def has(self, part: PromptPart, now_seconds: float) -> bool:
        """Return whether the engine should still have a part."""
        used_at_seconds = self._used_at_seconds.get(part.part_id)
        if used_at_seconds is None:
            return False
        return now_seconds - used_at_seconds < KEPT_SECONDS

    def note(self, prompt: Prompt, now_seconds: float) -> None:
        """Note that the engine reads a prompt."""
        used = self._used_at_seconds
        for part in prompt.parts:
            used[part.part_id] = now_seconds
        if len(used) > MOST_PARTS:
            for part_id in sorted(used, key=used.__getitem__)[: MOST_PARTS // 2]:
                del used[part_id]


def make_prompt_cache() -> PromptCache:
    """Return the memory of an engine that was sent nothing yet."""
    return PromptCache()
