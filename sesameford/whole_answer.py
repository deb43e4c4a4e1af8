"""Assembles the JSON body of a completion from the events of a stream."""

from typing import Any

from msgspec import DecodeError
from msgspec.json import decode, encode

from sesameford.errors import TargetLostError

_DATA_PREFIX = b"data: "


def assemble_completion(events: bytes, is_chat: bool) -> bytes:
    """Return the JSON body of a completion that was not requested as a stream.

    Args:
        events: All events of a complete stream.
        is_chat: Whether the answer is a chat completion.

    Returns:
        The body in the format of the usual completions API.

    Raises:
        TargetLostError: An event is not JSON, so the body can't be assembled.
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
            _append_part(choices.setdefault(part.get("index", 0), {}), part)
        answer.update({key: value for key, value in event.items() if value is not None})
    answer["object"] = "chat.completion" if is_chat else "text_completion"
    answer["choices"] = [
        _format_choice(index, choice, is_chat)
        for index, choice in sorted(choices.items())
    ]
    return encode(answer)


def _append_part(choice: dict[str, Any], part: dict[str, Any]) -> None:
    """Append one event's delta to a choice."""
    text = part.get("text") or (part.get("delta") or {}).get("content") or ""
    choice.setdefault("text", []).append(text)
    if part.get("finish_reason") is not None:
        choice["finish_reason"] = part["finish_reason"]


def _format_choice(index: int, choice: dict[str, Any], is_chat: bool) -> dict[str, Any]:
    """Return one choice in the format of the completions API."""
    text = "".join(choice.get("text", ()))
    content: dict[str, Any] = (
        {"message": {"role": "assistant", "content": text}}
        if is_chat
        else {"text": text}
    )
    return {"index": index, **content, "finish_reason": choice.get("finish_reason")}
