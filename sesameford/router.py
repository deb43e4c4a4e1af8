"""Delivers the scheduler's decisions to the callers that wait for them."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from sesameford.effective import EffectiveTree
from sesameford.errors import NotRunError
from sesameford.members import Members
from sesameford.messages import Outgoing
from sesameford.metrics import Metrics
from sesameford.scheduling import Scheduler
from sesameford.tables import Attempt, Outcome, Request, Target, Usage
from sesameford.targets import TargetRegistry

logger = logging.getLogger(__name__)

DEADLINE_RETRY_SECONDS = 1.0


class Router:
    """The tables of one instance and the futures of its waiting callers."""

    def __init__(
        self,
        scheduler: Scheduler,
        registry: TargetRegistry,
        members: Members,
        metrics: Metrics,
        send: Callable[[Outgoing], None],
        now: Callable[[], float],
    ) -> None:
        self.scheduler = scheduler
        self.registry = registry
        self.members = members
        self.metrics = metrics
        self.tree = EffectiveTree()
        self._send = send
        self._now = now
        self._waiters: dict[str, asyncio.Future[Attempt]] = {}
        self._resource_of: dict[str, str] = {}
        self._targets: dict[str, Target] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._unit_of: dict[str, tuple[str, str]] = {}
        self._decision_is_due = False
        self._retrying: set[str] = set()

    def configure(self, tree: EffectiveTree) -> None:
        """Apply a tree of settings."""
        self.tree = tree
        self.metrics.revision.set({}, tree.revision)
        self.scheduler.configure(tree, self._now())
        self.schedule_decision()

    def find_target(self, attempt: Attempt) -> Target | None:
        """Return the target of an attempt, or None if it left or restarted."""
        target = self._targets.get(attempt.target_id)
        if target is None or target.incarnation != attempt.target_incarnation:
            return None
        return target

    async def first_attempt(self, request: Request) -> Attempt:
        """Queue a request and wait until it may run.

        Raises:
            NotRunError: A limit is reached, or the deadline passed during the wait.
        """
        self.scheduler.submit(request, self._now())
        return await self._wait_for_attempt(request)

    async def next_attempt(
        self, request: Request, attempt: Attempt, reason: str
    ) -> Attempt:
        """Queue a request again after a failed attempt, and wait until it may run.

        Raises:
            NotRunError: The deadline passed during the wait.
        """
        self.metrics.retries.inc({"reason": reason})
        self._remove_running(attempt)
        self.scheduler.requeue_attempt(
            attempt.attempt_id, attempt.target_id, self._now()
        )
        self._retrying.add(request.request_id)
        try:
            return await self._wait_for_attempt(request)
        finally:
            self._retrying.discard(request.request_id)

    def settle(self, attempt: Attempt, usage: Usage, outcome: Outcome) -> None:
        """End an attempt and free its slot."""
        self._remove_running(attempt)
        self.scheduler.settle_attempt(attempt.attempt_id, usage, outcome, self._now())
        self.schedule_decision()

    def record_progress(self, attempt: Attempt, usage: Usage) -> None:
        """Report to the scheduler what a running attempt has used so far."""
        self.scheduler.record_progress(attempt.attempt_id, usage, self._now())

    def running_by_target(self) -> dict[str, int]:
        """Return the number of this router's running attempts by target."""
        by_target: Counter[str] = Counter()
        for (target_id, _), running in self._running.items():
            by_target[target_id] += running
        return dict(by_target)

    def running_of(self, target_id: str, resource: str) -> int:
        """Return this router's running attempts of a model or service on a target."""
        return self._running[(target_id, resource)]

    def _remove_running(self, attempt: Attempt) -> None:
        unit = self._unit_of.pop(attempt.attempt_id, None)
        if unit is not None:
            self._running[unit] -= 1
            if not self._running[unit]:
                del self._running[unit]

    def schedule_decision(self) -> None:
        """Schedule one decision for all events of this event loop iteration."""
        if not self._decision_is_due:
            self._decision_is_due = True
            asyncio.get_running_loop().call_soon(self._run_decision)

    def refresh_targets(self) -> None:
        """Update which targets may get new work, without waiting for the next tick."""
        now_seconds = self._now()
        self._targets = self.registry.usable(
            self.tree.targets, now_seconds, self.tree.evacuated_data_centres
        )
        self.scheduler.observe_targets(self._targets, now_seconds)

    def tick(self) -> None:
        """Update the tables, refuse expired requests and schedule a decision."""
        now_seconds = self._now()
        self.registry.tick(now_seconds)
        self.refresh_targets()
        live = self.members.live(now_seconds)
        self.scheduler.observe_instances(live, now_seconds)
        self.metrics.live_instances.set({}, len(live))
        self.metrics.usable_targets.set({}, len(self._targets))
        self.metrics.waiting.set({}, self.scheduler.waiting_requests())
        self.metrics.running.set({}, self.scheduler.running_attempts())
        for request_id in self.scheduler.remove_expired(now_seconds):
            self._refuse(
                request_id,
                NotRunError(
                    "deadline",
                    "no place became free before the deadline",
                    503,
                    DEADLINE_RETRY_SECONDS,
                ),
            )
        self.schedule_decision()

    def refuse_waiting_requests(self, error: NotRunError) -> None:
        """Refuse the waiting requests as not run, for a planned stop.

        A request whose earlier attempt failed continues to wait: it may have run,
        so refusing it here would give its caller an unknown outcome.
        """
        for request_id in set(self._waiters) - self._retrying:
            self.scheduler.withdraw(request_id, self._now())
            self._refuse(request_id, error)

    async def _wait_for_attempt(self, request: Request) -> Attempt:
        self._refuse_until_backoff_ends(request)
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Attempt] = loop.create_future()
        self._waiters[request.request_id] = waiter
        self._resource_of[request.request_id] = request.resource
        self.schedule_decision()
        try:
            return await waiter
        except asyncio.CancelledError:
            # The caller disconnected. If the request got a slot in the same event
            # loop iteration, the attempt is ended here; it would otherwise count as
            # running for ever and the slot would be lost.
            self.scheduler.withdraw(request.request_id, self._now())
            if waiter.done() and not waiter.cancelled() and not waiter.exception():
                self.settle(waiter.result(), Usage(), Outcome.NOT_RUN)
            raise
        finally:
            self._waiters.pop(request.request_id, None)
            self._resource_of.pop(request.request_id, None)

    def _refuse_until_backoff_ends(self, request: Request) -> None:
        """Refuse a queued request if its targets reject requests past its deadline.

        Raises:
            NotRunError: It can't be served in time.
        """
        now_seconds = self._now()
        end_seconds = self.registry.backoff_end_seconds(
            request.kind, request.resource, now_seconds
        )
        if end_seconds is None or end_seconds < request.deadline_seconds:
            return
        self.scheduler.withdraw(request.request_id, now_seconds)
        raise NotRunError(
            "targets-in-backoff",
            "all targets reject requests until after the deadline",
            503,
            end_seconds - now_seconds,
        )

    def _refuse(self, request_id: str, error: NotRunError) -> None:
        waiter = self._waiters.get(request_id)
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)

    def _run_decision(self) -> None:
        self._decision_is_due = False
        now_seconds = self._now()
        for attempt in self.scheduler.decide(now_seconds):
            waiter = self._waiters.get(attempt.request_id)
            if waiter is None or waiter.done():
                self.settle(attempt, Usage(), Outcome.NOT_RUN)
                continue
            unit = (attempt.target_id, self._resource_of[attempt.request_id])
            self._unit_of[attempt.attempt_id] = unit
            self._running[unit] += 1
            waiter.set_result(attempt)
        for outgoing in self.scheduler.collect_outgoing(now_seconds):
            self._send(outgoing)
