"""Measures a router's cost per request, relayed token and instance, and its memory.

Run with ``python -m benchmarks.router_slopes``; ``--output json`` prints one line. It
starts real daemons and stand-ins on loopback. CPU time is that of the daemon's process
as the kernel counts it, or for control as the daemon counts it itself.
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

TOKEN_COUNTS = (1, 40, 120)
REQUESTS = 240
CONCURRENT_REQUESTS = 48
INSTANCE_COUNTS = (4, 8, 16)
IDLE_SECONDS = 6.0
START_SECONDS = 2.0
ENGINE_TOKENS_PER_SECOND = 60.0
_LIBRARIES = (
    "aiohttp, aiomisc, uvloop, msgspec, pynng, yaml, aioprometheus, xxhash,"
    " opentelemetry.sdk.trace, opentelemetry.exporter.otlp.proto.http.trace_exporter"
)


async def _measure_relay(folder: Path) -> Mapping[str, float]:
    """Return CPU seconds per request and per token of a router and of a bare proxy."""
    shape = Shape(
        "slopes",
        ("a",),
        1,
        1,
        1,
        1,
        engine_slots=CONCURRENT_REQUESTS,
        tokens_per_second=ENGINE_TOKENS_PER_SECOND,
    )
    customer = Customer("one", "all", 1.0, ())
    async with Fleet(shape, folder) as fleet:
        await fleet.wait_up()
        tree = make_tree(shape, [customer], "leased", limits={"queued_requests": 9999})
        await apply_tree(fleet, tree)
        await wait_for_targets(fleet)
        member = next(iter(fleet.instances.values()))
        router = await _measure_process(member.pid, member.url, customer)
        engine = next(iter(fleet.targets.values()))
        bare = await _measure_bare_proxy(engine.url, customer)
        await fleet.stop_all()
    return router | {f"bare_{name}": value for name, value in bare.items()}


async def _measure_bare_proxy(target: str, customer: Customer) -> dict[str, float]:
    """Return CPU seconds per request and per token of `benchmarks.pass_through`."""
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
        return await _measure_process(process.pid, f"http://{HOST}:{port}", customer)
    finally:
        process.terminate()
        await process.wait()


async def _measure_process(pid: int, url: str, customer: Customer) -> dict[str, float]:
    """Return CPU seconds per request and per token of the process behind a URL."""
    seconds: list[float] = []
    process = psutil.Process(pid)
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        for tokens in (TOKEN_COUNTS[0], *TOKEN_COUNTS):
            before = sum(process.cpu_times()[:2])
            await _send_requests(session, url, customer, tokens)
            used = sum(process.cpu_times()[:2]) - before
            seconds.append(used / REQUESTS)
    # The first round only warms up connections and caches.
    per_token, per_request = numpy.polyfit(TOKEN_COUNTS, seconds[1:], 1)
    return {"request_seconds": float(per_request), "token_seconds": float(per_token)}


async def _send_requests(
    session: ClientSession, url: str, customer: Customer, tokens: int
) -> None:
    """Send all requests of one size, `CONCURRENT_REQUESTS` at a time.

    Raises:
        RuntimeError: An answer is not complete.
    """
    semaphore = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def send_request(number: int) -> None:
        async with semaphore:
            mark = f"t{tokens}.{number}"
            work = Work(mark, customer.name, "letters", tokens, filler="x" * 200)
            answer = await request_completion(session, url, customer.key, work)
            if not answer.complete:
                raise RuntimeError(f"{mark}: {answer}")

    await asyncio.gather(*(send_request(number) for number in range(REQUESTS)))


async def _measure_idle(folder: Path, instances: int) -> Mapping[str, float]:
    """Return control rates and memory of the instances of an idle fleet.

    Keys with ``hub`` are means over the hubs, those with ``node`` over all other
    instances.
    """
    shape = Shape("slopes", ("a", "b"), instances, 1, 2, 1, has_hubs=True)
    customer = Customer("one", "all", 1.0, ())
    async with Fleet(shape, folder) as fleet:
        await fleet.wait_up()
        await apply_tree(fleet, make_tree(shape, [customer], "leased"))
        await wait_for_targets(fleet)
        await asyncio.sleep(1.0)
        async with ClientSession() as session:
            first = await _read_control(session, fleet)
            await asyncio.sleep(IDLE_SECONDS)
            last = await _read_control(session, fleet)
        resident = [
            psutil.Process(member.pid).memory_info().rss / 1e6
            for member in fleet.instances.values()
        ]
        await fleet.stop_all()
    hubs = list(last)[: len(shape.data_centres)]
    others = list(last)[len(shape.data_centres) :]
    rates = {
        name: [(new - old) / (last[name][0] - first[name][0]) for old, new in pairs]
        for name in last
        if (pairs := list(zip(first[name][1:], last[name][1:], strict=True)))
    }
    return {
        "node_sent_bytes_per_second": _mean(rates[name][0] for name in others),
        "node_cpu_fraction": _mean(rates[name][1] for name in others),
        "hub_sent_bytes_per_second": _mean(rates[name][0] for name in hubs),
        "hub_cpu_fraction": _mean(rates[name][1] for name in hubs),
        "resident_mb": _mean(resident),
    }


async def _read_control(
    session: ClientSession, fleet: Fleet
) -> Mapping[str, tuple[float, float, float]]:
    """Return the time, control bytes sent and control CPU seconds by instance."""
    readings = {}
    for member in fleet.instances.values():
        metrics = await read_metrics(session, member.url)
        rows = metrics.rows("sesameford_control_bytes_total")
        sent = sum(value for labels, value in rows if labels["direction"] == "sent")
        cpu = metrics.total("sesameford_control_cpu_seconds_total")
        readings[member.member_id] = (time.monotonic(), sent, cpu)
    return readings


def _mean(values: Iterable[float]) -> float:
    """Return the arithmetic mean as a plain float."""
    return float(numpy.mean(list(values)))


def _libraries_mb() -> float:
    """Return the resident megabytes of a process that only imports the libraries."""
    program = (
        f"import {_LIBRARIES}, psutil; print(psutil.Process().memory_info().rss / 1e6)"
    )
    output = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    )
    return float(output.stdout)


def measure() -> dict[str, Any]:
    """Run all measurements and return their figures and slopes."""
    with TemporaryDirectory(prefix="sesameford-slopes-") as name:
        folder = Path(name)
        relay = asyncio.run(_measure_relay(folder / "relay"))
        idle = [
            asyncio.run(_measure_idle(folder / f"idle{count}", count))
            for count in INSTANCE_COUNTS
        ]
    slopes = {
        name: _fit_line(INSTANCE_COUNTS, [row[name] for row in idle])
        for name in idle[0]
    }
    return {
        "relay": dict(relay),
        "instances": list(INSTANCE_COUNTS),
        "idle": [dict(row) for row in idle],
        "idle_slopes": slopes,
        "libraries_mb": _libraries_mb(),
    }


def _fit_line(sizes: Sequence[int], values: Sequence[float]) -> dict[str, float]:
    """Return the least-squares line through measured values."""
    slope, offset = numpy.polyfit(sizes, values, 1)
    return {"per_instance": float(slope), "fixed": float(offset)}


def main() -> int:
    """Run the measurements and print the figures."""
    parser = ArgumentParser(description="Measure the slopes of a router.")
    parser.add_argument("--output", choices=["table", "json"], default="table")
    options = parser.parse_args()
    figures = measure()
    print(json.dumps(figures, indent=None if options.output == "json" else 1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
