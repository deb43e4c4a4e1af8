"""What all routers have under way at each target, added up by one replica."""

from collections import Counter
from collections.abc import Iterable

from sesameford.messages import FleetLoad, Outgoing, PlaceLoad, RouterLoad

# A router's word counts for so long: two of its heartbeats and one that is late.
WORD_SECONDS = 1.6


class FleetLoadBook:
    """Both ends: what this instance tells, and what it adds up of others."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._sequence = 0
        self._told: dict[str, tuple[RouterLoad, float]] = {}
        self.routers = 1

    def own(self, places: Iterable[PlaceLoad]) -> RouterLoad:
        """Return what a router tells of itself."""
        self._sequence += 1
        return RouterLoad(self._instance_id, self._sequence, tuple(places))

    def received(self, load: RouterLoad, now_seconds: float) -> None:
        """Take a router's word."""
        self._told[load.router_id] = (load, now_seconds)

    def totals(self, now_seconds: float) -> list[Outgoing]:
        """Return to each router what all others have under way."""
        self._told = {
            router_id: (load, at_seconds)
            for router_id, (load, at_seconds) in self._told.items()
            if now_seconds - at_seconds < WORD_SECONDS
        }
        requests: Counter[int] = Counter()
        tokens: Counter[int] = Counter()
        for load, _ in self._told.values():
            for place in load.places:
                requests[place.name] += place.requests
                tokens[place.name] += place.prompt_tokens
        return [
            Outgoing(router_id, self._without(load, requests, tokens))
            for router_id, (load, _) in self._told.items()
        ]

    def _without(
        self, own: RouterLoad, requests: Counter[int], tokens: Counter[int]
    ) -> FleetLoad:
        mine = {place.name: place for place in own.places}
        places = []
        for name, count in requests.items():
            place = mine.get(name)
            others = count - (place.requests if place else 0)
            others_tokens = tokens[name] - (place.prompt_tokens if place else 0)
            if others > 0:
                places.append(PlaceLoad(name, others, others_tokens))
        return FleetLoad(tuple(places), len(self._told))


def make_fleet_load(instance_id: str) -> FleetLoadBook:
    """Return the book of one instance."""
    return FleetLoadBook(instance_id)
