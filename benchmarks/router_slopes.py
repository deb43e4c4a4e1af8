"""Slopes of a router: requests, tokens relayed, instances, and resident memory.

Run with ``python -m benchmarks.router_slopes``; ``--output json`` for the slopes.
Real daemons and stand-ins on loopback; processor time is what the kernel counted for
the daemon's process, or what the daemon itself counts for control.
"""

import asyncio
import json
import subprocess
import sys
import time
from argparse import ArgumentParser
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import numpy
import psutil
from aiohttp import ClientSession, TCPConnector

from tools.client import Work, request_completion
from tools.demo import apply_tree, wait_for_targets
from tools.fleet import Fleet
from tools.members import free_ports
from tools.prometheus import read_metrics
from tools.shapes import HOST, ROOT, Shape
from tools.trees import Customer, make_tree

TOKENS = (1, 40, 120)
REQUESTS = 240
CONCURRENT = 48
INSTANCES = (4, 8, 16)
IDLE_SECONDS = 6.0
START_SECONDS = 2.0
ENGINE_TOKENS_PER_SECOND = 60.0
_LIBRARIES = (
    "aiohttp, aiomisc, uvloop, msgspec, pynng, yaml, aioprometheus, xxhash,"
    " opentelemetry.sdk.trace, opentelemetry.exporter.otlp.proto.http.trace_exporter"
)


async def _relay_costs(folder: Path) -> Mapping[str, float]:
    """Return processor seconds of a router per request and per token."""
    shape = Shape(
        "slopes",
        ("a",),
        1,
        1,
        1,
        1,
        engine_slots=CONCURRENT,
        tokens_per_second=ENGINE_TOKENS_PER_SECOND,
    )
    customer = Customer("one", "all", 1.0, ())
    async with Fleet(shape, folder) as fleet:
        await fleet.wait_up()
        tree = make_tree(shape, [customer], "leased", limits={"queued_requests": 9999})
        await apply_tree(fleet, tree)
        await wait_for_targets(fleet)
        member = next(iter(fleet.instances.values()))
        router = await _slopes_of(member.pid, member.url, customer)
        engine = next(iter(fleet.targets.values()))
        bare = await _bare_slopes(engine.url, customer)
        await fleet.stop_all()
    return router | {f"bare_{name}": value for name, value in bare.items()}


async def _bare_slopes(target: str, customer: Customer) -> dict[str, float]:
    """Return the same of a bare pass-through, in the same run."""
    (port,) = free_ports(1)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.pass_through",
        f"--port={port}",
        f"--target={target}",
        cwd=ROOT,
    )
    try:
        await asyncio.sleep(START_SECONDS)
        return await _slopes_of(process.pid, f"http://{HOST}:{port}", customer)
    finally:
        process.terminate()
        await process.wait()


async def _slopes_of(pid: int, url: str, customer: Customer) -> dict[str, float]:
    """Return processor seconds per request and per token of one process."""
    seconds: list[float] = []
    process = psutil.Process(pid)
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        for tokens in (TOKENS[0], *TOKENS):
            before = sum(process.cpu_times()[:2])
            await _send(session, url, customer, tokens)
            used = sum(process.cpu_times()[:2]) - before
            seconds.append(used / REQUESTS)
    # The first round only warms connections and caches up.
    per_token, per_request = numpy.polyfit(TOKENS, seconds[1:], 1)
    return {"request_seconds": float(per_request), "token_seconds": float(per_token)}


async def _send(
    session: ClientSession, url: str, customer: Customer, tokens: int
) -> None:
    """Send all requests of one size, some at a time."""
    places = asyncio.Semaphore(CONCURRENT)

    async def one(number: int) -> None:
        async with places:
            mark = f"t{tokens}.{number}"
            work = Work(mark, customer.name, "letters", tokens, filler="x" * 200)
            answer = await request_completion(session, url, customer.key, work)
            if not answer.complete:
                raise RuntimeError(f"{mark}: {answer}")

    await asyncio.gather(*(one(number) for number in range(REQUESTS)))


async def _idle_costs(folder: Path, instances: int) -> Mapping[str, float]:
    """Return control and memory of nodes and hubs among so many, all idle."""
    shape = Shape("slopes", ("a", "b"), instances, 1, 2, 1, has_hubs=True)
    customer = Customer("one", "all", 1.0, ())
    async with Fleet(shape, folder) as fleet:
        await fleet.wait_up()
        await apply_tree(fleet, make_tree(shape, [customer], "leased"))
        await wait_for_targets(fleet)
        await asyncio.sleep(1.0)
        async with ClientSession() as session:
            first = await _control(session, fleet)
            await asyncio.sleep(IDLE_SECONDS)
            last = await _control(session, fleet)
        resident = [
            psutil.Process(member.pid).memory_info().rss / 1e6
            for member in fleet.instances.values()
        ]
        await fleet.stop_all()
    hubs = list(last)[: len(shape.data_centres)]
    nodes = list(last)[len(shape.data_centres) :]
    rates = {
        name: [(new - old) / (last[name][0] - first[name][0]) for old, new in pairs]
        for name in last
        if (pairs := list(zip(first[name][1:], last[name][1:], strict=True)))
    }
    return {
        "node_sent_bytes_per_second": _mean(rates[name][0] for name in nodes),
        "node_cpu_fraction": _mean(rates[name][1] for name in nodes),
        "hub_sent_bytes_per_second": _mean(rates[name][0] for name in hubs),
        "hub_cpu_fraction": _mean(rates[name][1] for name in hubs),
        "resident_mb": _mean(resident),
    }


async def _control(
    session: ClientSession, fleet: Fleet
) -> Mapping[str, tuple[float, float, float]]:
    """Return time, bytes sent and processor seconds of control by instance."""
    readings = {}
    for member in fleet.instances.values():
        metrics = await read_metrics(session, member.url)
        rows = metrics.rows("sesameford_control_bytes_total")
        sent = sum(value for labels, value in rows if labels["direction"] == "sent")
        cpu = metrics.total("sesameford_control_cpu_seconds_total")
        readings[member.member_id] = (time.monotonic(), sent, cpu)
    return readings


def _mean(values: Iterable[float]) -> float:
    """Return the mean."""
    return float(numpy.mean(list(values)))


def _libraries_mb() -> float:
    """Return the resident memory of a process that only imports the libraries."""
    program = (
        f"import {_LIBRARIES}, psutil; print(psutil.Process().memory_info().rss / 1e6)"
    )
    output = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    )
    return float(output.stdout)


def measure() -> dict[str, Any]:
    """Return all slopes of this module."""
    with TemporaryDirectory(prefix="sesameford-slopes-") as name:
        folder = Path(name)
        relay = asyncio.run(_relay_costs(folder / "relay"))
        idle = [
            asyncio.run(_idle_costs(folder / f"idle{count}", count))
            for count in INSTANCES
        ]
    slopes = {name: _line(INSTANCES, [row[name] for row in idle]) for name in idle[0]}
    return {
        "relay": dict(relay),
        "instances": list(INSTANCES),
        "idle": [dict(row) for row in idle],
        "idle_slopes": slopes,
        "libraries_mb": _libraries_mb(),
    }


def _line(sizes: Sequence[int], values: Sequence[float]) -> dict[str, float]:
    """Return the straight line through measured values."""
    slope, offset = numpy.polyfit(sizes, values, 1)
    return {"per_instance": float(slope), "fixed": float(offset)}


def main() -> int:
    """Print the figures."""
    parser = ArgumentParser(description="Measure the slopes of a router.")
    parser.add_argument("--output", choices=["table", "json"], default="table")
    options = parser.parse_args()
    figures = measure()
    print(json.dumps(figures, indent=None if options.output == "json" else 1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
