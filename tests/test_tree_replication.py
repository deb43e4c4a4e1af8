"""Cases of tree replication that the fuzzing reaches too rarely to rely on."""

import pytest

from sesameford.errors import PeerError
from sesameford.messages import TreeRequest, TreeSnapshot, TreeStepRow, TreeSteps
from sesameford.tables import InstanceRow, InstanceState
from sesameford.tree import (
    TreeDifference,
    difference,
    parse_tree,
    tree_digest,
)
from sesameford.tree_replication import STARTUP_LISTEN_SECONDS, TreeReplication
from sesameford.tree_store import MAX_STORED_STEPS, TreeStep

NODES = dict(parse_tree("customers: {children: {a: {}}}", "t").nodes)
DIGEST = tree_digest(NODES).to_bytes(16, "big")


def make_replication(name="e1", data_centre="a", peers=2, fanout=16):
    return TreeReplication(name, data_centre, peers, 0.0, fanout)


def peer_row(name, data_centre="a", revision=0):
    return InstanceRow(name, 1, data_centre, InstanceState.READY, revision, 0.0)


def apply_steps(replication, count):
    """Apply ``count`` changes of one customer and return their steps."""
    steps = []
    for number in range(count):
        text = f"customers: {{children: {{a: {{share: {number + 1}}}}}}}"
        put = dict(parse_tree(text, "t").nodes)
        difference = TreeDifference(put, ())
        digest = replication.store.digest_after(difference)
        step = TreeStep(replication.store.revision + 1, difference, digest)
        assert replication.store.apply_step(step)
        steps.append(TreeStepRow(step.revision, put, (), digest.to_bytes(16, "big")))
    return steps


def apply_declared_tree(replication, text):
    """Apply a declared tree as the next step."""
    changed = difference(replication.store.declared, parse_tree(text, "t"))
    digest = replication.store.digest_after(changed)
    assert replication.store.apply_step(
        TreeStep(replication.store.revision + 1, changed, digest)
    )
    replication.in_force.record_step(changed)


def test_a_snapshot_of_an_older_revision_changes_nothing():
    """A snapshot is delayed on a slow link until newer changes have arrived.

    Applying it would bring a withdrawn customer's key back into force.
    """
    replication = make_replication()
    apply_steps(replication, 3)
    before = replication.store.copy()
    for revision in (2, 3):
        replication.handle_message("e2", TreeSnapshot(revision, NODES, DIGEST), {}, 0.0)
        assert replication.store.revision == 3
        assert replication.store.declared == before


def test_a_tree_that_does_not_fit_its_digest_is_refused():
    """Two instances hold different trees at one revision, or memory is corrupted.

    Without the digest, both would keep different settings permanently.
    """
    replication = make_replication()
    with pytest.raises(PeerError):
        replication.handle_message("e2", TreeSnapshot(1, NODES, bytes(16)), {}, 0.0)
    with pytest.raises(PeerError):
        replication.handle_message(
            "e2", TreeSnapshot(1, {"customers": b"?"}, DIGEST), {}, 0.0
        )
    wrong = TreeSteps((TreeStepRow(1, NODES, (), bytes(16)),))
    replication.handle_message("e2", wrong, {}, 0.0)
    assert replication.store.revision == 0
    requests = replication.collect_requests({"e2": peer_row("e2", revision=1)}, 1.0)
    assert requests[0].message == TreeRequest(0, whole=True)


def test_an_instance_far_behind_gets_a_snapshot_once_a_second():
    """An instance was isolated during thousands of changes and repeats its request.

    The steps are no longer stored, and a snapshot of megabytes for each request would
    fill the link that has just recovered.
    """
    replication = make_replication()
    apply_steps(replication, MAX_STORED_STEPS + 5)
    recent_answer = replication.handle_message(
        "e2", TreeRequest(MAX_STORED_STEPS), {}, 0.0
    )
    assert [row.revision for row in recent_answer[0].message.steps] == [
        1001,
        1002,
        1003,
        1004,
        1005,
    ]
    old_answers = [
        replication.handle_message("e3", TreeRequest(2), {}, now)
        for now in (0.0, 0.5, 1.0)
    ]
    assert [len(sent) for sent in old_answers] == [1, 0, 1]
    assert old_answers[0][0].message.revision == MAX_STORED_STEPS + 5


def test_an_empty_instance_is_not_ready_before_it_has_the_newest_tree():
    """A router restarts empty and receives its first tree from a lagging instance.

    If it became ready too early, it would serve customers whose keys were withdrawn
    since.
    """
    replication = make_replication(peers=2)
    lagging = {"e2": peer_row("e2", revision=1)}
    replication.handle_message("e2", TreeSnapshot(1, NODES, DIGEST), lagging, 0.1)
    replication.in_force.recompute_slice()
    assert not replication.is_ready(lagging, 0.1)
    both = {**lagging, "e3": peer_row("e3", revision=2)}
    assert not replication.is_ready(both, 0.2)
    replication.handle_message("e3", TreeSnapshot(2, NODES, DIGEST), both, 0.3)
    assert not replication.is_ready(both, 0.3)
    replication.in_force.recompute_slice()
    assert replication.is_ready(both, 0.3)


def test_a_cut_off_instance_with_a_tree_becomes_ready_after_listening():
    """A replica restarts in a data centre that is isolated from all others.

    It serves under the tree on its disk; an instance without a tree stays unready.
    """
    empty, replica = make_replication(), make_replication("e2")
    replica.handle_message("e3", TreeSnapshot(4, NODES, DIGEST), {}, 0.0)
    replica.in_force.recompute_slice()
    assert not replica.is_ready({}, STARTUP_LISTEN_SECONDS / 2)
    assert replica.is_ready({}, STARTUP_LISTEN_SECONDS)
    assert not empty.is_ready({}, STARTUP_LISTEN_SECONDS)


def test_beyond_the_fanout_one_instance_of_each_data_centre_forwards_changes():
    peers = {
        name: peer_row(name, data_centre)
        for name, data_centre in [("e2", "a"), ("e3", "b"), ("e4", "b"), ("e5", "c")]
    }
    leader, other = make_replication(fanout=2), make_replication(fanout=2)
    apply_steps(other, 1)
    sent = leader.handle_commit(other.store, True, peers)
    assert [outgoing.receiver_id for outgoing in sent] == ["e2", "e3", "e5"]
    forwarder = make_replication("e3", "b", fanout=2)
    forwarder_peers = {**peers, "e1": peer_row("e1", "a")}
    del forwarder_peers["e3"]
    forwarded = forwarder.handle_message("e1", sent[1].message, forwarder_peers, 0.0)
    assert [outgoing.receiver_id for outgoing in forwarded] == ["e4"]
    assert forwarder.handle_message("e1", sent[1].message, forwarder_peers, 0.0) == ()


def test_a_key_that_moves_to_another_customer_stays_valid():
    """Operators move a key from one customer to another in one change.

    The new owner is recomputed first. If recomputing the former owner then dropped
    the key, all its callers would be refused.
    """
    replication = make_replication()
    first = "customers: {children: {a: {key_digests: [%s]}, b: {}}}"
    second = "customers: {children: {b: {key_digests: [%s]}, a: {}}}"
    for text in (first, second):
        apply_declared_tree(replication, text % ("a1" * 32))
        assert replication.in_force.recompute_slice()
    assert replication.in_force.tree.customer_ids_by_digest == {"a1" * 32: "b"}


def test_a_key_that_moves_and_returns_between_slices_stays_valid():
    """An operator moves a key and moves it back while the first change is recomputed.

    Found by `make fuzz`, TreeAndSpread with seed 142698359214430. The new owner had
    been recomputed, but not yet the former one; the key was dropped, and all its
    callers were refused.
    """
    replication = make_replication()
    at_a = "customers: {children: {a: {key_digests: [%s]}, b: {}}}" % ("a1" * 32)
    at_b = "customers: {children: {b: {key_digests: [%s]}, a: {}}}" % ("a1" * 32)
    apply_declared_tree(replication, at_a)
    assert replication.in_force.recompute_slice()
    apply_declared_tree(replication, at_b)
    assert not replication.in_force.recompute_slice(limit=1)
    apply_declared_tree(replication, at_a)
    assert replication.in_force.recompute_slice()
    assert replication.in_force.tree.customer_ids_by_digest == {"a1" * 32: "a"}


def test_a_snapshot_removes_all_of_a_change_that_it_supersedes():
    """A snapshot arrives while a change is partly recomputed.

    Found by `make fuzz`, TreeAndSpread with seed 142698359214430. A customer that only
    the superseded change contained came into force and was never removed.
    """
    replication = make_replication()
    apply_declared_tree(replication, "customers: {children: {a: {}}}")
    assert replication.in_force.recompute_slice()
    passing = "customers: {children: {a: {}, b: {key_digests: [%s]}, c: {}}}"
    apply_declared_tree(replication, passing % ("a1" * 32))
    assert not replication.in_force.recompute_slice(limit=1)
    replication.handle_message("e2", TreeSnapshot(9, NODES, DIGEST), {}, 0.0)
    assert replication.in_force.recompute_slice()
    assert set(replication.in_force.tree.customers) == {"a"}
    assert replication.in_force.tree.customer_ids_by_digest == {}
