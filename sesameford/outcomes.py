"""One router's state that decides retries, quarantines and reported outcomes."""

from collections.abc import Callable, Sequence

from sesameford.crash_attribution import CRASHES_TO_QUARANTINE
from sesameford.effective import EffectiveTree, FleetSettings
from sesameford.in_flight_attempts import InFlightAttempts, TargetCrash
from sesameford.keyed import KeyedRequests
from sesameford.messages import Outgoing, SuspectUpdate
from sesameford.retries import RetryBudget, make_backoff
from sesameford.suspect_log import log_quarantine
from sesameford.suspect_rows import make_crash_id
from sesameford.suspects import Suspects, SuspectTreatment
from sesameford.target_exclusion import TargetExclusion
from sesameford.unconfirmed_crashes import UnconfirmedCrashes


class Outcomes:
    """Retry budget, suspects, in-flight attempts and keyed requests of one router.

    Args:
        seed: Seed of the backoff's jitter.
        send: Sends a message to other instances.
    """

    def __init__(self, seed: int, send: Callable[[Outgoing], None]) -> None:
        fleet = FleetSettings()
        self.budget = RetryBudget(fleet.retry_budget_fraction)
        self.backoff_seconds = make_backoff(seed)
        self.suspects = Suspects(fleet.quarantine_seconds)
        self.in_flight_attempts = InFlightAttempts()
        self.target_exclusion = TargetExclusion()
        self.unconfirmed_crashes = UnconfirmedCrashes()
        self.keyed: KeyedRequests | None = None
        self.open_requests = 0
        self.target_crashes = 0
        self.resumes = 0
        self.silent_connections = 0
        self._send = send
        self._instances: frozenset[tuple[str, int]] = frozenset()

    @property
    def unreported_claims(self) -> int:
        """Return how many claims have an outcome that is not yet in the log."""
        return self.keyed.unsettled if self.keyed is not None else 0

    def configure(self, tree: EffectiveTree) -> None:
        """Apply a tree of settings."""
        self.budget.configure(tree.fleet.retry_budget_fraction)
        lifted = [bytes.fromhex(digest) for digest in tree.fleet.lifted_digests]
        self.suspects.configure(tree.fleet.quarantine_seconds, lifted)

    def treatment(self, request_digest: bytes, now_seconds: float) -> SuspectTreatment:
        """Return how this request is treated now."""
        return self.suspects.treatment(request_digest, now_seconds)

    def must_wait_for_probes(self, request_digest: bytes) -> bool:
        """Return whether a request may have crashed enough targets for a quarantine.

        Some of the crashes are unconfirmed until the probes of the targets end.
        """
        unconfirmed = self.unconfirmed_crashes.count(request_digest)
        row = self.suspects.get(request_digest)
        crashes = len(row.uncleared_crashes) if row is not None else 0
        return unconfirmed > 0 and unconfirmed + crashes >= CRASHES_TO_QUARANTINE

    def record_target_crash(
        self, target_id: str, incarnation: int, now_seconds: float
    ) -> None:
        """Record a crash that a refused fresh connection proves."""
        self._record_crashes(
            [self.in_flight_attempts.remove_crashed(target_id, incarnation)],
            now_seconds,
        )

    def record_target_replacement(
        self, target_id: str, incarnation: int, now_seconds: float
    ) -> None:
        """Record the crashes that the announcement of a new incarnation proves."""
        crashes = self.in_flight_attempts.remove_replaced(target_id, incarnation)
        self._record_crashes(crashes, now_seconds)

    def merge_suspect_update(self, update: SuspectUpdate, now_seconds: float) -> None:
        """Merge another router's update on a suspect."""
        self.suspects.merge_update(update, now_seconds)

    def tick(self, instances: frozenset[tuple[str, int]], now_seconds: float) -> None:
        """Send due updates to other routers, and remove expired rows.

        Args:
            instances: Ids and incarnations of the other live instances.
            now_seconds: The present time.
        """
        # A router that was isolated, or restarted with an empty table, has missed
        # earlier updates.
        if instances - self._instances:
            self.suspects.schedule_all_updates()
        self._instances = instances
        self.in_flight_attempts.tick(now_seconds)
        self.suspects.tick(now_seconds)
        for row in self.suspects.pop_newly_quarantined():
            log_quarantine(self.suspects, row, now_seconds)
        self.send_suspect_updates(now_seconds)

    def send_suspect_updates(self, now_seconds: float) -> None:
        """Send the updates on suspects that are due."""
        for update in self.suspects.make_due_updates(now_seconds):
            self._send(Outgoing(None, update, urgent=True))

    def _record_crashes(
        self, crashes: Sequence[TargetCrash], now_seconds: float
    ) -> None:
        for crash in crashes:
            if not crash.digests:
                continue
            self.target_crashes += 1
            name = make_crash_id(crash.target_id, crash.incarnation)
            self.suspects.record_crash(name, crash.digests, now_seconds, crash.trials)
        # Sent at once: the caller may resend the body through another router.
        self.send_suspect_updates(now_seconds)


def make_outcomes() -> Outcomes:
    """Return the state of a router without peers."""
    return Outcomes(seed=1, send=lambda outgoing: None)
