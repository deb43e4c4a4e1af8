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

from standins.share_ledger import TooLittle, make_share_ledger


@dataclass(slots=True)
class CustomerSecond:
    """What one customer asked and got in one second, in thousands of tokens."""

    requests: int = 0
    asked: float = 0.0
    open: float = 0.0
    share: float = 0.0
    room: float = 0.0
    begun: float = 0.0
    fractions: list[float] = field(default_factory=list)

    @property
    def refused(self) -> float:
        """What was turned away."""
        return max(self.asked - self.open - self.share - self.room, 0.0)


@dataclass(slots=True)
class Second:
    """What all instances logged in one second."""

    customers: dict[str, CustomerSecond] = field(
        default_factory=lambda: defaultdict(CustomerSecond)
    )
    routers_by_replica: Counter[str] = field(default_factory=Counter)
    oldest_seconds: float = 0.0
    limits: list[str] = field(default_factory=list)


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
                    # A line that was cut, or of another writer, says nothing of shares.
                    continue


def by_second(
    entries: Iterable[dict[str, str]], after_seconds: float
) -> dict[int, Second]:
    """Return what was logged, by second.

    Args:
        entries: Of all instances.
        after_seconds: When the first second begins, after the first start.
    """
    logged = [
        (datetime.fromisoformat(entry["at"]).timestamp(), entry)
        for entry in entries
        if "at" in entry
    ]
    begins = [at for at, entry in logged if entry["message"] == "started"]
    begin = min(begins or [at for at, _ in logged], default=0.0)
    seconds: dict[int, Second] = defaultdict(Second)
    for at, entry in logged:
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
        name, fraction, requests, *figures = text.split(":")
        customer = second.customers[name]
        customer.fractions.append(float(fraction))
        customer.requests += int(requests)
        asked, is_open, share, room, begun = map(float, figures)
        customer.asked += asked
        customer.open += is_open
        customer.share += share
        customer.room += room
        customer.begun += begun


def too_little(seconds: dict[int, Second]) -> list[TooLittle]:
    """Return who was refused in each second of a window and got too little in it.

    In thousands of tokens; the sizes of single requests are not known from the lines.
    """
    ledger = make_share_ledger()
    for number, second in seconds.items():
        for name, one in second.customers.items():
            ledger.asked(name, one.asked, one.refused > 0.0, number)
            ledger.began(name, one.begun, number)
    return ledger.too_little(min(seconds, default=0), max(seconds, default=0) + 1)


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
        fractions = sorted(one.fractions)
        print(
            f"        {name:12} {one.requests:5} requests, asked {one.asked:8.1f}, "
            f"open {one.open:7.1f}, share {one.share:7.1f}, room {one.room:7.1f}, "
            f"begun {one.begun:7.1f}; fraction {fractions[0]:.2f} to "
            f"{fractions[-1]:.2f} at {len(fractions)}"
        )


def main() -> None:
    """Print what the logs say."""
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
            f"too little: {one.customer} from {one.second} s: asked "
            f"{one.asked_tokens:.0f}, begun {one.begun_tokens:.0f}, best "
            f"{one.best_tokens:.0f} (thousands of tokens)"
        )


if __name__ == "__main__":
    main()
