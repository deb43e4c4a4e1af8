"""Runs every Hypothesis state machine of the tests with random seeds for some time.

Each round runs one state machine with a new seed. A failure is printed with its seed
and is reproduced by ``python -m tools.fuzz --machine NAME --seed N``.
"""

import argparse
import random
import sys
import time
import traceback
from collections import Counter
from collections.abc import Iterator
from importlib import import_module
from inspect import getmembers, isclass
from pathlib import Path

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

TESTS_FOLDER = Path(__file__).resolve().parent.parent / "tests"
EXAMPLES_PER_ROUND = 10
STEPS_PER_EXAMPLE = 100
SEED_BITS = 48


def find_state_machines() -> list[type[RuleBasedStateMachine]]:
    """Return the state machines of all test modules, each once."""
    found: list[type[RuleBasedStateMachine]] = []
    for file in sorted(TESTS_FOLDER.glob("test_*.py")):
        module = import_module(f"tests.{file.stem}")
        for name, member in getmembers(module, isclass):
            if member.__module__ != module.__name__ or name.startswith("_"):
                continue
            if issubclass(member, RuleBasedStateMachine):
                found.append(member)
    return found


def make_counting_machine(
    machine: type[RuleBasedStateMachine], steps: Counter[str]
) -> type[RuleBasedStateMachine]:
    """Return a subclass of a state machine that counts its steps under its name."""

    class Counting(machine):  # type: ignore[misc, valid-type]
        def check_invariants(self, *arguments: object, **options: object) -> None:
            steps[machine.__name__] += 1
            super().check_invariants(*arguments, **options)

    Counting.__name__ = Counting.__qualname__ = machine.__name__
    return Counting


def run_round(
    machine: type[RuleBasedStateMachine],
    round_seed: int,
    steps: Counter[str],
    shrink: bool,
) -> bool:
    """Run one state machine with one seed and print a failure.

    Args:
        machine: The state machine.
        round_seed: The seed.
        steps: Counts the steps by the name of the machine.
        shrink: Whether to search for a shorter failing example.

    Returns:
        Whether no example failed.
    """
    phases = [Phase.generate, Phase.shrink] if shrink else [Phase.generate]
    options = settings(
        max_examples=EXAMPLES_PER_ROUND,
        stateful_step_count=STEPS_PER_EXAMPLE,
        derandomize=False,
        database=None,
        deadline=None,
        print_blob=True,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    seeded = seed(round_seed)(make_counting_machine(machine, steps))
    try:
        run_state_machine_as_test(seeded, settings=options)
    except Exception:
        traceback.print_exc()
        print(f"FAILED {machine.__name__} --seed {round_seed}", flush=True)
        return False
    return True


def schedule_rounds(
    machines: list[type[RuleBasedStateMachine]], end_at_seconds: float
) -> Iterator[type[RuleBasedStateMachine]]:
    """Yield the state machines in turn until a monotonic time, each at least once."""
    yield from machines
    while time.monotonic() < end_at_seconds:
        for machine in machines:
            if time.monotonic() < end_at_seconds:
                yield machine


def main() -> int:
    """Run the command line and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--machine", help="run only the machines so named")
    parser.add_argument("--seed", type=int, help="run one round under this seed")
    parser.add_argument("--shrink", action="store_true")
    arguments = parser.parse_args()
    machines = [
        machine
        for machine in find_state_machines()
        if arguments.machine in (None, machine.__name__)
    ]
    steps: Counter[str] = Counter()
    if arguments.seed is not None:
        passed = [
            run_round(m, arguments.seed, steps, arguments.shrink) for m in machines
        ]
        return 0 if all(passed) else 1
    failures = 0
    seed_source = random.SystemRandom()
    for machine in schedule_rounds(machines, time.monotonic() + arguments.seconds):
        round_seed = seed_source.getrandbits(SEED_BITS)
        failures += not run_round(machine, round_seed, steps, arguments.shrink)
    for name, count in sorted(steps.items()):
        print(f"{name}: {count} steps")
    print(f"{sum(steps.values())} steps, {failures} failed rounds")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
