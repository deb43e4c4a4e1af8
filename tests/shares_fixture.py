"""Overloads of a simulated fleet, and losses of requests that it has admitted."""

from dataclasses import dataclass, field
from random import Random

from standins.virtual_shares import Demand, make_virtual_shares

ROUTERS = 70
ALL_ROUTERS = tuple(range(ROUTERS))
REPLICAS = ("a", "b", "c")
ENGINES_TOKENS = 2_000_000.0
OVERLOAD_TOKENS_PER_SECOND = 405_000.0
SIZE_TOKENS = 4_500
# An overload begins here; before it, routers and replicas find each other.
OVERLOAD_BEGIN_SECONDS = 2.0
# Losses begin when shares have settled.
LOSS_BEGIN_SECONDS = 6.0
LOSS_SECONDS = 8.0
RECOVERY_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Losses:
    """What is lost of each customer's requests, as parts of 1 by customer.

    ``failed_work`` says that engines have worked on those that fail.
    """

    left: dict[str, float] = field(default_factory=dict)
    failed: dict[str, float] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    failed_work: bool = False


NO_LOSSES = Losses()


def make_overload(routers=ALL_ROUTERS, tokens_per_second=OVERLOAD_TOKENS_PER_SECOND):
    """Return a demand far above the customer's share at some routers."""
    return Demand(
        tokens_per_second, routers, SIZE_TOKENS, from_seconds=OVERLOAD_BEGIN_SECONDS
    )


def make_overloads(count, tokens_per_second=OVERLOAD_TOKENS_PER_SECOND, **others):
    """Return overloads of some customers at all routers, and the other demands."""
    overload = make_overload(tokens_per_second=tokens_per_second)
    return {**{f"wide-{number}": overload for number in range(count)}, **others}


def set_losses(fleet, losses):
    """Let the fleet lose requests from now on."""
    fleet.left_fractions = losses.left
    fleet.failed_fractions = losses.failed
    fleet.refused_fractions = losses.refused
    fleet.failed_work = losses.failed_work


def play_losses(
    demands, losses, seconds=LOSS_SECONDS, data_centres=1, during=None, seed=1
):
    """Play calm seconds, losses, and calm seconds; return the fleet.

    ``during`` is called with the fleet in the middle of the losses, if given.
    """
    fleet = make_virtual_shares(
        ROUTERS, REPLICAS, ENGINES_TOKENS, data_centres=data_centres
    )
    fleet.play(LOSS_BEGIN_SECONDS, demands, Random(seed))
    set_losses(fleet, losses)
    if during is not None:
        fleet.play(seconds / 2, demands, Random(seed + 3))
        during(fleet)
        seconds /= 2
    fleet.play(seconds, demands, Random(seed + 1))
    set_losses(fleet, NO_LOSSES)
    fleet.play(RECOVERY_SECONDS, demands, Random(seed + 2))
    return fleet
