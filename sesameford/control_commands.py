"""The commands of ``sesamefordctl``."""

import sys
from argparse import Namespace
from asyncio import sleep
from pathlib import Path
from secrets import token_hex
from time import monotonic
from typing import Any
from urllib.parse import quote

from msgspec import ValidationError, convert, json

from sesameford.control_client import Client, ControlError, require_success
from sesameford.control_memory import (
    Memory,
    PendingChange,
    change_to_send,
    memory_file,
    read_memory,
    write_memory,
)
from sesameford.control_output import print_json, print_status, print_table, time_text
from sesameford.errors import TreeError
from sesameford.status import StatusReport, instances_behind
from sesameford.tree import DeclaredTree, difference, parse_tree, read_node, tree_digest
from sesameford.tree_text import render_difference

POLL_INTERVAL_SECONDS = 0.1
# Statuses that end a change; after any other it may still be accepted.
FINAL_STATUSES = frozenset({200, 400, 409, 413, 422})


def _read_tree(file: Path) -> tuple[str, DeclaredTree]:
    """Read and check a tree file."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ControlError(f"{file}: {error}", exit_code=2) from error
    try:
        return text, parse_tree(text, str(file))
    except TreeError as error:
        raise ControlError(str(error), exit_code=2) from error


def validate_command(arguments: Namespace) -> int:
    """Check a tree file without sending a request to any instance."""
    _, declared = _read_tree(arguments.file)
    counts: dict[str, int] = {}
    for path, encoded in declared.nodes.items():
        root = path.partition("/")[0]
        if root != "fleet":
            counts[root] = counts.get(root, 0) + read_node(encoded).is_leaf
    if arguments.output == "json":
        print_json({"valid": True, "entities": counts})
    else:
        print_table(f"{arguments.file} is valid", ["root", "entities"], counts.items())
    return 0


async def apply_command(client: Client, arguments: Namespace) -> int:
    """Declare a tree file as the tree in force."""
    text, declared = _read_tree(arguments.file)
    memory_at = memory_file(arguments.file)
    memory = read_memory(memory_at)
    change = await _prepare_change(client, arguments, memory, declared)
    write_memory(memory_at, Memory(memory.revision, change))
    answer = await client.request(
        "POST",
        "/tree/changes",
        json.encode(
            {
                "change_id": change.change_id,
                "base_revision": change.base_revision,
                "declared": text,
            }
        ),
    )
    if answer.status in FINAL_STATUSES:
        write_memory(memory_at, Memory(memory.revision, None))
    if answer.status == 409:
        present = answer.body.get("present_revision")
        raise ControlError(
            f"conflict: the file is based on revision {change.base_revision}, but"
            f" revision {present} is in force; see `sesamefordctl diff`, take the"
            f" others' changes over, then apply with --base-revision {present}",
            exit_code=3,
        )
    result = require_success(answer)
    write_memory(memory_at, Memory(result["revision"], None))
    return await _finish_apply(client, arguments, result)


async def _prepare_change(
    client: Client, arguments: Namespace, memory: Memory, declared: DeclaredTree
) -> PendingChange:
    """Return the change to send, with the id of an unanswered earlier attempt."""
    digest = f"{tree_digest(declared.nodes):032x}"
    base_revision = arguments.base_revision
    if base_revision is None:
        base_revision = memory.revision
    if base_revision is None:
        base_revision = (await _status(client)).revision
    return change_to_send(memory, digest, base_revision)


async def _finish_apply(client: Client, arguments: Namespace, result: Any) -> int:
    """Wait if requested, print the result of a change and return the exit code."""
    behind: list[str] = []
    silent: list[str] = []
    if arguments.wait:
        behind, silent = await _wait_until_in_force(
            client, result["revision"], arguments.wait_seconds
        )
    result = {**result, "behind": behind, "silent": silent}
    if arguments.output == "json":
        print_json(result)
    else:
        outcome = "accepted as" if result["changed"] else "already in force:"
        print(f"{outcome} revision {result['revision']}")
        if arguments.wait and not behind:
            print("in force on every live instance")
        if silent:
            print(f"not heard lately, so unknown: {', '.join(silent)}")
    if behind:
        print(f"not yet in force on: {', '.join(behind)}", file=sys.stderr)
        return 6
    return 0


async def evacuate_command(client: Client, arguments: Namespace) -> int:
    """Stop new work for the targets of a data centre."""
    return await _order_evacuation(client, arguments, evacuated=True)


async def restore_command(client: Client, arguments: Namespace) -> int:
    """Resume new work for the targets of an evacuated data centre."""
    return await _order_evacuation(client, arguments, evacuated=False)


async def _order_evacuation(
    client: Client, arguments: Namespace, evacuated: bool
) -> int:
    """Send an evacuation or restore order with a new change id.

    The client sends the same id to each instance that it tries, so that a delayed
    copy can't come into force after a later order.
    """
    body = {
        "change_id": f"evacuation-{token_hex(8)}",
        "data_centre": arguments.data_centre,
        "evacuated": evacuated,
    }
    answer = await client.request("POST", "/tree/evacuations", json.encode(body))
    return await _finish_apply(client, arguments, require_success(answer))


async def _wait_until_in_force(
    client: Client, revision: int, wait_seconds: float
) -> tuple[list[str], list[str]]:
    """Wait until every live instance is at a revision.

    Returns:
        The live instances still below it at the timeout, and the silent instances.
    """
    deadline_seconds = monotonic() + wait_seconds
    while True:
        behind, silent = instances_behind(await _status(client), revision)
        if not behind or monotonic() >= deadline_seconds:
            return [one.instance_id for one in behind], [
                one.instance_id for one in silent
            ]
        await sleep(POLL_INTERVAL_SECONDS)


async def _status(client: Client) -> StatusReport:
    """Return the status report of one instance."""
    body = require_success(await client.request("GET", "/status"))
    try:
        return convert(body, StatusReport)
    except ValidationError as error:
        raise ControlError(f"invalid status report: {error}", exit_code=4) from (error)


async def _tree_in_force(client: Client) -> tuple[int, str, DeclaredTree]:
    """Return the tree in force at the instance that answers, with its revision."""
    body = require_success(await client.request("GET", "/tree"))
    text = body["declared"]
    return body["revision"], text, parse_tree(text, "tree in force")


async def diff_command(client: Client, arguments: Namespace) -> int:
    """Compare a tree file with the tree in force; return 1 if they differ."""
    _, declared = _read_tree(arguments.file)
    revision, _, in_force = await _tree_in_force(client)
    rows = render_difference(in_force, difference(in_force, declared))
    if arguments.output == "json":
        changes = [{"path": path, "from": old, "to": new} for path, old, new in rows]
        print_json({"revision": revision, "changes": changes})
    elif rows:
        print_table(
            f"{arguments.file} against revision {revision}",
            ["path", "in force", "in the file"],
            rows,
        )
    else:
        print(f"{arguments.file} is in force as revision {revision}")
    return 1 if rows else 0


async def get_command(client: Client, arguments: Namespace) -> int:
    """Print the tree in force, one node of it, or a node's effective values."""
    if arguments.effective:
        if arguments.path is None:
            raise ControlError("get --effective needs the path of a node", exit_code=2)
        return await _get_effective(client, arguments)
    revision, text, in_force = await _tree_in_force(client)
    if arguments.path is not None:
        return _get_node(arguments, revision, in_force)
    if arguments.output == "json":
        print_json({"revision": revision, "declared": text})
    else:
        print(f"# revision {revision}")
        print(text, end="")
    return 0


def _get_node(arguments: Namespace, revision: int, in_force: DeclaredTree) -> int:
    """Print the settings that one node declares itself."""
    encoded = in_force.nodes.get(arguments.path)
    if encoded is None:
        raise ControlError(f"the tree has no {arguments.path!r}", exit_code=2)
    settings = read_node(encoded).settings
    if arguments.output == "json":
        print_json({"revision": revision, "path": arguments.path, "settings": settings})
    else:
        print_table(
            f"{arguments.path} at revision {revision}",
            ["field", "says"],
            settings.items(),
        )
    return 0


async def _get_effective(client: Client, arguments: Namespace) -> int:
    """Print the effective values of a node, each with its branch."""
    path = f"/tree/effective?path={quote(arguments.path, safe='')}"
    body = require_success(await client.request("GET", path))
    if arguments.output == "json":
        print_json(body)
        return 0
    print_table(
        f"{body['path']} at revision {body['revision']}",
        ["field", "value", "from"],
        [(name, one["value"], one["branch"]) for name, one in body["values"].items()],
    )
    return 0


async def status_command(client: Client, arguments: Namespace) -> int:
    """Print the status report of one instance."""
    report = await _status(client)
    if arguments.output == "json":
        print_json(report)
    else:
        print_status(report)
    return 0


async def history_command(client: Client, arguments: Namespace) -> int:
    """Print accepted changes, newest first."""
    query = "" if arguments.before is None else f"?before={arguments.before}"
    entries = require_success(await client.request("GET", f"/tree/history{query}"))
    if arguments.output == "json":
        print_json(entries)
        return 0
    print_table(
        "Accepted changes",
        ["revision", "at (UTC)", "operator", "touched", "change id"],
        [
            (
                one["revision"],
                time_text(one["at_seconds"]),
                one["operator"],
                _format_paths(one),
                one["change_id"],
            )
            for one in entries
        ],
    )
    return 0


def _format_paths(entry: dict[str, Any]) -> str:
    """Return the changed paths of a history entry, shortened."""
    more = entry["path_count"] - len(entry["paths"])
    shown = ", ".join(entry["paths"])
    return f"{shown} and {more} more" if more else shown
