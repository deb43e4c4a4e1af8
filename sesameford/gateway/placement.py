"""Where a request goes: the target at which its answer begins soonest.

A model engine reads prompts one after another, so what delays a first event is the
tokens that wait to be read before it. Prompts share parts, and an engine that kept a
part does not read it again. All routers order the engines alike for a shared part, by
a hash of both, so that a part is read at few engines without anybody agreeing on it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from xxhash import xxh32_intdigest

from sesameford.discovery.beat_table import BeatTable, KnownTarget, short_name
from sesameford.gateway.calls import Prompt
from sesameford.messages import PlaceLoad
from sesameford.tables import TargetState

# What a running request adds to a wait, in prompt tokens: each step of a batch is
# longer by some hundredth for each request in it, at about a hundred tokens a step.
RUNNING_TOKENS = 12
# A request more than an engine has places waits for one to end, which takes as long
# as reading some ten thousand tokens.
NO_PLACE_TOKENS = 8_000
# A part is taken as kept where it was read so short a time ago.
KEPT_SECONDS = 60.0
# Parts remembered of one target; a hundred bytes each.
MOST_PARTS = 2_000
# A target at which a connection failed rests so long, doubled with each failure.
REST_SECONDS = 0.5
LONGEST_REST_SECONDS = 8.0
# A target that no replica has heard for so many of its beats is taken last.
MISSED_BEATS = 3.5
# What another data centre costs, in requests at a plain service: less than one, so
# that it only decides between equals.
FAR_REQUESTS = 0.4


@dataclass(slots=True)
class Place:
    """What this router knows of one target beside its heartbeats.

    ``unread_tokens`` are those of requests without a first event; the ``others_``
    fields are what all other routers told last.
    """

    requests: int = 0
    unread_tokens: int = 0
    others_requests: int = 0
    others_tokens: int = 0
    failures: int = 0
    rests_until_seconds: float = 0.0
    parts: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Lease:
    """One request's share of a target's work, to be given back by ``released``."""

    target_id: str
    address: str
    tokens: int


class Placement:
    """The targets as one router sees them."""

    def __init__(self, table: BeatTable, data_centre: str, beat_seconds: float) -> None:
        self._table = table
        self._data_centre = data_centre
        self._beat_seconds = beat_seconds
        self._places: dict[str, Place] = {}
        self._by_service: dict[str, list[KnownTarget]] = {}
        self._seen_changes = -1

    def choose(
        self,
        service: str,
        prompt: Prompt | None,
        slots: int | None,
        tried: frozenset[str],
        now_seconds: float,
    ) -> Lease | None:
        """Return where to send a request, counted there at once, or None.

        Args:
            service: The service it is for.
            prompt: What is known of its prompt, None for a plain service.
            slots: Places in one engine's batch.
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
        if prompt is None or not prompt.prompt_tokens:
            best = min(usable, key=self._plain_cost)
            return self._lease(best, 0)
        home = _home(prompt, usable)
        costs = [
            (self._engine_cost(known, prompt, slots, home, now_seconds), known)
            for known in usable
        ]
        _, best = min(costs, key=lambda pair: pair[0])
        lease = self._lease(best, self._unread(best, prompt, home, now_seconds))
        self._note_parts(best.row.target_id, prompt, now_seconds)
        return lease

    def first_event(self, lease: Lease) -> None:
        """Note that a request's prompt has been read."""
        place = self._place(lease.target_id)
        place.unread_tokens = max(place.unread_tokens - lease.tokens, 0)

    def released(self, lease: Lease, had_first_event: bool) -> None:
        """Give back a request's share of its target."""
        place = self._place(lease.target_id)
        place.requests = max(place.requests - 1, 0)
        if not had_first_event:
            self.first_event(lease)

    def failed(self, target_id: str, now_seconds: float) -> None:
        """Let a target rest at which a connection failed or broke."""
        place = self._place(target_id)
        rest_seconds = min(REST_SECONDS * 2**place.failures, LONGEST_REST_SECONDS)
        place.failures += 1
        place.rests_until_seconds = now_seconds + rest_seconds

    def proved(self, target_id: str) -> None:
        """Note that a target gave a whole answer."""
        self._place(target_id).failures = 0

    def loads(self) -> tuple[PlaceLoad, ...]:
        """Return what this router has under way."""
        return tuple(
            PlaceLoad(short_name(target_id), place.requests, place.unread_tokens)
            for target_id, place in self._places.items()
            if place.requests
        )

    def take_others(self, loads: Iterable[PlaceLoad]) -> None:
        """Take what all other routers have under way."""
        by_name = {load.name: load for load in loads}
        for target_id in self._table.known:
            load = by_name.get(short_name(target_id))
            place = self._place(target_id)
            place.others_requests = load.requests if load else 0
            place.others_tokens = load.prompt_tokens if load else 0

    def forget(self) -> None:
        """Drop what is known of targets that the table has forgotten."""
        for target_id in [one for one in self._places if one not in self._table.known]:
            del self._places[target_id]

    def counts(self, now_seconds: float) -> Mapping[str, int]:
        """Return how many targets of each service may get work, for the metrics."""
        self._refresh()
        return {
            service: len(self._usable(found, now_seconds))
            for service, found in self._by_service.items()
        }

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
        return rested or heard

    def _place(self, target_id: str) -> Place:
        place = self._places.get(target_id)
        if place is None:
            place = self._places[target_id] = Place()
        return place

    def _lease(self, known: KnownTarget, tokens: int) -> Lease:
        place = self._place(known.row.target_id)
        place.requests += 1
        place.unread_tokens += tokens
        return Lease(known.row.target_id, known.row.address, tokens)

    def _plain_cost(self, known: KnownTarget) -> tuple[float, int]:
        place = self._place(known.row.target_id)
        requests = place.requests + place.others_requests
        far = 0.0 if known.row.data_centre == self._data_centre else FAR_REQUESTS
        return (requests + far) / max(known.row.slots, 1), place.requests

    def _engine_cost(
        self,
        known: KnownTarget,
        prompt: Prompt,
        slots: int | None,
        home: str,
        now_seconds: float,
    ) -> float:
        """Return the wait before the first event, in prompt tokens."""
        place = self._place(known.row.target_id)
        requests = place.requests + place.others_requests
        cost = place.unread_tokens + place.others_tokens
        cost += RUNNING_TOKENS * requests
        places = slots or known.row.slots
        if requests >= places:
            cost += NO_PLACE_TOKENS * (1 + requests - places)
        return cost + self._unread(known, prompt, home, now_seconds)

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
