"""The operators' and the platform's HTTP interface of an instance."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict, dataclass
from hmac import compare_digest
from secrets import token_hex
from typing import Any

from aiohttp import web
from msgspec import Struct, json

from sesameford.announcements import (
    MAX_ANNOUNCEMENT_BYTES,
    announce_bodies,
    announcement_from_body,
    check_announcement,
    leave_bodies,
)
from sesameford.errors import LogError, NoQuorumError, TreeError
from sesameford.evacuations import (
    EvacuationDeps,
    UnknownDataCentreError,
    order_evacuation,
)
from sesameford.log_service import COMMAND_LIMIT_BYTES
from sesameford.messages import TargetAnnouncement
from sesameford.operators_http import (
    Problem,
    bearer_digest,
    json_response,
    read_body,
    run_in_slices,
    with_problem_responses,
)
from sesameford.settings import OperatorKey
from sesameford.state_machine import Propose
from sesameford.status import StatusReport
from sesameford.tree import (
    MAX_TEXT_BYTES,
    difference,
    fleet_settings,
    origins,
    parse_tree_in_slices,
)
from sesameford.tree_changes import (
    ACCEPTED,
    BEHIND,
    CONFLICT,
    MACHINE_NAME,
    REFUSED,
    ChangeAnswer,
    HistoryEntry,
    HistoryQuery,
    TreeChange,
    decode_answer,
    decode_history,
    encode_command,
    make_tree_change,
)
from sesameford.tree_store import TreeStore
from sesameford.tree_text import render_tree_in_slices

MAX_CHANGE_BYTES = MAX_TEXT_BYTES + 1_000_000
MAX_REVISION = (1 << 62) - 1
CATCH_UP_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class OperatorsDeps:
    """The parts of an instance that the operators' interface uses.

    Args:
        operators: Names and key digests of the operators.
        platform_key_digest: Digest of the key that announcements must carry; None
            refuses every announcement.
        store: Returns the tree in force at this instance.
        propose: Commits a command to the replicated log and returns its result.
        wait_for_revision: Waits until this instance's tree has at least a revision;
            returns False after the given timeout in seconds.
        local_history: Returns the accepted changes stored at this instance, newest
            first, or None if it stores none; used without a quorum.
        status: Returns the status report of this instance.
        announce: Handles a target's announcement; returns False for an outdated one.
        leave: Handles a target's leave by id, incarnation and sequence; returns
            False for an outdated one.
        now: The current time in seconds, on a monotonic clock.
        wall_seconds: The time of day in seconds, for the history.
    """

    operators: Sequence[OperatorKey]
    platform_key_digest: str | None
    store: Callable[[], TreeStore]
    propose: Propose
    wait_for_revision: Callable[[int, float], Awaitable[bool]]
    local_history: Callable[[int], Sequence[HistoryEntry] | None]
    status: Callable[[], StatusReport]
    announce: Callable[[TargetAnnouncement], bool]
    leave: Callable[[str, int, int], bool]
    now: Callable[[], float]
    wall_seconds: Callable[[], float]


class ChangeBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a request to change the tree."""

    change_id: str
    base_revision: int
    declared: str


class EvacuationBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a request to evacuate or restore a data centre."""

    change_id: str
    data_centre: str
    evacuated: bool


_change_bodies = json.Decoder(ChangeBody)
_evacuation_bodies = json.Decoder(EvacuationBody)
MAX_ORDER_BYTES = 2_000


def make_operators_routes(deps: OperatorsDeps) -> list[web.RouteDef]:
    """Return the routes of the operators' port.

    Args:
        deps: The parts of the instance that the routes use.

    Returns:
        Routes for an aiohttp application.
    """

    async def post_change(request: web.Request) -> web.Response:
        operator = _authenticate_operator(deps, request)
        body = await read_body(request, _change_bodies, MAX_CHANGE_BYTES)
        return json_response(await change_tree(deps, operator, body))

    async def post_evacuation(request: web.Request) -> web.Response:
        operator = _authenticate_operator(deps, request)
        body = await read_body(request, _evacuation_bodies, MAX_ORDER_BYTES)
        return json_response(await _commit_evacuation(deps, operator, body))

    async def get_tree(request: web.Request) -> web.Response:
        _authenticate_operator(deps, request)
        store = deps.store()
        revision = store.revision
        declared = await run_in_slices(render_tree_in_slices(store.copy()))
        return json_response({"revision": revision, "declared": declared})

    async def get_effective(request: web.Request) -> web.Response:
        _authenticate_operator(deps, request)
        return json_response(
            _effective_values(deps.store(), request.query.get("path", ""))
        )

    async def get_history(request: web.Request) -> web.Response:
        _authenticate_operator(deps, request)
        before = _parse_before(request.query.get("before", ""))
        return json_response(await _read_history(deps, before))

    async def get_status(request: web.Request) -> web.Response:
        _authenticate_operator(deps, request)
        return json_response(deps.status())

    async def post_announce(request: web.Request) -> web.Response:
        _authenticate_platform(deps, request)
        body = await read_body(request, announce_bodies, MAX_ANNOUNCEMENT_BYTES)
        fleet = fleet_settings(deps.store().declared)
        check_announcement(body, fleet.target_lease_seconds)
        if not deps.announce(announcement_from_body(body)):
            raise Problem(409, "from-the-past", "a newer announcement is known")
        return json_response({"target_id": body.target_id})

    async def post_leave(request: web.Request) -> web.Response:
        _authenticate_platform(deps, request)
        body = await read_body(request, leave_bodies, MAX_ANNOUNCEMENT_BYTES)
        if not deps.leave(body.target_id, body.incarnation, body.sequence):
            raise Problem(409, "from-the-past", "a newer announcement is known")
        return json_response({"target_id": body.target_id})

    return [
        web.post("/tree/changes", with_problem_responses(post_change)),
        web.post("/tree/evacuations", with_problem_responses(post_evacuation)),
        web.get("/tree", with_problem_responses(get_tree)),
        web.get("/tree/effective", with_problem_responses(get_effective)),
        web.get("/tree/history", with_problem_responses(get_history)),
        web.get("/status", with_problem_responses(get_status)),
        web.post("/targets/announce", with_problem_responses(post_announce)),
        web.post("/targets/leave", with_problem_responses(post_leave)),
    ]


async def change_tree(
    deps: OperatorsDeps, operator: str, body: ChangeBody
) -> dict[str, Any]:
    """Validate a change and commit it to the replicated log.

    Args:
        deps: The parts of the instance that are used.
        operator: The name of the requesting operator.
        body: The change.

    Returns:
        The body of the response.

    Raises:
        Problem: The change was not accepted, or its result is unknown.
    """
    _check_change(body)
    try:
        declared = await run_in_slices(parse_tree_in_slices(body.declared, "declared"))
    except TreeError as error:
        raise Problem(
            422,
            "bad-tree",
            str(error),
            path=error.path,
            found=error.found,
            allowed=error.allowed,
        ) from error
    # The difference is computed against the tree at this instance, which must have
    # reached the revision that the change is based on.
    await deps.wait_for_revision(body.base_revision, CATCH_UP_TIMEOUT_SECONDS)
    store = deps.store()
    command = make_tree_change(
        store,
        difference(store.declared, declared),
        change_id=body.change_id,
        base_revision=body.base_revision,
        operator=operator,
        at_seconds=deps.wall_seconds(),
    )
    answer = decode_answer(await _propose(deps, body.change_id, command))
    if answer.status == ACCEPTED:
        await deps.wait_for_revision(answer.revision, CATCH_UP_TIMEOUT_SECONDS)
    return _change_result(body, answer)


async def _commit_evacuation(
    deps: OperatorsDeps, operator: str, body: EvacuationBody
) -> dict[str, Any]:
    """Commit an order to evacuate or restore a data centre to the replicated log.

    Raises:
        Problem: The order was not accepted, or its result is unknown.
    """
    _check_change_id(body.change_id)
    try:
        answer = await order_evacuation(
            EvacuationDeps(
                lambda: _data_centres(deps.status()),
                deps.propose,
                lambda: deps.store().revision,
                deps.now,
                deps.wall_seconds,
            ),
            body.data_centre,
            body.evacuated,
            operator,
            body.change_id,
        )
    except UnknownDataCentreError as error:
        names = ", ".join(sorted(error.data_centres))
        detail = f"the data centres are {names}"
        raise Problem(404, "no-such-data-centre", detail) from error
    except LogError as error:
        raise Problem(503, "no-quorum", f"{error}; send it again") from error
    await deps.wait_for_revision(answer.revision, CATCH_UP_TIMEOUT_SECONDS)
    return _decided_result(body.change_id, answer)


def _data_centres(report: StatusReport) -> set[str]:
    """Return the data centres of all instances and targets."""
    data_centres = {report.data_centre}
    data_centres |= {instance.data_centre for instance in report.instances}
    data_centres |= {target.data_centre for target in report.targets}
    return data_centres


async def _propose(deps: OperatorsDeps, name: str, command: Any) -> bytes:
    """Commit a command to the replicated log and return its result.

    Raises:
        Problem: The command is too large, or the log failed or has no quorum.
    """
    # The state machine detects resends by their change id. The proposal id is new
    # each time, or the log would repeat an answer of "behind" for ever.
    proposal_id = f"{name}/{token_hex(8)}"
    encoded = encode_command(command)
    if len(encoded) > COMMAND_LIMIT_BYTES:
        raise Problem(
            413, "change-too-large", "more than one change can hold; apply it in parts"
        )
    try:
        return await deps.propose(proposal_id, MACHINE_NAME, encoded)
    except NoQuorumError as error:
        detail = str(error)
        if isinstance(command, TreeChange):
            detail += (
                "; the change may still be accepted:"
                " send it again with the same change id"
            )
        raise Problem(503, "no-quorum", detail) from error
    except LogError as error:
        raise Problem(503, "log-failed", str(error)) from error


def _change_result(body: ChangeBody, answer: ChangeAnswer) -> dict[str, Any]:
    """Return the response body for a decided change.

    Raises:
        Problem: The change was not accepted.
    """
    if answer.status == CONFLICT:
        raise Problem(
            409,
            "conflict",
            f"the change is based on revision {body.base_revision},"
            f" but revision {answer.revision} is present",
            present_revision=answer.revision,
        )
    if answer.status == BEHIND:
        raise Problem(
            503,
            "behind",
            "this instance has not heard of the base revision yet; nothing changed",
            present_revision=answer.revision,
        )
    return _decided_result(body.change_id, answer)


def _decided_result(change_id: str, answer: ChangeAnswer) -> dict[str, Any]:
    """Return the response body for a decided command.

    Raises:
        Problem: The command was refused.
    """
    if answer.status == REFUSED:
        raise Problem(400, "refused", answer.detail)
    return {
        "change_id": change_id,
        "revision": answer.revision,
        "changed": answer.status == ACCEPTED,
    }


async def _read_history(deps: OperatorsDeps, before: int) -> list[dict[str, Any]]:
    """Return a page of the history, from the replicated log if it has a quorum."""
    try:
        entries = decode_history(await _propose(deps, "history", HistoryQuery(before)))
    except Problem:
        local = deps.local_history(before)
        if local is None:
            raise
        entries = local
    return [
        {
            "revision": entry.revision,
            "change_id": entry.change_id,
            "operator": entry.operator,
            "at_seconds": entry.at_seconds,
            "paths": entry.paths,
            "path_count": entry.path_count,
        }
        for entry in entries
    ]


def _effective_values(store: TreeStore, path: str) -> dict[str, Any]:
    """Return the effective values of a node, each with its branch."""
    try:
        origins_by_field = origins(store.declared, path)
    except TreeError as error:
        raise Problem(404, "no-such-node", f"the tree has no {path!r}") from error
    values = {name: asdict(origin) for name, origin in origins_by_field.items()}
    return {"revision": store.revision, "path": path, "values": values}


# --- bodies and keys -----------------------------------------------------------


def _authenticate_operator(deps: OperatorsDeps, request: web.Request) -> str:
    """Return the name of the operator whose key the request carries."""
    digest = bearer_digest(request)
    name = None
    # Every key is compared, so that the duration does not reveal which one matches.
    for operator in deps.operators:
        if compare_digest(operator.key_digest, digest):
            name = operator.name
    if name is None:
        raise Problem(401, "wrong-key", "no operator has this key")
    return name


def _authenticate_platform(deps: OperatorsDeps, request: web.Request) -> None:
    """Refuse a request without the platform's key."""
    digest = bearer_digest(request)
    if deps.platform_key_digest is None:
        raise Problem(401, "wrong-key", "no platform key is set; none can announce")
    if not compare_digest(deps.platform_key_digest, digest):
        raise Problem(401, "wrong-key", "this is not the platform's key")


def _check_change(body: ChangeBody) -> None:
    """Refuse a change whose numbers and names are out of range."""
    _check_change_id(body.change_id)
    if not 0 <= body.base_revision <= MAX_REVISION:
        raise Problem(400, "bad-body", "base_revision: a whole number from 0")


def _check_change_id(change_id: str) -> None:
    """Refuse an id that is empty, too long or not printable."""
    if not 0 < len(change_id) <= 100 or not change_id.isprintable():
        raise Problem(400, "bad-body", "change_id: 1 to 100 printable characters")


def _parse_before(text: str) -> int:
    """Return the revision below which history is requested."""
    if not text:
        return MAX_REVISION
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise Problem(400, "bad-query", "before: a revision")
    return int(text)
