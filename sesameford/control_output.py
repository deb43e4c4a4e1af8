"""The output of the command-line tool: tables for people, JSON for programs."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

from msgspec import json
from rich.console import Console
from rich.table import Table

from sesameford.status import StatusReport


def print_json(value: Any) -> None:
    """Print a value as one JSON document, without markup or wrapping."""
    print(json.format(json.encode(value), indent=2).decode())


def print_table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]
) -> None:
    """Print a table for people.

    Args:
        title: The heading of the table.
        columns: The names of the columns.
        rows: The cells of each row, converted to text.
    """
    table = Table()
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(_cell(value) for value in row))
    # Ids and digests are meant to be copied, so output that is not a terminal gets a
    # fixed large width instead of the default one.
    is_terminal = Console().is_terminal
    console = Console(width=None if is_terminal else 200, markup=False)
    console.print(title, highlight=False)
    console.print(table)


def _cell(value: Any) -> str:
    """Return a cell's text."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ", ".join(_cell(one) for one in value)
    return str(value)


def time_text(at_seconds: float) -> str:
    """Return a time of day in UTC."""
    return datetime.fromtimestamp(at_seconds, UTC).strftime("%Y-%m-%d %H:%M:%S")


def print_status(report: StatusReport) -> None:
    """Print an instance's status as tables."""
    log = report.log
    quorum = {True: "yes", False: "NO", None: "unknown"}[log.quorum]
    print(
        f"as seen by {report.instance_id} in {report.data_centre}: {report.state},"
        f" revision {report.revision}, leader {log.leader_id or 'unknown'},"
        f" quorum {quorum}"
    )
    if report.evacuated:
        print(f"evacuated data centres: {', '.join(report.evacuated)}")
    print_table(
        "Instances",
        ["instance", "data centre", "state", "revision", "role", "heard", "live"],
        [
            (
                one.instance_id,
                one.data_centre,
                one.state,
                one.revision,
                one.role,
                "never"
                if one.heard_seconds_ago is None
                else f"{one.heard_seconds_ago:.1f} s ago",
                one.live,
            )
            for one in report.instances
        ],
    )
    print_table(
        "Targets",
        [
            "target",
            "data centre",
            "kind",
            "serves",
            "slots",
            "running",
            "lease",
            "drain",
        ],
        [
            (
                one.target_id,
                one.data_centre,
                one.kind,
                one.serves,
                one.capacity_slots,
                one.running_attempts,
                f"{one.lease_remaining_seconds:.1f} s",
                one.draining,
            )
            for one in report.targets
        ],
    )
    if report.quarantine:
        print_table(
            "Quarantined requests",
            ["body digest", "deaths", "for another"],
            [
                (one.body_digest, one.deaths, f"{one.remaining_seconds:.0f} s")
                for one in report.quarantine
            ],
        )
