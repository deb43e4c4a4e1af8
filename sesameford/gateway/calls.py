"""Calls, prompts and answer heads, and the adapter that translates headers."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from sesameford.errors import SesamefordError

Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A prefix part of a prompt that other prompts may share."""

    part_id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The work of a request for a model engine, as the caller's headers state it.

    ``parts`` are the prefix parts in order, the last one the request's own.
    """

    model: str
    prompt_tokens: int
    output_tokens_limit: int
    parts: tuple[PromptPart, ...] = ()
    output_tokens_hint: int | None = None

    @property
    def cost_tokens(self) -> int:
        """Return the prompt tokens plus twice the expected output tokens."""
        return self.prompt_tokens + 2 * self.output_tokens

    @property
    def output_tokens(self) -> int:
        """Return the expected number of generated tokens."""
        output_tokens = self.output_tokens_hint
        if output_tokens is None:
            output_tokens = self.output_tokens_limit // 2
        return min(output_tokens, self.output_tokens_limit)

    @property
    def own_tokens(self) -> int:
        """Return the tokens of the last part, which no other request shares."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share: all but the last."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request without its body.

    ``target`` is the path with the query, byte for byte. ``headers`` are forwarded to
    the target unchanged. ``caller_timeout_seconds`` is how long the caller waits, None
    if it is not stated. ``resume_after`` is the id of the last event of a stream that
    the caller received, ``resumes_request_id`` the request that brought its first one.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    key: str | None = None
    caller_timeout_seconds: float | None = None
    prompt: Prompt | None = None
    resume_after: str | None = None
    resumes_request_id: str | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """The system's data for one target, sent in addition to the caller's request.

    ``copy_from`` is the address of another engine that has the prompt's shared parts in
    its cache, for the target to copy them instead of reading them.
    """

    target_id: str
    customer: str | None
    resume_after: str | None = None
    copy_from: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a target's answer.

    ``is_signed`` distinguishes the target's own answers from those of intermediaries.
    ``not_run`` states that the target did no work on the request,
    ``is_other_target`` that another target has the address now. The target accepts no
    more requests from this router for ``retry_after_seconds``, None if it did not state
    a time; ``unreadable_retry_after`` is one that can't be parsed. ``is_draining``
    states that the target is shutting down.
    """

    status: int
    headers: Headers
    request_id: str | None
    is_signed: bool
    not_run: bool = False
    is_other_target: bool = False
    retry_after_seconds: float | None = None
    unreadable_retry_after: str | None = None
    is_draining: bool = False

    @property
    def has_notice(self) -> bool:
        """Whether the target states more about itself than the result."""
        states_time = (
            self.retry_after_seconds is not None
            or self.unreadable_retry_after is not None
        )
        return states_time or self.is_draining


class BadCallError(SesamefordError):
    """A request that can't be parsed.

    Args:
        detail: The error message for the caller.
        status: The HTTP status code.
    """

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.detail = detail
        self.status = status


@dataclass(frozen=True, slots=True)
class WireAdapter:
    """The functions that translate one platform's headers.

    Args:
        read_call: Parses method, path with query, and headers; raises
            ``BadCallError``.
        sent_headers: Returns the headers of a request to a target, the deadline left
            out.
        deadline_header: Returns the header that tells a target how many seconds a call
            has left as it is written.
        read_answer: Parses status and headers of a target's answer.
        read_request_id: Returns the request id in the headers of a request or an
            answer, None without one.
        generated_answer_headers: Returns the headers of an answer that the router
            generates itself.
        request_id_header: The header with the request id, in both directions.
    """

    read_call: Callable[[str, str, Mapping[str, str], Headers], Call]
    sent_headers: Callable[[Call, SendAttempt], Headers]
    deadline_header: Callable[[float], tuple[str, str]]
    read_answer: Callable[[int, Headers], AnswerHead]
    read_request_id: Callable[[Mapping[str, str]], str | None]
    generated_answer_headers: Callable[[Call | None], Headers]
    request_id_header: str
