"""Measures control traffic of idle instances by fleet size, as a mesh and with hubs.

``python -m benchmarks.links_bench`` starts real daemons as a mesh and behind hubs,
lets targets announce themselves, and counts bytes and CPU time of control over some
seconds without requests. Its last line is one JSON object.
"""

import asyncio
import json
from argparse import ArgumentParser
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic

from aiohttp import ClientSession

from tools.fleet import Fleet, Member, Shape, digest_of
from tools.prometheus import read_metrics

DATA_CENTRES = ("a", "b", "c", "d", "e", "f", "g")
SETTLE_SECONDS = 8.0
TREE = f"""
customers: {{children: {{club: {{key_digests: [{digest_of("key")}]}}}}}}
models: {{children: {{letters: {{}}}}}}
"""


async def read_control(session: ClientSession, member: Member) -> dict[str, float]:
    """Return an instance's control bytes and control CPU seconds since its start."""
    metrics = await read_metrics(session, member.url)
    totals = {"sent": 0.0, "received": 0.0}
    for labels, value in metrics.rows("sesameford_control_bytes_total"):
        totals[labels["direction"]] = value
    totals["cpu"] = metrics.total("sesameford_control_cpu_seconds_total")
    return totals


async def measure(instances: int, has_hubs: bool, seconds: float) -> dict[str, float]:
    """Run an idle fleet and return its control rates.

    Args:
        instances: Number of instances.
        has_hubs: Whether each data centre has a hub; else all instances are linked.
        seconds: How long to count.

    Returns:
        Mean and largest rates of the instances that are no hubs, and the largest
        rates of the hubs.
    """
    shape = Shape(
        "links",
        DATA_CENTRES,
        instances,
        3,
        engines=14,
        services=0,
        one_way_seconds=0.0,
        has_hubs=has_hubs,
    )
    with TemporaryDirectory() as folder:
        async with Fleet(shape, Path(folder)) as fleet, ClientSession() as session:
            await apply_tree(session, fleet)
            await fleet.wait_ready()
            await asyncio.sleep(SETTLE_SECONDS)
            members = list(fleet.instances.values())
            started = monotonic()
            before = [await read_control(session, member) for member in members]
            await asyncio.sleep(seconds)
            after = [await read_control(session, member) for member in members]
            elapsed = monotonic() - started
    rates = [
        {key: (late[key] - early[key]) / elapsed for key in early}
        for early, late in zip(before, after, strict=True)
    ]
    return summarise(rates, len(DATA_CENTRES) if has_hubs else 0)


def summarise(rates: list[dict[str, float]], hubs: int) -> dict[str, float]:
    """Return the figures of one fleet.

    Args:
        rates: Rates of each instance; those of the hubs come first.
        hubs: Number of hubs.
    """
    plain = rates[hubs:] or rates
    totals = [rate["sent"] + rate["received"] for rate in plain]
    figures = {
        "sent_bytes_per_second": sum(rate["sent"] for rate in plain) / len(plain),
        "received_bytes_per_second": sum(rate["received"] for rate in plain)
        / len(plain),
        "largest_bytes_per_second": max(totals),
        "cpu_fraction": sum(rate["cpu"] for rate in plain) / len(plain),
    }
    if hubs:
        hub_rates = rates[:hubs]
        largest = max(rate["sent"] + rate["received"] for rate in hub_rates)
        figures["hub_largest_bytes_per_second"] = largest
        figures["hub_cpu_fraction"] = max(rate["cpu"] for rate in hub_rates)
    return {key: round(value, 5) for key, value in figures.items()}


async def apply_tree(session: ClientSession, fleet: Fleet) -> None:
    """Apply the tree through the first instance, with retries until a leader exists.

    Raises:
        SystemExit: 30 attempts failed.
    """
    await fleet.wait_up()
    first = next(iter(fleet.instances.values()))
    change = {"change_id": "links", "base_revision": 0, "declared": TREE}
    headers = {"Authorization": f"Bearer {fleet.keys.operator}"}
    url = f"{first.operators_url}/tree/changes"
    for _ in range(30):
        async with session.post(url, json=change, headers=headers) as answer:
            if answer.status == 200:
                return
        await asyncio.sleep(0.5)
    raise SystemExit("the tree was not accepted")


async def run(sizes: list[int], seconds: float) -> dict[str, dict[str, float]]:
    """Return the figures of all sizes, as a mesh and behind hubs."""
    figures = {}
    for instances in sizes:
        for has_hubs in (False, True):
            name = f"{'hubs' if has_hubs else 'mesh'}-{instances}"
            figures[name] = await measure(instances, has_hubs, seconds)
            print(name, figures[name], flush=True)
    return figures


def main() -> None:
    """Run the benchmark and print its JSON object on the last line."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[14, 28, 42])
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    print(json.dumps(asyncio.run(run(options.sizes, options.seconds))))


if __name__ == "__main__":
    main()
