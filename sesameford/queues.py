"""Queues of waiting requests: a FIFO per customer and resource, all bounded.

A burst fills only its own customer's queue. The bound on the queued bytes of a whole
router is split by need: near it, only the customers that hold the most are refused,
so a burst can't use up the capacity for other customers' requests either.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop, heappush

from sesameford.tables import Request

QueueKey = tuple[str, str]
"""A customer and a resource."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A queued request and the target that its next attempt should avoid."""

    request: Request
    estimated_cost_units: float
    avoid_target_id: str | None = None


class Queues:
    """All waiting requests of a router."""

    def __init__(self) -> None:
        self._queues: dict[QueueKey, deque[WaitingRequest]] = {}
        self._waiting: dict[str, WaitingRequest] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._cost_units: dict[QueueKey, float] = {}
        self._requests: dict[str, int] = {}
        self._bytes: dict[str, int] = {}
        self._total_bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def queue_keys(self) -> Iterator[QueueKey]:
        """Return the customer and resource of each queue that is not empty."""
        return iter(list(self._queues))

    def total_bytes(self) -> int:
        """Return the body bytes of all waiting requests."""
        return self._total_bytes

    def requests_of(self, customer_id: str) -> int:
        """Return how many requests of a customer wait."""
        return self._requests.get(customer_id, 0)

    def bytes_of(self, customer_id: str) -> int:
        """Return how many body bytes of a customer wait."""
        return self._bytes.get(customer_id, 0)

    def customer_count(self) -> int:
        """Return how many customers have waiting requests."""
        return len(self._requests)

    def length(self, key: QueueKey) -> int:
        """Return how many requests wait in a queue."""
        return len(self._queues.get(key, ()))

    def cost_units(self, key: QueueKey) -> float:
        """Return the estimated cost of a queue's requests."""
        return max(self._cost_units.get(key, 0.0), 0.0)

    def head(self, key: QueueKey) -> WaitingRequest | None:
        """Return the next request of a queue, or None."""
        queue = self._queues.get(key)
        return queue[0] if queue else None

    def add(self, waiting: WaitingRequest, in_front: bool = False) -> None:
        """Queue a request; the caller checks the bounds first."""
        request = waiting.request
        key = (request.customer_id, request.resource)
        queue = self._queues.setdefault(key, deque())
        if in_front:
            queue.appendleft(waiting)
        else:
            queue.append(waiting)
        self._waiting[request.request_id] = waiting
        heappush(self._deadlines, (request.deadline_seconds, request.request_id))
        self._update_counts(waiting, 1)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request at any position; None if it does not wait here."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return None
        key = (waiting.request.customer_id, waiting.request.resource)
        queue = self._queues[key]
        if queue[0] is waiting:
            queue.popleft()
        else:
            queue.remove(waiting)
        if not queue:
            del self._queues[key]
        self._update_counts(waiting, -1)
        return waiting

    def remove_expired(self, now_seconds: float) -> list[str]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_seconds:
            _, request_id = heappop(self._deadlines)
            waiting = self._waiting.get(request_id)
            if waiting and waiting.request.deadline_seconds <= now_seconds:
                self.remove(request_id)
                expired.append(request_id)
        return expired

    def _update_counts(self, waiting: WaitingRequest, sign: int) -> None:
        """Add a request to the counters, or subtract it with a sign of -1."""
        request = waiting.request
        customer = request.customer_id
        key = (customer, request.resource)
        self._requests[customer] = self._requests.get(customer, 0) + sign
        self._bytes[customer] = self._bytes.get(customer, 0) + sign * request.body_bytes
        self._total_bytes += sign * request.body_bytes
        self._cost_units[key] = (
            self._cost_units.get(key, 0.0) + sign * waiting.estimated_cost_units
        )
        if self._requests[customer] == 0:
            del self._requests[customer]
            del self._bytes[customer]
        if key not in self._queues:
            del self._cost_units[key]
