"""Works docs/CAPACITY.md's figures out from what ``make slopes`` measured.

``python -m tools.capacity`` writes the table between the two marks of the page;
``--check`` says whether the page is what the slopes give.
"""

import json
import sys
from argparse import ArgumentParser
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "results" / "slopes.json"
BEGIN, END = "<!-- figures begin -->", "<!-- figures end -->"

NODES, DATA_CENTRES = 360, 7
REQUESTS_PER_SECOND, TOKENS_PER_SECOND = 11_000, 2_700_000
BACKLOGGED = 2_200
CHANGES_A_DAY, RESTARTS_A_DAY = 670, 220
DAY_SECONDS = 86_400
# A backlogged customer is taken to wait at this many nodes at once.
NODES_OF_A_CUSTOMER = 4
WIRE_HEADER_BYTES = 112

CONTROL_CPU, CONTROL_MB, CONTROL_BYTES = 0.013, 32.0, 2048.0
NODE_CPU, SET_ASIDE_CPU = 0.7, 0.7
TOKEN_GAP_SECONDS = 0.047
# Our own aim; the users' page sets none.
TOKEN_TIMES = 2.0


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the table; ``worked`` is None where nothing was measured."""

    what: str
    mechanism: str
    formula: str
    worked: float | None
    budget: float
    unit: str
    miss: str = ""

    @property
    def verdict(self) -> str:
        """Return whether it holds."""
        if self.worked is None:
            return "not measured"
        if self.worked <= self.budget:
            return "holds"
        return f"MISSED by {self.worked / self.budget:.1f} times: {self.miss}"


def make_lines(slopes: Mapping[str, Any]) -> Sequence[Line]:
    """Return every line, worked out at the target size."""
    return [
        *_router_lines(slopes["router"], slopes.get("tree")),
        *_tree_lines(slopes.get("tree")),
        *_membership_lines(slopes["router"]),
        *_fairness_lines(slopes.get("fairness")),
    ]


def _router_lines(router: Mapping[str, Any], tree: Any) -> Sequence[Line]:
    """Return the lines of a router's own work."""
    relay = router["relay"]
    requests = REQUESTS_PER_SECOND / NODES * relay["request_seconds"]
    tokens = TOKENS_PER_SECOND / NODES * relay["token_seconds"]
    own_mb = router["idle"][-1]["resident_mb"] - router["libraries_mb"]
    tree_mb = tree[-1]["memory_router_mb"] if tree else None
    return [
        Line(
            "router: requests and tokens",
            "`callers`, `relay`, `completion_run`, `event_stream`",
            f"{REQUESTS_PER_SECOND / NODES:.1f} requests/s x"
            f" {relay['request_seconds'] * 1e3:.2f} ms"
            f" + {TOKENS_PER_SECOND / NODES:.0f} tokens/s x"
            f" {relay['token_seconds'] * 1e6:.1f} us",
            requests + tokens,
            NODE_CPU,
            "of a core",
            "fewer callers a node, or cheaper relaying",
        ),
        Line(
            "router: a token, against a bare pass-through in the same run",
            "`event_stream`, `relay`",
            f"{relay['token_seconds'] * 1e6:.1f} us against"
            f" {relay['bare_token_seconds'] * 1e6:.1f} us",
            relay["token_seconds"] / relay["bare_token_seconds"],
            TOKEN_TIMES,
            "times",
            "fewer steps for each chunk",
        ),
        Line(
            "node: memory that control adds",
            "`instance`, `tree_in_force`",
            f"{own_mb:.1f} MB of own code and idle state"
            f" + {tree_mb or 0:.1f} MB of a tree of 22,000 customers",
            own_mb + tree_mb if tree_mb is not None else None,
            CONTROL_MB,
            "MB",
            "a smaller tree on routers",
        ),
    ]


def _tree_lines(tree: Any) -> Sequence[Line]:
    """Return the lines of the settings tree."""
    if not tree:
        return [Line("settings", "`tree_spread`", "", None, 0, "")]
    row = tree[-1]
    change_cpu = CHANGES_A_DAY * row["one_change_in_force_ms"] / 1e3 / DAY_SECONDS
    wire = row["one_change_message_bytes"] + WIRE_HEADER_BYTES
    whole = RESTARTS_A_DAY * row["whole_message_bytes"] / NODES
    change_bytes = (CHANGES_A_DAY * wire + whole) / DAY_SECONDS
    return [
        Line(
            "settings: a change in force at a node",
            "`tree_spread`, `tree_in_force`",
            f"{CHANGES_A_DAY} changes a day x {row['one_change_in_force_ms']:.2f} ms",
            change_cpu,
            CONTROL_CPU,
            "of a core",
        ),
        Line(
            "settings: bytes, changes and restarts",
            "`tree_spread`",
            f"{CHANGES_A_DAY} x {wire:.0f} bytes + {RESTARTS_A_DAY}/{NODES} whole trees"
            f" of {row['whole_message_bytes'] / 1e6:.2f} MB a day",
            change_bytes,
            CONTROL_BYTES,
            "bytes/s",
        ),
        Line(
            "settings: longest stop of the loop",
            "`tree_in_force`, `tree_text`",
            "a change at a root, worked out in slices",
            row["root_change_longest_slice_ms"] / 1e3,
            TOKEN_GAP_SECONDS,
            "s",
            "smaller slices",
        ),
    ]


def _membership_lines(router: Mapping[str, Any]) -> Sequence[Line]:
    """Return the lines of heartbeats and target news among idle instances."""
    size = router["idle_slopes"]["sent_bytes_per_second"]
    cpu = router["idle_slopes"]["cpu_fraction"]
    return [
        Line(
            "membership: bytes of a node, idle",
            "`peers`, `members`, `target_spread`",
            f"{size['fixed']:.0f} + {NODES} x {size['per_instance']:.0f} bytes/s",
            size["fixed"] + NODES * size["per_instance"],
            CONTROL_BYTES,
            "bytes/s",
            "every instance greets every other; a hub for each data centre must"
            " stand between",
        ),
        Line(
            "membership: processor time of a node, idle",
            "`peers`, `members`, `instance`",
            f"{cpu['fixed']:.4f} + {NODES} x {cpu['per_instance']:.6f}",
            cpu["fixed"] + NODES * cpu["per_instance"],
            CONTROL_CPU,
            "of a core",
            "the same hub",
        ),
    ]


def _fairness_lines(fairness: Any) -> Sequence[Line]:
    """Return the lines of fair service."""
    if not fairness:
        return [Line("fair service", "`allocator`, `leased`", "", None, 0, "")]
    routers = NODES / DATA_CENTRES
    by_customer, by_router = fairness["customer_slopes"], fairness["router_slopes"]
    customer = by_customer["allocator_cpu_fraction"]
    per_router = max(0.0, by_router["allocator_cpu_fraction"]["slope"])
    measured_routers = 4
    allocator = (
        customer["fixed"]
        + BACKLOGGED * max(0.0, customer["slope"])
        + (routers - measured_routers) * per_router
    )
    local = BACKLOGGED * NODES_OF_A_CUSTOMER / NODES
    router = by_customer["router_cpu_fraction"]
    sent = max(
        row["sent_bytes_per_instance_second"] for row in fairness["by_customers"]
    )
    return [
        Line(
            "allocator, one set aside for each data centre",
            "`allocator`, `pool_allocation`",
            f"{customer['fixed']:.3f} + {BACKLOGGED} customers x"
            f" {customer['slope']:.6f} + {routers - measured_routers:.0f} routers x"
            f" {per_router:.4f}",
            allocator,
            SET_ASIDE_CPU,
            "of a core",
            "work by change instead of by tick over all that wait",
        ),
        Line(
            "router: deciding among its backlogged customers",
            "`leased`, `virtual_time`, `queues`",
            f"{local:.0f} customers x {router['slope']:.6f}",
            local * max(0.0, router["slope"]),
            CONTROL_CPU,
            "of a core",
            "an order of customers kept by change",
        ),
        Line(
            "fair service: bytes of an instance",
            "`links`, `grant_answers`, `place_reports`",
            "the largest of the sizes measured",
            sent,
            CONTROL_BYTES,
            "bytes/s",
            "fewer urgent reports and answers",
        ),
    ]


def render(lines: Sequence[Line]) -> str:
    """Return the table in Markdown."""
    rows = [
        "| line | mechanism | worked from | at the target size | budget | verdict |"
    ]
    rows.append("| --- | --- | --- | --- | --- | --- |")
    for line in lines:
        worked = "" if line.worked is None else f"{line.worked:.3g} {line.unit}"
        rows.append(
            f"| {line.what} | {line.mechanism} | {line.formula} | {worked}"
            f" | {line.budget:g} {line.unit} | {line.verdict} |"
        )
    return "\n".join(rows)


def updated_page(page: str, table: str) -> str:
    """Return the page with the table between its marks."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n{table}\n{END}{tail}"


def main() -> int:
    """Write or check the page."""
    parser = ArgumentParser(description="Work the capacity page out of the slopes.")
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    table = render(make_lines(json.loads(SLOPES.read_text(encoding="utf-8"))))
    page = PAGE.read_text(encoding="utf-8")
    wanted = updated_page(page, table)
    print(table)
    if options.check:
        return int(page != wanted)
    PAGE.write_text(wanted, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
