"""Where a request goes: the target at which its answer begins soonest.

A model engine reads prompts one after another, so what delays a first event is the
tokens that wait to be read before it. Prompts share parts, and an engine that kept a
part does not read it again. All routers order the engines alike for a shared part, by
a hash of both, so that a part is read at few engines without anybody agreeing on it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from xxhash import xxh32_intdigest

from sesameford.discovery.beat_table import BeatTable, KnownTarget, short_name
from sesameford.gateway.calls import Prompt
from sesameford.gateway.engine_backlog import EngineBacklog, make_engine_backlog
from sesameford.messages import PlaceLoad
from sesameford.tables import TargetState

# What each running request adds to the wait for a first event: a batch's step takes
# some hundredth longer for each request in it.
RUNNING_SECONDS = 0.0002
# A request more than an engine has places waits until one of them ends.
NO_PLACE_SECONDS = 0.1
# A shared part that is read once more holds up all that comes after it at that engine,
# so its time counts this often again beside the wait of the request itself.
READ_AGAIN_FACTOR = 2.0
# Beyond this part of its objective, a wait counts more: the rest is for what the
# estimate can't see.
SAFE_PART = 0.5
LATE_FACTOR = 3.0
# A part is taken as kept where it was read so short a time ago.
KEPT_SECONDS = 60.0
# Parts remembered of one target; a hundred bytes each.
MOST_PARTS = 2_000
# A target at which a connection failed rests so long, doubled with each failure.
REST_SECONDS = 0.5
LONGEST_REST_SECONDS = 8.0
# A request without an answer so long after it was expected shows a silent target, if
# nothing else has come from there meanwhile either.
OVERDUE_SECONDS = 0.5
# A target that no replica has heard for so many of its beats is taken last.
MISSED_BEATS = 3.5
# What another data centre costs, in requests at a plain service: less than one, so
# that it only decides between equals.
FAR_REQUESTS = 0.4


@dataclass(slots=True)
class Place:
    """What this router knows of one target beside its heartbeats.

    ``sent_tokens`` is the total of all prompts that it sent there; the ``others_``
    fields are what all other routers have under way and have sent.
    """

    requests: int = 0
    sent_tokens: int = 0
    others_requests: int = 0
    others_sent_tokens: int | None = None
    backlog: EngineBacklog = field(default_factory=make_engine_backlog)
    failures: int = 0
    rests_until_seconds: float = 0.0
    parts: dict[int, float] = field(default_factory=dict)
    heard_at_seconds: float = float("-inf")
    unanswered: dict[int, tuple[float, float]] = field(default_factory=dict)

    def is_silent(self, now_seconds: float) -> bool:
        """Return whether the oldest request without an answer is overdue.

        A server that is cut off or hangs closes no connection. What is sent there
        meanwhile is lost until its heartbeats are missed, which takes seconds.
        """
        for sent_at_seconds, due_at_seconds in self.unanswered.values():
            is_overdue = now_seconds > due_at_seconds + OVERDUE_SECONDS
            return is_overdue and self.heard_at_seconds < sent_at_seconds
        return False


@dataclass(frozen=True, slots=True)
class Lease:
    """One request's share of a target's work, to be given back by ``released``."""

    target_id: str
    address: str
    number: int
    tokens: int = 0
    sent_at_seconds: float = 0.0
    expected_at_seconds: float = 0.0
    rate_tokens: float = 0.0

    @property
    def expected_seconds(self) -> float:
        """Return how long the prompt was expected to take until it is read."""
        return self.expected_at_seconds - self.sent_at_seconds


class Placement:
    """The targets as one router sees them."""

    def __init__(self, table: BeatTable, data_centre: str, beat_seconds: float) -> None:
        self._table = table
        self._data_centre = data_centre
        self._beat_seconds = beat_seconds
        self._places: dict[str, Place] = {}
        self._by_service: dict[str, list[KnownTarget]] = {}
        self._seen_changes = -1
        self._leases = 0

    def choose(
        self,
        service: str,
        prompt: Prompt | None,
        slots: int | None,
        objective_seconds: float,
        tried: frozenset[str],
        now_seconds: float,
    ) -> Lease | None:
        """Return where to send a request, counted there at once, or None.

        Args:
            service: The service it is for.
            prompt: What is known of its prompt, None for a plain service.
            slots: Places in one engine's batch.
            objective_seconds: When its answer should begin.
            tried: Targets that had it already.
            now_seconds: The present time.
        """
        found = [
            known
            for known in self._of_service(service)
            if known.row.target_id not in tried
        ]
        usable = self._usable(found, now_seconds)
        if not usable:
            return None
        if prompt is None:
            best = min(usable, key=self._plain_cost)
            return self._plain_lease(best, now_seconds)
        home = _home(prompt, usable)

        def cost(option: tuple[KnownTarget, int]) -> float:
            known, unread = option
            return self._engine_cost(
                known, unread, prompt, slots, objective_seconds, now_seconds
            )

        options = [
            (known, self._unread(known, prompt, home, now_seconds)) for known in usable
        ]
        best, unread = min(options, key=cost)
        return self._engine_lease(best, prompt, unread, now_seconds)

    def heard(self, lease: Lease, now_seconds: float) -> None:
        """Note that something of an answer came from a target."""
        place = self._place(lease.target_id)
        place.heard_at_seconds = now_seconds
        place.unanswered.pop(lease.number, None)

    def first_event(self, lease: Lease, now_seconds: float) -> None:
        """Note that a request's prompt has been read."""
        self._place(lease.target_id).backlog.first_event(
            lease.tokens, lease.sent_at_seconds, lease.expected_at_seconds, now_seconds
        )

    def released(self, lease: Lease, now_seconds: float) -> None:
        """Give back a request's share of its target.

        One that ends while its target is silent leaves the target to rest; forgotten,
        the next requests would have to find out again.
        """
        place = self._place(lease.target_id)
        if lease.number in place.unanswered and place.is_silent(now_seconds):
            self.failed(lease.target_id, now_seconds)
        place.requests = max(place.requests - 1, 0)
        place.unanswered.pop(lease.number, None)

    def failed(self, target_id: str, now_seconds: float) -> None:
        """Let a target rest at which a connection failed or broke."""
        place = self._place(target_id)
        rest_seconds = min(REST_SECONDS * 2**place.failures, LONGEST_REST_SECONDS)
        place.failures += 1
        place.rests_until_seconds = now_seconds + rest_seconds

    def proved(self, target_id: str) -> None:
        """Note that a target gave a whole answer."""
        self._place(target_id).failures = 0

    def wait_seconds(self, services: Iterable[str], now_seconds: float) -> float:
        """Return how long a prompt waits on average at the engines of some services."""
        waits = [
            self._place(known.row.target_id).backlog.wait_seconds(now_seconds)
            for service in services
            for known in self._usable(self._of_service(service), now_seconds)
        ]
        return sum(waits) / len(waits) if waits else 0.0

    def loads(self) -> tuple[PlaceLoad, ...]:
        """Return what this router has under way."""
        return tuple(
            PlaceLoad(short_name(target_id), place.requests, place.sent_tokens)
            for target_id, place in self._places.items()
            if place.requests or place.sent_tokens
        )

    def take_others(
        self, loads: Iterable[PlaceLoad], is_new_book: bool, now_seconds: float
    ) -> None:
        """Take what all other routers have under way and have sent.

        Args:
            loads: By target; totals of sent tokens only grow in one book.
            is_new_book: Whether another instance adds up than the last time.
            now_seconds: The present time.
        """
        by_name = {load.name: load for load in loads}
        for target_id in self._table.known:
            load = by_name.get(short_name(target_id))
            place = self._place(target_id)
            place.others_requests = load.requests if load else 0
            total = load.sent_tokens if load else 0
            before = place.others_sent_tokens
            place.others_sent_tokens = total
            if before is not None and total > before and not is_new_book:
                place.backlog.sent(total - before, now_seconds)

    def forget(self) -> None:
        """Drop what is known of targets that the table has forgotten."""
        for target_id in [one for one in self._places if one not in self._table.known]:
            del self._places[target_id]

    def _of_service(self, service: str) -> list[KnownTarget]:
        self._refresh()
        return self._by_service.get(service, [])

    def _refresh(self) -> None:
        if self._seen_changes == self._table.changes:
            return
        self._seen_changes = self._table.changes
        self._by_service = {}
        for known in self._table.known.values():
            if known.row.state is TargetState.READY:
                self._by_service.setdefault(known.row.service, []).append(known)

    def _usable(
        self, found: list[KnownTarget], now_seconds: float
    ) -> list[KnownTarget]:
        """Return those that beat and don't rest, or the best of what there is.

        A router that hears no replica hears of no beats either. Its targets may all
        be well, so silence only decides while some of them are heard.
        """
        silent_seconds = MISSED_BEATS * self._beat_seconds
        heard = [
            known
            for known in found
            if now_seconds - known.heard_at_seconds < silent_seconds
        ] or found
        rested = [
            known
            for known in heard
            if self._place(known.row.target_id).rests_until_seconds <= now_seconds
        ]
        answering = [
            known
            for known in rested
            if not self._place(known.row.target_id).is_silent(now_seconds)
        ]
        return answering or rested or heard

    def _place(self, target_id: str) -> Place:
        place = self._places.get(target_id)
        if place is None:
            place = self._places[target_id] = Place()
        return place

    def _plain_lease(self, known: KnownTarget, now_seconds: float) -> Lease:
        """Count a request at a plain service."""
        place = self._place(known.row.target_id)
        place.requests += 1
        number = self._open(place, now_seconds, now_seconds)
        return Lease(known.row.target_id, known.row.address, number)

    def _open(
        self, place: Place, now_seconds: float, expected_at_seconds: float
    ) -> int:
        """Remember a request until something of its answer comes."""
        self._leases += 1
        place.unanswered[self._leases] = (now_seconds, expected_at_seconds)
        return self._leases

    def _engine_lease(
        self, known: KnownTarget, prompt: Prompt, tokens: int, now_seconds: float
    ) -> Lease:
        """Count a request at an engine that has so many tokens to read for it."""
        place = self._place(known.row.target_id)
        place.requests += 1
        place.sent_tokens += tokens
        expected_at_seconds = place.backlog.sent(tokens, now_seconds)
        self._note_parts(known.row.target_id, prompt, now_seconds)
        return Lease(
            known.row.target_id,
            known.row.address,
            self._open(place, now_seconds, expected_at_seconds),
            tokens,
            now_seconds,
            expected_at_seconds,
            place.backlog.rate_tokens,
        )

    def _plain_cost(self, known: KnownTarget) -> tuple[float, int]:
        place = self._place(known.row.target_id)
        requests = place.requests + place.others_requests
        far = 0.0 if known.row.data_centre == self._data_centre else FAR_REQUESTS
        return (requests + far) / max(known.row.slots, 1), place.requests

    def _engine_cost(
        self,
        known: KnownTarget,
        unread: int,
        prompt: Prompt,
        slots: int | None,
        objective_seconds: float,
        now_seconds: float,
    ) -> float:
        """Return what a prompt costs its caller and the others at an engine."""
        backlog = self._place(known.row.target_id).backlog
        wait_seconds = self._queue_seconds(known, slots, now_seconds)
        wait_seconds += backlog.read_seconds(unread)
        again = max(unread - prompt.own_tokens, 0)
        again_seconds = READ_AGAIN_FACTOR * backlog.read_seconds(again)
        return _wait_cost(wait_seconds, objective_seconds) + again_seconds

    def _queue_seconds(
        self, known: KnownTarget, slots: int | None, now_seconds: float
    ) -> float:
        """Return the time until an engine would begin to read one more prompt."""
        place = self._place(known.row.target_id)
        requests = place.requests + place.others_requests
        wait_seconds = place.backlog.wait_seconds(now_seconds)
        wait_seconds += RUNNING_SECONDS * requests
        places = slots or known.row.slots
        if requests >= places:
            wait_seconds += NO_PLACE_SECONDS * (1 + requests - places)
        return wait_seconds

    def _unread(
        self, known: KnownTarget, prompt: Prompt, home: str, now_seconds: float
    ) -> int:
        """Return how many tokens of a prompt a target would have to read."""
        kept = 0
        parts = self._place(known.row.target_id).parts
        for part in prompt.shared_parts:
            used_at_seconds = parts.get(part.part_id)
            is_kept = (
                used_at_seconds is not None
                and now_seconds - used_at_seconds < KEPT_SECONDS
            )
            if not is_kept and known.row.target_id != home:
                break
            kept += part.tokens
        return max(prompt.prompt_tokens - kept, 0)

    def _note_parts(self, target_id: str, prompt: Prompt, now_seconds: float) -> None:
        parts = self._place(target_id).parts
        for part in prompt.parts:
            parts[part.part_id] = now_seconds
        if len(parts) > MOST_PARTS:
            for part_id in sorted(parts, key=parts.__getitem__)[: MOST_PARTS // 2]:
                del parts[part_id]


def _wait_cost(wait_seconds: float, objective_seconds: float) -> float:
    """Return what a wait costs; one that endangers the objective costs more."""
    safe_seconds = SAFE_PART * objective_seconds
    return wait_seconds + LATE_FACTOR * max(wait_seconds - safe_seconds, 0.0)


def _home(prompt: Prompt, usable: list[KnownTarget]) -> str:
    """Return the target that all routers prefer for a prompt's last shared part."""
    shared = prompt.shared_parts or prompt.parts
    if not shared:
        return ""
    part_id = shared[-1].part_id
    return max(
        usable,
        key=lambda known: xxh32_intdigest(f"{part_id}/{known.row.target_id}".encode()),
    ).row.target_id


def make_placement(
    table: BeatTable, data_centre: str, beat_seconds: float
) -> Placement:
    """Return the placement of one router.

    Args:
        table: The targets.
        data_centre: Where the router stands.
        beat_seconds: How often targets beat.
    """
    return Placement(table, data_centre, beat_seconds)
