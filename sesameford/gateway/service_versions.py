"""Whether one software version alone can have begun a stream lately.

A stream of unknown origin may be resumed if its service has had only one version since
it can have begun. The table of targets shows that if it equals that of the replicas and
reaches back so far: it keeps those that left for longer than a stream lasts, but starts
empty if all replicas start at the same time. A replica that is cut off may know targets
of another version that the others don't.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesameford.discovery.heartbeat_table import HeartbeatTable
from sesameford.discovery.roster import Contact

# A replica's digests come twice a second.
MAX_DIGEST_AGE_SECONDS = 1.6
# If the router started together with the replicas, their equal tables lack the targets
# that have not sent a heartbeat since.
MIN_KNOWN_HEARTBEATS = 3.0


@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """What one router knows; made by ``make_service_versions``.

    Args:
        table: The targets and their heartbeats, with those that left lately.
        contact: Returns with how many replicas the router is in touch at a time.
        heartbeat_seconds: The interval of targets' heartbeats.
    """

    table: HeartbeatTable
    contact: Callable[[float], Contact]
    heartbeat_seconds: float

    def is_table_current(self, now_seconds: float) -> bool:
        """Return whether the router knows the targets that most replicas know."""
        if self.contact(now_seconds) is Contact.FEW:
            return False
        known_seconds = now_seconds - self.table.first_synchronised_at_seconds
        if known_seconds < MIN_KNOWN_HEARTBEATS * self.heartbeat_seconds:
            return False
        age_seconds = now_seconds - self.table.synchronised_at_seconds
        return age_seconds <= MAX_DIGEST_AGE_SECONDS

    def only_version(
        self, service: str, within_seconds: float, is_recorded: bool, now_seconds: float
    ) -> str | None:
        """Return the one version that a service had, None if that is not certain.

        Args:
            service: The service.
            within_seconds: The time before now in which no other may have served.
            is_recorded: Whether some replica should have a record of the stream. If
                none has, the record may be at a replica that is cut off, so the router
                must be in touch with all of them, and with most of them otherwise.
            now_seconds: The present time.
        """
        if not self.is_table_current(now_seconds):
            return None
        if is_recorded and self.contact(now_seconds) is not Contact.ALL:
            return None
        since_seconds = now_seconds - within_seconds
        if self.table.known_since_seconds > since_seconds:
            return None
        versions = {
            entry.row.software_version
            for entry in self.table.entries.values()
            if entry.row.service == service
            and entry.last_seen_at_seconds > since_seconds
        }
        if len(versions) != 1:
            return None
        (version,) = versions
        return version or None


def make_service_versions(
    table: HeartbeatTable,
    contact: Callable[[float], Contact],
    heartbeat_seconds: float,
) -> ServiceVersions:
    """Return what a router knows; see ``ServiceVersions``."""
    return ServiceVersions(table, contact, heartbeat_seconds)
