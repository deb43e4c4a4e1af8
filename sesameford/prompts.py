"""What can be told of a request from its body before it runs."""

from typing import Any

from xxhash import xxh3_64_intdigest

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
MAX_PREFIXES = 32


def prompt_text(body: dict[str, Any]) -> str:
    """Return all text of a completion request's prompt or messages."""
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = body.get("messages")
    if not isinstance(messages, list):
        return ""
    contents = [m.get("content") for m in messages if isinstance(m, dict)]
    return "\n".join(content for content in contents if isinstance(content, str))


def prompt_tokens(text: str) -> int:
    """Return a rough number of tokens of a prompt."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def prefix_digests(customer_id: str, text: str) -> tuple[int, ...]:
    """Return digests of ever longer prefixes of a prompt.

    The customer is part of each digest. Otherwise one customer's prompt would be
    routed to where another's equal prompt is cached, and the quick first token
    would tell that somebody else has asked just this.

    Args:
        customer_id: Whose prompt it is.
        text: The prompt.

    Returns:
        Digests from the shortest to the longest prefix.
    """
    digests = []
    seed = xxh3_64_intdigest(customer_id.encode())
    whole = min(len(text) // PREFIX_CHARACTERS, MAX_PREFIXES)
    for position in range(whole):
        start = position * PREFIX_CHARACTERS
        seed = xxh3_64_intdigest(text[start : start + PREFIX_CHARACTERS].encode(), seed)
        digests.append(seed)
    return tuple(digests)
