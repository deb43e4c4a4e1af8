"""The table of suspects that all instances of a deployment share.

A router sends what it observed to one replica, which sends on to all instances what it
did not know before. The router repeats it to all replicas, in case the first one ended
or was cut off; those that know it already stay silent. Rows that changed together, as
all of one crash do, are one message, with others that have several of their crashes:
what a part of them shows may be wrong.

An instance that starts, or was out of touch, is sent the newest rows by each instance
that hears from it again; both sides of a cut do so when it heals. Replicas also send
them to all others in turn, for updates that links have lost, and keep the rows on their
disks. A router that has just started asks for them, and sends no calls until most
replicas have sent it theirs, for a bounded time.
"""

import logging
from collections.abc import Callable, Iterable, Sequence

from msgspec.structs import replace

from sesameford.effective import EffectiveTree
from sesameford.gateway.suspect_files import SuspectFiles
from sesameford.gateway.target_crashes import ObservedCrash
from sesameford.gateway.trial_grants import TrialGrants, make_trial_grants
from sesameford.messages import Outgoing, SuspectUpdate
from sesameford.request_digest import (
    common_digest,
    customer_part,
    digest_customer,
    logged_digest,
)
from sesameford.suspect_log import log_cleared, log_quarantine
from sesameford.suspect_rows import UPDATE_REPEATS, make_crash_id, make_updates
from sesameford.suspects import Suspects

logger = logging.getLogger(__name__)

# Several heartbeats of a peer were lost, and updates with them.
OUT_OF_TOUCH_SECONDS = 1.6
RELAYED_REPEATS = 2
# The rows sent to a peer that may know nothing. Many instances send to a new replica.
MAX_ROWS_TO_PEER = 512
# The rows sent with a grant: those of what is tried, and what is found beside it.
MAX_ROWS_WITH_GRANT = 64
# How often a replica sends its rows to the next of its peers.
REFRESH_SECONDS = 1.0
# How long a router that has just started waits for replicas' rows, from when it first
# hears of a replica.
MAX_TABLE_WAIT_SECONDS = 2.0
# How often it asks the replicas whose rows have not come.
ASK_SECONDS = 0.4


class SuspectExchange:
    """Sends and receives the rows of one instance's table.

    Args:
        suspects: The table.
        grants: The grants of trials.
        is_relay: Whether this instance is a replica, which sends on what routers send.
        replicas: Returns the live replicas, those nearby first.
        send: Sends a message.
        needed_tables: How many replicas' rows a router waits for as it starts.
    """

    def __init__(
        self,
        suspects: Suspects,
        grants: TrialGrants,
        is_relay: bool,
        replicas: Callable[[float], Sequence[str]],
        send: Callable[[Outgoing], None],
        needed_tables: int,
    ) -> None:
        self.suspects = suspects
        self.grants = grants
        self._is_relay = is_relay
        self._replicas = replicas
        self._send = send
        self._heard_at_seconds: dict[str, tuple[int, float]] = {}
        self._customers: dict[bytes, str] = {}
        self._needed_tables = needed_tables
        self._tables_from: set[str] = set()
        self._first_contact_seconds: float | None = None
        self._files: SuspectFiles | None = None
        self._refresh_at_seconds = float("-inf")
        self._ask_at_seconds = float("-inf")

    def configure(self, tree: EffectiveTree) -> None:
        """Apply the settings of the whole deployment."""
        lifted = [bytes.fromhex(digest) for digest in tree.fleet.lifted_digests]
        self.suspects.configure(tree.fleet.quarantine_seconds, lifted)
        self._customers = {digest_customer(one): one for one in tree.customers}

    def open_files(self, files: SuspectFiles) -> None:
        """Keep the rows on a replica's disk from now on, and read those it has."""
        self._files = files
        logger.info("suspects read", extra={"rows": files.read()})

    async def stop(self, now_seconds: float) -> None:
        """Write all rows to the disk."""
        if self._files is not None:
            await self._files.stop(now_seconds)

    def has_table(self, now_seconds: float) -> bool:
        """Return whether this instance knows what others knew as it started.

        A router that serves before that would send what the others hold back.
        """
        if len(self._tables_from) >= self._needed_tables:
            return True
        first_seconds = self._first_contact_seconds
        if first_seconds is None:
            return False
        return now_seconds - first_seconds > MAX_TABLE_WAIT_SECONDS

    def customer_of(self, digest: bytes) -> str:
        """Return the customer of a digest, empty if the settings have none."""
        return self._customers.get(customer_part(digest), "")

    def record_crash(self, observed: ObservedCrash, now_seconds: float) -> None:
        """Add a crash that this router observed, and send it to the others."""
        crash = observed.crash
        self.suspects.record_crash(
            make_crash_id(crash.target_id, crash.incarnation),
            crash.digests,
            now_seconds,
            crash.trials,
            crash.answered,
        )
        self.tick(now_seconds)
        for digest in crash.trials:
            self._end_trial(digest, now_seconds)

    def record_completion(
        self,
        digest: bytes,
        now_seconds: float,
        reason: str = "completed",
        has_survived: bool = False,
    ) -> None:
        """Clear a request that completed, and send that to the others.

        Args:
            digest: Its digest, or that of a part of its prompt.
            now_seconds: The present time.
            reason: What is logged.
            has_survived: Whether its target has lived on for a time.
        """
        before = self.suspects.uncleared_crashes(digest)
        if before and self.suspects.record_completion(
            digest, now_seconds, has_survived
        ):
            cleared = before - self.suspects.uncleared_crashes(digest)
            log_cleared(digest, cleared, reason, self.customer_of(digest))
            self._end_trial(digest, now_seconds)

    def lift(self, name: str, now_seconds: float) -> bool:
        """Clear a quarantined request as an operator ordered.

        Args:
            name: Its digest as log lines name it.
            now_seconds: The present time.

        Returns:
            Whether a request of this name is quarantined.
        """
        digests = [
            row.request_digest
            for row, _ in self.suspects.list_quarantined(now_seconds)
            if logged_digest(row.request_digest) == name
        ]
        for digest in digests:
            crashes = self.suspects.uncleared_crashes(digest)
            if self.suspects.clear(digest, now_seconds):
                log_cleared(digest, crashes, "lifted", self.customer_of(digest))
        self._write(digests)
        self.tick(now_seconds)
        return bool(digests)

    def handle_update(
        self, sender_id: str, update: SuspectUpdate, now_seconds: float
    ) -> bool:
        """Handle another instance's update of a suspect, or of its trial.

        Returns:
            Whether a call that waits for a trial should check again.
        """
        if update.wants_table:
            self._send_table(sender_id)
            return False
        if update.trial_router:
            self._merge(sender_id, update.others, now_seconds)
            self.grants.handle(sender_id, update, now_seconds)
            return True
        rows = [one for one in (update, *update.others) if one.request_digest]
        changed = self._merge(sender_id, rows, now_seconds)
        is_first_table = update.is_table and sender_id not in self._tables_from
        if is_first_table:
            self._tables_from.add(sender_id)
            logger.info("suspects received", extra={"of": sender_id, "rows": len(rows)})
        return is_first_table or bool(changed)

    def _merge(
        self, sender_id: str, rows: Sequence[SuspectUpdate], now_seconds: float
    ) -> Sequence[bytes]:
        """Merge another instance's rows; return the digests of those that changed."""
        is_relayed = self._is_relay and sender_id not in self._replicas(now_seconds)
        repeats = RELAYED_REPEATS if is_relayed else 0
        changed = self.suspects.merge_updates(rows, now_seconds, repeats)
        self._write(changed)
        return changed

    def handle_heartbeat(
        self, sender_id: str, incarnation: int, now_seconds: float
    ) -> None:
        """Send the newest rows to a peer that is new or was out of touch."""
        before = self._heard_at_seconds.get(sender_id)
        self._heard_at_seconds[sender_id] = (incarnation, now_seconds)
        if self._first_contact_seconds is None:
            self._first_contact_seconds = now_seconds
        if before is not None:
            known_incarnation, at_seconds = before
            is_same = known_incarnation == incarnation
            if is_same and now_seconds - at_seconds < OUT_OF_TOUCH_SECONDS:
                return
        self._send_table(sender_id)

    def forget_peer(self, peer_id: str) -> None:
        """Forget when a peer that is gone was heard."""
        self._heard_at_seconds.pop(peer_id, None)

    def tick(self, now_seconds: float) -> None:
        """Send the updates that are due, and drop old rows."""
        due = self.suspects.pop_due_rows(now_seconds)
        first = [row for row in due if row.updates_left == UPDATE_REPEATS]
        repeated = [row for row in due if row.updates_left < UPDATE_REPEATS]
        for rows, receiver in (
            (first, self._first_receiver(now_seconds)),
            (repeated, None),
        ):
            listed = [*rows, *self.suspects.companions(rows)]
            updates = [update for row in listed for update in make_updates(row)]
            if updates:
                self._send(Outgoing(receiver, _make_message(updates), urgent=True))
        if self._is_relay:
            self._refresh_next_peer(now_seconds)
        if not self.has_table(now_seconds):
            self._ask_for_tables(now_seconds)
        if self._files is not None:
            self._files.tick(now_seconds)
        self.suspects.tick(now_seconds)
        self.grants.forget(now_seconds)
        for row in self.suspects.pop_newly_quarantined():
            customer = self.customer_of(row.request_digest)
            log_quarantine(self.suspects, row, now_seconds, customer)

    def _ask_for_tables(self, now_seconds: float) -> None:
        """Ask the replicas whose rows have not come, as a link may have lost them."""
        if now_seconds < self._ask_at_seconds:
            return
        self._ask_at_seconds = now_seconds + ASK_SECONDS
        for replica in self._replicas(now_seconds):
            if replica not in self._tables_from:
                wanted = SuspectUpdate(b"", (), False, wants_table=True)
                self._send(Outgoing(replica, wanted, urgent=True))

    def _refresh_next_peer(self, now_seconds: float) -> None:
        """Send the rows to the peer that waits the longest for them."""
        if now_seconds < self._refresh_at_seconds or not self.suspects.has_rows:
            return
        self._refresh_at_seconds = now_seconds + REFRESH_SECONDS
        peer_id = next(iter(self._heard_at_seconds), None)
        if peer_id is not None:
            self._heard_at_seconds[peer_id] = self._heard_at_seconds.pop(peer_id)
            self._send_table(peer_id)

    def _send_table(self, receiver_id: str) -> None:
        newest = self.suspects.newest_updates(MAX_ROWS_TO_PEER)
        self._send(Outgoing(receiver_id, _make_message(newest, is_table=True)))

    def _end_trial(self, digest: bytes, now_seconds: float) -> None:
        """Let others try a suspect after this router's trial of it."""
        self.grants.release(digest, now_seconds)
        self.grants.release(common_digest(digest), now_seconds)

    def _write(self, digests: Iterable[bytes]) -> None:
        """Write rows that changed to the disk, on a replica."""
        if self._files is not None:
            rows = map(self.suspects.get, digests)
            self._files.append(row for row in rows if row is not None)

    def _first_receiver(self, now_seconds: float) -> str | None:
        """Return the replica that a router sends to first, None to send to all."""
        if self._is_relay:
            return None
        return next(iter(self._replicas(now_seconds)), None)


def _make_message(
    updates: Sequence[SuspectUpdate], is_table: bool = False
) -> SuspectUpdate:
    """Return one message with some rows."""
    if not updates:
        return SuspectUpdate(b"", (), False, is_table=is_table)
    first, *others = updates
    return replace(first, others=tuple(others), is_table=is_table)


def make_suspect_exchange(
    own_id: str,
    quarantine_seconds: float,
    is_relay: bool,
    replicas: Callable[[float], Sequence[str]],
    send: Callable[[Outgoing], None],
    needed_tables: int = 0,
) -> SuspectExchange:
    """Return the exchange of an instance that knows of no crash.

    Args:
        own_id: The instance.
        quarantine_seconds: How long the first quarantine of a request lasts.
        is_relay: Whether it is a replica, which sends on what routers send.
        replicas: Returns the live replicas, those nearby first.
        send: Sends a message.
        needed_tables: How many replicas' rows a router waits for as it starts.
    """
    suspects = Suspects(quarantine_seconds)

    def list_rows(digest: bytes) -> Sequence[SuspectUpdate]:
        return suspects.updates_of(digest, MAX_ROWS_WITH_GRANT)

    grants = make_trial_grants(own_id, is_relay, replicas, list_rows, send)
    return SuspectExchange(suspects, grants, is_relay, replicas, send, needed_tables)
