"""Reports who waits, who is refused and where, from instances' logs.

    python -m tools.load_report LOG... [--window S] [--from S] [--until S]

For each window of time: requests that started in time and late, by the first event or
by a pause, and refusals by reason; then the customers, routers and data centres with
most refusals, the causes of failed sends, and how far engines missed the expected
first event. Seconds count from the first line.
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

ENDS = frozenset({"answered", "caller-left", "cut"})
MESSAGES = ENDS | {"refused", "sending failed"}
# Pauses that count as long: the shortest usual objective for them.
LONG_PAUSE_SECONDS = 0.4
# Rows of each table.
MAX_ROWS = 8
QUANTILES = (0.05, 0.5, 0.9, 0.97)


@dataclass(slots=True)
class Window:
    """The calls of one window of time."""

    in_time: int = 0
    late: int = 0
    paused: int = 0
    refused: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class LoadReport:
    """Counts from the lines of all instances."""

    windows: dict[int, Window] = field(default_factory=lambda: defaultdict(Window))
    refused: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    failed: Counter[str] = field(default_factory=Counter)
    missed_seconds: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def add(self, entry: dict[str, str], number: int) -> None:
        """Count a line.

        Args:
            entry: The fields of the line.
            number: The number of its window.
        """
        message = entry["message"]
        if message == "refused":
            self.windows[number].refused[entry["reason"]] += 1
            for name in ("customer", "instance", "data_centre"):
                self.refused[name][f"{entry.get(name, '')} {entry['reason']}"] += 1
        elif message == "sending failed":
            self.failed[f"{entry['fate']}: {entry['detail'][:40]}"] += 1
        elif entry.get("first_event_seconds"):
            self._add_stream(entry, self.windows[number])

    def _add_stream(self, entry: dict[str, str], window: Window) -> None:
        first_seconds = float(entry["first_event_seconds"])
        waited_seconds = float(entry.get("waited_seconds", 0.0))
        objective_seconds = float(entry.get("objective_seconds", "inf"))
        is_late = waited_seconds + first_seconds > objective_seconds
        is_paused = float(entry["longest_pause_seconds"]) > LONG_PAUSE_SECONDS
        window.late += is_late
        window.paused += is_paused
        window.in_time += not (is_late or is_paused)
        missed_seconds = first_seconds - float(entry["expected_seconds"])
        self.missed_seconds[entry["route"]].append(missed_seconds)


def read_entries(paths: Iterable[Path]) -> Iterator[dict[str, str]]:
    """Yield the JSON objects at the ends of log lines that this report counts."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                begin = line.find("{")
                if begin < 0:
                    continue
                try:
                    entry = decode(line[begin:], type=dict[str, str], strict=False)
                except DecodeError:
                    # Truncated lines and lines of other programs contain no calls.
                    continue
                if "at" in entry and entry.get("message") in MESSAGES:
                    yield entry


def make_load_report(
    entries: Iterable[dict[str, str]],
    window_seconds: float,
    from_seconds: float = float("-inf"),
    until_seconds: float = float("inf"),
) -> LoadReport:
    """Return the counts of all lines in a time.

    Args:
        entries: The fields of each line.
        window_seconds: The length of one window.
        from_seconds: The first counted second.
        until_seconds: The first second after that.
    """
    report = LoadReport()
    begin = None
    for entry in entries:
        at = datetime.fromisoformat(entry["at"]).timestamp()
        begin = at if begin is None else begin
        if from_seconds <= at - begin < until_seconds:
            report.add(entry, floor((at - begin) / window_seconds))
    return report


def format_report(report: LoadReport, window_seconds: float) -> Iterator[str]:
    """Yield the lines of a report."""
    for number, window in sorted(report.windows.items()):
        refused = ", ".join(f"{reason} {n}" for reason, n in window.refused.items())
        yield (
            f"{number * window_seconds:6.1f} s  in time {window.in_time}, late "
            f"{window.late}, paused {window.paused}; refused {refused or 'none'}"
        )
    for name, counts in report.refused.items():
        yield f"refused by {name}: {_format_counts(counts)}"
    yield f"failed sends: {_format_counts(report.failed)}"
    for route, missed in report.missed_seconds.items():
        missed.sort()
        values = " ".join(
            f"{missed[int(q * (len(missed) - 1))]:.3f}" for q in QUANTILES
        )
        yield f"{route}: {len(missed)} first events, seconds after expected: {values}"


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {n}" for name, n in counts.most_common(MAX_ROWS))


def main() -> None:
    """Print the report of the given logs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--window", type=float, default=2.0, help="seconds")
    parser.add_argument("--from", dest="from_seconds", type=float, default=0.0)
    parser.add_argument("--until", type=float, default=float("inf"))
    args = parser.parse_args()
    report = make_load_report(
        read_entries(args.logs), args.window, args.from_seconds, args.until
    )
    for line in format_report(report, args.window):
        print(line)


if __name__ == "__main__":
    main()
