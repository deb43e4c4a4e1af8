"""Admission of calls as soon as their heads have arrived."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from aiohttp.http_parser import RawRequestMessage

from sesameford.early_answers import EarlyAnswer
from sesameford.gateway.admit import AdmittedCall, admit_call
from sesameford.gateway.call_context import GatewayDeps, Refusal
from sesameford.gateway.calls import BadCallError, Call
from sesameford.gateway.dispatch_limit import DispatchLimit
from sesameford.gateway.generated_answer import refuse_call


@dataclass(frozen=True, slots=True)
class EarlyCall:
    """An admitted call whose body is not read yet."""

    call: Call
    admitted: AdmittedCall
    arrived_at_seconds: float
    dispatch_limit: DispatchLimit

    def drop(self) -> None:
        """Record that its connection was lost before its handler began."""
        self.dispatch_limit.remove(self.admitted.dispatch_number)


def make_early_decision(
    deps: GatewayDeps,
) -> Callable[[RawRequestMessage, float], EarlyAnswer | EarlyCall]:
    """Return the function that decides on a call by its head.

    Its second argument is how long the call's connection may have waited to be
    accepted. It returns an ``EarlyCall`` for an admitted call, an answer for a refused
    one.
    """

    def decide_early(
        message: RawRequestMessage, backlog_seconds: float
    ) -> EarlyAnswer | EarlyCall:
        arrived_at_seconds = deps.now()
        call = None
        try:
            call = read_call(deps, message.method, message.path, message.headers)
            admitted = admit_call(deps, call, arrived_at_seconds, backlog_seconds)
        except Refusal as refusal:
            return refuse_call(
                deps, call, None, refusal, arrived_at_seconds
            ).to_early_answer()
        return EarlyCall(call, admitted, arrived_at_seconds, deps.dispatch_limit)

    return decide_early


def read_call(
    deps: GatewayDeps, method: str, target: str, headers: Mapping[str, str]
) -> Call:
    """Parse a call with the platform's adapter.

    Args:
        deps: The router's parts.
        method: The HTTP method.
        target: The path with the query.
        headers: The headers.

    Raises:
        Refusal: The call can't be parsed.
    """
    pairs = [(str(name), value) for name, value in headers.items()]
    try:
        return deps.wire_adapter.read_call(method, target, headers, pairs)
    except BadCallError as error:
        raise Refusal(error.status, error.detail) from error
