"""Who got what in each second, from the logs of all instances, and who got too little.

    python -m tools.shares_report LOG... [--customer NAME] [--after S] [--from S]

Reads the lines ``shares served`` and ``shares limited``; what stands before the JSON
object of a line is passed over. Seconds count from ``--after`` seconds after the first
``started`` line.
"""

import argparse
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from math import floor
from pathlib import Path

from msgspec import DecodeError
from msgspec.json import decode

# The stated aim: in six seconds nobody who waits gets less than half of what it asked
# or of what the best served customer got, whichever is less.
WINDOW_SECONDS = 6
FAIR_PART = 0.5
THOUSAND = 1_000


@dataclass(slots=True)
class CustomerSecond:
    """What one customer asked and got in one second, in thousands of tokens."""

    requests: int = 0
    asked: float = 0.0
    open: float = 0.0
    share: float = 0.0
    room: float = 0.0
    begun: float = 0.0
    told: list[float] = field(default_factory=list)

    @property
    def refused(self) -> float:
        """What was turned away."""
        return max(self.asked - self.open - self.share - self.room, 0.0)


@dataclass(slots=True)
class Second:
    """What all instances told in one second."""

    customers: dict[str, CustomerSecond] = field(
        default_factory=lambda: defaultdict(CustomerSecond)
    )
    routers_by_replica: Counter[str] = field(default_factory=Counter)
    oldest_seconds: float = 0.0
    limits: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TooLittle:
    """A customer that was treated unfairly in a window that begins at a second."""

    second: int
    customer: str
    asked: float
    begun: float
    best: float


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, str]]:
    """Return the JSON objects at the ends of lines; others are passed over."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                begin = line.find("{")
                if begin < 0 or not ("shares " in line or "started" in line):
                    continue
                try:
                    yield decode(line[begin:], type=dict[str, str])
                except DecodeError:
                    # A line that was cut, or of another writer, tells of no shares.
                    continue


def by_second(
    entries: Iterable[dict[str, str]], after_seconds: float
) -> dict[int, Second]:
    """Return what was told, by second.

    Args:
        entries: Of all instances.
        after_seconds: When the first second begins, after the first start.
    """
    told = [
        (datetime.fromisoformat(entry["at"]).timestamp(), entry)
        for entry in entries
        if "at" in entry
    ]
    begins = [at for at, entry in told if entry["message"] == "started"]
    begin = min(begins or [at for at, _ in told], default=0.0)
    seconds: dict[int, Second] = defaultdict(Second)
    for at, entry in told:
        second = seconds[floor(at - begin - after_seconds)]
        if entry["message"] == "shares served":
            _add_served(second, entry)
        elif entry["message"] == "shares limited":
            second.limits.append(
                f"{entry['instance']}: {entry.get('routers', '?')} routers, capacity "
                f"{entry['capacity_tokens']}, asked {entry['asked_tokens']}, wait "
                f"{entry.get('wait_seconds', '?')}"
            )
    return seconds


def _add_served(second: Second, entry: dict[str, str]) -> None:
    second.routers_by_replica[entry["replica"]] += 1
    age_seconds = float(entry["age_seconds"])
    second.oldest_seconds = max(second.oldest_seconds, age_seconds)
    for text in entry["customers"].split():
        name, told, requests, *figures = text.split(":")
        customer = second.customers[name]
        customer.told.append(float(told))
        customer.requests += int(requests)
        asked, is_open, share, room, begun = map(float, figures)
        customer.asked += asked
        customer.open += is_open
        customer.share += share
        customer.room += room
        customer.begun += begun


def too_little(seconds: dict[int, Second]) -> list[TooLittle]:
    """Return who was refused in each second of a window and got too little in it."""
    found = []
    for begin in sorted(seconds):
        window = [seconds.get(begin + step) for step in range(WINDOW_SECONDS)]
        rows = [one.customers for one in window if one is not None]
        if len(rows) < WINDOW_SECONDS:
            continue
        names = {name for row in rows for name in row}
        best = max(
            (sum(row[name].begun for row in rows if name in row) for name in names),
            default=0.0,
        )
        for name in sorted(names):
            if any(name not in row or row[name].refused <= 0.0 for row in rows):
                continue
            asked = sum(row[name].asked for row in rows)
            begun = sum(row[name].begun for row in rows)
            if begun < FAIR_PART * min(asked, best):
                found.append(TooLittle(begin, name, asked, begun, best))
    return found


def _print_second(number: int, second: Second, only: str | None) -> None:
    replicas = ", ".join(
        f"{name or 'nobody'} {count}"
        for name, count in second.routers_by_replica.items()
    )
    print(f"{number:4} s  followed: {replicas}; oldest {second.oldest_seconds:.2f} s")
    for limit in second.limits:
        print(f"        {limit}")
    customers = sorted(second.customers.items(), key=lambda one: -one[1].asked)
    for name, one in customers:
        if only is not None and name != only:
            continue
        told = sorted(one.told)
        print(
            f"        {name:12} {one.requests:5} requests, asked {one.asked:8.1f}, "
            f"open {one.open:7.1f}, share {one.share:7.1f}, room {one.room:7.1f}, "
            f"begun {one.begun:7.1f}; told {told[0]:.2f} to {told[-1]:.2f} "
            f"at {len(told)}"
        )


def main() -> None:
    """Print what the logs tell."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--customer", help="only this one")
    parser.add_argument("--after", type=float, default=0.0, help="seconds")
    parser.add_argument("--from", dest="begin", type=int, default=0, help="second")
    parser.add_argument("--to", dest="end", type=int, default=1 << 30, help="second")
    args = parser.parse_args()
    seconds = by_second(read_lines(args.logs), args.after)
    for number in sorted(seconds):
        if args.begin <= number <= args.end:
            _print_second(number, seconds[number], args.customer)
    for one in too_little(seconds):
        print(
            f"too little: {one.customer} from {one.second} s: asked {one.asked:.0f}, "
            f"begun {one.begun:.0f}, best {one.best:.0f} (thousands of tokens)"
        )


if __name__ == "__main__":
    main()
