"""Parts of the stand-in engine without I/O: batch, prefix cache, delayed reports."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, replace

from xxhash import xxh64_hexdigest

BLOCK_CHARACTERS = 64
TOKEN_CHARACTERS = 4
EVENT_GAP_EVERY = 10


@dataclass(frozen=True, slots=True)
class Progress:
    """The progress of a run: its output tokens so far and whether it has finished."""

    attempt_id: str
    output_tokens: int
    finished: bool


@dataclass(frozen=True, slots=True)
class _BatchRun:
    """A request in the engine; its times are set when it gets a slot."""

    attempt_id: str
    uncached_tokens: int
    output_tokens: int
    started_at_seconds: float = 0.0
    first_token_at_seconds: float = 0.0
    finish_at_seconds: float = 0.0
    emitted_tokens: int = 0


class Batch:
    """A continuous batch of bounded size with a queue behind it.

    Args:
        capacity_slots: How many requests run at once.
        tokens_per_second: The output rate of each running request.
        prompt_tokens_per_second: The rate at which uncached prompt tokens are read.
        event_seconds: The interval at which new tokens of a run are reported together;
            bursts of tokens save processor time on a shared machine.
    """

    def __init__(
        self,
        capacity_slots: int,
        tokens_per_second: float,
        prompt_tokens_per_second: float = 20_000.0,
        event_seconds: float = 0.05,
    ) -> None:
        self.capacity_slots = capacity_slots
        self.busy_slot_seconds = 0.0
        self._tokens_per_second = tokens_per_second
        self._prompt_tokens_per_second = prompt_tokens_per_second
        self._event_seconds = event_seconds
        self._waiting: deque[_BatchRun] = deque()
        self._running: dict[str, _BatchRun] = {}
        self._accounted_at_seconds: float | None = None
        self._event_at_seconds = 0.0

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._waiting)

    def submit(
        self,
        attempt_id: str,
        uncached_tokens: int,
        output_tokens: int,
        now_seconds: float,
    ) -> None:
        """Queue a request, and start it if a slot is free."""
        self._account(now_seconds)
        self._waiting.append(
            _BatchRun(attempt_id, uncached_tokens, max(1, output_tokens))
        )
        self._admit(now_seconds)

    def cancel(self, attempt_id: str, now_seconds: float) -> bool:
        """Remove a request; return False if it neither runs nor waits."""
        self._account(now_seconds)
        is_found = self._running.pop(attempt_id, None) is not None
        for run in [run for run in self._waiting if run.attempt_id == attempt_id]:
            self._waiting.remove(run)
            is_found = True
        self._admit(now_seconds)
        return is_found

    def advance(self, now_seconds: float) -> Sequence[Progress]:
        """Return the progress of the runs since the last call."""
        progress: list[Progress] = []
        while self._running:
            first = min(self._running.values(), key=lambda run: run.finish_at_seconds)
            if first.finish_at_seconds > now_seconds:
                break
            # The next request starts when the slot became free, not when the timer
            # fired, so that a late timer does not look like lost capacity.
            self._account(first.finish_at_seconds)
            del self._running[first.attempt_id]
            progress.append(Progress(first.attempt_id, first.output_tokens, True))
            self._admit(first.finish_at_seconds)
        self._account(now_seconds)
        is_event_due = now_seconds >= self._event_at_seconds
        if is_event_due:
            self._event_at_seconds = now_seconds + self._event_seconds
        for run in list(self._running.values()):
            tokens = self._tokens_of(run, now_seconds)
            if tokens > run.emitted_tokens and (is_event_due or not run.emitted_tokens):
                self._running[run.attempt_id] = replace(run, emitted_tokens=tokens)
                progress.append(Progress(run.attempt_id, tokens, False))
        return progress

    def next_due_seconds(self) -> float | None:
        """Return when `advance` next has progress to report, or None."""
        times = [
            run.finish_at_seconds if run.emitted_tokens else run.first_token_at_seconds
            for run in self._running.values()
        ]
        if any(run.emitted_tokens for run in self._running.values()):
            times.append(self._event_at_seconds)
        return min(times, default=None)

    def is_running(self, attempt_id: str) -> bool:
        """Return whether a request holds a slot."""
        return attempt_id in self._running

    def _tokens_of(self, run: _BatchRun, now_seconds: float) -> int:
        """Return how many output tokens a run has produced."""
        elapsed = now_seconds - run.first_token_at_seconds
        if elapsed < 0:
            return 0
        return min(run.output_tokens, 1 + int(elapsed * self._tokens_per_second))

    def _admit(self, now_seconds: float) -> None:
        """Give free slots to the waiting requests in order of arrival."""
        while self._waiting and len(self._running) < self.capacity_slots:
            run = self._waiting.popleft()
            first = now_seconds + run.uncached_tokens / self._prompt_tokens_per_second
            last = first + run.output_tokens / self._tokens_per_second
            self._running[run.attempt_id] = replace(
                run,
                started_at_seconds=now_seconds,
                first_token_at_seconds=first,
                finish_at_seconds=last,
            )

    def _account(self, now_seconds: float) -> None:
        """Add the slot time used since the last call."""
        last_seconds = self._accounted_at_seconds
        if last_seconds is not None and now_seconds > last_seconds:
            self.busy_slot_seconds += (now_seconds - last_seconds) * len(self._running)
        if last_seconds is None or now_seconds > last_seconds:
            self._accounted_at_seconds = now_seconds


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A stored or evicted prefix; ``sequence`` has gaps."""

    sequence: int
    kind: str
    prefix: str
    visible_at_seconds: float


class PrefixCache:
    """A bounded cache of prompt prefixes in blocks, with LRU eviction.

    Args:
        capacity_blocks: How many blocks it holds.
        event_lag_seconds: The delay until an event becomes visible.
    """

    def __init__(self, capacity_blocks: int, event_lag_seconds: float = 0.5) -> None:
        self._capacity_blocks = capacity_blocks
        self._event_lag_seconds = event_lag_seconds
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=10_000)
        self._sequence = 0

    def __contains__(self, prefix: str) -> bool:
        return prefix in self._blocks

    def use(self, prompt: str, now_seconds: float) -> int:
        """Return how many tokens of a prompt were cached, and cache the rest."""
        cached_blocks = 0
        prefixes = prefixes_of(prompt)
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            cached_blocks += 1
            self._blocks.move_to_end(prefix)
        for prefix in prefixes[cached_blocks:]:
            self.store(prefix, now_seconds)
        return cached_blocks * BLOCK_CHARACTERS // TOKEN_CHARACTERS

    def store(self, prefix: str, now_seconds: float) -> None:
        """Cache one prefix and evict the least recently used beyond the capacity."""
        if prefix not in self._blocks:
            self._record("stored", prefix, now_seconds)
        self._blocks[prefix] = None
        self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("evicted", evicted, now_seconds)

    def events(self, after: int, now_seconds: float) -> Sequence[CacheEvent]:
        """Return the visible events after a sequence number."""
        return [
            event
            for event in self._events
            if event.sequence > after and event.visible_at_seconds <= now_seconds
        ]

    def _record(self, kind: str, prefix: str, now_seconds: float) -> None:
        """Record an event, but drop some, as the real engines do."""
        self._sequence += 1
        if self._sequence % EVENT_GAP_EVERY:
            visible = now_seconds + self._event_lag_seconds
            self._events.append(CacheEvent(self._sequence, kind, prefix, visible))


def prefixes_of(prompt: str) -> Sequence[str]:
    """Return the digest of each prefix of whole blocks, shortest first."""
    return [
        xxh64_hexdigest(prompt[:end].encode())
        for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    ]


class LaggingLoad:
    """Delays an engine's load report by a fixed lag."""

    def __init__(self, lag_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._samples: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])

    def record(self, running: int, waiting: int, now_seconds: float) -> None:
        """Record the current load."""
        self._samples.append((now_seconds, running, waiting))
        while len(self._samples) > 1 and self._is_visible(
            self._samples[1], now_seconds
        ):
            self._samples.popleft()

    def report(self, now_seconds: float) -> tuple[int, int, float]:
        """Return running, waiting and the age in seconds of the last visible sample."""
        visible_samples = [
            sample for sample in self._samples if self._is_visible(sample, now_seconds)
        ]
        at, running, waiting = (
            visible_samples[-1] if visible_samples else self._samples[0]
        )
        return running, waiting, now_seconds - at

    def _is_visible(self, sample: tuple[float, int, int], now_seconds: float) -> bool:
        """Return whether a sample is at least as old as the lag."""
        return sample[0] <= now_seconds - self._lag_seconds
