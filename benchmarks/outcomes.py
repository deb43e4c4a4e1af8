"""Measures the reaction of real daemons to faults: ``python -m benchmarks.outcomes``.

It measures the time from a target's leave or silent death to the last request that any
router sends to it, the share of retries in an outage, and how long a silent stream
takes to resume. The last line printed is one flat JSON object. A run takes about 40
seconds.
"""

import asyncio
import json
import shutil
import signal
import sys
import time
from statistics import median

import yaml
from aiohttp import ClientSession, ClientTimeout, TCPConnector

from tools.demo import apply_tree, wait_for_targets
from tools.faulty_fleet import FaultyFleet
from tools.prometheus import read_metrics
from tools.shapes import ROOT, Shape
from tools.trees import Customer, make_tree

RUN_FOLDER = ROOT / "run" / "outcomes"
SHAPE = Shape("outcomes", ("a", "b", "c"), 6, 3, 1, 4, tokens_per_second=100.0)
CALLERS = 12
PAUSE_SECONDS = 0.02
SILENCE_SECONDS = 1.0
SILENT_STREAMS = 8
OBSERVATION_SECONDS = 7.0
OUTAGE_SECONDS = 5.0


class Bench:
    """The fleet under a steady load of lookups."""

    def __init__(self, fleet: FaultyFleet, customer: Customer) -> None:
        self.fleet = fleet
        self.headers = {
            "Authorization": f"Bearer {customer.key}",
            "Sesameford-Deadline-Seconds": "4",
        }
        self.figures: dict[str, float] = {}
        self._finished = asyncio.Event()

    async def run(self) -> None:
        """Measure all figures."""
        async with ClientSession(connector=TCPConnector(limit=0)) as session:
            callers = [
                asyncio.create_task(self._look_up(session, number))
                for number in range(CALLERS)
            ]
            await asyncio.sleep(2.0)
            await self._measure_leave()
            await self._measure_silent_death()
            await self._measure_outage(session)
            self._finished.set()
            await asyncio.gather(*callers)
            await self._measure_silent_streams(session)

    async def _look_up(self, session: ClientSession, number: int) -> None:
        members = list(self.fleet.instances.values())
        count = 0
        while not self._finished.is_set():
            member = members[(number + count) % len(members)]
            count += 1
            url = f"{member.url}/services/{SHAPE.service_names[0]}/x?mark=m{number}"
            async with session.get(url, headers=self.headers) as answer:
                await answer.read()
            await asyncio.sleep(PAUSE_SECONDS)

    async def _measure_leave(self) -> None:
        """Stop a service gracefully, so that it announces its leave."""
        target = self.fleet.targets["service1-a"]
        started_at = time.monotonic()
        assert target.process is not None
        target.process.terminate()
        self.figures["leave_to_last_new_work_seconds"] = await self._last_request(
            "service1", started_at
        )

    async def _measure_silent_death(self) -> None:
        """Freeze a service with SIGSTOP.

        The kernel still accepts connections for it, but the service answers nothing
        and renews no lease.
        """
        target = self.fleet.targets["service2-b"]
        started_at = time.monotonic()
        assert target.process is not None
        target.process.send_signal(signal.SIGSTOP)
        self.figures[
            "silent_death_to_last_new_work_seconds"
        ] = await self._last_request("service2", started_at)
        target.process.send_signal(signal.SIGCONT)

    async def _last_request(self, name: str, started_at: float) -> float:
        """Return the seconds from a time to the last request sent to a target.

        They are negative if the last request was sent before that time.
        """
        await asyncio.sleep(OBSERVATION_SECONDS)
        sent = self.fleet.proxies[name].requests_at_seconds
        return max(sent) - started_at

    async def _measure_outage(self, session: ClientSession) -> None:
        """Kill all services and count the attempts during the outage."""
        initial = await self._read_attempts(session)
        await asyncio.sleep(OUTAGE_SECONDS)
        before = await self._read_attempts(session)
        usual = before[0] - initial[0]
        for target in self.fleet.targets.values():
            if target.kind == "service":
                await self.fleet.kill(target)
        await asyncio.sleep(OUTAGE_SECONDS)
        after = await self._read_attempts(session)
        firsts, retries = after[0] - before[0], after[1] - before[1]
        self.figures["outage_first_attempts"] = firsts
        self.figures["outage_retries"] = retries
        self.figures["usual_first_attempts"] = usual
        self.figures["outage_retries_per_usual_attempt"] = retries / max(usual, 1.0)
        for target in self.fleet.targets.values():
            if not target.alive:
                await self.fleet.launch(target)

    async def _read_attempts(self, session: ClientSession) -> tuple[float, float]:
        """Return the counts of first attempts and of retries over all instances."""
        firsts = retries = 0.0
        for member in self.fleet.instances.values():
            metrics = await read_metrics(session, member.url)
            firsts += metrics.total("sesameford_first_attempts_total")
            retries += metrics.total("sesameford_retries_total")
        return firsts, retries

    async def _measure_silent_streams(self, session: ClientSession) -> None:
        """Silence the connections of running streams and measure the gaps."""
        gaps = [await self._stream_gap(session, n) for n in range(SILENT_STREAMS)]
        recoveries = [gap - SILENCE_SECONDS for gap in gaps]
        self.figures["silent_stream_gap_seconds_median"] = median(gaps)
        self.figures["silent_stream_gap_seconds_max"] = max(gaps)
        self.figures["silent_stream_recovery_seconds_max"] = max(recoveries)

    async def _stream_gap(self, session: ClientSession, number: int) -> float:
        """Return the longest gap in seconds in a stream after its silencing."""
        members = list(self.fleet.instances.values())
        body = {
            "model": SHAPE.models[0],
            "prompt": f"#mark=s{number} #tokens=150",
            "stream": True,
        }
        gap, silenced, text = 0.0, False, b""
        last_at = time.monotonic()
        async with session.post(
            f"{members[number % len(members)].url}/v1/completions",
            json=body,
            headers=self.headers,
            timeout=ClientTimeout(total=20.0),
        ) as answer:
            async for part in answer.content.iter_any():
                now = time.monotonic()
                gap = max(gap, now - last_at) if silenced else 0.0
                last_at, text = now, text + part
                if not silenced and text.count(b"data:") >= 5:
                    self.fleet.silence()
                    silenced = True
        if not text.endswith(b"data: [DONE]\n\n"):
            raise SystemExit(f"a silent stream was not recovered: {text[-200:]!r}")
        return gap


async def run_bench() -> None:
    """Start the fleet, measure the figures and print them."""
    shutil.rmtree(RUN_FOLDER, ignore_errors=True)
    customer = Customer("desk", "staff", 1.0, ())
    fleet = FaultyFleet(SHAPE, RUN_FOLDER, is_proxied=lambda position: True)
    async with fleet:
        await fleet.wait_up()
        tree = yaml.safe_load(make_tree(SHAPE, (customer,), "leased"))
        tree["fleet"] |= {"silence_seconds": SILENCE_SECONDS}
        await apply_tree(fleet, yaml.safe_dump(tree))
        await fleet.wait_ready()
        await wait_for_targets(fleet)
        bench = Bench(fleet, customer)
        await bench.run()
    rounded = {name: round(value, 3) for name, value in bench.figures.items()}
    print(json.dumps(rounded), flush=True)


def main() -> int:
    """Run the measurement and return the exit code."""
    asyncio.run(run_bench())
    return 0


if __name__ == "__main__":
    sys.exit(main())
