"""``make demo``: a whole deployment on loopback, from a tree to traces.

It starts 8 daemons in 3 data centres and 12 stand-ins, applies a tree, sends streamed
and whole completions, chats and calls of a plain service from four customers through
every instance, shows what each got, and stops everything gracefully.
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
_TARGETS_SECONDS = 15.0

console = Console()


def demo_customers() -> Sequence[Customer]:
    """Return the demo's customers: two large, two small."""
    return (
        Customer("copy-desk", "staff", 4.0, ()),
        Customer("anand-club", "clubs", 1.0, ()),
        Customer("surat-club", "clubs", 1.0, ()),
        Customer("rajkot-club", "clubs", 2.0, ()),
    )


async def apply_tree(fleet: Fleet, text: str, name: str = "tree.yaml") -> None:
    """Apply a tree by the command-line tool and wait until it is in force.

    Raises:
        FleetError: The tool's exit code is not 0.
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
    """Wait until every instance may send work to every target.

    Raises:
        FleetError: Some target is unknown somewhere for too long.
    """
    wanted = len(fleet.targets)
    give_up_at = asyncio.get_running_loop().time() + _TARGETS_SECONDS
    known: dict[str, int] = {}
    async with ClientSession() as session:
        while asyncio.get_running_loop().time() < give_up_at:
            for member in fleet.members():
                if not member.alive:
                    raise FleetError(f"{member.member_id} ended: {member.log_file}")
            for member in fleet.instances.values():
                metrics = await read_metrics(session, member.url)
                usable = metrics.total("sesameford_usable_targets")
                known[member.member_id] = int(usable)
            if all(count >= wanted for count in known.values()):
                return
            await asyncio.sleep(0.2)
    raise FleetError(f"of {wanted} targets, instances know {known}")


async def _send_all(
    fleet: Fleet, customers: Sequence[Customer]
) -> tuple[Mapping[str, Sequence[Answer]], str]:
    """Send every kind of request from every customer through every instance.

    Returns:
        The answers by customer, and the trace id of one request.
    """
    answers: dict[str, list[Answer]] = {customer.name: [] for customer in customers}
    trace_id = secrets.token_hex(16)
    async with ClientSession() as session:

        async def one(customer: Customer, member_id: str, url: str) -> None:
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
                one(customer, member.member_id, member.url)
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


async def _cost_units(fleet: Fleet) -> Mapping[str, float]:
    """Return what the instances charged each customer."""
    costs: dict[str, float] = {}
    async with ClientSession() as session:
        for member in fleet.instances.values():
            metrics = await read_metrics(session, member.url)
            for labels, value in metrics.rows("sesameford_cost_units_total"):
                name = labels["customer"].rpartition("/")[2]
                costs[name] = costs.get(name, 0.0) + value
    return costs


def _show(
    customers: Sequence[Customer],
    answers: Mapping[str, Sequence[Answer]],
    costs: Mapping[str, float],
) -> bool:
    """Print what each customer got; return whether all of it was right."""
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


def _show_trace(fleet: Fleet, trace_id: str) -> bool:
    """Print the spans of one request; return whether every hop has one."""
    spans = []
    for file in sorted(fleet.folder.glob("*.spans.jsonl")):
        for line in file.read_text(encoding="utf-8").splitlines():
            if trace_id in line:
                spans.append((file, json.loads(line)))
    spans.sort(key=lambda one: one[1]["start_time"])
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
        folder: Where settings, logs and traces go.

    Returns:
        Whether everything was right.
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
        right = _show(customers, answers, await _cost_units(fleet))
        codes = await fleet.stop_all()
    right = _show_trace(fleet, trace_id) and right
    failed = {name: code for name, code in codes.items() if code}
    console.print(
        f"Not stopped with exit code 0: {failed}"
        if failed
        else f"All {len(codes)} processes stopped gracefully with exit code 0"
    )
    return right and not failed


def main() -> int:
    """Run the demo; 0 if everything was right."""
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
