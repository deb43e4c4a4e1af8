"""``make demo``: runs a complete deployment on loopback, from a tree to traces.

It starts 8 daemons in 3 data centres and 12 stand-in targets, applies a tree, sends
streamed and whole completions, chats and calls of a plain service from four customers
through every instance, prints the results by customer and stops all processes
gracefully.
"""

import asyncio
import json
import secrets
import shutil
import sys
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path

from aiohttp import ClientSession
from rich.console import Console
from rich.table import Table

from tools.client import Answer, Work, request_completion
from tools.fleet import Fleet, FleetError
from tools.load import call_service
from tools.prometheus import read_metrics
from tools.shapes import DESK, ROOT
from tools.trees import Customer, make_tree

RUN_FOLDER = ROOT / "run" / "demo"
_TIMEOUT_SECONDS = 100.0
_TARGETS_TIMEOUT_SECONDS = 15.0

console = Console()


def demo_customers() -> Sequence[Customer]:
    """Return four customers of unequal shares in two branches."""
    return (
        Customer("copy-desk", "staff", 4.0, ()),
        Customer("anand-club", "clubs", 1.0, ()),
        Customer("surat-club", "clubs", 1.0, ()),
        Customer("rajkot-club", "clubs", 2.0, ()),
    )


async def apply_tree(fleet: Fleet, text: str, name: str = "tree.yaml") -> None:
    """Apply a tree with ``sesamefordctl`` and wait until it is in force.

    Args:
        fleet: The running fleet.
        text: The tree as YAML.
        name: Name of the file in the fleet's folder that the tree is written to.

    Raises:
        FleetError: The exit code of ``sesamefordctl`` is not 0.
    """
    file = fleet.folder / name
    file.write_text(text, encoding="utf-8")
    command = [sys.executable, "-m", "sesameford.control", "apply", str(file)]
    for member in fleet.instances.values():
        command += ["--server", member.operators_url]
    command += ["--key-file", str(fleet.operators_file), "--wait"]
    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=ROOT,
        env=fleet.environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise FleetError(f"sesamefordctl apply: {output.decode().strip()}")


async def wait_for_targets(fleet: Fleet) -> None:
    """Wait until every instance can send requests to every target.

    Raises:
        FleetError: A process ended, or an instance can't use all targets in time.
    """
    expected = len(fleet.targets)
    deadline = asyncio.get_running_loop().time() + _TARGETS_TIMEOUT_SECONDS
    usable_targets: dict[str, int] = {}
    async with ClientSession() as session:
        while asyncio.get_running_loop().time() < deadline:
            for member in fleet.members():
                if not member.alive:
                    raise FleetError(f"{member.member_id} ended: {member.log_file}")
            for member in fleet.instances.values():
                metrics = await read_metrics(session, member.url)
                usable = metrics.total("sesameford_usable_targets")
                usable_targets[member.member_id] = int(usable)
            if all(count >= expected for count in usable_targets.values()):
                return
            await asyncio.sleep(0.2)
    raise FleetError(f"of {expected} targets, instances can use {usable_targets}")


async def _send_all(
    fleet: Fleet, customers: Sequence[Customer]
) -> tuple[Mapping[str, Sequence[Answer]], str]:
    """Send every kind of request for every customer through every instance.

    Returns:
        The answers by customer, and the trace id of one request.
    """
    answers: dict[str, list[Answer]] = {customer.name: [] for customer in customers}
    trace_id = secrets.token_hex(16)
    async with ClientSession() as session:

        async def send_requests(customer: Customer, member_id: str, url: str) -> None:
            mark = f"{customer.name}.{member_id}"
            kinds = {"stream": (True, False), "whole": (False, False)}
            kinds["chat"] = (True, True)
            for kind, (stream, chat) in kinds.items():
                work = Work(
                    mark=f"{mark}.{kind}",
                    customer=customer.name,
                    model=fleet.shape.models[0],
                    output_tokens=24,
                    filler="Draft the July issue from these notes. " * 3,
                    stream=stream,
                    chat=chat,
                )
                answer = await request_completion(session, url, customer.key, work)
                answers[customer.name].append(answer)
            service = f"{url}/services/{fleet.shape.service_names[0]}"
            for method, path in (("GET", "roster"), ("POST", "mailing")):
                name = f"{mark}.{path}"
                target = f"{service}/{path}?mark={name}&customer={customer.name}"
                answer = await call_service(
                    session, target, customer.key, name, 0.01, method
                )
                answers[customer.name].append(answer)

        await asyncio.gather(
            *(
                send_requests(customer, member.member_id, member.url)
                for customer in customers
                for member in fleet.instances.values()
            )
        )
        first = next(iter(fleet.instances.values()))
        work = Work("traced", customers[0].name, fleet.shape.models[0], 8)
        headers = {"traceparent": f"00-{trace_id}-{secrets.token_hex(8)}-01"}
        traced = await request_completion(
            session, first.url, customers[0].key, work, headers=headers
        )
        answers[customers[0].name].append(traced)
    return answers, trace_id


async def _read_cost_units(fleet: Fleet) -> Mapping[str, float]:
    """Return the cost units that the instances charged, by customer."""
    costs: dict[str, float] = {}
    async with ClientSession() as session:
        for member in fleet.instances.values():
            metrics = await read_metrics(session, member.url)
            for labels, value in metrics.rows("sesameford_cost_units_total"):
                name = labels["customer"].rpartition("/")[2]
                costs[name] = costs.get(name, 0.0) + value
    return costs


def _print_answers(
    customers: Sequence[Customer],
    answers: Mapping[str, Sequence[Answer]],
    costs: Mapping[str, float],
) -> bool:
    """Print the results by customer.

    Returns:
        Whether every answer is complete and none belongs to another request.
    """
    table = Table(title="What each customer got")
    for heading in ("customer", "share", "requests", "complete", "crossed"):
        table.add_column(heading, justify="right" if heading != "customer" else "left")
    table.add_column("cost units", justify="right")
    table.add_column("outcomes")
    all_right = True
    for customer in customers:
        rows = answers[customer.name]
        complete = sum(answer.complete for answer in rows)
        crossed = sum(answer.crossed for answer in rows)
        outcomes = Counter(answer.outcome or "none" for answer in rows)
        all_right = all_right and complete == len(rows) and not crossed
        table.add_row(
            customer.name,
            f"{customer.share:g}",
            str(len(rows)),
            str(complete),
            str(crossed),
            f"{costs.get(customer.name, 0.0):.1f}",
            ", ".join(f"{name} {count}" for name, count in outcomes.items()),
        )
    console.print(table)
    for rows in answers.values():
        for answer in rows:
            if not answer.complete:
                console.print(
                    f"not complete: {answer.status} {answer.outcome} {answer.reason}"
                )
    return all_right


def _print_trace(fleet: Fleet, trace_id: str) -> bool:
    """Print the spans of one request and return whether every hop has a span."""
    spans = []
    for file in sorted(fleet.folder.glob("*.spans.jsonl")):
        for line in file.read_text(encoding="utf-8").splitlines():
            if trace_id in line:
                spans.append((file, json.loads(line)))
    spans.sort(key=lambda row: row[1]["start_time"])
    names = [span["name"] for _, span in spans]
    table = Table(title=f"Trace {trace_id}")
    for heading in ("span", "start", "end"):
        table.add_column(heading)
    for _, span in spans:
        table.add_row(span["name"], span["start_time"][11:], span["end_time"][11:])
    console.print(table)
    if spans:
        console.print(f"Read it in {spans[0][0].relative_to(ROOT)}")
    return {"accept", "wait", "dispatch", "target", "relay"} <= set(names)


async def run_demo(folder: Path) -> bool:
    """Run the demo once.

    Args:
        folder: Folder for settings, logs and traces.

    Returns:
        Whether all answers, the trace and all exit codes are right.
    """
    customers = demo_customers()
    async with Fleet(DESK, folder) as fleet:
        await fleet.wait_up()
        console.print(
            f"{len(fleet.instances)} daemons in {len(DESK.data_centres)} data centres"
            f" and {len(fleet.targets)} stand-ins are up"
        )
        await apply_tree(fleet, make_tree(DESK, customers, "leased"))
        await wait_for_targets(fleet)
        await fleet.wait_ready()
        console.print("The tree is in force everywhere")
        answers, trace_id = await _send_all(fleet, customers)
        right = _print_answers(customers, answers, await _read_cost_units(fleet))
        codes = await fleet.stop_all()
    right = _print_trace(fleet, trace_id) and right
    failed = {name: code for name, code in codes.items() if code}
    console.print(
        f"Not stopped with exit code 0: {failed}"
        if failed
        else f"All {len(codes)} processes stopped gracefully with exit code 0"
    )
    return right and not failed


def main() -> int:
    """Run the demo and return the exit code: 0 if all checks hold, else 1."""
    shutil.rmtree(RUN_FOLDER, ignore_errors=True)
    try:
        right = asyncio.run(
            asyncio.wait_for(run_demo(RUN_FOLDER), timeout=_TIMEOUT_SECONDS)
        )
    except (FleetError, TimeoutError) as error:
        console.print(f"The demo failed: {error or 'it took too long'}")
        return 1
    console.print("The demo is green" if right else "The demo is NOT right")
    return 0 if right else 1


if __name__ == "__main__":
    sys.exit(main())
