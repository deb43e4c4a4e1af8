"""Assembles a whole completion from the events of a stream."""

from typing import Any

from msgspec import DecodeError
from msgspec.json import decode, encode

from sesameford.errors import TargetLostError

_DATA_PREFIX = b"data: "


def assemble(events: bytes, is_chat: bool) -> bytes:
    """Return the JSON body of a whole answer.

    Args:
        events: All events of a stream that is done.
        is_chat: Whether the answer is a chat completion.

    Returns:
        The body of the usual completions dialect.

    Raises:
        TargetLostError: An event is no JSON, so the answer can't be told whole.
    """
    answer: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for line in events.split(b"\n"):
        if not line.startswith(_DATA_PREFIX) or line.startswith(b"data: [DONE]"):
            continue
        try:
            event = decode(line[len(_DATA_PREFIX) :])
        except DecodeError as error:
            raise TargetLostError(f"an event is no JSON: {error}") from error
        for part in event.pop("choices", ()):
            _add(choices.setdefault(part.get("index", 0), {}), part)
        answer.update({key: value for key, value in event.items() if value is not None})
    answer["object"] = "chat.completion" if is_chat else "text_completion"
    answer["choices"] = [
        _choice(index, choice, is_chat) for index, choice in sorted(choices.items())
    ]
    return encode(answer)


def _add(choice: dict[str, Any], part: dict[str, Any]) -> None:
    """Add one event's part to what a choice has so far."""
    text = part.get("text") or (part.get("delta") or {}).get("content") or ""
    choice.setdefault("text", []).append(text)
    if part.get("finish_reason") is not None:
        choice["finish_reason"] = part["finish_reason"]


def _choice(index: int, choice: dict[str, Any], is_chat: bool) -> dict[str, Any]:
    """Return one choice in the dialect's form."""
    text = "".join(choice.get("text", ()))
    content: dict[str, Any] = (
        {"message": {"role": "assistant", "content": text}}
        if is_chat
        else {"text": text}
    )
    return {"index": index, **content, "finish_reason": choice.get("finish_reason")}
