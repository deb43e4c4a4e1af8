"""Models all engines as one FIFO queue, with a placement that reports its wait."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.gateway.candidates import make_candidates
from sesameford.gateway.loop_lag import make_loop_lag
from sesameford.gateway.target_record import TargetRecord
from sesameford.gateway.target_reports import TargetReports
from sesameford.load_messages import TargetLoad

# The customer of requests in the queue that fail once engines have worked on them.
FAILED_WORK = ""


@dataclass(slots=True)
class EngineQueue:
    """One FIFO queue that stands for all engines."""

    tokens_per_second: float
    waiting: deque[tuple[str, int, int]] = field(default_factory=deque)
    waiting_tokens: float = 0.0
    credit_tokens: float = 0.0

    @property
    def wait_seconds(self) -> float:
        return self.waiting_tokens / self.tokens_per_second

    def add(self, customer: str, router: int, tokens: int) -> None:
        self.waiting.append((customer, router, tokens))
        self.waiting_tokens += tokens

    def add_failed(self, router: int, tokens: int) -> None:
        """Add the work of a request that engines will not begin to answer."""
        self.add(FAILED_WORK, router, tokens)

    def start_requests(self, seconds: float) -> Iterable[tuple[str, int, int]]:
        """Advance the time and return the requests that start in it."""
        self.credit_tokens += seconds * self.tokens_per_second
        while self.waiting and self.credit_tokens >= self.waiting[0][2]:
            request = self.waiting.popleft()
            self.credit_tokens -= request[2]
            self.waiting_tokens -= request[2]
            yield request
        if not self.waiting:
            self.credit_tokens = 0.0


class _ChangingLoads(TargetReports):
    """Loads that change at each call, so that routers report as often as allowed."""

    def loads(self, now_seconds: float) -> tuple[TargetLoad, ...]:
        return (TargetLoad(1, 1, int(now_seconds * 1_000)),)


class QueuePlacement:
    """A placement that only reports how long prompts wait."""

    def __init__(self, queue: EngineQueue) -> None:
        self._queue = queue
        table = make_heartbeat_table()
        self.lag = make_loop_lag()
        self.table_digest = table.digests.rows
        self.candidates = make_candidates(table, {}, lambda _: None)
        self.reports = _ChangingLoads(table, {}, lambda _: TargetRecord())

    def mean_wait_seconds(self, service: str, slots: int, now_seconds: float) -> float:
        return self._queue.wait_seconds

    def set_other_routers_load(self, loads: Iterable[TargetLoad]) -> None:
        pass

    def has_spare_capacity(self, *args: object) -> bool:
        return False
