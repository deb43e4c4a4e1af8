"""Which instance is a data centre's allocator, by one instance's view."""

from sesameford.election import (
    RESTARTED_EXCLUSION_SECONDS,
    STARTUP_FOLLOW_SECONDS,
    UNRESPONSIVE_EXCLUSION_SECONDS,
    Election,
)
from sesameford.tables import InstanceRow, InstanceState


def observed(incarnation, now_seconds):
    """Return what an instance observes of one that would be elected before it."""
    return {
        "e0": InstanceRow("e0", incarnation, "a", InstanceState.READY, 1, now_seconds)
    }


def follow(election, incarnation, now_seconds):
    election.observe(observed(incarnation, now_seconds))
    return election.allocator(True, now_seconds)


def test_one_that_is_heard_but_does_not_answer_is_passed_over_for_long():
    """An allocator hears nobody while its heartbeats still arrive."""
    election = Election("e2", "a", 5)
    assert follow(election, 1, 10.0) == "e0"
    election.exclude_unresponsive("e0", 1, 11.0 + STARTUP_FOLLOW_SECONDS)
    assert follow(election, 1, 11.0 + UNRESPONSIVE_EXCLUSION_SECONDS) == "e2"
    assert follow(election, 1, 12.1 + UNRESPONSIVE_EXCLUSION_SECONDS) == "e0"


def test_one_that_has_restarted_is_followed_again_soon():
    """An allocator restarts and at first only follows, so it does not answer.

    It serves a second later. Passed over by the others for ten seconds, it dealt out
    all slots of the targets beside its successor, and targets got six requests where
    they have three slots.
    """
    election = Election("e2", "a", 5)
    assert follow(election, 1, 10.0) == "e0"
    election.observe(observed(3, 12.0))
    election.exclude_unresponsive("e0", 1, 12.0)
    assert follow(election, 3, 12.5) == "e2"
    assert follow(election, 3, 12.1 + RESTARTED_EXCLUSION_SECONDS) == "e0"
