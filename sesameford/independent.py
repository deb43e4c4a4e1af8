"""The baseline scheduler: independent routers, the better of two random targets.

Routers share no accounts. Each divides a target's slots evenly by the number of
live instances, and serves its own customers by weighted virtual time. It is the
baseline of the fairness benchmarks and the simplest scheduler that serves.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil
from random import Random

from sesameford.costs import cost_of_usage, estimate_cost
from sesameford.effective import CustomerSettings, EffectiveTree
from sesameford.errors import NotRunError
from sesameford.messages import Message, Outgoing
from sesameford.scheduling import Scheduler
from sesameford.tables import Attempt, InstanceRow, Outcome, Request, Target, Usage

FULL_QUEUE_RETRY_SECONDS = 1.0


@dataclass
class _Queue:
    """One customer's waiting requests for one resource."""

    virtual_time: float = 0.0
    requests: deque[Request] = field(default_factory=deque)


class _IndependentScheduler:
    """The baseline scheduler; see ``Scheduler`` for its methods."""

    def __init__(self, instance_id: str, seed: int) -> None:
        self._instance_id = instance_id
        self._random = Random(seed)
        self._tree = EffectiveTree()
        self._targets: Mapping[str, Target] = {}
        self._instance_count = 1
        self._queues: dict[tuple[str, str], _Queue] = {}
        self._queued_bytes: dict[str, int] = {}
        self._queued_count: dict[str, int] = {}
        self._attempts: dict[str, tuple[Attempt, Request]] = {}
        self._running_by_target: dict[str, int] = {}
        self._avoided_targets: dict[str, str] = {}
        self._attempt_count = 0

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        self._tree = tree

    def observe_targets(
        self, targets: Mapping[str, Target], now_seconds: float
    ) -> None:
        self._targets = targets

    def observe_instances(
        self, instances: Mapping[str, InstanceRow], now_seconds: float
    ) -> None:
        self._instance_count = 1 + len(instances)

    def submit(self, request: Request, now_seconds: float) -> None:
        limits = self._customer(request.customer_id).limits
        count = self._queued_count.get(request.customer_id, 0)
        size_bytes = self._queued_bytes.get(request.customer_id, 0)
        if (
            count >= limits.queued_requests
            or size_bytes + request.body_bytes > limits.queued_bytes
        ):
            raise NotRunError(
                "queue-full",
                "this customer's queue is full",
                429,
                FULL_QUEUE_RETRY_SECONDS,
            )
        self._enqueue(request, front=False)

    def withdraw(self, request_id: str, now_seconds: float) -> bool:
        for key in list(self._queues):
            for request in self._queues[key].requests:
                if request.request_id == request_id:
                    self._dequeue(key, request)
                    return True
        return False

    def decide(self, now_seconds: float) -> Sequence[Attempt]:
        attempts: list[Attempt] = []
        for resource in {resource for resource, _ in self._queues}:
            while attempt := self._start_next(resource, now_seconds):
                attempts.append(attempt)
        return attempts

    def remove_expired(self, now_seconds: float) -> Sequence[str]:
        late = [
            (key, request)
            for key, queue in self._queues.items()
            for request in queue.requests
            if request.deadline_seconds <= now_seconds
        ]
        for key, request in late:
            self._dequeue(key, request)
        return [request.request_id for _, request in late]

    def record_progress(
        self, attempt_id: str, usage: Usage, now_seconds: float
    ) -> None:
        pass

    def settle_attempt(
        self, attempt_id: str, usage: Usage, outcome: Outcome, now_seconds: float
    ) -> None:
        ended = self._end_attempt(attempt_id)
        if ended is None:
            return
        attempt, request = ended
        correction = cost_of_usage(self._tree, request, usage)
        correction -= attempt.estimated_cost_units
        key = (request.resource, request.customer_id)
        if key in self._queues:
            share = self._customer(request.customer_id).share
            self._queues[key].virtual_time += correction / share

    def requeue_attempt(
        self, attempt_id: str, avoid_target_id: str | None, now_seconds: float
    ) -> None:
        ended = self._end_attempt(attempt_id)
        if ended is None:
            return
        _, request = ended
        if avoid_target_id is not None:
            self._avoided_targets[request.request_id] = avoid_target_id
        self._enqueue(request, front=True)

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        pass

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        return ()

    def waiting_requests(self) -> int:
        return sum(self._queued_count.values())

    def running_attempts(self) -> int:
        return len(self._attempts)

    def _customer(self, customer_id: str) -> CustomerSettings:
        found = self._tree.customers.get(customer_id)
        return found or CustomerSettings(customer_id)

    def _enqueue(self, request: Request, front: bool) -> None:
        key = (request.resource, request.customer_id)
        if key not in self._queues:
            floor = min(
                (
                    queue.virtual_time
                    for (resource, _), queue in self._queues.items()
                    if resource == request.resource
                ),
                default=0.0,
            )
            self._queues[key] = _Queue(floor)
        if front:
            self._queues[key].requests.appendleft(request)
        else:
            self._queues[key].requests.append(request)
        self._update_counts(request, 1)

    def _dequeue(self, key: tuple[str, str], request: Request) -> None:
        queue = self._queues[key]
        queue.requests.remove(request)
        self._update_counts(request, -1)
        if not queue.requests:
            del self._queues[key]

    def _update_counts(self, request: Request, sign: int) -> None:
        customer_id = request.customer_id
        size_bytes = self._queued_bytes.get(customer_id, 0)
        self._queued_bytes[customer_id] = size_bytes + sign * request.body_bytes
        count = self._queued_count.get(customer_id, 0)
        self._queued_count[customer_id] = count + sign

    def _end_attempt(self, attempt_id: str) -> tuple[Attempt, Request] | None:
        ended = self._attempts.pop(attempt_id, None)
        if ended is not None:
            self._running_by_target[ended[0].target_id] -= 1
        return ended

    def _start_next(self, resource: str, now_seconds: float) -> Attempt | None:
        queues = {key: q for key, q in self._queues.items() if key[0] == resource}
        if not queues:
            return None
        key = min(queues, key=lambda key: (queues[key].virtual_time, key))
        request = queues[key].requests[0]
        target = self._choose_target(request)
        if target is None:
            return None
        estimate_units = estimate_cost(self._tree, request)
        share = self._customer(request.customer_id).share
        queues[key].virtual_time += estimate_units / share
        self._dequeue(key, request)
        self._attempt_count += 1
        attempt = Attempt(
            attempt_id=f"{self._instance_id}-{self._attempt_count}",
            request_id=request.request_id,
            customer_id=request.customer_id,
            target_id=target.target_id,
            target_incarnation=target.incarnation,
            started_at_seconds=now_seconds,
            estimated_cost_units=estimate_units,
        )
        self._attempts[attempt.attempt_id] = (attempt, request)
        self._running_by_target[target.target_id] = (
            self._running_by_target.get(target.target_id, 0) + 1
        )
        return attempt

    def _choose_target(self, request: Request) -> Target | None:
        avoid = self._avoided_targets.get(request.request_id)
        free = [
            target
            for target in self._targets.values()
            if request.resource in target.serves
            and target.kind == request.kind
            and self._running_by_target.get(target.target_id, 0)
            < self._slot_share(target)
        ]
        free = [target for target in free if target.target_id != avoid] or free
        if not free:
            return None
        pair = self._random.sample(free, min(2, len(free)))
        return min(
            pair, key=lambda target: self._running_by_target.get(target.target_id, 0)
        )

    def _slot_share(self, target: Target) -> int:
        return ceil(target.capacity_slots / self._instance_count)


def make_independent_scheduler(
    instance_id: str, incarnation: int, data_centre: str, seed: int
) -> Scheduler:
    """Return a baseline scheduler.

    Args:
        instance_id: The router that it decides for.
        incarnation: Incarnation of the router; makes attempt ids unique over restarts.
        data_centre: Data centre of the router; not used by the baseline.
        seed: Seed of the random choices.
    """
    del data_centre
    return _IndependentScheduler(f"{instance_id}-{incarnation:x}", seed)
