"""Single cases of the spread that the fuzzing reaches too rarely to rely on."""

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


def make_spread(name="e1", place="a", peers=2, fanout=16):
    return TreeReplication(name, place, peers, 0.0, fanout)


def peer(name, place="a", revision=0):
    return InstanceRow(name, 1, place, InstanceState.READY, revision, 0.0)


def commit_steps(spread, count):
    """Return the steps of that many changes of one customer, taken by a spread."""
    steps = []
    for number in range(count):
        text = f"customers: {{children: {{a: {{share: {number + 1}}}}}}}"
        put = dict(parse_tree(text, "t").nodes)
        difference = TreeDifference(put, ())
        digest = spread.store.digest_after(difference)
        step = TreeStep(spread.store.revision + 1, difference, digest)
        assert spread.store.apply_step(step)
        steps.append(TreeStepRow(step.revision, put, (), digest.to_bytes(16, "big")))
    return steps


def declare(spread, text):
    """Take a declared tree as the next step."""
    changed = difference(spread.store.declared, parse_tree(text, "t"))
    digest = spread.store.digest_after(changed)
    assert spread.store.apply_step(TreeStep(spread.store.revision + 1, changed, digest))
    spread.in_force.record_step(changed)


def test_a_whole_tree_from_the_past_changes_nothing():
    """An answer is held up on a slow link until newer changes have arrived.

    Taken over it would bring a withdrawn customer's key back into force.
    """
    spread = make_spread()
    commit_steps(spread, 3)
    before = spread.store.copy()
    for revision in (2, 3):
        spread.handle_message("e2", TreeSnapshot(revision, NODES, DIGEST), {}, 0.0)
        assert spread.store.revision == 3
        assert spread.store.declared == before


def test_a_tree_that_does_not_fit_its_digest_is_refused():
    """Two instances hold different trees under one number, or memory is damaged.

    Without the digest both would go on, each under its own settings, for good.
    """
    spread = make_spread()
    with pytest.raises(PeerError):
        spread.handle_message("e2", TreeSnapshot(1, NODES, bytes(16)), {}, 0.0)
    with pytest.raises(PeerError):
        spread.handle_message(
            "e2", TreeSnapshot(1, {"customers": b"?"}, DIGEST), {}, 0.0
        )
    wrong = TreeSteps((TreeStepRow(1, NODES, (), bytes(16)),))
    spread.handle_message("e2", wrong, {}, 0.0)
    assert spread.store.revision == 0
    asked = spread.collect_requests({"e2": peer("e2", revision=1)}, 1.0)
    assert asked[0].message == TreeRequest(0, whole=True)


def test_one_who_is_far_behind_gets_the_whole_tree_once_a_second():
    """An instance was cut off through thousands of changes and asks repeatedly.

    The steps are not kept that long; and megabytes for each question would fill
    the link that is just coming back.
    """
    spread = make_spread()
    commit_steps(spread, MAX_STORED_STEPS + 5)
    near = spread.handle_message("e2", TreeRequest(MAX_STORED_STEPS), {}, 0.0)
    assert [row.revision for row in near[0].message.steps] == [
        1001,
        1002,
        1003,
        1004,
        1005,
    ]
    far = [
        spread.handle_message("e3", TreeRequest(2), {}, now) for now in (0.0, 0.5, 1.0)
    ]
    assert [len(sent) for sent in far] == [1, 0, 1]
    assert far[0][0].message.revision == MAX_STORED_STEPS + 5


def test_an_empty_instance_is_not_ready_before_it_has_the_newest_tree():
    """A router restarts empty and its first word comes from one that lags.

    Ready too early it would serve customers whose keys were withdrawn since.
    """
    spread = make_spread(peers=2)
    lagging = {"e2": peer("e2", revision=1)}
    spread.handle_message("e2", TreeSnapshot(1, NODES, DIGEST), lagging, 0.1)
    spread.in_force.recompute_slice()
    assert not spread.is_ready(lagging, 0.1)
    both = {**lagging, "e3": peer("e3", revision=2)}
    assert not spread.is_ready(both, 0.2)
    spread.handle_message("e3", TreeSnapshot(2, NODES, DIGEST), both, 0.3)
    assert not spread.is_ready(both, 0.3)
    spread.in_force.recompute_slice()
    assert spread.is_ready(both, 0.3)


def test_a_cut_off_instance_with_a_tree_becomes_ready_after_listening():
    """A replica restarts in a data centre that is cut off from all others.

    It serves what it can, under the tree on its disk; one without any stays out.
    """
    empty, replica = make_spread(), make_spread("e2")
    replica.handle_message("e3", TreeSnapshot(4, NODES, DIGEST), {}, 0.0)
    replica.in_force.recompute_slice()
    assert not replica.is_ready({}, STARTUP_LISTEN_SECONDS / 2)
    assert replica.is_ready({}, STARTUP_LISTEN_SECONDS)
    assert not empty.is_ready({}, STARTUP_LISTEN_SECONDS)


def test_beyond_the_fanout_one_of_each_data_centre_passes_changes_on():
    peers = {
        name: peer(name, place)
        for name, place in [("e2", "a"), ("e3", "b"), ("e4", "b"), ("e5", "c")]
    }
    leader, other = make_spread(fanout=2), make_spread(fanout=2)
    commit_steps(other, 1)
    sent = leader.handle_commit(other.store, True, peers)
    assert [one.receiver_id for one in sent] == ["e2", "e3", "e5"]
    passing = make_spread("e3", "b", fanout=2)
    seen = {**peers, "e1": peer("e1", "a")}
    del seen["e3"]
    on = passing.handle_message("e1", sent[1].message, seen, 0.0)
    assert [one.receiver_id for one in on] == ["e4"]
    assert passing.handle_message("e1", sent[1].message, seen, 0.0) == ()


def test_a_key_that_moves_to_another_customer_stays_known():
    """Operators move a key from one customer to another in one change.

    The new owner is worked out first. Were the key then forgotten with its former
    owner, all its callers would be refused.
    """
    spread = make_spread()
    first = "customers: {children: {a: {key_digests: [%s]}, b: {}}}"
    second = "customers: {children: {b: {key_digests: [%s]}, a: {}}}"
    for text in (first, second):
        declare(spread, text % ("a1" * 32))
        assert spread.in_force.recompute_slice()
    assert spread.in_force.tree.customer_ids_by_digest == {"a1" * 32: "b"}


def test_a_key_that_moves_and_returns_between_slices_stays_known():
    """An operator moves a key and moves it back while the first change is worked off.

    Seen by `make fuzz`, TreeAndSpread under seed 142698359214430. The new owner had
    had its turn, the former one not yet; the key was then forgotten, and all its
    callers refused.
    """
    spread = make_spread()
    at_a = "customers: {children: {a: {key_digests: [%s]}, b: {}}}" % ("a1" * 32)
    at_b = "customers: {children: {b: {key_digests: [%s]}, a: {}}}" % ("a1" * 32)
    declare(spread, at_a)
    assert spread.in_force.recompute_slice()
    declare(spread, at_b)
    assert not spread.in_force.recompute_slice(limit=1)
    declare(spread, at_a)
    assert spread.in_force.recompute_slice()
    assert spread.in_force.tree.customer_ids_by_digest == {"a1" * 32: "a"}


def test_nothing_stays_of_a_change_that_a_whole_tree_overtook():
    """A whole tree arrives while a change is half worked off.

    Seen by `make fuzz`, TreeAndSpread under seed 142698359214430. A customer that
    only the overtaken change had came into force, and nothing took it out again.
    """
    spread = make_spread()
    declare(spread, "customers: {children: {a: {}}}")
    assert spread.in_force.recompute_slice()
    passing = "customers: {children: {a: {}, b: {key_digests: [%s]}, c: {}}}"
    declare(spread, passing % ("a1" * 32))
    assert not spread.in_force.recompute_slice(limit=1)
    spread.handle_message("e2", TreeSnapshot(9, NODES, DIGEST), {}, 0.0)
    assert spread.in_force.recompute_slice()
    assert set(spread.in_force.tree.customers) == {"a"}
    assert spread.in_force.tree.customer_ids_by_digest == {}
