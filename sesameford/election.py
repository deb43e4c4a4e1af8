"""Which instance is the allocator of a data centre, by each one's own view.

There is no vote: the ready instance that has run for longest serves, hubs before
others, since every message of an allocator beside them would go by way of one.
Chosen by its id alone, an allocator that restarts would be elected again as soon as
it is back, and everybody would wait for a second takeover right after the first.

Two may serve at once while views differ; each holder follows one of them at a time,
takes along what it holds, and leaves it when it does not answer.
"""

from collections.abc import Iterable, Mapping

from sesameford.tables import InstanceRow, InstanceState, Target

INSTANCE_TIMEOUT_SECONDS = 3.0
STARTUP_FOLLOW_SECONDS = 1.0
UNRESPONSIVE_EXCLUSION_SECONDS = 10.0
# One that has restarted only follows for its first second and answers after that. Left
# out for as long as one that hears nobody, it would serve beside its successor, and
# targets would get twice what they have slots for until views agree again.
RESTARTED_EXCLUSION_SECONDS = 2.0

Rank = tuple[bool, int, str]


class Election:
    """One instance's view of the allocators.

    Args:
        instance_id: This instance.
        data_centre: Where it stands.
        incarnation: Of its process; of two the smaller has run for longer.
        is_hub: Whether it passes on for its data centre.
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
        self._unfit_until: dict[str, float] = {}
        self._started_at_seconds: float | None = None

    def observe(self, instances: Mapping[str, InstanceRow]) -> None:
        """Take the present table of other instances."""
        self._instances = instances

    def exclude_unresponsive(
        self, instance_id: str, known_incarnation: int | None, now_seconds: float
    ) -> None:
        """Pass over an instance that is heard but does not answer.

        An allocator that hears nobody while its heartbeats still arrive would
        otherwise be followed for as long as it is cut off, without grants.

        Args:
            instance_id: The instance.
            known_incarnation: Of the process that answered last, None if none has.
            now_seconds: The present time.
        """
        present = self._instances.get(instance_id)
        has_restarted = (
            present is not None
            and known_incarnation is not None
            and present.incarnation > known_incarnation
        )
        unfit_seconds = (
            RESTARTED_EXCLUSION_SECONDS
            if has_restarted
            else UNRESPONSIVE_EXCLUSION_SECONDS
        )
        self._unfit_until[instance_id] = now_seconds + unfit_seconds

    def allocator(self, may_serve: bool, now_seconds: float) -> str | None:
        """Return the allocator of the own data centre, this instance if none other.

        An instance that has just started has heard nobody yet. Would it serve at
        once, it would take all targets for its own and fill them a second time;
        so at first it only follows.
        """
        if self._started_at_seconds is None:
            self._started_at_seconds = now_seconds
        ranks = [
            _rank(instance)
            for instance in self._ready(now_seconds)
            if instance.data_centre == self._data_centre
        ]
        if now_seconds < self._started_at_seconds + STARTUP_FOLLOW_SECONDS:
            before = [rank for rank in ranks if rank < self._rank]
            return min(before)[-1] if before else None
        if may_serve or not ranks:
            ranks.append(self._rank)
        return min(ranks)[-1]

    def remote_allocators(self, now_seconds: float) -> dict[str, str]:
        """Return the allocators of the other data centres."""
        elected: dict[str, Rank] = {}
        for instance in self._ready(now_seconds):
            place = instance.data_centre
            if place != self._data_centre:
                rank = _rank(instance)
                elected[place] = min(elected.get(place, rank), rank)
        return {place: rank[-1] for place, rank in elected.items()}

    def live_local_instances(self, now_seconds: float) -> list[str]:
        """Return the other instances heard in the own data centre."""
        return [
            instance.instance_id
            for instance in self._instances.values()
            if instance.data_centre == self._data_centre
            and self._is_heard(instance, now_seconds)
        ]

    def allocating_data_centres(
        self, targets: Iterable[Target], now_seconds: float
    ) -> dict[str, str]:
        """Return which data centre deals out each target's slots.

        Targets of a data centre without instances would idle; the first data
        centre that is left takes them over.
        """
        places = {self._data_centre}
        places.update(
            instance.data_centre
            for instance in self._instances.values()
            if self._is_heard(instance, now_seconds)
        )
        heir = min(places)
        return {
            target.target_id: (
                target.data_centre if target.data_centre in places else heir
            )
            for target in targets
        }

    def _is_heard(self, instance: InstanceRow, now_seconds: float) -> bool:
        return now_seconds - instance.last_seen_at_seconds < INSTANCE_TIMEOUT_SECONDS

    def _ready(self, now_seconds: float) -> list[InstanceRow]:
        """Return the other instances that could serve as allocators."""
        return [
            instance
            for instance in self._instances.values()
            if instance.state is InstanceState.READY
            and self._is_heard(instance, now_seconds)
            and self._unfit_until.get(instance.instance_id, 0.0) <= now_seconds
        ]


def _rank(instance: InstanceRow) -> Rank:
    """Return what orders instances for the part of allocator."""
    return not instance.is_hub, instance.incarnation, instance.instance_id
