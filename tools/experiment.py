"""Compares placement policies on simulated engines in virtual time.

    python -m tools.experiment [--plots FOLDER]

Each load pattern is simulated with each policy. A row shows the fraction of first
events within the objective, the 90th percentile of their delay, the fraction of prompt
tokens that were read again, and the tokens read by the busiest engine relative to the
mean.
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

SIMULATED_SECONDS = 20.0
# Kinds of drafting requests: a long prompt about a subject, a short one, and a label
# for a text. Each has shared tokens, own tokens, output tokens, objective in seconds,
# and its fraction of all requests.
REQUEST_KINDS = (
    (5_400, 6_600, 385, 0.6, 0.23),
    (200, 630, 290, 0.25, 0.36),
    (570, 1_800, 20, 0.25, 0.41),
)
SUBJECTS = 150
HOT_SUBJECT_FRACTION = 0.3


@dataclass(frozen=True, slots=True)
class Fleet:
    """Numbers of routers and engines; ``requests_per_second`` is for each engine."""

    name: str
    routers: int
    engines: int
    requests_per_second: float


FLEETS = (Fleet("small", 8, 9, 22.0), Fleet("grown", 75, 30, 22.0))


@dataclass(frozen=True, slots=True)
class Row:
    """Result of one simulation.

    ``in_time`` is the fraction of requests within the objective, ``reread_fraction``
    the fraction of prompt tokens that were read again, ``busiest_ratio`` the tokens
    read by the busiest engine relative to the mean.
    """

    pattern: str
    policy: str
    in_time: float
    p90_seconds: float
    reread_fraction: float
    busiest_ratio: float


def steady(fleet: Fleet, random: Random) -> Iterator[Arrival]:
    """Yield requests at a constant rate."""
    yield from _arrivals(fleet, random, lambda at_seconds: 1.0, lambda at_seconds: 0.0)


def burst(fleet: Fleet, random: Random) -> Iterator[Arrival]:
    """Yield requests at a rate that doubles for three seconds."""
    yield from _arrivals(
        fleet,
        random,
        lambda at_seconds: 2.0 if 8.0 < at_seconds < 11.0 else 1.0,
        lambda at_seconds: 0.0,
    )


def hot_subject(fleet: Fleet, random: Random) -> Iterator[Arrival]:
    """Yield requests of which 3 in 10 are about one subject for six seconds."""
    yield from _arrivals(
        fleet,
        random,
        lambda at_seconds: 1.0,
        lambda at_seconds: HOT_SUBJECT_FRACTION if 6.0 < at_seconds < 12.0 else 0.0,
    )


PATTERNS: tuple[Callable[[Fleet, Random], Iterator[Arrival]], ...] = (
    steady,
    burst,
    hot_subject,
)


def _arrivals(
    fleet: Fleet,
    random: Random,
    rate_factor: Callable[[float], float],
    hot_fraction: Callable[[float], float],
) -> Iterator[Arrival]:
    at_seconds = 0.0
    rate = fleet.engines * fleet.requests_per_second
    number = 0
    while at_seconds < SIMULATED_SECONDS:
        at_seconds += random.expovariate(rate * rate_factor(at_seconds))
        number += 1
        kind = random.choices(
            range(len(REQUEST_KINDS)), [fields[4] for fields in REQUEST_KINDS]
        )[0]
        shared, own, output_tokens, objective_seconds, _ = REQUEST_KINDS[kind]
        subject = random.randrange(SUBJECTS * fleet.engines // 9)
        if random.random() < hot_fraction(at_seconds):
            subject = 0
        own = max(int(random.lognormvariate(0.0, 1.0) * own / 1.65), 10)
        parts = (
            PromptPart(1 + kind + len(REQUEST_KINDS) * subject, shared),
            PromptPart(10**9 + number, own),
        )
        prompt = Prompt("m", shared + own, output_tokens, parts)
        router = random.randrange(fleet.routers)
        yield Arrival(at_seconds, router, prompt, output_tokens, objective_seconds)


@contextmanager
def _considered_engines(home_engines: int, random_engines: int) -> Iterator[None]:
    """Set how many engines placement considers, for the time of the context."""
    original = engine_choice.HOME_ENGINES, engine_choice.RANDOM_ENGINES
    engine_choice.HOME_ENGINES, engine_choice.RANDOM_ENGINES = (
        home_engines,
        random_engines,
    )
    try:
        yield
    finally:
        engine_choice.HOME_ENGINES, engine_choice.RANDOM_ENGINES = original


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
    """Simulate one pattern with one policy.

    Args:
        fleet: Numbers of routers and engines, and the request rate.
        pattern: Returns the arrivals.
        policy: One of ``POLICIES``.
        seed: Seed of the arrivals.

    Returns:
        The outcome of each request.
    """
    home_engines, random_engines, copies = POLICIES[policy]
    interval_seconds = report_interval_seconds(fleet.routers)
    figures = EngineFigures(copy_tokens_per_second=400_000.0 if copies else None)
    with _considered_engines(home_engines, random_engines):
        engines = make_virtual_engines(
            fleet.routers, fleet.engines, figures, interval_seconds
        )
        return engines.play(list(pattern(fleet, Random(seed))))


def make_row(pattern: str, policy: str, outcomes: list[Outcome]) -> Row:
    """Return the row of one simulation."""
    delays_seconds = sorted(outcome.first_event_seconds for outcome in outcomes)
    read_tokens_by_target: dict[str, int] = {}
    for outcome in outcomes:
        read_tokens_by_target[outcome.target_id] = (
            read_tokens_by_target.get(outcome.target_id, 0) + outcome.read_tokens
        )
    total_read_tokens = sum(read_tokens_by_target.values())
    return Row(
        pattern,
        policy,
        sum(outcome.is_in_time for outcome in outcomes) / len(outcomes),
        delays_seconds[int(0.9 * len(delays_seconds))],
        sum(outcome.reread_tokens for outcome in outcomes) / total_read_tokens,
        max(read_tokens_by_target.values())
        * len(read_tokens_by_target)
        / total_read_tokens,
    )


def _plot(fleet: Fleet, rows: list[Row], folder: Path) -> None:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    patterns = [pattern.__name__ for pattern in PATTERNS]
    width = 0.8 / len(POLICIES)
    for position, policy in enumerate(POLICIES):
        heights = [row.in_time for row in rows if row.policy == policy]
        positions = [number + position * width for number in range(len(heights))]
        axes.bar(positions, heights, width, label=policy)
    axes.set_xticks([number + 0.4 for number in range(len(patterns))])
    axes.set_xticklabels(patterns)
    axes.set_ylabel("first events in time")
    axes.set_title(f"{fleet.name}: {fleet.routers} routers, {fleet.engines} engines")
    axes.legend()
    figure.savefig(folder / f"placement-{fleet.name}.png", dpi=90)


def main() -> None:
    """Print the table, and write plots where a folder is given."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--plots", type=Path, help="a folder for plots")
    arguments = parser.parse_args()
    print(f"{'fleet':7} {'pattern':12} {'policy':24} in time  p90 s  again  busiest")
    for fleet in FLEETS:
        rows = []
        for pattern in PATTERNS:
            for policy in POLICIES:
                outcomes = play(fleet, pattern, policy)
                row = make_row(pattern.__name__, policy, outcomes)
                rows.append(row)
                print(
                    f"{fleet.name:7} {row.pattern:12} {row.policy:24} "
                    f"{row.in_time:7.3f} {row.p90_seconds:6.3f} "
                    f"{row.reread_fraction:6.3f} {row.busiest_ratio:8.2f}",
                    flush=True,
                )
        if arguments.plots is not None:
            arguments.plots.mkdir(parents=True, exist_ok=True)
            _plot(fleet, rows, arguments.plots)


if __name__ == "__main__":
    main()
