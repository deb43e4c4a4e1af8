"""Builds the scheduler of an instance from those that the tree may name."""

from functools import partial

from sesameford.independent import make_independent_scheduler
from sesameford.leased import make_leased_scheduler
from sesameford.scheduler_switch import make_scheduler_switch
from sesameford.scheduling import Scheduler
from sesameford.settings import DaemonSettings

FIRST_SCHEDULER = "leased"


def make_fleet_scheduler(settings: DaemonSettings, incarnation: int) -> Scheduler:
    """Return a scheduler that follows ``fleet.scheduler`` of the tree.

    Args:
        settings: Settings of the instance that the scheduler decides for.
        incarnation: Incarnation of the instance's process.
    """
    arguments = (
        settings.instance_id,
        incarnation,
        settings.data_centre,
        incarnation,
    )
    makers = {
        "leased": partial(make_leased_scheduler, *arguments, settings.is_hub),
        "independent": partial(make_independent_scheduler, *arguments),
    }
    return make_scheduler_switch(makers, FIRST_SCHEDULER)
