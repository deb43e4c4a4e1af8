"""Where a request goes: the target at which its answer begins soonest."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from sesameford.discovery.heartbeat_table import (
    HeartbeatEntry,
    HeartbeatTable,
    short_name,
)
from sesameford.effective import EffectiveTree, ServiceSettings
from sesameford.gateway.calls import Prompt
from sesameford.gateway.candidates import make_candidates
from sesameford.gateway.engine_backlog import (
    LOST_SECONDS,
    TELLING_TOKENS,
    ReadingRate,
    make_engine_backlog,
)
from sesameford.gateway.engine_choice import (
    EngineOption,
    option_cost,
    options_for,
    queue_seconds,
)
from sesameford.gateway.target_record import Reservation, TargetRecord
from sesameford.load_messages import (
    FailingTarget,
    TargetLoad,
    TargetOutcomes,
    UsedParts,
)

# How long a request holds its place in a batch after its first event, until some have
# ended; a request more than an engine has places waits until one of them ends.
FIRST_HOLD_SECONDS = 1.0
# The part of a new one in the average of those times.
HOLD_GAIN = 0.05
# The part of a new one in the average of how long a plain service works on a request.
WORK_GAIN = 0.05
# What a first event takes beside the reading of prompts: the ways there and back, and
# the steps until an event is full. It is learnt from prompts so short that they say
# little of the engine's rate, with this weight of each; what took longer had other
# causes.
FIRST_FIXED_SECONDS = 0.05
FIXED_GAIN = 0.02
MOST_FIXED_SECONDS = 0.3
# A target at which a connection failed rests so long, doubled with each failure.
REST_SECONDS = 0.5
LONGEST_REST_SECONDS = 8.0
# A target that no replica has heard for so many of its beats is taken last.
MISSED_BEATS = 3.5
# With more of its places taken than this part an engine has no room for those who ask
# too much: its memory is then better left to the prompts of all others.
ROOM_SLOTS_PART = 0.5
# The mean wait at all engines is worked out once in so long. A router that one customer
# floods needs it for each of its requests, hundreds a second, and would spend more on
# it than on all else of a rejection.
MEAN_WAIT_VALID_SECONDS = 0.02
# A plain target that fails all it is sent counts as if so many times its places were
# taken beside those that are, so that a sound one is taken until callers wait there.
FAILED_FULLNESS = 1.0
# What another data centre costs, in requests at a plain service: less than one, so
# that it only decides between equals.
FAR_REQUESTS = 0.4


@dataclass(frozen=True, slots=True)
class PlainQueue:
    """How long a request of a plain service takes, and how long without any wait."""

    takes_seconds: float
    work_seconds: float


@dataclass(frozen=True, slots=True)
class _MeanWait:
    """How long prompts wait on average at the engines of a service."""

    seconds: float
    valid_until_seconds: float


class Placement:
    """The targets as one router sees them."""

    def __init__(
        self,
        table: HeartbeatTable,
        data_centre: str,
        beat_seconds: float,
        random: Random,
        regions: Mapping[str, str],
    ) -> None:
        self.candidates = make_candidates(table, regions, self._restarted)
        self._table = table
        self._random = random
        self._data_centre = data_centre
        self._beat_seconds = beat_seconds
        self._places: dict[str, TargetRecord] = {}
        self._leases = 0
        self._hold_seconds = FIRST_HOLD_SECONDS
        self._began_at_seconds: dict[int, float] = {}
        self._mean_waits: dict[str, _MeanWait] = {}
        self._kind_rate = ReadingRate()
        self._fixed_seconds = FIRST_FIXED_SECONDS
        self._work_seconds: dict[str, float] = {}

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        """Take a tree that comes into force."""
        if self.candidates.configure(tree, now_seconds):
            self._mean_waits.clear()

    def _restarted(self, target_id: str) -> None:
        """Forget what is known of a target that holds nothing of it any more."""
        self._places.pop(target_id, None)

    def choose(
        self,
        service: str,
        prompt: Prompt | None,
        engine: ServiceSettings | None,
        objective_seconds: float,
        tried: frozenset[str],
        now_seconds: float,
        homes: frozenset[str] | None = None,
    ) -> Reservation | None:
        """Return where to send a request, counted there at once, or None.

        Args:
            service: The service it is for.
            prompt: What is known of its prompt, None if nothing is.
            engine: The service's settings, where it is of model engines.
            objective_seconds: When its answer should begin.
            tried: Targets that had it already.
            now_seconds: The present time.
            homes: The regions in which it may run, None for all.
        """
        found = [
            known
            for known in self.candidates.of_service(service, homes)
            if known.row.target_id not in tried
        ]
        permitted = self.candidates.permitted(found, now_seconds)
        usable = self._usable(permitted, now_seconds)
        if not usable:
            return None
        if prompt is None or engine is None or not engine.batch_slots:
            best = min(usable, key=partial(self._plain_cost, now_seconds))
            self.candidates.use_permit(best, now_seconds)
            return self._plain_lease(best, now_seconds)
        option = self._best_option(
            prompt, usable, engine, objective_seconds, now_seconds
        )
        is_cold = self.candidates.use_permit(option.known, now_seconds)
        lease = self._engine_lease(option, prompt, engine, now_seconds)
        return replace(lease, is_cold=True) if is_cold else lease

    def has_room(
        self,
        service: str,
        prompt: Prompt,
        engine: ServiceSettings,
        objective_seconds: float,
        room_seconds: float,
        mean_wait_seconds: float,
        now_seconds: float,
        homes: frozenset[str] | None = None,
    ) -> bool:
        """Return whether a request could begin at once and would delay nobody.

        Engines must stand idle for the most part. Room at the one engine alone brings
        more answers, most of them to those who flood, and makes others late.

        Args:
            service: The service it is for.
            prompt: What is known of its prompt.
            engine: The service's settings.
            objective_seconds: When its answer should begin.
            room_seconds: Prompts may wait so long where there is room.
            mean_wait_seconds: And so long on average over all engines.
            now_seconds: The present time.
            homes: The regions in which it may run, None for all.
        """
        slots = engine.batch_slots
        if not slots:
            return False
        if self.mean_wait_seconds(service, slots, now_seconds) > mean_wait_seconds:
            return False
        found = self.candidates.of_service(service, homes)
        usable = self._usable(self.candidates.warm(found, now_seconds), now_seconds)
        if not usable:
            return False
        option = self._best_option(
            prompt, usable, engine, objective_seconds, now_seconds
        )
        if option.again_tokens or option.copied_tokens:
            return False
        if option.place.all_requests(now_seconds) >= ROOM_SLOTS_PART * slots:
            return False
        wait_seconds = queue_seconds(
            option.place, slots, self._hold_seconds, now_seconds
        )
        return wait_seconds <= room_seconds

    def _best_option(
        self,
        prompt: Prompt,
        usable: list[HeartbeatEntry],
        engine: ServiceSettings,
        objective_seconds: float,
        now_seconds: float,
    ) -> EngineOption:
        """Return the engine at which a prompt costs least."""

        def cost(option: EngineOption) -> float:
            return option_cost(
                option,
                engine.batch_slots or 1,
                self._hold_seconds,
                engine.cache_copy_tokens_per_second,
                objective_seconds,
                now_seconds,
            )

        places = [(known, self._place(known.row.target_id)) for known in usable]
        permitted = self.candidates.cold_ids(usable, now_seconds)
        options = options_for(prompt, places, engine, self._random, permitted)
        return min(options, key=cost)

    def heard(self, lease: Reservation, now_seconds: float) -> None:
        """Note that something of an answer came from a target."""
        place = self._place(lease.target_id)
        place.last_seen_at_seconds = now_seconds
        place.unanswered.pop(lease.number, None)

    def first_event(self, lease: Reservation, now_seconds: float) -> None:
        """Note that a request's prompt has been read."""
        backlog = self._place(lease.target_id).backlog
        backlog.read(lease.number)
        self._began_at_seconds[lease.number] = now_seconds
        # A cold engine says little of its kind, nor of itself when it is warm.
        if not lease.waits_for_place and not lease.is_cold:
            took_seconds = now_seconds - lease.sent_at_seconds
            tokens = lease.ahead_tokens + lease.tokens
            self._learn_fixed(took_seconds - backlog.read_seconds(tokens), tokens)
            read_seconds = took_seconds - self._fixed_seconds
            self._kind_rate.observed(tokens, read_seconds, now_seconds)
            backlog.rate.observed(tokens, read_seconds, now_seconds)

    def _learn_fixed(self, took_seconds: float, tokens: int) -> None:
        """Learn what a first event takes beside reading, from short prompts."""
        if tokens < TELLING_TOKENS:
            took_seconds = min(max(took_seconds, 0.0), MOST_FIXED_SECONDS)
            self._fixed_seconds += FIXED_GAIN * (took_seconds - self._fixed_seconds)

    def is_lost(self, lease: Reservation, now_seconds: float) -> bool:
        """Return whether a request's answer was due long ago and nothing came."""
        waiting = self._place(lease.target_id).unanswered.get(lease.number)
        return waiting is not None and now_seconds > waiting[1] + LOST_SECONDS

    def released(self, lease: Reservation, now_seconds: float) -> None:
        """Give back a request's share of its target.

        One that ends while its target is silent leaves the target to rest; forgotten,
        the next requests would have to find out again.
        """
        place = self._place(lease.target_id)
        if lease.number in place.unanswered and place.is_silent(now_seconds):
            self.failed(lease.target_id, now_seconds)
        place.requests = max(place.requests - 1, 0)
        place.unanswered.pop(lease.number, None)
        place.backlog.read(lease.number)
        began_at_seconds = self._began_at_seconds.pop(lease.number, None)
        if began_at_seconds is not None:
            held_seconds = now_seconds - began_at_seconds
            self._hold_seconds += HOLD_GAIN * (held_seconds - self._hold_seconds)

    def failed(self, target_id: str, now_seconds: float) -> None:
        """Let a target rest at which a connection failed or broke."""
        place = self._place(target_id)
        rest_seconds = min(REST_SECONDS * 2**place.failures, LONGEST_REST_SECONDS)
        place.failures += 1
        place.rests_until_seconds = now_seconds + rest_seconds

    def proved(self, target_id: str) -> None:
        """Note that a target gave a whole answer."""
        place = self._place(target_id)
        place.failures = 0
        place.answered += 1

    def ran(self, service: str, lease: Reservation, now_seconds: float) -> None:
        """Learn how long a plain service works on a request."""
        took_seconds = (now_seconds - lease.sent_at_seconds) / max(lease.fullness, 1.0)
        before_seconds = self._work_seconds.get(service, took_seconds)
        change_seconds = took_seconds - before_seconds
        self._work_seconds[service] = before_seconds + WORK_GAIN * change_seconds

    def plain_queue(self, service: str, now_seconds: float) -> PlainQueue:
        """Return the queue of a plain service where a request is soonest done.

        Args:
            service: The service.
            now_seconds: The present time.
        """
        work_seconds = self._work_seconds.get(service, 0.0)
        found = self.candidates.of_service(service)
        if not work_seconds or not found:
            return PlainQueue(0.0, 0.0)
        fullness = min(
            self._place(known.row.target_id).all_requests(now_seconds)
            / max(known.row.slots, 1)
            for known in self._usable(found, now_seconds)
        )
        return PlainQueue(work_seconds * max(fullness, 1.0), work_seconds)

    def record_bad_answer(self, target_id: str) -> None:
        """Note that a target failed a request that it took."""
        self._place(target_id).failed += 1

    def waits_seconds(
        self, service: str, slots: int, now_seconds: float
    ) -> list[float]:
        """Return how long a prompt waits at each engine of a service.

        Args:
            service: The service.
            slots: Requests that one engine works on at once.
            now_seconds: The present time.
        """
        found = self.candidates.of_service(service)
        warm = self.candidates.warm(found, now_seconds)
        usable = self._usable(warm or found, now_seconds)
        return [
            queue_seconds(
                self._place(known.row.target_id), slots, self._hold_seconds, now_seconds
            )
            for known in usable
        ]

    def mean_wait_seconds(self, service: str, slots: int, now_seconds: float) -> float:
        """Return how long a prompt waits on average at the engines of a service.

        Args:
            service: The service.
            slots: Requests that one engine works on at once.
            now_seconds: The present time.
        """
        known = self._mean_waits.get(service)
        if known is not None and now_seconds < known.valid_until_seconds:
            return known.seconds
        waits = self.waits_seconds(service, slots, now_seconds)
        seconds = sum(waits) / len(waits) if waits else 0.0
        valid_until_seconds = now_seconds + MEAN_WAIT_VALID_SECONDS
        self._mean_waits[service] = _MeanWait(seconds, valid_until_seconds)
        return seconds

    def loads(self, now_seconds: float) -> tuple[TargetLoad, ...]:
        """Return what this router has under way."""
        return tuple(
            TargetLoad(
                short_name(target_id),
                place.running_requests(now_seconds),
                place.backlog.unread_tokens(now_seconds),
            )
            for target_id, place in self._places.items()
            if place.requests
        )

    def news(self) -> tuple[UsedParts, ...]:
        """Return what this router has sent to engines since it was asked last."""
        rows = [
            place.memory.news(short_name(target_id))
            for target_id, place in self._places.items()
        ]
        return tuple(row for row in rows if row is not None)

    def outcomes(self) -> tuple[TargetOutcomes, ...]:
        """Return how targets have answered since this was asked last."""
        rows = []
        for target_id, place in self._places.items():
            if place.answered or place.failed:
                name = short_name(target_id)
                rows.append(TargetOutcomes(name, place.answered, place.failed))
                place.answered = place.failed = 0
        return tuple(rows)

    def set_failing_targets(self, rows: Iterable[FailingTarget]) -> None:
        """Take which targets fail part of what the fleet sends them."""
        parts = {row.name: row.failed_part for row in rows}
        for target_id, place in self._places.items():
            place.failed_part = parts.get(short_name(target_id), 0.0)

    def target_ids(self, rows: Iterable[FailingTarget]) -> dict[str, float]:
        """Return which part the known ones of failing targets fail, by their ids."""
        known = ((self._table.find_by_name(row.name), row.failed_part) for row in rows)
        return {one.row.target_id: part for one, part in known if one is not None}

    def record_used_parts(
        self, rows: Iterable[UsedParts], engines: Mapping[str, ServiceSettings]
    ) -> None:
        """Take what other routers have sent to engines.

        Args:
            rows: By engine.
            engines: The settings of services.
        """
        for row in rows:
            known = self._table.find_by_name(row.name)
            if known is None:
                # A target that this instance does not know yet, or has forgotten.
                continue
            engine = engines.get(known.row.service)
            memory_tokens = engine.cache_tokens if engine else None
            self._place(known.row.target_id).memory.take(row, memory_tokens)

    def set_other_routers_load(self, loads: Iterable[TargetLoad]) -> None:
        """Take what all other routers have under way, by target."""
        self._mean_waits.clear()
        by_name = {load.name: load for load in loads}
        for target_id in self._table.entries:
            load = by_name.get(short_name(target_id))
            place = self._place(target_id)
            place.others_requests = load.requests if load else 0
            place.backlog.others_unread_tokens = load.unread_tokens if load else 0

    def forget(self) -> None:
        """Drop what is known of targets that the table has forgotten."""
        for target_id in [
            one for one in self._places if one not in self._table.entries
        ]:
            del self._places[target_id]

    def _usable(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> list[HeartbeatEntry]:
        """Return those that beat and don't rest, or the best of what there is.

        A router that hears no replica hears of no beats either. Its targets may all
        be well, so silence only decides while some of them are heard.
        """
        silent_seconds = MISSED_BEATS * self._beat_seconds
        heard = [
            known
            for known in found
            if now_seconds - known.last_seen_at_seconds < silent_seconds
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

    def _place(self, target_id: str) -> TargetRecord:
        place = self._places.get(target_id)
        if place is None:
            backlog = make_engine_backlog(self._kind_rate)
            place = self._places[target_id] = TargetRecord(backlog=backlog)
        return place

    def _plain_lease(self, known: HeartbeatEntry, now_seconds: float) -> Reservation:
        """Count a request at a plain service."""
        row = known.row
        place = self._place(row.target_id)
        place.requests += 1
        fullness = place.all_requests(now_seconds) / max(row.slots, 1)
        number = self._open(place, now_seconds, now_seconds)
        return Reservation(
            row.target_id,
            row.address,
            number,
            sent_at_seconds=now_seconds,
            fullness=fullness,
        )

    def _open(
        self, place: TargetRecord, now_seconds: float, expected_at_seconds: float
    ) -> int:
        """Remember a request until something of its answer comes."""
        self._leases += 1
        place.unanswered[self._leases] = (now_seconds, expected_at_seconds)
        return self._leases

    def _engine_lease(
        self,
        option: EngineOption,
        prompt: Prompt,
        engine: ServiceSettings,
        now_seconds: float,
    ) -> Reservation:
        """Count a request at an engine."""
        slots = engine.batch_slots or 1
        row = option.known.row
        place = option.place
        backlog = place.backlog
        expected_seconds = queue_seconds(place, slots, self._hold_seconds, now_seconds)
        expected_seconds += backlog.read_seconds(option.unread_tokens)
        expected_seconds += self._fixed_seconds
        number = self._open(place, now_seconds, now_seconds + expected_seconds)
        lease = Reservation(
            row.target_id,
            row.address,
            number,
            option.unread_tokens,
            backlog.ahead_tokens(now_seconds),
            now_seconds,
            expected_seconds,
            backlog.rate_tokens,
            place.all_requests(now_seconds) >= slots,
            option.copy_from,
        )
        place.requests += 1
        backlog.sent(
            number, option.unread_tokens, now_seconds + expected_seconds, now_seconds
        )
        place.memory.sent(prompt, engine.cache_tokens)
        return lease

    def _plain_cost(
        self, now_seconds: float, known: HeartbeatEntry
    ) -> tuple[float, int]:
        place = self._place(known.row.target_id)
        requests = place.all_requests(now_seconds)
        far = 0.0 if known.row.data_centre == self._data_centre else FAR_REQUESTS
        fullness = (requests + far) / max(known.row.slots, 1)
        return fullness + FAILED_FULLNESS * place.failed_part, place.requests


def make_placement(
    table: HeartbeatTable,
    data_centre: str,
    beat_seconds: float,
    random: Random,
    regions: Mapping[str, str] | None = None,
) -> Placement:
    """Return the placement of one router.

    Args:
        table: The targets.
        data_centre: Where the router stands.
        beat_seconds: How often targets beat.
        random: Draws the engines that are looked at.
        regions: The region of each data centre.
    """
    return Placement(table, data_centre, beat_seconds, random, regions or {})
