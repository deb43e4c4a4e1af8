"""Calculates the figures of docs/CAPACITY.md from the results of ``make slopes``.

``python -m tools.capacity`` writes the table between the two marks of the page;
``--check`` fails if the page differs from the calculated table.
"""

import json
import sys
from argparse import ArgumentParser
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sesameford.allocator import allocation_seconds

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "results" / "slopes.json"
BEGIN, END = "<!-- figures begin -->", "<!-- figures end -->"

NODES, DATA_CENTRES = 360, 7
REQUESTS_PER_SECOND, TOKENS_PER_SECOND = 11_000, 2_700_000
CHANGES_A_DAY, RESTARTS_A_DAY = 670, 220
DAY_SECONDS = 86_400
REPLICAS = 5
# Assumes that 1 request in 100 has an idempotency key and is not repeatable.
KEYED_PER_SECOND = REQUESTS_PER_SECOND // 100
# Bytes of network headers for one message.
WIRE_HEADER_BYTES = 112

CONTROL_CPU, CONTROL_MB, CONTROL_BYTES = 0.013, 32.0, 2048.0
NODE_CPU, DEDICATED_CPU = 0.7, 0.7
TOKEN_GAP_SECONDS = 0.047
# The users' requirements set no limit for the cost of a token; this is our own aim.
MAX_TOKEN_COST_RATIO = 2.0


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the table; ``computed`` is None if nothing was measured."""

    what: str
    mechanism: str
    formula: str
    computed: float | None
    budget: float
    unit: str
    miss: str = ""

    @property
    def verdict(self) -> str:
        """Return whether the figure is within its budget."""
        if self.computed is None:
            return "not measured"
        if self.computed <= self.budget:
            return "holds"
        return f"MISSED by {self.computed / self.budget:.1f} times: {self.miss}"


def make_lines(slopes: Mapping[str, Any]) -> Sequence[Line]:
    """Return all lines, calculated for the target size."""
    return [
        *_router_lines(slopes["router"], slopes.get("tree")),
        *_tree_lines(slopes.get("tree")),
        *_membership_lines(slopes["router"]),
        *_fairness_lines(slopes.get("fairness")),
        *_log_lines(slopes.get("log")),
    ]


def _router_lines(router: Mapping[str, Any], tree: Any) -> Sequence[Line]:
    """Return the lines of a router's relaying and memory."""
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
            MAX_TOKEN_COST_RATIO,
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
        return [Line("settings", "`tree_replication`", "", None, 0, "")]
    row = tree[-1]
    change_cpu = CHANGES_A_DAY * row["one_change_in_force_ms"] / 1e3 / DAY_SECONDS
    wire = row["one_change_message_bytes"] + WIRE_HEADER_BYTES
    whole = RESTARTS_A_DAY * row["whole_message_bytes"] / NODES
    change_bytes = (CHANGES_A_DAY * wire + whole) / DAY_SECONDS
    return [
        Line(
            "settings: a change in force at a node",
            "`tree_replication`, `tree_in_force`",
            f"{CHANGES_A_DAY} changes a day x {row['one_change_in_force_ms']:.2f} ms",
            change_cpu,
            CONTROL_CPU,
            "of a core",
        ),
        Line(
            "settings: bytes, changes and restarts",
            "`tree_replication`",
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
    """Return the lines of heartbeats and target announcements of idle instances.

    The slopes are over instances in two data centres, half of them in each.
    """
    slopes = router["idle_slopes"]
    in_data_centre = NODES / DATA_CENTRES
    lines = []
    for role, allowed in (("node", CONTROL_CPU), ("hub", DEDICATED_CPU)):
        for name, unit, budget in (
            ("sent_bytes_per_second", "bytes/s", CONTROL_BYTES),
            ("cpu_fraction", "of a core", allowed),
        ):
            slope = slopes[f"{role}_{name}"]
            each = 2 * slope["per_instance"]
            lines.append(
                Line(
                    f"membership: {role}, idle, {unit}",
                    "`peers`, `members`, `target_replication`",
                    f"{slope['fixed']:.4g} + {in_data_centre:.0f} x {each:.3g}",
                    slope["fixed"] + in_data_centre * max(0.0, each),
                    budget,
                    unit,
                    "less often, or less for each member",
                )
            )
    return lines


def _fairness_lines(fairness: Any) -> Sequence[Line]:
    """Return the lines of fair service, measured at a data centre's own size."""
    if not fairness:
        return [Line("fair service", "`allocator`, `leased`", "", None, 0, "")]
    loaded = [row for row in fairness["routers"] if row["load"] > 1][-1]
    calm = [row for row in fairness["routers"] if row["load"] < 1][-1]
    lines = []
    for allocator in [row for row in fairness["allocators"] if row["routers"] > 50]:
        reports = loaded["router_messages_per_second"] * allocator["routers"]
        ticks = min(reports, 1 / allocation_seconds(allocator["customers"]))
        cpu = reports * allocator["report_seconds"] + ticks * allocator["tick_seconds"]
        lines.append(
            Line(
                f"allocator (set aside), {allocator['customers']} backlogged customers",
                "`allocator`, `pool_allocation`",
                f"{reports:.0f} reports/s x {allocator['report_seconds'] * 1e6:.0f} us"
                f" + {ticks:.0f} ticks/s x {allocator['tick_seconds'] * 1e3:.1f} ms",
                cpu,
                DEDICATED_CPU,
                "of a core",
                "allocations over what changed alone",
            )
        )
    for name, row in (("backlogged", loaded), ("load 0.7", calm)):
        sent = row["router_sent_bytes_per_second"]
        received = row["router_received_bytes_per_second"]
        lines += [
            Line(
                f"fair service: bytes of a router, {name}",
                "`leased`, `links`, `grant_answers`",
                f"{row['routers']:.0f} routers, {sent} sent + {received} received",
                float(sent + received),
                CONTROL_BYTES,
                "bytes/s",
                "fewer urgent reports and answers",
            ),
            Line(
                f"fair service: deciding code of a router, {name}",
                "`leased`, `virtual_time`, `queues`",
                f"{row['requests_per_router_second']} requests/s in virtual time",
                row["processor_seconds_per_router_second"],
                CONTROL_CPU,
                "of a core",
                "part of it is queueing and choosing targets, which is a router's"
                " own work; the rest must shrink",
            ),
        ]
    return lines


def _log_lines(log: Any) -> Sequence[Line]:
    """Return the lines of the replicated log, which stores changes and claims."""
    if not log:
        return [Line("replicated log", "`log_replica`", "", None, 0, "")]
    row = next(
        slope
        for slope in log["slopes"]
        if slope["replicas"] == REPLICAS and slope["command_bytes"] < 1000
    )
    each = row["processor_ms_per_change_and_replica"] / 1e3
    size = row["sent_bytes_per_change_all_replicas"] / REPLICAS
    idle = row["idle_processor_percent_of_a_core_per_replica"] / 100
    idle_bytes = row["idle_sent_bytes_per_second_all_replicas"] / REPLICAS
    changes, claims = CHANGES_A_DAY / DAY_SECONDS, KEYED_PER_SECOND
    return [
        Line(
            "log: a replica, changes of the tree alone",
            "`log_replica`, `log_storage`",
            f"idle {idle:.4f} + {CHANGES_A_DAY} a day x {each * 1e3:.2f} ms",
            idle + changes * each,
            CONTROL_CPU,
            "of a core",
            "a slower heartbeat",
        ),
        Line(
            "log: a replica's bytes, changes of the tree alone",
            "`log_replica`",
            f"idle {idle_bytes:.0f} + {CHANGES_A_DAY} a day x {size:.0f} bytes",
            idle_bytes + changes * size,
            CONTROL_BYTES,
            "bytes/s",
            "a slower heartbeat",
        ),
        Line(
            f"log: a replica (set aside), {claims} claims a second",
            "`claims`, `log_replica`",
            f"{claims}/s x {each * 1e3:.2f} ms, one after the other",
            idle + claims * each,
            DEDICATED_CPU,
            "of a core",
            "claims in batches",
        ),
    ]


def render(lines: Sequence[Line]) -> str:
    """Return the table in Markdown."""
    rows = [
        "| line | mechanism | worked from | at the target size | budget | verdict |"
    ]
    rows.append("| --- | --- | --- | --- | --- | --- |")
    for line in lines:
        computed = "" if line.computed is None else f"{line.computed:.3g} {line.unit}"
        rows.append(
            f"| {line.what} | {line.mechanism} | {line.formula} | {computed}"
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
    parser = ArgumentParser(description="Calculate the capacity page from the slopes.")
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    table = render(make_lines(json.loads(SLOPES.read_text(encoding="utf-8"))))
    page = PAGE.read_text(encoding="utf-8")
    expected = updated_page(page, table)
    print(table)
    if options.check:
        return int(page != expected)
    PAGE.write_text(expected, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
