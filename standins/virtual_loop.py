"""Simulates a router's event loop in virtual time; each call costs processor time.

The product's ``admit_call`` decides on each call. Callers wait in the listener's
backlog until the loop accepts them, and give up if their call isn't read in time. The
router's other work, its reports and the messages that it receives, waits behind the
calls.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import takewhile
from random import Random
from types import SimpleNamespace
from typing import cast

from sesameford.gateway.admit import admit_call
from sesameford.gateway.call_context import GatewayDeps, GatewayState, Refusal
from sesameford.gateway.calls import Call, Prompt, WireAdapter
from sesameford.gateway.forward import Sender
from sesameford.gateway.gateway_metrics import make_gateway_metrics
from sesameford.gateway.load_report import REPORT_SECONDS
from sesameford.gateway.load_system import LoadSystem
from sesameford.gateway.origin_exchange import OriginExchange
from sesameford.gateway.placement import Placement
from sesameford.gateway.second_sends import make_second_sends
from sesameford.gateway.service_versions import ServiceVersions
from sesameford.gateway.suspect_calls import SuspectCalls
from sesameford.gateway.suspect_exchange import SuspectExchange, make_suspect_exchange
from sesameford.http_ports import BACKLOG_CONNECTIONS
from sesameford.listener import (
    MAX_KEPT_WAITING,
    MAX_OPENED_PER_TURN,
    MAX_SHED_PER_TURN,
    MAX_WAIT_SECONDS,
)
from sesameford.settings import RetryBudgetSettings

# A connection is shed at this part of the cost of a refusal.
SHED_COST_PART = 0.2
# Callers give up if their call is not read for this long.
UNREAD_SECONDS = 1.0
# Connections that callers keep open; each carries one call at a time.
KEEP_ALIVE_CONNECTIONS = 256


@dataclass(frozen=True, slots=True)
class CallCosts:
    """Processor time that a refused or a served call costs a router."""

    refused_seconds: float
    served_seconds: float


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call not read yet; if ``is_connected``, its connection is already accepted."""

    at_seconds: float
    customer: str
    host: str
    path: str
    tokens: int
    is_connected: bool = False


@dataclass(slots=True)
class VirtualLoop:
    """The event loop of one router and the calls that wait for it.

    ``not_connected`` counts calls that found the backlog full, ``left_unread`` calls
    whose caller gave up before they were read.
    """

    load: LoadSystem
    costs: CallCosts
    deps: GatewayDeps
    admit: Callable[[WaitingCall], None]
    refuse: Callable[[WaitingCall], None]
    clock_seconds: float = 0.0
    backlog: deque[WaitingCall] = field(default_factory=deque)
    readable: deque[WaitingCall] = field(default_factory=deque)
    not_connected: int = 0
    left_unread: int = 0
    longest_unread_seconds: float = 0.0
    longest_dispatch_seconds: float = 0.0
    _admitted: list[tuple[WaitingCall, int]] = field(default_factory=list)
    _due_at_seconds: float = 0.0
    _inbox: list[Callable[[float], None]] = field(default_factory=list)

    def arrive(self, call: WaitingCall) -> None:
        """Queue a call on an open connection, or in the backlog unless it is full."""
        if call.is_connected and len(self.readable) < KEEP_ALIVE_CONNECTIONS:
            self.readable.append(call)
        elif len(self.backlog) < BACKLOG_CONNECTIONS:
            self.backlog.append(call)
        else:
            self.not_connected += 1
            self.refuse(call)

    def receive(self, handle: Callable[[float], None]) -> None:
        """Queue a message's handler for the next turn of the loop."""
        self._inbox.append(handle)

    def run(self, until_seconds: float) -> None:
        """Run the loop until a time; its last turn may end later."""
        while self.clock_seconds < until_seconds:
            self._run_timers()
            calls = self._pop_readable_calls()
            if not calls:
                self._sleep(until_seconds)
            for call in calls:
                self._decide(call)
            self._dispatch_admitted()

    def _run_timers(self) -> None:
        inbox, self._inbox = self._inbox, []
        for handle in inbox:
            handle(self.clock_seconds)
        if self.clock_seconds >= self._due_at_seconds:
            self.load.tick(self.clock_seconds)
            self._due_at_seconds = self.clock_seconds + REPORT_SECONDS

    def _sleep(self, until_seconds: float) -> None:
        next_seconds = min(until_seconds, self._due_at_seconds)
        for waiting in (self.backlog, self.readable):
            if waiting:
                next_seconds = min(next_seconds, waiting[0].at_seconds)
        self.clock_seconds = max(next_seconds, self.clock_seconds)

    def _pop_readable_calls(self) -> list[WaitingCall]:
        """Remove and return the calls that are read in one turn.

        Of new connections the newest are opened, and late ones shed.
        """
        waiting = self._arrived_calls(self.backlog)
        for _ in waiting:
            self.backlog.popleft()
        opened = waiting[-MAX_OPENED_PER_TURN:]
        kept = waiting[: -len(opened)] if opened else []
        for _ in range(MAX_SHED_PER_TURN):
            if not kept or not self._is_shed(kept):
                break
            self.clock_seconds += SHED_COST_PART * self.costs.refused_seconds
            self.refuse(kept.pop(0))
        self.backlog.extendleft(reversed(kept))
        read = self._arrived_calls(self.readable)
        for _ in read:
            self.readable.popleft()
        return opened + read

    def _is_shed(self, kept: list[WaitingCall]) -> bool:
        """Return whether the oldest of the connections that wait is shed."""
        is_late = self.clock_seconds - kept[0].at_seconds > MAX_WAIT_SECONDS
        return is_late or len(kept) > MAX_KEPT_WAITING

    def _arrived_calls(self, waiting: Iterable[WaitingCall]) -> list[WaitingCall]:
        """Return the waiting calls that have arrived by now."""
        return list(
            takewhile(lambda call: call.at_seconds <= self.clock_seconds, waiting)
        )

    def _decide(self, call: WaitingCall) -> None:
        """Decide on a call; if its caller gave up, it costs as much as a refusal."""
        unread_seconds = self.clock_seconds - call.at_seconds
        if unread_seconds > UNREAD_SECONDS:
            self.left_unread += 1
            self.refuse(call)
            self.clock_seconds += self.costs.refused_seconds
            return
        self.longest_unread_seconds = max(self.longest_unread_seconds, unread_seconds)
        prompt = Prompt("m", call.tokens, 0)
        gateway_call = Call(
            "id", "POST", call.host, call.path, (), call.customer, None, prompt
        )
        # The last turn before a call is read is the loop's lateness.
        lateness_seconds = self.load.lag.lateness_seconds(self.clock_seconds)
        backlog_seconds = max(unread_seconds - lateness_seconds, 0.0)
        if call.is_connected:
            backlog_seconds = 0.0
        try:
            admitted = admit_call(
                self.deps, gateway_call, self.clock_seconds, backlog_seconds
            )
        except Refusal:
            self.clock_seconds += self.costs.refused_seconds
            self.refuse(call)
            return
        self._admitted.append((call, admitted.dispatch_number))

    def _dispatch_admitted(self) -> None:
        """Handle the calls admitted in this turn, as the tasks of their handlers do."""
        for call, number in self._admitted:
            self.clock_seconds += self.costs.served_seconds
            self.deps.dispatch_limit.remove(number)
            delay_seconds = self.clock_seconds - call.at_seconds
            self.longest_dispatch_seconds = max(
                self.longest_dispatch_seconds, delay_seconds
            )
            self.admit(call)
        self._admitted.clear()


def _make_exchange() -> SuspectExchange:
    """Return an exchange without suspects: no target crashes in virtual time."""
    return make_suspect_exchange(
        "router", 300.0, False, lambda now_seconds: (), lambda outgoing: None
    )


def make_virtual_loop(
    load: LoadSystem,
    costs: CallCosts,
    state: GatewayState,
    placement: Placement,
    admit: Callable[[WaitingCall], None],
    refuse: Callable[[WaitingCall], None],
) -> VirtualLoop:
    """Return a loop that has not run yet.

    Args:
        load: The router's load system.
        costs: Processor time of each call.
        state: Settings that are in force.
        placement: Replaces the router's placement; only its spare capacity is read.
        admit: Called with each admitted call.
        refuse: Called with each refused call.
    """

    def now() -> float:
        return loop.clock_seconds

    unused = cast(WireAdapter, None), cast(Sender, None)
    deps = GatewayDeps(
        *unused,
        placement,
        load.gate,
        make_second_sends(RetryBudgetSettings()),
        load.lag,
        make_gateway_metrics(),
        Random(1),
        lambda: state,
        lambda: 1.0,
        lambda: False,
        lambda: False,
        lambda: True,
        now,
        now,
        cast(SuspectCalls, SimpleNamespace(exchange=_make_exchange())),
        cast(OriginExchange, None),
        cast(ServiceVersions, None),
    )
    loop = VirtualLoop(load, costs, deps, admit, refuse)
    return loop
