"""The loop of one router in virtual time: each call costs it processor time.

What a router decides is the product's own ``admit_call``. Callers wait in the
listener's backlog until the loop takes them, leave when nobody reads them, and the
router's other work (its reports, what it is sent) waits behind them.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import takewhile
from random import Random
from typing import cast

from sesameford.gateway.admit import admit_call
from sesameford.gateway.call_context import GatewayDeps, GatewayState, Refusal
from sesameford.gateway.calls import Call, Prompt, WireAdapter
from sesameford.gateway.forward import Sender
from sesameford.gateway.gateway_metrics import make_gateway_metrics
from sesameford.gateway.load_report import REPORT_SECONDS
from sesameford.gateway.load_system import LoadSystem
from sesameford.gateway.placement import Placement
from sesameford.gateway.second_sends import make_second_sends
from sesameford.http_ports import BACKLOG_CONNECTIONS
from sesameford.listener import MAX_ACCEPTS_PER_TURN
from sesameford.settings import RetryBudgetSettings

# Callers whose connection is not read for so long give up.
UNREAD_SECONDS = 1.0
# Connections that callers keep open; each carries one call at a time.
KEPT_CONNECTIONS = 256


@dataclass(frozen=True, slots=True)
class CallCosts:
    """What a call costs a router in processor time, by what becomes of it."""

    refused_seconds: float
    served_seconds: float


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that nobody has read; on a kept connection it need not be accepted."""

    at_seconds: float
    customer: str
    host: str
    path: str
    tokens: int
    is_kept: bool = False


@dataclass(slots=True)
class VirtualLoop:
    """One router's loop and what callers in front of it meet, in calls."""

    load: LoadSystem
    costs: CallCosts
    deps: GatewayDeps
    begin: Callable[[WaitingCall], None]
    refuse: Callable[[WaitingCall], None]
    clock_seconds: float = 0.0
    backlog: deque[WaitingCall] = field(default_factory=deque)
    readable: deque[WaitingCall] = field(default_factory=deque)
    not_connected: int = 0
    left_unread: int = 0
    longest_unread_seconds: float = 0.0
    _due_at_seconds: float = 0.0
    _inbox: list[Callable[[float], None]] = field(default_factory=list)

    def arrive(self, call: WaitingCall) -> None:
        """Let a caller send, or connect where the backlog has room."""
        if call.is_kept and len(self.readable) < KEPT_CONNECTIONS:
            self.readable.append(call)
        elif len(self.backlog) < BACKLOG_CONNECTIONS:
            self.backlog.append(call)
        else:
            self.not_connected += 1
            self.refuse(call)

    def receive(self, take: Callable[[float], None]) -> None:
        """Keep a message until the loop turns."""
        self._inbox.append(take)

    def run(self, until_seconds: float) -> None:
        """Let the loop turn until a time; its last turn may end after it."""
        while self.clock_seconds < until_seconds:
            self._run_timers()
            calls = self._accepted()
            if not calls:
                self._sleep(until_seconds)
            for call in calls:
                self._serve(call)

    def _run_timers(self) -> None:
        inbox, self._inbox = self._inbox, []
        for take in inbox:
            take(self.clock_seconds)
        if self.clock_seconds >= self._due_at_seconds:
            self.load.tick(self.clock_seconds)
            self._due_at_seconds = self.clock_seconds + REPORT_SECONDS

    def _sleep(self, until_seconds: float) -> None:
        next_seconds = min(until_seconds, self._due_at_seconds)
        for waiting in (self.backlog, self.readable):
            if waiting:
                next_seconds = min(next_seconds, waiting[0].at_seconds)
        self.clock_seconds = max(next_seconds, self.clock_seconds)

    def _accepted(self) -> list[WaitingCall]:
        """Return the calls that are taken in one turn."""
        accepted = self._come(self.backlog)[:MAX_ACCEPTS_PER_TURN]
        read = self._come(self.readable)
        for _ in accepted:
            self.backlog.popleft()
        for _ in read:
            self.readable.popleft()
        return accepted + read

    def _come(self, waiting: Iterable[WaitingCall]) -> list[WaitingCall]:
        """Return those that have come by now."""
        return list(
            takewhile(lambda call: call.at_seconds <= self.clock_seconds, waiting)
        )

    def _serve(self, call: WaitingCall) -> None:
        """Decide on a call; one whose caller has left costs as much as a refusal."""
        unread_seconds = self.clock_seconds - call.at_seconds
        if unread_seconds > UNREAD_SECONDS:
            self.left_unread += 1
            self.refuse(call)
            self.clock_seconds += self.costs.refused_seconds
            return
        self.longest_unread_seconds = max(self.longest_unread_seconds, unread_seconds)
        if self._is_admitted(call):
            self.clock_seconds += self.costs.served_seconds
            self.begin(call)
        else:
            self.clock_seconds += self.costs.refused_seconds
            self.refuse(call)

    def _is_admitted(self, call: WaitingCall) -> bool:
        prompt = Prompt("m", call.tokens, 0)
        asked = Call(
            "id", "POST", call.host, call.path, (), call.customer, None, prompt
        )
        try:
            admit_call(self.deps, asked, self.clock_seconds)
        except Refusal:
            return False
        return True


def make_virtual_loop(
    load: LoadSystem,
    costs: CallCosts,
    state: GatewayState,
    placement: Placement,
    begin: Callable[[WaitingCall], None],
    refuse: Callable[[WaitingCall], None],
) -> VirtualLoop:
    """Return a loop that has not turned yet.

    Args:
        load: The router's loads and shares.
        costs: What calls cost it.
        state: What is in force.
        placement: In place of the router's own, asked for room alone.
        begin: Called with each call that is let in.
        refuse: Called with each call that is not.
    """

    def now() -> float:
        return loop.clock_seconds

    nobody = cast(WireAdapter, None), cast(Sender, None)
    deps = GatewayDeps(
        *nobody,
        placement,
        load.gate,
        make_second_sends(RetryBudgetSettings()),
        load.lag,
        make_gateway_metrics(),
        Random(1),
        lambda: state,
        lambda: 1,
        lambda: False,
        lambda: False,
        lambda: True,
        now,
        now,
    )
    loop = VirtualLoop(load, costs, deps, begin, refuse)
    return loop
