"""Switches to another scheduler when the tree names one."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from sesameford.effective import EffectiveTree
from sesameford.errors import NotRunError
from sesameford.messages import Message, Outgoing
from sesameford.scheduling import Scheduler
from sesameford.tables import Attempt, InstanceRow, Outcome, Request, Target, Usage

SchedulerFactory = Callable[[], Scheduler]


@dataclass(frozen=True, slots=True)
class _StartedAttempt:
    """A running attempt, under the id of the scheduler that started it."""

    scheduler: Scheduler
    attempt: Attempt


class SchedulerSwitch:
    """Passes every call to the scheduler that the tree names.

    A switch interrupts no request: waiting requests move to the new scheduler, and
    running attempts are settled with the scheduler that started them. A scheduler
    that comes back into force is the same object as before, because the totals that
    it has reported to others must not fall.

    Args:
        makers: A factory for each name that the tree may give.
        first: The name in force before there is a tree.
    """

    def __init__(self, makers: Mapping[str, SchedulerFactory], first: str) -> None:
        self._makers = makers
        self._name = first
        self._active = makers[first]()
        self._schedulers = {first: self._active}
        self._requests: dict[str, Request] = {}
        self._started: dict[str, _StartedAttempt] = {}
        self._refused_requests: list[str] = []
        self._targets: Mapping[str, Target] = {}
        self._instances: Mapping[str, InstanceRow] = {}
        self._tree = EffectiveTree()

    @property
    def name(self) -> str:
        """Return the name of the scheduler in force."""
        return self._name

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        """Apply a newer tree, and switch to the scheduler that it names."""
        self._tree = tree
        name = tree.fleet.scheduler
        if name != self._name and name in self._makers:
            self._switch_to(name, now_seconds)
        for scheduler in self._schedulers.values():
            scheduler.configure(tree, now_seconds)

    def observe_targets(
        self, targets: Mapping[str, Target], now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        self._targets = targets
        self._active.observe_targets(targets, now_seconds)

    def observe_instances(
        self, instances: Mapping[str, InstanceRow], now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        self._instances = instances
        self._active.observe_instances(instances, now_seconds)

    def submit(self, request: Request, now_seconds: float) -> None:
        """See ``Scheduler``."""
        self._active.submit(request, now_seconds)
        self._requests[request.request_id] = request

    def withdraw(self, request_id: str, now_seconds: float) -> bool:
        """See ``Scheduler``."""
        if not self._active.withdraw(request_id, now_seconds):
            return False
        self._requests.pop(request_id, None)
        return True

    def decide(self, now_seconds: float) -> Sequence[Attempt]:
        """See ``Scheduler``."""
        return [
            self._qualify_attempt(attempt)
            for attempt in self._active.decide(now_seconds)
        ]

    def remove_expired(self, now_seconds: float) -> Sequence[str]:
        """See ``Scheduler``."""
        late = [*self._active.remove_expired(now_seconds), *self._refused_requests]
        self._refused_requests.clear()
        for request_id in late:
            self._requests.pop(request_id, None)
        return late

    def record_progress(
        self, attempt_id: str, usage: Usage, now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        started = self._started.get(attempt_id)
        if started is not None:
            started.scheduler.record_progress(
                started.attempt.attempt_id, usage, now_seconds
            )

    def settle_attempt(
        self, attempt_id: str, usage: Usage, outcome: Outcome, now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        started = self._started.pop(attempt_id, None)
        if started is None:
            return
        self._requests.pop(started.attempt.request_id, None)
        started.scheduler.settle_attempt(
            started.attempt.attempt_id, usage, outcome, now_seconds
        )

    def requeue_attempt(
        self, attempt_id: str, avoid_target_id: str | None, now_seconds: float
    ) -> None:
        """See ``Scheduler``; after a switch the request moves to the new scheduler."""
        started = self._started.pop(attempt_id, None)
        if started is None:
            return
        scheduler, attempt = started.scheduler, started.attempt
        scheduler.requeue_attempt(attempt.attempt_id, avoid_target_id, now_seconds)
        if scheduler is not self._active:
            self._move_request(scheduler, attempt.request_id, now_seconds)

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        self._active.handle_message(sender_id, incarnation, message, now_seconds)

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        """See ``Scheduler``."""
        return self._active.collect_outgoing(now_seconds)

    def waiting_requests(self) -> int:
        """See ``Scheduler``."""
        return self._active.waiting_requests()

    def running_attempts(self) -> int:
        """See ``Scheduler``."""
        return len(self._started)

    def _switch_to(self, name: str, now_seconds: float) -> None:
        """Put another scheduler into force and move the waiting requests to it."""
        old = self._active
        if name not in self._schedulers:
            self._schedulers[name] = self._makers[name]()
        self._active, self._name = self._schedulers[name], name
        self._active.configure(self._tree, now_seconds)
        self._active.observe_targets(self._targets, now_seconds)
        self._active.observe_instances(self._instances, now_seconds)
        for request_id in list(self._requests):
            self._move_request(old, request_id, now_seconds)

    def _move_request(
        self, old: Scheduler, request_id: str, now_seconds: float
    ) -> None:
        """Move a waiting request to the scheduler in force."""
        if not old.withdraw(request_id, now_seconds):
            return
        try:
            self._active.submit(self._requests[request_id], now_seconds)
        except NotRunError:
            # The new scheduler has its own limits. The request ends as if its
            # deadline had passed; without that its caller would wait for ever.
            self._refused_requests.append(request_id)

    def _qualify_attempt(self, attempt: Attempt) -> Attempt:
        """Return an attempt under an id that no other scheduler's attempt has.

        Schedulers number their attempts in the same way. With equal ids an engine
        would mistake the second attempt for the first, and a caller would read
        another caller's answer.
        """
        attempt_id = f"{attempt.attempt_id}-{self._name}"
        self._started[attempt_id] = _StartedAttempt(self._active, attempt)
        return replace(attempt, attempt_id=attempt_id)


def make_scheduler_switch(
    makers: Mapping[str, SchedulerFactory], first: str
) -> SchedulerSwitch:
    """Return a scheduler that follows ``fleet.scheduler``.

    Args:
        makers: A factory for each name that the tree may give.
        first: The name in force before there is a tree.
    """
    return SchedulerSwitch(makers, first)
