"""What an instance tells of its work, what it is told, and shares that follow."""

import logging
from collections.abc import Callable
from random import Random

from sesameford.gateway.chosen_adder import make_chosen_adder
from sesameford.gateway.fleet_load import (
    REPORT_VALID_SECONDS,
    TELL_SECONDS,
    make_fleet_load,
)
from sesameford.gateway.fleet_sums import (
    HEARD_SECONDS,
    MISSED_ANSWERS,
    LiveInstances,
    make_fleet_sums,
)
from sesameford.gateway.loop_lag import make_loop_lag
from sesameford.gateway.placement import Placement
from sesameford.gateway.run import GatewayState
from sesameford.gateway.shares import make_share_gate
from sesameford.messages import FleetLoad, LoadsPassedOn, Outgoing, RouterLoad

logger = logging.getLogger(__name__)

# A router tells its work at least this often, so that it is counted as living, and is
# answered as often.
AT_LEAST_SECONDS = 0.2
# How often what shares do is told; the rule that nobody gets far less than others is
# checked by the second.
TOLD_AGAIN_SECONDS = 0.9
# How long prompts may wait on average, as a part of the shortest objective: the rest
# is for reading the prompt itself and for what waits longer than the average. With half
# of it 862 in place of 592 requests a day were late, with three tenths 170 fewer were
# in time (mean worth over four days of floods 0.703 and 0.706; 0.719 with this).
WAIT_PART = 0.35


class LoadSystem:
    """Loads and shares at one instance, a router or the replica that adds up."""

    def __init__(
        self,
        instance_id: str,
        has_disk: bool,
        placement: Placement,
        state: Callable[[], GatewayState | None],
        live: LiveInstances,
        send: Callable[[Outgoing], None],
        random: Random,
    ) -> None:
        self.book = make_fleet_load(instance_id)
        self.gate = make_share_gate(random)
        self.lag = make_loop_lag()
        self._adder = make_chosen_adder()
        self._instance_id = instance_id
        self._has_disk = has_disk
        self._placement = placement
        self._state = state
        self._live = live
        self._sums = make_fleet_sums(self.book, live)
        self._send = send
        self._due_at_seconds = 0.0
        self._was_alone = True
        self._whole_at_seconds = float("-inf")
        self._told_at_seconds = float("-inf")
        self._was_limited = False

    def heard(self, sender_id: str, fleet: FleetLoad, now_seconds: float) -> None:
        """Take what all other routers have under way, and the shares.

        Nothing is taken of a replica that is not told anything from here any more: its
        sums go on for a while without this router, and taking turns between two would
        let in what either does. Nor of one that has just begun to add up and knows only
        some routers: the sums of the one before are whole, and count for as long as a
        report does.
        """
        self._adder.heard(sender_id, now_seconds)
        if self._adder.chosen not in (None, sender_id):
            return
        self.book.heard(fleet, now_seconds)
        state = self._state()
        if state is not None and fleet.used:
            self._placement.take_used(fleet.used, state.tree.services)
        if fleet.is_whole:
            self._whole_at_seconds = now_seconds
        whole_age_seconds = now_seconds - self._whole_at_seconds
        if fleet.is_whole or whole_age_seconds > REPORT_VALID_SECONDS:
            self._placement.take_others(fleet.places)
            self.gate.take(fleet.shares)

    def told(self, load: RouterLoad, now_seconds: float) -> None:
        """Take at a replica what a router tells it."""
        self._sums.told(load, now_seconds)

    def passed_on(
        self, sender_id: str, passed: LoadsPassedOn, now_seconds: float
    ) -> None:
        """Take at a replica what routers told another one."""
        self._sums.passed_on(sender_id, passed, now_seconds)

    def tell(self, now_seconds: float) -> None:
        """Tell one replica, the same for all routers, what is under way here.

        The replica adds up and tells each router what all others have.
        """
        self.lag.ran(TELL_SECONDS, now_seconds)
        is_due = now_seconds >= self._due_at_seconds
        if is_due:
            self._due_at_seconds = now_seconds + self._at_least_seconds()
        if self._has_disk:
            self._add_up(is_due, now_seconds)
            return
        wait_seconds = self._wait_seconds(now_seconds)
        asked = self.gate.rows(now_seconds)
        begun_tokens = self.gate.begun.tokens_per_second(now_seconds)
        self.book.shares.told(self._instance_id, asked, wait_seconds, begun_tokens)
        self._share_alone(now_seconds)
        places = self._placement.loads(now_seconds)
        if not self.book.is_news(places, is_due, now_seconds):
            return
        replica = self._adder.choose(
            self._live.replicas(now_seconds, HEARD_SECONDS),
            MISSED_ANSWERS * self._at_least_seconds(),
            now_seconds,
        )
        load = self.book.own(
            places,
            asked,
            wait_seconds,
            begun_tokens,
            self._placement.news(),
            now_seconds,
        )
        if replica is not None:
            self._send(Outgoing(replica, load, urgent=True))

    def _add_up(self, is_due: bool, now_seconds: float) -> None:
        """Work shares out, and tell routers and other replicas what is due."""
        self._share_out(self._sums.known_part(now_seconds))
        tell_seconds = self._at_least_seconds()
        for one in self._sums.outgoing(is_due, tell_seconds, now_seconds):
            self._send(one)

    def _at_least_seconds(self) -> float:
        """Return how often something is told in any case.

        In a large fleet no more often than what changed: what each tells to be counted
        as living would else be most of what the replica that adds up gets.
        """
        return max(AT_LEAST_SECONDS, self.book.tell_seconds())

    def _wait_seconds(self, now_seconds: float) -> float:
        """Return how long a prompt waits on average at an engine."""
        state = self._state()
        if state is None:
            return 0.0
        services = state.tree.services
        waits = [
            wait_seconds
            for service in state.engine_services
            for wait_seconds in self._placement.waits_seconds(
                service, services[service].batch_slots or 1, now_seconds
            )
        ]
        return sum(waits) / len(waits) if waits else 0.0

    def _share_alone(self, now_seconds: float) -> None:
        """Work shares out from what is asked here, for when nobody else does.

        A router that is cut off from all replicas is told no shares. Were it to let
        everything in, one customer's flood would fill the engines for everybody.
        """
        self._share_out(1 / self.book.routers)
        is_alone = self.book.is_alone(now_seconds)
        if is_alone:
            self.gate.take(self.book.shares.rows())
        if is_alone != self._was_alone:
            self._was_alone = is_alone
            source = "what is asked here" if is_alone else "a replica"
            logger.warning("shares follow another source", extra={"source": source})

    def _share_out(self, part: float) -> None:
        """Bring shares up to date from what this part of all routers was asked."""
        state = self._state()
        if state is None:
            return
        declared_tokens = state.tree.fleet.tokens_per_second
        if declared_tokens is not None:
            declared_tokens *= part
        self.book.shares.tick(
            declared_tokens,
            WAIT_PART * state.shortest_objective_seconds,
        )

    def log_shares(self, now_seconds: float) -> None:
        """Tell each second which customers are limited here, and what they got."""
        if now_seconds - self._told_at_seconds < TOLD_AGAIN_SECONDS:
            return
        self._told_at_seconds = now_seconds
        if not self._has_disk:
            self._log_served(now_seconds)
        if self._has_disk or self._was_alone:
            self._log_limited()

    def _log_limited(self) -> None:
        """Tell what shares are worked out from here, and for how many routers."""
        shares = self.book.shares
        was_limited, self._was_limited = self._was_limited, bool(shares.fractions)
        if not was_limited and not shares.fractions:
            return
        logger.info(
            "shares limited",
            extra={
                "customers": ",".join(
                    f"{one}:{fraction:.2f}"
                    for one, fraction in sorted(shares.fractions.items())
                ),
                "routers": shares.routers,
                "capacity_tokens": round(shares.capacity_tokens),
                "asked_tokens": round(sum(shares.asked_tokens.values())),
                "wait_seconds": round(shares.wait_seconds, 4),
            },
        )

    def _log_served(self, now_seconds: float) -> None:
        """Tell whom shares are taken from, how old they are, and what they did."""
        customers = self.gate.account.told(self.gate.fractions)
        if not self.gate.fractions:
            return
        logger.info(
            "shares served",
            extra={
                "replica": self._adder.chosen or "",
                "age_seconds": round(self.book.age_seconds(now_seconds), 3),
                "routers": self.book.routers,
                "customers": customers,
            },
        )


def make_load_system(
    instance_id: str,
    has_disk: bool,
    placement: Placement,
    state: Callable[[], GatewayState | None],
    live: LiveInstances,
    send: Callable[[Outgoing], None],
    random: Random,
) -> LoadSystem:
    """Return the loads and shares of an instance.

    Args:
        instance_id: This instance.
        has_disk: Whether it is a replica, which adds up.
        placement: What it has under way at targets.
        state: What is in force.
        live: Which other instances are heard.
        send: Sends a message.
        random: Its own, with another seed at each instance.
    """
    return LoadSystem(instance_id, has_disk, placement, state, live, send, random)
