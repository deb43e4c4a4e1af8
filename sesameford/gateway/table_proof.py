"""How old the table of targets may be that a router sends calls by.

The load: a flood keeps a router late, and the message that a target leaves lies unread
there, as do the digests that would show it. The router goes on sending calls to the
target for seconds after its leave was acknowledged.

So a router states its own time in each report, and the replica answers with that time
and the digest of its table. While the digests are equal, or once the router has
requested and merged all rows of a replica, its table was right when it sent that report
or request, however late it reads the answer. A late router with an older proof sends
nothing. At a punctual one nothing lies unread: without answers it is cut off, and
serves what it can by the table that it has.
"""

from dataclasses import dataclass

from sesameford.gateway.loop_lag import LoopLag
from sesameford.load_messages import FleetLoad

# With the time that a call takes to its target, and that a replica needs to hear of a
# leave from another one, it stays below the two seconds after which a target that
# leaves gets no new work.
MAX_TABLE_AGE_SECONDS = 1.5
# A late loop reads answers within this time; without any the router is cut off.
CUT_OFF_SECONDS = 4.0
MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True)
class TableProof:
    """When a router's table last was as a replica's, and when it last heard of that."""

    proven_at_seconds: float = float("inf")
    _heard_at_seconds: float = float("-inf")

    def record_answer(
        self, fleet: FleetLoad, table_digest: int, now_seconds: float
    ) -> None:
        """Record a replica's answer to a report.

        Args:
            fleet: The answer.
            table_digest: The digest of this router's table.
            now_seconds: The present time.
        """
        self._heard_at_seconds = now_seconds
        if not fleet.report_milliseconds:
            # A replica of an earlier release proves nothing.
            self.proven_at_seconds = float("inf")
            return
        if fleet.table_digest != table_digest:
            return
        sent_at_seconds = fleet.report_milliseconds / MILLISECONDS_PER_SECOND
        if self._needs_no_proof():
            self.proven_at_seconds = sent_at_seconds
        self.proven_at_seconds = max(self.proven_at_seconds, sent_at_seconds)

    def record_rows(self, requested_at_seconds: float) -> None:
        """Record that the table has all rows of a replica as of a time.

        After a restart of replicas the digests differ for seconds, as theirs lack
        targets that they have not heard yet.
        """
        if not self._needs_no_proof():
            self.proven_at_seconds = max(self.proven_at_seconds, requested_at_seconds)

    def allows_sending(self, lag: LoopLag, now_seconds: float) -> bool:
        """Return whether calls may be sent by the table.

        Args:
            lag: The lateness of the router's loop.
            now_seconds: The present time.
        """
        oldest_seconds = now_seconds - MAX_TABLE_AGE_SECONDS
        if self.proven_at_seconds >= oldest_seconds:
            return True
        if now_seconds - self._heard_at_seconds > CUT_OFF_SECONDS:
            return True
        return not lag.was_stalled_since(oldest_seconds, now_seconds)

    def _needs_no_proof(self) -> bool:
        """Return whether no replica has proven anything, or one that can't."""
        return self.proven_at_seconds == float("inf")


def make_table_proof() -> TableProof:
    """Return the proof of a router that no replica has answered yet."""
    return TableProof()
