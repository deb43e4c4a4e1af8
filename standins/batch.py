"""Pure parts of the stand-in engine: its batch, prefix cache and late reports."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, replace

from xxhash import xxh64_hexdigest

BLOCK_CHARACTERS = 64
TOKEN_CHARACTERS = 4
EVENT_GAP_EVERY = 10


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a run is: all of its output tokens so far, and whether it is over."""

    attempt_id: str
    output_tokens: int
    finished: bool


@dataclass(frozen=True, slots=True)
class _Run:
    """A request in the engine; the times are set when it gets a slot."""

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
        tokens_per_second: The pace of each running request.
        prompt_tokens_per_second: How fast uncached prompt tokens are read.
        event_seconds: New tokens of a run are reported together this often; bursts
            of tokens spare processor time on a shared machine.
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
        self._waiting: deque[_Run] = deque()
        self._running: dict[str, _Run] = {}
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
        """Take a request, in a slot if one is free."""
        self._account(now_seconds)
        self._waiting.append(_Run(attempt_id, uncached_tokens, max(1, output_tokens)))
        self._admit(now_seconds)

    def cancel(self, attempt_id: str, now_seconds: float) -> bool:
        """Take a request out; False if it is not here any more."""
        self._account(now_seconds)
        held = self._running.pop(attempt_id, None) is not None
        for run in [run for run in self._waiting if run.attempt_id == attempt_id]:
            self._waiting.remove(run)
            held = True
        self._admit(now_seconds)
        return held

    def advance(self, now_seconds: float) -> Sequence[Progress]:
        """Return what the runs have come to since the last call."""
        progress: list[Progress] = []
        while self._running:
            first = min(self._running.values(), key=lambda run: run.finish_at_seconds)
            if first.finish_at_seconds > now_seconds:
                break
            # The next request starts when the slot came free, not when this was
            # noticed, so that a late timer does not look like lost capacity.
            self._account(first.finish_at_seconds)
            del self._running[first.attempt_id]
            progress.append(Progress(first.attempt_id, first.output_tokens, True))
            self._admit(first.finish_at_seconds)
        self._account(now_seconds)
        event_due = now_seconds >= self._event_at_seconds
        if event_due:
            self._event_at_seconds = now_seconds + self._event_seconds
        for run in list(self._running.values()):
            tokens = self._tokens_of(run, now_seconds)
            if tokens > run.emitted_tokens and (event_due or not run.emitted_tokens):
                self._running[run.attempt_id] = replace(run, emitted_tokens=tokens)
                progress.append(Progress(run.attempt_id, tokens, False))
        return progress

    def next_due_seconds(self) -> float | None:
        """Return when `advance` has something to say next, or None."""
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

    def _tokens_of(self, run: _Run, now_seconds: float) -> int:
        """Return how many output tokens a run has by now."""
        elapsed = now_seconds - run.first_token_at_seconds
        if elapsed < 0:
            return 0
        return min(run.output_tokens, 1 + int(elapsed * self._tokens_per_second))

    def _admit(self, now_seconds: float) -> None:
        """Give free slots to those who wait, in order of arrival."""
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
        since = self._accounted_at_seconds
        if since is not None and now_seconds > since:
            self.busy_slot_seconds += (now_seconds - since) * len(self._running)
        if since is None or now_seconds > since:
            self._accounted_at_seconds = now_seconds


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored or evicted; ``sequence`` has gaps."""

    sequence: int
    kind: str
    prefix: str
    visible_at_seconds: float


class PrefixCache:
    """A bounded cache of prompt prefixes in blocks, the least recent evicted.

    Args:
        capacity_blocks: How many blocks it holds.
        event_lag_seconds: How late its events can be seen.
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
        """Cache one prefix and evict the least recent ones beyond the capacity."""
        if prefix not in self._blocks:
            self._record("stored", prefix, now_seconds)
        self._blocks[prefix] = None
        self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("evicted", evicted, now_seconds)

    def events(self, after: int, now_seconds: float) -> Sequence[CacheEvent]:
        """Return the events that can be seen by now, after a sequence number."""
        return [
            event
            for event in self._events
            if event.sequence > after and event.visible_at_seconds <= now_seconds
        ]

    def _record(self, kind: str, prefix: str, now_seconds: float) -> None:
        """Note an event, but lose some, as the real engines do."""
        self._sequence += 1
        if self._sequence % EVENT_GAP_EVERY:
            visible = now_seconds + self._event_lag_seconds
            self._events.append(CacheEvent(self._sequence, kind, prefix, visible))


def prefixes_of(prompt: str) -> Sequence[str]:
    """Return the digest of each prefix of whole blocks, the shortest first."""
    return [
        xxh64_hexdigest(prompt[:end].encode())
        for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    ]


class LaggingLoad:
    """What an engine says of its load: the state of some time ago."""

    def __init__(self, lag_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._samples: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])

    def record(self, running: int, waiting: int, now_seconds: float) -> None:
        """Note the present load."""
        self._samples.append((now_seconds, running, waiting))
        while len(self._samples) > 1 and self._is_old(self._samples[1], now_seconds):
            self._samples.popleft()

    def report(self, now_seconds: float) -> tuple[int, int, float]:
        """Return running, waiting and the age in seconds of the last old sample."""
        old = [sample for sample in self._samples if self._is_old(sample, now_seconds)]
        at, running, waiting = old[-1] if old else self._samples[0]
        return running, waiting, now_seconds - at

    def _is_old(self, sample: tuple[float, int, int], now_seconds: float) -> bool:
        """Return whether a sample may be seen by now."""
        return sample[0] <= now_seconds - self._lag_seconds
