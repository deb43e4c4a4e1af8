"""The log service: proposals from any instance, restarts, disk failures."""

from asyncio import create_task, sleep

import pytest

from sesameford.errors import NoQuorumError, ProposalRefusedError, StorageError
from tests.log_fakes import Fleet


def make_three(tmp_path, others=()):
    disks = {name: tmp_path / name for name in ("a", "b", "c")}
    return Fleet({**disks, **dict.fromkeys(others)})


async def propose(fleet, instance_id, proposal_id, command):
    task = create_task(
        fleet.services[instance_id].propose(proposal_id, "list", command)
    )
    await fleet.run(8, until=task.done)
    return await task


async def test_a_single_instance_commits_alone(tmp_path):
    fleet = Fleet({"only": tmp_path / "only"})
    assert await propose(fleet, "only", "p1", b"x") == b"1"
    await fleet.services["only"].stop()
    fleet.start("only")
    assert await propose(fleet, "only", "p1", b"x") == b"1"
    assert await propose(fleet, "only", "p2", b"y") == b"2"
    assert fleet.machines["only"].commands == [b"x", b"y"]


async def test_any_instance_proposes(tmp_path):
    fleet = make_three(tmp_path, others=("router",))
    for position, instance_id in enumerate(("router", "a", "b", "c", "router")):
        answer = await propose(fleet, instance_id, f"p{position}", instance_id.encode())
        assert answer == b"%d" % (position + 1)
    await fleet.run(1)
    assert fleet.machines["a"].commands == fleet.machines["c"].commands
    assert fleet.services["router"].role() == "none"
    assert fleet.services["router"].leader_id() == fleet.leader()


async def test_many_proposals_share_a_sync(tmp_path):
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "first", b"0")
    leader = fleet.services[fleet.leader()]
    syncs = 0
    storage = leader._replica.storage
    sync = storage.sync

    def counting_sync():
        nonlocal syncs
        syncs += 1
        sync()

    storage.sync = counting_sync
    tasks = [create_task(leader.propose(f"q{n}", "list", b"%d" % n)) for n in range(64)]
    await fleet.run(2, until=lambda: all(task.done() for task in tasks))
    assert sorted(int(task.result()) for task in tasks) == list(range(2, 66))
    assert syncs <= 4


async def test_the_leader_is_lost_and_a_resend_gets_the_first_answer(tmp_path):
    """The leader crashes just after it accepted a change, so its answer is lost.

    The operator resends the change through another instance and must receive the
    first answer; the change must not be applied twice.
    """
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "p1", b"x")
    lost = fleet.leader()
    fleet.cut.add(lost)
    other = next(name for name in "abc" if name != lost)
    assert await propose(fleet, other, "p1", b"x") == b"1"
    assert await propose(fleet, other, "p2", b"y") == b"2"
    fleet.cut.clear()
    await fleet.run(3)
    assert fleet.machines[lost].commands == [b"x", b"y"]


async def test_without_a_majority_a_proposal_is_refused(tmp_path):
    """Two of three replicas are disconnected.

    An operator's change must fail with the reason within seconds instead of hanging.
    """
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "p1", b"x")
    fleet.cut.update({"b", "c"})
    with pytest.raises(NoQuorumError):
        await propose(fleet, "a", "p2", b"y")
    assert fleet.services["a"].role() != "leader"
    fleet.cut.clear()
    assert await propose(fleet, "a", "p2", b"y") == b"2"


async def test_an_id_is_not_used_for_another_command(tmp_path):
    fleet = make_three(tmp_path, others=("router",))
    await propose(fleet, "router", "p1", b"x")
    with pytest.raises(ProposalRefusedError):
        await propose(fleet, "router", "p1", b"other")


async def test_a_leader_whose_sync_fails_acknowledges_nothing_more(
    tmp_path, monkeypatch
):
    """The leader's disk fails a sync.

    An acknowledgement now would count towards a majority that does not exist, so the
    replica stops at once. The others go on, and its instance proposes through them.
    """
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "p1", b"x")
    lost = fleet.leader()
    storage = fleet.services[lost]._replica.storage

    def failing():
        storage._failure = StorageError("log", 0, "input/output error")
        raise storage._failure

    monkeypatch.setattr(storage, "sync", failing)
    task = create_task(fleet.services[lost].propose("p2", "list", b"y"))
    await fleet.run(0.2)
    assert fleet.services[lost].role() == "failed"
    assert "input/output error" in fleet.services[lost].status().failure
    before = fleet.services[lost]._replica.applier.applied_index
    await fleet.run(8, until=task.done)
    assert await task == b"2"
    assert fleet.leader() not in (None, lost)
    assert fleet.services[lost]._replica.applier.applied_index == before


async def test_a_planned_stop_of_the_leader_transfers_leadership(tmp_path):
    """A leader is stopped as planned, for an upgrade.

    Without a leadership transfer, changes and keyed requests would wait for an
    election timeout.
    """
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "p1", b"x")
    old = fleet.leader()
    await fleet.services.pop(old).stop()
    assert await fleet.run(0.5, until=lambda: fleet.leader() not in (None, old))


async def test_a_replica_with_an_empty_disk_rejoins_as_a_new_member(tmp_path):
    """A replica's disk is replaced by an empty one under the same instance id.

    The replica must catch up first, and vote again only under a new incarnation.
    """
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "p1", b"x")
    before = {row.instance_id: row for row in fleet.services["a"].status().members}
    await fleet.services.pop("c").stop()
    fleet.disks["c"] = tmp_path / "c-new"
    await propose(fleet, "a", "p2", b"y")
    fleet.start("c")

    def is_back():
        rows = {row.instance_id: row for row in fleet.services["a"].status().members}
        return rows["c"].voter and rows["c"].incarnation != before["c"].incarnation

    assert await fleet.run(10, until=is_back)
    await fleet.run(1)
    assert fleet.machines["c"].commands == [b"x", b"y"]


async def test_voters_follow_the_desired_voters(tmp_path):
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "p1", b"x")
    for service in fleet.services.values():
        service.set_desired_voters(frozenset({"a", "b"}))

    def voters():
        rows = fleet.services["a"].status().members
        return {row.instance_id for row in rows if row.voter}

    assert await fleet.run(5, until=lambda: voters() == {"a", "b"})
    for service in fleet.services.values():
        service.set_desired_voters(None)
    assert await fleet.run(5, until=lambda: voters() == {"a", "b", "c"})


async def test_an_answer_needs_no_heartbeat_after_the_acknowledgements(tmp_path):
    """All acknowledgements have arrived and nothing is left to write or send.

    If the answer waited for the leader's next heartbeat, each change would be late by
    up to the heartbeat interval.
    """
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "first", b"0")
    leader = fleet.leader()
    task = create_task(fleet.services[leader].propose("p", "list", b"1"))
    for _ in range(20):
        await sleep(0)
        fleet._deliver()
    assert task.done()
    assert await task == b"2"


async def test_a_disk_that_was_full_is_used_again(tmp_path, monkeypatch):
    """The disk of a replica is full for some seconds, then another replica is lost.

    If the first replica stayed stopped, there would be no majority, and operators
    would be refused until it was restarted by hand.
    """
    fleet = make_three(tmp_path)
    for name in "abc":
        await fleet.services[name].stop()
        fleet.start(name, reopens=True)
    await propose(fleet, "a", "p1", b"x")
    full = next(name for name in "abc" if name != fleet.leader())

    def refuse(*_):
        raise StorageError("disk", 0, "no space left")

    storage = fleet.services[full]._replica.storage
    monkeypatch.setattr(storage, "write", refuse)
    await propose(fleet, fleet.leader(), "p2", b"y")
    await fleet.run(0.5)
    assert fleet.services[full].role() == "failed"
    await run_with_threads(fleet, 4)
    assert fleet.services[full].role() != "failed"
    fleet.cut.add(next(n for n in "abc" if n not in (full, fleet.leader())))
    assert await propose(fleet, full, "p3", b"z") == b"3"
    await fleet.run(1)
    assert fleet.machines[full].commands == [b"x", b"y", b"z"]


async def test_a_disk_that_stays_full_is_tried_again(tmp_path, monkeypatch):
    """The disk is full at the start and for some seconds after it."""
    fleet = make_three(tmp_path)
    await propose(fleet, "a", "p1", b"x")
    other = next(name for name in "abc" if name != fleet.leader())
    await fleet.services[other].stop()
    tries = []

    def refuse(*arguments):
        tries.append(1)
        raise StorageError("disk", 0, "no space left")

    with monkeypatch.context() as patch:
        patch.setattr("sesameford.log_service.open_storage", refuse)
        fleet.start(other, reopens=True)
        await run_with_threads(fleet, 4)
    assert len(tries) > 2
    assert fleet.services[other].role() == "failed"
    await run_with_threads(fleet, 4)
    await fleet.run(1)
    assert fleet.machines[other].commands == [b"x"]


async def run_with_threads(fleet, seconds):
    """Let virtual time pass while a thread reads the disk."""
    for _ in range(int(seconds * 10)):
        await fleet.run(0.1)
        await sleep(0.01)
