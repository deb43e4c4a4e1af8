"""Properties of a completion request derived from its body before it runs."""

from typing import Any

from xxhash import xxh3_64_intdigest

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
MAX_PREFIXES = 32


def prompt_text(body: dict[str, Any]) -> str:
    """Return the text of a completion request's prompt, or of all its messages."""
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = body.get("messages")
    if not isinstance(messages, list):
        return ""
    contents = [m.get("content") for m in messages if isinstance(m, dict)]
    return "\n".join(content for content in contents if isinstance(content, str))


def prompt_tokens(text: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def prefix_digests(customer_id: str, text: str) -> tuple[int, ...]:
    """Return digests of a prompt's prefixes, each one block longer than the last.

    Each digest includes the customer. Otherwise one customer's prompt would be
    routed to the target that has cached another's equal prompt, and the short time
    to the first token would reveal that another customer sent the same prompt.

    Args:
        customer_id: Customer that sent the prompt.
        text: The prompt.

    Returns:
        Digests from the shortest to the longest prefix.
    """
    digests = []
    seed = xxh3_64_intdigest(customer_id.encode())
    blocks = min(len(text) // PREFIX_CHARACTERS, MAX_PREFIXES)
    for position in range(blocks):
        start = position * PREFIX_CHARACTERS
        seed = xxh3_64_intdigest(text[start : start + PREFIX_CHARACTERS].encode(), seed)
        digests.append(seed)
    return tuple(digests)
