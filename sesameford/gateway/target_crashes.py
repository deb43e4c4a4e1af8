"""Finds out which targets crashed, and which calls were in flight there.

A broken exchange alone proves no crash: connections are reset, cut and spoilt for other
reasons. A crash is proven when a fresh connection is refused, when another target has
the address or the target another incarnation, or when its heartbeats have ended while
others of its data centre go on. All calls in flight there are involved, those too whose
callers have left or whose time has run out since the target last answered, and what it
had answered just before and no target has survived recently.
"""

import logging
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from sesameford.discovery.heartbeat_table import HeartbeatEntry, HeartbeatTable
from sesameford.gateway.ended_targets import EndedTargets
from sesameford.gateway.recent_answers import (
    SURVIVAL_SECONDS,
    RecentAnswer,
    make_recent_answers,
)
from sesameford.gateway.target_notices import TargetNotices
from sesameford.gateway.target_record import Reservation
from sesameford.in_flight_attempts import (
    InFlightAttempts,
    InFlightRequest,
    TargetCrash,
)
from sesameford.suspect_log import format_digests
from sesameford.tables import TargetState

logger = logging.getLogger(__name__)

# A crash is proven within seconds: a target that starts again has a new incarnation.
BROKEN_RETENTION_SECONDS = 10.0
# A target without heartbeats for so many intervals has ended, if the heartbeats of
# others of its data centre have arrived within the recent ones.
MISSED_HEARTBEATS = 5.0
RECENT_HEARTBEATS = 2.0
# Within this time it is known of most answers whether their targets survive them.
POSTPONED_SECONDS = SURVIVAL_SECONDS + 0.5


class CrashEvidence(StrEnum):
    """What proves that a target crashed."""

    REFUSED = "connection-refused"
    REPLACED = "replaced"
    NO_HEARTBEATS = "no-heartbeats"


@dataclass(frozen=True, slots=True)
class ObservedCrash:
    """A proven crash; ``age_seconds`` is the time since the first exchange broke."""

    crash: TargetCrash
    evidence: CrashEvidence
    age_seconds: float


@dataclass(frozen=True, slots=True)
class Survivals:
    """What the answer of a target shows of calls that had ended there before.

    ``completed`` are the digests of those whose answers are confirmed, ``survived`` of
    those after whose answers it has lived on.
    """

    completed: Sequence[bytes]
    survived: Sequence[bytes]


class TargetCrashes:
    """The calls in flight at one router, and the crashes that it observes.

    Args:
        table: The targets and their heartbeats.
        notices: What targets stated about themselves.
        ended: The targets that ended, which get no more calls.
        heartbeat_seconds: The interval of targets' heartbeats.
        on_crash: Called with a crash under which calls were in flight, and the time.
    """

    def __init__(
        self,
        table: HeartbeatTable,
        notices: TargetNotices,
        ended: EndedTargets,
        heartbeat_seconds: float,
        on_crash: Callable[[ObservedCrash, float], None],
    ) -> None:
        self._table = table
        self._notices = notices
        self._ended = ended
        self._heartbeat_seconds = heartbeat_seconds
        self._on_crash = on_crash
        self._in_flight = InFlightAttempts(BROKEN_RETENTION_SECONDS)
        self._answers = make_recent_answers()
        self._checked_changes = -1
        self._postponed: deque[tuple[float, ObservedCrash]] = deque()

    def record_sent(
        self,
        reservation: Reservation,
        digest: bytes,
        is_trial: bool,
        part_digests: tuple[bytes, ...] = (),
        trial_parts: frozenset[bytes] = frozenset(),
    ) -> None:
        """Add a call that is about to be written to a target.

        Args:
            reservation: The call's slot there.
            digest: The call's digest.
            is_trial: Whether the call is a suspect.
            part_digests: Those of its prompt's parts that others may share.
            trial_parts: Those of them that are suspects.
        """
        request = InFlightRequest(
            reservation.target_id,
            reservation.incarnation,
            digest,
            is_trial,
            part_digests=part_digests,
            trial_parts=trial_parts,
        )
        self._in_flight.record_start(reservation.number, request)

    def record_not_run(self, reservation: Reservation) -> None:
        """Remove a call that its target did not run."""
        self._in_flight.record_end(reservation.number)

    def record_answer(
        self, reservation: Reservation, now_seconds: float, is_failure: bool = False
    ) -> None:
        """Remove a call that its target answered completely."""
        request = self._in_flight.record_end(reservation.number)
        if request is not None:
            self._record_recent(reservation.number, request, now_seconds, is_failure)

    def _record_recent(
        self,
        number: int | None,
        request: InFlightRequest,
        ended_at_seconds: float,
        is_failure: bool = False,
    ) -> None:
        answer = RecentAnswer(
            number, request.digests, request.trials, ended_at_seconds, is_failure
        )
        self._answers.record((request.target_id, request.incarnation), answer)

    def is_undecided(self, reservation: Reservation) -> bool:
        """Return whether a call may yet prove to have crashed its target."""
        return self._in_flight.is_unanswered(reservation.number)

    def is_not_survived(self, reservation: Reservation) -> bool:
        """Return whether a call was answered, and its target may yet crash of it."""
        target = (reservation.target_id, reservation.incarnation)
        return self._answers.has(target, reservation.number)

    def record_unanswered(self, reservation: Reservation, now_seconds: float) -> None:
        """Mark a call that ended without an answer, if it is not removed yet."""
        self._in_flight.record_broken(reservation.number, now_seconds)

    def record_unconfirmed(self, reservation: Reservation, now_seconds: float) -> None:
        """Mark a call whose answer ended as it also would in a crash of its target."""
        self._in_flight.record_unconfirmed(reservation.number, now_seconds)

    def record_alive(
        self, reservation: Reservation, written_at_seconds: float, now_seconds: float
    ) -> Survivals:
        """Remove the calls that ended before one that the target answers now.

        Args:
            reservation: The slot of the answered call.
            written_at_seconds: When it was written.
            now_seconds: The present time.
        """
        target = (reservation.target_id, reservation.incarnation)
        survived = self._answers.record_alive(target, written_at_seconds, now_seconds)
        removed = self._in_flight.remove_broken(*target, written_at_seconds)
        confirmed = [one for one in removed if one.is_unconfirmed]
        for one in confirmed:
            # A trial with such an answer is over already.
            self._record_recent(None, one, one.broken_at_seconds or written_at_seconds)
        completed = [digest for one in confirmed for digest in one.digests]
        return Survivals(completed, survived)

    def record_refused(
        self, target_id: str, incarnation: int, now_seconds: float
    ) -> None:
        """Record that a target refused a fresh connection."""
        self._record(target_id, incarnation, CrashEvidence.REFUSED, now_seconds)

    def record_other_target(
        self, target_id: str, incarnation: int, now_seconds: float
    ) -> None:
        """Record that another target has the address of this one."""
        self._record(target_id, incarnation, CrashEvidence.REPLACED, now_seconds)

    def list_addresses(self) -> Sequence[tuple[str, int, str]]:
        """Return id, incarnation and address of targets with calls in flight."""
        entries = self._table.entries
        return [
            (target_id, incarnation, entries[target_id].row.address)
            for target_id, incarnation in self._in_flight.targets
            if target_id in entries
        ]

    def tick(self, now_seconds: float) -> Sequence[bytes]:
        """Look for successors and missing heartbeats of targets with calls.

        Returns:
            The digests of answers that targets have survived, as their heartbeats show.
        """
        self._in_flight.tick(now_seconds)
        self._answers.tick(now_seconds)
        self._record_postponed(now_seconds)
        targets = list({*self._in_flight.targets, *self._answers.targets})
        if not targets:
            return ()
        has_changes = self._checked_changes != self._table.changes
        self._checked_changes = self._table.changes
        if has_changes:
            newest = self._newest_by_address()
            for target_id, incarnation in targets:
                if self._is_replaced(target_id, incarnation, newest):
                    self._record(
                        target_id, incarnation, CrashEvidence.REPLACED, now_seconds
                    )
        for target_id, incarnation in targets:
            if self._is_silent(target_id, incarnation, now_seconds):
                self._record(
                    target_id, incarnation, CrashEvidence.NO_HEARTBEATS, now_seconds
                )
        return self._list_survived(now_seconds)

    def _list_survived(self, now_seconds: float) -> Sequence[bytes]:
        """Return the digests of answers after which heartbeats have come.

        A heartbeat may have been sent an interval before it is known here.
        """
        survived: list[bytes] = []
        for target_id, incarnation in self._answers.targets:
            entry = self._table.entries.get(target_id)
            if entry is not None and entry.row.incarnation == incarnation:
                sent_at_seconds = entry.last_seen_at_seconds - self._heartbeat_seconds
                survived += self._answers.record_alive(
                    (target_id, incarnation), sent_at_seconds, now_seconds
                )
        return survived

    def _record(
        self,
        target_id: str,
        incarnation: int,
        evidence: CrashEvidence,
        now_seconds: float,
    ) -> None:
        """Record a crash, unless the target announced its end."""
        entry = self._table.entries.get(target_id)
        if entry is None or entry.row.state is not TargetState.READY:
            return
        if self._notices.is_draining(target_id, incarnation):
            return
        self._ended.record(target_id, incarnation, now_seconds)
        broken_at = self._in_flight.list_broken(target_id, incarnation)
        in_flight = self._in_flight.remove_crashed(target_id, incarnation)
        crash = self._add_answers(in_flight, evidence, now_seconds)
        if crash.digests:
            age_seconds = now_seconds - min(broken_at, default=now_seconds)
            self._on_crash(ObservedCrash(crash, evidence, age_seconds), now_seconds)

    def _add_answers(
        self, crash: TargetCrash, evidence: CrashEvidence, now_seconds: float
    ) -> TargetCrash:
        """Add to a crash what its target had answered just before.

        What other targets have answered too may be popular and innocent. Whether they
        survive it is known soon, so it is added then, unless it was on trial.
        """
        answers = self._answers.remove_crashed((crash.target_id, crash.incarnation))
        if not answers:
            return crash
        digests = {digest for one in answers for digest in one.digests}
        not_survived = self._answers.not_survived(digests, now_seconds)
        not_survived -= set(crash.digests)
        trials = {digest for one in answers for digest in one.trials} & not_survived
        postponed = self._answers.elsewhere(not_survived - trials)
        answered = not_survived - postponed
        last_at_seconds = max(one.ended_at_seconds for one in answers)
        logger.warning(
            "target crashed after answers",
            extra={
                "target": crash.target_id,
                "incarnation": crash.incarnation,
                "answers": len(answers),
                "in_flight": len(crash.digests),
                "last_seconds_ago": round(now_seconds - last_at_seconds, 3),
                "not_survived": format_digests(sorted(answered)),
                "postponed": format_digests(sorted(postponed)),
            },
        )
        if postponed:
            later = replace(crash, digests=tuple(sorted(postponed)), trials=frozenset())
            observed = ObservedCrash(later, evidence, now_seconds - last_at_seconds)
            self._postponed.append((now_seconds + POSTPONED_SECONDS, observed))
        return replace(
            crash,
            digests=tuple(sorted(answered.union(crash.digests))),
            trials=crash.trials | trials,
            answered=answered,
        )

    def _record_postponed(self, now_seconds: float) -> None:
        """Add answers to crashes that no target has survived meanwhile."""
        while self._postponed and self._postponed[0][0] <= now_seconds:
            _, observed = self._postponed.popleft()
            crash = observed.crash
            answered = self._answers.not_survived(crash.digests, now_seconds)
            if answered:
                listed = tuple(sorted(answered))
                crash = replace(crash, digests=listed, answered=answered)
                self._on_crash(replace(observed, crash=crash), now_seconds)

    def _newest_by_address(self) -> dict[str, HeartbeatEntry]:
        """Return the target that was seen first most recently, by address."""
        newest: dict[str, HeartbeatEntry] = {}
        for entry in self._table.entries.values():
            other = newest.get(entry.row.address)
            if (
                other is None
                or entry.first_seen_at_seconds > other.first_seen_at_seconds
            ):
                newest[entry.row.address] = entry
        return newest

    def _is_replaced(
        self, target_id: str, incarnation: int, newest: dict[str, HeartbeatEntry]
    ) -> bool:
        """Return whether a later target or incarnation has a target's address."""
        entry = self._table.entries.get(target_id)
        if entry is None:
            return False
        if entry.row.incarnation > incarnation:
            return True
        successor = newest[entry.row.address]
        # A delayed heartbeat of a predecessor may be the first one that arrives here.
        is_newer = successor.first_seen_at_seconds > entry.first_seen_at_seconds
        return is_newer and successor.last_seen_at_seconds > entry.last_seen_at_seconds

    def _is_silent(self, target_id: str, incarnation: int, now_seconds: float) -> bool:
        """Return whether a target's heartbeats ended and a call there has no answer.

        A cut between the target and the replicas looks the same. It ends the
        heartbeats of a whole data centre.
        """
        entry = self._table.entries.get(target_id)
        if entry is None or not self._in_flight.has_unanswered(target_id, incarnation):
            return False
        silent_seconds = now_seconds - entry.last_seen_at_seconds
        if silent_seconds < MISSED_HEARTBEATS * self._heartbeat_seconds:
            return False
        recent_seconds = RECENT_HEARTBEATS * self._heartbeat_seconds
        return any(
            other.row.data_centre == entry.row.data_centre
            and now_seconds - other.last_seen_at_seconds < recent_seconds
            for other in self._table.entries.values()
        )


def make_target_crashes(
    table: HeartbeatTable,
    notices: TargetNotices,
    ended: EndedTargets,
    heartbeat_seconds: float,
    on_crash: Callable[[ObservedCrash, float], None],
) -> TargetCrashes:
    """Return the state of a router without calls; see ``TargetCrashes``."""
    return TargetCrashes(table, notices, ended, heartbeat_seconds, on_crash)
