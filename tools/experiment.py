"""Policies of placement side by side, on engines in virtual time.

    python -m tools.experiment [--plots FOLDER]

Each pattern is played with each policy; a row says how many first events came in time,
how late the slowest tenth was, and how much of shared parts was read again.
"""

import argparse
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

from sesameford.gateway import engine_choice
from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.load_report import report_interval_seconds
from standins.virtual_engines import (
    Arrival,
    EngineFigures,
    Outcome,
    make_virtual_engines,
)

PLAYED_SECONDS = 20.0
# Of the drafting work: a long prompt of a subject, a short one, and a label for a text.
# Each with shared and own tokens, tokens out, objective, and its part of all requests.
KINDS = (
    (5_400, 6_600, 385, 0.6, 0.23),
    (200, 630, 290, 0.25, 0.36),
    (570, 1_800, 20, 0.25, 0.41),
)
SUBJECTS = 150
HOT_PART = 0.3


@dataclass(frozen=True, slots=True)
class Fleet:
    """How many routers and engines, and requests a second for each engine."""

    name: str
    routers: int
    engines: int
    requests_per_second: float


FLEETS = (Fleet("small", 8, 9, 22.0), Fleet("grown", 75, 30, 22.0))


@dataclass(frozen=True, slots=True)
class Row:
    """What one play showed."""

    pattern: str
    policy: str
    in_time: float
    late_tenth_seconds: float
    again_part: float
    busiest_part: float


def steady(fleet: Fleet, random: Random) -> Iterator[Arrival]:
    """Requests come evenly, each kind with its part."""
    yield from _arrivals(fleet, random, lambda at: 1.0, lambda at: 0.0)


def burst(fleet: Fleet, random: Random) -> Iterator[Arrival]:
    """For three seconds twice as many requests come."""
    yield from _arrivals(
        fleet, random, lambda at: 2.0 if 8.0 < at < 11.0 else 1.0, lambda at: 0.0
    )


def hot_subject(fleet: Fleet, random: Random) -> Iterator[Arrival]:
    """For six seconds three in ten requests are about one subject."""
    yield from _arrivals(
        fleet, random, lambda at: 1.0, lambda at: HOT_PART if 6.0 < at < 12.0 else 0.0
    )


PATTERNS: tuple[Callable[[Fleet, Random], Iterator[Arrival]], ...] = (
    steady,
    burst,
    hot_subject,
)


def _arrivals(
    fleet: Fleet,
    random: Random,
    factor: Callable[[float], float],
    hot: Callable[[float], float],
) -> Iterator[Arrival]:
    at_seconds = 0.0
    rate = fleet.engines * fleet.requests_per_second
    number = 0
    while at_seconds < PLAYED_SECONDS:
        at_seconds += random.expovariate(rate * factor(at_seconds))
        number += 1
        kind = random.choices(range(len(KINDS)), [one[4] for one in KINDS])[0]
        shared, own, output_tokens, objective_seconds, _ = KINDS[kind]
        subject = random.randrange(SUBJECTS * fleet.engines // 9)
        if random.random() < hot(at_seconds):
            subject = 0
        own = max(int(random.lognormvariate(0.0, 1.0) * own / 1.65), 10)
        parts = (
            PromptPart(1 + kind + len(KINDS) * subject, shared),
            PromptPart(10**9 + number, own),
        )
        prompt = Prompt("m", shared + own, output_tokens, parts)
        router = random.randrange(fleet.routers)
        yield Arrival(at_seconds, router, prompt, output_tokens, objective_seconds)


@contextmanager
def _looking_at(home_engines: int, random_engines: int) -> Iterator[None]:
    """Let placement look at so many engines meanwhile."""
    before = engine_choice.HOME_ENGINES, engine_choice.RANDOM_ENGINES
    engine_choice.HOME_ENGINES, engine_choice.RANDOM_ENGINES = (
        home_engines,
        random_engines,
    )
    try:
        yield
    finally:
        engine_choice.HOME_ENGINES, engine_choice.RANDOM_ENGINES = before


POLICIES = {
    "home only": (1, 0, True),
    "all engines": (10_000, 0, True),
    "all, no copies": (10_000, 0, False),
    "three and two by lot": (3, 2, True),
    "home and two by lot": (1, 2, True),
}


def play(
    fleet: Fleet,
    pattern: Callable[[Fleet, Random], Iterator[Arrival]],
    policy: str,
    seed: int = 1,
) -> list[Outcome]:
    """Play one pattern with one policy.

    Args:
        fleet: How many routers and engines.
        pattern: What is asked.
        policy: One of ``POLICIES``.
        seed: For what is drawn.
    """
    near, lot, copies = POLICIES[policy]
    tell_seconds = report_interval_seconds(fleet.routers)
    figures = EngineFigures(copy_tokens_per_second=400_000.0 if copies else None)
    with _looking_at(near, lot):
        engines = make_virtual_engines(
            fleet.routers, fleet.engines, figures, tell_seconds
        )
        return engines.play(list(pattern(fleet, Random(seed))))


def summed_up(pattern: str, policy: str, outcomes: list[Outcome]) -> Row:
    """Return the row of one play."""
    waits = sorted(one.first_event_seconds for one in outcomes)
    counts: dict[str, int] = {}
    for one in outcomes:
        counts[one.target_id] = counts.get(one.target_id, 0) + one.read_tokens
    read = sum(counts.values())
    return Row(
        pattern,
        policy,
        sum(one.is_in_time for one in outcomes) / len(outcomes),
        waits[int(0.9 * len(waits))],
        sum(one.again_tokens for one in outcomes) / read,
        max(counts.values()) * len(counts) / read,
    )


def _plot(fleet: Fleet, rows: list[Row], folder: Path) -> None:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    patterns = [pattern.__name__ for pattern in PATTERNS]
    width = 0.8 / len(POLICIES)
    for place, policy in enumerate(POLICIES):
        heights = [row.in_time for row in rows if row.policy == policy]
        spots = [number + place * width for number in range(len(heights))]
        axes.bar(spots, heights, width, label=policy)
    axes.set_xticks([number + 0.4 for number in range(len(patterns))])
    axes.set_xticklabels(patterns)
    axes.set_ylabel("first events in time")
    axes.set_title(f"{fleet.name}: {fleet.routers} routers, {fleet.engines} engines")
    axes.legend()
    figure.savefig(folder / f"placement-{fleet.name}.png", dpi=90)


def main() -> None:
    """Print the table, and draw it where a folder is given."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--plots", type=Path, help="a folder for plots")
    arguments = parser.parse_args()
    print(f"{'fleet':7} {'pattern':12} {'policy':24} in time  p90 s  again  busiest")
    for fleet in FLEETS:
        rows = []
        for pattern in PATTERNS:
            for policy in POLICIES:
                outcomes = play(fleet, pattern, policy)
                row = summed_up(pattern.__name__, policy, outcomes)
                rows.append(row)
                print(
                    f"{fleet.name:7} {row.pattern:12} {row.policy:24} "
                    f"{row.in_time:7.3f} {row.late_tenth_seconds:6.3f} "
                    f"{row.again_part:6.3f} {row.busiest_part:8.2f}",
                    flush=True,
                )
        if arguments.plots is not None:
            arguments.plots.mkdir(parents=True, exist_ok=True)
            _plot(fleet, rows, arguments.plots)


if __name__ == "__main__":
    main()
