"""A caller, as the demo, the load tool and the bench need one."""

import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from standins.marks import answer_text

_END_MARK = b"data: [DONE]"
_ERROR_MARK = b"event: error"


@dataclass(frozen=True, slots=True)
class Work:
    """A completion to ask for; its mark names it in the stand-ins' counts."""

    mark: str
    customer: str
    model: str
    output_tokens: int
    filler: str = ""
    hint_cost_units: float | None = None
    stream: bool = True
    chat: bool = False

    @property
    def prompt(self) -> str:
        """Return the prompt with its marks."""
        fields = f"#mark={self.mark} #tokens={self.output_tokens}"
        return f"{self.filler} {fields} #customer={self.customer}"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got; ``outcome`` is empty where no answer came at all."""

    status: int
    outcome: str
    complete: bool
    crossed: bool
    first_token_seconds: float
    total_seconds: float
    request_id: str = ""
    reason: str = ""
    usage: Mapping[str, Any] = field(default_factory=dict)


async def ask(
    session: ClientSession,
    url: str,
    key: str,
    work: Work,
    timeout_seconds: float = 60.0,
    headers: Mapping[str, str] | None = None,
    on_first_byte: Callable[[], None] = lambda: None,
) -> Answer:
    """Send a completion and check the answer against the request.

    Args:
        session: The caller's connections.
        url: The instance, or a stand-in engine directly.
        key: The customer's bearer key.
        work: What to ask for.
        timeout_seconds: When to give up.
        headers: More headers to send.
        on_first_byte: Called when the first part of the answer is here.

    Returns:
        What came, checked token by token.
    """
    body: dict[str, Any] = {
        "model": work.model,
        "max_tokens": work.output_tokens,
        "stream": work.stream,
    }
    if work.chat:
        body["messages"] = [{"role": "user", "content": work.prompt}]
    else:
        body["prompt"] = work.prompt
    path = "/v1/chat/completions" if work.chat else "/v1/completions"
    sent = {"Authorization": f"Bearer {key}", **(headers or {})}
    if work.hint_cost_units is not None:
        sent["Sesameford-Cost-Hint"] = f"{work.hint_cost_units:.1f}"
    started_at = time.monotonic()
    first_at = 0.0
    chunks: list[bytes] = []
    status, outcome, request_id, broken = 0, "", "", ""
    try:
        async with session.post(
            url + path,
            json=body,
            headers=sent,
            timeout=ClientTimeout(total=timeout_seconds),
        ) as response:
            status = response.status
            outcome = response.headers.get("Sesameford-Outcome", "")
            request_id = response.headers.get("Sesameford-Request-Id", "")
            async for chunk in response.content.iter_any():
                if not first_at:
                    first_at = time.monotonic()
                    on_first_byte()
                chunks.append(chunk)
    except (ClientError, TimeoutError, OSError) as error:
        broken = repr(error)
    ended_at = time.monotonic()
    raw = b"".join(chunks)
    text, usage, complete, reason = _read(raw, status, work.stream)
    if status == 200 and _ERROR_MARK in raw:
        # The outcome in the headers was sent before the stream broke; what is said
        # in the stream goes before it.
        outcome = "unknown"
    expected = answer_text(work.mark, 0, work.output_tokens)
    return Answer(
        status=status,
        outcome=outcome,
        complete=complete and text == expected,
        crossed=not expected.startswith(text),
        first_token_seconds=(first_at or ended_at) - started_at,
        total_seconds=ended_at - started_at,
        request_id=request_id,
        reason=broken or reason,
        usage=usage,
    )


def _read(
    raw: bytes, status: int, stream: bool
) -> tuple[str, Mapping[str, Any], bool, str]:
    """Return text, usage, whether the end was seen, and the reason of an error."""
    if status != 200:
        return "", {}, False, _reason_of(raw)
    if not stream:
        try:
            answer = json.loads(raw)
            text = _text_of(answer["choices"][0])
            return text, answer.get("usage") or {}, True, ""
        except (ValueError, LookupError, TypeError):
            return "", {}, False, "no whole answer"
    parts: list[str] = []
    usage: Mapping[str, Any] = {}
    for line in raw.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        try:
            event = json.loads(line[6:])
        except ValueError:
            continue
        usage = event.get("usage") or usage
        parts.extend(_text_of(choice) for choice in event.get("choices", ()))
    complete = _END_MARK in raw
    return "".join(parts), usage, complete, "" if complete else "cut"


def _text_of(choice: Mapping[str, Any]) -> str:
    """Return the text of a choice: a completion's, or a chat's, whole or in part."""
    part = choice.get("message") or choice.get("delta") or {}
    return str(choice.get("text") or part.get("content") or "")


def _reason_of(raw: bytes) -> str:
    """Return the reason in a problem document, or its first bytes."""
    try:
        return str(json.loads(raw).get("reason", ""))
    except (ValueError, AttributeError):
        return raw[:120].decode("utf-8", "replace").strip()
