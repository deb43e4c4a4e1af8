"""Changes the scheduler in force when the tree names another one."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from sesameford.effective import EffectiveTree
from sesameford.errors import NotRunError
from sesameford.messages import Message, Outgoing
from sesameford.scheduling import Scheduler
from sesameford.tables import Attempt, InstanceRow, Outcome, Request, Target, Usage

MakeScheduler = Callable[[], Scheduler]


@dataclass(frozen=True, slots=True)
class _Began:
    """An attempt as the scheduler that began it knows it."""

    scheduler: Scheduler
    attempt: Attempt


class SchedulerSwitch:
    """Passes every call to the scheduler that the tree names.

    A change of scheduler cuts nothing: waiting requests move to the new one, and
    attempts that run are settled with the one that began them. A scheduler that
    comes back into force is the same one as before, because the totals that it has
    told others of must not fall.

    Args:
        makers: A factory for each name that the tree may give.
        first: The name in force before there is a tree.
    """

    def __init__(self, makers: Mapping[str, MakeScheduler], first: str) -> None:
        self._makers = makers
        self._name = first
        self._present = makers[first]()
        self._made = {first: self._present}
        self._requests: dict[str, Request] = {}
        self._began: dict[str, _Began] = {}
        self._unplaced: list[str] = []
        self._targets: Mapping[str, Target] = {}
        self._instances: Mapping[str, InstanceRow] = {}
        self._tree = EffectiveTree()

    @property
    def name(self) -> str:
        """Return the name of the scheduler in force."""
        return self._name

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        """Take a newer tree into force, and the scheduler that it names."""
        self._tree = tree
        wanted = tree.fleet.scheduler
        if wanted != self._name and wanted in self._makers:
            self._switch(wanted, now_seconds)
        for scheduler in self._made.values():
            scheduler.configure(tree, now_seconds)

    def observe_targets(
        self, targets: Mapping[str, Target], now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        self._targets = targets
        self._present.observe_targets(targets, now_seconds)

    def observe_instances(
        self, instances: Mapping[str, InstanceRow], now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        self._instances = instances
        self._present.observe_instances(instances, now_seconds)

    def submit(self, request: Request, now_seconds: float) -> None:
        """See ``Scheduler``."""
        self._present.submit(request, now_seconds)
        self._requests[request.request_id] = request

    def withdraw(self, request_id: str, now_seconds: float) -> bool:
        """See ``Scheduler``."""
        if not self._present.withdraw(request_id, now_seconds):
            return False
        self._requests.pop(request_id, None)
        return True

    def decide(self, now_seconds: float) -> Sequence[Attempt]:
        """See ``Scheduler``."""
        return [self._name_attempt(one) for one in self._present.decide(now_seconds)]

    def remove_expired(self, now_seconds: float) -> Sequence[str]:
        """See ``Scheduler``."""
        late = [*self._present.remove_expired(now_seconds), *self._unplaced]
        self._unplaced.clear()
        for request_id in late:
            self._requests.pop(request_id, None)
        return late

    def record_progress(
        self, attempt_id: str, usage: Usage, now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        began = self._began.get(attempt_id)
        if began is not None:
            began.scheduler.record_progress(
                began.attempt.attempt_id, usage, now_seconds
            )

    def settle_attempt(
        self, attempt_id: str, usage: Usage, outcome: Outcome, now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        began = self._began.pop(attempt_id, None)
        if began is None:
            return
        self._requests.pop(began.attempt.request_id, None)
        began.scheduler.settle_attempt(
            began.attempt.attempt_id, usage, outcome, now_seconds
        )

    def requeue_attempt(
        self, attempt_id: str, avoid_target_id: str | None, now_seconds: float
    ) -> None:
        """See ``Scheduler``; a request that began before a switch goes to the new."""
        began = self._began.pop(attempt_id, None)
        if began is None:
            return
        scheduler, attempt = began.scheduler, began.attempt
        scheduler.requeue_attempt(attempt.attempt_id, avoid_target_id, now_seconds)
        if scheduler is not self._present:
            self._move(scheduler, attempt.request_id, now_seconds)

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """See ``Scheduler``."""
        self._present.handle_message(sender_id, incarnation, message, now_seconds)

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        """See ``Scheduler``."""
        return self._present.collect_outgoing(now_seconds)

    def waiting_requests(self) -> int:
        """See ``Scheduler``."""
        return self._present.waiting_requests()

    def running_attempts(self) -> int:
        """See ``Scheduler``."""
        return len(self._began)

    def _switch(self, wanted: str, now_seconds: float) -> None:
        """Make the wanted scheduler the present one and move what waits to it."""
        old = self._present
        if wanted not in self._made:
            self._made[wanted] = self._makers[wanted]()
        self._present, self._name = self._made[wanted], wanted
        self._present.configure(self._tree, now_seconds)
        self._present.observe_targets(self._targets, now_seconds)
        self._present.observe_instances(self._instances, now_seconds)
        for request_id in list(self._requests):
            self._move(old, request_id, now_seconds)

    def _move(self, old: Scheduler, request_id: str, now_seconds: float) -> None:
        """Move a waiting request to the present scheduler."""
        if not old.withdraw(request_id, now_seconds):
            return
        try:
            self._present.submit(self._requests[request_id], now_seconds)
        except NotRunError:
            # The new scheduler has limits of its own. Dropped in silence, the
            # request's caller would wait for ever; so it ends as one that is late.
            self._unplaced.append(request_id)

    def _name_attempt(self, attempt: Attempt) -> Attempt:
        """Give an attempt an id that no other scheduler's attempt has.

        Two schedulers count their attempts alike. With equal ids an engine would
        take the second for the first, and one caller would read another's answer.
        """
        attempt_id = f"{attempt.attempt_id}-{self._name}"
        self._began[attempt_id] = _Began(self._present, attempt)
        return replace(attempt, attempt_id=attempt_id)


def make_scheduler_switch(
    makers: Mapping[str, MakeScheduler], first: str
) -> SchedulerSwitch:
    """Return a scheduler that follows ``fleet.scheduler``.

    Args:
        makers: A factory for each name.
        first: The name in force before there is a tree.
    """
    return SchedulerSwitch(makers, first)
