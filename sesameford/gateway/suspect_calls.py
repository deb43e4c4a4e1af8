"""How one router treats calls that may crash targets.

A call that was in flight when a target crashed is a suspect, and so are the parts of
its prompt. Its next runs are trials: one copy at a time, at a target without another
trial of this router if there is one, and not sent again if the target crashes. Other
copies wait for the end of the trial for a moment. A quarantined call is refused. Calls
that share a part are tried at once, until the part may be the reason of several crashes
by itself.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from random import Random

from xxhash import xxh64_intdigest

from sesameford.crash_attribution import CRASHES_TO_QUARANTINE
from sesameford.discovery.heartbeat_table import HeartbeatTable
from sesameford.errors import SesamefordError
from sesameford.gateway.crash_probes import make_crash_probes
from sesameford.gateway.placement import Placement
from sesameford.gateway.retry_times import spread_retry_seconds
from sesameford.gateway.suspect_exchange import SuspectExchange
from sesameford.gateway.target_crashes import ObservedCrash, make_target_crashes
from sesameford.gateway.target_record import Reservation
from sesameford.messages import SuspectUpdate
from sesameford.probes import refuses_connections
from sesameford.request_digest import common_digest
from sesameford.suspect_log import format_digests
from sesameford.suspects import SuspectTreatment

logger = logging.getLogger(__name__)

# How long a copy waits for the end of a trial: most calls are answered sooner, and its
# caller could have returned by then.
MAX_WAIT_SECONDS = 0.5
# When a copy that waited in vain should return.
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 1.0
# How long a router waits for a replica's grant before it asks again.
GRANT_REPLY_SECONDS = 0.3


class SuspectRefusedError(SesamefordError):
    """A call is not sent because of crashes under equal calls.

    Args:
        reason: A short, stable code.
        retry_after_seconds: The delay after which a retry makes sense.
        status: The status of the answer to its caller.
    """

    def __init__(
        self, reason: str, retry_after_seconds: float, status: int = 429
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds
        self.status = status


@dataclass(frozen=True, slots=True)
class _Turn:
    """A call that may be sent now.

    Until its attempt ends, no other call with the suspect ``excluded`` is tried; None
    if others may be. ``reason`` says why it may be sent.
    """

    reason: str = ""
    excluded: bytes | None = None


class SuspectCalls:
    """The crashes that one router observes, and its trials of suspects."""

    def __init__(
        self,
        exchange: SuspectExchange,
        table: HeartbeatTable,
        placement: Placement,
        heartbeat_seconds: float,
        now: Callable[[], float],
        random: Random,
    ) -> None:
        self.exchange = exchange
        self.observed_crashes = 0
        self.crashes = make_target_crashes(
            table,
            placement.candidates.notices,
            placement.candidates.ended,
            heartbeat_seconds,
            self._record_crash,
        )
        self._probes = make_crash_probes(
            refuses_connections,
            lambda target_id, incarnation: self.crashes.record_refused(
                target_id, incarnation, now()
            ),
        )
        self._is_silent = placement.is_silent
        self._now = now
        self._random = random
        self._trials: dict[bytes, Reservation | None] = {}
        # The last trial of a suspect if its exchange broke, and its target may prove to
        # have crashed.
        self._undecided: dict[bytes, Reservation] = {}
        self._changed = asyncio.Event()

    def is_quarantined(
        self, digest: bytes, now_seconds: float, parts: Sequence[bytes] = ()
    ) -> bool:
        """Return whether a call is refused now.

        Args:
            digest: The call's digest.
            now_seconds: The present time.
            parts: The digests of its prompt's parts that others may share.
        """
        treatment = self.exchange.suspects.treatment(digest, now_seconds, parts)
        return treatment is SuspectTreatment.QUARANTINED

    @asynccontextmanager
    async def turn(
        self, digest: bytes, wait_until_seconds: float, parts: Sequence[bytes] = ()
    ) -> AsyncIterator[str]:
        """Run one attempt of a call, as a trial if it is a suspect.

        Args:
            digest: The call's digest.
            wait_until_seconds: How long it may wait for another trial, on the loop's
                clock.
            parts: The digests of its prompt's parts that others may share.

        Yields:
            Why it may be sent as a trial, empty if it is no suspect.

        Raises:
            SuspectRefusedError: The call is quarantined, or another trial of it lasts.
        """
        turn = await self._wait_for_turn(digest, wait_until_seconds, parts)
        if turn.excluded is None:
            yield turn.reason
            return
        self._trials[turn.excluded] = None
        try:
            yield turn.reason
        finally:
            self._end_trial(turn.excluded)

    def _end_trial(self, key: bytes) -> None:
        """Let others try a suspect, unless its target may prove to have crashed."""
        reservation = self._trials.pop(key)
        if reservation is not None and self._is_undecided(key, reservation):
            self._undecided[key] = reservation
        else:
            self.exchange.grants.release(key, self._now())
        self.notify_waiting()

    def _is_undecided(self, key: bytes, reservation: Reservation) -> bool:
        """Return whether the target of a suspect's trial may prove to have crashed."""
        if self.crashes.is_undecided(reservation):
            return True
        return self.crashes.is_not_survived(
            reservation
        ) and self.exchange.suspects.needs_survival(key)

    def record_trial_target(
        self, digests: Iterable[bytes], reservation: Reservation
    ) -> None:
        """Record to which target the trial of a call with some digests goes."""
        for digest in digests:
            for key in (digest, common_digest(digest)):
                if key in self._trials:
                    self._trials[key] = reservation

    def targets_to_avoid(
        self, digest: bytes, target_ids: Iterable[str]
    ) -> frozenset[str]:
        """Return the targets that a trial should not go to, half of the given ones.

        Trials of this router are kept apart. Which of the other targets are left
        differs from call to call, so that suspects which were in flight at one crash
        rarely are at the next one too, and the crashes tell them apart.
        """
        running = {one.target_id for one in self._trials.values() if one is not None}
        ordered = sorted(
            target_ids,
            key=lambda one: (one in running, xxh64_intdigest(digest + one.encode())),
        )
        return frozenset(ordered[(len(ordered) + 1) // 2 :])

    def record_completion(
        self, reservation: Reservation, digests: Iterable[bytes], status: int
    ) -> None:
        """Record that a target answered a call with some digests completely."""
        now_seconds = self._now()
        self.crashes.record_answer(reservation, now_seconds)
        for digest in digests:
            reason = f"completed with {status}"
            self.exchange.record_completion(digest, now_seconds, reason)

    def record_unconfirmed_completion(self, reservation: Reservation) -> None:
        """Record an answer whose end was marked by the end of its connection alone.

        A target that crashes ends it the same way. So the call stays in flight, and
        clears no suspect, until the target answers a call that was written later.
        """
        self.crashes.record_unconfirmed(reservation, self._now())
        self.probe(reservation.target_id, reservation.incarnation, reservation.address)

    def record_alive(self, reservation: Reservation, written_at_seconds: float) -> None:
        """Record that a target answers a call, and so outlived the calls before.

        Args:
            reservation: The slot of the answered call.
            written_at_seconds: When it was written.
        """
        now_seconds = self._now()
        shown = self.crashes.record_alive(reservation, written_at_seconds, now_seconds)
        for digest in shown.completed:
            self.exchange.record_completion(digest, now_seconds)
        self._record_survived(shown.survived, now_seconds)

    def _record_survived(self, digests: Iterable[bytes], now_seconds: float) -> None:
        """Record that targets lived on for a time after they answered calls."""
        if not self.exchange.suspects.has_rows:
            return
        for digest in digests:
            self.exchange.record_completion(
                digest, now_seconds, "survived", has_survived=True
            )

    def probe(self, target_id: str, incarnation: int, address: str) -> None:
        """Find out whether a target crashed, since an exchange with it broke."""
        self._probes.start(target_id, incarnation, address, self._now())

    def handle_update(
        self, sender_id: str, update: SuspectUpdate, now_seconds: float
    ) -> None:
        """Handle another instance's update of a suspect, or its trial."""
        if self.exchange.handle_update(sender_id, update, now_seconds):
            self.notify_waiting()

    def tick(self, now_seconds: float) -> None:
        """Look for crashes, and send what is due."""
        self._record_survived(self.crashes.tick(now_seconds), now_seconds)
        for target_id, incarnation, address in self.crashes.list_addresses():
            if self._is_silent(target_id, now_seconds):
                self._probes.start(target_id, incarnation, address, now_seconds)
        self._forget_decided(now_seconds)
        self.exchange.tick(now_seconds)
        self._probes.tick(now_seconds)

    def notify_waiting(self) -> None:
        """Let the copies that wait check again."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _wait_for_turn(
        self, digest: bytes, wait_until_seconds: float, parts: Sequence[bytes]
    ) -> _Turn:
        """Wait until a call may be sent.

        Raises:
            SuspectRefusedError: It may not be sent.
        """
        loop = asyncio.get_running_loop()
        ask_again_at_seconds = float("-inf")
        suspects = self.exchange.suspects
        while True:
            now_seconds = self._now()
            if not self.exchange.has_table(now_seconds):
                await self._wait_for_table(wait_until_seconds)
                continue
            treatment = suspects.treatment(digest, now_seconds, parts)
            if treatment is SuspectTreatment.QUARANTINED:
                left_seconds = suspects.refusal_seconds(digest, now_seconds, parts)
                raise SuspectRefusedError("quarantined", left_seconds)
            if treatment is SuspectTreatment.CLEAR:
                return _Turn()
            suspect = self._suspect_to_try(digest, parts)
            if suspect is None:
                return _Turn("not the only suspect")
            excluded = suspects.trial_key(suspect)
            until_seconds = wait_until_seconds
            if self._is_on_trial(excluded, now_seconds):
                ask_again_at_seconds = float("-inf")
            elif not self._needs_grant(suspect, excluded, now_seconds):
                return _Turn("granted or first", excluded)
            else:
                if loop.time() >= ask_again_at_seconds:
                    if not self.exchange.grants.request(excluded, now_seconds):
                        return _Turn("no replica to ask", excluded)
                    ask_again_at_seconds = loop.time() + GRANT_REPLY_SECONDS
                until_seconds = min(wait_until_seconds, ask_again_at_seconds)
            if loop.time() >= wait_until_seconds:
                raise self._on_trial_error()
            await self._wait_for_change(until_seconds)

    async def _wait_for_change(self, until_seconds: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout_at(until_seconds):
                await self._changed.wait()

    async def _wait_for_table(self, wait_until_seconds: float) -> None:
        """Wait until other instances have sent what they hold back.

        Raises:
            SuspectRefusedError: They have not.
        """
        if asyncio.get_running_loop().time() >= wait_until_seconds:
            retry_seconds = self._retry_seconds()
            raise SuspectRefusedError("suspects-not-known", retry_seconds, status=503)
        await self._wait_for_change(wait_until_seconds)

    def _suspect_to_try(self, digest: bytes, parts: Sequence[bytes]) -> bytes | None:
        """Return the suspect of a call of which only one call may be on trial.

        Most parts in flight at a crash are innocent, and many calls have them. Their
        calls run at once, until the crashes leave few that may be the reason.
        """
        suspects = self.exchange.suspects
        part = suspects.common_part(digest, parts)
        if part is not None:
            return part
        return digest if suspects.suspected((digest,)) else None

    def _is_on_trial(self, key: bytes, now_seconds: float) -> bool:
        last = self._undecided.get(key)
        is_undecided = last is not None and self._is_undecided(key, last)
        is_here = key in self._trials or is_undecided
        return is_here or self.exchange.grants.is_elsewhere(key, now_seconds)

    def _forget_decided(self, now_seconds: float) -> None:
        """Forget trials of which it is known whether their targets crashed."""
        decided = [
            key
            for key, reservation in self._undecided.items()
            if not self._is_undecided(key, reservation)
        ]
        for key in decided:
            del self._undecided[key]
            self.exchange.grants.release(key, now_seconds)
        if decided:
            self.notify_waiting()

    def _needs_grant(self, suspect: bytes, key: bytes, now_seconds: float) -> bool:
        """Return whether a trial needs a replica's grant, and has none yet.

        After the first crash each call that was in flight is tried once, most of them
        at one router alone.
        """
        crashes = self.exchange.suspects.uncleared_crashes(suspect)
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return False
        return not self.exchange.grants.is_granted(key, now_seconds)

    def _on_trial_error(self) -> SuspectRefusedError:
        return SuspectRefusedError("on-trial", self._retry_seconds())

    def _retry_seconds(self) -> float:
        return spread_retry_seconds(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS, self._random)

    def _record_crash(self, observed: ObservedCrash, now_seconds: float) -> None:
        crash = observed.crash
        self.observed_crashes += 1
        logger.warning(
            "target crashed",
            extra={
                "target": crash.target_id,
                "incarnation": crash.incarnation,
                "evidence": observed.evidence.value,
                "age_seconds": round(observed.age_seconds, 3),
                "in_flight": len(crash.digests),
                "trials": format_digests(sorted(crash.trials)),
                "digests": format_digests(crash.digests),
            },
        )
        self.exchange.record_crash(observed, now_seconds)
        self.notify_waiting()


def make_suspect_calls(
    exchange: SuspectExchange,
    table: HeartbeatTable,
    placement: Placement,
    heartbeat_seconds: float,
    now: Callable[[], float],
    random: Random,
) -> SuspectCalls:
    """Return the state of a router without calls.

    Args:
        exchange: The suspects that all instances share.
        table: The targets and their heartbeats.
        placement: The router's records of the targets.
        heartbeat_seconds: The interval of targets' heartbeats.
        now: The present time.
        random: Spreads the times at which refused callers return.
    """
    return SuspectCalls(exchange, table, placement, heartbeat_seconds, now, random)
