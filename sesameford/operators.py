"""The operators' and the platform's HTTP interface of an instance."""

from asyncio import sleep, timeout
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict, dataclass
from hashlib import sha256
from hmac import compare_digest
from secrets import token_hex
from typing import Any

from aiohttp import web
from msgspec import DecodeError, Struct, ValidationError, json

from sesameford.errors import NoQuorumError, TreeError
from sesameford.messages import TargetNews
from sesameford.settings import OperatorKey
from sesameford.state_machine import Propose
from sesameford.status import StatusReport
from sesameford.tables import TargetKind
from sesameford.tree import (
    MAX_TEXT_BYTES,
    difference,
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
    HistoryWanted,
    decode_answer,
    decode_history,
    encode_command,
    make_tree_change,
)
from sesameford.tree_store import TreeStore
from sesameford.tree_text import render_tree_in_slices
from sesameford.yaml_text import Result, Sliced

MAX_CHANGE_BYTES = MAX_TEXT_BYTES + 1_000_000
MAX_ANNOUNCEMENT_BYTES = 100_000
MAX_REVISION = (1 << 62) - 1
BODY_TIMEOUT_SECONDS = 30.0
CATCH_UP_SECONDS = 2.0
MAX_LEASE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class OperatorsDeps:
    """What the operators' interface needs of its instance.

    Args:
        operators: Names and key digests of those who may change the tree.
        platform_key_digest: Digest of the key that targets announce with; None
            refuses every announcement.
        store: Returns the tree in force here.
        propose: Brings a command to agreement.
        caught_up: Waits until the tree here has at least a revision; False when
            the given seconds were not enough.
        local_history: Accepted changes as known here, newest first, or None where
            this instance keeps none; used when there is no quorum to ask.
        status: What this instance knows of itself and of the others.
        announce: Takes a target's announcement; False for one from the past.
        leave: Takes a target's leave by id, incarnation and sequence; False for
            one from the past.
        wall_seconds: The time of day, for the history.
    """

    operators: Sequence[OperatorKey]
    platform_key_digest: str | None
    store: Callable[[], TreeStore]
    propose: Propose
    caught_up: Callable[[int, float], Awaitable[bool]]
    local_history: Callable[[int], Sequence[HistoryEntry] | None]
    status: Callable[[], StatusReport]
    announce: Callable[[TargetNews], bool]
    leave: Callable[[str, int, int], bool]
    wall_seconds: Callable[[], float]


class ChangeBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a change of the tree."""

    change_id: str
    base_revision: int
    declared: str


class AnnounceBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a target's announcement."""

    target_id: str
    incarnation: int
    sequence: int
    kind: TargetKind
    serves: tuple[str, ...]
    url: str
    data_centre: str
    capacity_slots: int
    lease_seconds: float
    checks_fencing: bool = False


class LeaveBody(Struct, frozen=True):
    """The body of a target's leave; other fields are not looked at."""

    target_id: str
    incarnation: int
    sequence: int


_change_bodies = json.Decoder(ChangeBody)
_announce_bodies = json.Decoder(AnnounceBody)
_leave_bodies = json.Decoder(LeaveBody)


class _Problem(Exception):
    """An answer other than success."""

    def __init__(self, status: int, reason: str, detail: str, **more: Any) -> None:
        super().__init__(detail)
        self.status = status
        self.body = {
            "type": "about:blank",
            "title": reason.replace("-", " "),
            "status": status,
            "detail": detail,
            "reason": reason,
            **more,
        }


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_operators_routes(deps: OperatorsDeps) -> list[web.RouteDef]:
    """Return the routes of the operators' port.

    Args:
        deps: What they need of the instance.

    Returns:
        Routes for an aiohttp application.
    """

    async def post_change(request: web.Request) -> web.Response:
        operator = _operator(deps, request)
        body = await _body(request, _change_bodies, MAX_CHANGE_BYTES)
        return _json(await change_tree(deps, operator, body))

    async def get_tree(request: web.Request) -> web.Response:
        _operator(deps, request)
        store = deps.store()
        revision = store.revision
        declared = await _in_slices(render_tree_in_slices(store.copy()))
        return _json({"revision": revision, "declared": declared})

    async def get_effective(request: web.Request) -> web.Response:
        _operator(deps, request)
        return _json(_effective(deps.store(), request.query.get("path", "")))

    async def get_history(request: web.Request) -> web.Response:
        _operator(deps, request)
        before = _before(request.query.get("before", ""))
        return _json(await _history(deps, before))

    async def get_status(request: web.Request) -> web.Response:
        _operator(deps, request)
        return _json(deps.status())

    async def post_announce(request: web.Request) -> web.Response:
        _platform(deps, request)
        body = await _body(request, _announce_bodies, MAX_ANNOUNCEMENT_BYTES)
        _check_announcement(body)
        if not deps.announce(_target_news(body)):
            raise _Problem(409, "from-the-past", "a newer announcement is known")
        return _json({"target_id": body.target_id})

    async def post_leave(request: web.Request) -> web.Response:
        _platform(deps, request)
        body = await _body(request, _leave_bodies, MAX_ANNOUNCEMENT_BYTES)
        if not deps.leave(body.target_id, body.incarnation, body.sequence):
            raise _Problem(409, "from-the-past", "a newer announcement is known")
        return _json({"target_id": body.target_id})

    return [
        web.post("/tree/changes", _answering(post_change)),
        web.get("/tree", _answering(get_tree)),
        web.get("/tree/effective", _answering(get_effective)),
        web.get("/tree/history", _answering(get_history)),
        web.get("/status", _answering(get_status)),
        web.post("/targets/announce", _answering(post_announce)),
        web.post("/targets/leave", _answering(post_leave)),
    ]


async def change_tree(
    deps: OperatorsDeps, operator: str, body: ChangeBody
) -> dict[str, Any]:
    """Check a change and bring it to agreement.

    Args:
        deps: What is needed of the instance.
        operator: Who asks.
        body: The change.

    Returns:
        The answer's body.

    Raises:
        _Problem: The change was not accepted, or nobody knows.
    """
    _check_change(body)
    try:
        declared = await _in_slices(parse_tree_in_slices(body.declared, "declared"))
    except TreeError as error:
        raise _Problem(
            422,
            "bad-tree",
            str(error),
            path=error.path,
            found=error.found,
            allowed=error.allowed,
        ) from error
    # The difference is worked out against the tree held here, so this instance
    # must have heard of the revision that the operator started from.
    await deps.caught_up(body.base_revision, CATCH_UP_SECONDS)
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
        await deps.caught_up(answer.revision, CATCH_UP_SECONDS)
    return _change_result(body, answer)


async def _in_slices(work: Sliced[Result]) -> Result:
    """Do sliced work, letting the loop do other work in between."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            result: Result = stop.value
            return result
        await sleep(0)


async def _propose(deps: OperatorsDeps, name: str, command: Any) -> bytes:
    """Bring a command to agreement, or say plainly that there is no quorum."""
    # The machine knows resends by their change id. The proposal id is new each
    # time, or an answer of "behind" would be given again for good.
    proposal_id = f"{name}/{token_hex(8)}"
    try:
        return await deps.propose(proposal_id, MACHINE_NAME, encode_command(command))
    except NoQuorumError as error:
        raise _Problem(
            503,
            "no-quorum",
            f"no majority of replicas answers ({error}); the change may still be"
            " accepted: send it again with the same change id",
        ) from error


def _change_result(body: ChangeBody, answer: ChangeAnswer) -> dict[str, Any]:
    """Return the answer's body for a change that is in force."""
    if answer.status == CONFLICT:
        raise _Problem(
            409,
            "conflict",
            f"the change is based on revision {body.base_revision},"
            f" but revision {answer.revision} is present",
            present_revision=answer.revision,
        )
    if answer.status == BEHIND:
        raise _Problem(
            503,
            "behind",
            "this instance has not heard of the base revision yet; nothing changed",
            present_revision=answer.revision,
        )
    if answer.status == REFUSED:
        raise _Problem(400, "refused", answer.detail)
    return {
        "change_id": body.change_id,
        "revision": answer.revision,
        "changed": answer.status == ACCEPTED,
    }


async def _history(deps: OperatorsDeps, before: int) -> list[dict[str, Any]]:
    """Return a page of the history, agreed where there is a quorum."""
    try:
        entries = decode_history(await _propose(deps, "history", HistoryWanted(before)))
    except _Problem:
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


def _effective(store: TreeStore, path: str) -> dict[str, Any]:
    """Return a node's values in force with their branches."""
    try:
        found = origins(store.declared, path)
    except TreeError as error:
        raise _Problem(404, "no-such-node", f"the tree has no {path!r}") from error
    values = {name: asdict(origin) for name, origin in found.items()}
    return {"revision": store.revision, "path": path, "values": values}


# --- bodies and keys -----------------------------------------------------------


def _answering(handler: Handler) -> Handler:
    """Return a handler that turns problems into their answers."""

    async def answer(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except _Problem as problem:
            headers = {"WWW-Authenticate": "Bearer"} if problem.status == 401 else None
            return web.Response(
                body=json.encode(problem.body),
                status=problem.status,
                headers=headers,
                content_type="application/problem+json",
            )

    return answer


def _json(value: Any) -> web.Response:
    return web.Response(body=json.encode(value), content_type="application/json")


def _bearer_digest(request: web.Request) -> str:
    """Return the digest of the caller's key; that of nothing where none is given."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise _Problem(401, "no-key", "an Authorization: Bearer header is needed")
    return sha256(key.strip().encode("utf-8", "surrogateescape")).hexdigest()


def _operator(deps: OperatorsDeps, request: web.Request) -> str:
    """Return the name of the operator whose key was given."""
    digest = _bearer_digest(request)
    name = None
    # Every key is compared, so that the time taken tells nothing of which fits.
    for operator in deps.operators:
        if compare_digest(operator.key_digest, digest):
            name = operator.name
    if name is None:
        raise _Problem(401, "wrong-key", "no operator has this key")
    return name


def _platform(deps: OperatorsDeps, request: web.Request) -> None:
    """Refuse a request without the platform's key."""
    digest = _bearer_digest(request)
    if deps.platform_key_digest is None:
        raise _Problem(401, "wrong-key", "no platform key is set; none can announce")
    if not compare_digest(deps.platform_key_digest, digest):
        raise _Problem(401, "wrong-key", "this is not the platform's key")


async def _body(
    request: web.Request, decoder: json.Decoder[Any], limit_bytes: int
) -> Any:
    """Read and decode a body within bounds of size and time."""
    parts = bytearray()
    try:
        async with timeout(BODY_TIMEOUT_SECONDS):
            async for part in request.content.iter_any():
                parts += part
                if len(parts) > limit_bytes:
                    raise _Problem(
                        413, "body-too-large", f"at most {limit_bytes} bytes"
                    )
    except TimeoutError as error:
        raise _Problem(408, "slow-body", "the body took too long") from error
    try:
        return decoder.decode(parts)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        raise _Problem(400, "bad-body", str(error)) from error


def _check_change(body: ChangeBody) -> None:
    """Refuse a change whose numbers and names are out of range."""
    if not 0 < len(body.change_id) <= 100 or not body.change_id.isprintable():
        raise _Problem(400, "bad-body", "change_id: 1 to 100 printable characters")
    if not 0 <= body.base_revision <= MAX_REVISION:
        raise _Problem(400, "bad-body", "base_revision: a whole number from 0")


def _before(text: str) -> int:
    """Return the revision below which history is wanted."""
    if not text:
        return MAX_REVISION
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise _Problem(400, "bad-query", "before: a revision")
    return int(text)


def _check_announcement(body: AnnounceBody) -> None:
    """Refuse an announcement whose values are out of range."""
    faults = {
        "target_id": 0 < len(body.target_id) <= 200,
        "incarnation": 0 <= body.incarnation <= MAX_REVISION,
        "sequence": 0 <= body.sequence <= MAX_REVISION,
        "serves": 0 < len(body.serves) <= 1000,
        "url": body.url.startswith(("http://", "https://")) and len(body.url) <= 500,
        "data_centre": 0 < len(body.data_centre) <= 200,
        "capacity_slots": 0 < body.capacity_slots <= 1_000_000,
        "lease_seconds": 0 < body.lease_seconds <= MAX_LEASE_SECONDS,
    }
    for name, good in faults.items():
        if not good:
            raise _Problem(400, "bad-body", f"{name}: out of range")


def _target_news(body: AnnounceBody) -> TargetNews:
    """Return an announcement as instances pass it on."""
    return TargetNews(
        target_id=body.target_id,
        incarnation=body.incarnation,
        announcement_sequence=body.sequence,
        kind=body.kind,
        serves=body.serves,
        url=body.url,
        data_centre=body.data_centre,
        capacity_slots=body.capacity_slots,
        lease_remaining_seconds=body.lease_seconds,
        checks_fencing=body.checks_fencing,
    )
