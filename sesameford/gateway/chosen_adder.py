"""Which replica a router tells its loads: the one that adds up for all."""

from collections.abc import Collection
from dataclasses import dataclass, field

# A replica that has fallen silent is passed over for so long; it may only be slow.
PASSED_OVER_SECONDS = 2.0
# One that has just been heard again has started or woken, and does not know all routers
# for the first one and a half seconds. Meanwhile another one's sums are better.
NEWLY_HEARD_SECONDS = 2.0


@dataclass(slots=True)
class ChosenAdder:
    """The replica chosen last, and those that are passed over."""

    chosen: str | None = None
    _told_since_seconds: float | None = None
    _passed_over_until: dict[str, float] = field(default_factory=dict)
    _heard_since_seconds: dict[str, float] = field(default_factory=dict)

    def heard(self, sender_id: str, now_seconds: float) -> None:
        """Note an answer."""
        self._passed_over_until.pop(sender_id, None)
        if sender_id == self.chosen:
            self._told_since_seconds = now_seconds

    def choose(
        self, replicas: Collection[str], silent_seconds: float, now_seconds: float
    ) -> str | None:
        """Return whom to tell, the same for all routers that hear the same replicas.

        Args:
            replicas: Those that are heard.
            silent_seconds: One that was told something and has answered nothing for so
                long is passed over.
            now_seconds: The present time.
        """
        since_seconds = self._told_since_seconds
        is_silent = (
            since_seconds is not None and now_seconds - since_seconds > silent_seconds
        )
        if self.chosen is not None and is_silent:
            self._passed_over_until[self.chosen] = now_seconds + PASSED_OVER_SECONDS
        answering = [
            one
            for one in replicas
            if self._passed_over_until.get(one, 0.0) <= now_seconds
        ]
        known = self._known(answering, replicas, now_seconds)
        chosen = min(known or answering or replicas, default=None)
        if chosen != self.chosen or is_silent:
            self._told_since_seconds = now_seconds
        self.chosen = chosen
        return chosen

    def _known(
        self, answering: Collection[str], replicas: Collection[str], now_seconds: float
    ) -> list[str]:
        """Return the one chosen before, and those that have been heard for a while.

        Of those that are heard first none is newer than the others.
        """
        is_first = not self._heard_since_seconds
        new_since_seconds = float("-inf") if is_first else now_seconds
        self._heard_since_seconds = {
            one: self._heard_since_seconds.get(one, new_since_seconds)
            for one in replicas
        }
        return [
            one
            for one in answering
            if one == self.chosen
            or now_seconds - self._heard_since_seconds[one] >= NEWLY_HEARD_SECONDS
        ]


def make_chosen_adder() -> ChosenAdder:
    """Return the choice of a router that has told nobody anything yet."""
    return ChosenAdder()
