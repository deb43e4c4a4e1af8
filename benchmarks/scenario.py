"""Runs one deployment under one scheduler through all phases and measures it."""

import asyncio
import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from benchmarks.measure import (
    Mistakes,
    Sample,
    cost_units,
    count_mistakes,
    service_gap,
    starved_customers,
    utilisation_while_backlogged,
)
from sesameford.effective import FleetSettings, ModelSettings
from sesameford.gap_bound import gap_bound
from standins.batch import TOKEN_CHARACTERS
from tools.client import Work, request_completion
from tools.demo import apply_tree, wait_for_targets
from tools.fleet import Fleet
from tools.load import (
    COST_HIGH_TOKENS,
    MARK_CHARACTERS,
    PROMPT_CHARACTERS,
    Load,
    Phase,
    Sent,
    make_customers,
)
from tools.members import Member
from tools.prometheus import Metrics, read_metrics
from tools.shapes import Shape
from tools.trees import Customer, make_tree

SAMPLE_SECONDS = 0.25
SEED = 20261
CALM_PAIRS_PER_SECOND = 15.0
CALM_TOKENS = 2
DOWN_SECONDS = 1.0
QUEUED_REQUESTS = 60
DEADLINE_SECONDS = 20.0
SETTLE_SECONDS = 2.0


@dataclass(slots=True)
class Run:
    """The settings and all measurements of one run.

    ``control`` holds the rates of control traffic by phase; ``direct_seconds`` and
    ``through_seconds`` are times to the first token, at an engine and through an
    instance. ``killed`` is the id of the restarted instance with the monotonic times
    of its kill and of its return.
    """

    shape: Shape
    variant: str
    customers: Sequence[Customer]
    phases: Sequence[Phase]
    samples: list[Sample] = field(default_factory=list)
    phase_starts: list[tuple[str, float]] = field(default_factory=list)
    control: dict[str, dict[str, float]] = field(default_factory=dict)
    direct_seconds: list[float] = field(default_factory=list)
    through_seconds: list[float] = field(default_factory=list)
    sent: Sequence[Sent] = ()
    mistakes: Mistakes | None = None
    first_token_percentiles: Mapping[str, float] = field(default_factory=dict)
    killed: tuple[str, float, float] = ("", 0.0, 0.0)
    exit_codes: Mapping[str, int] = field(default_factory=dict)

    @property
    def shares(self) -> Mapping[str, float]:
        """Return the share of each customer by its name."""
        return {customer.name: customer.share for customer in self.customers}

    def phase_samples(self, *names: str) -> Sequence[Sample]:
        """Return the samples of some phases."""
        return [sample for sample in self.samples if sample.phase in names]

    def unpartitioned_spans(self) -> Sequence[Sequence[Sample]]:
        """Return the spans of samples during which the network was not partitioned."""
        spans: list[list[Sample]] = [[]]
        cut_phases = {phase.name for phase in self.phases if not phase.is_network_whole}
        for sample in self.samples:
            if sample.phase in cut_phases:
                spans.append([])
            else:
                spans[-1].append(sample)
        return [span for span in spans if len(span) > 1]


async def run_variant(
    shape: Shape,
    variant: str,
    phases: Sequence[Phase],
    calm_seconds: float,
    folder: Path,
) -> Run:
    """Run one deployment under one scheduler.

    Args:
        shape: The deployment.
        variant: ``sesameford`` or ``independent``.
        phases: The phases of the load, in order.
        calm_seconds: How long to compare first tokens while capacity is free.
        folder: An empty folder for settings, logs and data.

    Returns:
        The measurements.
    """
    scheduler = "leased" if variant == "sesameford" else "independent"
    async with Fleet(shape, folder) as fleet:
        customers = make_customers(list(fleet.instances), SEED)
        run = Run(shape, variant, customers, phases)
        await fleet.wait_up()
        tree = make_tree(
            shape,
            customers,
            scheduler,
            deadline_seconds=DEADLINE_SECONDS,
            limits={"queued_requests": QUEUED_REQUESTS},
        )
        await apply_tree(fleet, tree)
        await wait_for_targets(fleet)
        await fleet.wait_ready()
        async with ClientSession(
            connector=TCPConnector(limit=0), timeout=ClientTimeout(total=5)
        ) as session:
            await _compare_first_tokens(run, fleet, session, calm_seconds)
            await _run_phases(run, fleet, session)
            reports = await _read_counts(fleet, session, marks=True)
        run.mistakes = count_mistakes(run.sent, reports, _marks_open_at_kill(run))
        run.exit_codes = dict(await fleet.stop_all())
    return run


async def _compare_first_tokens(
    run: Run, fleet: Fleet, session: ClientSession, seconds: float
) -> None:
    """Measure the time to the first token, directly and through an instance in turn."""
    order = random.Random(SEED)
    engines = [m for m in fleet.targets.values() if m.kind == "engine"]
    instances = list(fleet.instances.values())
    pairs = int(seconds * CALM_PAIRS_PER_SECOND)
    warm_up = len(instances) + len(engines)
    for number in range(-warm_up, pairs):
        customer = run.customers[number % len(run.customers)]
        direct = engines[number % len(engines)].url
        through = instances[number % len(instances)].url
        ways = [
            ("direct", direct, run.direct_seconds),
            ("through", through, run.through_seconds),
        ]
        order.shuffle(ways)
        for way, url, results in ways:
            work = Work(
                f"calm{number}.{way}",
                customer.name,
                run.shape.models[0],
                CALM_TOKENS,
            )
            answer = await request_completion(session, url, customer.key, work)
            if number >= 0 and answer.complete:
                results.append(answer.first_token_seconds)


async def _run_phases(run: Run, fleet: Fleet, session: ClientSession) -> None:
    """Send the load through all phases while sampling."""
    urls = {member.member_id: member.url for member in fleet.instances.values()}
    load = Load(run.shape, run.customers, urls, SEED)
    stopped = asyncio.Event()
    loading = asyncio.create_task(load.run(stopped))
    before = await _read_control(fleet, session)
    for phase in run.phases:
        load.set_phase(phase)
        run.phase_starts.append((phase.name, time.monotonic()))
        injecting = asyncio.create_task(_inject_fault(run, fleet, load, phase))
        await _sample_phase(run, fleet, session, load, phase)
        await injecting
        after = await _read_control(fleet, session)
        run.control[phase.name] = _control_rates(before, after)
        before = after
    stopped.set()
    await loading
    run.sent = list(load.sent)
    run.first_token_percentiles = {
        f"p{percent}": load.first_token.get_value_at_percentile(percent) / 1e6
        for percent in (50, 95, 99)
    }


async def _inject_fault(run: Run, fleet: Fleet, load: Load, phase: Phase) -> None:
    """Inject the fault of a phase: a kill, a partition or the end of the partition."""
    if phase.name == "restart":
        victim = next(iter(fleet.instances.values()))
        load.down_instances.add(victim.member_id)
        killed_at = time.monotonic()
        await fleet.restart_empty(victim, DOWN_SECONDS)
        await fleet.wait_ready([victim])
        load.down_instances.discard(victim.member_id)
        run.killed = (victim.member_id, killed_at, time.monotonic())
    elif phase.name == "cut":
        await fleet.cut(run.shape.data_centres[-1])
    elif phase.name == "healed":
        await fleet.heal(run.shape.data_centres[-1])


async def _sample_phase(
    run: Run, fleet: Fleet, session: ClientSession, load: Load, phase: Phase
) -> None:
    """Sample true service and backlog until the end of a phase."""
    end_at = time.monotonic() + phase.seconds
    while time.monotonic() < end_at:
        next_at = time.monotonic() + SAMPLE_SECONDS
        reports = await _read_counts(fleet, session, marks=False)
        run.samples.append(_make_sample(reports, load, phase))
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))


def _make_sample(
    reports: Sequence[Mapping[str, Any]], load: Load, phase: Phase
) -> Sample:
    """Return a sample with the sums of the engines' counts."""
    now_seconds = time.monotonic()
    service: dict[str, float] = {}
    busy, slots = 0.0, 0
    for report in reports:
        if report["kind"] != "model":
            continue
        busy += report["busy_slot_seconds"]
        slots += report["capacity_slots"]
        for name, counted in report["service"].items():
            service[name] = service.get(name, 0.0) + cost_units(counted)
    backlogged = load.backlogged(now_seconds)
    return Sample(now_seconds, phase.name, service, backlogged, busy, slots)


async def _read_counts(
    fleet: Fleet, session: ClientSession, marks: bool
) -> Sequence[Mapping[str, Any]]:
    """Return the counts of all targets, with those of each mark if ``marks`` is set."""

    async def read_member(member: Member) -> Mapping[str, Any]:
        url = f"{member.url}/counts?marks={int(marks)}"
        async with session.get(url) as response:
            report: Mapping[str, Any] = await response.json()
            return report

    return await asyncio.gather(
        *(read_member(member) for member in fleet.targets.values())
    )


async def _read_control(
    fleet: Fleet, session: ClientSession
) -> Mapping[str, tuple[float, float, float]]:
    """Return time, control bytes and control CPU seconds of each reachable instance."""
    readings = {}
    for member in fleet.instances.values():
        try:
            metrics: Metrics = await read_metrics(session, member.url)
        except (ClientError, TimeoutError, OSError):
            continue
        readings[member.member_id] = (
            time.monotonic(),
            _sent_bytes(metrics),
            metrics.total("sesameford_control_cpu_seconds_total"),
        )
    return readings


def _sent_bytes(metrics: Metrics) -> float:
    """Return the control bytes sent; each byte counts once, at its sender."""
    rows = metrics.rows("sesameford_control_bytes_total")
    return sum(value for labels, value in rows if labels["direction"] == "sent")


def _control_rates(
    before: Mapping[str, tuple[float, float, float]],
    after: Mapping[str, tuple[float, float, float]],
) -> dict[str, float]:
    """Return control bytes per second and CPU seconds per second, mean over instances.

    An instance that restarted between the readings counts from zero again and is left
    out.
    """
    bytes_rates, cpu_rates = [], []
    for member_id, (at, size, cpu) in after.items():
        old_at, old_size, old_cpu = before.get(member_id, (at, size, cpu))
        if at > old_at and size >= old_size and cpu >= old_cpu:
            bytes_rates.append((size - old_size) / (at - old_at))
            cpu_rates.append((cpu - old_cpu) / (at - old_at))
    return {
        "bytes": float(numpy.mean(bytes_rates)) if bytes_rates else 0.0,
        "cpu": float(numpy.mean(cpu_rates)) if cpu_rates else 0.0,
    }


def _marks_open_at_kill(run: Run) -> frozenset[str]:
    """Return the marks of the requests that were open at the killed instance."""
    member_id, killed_at, up_at = run.killed
    return frozenset(
        sent.mark
        for sent in run.sent
        if sent.instance_id == member_id
        and sent.sent_at_seconds <= up_at
        and (
            sent.answer is None
            or sent.sent_at_seconds + sent.answer.total_seconds >= killed_at
        )
    )


def bound_of(shape: Shape) -> float:
    """Return the derived bound on the service gap for the largest request of the load.

    The bound is in cost units per unit of share.
    """
    prompt_tokens = (PROMPT_CHARACTERS[1] + MARK_CHARACTERS) / TOKEN_CHARACTERS
    rates = ModelSettings("any")
    largest_cost_units = (
        COST_HIGH_TOKENS * rates.output_token_cost_units
        + prompt_tokens * rates.prompt_token_cost_units
    )
    return gap_bound(
        shape.engines * shape.engine_slots,
        shape.tokens_per_second * rates.output_token_cost_units,
        largest_cost_units,
        FleetSettings().quantum_cost_units,
    )


def figures_of(run: Run, bound: float) -> dict[str, Any]:
    """Return the figures of a run by their names in the JSON output."""
    gaps = [service_gap(span, run.shares) for span in run.unpartitioned_spans()]
    samples = [sample for span in run.unpartitioned_spans() for sample in span]
    phase_names = [phase.name for phase in run.phases if phase.is_network_whole]
    control = [run.control[name] for name in phase_names if name in run.control]
    mistakes = run.mistakes or Mistakes(0, 0, 0, 0, 0, {})
    added_seconds = None
    if run.direct_seconds and run.through_seconds:
        added_seconds = float(
            numpy.percentile(run.through_seconds, 95)
            - numpy.percentile(run.direct_seconds, 95)
        )
    return {
        "gap_max": max((gap.maximum for gap in gaps), default=0.0),
        "gap_p99": max((gap.p99 for gap in gaps), default=0.0),
        "gap_bound": bound,
        "utilisation_while_backlogged": utilisation_while_backlogged(samples),
        "control_bytes_per_instance_second": _mean(control, "bytes"),
        "control_cpu_fraction": _mean(control, "cpu"),
        "first_token_added_p95_seconds": added_seconds,
        "starved_customers": len(starved_customers(run.samples)),
        "lost": mistakes.lost,
        "doubled": mistakes.doubled,
        "crossed": mistakes.crossed,
        "false_not_run": mistakes.false_not_run,
        "unknown": mistakes.unknown,
        "requests": len(run.sent),
        "not_stopped": sum(1 for code in run.exit_codes.values() if code),
    }


def _mean(rows: Sequence[Mapping[str, float]], name: str) -> float | None:
    """Return the mean of a field over all rows, or None without rows."""
    return float(numpy.mean([row[name] for row in rows])) if rows else None
