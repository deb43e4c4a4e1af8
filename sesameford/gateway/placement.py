"""Chooses the target of each request: the one where its answer starts soonest."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from sesameford.discovery.heartbeat_table import (
    HeartbeatEntry,
    HeartbeatTable,
    short_name,
)
from sesameford.doubling import doubled_seconds
from sesameford.effective import EffectiveTree, ServiceSettings
from sesameford.gateway.calls import AnswerHead, Prompt
from sesameford.gateway.candidates import has_version, make_candidates
from sesameford.gateway.engine_backlog import make_engine_backlog
from sesameford.gateway.engine_choice import (
    ChoiceRules,
    EngineOption,
    option_cost,
    options_for,
    queue_seconds,
)
from sesameford.gateway.loop_lag import make_loop_lag
from sesameford.gateway.service_times import make_service_times
from sesameford.gateway.target_record import Reservation, TargetRecord
from sesameford.gateway.target_reports import make_target_reports
from sesameford.load_messages import (
    TargetLoad,
)
from sesameford.tables import TargetState

# Backoff of a target after a failed connection, doubled with each further failure.
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0
# A target without a heartbeat at any replica for so many intervals is used last.
MAX_MISSED_HEARTBEATS = 3.5
# Above this fraction of busy slots an engine has no spare capacity for customers over
# their share: its memory then serves better for the prompts of the others.
MAX_BUSY_SLOTS_FRACTION = 0.5
# How long the mean wait over all engines is cached. A router that one customer
# overloads needs it for hundreds of requests a second, and computing it each time
# would cost more than the rest of a refusal.
MEAN_WAIT_CACHE_SECONDS = 0.02
# A plain target that fails all its requests counts as fuller by so many times its
# slots, so that healthy ones are preferred until callers queue there.
FAILURE_COST_FULLNESS = 1.0
# The cost of another data centre, in requests at a plain service: less than one, so
# that it only breaks ties.
REMOTE_COST_REQUESTS = 0.4


@dataclass(frozen=True, slots=True)
class PlainQueue:
    """How long a request of a plain service takes in all, and without queueing."""

    takes_seconds: float
    work_seconds: float


@dataclass(frozen=True, slots=True)
class _MeanWait:
    """The cached mean wait of prompts at the engines of a service."""

    seconds: float
    valid_until_seconds: float


class Placement:
    """One router's records of all targets, and its choice among them.

    ``lag`` is the lateness of the router's loop, which its load system measures.
    """

    def __init__(
        self,
        table: HeartbeatTable,
        data_centre: str,
        heartbeat_seconds: float,
        random: Random,
        regions: Mapping[str, str],
    ) -> None:
        self.lag = make_loop_lag()
        self.candidates = make_candidates(table, regions, self._forget_restarted_target)
        self._table = table
        self._random = random
        self._data_centre = data_centre
        self._heartbeat_seconds = heartbeat_seconds
        self._records: dict[str, TargetRecord] = {}
        self.reports = make_target_reports(table, self._records, self._record)
        self._last_reservation_number = 0
        self._times = make_service_times(self.lag)
        self._mean_waits: dict[str, _MeanWait] = {}
        self._rules = ChoiceRules()

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        """Apply a tree that comes into force."""
        self._rules = ChoiceRules(
            self._data_centre if tree.fleet.near_engines else None,
            tree.fleet.spare_answers,
        )
        if self.candidates.configure(tree, now_seconds):
            self._mean_waits.clear()

    def _forget_restarted_target(self, target_id: str) -> None:
        """Delete the record of a target that restarted with empty memory."""
        self._records.pop(target_id, None)

    def choose(
        self,
        service: str,
        prompt: Prompt | None,
        engine: ServiceSettings | None,
        objective_seconds: float,
        tried: frozenset[str],
        now_seconds: float,
        homes: frozenset[str] | None = None,
        version: str | None = None,
    ) -> Reservation | None:
        """Choose a target for a request and reserve a slot there.

        Args:
            service: The service that it is for.
            prompt: Its prompt, None if it has none.
            engine: The service's settings if it consists of model engines.
            objective_seconds: The time within which its answer should start.
            tried: Targets that it was already sent to.
            now_seconds: The present time.
            homes: The regions in which it may run, None for all.
            version: The software version that it needs, None for any.

        Returns:
            The reservation, None if there is no usable target.
        """
        found = [
            entry
            for entry in self.candidates.of_service(service, now_seconds, homes)
            if entry.row.target_id not in tried
        ]
        if version is not None:
            found = [entry for entry in found if has_version(entry, version)]
        permitted = self.candidates.permitted(found, now_seconds)
        usable = self._usable(permitted, now_seconds)
        if not usable:
            return None
        if prompt is None or engine is None or not engine.batch_slots:
            best = min(usable, key=partial(self._plain_cost, now_seconds))
            self.candidates.use_permit(best, now_seconds)
            return self._reserve_plain_target(best, now_seconds)
        option = self._best_option(
            prompt, usable, engine, objective_seconds, now_seconds
        )
        is_cold = self.candidates.use_permit(option.entry, now_seconds)
        reservation = self._reserve_engine(option, prompt, engine, now_seconds)
        return replace(reservation, is_cold=True) if is_cold else reservation

    def has_spare_capacity(
        self,
        service: str,
        prompt: Prompt,
        engine: ServiceSettings,
        objective_seconds: float,
        max_wait_seconds: float,
        max_mean_wait_seconds: float,
        now_seconds: float,
        homes: frozenset[str] | None = None,
    ) -> bool:
        """Return whether a request could start at once without delaying others.

        Engines in general must be mostly idle. Spare capacity at the chosen engine
        alone would allow more answers, most of them for customers who overload the
        service, and would make those of others late.

        Args:
            service: The service that it is for.
            prompt: Its prompt.
            engine: The service's settings.
            objective_seconds: The time within which its answer should start.
            max_wait_seconds: The longest wait that counts as spare capacity.
            max_mean_wait_seconds: The longest mean wait over all engines that does.
            now_seconds: The present time.
            homes: The regions in which it may run, None for all.
        """
        slots = engine.batch_slots
        if not slots:
            return False
        if self.mean_wait_seconds(service, slots, now_seconds) > max_mean_wait_seconds:
            return False
        found = self.candidates.of_service(service, now_seconds, homes)
        usable = self._usable(self.candidates.warm(found, now_seconds), now_seconds)
        if not usable:
            return False
        option = self._best_option(
            prompt, usable, engine, objective_seconds, now_seconds
        )
        if option.reread_tokens or option.copied_tokens:
            return False
        if option.record.all_requests(now_seconds) >= MAX_BUSY_SLOTS_FRACTION * slots:
            return False
        wait_seconds = queue_seconds(
            option.record, slots, self._times.hold_seconds, now_seconds
        )
        return wait_seconds <= max_wait_seconds

    def _best_option(
        self,
        prompt: Prompt,
        usable: list[HeartbeatEntry],
        engine: ServiceSettings,
        objective_seconds: float,
        now_seconds: float,
    ) -> EngineOption:
        """Return the engine with the lowest cost for a prompt."""

        def cost(option: EngineOption) -> float:
            return option_cost(
                option,
                engine.batch_slots or 1,
                self._times.hold_seconds,
                engine.cache_copy_tokens_per_second,
                objective_seconds,
                now_seconds,
                self._rules,
            )

        records = [(entry, self._record(entry.row.target_id)) for entry in usable]
        permitted = self.candidates.cold_ids(usable, now_seconds)
        options = options_for(
            prompt, records, engine, self._random, permitted, self._rules
        )
        return min(options, key=cost)

    def record_answer_data(self, reservation: Reservation, now_seconds: float) -> None:
        """Record that a part of an answer arrived from a target."""
        record = self._record(reservation.target_id)
        record.last_seen_at_seconds = now_seconds
        record.unanswered.pop(reservation.number, None)

    def record_first_event(self, reservation: Reservation, now_seconds: float) -> None:
        """Record that a request's prompt has been read."""
        record = self._record(reservation.target_id)
        record.backlog.remove(reservation.number)
        self._times.record_first_event(reservation, record, now_seconds)

    def is_lost(self, reservation: Reservation, now_seconds: float) -> bool:
        """Return whether a request's answer is so overdue that it counts as lost."""
        record = self._record(reservation.target_id)
        return record.is_lost(reservation.number, now_seconds)

    def version_of(self, reservation: Reservation) -> str:
        """Return the software version that answers a request, empty if unknown.

        A target that has started again under its id may have answered before or after.
        """
        entry = self._table.entries.get(reservation.target_id)
        if entry is None or entry.row.incarnation != reservation.incarnation:
            return ""
        return reservation.software_version

    def is_silent(self, target_id: str, now_seconds: float) -> bool:
        """Return whether a target's oldest answer to this router is overdue."""
        record = self._records.get(target_id)
        return record is not None and record.is_silent(now_seconds)

    def release(self, reservation: Reservation, now_seconds: float) -> None:
        """Release a reservation at the end of its request.

        If the target is silent at that time it is put into backoff. Otherwise the
        silence would be forgotten, and the next requests would have to detect it again.
        """
        record = self._record(reservation.target_id)
        if reservation.number in record.unanswered and record.is_silent(now_seconds):
            self.record_connection_failure(reservation.target_id, now_seconds)
        record.requests = max(record.requests - 1, 0)
        record.unanswered.pop(reservation.number, None)
        record.backlog.remove(reservation.number)
        self._times.record_end(reservation, now_seconds)

    def record_connection_failure(self, target_id: str, now_seconds: float) -> None:
        """Put a target into backoff after a connection to it failed or broke."""
        record = self._record(target_id)
        backoff_seconds = doubled_seconds(
            INITIAL_BACKOFF_SECONDS, record.consecutive_failures, MAX_BACKOFF_SECONDS
        )
        record.consecutive_failures += 1
        record.backoff_until_seconds = now_seconds + backoff_seconds

    def record_success(self, target_id: str) -> None:
        """Record a complete answer of a target."""
        record = self._record(target_id)
        record.consecutive_failures = 0
        record.answered_requests += 1

    def record_work_time(
        self, service: str, reservation: Reservation, now_seconds: float
    ) -> None:
        """Update how long a plain service works on a request."""
        record = self._record(reservation.target_id)
        self._times.record_work_time(service, reservation, record, now_seconds)

    def may_send(self, reservation: Reservation, now_seconds: float) -> bool:
        """Return whether a chosen target still accepts requests of this router.

        It may have left since, while the request waited for a connection.
        """
        entry = self._table.entries.get(reservation.target_id)
        if entry is None or entry.row.state is not TargetState.READY:
            return False
        if entry.row.incarnation != reservation.incarnation:
            return False
        return self.candidates.notices.accepts(
            reservation.target_id, reservation.incarnation, now_seconds
        )

    @property
    def table_digest(self) -> int:
        """Return the digest of the table of targets."""
        return self._table.digests.rows

    def record_answer_head(
        self,
        reservation: Reservation,
        head: AnswerHead,
        request_id: str,
        now_seconds: float,
    ) -> None:
        """Record what a target states about itself in an answer, besides its result.

        Args:
            reservation: The slot of the request that it answers.
            head: The head of the answer.
            request_id: The request, for the log.
            now_seconds: The present time.
        """
        if head.is_other_target or not head.has_notice:
            return
        record = self._record(reservation.target_id)
        if head.not_run and head.retry_after_seconds:
            # A target that rejects all requests looks idle. Without this each router
            # would learn only from its own requests that it does not work.
            record.failed_requests += 1
        running = record.running_requests(now_seconds)
        self.candidates.notices.record_answer(
            reservation, head, request_id, running, now_seconds
        )

    def plain_queue(self, service: str, now_seconds: float) -> PlainQueue:
        """Return the shortest queue among the targets of a plain service.

        Args:
            service: The service.
            now_seconds: The present time.
        """
        work_seconds = self._times.work_seconds(service)
        found = self.candidates.of_service(service, now_seconds)
        if not work_seconds or not found:
            return PlainQueue(0.0, 0.0)
        fullness = min(
            self._record(entry.row.target_id).all_requests(now_seconds)
            / max(entry.row.slots, 1)
            for entry in self._usable(found, now_seconds)
        )
        return PlainQueue(work_seconds * max(fullness, 1.0), work_seconds)

    def record_bad_answer(self, target_id: str) -> None:
        """Record that a target failed a request that it accepted."""
        self._record(target_id).failed_requests += 1

    def queue_waits_seconds(
        self, service: str, slots: int, now_seconds: float
    ) -> list[float]:
        """Return how many seconds a prompt waits at each engine of a service.

        Args:
            service: The service.
            slots: The number of requests that one engine processes at once.
            now_seconds: The present time.
        """
        # If no engine accepts work now, the load of all of them is the best estimate.
        found = self.candidates.of_service(service, now_seconds)
        found = found or self.candidates.listed(service)
        warm = self.candidates.warm(found, now_seconds)
        usable = self._usable(warm or found, now_seconds)
        return [
            queue_seconds(
                self._record(entry.row.target_id),
                slots,
                self._times.hold_seconds,
                now_seconds,
            )
            for entry in usable
        ]

    def mean_wait_seconds(self, service: str, slots: int, now_seconds: float) -> float:
        """Return the mean wait of a prompt in seconds at the engines of a service.

        Args:
            service: The service.
            slots: The number of requests that one engine processes at once.
            now_seconds: The present time.
        """
        cached = self._mean_waits.get(service)
        if cached is not None and now_seconds < cached.valid_until_seconds:
            return cached.seconds
        waits = self.queue_waits_seconds(service, slots, now_seconds)
        seconds = sum(waits) / len(waits) if waits else 0.0
        valid_until_seconds = now_seconds + MEAN_WAIT_CACHE_SECONDS
        self._mean_waits[service] = _MeanWait(seconds, valid_until_seconds)
        return seconds

    def set_other_routers_load(self, loads: Iterable[TargetLoad]) -> None:
        """Set the load that all other routers have at each target."""
        self._mean_waits.clear()
        by_name = {load.name: load for load in loads}
        for target_id in self._table.entries:
            load = by_name.get(short_name(target_id))
            record = self._record(target_id)
            record.others_requests = load.requests if load else 0
            record.backlog.others_unread_tokens = load.unread_tokens if load else 0

    def forget(self, now_seconds: float) -> None:
        """Delete the records of targets that the table no longer contains."""
        self.candidates.notices.forget(self._table.entries, now_seconds)
        self.candidates.ended.forget(self._table.entries)
        for target_id in [
            one for one in self._records if one not in self._table.entries
        ]:
            del self._records[target_id]

    def _usable(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> list[HeartbeatEntry]:
        """Return the targets that send heartbeats, are not in backoff and answer.

        If a condition excludes all of them it is dropped: a router without a
        connection to any replica receives no heartbeats, but its targets may be well.
        """
        silent_seconds = MAX_MISSED_HEARTBEATS * self._heartbeat_seconds
        live = [
            entry
            for entry in found
            if now_seconds - entry.last_seen_at_seconds < silent_seconds
        ] or found
        available = [
            entry
            for entry in live
            if self._record(entry.row.target_id).backoff_until_seconds <= now_seconds
        ]
        answering = [
            entry
            for entry in available
            if not self._record(entry.row.target_id).is_silent(now_seconds)
        ]
        return answering or available or live

    def _record(self, target_id: str) -> TargetRecord:
        record = self._records.get(target_id)
        if record is None:
            backlog = make_engine_backlog(self._times.kind_rate, self.lag)
            record = self._records[target_id] = TargetRecord(
                backlog=backlog, hold_seconds=lambda: self._times.hold_seconds
            )
        return record

    def _reserve_plain_target(
        self, entry: HeartbeatEntry, now_seconds: float
    ) -> Reservation:
        """Reserve a slot for a request at a target of a plain service."""
        row = entry.row
        record = self._record(row.target_id)
        record.requests += 1
        fullness = record.all_requests(now_seconds) / max(row.slots, 1)
        number = self._add_unanswered(record, now_seconds, now_seconds)
        return Reservation(
            row.target_id,
            row.address,
            number,
            sent_at_seconds=now_seconds,
            fullness=fullness,
            incarnation=row.incarnation,
            software_version=row.software_version,
        )

    def _add_unanswered(
        self, record: TargetRecord, now_seconds: float, expected_at_seconds: float
    ) -> int:
        """Track a request until a part of its answer arrives; return its number."""
        self._last_reservation_number += 1
        record.unanswered[self._last_reservation_number] = (
            now_seconds,
            expected_at_seconds,
        )
        return self._last_reservation_number

    def _reserve_engine(
        self,
        option: EngineOption,
        prompt: Prompt,
        engine: ServiceSettings,
        now_seconds: float,
    ) -> Reservation:
        """Reserve a slot for a request at an engine."""
        slots = engine.batch_slots or 1
        row = option.entry.row
        record = option.record
        backlog = record.backlog
        expected_seconds = queue_seconds(
            record, slots, self._times.hold_seconds, now_seconds
        )
        expected_seconds += backlog.read_seconds(option.unread_tokens)
        expected_seconds += self._times.fixed_delay_seconds
        number = self._add_unanswered(
            record, now_seconds, now_seconds + expected_seconds
        )
        reservation = Reservation(
            row.target_id,
            row.address,
            number,
            option.unread_tokens,
            backlog.ahead_tokens(now_seconds),
            now_seconds,
            expected_seconds,
            backlog.rate_tokens,
            record.all_requests(now_seconds) >= slots,
            option.copy_from,
            incarnation=row.incarnation,
            software_version=row.software_version,
        )
        record.requests += 1
        backlog.add(
            number, option.unread_tokens, now_seconds + expected_seconds, now_seconds
        )
        record.memory.record_sent(prompt, engine.cache_tokens)
        return reservation

    def _plain_cost(
        self, now_seconds: float, entry: HeartbeatEntry
    ) -> tuple[float, int]:
        record = self._record(entry.row.target_id)
        requests = record.all_requests(now_seconds)
        remote_requests = (
            0.0 if entry.row.data_centre == self._data_centre else REMOTE_COST_REQUESTS
        )
        fullness = (requests + remote_requests) / max(entry.row.slots, 1)
        fullness /= record.speed
        return fullness + FAILURE_COST_FULLNESS * record.failed_part, record.requests


def make_placement(
    table: HeartbeatTable,
    data_centre: str,
    heartbeat_seconds: float,
    random: Random,
    regions: Mapping[str, str] | None = None,
) -> Placement:
    """Return the placement of one router.

    Args:
        table: The targets and their heartbeats.
        data_centre: The router's data centre.
        heartbeat_seconds: The interval of targets' heartbeats.
        random: Selects the engines that are considered.
        regions: The region of each data centre.
    """
    return Placement(table, data_centre, heartbeat_seconds, random, regions or {})
