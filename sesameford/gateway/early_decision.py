"""Whether a call is to run, decided when its head has come."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from aiohttp.http_parser import RawRequestMessage

from sesameford.early_answers import EarlyAnswer
from sesameford.gateway.admit import Admitted, decide
from sesameford.gateway.call_context import GatewayDeps, Refusal
from sesameford.gateway.calls import BadCallError, Call
from sesameford.gateway.own_answer import refuse


@dataclass(frozen=True, slots=True)
class EarlyCall:
    """A call that is to run, of which the body is not read yet."""

    call: Call
    admitted: Admitted
    arrived_at_seconds: float


def make_early_decision(
    deps: GatewayDeps,
) -> Callable[[RawRequestMessage], EarlyAnswer | EarlyCall]:
    """Return what decides on the heads of calls."""

    def decide_early(message: RawRequestMessage) -> EarlyAnswer | EarlyCall:
        arrived_at_seconds = deps.now()
        call = None
        try:
            call = read_call(deps, message.method, message.path, message.headers)
            admitted = decide(deps, call, arrived_at_seconds)
        except Refusal as refusal:
            return refuse(deps, call, None, refusal, arrived_at_seconds).early()
        return EarlyCall(call, admitted, arrived_at_seconds)

    return decide_early


def read_call(
    deps: GatewayDeps, method: str, target: str, headers: Mapping[str, str]
) -> Call:
    """Return what a caller asks.

    Raises:
        Refusal: It can't be read.
    """
    pairs = [(str(name), value) for name, value in headers.items()]
    try:
        return deps.wire_adapter.read_call(method, target, headers, pairs)
    except BadCallError as error:
        raise Refusal(error.status, error.detail) from error
