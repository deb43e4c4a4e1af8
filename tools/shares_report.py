"""Reports each customer's share per second from instances' logs, and unfair shares.

    python -m tools.shares_report LOG... [--customer NAME] [--after S] [--from S]

Reads the log lines ``shares served`` and ``shares limited``; text before the JSON
object of a line is ignored. Seconds count from ``--after`` seconds after the first
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

from standins.share_ledger import UnfairShare, make_share_ledger


@dataclass(slots=True)
class CustomerSecond:
    """A customer's requested and served tokens in one second, in thousands.

    ``refused`` and ``lost`` are the requests not admitted, and admitted but not
    started, by reason.
    """

    requests: int = 0
    requested_tokens: float = 0.0
    unlimited_tokens: float = 0.0
    share_tokens: float = 0.0
    spare_capacity_tokens: float = 0.0
    started_tokens: float = 0.0
    fractions: list[float] = field(default_factory=list)
    refused: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    lost: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))

    @property
    def refused_tokens(self) -> float:
        """Return the tokens of refused requests."""
        return max(
            self.requested_tokens
            - self.unlimited_tokens
            - self.share_tokens
            - self.spare_capacity_tokens,
            0.0,
        )


@dataclass(slots=True)
class Second:
    """The shares that all instances logged for one second."""

    customers: dict[str, CustomerSecond] = field(
        default_factory=lambda: defaultdict(CustomerSecond)
    )
    routers_by_replica: Counter[str] = field(default_factory=Counter)
    oldest_age_seconds: float = 0.0
    limits: list[str] = field(default_factory=list)


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, str]]:
    """Return the JSON objects at the ends of log lines; skip other lines."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                begin = line.find("{")
                if begin < 0 or not ("shares " in line or "started" in line):
                    continue
                try:
                    yield decode(line[begin:], type=dict[str, str])
                except DecodeError:
                    # Truncated lines and lines of other programs contain no shares.
                    continue


def by_second(
    entries: Iterable[dict[str, str]], after_seconds: float
) -> dict[int, Second]:
    """Return the logged shares by second.

    Args:
        entries: Log entries of all instances.
        after_seconds: Delay from the first ``started`` line to second 0.
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
    second.oldest_age_seconds = max(second.oldest_age_seconds, age_seconds)
    for text in entry["customers"].split():
        name, fraction, requests, *figures = text.split(":")
        customer = second.customers[name]
        customer.fractions.append(float(fraction))
        customer.requests += int(requests)
        requested, unlimited, share, spare_capacity, started = map(float, figures)
        customer.requested_tokens += requested
        customer.unlimited_tokens += unlimited
        customer.share_tokens += share
        customer.spare_capacity_tokens += spare_capacity
        customer.started_tokens += started
    for text in entry.get("refused", "").split():
        name, reason, tokens = _split_reason(text)
        second.customers[name].refused[reason] += tokens
    for text in entry.get("lost", "").split():
        name, reason, tokens = _split_reason(text)
        second.customers[name].lost[reason] += tokens


def _split_reason(text: str) -> tuple[str, str, float]:
    """Return a customer, a reason, and thousands of tokens."""
    names, _, tokens = text.rsplit(":", 2)
    name, _, reason = names.rpartition("/")
    return name, reason, float(tokens)


def find_unfair_shares(seconds: dict[int, Second]) -> list[UnfairShare]:
    """Return customers that were refused throughout a window and got an unfair share.

    Figures are in thousands of tokens. The log lines do not contain the sizes of single
    requests, so no allowance is subtracted for them.
    """
    ledger = make_share_ledger()
    for number, second in seconds.items():
        for name, customer in second.customers.items():
            ledger.record_request(
                name,
                customer.requested_tokens,
                customer.refused_tokens > 0.0,
                number,
            )
            ledger.record_start(name, customer.started_tokens, number)
    return ledger.find_unfair_shares(
        min(seconds, default=0), max(seconds, default=0) + 1
    )


def _print_second(number: int, second: Second, only: str | None) -> None:
    replicas = ", ".join(
        f"{name or 'nobody'} {count}"
        for name, count in second.routers_by_replica.items()
    )
    print(
        f"{number:4} s  followed: {replicas}; oldest {second.oldest_age_seconds:.2f} s"
    )
    for limit in second.limits:
        print(f"        {limit}")
    customers = sorted(
        second.customers.items(), key=lambda item: -item[1].requested_tokens
    )
    for name, customer in customers:
        if only is not None and name != only:
            continue
        fractions = sorted(customer.fractions) or [1.0]
        print(
            f"        {name:12} {customer.requests:5} requests, "
            f"asked {customer.requested_tokens:8.1f}, "
            f"open {customer.unlimited_tokens:7.1f}, "
            f"share {customer.share_tokens:7.1f}, "
            f"room {customer.spare_capacity_tokens:7.1f}, "
            f"begun {customer.started_tokens:7.1f}; fraction {fractions[0]:.2f} to "
            f"{fractions[-1]:.2f} at {len(fractions)}"
        )
        for title, sums in (("refused", customer.refused), ("lost", customer.lost)):
            if sums:
                texts = (f"{reason} {tokens:.1f}" for reason, tokens in sums.items())
                print(f"            {title}: {', '.join(texts)}")


def main() -> None:
    """Print the shares of each second and the unfair shares."""
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
    for unfair in find_unfair_shares(seconds):
        print(
            f"too little: {unfair.customer} from {unfair.second} s: asked "
            f"{unfair.requested_tokens:.0f}, begun {unfair.started_tokens:.0f}, best "
            f"{unfair.highest_started_tokens:.0f} (thousands of tokens)"
        )


if __name__ == "__main__":
    main()
