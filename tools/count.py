"""Counts lines of code by area, without blank lines, comments and docstrings."""

import ast
import io
import sys
import tokenize
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

# Prefixes of module names by area; a module belongs to the first area that matches.
AREAS = {
    "routing": "router relay pools queues pool_allocation virtual_time prompts"
    " scheduling leased leases allocation allocator independent scheduler_switch"
    " estimates windows affinity accounts remote_reports placement"
    " target_record engine_ load_report load_system fleet_sums"
    " router_loads candidates no_target service_times"
    " aggregator_choice service_balance share_gate shares"
    " route_table serve call_context forward admit calls",
    "limits": "limits target_exclusion costs grant_answers shares loop_lag",
    "retries": "retries suspects in_flight_attempts silence outcomes claims keyed"
    " answers completion_run service_run caller_stream probes second_sends"
    " send_failures target_notices doubling retry_after crash_ suspect_ trial_"
    " ended_targets request_run unconfirmed_ recent_answers",
    "membership": "members target election owner_queries peer_state stop voters"
    " heartbeat_table roster founding",
    "state and recovery": "log_ tree state_machine fencing proposals effective",
}
_PLUMBING = "plumbing"


def area_of(module: str) -> str:
    """Return the area of a module of the package."""
    for area, prefixes in AREAS.items():
        if module.startswith(tuple(prefixes.split())):
            return area
    return _PLUMBING


def code_lines(text: str) -> int:
    """Return the number of lines of a module's text that contain code."""
    lines: set[int] = set()
    skipped = {tokenize.COMMENT, tokenize.NL, tokenize.NEWLINE, tokenize.INDENT}
    skipped |= {tokenize.DEDENT, tokenize.ENDMARKER}
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type not in skipped:
            lines.update(range(token.start[0], token.end[0] + 1))
    return len(lines - _docstring_lines(text))


def _docstring_lines(text: str) -> set[int]:
    """Return the numbers of the lines of docstrings."""
    lines: set[int] = set()
    owners = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, owners) and ast.get_docstring(node, clean=False):
            docstring = node.body[0]
            lines.update(range(docstring.lineno, (docstring.end_lineno or 0) + 1))
    return lines


def main() -> int:
    """Print the lines of code of each area."""
    counts: Counter[str] = Counter()
    for file in sorted((ROOT / "sesameford").rglob("*.py")):
        counts[area_of(file.stem)] += code_lines(file.read_text(encoding="utf-8"))
    for folder in ("standins", "tools", "benchmarks", "tests"):
        for file in sorted((ROOT / folder).rglob("*.py")):
            counts[folder] += code_lines(file.read_text(encoding="utf-8"))
    total = sum(counts.values())
    for area, lines in counts.most_common():
        print(f"{area:20} {lines:7} {lines / total:6.1%}")
    print(f"{'all':20} {total:7}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
