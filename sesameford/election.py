"""The choice of a data centre's allocator, which each instance makes from its own view.

There is no vote. The ready instance that has run for longest is chosen, with hubs
before other instances, because every message of an allocator that is no hub would pass
through one. A choice by id alone would elect an allocator again as soon as it has
restarted, and all routers would wait for a second takeover right after the first.

Two allocators may serve at once while views differ. Each holder of slots follows one of
them at a time, carries its slots over to the next, and leaves one that does not answer.
"""

from collections.abc import Iterable, Mapping

from sesameford.tables import InstanceRow, InstanceState, Target

INSTANCE_TIMEOUT_SECONDS = 3.0
STARTUP_FOLLOW_SECONDS = 1.0
UNRESPONSIVE_EXCLUSION_SECONDS = 10.0
# A restarted instance only follows for its first second and answers after that.
# Excluded for as long as an isolated one, it would serve beside its successor, and
# targets would get twice the requests that they have slots for until views agree again.
RESTARTED_EXCLUSION_SECONDS = 2.0

Rank = tuple[bool, int, str]


class Election:
    """Chooses the allocators by one instance's view.

    Args:
        instance_id: This instance.
        data_centre: Its data centre.
        incarnation: The incarnation of its process; a smaller one has run for longer.
        is_hub: Whether it relays for its data centre.
    """

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        incarnation: int,
        is_hub: bool = False,
    ) -> None:
        self._instance_id = instance_id
        self._rank = (not is_hub, incarnation, instance_id)
        self._data_centre = data_centre
        self._instances: Mapping[str, InstanceRow] = {}
        self._excluded_until_seconds: dict[str, float] = {}
        self._started_at_seconds: float | None = None

    def observe(self, instances: Mapping[str, InstanceRow]) -> None:
        """Replace the table of other instances."""
        self._instances = instances

    def exclude_unresponsive(
        self, instance_id: str, answered_incarnation: int | None, now_seconds: float
    ) -> None:
        """Exclude an instance that sends heartbeats but does not answer.

        An allocator that receives nothing while its heartbeats still arrive would
        otherwise be followed, without grants, for as long as it is isolated.

        Args:
            instance_id: The instance.
            answered_incarnation: The incarnation that answered last, None if none has.
            now_seconds: The current time.
        """
        present = self._instances.get(instance_id)
        has_restarted = (
            present is not None
            and answered_incarnation is not None
            and present.incarnation > answered_incarnation
        )
        exclusion_seconds = (
            RESTARTED_EXCLUSION_SECONDS
            if has_restarted
            else UNRESPONSIVE_EXCLUSION_SECONDS
        )
        self._excluded_until_seconds[instance_id] = now_seconds + exclusion_seconds

    def allocator(self, may_serve: bool, now_seconds: float) -> str | None:
        """Return the allocator of this data centre: this instance if there is no other.

        An instance that has just started has received no heartbeats yet. If it served
        at once, it would allocate the slots of all targets a second time, so at first
        it only follows, and the result may be None.
        """
        if self._started_at_seconds is None:
            self._started_at_seconds = now_seconds
        ranks = [
            _rank(instance)
            for instance in self._candidates(now_seconds)
            if instance.data_centre == self._data_centre
        ]
        if now_seconds < self._started_at_seconds + STARTUP_FOLLOW_SECONDS:
            preferred = [rank for rank in ranks if rank < self._rank]
            return min(preferred)[-1] if preferred else None
        if may_serve or not ranks:
            ranks.append(self._rank)
        return min(ranks)[-1]

    def remote_allocators(self, now_seconds: float) -> dict[str, str]:
        """Return the allocators of the other data centres."""
        elected: dict[str, Rank] = {}
        for instance in self._candidates(now_seconds):
            data_centre = instance.data_centre
            if data_centre != self._data_centre:
                rank = _rank(instance)
                elected[data_centre] = min(elected.get(data_centre, rank), rank)
        return {data_centre: rank[-1] for data_centre, rank in elected.items()}

    def live_local_instances(self, now_seconds: float) -> list[str]:
        """Return the ids of the other live instances in this data centre."""
        return [
            instance.instance_id
            for instance in self._instances.values()
            if instance.data_centre == self._data_centre
            and self._is_live(instance, now_seconds)
        ]

    def allocating_data_centres(
        self, targets: Iterable[Target], now_seconds: float
    ) -> dict[str, str]:
        """Return the data centre that allocates the slots of each target, by target id.

        Targets of a data centre without live instances would idle, so the first data
        centre with one, by name, takes them over.
        """
        live_data_centres = {self._data_centre}
        live_data_centres.update(
            instance.data_centre
            for instance in self._instances.values()
            if self._is_live(instance, now_seconds)
        )
        successor = min(live_data_centres)
        return {
            target.target_id: (
                target.data_centre
                if target.data_centre in live_data_centres
                else successor
            )
            for target in targets
        }

    def _is_live(self, instance: InstanceRow, now_seconds: float) -> bool:
        return now_seconds - instance.last_seen_at_seconds < INSTANCE_TIMEOUT_SECONDS

    def _candidates(self, now_seconds: float) -> list[InstanceRow]:
        """Return the other instances that may be chosen as allocators."""
        return [
            instance
            for instance in self._instances.values()
            if instance.state is InstanceState.READY
            and self._is_live(instance, now_seconds)
            and self._excluded_until_seconds.get(instance.instance_id, 0.0)
            <= now_seconds
        ]


def _rank(instance: InstanceRow) -> Rank:
    """Return the rank of an instance as allocator; the smallest is chosen."""
    return not instance.is_hub, instance.incarnation, instance.instance_id
