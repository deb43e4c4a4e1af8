"""Marks in a prompt that control a stand-in, and the answers to marked requests.

``#tokens=37`` sets the number of output tokens, ``#mark=abc`` names the request in
counts and in every token of the answer, ``#customer=c1`` accounts its service,
``#crash`` ends the engine once the request runs, ``#refuse`` answers "not started",
``#silent`` sends the first events and then nothing on that connection.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from standins.batch import TOKEN_CHARACTERS

_FIELD = re.compile(r"#(tokens|mark|customer)=([\w.-]+)")
_FLAG = re.compile(r"#(crash|refuse|silent)\b")
_DEFAULT_TOKENS = 16


@dataclass(frozen=True, slots=True)
class Marks:
    """The marks of one request."""

    mark: str
    customer: str
    output_tokens: int
    prompt_tokens: int
    flags: frozenset[str]


def prompt_of(body: Mapping[str, Any]) -> str:
    """Return the prompt of a completion or the joined messages of a chat."""
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = body.get("messages")
    if not isinstance(messages, list):
        return ""
    return "\n".join(
        str(message.get("content", ""))
        for message in messages
        if isinstance(message, dict)
    )


def read_marks(prompt: str, max_tokens: int | None) -> Marks:
    """Return the marks of a prompt; without a name its digest is the name.

    Args:
        prompt: The whole prompt.
        max_tokens: The field of the request, used if no mark sets the tokens.

    Returns:
        The marks.
    """
    fields = dict(_FIELD.findall(prompt))
    tokens = fields.get("tokens", "")
    output_tokens = int(tokens) if tokens.isdigit() else (max_tokens or _DEFAULT_TOKENS)
    return Marks(
        mark=fields.get("mark") or sha256(prompt.encode()).hexdigest()[:12],
        customer=fields.get("customer", ""),
        output_tokens=output_tokens,
        prompt_tokens=-(-len(prompt) // TOKEN_CHARACTERS),
        flags=frozenset(_FLAG.findall(prompt)),
    )


def answer_text(mark: str, start: int, end: int) -> str:
    """Return the tokens from start to end of the answer to a marked request.

    Every token carries the request's name, so that a single token from another answer
    is detected.
    """
    return "".join(f"{mark}:{position} " for position in range(start, end))
