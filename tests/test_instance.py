"""Whole instances in one process, over real sockets on loopback."""

from asyncio import sleep, timeout
from contextlib import AsyncExitStack, asynccontextmanager
from hashlib import sha256
from pathlib import Path
from socket import socket
from time import monotonic

import pytest
from aiohttp import ClientSession

from sesameford.effective import EffectiveTree, InstanceSettings
from sesameford.errors import SettingsError
from sesameford.instance import Instance
from sesameford.settings import DaemonSettings, Listen, OperatorKey, Peer
from sesameford.tree_replication import TreeReplication
from sesameford.voters import desired_voters

OPERATOR_KEY = "the-operators-key"
OPERATOR = {"Authorization": f"Bearer {OPERATOR_KEY}"}
TREE = "customers: {children: {club: {share: 2}}}\n"


def free_addresses(count):
    sockets = [socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    return addresses


def make_settings(folder: Path, count: int, disks: int, **more):
    addresses = free_addresses(3 * count)
    shared_key = folder / "shared.key"
    shared_key.write_text("0123456789abcdef0123456789abcdef")
    peers = [
        Peer(f"e{n}", "abc"[n % 3], addresses[3 * n + 2], n < disks)
        for n in range(count)
    ]
    operators = (OperatorKey("op", sha256(OPERATOR_KEY.encode()).hexdigest()),)
    settings = []
    for n in range(count):
        data_folder = folder / f"e{n}"
        data_folder.mkdir(exist_ok=True)
        settings.append(
            DaemonSettings(
                instance_id=f"e{n}",
                data_centre="abc"[n % 3],
                listen=Listen(*addresses[3 * n : 3 * n + 3]),
                peers=tuple(peer for peer in peers if peer.instance_id != f"e{n}"),
                operators=operators,
                data_folder=str(data_folder) if n < disks else None,
                **{"shared_key_file": str(shared_key), **more},
            )
        )
    return settings


@asynccontextmanager
async def running(settings):
    async with AsyncExitStack() as stack:
        instances = []
        for one in settings:
            instance = Instance(one, "test.yaml")
            await instance.start()
            stack.push_async_callback(instance.close)
            instances.append(instance)
        yield instances


async def apply_tree(session, settings, change_id, base_revision, declared):
    url = f"http://{settings.listen.operators}/tree/changes"
    change = {
        "change_id": change_id,
        "base_revision": base_revision,
        "declared": declared,
    }
    async with session.post(url, json=change, headers=OPERATOR) as answer:
        return answer.status, await answer.json()


async def test_a_change_through_one_instance_is_in_force_at_every_instance(tmp_path):
    settings = make_settings(tmp_path, 4, 3)
    async with running(settings) as instances, ClientSession() as session:
        status, answer = await apply_tree(session, settings[3], "c1", 0, TREE)
        assert (status, answer["revision"]) == (200, 1)
        for instance in instances:
            assert await instance.tree.wait_for_revision(1, 20)
            assert instance.router.tree.customers["club"].share == 2


async def test_the_leader_pushes_changes_that_were_not_requested(tmp_path, monkeypatch):
    """No instance requests missing changes, as if all heartbeats were lost.

    Without the push a change would wait for a heartbeat and a request.
    """
    monkeypatch.setattr(TreeReplication, "collect_requests", lambda *_: ())
    settings = make_settings(tmp_path, 4, 3)
    async with running(settings) as instances, ClientSession() as session:
        for instance in instances:
            await until(lambda one=instance: len(one.members.all(monotonic())) == 3)
        assert (await apply_tree(session, settings[0], "c1", 0, TREE))[0] == 200
        assert await instances[3].tree.wait_for_revision(1, 5)


async def test_the_tree_removes_and_restores_the_vote_of_a_replica(tmp_path):
    settings = make_settings(tmp_path, 3, 3)
    tree = TREE + "instances: {children: {e2: {voter: false}}}\n"

    def votes(instance):
        members = instance._log.status().members
        return {one.instance_id for one in members if one.voter}

    async with running(settings) as instances, ClientSession() as session:
        assert (await apply_tree(session, settings[0], "c1", 0, TREE))[0] == 200
        await until(lambda: votes(instances[0]) == {"e0", "e1", "e2"})
        assert (await apply_tree(session, settings[0], "c2", 1, tree))[0] == 200
        await until(lambda: votes(instances[0]) == {"e0", "e1"})
        assert (await apply_tree(session, settings[1], "c3", 2, TREE))[0] == 200
        await until(lambda: votes(instances[0]) == {"e0", "e1", "e2"})


def test_a_tree_cannot_remove_every_vote():
    """An operator removes the vote of every replica in one change.

    If it were applied, no later change could ever be accepted.
    """

    def voters_without(*removed):
        instances = {one: InstanceSettings(one, voter=False) for one in removed}
        return desired_voters(EffectiveTree(1, instances=instances), ("a", "b"))

    assert voters_without() is None
    assert voters_without("a", "x") == {"b"}
    assert voters_without("a", "b") is None


async def until(condition, limit_seconds=20):
    async with timeout(limit_seconds):
        while not condition():
            await sleep(0.02)


async def test_an_instance_that_restarts_empty_receives_the_tree(tmp_path):
    """An instance without a disk loses its tree at a restart.

    If it reported that it is ready before it has the tree, it would refuse callers
    with valid keys.
    """
    settings = make_settings(tmp_path, 2, 1)
    async with running(settings[:1]) as (first,), ClientSession() as session:
        assert (await apply_tree(session, settings[0], "c1", 0, TREE))[0] == 200
        assert await first.tree.wait_for_revision(1, 20)
        async with running(settings[1:]) as (second,):
            async with session.get(
                f"http://{settings[1].listen.callers}/readyz"
            ) as ready:
                had_tree = second.tree.store.revision == 1
                assert ready.status == (200 if had_tree else 503)
            assert await second.tree.wait_for_revision(1, 20)


async def test_a_change_survives_a_restart_of_its_only_replica(tmp_path):
    settings = make_settings(tmp_path, 1, 1)
    async with running(settings), ClientSession() as session:
        assert (await apply_tree(session, settings[0], "c1", 0, TREE))[0] == 200
    async with running(settings) as (again,):
        assert await again.tree.wait_for_revision(1, 20)


def test_peers_without_any_identity_are_refused(tmp_path):
    settings = make_settings(tmp_path, 2, 0, shared_key_file=None)
    with pytest.raises(SettingsError, match="peers without tls"):
        Instance(settings[0], "test.yaml")
