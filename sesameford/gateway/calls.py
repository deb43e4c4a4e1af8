"""A caller's request to a route, and what an edge says of requests and answers."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from sesameford.errors import SesamefordError

Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may begin with too."""

    part_id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a caller says beforehand of the work for a model engine."""

    model: str
    prompt_tokens: int
    output_tokens_limit: int
    parts: tuple[PromptPart, ...] = ()
    output_tokens_hint: int | None = None

    @property
    def cost_tokens(self) -> int:
        """Return the tokens read, and twice those that will likely be generated."""
        return self.prompt_tokens + 2 * self.output_tokens

    @property
    def output_tokens(self) -> int:
        """Return how many tokens will likely be generated."""
        output_tokens = self.output_tokens_hint
        if output_tokens is None:
            output_tokens = self.output_tokens_limit // 2
        return min(output_tokens, self.output_tokens_limit)

    @property
    def own_tokens(self) -> int:
        """Return the tokens that no other request has, as far as it says."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests have; the last is this one's own."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class Call:
    """A request as its caller sent it, without its body.

    ``target`` is the path with the query, byte for byte. ``headers`` are those that
    go on to the target as they came. ``patience_seconds`` is how long the caller
    waits, None where it does not say. ``resume_after`` is the last event that the
    caller has of a stream.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    key: str | None = None
    patience_seconds: float | None = None
    prompt: Prompt | None = None
    resume_after: str | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """What the system tells one target beside the caller's own request.

    ``copy_from`` is the address of another engine that remembers the prompt's shared
    parts, for the target to copy them instead of reading them.
    """

    target_id: str
    customer: str | None
    left_seconds: float
    resume_after: str | None = None
    copy_from: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of a target's answer says.

    ``is_signed`` tells the target's own answers from anything between. ``not_run``
    is its word that it did no work on the request; ``is_other`` that another target
    has the address now. ``idle_seconds`` is how long it keeps the connection.
    """

    status: int
    headers: Headers
    request_id: str | None
    is_signed: bool
    not_run: bool = False
    is_other: bool = False


class BadCallError(SesamefordError):
    """A request that can't be understood.

    Args:
        detail: A sentence for the caller.
        status: The HTTP status code.
    """

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.detail = detail
        self.status = status


@dataclass(frozen=True, slots=True)
class WireAdapter:
    """How callers and targets of one platform speak.

    Args:
        read_call: Reads method, path with query, and headers; raises
            ``BadCallError``.
        sent_headers: Returns all headers for a target.
        read_answer: Reads status and headers of a target's answer.
        own_headers: Returns the headers of an answer of the system's own.
    """

    read_call: Callable[[str, str, Mapping[str, str], Headers], Call]
    sent_headers: Callable[[Call, SendAttempt], Headers]
    read_answer: Callable[[int, Headers], AnswerHead]
    own_headers: Callable[[Call | None], Headers]
