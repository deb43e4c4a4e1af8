"""The members' table ignores outdated rows and keeps the rows of silent instances."""

from sesameford.members import make_members
from sesameford.messages import Heartbeat, MemberRow, MembersUpdate
from sesameford.tables import InstanceState

READY = InstanceState.READY


def row(change_number=1, silence_count=0, is_silent=False, revision=1):
    return MemberRow(
        "r2", 7, change_number, silence_count, is_silent, "a", READY, revision, False
    )


def test_a_late_heartbeat_of_an_older_incarnation_changes_nothing():
    """An instance restarts, and a heartbeat of its old process arrives late.

    If it were recorded, the restarted instance would seem to hold an older tree.
    """
    members = make_members("r1", 1, "a")
    members.handle_heartbeat("r2", 8, Heartbeat("a", READY, 5, 3), 1.0)
    members.handle_heartbeat("r2", 7, Heartbeat("a", READY, 4, 9), 1.1)
    assert members.live(1.2)["r2"].incarnation == 8
    assert members.highest_revision() == 5


def test_an_outdated_row_changes_nothing():
    """A hub's row that marks an instance silent arrives after a newer row."""
    members = make_members("r1", 1, "a", peer_hubs=["h"])
    members.handle_heartbeat("h", 1, Heartbeat("a", READY, 1, 1, True, 0, ("a",)), 1.0)
    members.handle_update("h", MembersUpdate((row(change_number=2),)), 1.0)
    members.handle_update(
        "h", MembersUpdate((row(silence_count=1, is_silent=True),)), 1.1
    )
    assert "r2" in members.live(1.2)


def test_a_hub_that_restarts_empty_receives_the_rows_it_lost():
    """The only hub of a deployment restarts empty while one instance is down.

    Without a row of that instance at the hub, the digests would differ for ever, and
    every other instance would request the whole table every two seconds.
    """
    members = make_members("r1", 1, "a", peer_hubs=["h"])
    members.handle_update(
        "h", MembersUpdate((row(is_silent=True, silence_count=1),)), 1.0
    )
    hub = make_members("h", 2, "a", is_hub=True)
    hub.handle_heartbeat("r1", 1, members.heartbeat(READY, 1, 2.0), 2.0)
    hub.handle_request("r1")
    (whole,) = [one.message for one in hub.collect_outgoing({}, 2.0)]
    members.handle_update("h", whole, 2.1)
    (back,) = [one.message for one in members.collect_outgoing({"h": "a"}, 2.2)]
    hub.handle_update("r1", back, 2.3)
    assert [one.instance_id for one in hub.all(2.4)] == ["r1", "r2"]
    digest = hub.heartbeat(InstanceState.STARTING, 0, 2.5).members_digest
    members.handle_heartbeat("h", 2, hub.heartbeat(InstanceState.STARTING, 0, 2.5), 2.5)
    members.handle_heartbeat("h", 2, hub.heartbeat(InstanceState.STARTING, 0, 5.5), 5.5)
    assert digest != 0
    assert members.collect_outgoing({"h": "a"}, 5.6) == []
