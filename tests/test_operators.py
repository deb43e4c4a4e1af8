"""The operators' port: accepted and refused requests."""

import json

import pytest
from aiohttp import ClientSession
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sesameford.errors import LogError
from tests.operators_fixture import KEY, PLATFORM_KEY

TREE = "customers: {children: {a: {share: 2}}}"
ANNOUNCEMENT = {
    "target_id": "t1",
    "incarnation": 1,
    "sequence": 1,
    "kind": "model",
    "serves": ["m"],
    "url": "http://127.0.0.1:1",
    "data_centre": "a",
    "capacity_slots": 8,
    "lease_seconds": 2.0,
}


CHANGE_FIELDS = ("change_id", "base_revision", "declared")


async def call(instance, method, path, body=None, key=KEY):
    """Return status and decoded body of a request."""
    headers = {} if key is None else {"Authorization": f"Bearer {key}"}
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    async with (
        ClientSession() as session,
        session.request(
            method, instance.url + path, data=data, headers=headers
        ) as response,
    ):
        return response.status, await response.json(content_type=None)


def change(declared=TREE, change_id="c1", base_revision=0):
    return {
        "change_id": change_id,
        "base_revision": base_revision,
        "declared": declared,
    }


async def test_a_change_is_accepted_read_and_listed(instance):
    answer = await call(instance, "POST", "/tree/changes", change())
    assert answer == (200, {"change_id": "c1", "revision": 1, "changed": True})
    status, tree = await call(instance, "GET", "/tree")
    assert (status, tree["revision"]) == (200, 1)
    assert "share: 2.0" in tree["declared"]
    _, values = await call(instance, "GET", "/tree/effective?path=customers/a")
    assert values["values"]["share"] == {"value": 2.0, "branch": "customers/a"}
    _, history = await call(instance, "GET", "/tree/history")
    assert [(one["operator"], one["paths"]) for one in history] == [
        ("meera", ["customers", "customers/a"])
    ]


async def test_the_second_of_two_changes_with_the_same_base_is_a_conflict(instance):
    """Two operators send changes that are based on the same revision.

    If both were accepted, the second would silently revert the first.
    """
    await call(instance, "POST", "/tree/changes", change())
    other = change("customers: {children: {b: {}}}", "c2")
    status, body = await call(instance, "POST", "/tree/changes", other, key="other")
    assert (status, body["reason"], body["present_revision"]) == (409, "conflict", 1)
    assert instance.machine.store.revision == 1


async def test_a_resend_gets_the_first_answer(instance):
    """The response is lost and the operator's tool sends the change again.

    Without its change id it would get a conflict with its own change.
    """
    first = await call(instance, "POST", "/tree/changes", change())
    await call(instance, "POST", "/tree/changes", change("{}", "c2", 1))
    assert await call(instance, "POST", "/tree/changes", change()) == first
    assert instance.machine.store.revision == 2
    status, body = await call(instance, "POST", "/tree/changes", change("{}", "c1", 2))
    assert (status, body["reason"]) == (400, "refused")


async def test_a_tree_already_in_force_is_no_change(instance):
    await call(instance, "POST", "/tree/changes", change())
    again = change(change_id="c2")
    answer = await call(instance, "POST", "/tree/changes", again)
    assert answer == (200, {"change_id": "c2", "revision": 1, "changed": False})


async def test_without_a_quorum_changes_are_refused_and_reads_still_work(instance):
    """A data centre is disconnected from the majority of replicas.

    The response gives the reason, and the tree and its history can still be read.
    """
    await call(instance, "POST", "/tree/changes", change())
    instance.quorum = False
    other = change("{}", "c2", 1)
    status, body = await call(instance, "POST", "/tree/changes", other)
    assert (status, body["reason"]) == (503, "no-quorum")
    assert (await call(instance, "GET", "/tree"))[0] == 200
    assert len((await call(instance, "GET", "/tree/history"))[1]) == 1


async def test_a_failed_log_is_reported(instance):
    """The disk of the replica fails while it handles a change.

    The response says so, and the same change can be sent to another instance.
    """
    instance.log_error = LogError("the disk of this replica failed")
    status, body = await call(instance, "POST", "/tree/changes", change())
    assert (status, body["reason"]) == (503, "log-failed")


async def test_a_change_too_large_for_the_log_is_refused(instance, monkeypatch):
    monkeypatch.setattr("sesameford.operators.COMMAND_LIMIT_BYTES", 50)
    status, body = await call(instance, "POST", "/tree/changes", change())
    assert (status, body["reason"]) == (413, "change-too-large")
    assert instance.proposals == 0


@pytest.mark.parametrize("key", [None, "", "wrong", "\u00e9", PLATFORM_KEY])
@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("POST", "/tree/changes"),
        ("GET", "/tree"),
        ("GET", "/tree/effective"),
        ("GET", "/tree/history"),
        ("GET", "/status"),
    ],
)
async def test_without_an_operators_key_every_request_is_refused(
    instance, method, path, key
):
    status, body = await call(instance, method, path, change(), key=key)
    assert status == 401
    assert body["reason"] in ("no-key", "wrong-key")
    assert instance.proposals == 0


@pytest.mark.parametrize(
    ("body", "status", "reason"),
    [
        (b"", 400, "bad-body"),
        (b"{", 400, "bad-body"),
        (b"\xff", 400, "bad-body"),
        (b"[" * 100_000, 400, "bad-body"),
        ({"change_id": "c"}, 400, "bad-body"),
        ({**change(), "colour": "red"}, 400, "bad-body"),
        (change(base_revision=-1), 400, "bad-body"),
        (change(base_revision=2**62), 400, "bad-body"),
        (change(change_id=""), 400, "bad-body"),
        (change(change_id="a\nb"), 400, "bad-body"),
        (change("customers: {children: {a: {share: -1}}}"), 422, "bad-tree"),
        (change("a: 1\na: 2"), 422, "bad-tree"),
        (change(base_revision=5), 409, "conflict"),
        (b" " * 33_000_001, 413, "body-too-large"),
    ],
)
async def test_a_bad_change_changes_nothing(instance, body, status, reason):
    found, answer = await call(instance, "POST", "/tree/changes", body)
    assert (found, answer["reason"]) == (status, reason)
    assert instance.machine.store.revision == 0


async def test_a_bad_tree_names_path_found_and_allowed(instance):
    bad = change("customers: {children: {a: {share: -1}}}")
    _, body = await call(instance, "POST", "/tree/changes", bad)
    assert body["path"] == "customers/a.share"
    assert body["found"] == "-1"
    assert "above 0" in body["allowed"]


async def test_targets_announce_and_leave(instance):
    path = "/targets/announce"
    good = await call(instance, "POST", path, ANNOUNCEMENT, PLATFORM_KEY)
    assert good == (200, {"target_id": "t1"})
    assert instance.announced[0].lease_remaining_seconds == 2.0
    assert (await call(instance, "POST", path, ANNOUNCEMENT, PLATFORM_KEY))[0] == 409
    assert (await call(instance, "POST", path, ANNOUNCEMENT, KEY))[0] == 401
    leave = {"target_id": "t1", "incarnation": 1, "sequence": 2, "why": "stop"}
    path = "/targets/leave"
    assert (await call(instance, "POST", path, leave, PLATFORM_KEY))[0] == 200
    leave["sequence"] = 0
    assert (await call(instance, "POST", path, leave, PLATFORM_KEY))[0] == 409
    assert (await call(instance, "POST", path, leave, KEY))[0] == 401


@pytest.mark.parametrize(
    "wrong",
    [
        {"kind": "engine"},
        {"capacity_slots": 0},
        {"lease_seconds": 1e9},
        {"lease_seconds": "2"},
        {"url": "ftp://x"},
        {"serves": []},
        {"incarnation": -1},
        {"colour": "red"},
    ],
)
async def test_a_bad_announcement_is_refused(instance, wrong):
    body = {**ANNOUNCEMENT, **wrong}
    status, answer = await call(
        instance, "POST", "/targets/announce", body, PLATFORM_KEY
    )
    assert (status, answer["reason"]) == (400, "bad-body")
    assert not instance.announced


json_like = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from(["c1", TREE, "model", "http://127.0.0.1:1"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*ANNOUNCEMENT, *CHANGE_FIELDS]) | st.text(max_size=3),
            inner,
            max_size=6,
        )
    ),
    max_leaves=8,
)
near_misses = st.builds(
    lambda good, name, value: {**good, name: value},
    st.sampled_from([ANNOUNCEMENT, change()]),
    st.sampled_from([*ANNOUNCEMENT, *CHANGE_FIELDS]),
    json_like,
)
PATHS = ("/tree/changes", "/targets/announce", "/targets/leave")


@settings(
    derandomize=True,
    max_examples=250,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    path=st.sampled_from(PATHS),
    body=json_like | near_misses | near_misses | st.binary(max_size=40),
    cut=st.integers(0, 3),
)
async def test_arbitrary_bodies_get_a_valid_answer(instance, path, body, cut):
    key = KEY if path.startswith("/tree") else PLATFORM_KEY
    encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
    status, answer = await call(instance, "POST", path, encoded[: -cut or None], key)
    assert status in (200, 400, 409, 422)
    assert isinstance(answer, dict)


async def test_the_tree_limits_the_lease_of_targets(instance):
    """A target requests a lease of a minute and disappears.

    Every router would send it work for that minute.
    """
    body = {**ANNOUNCEMENT, "lease_seconds": 4.0}
    path = "/targets/announce"
    assert (await call(instance, "POST", path, body, PLATFORM_KEY))[0] == 200
    shorter = change("fleet: {target_lease_seconds: 3}")
    assert (await call(instance, "POST", "/tree/changes", shorter))[0] == 200
    body["sequence"] = 2
    status, answer = await call(instance, "POST", path, body, PLATFORM_KEY)
    assert (status, answer["reason"]) == (400, "bad-body")
    assert "at most 3" in answer["detail"]


async def test_an_unknown_node_or_query_is_refused(instance):
    assert (await call(instance, "GET", "/tree/effective?path=customers/x"))[0] == 404
    assert (await call(instance, "GET", "/tree/history?before=x"))[0] == 400
