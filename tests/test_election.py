"""The choice of a data centre's allocator, by one instance's view."""

from sesameford.election import (
    RESTARTED_EXCLUSION_SECONDS,
    STARTUP_FOLLOW_SECONDS,
    UNRESPONSIVE_EXCLUSION_SECONDS,
    Election,
)
from sesameford.tables import InstanceRow, InstanceState


def preferred_instance(incarnation, now_seconds):
    """Return a table with one instance that is preferred as allocator."""
    return {
        "e0": InstanceRow("e0", incarnation, "a", InstanceState.READY, 1, now_seconds)
    }


def follow(election, incarnation, now_seconds):
    election.observe(preferred_instance(incarnation, now_seconds))
    return election.allocator(True, now_seconds)


def test_an_allocator_that_does_not_answer_is_excluded():
    """An isolated allocator receives nothing while its heartbeats still arrive."""
    election = Election("e2", "a", 5)
    assert follow(election, 1, 10.0) == "e0"
    election.exclude_unresponsive("e0", 1, 11.0 + STARTUP_FOLLOW_SECONDS)
    assert follow(election, 1, 11.0 + UNRESPONSIVE_EXCLUSION_SECONDS) == "e2"
    assert follow(election, 1, 12.1 + UNRESPONSIVE_EXCLUSION_SECONDS) == "e0"


def test_a_restarted_allocator_is_followed_again_after_a_shorter_exclusion():
    """An allocator restarts and does not answer while it only follows for a second.

    When the others excluded it for ten seconds, it allocated all slots beside its
    successor, and targets with three slots got six requests.
    """
    election = Election("e2", "a", 5)
    assert follow(election, 1, 10.0) == "e0"
    election.observe(preferred_instance(3, 12.0))
    election.exclude_unresponsive("e0", 1, 12.0)
    assert follow(election, 3, 12.5) == "e2"
    assert follow(election, 3, 12.1 + RESTARTED_EXCLUSION_SECONDS) == "e0"
