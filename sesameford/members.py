"""What is known of the other instances."""

from collections.abc import Mapping

from sesameford.messages import Heartbeat
from sesameford.tables import Instance, Table

HEARD_WITHIN_SECONDS = 3.0


class Members:
    """The other instances, by the heartbeats that arrive."""

    def __init__(self) -> None:
        self._table: Table[str, Instance] = Table()

    def heard(
        self,
        sender_id: str,
        incarnation: int,
        heartbeat: Heartbeat,
        now_seconds: float,
    ) -> None:
        """Take a heartbeat; one of an older incarnation changes nothing."""
        known = self._table.get(sender_id)
        if known is not None and known.incarnation > incarnation:
            return
        instance = Instance(
            instance_id=sender_id,
            incarnation=incarnation,
            data_centre=heartbeat.data_centre,
            state=heartbeat.state,
            revision=heartbeat.revision,
            heard_at_seconds=now_seconds,
        )
        self._table.put(sender_id, instance)

    def live(self, now_seconds: float) -> Mapping[str, Instance]:
        """Return the instances that were heard a short while ago."""
        return {
            instance.instance_id: instance
            for instance in self._table
            if now_seconds - instance.heard_at_seconds <= HEARD_WITHIN_SECONDS
        }

    def all(self) -> list[Instance]:
        """Return every instance ever heard, for the status page."""
        return list(self._table)
