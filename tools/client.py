"""A caller for the demo, the load generator and the benchmarks."""

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
    """A completion to request; its mark identifies it in the stand-ins' counts."""

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
        """Return the prompt with the fields that stand-in engines read."""
        fields = f"#mark={self.mark} #tokens={self.output_tokens}"
        return f"{self.filler} {fields} #customer={self.customer}"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer that a caller received.

    ``outcome`` is empty if there was no answer; ``complete`` means that the whole
    expected answer arrived, ``crossed`` that it contains parts of another answer.
    """

    status: int
    outcome: str
    complete: bool
    crossed: bool
    first_token_seconds: float
    total_seconds: float
    request_id: str = ""
    reason: str = ""
    usage: Mapping[str, Any] = field(default_factory=dict)


async def request_completion(
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
        url: Address of the instance, or of a stand-in engine.
        key: The customer's bearer key.
        work: The completion to request.
        timeout_seconds: Timeout of the whole request.
        headers: Additional headers.
        on_first_byte: Called when the first part of the answer arrives.

    Returns:
        The answer, with its text compared with the expected one.
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
    request_headers = {"Authorization": f"Bearer {key}", **(headers or {})}
    if work.hint_cost_units is not None:
        request_headers["Sesameford-Cost-Hint"] = f"{work.hint_cost_units:.1f}"
    started_at = time.monotonic()
    first_at = 0.0
    chunks: list[bytes] = []
    status, outcome, request_id, connection_error = 0, "", "", ""
    try:
        async with session.post(
            url + path,
            json=body,
            headers=request_headers,
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
        connection_error = repr(error)
    ended_at = time.monotonic()
    raw = b"".join(chunks)
    text, usage, complete, reason = _parse_answer(raw, status, work.stream)
    if status == 200 and _ERROR_MARK in raw:
        # The headers were sent before the stream broke, so the error event in the
        # stream takes precedence over the outcome in the headers.
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
        reason=connection_error or reason,
        usage=usage,
    )


def _parse_answer(
    raw: bytes, status: int, stream: bool
) -> tuple[str, Mapping[str, Any], bool, str]:
    """Return the text, the usage, whether it is complete, and an error's reason."""
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
    """Return the text of a choice of a completion, a chat message or a chat delta."""
    part = choice.get("message") or choice.get("delta") or {}
    return str(choice.get("text") or part.get("content") or "")


def _reason_of(raw: bytes) -> str:
    """Return the reason in a problem document, or the first bytes of another body."""
    try:
        return str(json.loads(raw).get("reason", ""))
    except (ValueError, AttributeError):
        return raw[:120].decode("utf-8", "replace").strip()
